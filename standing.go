package frostshift

import (
	"time"

	"frostshift/internal/evidence"
)

// What a Balancer goes by, for those on call. Nothing here decides anything.

// Standing is which hosts an instance uses and what it turns away, with the evidence for both.
type Standing struct {
	Part    int     // hosts that it draws from
	Reach   int     // ... with those that its own load asks for
	Sharers float64 // instances that draw from a host
	// Admitted is the share of requests that is not refused on arrival, Late how late answers are
	// held to be, in aims, Answers how many recent ones say so. Below PressedAt nothing is shed.
	Admitted, Late, Answers, PressedAt float64
	Hosts                              []HostStanding
}

// HostStanding is what is held of a host.
type HostStanding struct {
	ID  HostID
	Use Use
	// Estimate is its time as it counts now, Unlike how far it is believed to differ from the
	// others, from 0 to 1, Answers on how many recent ones that rests.
	Estimate        time.Duration
	Unlike, Answers float64
	Pending         int
	Out             time.Duration // left of its ejection
}

// Use is whether an instance uses a host, and why not.
type Use string

// Uses.
const (
	UseDrawn   Use = "drawn"   // it is among those that requests are dealt to
	UseWider   Use = "wider"   // ... for the instance's own load
	UseBeyond  Use = "beyond"  // others use it; it would be, were others out
	UseFull    Use = "full"    // it holds all that this instance may have there
	UseCold    Use = "cold"    // its budget has nothing for this instance now
	UseEjected Use = "ejected" // it failed, or was silent
	UseLeaving Use = "leaving" // it drains, or was taken out by hand
	UseBackup  Use = "backup"
)

// Standing is how things stand now.
func (b *Balancer) Standing(now Time) Standing {
	b.now = now
	s := Standing{Part: min(b.subsetSize, len(b.ring)), Reach: min(b.reach, len(b.ring)), Sharers: b.sharers, Admitted: b.admitted, Late: b.lateness(),
		Answers: b.relativeRTT.N, PressedAt: shedFromLateness}
	if s.Late < shedUntilLateness || b.sharers <= shedAboveSharers {
		s.Admitted = 1 // what stood is over: the next arrival finds so
	}
	place := map[*host]int{}
	for i, h := range b.ring {
		place[h] = i + 1
	}
	for _, h := range b.hosts {
		if h.State == Removed {
			continue
		}
		v := HostStanding{ID: h.ID, Pending: h.pending, Estimate: time.Duration(b.believedRTT(h) * 1e9), Answers: h.relativeTimes.N, Out: max(0, h.ejectUntil-now)}
		v.Unlike = evidence.Sure(h.relativeTimes.Apart(0, b.noise.Deviation(1, priorAnswers), 1), equalUpTo, differentFrom)
		at := place[h]
		switch {
		case h.State != Ready:
			v.Use = UseLeaving
		case h.ejections > 0 && now < h.ejectUntil:
			v.Use = UseEjected
		case h.Backup:
			v.Use = UseBackup
		case at == 0 || at > s.Reach || h.cold && !h.usableCold:
			v.Use = UseBeyond
		case b.coldBlocked(h):
			v.Use = UseCold
		case b.atLimit(h):
			v.Use = UseFull
		case at > s.Part:
			v.Use = UseWider
		default:
			v.Use = UseDrawn
		}
		s.Hosts = append(s.Hosts, v)
	}
	return s
}

// Drawn are the hosts that requests are dealt to, also those that can take none just now.
func (s *Standing) Drawn() (list []HostID) {
	for _, h := range s.Hosts {
		if h.Use != UseBeyond && h.Use != UseLeaving && h.Use != UseBackup {
			list = append(list, h.ID)
		}
	}
	return list
}
