package frostshift

import (
	"math"
	"time"

	"frostshift/internal/evidence"
)

// This file exports the learned state of a Balancer and restores it in the Balancer of the
// process that replaces this one. It contains no decision logic. Times are exported as ages,
// because the two processes need not share a clock; requests are not included.

// MemoryVersion is the format version of Memory. Restore ignores a Memory of another version.
const MemoryVersion = 1

// Memory is the learned state: what a Balancer knows about the hosts and the load.
type Memory struct {
	Version int
	Hosts   []HostMemory
	Banned  []HostID         // hosts that an operator took out of service
	Admit   float64          // share of the requests that is admitted on arrival
	Late    EvidenceMemory   // lateness of answers, in aims
	Works   EvidenceMemory   // logarithms of RTT over the usual RTT, of all answers
	Worth   MeanMemory       // worth of the requests answered
	Gap     MeanMemory       // time between two samples of a host, in seconds
	All     MeanMemory       // RTT of all answers, in seconds
	Classes []MeanMemory     // RTT by class
	Kinds   []EvidenceMemory // as Works, but relative to all hosts, by kind of host
	Served  float64          // rate of good answers of a warm host to the whole fleet, per second
	Warm    int              // number of warm hosts; Restore ignores it
	// ServedAge is the time since Served was last updated, ServedFor the time since its
	// measurement began.
	ServedAge, ServedFor time.Duration
}

// HostMemory is the learned state of one host.
type HostMemory struct {
	ID       HostID
	Fresh    bool           // there is no RTT sample yet
	Faulty   bool           // RTT includes a penalty that has not decayed
	Slow     EvidenceMemory // logarithms of its RTT over the usual RTT
	RTT      float64        // peak EWMA, in seconds
	Age      time.Duration  // of RTT
	Limit    float64        // in-flight limit of the host for the whole fleet
	Lat      MeanMemory     // RTT of answers and time-outs
	Fails    int            // ejections since the last good answer
	Down     bool           // connections to it failed
	Good     int            // answers since its last error
	Out      time.Duration  // time left of its ejection
	Cold     bool           // it started less than WarmAfter ago
	ColdFor  time.Duration  // time since its start
	Owed     bool           // an operator put it back into service, and it has not answered since
	Started  Time
	HeardAge time.Duration // time since its last answer of any kind
}

// MeanMemory is the state of a moving average and of its deviation.
type MeanMemory struct {
	Mean, Dev float64
	Seen      bool
	Age       time.Duration
}

// EvidenceMemory is the state of an [evidence.Mean]: the weight of the samples, their weighted
// sum and that of their squares.
type EvidenceMemory struct {
	N, Sum, Sq float64
	Age        time.Duration
}

func evidenceMemory(m *evidence.Mean, now Time) EvidenceMemory {
	return EvidenceMemory{m.N, m.Sum, m.Sq, now - m.At}
}

// mean restores the mean. It returns an empty one for values that samples between -maxAbs and
// maxAbs cannot produce.
func (m EvidenceMemory) mean(now Time, maxAbs float64) evidence.Mean {
	if !isLearnedValue(m.N) || !isLearnedValue(m.Sq) || m.N > maxSampleWeight || !(math.Abs(m.Sum) <= m.N*maxAbs) || m.Sq > m.N*maxAbs*maxAbs || m.Age < 0 {
		return evidence.Mean{}
	}
	return evidence.Mean{N: m.N, Sum: m.Sum, Sq: m.Sq, At: now - m.Age}
}

// maxLogSlowdown bounds the logarithm of the ratio between the RTT of an answer and the usual RTT.
const maxLogSlowdown = 25

func (m *mean) memory(now Time) MeanMemory { return MeanMemory{m.mean, m.dev, m.seen, now - m.at} }

func (m MeanMemory) mean(now Time) mean {
	if !isLearnedValue(m.Mean) || !isLearnedValue(m.Dev) {
		return mean{}
	}
	return mean{m.Mean, m.Dev, m.Seen, now - max(m.Age, 0)}
}

// isLearnedValue says whether a value can result from learning: it is finite and not negative.
func isLearnedValue(x float64) bool { return x >= 0 && !math.IsInf(x, 0) }

// Memory returns the state learned up to now.
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
		hm := HostMemory{ID: h.ID, Fresh: h.unsampled, Faulty: h.penalized, Slow: evidenceMemory(&h.relativeTimes, now), RTT: h.rtt, Age: now - h.rttAt, Limit: h.limit, Lat: h.recentRTT.memory(now), Fails: h.ejections,
			Down: h.down, Good: h.answersSinceError, Out: max(0, h.ejectUntil-now), Cold: h.cold, ColdFor: now - h.coldAt, Started: h.Started, HeardAge: now - h.answeredAt}
		for _, owed := range b.reinstated {
			hm.Owed = hm.Owed || owed == h
		}
		m.Hosts = append(m.Hosts, hm)
	}
	return m
}

// Restore takes over the learned state of another balancer, for the hosts that are already
// listed and have not restarted since. It must be called once, after the first list and before
// the first request. It ignores a Memory of another version, and leaves out invalid values.
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
	b.relativeRTT, b.allRelativeTimes = m.Late.mean(now, 1), m.Works.mean(now, maxLogSlowdown)
	b.meanWorth, b.sampleGap, b.meanRTT = m.Worth.mean(now), m.Gap.mean(now), m.All.mean(now)
	for i := range m.Classes[:min(len(m.Classes), len(b.classRTT))] {
		b.classRTT[i] = m.Classes[i].mean(now)
	}
	for i := range m.Kinds[:min(len(m.Kinds), len(b.kindTimes))] {
		b.kindTimes[i] = m.Kinds[i].mean(now, maxLogSlowdown)
	}
	if isLearnedValue(m.Served) && m.ServedFor > 0 && m.ServedAge >= 0 {
		b.servedRate, b.servedAt, b.servedFrom = m.Served, now-m.ServedAge, now-m.ServedFor
	}
	for i := range m.Hosts {
		hm := &m.Hosts[i]
		h := b.byID[hm.ID]
		if h == nil || h.Started != hm.Started || !isLearnedValue(hm.RTT) || !(hm.Limit >= minHostLimit) || hm.Age < 0 || hm.ColdFor < 0 || hm.HeardAge < 0 || hm.Fails < 0 {
			continue
		}
		h.unsampled, h.rtt, h.rttAt, h.limit, h.recentRTT = hm.Fresh, hm.RTT, now-hm.Age, hm.Limit, hm.Lat.mean(now)
		h.ejections, h.down, h.answersSinceError, h.ejectUntil = hm.Fails, hm.Down, hm.Good, now+min(max(hm.Out, 0), time.Minute)
		h.answeredAt, h.penalized, h.relativeTimes = now-hm.HeardAge, hm.Faulty, hm.Slow.mean(now, maxLogSlowdown)
		if h.cold = h.cold || hm.Cold; hm.Cold {
			h.coldAt = now - hm.ColdFor
		}
		if hm.Owed {
			b.reinstated = append(b.reinstated, h)
		}
	}
	b.rebuildRing()
}

// Processes sets how many sibling processes (hot restart) form this one instance now: they
// divide the instance's share of the budgets of cold hosts among them.
func (b *Balancer) Processes(now Time, n int) {
	b.now = now
	b.siblings = float64(max(1, n))
}
