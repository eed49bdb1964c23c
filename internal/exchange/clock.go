package exchange

import (
	"time"

	"frostshift"
)

// Clock is the balancers' clock: Unix time at the start of the process plus the time that has
// passed since then on the monotonic clock. A balancer treats a host's start at or before 0 as long
// ago, so the origin must lie well before any host's start.
type Clock struct {
	start  time.Time
	manual *frostshift.Time // of a manual clock: the current time; otherwise nil
}

// NewClock returns a clock that starts now.
func NewClock() Clock { return Clock{start: time.Now()} }

// NewHandClock returns a manual clock that shows the value at at, for pools that run in virtual
// time with RunDue.
func NewHandClock(at *frostshift.Time) Clock { return Clock{start: time.Unix(0, 0), manual: at} }

// Now returns the current time.
func (c Clock) Now() frostshift.Time {
	if c.manual != nil {
		return *c.manual
	}
	return frostshift.Time(c.start.UnixNano()) + time.Since(c.start)
}

// At converts a time of this clock to system time.
func (c Clock) At(t frostshift.Time) time.Time {
	return c.start.Add(t - frostshift.Time(c.start.UnixNano()))
}

// Of converts a time of the system to this clock.
func (c Clock) Of(t time.Time) frostshift.Time {
	return frostshift.Time(c.start.UnixNano()) + t.Sub(c.start)
}

// UnixMilli converts Unix milliseconds to this clock; 0 stays 0.
func UnixMilli(ms int64) frostshift.Time { return frostshift.Time(ms) * time.Millisecond }
