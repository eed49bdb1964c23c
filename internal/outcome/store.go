// Package outcome stores for a bounded time, in bounded memory, which requests may have run
// although their clients were never told how they ended. A client whose connection was lost
// under its request may send it again with the same id; the store is what keeps the effect
// from happening twice. It does no I/O, reads no clock and knows nothing of requests but a
// number each.
package outcome

import "frostshift"

// Store is a set of numbers that each stay for a span of time at the least and twice it at
// the most, in two generations: the older is forgotten whole, so no entry has a timer. Where
// too many come, generations are shorter. A Store is not safe for concurrent use.
type Store struct {
	span  frostshift.Time
	most  int
	young map[uint64]struct{}
	old   map[uint64]struct{}
	since frostshift.Time // when young began
	early int64
}

// New returns an empty store for a span, with most numbers in a generation.
func New(span frostshift.Time, most int) *Store { return &Store{span: span, most: most} }

// Note remembers a number from now on.
func (m *Store) Note(now frostshift.Time, key uint64) {
	m.turn(now)
	if _, there := m.young[key]; !there && len(m.young) >= m.most {
		m.early++
		m.next()
		m.since = now
	}
	if m.young == nil {
		m.young = map[uint64]struct{}{}
	}
	m.young[key] = struct{}{}
}

// Has says whether the number is remembered.
func (m *Store) Has(now frostshift.Time, key uint64) bool {
	m.turn(now)
	if _, ok := m.young[key]; ok {
		return true
	}
	_, ok := m.old[key]
	return ok
}

// Early is how many generations have ended before their time, for want of room.
func (m *Store) Early() int64 { return m.early }

// turn ends generations whose time is over.
func (m *Store) turn(now frostshift.Time) {
	switch age := now - m.since; {
	case age >= 2*m.span:
		m.young, m.old, m.since = nil, nil, now
	case age >= m.span:
		m.next()
		m.since += m.span
	}
}

func (m *Store) next() { m.young, m.old = nil, m.young }

// All is the numbers that are remembered, in no order; some may stand in it twice.
func (m *Store) All(now frostshift.Time) []uint64 {
	m.turn(now)
	out := make([]uint64, 0, len(m.young)+len(m.old))
	for _, generation := range [...]map[uint64]struct{}{m.young, m.old} {
		for key := range generation {
			out = append(out, key)
		}
	}
	return out
}
