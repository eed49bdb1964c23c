package exchange

import (
	"container/heap"
	"sync/atomic"
	"time"

	"frostshift"
	"frostshift/internal/body"
	"frostshift/internal/contract"
	"frostshift/internal/verdict"
)

// Call is a request that is owed one final answer. But for Reply, Gone and what is said
// at the fields, it belongs to the loop of the pool that it is in.
type Call struct {
	Request
	// Reply gets the one final answer. It holds one, so that no loop waits for a client.
	Reply chan Reply

	x        *Exchange
	pool     atomic.Pointer[Pool] // changed only by the loop that it leaves
	departed atomic.Bool          // its client has left
	fallback *Pool                // nil: none, or it has been handed on
	id       frostshift.RequestID
	attempts []*Attempt    // at this pool
	out      int           // attempts without an outcome yet
	spent    int           // attempts at the pool before
	mayRan   bool          // an attempt that has ended may have run
	admitted bool          // the balancer has it
	work     time.Duration // of attempts that have ended, at this pool
	cut      bool          // one of them was cut short
	kept     Answer        // the last that a better one may replace; nil: none
	why      Why           // what became of the last attempt
	closed   bool          // it has its answer, or nobody waits for one
	headWork time.Duration // work up to the head of an answer whose body flows
	over     bool          // and it holds nothing any more
	fault    bool          // the last answer was an error of the service
}

// Gone says that the client has left: no attempt begins from here on. A reply that has come by
// then must still be released by whoever finds it in Reply; Gone looks for it in the loop.
func (c *Call) Gone() {
	c.departed.Store(true)
	c.pool.Load().post(event{kind: clientGone, call: c})
}

// isHere says whether the client still waits. That it does not holds from then on.
func (c *Call) isHere() bool {
	if c.departed.Load() {
		return false
	}
	if c.Client != nil && !c.Client.Here() {
		c.departed.Store(true)
	}
	return !c.departed.Load()
}

// latest is when the request must be over.
func (c *Call) latest() frostshift.Time {
	if c.Body != nil {
		return c.x.before(c.Ends)
	}
	return c.x.before(c.Deadline)
}

// Undelivered says that the reply could not be written to the client whole: if the request
// may have run, it is not taken again from a client that comes once more with its id.
func (c *Call) Undelivered(r Reply) {
	if r.Ran {
		c.x.remember(c.ID)
	}
}

// turnAway answers a call that no pool has taken.
func (c *Call) turnAway(r Reply) {
	c.closed = true
	c.told(Ending{At: c.x.clock.Now(), Verdict: r.Verdict})
	if c.Item != nil && r.Verdict == Refused {
		c.Item.Account.Refused[contract.OpenBound].Add(1)
	} else if c.Item != nil {
		c.Item.Account.Failed.Add(1)
	}
	c.letGo()
	c.Reply <- r
}

// told says how the request ended to whoever asked.
func (c *Call) told(e Ending) {
	if c.Watch != nil {
		c.Watch.Ended(e)
	}
}

// worked is the time that the attempts at this pool have taken up to now.
func (c *Call) worked(now frostshift.Time) time.Duration {
	sum := c.work
	for _, a := range c.attempts {
		if !a.ended {
			sum += a.took(now)
		}
	}
	return sum
}

func (c *Call) letGo() {
	if c.Hold != nil {
		c.Hold.Release()
	}
}

// accept takes over a request that is new to this pool.
func (p *Pool) accept(now frostshift.Time, c *Call) {
	p.lastID++
	c.id = p.lastID
	p.calls[c.id] = c
	if c.Wait > 0 {
		p.hold(now, c)
		return
	}
	p.place(now, c)
}

// hold holds a request back. Its client may leave meanwhile, and a stop fails it as any other.
func (p *Pool) hold(now frostshift.Time, c *Call) {
	heap.Push(&p.timers, wake{now + c.Wait, tokenHeld | uint64(c.id)})
	c.Wait = 0
}

// place gives a request that is no longer held back to whoever decides what comes of it.
func (p *Pool) place(now frostshift.Time, c *Call) {
	// Before the first list nothing is known: the request waits for it, as for a host.
	if c.fallback != nil && p.listed && !p.b.Usable(now, c.Class) && p.handOn(c) {
		return
	}
	if c.Item == nil || p.sched == nil || p.turn(now, c) {
		p.admit(now, c)
	}
}

// admit gives the request to the balancer.
func (p *Pool) admit(now frostshift.Time, c *Call) {
	c.admitted = true
	p.b.Request(now, frostshift.Request{ID: c.id, Class: c.Class, Tenant: c.Tenant,
		Left: c.left(now), Repeat: c.Repeat, Spent: c.spent})
}

// left is the time that a host may have for the answer.
func (c *Call) left(now frostshift.Time) time.Duration {
	if c.Body != nil {
		return min(c.Rest, max(0, c.latest()-now))
	}
	return max(0, c.latest()-now)
}

// handOn passes a request that this pool does not serve to its fallback and says whether
// it did. It must not go on where an attempt may have run (the hosts of another pool drop
// no repeats of this one's), nor while one is out or a host here is ready: then the pool
// turns it away for its load, and its load must not spill. A request goes on once, and
// only with an attempt left: the balancer it comes to counts further ones, not the first.
func (p *Pool) handOn(c *Call) bool {
	to := c.fallback
	if c.Body != nil && !p.ways(c, body.Untouched).Has(body.Elsewhere) {
		return false
	}
	if to == nil || c.closed || c.out > 0 || c.mayRan || c.spent+len(c.attempts) >= to.set.MaxAttempts ||
		p.b.Usable(p.clock.Now(), c.Class) || !to.room.Take(1) {
		return false
	}
	delete(p.calls, c.id)
	p.settle(c)
	c.admitted = false
	p.room.Give(1)
	p.counts.HandedOn.Add(1)
	c.spent += len(c.attempts)
	c.attempts, c.fallback = nil, nil
	c.pool.Store(to)
	e := event{kind: arrived, call: c}
	select {
	case to.events <- e:
	default: // two pools may be each other's fallback: neither loop waits for the other
		go to.post(e)
	}
	return true
}

// gone says that the client of a call has left.
func (p *Pool) gone(now frostshift.Time, c *Call) {
	if at := c.pool.Load(); at != p { // handed on meanwhile
		go at.post(event{kind: clientGone, call: c})
		return
	}
	if !c.closed {
		p.counts.Left.Add(1)
		if c.Item != nil {
			c.Item.Account.Left.Add(1)
		}
		if p.ran(c) {
			c.x.remember(c.ID)
		}
		c.told(Ending{At: now, Left: true, Work: c.worked(now)})
		p.close(c)
		p.forget(now, c)
		return
	}
	select {
	case r := <-c.Reply: // it came too late for this client
		c.Undelivered(r)
		if r.Answer != nil {
			r.Answer.Release()
		}
	default:
	}
}

// send starts an attempt.
func (p *Pool) send(act *frostshift.Action) {
	c := p.calls[act.Request]
	if c == nil {
		return
	}
	until := c.x.before(c.Deadline)
	if act.At > 0 {
		until = min(until, act.At)
	}
	now := p.clock.Now()
	if !p.maySend(now, c) {
		return
	}
	if c.kept != nil && !c.kept.Light() { // others need the room that it holds meanwhile
		c.kept.Release()
		c.kept = nil
	}
	left := until - now
	if c.Body != nil {
		until, left = c.latest(), c.left(now)
	}
	a := &Attempt{Host: act.Host, Message: c.Message, Answers: c.Answers, Until: p.clock.At(until), Left: left,
		pool: p, call: c, n: len(c.attempts), begun: now, sendBy: p.repeatBy(c), sent: now}
	c.attempts = append(c.attempts, a)
	c.out++
	p.counts.Attempts.Add(1)
	p.outMore(a, 1)
	a.handle = p.upstream.Start(a)
	if c.Body != nil {
		p.b.Feeding(now, c.id, a.n)
		p.park(now, c)
	}
}

// repeatBy is until when the next attempt at a request may go out: hosts drop repeats of a keyed
// one for the class's window from its first attempt that may have run; 0: at any time.
func (p *Pool) repeatBy(c *Call) frostshift.Time {
	class := &p.set.Classes[c.Class]
	if class.Effect != frostshift.Keyed {
		return 0
	}
	for _, a := range c.attempts {
		if !a.ended || a.mayRan {
			return a.begun + class.Window
		}
	}
	return 0
}

// outMore tells that an attempt is out, or is so no more, each once.
func (p *Pool) outMore(a *Attempt, more int) {
	if p.tellOut != nil && a.told != (more > 0) {
		a.told = more > 0
		p.tellOut(a.Host, more)
	}
}

// outcome is the end of an attempt.
func (p *Pool) outcome(now frostshift.Time, e *event) {
	c, a := e.call, e.attempt
	c.out--
	a.ended = true
	p.outMore(a, -1)
	elapsed := a.took(e.at)
	c.work += elapsed
	p.unpark(now, c)
	result := e.result
	if e.answered {
		result = p.judge(now, c, a, e.meaning)
	}
	p.attemptEnded(now, a, result, elapsed)
	c.cut = c.cut || result == frostshift.TimedOut || result == frostshift.Canceled && !e.answered
	switch result {
	case frostshift.Full, frostshift.ConnectFailed, frostshift.NotSent:
	default:
		c.mayRan, a.mayRan = true, true
	}
	if result == frostshift.ConnectFailed {
		p.saw(a.Host, false)
	} else if e.answered || e.malformed || result == frostshift.Full {
		p.saw(a.Host, true)
	}
	c.why = whyOf(e, result)
	switch {
	case e.answer == nil:
	case c.closed || e.meaning.Disposition == verdict.Hidden:
		e.answer.Release() // nobody gets it
	case e.meaning.Disposition == verdict.Final:
		p.finish(c, Reply{Verdict: Served, Answer: e.answer})
	default:
		p.keep(c, e.answer)
	}
	if !e.answered && !c.closed && c.Answers.Ends(eventOf(e, result)) && c.mayRan {
		p.finish(c, Reply{Verdict: Failed, Why: c.why})
	}
	if c.Body != nil && !c.closed {
		p.checkBody(c, a, e, result)
	}
	result = p.evidence(c, result)
	if said := result; !a.flows {
		if result == frostshift.Canceled && c.closed && !e.answered && elapsed >= p.set.Classes[c.Class].Aim {
			said = frostshift.TimedOut
		}
		p.met(a.Host, c.Class, said, elapsed)
	}
	p.b.Outcome(now, frostshift.Outcome{Request: c.id, Attempt: a.n, Result: result, Elapsed: elapsed, After: e.after, Closed: c.closed})
	p.release(c)
}

// judge is an answer as the balancer is told of it. What is no fault of the host's is a good
// answer to it, though the client may be owed a better one.
func (p *Pool) judge(now frostshift.Time, c *Call, a *Attempt, m verdict.Meaning) frostshift.Result {
	fault := m.Health == verdict.Fault
	c.fault = fault
	blame := fault
	if !c.Answers.Blames() {
		blame = p.jury.Observe(now, a.Host, fault)
	}
	if fault {
		p.counts.Faults.Add(1)
	}
	if blame {
		p.counts.Blamed.Add(1)
	}
	switch {
	case m.Ran == verdict.Never:
		return frostshift.Full
	case blame:
		return frostshift.Failed
	case m.Health == verdict.Strained:
		return frostshift.Busy
	case m.Health == verdict.Silent:
		return frostshift.Canceled
	}
	return frostshift.OK
}

// keep keeps an answer for when no better one comes; the last is the one that counts.
func (p *Pool) keep(c *Call, a Answer) {
	if c.kept != nil {
		c.kept.Release()
	}
	c.kept = a
}

func whyOf(e *event, r frostshift.Result) Why {
	switch {
	case e.malformed:
		return WhyMalformed
	case e.answered:
		return WhyAnswered
	case r == frostshift.TimedOut:
		return WhyTimedOut
	case r == frostshift.Reset:
		return WhyReset
	}
	return Unsent
}

// eventOf is the event that an end without an answer is; it is asked for only where the
// attempt may have run.
func eventOf(e *event, r frostshift.Result) verdict.Event {
	switch {
	case e.malformed:
		return verdict.Malformed
	case r == frostshift.TimedOut:
		return verdict.TimedOut
	}
	return verdict.Reset
}

// ran says whether the request must not run again: an attempt may have, or may yet, as
// what is out is called off too late to be sure.
func (p *Pool) ran(c *Call) bool {
	return (c.mayRan || c.out > 0) && p.set.Classes[c.Class].Effect != frostshift.Safe
}

// finish gives the final answer, once. What is still out for the request is called
// off first: nothing may go out for it once the client has its answer.
func (p *Pool) finish(c *Call, r Reply) {
	if c.closed {
		return
	}
	if r.Answer == nil && c.kept != nil && c.Answers.FromHost() {
		r.Answer, c.kept = c.kept, nil
	}
	r.Pool, r.Tries, r.Ran = p.name, c.spent+len(c.attempts), p.ran(c)
	p.count(c, &r)
	now := p.clock.Now()
	p.requestEnded(now, c, &r)
	c.told(Ending{At: now, Verdict: r.Verdict, Fault: c.fault, Bound: r.Violation != nil, Work: c.worked(now)})
	p.close(c)
	c.Reply <- r
}

// count counts how a request ended.
func (p *Pool) count(c *Call, r *Reply) {
	if r.Verdict <= Failed {
		p.ended[c.Class][r.Verdict].Add(1)
	}
	switch r.Verdict {
	case Served:
		p.counts.Served.Add(1)
	case Refused:
		p.counts.Refused.Add(1)
	default:
		p.counts.Failed.Add(1)
	}
	c.account(r)
}

// close ends a request: nothing goes out for it from here on.
func (p *Pool) close(c *Call) {
	p.shut(c)
	c.over = true
	c.x.free(c.ID)
	p.room.Give(1)
	for _, a := range c.attempts {
		a.callOff()
	}
	p.settle(c)
	p.release(c)
	c.letGo()
}

// shut ends what may become of a request: its answer is chosen.
func (p *Pool) shut(c *Call) {
	c.closed = true
	if c.kept != nil {
		c.kept.Release()
		c.kept = nil
	}
}

// forget tells the balancer that nobody waits for a request any more.
func (p *Pool) forget(now frostshift.Time, c *Call) {
	if c.admitted {
		p.b.Gone(now, c.id)
	}
}

// release forgets a closed request once its attempts have ended.
func (p *Pool) release(c *Call) {
	if c.closed && c.out == 0 {
		delete(p.calls, c.id)
	}
}
