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

// Call is a request that awaits one final answer. Except for Reply, Gone and where the fields state
// otherwise, it belongs to the loop of the pool that it is in.
type Call struct {
	Request
	// Reply receives the one final answer. It has a buffer of one, so that no loop waits for a
	// client.
	Reply chan Reply

	x             *Exchange
	pool          atomic.Pointer[Pool] // changed only by the loop of the pool that the call leaves
	departed      atomic.Bool          // the client has left
	fallback      *Pool                // nil if there is none, or if the call was passed to it already
	id            frostshift.RequestID
	attempts      []*Attempt    // at this pool
	running       int           // attempts without an outcome yet
	priorAttempts int           // attempts at the previous pool
	mayRan        bool          // an attempt that has ended may have run
	admitted      bool          // the call was given to the balancer
	work          time.Duration // time of the attempts that have ended, at this pool
	interrupted   bool          // an attempt was interrupted before its end
	kept          *hostAnswer   // that a better one may replace; nil if there is none
	why           Why           // how the last attempt ended
	closed        bool          // the call has its answer, or nobody waits for one
	headWork      time.Duration // work up to the head of an answer whose body is still to come
	downloading   bool          // the call holds a place among the answers on their way
	freed         bool          // the call is closed and has released its id, its room and its Hold
	fault         bool          // the last answer was an error of the service
	stage         atomic.Uint32 // see Progress
	host          atomic.Uint64 // of the latest attempt
}

// Gone reports that the client has left: no attempt begins after it. A reply that has arrived by
// then must still be released by whoever finds it in Reply. The loop looks for it there.
func (c *Call) Gone() {
	c.departed.Store(true)
	c.pool.Load().post(event{kind: clientGone, call: c})
}

// clientWaits reports whether the client still waits. Once it has returned false, it always does.
func (c *Call) clientWaits() bool {
	if c.departed.Load() {
		return false
	}
	if c.Client != nil && !c.Client.Here() {
		c.departed.Store(true)
	}
	return !c.departed.Load()
}

// clientBlind reports whether the client could have left without being seen to.
func (c *Call) clientBlind() bool { return c.Client != nil && c.Client.Blind() }

// latest returns when the request must be over.
func (c *Call) latest() frostshift.Time {
	if c.Body != nil {
		return c.x.capToEnd(c.Ends)
	}
	return c.x.capToEnd(c.Deadline)
}

// Undelivered reports that the reply could not be written to the client whole. If the request may
// have run, a client retry with the same id is then rejected.
func (c *Call) Undelivered(r Reply) {
	if r.Ran {
		c.x.rememberLost(c.ID)
	}
}

// reject answers a call that no pool has accepted.
func (c *Call) reject(r Reply) {
	c.closed = true
	c.notifyEnd(Ending{At: c.x.clock.Now(), Verdict: r.Verdict})
	if c.Item != nil && r.Verdict == Refused {
		c.Item.Account.Refused[contract.OpenBound].Add(1)
	} else if c.Item != nil {
		c.Item.Account.Failed.Add(1)
	}
	c.releaseHold()
	c.reply(r)
}

// notifyEnd notifies the watcher, if any, how the request ended.
func (c *Call) notifyEnd(e Ending) {
	if c.Watch != nil {
		c.Watch.Ended(e)
	}
}

// workUntil returns the time that the attempts at this pool have taken up to now.
func (c *Call) workUntil(now frostshift.Time) time.Duration {
	sum := c.work
	for _, a := range c.attempts {
		if !a.ended {
			sum += a.took(now)
		}
	}
	return sum
}

func (c *Call) releaseHold() {
	if c.Hold != nil {
		c.Hold.Release()
	}
}

// accept takes over a request that is new to this pool.
func (p *Pool) accept(now frostshift.Time, c *Call) {
	p.lastID++
	c.id = p.lastID
	p.calls[c.id] = c
	p.watchBody(now, c)
	if c.closed {
		return
	}
	if c.Wait > 0 {
		p.delay(now, c)
		return
	}
	p.place(now, c)
}

// delay holds a request back for its Wait. Its client may leave meanwhile, and a shutdown fails it
// like any other request.
func (p *Pool) delay(now frostshift.Time, c *Call) {
	heap.Push(&p.timers, wake{now + c.Wait, tokenDelayed | uint64(c.id)})
	c.Wait = 0
}

// place passes a request that is not delayed any more to the fallback, the scheduler or the
// balancer.
func (p *Pool) place(now frostshift.Time, c *Call) {
	// Before the first list no host is known: the request waits for the list, as it would for a host.
	if c.fallback != nil && p.hasList && !p.b.Usable(now, c.Class) && p.passToFallback(c) {
		return
	}
	if c.Item == nil || p.sched == nil || p.enqueue(now, c) {
		p.admit(now, c)
	}
}

// admit gives the request to the balancer.
func (p *Pool) admit(now frostshift.Time, c *Call) {
	c.admitted = true
	p.b.Request(now, frostshift.Request{ID: c.id, Class: c.Class, Tenant: c.Tenant,
		Left: c.left(now), Repeat: c.Repeat, Spent: c.priorAttempts})
}

// left returns the time that a host may take for the answer.
func (c *Call) left(now frostshift.Time) time.Duration {
	if c.Body != nil {
		return min(c.Rest, max(0, c.latest()-now))
	}
	return max(0, c.latest()-now)
}

// passToFallback passes a request that this pool does not serve to its fallback and reports whether
// it did. It must not pass a request of which an attempt may have run, because the hosts of another
// pool do not recognize retries of this pool's requests. It does not pass one with an attempt in
// flight, nor one for which a host is ready here: the pool then rejects the request because of
// load, and that load must not spill over to the fallback. A request is passed only once, and only
// with an attempt left: the balancer that receives it limits further attempts but not the first.
func (p *Pool) passToFallback(c *Call) bool {
	to := c.fallback
	if c.Body != nil && !p.ways(c, body.Untouched).Has(body.Elsewhere) {
		return false
	}
	if to == nil || c.closed || c.running > 0 || c.mayRan || c.priorAttempts+len(c.attempts) >= to.set.MaxAttempts ||
		p.b.Usable(p.clock.Now(), c.Class) || !to.room.Take(1) {
		return false
	}
	delete(p.calls, c.id)
	p.settle(c)
	c.admitted = false
	p.room.Give(1)
	p.counts.HandedOn.Add(1)
	c.priorAttempts += len(c.attempts)
	c.attempts, c.fallback = nil, nil
	c.pool.Store(to)
	e := event{kind: arrived, call: c}
	select {
	case to.events <- e:
	default: // two pools may be each other's fallback, so neither loop may wait for the other
		go to.post(e)
	}
	return true
}

// clientLeft handles the departure of a call's client.
func (p *Pool) clientLeft(now frostshift.Time, c *Call) {
	if at := c.pool.Load(); at != p { // passed to the fallback meanwhile
		go at.post(event{kind: clientGone, call: c})
		return
	}
	if !c.closed {
		p.counts.Left.Add(1)
		if c.Item != nil {
			c.Item.Account.Left.Add(1)
		}
		if p.mustNotRerun(c) {
			c.x.rememberLost(c.ID)
		}
		c.notifyEnd(Ending{At: now, Left: true, Work: c.workUntil(now)})
		p.close(c)
		p.withdraw(now, c)
		return
	}
	c.takeBack()
}

// takeBack takes the reply back that came too late for a client that has left, if the front has not taken it.
func (c *Call) takeBack() {
	select {
	case r := <-c.Reply:
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
	until := c.x.capToEnd(c.Deadline)
	if act.At > 0 {
		until = min(until, act.At)
	}
	now := p.clock.Now()
	if !p.maySend(now, c) {
		return
	}
	if c.kept != nil && !c.kept.Light() { // others need the shared room that it occupies
		c.dropKept()
	}
	left := until - now
	if c.Body != nil {
		until, left = c.latest(), c.left(now)
	}
	a := &Attempt{Host: act.Host, Message: c.Message, Answers: c.Answers, Until: p.clock.At(until), Left: left,
		pool: p, call: c, n: len(c.attempts), withdrawn: p.takingHost(act.Host), started: now, sendBy: p.retryBy(c), sent: now}
	c.attempts = append(c.attempts, a)
	c.running++
	c.stage.Store(uint32(StageAttempt))
	c.host.Store(uint64(act.Host))
	p.counts.Attempts.Add(1)
	p.setInFlight(a, 1)
	a.handle = p.upstream.Start(a)
	if c.Body != nil {
		p.b.RequestBodyPending(now, c.id, a.n)
		p.park(now, c)
	}
}

// retryBy returns until when the next attempt at a request may be sent. Hosts drop duplicates of a
// keyed request for the class's window, counted from its first attempt that may have run. 0 means
// no limit.
func (p *Pool) retryBy(c *Call) frostshift.Time {
	class := &p.set.Classes[c.Class]
	if class.Effect != frostshift.Keyed {
		return 0
	}
	if first := c.firstThatMayRun(nil); first != nil {
		return first.started + class.Window
	}
	return 0
}

// setInFlight reports that an attempt is in flight, or no longer is, each once per attempt.
func (p *Pool) setInFlight(a *Attempt, delta int) {
	if p.onInFlightChange != nil && a.inFlight != (delta > 0) {
		a.inFlight = delta > 0
		p.onInFlightChange(a.Host, delta)
	}
}

// outcome handles the end of an attempt.
func (p *Pool) outcome(now frostshift.Time, e *event) {
	c, a := e.call, e.attempt
	if c.running--; c.running == 0 {
		c.stage.CompareAndSwap(uint32(StageAttempt), uint32(StageQueued))
	}
	a.ended = true
	p.setInFlight(a, -1)
	elapsed := a.took(e.at)
	c.work += elapsed
	p.unpark(now, c)
	result := e.result
	if e.answered {
		result = p.judge(now, c, a, e.meaning)
	}
	p.attemptEnded(now, a, result, e.short, elapsed)
	c.interrupted = c.interrupted || result == frostshift.TimedOut || result == frostshift.Canceled && !e.answered
	switch result {
	case frostshift.Full, frostshift.ConnectFailed, frostshift.NotSent:
	default:
		c.mayRan, a.mayRan = true, true
	}
	if result == frostshift.ConnectFailed {
		p.onHostSeen(a.Host, false)
	} else if e.answered || e.malformed || result == frostshift.Full {
		p.onHostSeen(a.Host, true)
	}
	c.why = whyOf(e, result)
	switch {
	case e.answer == nil:
	case c.closed || e.meaning.Disposition == verdict.Hidden:
		e.answer.Release() // nobody receives it
	case e.meaning.Disposition == verdict.Final:
		p.give(now, c, newHostAnswer(e))
	default:
		p.keep(now, c, newHostAnswer(e))
	}
	if !e.answered && !c.closed && c.Answers.Ends(eventOf(e, result)) && c.mayRan {
		p.finish(c, Reply{Verdict: Failed, Why: c.why})
	}
	if e.short != nil && !c.closed {
		p.endShort(c, e.short)
	}
	if c.Body != nil && !c.closed {
		p.checkBody(c, a, e, result)
	}
	result = p.balancerResult(c, result)
	if reported := result; !a.flows {
		if result == frostshift.Canceled && c.closed && !e.answered && e.short == nil && elapsed >= p.set.Classes[c.Class].Aim {
			reported = frostshift.TimedOut
		}
		p.onAttemptEnd(a.Host, c.Class, reported, elapsed)
	}
	p.b.Outcome(now, frostshift.Outcome{Request: c.id, Attempt: a.n, Result: result, Elapsed: elapsed, After: e.after, Closed: c.closed})
	p.release(c)
}

// judge converts an answer to the result that is reported to the balancer. An answer that is not
// the host's fault is a good result, even if the client may still get a better answer.
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

func whyOf(e *event, r frostshift.Result) Why {
	switch {
	case e.short != nil:
		return WhyNoRoom
	case e.malformed:
		return WhyMalformed
	case e.answered:
		return WhyAnswered
	case r == frostshift.TimedOut:
		return WhyTimedOut
	case r == frostshift.Reset:
		return WhyReset
	case r == frostshift.Canceled:
		return WhyCanceled
	}
	return Unsent
}

// eventOf returns the verdict event for an attempt that ended without an answer. It is used only if
// the attempt may have run.
func eventOf(e *event, r frostshift.Result) verdict.Event {
	switch {
	case e.malformed:
		return verdict.Malformed
	case r == frostshift.TimedOut:
		return verdict.TimedOut
	}
	return verdict.Reset
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

// rememberRun records the id of a request that has run and must not run again, where it is used only once.
func (p *Pool) rememberRun(c *Call) {
	if c.UniqueID && p.mustNotRerun(c) {
		c.x.rememberDone(c.ID)
	}
}

// close ends a request: nothing is sent for it after that.
func (p *Pool) close(c *Call) {
	p.markClosed(c)
	p.rememberRun(c)
	c.freed = true
	c.x.releaseID(c.ID)
	p.room.Give(1)
	for _, a := range c.attempts {
		a.callOff()
	}
	p.settle(c)
	p.release(c)
	c.releaseHold()
}

// markClosed marks the answer of a request as chosen and drops the one that was kept.
func (p *Pool) markClosed(c *Call) {
	c.closed = true
	c.dropKept()
}

// withdraw notifies the balancer that nobody waits for a request any more.
func (p *Pool) withdraw(now frostshift.Time, c *Call) {
	if c.admitted {
		p.b.ClientGone(now, c.id)
	}
}

// release removes a closed request once its attempts have ended.
func (p *Pool) release(c *Call) {
	if c.closed && c.running == 0 {
		delete(p.calls, c.id)
	}
}
