package emulator

import (
	"fmt"
	"testing"
	"time"

	"frostshift"
)

// thin is many gateways before hosts of two cores, each of which sees a request now and then:
// work has a mean of 100 ms, the aim is six times that.
func thin(gateways, hosts int, load float64, troubles ...Trouble) Spec {
	list := make([]Host, hosts)
	for i := range list {
		list[i] = Host{Cores: 2, Queue: 100, Speed: 1, Reuse: true, Keep: 8, Idle: time.Minute}
	}
	return Spec{Seed: 1, Length: time.Minute, Gateways: gateways, Rate: load * float64(2*hosts) / 0.1, Near: time.Millisecond, ListDelay: 300 * time.Millisecond,
		Cost: Cost{Kind: "lognormal", Mean: 100 * time.Millisecond, Shape: 0.8}, Clients: Clients{Tries: 1}, Troubles: troubles,
		Pools:   []PoolSpec{{Name: "hosts", Hosts: list}},
		Classes: []Class{{Name: "lookup", Part: 1, Class: frostshift.Class{Aim: 600 * time.Millisecond, Deadline: 2 * time.Second}}}}
}

// Gateways that see next to nothing refuse nothing for chance and lay their load evenly, whatever
// the work, however unlike their own load is, and where their number is told wrong. Bounds are
// on fit hosts, from 3 s to 9 s; a host drawn at random has a spread of 1.
func TestLoadIsEvenThoughEachSeesLittle(t *testing.T) {
	t.Parallel()
	const s = time.Second
	with := func(spec Spec, change func(*Spec)) Spec {
		change(&spec)
		return spec
	}
	for _, day := range []struct {
		name    string
		spec    Spec
		refused float64 // most, as a part of requests
		spread  float64
		least   float64 // part of a host, over its fair one
		most    float64
		p99     float64 // ms
	}{
		{"20 gateways", thin(20, 40, 0.6), 0.002, 0.9, 0.5, 1.5, 560},
		{"100 gateways", thin(100, 40, 0.6), 0.002, 0.9, 0.6, 1.45, 620},
		{"300 gateways at three tenths", thin(300, 40, 0.3), 0.002, 1, 0.6, 1.45, 560},
		{"300 gateways", thin(300, 40, 0.6), 0.002, 1, 0.65, 1.35, 680},
		{"300 gateways, ten hosts", thin(300, 10, 0.6), 0.002, 1.1, 0.65, 1.35, 800},
		{"300 gateways, 200 hosts", thin(300, 200, 0.6), 0.003, 0.9, 0.45, 1.6, 560},
		{"work of wide spread", with(thin(300, 40, 0.6), func(s *Spec) { s.Cost.Shape = 1.2 }), 0.005, 1, 0.6, 1.4, 1300},
		{"work that is all alike", with(thin(300, 40, 0.6), func(s *Spec) { s.Cost = Cost{Kind: "fixed", Mean: 100 * time.Millisecond} }), 0.001, 1, 0.65, 1.35, 330},
		{"a skew of 1", with(thin(300, 40, 0.6), func(s *Spec) { s.Skew = 1 }), 0.005, 0.95, 0.5, 1.5, 640},
		{"a skew of 2", with(thin(100, 40, 0.6), func(s *Spec) { s.Skew = 2 }), 0.005, 0.95, 0.45, 1.5, 560},
		{"told half as many", with(thin(300, 40, 0.6), func(s *Spec) { s.Instances = 150 }), 0.002, 1, 0.5, 1.5, 720},
		{"told twice as many", with(thin(100, 40, 0.6), func(s *Spec) { s.Instances = 200 }), 0.002, 1, 0.5, 1.5, 640},
		{"seven in ten killed at once", thin(300, 40, 0.6, Trouble{Gateways: 0.7, From: 3 * s, Until: 4 * s}), 0.002, 1, 0.6, 1.45, 700},
		{"an eighth of the hosts fail one in five", thin(100, 40, 0.6, Trouble{Hosts: 0.125, Errors: 0.2}), 0.005, 1, 0.5, 1.5, 650},
	} {
		t.Run(day.name, func(t *testing.T) {
			if err := day.spec.Check(); err != nil {
				t.Fatal(err)
			}
			w, err := New(day.spec)
			if err != nil {
				t.Fatal(err)
			}
			w.Play(9*s, nil)
			bad := 0
			for i := range day.spec.Troubles {
				bad = int(day.spec.Troubles[i].Hosts*float64(len(day.spec.Pools[0].Hosts)) + 0.5)
			}
			e := w.Evenness(0, 3*s, 9*s, func(i int) bool { return i >= bad })
			if part := float64(w.Totals.RefusedOverall) / float64(w.Totals.Requests); part > day.refused {
				t.Errorf("%.4f of requests are refused, want %v at most", part, day.refused)
			}
			if e.Spread > day.spread || e.Least < day.least || e.Most > day.most || e.Idle > 2*s {
				t.Errorf("hosts get %.2f to %.2f of their parts, spread %.2f, none for %v; want %v to %v, %v", e.Least, e.Most, e.Spread, e.Idle, day.least, day.most, day.spread)
			}
			if p := w.Totals.Quantile(0.99); p > day.p99 {
				t.Errorf("p99 %.0f ms, want %v at most", p, day.p99)
			}
		})
	}
}

// A real crowd, 1.2 of what hosts can do for 5 s, sheds; two seconds after it is over nothing is
// refused any more, also by gateways that see a request or two a second.
func TestCrowdsEnd(t *testing.T) {
	for _, gateways := range []int{20, 100, 300} {
		t.Run(fmt.Sprint(gateways), func(t *testing.T) {
			spec := thin(gateways, 40, 0.5, Trouble{Load: 2.4, From: 2 * time.Second, Until: 7 * time.Second})
			var within, after, all int
			spec.Watch = func(y Try) {
				switch {
				case y.At > 9*time.Second:
					if all++; !y.Good {
						after++
					}
				case !y.Good:
					within++
				}
			}
			w, err := New(spec)
			if err != nil {
				t.Fatal(err)
			}
			w.Play(12*time.Second, nil)
			// An answer may be late for its own cost; those are a few in ten thousand.
			if after > all/1000 {
				t.Errorf("%d of %d are refused two seconds after the crowd", after, all)
			}
			if in := float64(w.Totals.InTime) / float64(w.Totals.Requests); within < 50 || in < 0.68 {
				t.Errorf("%d refused in the crowd, %.3f of all served in time", within, in)
			}
		})
	}
}

// One gateway with a request a minute sheds nothing and finds the host that took the place of a
// dead one.
func TestLoneThinGateway(t *testing.T) {
	spec := thin(1, 4, 0.001, Trouble{Hosts: 0.5, From: time.Hour, Dead: true, Gone: true})
	spec.Rate, spec.Instances, spec.Length = 1.0/60, 300, 5*time.Hour
	w, err := New(spec)
	if err != nil {
		t.Fatal(err)
	}
	w.Play(5*time.Hour, nil)
	if n := w.Totals; n.RefusedOverall+n.Failed > 1 || n.Requests < 200 {
		t.Errorf("%d of %d were refused, %d failed", n.RefusedOverall, n.Requests, n.Failed)
	}
}
