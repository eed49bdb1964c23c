package emulator

import (
	"slices"
	"time"

	"frostshift/internal/contract"
	"frostshift/internal/quota"
	"frostshift/internal/roster"
	"frostshift/internal/verdict"
)

// Quota has gateways that talk share limits of the fleet: what teams are guaranteed, and what may
// be repeated whatever the load.
type Quota struct {
	Lease time.Duration
	Mode  quota.Mode
}

// book gives a gateway its part in limits, before it has pools.
func (w *World) book(g *gateway) {
	g.boots = 1
	if old := w.gateways[g.n]; old != nil {
		g.boots = old.boots + 1
	}
	g.book = quota.NewBook(w.now, quota.Config{Self: w.name(g.n), Boot: g.boots, Lease: w.spec.Quota.Lease, Typed: max(w.spec.Talk.Typed, 1)})
	var look func()
	look = func() {
		if g.dead {
			return
		}
		w.said(g, g.book.Tick(w.now))
		w.after(g.book.Every(), look)
	}
	w.after(time.Duration(w.dice.Int64N(int64(g.book.Every()))), look)
}

// share tells a gateway's book who lives.
func (w *World) share(g *gateway, v roster.View) {
	if g.book == nil {
		return
	}
	most := v.Most
	if v.Typed {
		most = 0
	}
	var names []string
	for _, m := range g.roster.Members(w.now - w.begin) {
		if m.State == roster.Alive || m.State == roster.Suspected {
			names = append(names, m.Name)
		}
	}
	g.book.View(w.now, names, most)
}

// limits are those that a gateway's pool goes by.
func (w *World) limits(g *gateway, pool string) (teams func(*contract.Terms) contract.Right, repeats verdict.Right) {
	mode := w.spec.Quota.Mode
	teams = func(t *contract.Terms) contract.Right {
		return g.book.Right(quota.Limit{Name: t.Team + " at " + pool, Amount: t.Absolute(), Mode: mode})
	}
	for _, t := range w.terms {
		if t.Absolute() > 0 {
			teams(t)
		}
	}
	return teams, g.book.Right(quota.Limit{Name: "repeats at " + pool, Amount: verdict.AlwaysRate, Mode: mode})
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
				w.said(o, o.book.Take(w.now, p.Data))
			}
		})
	}
}
