package shift

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// Two processes of one gateway send a key to the pool of its first try for its window, whichever of them gets which of
// its tries, and however the shares of both go on.
func TestKeysKeepTheirPoolOverAHandOver(t *testing.T) {
	for seed := range uint64(200) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			const window = 5 * time.Second
			r := rand.New(rand.NewPCG(seed, 1))
			p := plan()
			p.Window, p.Steps = window, []float64{0.2 + 0.6*r.Float64(), 1}
			now, wall := time.Hour, time.Unix(1000, 0)
			before := New(now, p)
			type key struct {
				hash uint64
				side Side
				at   Time
			}
			var keys []key
			place := func(m *Move, k *key) {
				u, err := m.Place(now, &Ask{Keyed: true, Key: k.hash, Draw: Draw(k.hash), Worth: 1, Aim: time.Second})
				switch {
				case err != nil: // nothing is sent
				case k.at == 0:
					k.side, k.at = u.Side, now
				case now-k.at < window && u.Side != k.side:
					t.Fatalf("a key goes to %v, and went to %v %v before", u.Side, k.side, now-k.at)
				}
			}
			processes := []*Move{before}
			handOver := now + Time(time.Duration(r.IntN(30)+1)*time.Second)
			gone := handOver + Time(time.Duration(r.IntN(12))*time.Second)
			for step := 0; now < gone+3*window; step++ {
				now += 50 * time.Millisecond
				wall = wall.Add(50 * time.Millisecond)
				if len(processes) == 1 && processes[0] == before && now >= handOver {
					s := before.HandOver(now, wall)
					if err := s.Check(); err != nil {
						t.Fatal(err)
					}
					processes = append(processes, TakeUp(now, p, &s, wall))
				}
				if len(processes) == 2 && now >= gone {
					processes = processes[1:]
					processes[0].Alone(now)
				}
				for _, m := range processes {
					m.Tick(now, fine, fine)
					m.Decisions()
					if m.Wants() && r.IntN(2) == 0 {
						s := m.Save(now, wall)
						m.Grant(now, &s)
					}
				}
				keys = append(keys, key{hash: r.Uint64() | 1})
				place(processes[r.IntN(len(processes))], &keys[len(keys)-1])
				for range 3 { // tries of keys of the last seconds
					k := &keys[max(0, len(keys)-1-r.IntN(60))]
					place(processes[r.IntN(len(processes))], k)
				}
			}
		})
	}
}
