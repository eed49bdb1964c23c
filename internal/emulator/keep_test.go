package emulator

import (
	"fmt"
	"testing"
	"time"
)

// Gateways that are killed and start anew, beside hosts that hang or are slow, serve more over the next ten seconds where
// they begin with what they had learned; they push no cold host over, also not one that started while they were away; and
// where all hosts are in order it costs nothing.
func TestLearningOutlivesAKill(t *testing.T) {
	t.Parallel()
	worth := func(keeps, wrong bool, seed uint64, part float64, troubles ...Trouble) float64 {
		s := troubled(seed, 60, false, Trouble{})
		s.Keeps, s.Length = keeps, 21*time.Second
		s.Troubles = append(troubles, Trouble{Gateways: part, From: 10 * time.Second, Until: 11 * time.Second})
		w, err := New(s)
		if err != nil {
			t.Fatal(err)
		}
		w.Play(10900*time.Millisecond, nil)
		if wrong { // each host is known by the figures of another
			for by, k := range w.kept {
				n := len(k.memory.Hosts)
				for i := range n / 2 {
					x, y := &k.memory.Hosts[i], &k.memory.Hosts[n-1-i]
					*x, *y = *y, *x
					x.ID, y.ID = y.ID, x.ID
					x.Started, y.Started = y.Started, x.Started
				}
				w.kept[by] = k
			}
		}
		got, of := w.Totals.Worth, w.Totals.Asked
		w.Play(10*time.Second, nil)
		if w.Totals.ColdLoad >= 1 || w.Totals.Twice > 0 {
			t.Errorf("keeps %v, seed %d: a cold host got %.2f of what makes it fall over, %d effects ran twice", keeps, seed, w.Totals.ColdLoad, w.Totals.Twice)
		}
		return (w.Totals.Worth - got) / (w.Totals.Asked - of)
	}
	bad := []Trouble{{Hosts: 0.125, Silent: true}, {Hosts: 0.25, Slow: 4}}
	for _, c := range []struct {
		name     string
		troubles []Trouble
		gain     float64 // at least
		wrong    bool
	}{
		{"hung and slow", bad, 0.005, false},
		{"hung and slow, and hosts are mixed up", bad, -0.02, true},
		{"in order", nil, -0.005, false},
		{"an eighth dies while they are away and is back cold", []Trouble{{Hosts: 0.125, Dead: true, From: 9 * time.Second, Until: 10500 * time.Millisecond}}, -0.01, false},
	} {
		var mean [2]float64
		for seed := range uint64(5) {
			for i, keeps := range []bool{false, true} {
				mean[i] += worth(keeps, c.wrong, seed, 0.9, c.troubles...) / 5
			}
		}
		text := fmt.Sprintf("%s: worth %.4f without and %.4f with what was learned", c.name, mean[0], mean[1])
		if t.Log(text); mean[1] < mean[0]+c.gain {
			t.Error(text)
		}
	}
}
