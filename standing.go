package frostshift

import (
	"time"

	"frostshift/internal/evidence"
)

// This file reports the state that the decisions of a Balancer are based on, for operators. It
// contains no decision logic.

// Status says which hosts an instance uses and which share of the requests it admits, with the
// evidence for both.
type Status struct {
	Part    int     // size of the subset that it selects hosts from
	Reach   int     // size of the subset after it was widened for the instance's own load
	Sharers float64 // number of instances that use a host, as a mean
	// Admitted is the share of requests that is not refused on arrival. Late is the estimated
	// lateness of answers, in aims, and Answers the number of recent answers behind it. Admitted
	// shrinks while Late is above PressedAt.
	Admitted, Late, Answers, PressedAt float64
	Hosts                              []HostStatus
}

// HostStatus is the state of one host as this instance sees it.
type HostStatus struct {
	ID  HostID
	Use Use
	// Estimate is the RTT that selections use now. Unlike is the confidence that the host's RTT
	// differs from that of the others, from 0 to 1, and Answers the number of recent answers
	// behind it.
	Estimate        time.Duration
	Unlike, Answers float64
	Pending         int           // attempts of this instance in flight, without those whose body streams
	Out             time.Duration // time left of its ejection; 0 when it is not ejected
}

// Use says whether an instance uses a host and, if not, why.
type Use string

// Uses.
const (
	UseDrawn   Use = "drawn"   // it is in the subset that requests are sent to
	UseWider   Use = "wider"   // it is in the part of the subset added for the instance's own load
	UseBeyond  Use = "beyond"  // it is outside the subset; it is used when hosts of the subset are not usable
	UseFull    Use = "full"    // it has reached its in-flight limit for this instance
	UseCold    Use = "cold"    // it is cold, and its budget allows this instance no request now
	UseEjected Use = "ejected" // it failed or did not answer
	UseLeaving Use = "leaving" // it drains, or an operator took it out of service
	UseBackup  Use = "backup"  // it takes requests only when no other host can
)

// Status returns the current status.
func (b *Balancer) Status(now Time) Status {
	b.now = now
	s := Status{Part: min(b.subsetSize, len(b.ring)), Reach: min(b.reach, len(b.ring)), Sharers: b.sharers, Admitted: b.admitted, Late: b.lateness(),
		Answers: b.relativeRTT.N, PressedAt: shedFromLateness}
	if s.Late < shedUntilLateness || b.sharers <= shedAboveSharers {
		s.Admitted = 1 // shedding is over: the next arrival resets the admitted share
	}
	positions := map[*host]int{}
	for i, h := range b.ring {
		positions[h] = i + 1
	}
	for _, h := range b.hosts {
		if h.State == Removed {
			continue
		}
		v := HostStatus{ID: h.ID, Pending: h.pending, Estimate: time.Duration(b.believedRTT(h) * 1e9), Answers: h.relativeTimes.N, Out: max(0, h.ejectUntil-now)}
		v.Unlike = evidence.Sure(h.relativeTimes.Apart(0, b.noise.Deviation(1, priorAnswers), 1), equalUpTo, differentFrom)
		position := positions[h]
		switch {
		case h.State != Ready:
			v.Use = UseLeaving
		case h.ejections > 0 && now < h.ejectUntil:
			v.Use = UseEjected
		case h.Backup:
			v.Use = UseBackup
		case position == 0 || position > s.Reach || h.cold && !h.usableCold:
			v.Use = UseBeyond
		case b.coldBlocked(h):
			v.Use = UseCold
		case b.atLimit(h):
			v.Use = UseFull
		case position > s.Part:
			v.Use = UseWider
		default:
			v.Use = UseDrawn
		}
		s.Hosts = append(s.Hosts, v)
	}
	return s
}

// Drawn returns the hosts that the instance uses, including those that cannot take a request at
// the moment.
func (s *Status) Drawn() (ids []HostID) {
	for _, h := range s.Hosts {
		if h.Use != UseBeyond && h.Use != UseLeaving && h.Use != UseBackup {
			ids = append(ids, h.ID)
		}
	}
	return ids
}
