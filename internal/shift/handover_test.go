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

// A process that takes over without the move, while the one before still deals keys by it: they ran in both pools.
func TestKeysKeepTheirPoolInAProcessWithoutTheMove(t *testing.T) {
	const window = 5 * time.Second
	p := plan()
	p.Window, p.Steps = window, []float64{0.5, 1}
	now, wall := time.Hour, time.Unix(1000, 0)
	before := New(now, p)
	deal := func(n int) map[uint64]Side {
		went := map[uint64]Side{}
		for i := range uint64(n) {
			key := (uint64(now) + i) * 0x9e3779b97f4a7c15
			if u, err := before.Place(now, &Ask{Keyed: true, Key: key, Draw: Draw(key), Worth: 1, Aim: time.Second}); err == nil {
				went[key] = u.Side
			}
		}
		return went
	}
	for end := now + 4*window; now < end; now += 50 * time.Millisecond {
		before.Tick(now, fine, fine)
		s := before.Save(now, wall)
		before.Grant(now, &s)
	}
	known := deal(200)
	s := before.HandOver(now, wall)
	after := TakeUpRetired(now, &s, wall)
	check := func(when string, went map[uint64]Side) {
		t.Helper()
		sides := [2]int{}
		for key, side := range went {
			sides[side]++
			pool, is, err := after.Pool(now, key, Draw(key))
			if err == nil && (!is || pool != after.PoolOf(side)) {
				t.Fatalf("%s: a key of %q belongs to %q (%t)", when, after.PoolOf(side), pool, is)
			}
		}
		if sides[OldPool] == 0 || sides[NewPool] == 0 {
			t.Fatalf("%s: keys went %v", when, sides)
		}
	}
	check("dealt before", known)
	for range 10 { // longer than a retired move lasts by itself
		now += 3 * window / 2
		check("dealt beside it", deal(200))
	}
	late := deal(200)
	after.Alone(now)
	now += window - 1
	check("dealt last", late)
	now += 2 * window
	if after.Lasts(now) {
		t.Error("it knows keys for good")
	}
}
