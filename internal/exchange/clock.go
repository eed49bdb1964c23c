package exchange

import (
	"time"

	"frostshift"
)

// Clock is the balancers' clock: Unix time at the start of the process plus what has
// passed since on the monotonic clock. A balancer takes a host's start at or before 0
// as long ago, so the origin must lie well before any host's start.
type Clock struct {
	start time.Time
	hand  *frostshift.Time // of a clock that is set by hand
}

// NewClock returns a clock that starts now.
func NewClock() Clock { return Clock{start: time.Now()} }

// NewHandClock returns a clock that shows what at does, for pools that are played in virtual
// time with Turn.
func NewHandClock(at *frostshift.Time) Clock { return Clock{start: time.Unix(0, 0), hand: at} }

// Now is the present instant.
func (c Clock) Now() frostshift.Time {
	if c.hand != nil {
		return *c.hand
	}
	return frostshift.Time(c.start.UnixNano()) + time.Since(c.start)
}

// At turns an instant of this clock into one of the system's.
func (c Clock) At(t frostshift.Time) time.Time {
	return c.start.Add(t - frostshift.Time(c.start.UnixNano()))
}

// UnixMilli converts Unix milliseconds to this clock; 0 stays 0.
func UnixMilli(ms int64) frostshift.Time { return frostshift.Time(ms) * time.Millisecond }
