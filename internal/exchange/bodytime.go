package exchange

import (
	"container/heap"
	"time"

	"frostshift"
	"frostshift/internal/body"
)

const (
	// bodyLookInterval is how often a request whose body is not whole is checked for its time.
	bodyLookInterval = 50 * time.Millisecond
	// answerAllowance is how long ahead of a client's time its request ends, for the answer's way to the
	// client; attemptAllowance is the same for an attempt, which ends by itself before its request is ended.
	answerAllowance  = 5 * time.Millisecond
	attemptAllowance = 10 * time.Millisecond
)

// dueByBody returns when the answer to a request is due whose body is not whole: Rest after the client
// last owed a part of it, or a little earlier.
func (c *Call) dueByBody() frostshift.Time {
	return c.x.clock.Of(c.Body.OwedAt()) + max(0, c.Rest-answerAllowance)
}

// due returns when the answer to a request is due.
func (c *Call) due() frostshift.Time {
	if c.Body == nil {
		return c.Deadline
	}
	return c.dueByBody()
}

// watchBody sets the next check of a request's time while its body arrives and its answer is awaited.
func (p *Pool) watchBody(now frostshift.Time, c *Call) {
	if c.Body == nil || c.closed {
		return
	}
	due := c.dueByBody()
	if now >= due {
		p.overdue(now, c)
		return
	}
	heap.Push(&p.timers, wake{min(now+bodyLookInterval, due), tokenBody | uint64(c.id)})
}

// overdue ends a request whose client has waited for as long as it said, although its body has not been
// sent on whole: the host does not read it.
func (p *Pool) overdue(now frostshift.Time, c *Call) {
	p.counts.Overdue.Add(1)
	p.logOverdue(now, c)
	reached := body.Untouched
	if c.running > 0 {
		reached = body.Cut
	}
	if p.ways(c, reached).Has(body.Refuse) {
		p.finish(c, Reply{Verdict: Refused, After: p.advice})
	} else {
		p.finish(c, Reply{Verdict: Failed, Why: WhyTimedOut})
	}
	p.withdraw(now, c)
}

// HeadBy returns when the head of the answer is due: to the host from the moment in which its request has been sent, and
// to the client in any case.
func (a *Attempt) HeadBy() time.Time {
	by := time.Now().Add(a.Left)
	if a.call != nil && a.call.Body != nil {
		if owed := a.call.Body.OwedAt().Add(a.call.Rest - attemptAllowance); owed.Before(by) {
			by = owed
		}
	}
	if by.After(a.Until) {
		return a.Until
	}
	return by
}
