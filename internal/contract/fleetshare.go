package contract

import (
	"math"
	"time"
)

// FleetShare is one gateway's share of the limits that contracts state for all gateways
// together (rate, concurrency). Here gateways exchange nothing and can't know how much of a team's
// traffic each one gets, so each begins with an even share. The share grows, up to Excess beyond
// even, while teams want more here and the hosts have spare capacity; it falls back to even
// within a second or two once they have none. However traffic is distributed, all gateways together
// never give more than 1+Excess times the stated limit, and no more than 1 times for long
// while the hosts of all gateways are at capacity.
//
// A FleetShare is not safe for concurrent use.
type FleetShare struct {
	instances float64
	excess    float64 // fraction beyond the even share, from 0 to Excess
	updatedAt Time
}

const (
	// Excess is the fraction beyond the stated limit that all gateways together may give.
	Excess        = 0.5
	shareGrowth   = 0.1 // of the even share, per second
	shareHalfLife = 500 * time.Millisecond
)

// NewFleetShare returns the share of one of that many gateways. It starts with the even share, so
// that a restart gains nothing.
func NewFleetShare(instances int) *FleetShare {
	return &FleetShare{instances: float64(max(instances, 1))}
}

// SetInstances sets the number of gateways that share the limits. The excess stays, as it is a
// fraction of the even share.
func (f *FleetShare) SetInstances(instances int) { f.instances = float64(max(instances, 1)) }

// Update adjusts the share. wanted says whether there is demand here; short says whether the hosts are
// at capacity, that is, have as much in flight as they can answer in time.
func (f *FleetShare) Update(now Time, wanted, short bool) {
	dt := (now - f.updatedAt).Seconds()
	if f.updatedAt == 0 || dt <= 0 {
		f.updatedAt = max(f.updatedAt, now)
		return
	}
	f.updatedAt = now
	switch {
	case short:
		f.excess *= math.Exp2(-dt / shareHalfLife.Seconds())
	case wanted && f.instances > 1:
		f.excess = min(f.excess+shareGrowth*dt, Excess)
	}
}

// Value returns the share of the stated limits: 1 for a gateway that has always been alone.
func (f *FleetShare) Value() float64 { return (1 + f.excess) / f.instances }
