package exchange

import (
	"frostshift"
	"frostshift/internal/body"
	"frostshift/internal/shortage"
	"frostshift/internal/verdict"
)

// This file handles request bodies that are not held whole, and answers whose bodies are still to
// come. Package body decides what may still be done with such a request; this file asks it, and
// keeps a request open until the body of its answer has ended.

// bodyLoadDivisor is the divisor for the load of a body in transfer: its time counts this many times
// less than that of an attempt that the host is processing, in a team's account as in the balancer's
// load.
const bodyLoadDivisor = 8

// ways returns what may still be done with a request after an event.
func (p *Pool) ways(c *Call, e body.Event) body.Ways {
	switch {
	case c.Body.Broken():
		e = body.Broken
	case c.mayRan && e < body.Cut:
		e = body.Lost // an earlier attempt may have run, even if the last one did not
	}
	return body.May(c.Body.State(), e, p.set.Classes[c.Class].Effect)
}

// checkBody ends a request whose body cannot be sent again. The balancer decides about all others.
func (p *Pool) checkBody(c *Call, a *Attempt, e *event, r frostshift.Result) {
	bodyEvent := body.Lost
	switch {
	case r == frostshift.Full:
		bodyEvent = body.Declined
	case r == frostshift.ConnectFailed || r == frostshift.NotSent:
		bodyEvent = body.Untouched
	case e.answered || e.malformed:
		bodyEvent = body.Answered
	case !a.fed:
		bodyEvent = body.Cut
	}
	switch w := p.ways(c, bodyEvent); {
	case w.Has(body.Again):
	case w.Has(body.Refuse):
		p.finish(c, Reply{Verdict: Refused, After: p.advice})
	default:
		p.finish(c, Reply{Verdict: Failed, Why: c.why})
	}
}

// fed handles the end of an attempt's request: the time that counts for its host begins.
func (p *Pool) fed(now frostshift.Time, e *event) {
	c, a := e.call, e.attempt
	if a.ended || a.flows || a.fed {
		return
	}
	a.fed = true
	c.work += a.took(e.at) / bodyLoadDivisor
	a.restart(e.at)
	p.unpark(now, c)
	p.b.RequestBodySent(now, c.id, a.n)
}

// flows handles the head of a final answer whose body is still to come. The client receives it, and
// with it the verdict on the request is settled; but the request keeps its resources until the end
// of the body.
func (p *Pool) flows(now frostshift.Time, e *event) {
	c, a := e.call, e.attempt
	a.flows = true
	p.setInFlight(a, -1)
	if c.closed {
		e.answer.Release() // nobody receives it; Flowed follows
		return
	}
	if e.meaning.Ran != verdict.Never {
		c.mayRan, a.mayRan = true, true
	}
	p.reportHead(now, e)
	if h := newHostAnswer(e); !p.speaksForAll(now, c, h) {
		p.give(now, c, h)
		return
	}
	if !p.beginDownload(c) {
		e.answer.Release()
		p.endShort(c, shortage.New(shortage.DownloadPlaces))
		return
	}
	r := Reply{Verdict: Served, Answer: e.answer, Pool: p.name, Tries: c.priorAttempts + len(c.attempts), Ran: p.mustNotRerun(c)}
	c.headWork = c.workUntil(now)
	p.markClosed(c)
	p.settle(c)
	c.reply(r)
}

// reportHead reports the answer to the balancer and to those who follow hosts, whether or not the client gets it.
func (p *Pool) reportHead(now frostshift.Time, e *event) {
	c, a := e.call, e.attempt
	took := a.took(e.at)
	c.work += took
	a.restart(e.at)
	p.unpark(now, c)
	result := p.balancerResult(c, p.judge(now, c, a, e.meaning))
	c.why = WhyAnswered
	p.onHostSeen(a.Host, true)
	p.onAttemptEnd(a.Host, c.Class, result, took)
	p.b.ResponseStreaming(now, c.id, a.n, result, took)
}

// beginDownload takes a place among the answers that are on their way to clients. Without that bound clients that read
// slowly would hold all places of open requests.
func (p *Pool) beginDownload(c *Call) bool {
	if c.Switches {
		return true
	}
	c.downloading = p.downloads.Take(1)
	return c.downloading
}

// endDownload gives the place back.
func (p *Pool) endDownload(c *Call) {
	if c.downloading {
		c.downloading = false
		p.downloads.Give(1)
	}
}

// flowed ends a request whose answer's body has ended.
func (p *Pool) flowed(now frostshift.Time, e *event) {
	c, a := e.call, e.attempt
	c.running--
	a.ended = true
	p.setInFlight(a, -1)
	p.endDownload(c)
	held := a.took(e.at) / bodyLoadDivisor
	if !c.freed {
		c.freed = true
		end := Ending{At: now, Verdict: Served, Fault: c.fault, Work: c.headWork + held}
		switch r := (Reply{Verdict: Served}); e.result {
		case frostshift.OK:
			p.count(c, &r)
		case frostshift.Canceled: // the client has left, or did not read the answer
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
			if p.mustNotRerun(c) { // the client does not know how it ended
				c.x.rememberLost(c.ID)
			}
		}
		if c.Item != nil && p.sched != nil {
			p.sched.Charge(now, c.Item, held)
		}
		c.notifyEnd(end)
		p.rememberRun(c)
		c.x.releaseID(c.ID)
		p.room.Give(1)
		c.releaseHold()
	}
	p.b.Outcome(now, frostshift.Outcome{Request: c.id, Attempt: a.n, Result: e.result, Closed: true})
	p.release(c)
}

// park excludes a request from its team's use of the hosts while its body arrives. Otherwise a
// client that sends slowly would block capacity that others need.
func (p *Pool) park(now frostshift.Time, c *Call) {
	if c.Item != nil && p.sched != nil {
		p.sched.Park(now, c.Item)
	}
}

// unpark reverts park.
func (p *Pool) unpark(now frostshift.Time, c *Call) {
	if c.Body != nil && c.Item != nil && p.sched != nil {
		p.sched.Unpark(now, c.Item)
	}
}
