package contract

import (
	"math"
	"time"
)

// FleetShare is one gateway's part of the figures that contracts state for all gateways
// together (rate, concurrency). Gateways share nothing and can't know how much of a team's
// traffic comes to each, so each begins with an even part. It grows, up to Excess beyond
// even, while teams want more here and the hosts are not short; it falls back to even
// within a second or two of their being so. Whatever comes where, all gateways together
// never give more than 1+Excess times what is stated, and no more than 1 times for long
// while hosts are short everywhere.
//
// A FleetShare is not safe for concurrent use.
type FleetShare struct {
	instances float64
	grown     float64 // beyond even, from 0 to Excess
	at        Time
}

const (
	// Excess is how much more than stated all gateways together may give.
	Excess     = 0.5
	partGrows  = 0.1 // of even, a second
	partHalves = 500 * time.Millisecond
)

// NewFleetShare returns the share of one of so many gateways. One that has just started has an
// even part: restarts give nothing.
func NewFleetShare(instances int) *FleetShare {
	return &FleetShare{instances: float64(max(instances, 1))}
}

// SetInstances says that so many gateways share the figures now. What had grown stays: it is a part of
// even.
func (p *FleetShare) SetInstances(instances int) { p.instances = float64(max(instances, 1)) }

// Update takes in how things are: whether requests wait here, and whether hosts are short,
// that is, hold as much as they can answer in time.
func (p *FleetShare) Update(now Time, wanted, short bool) {
	dt := (now - p.at).Seconds()
	if p.at == 0 || dt <= 0 {
		p.at = max(p.at, now)
		return
	}
	p.at = now
	switch {
	case short:
		p.grown *= math.Exp2(-dt / partHalves.Seconds())
	case wanted && p.instances > 1:
		p.grown = min(p.grown+partGrows*dt, Excess)
	}
}

// Value is the part, from 0 to 1 where there is one gateway.
func (p *FleetShare) Value() float64 { return (1 + p.grown) / p.instances }
