package gateway

import (
	"encoding/json"
	"net/http"
	"slices"
	"sync"
	"time"

	"frostshift/internal/config"
	"frostshift/internal/contract"
	"frostshift/internal/peers"
	"frostshift/internal/quota"
	"frostshift/internal/verdict"
)

// rights is the gateway's part in limits of the whole fleet: it gives package quota the time, the
// packets and the view, and pools their parts. Nothing waits for it.
type rights struct {
	g    *Gateway
	cfg  quota.Config
	mode quota.Mode
	inbox

	mu    sync.Mutex
	store *quota.Store
	view  peers.View
	times float64 // the bounds that were logged last
	short float64
	warn  time.Time // of round trips that are too long, last
}

// newRights makes a part that is begun, where limits are shared; nil: they are not.
func newRights(g *Gateway, m *config.Model) *rights {
	if m.Quota == nil {
		return nil
	}
	cfg := quota.Config{Self: m.Name, Boot: uint64(time.Now().UnixNano()), Lease: m.Quota.Lease, Drift: m.Quota.Drift, Typed: m.Instances}
	return &rights{g: g, cfg: cfg, mode: m.Quota.Mode, inbox: newInbox(), store: quota.NewStore(g.exchange.Clock().Now(), cfg)}
}

// begin says that this process is the gateway's only one among the others from now on.
func (r *rights) begin() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.store.Begin(r.now())
}

// retire ends this process's part, before another begins its own.
func (r *rights) retire() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.store.Retire()
}

func (r *rights) now() quota.Time { return r.g.exchange.Clock().Now() }

// run has the store look in turns until the gateway ends.
func (r *rights) run() {
	tick := time.NewTicker(r.store.Every())
	defer tick.Stop()
	for {
		var out []quota.Packet
		select {
		case <-r.g.ended:
			return
		case <-tick.C:
			r.mu.Lock()
			out = slices.Clone(r.store.Tick(r.now()))
			r.mu.Unlock()
		case data := <-r.in:
			r.mu.Lock()
			out = slices.Clone(r.store.Take(r.now(), data))
			r.mu.Unlock()
		}
		sendAll(r.g, out)
	}
}

// alive takes who lives from the gossip agent.
func (r *rights) alive(names []string, v peers.View) {
	most := v.Most
	if v.Typed {
		most = 0
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.view = v
	r.store.View(r.now(), names, most)
	times, short := r.bounds()
	if times != r.times || short != r.short {
		r.times, r.short = times, short
		log := r.g.log.Info
		if times > 1 || short > 0 {
			log = r.g.log.Warn
		}
		log("quota: the bounds in force have changed", "mostly_full up to times", times, "never_over short by", short, "alive", r.store.Alive(), "may be", max(v.Most, r.store.Alive()))
	}
}

// bounds are Times and Short of a QuotaStatus.
func (r *rights) bounds() (times, short float64) {
	alive := r.store.Alive()
	most := max(r.view.Most, alive)
	// Two that hear each other make a side with the whole; one that hears nobody keeps to the even
	// part of the configuration's figure.
	missed := most - alive
	times = 1 + float64(missed/2) + float64(missed%2)/float64(max(r.cfg.Typed, 1))
	if all := max(r.cfg.Typed, most); all > alive {
		short = float64(all-alive) / float64(all)
	}
	return times, short
}

// team is what a pool goes by for a team; nil: its absolute figures are divided evenly.
func (r *rights) team(pool string, t *contract.Terms) contract.LimitShare {
	l, shared := limitOf(pool, t)
	if !shared {
		return nil
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.store.Right(l)
}

// limitOf is what a team's absolute figures are at a pool; false: they are divided evenly.
func limitOf(pool string, t *contract.Terms) (quota.Limit, bool) {
	return quota.Limit{Name: TeamLimit(pool, t.Team), Amount: t.Absolute(), Mode: t.Mode}, t.Absolute() > 0 && !t.SplitEvenly
}

// TeamLimit names the limit of a team at a pool.
func TeamLimit(pool, team string) string { return "team " + team + " at " + pool }

// repeats is a pool's part of what the fleet may repeat whatever the load.
func (r *rights) repeats(pool string) verdict.Right {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.store.Right(quota.Limit{Name: repeatLimit(pool), Amount: verdict.MinRetryRate, Mode: r.mode})
}

func repeatLimit(pool string) string { return "repeats at " + pool }

// keep has the store know the limits that a configuration names, and no others: others may want of
// one that nobody has asked for here.
func (r *rights) keep(m *config.Model) {
	r.mu.Lock()
	defer r.mu.Unlock()
	named := map[string]bool{}
	for _, p := range m.Pools {
		named[repeatLimit(p.Name)] = true
		if m.Contracts != nil {
			for _, t := range m.Contracts.Terms() {
				if l, shared := limitOf(p.Name, t); shared {
					named[l.Name] = true
					r.store.Right(l)
				}
			}
		}
	}
	r.store.Drop(func(l quota.Limit) bool { return named[l.Name] })
	families := map[string]bool{}
	for i := range m.Rules {
		if c := &m.Rules[i]; c.Rate > 0 && !c.Even {
			families[c.Name] = true
		}
	}
	r.store.DropFamilies(func(l quota.Limit) bool { return families[l.Name] })
}

// QuotaStatus is what operators are shown of limits of the whole fleet.
type QuotaStatus struct {
	Name   string
	Lease  time.Duration
	Alive  int // gateways, with this one
	Most   int // that there may be
	Typed  int
	Side   peers.Side
	Counts quota.Counts
	Lost   int64 // packets that came and found no room
	// Times is how many times a limit that is mostly full may be in force, as seen from here, if
	// gateways that are missed live on the other sides of a cut. Short is the part of one that is never over which is
	// missing while gateways are gone.
	Times  float64
	Short  float64
	Limits []quota.LimitStatus
}

func (r *rights) status(all bool) QuotaStatus {
	r.mu.Lock()
	defer r.mu.Unlock()
	v := r.view
	s := QuotaStatus{Name: r.cfg.Self, Lease: r.cfg.Lease, Alive: r.store.Alive(), Most: max(v.Most, r.store.Alive()), Typed: r.cfg.Typed, Side: v.Side,
		Counts: r.store.Counts(), Lost: r.lost.Load(), Limits: r.store.Status(r.now(), all)}
	s.Times, s.Short = r.bounds()
	return s
}

// quotaStatus answers operators.
func (g *Gateway) quotaStatus(w http.ResponseWriter, r *http.Request) {
	if g.rights == nil {
		http.Error(w, "this gateway shares no limits with others", http.StatusNotFound)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(g.rights.status(r.URL.Query().Get("all") != ""))
}

// tooSlow warns where a lease is shorter than three round trips to a member: its rights would not
// follow what comes. It says so once a minute.
func (r *rights) tooSlow(longest time.Duration) {
	r.mu.Lock()
	late := 3*longest > r.cfg.Lease && time.Since(r.warn) > time.Minute
	if late {
		r.warn = time.Now()
	}
	r.mu.Unlock()
	if late {
		r.g.log.Warn("quota.lease is shorter than three round trips among gateways: rights do not follow what comes", "lease", r.cfg.Lease, "round trip", longest)
	}
}
