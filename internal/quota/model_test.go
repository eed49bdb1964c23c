package quota

import (
	"cmp"
	"encoding/binary"
	"flag"
	"maps"
	"math"
	"slices"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
)

// An explicit-state search: three members, one limit that is never over, clocks at the ends of
// the drift that is allowed, and every order of looks, deliveries, losses, second deliveries,
// restarts, stops and shifts of traffic, up to as many states as there is time for. After each
// step no more may be in force than the limit.

const (
	modelAmount = 100.0
	modelLease  = 800 * time.Millisecond
	modelDrift  = 0.05
)

var modelNames = [3]string{"a", "b", "c"}

var states = flag.Int("states", 6_000, "states that the search looks at, from each beginning")

type flight struct {
	to   int
	data string
}

type model struct {
	now      time.Duration
	books    [3]*Store
	boots    [3]uint64
	flights  []flight
	restarts int
	shifts   int
	seconds  int
	hot      int
	views    [3][]string
}

// clock is a member's: the first is fast and the last slow by the drift that books allow for.
func (m *model) clock(i int) Time {
	return Time(float64(m.now) * (1 + modelDrift/2*float64(1-i)))
}

func (m *model) start(i int) {
	m.boots[i]++
	m.books[i] = NewStore(m.clock(i), Config{Self: modelNames[i], Boot: m.boots[i], Lease: modelLease, Drift: modelDrift, Typed: 3})
	m.books[i].Right(Limit{"l", modelAmount, NeverOver})
	m.books[i].View(m.clock(i), m.views[i], 3)
}

func (m *model) right(i int) *Right { return m.books[i].Right(Limit{"l", modelAmount, NeverOver}) }

func (m *model) post(list []Packet) {
	for _, p := range list {
		f := flight{slices.Index(modelNames[:], p.To), string(p.Data)}
		if !slices.Contains(m.flights, f) {
			m.flights = append(m.flights, f)
		}
	}
	if n := len(m.flights) - 5; n > 0 { // the oldest are lost
		m.flights = slices.Clone(m.flights[n:])
	}
}

func (m *model) deliver(k int, again bool) {
	f := m.flights[k]
	if !again {
		m.flights = slices.Delete(slices.Clone(m.flights), k, k+1)
	}
	m.post(m.books[f.to].Take(m.clock(f.to), []byte(f.data)))
}

func (m *model) tick(i int) {
	b := m.books[i]
	r := m.right(i)
	if i == m.hot {
		r.demand, r.quick, r.long, r.demandAt = 80, 80, 80, m.clock(i)
	} else {
		r.demand, r.quick, r.long, r.demandAt = 5, 5, 5, m.clock(i)
	}
	if r.in.CompareAndSwap(false, true) {
		r.next = b.touched.Swap(r)
	}
	m.post(b.Tick(m.clock(i)))
}

// next are all states that one step leads to.
func (m *model) next(f func(*model)) {
	step := func(do func(n *model)) {
		n := m.clone()
		do(n)
		f(n)
	}
	for i := range m.books {
		step(func(n *model) { n.tick(i) })
	}
	for k := range m.flights {
		step(func(n *model) { n.deliver(k, false) })
		if m.seconds < 1 {
			step(func(n *model) { n.seconds++; n.deliver(k, true) })
		}
	}
	step(func(n *model) { n.now += modelLease / 8 })
	step(func(n *model) { n.now += modelLease/2 + modelLease/16 })
	for i := range m.books {
		if m.restarts < 1 {
			step(func(n *model) { n.restarts++; n.start(i) })
		}
		if i != m.hot && m.shifts < 1 {
			step(func(n *model) { n.shifts++; n.hot = i })
		}
	}
	if m.restarts < 1 { // one that another takes for the owner loses sight of the third
		step(func(n *model) {
			n.restarts++
			n.views[0] = []string{"b"}
			n.books[0].View(n.clock(0), n.views[0], 3)
		})
	}
}

func (m *model) inForce() (sum float64) {
	for i := range m.books {
		sum += m.right(i).Value(m.clock(i))
	}
	return sum
}

func (m *model) clone() *model {
	n := *m
	n.flights = slices.Clone(m.flights)
	for i, b := range m.books {
		n.books[i] = b.clone()
	}
	return &n
}

func (b *Store) clone() *Store {
	c := &Store{cfg: b.cfg, now: b.now, began: b.began, drift: b.drift, others: b.others, alive: b.alive, retired: b.retired, loud: b.loud,
		stamp: b.stamp, polled: b.polled, hurried: b.hurried, counts: b.counts, limits: map[uint64]*Right{}, played: map[uint64]*play{}, owned: map[uint64]*account{}, peers: map[peer]*heard{}}
	for i := range b.parts {
		c.parts[i].Store(b.parts[i].Load())
	}
	for id, r := range b.limits {
		q := &Right{limit: r.limit, id: id, store: c, demand: r.demand, quick: r.quick, long: r.long, moved: r.moved, demandAt: r.demandAt}
		q.held.Store(r.held.Load())
		c.limits[id] = q
	}
	for id, p := range b.played {
		q := *p
		q.right, q.loans, q.grants = c.limits[id], slices.Clone(p.loans), slices.Clone(p.grants)
		c.played[id] = &q
	}
	for id, a := range b.owned {
		q := &account{right: c.limits[id], until: a.until, holders: map[peer]*holder{}}
		for p, h := range a.holders {
			g := *h
			g.lent = slices.Clone(h.lent)
			q.holders[p] = &g
		}
		c.owned[id] = q
	}
	for p, h := range b.peers {
		g := *h
		c.peers[p] = &g
	}
	return c
}

func byPeer(x, y peer) int { return cmp.Or(cmp.Compare(x.name, y.name), cmp.Compare(x.boot, y.boot)) }

// sum is a state without what no longer matters, times against the present.
func (m *model) sum() uint64 {
	var d xxhash.Digest
	d.Reset()
	var word [8]byte
	put := func(list ...any) {
		for _, v := range list {
			var u uint64
			switch v := v.(type) {
			case int:
				u = uint64(v)
			case uint64:
				u = v
			case bool:
				if v {
					u = 1
				}
			case float64:
				u = math.Float64bits(math.Round(v * 1e6))
			case Time:
				u = uint64(v)
			case string:
				d.WriteString(v)
				u = uint64(len(v))
			}
			binary.LittleEndian.PutUint64(word[:], u)
			d.Write(word[:])
		}
	}
	put(m.restarts, m.shifts, m.seconds, m.hot)
	for i, b := range m.books {
		now := m.clock(i)
		future := func(t Time) Time { return max(t-now, 0) }
		put(m.boots[i], now, b.loud, b.hurried, b.now-b.polled, len(b.others), b.stamp-now)
		for _, p := range b.played {
			put(p.to.name, p.to.boot, p.sharer, now-p.said, now-p.asked, now-p.touched)
			for _, q := range p.loans {
				put(q.amount, future(q.until))
			}
			slices.SortFunc(p.grants, func(x, y grant) int { return byPeer(x.by, y.by) })
			for _, g := range p.grants {
				put(g.by.name, g.by.boot, g.stamp, g.amount, future(g.until))
			}
		}
		for _, a := range b.owned {
			put(future(a.until))
			for _, p := range slices.SortedFunc(maps.Keys(a.holders), byPeer) {
				h := a.holders[p]
				for _, q := range h.lent {
					put(q.amount, future(q.until))
				}
				put(p.name, p.boot, h.at, h.echo, h.want, h.cur, future(h.curUntil), h.next, future(h.nextUntil), h.changed)
			}
		}
		for _, p := range slices.SortedFunc(maps.Keys(b.peers), byPeer) {
			put(p.name, p.boot, b.peers[p].stamp, now-b.peers[p].at)
		}
	}
	list := slices.Clone(m.flights)
	slices.SortFunc(list, func(x, y flight) int { return cmp.Or(cmp.Compare(x.to, y.to), cmp.Compare(x.data, y.data)) })
	for _, f := range list {
		put(f.to, f.data)
	}
	return d.Sum64()
}

// begun is a state from which the search begins: rights shared out for so many looks.
func begun(rounds int) *model {
	m := &model{now: time.Second, hot: 0}
	for i := range m.books {
		m.views[i] = slices.DeleteFunc([]string{"a", "b", "c"}, func(n string) bool { return n == modelNames[i] })
		m.start(i)
	}
	m.now += 2 * modelLease
	for range rounds {
		m.now += modelLease / 8
		for i := range m.books {
			m.tick(i)
			for len(m.flights) > 0 {
				m.deliver(0, false)
			}
		}
	}
	return m
}

func TestNoOrderHasMoreInForceThanTheLimit(t *testing.T) {
	most := *states
	for _, rounds := range []int{0, 1, 3, 12} {
		seen := map[uint64]bool{}
		level := []*model{begun(rounds)}
		depth, biggest := 0, 0.0
		for len(level) > 0 && len(seen) < most {
			var deeper []*model
			for _, m := range level {
				m.next(func(n *model) {
					if len(seen) >= most {
						return
					}
					if id := n.sum(); seen[id] {
						return
					} else {
						seen[id] = true
					}
					f := n.inForce()
					if biggest = max(biggest, f); f > modelAmount*(1+1e-9) {
						t.Fatalf("after %d rounds and %d steps %.3f of %.0f are in force", rounds, depth+1, f, modelAmount)
					}
					deeper = append(deeper, n)
				})
			}
			level = deeper
			depth++
		}
		t.Logf("from %d rounds: %d states, all to depth %d, part of depth %d; at most %.3f of %.0f in force", rounds, len(seen), depth-1, depth, biggest, modelAmount)
		if len(seen) < most/10 {
			t.Errorf("only %d states: the search looks at nothing", len(seen))
		}
	}
}
