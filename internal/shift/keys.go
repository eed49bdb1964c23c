package shift

import "math"

// Side is one of a move's two pools.
type Side uint8

// Sides.
const (
	OldPool Side = iota // Plan.From
	NewPool             // Plan.To
)

func (s Side) String() string { return [...]string{"from", "to"}[s] }

// keys is which pool keyed requests belong to: hosts of one pool drop no repeats of
// another's, so a key stays with the pool of its first try for the window.
//
// A key is dealt by its hash, so that without any memory it goes to the same pool as long as
// the share is what it was. Memory is wanted for keys that a change of the share would move.
// It is two generations of a window each, and a key that comes again lives on: only one that
// was not seen for a window is forgotten, and may then be dealt anew. It is bounded: where a generation is full,
// keys that are not remembered are dealt by a share that is held fast until a window after
// the last of them (pinned). Weighed in docs/design/moves.md.
type keys struct {
	window   Time
	now, old keySet
	turned   Time

	pinned   float64 // share by which unknown keys are dealt
	pinUntil Time    // until then; 0: not at all
	// sharedUntil is until when another process may have dealt unknown keys, by the pinned share; 0: none has.
	sharedUntil Time
	// What was dealt before a restart, by shares from low to high, may have gone to either pool.
	low, high float64
	unsure    Time // until then; 0: nothing was
	// doubt are keys that an earlier process knew, and may have forgotten and dealt anew before
	// it ended; until doubtful.
	doubt    keySet
	doubtful Time
	// overflowed is until when keys may come again for which a generation had no room; 0: none.
	overflowed Time
	// life is all shares that keys have been dealt by.
	life span
}

const mostKeys = 3 << 18 // of a generation: 8 MB

func newKeys(window Time) *keys {
	return &keys{window: window, now: keySet{most: mostKeys}, old: keySet{most: mostKeys}, doubt: keySet{most: 2 * mostSavedKeys}}
}

// turn begins a generation when the present one is as old as the window.
func (k *keys) turn(now Time) {
	if k.window == 0 || now-k.turned < k.window {
		return
	}
	if now-k.turned >= 2*k.window {
		k.now.clear()
	}
	k.old, k.now = k.now, k.old
	k.now.clear()
	k.turned = now
}

// windowEnd returns the first moment behind a window that begins now: the window's last moment belongs to it.
func windowEnd(now, window Time) Time { return now + window + 1 }

// pin deals unknown keys by this share for a window: they may have been dealt by it before.
func (k *keys) pin(now Time, share float64) {
	k.pinned, k.pinUntil = share, max(k.pinUntil, windowEnd(now, k.window))
}

// by is the share that unknown keys are dealt by.
func (k *keys) by(now Time, share float64) float64 {
	if now < k.pinUntil {
		return k.pinned
	}
	return share
}

// find is the pool that a key belongs to.
func (k *keys) find(now Time, key uint64) (Side, bool) {
	k.turn(now)
	if s, ok := k.now.find(key); ok {
		return s, true
	}
	s, ok := k.old.find(key)
	if ok && !k.now.put(key, s) {
		k.turned = now // the old generation stays as long as it is needed
	}
	return s, ok
}

// forgot says whether keys that are not known may have been dealt within the window.
func (k *keys) forgot(now Time) bool {
	return now < k.unsure || now < k.doubtful || now < k.overflowed || now < k.sharedUntil
}

// deal chooses the pool of a key that is not known, draw being its hash from 0 to 1. p is the
// share that it was dealt by, 0 where units dealt so can't be compared; ok is false where an
// earlier try may have gone to either pool.
func (k *keys) deal(now Time, key uint64, draw, share float64) (s Side, p float64, ok bool) {
	p = share
	if now < k.unsure && draw >= k.low && draw < k.high {
		return OldPool, 0, false
	}
	if now < k.doubtful {
		if s, known := k.doubt.find(key); known {
			if (s == NewPool) != (draw < k.by(now, share)) {
				return s, 0, false
			}
			k.now.put(key, s)
			return s, 0, true
		}
	}
	switch {
	case now < k.unsure:
		share, p = k.low, 0
	case now < k.pinUntil:
		share, p = k.pinned, k.pinned
	}
	if draw < share {
		s = NewPool
	}
	if !k.now.put(key, s) {
		k.pin(now, share)
		k.overflowed = k.pinUntil
	}
	return s, p, true
}

// keySet maps keys to sides: open addressing in one slice, a word a key, the side in its lowest
// bit. It grows up to a bound and holds nothing that the collector must follow.
type keySet struct {
	cells []uint64 // a power of two of them; 0: free
	n     int
	most  int // keys
}

const firstCells = 1 << 10

// word is what stands for a key. One key in 2^63 shares it with another.
func word(key uint64, s Side) uint64 { return key&^1 | 2<<62 | uint64(s) }

func (t *keySet) find(key uint64) (Side, bool) {
	if t.n == 0 {
		return OldPool, false
	}
	mask := uint64(len(t.cells) - 1)
	for w, i := word(key, 0), key>>1; ; i++ {
		switch c := t.cells[i&mask]; {
		case c == 0:
			return OldPool, false
		case c&^1 == w:
			return Side(c & 1), true
		}
	}
}

// put adds a key that is not there; false: there is no room.
func (t *keySet) put(key uint64, s Side) bool {
	if t.n >= t.most {
		return false
	}
	if t.n >= len(t.cells)/4*3 {
		old := t.cells
		t.cells, t.n = make([]uint64, max(firstCells, 2*len(old))), 0
		for _, c := range old {
			if c != 0 {
				t.insert(c)
			}
		}
	}
	t.insert(word(key, s))
	return true
}

func (t *keySet) insert(w uint64) {
	mask := uint64(len(t.cells) - 1)
	i := w >> 1
	for t.cells[i&mask] != 0 {
		i++
	}
	t.cells[i&mask] = w
	t.n++
}

// clear empties the set. What it grew to stays, unless it was mostly unused.
func (t *keySet) clear() {
	if t.n < len(t.cells)/8 && len(t.cells) > firstCells {
		t.cells = make([]uint64, len(t.cells)/2)
	} else {
		clear(t.cells)
	}
	t.n = 0
}

// heavy finds keys that are a large part of all (frequent items: Misra and Gries 1982). Where
// such a key goes is one throw of the dice and not many.
type heavy struct {
	counts map[uint64]int
	total  int
}

const (
	heavyCells = 256
	heavyShare = 0.01
	heavyLeast = 1000 // units before a part is told
	heavyFades = 100_000
)

// seen counts a unit of a key and says whether the key is heavy.
func (h *heavy) seen(key uint64) bool {
	if h.counts == nil {
		h.counts = make(map[uint64]int, heavyCells)
	}
	h.total++
	n, ok := h.counts[key]
	switch {
	case ok || len(h.counts) < heavyCells:
		h.counts[key] = n + 1
	default:
		for k := range h.counts {
			if h.counts[k]--; h.counts[k] == 0 {
				delete(h.counts, k)
			}
		}
	}
	if h.total >= heavyFades {
		h.total /= 2
		for k := range h.counts {
			if h.counts[k] /= 2; h.counts[k] == 0 {
				delete(h.counts, k)
			}
		}
	}
	return h.total >= heavyLeast && float64(n+1) > heavyShare*float64(h.total)
}

// Draw turns a hash into a number from 0 to 1.
func Draw(hash uint64) float64 { return math.Ldexp(float64(hash>>11), -53) }
