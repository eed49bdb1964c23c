package emulator

import (
	"time"

	"frostshift"
	"frostshift/internal/inflight"
	"frostshift/internal/peers"
)

// crowd is a gateway's part in what gateways tell each other of what they have out at hosts.
type crowd struct {
	w     *World
	g     *gateway
	store *inflight.Store
	at    Time // when it looks next
}

// crowds gives a gateway its part, before it has pools.
func (w *World) crowds(g *gateway) {
	c := &crowd{w: w, g: g, store: inflight.New(w.name(g.n), uint32(w.now/time.Millisecond)+1)}
	g.crowd = c
	var draws func()
	draws = func() {
		if g.dead {
			return
		}
		var alive []string
		for _, m := range g.peers.Members(w.now - w.begin) {
			if m.State == peers.Alive || m.State == peers.Suspected {
				alive = append(alive, m.Name)
			}
		}
		c.store.View(w.now, alive)
		var hosts []inflight.HostID
		for _, p := range g.pools {
			p.ReportStatus(func(s frostshift.Status) {
				for _, h := range s.Drawn() {
					hosts = append(hosts, inflight.HostID(h))
				}
			})
			p.turn()
		}
		c.store.Draws(w.now, hosts)
		c.look()
		w.after(time.Second, draws)
	}
	w.after(time.Duration(w.dice.Int64N(int64(time.Second))), draws)
}

func (c *crowd) out(h frostshift.HostID, more int) {
	c.store.Out(c.w.now, inflight.HostID(h), more)
	c.plan()
}

// plan has the store look when it has something to do.
func (c *crowd) plan() {
	if next := c.store.Next(c.w.now); c.at <= c.w.now || next < c.at {
		c.at = next
		c.w.after(next-c.w.now, func() {
			if c.at == next && !c.g.dead {
				c.look()
			}
		})
	}
}

// look sends what is due and gives pools what has changed.
func (c *crowd) look() {
	w := c.w
	c.at = 0
	out, news := c.store.Tick(w.now)
	way := w.spec.Talk.Way
	if way == 0 {
		way = w.spec.Near / 2
	}
	for _, p := range out {
		to, ok := w.number(p.To)
		if !ok || w.dice.Float64() < w.spec.Talk.Lost {
			continue
		}
		w.after(way, func() {
			if o := w.gateways[to]; w.reaches(c.g.n, to) {
				o.crowd.store.Take(w.now, p.Data)
				o.crowd.plan()
			}
		})
	}
	if len(news) > 0 {
		list := make([]frostshift.PeerLoad, len(news))
		for i, n := range news {
			list[i] = frostshift.PeerLoad{Host: frostshift.HostID(n.Host), InFlight: n.Out, Until: n.Until}
		}
		for _, p := range c.g.pools {
			p.PeerLoad(list)
			p.turn()
		}
	}
	c.plan()
}

// number is the gateway of a name.
func (w *World) number(name string) (n int, ok bool) {
	if len(name) < 4 {
		return 0, false
	}
	n = int(name[1]-'a') + 26*int(name[2]-'a') + 676*int(name[3]-'a')
	return n, n < len(w.gateways) && w.gateways[n] != nil
}
