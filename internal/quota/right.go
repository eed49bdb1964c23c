package quota

import (
	"math"
	"sync/atomic"
)

// Right is this gateway's part of a limit. Value and Ask are safe for concurrent use, take no
// lock and allocate nothing.
type Right struct {
	limit Limit
	id    uint64
	store *Store
	held  atomic.Pointer[held] // nil: the even part
	asked atomic.Uint64        // since the last look: requests from bit unitBits on, and millionths
	next  *Right               // in the list of those that were asked of
	in    atomic.Bool          // it is in that list

	// Of the store's goroutine.
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
		return r.limit.Amount * r.store.part(r.limit.Mode)
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
			r.next = r.store.touched.Load()
			if r.store.touched.CompareAndSwap(r.next, r) {
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
