// Package table keeps the level of use of a very large number of rate-limited keys in fixed memory.
//
// The level of a key rises with its use and drains at a rate. A level that has drained to 0 carries
// no information, so its entry can be reused. Entries are stored in sets of a few ways, as in a
// set-associative processor cache: a lookup reads one set, so no entries are scanned, linked or
// moved, and an entry expires when a lookup finds it drained. If a set is full, the key that drains
// first is evicted; keys with at most one counted request are evicted before others. The instant at
// which the evicted key will have drained is kept in a sketch, whose cells each hold the latest such
// instant of all keys that share the cell. The sketch's instant for a key is never too early, so a
// key gains nothing by being evicted. It is too late only if each of the key's cells is shared with
// another evicted key that itself had that long left to drain. If the sketch is too full, an evicted
// key is forgotten instead, and counted.
//
// Package table contains no limit rules and reads no clock: the caller passes instants in nanoseconds,
// from 0 on. If an instant is before the latest one passed to the same shard, the latest one is used.
// docs/design/limits.md has the bounds.
package table

import (
	"math"
	"sync"
	"sync/atomic"
)

const (
	ways   = 8 // entries of a set
	shards = 32
	// A key has two cells in each of two blocks of the sketch. A block is one cache line; four cells
	// at independent positions would cost four memory accesses.
	keyBlocks     = 2
	blockCells    = 8
	keyCells      = 2 * keyBlocks
	cellsPerEntry = 4 // sketch cells allocated for each entry of the table
	// MinKeys is the capacity of the smallest table, in keys.
	MinKeys = shards * ways
	// maxSketchLoad is the maximum fraction f of the sketch's cells that may hold future instants.
	// Above it evicted keys are forgotten. An unknown key finds future instants in both of its cells
	// of a block with probability 1 - 2(1-f) + (1-f)^(13/7), and in all four cells with the square
	// of that: 1 in 1000.
	maxSketchLoad = 0.13
)

// Entry is the state of one key. It may be used only while its Set is locked.
type Entry struct {
	key     uint64
	at      int64   // instant at which level was set
	level   float64 // units
	Asked   uint32  // calls of Count since the entry was made, saturating
	Refused uint32  // those of Asked that were refused
}

// Level returns the units left at an instant, after draining at a rate in units per second.
func (e *Entry) Level(now int64, rate float64) float64 {
	if dt := now - e.at; dt > 0 {
		return max(0, e.level-rate*float64(dt)*1e-9)
	}
	return e.level
}

// Set sets the level as of an instant. A negative level is stored as 0.
func (e *Entry) Set(now int64, level float64) { e.at, e.level = now, max(0, level) }

// Count counts one request of the key, and whether it was refused. It saturates.
func (e *Entry) Count(refused bool) {
	if e.Asked < math.MaxUint32 {
		e.Asked++
		if refused {
			e.Refused++
		}
	}
}

// Counts holds totals since the table was made.
type Counts struct {
	// GaveWay counts the entries evicted before they had drained, and Forgotten those of them that
	// the sketch had no room to record.
	GaveWay, Forgotten int64
}

// Table is a table of a fixed size. It is safe for concurrent use: Get locks one shard.
type Table struct {
	shards    [shards]shard
	sets      uint64 // in each shard, a power of two
	blocks    uint64 // in each shard's sketch, a power of two
	base      Entry  // initial entry of an unknown key
	gaveWay   atomic.Int64
	forgotten atomic.Int64
}

type shard struct {
	mu      sync.Mutex
	entries []Entry
	sketch  []int64 // cells, block after block
	now     int64   // the latest instant that a caller passed
	latest  int64   // the latest instant in any cell
	// Each eviction also inspects the next block of the sketch, so that the cells with future instants
	// are counted without a full scan. Their number is at most pending, the count of the previous
	// sweep, plus newlyPending, the cells that received a future instant during this sweep.
	sweepNext                  uint64
	pendingFound, newlyPending int // in this sweep
	pending                    int
	_                          [32]byte
}

// New makes a table for at least the given number of keys. It allocates all of its memory, Bytes.
func New(keys int) *Table {
	t := &Table{sets: 1}
	for int(t.sets)*shards*ways < keys {
		t.sets *= 2
	}
	t.blocks = t.sets * ways * cellsPerEntry / blockCells
	for i := range t.shards {
		t.shards[i].entries = make([]Entry, t.sets*ways)
		t.shards[i].sketch = make([]int64, t.blocks*blockCells)
	}
	return t
}

// Begin sets the level, as of an instant, that unknown keys start with in place of 0. It must be
// called before the first Get.
func (t *Table) Begin(now int64, level float64) { t.base.Set(now, level) }

// Keys returns the capacity of the table, in keys.
func (t *Table) Keys() int { return shards * int(t.sets) * ways }

// Bytes returns the memory that the entries and the sketch take.
func (t *Table) Bytes() int { return t.Keys() * (32 + cellsPerEntry*8) }

// Set is a locked part of the table. Unlock must be called.
type Set struct {
	Now int64 // the instant passed to Get, or the latest passed before if that is later
	s   *shard
}

// Unlock unlocks the set. The entry that Get returned with it must not be used afterwards.
func (s Set) Unlock() { s.s.mu.Unlock() }

// mix mixes the bits of a hash, so that positions derived from it are independent of the ones that
// the rest of the table derives from the hash.
func mix(key, multiplier uint64) uint64 {
	key ^= key >> 32
	key *= multiplier
	return key ^ key>>29
}

// Get locks and returns the entry of a key, a hash whose lowest bit is ignored. An unknown key gets
// a new entry, with the level that the sketch has recorded for it, if any. Levels drain at rate,
// in units per second. The caller must unlock the Set.
func (t *Table) Get(key uint64, now int64, rate float64) (Set, *Entry) {
	key |= 1 // 0 marks an unused entry
	s := &t.shards[key>>(64-5)]
	s.mu.Lock()
	now = max(now, s.now)
	s.now = now
	first := (key >> 8 & (t.sets - 1)) * ways
	set := s.entries[first : first+ways : first+ways]
	var victim *Entry
	victimLeft := math.Inf(1)
	for i := range set {
		e := &set[i]
		if e.key == key {
			return Set{now, s}, e
		}
		left := -1.0
		if e.key != 0 {
			if left = e.Level(now, rate); left == 0 {
				left = -0.5
			} else if e.Asked > 1 { // evict keys seen once before recurring keys
				left += 1e9
			}
		}
		if left < victimLeft {
			victim, victimLeft = e, left
		}
	}
	if victimLeft > 0 {
		t.recordEviction(s, victim, now, rate)
	}
	*victim = t.base
	victim.key = key
	if s.latest > now {
		if until := t.drainedBy(s, key); until > now {
			if level := float64(until-now) * 1e-9 * rate; level > victim.Level(now, rate) {
				victim.Set(now, level)
			}
		}
	}
	return Set{now, s}, victim
}

// cells returns the indexes of a key's cells in the sketch of its shard.
func (t *Table) cells(key uint64) (indexes [keyCells]uint64) {
	h := mix(key, 0x9e3779b97f4a7c15)
	for i := range uint64(keyBlocks) {
		first := (h >> 40 & (t.blocks - 1)) * blockCells
		offset := h & (blockCells - 1)
		indexes[2*i] = first + offset
		indexes[2*i+1] = first + (offset+1+h>>3%(blockCells-1))&(blockCells-1)
		h = mix(h, 0xc2b2ae3d27d4eb4f)
	}
	return indexes
}

// drainedBy returns the sketch's upper bound of the instant at which an evicted key has drained.
func (t *Table) drainedBy(s *shard, key uint64) int64 {
	until := int64(math.MaxInt64)
	for _, i := range t.cells(key) {
		until = min(until, s.sketch[i])
	}
	return until
}

// recordEviction records in the sketch the instant at which an evicted entry will have drained, or
// counts the entry as forgotten if the sketch is too full.
func (t *Table) recordEviction(s *shard, e *Entry, now int64, rate float64) {
	t.gaveWay.Add(1)
	left := e.Level(now, rate) / rate * 1e9
	if !(left < 1<<62) {
		left = 1 << 62
	}
	until := now + int64(left)
	if until < now {
		until = math.MaxInt64
	}
	s.sweepBlock(now)
	indexes := t.cells(e.key)
	if float64(s.pending+s.newlyPending+keyCells) > maxSketchLoad*float64(len(s.sketch)) {
		t.forgotten.Add(1)
		return
	}
	for _, i := range indexes {
		if s.sketch[i] <= now {
			s.newlyPending++
		}
		s.sketch[i] = max(s.sketch[i], until)
	}
	s.latest = max(s.latest, until)
}

// sweepBlock counts the cells with future instants in the next block of the sketch.
func (s *shard) sweepBlock(now int64) {
	for _, until := range s.sketch[s.sweepNext : s.sweepNext+blockCells] {
		if until > now {
			s.pendingFound++
		}
	}
	if s.sweepNext += blockCells; s.sweepNext == uint64(len(s.sketch)) {
		s.pending, s.pendingFound, s.newlyPending, s.sweepNext = s.pendingFound+s.newlyPending, 0, 0, 0
	}
}

// Counts returns the totals.
func (t *Table) Counts() Counts {
	return Counts{GaveWay: t.gaveWay.Load(), Forgotten: t.forgotten.Load()}
}

// Each calls f for every entry whose level has not drained to 0. It locks one shard at a time, also
// during the calls of f.
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
