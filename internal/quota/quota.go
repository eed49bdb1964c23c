// Package quota shares limits that hold for a whole fleet among its gateways.
//
// A limit is a number of rights (work a second, repeats a second). Each gateway has an even part
// of them as its own. What it does not use it lends, for a lease, to the limit's owner; the
// owner grants what is lent to gateways that want more, for half a lease. So a right is at any
// time with the gateway whose own it is, or with one that it was granted to while its
// loan lasts: that no more are in force than the limit says rests on the leases alone, and
// neither on who takes whom for the owner, nor on what arrives, how often and in what order.
// docs/design/quota.md has the argument and the bounds.
//
// It decides without I/O and clock: times are handed in, packets are handed over, and the same
// code runs on sockets and in a simulation. It knows nothing of teams, pools or sockets. A Store
// is one goroutine's; a Right may be read and asked of by any.
//
// quota.go is limits and the store, right.go one right, family.go limits of keys that nobody lists, member.go what a gateway keeps, lends and holds, owner.go what
// it grants, packet.go what gateways say to each other.
package quota

import (
	"math"
	"slices"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Time is an instant on one process's clock, which never goes backward. Clocks of different
// processes are not compared.
type Time = time.Duration

// Mode is what gives where links fail.
type Mode uint8

// Modes.
const (
	// MostlyFull serves the limit in full on each side of a cut: in k sides up to k times as much
	// is in force while they are apart.
	MostlyFull Mode = iota
	// NeverOver has no more in force than the limit, whatever fails. The part of a gateway that is
	// gone is missing until it is back, and one that starts has its floor alone for a lease.
	NeverOver
)

var modeNames = [...]string{"mostly_full", "never_over"}

func (m Mode) String() string { return modeNames[min(int(m), len(modeNames)-1)] }

// MarshalText names the mode.
func (m Mode) MarshalText() ([]byte, error) { return []byte(m.String()), nil }

// UnmarshalText reads a mode's name; another name leaves the mode as it is.
func (m *Mode) UnmarshalText(text []byte) error {
	if i := slices.Index(modeNames[:], string(text)); i >= 0 {
		*m = Mode(i)
	}
	return nil
}

// Limit is a limit of all gateways together. All of them state it alike.
type Limit struct {
	Name   string
	Amount float64 // rights
	Mode   Mode
}

// Config is what a Store is made of. All gateways have the same Lease and Drift.
type Config struct {
	Self string // this gateway's name among the others
	// Boot tells this process from those before it that had the name; it grows.
	Boot uint64
	// Lease is how long a loan holds. A grant holds half of that.
	Lease time.Duration
	// Drift bounds how far any two clocks' rates are apart, as a part; 0: 0.01.
	Drift float64
	// Typed is how many gateways the configuration names.
	Typed int
}

const (
	defaultDrift = 0.01
	// floorPart is the part of its even part that a gateway never lends: what one that starts
	// has at once under NeverOver.
	floorPart = 0.01
	// spare is what a gateway keeps, as a factor of what it uses.
	spare = 1.02
	// demandSpan is how far back demand looks, in seconds. A look at quickSpan decides where it is
	// more than quickRise times as much, or less than one part in quickFall, and rests on more than
	// a few requests, enough: traffic has moved, and the quick look counts for a demandSpan.
	// What is kept goes by keepSpan: a loan that falls and rises with single requests is lost to
	// all for a part of a lease.
	demandSpan = 2.0
	quickSpan  = 0.25
	keepSpan   = 5.0
	quickRise  = 1.5
	quickFall  = 4
	enough     = 8
	several    = 32 // requests in a demandSpan; fewer are looked at by keepSpan alone
	// grantPart is how long a grant holds, as a part of a lease. What an owner counts on are loans
	// no older than the rest, and after an owner's death rights are with nobody for as long.
	grantPart = 0.5

	// shards is by how many owners limits are spread at most: packets between owners and others
	// grow with it, not with limits.
	shards = 4
	// pollParts is how often in a lease an owner polls; hurryParts how soon again, at the most
	// often, if something has changed.
	pollParts  = 8
	hurryParts = 40
	// holdLeases is for how many leases an owner goes on with a limit that nobody wants more of.
	holdLeases = 4

	mostPlayed  = 4096 // limits that are shared here at a time, as member and as owner
	mostPeers   = 4096 // processes that an owner hears
	mostHolders = 4096 // records of one limit
)

// Store is one gateway's part in all limits.
type Store struct {
	cfg    Config
	now    Time
	began  Time
	drift  float64
	limits map[uint64]*Right
	// families are limits by key, by their tags; derived are the keys of theirs that are known.
	families map[uint64]*Family
	derived  map[uint64]*Right
	others   []string // members that are held alive, without this one
	alive    int
	retired  bool
	loud     bool // what may have been lent before the start has ended

	// parts are the even parts by mode, as bits of floats.
	parts [2]atomic.Uint64
	// For families: quietUntil is the end of a quiet start, last the even part of what is mostly full
	// when this process retired, and lastUntil until when it holds.
	quietUntil atomic.Int64
	last       atomic.Uint64
	lastUntil  atomic.Int64
	touched    atomic.Pointer[Right]

	played  map[uint64]*play // limits that are shared, as this gateway holds them
	owned   map[uint64]*account
	peers   map[peer]*heard
	stamp   Time
	polled  Time
	hurried bool
	out     []Packet
	counts  Counts
}

// peer is one process of a member.
type peer struct {
	name string
	boot uint64
}

// NewStore begins at now, as a process that may have had another before it.
func NewStore(now Time, c Config) *Store {
	if c.Drift == 0 {
		c.Drift = defaultDrift
	}
	b := &Store{cfg: c, now: now, began: now, drift: c.Drift, limits: map[uint64]*Right{}, families: map[uint64]*Family{}, derived: map[uint64]*Right{}, played: map[uint64]*play{},
		owned: map[uint64]*account{}, peers: map[peer]*heard{}}
	b.quietFor()
	b.View(now, nil, 0)
	return b
}

// part is the even part of a limit.
func (b *Store) part(m Mode) float64 { return math.Float64frombits(b.parts[m].Load()) }

// Right is this gateway's part of a limit: the same for the same limit. Where its figures have
// changed the one before is not brought up to date any more.
func (b *Store) Right(l Limit) *Right {
	return b.right(xxhash.Sum64String(l.Name)&^familyBit, l)
}

func (b *Store) right(id uint64, l Limit) *Right {
	r := b.limits[id]
	if r == nil || r.limit != l {
		r = &Right{limit: l, id: id, store: b, demandAt: b.now}
		b.limits[id] = r
		if p := b.played[id]; p != nil { // what was lent is lent
			p.right = r
		}
		b.publish(r)
	}
	return r
}

// Drop forgets the limits that are not to be kept: nothing of them is in force here.
func (b *Store) Drop(keep func(Limit) bool) {
	for id, r := range b.limits {
		if id&familyBit == 0 && !keep(r.limit) {
			delete(b.limits, id)
			b.publish(r)
		}
	}
}

// View says who is held alive besides this gateway, and how many gateways there may be at most;
// 0 for what the configuration names.
func (b *Store) View(now Time, others []string, most int) {
	b.tick(now)
	b.others = slices.DeleteFunc(slices.Clone(others), func(n string) bool { return n == b.cfg.Self })
	slices.Sort(b.others)
	b.others = slices.Compact(b.others)
	b.alive = len(b.others) + 1
	typed := max(b.cfg.Typed, 1)
	mostly := b.alive
	if most == 0 { // nobody was heard: the configuration's figure holds
		mostly = max(typed, b.alive)
	}
	b.parts[MostlyFull].Store(math.Float64bits(1 / float64(mostly)))
	b.parts[NeverOver].Store(math.Float64bits(1 / float64(max(typed, most, b.alive))))
	for _, r := range b.limits {
		if r.held.Load() != nil {
			b.publish(r)
		}
	}
}

// Begin says that no process before this one lends any more, from now on: what it lent last
// has yet to end.
func (b *Store) Begin(now Time) {
	b.tick(now)
	b.began, b.loud = b.now, false
	b.quietFor()
	for _, r := range b.limits {
		if r.limit.Mode == NeverOver {
			b.publish(r)
		}
	}
}

// Retire ends this process's part: another process of the gateway goes on. Nothing is in force
// here from now on.
func (b *Store) Retire() {
	b.retired = true
	b.lastUntil.Store(int64(b.now + b.outlast()))
	b.last.Store(b.parts[MostlyFull].Load())
	for m := range b.parts {
		b.parts[m].Store(0)
	}
	for _, r := range b.limits {
		r.held.Store(&held{})
	}
}

func (b *Store) tick(now Time) { b.now = max(b.now, now) }

// Every is how often Tick is to be called.
func (b *Store) Every() time.Duration { return b.cfg.Lease / hurryParts }

// Tick looks at what was asked for and what has ended, and returns what is to be sent. The list
// is the caller's until the next call.
func (b *Store) Tick(now Time) []Packet {
	b.tick(now)
	b.out = b.out[:0]
	if b.retired {
		return nil
	}
	b.hold()
	b.poll()
	b.counts.Sent += int64(len(b.out))
	return b.out
}

// Take takes a packet in and returns what is to be sent for it, as Tick does. What is strange is
// counted and dropped.
func (b *Store) Take(now Time, data []byte) []Packet {
	b.tick(now)
	b.out = b.out[:0]
	if b.retired {
		return nil
	}
	var m message
	if !m.decode(data) || m.from.name == b.cfg.Self {
		b.counts.Strange++
		return nil
	}
	b.counts.Taken++
	b.handle(&m)
	b.counts.Sent += int64(len(b.out))
	return b.out
}

func (b *Store) handle(m *message) {
	if m.kind == kindPoll {
		b.answer(m)
	} else {
		b.learn(m)
	}
}

// self is this process.
func (b *Store) self() peer { return peer{b.cfg.Self, b.cfg.Boot} }

// send hands a message over, to this process itself at once.
func (b *Store) send(to string, m *message) {
	m.from = b.self()
	if to == b.cfg.Self {
		b.handle(m)
		return
	}
	b.out = append(b.out, Packet{To: to, Data: m.encode()})
}

// owner is who shares a limit out, as this gateway sees it: who does, as long as it is heard and
// held alive, else who is to.
func (b *Store) owner(id uint64) string {
	if p := b.played[id]; p != nil && p.said > 0 && b.now-p.said < b.cfg.Lease/2 {
		if _, there := slices.BinarySearch(b.others, p.sharer); there || p.sharer == b.cfg.Self {
			return p.sharer
		}
	}
	return b.heir(id)
}

// heir is who is to share a limit out: the member that weighs most for the limit's shard
// (rendezvous hashing, Thaler and Ravishankar 1998).
func (b *Store) heir(id uint64) string {
	best := b.cfg.Self
	for _, name := range b.others {
		if outweighs(id, name, best) {
			best = name
		}
	}
	return best
}

// outweighs says whether one member is rather to share a limit out than another.
func outweighs(id uint64, one, other string) bool {
	shard := byte(id % shards)
	x, y := weigh(shard, one), weigh(shard, other)
	return x > y || x == y && one < other
}

func weigh(shard byte, name string) uint64 {
	var d xxhash.Digest
	d.ResetWithSeed(uint64(shard) + 1)
	d.WriteString(name)
	return d.Sum64()
}
