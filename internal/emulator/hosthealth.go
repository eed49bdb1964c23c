package emulator

import (
	"slices"
	"time"

	"frostshift"
	"frostshift/internal/hosthealth"
	"frostshift/internal/peers"
)

// hostHealth gives a gateway its part in what gateways tell each other of hosts, before it has pools.
func (w *World) hostHealth(g *gateway) {
	g.said = hosthealth.New(hosthealth.Config{Self: w.name(g.n), Classes: len(w.classes)})
	g.lists = map[int]map[hosthealth.HostID]int64{}
	var look func()
	look = func() {
		if g.dead {
			return
		}
		var alive []hosthealth.Member
		for _, m := range g.peers.Members(w.now - w.begin) {
			if m.State == peers.Alive || m.State == peers.Suspected {
				alive = append(alive, hosthealth.Member{Name: m.Name, Zone: m.Zone})
			}
		}
		g.said.View(alive)
		out, changed := g.said.Tick(w.now)
		for _, p := range slices.Clone(out) {
			to := slices.IndexFunc(w.gateways, func(o *gateway) bool { return o != nil && w.name(o.n) == p.To })
			if to < 0 {
				continue
			}
			w.after(w.spec.Near/2, func() {
				if o := w.gateways[to]; w.reaches(g.n, to) {
					o.said.Take(w.now, p.Data)
				}
			})
		}
		list := make([]frostshift.HostHealth, len(changed))
		for i, v := range changed {
			list[i] = frostshift.HostHealth{Host: frostshift.HostID(v.Host), Suspicion: v.Doubt, Down: v.Down, Wait: v.Wait, Until: v.Until}
		}
		for _, p := range g.pools {
			if len(list) > 0 {
				p.HostHealth(list)
				p.turn()
			}
		}
		w.after(g.said.Every(), look)
	}
	w.after(time.Duration(w.dice.Int64N(int64(g.said.Every()))), look)
}

// listed tells a gateway's part of a pool's hosts.
func (g *gateway) listed(now Time, n int, hosts []frostshift.Host) {
	g.lists[n] = map[hosthealth.HostID]int64{}
	for _, h := range hosts {
		g.lists[n][hosthealth.HostID(h.ID)] = int64(h.Started)
	}
	all := map[hosthealth.HostID]int64{}
	for _, list := range g.lists {
		for id, started := range list {
			all[id] = max(all[id], started)
		}
	}
	g.said.List(now, all)
}

// met counts attempts that brought nothing, and tells them where gateways talk of hosts.
func (w *World) met(g *gateway) func(frostshift.HostID, int, frostshift.Result, frostshift.Time) {
	return func(id frostshift.HostID, class int, r frostshift.Result, took frostshift.Time) {
		o, says := hosthealth.OutcomeOf(r)
		if !says {
			return
		}
		if o != hosthealth.Answered {
			w.Totals.Vain++
		}
		if g.said != nil {
			g.said.Saw(w.now, hosthealth.HostID(id), class, o, took)
		}
	}
}
