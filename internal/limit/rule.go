// Package limit decides how much one key (an address range, a resident, a token) may have of a
// gateway: a rate with a burst, requests open at a time, bytes, work at hosts, connections. Keys
// are without number and an attacker's to choose; what is kept of them has a fixed size.
//
// It does no I/O and reads no clock; instants are handed in. It knows requests by what Ask says of
// them, and other gateways by the part of a limit that it is told it has (Fleet). A Rule is safe
// for concurrent use, and a decision takes one lock, of a part of its table.
//
// key.go is keys, rule.go one rule, gate.go rules together; package table keeps levels, package
// heavy the keys that are turned away most.
package limit

import (
	"crypto/sha256"
	"encoding/binary"
	"hash/maphash"
	"math"
	"net/netip"
	"reflect"
	"sync"
	"sync/atomic"
	"time"

	"frostshift/internal/limit/heavy"
	"frostshift/internal/limit/table"
	"frostshift/internal/quota"
)

// Time is an instant on the gateway's own clock. One that goes back counts as one that stands still.
type Time = time.Duration

// Unit is what a rate is of.
type Unit uint8

// Units.
const (
	Requests Unit = iota
	Bytes         // of requests' bodies
	Work          // seconds that attempts take at hosts, known and paid when a request ends
)

var unitNames = [...]string{"requests", "bytes", "work"}

func (u Unit) String() string { return unitNames[u] }

// ParseUnit reads a unit's name; "" is requests.
func ParseUnit(text string) (Unit, bool) {
	for i, n := range unitNames {
		if n == text {
			return Unit(i), true
		}
	}
	return 0, text == ""
}

// Config is a rule.
type Config struct {
	Name       string
	Key        []Part
	IPv4, IPv6 int // bits of an address that make a key
	// Together has requests that lack a part of the key share one. Else the rule is not about them.
	Together bool
	Rate     float64 // units a second, of all gateways together; 0: no rate
	// Burst is how many units may come beyond the rate, Delay how many of them go at once. Between
	// the two requests wait until they are within the rate again: nginx's limit_req, whose nodelay is
	// a Delay as large as Burst.
	Burst, Delay float64
	Unit         Unit
	Open         int // requests, or connections, at a time; 0: not limited
	Keys         int // that are kept exactly
	Mode         quota.Mode
	Even         bool // each gateway has an even part whatever comes
	DryRun       bool // it counts, and turns nobody away
	Tell         bool // answers that are not refusals say what is left
	Exempt       []netip.Prefix
}

// DefaultKeys is how many keys a rule keeps exactly where it does not say.
const DefaultKeys = 1 << 16

const (
	longestName = 128 // of a key, as shown
	heaviest    = 64  // keys that are turned away most
	heavyFades  = 10 * time.Second
	heavyEvery  = 8                    // of those turned away one is noted
	rounding    = 1e-7                 // of a bound, that floats may lose
	longest     = 365 * 24 * time.Hour // that a client is told to wait
)

// Fleet is what all gateways together make of a rule. Its methods are safe for concurrent use and
// quick; nothing that they answer is waited for.
type Fleet interface {
	// Part is what this gateway has of the limit of a key that nobody has asked to share.
	Part(now Time) float64
	// Shared says whether there may be keys that are shared by what comes.
	Shared() bool
	// Right is this gateway's part of one that is; nil: it is not.
	Right(id uint64) Right
	// Want asks that a key be shared; nil: it can't be.
	Want(id uint64) Right
}

// Right is this gateway's part of the limit of one key.
type Right interface {
	Part(now Time) float64 // from 0 to 1
	Ask(units float64)     // so much was wanted here
}

// Alone is the fleet of a gateway that is one of so many and shares nothing.
type Alone float64

// Part is an even part.
func (n Alone) Part(Time) float64 { return 1 / max(1, float64(n)) }

// Shared is never.
func (Alone) Shared() bool { return false }

// Right is none.
func (Alone) Right(uint64) Right { return nil }

// Want is not heeded.
func (Alone) Want(uint64) Right { return nil }

// Counts are what a rule has decided.
type Counts struct {
	Passed, Waited, Rate, Open int64 // the last two: turned away, for either
	Dry                        int64 // would have been
	Absent, Exempt             int64 // it was not about them
}

// Rule is a rule that runs.
type Rule struct {
	Config
	*state
	fleet Fleet
}

// state is what a rule knows, and what one that follows it at a reload goes on with.
type state struct {
	seed  maphash.Seed
	table *table.Table
	open  [openShards]openShard

	heavyMu sync.Mutex
	heavy   *heavy.List
	faded   Time

	passed, waited, rate, full, dry, absent, exempt, aways atomic.Int64
}

const openShards = 32

// openShard counts what is open, by key. It holds no more keys than requests are open.
type openShard struct {
	mu sync.Mutex
	n  map[uint64]int
	_  [40]byte
}

// New makes a rule. Where old, of the same name, has the same keys, it goes on with what that
// knows. Where it has others, or spent says that a process before this one has given keys their
// bursts, they begin without: neither a reload nor an upgrade gives a second one.
func New(now Time, c Config, old *Rule, spent bool, fleet Fleet) *Rule {
	r := &Rule{Config: c, fleet: fleet}
	if old != nil && old.alike(&c) {
		r.state = old.state
		return r
	}
	r.state = &state{seed: maphash.MakeSeed(), heavy: heavy.New(heaviest, longestName)}
	if c.Rate > 0 {
		r.table = table.New(c.Keys)
		if old != nil || spent {
			r.table.Begin(int64(now), c.Burst)
		}
	}
	for i := range r.open {
		r.open[i].n = map[uint64]int{}
	}
	return r
}

// alike says whether another rule's keys are the same, in number as well.
func (r *Rule) alike(c *Config) bool {
	return reflect.DeepEqual(r.Key, c.Key) && r.IPv4 == c.IPv4 && r.IPv6 == c.IPv6 && r.Together == c.Together && r.Unit == c.Unit && r.Keys == c.Keys && (r.Rate > 0) == (c.Rate > 0)
}

// Counts are the totals.
func (r *Rule) Counts() Counts {
	return Counts{Passed: r.passed.Load(), Waited: r.waited.Load(), Rate: r.rate.Load(), Open: r.full.Load(), Dry: r.dry.Load(), Absent: r.absent.Load(), Exempt: r.exempt.Load()}
}

// ID is a key as all gateways name it.
func (r *Rule) ID(key []byte) uint64 {
	var room [256]byte
	text := append(append(append(room[:0], r.Name...), 0xff), key...)
	sum := sha256.Sum256(text)
	return binary.BigEndian.Uint64(sum[:])
}

// keyOf appends a request's key to b; false: the rule is not about it.
func (r *Rule) keyOf(b []byte, a *Ask) ([]byte, bool) {
	for _, n := range r.Exempt {
		if n.Contains(a.Address.Unmap().WithZone("")) {
			r.exempt.Add(1)
			return b, false
		}
	}
	key, whole := r.append(b, a)
	if whole {
		return key, true
	}
	if r.absent.Add(1); !r.Together {
		return b, false
	}
	return b[:0], true
}

// stand is how a key stands against a rate.
type stand struct {
	over  bool
	wait  time.Duration // of one that is not over
	after time.Duration // of one that is: when it no longer will be
	left  float64       // that may still go at once
	reset time.Duration // until nothing is owed
}

// rights are what a key may have here now.
type rights struct{ rate, burst, delay, even float64 }

func (r *Rule) rights(now Time, key []byte, cost float64) (rights, Right, uint64) {
	even := r.fleet.Part(now)
	part, id := even, uint64(0)
	var right Right
	if r.fleet.Shared() {
		id = r.ID(key)
		if right = r.fleet.Right(id); right != nil {
			right.Ask(cost)
			part = right.Part(now)
		}
	}
	return rights{r.Rate * part, r.Burst * part, r.Delay * part, max(r.Rate*even, math.SmallestNonzeroFloat32)}, right, id
}

// take holds so many units against a key's rate. They are charged unless that is over, or would have
// to wait for longer than left.
func (r *Rule) take(now Time, hash uint64, key []byte, cost float64, left time.Duration) (s stand, right Right) {
	have, right, id := r.rights(now, key, cost)
	set, e := r.table.Get(hash, int64(now), have.even)
	level := e.Level(set.Now, have.rate)
	s = have.stand(level, cost)
	if s.wait > left {
		s.over, s.after, s.wait = true, s.wait, 0
	}
	e.Count(s.over)
	if s.over {
		e.Set(set.Now, level)
	} else {
		e.Set(set.Now, level+cost)
	}
	set.Unlock()
	if s.over && right == nil && !r.Even {
		if id == 0 {
			id = r.ID(key)
		}
		if right = r.fleet.Want(id); right != nil {
			right.Ask(cost)
		}
	}
	return s, right
}

// stand is how a level stands, and what is left once the cost is charged.
func (h *rights) stand(level, cost float64) (s stand) {
	within := func(x, bound float64) bool { return x <= bound+rounding*(1+bound) }
	if !within(level, h.burst) {
		s.over, s.after, s.reset = true, drain(level-h.burst, h.rate), drain(level, h.rate)
		return s
	}
	if h.delay < h.burst && !within(level, h.delay) {
		s.wait = drain(level-h.delay, h.rate)
	}
	if level += cost; within(level, h.burst) {
		s.left = math.Floor(h.burst-level+rounding) + 1
	}
	s.reset = drain(level, h.rate)
	return s
}

// drain is how long units take to drain.
func drain(units, rate float64) time.Duration {
	if ns := units / rate * 1e9; ns < float64(longest) {
		return time.Duration(math.Ceil(ns))
	}
	return longest
}

// pay adds to what a key owes, or takes back what a request was charged that did not go.
func (r *Rule) pay(now Time, hash uint64, units float64) {
	have := r.Rate * r.fleet.Part(now)
	set, e := r.table.Get(hash, int64(now), max(have, math.SmallestNonzeroFloat32))
	e.Set(set.Now, e.Level(set.Now, have)+units)
	set.Unlock()
}

// enter counts one more that is open; false: there are as many as may be.
func (r *Rule) enter(now Time, hash uint64) bool {
	most := max(1, int(float64(r.Open)*r.fleet.Part(now)+rounding))
	s := &r.open[hash%openShards]
	s.mu.Lock()
	defer s.mu.Unlock()
	n := s.n[hash]
	if n >= most && !r.DryRun {
		return false
	}
	s.n[hash] = n + 1
	return n < most
}

func (s *state) leave(hash uint64) {
	o := &s.open[hash%openShards]
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.n[hash]--; o.n[hash] <= 0 {
		delete(o.n, hash)
	}
}

// OpenNow is how many are open, over all keys.
func (r *Rule) OpenNow() (n int) {
	for i := range r.open {
		s := &r.open[i]
		s.mu.Lock()
		for _, k := range s.n {
			n += k
		}
		s.mu.Unlock()
	}
	return n
}

// away notes a key that was turned away, one of every few times: those that are in the list come
// often.
func (r *Rule) away(now Time, hash uint64, a *Ask) {
	if r.aways.Add(1)%heavyEvery != 0 {
		return
	}
	r.heavyMu.Lock()
	defer r.heavyMu.Unlock()
	if dt := now - r.faded; dt > heavyFades/10 {
		r.heavy.Fade(math.Exp(-float64(dt) / float64(heavyFades)))
		r.faded = now
	}
	r.heavy.Add(hash, heavyEvery, func() string { return r.KeyName(a) })
}
