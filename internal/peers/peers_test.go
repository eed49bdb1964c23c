package peers

import (
	"fmt"
	"math"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

const s = time.Second

func name(n int) string { return fmt.Sprintf("g%d", n) }

// newFleet returns the registry of gateway 0 in a fleet of n gateways, which are all reported alive at
// time 0 and have a position after the Tick at 2 s.
func newFleet(n int, change func(*Config)) *Registry {
	cfg := Config{Self: Member{Name: name(0)}, Typed: 1}
	if change != nil {
		change(&cfg)
	}
	r := New(0, cfg)
	for i := 1; i < n; i++ {
		r.MarkAlive(0, Member{Name: name(i)})
	}
	r.Tick(2 * s)
	return r
}

func TestViews(t *testing.T) {
	type want struct {
		typed                    bool
		count, least, most, seen int
		side                     Side
	}
	for _, c := range []struct {
		name   string
		events func(r *Registry) time.Duration
		want   want
	}{
		{"all alive", func(r *Registry) time.Duration { return 61 * s }, want{false, 10, 10, 10, 10, Whole}},
		{"one suspected", func(r *Registry) time.Duration { r.MarkSuspected(61*s, name(3)); return 61 * s }, want{false, 10, 9, 10, 10, Whole}},
		{"one suspected that proves to be alive", func(r *Registry) time.Duration {
			r.MarkSuspected(61*s, name(3))
			r.MarkAlive(62*s, Member{Name: name(3)})
			return 62 * s
		}, want{false, 10, 10, 10, 10, Whole}},
		{"one failed keeps its position long enough for a restart", func(r *Registry) time.Duration { r.MarkGone(61*s, name(3), false, ""); return 70 * s }, want{false, 10, 9, 10, 9, Whole}},
		{"one failed loses its position", func(r *Registry) time.Duration { r.MarkGone(61*s, name(3), false, ""); return 71 * s }, want{false, 9, 9, 10, 9, Whole}},
		{"one failed no longer counts for Most after the window", func(r *Registry) time.Duration { r.MarkGone(61*s, name(3), false, ""); return 121 * s }, want{false, 9, 9, 9, 9, Whole}},
		{"one that announced its leave", func(r *Registry) time.Duration { r.MarkGone(61*s, name(3), true, ""); return 61 * s }, want{false, 9, 9, 10, 9, Whole}},
		{"... no longer counts for Most after the linger time", func(r *Registry) time.Duration { r.MarkGone(61*s, name(3), true, ""); return 66 * s }, want{false, 9, 9, 9, 9, Whole}},
		{"nine of ten lost at once keep their positions", func(r *Registry) time.Duration {
			for i := 1; i < 10; i++ {
				r.MarkGone(61*s, name(i), false, "")
			}
			return 100 * s
		}, want{false, 10, 5, 10, 1, Alone}},
		{"... for a window, then the configured values are used", func(r *Registry) time.Duration {
			for i := 1; i < 10; i++ {
				r.MarkGone(61*s, name(i), false, "")
			}
			return 122 * s
		}, want{true, 1, 1, 1, 1, Whole}},
		{"four in ten cut off", func(r *Registry) time.Duration {
			for i := 1; i < 5; i++ {
				r.MarkGone(61*s, name(i), false, "")
			}
			return 80 * s
		}, want{false, 10, 6, 10, 6, Majority}},
		{"six in ten cut off", func(r *Registry) time.Duration {
			for i := 1; i < 7; i++ {
				r.MarkGone(61*s, name(i), false, "")
			}
			return 80 * s
		}, want{false, 10, 5, 10, 4, Minority}},
		{"a new one has no position before the settle time", func(r *Registry) time.Duration { r.MarkAlive(61*s, Member{Name: "new"}); return 62 * s }, want{false, 10, 11, 11, 11, Whole}},
		{"... and gets one after two seconds", func(r *Registry) time.Duration { r.MarkAlive(61*s, Member{Name: "new"}); return 63 * s }, want{false, 11, 11, 11, 11, Whole}},
		{"one that flaps keeps its position", func(r *Registry) time.Duration {
			for i := range 60 {
				r.MarkGone(61*s+time.Duration(2*i)*s, name(3), false, "")
				r.Tick(61*s + time.Duration(2*i)*s)
				r.MarkAlive(62*s+time.Duration(2*i)*s, Member{Name: name(3)})
				r.Tick(62*s + time.Duration(2*i)*s)
			}
			return 182 * s
		}, want{false, 10, 10, 10, 10, Whole}},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := newFleet(10, nil)
			now := c.events(r)
			for at := 62 * s; at <= now; at += s {
				r.Tick(at)
			}
			r.Tick(now)
			v := r.View()
			if got := (want{v.Typed, v.Count, v.Least, v.Most, v.Reached, v.Side}); got != c.want {
				t.Errorf("%+v, want %+v", got, c.want)
			}
		})
	}
}

// The configured values are used until another gateway was reported alive and the settle time has
// passed. The configured number still bounds Most from below until a window has passed, because some
// members may not have been seen yet.
func TestTypedFigures(t *testing.T) {
	r := New(0, Config{Self: Member{Name: "a"}, Typed: 40, Place: 0.25})
	if v := r.View(); !v.Typed || v.Count != 40 || v.Least != 40 || v.Most != 40 || v.Place != 0.25 {
		t.Fatalf("no other gateway is alive: %+v", v)
	}
	r.MarkAlive(s, Member{Name: "b"})
	r.Tick(s)
	if v := r.View(); !v.Typed {
		t.Fatalf("before the settle time: %+v", v)
	}
	r.Tick(3 * s)
	if v := r.View(); v.Typed || v.Count != 2 || v.Most != 40 {
		t.Fatalf("after the settle time: %+v", v)
	}
	r.Tick(60 * s)
	if v := r.View(); v.Most != 2 {
		t.Fatalf("after a window: %+v", v)
	}
}

// For any events in any order, Least and Most bound the members that are reached, Place is at least 0
// and below 1, each member counts once, and the number of members that are kept stays limited.
func TestAnyEvents(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := newFleet(rapid.IntRange(1, 8).Draw(t, "members"), func(c *Config) { c.Most = 12 })
		now := 2 * s
		for range rapid.IntRange(0, 60).Draw(t, "events") {
			now += time.Duration(rapid.IntRange(0, 20000).Draw(t, "ms")) * time.Millisecond
			who := name(rapid.IntRange(0, 30).Draw(t, "who"))
			switch rapid.IntRange(0, 4).Draw(t, "event") {
			case 0:
				r.MarkAlive(now, Member{Name: who, Started: int64(now)})
			case 1:
				r.MarkSuspected(now, who)
			case 2:
				r.MarkGone(now, who, false, "")
			case 3:
				r.MarkGone(now, who, true, "")
			case 4:
				if next := r.Tick(now); next <= now {
					t.Fatalf("the next tick is due at %v, now %v", next, now)
				}
			}
			r.Tick(now)
			v, alive, certain := r.View(), 0, 0
			for _, m := range r.Members(now) {
				switch m.State {
				case Alive:
					alive, certain = alive+1, certain+1
				case Suspected:
					alive++
				}
			}
			if len(r.members) > 12 {
				t.Fatalf("%d members are kept", len(r.members))
			}
			if v.Reached != alive || v.Most < alive || v.Least > v.Most || v.Least < 1 || v.Count < 1 || !v.Typed && v.Least < certain && v.Least < v.Most {
				t.Fatalf("%d alive, %d certain: %+v", alive, certain, v)
			}
			if !(v.Place >= 0 && v.Place < 1) || v.Rank < 0 || v.Rank >= v.Count || v.Expected < v.Reached {
				t.Fatalf("%+v", v)
			}
		}
	})
}

// Members that agree on the fleet have evenly spaced positions, and removing one member moves no other
// by more than one position.
func TestPlacesMoveLittle(t *testing.T) {
	positions := func(n int, removed int) map[string]float64 {
		out := map[string]float64{}
		for self := range n {
			if self == removed {
				continue
			}
			r := New(0, Config{Self: Member{Name: name(self)}})
			for i := range n {
				if i != self && i != removed {
					r.MarkAlive(0, Member{Name: name(i)})
				}
			}
			r.Tick(3 * s)
			out[name(self)] = r.View().Place
		}
		return out
	}
	all, without17 := positions(40, -1), positions(40, 17)
	seen := map[int]bool{}
	for who, at := range all {
		seen[int(math.Round(at*40))] = true
		if to, ok := without17[who]; ok && math.Abs(to-at) > 1.0/39 {
			t.Errorf("%s moves from %.3f to %.3f", who, at, to)
		}
	}
	if len(seen) != 40 {
		t.Errorf("%d positions for 40 members", len(seen))
	}
}

// Clocks of members may be wrong by days, and a member may come back with an earlier start time. The
// views must be the same as with correct clocks.
func TestClocksOfOthersDoNotCount(t *testing.T) {
	views := func(off int64) (list []View) {
		r := newFleet(10, nil)
		for i, at := range []time.Duration{61 * s, 62 * s, 80 * s, 81 * s, 100 * s} {
			n := 3 + i%2
			if i%2 == 0 {
				r.MarkGone(at, name(n), false, "")
			} else {
				r.MarkAlive(at, Member{Name: name(n - 1), Started: off - off/2*int64(i), Most: 1})
			}
			r.Tick(at)
			list = append(list, r.View())
		}
		return list
	}
	want := views(0)
	for _, off := range []int64{-86_400_000, 86_400_000, math.MaxInt64, math.MinInt64} {
		if list := views(off); !slices.Equal(list, want) {
			t.Errorf("clocks off by %d ms: %+v, want %+v", off, list, want)
		}
	}
}
