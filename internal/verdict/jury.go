package verdict

import (
	"math"

	"frostshift"
)

// Constants of the OutlierDetector.
const (
	// decayTime is the time constant of the decay, in seconds: after it, an answer's weight is 1/e.
	decayTime = 30.0
	// minDeviations is the number of standard deviations by which a host's faults must exceed the
	// number expected from the other hosts' fault rate.
	minDeviations = 4.0
	// minFaults is the minimum of recent faults for a host to be blamed: a single fault may be
	// due to the request.
	minFaults = 3.0
	// minWeight is the decayed count of answers below which a host's record is removed.
	minWeight = 0.05
)

// OutlierDetector distinguishes faults of a host from faults of a request. A host that answers
// with an error is blamed only if it does so more often than the other hosts: neither a request
// that fails at every host nor a service that fails everywhere causes a host to be blamed.
// Envoy's success rate outlier detection has the same aim, but evaluates hosts with enough traffic
// once per interval; here each answer is judged as it arrives. An OutlierDetector keeps a few
// numbers per host and is not safe for concurrent use.
type OutlierDetector struct {
	hosts map[frostshift.HostID]*record
	all   record
	swept frostshift.Time
}

// record counts answers and the faults among them, with the weights decayed to the time at.
type record struct {
	answers, faults float64
	at              frostshift.Time
}

// decay decays the counts to now.
func (r *record) decay(now frostshift.Time) {
	if now > r.at {
		w := math.Exp(-(now - r.at).Seconds() / decayTime)
		r.answers *= w
		r.faults *= w
		r.at = now
	}
}

// NewOutlierDetector returns an OutlierDetector without any records.
func NewOutlierDetector() *OutlierDetector {
	return &OutlierDetector{hosts: map[frostshift.HostID]*record{}}
}

// Observe records an answer of a host. It reports whether the answer is a fault that the host is to
// blame for.
func (j *OutlierDetector) Observe(now frostshift.Time, host frostshift.HostID, fault bool) (blame bool) {
	h := j.hosts[host]
	if h == nil {
		j.sweep(now)
		h = &record{at: now}
		j.hosts[host] = h
	}
	for _, r := range [...]*record{h, &j.all} {
		r.decay(now)
		r.answers++
		if fault {
			r.faults++
		}
	}
	if !fault || h.faults < minFaults-0.5 {
		return false
	}
	// Compare with the faults expected at the other hosts' fault rate plus the deviation by chance.
	// One additional fault and one additional success represent what was not yet observed of them.
	otherAnswers, otherFaults := max(0, j.all.answers-h.answers), max(0, j.all.faults-h.faults)
	expected := h.answers * (otherFaults + 1) / (otherAnswers + 2)
	if otherAnswers < 1 && len(j.hosts) == 1 {
		return false // there is no other host to compare it with, or to send to
	}
	return h.faults > expected+minDeviations*math.Sqrt(max(expected*(1-(otherFaults+1)/(otherAnswers+2)), 0.25))
}

// sweep removes the records of hosts that have not answered for long. It does so once per time
// constant at most.
func (j *OutlierDetector) sweep(now frostshift.Time) {
	if (now - j.swept).Seconds() < decayTime {
		return
	}
	j.swept = now
	for id, r := range j.hosts {
		if r.decay(now); r.answers < minWeight {
			delete(j.hosts, id)
		}
	}
}

// Hosts returns the number of hosts with a record.
func (j *OutlierDetector) Hosts() int { return len(j.hosts) }
