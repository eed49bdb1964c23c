package contract

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"frostshift/internal/quota/trial"
)

// simulateFleet runs gateways that divide one team's rate for a minute, each with a FleetShare of its
// own. A gateway serves the demand it gets, up to its share of the rate. It returns the peak and the
// mean of what all gateways gave together in the second half, as fractions of the stated rate.
func simulateFleet(gateways int, skew, demand float64, short bool, restarts bool, fixed bool) (peak, mean float64) {
	const tick = 50 * time.Millisecond
	rng := rand.New(rand.NewPCG(uint64(gateways), 7))
	shares := make([]*FleetShare, gateways)
	for i := range shares {
		shares[i] = NewFleetShare(gateways)
	}
	traffic := trial.Skew(gateways, skew)
	samples := 0
	for now := Time(time.Second); now < Time(61*time.Second); now += Time(tick) {
		given := 0.0
		for i, share := range shares {
			if restarts && rng.IntN(40) == 0 {
				shares[i] = NewFleetShare(gateways)
				share = shares[i]
			}
			demanded := demand * traffic[i]
			if !fixed {
				share.Update(now, demanded > share.Value(), short)
			}
			given += min(demanded, share.Value())
		}
		if now > Time(31*time.Second) {
			peak = max(peak, given)
			mean += given
			samples++
		}
	}
	return peak, mean / float64(samples)
}

// However traffic is distributed and however many gateways restart, all together give at most
// 1+Excess times what the contract states, and about 1 times where hosts are at capacity
// everywhere; a team whose traffic is uneven gets more than by an even split.
func TestFleetsOfGatewaysStayWithinTheExcess(t *testing.T) {
	for _, n := range []int{1, 2, 5, 20, 50} {
		for _, skew := range []float64{0, 0.5, 1, 2} {
			for _, restarts := range []bool{false, true} {
				name := fmt.Sprintf("%d gateways, skew %v, restarts %v", n, skew, restarts)
				if peak, _ := simulateFleet(n, skew, 100, false, restarts, false); peak > 1+Excess+1e-9 {
					t.Errorf("%s: a flood got %.3f of the rate", name, peak)
				}
				if peak, _ := simulateFleet(n, skew, 100, true, restarts, false); peak > 1.001 {
					t.Errorf("%s: a flood got %.3f of the rate while hosts were short", name, peak)
				}
				_, evenMean := simulateFleet(n, skew, 1, false, restarts, true)
				_, correctedMean := simulateFleet(n, skew, 1, false, restarts, false)
				if correctedMean < evenMean-1e-9 || correctedMean > 1+1e-9 {
					t.Errorf("%s: a team that asks for its rate got %.3f, by an even split %.3f", name, correctedMean, evenMean)
				}
				t.Logf("%s: asks for its rate: even %.2f, corrected %.2f", name, evenMean, correctedMean)
			}
		}
	}
}

func TestPartSteps(t *testing.T) {
	share := NewFleetShare(10)
	now := Time(time.Hour)
	share.Update(now, true, false)
	share.Update(now-Time(time.Minute), true, false) // the clock goes backward
	if share.Value() != 0.1 {
		t.Errorf("share %v before any time has passed", share.Value())
	}
	for range 100 {
		now += Time(time.Second)
		share.Update(now, true, false)
	}
	if got := share.Value(); math.Abs(got-0.15) > 1e-9 {
		t.Errorf("share %v after a hundred seconds, want 0.15", got)
	}
	share.Update(now+Time(5*time.Second), true, true)
	if got := share.Value(); got > 0.1001 {
		t.Errorf("share %v five seconds into a shortage", got)
	}
}
