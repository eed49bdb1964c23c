package frostshift

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// staggerLoss bounds the unevenness of the send cycle: among up to a thousand neighbors on the ring, at
// most this many more than the even number have their offset in any section of the cycle. Steps of the
// golden ratio spread them that evenly (TestStaggerIsEven).
const staggerLoss = 3.7

// coldTraffic is the random arrival pattern of one instance: steady, nothing until a burst that starts at
// the same time for all instances, or a few requests per second.
type coldTraffic struct {
	from, every time.Duration
}

func randomTraffic(r *rand.Rand, burst time.Duration) coldTraffic {
	switch r.IntN(3) {
	case 0:
		return coldTraffic{every: 10 * ms}
	case 1:
		return coldTraffic{from: burst, every: 2 * ms}
	}
	return coldTraffic{from: time.Duration(r.Int64N(int64(time.Second))), every: time.Duration(50+r.IntN(900)) * ms}
}

// coldFleet describes a fleet of instances and its hosts, the last of which has just started.
type coldFleet struct {
	instances, warm int
	rate            float64 // requests per second that a warm host sustains
	// skew is the standard deviation of the logarithm of the instances' estimates of that rate, which they
	// learn from their own traffic. The mean of the estimates is correct.
	skew   float64
	length time.Duration
	quiet  time.Duration // longest idle time before the common burst
}

// rateEstimates returns the estimate of the rate for each instance.
func (f coldFleet) rateEstimates(r *rand.Rand) []float64 {
	estimates := make([]float64, f.instances)
	sum := 0.0
	for i := range estimates {
		estimates[i] = math.Exp(f.skew * r.NormFloat64())
		sum += estimates[i]
	}
	for i := range estimates {
		estimates[i] *= f.rate * float64(f.instances) / sum
	}
	return estimates
}

// coldSends simulates instances that share no state. It returns the times of all requests to the cold host, and
// one of the balancers with its state of that host.
func coldSends(t *testing.T, fleet coldFleet, r *rand.Rand) (sends []time.Duration, first *Balancer, cold *host) {
	burst := time.Duration(r.Int64N(int64(fleet.quiet)))
	list := hosts(fleet.warm)
	fresh := Host{ID: HostID(fleet.warm + 1), Started: time.Hour}
	for rank, rate := range fleet.rateEstimates(r) {
		set := testSettings()
		set.Instances, set.Rank = fleet.instances, rank
		g := start(t, set, list...)
		g.b.servedRate, g.b.servedAt, g.b.servedFrom = rate, g.now, g.now-time.Hour
		begin := g.now
		now := begin + time.Duration(r.Int64N(int64(300*time.Millisecond))) // the list arrives late
		setRate := func(at Time) {
			g.b.now, g.b.servedRate, g.b.servedAt = at, rate, at
		}
		setRate(now)
		g.b.Hosts(now, ListChanges, []Host{fresh})
		h := g.b.byID[fresh.ID]
		if cold == nil || h.usableCold {
			first, cold = g.b, h
		}
		if !h.usableCold {
			continue
		}
		traffic := randomTraffic(r, burst)
		for now += traffic.from; now < begin+fleet.length; now += traffic.every {
			setRate(now)
			if !g.b.coldBlocked(h) {
				h.credit = min(h.credit-1, 1)
				sends = append(sends, now-begin)
			}
		}
	}
	slices.Sort(sends)
	return sends, first, cold
}

// coldLoads calls check for each overload window that begins with a send, with the number of sends in it and the
// number that the settings allow.
func coldLoads(set *Settings, rate float64, sends []time.Duration, check func(from time.Duration, n, allowed float64)) {
	for i, from := range sends {
		end, _ := slices.BinarySearch(sends, from+set.OverloadWindow)
		share := set.ColdFrom + (1-set.ColdFrom)*min(1, float64(from+set.OverloadWindow/2)/float64(set.WarmAfter))
		check(from, float64(end-i), rate*set.OverloadFactor*share*set.OverloadWindow.Seconds())
	}
}

// coldUse simulates a fleet of instances that agree on the rate. It returns the highest ratio, over all windows,
// of the sends to the bound of docs/design/endings.md, and a description of the failure when the sends of a window
// exceed that bound or N + 2*sqrt(N) + 2, where N is the number that the settings allow in the window.
func coldUse(t *testing.T, instances, warm int, rate float64, seed uint64) (highest float64, failure string) {
	fleet := coldFleet{instances: instances, warm: warm, rate: rate, length: 4 * time.Second, quiet: 3 * time.Second}
	sends, b, h := coldSends(t, fleet, rand.New(rand.NewPCG(seed, 1)))
	fall := b.set.OverloadWindow
	coldLoads(&b.set, max(rate, 1/b.shortestAim.Seconds()), sends, func(from time.Duration, n, allowed float64) {
		if limit := allowed + 2*math.Sqrt(allowed) + 2; n > limit {
			failure = fmt.Sprintf("%v sends in the window from %v on, want at most %.1f", n, from, limit)
		}
		b.now, b.servedRate, b.servedAt = time.Hour+from+fall, rate, time.Hour+from+fall
		total := b.coldRate(h, from+fall) * fall.Seconds() * h.sharers // at the end of the window, where it is highest
		bound := total + max(1, min(total/2, coldCreditSigmas*math.Sqrt(total))) + staggerLoss
		if n > bound {
			failure = fmt.Sprintf("%v sends in the window from %v on, the bound is %.1f", n, from, bound)
		}
		highest = max(highest, n/bound)
	})
	return highest, failure
}

// All instances together send a cold host at most N + 2*sqrt(N) + 2 requests in any overload window, where N is
// the number that the settings allow in it: for any traffic of each instance, for lists that arrive late, and in a
// burst after an idle time. The sends also stay within the inequality of docs/design/endings.md, so the result
// does not depend on chance.
func TestColdBudgetIsNeverExceeded(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		instances := rapid.SampledFrom([]int{1, 2, 7, 30, 300}).Draw(rt, "instances")
		count := rapid.SampledFrom([]int{2, 40}).Draw(rt, "warm hosts")
		rate := math.Exp(rapid.Float64Range(math.Log(4), math.Log(4000)).Draw(rt, "log of the rate"))
		if _, failure := coldUse(t, instances, count, rate, rapid.Uint64().Draw(rt, "seed")); failure != "" {
			rt.Fatalf("%d instances, %v per second: %s", instances, rate, failure)
		}
	})
}

// With uneven traffic each instance learns a different estimate of the rate of a warm host, and the instances lose
// their offsets in the send cycle. The limit of N + 2*sqrt(N) + 2 holds in this case too, until the host is warm,
// also in a burst after an idle time.
func TestColdBudgetHoldsWhereFiguresDiffer(t *testing.T) {
	for _, instances := range []int{2, 30, 300} {
		for _, skew := range []float64{0.1, 0.4, 1.2} {
			highest := 0.0
			for seed := range uint64(6) {
				rate := []float64{12, 100, 1000}[seed%3]
				fleet := coldFleet{instances: instances, warm: 3, rate: rate, skew: skew, length: 9 * time.Second, quiet: 8 * time.Second}
				sends, b, _ := coldSends(t, fleet, rand.New(rand.NewPCG(seed, 2)))
				coldLoads(&b.set, rate, sends, func(from time.Duration, n, allowed float64) {
					limit := allowed + 2*math.Sqrt(allowed) + 2
					if highest = max(highest, n/limit); n > limit {
						t.Fatalf("%d instances, %v per second, skew %v, seed %d: %v sends in the window from %v on, want at most %.1f", instances, rate, skew, seed, n, from, limit)
					}
				})
			}
			if t.Logf("%d instances, skew %v: highest use %.2f of the limit", instances, skew, highest); highest < 0.4 {
				t.Errorf("%d instances, skew %v: highest use is %.2f of the limit, so the budget is not used", instances, skew, highest)
			}
		}
	}
}

// Fleets come near the bound, so the budget is used and the bound is not satisfied trivially.
func TestColdBudgetIsUsed(t *testing.T) {
	for _, instances := range []int{2, 30, 300} {
		highest := 0.0
		for seed := range uint64(8) {
			for _, rate := range []float64{12, 400} {
				use, failure := coldUse(t, instances, 2, rate, seed)
				if failure != "" {
					t.Fatalf("%d instances, %v per second: %s", instances, rate, failure)
				}
				highest = max(highest, use)
			}
		}
		t.Logf("%d instances: highest use %.2f of the bound", instances, highest)
		if highest < 0.5 {
			t.Errorf("%d instances: highest use is %.2f of the bound, want at least 0.5", instances, highest)
		}
	}
}

// The instances that share a host have evenly spread offsets in its send cycle, whichever run of neighbors on the
// ring they are.
func TestStaggerIsEven(t *testing.T) {
	for _, fleet := range []int{1, 2, 3, 10, 30, 100, 300, 1000} {
		var offsets []float64
		for k := range fleet { // in the order of their positions
			set := testSettings()
			set.Instances = fleet
			b, err := New(set, 1)
			if err != nil {
				t.Fatal(err)
			}
			b.fleetInfo.Position = float64(k) / float64(fleet)
			_, offset := math.Modf(b.cycleOffset(&host{position: 1 << 60}))
			offsets = append(offsets, offset)
		}
		for _, size := range []int{fleet, (fleet + 1) / 2, (fleet + 9) / 10} {
			for from := 0; from+size <= fleet; from += size {
				if loss := unevenness(offsets[from : from+size]); loss > staggerLoss {
					t.Errorf("%d neighbors of %d, from number %d on: unevenness %.2f", size, fleet, from, loss)
				}
			}
		}
	}
}

// unevenness returns the largest difference, over all arcs of a circle of length 1, between the number of points in
// the arc and the number that an even spread would have there.
func unevenness(points []float64) (largest float64) {
	sorted := slices.Sorted(slices.Values(points))
	n := float64(len(sorted))
	before := math.Inf(-1)
	for turn := range 2 {
		for i, p := range sorted {
			at := float64(turn*len(sorted)+i) - n*(float64(turn)+p)
			before = max(before, -at)
			largest = max(largest, at+before+1)
		}
	}
	return largest
}
