package exchange

import (
	"frostshift"
	"frostshift/internal/body"
)

// What bodies that are not held whole mean in a pool. What of a request may still be done is
// decided in package body; this file asks it, and keeps a request open until the body of its
// answer has ended.

// flowPart is what a body on its way holds of a host beside an attempt that is worked on, in
// a team's account as in the balancer's load.
const flowPart = 8

// ways asks what is honest for a request after an event.
func (p *Pool) ways(c *Call, e body.Event) body.Ways {
	switch {
	case c.Body.Broken():
		e = body.Broken
	case c.mayRan && e < body.Cut:
		e = body.Lost // an earlier attempt, if not the last
	}
	return body.May(c.Body.State(), e, p.set.Classes[c.Class].Effect)
}

// checkBody ends a request whose body can't be sent once more: the balancer decides among the
// others.
func (p *Pool) checkBody(c *Call, a *Attempt, e *event, r frostshift.Result) {
	what := body.Lost
	switch {
	case r == frostshift.Full:
		what = body.Declined
	case r == frostshift.ConnectFailed || r == frostshift.NotSent:
		what = body.Untouched
	case e.answered || e.malformed:
		what = body.Answered
	case !a.fed:
		what = body.Cut
	}
	switch w := p.ways(c, what); {
	case w.Has(body.Again):
	case w.Has(body.Refuse):
		p.finish(c, Reply{Verdict: Refused, After: p.advice})
	default:
		p.finish(c, Reply{Verdict: Failed, Why: c.why})
	}
}

// fed notes that an attempt's request has gone out: its host's time begins.
func (p *Pool) fed(now frostshift.Time, e *event) {
	c, a := e.call, e.attempt
	if a.ended || a.flows || a.fed {
		return
	}
	a.fed = true
	c.work += a.took(e.at) / flowPart
	a.restart(e.at)
	p.unpark(now, c)
	p.b.RequestBodySent(now, c.id, a.n)
}

// flows takes the head of a final answer, whose body is still to come. The client gets it,
// and with it the request has its verdict; but it holds what it holds until the body's end.
func (p *Pool) flows(now frostshift.Time, e *event) {
	c, a := e.call, e.attempt
	a.flows = true
	p.outMore(a, -1)
	if c.closed {
		e.answer.Release() // nobody gets it; Flowed follows
		return
	}
	took := a.took(e.at)
	c.work += took
	a.restart(e.at)
	p.unpark(now, c)
	result := p.evidence(c, p.judge(now, c, a, e.meaning))
	c.mayRan, c.why = true, WhyAnswered
	p.saw(a.Host, true)
	p.met(a.Host, c.Class, result, took)
	p.b.ResponseStreaming(now, c.id, a.n, result, took)
	r := Reply{Verdict: Served, Answer: e.answer, Pool: p.name, Tries: c.spent + len(c.attempts), Ran: p.ran(c)}
	c.headWork = c.worked(now)
	p.shut(c)
	p.settle(c)
	c.Reply <- r
}

// flowed ends a request with the body of its answer.
func (p *Pool) flowed(now frostshift.Time, e *event) {
	c, a := e.call, e.attempt
	c.out--
	a.ended = true
	p.outMore(a, -1)
	held := a.took(e.at) / flowPart
	if !c.over {
		c.over = true
		end := Ending{At: now, Verdict: Served, Fault: c.fault, Work: c.headWork + held}
		switch r := (Reply{Verdict: Served}); e.result {
		case frostshift.OK:
			p.count(c, &r)
		case frostshift.Canceled: // its client has left, or took nothing in
			end.Left = true
			p.counts.Left.Add(1)
			if c.Item != nil {
				c.Item.Account.Left.Add(1)
			}
		default:
			end.Fault = true
			p.counts.Broke.Add(1)
			r.Verdict = Failed
			p.count(c, &r)
			if p.ran(c) { // the client does not know how it ended
				c.x.remember(c.ID)
			}
		}
		if c.Item != nil && p.sched != nil {
			p.sched.Charge(now, c.Item, held)
		}
		c.told(end)
		c.x.free(c.ID)
		p.room.Give(1)
		c.letGo()
	}
	p.b.Outcome(now, frostshift.Outcome{Request: c.id, Attempt: a.n, Result: e.result, Closed: true})
	p.release(c)
}

// park takes a request out of what its team holds of the hosts while its body comes: a
// client that drips would hold a place for others' work.
func (p *Pool) park(now frostshift.Time, c *Call) {
	if c.Item != nil && p.sched != nil {
		p.sched.Park(now, c.Item)
	}
}

// unpark brings it back.
func (p *Pool) unpark(now frostshift.Time, c *Call) {
	if c.Body != nil && c.Item != nil && p.sched != nil {
		p.sched.Unpark(now, c.Item)
	}
}
