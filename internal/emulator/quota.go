package emulator

import (
	"slices"
	"time"

	"frostshift/internal/contract"
	"frostshift/internal/peers"
	"frostshift/internal/quota"
	"frostshift/internal/verdict"
)

// Quota has gateways that talk share limits of the fleet: what teams are guaranteed, and what may
// be repeated whatever the load.
type Quota struct {
	Lease time.Duration
	Mode  quota.Mode
}

// addStore gives a gateway its part in limits, before it has pools.
func (w *World) addStore(g *gateway) {
	g.boots = 1
	if old := w.gateways[g.n]; old != nil {
		g.boots = old.boots + 1
	}
	g.store = quota.NewStore(w.now, quota.Config{Self: w.name(g.n), Boot: g.boots, Lease: w.spec.Quota.Lease, Typed: max(w.spec.Talk.Typed, 1)})
	var look func()
	look = func() {
		if g.dead {
			return
		}
		w.said(g, g.store.Tick(w.now))
		w.after(g.store.Every(), look)
	}
	w.after(time.Duration(w.dice.Int64N(int64(g.store.Every()))), look)
}

// share tells a gateway's store who lives.
func (w *World) share(g *gateway, v peers.View) {
	if g.store == nil {
		return
	}
	most := v.Most
	if v.Typed {
		most = 0
	}
	var names []string
	for _, m := range g.peers.Members(w.now - w.begin) {
		if m.State == peers.Alive || m.State == peers.Suspected {
			names = append(names, m.Name)
		}
	}
	g.store.View(w.now, names, most)
}

// limits are those that a gateway's pool goes by.
func (w *World) limits(g *gateway, pool string) (teams func(*contract.Terms) contract.LimitShare, repeats verdict.Right) {
	mode := w.spec.Quota.Mode
	teams = func(t *contract.Terms) contract.LimitShare {
		return g.store.Right(quota.Limit{Name: t.Team + " at " + pool, Amount: t.Absolute(), Mode: mode})
	}
	for _, t := range w.terms {
		if t.Absolute() > 0 {
			teams(t)
		}
	}
	return teams, g.store.Right(quota.Limit{Name: "repeats at " + pool, Amount: verdict.MinRetryRate, Mode: mode})
}

// said delivers packets, half a way there and back later, where links hold then.
func (w *World) said(g *gateway, list []quota.Packet) {
	for _, p := range slices.Clone(list) {
		to := slices.IndexFunc(w.gateways, func(o *gateway) bool { return o != nil && w.name(o.n) == p.To })
		if to < 0 {
			continue
		}
		w.after(w.spec.Near/2, func() {
			if o := w.gateways[to]; w.reaches(g.n, to) {
				w.said(o, o.store.Take(w.now, p.Data))
			}
		})
	}
}
