package frostshift

import (
	"testing"
	"time"
)

func TestWatch(t *testing.T) {
	set := testSettings()
	set.Ask, set.Instances, set.Rank, set.AskWithin = true, 4, 2, 8*time.Second
	g := start(t, set, hosts(1)...)
	watches := func(d time.Duration) int { return len(g.advance(d)) }
	if n := watches(999 * ms); n != 0 {
		t.Errorf("%d watches before its turn by rank", n)
	}
	if n := watches(2 * ms); n != 1 {
		t.Fatalf("%d watches at its turn", n)
	}
	g.list(ListFailed)
	if n := watches(time.Second); n != 1 {
		t.Errorf("%d watches within a second of a failure", n)
	}
	g.list(ListChanges)
	if n := watches(time.Minute); n != 0 {
		t.Errorf("%d watches while a watch is open", n)
	}
	g.list(ListFailed)
	gaps := []int{}
	for range 5 {
		start := g.now
		for watches(10*ms) == 0 {
		}
		gaps = append(gaps, int((g.now-start)/ms))
		g.list(ListFailed)
	}
	if gaps[4] <= gaps[0] || gaps[4] > 8000 {
		t.Errorf("gaps of %v ms between watches, want them to grow and stay within AskWithin", gaps)
	}
	set.Ask = false
	if g := start(t, set, hosts(1)...); len(g.advance(time.Minute)) != 0 {
		t.Error("a watch is sent although the list is pushed")
	}
}

// However long AskWithin is, a gateway requests the host list again soon after a watch failed: it
// must know a change at most 6 s after discovery has it and is reachable.
func TestLostListIsAskedForInTime(t *testing.T) {
	for _, within := range []time.Duration{2 * time.Second, 10 * time.Second, time.Minute} {
		set := testSettings()
		set.Ask, set.AskWithin = true, within
		g := start(t, set, hosts(1)...)
		for g.advance(ms); len(g.acts) == 0; g.advance(ms) {
		}
		for fails := range 20 {
			limit := 1200 * ms
			if fails > 0 {
				limit = 2400 * ms
			}
			g.list(ListFailed)
			if n := len(g.advance(limit + ms)); n == 0 {
				t.Fatalf("AskWithin %v, failure %d: no watch within %v", within, fails, limit)
			}
		}
	}
}

// When all watches of a fleet break at the same time, repeatedly, the instances spread their new
// watches over time instead of sending them together, and each sends its own within AskWithin.
func TestFleetAsksDiscoveryInTurn(t *testing.T) {
	const n, within = 80, 10 * time.Second
	var fleet []*gateway
	for rank := range n {
		set := testSettings()
		set.Ask, set.AskWithin, set.Instances, set.Rank = true, within, n, rank
		g := start(t, set, hosts(1)...)
		g.b.rng = uint64(rank)
		g.b.watching, g.b.watchFails = true, 0
		fleet = append(fleet, g)
	}
	for round := range 4 {
		calls := map[int]int{} // by tenths of a second
		for rank, g := range fleet {
			g.list(ListFailed)
			asked := false
			for tenth := 0; !asked && tenth < int(within/(100*ms)); tenth++ {
				for _, a := range g.advance(100 * ms) {
					if a.Kind == Watch {
						calls[tenth]++
						asked = true
					}
				}
			}
			if !asked {
				t.Errorf("round %d: instance %d sends no watch within %v", round, rank, within)
			}
		}
		for tenth, c := range calls {
			if c > n/3 {
				t.Errorf("round %d: %d of %d instances send a watch in the same tenth of a second, number %d", round, c, n, tenth)
			}
		}
	}
}
