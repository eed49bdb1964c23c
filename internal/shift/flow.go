package shift

import "math"

// How fast shares change. A pool gets more only as far as what it can hold now has room for
// it, and by a part of what it has: hosts that are cold, or whose limits have shrunk with
// their load, learn meanwhile what they can take. The way back is no faster than the way there.

const (
	growth   = 0.5  // of a pool's share that may be added in a second
	leastAdd = 0.02 // ... or this much
	fillTo   = 0.8  // of its capacity that a change may fill
	rateSpan = 2.0  // seconds: of the recent rate and times
	// paceTo is the part of what cold hosts may get that a pool is sent: requests come by chance,
	// and what comes too early is refused.
	paceTo = 0.4
)

// Pool is a pool as it is now.
type Pool struct {
	Ready    bool    // a host can take requests
	Capacity float64 // attempts that its hosts can hold at once, as they are now
	Open     float64 // that it holds
	Pace     float64 // requests a second that its hosts, which are all cold, may get from here; 0: not bounded
}

// flow is what has come lately.
type flow struct {
	came int     // since the last look
	rate float64 // units a second
	took [2]float64
	at   Time
}

// ended counts how long a unit took in a pool.
func (f *flow) ended(s Side, took Time) {
	sec := took.Seconds()
	if f.took[s] == 0 {
		f.took[s] = sec
	}
	f.took[s] += 0.02 * (sec - f.took[s])
}

// look brings the rate up to date and gives the seconds since the last look.
func (f *flow) look(now Time) (dt float64) {
	if f.at > 0 {
		dt = (now - f.at).Seconds()
	}
	f.at = now
	if dt > 0 && f.rate == 0 {
		f.rate, f.came = float64(f.came)/dt, 0
	} else if dt > 0 {
		f.rate += -math.Expm1(-dt/rateSpan) * (float64(f.came)/dt - f.rate)
		f.came = 0
	}
	return dt
}

// paced is the largest share that a pool whose hosts are all cold may have.
func (f *flow) paced(p *Pool) float64 {
	if p.Pace <= 0 || f.rate <= 0 {
		return 1
	}
	return min(1, paceTo*p.Pace/f.rate)
}

// towards is a pool's share on its way to a larger one: as far as growth and room let it.
func (f *flow) towards(s Side, p *Pool, share, target, dt float64) float64 {
	if !p.Ready {
		return share
	}
	add := max(leastAdd, growth*share) * dt
	took := f.took[s]
	if took == 0 {
		took = f.took[1-s]
	}
	if each := f.rate * took; each > 0 { // attempts open at once that the whole share would be
		add = min(add, max(0, fillTo*p.Capacity-p.Open)/each)
	}
	return max(share, min(target, share+add, f.paced(p)))
}
