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
	"io"
	"log/slog"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"frostshift"
	"frostshift/internal/contract"
	"frostshift/internal/exchange"
	"frostshift/internal/hearsay"
	"frostshift/internal/learning"
	"frostshift/internal/membership"
	"frostshift/internal/membership/belief"
	"frostshift/internal/quota"
	"frostshift/internal/roster"
	"frostshift/internal/shift"
	"gonum.org/v1/gonum/stat/distuv"
)

// Spec is a fleet with its load and troubles.
type Spec struct {
	Seed         uint64
	Gateways     int
	GatewayZones []int // by gateway; nil: all in zone 0
	Zones        int   // 0: 1
	Pools        []PoolSpec
	Classes      []Class
	Length       time.Duration
	Rate         float64 // first requests a second, over all gateways
	// Skew deals requests unevenly: the nth gateway's part is as n to the power of −Skew.
	Skew float64
	// Picker replaces the gateways by a plain rule, to weigh them beside: "all" sees every
	// host's queue and sends to the shortest, "random" draws. "": the gateways decide.
	Picker    string
	Cost      Cost
	Keys      int // that requests are about; each has a cost of its own. 0: none
	Clients   Clients
	Teams     []Team // whose requests they are; nil: there are no contracts
	Pool      int    // that requests go to where nothing moves
	Fallback  int    // index + 1; 0: none
	Move      *shift.Plan
	Troubles  []Trouble
	Near, Far time.Duration // there and back within a zone, and between zones
	ListDelay time.Duration // until a gateway hears of a change, twice that at most
	Believe   bool          // lists are held against what is seen
	// Keeps: what a gateway has learned is written down every five seconds, and its next process begins with it.
	Keeps       bool
	PreferNear  bool
	CrossPrice  float64
	Instances   int   // that gateways believe in; 0: as many as there are
	MaxAttempts int   // of a request; 0: 3
	Talk        *Talk // gateways know each other; nil: they share nothing
	Quota       *Quota
	Repeats     float64 // share of requests that may be repeated where an attempt may have run; 0: all
	// Part says whether a gateway uses a host, and how many gateways do; nil: all use all.
	Part func(gateway int, h *Host) (uses bool, sharers int)
	// Watch sees each try as it ends; nil: nobody does.
	Watch func(Try)
}

// PoolSpec is a pool of hosts that are alike.
type PoolSpec struct {
	Name  string
	Hosts []Host
}

// Class is a kind of request and its part of the load.
type Class struct {
	Name string
	Part float64
	frostshift.Class
}

// Cost is how the work of requests is spread.
type Cost struct {
	Kind string        // lognormal, pareto, exponential, uniform or fixed
	Mean time.Duration // of a core of speed 1
	// Shape is sigma of lognormal, alpha, above 1, of pareto, or how far uniform goes to either
	// side, as a part of the mean.
	Shape float64
}

// Clients is how clients behave.
type Clients struct {
	Tries   int           // of a request in all; 0: 1
	Backoff time.Duration // before another, grown by half at random
}

// Team has a part of the load under a contract.
type Team struct {
	Name  string
	Part  float64 // of the load
	Share float64 // of the pool that is guaranteed
	Rate  float64 // seconds of work a second that are, over all gateways
}

func (s *Spec) meanWork() time.Duration { return s.Cost.Mean }

// Check says what is wrong with a fleet.
func (s *Spec) Check() error {
	switch {
	case s.Gateways < 1 || s.Gateways > 1000:
		return fmt.Errorf("gateways: %d is not from 1 to 1000", s.Gateways)
	case len(s.Pools) == 0:
		return fmt.Errorf("pool: there is none")
	case len(s.Classes) == 0:
		return fmt.Errorf("class: there is none")
	case s.Length <= 0:
		return fmt.Errorf("length: %v is no time", s.Length)
	case !(s.Rate > 0):
		return fmt.Errorf("rate: %v is not above 0", s.Rate)
	case !(s.Skew >= 0 && s.Skew <= 8):
		return fmt.Errorf("skew: %v is not from 0 to 8", s.Skew)
	case s.Picker != "" && s.Picker != "all" && s.Picker != "random":
		return fmt.Errorf("picker: %q is neither all nor random", s.Picker)
	case s.Cost.Mean <= 0:
		return fmt.Errorf("cost.mean: %v is no time", s.Cost.Mean)
	case s.Cost.Kind == "pareto" && !(s.Cost.Shape > 1), s.Cost.Kind == "lognormal" && !(s.Cost.Shape > 0), s.Cost.Kind == "uniform" && !(s.Cost.Shape >= 0 && s.Cost.Shape < 1):
		return fmt.Errorf("cost.shape: %v has no mean", s.Cost.Shape)
	}
	switch s.Cost.Kind {
	case "lognormal", "pareto", "exponential", "uniform", "fixed":
	default:
		return fmt.Errorf("cost.kind: %q is none of lognormal, pareto, exponential, uniform, fixed", s.Cost.Kind)
	}
	for _, p := range s.Pools {
		if len(p.Hosts) == 0 {
			return fmt.Errorf("pool %q has no hosts", p.Name)
		}
		for _, h := range p.Hosts {
			if h.Cores < 1 || !(h.Speed > 0) || h.Queue < 0 {
				return fmt.Errorf("pool %q: a host has cores, and a speed above 0", p.Name)
			}
		}
	}
	if s.Quota != nil && (s.Talk == nil || s.Quota.Lease < 100*time.Millisecond) {
		return fmt.Errorf("quota: limits are shared by gateways that talk, by leases of 100ms and more")
	}
	if !(s.Repeats >= 0 && s.Repeats <= 1) {
		return fmt.Errorf("repeats: %v is not from 0 to 1", s.Repeats)
	}
	for _, t := range s.Troubles {
		if !(t.Cut >= 0 && t.Cut < 1) || t.Cut > 0 && (s.Talk == nil || t.Gateways > 0 || t.Hosts > 0 || t.Pool != "") {
			return fmt.Errorf("trouble.cut: %v is not a part of gateways that talk, and goes with nothing else", t.Cut)
		}
		if !(t.Gateways >= 0 && t.Gateways <= 1) {
			return fmt.Errorf("trouble.gateways: %v is not a part", t.Gateways)
		}
		if t.Gateways > 0 && (s.Move != nil || t.Hosts > 0 || t.Pool != "") {
			return fmt.Errorf("trouble.gateways: goes with no hosts and no move")
		}
	}
	if s.Move != nil {
		if err := s.Move.Check(); err != nil {
			return err
		}
		if s.index(s.Move.From) < 0 || s.index(s.Move.To) < 0 {
			return fmt.Errorf("move: there is no such pool")
		}
	}
	return nil
}

func (s *Spec) index(pool string) int {
	for i := range s.Pools {
		if s.Pools[i].Name == pool {
			return i
		}
	}
	return -1
}

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
	crowd *crowd // nil: what is out at hosts is not told
	n     int
	zone  int
	x     *exchange.Exchange
	pools []*pool
	move  *shift.Move
	door  *contract.Door
	log   []shift.Decision
	dead  bool
	open  []*Request // in the order of their tries

	roster *roster.Roster // where gateways talk
	hears  []bool         // others that it hears, or will have heard soon
	until  time.Duration  // its view holds so long if nothing is heard

	said  *hearsay.Book // where gateways talk of hosts
	lists map[int]map[hearsay.HostID]int64

	book  *quota.Book // where limits are shared
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
	src := rand.New(rand.NewPCG(s.Seed, 3))
	mean := s.Cost.Mean.Seconds()
	switch s.Cost.Kind {
	case "lognormal":
		d := distuv.LogNormal{Mu: logMean(mean, s.Cost.Shape), Sigma: s.Cost.Shape, Src: src}
		w.cost = d.Rand
	case "pareto":
		d := distuv.Pareto{Xm: mean * (s.Cost.Shape - 1) / s.Cost.Shape, Alpha: s.Cost.Shape, Src: src}
		w.cost = d.Rand
	case "exponential":
		d := distuv.Exponential{Rate: 1 / mean, Src: src}
		w.cost = d.Rand
	case "uniform":
		d := distuv.Uniform{Min: mean * (1 - s.Cost.Shape), Max: mean * (1 + s.Cost.Shape), Src: src}
		w.cost = d.Rand
	default:
		w.cost = func() float64 { return mean }
	}
	for range s.Keys {
		w.keyWork = append(w.keyWork, w.work())
	}
	for _, c := range s.Classes {
		w.classes = append(w.classes, c.Class)
	}
	for p := range s.Pools {
		var list []*Host
		byID := map[frostshift.HostID]*Host{}
		for i := range s.Pools[p].Hosts {
			h := s.Pools[p].Hosts[i]
			h.Name = fmt.Sprintf("%s-%d", s.Pools[p].Name, i)
			if h.ID == 0 {
				h.ID = membership.HostID(h.Name)
			}
			h.world, h.pool, h.idle = w, p, map[int][]Time{}
			if h.Cold > 0 && h.Cold < 1 {
				h.started = w.begin
			}
			list = append(list, &h)
			byID[h.ID] = &h
		}
		w.hosts, w.byID = append(w.hosts, list), append(w.byID, byID)
	}
	for _, t := range s.Teams {
		w.terms = append(w.terms, &contract.Terms{Team: t.Name, Share: t.Share, Rate: t.Rate, RetryRatio: 1})
	}
	if w.terms != nil {
		contract.NewBook(w.terms)
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

// gateway makes one with its pools, at the beginning or in the place of one that was killed.
func (w *World) gateway(n int) error {
	s := &w.spec
	g := &gateway{n: n, x: exchange.New(exchange.NewHandClock(&w.now)), door: contract.NewDoor(1<<20, 1<<40)}
	if s.GatewayZones != nil {
		g.zone = s.GatewayZones[n]
	}
	if s.Quota != nil {
		w.book(g)
	}
	if s.Talk != nil && s.Talk.Verdicts {
		w.hearing(g)
	}
	if s.Talk != nil && s.Talk.Load {
		w.crowds(g)
	}
	w.gateways[n] = g
	silent := slog.New(slog.NewTextHandler(io.Discard, nil))
	instances := s.Instances
	if s.Talk != nil {
		instances = max(s.Talk.Typed, 1)
	}
	if instances == 0 {
		instances = s.Gateways
	}
	for i := range s.Pools {
		h := &s.Pools[i].Hosts[0]
		p := &pool{w: w, g: g, n: i}
		set := frostshift.Settings{Instances: instances, Rank: n % instances, Zone: g.zone, Zones: max(s.Zones, 1), Classes: w.classes, Step: time.Millisecond, MaxAttempts: s.MaxAttempts,
			Cancel: true, MaxRetryAfter: time.Second, PreferNear: s.PreferNear, CrossPrice: s.CrossPrice, ColdFrom: h.Cold, WarmAfter: h.WarmIn,
			OverloadFactor: fallFactor, Fall: fallSlots * fallSlot}
		cfg := exchange.PoolConfig{Name: s.Pools[i].Name, Settings: set, Seed: s.Seed + uint64(n*len(s.Pools)+i), Log: silent, Upstream: p, Met: w.met(g)}
		if g.crowd != nil {
			cfg.Out = g.crowd.out
		}
		if w.terms != nil {
			cfg.Scheduler, cfg.Part, cfg.Door = contract.NewScheduler(1), contract.NewPart(instances), g.door
		}
		cfg.Repeats = s.Repeats
		if s.Quota != nil {
			teams, repeats := w.limits(g, s.Pools[i].Name)
			if cfg.RepeatRight = repeats; cfg.Scheduler != nil {
				cfg.Scheduler.SetRights(teams)
			}
		}
		if s.Believe {
			p.belief, p.seen, p.listed = belief.New(belief.Config{}), map[string]belief.Seen{}, map[string]bool{}
			cfg.Saw = p.saw
		}
		var err error
		if k, has := w.kept[keptBy{n, i}]; has {
			cfg.Learned = learning.Aged(k.memory, w.now-k.at)
		}
		if p.Pool, err = g.x.NewPool(cfg); err != nil {
			return err
		}
		g.pools = append(g.pools, p)
		w.tell(g.n, i)
		p.turn()
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

// turn lets the pool do what has come and is due, and plans its next turn.
func (p *pool) turn() {
	if p.inTurn || p.g.dead { // it is called back: what is new is done before it returns
		return
	}
	p.inTurn = true
	next := p.Turn()
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
		p.News(frostshift.ListFull, hosts, nil)
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
		p.News(frostshift.ListChanges, hosts, nil)
	}
}

// look gives the move of a gateway its turn.
func (w *World) look(g *gateway) {
	var pools [2]shift.Pool
	for i, name := range []string{w.spec.Move.From, w.spec.Move.To} {
		p := g.pools[w.spec.index(name)]
		p.Look(func(l exchange.Load) {
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

// port is an attempt on its way to a host and back: what the exchange sees as an upstream.
type port struct {
	p    *pool
	a    *exchange.Attempt
	h    *Host
	job  *job
	done bool
}

// Start begins an attempt.
func (p *pool) Start(a *exchange.Attempt) exchange.Handle {
	w := p.w
	h := w.byID[p.n][a.Host]
	q := a.Message.(*Request)
	o := &port{p: p, a: a, h: h}
	way := w.spec.Near
	if h.Zone != p.g.zone {
		way = w.spec.Far
	}
	extra := h.connection(p.g.n)
	if extra > 0 {
		w.Totals.Connects++
	}
	o.job = &job{q: q, work: q.Work + extra}
	p.out = append(p.out, o)
	w.Totals.Attempts++
	if h.Zone == p.g.zone {
		w.Totals.Near++
	}
	o.job.ends = func(status int) { w.after(way/2, func() { o.answered(status) }) }
	w.after(way/2, func() {
		if h.dead {
			w.after(way/2, func() { o.end(frostshift.ConnectFailed) })
			return
		}
		h.arrive(o.job)
	})
	if left := a.Left; left > 0 {
		w.after(left, func() { o.end(frostshift.TimedOut) })
	}
	return o
}

// answered brings a host's answer; 0: the connection broke.
func (o *port) answered(status int) {
	if o.done {
		return
	}
	if status == 0 {
		o.end(frostshift.Reset)
		return
	}
	o.ends()
	o.h.release(o.p.g.n)
	o.a.Answered(o.a.Answers.Judge(status, nil), 0, nothing{})
	o.p.turn()
}

func (o *port) end(r frostshift.Result) {
	if o.done {
		return
	}
	o.ends()
	o.job.gone = true
	o.a.End(r)
	o.p.turn()
}

// ends takes the attempt from those that are out.
func (o *port) ends() {
	o.done = true
	if i := slices.Index(o.p.out, o); i >= 0 {
		o.p.out = slices.Delete(o.p.out, i, i+1)
	}
}

// CallOff ends the attempt; the host works on if it has begun.
func (o *port) CallOff() {
	o.job.gone = true
	o.p.w.after(0, func() { o.end(frostshift.Canceled) })
}

// saw is what an attempt has shown of a host.
func (p *pool) saw(id frostshift.HostID, answered bool) {
	h := p.w.byID[p.n][id]
	s := p.seen[h.Name]
	if answered {
		s.Good = p.w.now
	} else {
		s.Bad = p.w.now
	}
	p.seen[h.Name] = s
}

// nothing is an answer that holds nothing.
type nothing struct{}

func (nothing) Release()    {}
func (nothing) Light() bool { return true }
