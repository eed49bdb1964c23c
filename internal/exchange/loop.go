package exchange

import (
	"container/heap"
	"log/slog"
	"runtime"
	"time"

	"frostshift"
)

// minStall is how late the loop must be for a due timer before the delay counts as a stall of the
// process itself. The scheduling of goroutines causes shorter delays.
const minStall = 5 * time.Millisecond

// catchUpYields is how often, after a stall, the loop yields to other goroutines before it handles
// its own timers.
const catchUpYields = 4

// Run handles events until the pool has been drained and nothing is open. saved, if not nil, is the
// host list of an earlier run; apply is called with it as in UpdateHosts.
func (p *Pool) Run(saved []frostshift.Host, apply func()) {
	defer p.dropEvents()
	defer close(p.done)
	p.begin(saved, apply)
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	var armed frostshift.Time // the time that the timer is set to; 0 means not set
	quit := p.quit
	for quit != nil || len(p.calls) > 0 {
		if len(p.timers) > 0 && p.timers[0].at != armed {
			armed = p.timers[0].at
			timer.Reset(time.Until(p.clock.At(armed)))
		}
		select {
		case <-quit:
			quit = nil
			continue
		case e := <-p.events:
			p.reportStall()
			p.handle(p.clock.Now(), &e)
			p.runActions()
			p.dispatch()
		case <-timer.C:
			armed = 0
			if p.reportStall() {
				p.catchUp()
			}
		}
		p.fireTimers()
	}
}

func (p *Pool) begin(saved []frostshift.Host, apply func()) {
	p.b.Start(p.clock.Now())
	if saved != nil {
		apply()
		p.hasList = true
		p.b.Hosts(p.clock.Now(), frostshift.ListSaved, saved)
	}
	if p.startedAt = p.clock.Now(); len(saved) > 0 {
		p.restore(p.startedAt)
	}
	p.runActions()
}

// fireTimers handles the timers that are due.
func (p *Pool) fireTimers() {
	for len(p.timers) > 0 && p.timers[0].at <= p.clock.Now() {
		t := heap.Pop(&p.timers).(wake)
		switch {
		case t.token == tokenDispatch:
			p.dispatchAt = 0
		case t.token&tokenDispatch == tokenDelayed:
			if c := p.calls[frostshift.RequestID(t.token&^tokenDelayed)]; c != nil && !c.closed {
				p.place(p.clock.Now(), c)
				p.runActions()
			}
		case t.token&tokenDispatch == tokenBody:
			if c := p.calls[frostshift.RequestID(t.token&^tokenBody)]; c != nil {
				p.watchBody(p.clock.Now(), c)
				p.runActions()
			}
		default:
			p.b.Timer(p.clock.Now(), t.token)
			p.runActions()
		}
		p.dispatch()
	}
}

// RunDue handles all pending events and due timers, for a pool in virtual time that does not use
// Run. It returns the latest time of the next call; 0 means with the next event. The first call
// starts the pool.
func (p *Pool) RunDue() (next frostshift.Time) {
	if !p.started {
		p.started = true
		p.begin(nil, nil)
	}
	for {
		select {
		case e := <-p.events:
			p.handle(p.clock.Now(), &e)
			p.runActions()
			p.dispatch()
			continue
		default:
		}
		if p.fireTimers(); len(p.events) > 0 {
			continue
		}
		if len(p.timers) == 0 {
			return 0
		}
		return p.timers[0].at
	}
}

// reportStall notifies the balancer of a stall of the gateway itself if the loop is late for its
// next timer: the processor quota of the process was exhausted, or the machine was overloaded. It
// reports whether there was a stall.
func (p *Pool) reportStall() bool {
	if len(p.timers) == 0 {
		return false
	}
	now := p.clock.Now()
	from := max(p.timers[0].at, p.stalledUntil)
	if now-from < minStall {
		return false
	}
	p.stalledUntil = now
	p.noteStall(now, now-from)
	p.b.Stalled(now, now-from)
	return true
}

// loggedStall is how long a stall of the loop is that gets a line in the log.
const loggedStall = 50 * time.Millisecond

// noteStall counts a stall, and logs a long one.
func (p *Pool) noteStall(now, late frostshift.Time) {
	p.counts.Stalls.Add(1)
	p.counts.Stalled.Add(int64(late))
	if late >= loggedStall {
		p.failureLog.Note(now, "the pool's loop is late", slog.String("pool", p.name), slog.Duration("late", late),
			slog.Int("events waiting", len(p.events)), slog.Int("open", len(p.calls)))
	}
}

// catchUp handles the events that arrived during a stall before the timers, which would otherwise
// judge hosts by the clock alone although they have answered meanwhile. It yields to the goroutines
// that read the answers.
func (p *Pool) catchUp() {
	for range catchUpYields {
		runtime.Gosched()
		for n := len(p.events); n > 0; n-- {
			e := <-p.events
			p.handle(p.clock.Now(), &e)
			p.runActions()
		}
	}
	p.dispatch()
}

func (p *Pool) handle(now frostshift.Time, e *event) {
	switch e.kind {
	case arrived:
		p.accept(now, e.call)
	case attemptEnded:
		p.outcome(now, e)
	case attemptFed:
		p.fed(now, e)
	case attemptFlows:
		p.flows(now, e)
	case attemptFlowed:
		p.flowed(now, e)
	case clientGone:
		p.clientLeft(now, e.call)
	case callFunc:
		e.run(now)
	}
}

// runActions executes the balancer's actions, including those that result from them.
func (p *Pool) runActions() {
	for p.actions = p.b.Drain(p.actions[:0]); len(p.actions) > 0; p.actions = p.b.Drain(p.actions[:0]) {
		p.runActionBatch()
	}
}

func (p *Pool) runActionBatch() {
	for i := range p.actions {
		a := &p.actions[i]
		switch a.Kind {
		case frostshift.Send:
			p.send(a)
		case frostshift.Cancel:
			if c := p.calls[a.Request]; c != nil && a.Attempt < len(c.attempts) {
				c.attempts[a.Attempt].callOff()
			}
		case frostshift.Refuse:
			if c := p.calls[a.Request]; c != nil && !p.passToFallback(c) {
				p.finish(c, Reply{Verdict: Refused, After: a.After})
			}
		case frostshift.Fail:
			if c := p.calls[a.Request]; c != nil {
				p.finish(c, Reply{Verdict: Failed, Why: c.why})
			}
		case frostshift.Wake:
			heap.Push(&p.timers, wake{a.At, a.Token})
		case frostshift.Watch:
			p.watch()
		case frostshift.Log:
			p.log.Info(a.Text)
		}
	}
}

// wake is a timer requested by the balancer or by the pool itself.
type wake struct {
	at    frostshift.Time
	token uint64
}

// timers is a heap with the earliest timer first.
type timers []wake

func (t timers) Len() int { return len(t) }

func (t timers) Less(i, j int) bool { return t[i].at < t[j].at }

func (t timers) Swap(i, j int) { t[i], t[j] = t[j], t[i] }

func (t *timers) Push(w any) { *t = append(*t, w.(wake)) }

func (t *timers) Pop() any {
	old := *t
	w := old[len(old)-1]
	*t = old[:len(old)-1]
	return w
}
