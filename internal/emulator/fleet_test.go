package emulator

import (
	"slices"
	"testing"
	"time"

	"frostshift"
)

// fleet is 60 hosts of a core that have all just started, and a load of 0.45 of what they do.
func fleet(gateways int, troubles ...Trouble) Spec {
	hosts := make([]Host, 60)
	for i := range hosts {
		hosts[i] = Host{Cores: 1, Queue: 100, Speed: 1, Cold: 0.4, WarmIn: 4 * time.Second, Connect: 5 * time.Millisecond, Reuse: true, Keep: 8, Idle: time.Minute}
	}
	return Spec{Seed: 1, Length: time.Minute, Gateways: gateways, Rate: 900, Near: time.Millisecond, ListDelay: 300 * time.Millisecond,
		Cost: Cost{Kind: "lognormal", Mean: 30 * time.Millisecond, Shape: 1}, Clients: Clients{Tries: 3, Backoff: 50 * time.Millisecond},
		Pools: []PoolSpec{{Name: "hosts", Hosts: hosts}}, Troubles: troubles,
		Classes: []Class{
			{Name: "lookup", Part: 0.7, Class: frostshift.Class{Aim: 380 * time.Millisecond, Deadline: 1340 * time.Millisecond}},
			{Name: "booking", Part: 0.3, Class: frostshift.Class{Aim: 130 * time.Millisecond, Deadline: 400 * time.Millisecond, Worth: 5, Effect: frostshift.Unsafe}},
		}}
}

// A fleet through what befalls it when it is large: hosts that are lost and return cold, are
// replaced while others fail, and most gateways killed and started within a second, alone and
// beside cold hosts. No cold host is over its budget, nothing runs twice, every request has its
// answer, and afterwards the load lies evenly on the hosts and is served.
func TestFleetThroughItsDays(t *testing.T) {
	t.Parallel()
	const s = time.Second
	for _, day := range []struct {
		name     string
		gateways int
		troubles []Trouble
		connects float64 // most connections opened a request from the trouble on
	}{
		{"two gateways beside hosts that are all cold", 2, nil, 0.05},
		{"a zone lost and back cold", 80, []Trouble{{Hosts: 0.33, From: 6 * s, Until: 8 * s, Dead: true, Gone: true}}, 0.073},
		{"six in ten replaced, one in five bad", 80, []Trouble{{Hosts: 0.6, From: 6 * s, Until: 7 * s, Dead: true, Gone: true}, {Hosts: 0.2, From: 6 * s, Errors: 0.3}}, 0.14},
		{"most gateways killed", 80, []Trouble{{Gateways: 0.7, From: 6 * s, Until: 7 * s}}, 0.03},
		{"most gateways killed beside cold hosts", 80, []Trouble{{Hosts: 0.33, From: 6 * s, Until: 8 * s, Dead: true, Gone: true}, {Gateways: 0.7, From: 7500 * time.Millisecond, Until: 8500 * time.Millisecond}}, 0.082},
	} {
		t.Run(day.name, func(t *testing.T) {
			spec := fleet(day.gateways, day.troubles...)
			if err := spec.Check(); err != nil {
				t.Fatal(err)
			}
			w, err := New(spec)
			if err != nil {
				t.Fatal(err)
			}
			w.Play(6*s, nil)
			cold, falls := w.Totals.ColdLoad, 0
			w.Reset()
			w.Play(8*s, nil) // all warm again
			n, first := &w.Totals, w.Totals
			cold = max(cold, n.ColdLoad)
			if most := day.connects * float64(n.Requests); float64(n.Connects) > most {
				t.Errorf("%d connections were opened, want %.0f at most", n.Connects, most)
			}
			w.Reset()
			w.Play(4*s, nil)
			got := []int{}
			for i, h := range w.Hosts(0) {
				failing := slices.ContainsFunc(day.troubles, func(t Trouble) bool { return t.Errors > 0 && float64(i) < t.Hosts*60 })
				if !failing { // one that fails is to get less
					got = append(got, h.Got)
				} else if h.Got == 0 {
					t.Error("a host that fails now and then gets nothing")
				}
				falls += h.Falls
			}
			if cold = max(cold, n.ColdLoad); cold >= 1 || falls > 0 {
				t.Errorf("a cold host got %.2f of what makes it fall over, %d fell", cold, falls)
			}
			if n.Twice+first.Twice > 0 {
				t.Errorf("%d effects ran twice", n.Twice+first.Twice)
			}
			if in := float64(n.InTime) / float64(n.Requests); in < 0.85 {
				t.Errorf("%.3f of requests are served in time once it is over", in)
			}
			if most, mean := slices.Max(got), n.Attempts/60; most > 2*mean || slices.Min(got)*2 < mean {
				t.Errorf("hosts get %d to %d requests, %d in the mean", slices.Min(got), most, mean)
			}
			for _, g := range w.gateways {
				for _, q := range g.open {
					if w.now > q.deadline {
						t.Fatal("a request is open past its deadline")
					}
				}
			}
		})
	}
}

func TestGatewayTroublesAreChecked(t *testing.T) {
	if s := fleet(2, Trouble{Gateways: 0.5}); s.Check() != nil {
		t.Fatal(s.Check())
	}
	for _, bad := range []Trouble{{Gateways: -0.1}, {Gateways: 1.1}, {Gateways: 0.5, Hosts: 0.5}, {Gateways: 0.5, Pool: "hosts"}} {
		if s := fleet(2, bad); s.Check() == nil {
			t.Errorf("%+v is taken", bad)
		}
	}
}
