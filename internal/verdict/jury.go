package verdict

import (
	"math"

	"frostshift"
)

// The jury's constants.
const (
	// memory is the span within which answers count, in seconds: each counts 1/e after it.
	memory = 30.0
	// surely is by how many deviations a host must fail more often than the others do.
	surely = 4.0
	// leastFaults is how many faults of late it takes: one request can be anything.
	leastFaults = 3.0
	// leastWeight is what is left of a host's answers when it is forgotten.
	leastWeight = 0.05
)

// OutlierDetector tells a host's fault from a request's. A host that answers with an error is at fault
// only if it does so more often than the others do: a request that fails wherever it goes,
// or a service that fails everywhere, is held against nobody. (Envoy's success rate outlier
// detection looks for the same, once in an interval over hosts with enough traffic; here
// each answer is judged as it comes.) A OutlierDetector holds a few numbers a host; it is not safe for
// concurrent use.
type OutlierDetector struct {
	hosts map[frostshift.HostID]*record
	all   record
	swept frostshift.Time
}

// record is answers and the faults among them, decayed to at.
type record struct {
	answers, faults float64
	at              frostshift.Time
}

func (r *record) fade(now frostshift.Time) {
	if now > r.at {
		w := math.Exp(-(now - r.at).Seconds() / memory)
		r.answers *= w
		r.faults *= w
		r.at = now
	}
}

// NewOutlierDetector returns a jury that has seen nothing.
func NewOutlierDetector() *OutlierDetector { return &OutlierDetector{hosts: map[frostshift.HostID]*record{}} }

// Observe notes an answer of a host and says whether, if it is a fault, the host is to blame.
func (j *OutlierDetector) Observe(now frostshift.Time, host frostshift.HostID, fault bool) (blame bool) {
	h := j.hosts[host]
	if h == nil {
		j.sweep(now)
		h = &record{at: now}
		j.hosts[host] = h
	}
	for _, r := range [...]*record{h, &j.all} {
		r.fade(now)
		r.answers++
		if fault {
			r.faults++
		}
	}
	if !fault || h.faults < leastFaults-0.5 {
		return false
	}
	// What the others' share would make of this host's answers, and what chance adds to it.
	// One fault more and one good answer more stand for what has not been seen of them.
	others, theirs := max(0, j.all.answers-h.answers), max(0, j.all.faults-h.faults)
	expected := h.answers * (theirs + 1) / (others + 2)
	if others < 1 && len(j.hosts) == 1 {
		return false // there is nobody else to compare it with, or to send to
	}
	return h.faults > expected+surely*math.Sqrt(max(expected*(1-(theirs+1)/(others+2)), 0.25))
}

// sweep forgets hosts of which nothing has come for long, once a span at the most.
func (j *OutlierDetector) sweep(now frostshift.Time) {
	if (now - j.swept).Seconds() < memory {
		return
	}
	j.swept = now
	for id, r := range j.hosts {
		if r.fade(now); r.answers < leastWeight {
			delete(j.hosts, id)
		}
	}
}

// Hosts is how many hosts are remembered.
func (j *OutlierDetector) Hosts() int { return len(j.hosts) }
