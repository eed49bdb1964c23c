package exchange

import (
	"log/slog"
	"sync/atomic"
	"time"

	"frostshift"
	"frostshift/internal/contract"
	"frostshift/internal/eventlog"
	"frostshift/internal/shortage"
	"frostshift/internal/verdict"
)

// PoolConfig configures a pool.
type PoolConfig struct {
	Name     string
	Settings frostshift.Settings
	Seed     uint64
	Log      *slog.Logger
	Upstream Upstream
	Room     Room // for open requests; nil means that they are not bounded
	// Downloads bounds the answers whose bodies are on their way to clients; nil means that they are not bounded.
	Downloads Room
	Watch     func() // called when the balancer asks for the host list; may be nil
	// Learned is the learned state of another process; nil if there is none. Repeated is the number
	// of retries that the other process had left in its budget of Repeats; nil means the initial
	// budget of a new pool.
	Learned  *frostshift.Memory
	Repeated *float64
	// Banned are the hosts that operators have taken out of service.
	Banned []frostshift.HostID
	// HostSeen is notified of each attempt that shows whether its host is reachable: the host has
	// answered, or could not be connected to. It is called in the loop and may be nil.
	HostSeen func(id frostshift.HostID, answered bool)
	// AttemptEnded is notified how each attempt at a host ended and how long it took, as the
	// balancer is. An attempt that had no answer for at least its class's aim when its request
	// ended is reported as TimedOut here. It is called in the loop and must not block; it may be
	// nil.
	AttemptEnded func(id frostshift.HostID, class int, result frostshift.Result, took frostshift.Time)
	// InFlightChanged is called with 1 for each attempt that is sent to a host, and with -1 when it
	// is no longer in flight: it has ended, or only the body of its answer is still to come. It is
	// called in the loop and must not block; it may be nil.
	InFlightChanged func(id frostshift.HostID, delta int)
	// Scheduler, FleetShare and Limiter divide the pool among teams. Either all or none are set.
	Scheduler  *contract.Scheduler
	FleetShare *contract.FleetShare
	Limiter    *contract.Limiter
	// Repeats is the maximum ratio of retries to requests, counting retries after an attempt that
	// may have run; 0 means no limit.
	Repeats float64
	// RetryShare makes that retry budget the gateway's share of a budget of the whole fleet; nil
	// means that it is the gateway's own.
	RetryShare verdict.Right
}

// Pool is a set of hosts with its own balancer in its own event loop. UpdateHosts and the counts
// are safe for concurrent use.
type Pool struct {
	name             string
	set              frostshift.Settings
	log              *slog.Logger
	clock            Clock
	x                *Exchange
	b                *frostshift.Balancer
	upstream         Upstream
	room             Room
	downloads        Room
	watch            func()
	onHostSeen       func(frostshift.HostID, bool)
	onAttemptEnd     func(frostshift.HostID, int, frostshift.Result, frostshift.Time)
	onInFlightChange func(frostshift.HostID, int)
	learned          *frostshift.Memory // learned state to be restored after the first list that names hosts
	startedAt        frostshift.Time    // when the loop started
	advice           time.Duration      // retry advice if the pool itself is full; 0 means none

	sched       *contract.Scheduler // nil if there are no contracts
	fleetShare  *contract.FleetShare
	limiter     *contract.Limiter
	jury        *verdict.OutlierDetector
	retryBudget verdict.Budget
	capacityAt  frostshift.Time // when the scheduler was last given the capacity
	dispatchAt  frostshift.Time // when the scheduler is due again; 0 means with the next event

	events chan event
	quit   chan struct{} // closed by Drain: the loop ends once nothing is open
	done   chan struct{} // closed when the loop has ended

	calls        map[frostshift.RequestID]*Call
	lastID       frostshift.RequestID
	timers       timers
	taking       map[frostshift.HostID]chan struct{} // see takingHost
	started      bool                                // RunDue has been called
	hasList      bool                                // a host list has arrived
	processes    atomic.Int32                        // processes of this instance, see SetProcesses
	fleetState   atomic.Pointer[fleetState]          // the latest report of the instances that share the hosts
	stalledUntil frostshift.Time                     // the time up to which stalls have been reported
	actions      []frostshift.Action

	counts     Counts
	failureLog *eventlog.Log
	ended      [][Failed + 1]atomic.Int64 // ended requests, by class and verdict
}

// Counts are a pool's totals since its start.
type Counts struct {
	Served, Refused, Failed, HandedOn, Left, Attempts atomic.Int64
	// Broke counts answers whose bodies broke off on the way to the client. They count as Failed
	// too.
	Broke atomic.Int64
	// Overdue counts requests whose time ended before their bodies had been sent on. They count as
	// Refused or Failed too.
	Overdue atomic.Int64
	// Results counts attempts without a good answer, by frostshift.Result.
	Results [frostshift.Busy + 1]atomic.Int64
	// Stalls counts how often the loop was late for a timer, Stalled the nanoseconds in all.
	Stalls, Stalled atomic.Int64
	// Faults counts errors of the service; Blamed counts those attributed to the host.
	Faults, Blamed atomic.Int64
}

// eventKind is the kind of an event of the loop.
type eventKind uint8

const (
	arrived       eventKind = iota // call is new to this pool
	attemptEnded                   // attempt has ended, with result and answer
	attemptFed                     // the last byte of the attempt's request has been sent
	attemptFlows                   // the head of the attempt's answer has arrived
	attemptFlowed                  // the body of the attempt's answer has ended
	clientGone                     // nobody waits for call any more
	callFunc                       // run is to be called
)

type event struct {
	kind    eventKind
	result  frostshift.Result
	call    *Call
	attempt *Attempt
	// These fields describe an answer. malformed means that what came back is no valid answer.
	answered, malformed bool
	short               *shortage.Error // that has ended the attempt; nil: none has
	meaning             verdict.Meaning
	after               time.Duration
	answer              Answer
	at                  frostshift.Time // when the event happened
	run                 func(now frostshift.Time)
}

// NewPool prepares a pool of the exchange. Run starts it.
func (x *Exchange) NewPool(c PoolConfig) (*Pool, error) {
	b, err := frostshift.New(c.Settings, c.Seed)
	if err != nil {
		return nil, err
	}
	p := &Pool{name: c.Name, set: c.Settings, log: c.Log, failureLog: eventlog.New(c.Log), clock: x.clock, x: x, b: b, upstream: c.Upstream,
		room: c.Room, downloads: c.Downloads, watch: c.Watch, onHostSeen: c.HostSeen, onAttemptEnd: c.AttemptEnded, onInFlightChange: c.InFlightChanged, learned: c.Learned, sched: c.Scheduler, fleetShare: c.FleetShare, limiter: c.Limiter, advice: c.Settings.MaxRetryAfter,
		events: make(chan event, 1024), quit: make(chan struct{}), done: make(chan struct{}),
		calls: map[frostshift.RequestID]*Call{}, taking: map[frostshift.HostID]chan struct{}{}, jury: verdict.NewOutlierDetector(), retryBudget: verdict.NewBudget(c.Repeats)}
	if c.RetryShare != nil {
		p.retryBudget.Share(c.RetryShare)
	}
	if c.Repeated != nil {
		p.retryBudget.Restore(*c.Repeated)
	}
	if p.room == nil {
		p.room = Unbounded{}
	}
	if p.downloads == nil {
		p.downloads = Unbounded{}
	}
	for _, id := range c.Banned {
		b.Ban(0, id, true)
	}
	if p.watch == nil {
		p.watch = func() {}
	}
	if p.onHostSeen == nil {
		p.onHostSeen = func(frostshift.HostID, bool) {}
	}
	if p.onAttemptEnd == nil {
		p.onAttemptEnd = func(frostshift.HostID, int, frostshift.Result, frostshift.Time) {}
	}
	p.ended = make([][Failed + 1]atomic.Int64, len(c.Settings.Classes))
	for _, c := range c.Settings.Classes {
		p.advice = min(p.advice, c.Aim/2)
	}
	return p, nil
}

// Name returns the pool's name in the configuration.
func (p *Pool) Name() string { return p.name }

// Counts returns the totals so far.
func (p *Pool) Counts() *Counts { return &p.counts }

// Ended returns the number of requests of a class that have ended with a verdict.
func (p *Pool) Ended(class int, v Verdict) int64 {
	if class >= len(p.ended) || v > Failed {
		return 0
	}
	return p.ended[class][v].Load()
}

// Done returns a channel that is closed once the loop has ended.
func (p *Pool) Done() <-chan struct{} { return p.done }

// Drain lets the loop end once nothing is open. It may be called only once, and nothing may be
// submitted after it.
func (p *Pool) Drain() { close(p.quit) }

// post sends an event to the loop. Once the loop has ended the event is dropped.
func (p *Pool) post(e event) {
	select {
	case p.events <- e:
	case <-p.done:
		drop(&e)
		return
	}
	select {
	case <-p.done: // the loop may have ended ahead of it
		p.dropEvents()
	default:
	}
}

// dropEvents drops the events that the loop has left behind.
func (p *Pool) dropEvents() {
	for {
		select {
		case e := <-p.events:
			drop(&e)
		default:
			return
		}
	}
}

// drop sees to what is owed for an event of a pool in which nothing is open any more.
func drop(e *event) {
	if e.answer != nil {
		e.answer.Release()
	}
	if e.kind == clientGone {
		e.call.takeBack()
	}
}

// UpdateHosts gives the loop a host list. apply runs first, in the loop, so that the upstream knows
// the addresses of hosts before the balancer can name them. apply may be nil.
func (p *Pool) UpdateHosts(kind frostshift.ListKind, hosts []frostshift.Host, apply func()) {
	p.post(event{kind: callFunc, run: func(now frostshift.Time) {
		if apply != nil {
			apply()
		}
		p.hasList = p.hasList || kind != frostshift.ListFailed
		p.b.Hosts(now, kind, hosts)
		p.withdrawAttempts()
		if len(hosts) > 0 {
			p.restore(now)
		}
	}})
}

// takingHost returns a channel that is closed once a host takes nothing new. All attempts of a host share it.
func (p *Pool) takingHost(id frostshift.HostID) <-chan struct{} {
	c := p.taking[id]
	if c == nil {
		c = make(chan struct{})
		p.taking[id] = c
	}
	return c
}

// withdrawAttempts withdraws what has not been sent yet to hosts that take nothing new.
func (p *Pool) withdrawAttempts() {
	for id, c := range p.taking {
		if !p.b.Takes(id) {
			close(c)
			delete(p.taking, id)
		}
	}
}

// restore restores the learned state of another process, after the first list that names hosts. If
// that list comes later than restoreWithin, the state is dropped as too old.
func (p *Pool) restore(now frostshift.Time) {
	if p.learned != nil && now-p.startedAt < restoreWithin {
		p.b.Restore(now, p.learned)
	}
	p.learned = nil
}

// restoreWithin is how long the learned state waits for hosts, as its ages do not advance
// meanwhile.
const restoreWithin = 10 * time.Second

// Ban takes a host out of service by an operator's request, or puts it back into service. apply
// runs first, in the loop, and done once the change is in effect. Neither runs if the loop has
// ended.
func (p *Pool) Ban(id frostshift.HostID, out bool, apply, done func()) {
	p.post(event{kind: callFunc, run: func(now frostshift.Time) {
		apply()
		p.b.Ban(now, id, out)
		p.withdrawAttempts()
		done()
	}})
}

// HostHealth gives the balancer the health of hosts as reported by peers. Hosts that are not in the
// pool are ignored.
func (p *Pool) HostHealth(list []frostshift.HostHealth) {
	p.post(event{kind: callFunc, run: func(now frostshift.Time) {
		for _, k := range list {
			p.b.HostHealth(now, k)
		}
	}})
}

// PeerLoad gives the balancer the in-flight attempts at hosts as reported by peers. Hosts that are
// not in the pool are ignored.
func (p *Pool) PeerLoad(list []frostshift.PeerLoad) {
	p.post(event{kind: callFunc, run: func(now frostshift.Time) {
		for _, k := range list {
			p.b.PeerLoad(now, k)
		}
	}})
}

// Behind runs f in the loop, after all events that have been posted so far.
func (p *Pool) Behind(f func()) {
	p.post(event{kind: callFunc, run: func(frostshift.Time) { f() }})
}

// FailAll fails all requests that are still open, so that their clients get an answer before the
// process is killed.
func (p *Pool) FailAll() {
	p.post(event{kind: callFunc, run: func(now frostshift.Time) {
		for _, c := range p.calls {
			if !c.closed {
				p.finish(c, Reply{Verdict: Failed})
				p.withdraw(now, c)
			}
		}
	}})
}

// Load is the current state of a pool: what it can accept and what it holds.
type Load struct {
	Ready    bool    // at least one host can take requests
	Capacity float64 // attempts that its hosts can handle at once
	Open     int     // open requests
	Members  int     // listed hosts
	Away     int     // listed hosts that receive no requests
	Pace     float64 // requests per second that this gateway may send if all hosts are cold; 0 means no bound
}

// ReportLoad calls f in the loop with the pool's current load. f is not called if the loop has
// ended; Done is closed then.
func (p *Pool) ReportLoad(f func(Load)) {
	p.post(event{kind: callFunc, run: func(now frostshift.Time) {
		l := Load{Capacity: p.b.Capacity(now), Open: len(p.calls), Pace: p.b.ColdSendRate(now)}
		l.Members, l.Away = p.b.HostCounts(now)
		for i := range p.set.Classes {
			l.Ready = l.Ready || p.b.Usable(now, i)
		}
		f(l)
	}})
}

// ReportStatus calls f in the loop with the state on which the balancer bases its decisions.
func (p *Pool) ReportStatus(f func(frostshift.Status)) {
	p.post(event{kind: callFunc, run: func(now frostshift.Time) { f(p.b.Status(now)) }})
}
