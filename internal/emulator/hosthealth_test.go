package emulator

import (
	"fmt"
	"testing"
	"time"

	"frostshift"
)

// troubled is a fleet of thin gateways, of which each sees a host once in some seconds, with trouble at
// an eighth of the hosts.
func troubled(seed uint64, gateways int, verdicts bool, t Trouble) Spec {
	hosts := make([]Host, 24)
	for i := range hosts {
		hosts[i] = Host{Cores: 2, Queue: 100, Speed: 1, Cold: 0.3, WarmIn: 3 * time.Second, Reuse: true, Keep: 8, Idle: time.Minute}
	}
	t.Hosts, t.From, t.Until = 0.125, 6*time.Second, 14*time.Second
	return Spec{Seed: seed, Length: 20 * time.Second, Gateways: gateways, Rate: float64(3 * gateways), Near: time.Millisecond, ListDelay: 300 * time.Millisecond,
		Cost: Cost{Kind: "lognormal", Mean: 30 * time.Millisecond, Shape: 0.8}, Clients: Clients{Tries: 3, Backoff: 50 * time.Millisecond}, Talk: &Talk{Detect: time.Second, Typed: gateways, Verdicts: verdicts},
		Pools: []PoolSpec{{Name: "hosts", Hosts: hosts}}, Troubles: []Trouble{t},
		Classes: []Class{{Name: "look", Part: 0.7, Class: frostshift.Class{Aim: 400 * time.Millisecond, Deadline: 1500 * time.Millisecond}}, {Name: "book", Part: 0.3, Class: frostshift.Class{Aim: 300 * time.Millisecond, Deadline: time.Second, Effect: frostshift.Unsafe, Worth: 5}}}}
}

// What gateways tell each other saves attempts at hosts that are dead or fail, costs nothing in worth,
// and breaks no rule: no cold host gets more than its budget, and nothing runs twice.
func TestVerdictsSpareAttempts(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		name    string
		trouble Trouble
		part    float64 // of the attempts in vain that are left at most
	}{
		{"dead", Trouble{Dead: true}, 0.4},
		{"fails one in five", Trouble{Errors: 0.2, Quick: true}, 1.05},
		{"silent", Trouble{Silent: true}, 0.65},
	} {
		var vain [2]int
		var worth [2]float64
		for seed := range uint64(4) {
			for i, verdicts := range []bool{false, true} {
				w, err := New(troubled(seed, 60, verdicts, c.trouble))
				if err != nil {
					t.Fatal(err)
				}
				w.Play(w.spec.Length, nil)
				vain[i] += w.Totals.Vain
				worth[i] += w.Totals.Worth / w.Totals.Asked
				if w.Totals.ColdLoad >= 1 || w.Totals.Twice > 0 {
					t.Errorf("%s, verdicts %v, seed %d: a cold host got %.2f of what makes it fall over, %d effects ran twice", c.name, verdicts, seed, w.Totals.ColdLoad, w.Totals.Twice)
				}
			}
		}
		text := fmt.Sprintf("%s: %d attempts in vain without and %d with verdicts, worth %.4f and %.4f", c.name, vain[0], vain[1], worth[0]/4, worth[1]/4)
		if t.Log(text); float64(vain[1]) > c.part*float64(vain[0]) || worth[1] < worth[0]-0.02 {
			t.Error(text)
		}
	}
}
