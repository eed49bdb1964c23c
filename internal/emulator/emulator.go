// Package emulator plays fleets in virtual time: gateways that run the project's own decision
// code (exchange and balancer, scheduler of contracts, belief, moves; none of it copied) between
// clients that give up and come again and hosts with cores, queues and cold starts. The same
// seed gives the same run. It opens no socket and reads no clock.
//
// emulator.go is the world and its gateways, client.go clients and what they saw, host.go
// hosts, trouble.go what goes wrong, queue.go what happens next.
package emulator

import (
	"fmt"
	"log/slog"
	"math"
	"math/rand/v2"
	"time"

	"frostshift"
	"frostshift/internal/contract"
	"frostshift/internal/exchange"
	"frostshift/internal/hosthealth"
	"frostshift/internal/learning"
	"frostshift/internal/membership"
	"frostshift/internal/membership/belief"
	"frostshift/internal/peers"
	"frostshift/internal/quota"
	"frostshift/internal/shift"
)

// World is a fleet that is played. It is not safe for concurrent use.
type World struct {
	spec     Spec
	now      Time
	begin    Time
	queue    queue
	r        *rand.Rand // of the load
	dice     *rand.Rand // of troubles: what they throw does not move the load
	cost     func() float64
	keyWork  []time.Duration
	hosts    [][]*Host // by pool
	byID     []map[frostshift.HostID]*Host
	unlisted map[frostshift.HostID]bool
	gateways []*gateway
	kept     map[keptBy]kept // what gateways have written down
	dealt    []float64       // parts of the load up to each gateway, where they are unlike
	terms    []*contract.Terms
	classes  []frostshift.Class
	ids      uint64
	Totals   Totals
}

// gateway is one gateway with its pools.
type gateway struct {
	crowd   *crowd // nil: what is out at hosts is not told
	n       int
	zone    int
	x       *exchange.Exchange
	pools   []*pool
	move    *shift.Move
	limiter *contract.Limiter
	log     []shift.Decision
	dead    bool
	open    []*Request // in the order of their tries

	peers *peers.Registry // where gateways talk
	hears []bool          // others that it hears, or will have heard soon
	until time.Duration   // its view holds so long if nothing is heard

	said  *hosthealth.Store // where gateways talk of hosts
	lists map[int]map[hosthealth.HostID]int64

	store *quota.Store // where limits are shared
	boots uint64
}

// pool is a pool as one gateway runs it.
type pool struct {
	*exchange.Pool
	w      *World
	g      *gateway
	n      int
	wake   Time // the earliest turn that is planned; 0: none
	inTurn bool
	belief *belief.Belief
	seen   map[string]belief.Seen
	listed map[string]bool
	out    []*port // attempts, in the order of their starts
}

const lookEvery = 100 * time.Millisecond

// New makes a world. The spec has been checked.
func New(s Spec) (*World, error) {
	w := &World{spec: s, begin: time.Hour, now: time.Hour, r: rand.New(rand.NewPCG(s.Seed, 1)), dice: rand.New(rand.NewPCG(s.Seed, 2)), unlisted: map[frostshift.HostID]bool{}}
	w.cost = s.Cost.draw(rand.New(rand.NewPCG(s.Seed, 3)))
	for range s.Keys {
		w.keyWork = append(w.keyWork, w.work())
	}
	for _, c := range s.Classes {
		w.classes = append(w.classes, c.Class)
	}
	for p := range s.Pools {
		w.addHosts(p)
	}
	for _, t := range s.Teams {
		w.terms = append(w.terms, &contract.Terms{Team: t.Name, Share: t.Share, Rate: t.Rate, RetryRatio: 1})
	}
	if w.terms != nil {
		contract.NewRegistry(w.terms)
	}
	w.gateways = make([]*gateway, s.Gateways)
	w.kept = map[keptBy]kept{}
	if s.Skew > 0 {
		sum := 0.0
		for n := range s.Gateways {
			sum += math.Pow(float64(n+1), -s.Skew)
			w.dealt = append(w.dealt, sum)
		}
	}
	for n := range s.Gateways {
		if err := w.gateway(n); err != nil {
			return nil, err
		}
	}
	w.script()
	w.hear()
	w.after(0, w.client)
	return w, nil
}

// addHosts adds the hosts of a pool.
func (w *World) addHosts(pool int) {
	spec := &w.spec.Pools[pool]
	var list []*Host
	byID := map[frostshift.HostID]*Host{}
	for i := range spec.Hosts {
		h := spec.Hosts[i]
		h.Name = fmt.Sprintf("%s-%d", spec.Name, i)
		if h.ID == 0 {
			h.ID = membership.HostID(h.Name)
		}
		h.world, h.pool, h.idle = w, pool, map[int][]Time{}
		if h.Cold > 0 && h.Cold < 1 {
			h.started = w.begin
		}
		list = append(list, &h)
		byID[h.ID] = &h
	}
	w.hosts, w.byID = append(w.hosts, list), append(w.byID, byID)
}

// gateway makes one with its pools, at the beginning or in the place of one that was killed.
func (w *World) gateway(n int) error {
	s := &w.spec
	g := &gateway{n: n, x: exchange.New(exchange.NewHandClock(&w.now)), limiter: contract.NewLimiter(1<<20, 1<<40)}
	if s.GatewayZones != nil {
		g.zone = s.GatewayZones[n]
	}
	if s.Quota != nil {
		w.addStore(g)
	}
	if s.Talk != nil && s.Talk.Verdicts {
		w.hostHealth(g)
	}
	if s.Talk != nil && s.Talk.Load {
		w.crowds(g)
	}
	w.gateways[n] = g
	instances := s.Instances
	if s.Talk != nil {
		instances = max(s.Talk.Typed, 1)
	}
	if instances == 0 {
		instances = s.Gateways
	}
	for i := range s.Pools {
		if err := w.addPool(g, i, instances); err != nil {
			return err
		}
	}
	if s.Talk != nil {
		w.talk(g)
	}
	if s.Keeps {
		w.keep(g)
	}
	if s.Move != nil {
		g.move = shift.New(w.now, *s.Move)
		w.after(lookEvery, func() { w.look(g) })
	}
	return nil
}

// addPool gives a gateway one of its pools.
func (w *World) addPool(g *gateway, i, instances int) (err error) {
	s := &w.spec
	h := &s.Pools[i].Hosts[0]
	p := &pool{w: w, g: g, n: i}
	set := frostshift.Settings{Instances: instances, Rank: g.n % instances, Zone: g.zone, Zones: max(s.Zones, 1), Classes: w.classes, Step: time.Millisecond, MaxAttempts: s.MaxAttempts,
		Cancel: true, MaxRetryAfter: time.Second, PreferNear: s.PreferNear, CrossPrice: s.CrossPrice, ColdFrom: h.Cold, WarmAfter: h.WarmIn,
		OverloadFactor: fallFactor, OverloadWindow: fallSlots * fallSlot}
	cfg := exchange.PoolConfig{Name: s.Pools[i].Name, Settings: set, Seed: s.Seed + uint64(g.n*len(s.Pools)+i), Log: slog.New(slog.DiscardHandler),
		Upstream: p, AttemptEnded: w.met(g), Repeats: s.Repeats}
	if g.crowd != nil {
		cfg.InFlightChanged = g.crowd.out
	}
	if w.terms != nil {
		cfg.Scheduler, cfg.FleetShare, cfg.Limiter = contract.NewScheduler(1), contract.NewFleetShare(instances), g.limiter
	}
	if s.Quota != nil {
		teams, repeats := w.limits(g, s.Pools[i].Name)
		if cfg.RetryShare = repeats; cfg.Scheduler != nil {
			cfg.Scheduler.SetLimitShares(teams)
		}
	}
	if s.Believe {
		p.belief, p.seen, p.listed = belief.New(belief.Config{}), map[string]belief.Seen{}, map[string]bool{}
		cfg.HostSeen = p.saw
	}
	if k, has := w.kept[keptBy{g.n, i}]; has {
		cfg.Learned = learning.Aged(k.memory, w.now-k.at)
	}
	if p.Pool, err = g.x.NewPool(cfg); err != nil {
		return err
	}
	g.pools = append(g.pools, p)
	w.tell(g.n, i)
	p.turn()
	return nil
}

// turn lets the pool do what has come and is due, and plans its next turn.
func (p *pool) turn() {
	if p.inTurn || p.g.dead { // it is called back: what is new is done before it returns
		return
	}
	p.inTurn = true
	next := p.RunDue()
	p.inTurn = false
	if f := p.w.spec.Fallback; f > 0 && f-1 != p.n { // what it has handed on
		p.g.pools[f-1].turn()
	}
	if next > 0 && (p.wake == 0 || next < p.wake) {
		p.wake = next
		p.w.queue.push(max(next, p.w.now), func() {
			if p.wake == next {
				p.wake = 0
			}
			p.turn()
		})
	}
}

// list lets a gateway hear of a pool's hosts, after a delay that differs between gateways.
func (w *World) list(g, pool int, delay time.Duration) {
	if w.gateways[g] == nil {
		return
	}
	if delay > 0 {
		delay += time.Duration(w.dice.Int64N(int64(delay)))
	}
	w.after(delay, func() {
		if !w.gateways[g].dead {
			w.tell(g, pool)
			w.gateways[g].pools[pool].turn()
		}
	})
}

// tell gives a gateway the list as it is now.
func (w *World) tell(g, n int) {
	p := w.gateways[g].pools[n]
	hosts := make([]frostshift.Host, 0, len(w.hosts[n]))
	now := map[string]bool{}
	for _, h := range w.hosts[n] {
		uses, sharers := true, 0
		if w.spec.Part != nil {
			uses, sharers = w.spec.Part(g, h)
		}
		if uses && !w.unlisted[h.ID] {
			hosts = append(hosts, frostshift.Host{ID: h.ID, Zone: h.Zone, Kind: h.Kind, Started: h.started, Weight: h.Weight, Sharers: sharers})
			now[h.Name] = true
		}
	}
	if p.g.said != nil {
		p.g.listed(w.now, n, hosts)
	}
	if p.belief == nil {
		p.UpdateHosts(frostshift.ListFull, hosts, nil)
		return
	}
	for _, h := range w.hosts[n] {
		switch {
		case now[h.Name]:
			p.belief.Listed(w.now, membership.Endpoint{Name: h.Name, Status: membership.Active, SinceMS: h.started.Milliseconds()})
		case p.listed[h.Name]:
			p.belief.Dropped(w.now, h.Name, false)
		}
	}
	p.listed = now
	p.decide()
}

// decide passes on what is believed.
func (p *pool) decide() {
	changes := p.belief.Decide(p.w.now, func(name string) belief.Seen { return p.seen[name] })
	var hosts []frostshift.Host
	for _, e := range changes {
		for _, h := range p.w.hosts[p.n] {
			if h.Name == e.Name {
				x := frostshift.Host{ID: h.ID, Zone: h.Zone, Kind: h.Kind, Started: h.started, Weight: h.Weight}
				if e.Status == membership.Left {
					x.State = frostshift.Removed
				}
				hosts = append(hosts, x)
			}
		}
	}
	if len(hosts) > 0 {
		p.UpdateHosts(frostshift.ListChanges, hosts, nil)
	}
}

// look gives the move of a gateway its turn.
func (w *World) look(g *gateway) {
	var pools [2]shift.Pool
	for i, name := range []string{w.spec.Move.From, w.spec.Move.To} {
		p := g.pools[w.spec.index(name)]
		p.ReportLoad(func(l exchange.Load) {
			pools[i] = shift.Pool{Ready: l.Ready, Capacity: l.Capacity, Open: float64(l.Open), Pace: l.Pace}
		})
		p.turn()
	}
	g.move.Tick(w.now, pools[0], pools[1])
	if g.move.Wants() { // it is remembered at once
		s := g.move.Save(w.now, time.Unix(0, int64(w.now)))
		g.move.Grant(w.now, &s)
	}
	g.log = append(g.log, g.move.Decisions()...)
	w.after(lookEvery, func() { w.look(g) })
}

// after plans what happens after a time.
func (w *World) after(d time.Duration, do func()) { w.queue.push(w.now+d, do) }

// Play goes on for a time, or until stop says so after an event of a tenth of a second; nil:
// nothing does.
func (w *World) Play(length time.Duration, stop func() bool) {
	end, check := w.now+length, w.now
	for len(w.queue.list) > 0 && w.queue.list[0].at <= end {
		e := w.queue.pop()
		w.now = max(w.now, e.at)
		e.do()
		if stop != nil && w.now >= check {
			if check = w.now + lookEvery; stop() {
				return
			}
		}
	}
	w.now = end
}

// Now is how long the world has been played.
func (w *World) Now() time.Duration { return w.now - w.begin }

// Moves are the moves of the gateways, where there is one.
func (w *World) Moves() (list []*shift.Move) {
	for _, g := range w.gateways {
		if g.move != nil {
			list = append(list, g.move)
		}
	}
	return list
}

// Decisions are what a gateway's move has decided, with times since the beginning.
func (w *World) Decisions(g int) []shift.Decision {
	out := append([]shift.Decision(nil), w.gateways[g].log...)
	for i := range out {
		out[i].At -= w.begin
	}
	return out
}

// Reset counts anew from here on.
func (w *World) Reset() {
	w.Totals = Totals{}
	for _, list := range w.hosts {
		for _, h := range list {
			h.Busy, h.Got = 0, 0
		}
	}
}

// Hosts are the hosts of a pool.
func (w *World) Hosts(pool int) []*Host { return w.hosts[pool] }
