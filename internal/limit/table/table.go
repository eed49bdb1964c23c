// Package table keeps how much each of very many keys has used of what it may, in fixed memory.
//
// A level fills with what a key uses and drains at a rate; one that has drained says nothing, and
// its entry is anybody's. Entries lie in sets of a few ways (as lines of a processor's cache do):
// a look reads one set, so nothing is scanned, linked or moved, and an entry expires by being
// looked at. Where a set has no room, the key that drains first gives way, and the instant at
// which it will have drained is kept in a sketch: cells that hold the latest such instant of all
// keys that meet there. What the sketch says of a key is never too early, so a key that was given
// up gets nothing by it; that it is too late, by other keys, takes one in each of the key's cells
// which itself had as much left to drain.
//
// Package table knows no rules and no clock: instants are handed in, in nanoseconds from 0 on. Where
// they go back, time stands still. docs/design/limits.md has the bounds.
package table

import (
	"math"
	"sync"
	"sync/atomic"
)

const (
	ways   = 8 // entries of a set
	shards = 32
	// A key has two cells in each of two blocks of the sketch, which are a line of a cache each:
	// four cells anywhere would wait four times for memory.
	blocks      = 2
	blockCells  = 8
	cellsOf     = 2 * blocks
	cellsPerKey = 4 // cells that the sketch has for each entry
	// MinKeys is the fewest keys that a table holds.
	MinKeys = shards * ways
	// fullest is the part f of the sketch's cells that may hold instants to come. Beyond it keys that
	// give way are forgotten. A key that nobody knows meets such instants in both cells of a block
	// with 1 - 2(1-f) + (1-f)^(13/7), in all four with the square of that: 1 in 1000.
	fullest = 0.13
)

// Entry is what is held of one key. It belongs to whoever holds its Set.
type Entry struct {
	key     uint64
	at      int64   // instant of level
	level   float64 // units
	Asked   uint32  // since it was made, up to the most that fits
	Refused uint32  // of them, turned away
}

// Level is how much has not drained at an instant, at a rate in units a second.
func (e *Entry) Level(now int64, rate float64) float64 {
	if dt := now - e.at; dt > 0 {
		return max(0, e.level-rate*float64(dt)*1e-9)
	}
	return e.level
}

// Set puts the level as of an instant.
func (e *Entry) Set(now int64, level float64) { e.at, e.level = now, max(0, level) }

// Count counts a look at the entry.
func (e *Entry) Count(over bool) {
	if e.Asked < math.MaxUint32 {
		e.Asked++
		if over {
			e.Refused++
		}
	}
}

// Counts are totals since the table was made.
type Counts struct {
	// GaveWay are entries whose key gave way with something left to drain, Forgotten those of them
	// of which the sketch could not take a note.
	GaveWay, Forgotten int64
}

// Table is a table of a fixed size. Get locks a part of it.
type Table struct {
	shards [shards]shard
	sets   uint64 // in each shard, a power of two
	blocks uint64 // in each shard's sketch, a power of two
	base   Entry  // what a key begins with that nothing is known of
	gave   atomic.Int64
	forgot atomic.Int64
}

type shard struct {
	mu      sync.Mutex
	entries []Entry
	sketch  []int64 // cells, by blocks
	now     int64   // the latest instant that was handed in
	latest  int64   // of all cells
	// Each note looks at one block more, in turn, so that the cells which hold instants to come are
	// counted without a scan: they are no more than counted, as of the sweep before this one, and those
	// that have come to hold one since that sweep looked at them.
	sweep         uint64
	found, turned int // of this sweep
	counted       int
	_             [32]byte
}

// New makes a table for at least so many keys. It takes Bytes of memory from then on.
func New(keys int) *Table {
	t := &Table{sets: 1}
	for int(t.sets)*shards*ways < keys {
		t.sets *= 2
	}
	t.blocks = t.sets * ways * cellsPerKey / blockCells
	for i := range t.shards {
		t.shards[i].entries = make([]Entry, t.sets*ways)
		t.shards[i].sketch = make([]int64, t.blocks*blockCells)
	}
	return t
}

// Begin has keys that nothing is known of begin with a level as of an instant, in place of none.
// It is called before the first Get.
func (t *Table) Begin(now int64, level float64) { t.base.Set(now, level) }

// Keys is how many keys the table holds.
func (t *Table) Keys() int { return shards * int(t.sets) * ways }

// Bytes is the memory that the table takes.
func (t *Table) Bytes() int { return t.Keys() * (32 + cellsPerKey*8) }

// Set is a part of the table that is locked, as of Now, until Unlock.
type Set struct {
	Now int64 // what was handed in, or the latest before if that is later
	s   *shard
}

// Unlock lets go of the set, and of the entry that came with it.
func (s Set) Unlock() { s.s.mu.Unlock() }

// spread scatters a hash over places that no other part of the table goes by.
func spread(key, by uint64) uint64 {
	key ^= key >> 32
	key *= by
	return key ^ key>>29
}

// Get finds the entry of a key, a hash whose lowest bit counts for nothing, or makes one: with
// what the sketch knows of it, at a rate in units a second by which levels drain.
func (t *Table) Get(key uint64, now int64, rate float64) (Set, *Entry) {
	key |= 1 // 0 is no key
	s := &t.shards[key>>(64-5)]
	s.mu.Lock()
	now = max(now, s.now)
	s.now = now
	first := (key >> 8 & (t.sets - 1)) * ways
	set := s.entries[first : first+ways : first+ways]
	var victim *Entry
	worst := math.Inf(1)
	for i := range set {
		e := &set[i]
		if e.key == key {
			return Set{now, s}, e
		}
		left := -1.0
		if e.key != 0 {
			if left = e.Level(now, rate); left == 0 {
				left = -0.5
			} else if e.Asked > 1 { // who came once gives way before who comes again
				left += 1e9
			}
		}
		if left < worst {
			victim, worst = e, left
		}
	}
	if worst > 0 {
		t.pour(s, victim, now, rate)
	}
	*victim = t.base
	victim.key = key
	if s.latest > now {
		if until := t.known(s, key); until > now {
			if level := float64(until-now) * 1e-9 * rate; level > victim.Level(now, rate) {
				victim.Set(now, level)
			}
		}
	}
	return Set{now, s}, victim
}

// cells are a key's, in the sketch of its shard.
func (t *Table) cells(key uint64) (at [cellsOf]uint64) {
	h := spread(key, 0x9e3779b97f4a7c15)
	for i := range uint64(blocks) {
		first := (h >> 40 & (t.blocks - 1)) * blockCells
		one := h & (blockCells - 1)
		at[2*i] = first + one
		at[2*i+1] = first + (one+1+h>>3%(blockCells-1))&(blockCells-1)
		h = spread(h, 0xc2b2ae3d27d4eb4f)
	}
	return at
}

// known is by when a key will have drained, at the latest, as far as it gave way once.
func (t *Table) known(s *shard, key uint64) int64 {
	until := int64(math.MaxInt64)
	for _, i := range t.cells(key) {
		until = min(until, s.sketch[i])
	}
	return until
}

// pour notes in the sketch by when an entry will have drained.
func (t *Table) pour(s *shard, e *Entry, now int64, rate float64) {
	t.gave.Add(1)
	left := e.Level(now, rate) / rate * 1e9
	if !(left < 1<<62) {
		left = 1 << 62
	}
	until := now + int64(left)
	if until < now {
		until = math.MaxInt64
	}
	s.look(now)
	at := t.cells(e.key)
	if float64(s.counted+s.turned+cellsOf) > fullest*float64(len(s.sketch)) {
		t.forgot.Add(1)
		return
	}
	for _, i := range at {
		if s.sketch[i] <= now {
			s.turned++
		}
		s.sketch[i] = max(s.sketch[i], until)
	}
	s.latest = max(s.latest, until)
}

// look counts one block's cells that hold instants to come.
func (s *shard) look(now int64) {
	for _, until := range s.sketch[s.sweep : s.sweep+blockCells] {
		if until > now {
			s.found++
		}
	}
	if s.sweep += blockCells; s.sweep == uint64(len(s.sketch)) {
		s.counted, s.found, s.turned, s.sweep = s.found+s.turned, 0, 0, 0
	}
}

// Counts are the totals.
func (t *Table) Counts() Counts {
	return Counts{GaveWay: t.gave.Load(), Forgotten: t.forgot.Load()}
}

// Each calls f for every entry that has something left to drain, shard after shard, each locked
// meanwhile.
func (t *Table) Each(now int64, rate float64, f func(level float64)) {
	for i := range t.shards {
		s := &t.shards[i]
		s.mu.Lock()
		for j := range s.entries {
			if e := &s.entries[j]; e.key != 0 {
				if level := e.Level(max(now, s.now), rate); level > 0 {
					f(level)
				}
			}
		}
		s.mu.Unlock()
	}
}
