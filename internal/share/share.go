// Package share divides a fixed amount of something (open requests, connections, bytes)
// among holders: each has a guaranteed part that nobody else can use up, and the rest is
// lent to whoever asks first. It does no I/O, reads no clock and knows nothing of what
// it divides.
package share

import (
	"fmt"
	"sync"
)

// Budget is an amount with its holders. It is safe for concurrent use.
type Budget struct {
	mu    sync.Mutex
	total int64
	// claimed is the sum over holders of the larger of what they hold and what they are
	// guaranteed: what is above it may be lent.
	claimed int64
	used    int64 // by all, those that have left included
	holders map[*Holder]struct{}
}

// Holder is one of those that share a Budget. It is safe for concurrent use.
type Holder struct {
	b    *Budget
	part int64 // guaranteed
	used int64
}

// New returns a budget over total, of which nothing is held.
func New(total int64) *Budget {
	return &Budget{total: total, holders: map[*Holder]struct{}{}}
}

// Total is the amount that is divided.
func (b *Budget) Total() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.total
}

// Resize changes the amount. What is held stays held; while that is more than there is, nothing
// is lent. Guarantees are for Divide to change.
func (b *Budget) Resize(total int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.total = total
}

// Holder returns one that has nothing and is guaranteed nothing until Divide says so.
func (b *Budget) Holder() *Holder { return &Holder{b: b} }

// Join adds a holder that is guaranteed part. Where others have borrowed so much that
// the part is not free yet, it becomes so as they give back: they are lent nothing more
// until then. It is an error if the guarantees together are more than there is.
func (b *Budget) Join(part int64) (*Holder, error) {
	h := b.Holder()
	if err := b.Divide(map[*Holder]int64{h: part}); err != nil {
		return nil, err
	}
	return h, nil
}

// Divide changes the guaranteed parts of some holders, new ones among them, all at once
// or, with an error, not at all. What is held stays held.
func (b *Budget) Divide(parts map[*Holder]int64) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	var sum int64
	for h := range b.holders {
		if _, changes := parts[h]; !changes {
			sum += h.part
		}
	}
	for h, part := range parts {
		if part < 0 || h.b != b {
			return fmt.Errorf("share: a part of %d is none, or not of this budget", part)
		}
		sum += part
	}
	if sum > b.total {
		return fmt.Errorf("share: %d are guaranteed, and there are %d", sum, b.total)
	}
	for h, part := range parts {
		if _, old := b.holders[h]; old {
			b.claimed -= max(h.part, h.used)
		}
		b.holders[h] = struct{}{}
		h.part = part
		b.claimed += max(h.part, h.used)
	}
	return nil
}

// Leave ends a holder: its guarantee is free for others at once, and what it still holds
// as it gives back.
func (h *Holder) Leave() {
	h.b.mu.Lock()
	defer h.b.mu.Unlock()
	if _, in := h.b.holders[h]; !in {
		return
	}
	delete(h.b.holders, h)
	h.b.claimed += h.used - max(h.part, h.used)
	h.part = 0
}

// Take holds n more and says whether it could: within the holder's own part always,
// beyond it only what no other holder is guaranteed.
func (h *Holder) Take(n int64) bool {
	h.b.mu.Lock()
	defer h.b.mu.Unlock()
	more := max(h.part, h.used+n) - max(h.part, h.used)
	if more > 0 && h.b.claimed+more > h.b.total {
		return false
	}
	h.used += n
	h.b.used += n
	h.b.claimed += more
	return true
}

// Give returns n of what is held.
func (h *Holder) Give(n int64) {
	h.b.mu.Lock()
	defer h.b.mu.Unlock()
	h.b.claimed -= max(h.part, h.used) - max(h.part, h.used-n)
	h.used -= n
	h.b.used -= n
}

// MostlyFree says whether less than half of the whole is held: a holder may then take more than it
// needs at once.
func (h *Holder) MostlyFree() bool {
	h.b.mu.Lock()
	defer h.b.mu.Unlock()
	return 2*h.b.used < h.b.total
}

// Used is what the holder has now.
func (h *Holder) Used() int64 {
	h.b.mu.Lock()
	defer h.b.mu.Unlock()
	return h.used
}

// Used is what all holders have together, those that have left included.
func (b *Budget) Used() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.used
}
