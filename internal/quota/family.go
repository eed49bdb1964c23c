package quota

import (
	"fmt"
	"math"
	"sync"
	"sync/atomic"

	"github.com/cespare/xxhash/v2"
)

// Limits by key. All gateways state the rule (a Family) alike, and none can list its keys. A key
// has no record until some gateway wants more of it than the even part: Want makes one there, and
// what is said of it to others makes one with them, as its id names the family. A record that is
// neither shared nor asked for is forgotten, so that they are as many as keys that want more than
// even parts, at most mostDerived.

const (
	// familyBit is set in the ids of keys, and in no other's. tagBits follow it: the family.
	familyBit = 1 << 63
	tagBits   = 15
	tagShift  = 63 - tagBits

	mostDerived = 4096
	// idleLeases is for how long a key is kept that nobody shares or asks for.
	idleLeases = 2
)

// Family is the limit of every key of a rule. Its methods but for Retire are safe for concurrent
// use.
type Family struct {
	limit  Limit // of each key; the name is the rule's
	tag    uint64
	store  *Store
	n      atomic.Int64
	rights sync.Map // id to *Right: those that are known
}

// Tag is what tells a family's keys from others': rules of two names may have the same, and can't
// stand in one configuration.
func Tag(name string) uint64 { return familyBit>>tagShift | xxhash.Sum64String(name)>>(64-tagBits) }

// Family is the family of a rule: the same for the same limit. Where its figures have changed, keys
// of the one before go by the new ones from now on.
func (b *Store) Family(l Limit) *Family {
	tag := Tag(l.Name)
	f := b.families[tag]
	if f != nil && f.limit == l {
		return f
	}
	next := &Family{limit: l, tag: tag, store: b}
	b.families[tag] = next
	if f != nil {
		for id, r := range b.derived {
			if id>>tagShift == tag {
				b.drop(id, r)
				b.known(id) // what it has lent is lent
			}
		}
	}
	return next
}

// DropFamilies forgets the families that are not to be kept, and their keys.
func (b *Store) DropFamilies(keep func(Limit) bool) {
	for tag, f := range b.families {
		if keep(f.limit) {
			continue
		}
		delete(b.families, tag)
		for id, r := range b.derived {
			if id>>tagShift == tag {
				b.drop(id, r)
			}
		}
	}
}

// id is a key's, by a hash of it that all gateways make alike.
func (f *Family) id(key uint64) uint64 { return f.tag<<tagShift | key>>(64-tagShift) }

// Part is this gateway's part of a key that nobody shares. A process that has retired still has
// requests on its clients' connections: of what is mostly full it keeps its part for as long as one
// that starts may have one beside it.
func (f *Family) Part(now Time) float64 {
	part := f.store.part(f.limit.Mode)
	if last := f.store.last.Load(); last != 0 && f.limit.Mode == MostlyFull && now < Time(f.store.lastUntil.Load()) {
		return math.Float64frombits(last)
	}
	if f.limit.Mode == NeverOver && now < Time(f.store.quietUntil.Load()) {
		return part * floorPart
	}
	return part
}

// Shared says whether any key of the family is known.
func (f *Family) Shared() bool { return f.n.Load() > 0 }

// Right is this gateway's part of a key's limit; nil: the key is not known, and Part holds.
func (f *Family) Right(key uint64) *Right {
	if r, ok := f.rights.Load(f.id(key)); ok {
		return r.(*Right)
	}
	return nil
}

// Want makes a key known; nil: too many are. Unlike the rest it is called by who owns the store.
func (f *Family) Want(key uint64) *Right { return f.store.known(f.id(key)) }

// known is the limit of an id: one that is named, or a key of a family.
func (b *Store) known(id uint64) *Right {
	r := b.limits[id]
	if r != nil || id&familyBit == 0 {
		return r
	}
	f := b.families[id>>tagShift]
	if f == nil || len(b.derived) >= mostDerived {
		return nil
	}
	l := f.limit
	l.Name = fmt.Sprintf("%s %012x", l.Name, id&(1<<tagShift-1))
	r = b.right(id, l)
	b.derived[id] = r
	f.rights.Store(id, r)
	f.n.Add(1)
	return r
}

// drop forgets a key. What is held of its right holds no more.
func (b *Store) drop(id uint64, r *Right) {
	delete(b.derived, id)
	delete(b.limits, id)
	if f := r.family(); f != nil {
		if _, there := f.rights.LoadAndDelete(id); there {
			f.n.Add(-1)
		}
	}
	b.publish(r)
}

// family is where a key is found by who asks; nil: it is forgotten itself.
func (r *Right) family() *Family {
	f := r.store.families[r.id>>tagShift]
	if f == nil || f.limit.Amount != r.limit.Amount || f.limit.Mode != r.limit.Mode {
		return nil
	}
	return f
}

// forget drops keys that are neither shared nor asked for.
func (b *Store) forget() {
	for id, r := range b.derived {
		if b.played[id] == nil && b.owned[id] == nil && r.asked.Load() == 0 && b.now-r.demandAt > idleLeases*b.cfg.Lease {
			b.drop(id, r)
		}
	}
}

// quietFor notes until when a process that may have had another before it has its floor alone.
func (b *Store) quietFor() { b.quietUntil.Store(int64(min(b.began+b.outlast(), math.MaxInt64))) }
