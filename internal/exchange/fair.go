package exchange

import (
	"container/heap"
	"time"

	"frostshift"
	"frostshift/internal/contract"
)

// What contracts mean in a pool: requests go to the balancer in the order of the
// scheduler, pay for what they cost, and have further attempts only within their team's
// budget. All of it is decided in package contract; this file carries it out.

const (
	// tokenPump is a timer of the pool's own. The balancer's tokens have kinds from 1 on in
	// their upper eight bits.
	tokenPump = 0xff << 56
	// tokenHeld is the timer of a request that is held back, with its id.
	tokenHeld = 0xfe << 56
	// capacityEvery is how old the scheduler's idea of the capacity may be.
	capacityEvery = 5 * time.Millisecond
	pumpEvery     = 10 * time.Millisecond // while requests wait: hosts come back with time alone
)

// turn asks the scheduler for a new request and says whether it goes at once. One that is
// refused has its answer.
func (p *Pool) turn(now frostshift.Time, c *Call) bool {
	p.look(now)
	c.Item.Owner = c
	switch turn, after := p.sched.Arrive(now, c.Item); turn {
	case contract.Go:
		return true
	case contract.Refuse:
		p.finish(c, late(c, after))
	}
	return false
}

// late is the refusal of a request that could not have its turn in time.
func late(c *Call, after time.Duration) Reply {
	return Reply{Verdict: Refused, After: after, Violation: &contract.Violation{Status: 429, Title: "no turn in time",
		Detail: "team " + c.Item.Terms.Team + " has used its share of the hosts for now", Team: c.Item.Terms.Team, After: after, Cause: contract.TooLate}}
}

// look tells the scheduler what the hosts can take.
func (p *Pool) look(now frostshift.Time) {
	if now-p.lookedAt >= capacityEvery {
		p.lookedAt = now
		p.sched.SetCapacity(now, p.b.Capacity(now))
		out, waiting, _ := p.sched.Counts()
		p.fleetShare.Update(now, out > 0, waiting > 0)
		p.sched.SetShare(p.fleetShare.Value())
	}
}

// pump gives the balancer the requests whose turn it is, and refuses those that can't be
// answered in time any more.
func (p *Pool) pump() {
	if p.sched == nil {
		return
	}
	now := p.clock.Now()
	p.look(now)
	for it := p.sched.Next(now); it != nil; it = p.sched.Next(now) {
		p.admit(now, it.Owner.(*Call))
		p.carryOut()
	}
	for it, after := p.sched.Expired(now); it != nil; it, after = p.sched.Expired(now) {
		c := it.Owner.(*Call)
		p.finish(c, late(c, after))
	}
	if due := p.sched.NextExpiry(); due > 0 {
		if due = min(due, now+pumpEvery); p.pumpAt == 0 || due < p.pumpAt {
			p.pumpAt = due
			heap.Push(&p.timers, wake{due, tokenPump})
		}
	}
}

// settle ends a request in the scheduler: its team pays for what it has cost here.
func (p *Pool) settle(c *Call) {
	if c.Item == nil || p.sched == nil {
		return
	}
	now := p.clock.Now()
	work, cut := c.worked(now), c.cut || c.out > 0
	c.work, c.cut = 0, false
	p.sched.Done(now, c.Item, work, cut)
}

// maySend says whether the balancer's next attempt may go out: the process is not at its end, and the
// attempt is within the budgets of the pool and of the team. If not, the request ends here, with an
// honest answer.
func (p *Pool) maySend(now frostshift.Time, c *Call) bool {
	r := Reply{Verdict: Failed, Why: c.why}
	harmless := !c.mayRan || p.set.Classes[c.Class].Effect == frostshift.Safe
	switch {
	case c.x.isOver(now):
		if harmless {
			r = Reply{Verdict: Refused, After: p.advice}
		}
	case c.spent+len(c.attempts) == 0:
		p.repeats.RecordRequest()
		return true
	case c.mayRan && !p.repeats.Take(now):
		if harmless {
			r = Reply{Verdict: Refused, After: p.advice}
		}
	case c.Item == nil || p.limiter == nil || p.limiter.AllowAttempt(c.Item.Account, c.Item.Terms, now):
		return true
	case harmless:
		r = Reply{Verdict: Refused, After: time.Second, Violation: &contract.Violation{Status: 429, Title: "retry budget used up",
			Detail: "team " + c.Item.Terms.Team + " has no further attempt left", Team: c.Item.Terms.Team, After: time.Second, Cause: contract.RetryBound}}
	}
	n := len(c.attempts)
	p.finish(c, r)
	p.b.ClientGone(now, c.id)
	p.b.Outcome(now, frostshift.Outcome{Request: c.id, Attempt: n, Result: frostshift.NotSent, Closed: true})
	return false
}

// evidence is a result as the balancer is told of it. An error that is the request's own
// fault tells nothing of the host; called off, an attempt may have run all the same.
func (p *Pool) evidence(c *Call, r frostshift.Result) frostshift.Result {
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
