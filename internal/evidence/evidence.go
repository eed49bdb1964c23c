// Package evidence estimates statistics from few samples. A gateway among hundreds sees each host
// only now and then: if three answers were taken at face value, a host would be ejected, requests
// shed or a host preferred because of chance alone. Each statistic here therefore comes with the
// weight of its samples, so that the caller can ask for a mean that is shrunk toward a prior, or
// for the distance from an expected value in standard errors.
//
// The package has no notion of hosts or requests and reads no clock: the caller passes the time
// and makes the decisions.
package evidence

import (
	"math"
	"time"
)

// Mean is a mean together with the weight of its samples. Weights decay with time, so that old
// samples are forgotten. The zero value has no samples. A Mean is not safe for concurrent use.
type Mean struct {
	// N is the total weight of the samples, Sum the weighted sum of their values and Sq that of
	// their squares, all as of At.
	N, Sum, Sq float64
	At         time.Duration
}

// Fade decays the weight of the samples to now, by a factor of e per timeConstant. A now before
// At changes nothing.
func (m *Mean) Fade(now, timeConstant time.Duration) {
	if d := now - m.At; d > 0 {
		w := math.Exp(-float64(d) / float64(timeConstant))
		m.N, m.Sum, m.Sq, m.At = m.N*w, m.Sum*w, m.Sq*w, now
	}
}

// Add adds the sample x with a weight. The total weight is limited to maxWeight: older samples
// are scaled down to make room, however fast new ones arrive.
func (m *Mean) Add(x, weight, maxWeight float64) {
	if room := max(maxWeight-weight, 0); m.N > room {
		w := room / m.N
		m.N, m.Sum, m.Sq = m.N*w, m.Sum*w, m.Sq*w
	}
	m.N += weight
	m.Sum += weight * x
	m.Sq += weight * x * x
}

// Toward returns the mean shrunk toward prior, as if strength further samples had the value
// prior. This is the posterior mean when both the samples and the true means are normally
// distributed and strength is the variance of one sample divided by that of the true means.
func (m *Mean) Toward(prior, strength float64) float64 {
	return (m.Sum + strength*prior) / (m.N + strength)
}

// Apart returns the distance of the mean from x in standard errors, given the standard deviation
// of one sample; it is negative when the mean is below x. The distance is shrunk as if strength
// further samples had the value x, so that a single sample must be extreme to count. Without
// samples, or with a deviation that is not positive, it is 0: there is no evidence against x.
func (m *Mean) Apart(x, deviation, strength float64) float64 {
	if m.N <= 0 || !(deviation > 0) {
		return 0
	}
	return (m.Sum - m.N*x) / (math.Sqrt(m.N+strength) * deviation)
}

// Deviation returns the standard deviation of one sample, shrunk toward prior as if strength
// further samples had the deviation prior. Without samples it is prior.
func (m *Mean) Deviation(prior, strength float64) float64 {
	if m.N <= 0 {
		return prior
	}
	mean := m.Sum / m.N
	return math.Sqrt((max(m.Sq-m.N*mean*mean, 0) + strength*prior*prior) / (m.N + strength))
}

// Sure converts a distance in standard errors, of either sign, into a confidence: 0 up to from, 1
// at to and above, and linear in between.
func Sure(sigmas, from, to float64) float64 {
	return min(1, max(0, (math.Abs(sigmas)-from)/(to-from)))
}
