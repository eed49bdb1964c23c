package gateway

import (
	"context"
	"log/slog"
	"sync"
	"sync/atomic"

	"frostshift"
	"frostshift/internal/config"
	"frostshift/internal/contract"
	"frostshift/internal/exchange"
	"frostshift/internal/fairqueue"
	"frostshift/internal/membership"
	"frostshift/internal/membership/keeper"
	"frostshift/internal/membership/source"
	"frostshift/internal/share"
	"frostshift/internal/upstream"
	"frostshift/internal/upstream/http1"
	"frostshift/internal/upstream/http2"
)

// hosts is an upstream with what it is told of its hosts.
type hosts interface {
	exchange.Upstream
	Update(whole bool, list []upstream.Endpoint)
	// Renew has what is open to a host serve nothing new: the host is worked on.
	Renew(frostshift.HostID)
	// Trim closes idle connections beyond so many: another process needs the descriptors.
	Trim(most int)
	Run(context.Context)
	Open() int
}

// list follows the list of a pool's hosts.
type list interface {
	Run(context.Context)
	Move([]source.Spec)
}

// blindly follows one source as it is.
type blindly struct {
	follower *source.Follower
	spec     source.Spec
}

func (b blindly) Run(ctx context.Context)  { b.follower.Run(ctx, b.spec) }
func (b blindly) Move(specs []source.Spec) { b.follower.Move(specs[0]) }

// pool is a running pool: its loop, its connections and the follower of its hosts.
type pool struct {
	def        *config.Pool
	log        *slog.Logger
	names      membership.Names
	ex         *exchange.Pool
	up         hosts
	list       list
	keeper     *keeper.Keeper // nil: the list is followed blindly
	views      *views         // nil: nobody wants to see
	ready      chan struct{}  // closed behind the first list
	first      sync.Once
	hostHealth *hostHealth  // nil: nothing of hosts is told among gateways
	refs       atomic.Int64 // configurations that name it and are still held
	known      hostList
	holders    membership.Addresses // of whoever takes lists
	typed      int                  // gateways that the configuration names
	told       *membership.List     // that it begins with; nil: none

	requests, uploads, downloads, conns, bodies, answers *share.Holder
}

// inherit has a pool begin with what a running pool has heard of its hosts, which it takes the place of: a source that says
// nothing now may have called some of them leaving.
func (p *pool) inherit(old *pool) (heard []keeper.Report) {
	switch {
	case old == nil:
	case old.keeper != nil:
		return old.keeper.Reports()
	case p.def.Belief != nil || len(p.def.Sources) != 1:
	default:
		l := old.known.list()
		if l == nil {
			break
		}
		if !p.def.Sources[0].Equal(old.def.Sources[0]) {
			l.Index = nil // versions of different places can't be compared
		}
		p.told = l
	}
	return nil
}

// newPool makes a pool; start runs it. One that is never started needs no end.
func (g *Gateway) newPool(def *config.Pool, m *config.Model) (*pool, error) {
	p := &pool{def: def, log: g.log.With("pool", def.Name), names: def.Names(), typed: max(m.Instances, 1), ready: make(chan struct{}),
		requests: g.budgets.requests.Holder(), uploads: g.budgets.uploads.Holder(), downloads: g.budgets.downloads.Holder(), conns: g.budgets.conns.Holder(),
		bodies: g.budgets.bodies.Holder(), answers: g.budgets.answers.Holder(), told: def.Known}
	heard := p.inherit(g.pools[def.Name])
	if heard == nil {
		heard = g.heardBefore[def.Name]
	}
	delete(g.heardBefore, def.Name)
	bounds := upstream.Config{DialTimeout: def.DialTimeout, ConnIdle: def.ConnIdle, Conns: p.conns, Bytes: p.answers}
	switch def.Protocol {
	case config.HTTP2:
		p.up = http2.New(bounds)
	default:
		p.up = http1.New(bounds)
	}
	pc := exchange.PoolConfig{Name: def.Name, Settings: def.Settings, Seed: m.Seed ^ uint64(membership.HostID(def.Name)),
		Log: p.log, Upstream: p.up, Room: p.requests, Downloads: p.downloads, Repeats: def.Repeats}
	pc.Learned, pc.Repeated = g.learned[def.Name].Learned, g.learned[def.Name].Repeats
	delete(g.learned, def.Name)
	for name := range g.banned {
		pc.Banned = append(pc.Banned, membership.HostID(name))
	}
	if g.hostHealth != nil {
		pc.AttemptEnded, p.hostHealth = g.hostHealth.met, g.hostHealth
	}
	if g.loads != nil {
		pc.InFlightChanged = g.loads.out
	}
	processor := fairqueue.Processor().NewPeer(fairqueue.OwedDebt)
	if def.Belief != nil {
		kc := keeper.Config{Specs: def.Sources, Belief: *def.Belief, Part: def.Part, Log: p.log, List: sink{p}.List, Silence: g.opt.Silence, Every: g.opt.LookEvery,
			Heard: heard, Processor: processor}
		if m.Views != "" {
			p.views = newViews(m.Views, def.Name, p.standing)
			kc.Show = p.views.show
		}
		k := keeper.New(kc)
		p.list, p.keeper, pc.HostSeen = k, k, k.Saw
	} else {
		cfg := source.Config{Sink: sink{p}, Log: p.log, Asked: def.Settings.Ask, Silence: g.opt.Silence, Every: g.opt.LookEvery, Processor: processor}
		if p.told != nil && p.told.Index != nil {
			cfg.Index = *p.told.Index
		}
		f := source.NewFollower(cfg)
		p.list, pc.Watch = blindly{f, def.Sources[0]}, f.Ask
	}
	var err error
	if !m.Platform { // there are no contracts there; elsewhere a reload may bring some
		pc.Scheduler, pc.FleetShare, pc.Limiter = contract.NewScheduler(1), contract.NewFleetShare(g.instances), g.limiter
		if r := g.rights; r != nil {
			pc.Scheduler.SetLimitShares(func(t *contract.Terms) contract.LimitShare { return r.team(def.Name, t) })
			pc.RetryShare = r.repeats(def.Name)
		}
	}
	p.ex, err = g.exchange.NewPool(pc)
	return p, err
}

// start runs the pool until it is drained and its last request has ended.
func (p *pool) start(g *Gateway) {
	ctx, end := context.WithCancel(context.Background())
	known := p.told
	if known != nil && p.keeper == nil {
		whole := *known
		whole.Snapshot = true
		known = p.holders.Take(&whole)
	}
	var parts sync.WaitGroup
	parts.Go(func() { p.up.Run(ctx) })
	parts.Go(func() { p.list.Run(ctx) })
	if p.views != nil {
		parts.Go(func() {
			p.views.run(ctx, func(err error) { p.log.Warn("the view of the hosts is not written", "err", err) })
		})
	}
	g.running.Go(func() {
		if known != nil {
			p.ex.Run(p.names.Hosts(known.Endpoints), func() { p.addresses(known) })
		} else {
			p.ex.Run(nil, nil)
		}
		end()
		parts.Wait()
		if p.hostHealth != nil {
			p.hostHealth.end(p)
		}
		for _, h := range []*share.Holder{p.requests, p.uploads, p.downloads, p.conns, p.bodies, p.answers} {
			h.Leave()
		}
		g.poolEnded(p)
	})
}

// poolEnded notes that a pool has had its last request.
func (g *Gateway) poolEnded(p *pool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.replaced, p)
}

// letGo ends the pool with the last configuration that names it.
func (p *pool) letGo() {
	if p.refs.Add(-1) == 0 {
		p.ex.Drain()
	}
}

// addresses tells the upstream where hosts are.
func (p *pool) addresses(l *membership.List) {
	list := make([]upstream.Endpoint, 0, len(l.Endpoints))
	for i, h := range p.names.Hosts(l.Endpoints) {
		list = append(list, upstream.Endpoint{ID: h.ID, Address: l.Endpoints[i].Address, Started: h.Started,
			Gone: h.State == frostshift.Removed})
	}
	p.up.Update(l.Snapshot, list)
	p.known.learn(l)
	if p.hostHealth != nil {
		p.hostHealth.list(p, l.Snapshot, list)
	}
}

// sink passes lists on to the pool's loop.
type sink struct{ *pool }

// List gives the loop a checked list.
func (s sink) List(l *membership.List) {
	if s.keeper == nil { // which settles by itself what several sources say of an address
		l = s.holders.Take(l)
	}
	kind := frostshift.ListChanges
	if l.Snapshot {
		kind = frostshift.ListFull
	}
	hosts := s.names.Hosts(l.Endpoints)
	for i := range hosts {
		hosts[i].Sharers = l.Sharers
	}
	s.ex.UpdateHosts(kind, hosts, func() { s.addresses(l) })
	s.first.Do(func() { s.ex.Behind(func() { close(s.ready) }) })
}

// Lost says that a watch which must be asked for broke.
func (s sink) Lost() { s.ex.UpdateHosts(frostshift.ListFailed, nil, nil) }

// Moved says nothing to the loop: the first list of the new place is a whole one.
func (s sink) Moved() {}
