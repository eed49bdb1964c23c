package emulator

import (
	"slices"
	"time"

	"frostshift/internal/exchange"
)

// Trouble is what goes wrong with hosts of a pool for a time. The zero value of what narrows it
// does not narrow it.
type Trouble struct {
	Pool  string        // "": of all
	Hosts float64       // part of the pool's hosts, the first; 0: all
	From  time.Duration // since the beginning
	Until time.Duration // 0: to the end

	Class   string // requests of this class alone
	Costly  bool   // ... that cost more than twice the mean
	Retries bool   // ... that are a client's retries
	Cold    bool   // only while a host is cold

	Errors float64       // part of answers that are 500
	Growth float64       // ... that grows by so much a second
	Quick  bool          // errors cost nothing
	Slow   float64       // times the work; 0: 1
	Tail   float64       // part of requests that take TailBy longer
	TailBy time.Duration // ...
	Silent bool          // no answer comes
	Dead   bool          // nothing listens, and all is back at Until, cold
	Gone   bool          // they are not listed any more

	// Gateways is the part of the gateways, the first, that are killed at From and start anew,
	// knowing nothing but the list, at Until. Hosts are not concerned.
	Gateways float64

	// Cut is the part of the gateways, the first, whose talk with the others is cut. Nothing else
	// is concerned.
	Cut float64

	// Load is times the rate of first requests. Hosts are not concerned.
	Load float64
}

// on says whether it is the trouble's time.
func (t *Trouble) on(since time.Duration) bool {
	return since >= t.From && (t.Until == 0 || since < t.Until)
}

// suffers is what a request meets at a host.
type suffers struct {
	slow   float64
	extra  time.Duration
	status int
	silent bool
}

// troubleAt throws the dice for a request at a host.
func (w *World) troubleAt(h *Host, q *Request) suffers {
	s := suffers{slow: 1, status: 200}
	since := w.now - w.begin
	for i := range w.spec.Troubles {
		t := &w.spec.Troubles[i]
		switch {
		case t.Gateways > 0 || t.Load > 0 || t.Cut > 0 || !t.on(since) || !w.meets(t, h):
		case t.Class != "" && t.Class != w.spec.Classes[q.Class].Name, t.Costly && q.Work < 2*w.spec.meanWork(), t.Retries && q.tries < 2, t.Cold && !h.cold(w.now):
		default:
			if t.Slow > 0 {
				s.slow *= t.Slow
			}
			if t.Tail > 0 && w.dice.Float64() < t.Tail {
				s.extra += t.TailBy
			}
			s.silent = s.silent || t.Silent
			if p := t.Errors + t.Growth*(since-t.From).Seconds(); p > 0 && w.dice.Float64() < p {
				s.status = 500
				if t.Quick {
					s.slow = 0.01
				}
			}
		}
	}
	return s
}

// meets says whether a trouble is one of a host.
func (w *World) meets(t *Trouble, h *Host) bool {
	p := &w.spec.Pools[h.pool]
	if t.Pool != "" && t.Pool != p.Name {
		return false
	}
	return t.Hosts == 0 || slices.Index(w.hosts[h.pool], h) < int(t.Hosts*float64(len(w.hosts[h.pool]))+0.5)
}

// script plans deaths and changes of lists.
func (w *World) script() {
	for i := range w.spec.Troubles {
		t := &w.spec.Troubles[i]
		if t.Cut > 0 {
			w.after(t.From, w.hear)
			if t.Until > 0 {
				w.after(t.Until, w.hear)
			}
			continue
		}
		if t.Gateways > 0 {
			for n := range int(t.Gateways*float64(len(w.gateways)) + 0.5) {
				w.after(t.From, func() { w.kill(n); w.hear() })
				if t.Until > 0 {
					w.after(t.Until, func() { w.gateway(n); w.hear() })
				}
			}
			continue
		}
		if !t.Dead && !t.Gone {
			continue
		}
		w.after(t.From, func() { w.each(t, func(h *Host) { h.leaves(t) }) })
		if t.Until > 0 {
			w.after(t.Until, func() { w.each(t, func(h *Host) { h.returns(t) }) })
		}
	}
}

// kill ends a gateway with all that it holds: its clients see their connections break, its
// hosts too. Clients come to the others from then on.
func (w *World) kill(n int) {
	g := w.gateways[n]
	g.dead = true
	open := g.open
	g.open = nil
	for _, p := range g.pools {
		for _, o := range p.out {
			o.done, o.job.gone = true, true
		}
		p.out = nil
	}
	for _, q := range open {
		q.ended(exchange.Ending{At: w.now, Verdict: exchange.Failed})
	}
}

// alive is a gateway for a client: its own, or one of those that run, by its draw; nil: none does.
func (w *World) alive(own *gateway, draw uint64) *gateway {
	if own = w.gateways[own.n]; !own.dead {
		return own
	}
	var list []*gateway
	for _, g := range w.gateways {
		if !g.dead {
			list = append(list, g)
		}
	}
	if len(list) == 0 {
		return nil
	}
	return list[draw%uint64(len(list))]
}

func (w *World) each(t *Trouble, f func(*Host)) {
	for p := range w.hosts {
		met := false
		for _, h := range w.hosts[p] {
			if w.meets(t, h) {
				met = true
				f(h)
			}
		}
		if met {
			for g := range w.gateways {
				w.list(g, p, w.spec.ListDelay)
			}
		}
	}
}

func (h *Host) leaves(t *Trouble) {
	if t.Dead {
		h.die()
	}
	if t.Gone {
		h.world.unlisted[h.ID] = true
	}
}

func (h *Host) returns(t *Trouble) {
	if t.Dead {
		h.dead, h.started = false, h.world.now
	}
	if t.Gone {
		delete(h.world.unlisted, h.ID)
	}
}
