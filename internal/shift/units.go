package shift

import (
	"time"

	"frostshift/internal/contract"
	"github.com/HdrHistogram/hdrhistogram-go"
)

// Units. A unit is a first request with all that follows from it: the gateway's attempts,
// hand-ons to a fallback, and the client's retries, told by a key or by a mark. It is booked
// to the pool that the first try went to, wherever the rest went, with the worth that it
// lost: none if the client had a good answer within the class's aim, counted from the first
// try, else all. A bad answer waits for a retry as long as one could still be in time.

// Ask is a request that is to be placed.
type Ask struct {
	// Key is what the client's retries share; 0: nothing would tell one. Named says that the
	// client names it; else it tells only retries that are marked. Keyed says that it
	// belongs to one pool for the plan's Window.
	Key          uint64
	Named, Keyed bool
	// Repeat says that the client marks it as a retry.
	Repeat bool
	Class  int
	Worth  float64 // of its class beside the worthiest, above 0 and at most 1
	Aim    time.Duration
	Cost   uint64 // what costs of such requests are remembered by; 0: by class alone
	// Draw is from 0 to 1: a random number, or the hash of Sticky, by which it is dealt.
	Draw   float64
	Sticky uint64
}

// Unit is a request that has been placed. It is handed back to Ended, once.
type Unit struct {
	Side   Side
	p      float64 // that it went to New; 0: it is not compared
	guess  float64
	strat  int
	key    uint64
	class  int
	cost   uint64
	worth  float64
	began  Time
	due    Time // an answer behind it is too late
	joins  bool // it is a client's retry of a unit that waits
	placed bool
}

// End says how a request ended.
type End struct {
	// Good says that it was answered, and not with an error of the service.
	Good bool
	// Void says that its end tells nothing of the pool: it was turned away by a contract, or
	// its client left in time.
	Void bool
	// Work is the time that its attempts took; 0: it had none.
	Work time.Duration
}

// pending is a unit that ended badly and may yet be retried in time.
type pending struct {
	unit Unit
	seq  uint64
}

// waiter is a place in the queue of those that wait.
type waiter struct {
	due Time
	key uint64
	seq uint64
}

const mostPending = 1 << 14 // beyond that a bad end counts at once

// Tally is what has been counted of one side since the step began.
type Tally struct {
	Units   int     `json:"units"`
	Lost    float64 `json:"lost"`    // worth
	Asked   float64 `json:"asked"`   // worth
	Retries int     `json:"retries"` // of clients, for units here
	P50     float64 `json:"p50_ms"`
	P99     float64 `json:"p99_ms"`
}

// Loss is the part of the worth asked for that was lost.
func (t *Tally) Loss() float64 {
	if t.Asked == 0 {
		return 0
	}
	return t.Lost / t.Asked
}

// books is the accounting of a move.
type books struct {
	ev       *evidence
	costs    contract.Costs
	waiting  map[uint64]pending
	queues   [][]waiter // by class: the aim of one is the same for all
	seq      uint64
	queued   int // places in the queues
	heavy    heavy
	tallies  [2]Tally
	took     [2]*hdrhistogram.Histogram
	flow     flow
	loss     float64 // recent, of both pools
	counted  int     // units in loss
	setAside int     // units of heavy keys
}

const (
	// Times are kept from 100 µs to 10 minutes with two digits: 30 KB a side.
	shortest, longest = 100, int64(10 * time.Minute / time.Microsecond)
	commonSpan        = 500 // units in the recent loss
)

func newBooks(p *Plan) *books {
	b := &books{ev: newEvidence(p), waiting: map[uint64]pending{}}
	for i := range b.took {
		b.took[i] = hdrhistogram.New(shortest, longest, 2)
	}
	return b
}

// step begins the tallies anew.
func (b *books) step() {
	b.tallies = [2]Tally{}
	for _, h := range b.took {
		h.Reset()
	}
	b.ev.step()
}

// bin is how costly a request is beside others of its class.
func (b *books) bin(class int, cost uint64) int {
	switch r := b.costs.Ratio(class, cost); {
	case r > 2:
		return 2
	case r < 0.5:
		return 0
	}
	return 1
}

// open begins a unit on a side, which was dealt by p.
func (b *books) open(now Time, a *Ask, s Side, p float64) Unit {
	b.flow.came++
	u := Unit{Side: s, p: p, key: a.Key, class: a.Class, cost: a.Cost, worth: a.Worth, began: now, due: now + a.Aim, strat: -1, placed: true}
	if a.Sticky != 0 && b.heavy.seen(a.Sticky) {
		b.setAside++
		u.p = 0
	}
	if u.p > 0 && u.p < 1 {
		u.strat = b.ev.of(a.Class<<2 | b.bin(a.Class, a.Cost))
		u.guess = b.ev.guess(u.strat)
	}
	return u
}

// ended takes in the end of a request.
func (b *books) ended(now Time, u *Unit, e End) {
	b.flow.ended(u.Side, now-u.began)
	if e.Work > 0 {
		b.costs.Learn(u.class, u.cost, e.Work.Seconds())
	}
	good := e.Good && now <= u.due
	if u.joins {
		if w, ok := b.waiting[u.key]; ok && good {
			delete(b.waiting, u.key)
			b.book(now, &w.unit, 0)
		}
		return
	}
	switch {
	case u.due == 0 || e.Void: // a retry of nothing that is known
	case good:
		b.book(now, u, 0)
	case now < u.due && u.key != 0 && b.queued < mostPending && !b.waits(u.key):
		b.seq++
		b.queued++
		b.waiting[u.key] = pending{*u, b.seq}
		for len(b.queues) <= u.class {
			b.queues = append(b.queues, nil)
		}
		b.queues[u.class] = append(b.queues[u.class], waiter{u.due, u.key, b.seq})
	default:
		b.book(now, u, 1)
	}
}

func (b *books) waits(key uint64) bool { _, ok := b.waiting[key]; return ok }

// expire books the units that no retry can save any more.
func (b *books) expire(now Time) {
	for i := range b.queues {
		q := b.queues[i]
		n := 0
		for n < len(q) && q[n].due <= now {
			if w, ok := b.waiting[q[n].key]; ok && w.seq == q[n].seq {
				delete(b.waiting, q[n].key)
				b.book(now, &w.unit, 1)
			}
			n++
		}
		if n > 0 {
			b.queues[i] = append(q[:0], q[n:]...)
			b.queued -= n
		}
	}
}

// book counts a unit whose loss, as a part of its worth, is known.
func (b *books) book(now Time, u *Unit, lost float64) {
	z := lost * u.worth
	t := &b.tallies[u.Side]
	t.Units++
	t.Lost += z
	t.Asked += u.worth
	b.took[u.Side].RecordValue(min(max(int64((now-u.began)/time.Microsecond), shortest), longest))
	b.counted++
	b.loss += max(1/float64(b.counted), 1.0/commonSpan) * (lost - b.loss)
	if u.p > 0 && u.p < 1 {
		b.ev.add(u.strat, u.Side, z, u.guess, u.p)
	}
}

// tally is what has been counted of a side.
func (b *books) tally(s Side) Tally {
	t := b.tallies[s]
	t.P50, t.P99 = float64(b.took[s].ValueAtQuantile(50))/1000, float64(b.took[s].ValueAtQuantile(99))/1000
	return t
}

// InTime says whether an answer at a time would still be in time.
func (u *Unit) InTime(at Time) bool { return at < u.due }
