package gateway

import (
	"container/heap"
	"context"
	"log/slog"
	"time"

	"frostshift"
)

// clock is the balancer's: Unix time at the start of the process plus what has
// passed since on the monotonic clock. The balancer takes a host's start at or
// before 0 as long ago, so the origin must lie well before any host's start.
type clock struct{ start time.Time }

func (c clock) now() frostshift.Time {
	return frostshift.Time(c.start.UnixNano()) + time.Since(c.start)
}

// at turns an instant of the balancer's clock into one of the system's.
func (c clock) at(t frostshift.Time) time.Time {
	return c.start.Add(t - frostshift.Time(c.start.UnixNano()))
}

// clockOf converts Unix milliseconds to that clock; 0 stays 0.
func clockOf(ms int64) frostshift.Time { return frostshift.Time(ms) * time.Millisecond }

// call is a client's request that is owed one final answer.
type call struct {
	in       inbound
	id       frostshift.RequestID
	deadline frostshift.Time
	attempts []*attempt
	out      int         // attempts without an outcome yet
	closed   bool        // it has its answer, or nobody waits for one
	answer   chan answer // holds one, so that the loop never waits for a client
}

// answer is the final answer to a client.
type answer struct {
	served *served // the host's answer, or nil
	refuse bool
	taken  bool          // not accepted: its id is that of an open request
	after  time.Duration // advice with a refusal; 0: none
}

// loop owns the balancer. All that touches it runs in one goroutine, as events
// that come over one channel.
type loop struct {
	cfg    *Config
	log    *slog.Logger
	clock  clock
	b      *frostshift.Balancer
	pool   *pool
	watch  func() // asks discovery for a watch
	events chan func(now frostshift.Time)
	done   chan struct{}

	calls  map[frostshift.RequestID]*call
	open   map[string]*call // those that are owed an answer, by X-Correlation-Id
	advice time.Duration    // when to come back where the gateway itself is full; 0: none
	lastID frostshift.RequestID
	timers timers
	acts   []frostshift.Action
}

func newLoop(cfg *Config, log *slog.Logger) (*loop, error) {
	b, err := frostshift.New(cfg.Settings, cfg.Seed)
	if err != nil {
		return nil, err
	}
	l := &loop{cfg: cfg, log: log, clock: clock{time.Now()}, b: b, pool: newPool(cfg), watch: func() {},
		events: make(chan func(frostshift.Time), 1024), done: make(chan struct{}),
		calls: map[frostshift.RequestID]*call{}, open: map[string]*call{}, advice: cfg.Settings.MaxRetryAfter}
	for _, c := range cfg.Settings.Classes {
		l.advice = min(l.advice, c.Aim/2)
	}
	return l, nil
}

// post hands an event to the loop. It is dropped once the loop has ended.
func (l *loop) post(event func(now frostshift.Time)) {
	select {
	case l.events <- event:
	case <-l.done:
	}
}

// run handles events until the context ends.
func (l *loop) run(ctx context.Context) {
	defer close(l.done)
	l.b.Start(l.clock.now())
	if l.cfg.Known != nil {
		l.hosts(l.clock.now(), frostshift.ListSaved, l.cfg.Known)
	}
	l.carryOut()
	timer := time.NewTimer(0)
	for {
		if len(l.timers) > 0 {
			timer.Reset(time.Until(l.clock.at(l.timers[0].at)))
		}
		select {
		case <-ctx.Done():
			return
		case event := <-l.events:
			event(l.clock.now())
			l.carryOut()
		case <-timer.C:
		}
		for len(l.timers) > 0 && l.timers[0].at <= l.clock.now() {
			t := heap.Pop(&l.timers).(wake)
			l.b.Timer(l.clock.now(), t.token)
			l.carryOut()
		}
	}
}

// carryOut does what the balancer asks for.
func (l *loop) carryOut() {
	l.acts = l.b.Drain(l.acts[:0])
	for i := range l.acts {
		a := &l.acts[i]
		switch a.Kind {
		case frostshift.Send:
			l.send(a)
		case frostshift.Cancel:
			if c := l.calls[a.Request]; c != nil && a.Attempt < len(c.attempts) {
				c.attempts[a.Attempt].callOff()
			}
		case frostshift.Refuse:
			l.finish(l.calls[a.Request], answer{refuse: true, after: a.After})
		case frostshift.Fail:
			l.finish(l.calls[a.Request], answer{})
		case frostshift.Wake:
			heap.Push(&l.timers, wake{a.At, a.Token})
		case frostshift.Watch:
			l.watch()
		case frostshift.Log:
			l.log.Info(a.Text)
		}
	}
}

// accept takes over a client's request.
func (l *loop) accept(now frostshift.Time, c *call) {
	if l.open[c.in.id] != nil {
		// Two requests of one id would be one to the hosts, which run it once.
		c.closed = true
		c.answer <- answer{taken: true}
		return
	}
	l.open[c.in.id] = c
	l.lastID++
	c.id = l.lastID
	l.calls[c.id] = c
	l.b.Request(now, frostshift.Request{ID: c.id, Class: c.in.class, Tenant: c.in.tenant,
		Left: max(0, c.deadline-now), Repeat: c.in.repeat})
}

// gone says that the client has closed its connection.
func (l *loop) gone(now frostshift.Time, c *call) {
	if !c.closed {
		l.close(c)
		l.b.Gone(now, c.id)
		return
	}
	select {
	case a := <-c.answer: // it came too late for this client
		if a.served != nil {
			a.served.release()
		}
	default:
	}
}

// send starts an attempt.
func (l *loop) send(a *frostshift.Action) {
	c := l.calls[a.Request]
	if c == nil {
		return
	}
	until := c.deadline
	if a.At > 0 {
		until = min(until, a.At)
	}
	t := &attempt{loop: l, call: c, n: len(c.attempts), sent: l.clock.now()}
	c.attempts = append(c.attempts, t)
	c.out++
	t.start(l.pool.host(a.Host), until)
}

// outcome is the end of an attempt; s is the host's answer if it served.
func (l *loop) outcome(now frostshift.Time, t *attempt, result frostshift.Result, elapsed time.Duration, s *served) {
	c := t.call
	c.out--
	t.ended = true
	if s != nil && (result != frostshift.OK || c.closed) {
		s.release() // nobody gets it
	} else if s != nil {
		l.finish(c, answer{served: s})
	}
	l.b.Outcome(now, frostshift.Outcome{Request: c.id, Attempt: t.n, Result: result, Elapsed: elapsed, Closed: c.closed})
	l.release(c)
}

// finish gives the final answer, once. What is still out for the request is called
// off first: nothing may go out for it once the client has its answer.
func (l *loop) finish(c *call, a answer) {
	if c == nil || c.closed {
		return
	}
	l.close(c)
	c.answer <- a
}

// failAll gives up what is still held, at the end of the gateway.
func (l *loop) failAll(now frostshift.Time) {
	for _, c := range l.calls {
		if !c.closed {
			l.finish(c, answer{})
			l.b.Gone(now, c.id)
		}
	}
}

// close ends a request: nothing goes out for it from here on.
func (l *loop) close(c *call) {
	c.closed = true
	delete(l.open, c.in.id)
	for _, t := range c.attempts {
		t.callOff()
	}
	l.release(c)
}

// release forgets a closed request once its attempts have ended.
func (l *loop) release(c *call) {
	if c.closed && c.out == 0 {
		delete(l.calls, c.id)
	}
}

// hosts takes over a list from discovery. The caller has checked it.
func (l *loop) hosts(now frostshift.Time, kind frostshift.ListKind, list *hostList) {
	hosts, err := l.cfg.hosts(list)
	if err != nil {
		l.log.Error("host list not taken over", "err", err)
		return
	}
	l.pool.update(kind != frostshift.ListChanges, hosts, list.Endpoints)
	l.b.Hosts(now, kind, hosts)
}

// wake is a timer that the balancer asked for.
type wake struct {
	at    frostshift.Time
	token uint64
}

// timers is a heap, the one due next first.
type timers []wake

func (t timers) Len() int           { return len(t) }
func (t timers) Less(i, j int) bool { return t[i].at < t[j].at }
func (t timers) Swap(i, j int)      { t[i], t[j] = t[j], t[i] }
func (t *timers) Push(w any)        { *t = append(*t, w.(wake)) }
func (t *timers) Pop() any {
	old := *t
	w := old[len(old)-1]
	*t = old[:len(old)-1]
	return w
}
