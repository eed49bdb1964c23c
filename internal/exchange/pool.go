package exchange

import (
	"log/slog"
	"sync/atomic"
	"time"

	"frostshift"
	"frostshift/internal/contract"
	"frostshift/internal/eventlog"
	"frostshift/internal/verdict"
)

// PoolConfig is what a pool is made of.
type PoolConfig struct {
	Name     string
	Settings frostshift.Settings
	Seed     uint64
	Log      *slog.Logger
	Upstream Upstream
	Room     Room   // for open requests; nil: not bounded
	Watch    func() // the balancer asks for the host list; nil: nobody is asked
	// Learned is what another process had learned; nil: nothing is known. Repeated is what it had saved up of Repeats;
	// nil: a new pool's.
	Learned  *frostshift.Memory
	Repeated *float64
	// Banned are the hosts that operators have taken out.
	Banned []frostshift.HostID
	// Saw is told of each attempt that shows whether its host is there: it has answered, or
	// could not be connected to. It is called in the loop; nil: nobody asks.
	Saw func(id frostshift.HostID, answered bool)
	// Met is told how each attempt at a host ended and how long it took, as the balancer is; one that had no
	// answer for longer than its class's aim when its request ended is TimedOut here. It is called in
	// the loop and must not wait; nil: nobody asks.
	Met func(id frostshift.HostID, class int, result frostshift.Result, took frostshift.Time)
	// Out is told of each attempt that goes out to a host, 1, and that it is out no more, -1: it has ended, or
	// only the body of its answer is to come. It is called in the loop and must not wait; nil: nobody asks.
	Out func(id frostshift.HostID, more int)
	// Scheduler, FleetShare and Limiter share the pool out among teams; all or none.
	Scheduler  *contract.Scheduler
	FleetShare *contract.FleetShare
	Limiter    *contract.Limiter
	// Repeats is the share of requests that may be tried again after an attempt that may
	// have run; 0: all.
	Repeats float64
	// RepeatRight makes that budget a part of the whole fleet's; nil: it is this gateway's own.
	RepeatRight verdict.Right
}

// Pool is a set of hosts with a balancer of its own in an event loop of its own. Hosts,
// News and the counts are safe for concurrent use.
type Pool struct {
	name     string
	set      frostshift.Settings
	log      *slog.Logger
	clock    Clock
	x        *Exchange
	b        *frostshift.Balancer
	upstream Upstream
	room     Room
	watch    func()
	saw      func(frostshift.HostID, bool)
	met      func(frostshift.HostID, int, frostshift.Result, frostshift.Time)
	tellOut  func(frostshift.HostID, int)
	learned  *frostshift.Memory // to be taken over behind the first list
	began    frostshift.Time    // when the loop did
	advice   time.Duration      // when to come back where the pool itself is full; 0: none

	sched      *contract.Scheduler // nil: no contracts
	fleetShare *contract.FleetShare
	limiter    *contract.Limiter
	jury       *verdict.OutlierDetector
	repeats    verdict.Budget
	lookedAt   frostshift.Time // when the scheduler was told of the capacity
	pumpAt     frostshift.Time // when it is to be asked again; 0: with the next event

	events chan event
	quit   chan struct{} // closed: the loop ends once nothing is open
	done   chan struct{} // closed: it has ended

	calls    map[frostshift.RequestID]*Call
	lastID   frostshift.RequestID
	timers   timers
	begun    bool                   // Turn has been called
	listed   bool                   // there was a host list
	twins    atomic.Int32           // processes that share this instance's part
	shared   atomic.Pointer[shared] // who shares the hosts, as said last
	behindAt frostshift.Time        // up to when stalls have been told of
	acts     []frostshift.Action

	counts  Counts
	trouble *eventlog.Log
	ended   [][Failed + 1]atomic.Int64 // requests, by class and how
}

// Counts are a pool's totals since its start.
type Counts struct {
	Served, Refused, Failed, HandedOn, Left, Attempts atomic.Int64
	// Broke are answers whose bodies broke off on the way to the client: they are Failed too.
	Broke atomic.Int64
	// Results are attempts that brought no good answer, by frostshift.Result.
	Results [frostshift.Busy + 1]atomic.Int64
	// Faults are errors of the service; Blamed are those held against the host.
	Faults, Blamed atomic.Int64
}

// eventKind is what an event tells the loop.
type eventKind uint8

const (
	arrived       eventKind = iota // call is new here
	attemptEnded                   // result, answer and elapsed of attempt
	attemptFed                     // the last byte of its request has gone out
	attemptFlows                   // the head of its answer has come
	attemptFlowed                  // and the body has ended
	clientGone                     // nobody waits for call
	do                             // run is to be run
)

type event struct {
	kind    eventKind
	result  frostshift.Result
	call    *Call
	attempt *Attempt
	// Of an answer; malformed says that there was none that may be.
	answered, malformed bool
	meaning             verdict.Meaning
	after               time.Duration
	answer              Answer
	at                  frostshift.Time // when the attempt ended
	run                 func(now frostshift.Time)
}

// NewPool prepares a pool of the exchange; Run runs it.
func (x *Exchange) NewPool(c PoolConfig) (*Pool, error) {
	b, err := frostshift.New(c.Settings, c.Seed)
	if err != nil {
		return nil, err
	}
	p := &Pool{name: c.Name, set: c.Settings, log: c.Log, trouble: eventlog.New(c.Log), clock: x.clock, x: x, b: b, upstream: c.Upstream,
		room: c.Room, watch: c.Watch, saw: c.Saw, met: c.Met, tellOut: c.Out, learned: c.Learned, sched: c.Scheduler, fleetShare: c.FleetShare, limiter: c.Limiter, advice: c.Settings.MaxRetryAfter,
		events: make(chan event, 1024), quit: make(chan struct{}), done: make(chan struct{}),
		calls: map[frostshift.RequestID]*Call{}, jury: verdict.NewOutlierDetector(), repeats: verdict.NewBudget(c.Repeats)}
	if c.RepeatRight != nil {
		p.repeats.Share(c.RepeatRight)
	}
	if c.Repeated != nil {
		p.repeats.Restore(*c.Repeated)
	}
	if p.room == nil {
		p.room = Unbounded{}
	}
	for _, id := range c.Banned {
		b.Ban(0, id, true)
	}
	if p.watch == nil {
		p.watch = func() {}
	}
	if p.saw == nil {
		p.saw = func(frostshift.HostID, bool) {}
	}
	if p.met == nil {
		p.met = func(frostshift.HostID, int, frostshift.Result, frostshift.Time) {}
	}
	p.ended = make([][Failed + 1]atomic.Int64, len(c.Settings.Classes))
	for _, c := range c.Settings.Classes {
		p.advice = min(p.advice, c.Aim/2)
	}
	return p, nil
}

// Name is the pool's name in the configuration.
func (p *Pool) Name() string { return p.name }

// Counts are the totals so far.
func (p *Pool) Counts() *Counts { return &p.counts }

// Ended is how many requests of a class have ended so.
func (p *Pool) Ended(class int, v Verdict) int64 {
	if class >= len(p.ended) || v > Failed {
		return 0
	}
	return p.ended[class][v].Load()
}

// Done is closed once the loop has ended.
func (p *Pool) Done() <-chan struct{} { return p.done }

// Drain lets the loop end once nothing is open; it is called once. Nothing may be
// submitted from then on.
func (p *Pool) Drain() { close(p.quit) }

// post hands an event to the loop. It is dropped once the loop has ended.
func (p *Pool) post(e event) {
	select {
	case p.events <- e:
	case <-p.done:
		if e.answer != nil {
			e.answer.Release()
		}
	}
}

// News gives the loop a host list. apply runs first, in the loop: there the upstream
// learns the addresses of hosts before the balancer may name them.
func (p *Pool) News(kind frostshift.ListKind, hosts []frostshift.Host, apply func()) {
	p.post(event{kind: do, run: func(now frostshift.Time) {
		if apply != nil {
			apply()
		}
		p.listed = p.listed || kind != frostshift.ListFailed
		p.b.Hosts(now, kind, hosts)
		if len(hosts) > 0 {
			p.restore(now)
		}
	}})
}

// restore takes over what another process had learned, behind the first list that names hosts. One that comes late finds
// it worth nothing.
func (p *Pool) restore(now frostshift.Time) {
	if p.learned != nil && now-p.began < restoreWithin {
		p.b.Restore(now, p.learned)
	}
	p.learned = nil
}

// restoreWithin is how long what was learned waits for hosts: its ages stand still meanwhile.
const restoreWithin = 10 * time.Second

// Ban takes a host out by hand, or has it used again. apply runs first, in the loop, and done
// once it holds; it does not run where the loop has ended.
func (p *Pool) Ban(id frostshift.HostID, out bool, apply, done func()) {
	p.post(event{kind: do, run: func(now frostshift.Time) {
		apply()
		p.b.Ban(now, id, out)
		done()
	}})
}

// HostHealth gives the balancer what other gateways' outcomes say of hosts; of those that are not the
// pool's it takes no notice.
func (p *Pool) HostHealth(list []frostshift.HostHealth) {
	p.post(event{kind: do, run: func(now frostshift.Time) {
		for _, k := range list {
			p.b.HostHealth(now, k)
		}
	}})
}

// Crowded gives the balancer what other gateways have out at hosts; of those that are not the pool's it takes no
// notice.
func (p *Pool) Crowded(list []frostshift.Crowd) {
	p.post(event{kind: do, run: func(now frostshift.Time) {
		for _, k := range list {
			p.b.Crowded(now, k)
		}
	}})
}

// Behind runs f in the loop, behind all that has been posted so far.
func (p *Pool) Behind(f func()) {
	p.post(event{kind: do, run: func(frostshift.Time) { f() }})
}

// FailAll gives up what is still held: it fails instead of being lost at a kill.
func (p *Pool) FailAll() {
	p.post(event{kind: do, run: func(now frostshift.Time) {
		for _, c := range p.calls {
			if !c.closed {
				p.finish(c, Reply{Verdict: Failed})
				p.forget(now, c)
			}
		}
	}})
}

// Load is what a pool can take now and what it holds.
type Load struct {
	Ready    bool    // a host can take requests
	Capacity float64 // attempts that its hosts can hold at once
	Open     int     // requests
	Members  int     // hosts that are listed
	Away     int     // ... and get nothing
	Pace     float64 // requests a second that hosts which are all cold may get from here; 0: not bounded
}

// Look has the loop say how it stands, to f in the loop; done is closed if it has ended.
func (p *Pool) Look(f func(Load)) {
	p.post(event{kind: do, run: func(now frostshift.Time) {
		l := Load{Capacity: p.b.Capacity(now), Open: len(p.calls), Pace: p.b.Pace(now)}
		l.Members, l.Away = p.b.Members(now)
		for i := range p.set.Classes {
			l.Ready = l.Ready || p.b.Usable(now, i)
		}
		f(l)
	}})
}

// Standing has the loop say what it goes by, to f in the loop.
func (p *Pool) Standing(f func(frostshift.Standing)) {
	p.post(event{kind: do, run: func(now frostshift.Time) { f(p.b.Standing(now)) }})
}
