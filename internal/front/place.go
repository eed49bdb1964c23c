package front

import (
	"errors"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"slices"

	"frostshift"
	"frostshift/internal/config"
	"frostshift/internal/moves"
	"frostshift/internal/route"
	"frostshift/internal/shift"
)

// moving is a route whose traffic moves, or has moved: keys still belong to the pools that
// they went to.
type moving struct {
	move  *moves.Move // nil: none leads it now
	name  string
	old   []*moves.Move // of earlier configurations
	worth float64       // of its worthiest class
	sides [2]int        // places of both pools among the route's
}

// movingOf is what moves a route; nil: nothing.
func movingOf(m *config.Model, r *route.Route, led map[string]*moves.Move, left []*moves.Move) *moving {
	v := &moving{}
	for i := range m.Moves {
		if p := &m.Moves[i]; slices.Contains(p.Routes, r.Name) {
			v.move, v.name = led[p.Name], p.Name
			for _, name := range p.Routes {
				for _, x := range m.Table.Routes() {
					if at := m.ClassIndex(x.Class); x.Name == name && at >= 0 {
						v.worth = max(v.worth, worthOf(&m.Classes[at]))
					}
				}
			}
			v.sides = [2]int{poolAt(r, p.From), poolAt(r, p.To)}
		}
	}
	for _, old := range left {
		if p := old.Plan(); slices.Contains(p.Routes, r.Name) {
			v.old = append(v.old, old)
		}
	}
	if v.move == nil && v.old == nil {
		return nil
	}
	return v
}

// worthOf is what an answer of a class is worth.
func worthOf(c *config.Class) float64 {
	if c.Worth == 0 {
		return 1
	}
	return c.Worth
}

func poolAt(r *route.Route, name string) int {
	return slices.IndexFunc(r.Pools, func(w route.Weighted) bool { return w.Pool == name })
}

// placement is the pool that a move has chosen.
type placement struct {
	at   int // among the route's; -1: the move says nothing
	move *moves.Move
	unit shift.Unit
}

// place asks the move of a route where a request goes. A request that may have run in another
// pool, of which nothing is known any more, fails: no answer else would be honest.
func (s *Snapshot) place(h *Head, client netip.Addr, r *route.Route, classAt int, repeat bool) (placement, error) {
	v, class := s.moves[r.Index], &s.model.Classes[classAt]
	out := placement{at: -1}
	a := shift.Ask{Class: classAt, Aim: class.Aim, Cost: keyOf(h), Repeat: repeat}
	if v.move != nil {
		a.Worth = worthOf(class) / v.worth
	}
	if a.Aim == 0 {
		a.Aim = class.Deadline
	}
	if key := h.Header.Get("Idempotency-Key"); key != "" {
		a.Key, a.Named, a.Keyed = hashOf("key", r.Class, key), true, class.Effect != frostshift.Safe
	} else {
		a.Key = hashOf(client.String(), h.Method, h.Authority, h.Path, h.Query)
	}
	if a.Keyed {
		for _, old := range v.old {
			pool, known, err := old.Belongs(a.Key, shift.Draw(sticky(h, r, old.Plan().Name, true)))
			if known {
				out.at = poolAt(r, pool)
			}
			if err != nil || known && out.at < 0 {
				return out, s.unsure()
			}
			if known {
				return out, nil
			}
		}
	}
	if v.move == nil {
		return out, nil
	}
	a.Sticky = sticky(h, r, v.name, a.Named)
	if a.Draw = rand.Float64(); a.Sticky != 0 {
		a.Draw = shift.Draw(a.Sticky)
	}
	u, _, err := v.move.Place(&a)
	if errors.Is(err, shift.ErrUnsure) {
		return out, s.unsure()
	}
	out.at, out.move, out.unit = v.sides[u.Side], v.move, u
	return out, nil
}

// sticky is the hash by which a move deals a request whose place must stay; 0: it need not.
func sticky(h *Head, r *route.Route, move string, named bool) uint64 {
	if value, ok := r.Stable.Value(&route.Request{Query: h.Query, Header: h.Header}); ok {
		return hashOf("stable", move, value)
	}
	if named {
		return hashOf("stable", move, h.Header.Get("Idempotency-Key"))
	}
	return 0
}

func (s *Snapshot) unsure() *Error {
	return &Error{Status: http.StatusBadGateway, Text: "an earlier try may have run elsewhere", Keeps: true, Header: http.Header{"Proxy-Status": {s.name + "; error=proxy_internal_error"}}}
}
