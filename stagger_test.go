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

// staggerLoss is how many more of a run of up to a thousand neighbours on the ring can stand in a part of
// the cycle than its length says: steps of the golden ratio spread them so evenly (TestStaggerIsEven).
const staggerLoss = 3.7

// coldTraffic is how requests come to an instance in a drawn fleet: steadily, not at all until a burst that
// all see, or a few times a second.
type coldTraffic struct {
	from, every time.Duration
}

func drawTraffic(r *rand.Rand, burst time.Duration) coldTraffic {
	switch r.IntN(3) {
	case 0:
		return coldTraffic{every: 10 * ms}
	case 1:
		return coldTraffic{from: burst, every: 2 * ms}
	}
	return coldTraffic{from: time.Duration(r.Int64N(int64(time.Second))), every: time.Duration(50+r.IntN(900)) * ms}
}

// coldFleet is a drawn fleet before hosts of which the last has just started.
type coldFleet struct {
	instances, warm int
	rate            float64 // that a warm host bears
	// skew is by how much instances differ in what they hold for that rate, as they learn it from their own
	// traffic: the deviation of its logarithm. In the mean over all they are right.
	skew   float64
	length time.Duration
	quiet  time.Duration // at most, before a burst that many see
}

// figures are what the instances take the rate for.
func (f coldFleet) figures(r *rand.Rand) []float64 {
	figures := make([]float64, f.instances)
	sum := 0.0
	for i := range figures {
		figures[i] = math.Exp(f.skew * r.NormFloat64())
		sum += figures[i]
	}
	for i := range figures {
		figures[i] *= f.rate * float64(f.instances) / sum
	}
	return figures
}

// coldSends plays instances that share nothing, and returns when each of their requests went to the cold host,
// and what one instance reckons with: its sharers.
func coldSends(t *testing.T, fleet coldFleet, r *rand.Rand) (sends []time.Duration, first *Balancer, cold *host) {
	burst := time.Duration(r.Int64N(int64(fleet.quiet)))
	list := hosts(fleet.warm)
	fresh := Host{ID: HostID(fleet.warm + 1), Started: time.Hour}
	for rank, rate := range fleet.figures(r) {
		set := testSettings()
		set.Instances, set.Rank = fleet.instances, rank
		g := start(t, set, list...)
		g.b.served, g.b.servedAt, g.b.servedFrom = rate, g.now, g.now-time.Hour
		begin := g.now
		now := begin + time.Duration(r.Int64N(int64(300*time.Millisecond))) // lists come late
		know := func(at Time) {
			g.b.now, g.b.served, g.b.servedAt = at, rate, at
		}
		know(now)
		g.b.Hosts(now, ListChanges, []Host{fresh})
		h := g.b.byID[fresh.ID]
		if cold == nil || h.mine {
			first, cold = g.b, h
		}
		if !h.mine {
			continue
		}
		traffic := drawTraffic(r, burst)
		for now += traffic.from; now < begin+fleet.length; now += traffic.every {
			know(now)
			if !g.b.coldHold(h) {
				h.credit = min(h.credit-1, 1)
				sends = append(sends, now-begin)
			}
		}
	}
	slices.Sort(sends)
	return sends, first, cold
}

// coldLoads are, for each window of sends, how many there are and how many requests the settings allow in it.
func coldLoads(set *Settings, rate float64, sends []time.Duration, look func(from time.Duration, n, allowed float64)) {
	for i, from := range sends {
		end, _ := slices.BinarySearch(sends, from+set.OverloadWindow)
		share := set.ColdFrom + (1-set.ColdFrom)*min(1, float64(from+set.OverloadWindow/2)/float64(set.WarmAfter))
		look(from, float64(end-i), rate*set.OverloadFactor*share*set.OverloadWindow.Seconds())
	}
}

// coldUse plays a fleet of instances that agree and says how near its sends in any window come to the bound of
// docs/design/endings.md, and what is wrong where they pass it, or N + 2 root N + 2, N being what the settings
// allow in the window.
func coldUse(t *testing.T, instances, warm int, rate float64, seed uint64) (closest float64, wrong string) {
	fleet := coldFleet{instances: instances, warm: warm, rate: rate, length: 4 * time.Second, quiet: 3 * time.Second}
	sends, b, h := coldSends(t, fleet, rand.New(rand.NewPCG(seed, 1)))
	fall := b.set.OverloadWindow
	coldLoads(&b.set, max(rate, 1/b.aim.Seconds()), sends, func(from time.Duration, n, allowed float64) {
		if most := allowed + 2*math.Sqrt(allowed) + 2; n > most {
			wrong = fmt.Sprintf("%v sends from %v on, %.1f make it fall", n, from, most)
		}
		b.now, b.served, b.servedAt = time.Hour+from+fall, rate, time.Hour+from+fall
		all := b.coldRate(h, from+fall) * fall.Seconds() * h.sharers // at the end of the window, where it is the most
		bound := all + max(1, min(all/2, coldLapse*math.Sqrt(all))) + staggerLoss
		if n > bound {
			wrong = fmt.Sprintf("%v sends from %v on, the bound is %.1f", n, from, bound)
		}
		closest = max(closest, n/bound)
	})
	return closest, wrong
}

// All instances together send a cold host no more than N + 2 root N + 2 requests in any window, N being what
// the settings allow it in the window: whatever traffic each has, however late each hears of the start, and in
// a burst behind quiet. It is no matter of chance: no more either than the inequality of docs/design/endings.md.
func TestColdBudgetIsNeverExceeded(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		instances := rapid.SampledFrom([]int{1, 2, 7, 30, 300}).Draw(rt, "instances")
		count := rapid.SampledFrom([]int{2, 40}).Draw(rt, "warm hosts")
		rate := math.Exp(rapid.Float64Range(math.Log(4), math.Log(4000)).Draw(rt, "log of the rate"))
		if _, wrong := coldUse(t, instances, count, rate, rapid.Uint64().Draw(rt, "seed")); wrong != "" {
			rt.Fatalf("%d instances, %v a second: %s", instances, rate, wrong)
		}
	})
}

// Where traffic is uneven each instance learns another figure of what a warm host bears, and instances lose their
// places in the cycle: N + 2 root N + 2 holds there too, up to the end of the warming, also in a burst behind quiet.
func TestColdBudgetHoldsWhereFiguresDiffer(t *testing.T) {
	for _, instances := range []int{2, 30, 300} {
		for _, skew := range []float64{0.1, 0.4, 1.2} {
			closest := 0.0
			for seed := range uint64(6) {
				rate := []float64{12, 100, 1000}[seed%3]
				fleet := coldFleet{instances: instances, warm: 3, rate: rate, skew: skew, length: 9 * time.Second, quiet: 8 * time.Second}
				sends, b, _ := coldSends(t, fleet, rand.New(rand.NewPCG(seed, 2)))
				coldLoads(&b.set, rate, sends, func(from time.Duration, n, allowed float64) {
					most := allowed + 2*math.Sqrt(allowed) + 2
					if closest = max(closest, n/most); n > most {
						t.Fatalf("%d instances, %v a second, figures apart by %v, seed %d: %v sends from %v on, %.1f make it fall", instances, rate, skew, seed, n, from, most)
					}
				})
			}
			if t.Logf("%d instances, figures apart by %v: %.2f at the most", instances, skew, closest); closest < 0.4 {
				t.Errorf("%d instances, figures apart by %v: %.2f at the most, the budget is not used", instances, skew, closest)
			}
		}
	}
}

// Fleets come near the bound: it is no bound on nothing, and the budget is used.
func TestColdBudgetIsUsed(t *testing.T) {
	for _, instances := range []int{2, 30, 300} {
		closest := 0.0
		for seed := range uint64(8) {
			for _, rate := range []float64{12, 400} {
				use, wrong := coldUse(t, instances, 2, rate, seed)
				if wrong != "" {
					t.Fatalf("%d instances, %v a second: %s", instances, rate, wrong)
				}
				closest = max(closest, use)
			}
		}
		t.Logf("%d instances: %.2f of the bound at the most", instances, closest)
		if closest < 0.5 {
			t.Errorf("%d instances: %.2f of the bound at the most", instances, closest)
		}
	}
}

// The instances that share a host stand evenly in its cycle, whichever run of neighbours they are.
func TestStaggerIsEven(t *testing.T) {
	for _, fleet := range []int{1, 2, 3, 10, 30, 100, 300, 1000} {
		var at []float64
		for k := range fleet { // in the order of their places
			set := testSettings()
			set.Instances = fleet
			b, err := New(set, 1)
			if err != nil {
				t.Fatal(err)
			}
			b.shared.Position = float64(k) / float64(fleet)
			_, cycle := math.Modf(b.stagger(&host{place: 1 << 60}))
			at = append(at, cycle)
		}
		for _, size := range []int{fleet, (fleet + 1) / 2, (fleet + 9) / 10} {
			for from := 0; from+size <= fleet; from += size {
				if loss := unevenness(at[from : from+size]); loss > staggerLoss {
					t.Errorf("%d of %d, from %d on: %.2f", size, fleet, from, loss)
				}
			}
		}
	}
}

// unevenness is the most by which points on a circle of length one in an arc are more than its length says.
func unevenness(points []float64) (most float64) {
	sorted := slices.Sorted(slices.Values(points))
	n := float64(len(sorted))
	before := math.Inf(-1)
	for turn := range 2 {
		for i, p := range sorted {
			at := float64(turn*len(sorted)+i) - n*(float64(turn)+p)
			before = max(before, -at)
			most = max(most, at+before+1)
		}
	}
	return most
}
