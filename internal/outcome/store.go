// Package outcome records, for a bounded time and in bounded memory, which requests may have run
// although their clients were not notified how they ended. A client whose connection was lost during
// a request may send it again with the same id; the store prevents the effect from happening twice.
// The package performs no I/O, the caller passes the time, and a request is represented by a number.
package outcome

import "frostshift"

// Store is a set of numbers, each of which is kept for at least one span of time and at most two. It
// consists of two generations, of which the previous one is dropped as a whole, so that no entry
// needs a timer. If a generation is full, it ends early. A Store is not safe for concurrent use.
type Store struct {
	span     frostshift.Time
	maxSize  int
	current  map[uint64]struct{}
	previous map[uint64]struct{}
	since    frostshift.Time // when current began
	early    int64           // generations that have ended before their time
}

// New returns an empty store for a span, with at most maxSize numbers per generation.
func New(span frostshift.Time, maxSize int) *Store { return &Store{span: span, maxSize: maxSize} }

// Note adds a number, or renews it, as of now. It reports whether others were dropped for it ahead of their time.
func (m *Store) Note(now frostshift.Time, key uint64) (dropped bool) {
	m.expire(now)
	if _, exists := m.current[key]; !exists && len(m.current) >= m.maxSize {
		dropped = len(m.previous) > 0
		m.early++
		m.rotate()
		m.since = now
	}
	if m.current == nil {
		m.current = map[uint64]struct{}{}
	}
	m.current[key] = struct{}{}
	return dropped
}

// Has reports whether the number is in the store.
func (m *Store) Has(now frostshift.Time, key uint64) bool {
	m.expire(now)
	if _, ok := m.current[key]; ok {
		return true
	}
	_, ok := m.previous[key]
	return ok
}

// Early returns the number of generations that have ended before their time, for lack of room.
func (m *Store) Early() int64 { return m.early }

// expire ends generations whose time is over.
func (m *Store) expire(now frostshift.Time) {
	switch age := now - m.since; {
	case age >= 2*m.span:
		m.current, m.previous, m.since = nil, nil, now
	case age >= m.span:
		m.rotate()
		m.since += m.span
	}
}

// rotate starts a new generation and drops the previous one.
func (m *Store) rotate() { m.current, m.previous = nil, m.current }

// All returns the numbers in the store, in no particular order and possibly with duplicates.
func (m *Store) All(now frostshift.Time) []uint64 {
	m.expire(now)
	out := make([]uint64, 0, len(m.current)+len(m.previous))
	for _, generation := range [...]map[uint64]struct{}{m.current, m.previous} {
		for key := range generation {
			out = append(out, key)
		}
	}
	return out
}
