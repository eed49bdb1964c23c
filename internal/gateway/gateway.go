// Package gateway puts the parts together and runs them: listeners with their fronts, one
// exchange, and a pool with its upstream and its source of hosts for each pool of the
// configuration. It starts, reloads and stops them, and makes no decision about any
// request.
//
// gateway.go runs the whole, stop.go ends it, listen.go is listeners, reload.go takes over a configuration,
// pool.go runs one pool, accounts.go tells of teams, clients.go gives clients up and takes them
// back, calls.go is what operators may call.
package gateway

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"frostshift/internal/admin"
	"frostshift/internal/config"
	"frostshift/internal/contract"
	"frostshift/internal/drain"
	"frostshift/internal/exchange"
	"frostshift/internal/fairqueue"
	"frostshift/internal/front"
	"frostshift/internal/gossip"
	"frostshift/internal/lateness"
	"frostshift/internal/learning"
	"frostshift/internal/membership/keeper"
	"frostshift/internal/moves"
	"frostshift/internal/peers"
	"frostshift/internal/save"
	"frostshift/internal/share"
	"frostshift/internal/spool"
)

const (
	readyAfter = 2 * time.Second // without a list from every pool's source, we start with what is known

	ownSockets = 32 // descriptors besides connections: listener, discovery, runtime
	// Shares of the other descriptors. The rest is for connections that come while all of
	// the clients' ask something: one left in the kernel's queue would count as taken.
	hostShare    = 0.35
	clientShare  = 0.55
	requestShare = 1.0 / 3 // of all descriptors: requests of clients that are open at once
	askedShare   = 1.0 / 4 // ... and connections that have asked something, while any are idle
	bodyPart     = 8       // one part in so many of the memory limit may hold bodies of clients
	keptBodies   = 3       // ... so many of wholeBodies parts of which for what is kept of them, and all for what is on its way
	wholeBodies  = 4
	answerPart   = 4 // ... and answers of hosts that are long
	headPart     = 8 // ... and heads of requests
	connPart     = 4 // ... and what connections and open requests cost, each
	uploadPart   = 3 // one part in so many of the open requests may have bodies that are still to come
	downloadPart = 2 // ... and answers that are on their way to clients
)

// What connections and requests cost in memory besides what is held for them: stacks, readers, writers.
const (
	connCost    = 16 << 10
	secureCost  = 48 << 10 // of a connection that is encrypted
	requestCost = 32 << 10
)

// Options are for tests; the zero value is what a gateway runs with.
type Options struct {
	SendWithin time.Duration
	Linger     func()         // between the order to stop and the close of the listeners
	Stop       drain.Schedule // of the stop; the zero value: by the longest deadline
	HeardBy    time.Duration  // that a reload waits for the first lists of new pools
	Silence    time.Duration  // of discovery
	LookEvery  time.Duration  // at files of hosts
	TellEvery  time.Duration  // what teams have had
	KeepEvery  time.Duration  // between two writes of what was learned
	// Memory is told the part of the limit on memory that this process may use; nil: nobody is.
	Memory    func(part float64)
	RoundTrip time.Duration // for the first notice of an HTTP/2 drain to be answered
	// Conns bounds the connections of clients, where the limits do not.
	Conns *front.Conns
}

// budgets are what the pools share out among them.
type budgets struct {
	requests, uploads, downloads, conns, bodies, answers *share.Budget
}

// Gateway is one running gateway.
type Gateway struct {
	log       *slog.Logger
	opt       Options
	exchange  *exchange.Exchange
	admission *front.Admission
	conns     *front.Conns
	heads     *front.HeadRoom
	spool     *spool.Dir // nil: no body is kept on disk
	budgets   budgets
	whole     wholes
	bounded   bool // conns keep to the limit on descriptors
	limiter   *contract.Limiter
	moves     *moves.Set
	state     *save.Dir     // nil: there is none
	keptLast  chan struct{} // closed: the last of it has been read; nil: nothing is kept
	kept      *save.Dir     // what pools have learned; nil: it is not kept, or not yet. Of keep once that runs
	upgrades  atomic.Bool   // a route lets clients switch protocols

	mu    sync.Mutex // guards what follows; held for the whole of a reload
	model *config.Model
	// instances are the gateways that share what contracts state for all, this one included.
	instances int
	streams   int                // that an HTTP/2 connection may have open; 0: the front's default
	pools     map[string]*pool   // of the present configuration
	replaced  map[*pool]struct{} // that a reload has taken away, up to their last request's end
	servers   map[config.Listener]*server
	lateness  *lateness.Watch
	// retiring are servers of listeners that were taken away, up to their last request's end.
	retiring map[*server]struct{}
	serving  bool // Run has begun
	stopped  bool

	ended   chan struct{}  // closed once no client is left
	halt    chan struct{}  // closed at the order to stop: a reload waits for nothing any more
	halted  sync.Once      // that it is
	running sync.WaitGroup // whatever was started and must end
	failed  chan error     // a listener that failed

	reloads     reloads
	restart     *hotRestart
	learned     map[string]learning.Pool   // by pool, of the process that ran before
	heardBefore map[string][]keeper.Report // by pool, what its sources have told that process
	clients     clients                    // given up, or not
	banned      map[string]bool            // hosts that operators took out, by name; under mu
	desk        *admin.Server              // nil: operators have no address

	view       *peers.View // of the other gateways; nil: none was heard; under mu
	rules      rules       // limits by key of the present configuration; under mu
	divisors               // of limits that gateways share evenly
	places     []uint64    // ... of those that share the pools; nil: typed figures hold
	gossipMu   sync.Mutex
	gossip     *gossip.Agent // nil: this gateway talks to no other, or not yet
	gossipOver bool          // this process has ended its part in it
	hostHealth *hostHealth   // nil: nothing of hosts is told among gateways
	loads      *loads        // nil: what is out at hosts is not told among gateways
	overrides  *overrides    // nil: operators' overrides hold for this gateway alone
	rights     *rights       // nil: limits are divided evenly among gateways
}

// New prepares a gateway for the configuration: its listeners are open and its pools run
// when it returns, but clients are served only by Run.
func New(m *config.Model, log *slog.Logger, opt Options) (*Gateway, error) {
	x := exchange.New(exchange.NewClock())
	x.Shortages().LogTo(log)
	g := &Gateway{log: log, opt: opt, exchange: x, conns: opt.Conns, bounded: opt.Conns == nil,
		banned: map[string]bool{}, learned: map[string]learning.Pool{}, pools: map[string]*pool{}, replaced: map[*pool]struct{}{}, servers: map[config.Listener]*server{}, retiring: map[*server]struct{}{},
		failed: make(chan error, 1), halt: make(chan struct{}), ended: make(chan struct{})}
	g.setBounds(m.Limits, slices.ContainsFunc(m.Listeners, func(l config.Listener) bool { return l.Certificate != "" }))
	g.conns.NoteShortages(x.Shortages())
	g.instances = m.Instances
	g.gateways.Store(int64(m.Instances))
	if err := g.openState(m); err != nil {
		return nil, err
	}
	g.clients.gateway = g
	g.overrides = newOverrides(g, m)
	g.restart = newHotRestart(g, m)
	m = g.restart.join(m)
	g.rights, g.hostHealth, g.loads = newRights(g, m), newHostHealth(g, m), newLoads(g, m)
	if m.Management != "" {
		var err error
		if g.desk, err = admin.Listen(m.Management, commands{g}, g.pages(), log.With("for", "operators")); err != nil {
			g.restart.end()
			g.closeState()
			return nil, fmt.Errorf("management: %w", err)
		}
	}
	g.moves = moves.New(moves.Config{Clock: x.Clock(), Log: log, Dir: g.state, Pool: g.pool, Handed: g.restart.moves, Joined: g.restart.joined()})
	if err := g.apply(m, 0); err != nil {
		g.restart.end()
		g.closeState()
		if g.desk != nil {
			g.desk.Close()
		}
		return nil, err
	}
	if err := g.startGossip(m); err != nil {
		g.opt.Linger = func() {} // no client has come
		g.stop()
		g.closeState()
		return nil, err
	}
	return g, nil
}

// programBytes is what a process has in memory before it holds anything for others: pages of its file, the runtime.
const programBytes = 25 << 20

// memoryPart is the part of what a gateway that is one process may hold which each of n processes may: what they are by
// themselves comes off first.
func memoryPart(limit int64, n int) float64 {
	even := 1 / float64(n)
	rest := float64(limit - int64(n)*programBytes)
	return even * max(rest/float64(limit-programBytes), leastMemoryPart)
}

// leastMemoryPart is the part of an even one that is left to each process where there is hardly memory for the programs.
const leastMemoryPart = 0.5

const (
	// memoryReturnedAfter is how long a process that takes over waits at most for the former one to give memory beyond its
	// half back to the system.
	memoryReturnedAfter = 2 * time.Second
	memoryLookEvery     = 50 * time.Millisecond
	// memoryBeyondHalf is one part in so many of the limit that the former process may have beyond its half: it lets go of
	// that as it takes no more clients.
	memoryBeyondHalf = 16
)

// unbounded is a bound that is never met, where the configuration sets none.
const unbounded = 1 << 20

// setBounds divides what the process may hold: descriptors among clients and hosts, memory among heads, bodies and
// answers. More descriptors than there is memory for are not used. secure says that connections may be encrypted.
func (g *Gateway) setBounds(limits config.Limits, secure bool) {
	requests, conns, clients, asked := int64(unbounded), int64(unbounded), unbounded, unbounded
	if n := limits.Descriptors; n > 0 {
		requests = int64(float64(n) * requestShare)
		conns = int64(float64(n-ownSockets) * hostShare)
		clients = int(float64(n-ownSockets) * clientShare)
		asked = int(float64(n) * askedShare)
	}
	heads, bodies, answers := int64(unbounded)<<20, int64(unbounded)<<20, int64(unbounded)<<20
	if n := int64(limits.MemoryMB) << 20; n > 0 {
		heads, bodies, answers = n/headPart, n/bodyPart, n/answerPart
		cost := int64(connCost)
		if secure {
			cost = secureCost
		}
		most := int(n / connPart / cost)
		clients, asked = min(clients, most), min(asked, most)
		requests = min(requests, n/connPart/requestCost)
	}
	g.limiter = contract.NewLimiter(requests, bodies)
	g.admission = front.NewAdmission(g.exchange, g.limiter)
	if g.conns == nil {
		g.conns = front.NewConns(clients, asked, front.SpareAfter)
	}
	g.heads = front.NewHeadRoom(heads)
	g.conns.BoundHeads(g.heads)
	g.admission.BoundHeads(g.heads)
	g.conns.FollowBodies(g.admission.BodyReads())
	g.conns.LogTo(g.log)
	g.admission.Overdue().LogTo(g.log)
	g.lateness = lateness.New(fairqueue.Processor())
	g.admission.Overdue().LateBy(g.lateness)
	uploads, downloads := min(requests, conns)/uploadPart, min(requests, conns)/downloadPart
	g.budgets = budgets{requests: share.New(requests), uploads: share.New(uploads), downloads: share.New(downloads), conns: share.New(conns), bodies: share.New(bodies), answers: share.New(answers)}
	g.whole = wholes{heads: heads, uploads: uploads, downloads: downloads, conns: conns, bodies: bodies, answers: answers, clients: clients, asked: asked}
	g.streams = limits.Streams
}

// openState opens the folders for what is remembered and for bodies. A gateway serves without them
// where another process has the first, or the second can't be used.
func (g *Gateway) openState(m *config.Model) error {
	if m.State != "" {
		var err error
		if g.state, err = save.Open(m.State); errors.Is(err, save.ErrTaken) {
			g.log.Warn("nothing is remembered", "err", err)
		} else if err != nil {
			return err
		}
	}
	if m.Spool.Dir == "" {
		return nil
	}
	var err error
	if g.spool, err = spool.Open(m.Spool.Dir, m.Spool.Most, m.Spool.Team); err != nil {
		g.log.Warn("no body is kept on disk", "err", err)
		return nil
	}
	g.admission.Spool(g.spool)
	return nil
}

func (g *Gateway) closeState() {
	for _, d := range []*save.Dir{g.state, g.kept} {
		if d != nil {
			d.Close()
		}
	}
}

// wholes are the bounds of a gateway that is one process.
type wholes struct {
	heads, uploads, downloads, conns, bodies, answers int64
	clients, asked                                    int
}

// bound keeps this process to one part in n of what the gateway may hold.
func (g *Gateway) bound(n int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.processes.Store(int64(n))
	w := g.whole
	part := 1 / float64(n)
	if limit := int64(g.model.Limits.MemoryMB) << 20; limit > programBytes {
		part = memoryPart(limit, n)
	}
	g.heads.Resize(partOf(w.heads, part))
	g.budgets.uploads.Resize(w.uploads / int64(n))
	g.budgets.downloads.Resize(w.downloads / int64(n))
	g.budgets.conns.Resize(w.conns / int64(n))
	g.budgets.bodies.Resize(partOf(w.bodies, part))
	g.budgets.answers.Resize(partOf(w.answers, part))
	if g.bounded {
		g.conns.Bound(w.clients/n, w.asked/n)
	}
	if err := g.divide(g.model, g.pools); err != nil {
		g.log.Error("the limits are not divided anew", "err", err)
	}
	for _, p := range g.heldPools() {
		p.ex.SetProcesses(n)
		p.up.Trim(int(w.conns) / n)
	}
	if g.opt.Memory != nil {
		g.opt.Memory(part)
	}
}

// partOf is a part of an amount.
func partOf(amount int64, part float64) int64 { return int64(float64(amount) * part) }

// pool is a running pool of the present configuration by its name; nil: there is none.
func (g *Gateway) pool(name string) *exchange.Pool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if p := g.pools[name]; p != nil {
		return p.ex
	}
	return nil
}

// Moves are the moves of traffic between pools.
func (g *Gateway) Moves() *moves.Set { return g.moves }

// Addr is where the named listener of the present configuration is open, or nil.
func (g *Gateway) Addr(name string) net.Addr {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, s := range g.servers {
		if s.Name == name {
			return s.Addr()
		}
	}
	return nil
}

// Counts are the totals of the pools of the present configuration, by name.
func (g *Gateway) Counts() map[string]*exchange.Counts {
	g.mu.Lock()
	defer g.mu.Unlock()
	out := map[string]*exchange.Counts{}
	for name, p := range g.pools {
		out[name] = p.ex.Counts()
	}
	return out
}

// Run serves until the context ends and then finishes what has been taken. It returns
// when all that the gateway started has ended.
func (g *Gateway) Run(ctx context.Context) error {
	defer context.AfterFunc(ctx, g.endWaits)() // it may come while this waits for a reload
	g.mu.Lock()
	g.serving = true
	waits := g.restart.begin()
	for _, s := range g.servers {
		s.ln.Pause(waits)
		g.serve(s)
	}
	first := g.model
	heard := make([]<-chan struct{}, 0, len(g.pools))
	for _, p := range g.pools {
		heard = append(heard, p.ready)
	}
	g.mu.Unlock()
	if waits {
		g.restart.share()
	}
	g.running.Go(func() {
		g.awaitReady(ctx, heard)
		if waits && g.opt.Memory != nil {
			g.awaitMemory(ctx, int64(first.Limits.MemoryMB)<<20)
		}
		g.restart.serve()
	})
	watching, endWatch := context.WithCancel(context.Background())
	var watch sync.WaitGroup
	watch.Go(func() { g.lateness.Run(watching, g.log) })
	defer func() {
		endWatch()
		watch.Wait()
	}()
	g.runParts(first)
	endMoves := g.runMoves(first) // nothing moves on the platform, whatever is reloaded
	defer endMoves()
	var err error
	select {
	case err = <-g.failed:
	case <-g.restart.retired:
		g.log.Info("another process has taken over")
	case <-ctx.Done():
	}
	g.stop()
	return err
}

// awaitReady waits until the lists of all pools have been heard, for readyWait at most.
func (g *Gateway) awaitReady(ctx context.Context, heard []<-chan struct{}) {
	late := time.NewTimer(g.readyWait())
	defer late.Stop()
	for _, h := range heard {
		select {
		case <-h:
		case <-late.C:
			late.Reset(0)
		case <-ctx.Done():
		}
	}
}

// awaitMemory waits while the former process lets go of what it holds beyond its part, unless it ends.
func (g *Gateway) awaitMemory(ctx context.Context, limit int64) {
	late := time.NewTimer(memoryReturnedAfter)
	defer late.Stop()
	look := time.NewTicker(memoryLookEvery)
	defer look.Stop()
	for g.processes.Load() > 1 && !g.restart.olderKeeps(limit/2+limit/memoryBeyondHalf) {
		select {
		case <-look.C:
		case <-late.C:
			return
		case <-ctx.Done():
			return
		}
	}
}

// runParts starts what runs beside requests until the gateway stops.
func (g *Gateway) runParts(first *config.Model) {
	g.running.Go(func() { g.tellAccounts() })
	if g.rights != nil {
		g.running.Go(g.rights.run)
	}
	if g.hostHealth != nil {
		g.running.Go(g.hostHealth.run)
	}
	if g.loads != nil {
		g.running.Go(g.loads.run)
	}
	if g.overrides != nil {
		g.running.Go(g.overrides.run)
	}
	if first.State != "" {
		g.keptLast = make(chan struct{})
		g.running.Go(func() { g.keep(first) })
	}
	if g.desk == nil {
		return
	}
	g.running.Go(func() {
		if err := g.desk.Serve(); err != nil {
			select {
			case g.failed <- err:
			default:
			}
		}
	})
}

// runMoves starts the traffic shifts, if there are any, and operators' commands about them. They go on
// up to the last request's end: end ends them, and closes what is remembered.
func (g *Gateway) runMoves(m *config.Model) (end func()) {
	turns, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	if !m.Platform {
		running.Go(func() { g.moves.Run(turns) })
	}
	if m.State != "" {
		running.Go(func() {
			if !g.awaitState(turns, m.State) {
				return
			}
			if err := g.moves.Control(turns); err != nil {
				g.log.Warn("nobody can speak to the moves", "err", err)
			}
		})
	}
	return func() {
		cancel()
		running.Wait()
		g.closeState()
	}
}

// stateEvery is the time between two tries to take a folder that another process has.
const stateEvery = 200 * time.Millisecond

// awaitState waits for the folder of what is remembered, which the process before may have up to its end; false: there
// is none before the context ends.
func (g *Gateway) awaitState(ctx context.Context, path string) bool {
	for g.state == nil {
		if !g.restart.joined() {
			return false
		}
		select {
		case <-ctx.Done():
			return false
		case <-time.After(stateEvery):
		}
		d, err := save.Open(path)
		if err != nil {
			continue
		}
		g.state = d
		g.moves.UseDir(d)
		g.log.Info("moves are remembered from here on")
	}
	return true
}

// readyWait is how long clients wait for the lists of all pools. A gateway that was told its
// pools' last lists starts on them at once: they are as good as what other gateways go by
// while discovery is busy, and a gateway that waits is one less for the clients of all.
func (g *Gateway) readyWait() time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, p := range g.pools {
		if p.def.Known == nil || len(p.def.Known.Endpoints) == 0 {
			return readyAfter
		}
	}
	return 0
}

// serve runs a server until it is shut down. The lock is held.
func (g *Gateway) serve(s *server) {
	g.running.Go(func() {
		if err := s.Serve(); err != nil {
			select {
			case g.failed <- err:
			default:
			}
		}
	})
}
