package emulator

import (
	"time"

	"frostshift"
	"frostshift/internal/peers"
)

// Talk has gateways know each other: each has a registry of peers, which hears of deaths, cuts and returns as
// failure detection would tell, late and each at its own time.
type Talk struct {
	// Detect is how long it takes until a gateway hears that another is lost, twice that at
	// most; it hears of one that is there within a quarter of that.
	Detect time.Duration
	Window time.Duration // see peers.Config
	// Typed is how many gateways each is told of; 0: one.
	Typed int
	// Verdicts has gateways tell each other what they meet at hosts, Load what they have out there. Lost is the
	// part of what they tell of load that does not come, Way how long the rest takes; 0: half of Near.
	Verdicts, Load bool
	Lost           float64
	Way            time.Duration
}

// talkEvery is the time between two looks at a view.
const talkEvery = 250 * time.Millisecond

// reaches says whether a gateway's packets come to another now: both live, and no cut parts them.
func (w *World) reaches(i, j int) bool {
	if w.gateways[i] == nil || w.gateways[j] == nil || w.gateways[i].dead || w.gateways[j].dead {
		return false
	}
	for k := range w.spec.Troubles {
		if t := &w.spec.Troubles[k]; t.Cut > 0 && t.on(w.now-w.begin) {
			side := int(t.Cut*float64(len(w.gateways)) + 0.5)
			if (i < side) != (j < side) {
				return false
			}
		}
	}
	return true
}

// hear plans what each gateway will hear of each other, as things are from now on. Without talk
// there is nothing to hear.
func (w *World) hear() {
	if w.spec.Talk == nil {
		return
	}
	for i := range w.gateways {
		for j := range w.gateways {
			if i == j {
				continue
			}
			reached := w.reaches(i, j)
			if g := w.gateways[i]; g == nil || g.dead || g.hears[j] == reached {
				continue
			}
			g := w.gateways[i]
			g.hears[j] = reached
			late := w.spec.Talk.Detect
			if reached {
				late /= 4
			}
			w.after(late+time.Duration(w.dice.Int64N(int64(late)+1)), func() {
				if g.dead || g.hears[j] != reached {
					return
				}
				g.until = 0 // what is heard may change when the view does next
				switch {
				case reached:
					g.peers.MarkAlive(w.now-w.begin, peers.Member{Name: w.name(j)})
				default:
					g.peers.MarkGone(w.now-w.begin, w.name(j), false, "")
				}
			})
		}
	}
}

func (w *World) name(n int) string {
	return "g" + string(rune('a'+n%26)) + string(rune('a'+n/26%26)) + string(rune('a'+n/676))
}

// talk gives a gateway its registry of peers, and its pools what the view says.
func (w *World) talk(g *gateway) {
	t := w.spec.Talk
	typed := max(t.Typed, 1)
	g.hears = make([]bool, len(w.gateways))
	g.peers = peers.New(w.now-w.begin, peers.Config{Self: peers.Member{Name: w.name(g.n)}, Typed: typed, Place: frostshift.RankPosition(g.n%typed, typed), Window: t.Window})
	last := -1
	var look func()
	look = func() {
		if g.dead {
			return
		}
		if w.now-w.begin >= g.until {
			g.until = g.peers.Tick(w.now - w.begin)
		}
		if v := g.peers.View(); v.Version != last {
			last = v.Version
			w.share(g, v)
			for _, p := range g.pools {
				p.FleetNow(frostshift.Fleet{Position: v.Place, Min: v.Least, Max: v.Most}, v.Most)
				p.turn()
			}
		}
		w.after(talkEvery, look)
	}
	w.after(time.Duration(w.dice.Int64N(int64(talkEvery))), look)
}

// Views are those of the gateways that live, where they talk.
func (w *World) Views() (list []peers.View) {
	for _, g := range w.gateways {
		if !g.dead && g.peers != nil {
			g.peers.Tick(w.now - w.begin)
			list = append(list, g.peers.View())
		}
	}
	return list
}
