package frostshift

import (
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Gateways with different views of the fleet together do not overload a cold host: the sum of the
// rates of those that use it stays under its budget. The views have the bounds that the peer
// registry guarantees: Max is at least the number of live instances, and Min at least half of the
// instances that it counts.
func TestColdBudgetsHoldWhileViewsDiffer(t *testing.T) {
	worst := 0.0
	rapid.Check(t, func(rt *rapid.T) {
		live := rapid.IntRange(2, 60).Draw(rt, "live")
		count := rapid.IntRange(max(4, live/2), 80).Draw(rt, "hosts")
		list := hosts(count)
		cold := rapid.IntRange(0, count-1).Draw(rt, "cold")
		list[cold].Started = time.Hour - time.Second
		offset := rapid.Float64Range(0, 0.999).Draw(rt, "offset")
		warm := rapid.Float64Range(5, 500).Draw(rt, "warm") // requests per second that a warm host serves
		sum, limit := 0.0, 0.0
		for n := range live {
			set := testSettings()
			set.Instances = live
			g := start(t, set, list...)
			maxLive := live + rapid.IntRange(0, live).Draw(rt, "more") // instances that failed or are partitioned off
			minLive := rapid.IntRange((live+1)/2, max((live+1)/2, maxLive-1)).Draw(rt, "least")
			_, position := math.Modf(offset + float64(n)/float64(live))
			g.b.servedRate, g.b.servedAt, g.b.servedFrom = warm, g.now, g.now-time.Hour
			g.b.Fleet(g.now, Fleet{Position: position, Min: minLive, Max: maxLive})
			h := g.b.byID[list[cold].ID]
			for i, x := range g.b.ring[:min(g.b.subsetSize, len(g.b.ring))] {
				if x == h && h.usableCold && i < g.b.subsetSize {
					sum += g.b.coldRate(h, time.Second)
				}
			}
			share := set.ColdFrom + (1-set.ColdFrom)/9
			limit = share * set.OverloadFactor * warm
		}
		if worst = max(worst, sum/limit); sum > limit {
			rt.Fatalf("%d gateways together send %.2f requests per second, %.2f overload the host", live, sum, limit)
		}
	})
	t.Logf("the highest load was %.2f of what overloads a host", worst)
}

// A view of the fleet sets the subset size by Min and the budgets and quotas by Max. An invalid view
// changes nothing.
func TestFleetNews(t *testing.T) {
	set := testSettings()
	set.Instances, set.Rank = 40, 7
	set.Tenants = []Tenant{{Quota: 400}}
	g := start(t, set, hosts(60)...)
	if g.b.subsetSize != 6 || g.b.quotas[0].rate != 10 {
		t.Fatalf("by the settings: %d hosts, quota of %v per second", g.b.subsetSize, g.b.quotas[0].rate)
	}
	before := g.b.fleetInfo
	for _, k := range []Fleet{{}, {Position: 1, Min: 1, Max: 1}, {Position: math.NaN(), Min: 1, Max: 1}, {Position: 0, Min: 3, Max: 2}, {Min: -1, Max: 5}} {
		if g.b.Fleet(g.now, k); g.b.fleetInfo != before {
			t.Errorf("the invalid view %+v is accepted", k)
		}
	}
	g.b.Fleet(g.now, Fleet{Position: 0.5, Min: 20, Max: 50})
	if g.b.subsetSize != 12 || g.b.fleetSize != 50 || g.b.quotas[0].rate != 8 || g.b.ring[0] != g.b.byPosition[30] {
		t.Errorf("by a view: %d hosts, %v instances share them, quota of %v per second", g.b.subsetSize, g.b.fleetSize, g.b.quotas[0].rate)
	}
	// Instances whose views agree only on the order of positions still use every host between them.
	used := map[HostID]bool{}
	for n := range 10 {
		g.b.Fleet(g.now, Fleet{Position: float64(n) / 10, Min: 5 + n, Max: 20})
		for _, h := range g.b.ring[:g.b.subsetSize] {
			used[h.ID] = true
		}
	}
	if len(used) != 60 {
		t.Errorf("%d of 60 hosts are used", len(used))
	}
}
