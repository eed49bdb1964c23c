package exchange

import (
	"container/heap"
	"runtime"
	"time"

	"frostshift"
)

// leastStall is how late the loop must be for what is due to count as a stall of the process's
// own. Scheduling among goroutines takes less.
const leastStall = 5 * time.Millisecond

// catchUps is how often, behind a stall, others may run before the loop's timers do.
const catchUps = 4

// Run handles events until the pool has been drained and nothing is open. saved, if not
// nil, is the host list of an earlier run; apply goes with it as with News.
func (p *Pool) Run(saved []frostshift.Host, apply func()) {
	defer close(p.done)
	p.begin(saved, apply)
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	var armed frostshift.Time // what the timer is set to; 0: nothing
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
			p.behind()
			p.handle(p.clock.Now(), &e)
			p.carryOut()
			p.pump()
		case <-timer.C:
			armed = 0
			if p.behind() {
				p.catchUp()
			}
		}
		p.ring()
	}
}

func (p *Pool) begin(saved []frostshift.Host, apply func()) {
	p.b.Start(p.clock.Now())
	if saved != nil {
		apply()
		p.listed = true
		p.b.Hosts(p.clock.Now(), frostshift.ListSaved, saved)
	}
	if p.began = p.clock.Now(); len(saved) > 0 {
		p.restore(p.began)
	}
	p.carryOut()
}

// ring rings the timers that are due.
func (p *Pool) ring() {
	for len(p.timers) > 0 && p.timers[0].at <= p.clock.Now() {
		t := heap.Pop(&p.timers).(wake)
		switch {
		case t.token == tokenPump:
			p.pumpAt = 0
		case t.token&tokenPump == tokenHeld:
			if c := p.calls[frostshift.RequestID(t.token&^tokenHeld)]; c != nil && !c.closed {
				p.place(p.clock.Now(), c)
				p.carryOut()
			}
		default:
			p.b.Timer(p.clock.Now(), t.token)
			p.carryOut()
		}
		p.pump()
	}
}

// RunDue does what has come and is due, for a pool that is played on a clock set by hand and is
// not Run. It says when it is to be called again at the latest; 0: with the next event. Its
// first call begins the pool.
func (p *Pool) RunDue() (next frostshift.Time) {
	if !p.begun {
		p.begun = true
		p.begin(nil, nil)
	}
	for {
		select {
		case e := <-p.events:
			p.handle(p.clock.Now(), &e)
			p.carryOut()
			p.pump()
			continue
		default:
		}
		if p.ring(); len(p.events) > 0 {
			continue
		}
		if len(p.timers) == 0 {
			return 0
		}
		return p.timers[0].at
	}
}

// behind tells the balancer that the gateway itself has stood still, or was behind, if the
// loop is late for what is due next: its share of the processor was used up, or the
// machine's was. It says whether that was so.
func (p *Pool) behind() bool {
	if len(p.timers) == 0 {
		return false
	}
	now := p.clock.Now()
	from := max(p.timers[0].at, p.behindAt)
	if now-from < leastStall {
		return false
	}
	p.behindAt = now
	p.b.Stalled(now, now-from)
	return true
}

// catchUp takes what has come during a stall before timers that would judge by the clock
// alone: hosts have answered meanwhile. It gives those that read the answers a chance to.
func (p *Pool) catchUp() {
	for range catchUps {
		runtime.Gosched()
		for n := len(p.events); n > 0; n-- {
			e := <-p.events
			p.handle(p.clock.Now(), &e)
			p.carryOut()
		}
	}
	p.pump()
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
		p.gone(now, e.call)
	case do:
		e.run(now)
	}
}

// carryOut does what the balancer asks for, also what it asks for meanwhile.
func (p *Pool) carryOut() {
	for p.acts = p.b.Drain(p.acts[:0]); len(p.acts) > 0; p.acts = p.b.Drain(p.acts[:0]) {
		p.carryOutAll()
	}
}

func (p *Pool) carryOutAll() {
	for i := range p.acts {
		a := &p.acts[i]
		switch a.Kind {
		case frostshift.Send:
			p.send(a)
		case frostshift.Cancel:
			if c := p.calls[a.Request]; c != nil && a.Attempt < len(c.attempts) {
				c.attempts[a.Attempt].callOff()
			}
		case frostshift.Refuse:
			if c := p.calls[a.Request]; c != nil && !p.handOn(c) {
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

// wake is a timer that the balancer asked for.
type wake struct {
	at    frostshift.Time
	token uint64
}

// timers is a heap, the one due next first.
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
