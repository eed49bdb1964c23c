package emulator

import (
	"fmt"
	"testing"
	"time"
)

// Gateways that tell each other what they have out at hosts spread their load nearly as one that sees all
// of it; where what they tell is old, or a part of it is lost, they do as well as without, and no cold host
// gets more than its budget.
func TestToldLoadIsEven(t *testing.T) {
	t.Parallel()
	type result struct{ p99, spread, refused, cold float64 }
	day := func(load bool, way time.Duration, lost float64, troubles ...Trouble) (r result) {
		const seeds = 2
		for seed := range uint64(seeds) {
			s := thin(100, 40, 0.6, troubles...)
			s.Seed = seed
			for i := range s.Pools[0].Hosts {
				s.Pools[0].Hosts[i].Cold, s.Pools[0].Hosts[i].WarmIn = 0.3, 2*time.Second
			}
			s.Talk = &Talk{Detect: time.Second, Typed: 100, Load: load, Way: way, Lost: lost}
			w, err := New(s)
			if err != nil {
				t.Fatal(err)
			}
			w.Play(12*time.Second, nil)
			r.p99 += w.Totals.Quantile(0.99) / seeds
			r.spread += w.Evenness(0, 5*time.Second, 12*time.Second, nil).Spread / seeds
			r.refused += float64(w.Totals.RefusedOverall) / float64(w.Totals.Requests) / seeds
			r.cold = max(r.cold, w.Totals.ColdLoad)
		}
		return r
	}
	slow := Trouble{Hosts: 0.125, From: 4 * time.Second, Until: time.Minute, Slow: 4}
	lost := Trouble{Hosts: 0.3, From: 4 * time.Second, Until: 6 * time.Second, Dead: true}
	for _, c := range []struct {
		name        string
		way         time.Duration
		lost        float64
		trouble     []Trouble
		p99, spread float64 // at most, over what they are where nothing is told
	}{
		{"fresh", time.Millisecond, 0, nil, 0.97, 0.85},
		{"a tenth is lost", time.Millisecond, 0.1, nil, 0.99, 0.9},
		{"half a second old", 500 * time.Millisecond, 0, nil, 1.05, 1.1},
		{"an eighth slow by 4", time.Millisecond, 0, []Trouble{slow}, 1, 0.95},
		{"three in ten lost and back cold", time.Millisecond, 0, []Trouble{lost}, 1.05, 1.05},
	} {
		without, with := day(false, 0, 0, c.trouble...), day(true, c.way, c.lost, c.trouble...)
		text := fmt.Sprintf("%s: without %+v, with %+v", c.name, without, with)
		t.Log(text)
		if with.p99 > c.p99*without.p99 || with.spread > c.spread*without.spread || with.refused > without.refused+0.002 || with.cold >= 1 {
			t.Error(text)
		}
	}
}
