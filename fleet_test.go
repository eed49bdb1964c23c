package frostshift

import (
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Gateways whose views differ, each bound as the registry of peers promises (Most at least as many as live,
// Least at least half of what it counts), send a cold host together no more than makes it fall:
// the sum of their rates over those that use it stays under its budget.
func TestColdBudgetsHoldWhileViewsDiffer(t *testing.T) {
	worst := 0.0
	rapid.Check(t, func(rt *rapid.T) {
		live := rapid.IntRange(2, 60).Draw(rt, "live")
		count := rapid.IntRange(max(4, live/2), 80).Draw(rt, "hosts")
		list := hosts(count)
		cold := rapid.IntRange(0, count-1).Draw(rt, "cold")
		list[cold].Started = time.Hour - time.Second
		offset := rapid.Float64Range(0, 0.999).Draw(rt, "offset")
		warm := rapid.Float64Range(5, 500).Draw(rt, "warm") // requests a second that a warm host serves
		sum, limit := 0.0, 0.0
		for n := range live {
			set := basic()
			set.Instances = live
			g := start(t, set, list...)
			most := live + rapid.IntRange(0, live).Draw(rt, "more") // those that failed or are cut off
			least := rapid.IntRange((live+1)/2, max((live+1)/2, most-1)).Draw(rt, "least")
			_, place := math.Modf(offset + float64(n)/float64(live))
			g.b.servedRate, g.b.servedAt, g.b.servedFrom = warm, g.now, g.now-time.Hour
			g.b.Fleet(g.now, Fleet{Position: place, Min: least, Max: most})
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
			rt.Fatalf("%d gateways send %.2f a second together, %.2f makes the host fall", live, sum, limit)
		}
	})
	t.Logf("the most was %.2f of what makes a host fall", worst)
}

// A view changes the part of the hosts by the fewest and the budgets by the most, and what makes
// no sense changes nothing.
func TestFleetNews(t *testing.T) {
	set := basic()
	set.Instances, set.Rank = 40, 7
	set.Tenants = []Tenant{{Quota: 400}}
	g := start(t, set, hosts(60)...)
	if g.b.subsetSize != 6 || g.b.quotas[0].rate != 10 {
		t.Fatalf("typed: %d hosts, %v a second", g.b.subsetSize, g.b.quotas[0].rate)
	}
	before := g.b.fleetInfo
	for _, k := range []Fleet{{}, {Position: 1, Min: 1, Max: 1}, {Position: math.NaN(), Min: 1, Max: 1}, {Position: 0, Min: 3, Max: 2}, {Min: -1, Max: 5}} {
		if g.b.Fleet(g.now, k); g.b.fleetInfo != before {
			t.Errorf("%+v is taken", k)
		}
	}
	g.b.Fleet(g.now, Fleet{Position: 0.5, Min: 20, Max: 50})
	if g.b.subsetSize != 12 || g.b.fleetSize != 50 || g.b.quotas[0].rate != 8 || g.b.ring[0] != g.b.byPosition[30] {
		t.Errorf("by a view: %d hosts, %v share, %v a second", g.b.subsetSize, g.b.fleetSize, g.b.quotas[0].rate)
	}
	// Two that agree on nothing but the order of places still use every host between them.
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
