package shift

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

// A sound pool gets all of the traffic, step by step, and no step is shorter than it may be.
func TestMoves(t *testing.T) {
	w := newWorld(plan(), 1)
	w.play(20*time.Minute, Done)
	if w.m.State() != Done {
		t.Fatalf("%v after 20 minutes: %+v", w.m.State(), w.last())
	}
	var steps []int
	for i, d := range w.log {
		steps = append(steps, d.Step)
		if i > 1 && d.At-w.log[i-1].At < 10*time.Second {
			t.Errorf("step %d was held for %v", d.Step, d.At-w.log[i-1].At)
		}
	}
	if !slices.Equal(steps, []int{0, 1, 2, 2}) {
		t.Errorf("steps %v", steps)
	}
	w.play(time.Minute)
	if w.m.Share() != 1 {
		t.Errorf("the share is %v", w.m.Share())
	}
}

// Each kind of fall is found and undone; what is no fall of the new pool is not.
func TestFalls(t *testing.T) {
	one := func(bad func(w *world, s Side, class int, retry bool) bool) func(*world) {
		return func(w *world) { w.bad = bad }
	}
	base := func(w *world) bool { return w.r.Float64() < 0.01 }
	begin := func(w *world) float64 { return (w.now - time.Hour).Seconds() }
	for _, c := range []struct {
		name   string
		set    func(*world)
		undone bool
		cause  Cause
	}{
		{"0.2% more errors a second", func(w *world) {
			w.retries = false
			w.bad = func(w *world, s Side, _ int, _ bool) bool {
				return base(w) || s == NewPool && w.r.Float64() < 0.002*begin(w)
			}
		}, true, Fell},
		{"all at once", one(func(w *world, s Side, _ int, _ bool) bool { return base(w) || s == NewPool && begin(w) > 15 }), true, Fell},
		{"one class alone", one(func(w *world, s Side, class int, _ bool) bool {
			return base(w) || s == NewPool && class == 1 && w.r.Float64() < 0.2
		}), true, Fell},
		{"first tries alone, whose retries are served in time", one(func(w *world, s Side, _ int, retry bool) bool {
			return base(w) || s == NewPool && !retry && w.r.Float64() < 0.2
		}), false, 0},
		{"retries alone", one(func(w *world, s Side, _ int, retry bool) bool {
			return !retry && w.r.Float64() < 0.15 || s == NewPool && retry
		}), true, Fell},
		{"errors that are quick", func(w *world) {
			w.bad = func(w *world, s Side, _ int, _ bool) bool { return base(w) || s == NewPool && w.r.Float64() < 0.3 }
			w.slow = func(_ *world, s Side) time.Duration {
				if s == NewPool {
					return time.Millisecond
				}
				return 50 * time.Millisecond
			}
		}, true, Fell},
		{"slow in the tail alone", func(w *world) {
			w.slow = func(w *world, s Side) time.Duration {
				if s == NewPool && w.r.Float64() < 0.04 {
					return 3 * time.Second
				}
				return 10 * time.Millisecond
			}
		}, true, Fell},
		{"costly requests alone", func(w *world) {
			w.work = func(key uint64) time.Duration {
				if key == 7 {
					return 200 * time.Millisecond
				}
				return 10 * time.Millisecond
			}
			w.bad = func(w *world, s Side, _ int, _ bool) bool {
				return base(w) || s == NewPool && w.cost == 7 && begin(w) > 5
			}
		}, true, Fell},
		{"only while it is cold", one(func(w *world, s Side, _ int, _ bool) bool {
			return base(w) || s == NewPool && begin(w) < 30 && w.r.Float64() < 0.4
		}), true, Fell},
		{"a team that floods the new pool, and is turned away by its contract", func(w *world) {
			w.rate = 1000
			w.bad = func(w *world, s Side, _ int, _ bool) bool { return base(w) || s == NewPool && w.cost > 2 }
			w.void = func(_ *world, e *ending) bool { return e.u.Side == NewPool && e.ask.Cost > 2 }
		}, false, 0},
		{"no host is left", func(w *world) {
			w.play(15 * time.Second)
			w.to.Ready = false
		}, true, Gone},
		{"both fall at the same time", one(func(w *world, _ Side, _ int, _ bool) bool {
			return base(w) || begin(w) > 15 && begin(w) < 60 && w.r.Float64() < 0.5
		}), false, 0},
		{"the old one alone falls", one(func(w *world, s Side, _ int, _ bool) bool {
			return base(w) || s == OldPool && begin(w) > 15 && w.r.Float64() < 0.05
		}), false, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			w := newWorld(plan(), 3)
			c.set(w)
			w.play(20*time.Minute, Undone, Done)
			d := Decision{}
			for _, x := range w.log {
				if x.To == Undoing {
					d = x
				}
			}
			if (d.To == Undoing) != c.undone || c.undone && d.Cause != c.cause {
				t.Fatalf("%v, undone by %v: %+v", w.m.State(), d.Cause, w.last())
			}
			if c.undone && (w.m.State() != Undone || w.m.Share() != 0) {
				t.Errorf("%v at %v", w.m.State(), w.m.Share())
			}
			t.Logf("%v after %v", w.last().To, w.last().At-time.Hour)
		})
	}
}

// Where both lose much nothing is advanced, and it goes on when that is over.
func TestCommonTroubleHolds(t *testing.T) {
	w := newWorld(plan(), 5)
	w.bad = func(w *world, _ Side, _ int, _ bool) bool { return w.r.Float64() < 0.6 }
	w.play(5 * time.Minute)
	if w.m.State() != Held || w.m.Step() != 0 {
		t.Errorf("%v at step %d", w.m.State(), w.m.Step())
	}
	w.bad = func(*world, Side, int, bool) bool { return false }
	w.play(20*time.Minute, Done)
	if w.m.State() != Done {
		t.Errorf("%v at step %d", w.m.State(), w.m.Step())
	}
}

// Too little traffic to tell: it is halted at the step, or goes on where the plan says so.
func TestDoubt(t *testing.T) {
	for _, on := range []OnDoubt{HaltInDoubt, AdvanceInDoubt} {
		p := plan()
		p.OnDoubt = on
		m := New(time.Hour, p)
		now := time.Hour
		for i := range 360_000 / 10 { // ten hours, 100 requests an hour
			now += time.Second
			if i%36 == 0 {
				u, _ := m.Place(now, &Ask{Key: uint64(i + 1), Worth: 1, Aim: time.Second, Draw: float64(i%97) / 97})
				m.Ended(now+time.Millisecond, &u, End{Good: true})
			}
			m.Tick(now, fine, fine)
		}
		list := m.Decisions()
		switch d := list[len(list)-1]; {
		case on == HaltInDoubt && (d.To != Halted || d.Cause != Doubted || m.Step() != 0):
			t.Errorf("halt: %+v", d)
		case on == AdvanceInDoubt && d.To != Done:
			t.Errorf("advance: %+v", d)
		}
	}
}

// A move goes back no faster than the old pool can take it, and never beyond its room.
func TestUndoFollowsRoom(t *testing.T) {
	w := newWorld(plan(), 9)
	w.play(20*time.Minute, Done)
	w.play(time.Minute)
	if err := w.m.Tell(w.now, Back); err != nil {
		t.Fatal(err)
	}
	// Half of the old pool's hosts are gone: it can hold one request at a time, and 200 a second
	// of 10 ms are two.
	w.from = Pool{Ready: true, Capacity: 1}
	before := 1.0
	for range 600 {
		share := w.m.Share()
		w.from.Open = (1 - share) * 2
		w.play(100 * time.Millisecond)
		if got := w.m.Share(); before-got > 0.1*(leastAdd+growth*(1-got)) {
			t.Fatalf("the share fell from %v to %v in a tick", before, got)
		}
		before = w.m.Share()
		if (1-before)*2 > 1 {
			t.Fatalf("%.2f of the traffic went back to a pool with room for half of it", 1-before)
		}
	}
	if w.m.State() != Undoing || before < 0.5 || before > 0.7 {
		t.Errorf("%v at %v: it waits where the old pool is full", w.m.State(), before)
	}
	w.from = fine
	w.play(time.Minute, Undone)
	if w.m.State() != Undone {
		t.Errorf("%v", w.m.State())
	}
}

// Where all hosts of the new pool are cold, no more goes there than they may get, and the step
// is reached as they warm up.
func TestColdPoolIsPaced(t *testing.T) {
	w := newWorld(plan(), 11)
	w.to.Pace = 4
	w.play(time.Minute)
	if share := w.m.Share(); share <= 0 || share*200 > 4 {
		t.Errorf("%.2f requests a second go to a pool that may get 4", share*200)
	}
	w.to.Pace = 0
	w.play(20*time.Minute, Done)
	if w.m.State() != Done {
		t.Errorf("%v", w.m.State())
	}
}

// What is remembered comes back at most at the step it had, whatever the file's fate.
func TestRestore(t *testing.T) {
	p := plan()
	p.Window = time.Minute
	wall := time.Unix(1_800_000_000, 0)
	for _, until := range []State{Prepared, Held, Halted, Undoing, Undone, Done} {
		w := newWorld(p, 2)
		switch until {
		case Prepared:
			w.to.Ready = false
			w.play(time.Second)
		case Done:
			w.play(20*time.Minute, Done)
		default:
			w.play(30 * time.Second)
			if until == Halted {
				w.m.Tell(w.now, Pause)
			} else if until != Held {
				w.m.Tell(w.now, Back)
				if until == Undone {
					w.play(time.Minute, Undone)
				}
			}
		}
		if w.m.State() != until {
			t.Fatalf("%v, want %v", w.m.State(), until)
		}
		s := w.m.Save(w.now, wall)
		if err := s.Check(); err != nil {
			t.Fatal(err)
		}
		m := Restore(0, p, &s, wall.Add(time.Minute), true)
		if m.State() != until || m.Step() != w.m.Step() || m.Share() > w.m.Share() {
			t.Errorf("%v: came back as %v, step %d, share %v", until, m.State(), m.Step(), m.Share())
		}
		other := p
		other.Steps = []float64{0.05, 0.3, 1}
		m = Restore(0, other, &s, wall, true)
		if m.Share() != s.Share || s.Share > 0 && m.State() != Held {
			t.Errorf("%v: another plan begins %v at %v, not at %v", until, m.State(), m.Share(), s.Share)
		}
	}
}

// What a damaged file could say is turned down.
func TestSavedIsChecked(t *testing.T) {
	w := newWorld(plan(), 2)
	w.play(30 * time.Second)
	for i, change := range []func(*Saved){
		func(s *Saved) { s.State = 9 }, func(s *Saved) { s.Step = 3 }, func(s *Saved) { s.Step = -2 }, func(s *Saved) { s.Share = 1.5 }, func(s *Saved) { s.High = -1 },
		func(s *Saved) { s.At = time.Time{} }, func(s *Saved) { s.Held = -1 }, func(s *Saved) { s.Plan.Steps = nil }, func(s *Saved) { s.Dealt = []SavedSpan{{Low: 1, High: 0}} },
		func(s *Saved) { s.KeysNow = make([]byte, 8*mostSavedKeys+8) },
	} {
		s := w.m.Save(w.now, time.Unix(1, 0))
		if change(&s); s.Check() == nil {
			t.Errorf("change %d passes", i)
		}
	}
}

// A share that never rests is remembered in bounded room, and all that it was is in it.
func TestHistoryIsBounded(t *testing.T) {
	p := plan()
	p.Window = 24 * time.Hour
	m := New(0, p)
	now := Time(0)
	for i := range 10 * mostHistory {
		now += 2 * time.Second
		m.granted = span{0, 1}
		m.SetShare(0.1 + 0.4*float64(i%7)/7)
		m.keys.pinUntil = 0
		m.dealt(now)
	}
	low, high := 1.0, 0.0
	for _, h := range m.history {
		low, high = min(low, h.low), max(high, h.high)
	}
	if len(m.history) > mostHistory || low > 0 || high < 0.4 {
		t.Errorf("%d spans from %v to %v", len(m.history), low, high)
	}
	if s := m.Save(now, time.Unix(1, 0)); s.Check() != nil {
		t.Error(s.Check())
	}
}

// The table of transitions has no two lines for one state and cause, each state can be left
// or is an end, and what it does not have does not happen.
func TestTransitions(t *testing.T) {
	seen := map[string]bool{}
	for _, x := range transitions {
		if key := fmt.Sprint(x.from, x.cause); seen[key] {
			t.Errorf("two lines for %v, %v", x.from, x.cause)
		} else {
			seen[key] = true
		}
	}
	m := New(0, plan())
	for _, c := range []Cause{Resume, Proved, Empty} {
		if m.Tell(0, c) == nil {
			t.Errorf("a move that is prepared takes %v", c)
		}
	}
	if m.Tell(0, Pause) != nil || m.State() != Halted || m.Tell(0, Resume) != nil || m.State() != Prepared {
		t.Errorf("paused and resumed before its begin it is %v", m.State())
	}
	if m.Tell(0, Back) != nil || m.State() != Undone || m.Tell(0, Resume) == nil {
		t.Errorf("undone before its begin it is %v", m.State())
	}
}

func BenchmarkUnit(b *testing.B) {
	for _, keyed := range []bool{false, true} {
		b.Run(fmt.Sprintf("keyed=%v", keyed), func(b *testing.B) {
			p := plan()
			p.Window = time.Minute
			m := New(time.Hour, p)
			for range 100 {
				m.Tick(time.Hour, fine, fine)
			}
			m.begin(time.Hour, 0.1)
			m.granted = span{0, 1}
			now := time.Hour
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				now += 100 * time.Microsecond
				key := uint64(i) * 0x9e3779b97f4a7c15
				a := Ask{Key: key, Named: keyed, Keyed: keyed, Class: i & 3, Worth: 1, Aim: time.Second, Cost: key, Draw: Draw(key)}
				u, _ := m.Place(now, &a)
				m.Ended(now, &u, End{Good: true, Work: time.Millisecond})
			}
		})
	}
}
