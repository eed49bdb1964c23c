// Package share divides a limited amount of a resource (open requests, connections, bytes) among
// holders. Each holder has a guaranteed share that no other holder can use up, and the rest is lent
// to whichever holder asks first. The package performs no I/O, reads no clock and does not depend
// on the kind of resource.
package share

import (
	"container/list"
	"fmt"
	"sync"
)

// Budget is an amount of a resource with its holders. It is safe for concurrent use.
type Budget struct {
	mu    sync.Mutex
	total int64
	// claimed is the sum over all holders of the larger of their used amount and their guaranteed
	// share, plus what holders that have left still use. The rest of total may be lent.
	claimed int64
	used    int64 // by all holders, including those that have left
	holders map[*Holder]struct{}
	waits   list.List   // of *Wait, the longest first
	refuse  func() bool // see Refuse; nil: nothing is refused that is there
}

// Holder is a user of a Budget. It is safe for concurrent use.
type Holder struct {
	b          *Budget
	guaranteed int64 // the guaranteed share
	used       int64
}

// New returns a budget over total, none of which is used.
func New(total int64) *Budget {
	return &Budget{total: total, holders: map[*Holder]struct{}{}}
}

// Total returns the amount that is divided.
func (b *Budget) Total() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.total
}

// Resize changes the total. Amounts in use stay in use; while they exceed the new total, nothing is
// lent. The guaranteed shares do not change: call Divide for that.
func (b *Budget) Resize(total int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.total = total
	b.grant()
}

// Refuse has f say of each amount that is asked for whether it is refused although it is there: a fault for tests. nil ends that.
func (b *Budget) Refuse(f func() bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refuse = f
}

// Holder returns a new holder, which uses nothing and has no guaranteed share until Divide sets one.
func (b *Budget) Holder() *Holder { return &Holder{b: b} }

// Join adds a holder with a guaranteed share. If other holders have borrowed so much that the share
// is not free yet, it becomes free as they return it, and until then nothing more is lent to them.
// Join returns an error if the guaranteed shares together exceed the total.
func (b *Budget) Join(guaranteed int64) (*Holder, error) {
	h := b.Holder()
	if err := b.Divide(map[*Holder]int64{h: guaranteed}); err != nil {
		return nil, err
	}
	return h, nil
}

// Divide sets the guaranteed shares of some holders, which may be new, atomically: if it returns an
// error, nothing has changed. Amounts in use stay in use.
func (b *Budget) Divide(shares map[*Holder]int64) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	var sum int64
	for h := range b.holders {
		if _, changes := shares[h]; !changes {
			sum += h.guaranteed
		}
	}
	for h, guaranteed := range shares {
		if guaranteed < 0 || h.b != b {
			return fmt.Errorf("share: a guaranteed share of %d is negative, or its holder belongs to another budget", guaranteed)
		}
		sum += guaranteed
	}
	if sum > b.total {
		return fmt.Errorf("share: the guaranteed shares add up to %d, more than the total of %d", sum, b.total)
	}
	for h, guaranteed := range shares {
		if _, old := b.holders[h]; old {
			b.claimed -= max(h.guaranteed, h.used)
		}
		b.holders[h] = struct{}{}
		h.guaranteed = guaranteed
		b.claimed += max(h.guaranteed, h.used)
	}
	b.grant()
	return nil
}

// Leave removes a holder. Its guaranteed share is free for others at once, and the amount that it
// still uses becomes free as it calls Give.
func (h *Holder) Leave() {
	h.b.mu.Lock()
	defer h.b.mu.Unlock()
	if _, in := h.b.holders[h]; !in {
		return
	}
	delete(h.b.holders, h)
	h.b.claimed += h.used - max(h.guaranteed, h.used)
	h.guaranteed = 0
	h.b.grant()
}

// Take adds n to the amount that the holder uses, and reports whether it could. Within the
// holder's guaranteed share it always succeeds; beyond it only as far as the amount is neither used
// by other holders nor guaranteed to them.
func (h *Holder) Take(n int64) bool {
	h.b.mu.Lock()
	defer h.b.mu.Unlock()
	return h.take(n)
}

// take is Take with the lock held.
func (h *Holder) take(n int64) bool {
	if h.b.refuse != nil && h.b.refuse() {
		return false
	}
	more := max(h.guaranteed, h.used+n) - max(h.guaranteed, h.used)
	if more > 0 && h.b.claimed+more > h.b.total {
		return false
	}
	h.used += n
	h.b.used += n
	h.b.claimed += more
	return true
}

// Part is a holder of which nothing is taken while more than a part of the whole budget is in use. It is safe for
// concurrent use.
type Part struct {
	holder                 *Holder
	numerator, denominator int64
}

// Part returns a view of the holder that leaves the rest of the budget to others.
func (h *Holder) Part(numerator, denominator int64) Part { return Part{h, numerator, denominator} }

// Take is the holder's, if no more than the part is in use with n.
func (p Part) Take(n int64) bool {
	b := p.holder.b
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.used+n <= b.total/p.denominator*p.numerator && p.holder.take(n)
}

// Give is the holder's.
func (p Part) Give(n int64) { p.holder.Give(n) }

// Give returns n of the amount that the holder uses.
func (h *Holder) Give(n int64) {
	h.b.mu.Lock()
	defer h.b.mu.Unlock()
	h.b.claimed -= max(h.guaranteed, h.used) - max(h.guaranteed, h.used-n)
	h.used -= n
	h.b.used -= n
	h.b.grant()
}

// Roomy reports whether less than half of the total is in use. A holder may then take more at a
// time than it needs at the moment.
func (h *Holder) Roomy() bool {
	h.b.mu.Lock()
	defer h.b.mu.Unlock()
	return 2*h.b.used < h.b.total
}

// Used returns the amount that the holder uses now.
func (h *Holder) Used() int64 {
	h.b.mu.Lock()
	defer h.b.mu.Unlock()
	return h.used
}

// Used returns the amount that all holders use together, including those that have left.
func (b *Budget) Used() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.used
}
