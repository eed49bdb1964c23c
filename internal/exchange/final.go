package exchange

import (
	"time"

	"frostshift"
	"frostshift/internal/shortage"
	"frostshift/internal/verdict"
)

// This file decides what a client is told of its request. The answer speaks for every attempt that the request had, in
// every pool: a refusal promises that a retry is harmless, whoever worded it. A host knows only of the attempt that it has
// answered itself, and its status alone proves nothing of that one either.

// hostAnswer is an answer of a host with what it tells the client of the request.
type hostAnswer struct {
	Answer
	attempt *Attempt
	refuses bool          // it tells the client that the request has not run
	after   time.Duration // when it lets the client retry; 0: it does not say
}

// refusalTerms is implemented by answers that may read as a refusal to the client, whatever they mean to the gateway.
type refusalTerms interface {
	// Refuses reports whether the answer is a refusal by its status.
	Refuses() bool
	// RetryAfter returns when the host lets the client retry; 0 means that it does not say.
	RetryAfter() time.Duration
}

// newHostAnswer returns the answer that has ended an attempt.
func newHostAnswer(e *event) hostAnswer {
	h := hostAnswer{Answer: e.answer, attempt: e.attempt, refuses: e.meaning.Ran == verdict.Never}
	terms, ok := e.answer.(refusalTerms)
	if !ok {
		return h
	}
	if h.refuses = h.refuses || terms.Refuses(); h.refuses {
		h.after = terms.RetryAfter()
	}
	return h
}

// firstThatMayRun returns the earliest attempt that may have run or may run yet; nil if there is none. What answered has
// done is known, though the body of its answer may be on its way. Attempts at an earlier pool have not run: see
// passToFallback.
func (c *Call) firstThatMayRun(answered *Attempt) *Attempt {
	for _, a := range c.attempts {
		if a.mayRan || !a.ended && a != answered {
			return a
		}
	}
	return nil
}

// retryIsHarmless reports whether the client may retry after a delay although the attempt first, if not nil, may have
// run: hosts that drop duplicates of a keyed request do so for the class's window.
func (p *Pool) retryIsHarmless(now frostshift.Time, c *Call, first *Attempt, after time.Duration) bool {
	class := &p.set.Classes[c.Class]
	switch {
	case first == nil || class.Effect == frostshift.Safe:
		return true
	case class.Effect == frostshift.Keyed && class.Group == frostshift.GroupAll:
		return now+max(after, p.set.MaxRetryAfter) <= first.started+class.Window
	}
	return false
}

// mayRefuse reports whether a refusal by the gateway itself that advises a delay is honest.
func (p *Pool) mayRefuse(now frostshift.Time, c *Call, after time.Duration) bool {
	return p.retryIsHarmless(now, c, c.firstThatMayRun(nil), after)
}

// speaksForAll reports whether a host's answer may be the answer to the whole request: one that tells the client that
// nothing has run must not hide an attempt that may have, be it the one that it answers.
func (p *Pool) speaksForAll(now frostshift.Time, c *Call, h hostAnswer) bool {
	return !h.refuses || p.retryIsHarmless(now, c, c.firstThatMayRun(h.attempt), h.after)
}

// keep keeps an answer in case no better one arrives. The last one replaces those before it, unless it cannot speak for
// the request as they can.
func (p *Pool) keep(now frostshift.Time, c *Call, h hostAnswer) {
	if c.kept != nil && p.speaksForAll(now, c, *c.kept) && !p.speaksForAll(now, c, h) {
		h.Release()
		return
	}
	c.dropKept()
	c.kept = &h
}

// dropKept releases the answer that is kept, if any.
func (c *Call) dropKept() {
	if c.kept != nil {
		c.kept.Release()
		c.kept = nil
	}
}

// give gives the client a host's final answer, or fails the request where it cannot speak for it.
func (p *Pool) give(now frostshift.Time, c *Call, h hostAnswer) {
	if p.speaksForAll(now, c, h) {
		p.finish(c, Reply{Verdict: Served, Answer: h.Answer})
		return
	}
	h.Release()
	p.finish(c, Reply{Verdict: Failed, Why: WhyAnswered})
}

// settleReply makes the reply to a request that is not served an honest one, in its verdict and in the answer that the
// client gets: a refusal where a retry is harmless, and the kept answer of a host where it speaks for the request.
func (p *Pool) settleReply(now frostshift.Time, c *Call, r *Reply) {
	if r.Verdict == Served {
		return
	}
	if r.Verdict == Refused && !p.mayRefuse(now, c, r.After) {
		*r = Reply{Verdict: Failed, Why: r.Why, Lacks: r.Lacks}
	}
	if h := c.kept; h != nil && c.Answers.FromHost() && p.speaksForAll(now, c, *h) {
		r.Answer, c.kept = h.Answer, nil
		switch {
		case !h.refuses:
			r.Verdict = Failed
		case p.mayRefuse(now, c, h.after):
			r.Verdict = Refused
		}
	}
	if r.Verdict == Failed && r.Why == Unsent {
		r.Why = c.why
	}
}

// finish gives the final answer, once. Attempts still in flight for the request are canceled first:
// nothing may be sent for it once the client has its answer.
func (p *Pool) finish(c *Call, r Reply) {
	if c.closed {
		return
	}
	now := p.clock.Now()
	p.settleReply(now, c, &r)
	r.Pool, r.Tries, r.Ran = p.name, c.priorAttempts+len(c.attempts), p.mustNotRerun(c)
	p.count(c, &r)
	p.requestEnded(now, c, &r)
	c.notifyEnd(Ending{At: now, Verdict: r.Verdict, Fault: c.fault, Bound: r.Violation != nil, Work: c.workUntil(now)})
	p.close(c)
	c.reply(r)
}

// endShort ends a request for lack of the gateway's own resources.
func (p *Pool) endShort(c *Call, of *shortage.Error) {
	r, loss := p.unserved(c), shortage.Refused
	if r.Verdict == Failed {
		loss = shortage.Failed
	}
	c.x.shortages.Note(of, loss, c.ID)
	r.Why, r.Lacks = WhyNoRoom, of
	p.finish(c, r)
}

// unserved returns the reply to a request that the gateway itself ends for a bound of its own. A keyed one that may have
// run fails even within its window: what has ended it may last longer.
func (p *Pool) unserved(c *Call) Reply {
	if p.mustNotRerun(c) {
		return Reply{Verdict: Failed, Why: c.why}
	}
	return Reply{Verdict: Refused, After: p.advice}
}

// mustNotRerun reports whether the request must not run again: an attempt may have run, or one in
// flight may still run, as it is canceled too late to be sure.
func (p *Pool) mustNotRerun(c *Call) bool {
	return (c.mayRan || c.running > 0) && p.set.Classes[c.Class].Effect != frostshift.Safe
}
