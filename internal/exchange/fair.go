package exchange

import (
	"container/heap"
	"time"

	"frostshift"
	"frostshift/internal/contract"
)

// This file applies contracts in a pool: requests go to the balancer in the order of the scheduler,
// are charged what they cost, and get further attempts only within their team's budget. Package
// contract decides all of this; this file executes the decisions.

const (
	// tokenDispatch marks the pool's own dispatch timer. The kinds in the upper eight bits of the
	// balancer's tokens count from 1 up.
	tokenDispatch = 0xff << 56
	// tokenDelayed marks the timer of a delayed request; the lower bits hold its id.
	tokenDelayed = 0xfe << 56
	// tokenBody marks the timer of a request whose body arrives; the lower bits hold its id.
	tokenBody = 0xfd << 56
	// capacityInterval is the maximum age of the capacity that the scheduler uses.
	capacityInterval = 5 * time.Millisecond
	dispatchInterval = 10 * time.Millisecond // while requests wait: hosts become available with time alone
)

// enqueue submits a new request to the scheduler and reports whether it may go to the balancer at
// once. If the scheduler refuses the request, enqueue gives it its answer.
func (p *Pool) enqueue(now frostshift.Time, c *Call) bool {
	p.updateCapacity(now)
	c.Item.Owner = c
	switch decision, after := p.sched.Arrive(now, c.Item); decision {
	case contract.Go:
		return true
	case contract.Refuse:
		p.finish(c, lateRefusal(c, after))
	}
	return false
}

// lateRefusal is the refusal of a request that could not be scheduled in time.
func lateRefusal(c *Call, after time.Duration) Reply {
	return Reply{Verdict: Refused, After: after, Violation: &contract.Violation{Status: 429, Title: "no turn in time",
		Detail: "team " + c.Item.Terms.Team + " has used its share of the hosts for now", Team: c.Item.Terms.Team, After: after, Cause: contract.TooLate}}
}

// updateCapacity gives the scheduler the current capacity of the hosts.
func (p *Pool) updateCapacity(now frostshift.Time) {
	if now-p.capacityAt >= capacityInterval {
		p.capacityAt = now
		p.sched.SetCapacity(now, p.b.Capacity(now))
		out, waiting, _ := p.sched.Counts()
		p.fleetShare.Update(now, out > 0, waiting > 0)
		p.sched.SetShare(p.fleetShare.Value())
	}
}

// dispatch gives the balancer the requests that the scheduler releases, and refuses those that
// cannot be answered in time any more.
func (p *Pool) dispatch() {
	if p.sched == nil {
		return
	}
	now := p.clock.Now()
	p.updateCapacity(now)
	for it := p.sched.Next(now); it != nil; it = p.sched.Next(now) {
		p.admit(now, it.Owner.(*Call))
		p.runActions()
	}
	for it, after := p.sched.Expired(now); it != nil; it, after = p.sched.Expired(now) {
		c := it.Owner.(*Call)
		p.finish(c, lateRefusal(c, after))
	}
	if due := p.sched.NextExpiry(); due > 0 {
		if due = min(due, now+dispatchInterval); p.dispatchAt == 0 || due < p.dispatchAt {
			p.dispatchAt = due
			heap.Push(&p.timers, wake{due, tokenDispatch})
		}
	}
}

// settle ends a request in the scheduler: its team is charged what it has cost here.
func (p *Pool) settle(c *Call) {
	if c.Item == nil || p.sched == nil {
		return
	}
	now := p.clock.Now()
	work, interrupted := c.workUntil(now), c.interrupted || c.running > 0
	c.work, c.interrupted = 0, false
	p.sched.Done(now, c.Item, work, interrupted)
}

// maySend reports whether the balancer's next attempt may be sent: the process has not passed its
// end, and the attempt is within the budgets of the pool and of the team. If not, the request ends
// here.
func (p *Pool) maySend(now frostshift.Time, c *Call) bool {
	r := p.unserved(c)
	switch {
	case c.x.pastEnd(now):
	case c.priorAttempts+len(c.attempts) == 0:
		p.retryBudget.RecordRequest()
		return true
	case c.mayRan && !p.retryBudget.Take(now):
	case c.Item == nil || p.limiter == nil || p.limiter.AllowAttempt(c.Item.Account, c.Item.Terms, now):
		return true
	case r.Verdict == Refused:
		r = Reply{Verdict: Refused, After: time.Second, Violation: &contract.Violation{Status: 429, Title: "retry budget used up",
			Detail: "team " + c.Item.Terms.Team + " has no further attempt left", Team: c.Item.Terms.Team, After: time.Second, Cause: contract.RetryBound}}
	}
	n := len(c.attempts)
	p.finish(c, r)
	p.b.ClientGone(now, c.id)
	p.b.Outcome(now, frostshift.Outcome{Request: c.id, Attempt: n, Result: frostshift.NotSent, Closed: true})
	return false
}

// balancerResult converts a result to the one that is reported to the balancer. An error that is
// the request's own fault is no evidence about the host: it is reported as Canceled, which still
// means that the attempt may have run.
func (p *Pool) balancerResult(c *Call, r frostshift.Result) frostshift.Result {
	if c.Item == nil || p.sched == nil || r != frostshift.OK && r != frostshift.Failed {
		return r
	}
	p.sched.RecordResult(c.Item, r == frostshift.Failed)
	if r == frostshift.Failed && !p.sched.CountsAgainstHost(c.Item) {
		return frostshift.Canceled
	}
	return r
}

// account counts the end of a request for its team.
func (c *Call) account(r *Reply) {
	if c.Item == nil {
		return
	}
	switch a := c.Item.Account; {
	case r.Verdict == Served:
		a.Served.Add(1)
	case r.Verdict != Refused:
		a.Failed.Add(1)
	case r.Violation != nil:
		a.Refused[r.Violation.Cause].Add(1)
	default:
		a.ByBalancer.Add(1)
	}
}
