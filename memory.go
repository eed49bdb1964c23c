package frostshift

import (
	"math"
	"time"

	"frostshift/internal/evidence"
)

// What a Balancer has learned, as another one takes it over: that of a process which takes the
// place of this one. Nothing here decides anything. Times are ages, as the two need not share
// a clock; requests are not part of it.

// MemoryVersion is that of Memory. One of another version is not for Restore.
const MemoryVersion = 1

// Memory is what has been learned of hosts and of the load.
type Memory struct {
	Version int
	Hosts   []HostMemory
	Banned  []HostID
	Admit   float64
	Late    EvidenceMemory
	Works   EvidenceMemory
	Worth   MeanMemory
	Gap     MeanMemory
	All     MeanMemory
	Classes []MeanMemory
	Kinds   []EvidenceMemory
	Served  float64
	Warm    int
	// ServedAge and ServedFor are how long ago the rate was read and first began.
	ServedAge, ServedFor time.Duration
}

// HostMemory is what has been learned of a host.
type HostMemory struct {
	ID       HostID
	Fresh    bool
	Faulty   bool // RTT is a penalty
	Slow     EvidenceMemory
	RTT      float64
	Age      time.Duration // of RTT
	Limit    float64
	Lat      MeanMemory
	Fails    int
	Down     bool
	Good     int
	Out      time.Duration // left of its ejection
	Cold     bool
	ColdFor  time.Duration // since its start
	Owed     bool
	Started  Time
	HeardAge time.Duration
}

// MeanMemory is a moving average.
type MeanMemory struct {
	Mean, Dev float64
	Seen      bool
	Age       time.Duration
}

// EvidenceMemory is a mean with what stands behind it: the weight of the samples, their sum and
// that of their squares.
type EvidenceMemory struct {
	N, Sum, Sq float64
	Age        time.Duration
}

func evidenceMemory(m *evidence.Mean, now Time) EvidenceMemory {
	return EvidenceMemory{m.N, m.Sum, m.Sq, now - m.At}
}

// mean gives it back where samples between -most and most can have made it.
func (m EvidenceMemory) mean(now Time, most float64) evidence.Mean {
	if !sane(m.N) || !sane(m.Sq) || m.N > maxSampleWeight || !(math.Abs(m.Sum) <= m.N*most) || m.Sq > m.N*most*most || m.Age < 0 {
		return evidence.Mean{}
	}
	return evidence.Mean{N: m.N, Sum: m.Sum, Sq: m.Sq, At: now - m.Age}
}

// mostTimes bounds the logarithm of how many times longer an answer takes than others do.
const mostTimes = 25

func (m *mean) memory(now Time) MeanMemory { return MeanMemory{m.mean, m.dev, m.seen, now - m.at} }

func (m MeanMemory) mean(now Time) mean {
	if !sane(m.Mean) || !sane(m.Dev) {
		return mean{}
	}
	return mean{m.Mean, m.Dev, m.Seen, now - max(m.Age, 0)}
}

// sane says whether a figure can be one that was learned.
func sane(x float64) bool { return x >= 0 && !math.IsInf(x, 0) }

// Memory is what has been learned up to now.
func (b *Balancer) Memory(now Time) Memory {
	m := Memory{Version: MemoryVersion, Admit: b.admitted, Late: evidenceMemory(&b.relativeRTT, now), Works: evidenceMemory(&b.allRelativeTimes, now), Worth: b.meanWorth.memory(now), Gap: b.sampleGap.memory(now),
		All: b.meanRTT.memory(now), Served: b.servedRate, Warm: b.warmHosts}
	if b.servedAt > 0 {
		m.ServedAge, m.ServedFor = now-b.servedAt, now-b.servedFrom
	}
	for i := range b.classRTT {
		m.Classes = append(m.Classes, b.classRTT[i].memory(now))
	}
	for i := range b.kindTimes {
		m.Kinds = append(m.Kinds, evidenceMemory(&b.kindTimes[i], now))
	}
	for id := range b.banned {
		m.Banned = append(m.Banned, id)
	}
	for _, h := range b.hosts {
		o := HostMemory{ID: h.ID, Fresh: h.unsampled, Faulty: h.penalized, Slow: evidenceMemory(&h.relativeTimes, now), RTT: h.rtt, Age: now - h.rttAt, Limit: h.limit, Lat: h.recentRTT.memory(now), Fails: h.ejections,
			Down: h.down, Good: h.answersSinceError, Out: max(0, h.ejectUntil-now), Cold: h.cold, ColdFor: now - h.coldAt, Started: h.Started, HeardAge: now - h.answeredAt}
		for _, owed := range b.reinstated {
			o.Owed = o.Owed || owed == h
		}
		m.Hosts = append(m.Hosts, o)
	}
	return m
}

// Restore takes over what another balancer had learned: of the hosts that are listed already
// and have not started anew since. It is called once, behind the first list and before the
// first request; what makes no sense is left out.
func (b *Balancer) Restore(now Time, m *Memory) {
	b.now = now
	if m.Version != MemoryVersion {
		return
	}
	for _, id := range m.Banned {
		b.Ban(now, id, true)
	}
	if m.Admit > 0 && m.Admit <= 1 {
		b.admitted = m.Admit
	}
	b.relativeRTT, b.allRelativeTimes = m.Late.mean(now, 1), m.Works.mean(now, mostTimes)
	b.meanWorth, b.sampleGap, b.meanRTT = m.Worth.mean(now), m.Gap.mean(now), m.All.mean(now)
	for i := range m.Classes[:min(len(m.Classes), len(b.classRTT))] {
		b.classRTT[i] = m.Classes[i].mean(now)
	}
	for i := range m.Kinds[:min(len(m.Kinds), len(b.kindTimes))] {
		b.kindTimes[i] = m.Kinds[i].mean(now, mostTimes)
	}
	if sane(m.Served) && m.ServedFor > 0 && m.ServedAge >= 0 {
		b.servedRate, b.servedAt, b.servedFrom = m.Served, now-m.ServedAge, now-m.ServedFor
	}
	for i := range m.Hosts {
		o := &m.Hosts[i]
		h := b.byID[o.ID]
		if h == nil || h.Started != o.Started || !sane(o.RTT) || !(o.Limit >= minHostLimit) || o.Age < 0 || o.ColdFor < 0 || o.HeardAge < 0 || o.Fails < 0 {
			continue
		}
		h.unsampled, h.rtt, h.rttAt, h.limit, h.recentRTT = o.Fresh, o.RTT, now-o.Age, o.Limit, o.Lat.mean(now)
		h.ejections, h.down, h.answersSinceError, h.ejectUntil = o.Fails, o.Down, o.Good, now+min(max(o.Out, 0), time.Minute)
		h.answeredAt, h.penalized, h.relativeTimes = now-o.HeardAge, o.Faulty, o.Slow.mean(now, mostTimes)
		if h.cold = h.cold || o.Cold; o.Cold {
			h.coldAt = now - o.ColdFor
		}
		if o.Owed {
			b.reinstated = append(b.reinstated, h)
		}
	}
	b.rebuildRing()
}

// Twins says how many processes are this one instance now: they share its part of what cold
// hosts may get.
func (b *Balancer) Twins(now Time, n int) {
	b.now = now
	b.siblings = float64(max(1, n))
}
