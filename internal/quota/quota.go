// Package quota shares limits that hold for a whole fleet among its gateways.
//
// A limit is a number of rights (work a second, repeats a second). Each gateway has an even part
// of them from birth. What it does not use it pledges, for a lease, to the limit's owner; the
// owner grants what is pledged to gateways that want more, for half a lease. So a right is at any
// time with the gateway that it was born with, or with one that it was granted to while its
// pledge lasts: that no more are in force than the limit says rests on the leases alone, and
// neither on who takes whom for the owner, nor on what arrives, how often and in what order.
// docs/design/quota.md has the argument and the bounds.
//
// It decides without I/O and clock: times are handed in, packets are handed over, and the same
// code runs on sockets and in a simulation. It knows nothing of teams, pools or sockets. A Book
// is one goroutine's; a Right may be read and asked of by any.
//
// quota.go is limits and rights, family.go limits of keys that nobody lists, member.go what a gateway keeps, pledges and holds, owner.go what
// it grants, packet.go what gateways say to each other.
package quota

import (
	"cmp"
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

// Config is what a Book is made of. All gateways have the same Lease and Drift.
type Config struct {
	Self string // this gateway's name among the others
	// Boot tells this process from those before it that had the name; it grows.
	Boot uint64
	// Lease is how long a pledge holds. A grant holds half of that.
	Lease time.Duration
	// Drift bounds how far any two clocks' rates are apart, as a part; 0: 0.01.
	Drift float64
	// Typed is how many gateways the configuration names.
	Typed int
}

const (
	defaultDrift = 0.01
	// floorPart is the part of its even part that a gateway never pledges: what one that starts
	// has at once under NeverOver.
	floorPart = 0.01
	// spare is what a gateway keeps, as a factor of what it uses.
	spare = 1.02
	// demandSpan is how far back demand looks, in seconds. A look at quickSpan decides where it is
	// more than quickRise times as much, or less than one part in quickFall, and rests on more than
	// a few requests, enough: traffic has moved, and the quick look counts for a demandSpan.
	// What is kept goes by keepSpan: a pledge that falls and rises with single requests is lost to
	// all for a part of a lease.
	demandSpan = 2.0
	quickSpan  = 0.25
	keepSpan   = 5.0
	quickRise  = 1.5
	quickFall  = 4
	enough     = 8
	several    = 32 // requests in a demandSpan; fewer are looked at by keepSpan alone
	// grantPart is how long a grant holds, as a part of a lease. What an owner counts on are pledges
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

// Right is this gateway's part of a limit. Value and Ask are safe for concurrent use, take no
// lock and allocate nothing.
type Right struct {
	limit Limit
	id    uint64
	book  *Book
	held  atomic.Pointer[held] // nil: the even part
	asked atomic.Uint64        // since the last look: requests from bit unitBits on, and millionths
	next  *Right               // in the list of those that were asked of
	in    atomic.Bool          // it is in that list

	// Of the book's goroutine.
	demand   float64 // rights, at demandAt
	quick    float64
	long     float64
	often    float64 // requests a second, by the quick look
	usual    float64 // by demandSpan's
	demandAt Time
	moved    Time // when traffic last moved to here or away; 0: never
}

// held is what is in force here, as of some instant: value before until, then the rest.
type held struct {
	value, rest float64
	until       Time
}

// Limit is what the right is a part of.
func (r *Right) Limit() Limit { return r.limit }

// Value is how many rights are in force here now. It is right also where nobody has looked for
// long, as in a process that stood still: what was granted ends by the clock.
func (r *Right) Value(now Time) float64 {
	h := r.held.Load()
	if h == nil {
		return r.limit.Amount * r.book.part(r.limit.Mode)
	}
	if now < h.until {
		return h.value
	}
	return h.rest
}

// Part is Value as a part of the limit.
func (r *Right) Part(now Time) float64 {
	if r.limit.Amount == 0 {
		return 0
	}
	return r.Value(now) / r.limit.Amount
}

// Ask says that so many units were wanted here, served or not: a right is as many of them a
// second.
func (r *Right) Ask(units float64) {
	if !(units > 0) {
		return
	}
	r.asked.Add(1<<unitBits + uint64(min(units, 1e3)*1e6))
	if !r.in.Load() && r.in.CompareAndSwap(false, true) { // else who looks next finds it in the list
		for {
			r.next = r.book.touched.Load()
			if r.book.touched.CompareAndSwap(r.next, r) {
				return
			}
		}
	}
}

// unitBits part what was asked for: enough for a million units between two looks.
const unitBits = 40

// look takes in what was asked for and returns the demand, in rights.
func (r *Right) look(now Time) float64 {
	if dt := (now - r.demandAt).Seconds(); dt > 0 {
		asked := r.asked.Swap(0)
		units, n := float64(asked&(1<<unitBits-1))/1e6, float64(asked>>unitBits)
		r.demand = faded(r.demand, units, dt, demandSpan)
		r.quick = faded(r.quick, units, dt, quickSpan)
		r.long = faded(r.long, units, dt, keepSpan)
		r.often = faded(r.often, n, dt, quickSpan)
		r.usual = faded(r.usual, n, dt, demandSpan)
		r.demandAt = now
		if r.quick > quickRise*r.demand && r.often*quickSpan > enough || r.quick < r.demand/quickFall && r.usual*quickSpan > enough {
			r.moved = now
		}
		if r.moved > 0 && (now-r.moved).Seconds() < demandSpan {
			r.demand, r.usual, r.long = r.quick, r.often, r.quick
		}
	}
	if r.demand > 2*r.long && r.usual*demandSpan > enough {
		r.long = r.demand
	}
	if r.usual*demandSpan < several && r.long > 0 {
		return r.long
	}
	return r.demand
}

// faded is a rate after so many seconds in which units came evenly.
func faded(rate, units, dt, span float64) float64 {
	fade := math.Exp(-dt / span)
	return rate*fade + units/dt*(1-fade)
}

// Book is one gateway's part in all limits.
type Book struct {
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
	loud     bool // what may have been pledged before the start has ended

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

// Counts are totals since the start.
type Counts struct {
	Sent, Taken, Strange int64 // packets; Strange ones could not be read or were nobody's
}

// peer is one process of a member.
type peer struct {
	name string
	boot uint64
}

// NewBook begins at now, as a process that may have had another before it.
func NewBook(now Time, c Config) *Book {
	if c.Drift == 0 {
		c.Drift = defaultDrift
	}
	b := &Book{cfg: c, now: now, began: now, drift: c.Drift, limits: map[uint64]*Right{}, families: map[uint64]*Family{}, derived: map[uint64]*Right{}, played: map[uint64]*play{},
		owned: map[uint64]*account{}, peers: map[peer]*heard{}}
	b.quietFor()
	b.View(now, nil, 0)
	return b
}

// part is the even part of a limit.
func (b *Book) part(m Mode) float64 { return math.Float64frombits(b.parts[m].Load()) }

// Right is this gateway's part of a limit: the same for the same limit. Where its figures have
// changed the one before is not brought up to date any more.
func (b *Book) Right(l Limit) *Right {
	return b.right(xxhash.Sum64String(l.Name)&^familyBit, l)
}

func (b *Book) right(id uint64, l Limit) *Right {
	r := b.limits[id]
	if r == nil || r.limit != l {
		r = &Right{limit: l, id: id, book: b, demandAt: b.now}
		b.limits[id] = r
		if p := b.played[id]; p != nil { // what was pledged is pledged
			p.right = r
		}
		b.publish(r)
	}
	return r
}

// Drop forgets the limits that are not to be kept: nothing of them is in force here.
func (b *Book) Drop(keep func(Limit) bool) {
	for id, r := range b.limits {
		if id&familyBit == 0 && !keep(r.limit) {
			delete(b.limits, id)
			b.publish(r)
		}
	}
}

// View says who is held alive besides this gateway, and how many gateways there may be at most;
// 0 for what the configuration names.
func (b *Book) View(now Time, others []string, most int) {
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

// Begin says that no process before this one pledges any more, from now on: what it pledged last
// has yet to end.
func (b *Book) Begin(now Time) {
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
func (b *Book) Retire() {
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

func (b *Book) tick(now Time) { b.now = max(b.now, now) }

// Every is how often Tick is to be called.
func (b *Book) Every() time.Duration { return b.cfg.Lease / hurryParts }

// Tick looks at what was asked for and what has ended, and returns what is to be sent. The list
// is the caller's until the next call.
func (b *Book) Tick(now Time) []Packet {
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
func (b *Book) Take(now Time, data []byte) []Packet {
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

func (b *Book) handle(m *message) {
	if m.kind == kindPoll {
		b.answer(m)
	} else {
		b.learn(m)
	}
}

// self is this process.
func (b *Book) self() peer { return peer{b.cfg.Self, b.cfg.Boot} }

// send hands a message over, to this process itself at once.
func (b *Book) send(to string, m *message) {
	m.from = b.self()
	if to == b.cfg.Self {
		b.handle(m)
		return
	}
	b.out = append(b.out, Packet{To: to, Data: m.encode()})
}

// owner is who shares a limit out, as this gateway sees it: who does, as long as it is heard and
// held alive, else who is to.
func (b *Book) owner(id uint64) string {
	if p := b.played[id]; p != nil && p.said > 0 && b.now-p.said < b.cfg.Lease/2 {
		if _, there := slices.BinarySearch(b.others, p.sharer); there || p.sharer == b.cfg.Self {
			return p.sharer
		}
	}
	return b.heir(id)
}

// heir is who is to share a limit out: the member that weighs most for the limit's shard
// (rendezvous hashing, Thaler and Ravishankar 1998).
func (b *Book) heir(id uint64) string {
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

// LimitStatus is what is known of a limit here, for operators.
type LimitStatus struct {
	Name   string
	Mode   Mode
	Amount float64
	Here   float64 // rights in force
	Kept   float64 // of them, from birth
	Wanted float64
	// Pledged are rights born here that others may use, by the word of Owner.
	Pledged float64
	Owner   string
	Age     time.Duration // of what Owner said last; 0: it has said nothing
	// Granted, of an owner: what is out at all gateways, of what is pledged.
	Granted, Pledges float64 `json:",omitempty"`
	Holders          int     `json:",omitempty"`
}

// Status is what is known of the limits that are shared now, by name; all: of each.
func (b *Book) Status(now Time, all bool) (list []LimitStatus) {
	b.tick(now)
	for id, r := range b.limits {
		p, a := b.played[id], b.owned[id]
		if p == nil && a == nil && !all {
			continue
		}
		s := LimitStatus{Name: r.limit.Name, Mode: r.limit.Mode, Amount: r.limit.Amount, Here: r.Value(now), Wanted: r.look(b.now), Owner: b.owner(id)}
		s.Kept = s.Here
		if p != nil {
			s.Kept, s.Pledged = b.kept(p), p.promises.at(b.now)
			if p.said > 0 {
				s.Age = b.now - p.said
			}
		}
		if a != nil {
			s.Granted, s.Pledges, s.Holders = a.figures(b.now)
		}
		list = append(list, s)
	}
	slices.SortFunc(list, func(x, y LimitStatus) int { return cmp.Compare(x.Name, y.Name) })
	return list
}

// Alive is how many gateways are held alive, with this one.
func (b *Book) Alive() int { return b.alive }

// Counts are the totals.
func (b *Book) Counts() Counts { return b.counts }
