package emulator

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"reflect"
	"slices"
	"testing"
	"time"

	"frostshift"
	"frostshift/internal/shift"
	"pgregory.net/rapid"
)

var plain = Host{Cores: 4, Queue: 50, Speed: 1, Reuse: true, Keep: 100}

// small is a fleet of two pools, with load for a third of either.
func small(seed uint64) Spec {
	r := rand.New(rand.NewPCG(seed, 9))
	return Spec{Seed: seed, Gateways: 2, Pools: []PoolSpec{{"old", Fleet(plain, 4, 1, 1, r)}, {"new", Fleet(plain, 4, 1, 1, r)}},
		Classes: []Class{{"lookup", 0.8, frostshift.Class{Aim: 200 * time.Millisecond, Deadline: time.Second}},
			{"booking", 0.1, frostshift.Class{Aim: 300 * time.Millisecond, Deadline: time.Second, Effect: frostshift.Keyed, Window: 30 * time.Second}},
			{"pickup", 0.1, frostshift.Class{Aim: 300 * time.Millisecond, Deadline: time.Second, Effect: frostshift.Unsafe}}},
		Length: time.Minute, Rate: 200, Cost: Cost{"lognormal", 20 * time.Millisecond, 1}, Clients: Clients{3, 50 * time.Millisecond}, Near: time.Millisecond, Far: 4 * time.Millisecond}
}

func steps() *shift.Plan {
	return &shift.Plan{Name: "m", From: "old", To: "new", Steps: []float64{0.1, 0.5, 1}, Least: 10 * time.Second, Longest: 5 * time.Minute, Tolerate: shift.DefaultTolerate,
		Margin: shift.DefaultMargin, Error: shift.DefaultError, Worst: shift.DefaultWorst, Keep: shift.DefaultKeep, Window: 31 * time.Second}
}

func play(t testing.TB, s Spec) *World {
	t.Helper()
	if err := s.Check(); err != nil {
		t.Fatal(err)
	}
	w, err := New(s)
	if err != nil {
		t.Fatal(err)
	}
	w.Play(s.Length, nil)
	return w
}

// The same seed gives the same run, another one another.
func TestSameSeedSameRun(t *testing.T) {
	s := small(1)
	s.Move = steps()
	s.Believe = true
	s.ListDelay = 300 * time.Millisecond
	s.Teams = []Team{{Name: "a", Part: 0.5, Share: 0.5}, {Name: "b", Part: 0.5, Share: 0.5}}
	s.Troubles = []Trouble{{Pool: "old", Hosts: 0.25, From: 20 * time.Second, Until: 30 * time.Second, Dead: true}, {Pool: "new", Tail: 0.02, TailBy: time.Second}}
	var all []Totals
	for _, seed := range []uint64{1, 1, 2} {
		s.Seed = seed
		all = append(all, play(t, s).Totals)
	}
	if !reflect.DeepEqual(all[0], all[1]) {
		t.Errorf("one seed, two runs:\n%+v\n%+v", all[0], all[1])
	}
	if reflect.DeepEqual(all[0], all[2]) {
		t.Error("another seed, the same run")
	}
}

// A fleet with room serves nearly all in time, and what is not served is accounted for.
func TestCalmFleet(t *testing.T) {
	w := play(t, small(2))
	x := &w.Totals
	if rate := float64(x.Requests) / 60; rate < 190 || rate > 210 {
		t.Errorf("%.0f requests a second", rate)
	}
	if float64(x.InTime) < 0.98*float64(x.Requests) || x.Twice > 0 {
		t.Errorf("%+v", *x)
	}
	if open := x.Requests - x.InTime - x.Late - x.Failed - x.RefusedOverall; open < 0 || open > 100 {
		t.Errorf("%d requests have no end: %+v", open, *x)
	}
}

// Work is what queueing theory says: one host, one core, exponential work at half of what it
// can do. The mean time in it is twice the mean work (M/M/1).
func TestQueueing(t *testing.T) {
	s := Spec{Seed: 4, Gateways: 1, Pools: []PoolSpec{{"p", []Host{{Cores: 1, Queue: 1000, Speed: 1, Reuse: true, Keep: 1000}}}},
		Classes: []Class{{"c", 1, frostshift.Class{Aim: 10 * time.Second, Deadline: 20 * time.Second}}}, Length: 20 * time.Minute, Rate: 50, Cost: Cost{"exponential", 10 * time.Millisecond, 0}}
	var sum time.Duration
	n := 0
	s.Watch = func(x Try) { sum += x.Took; n++ }
	w := play(t, s)
	if mean := sum.Seconds() / float64(n); mean < 0.018 || mean > 0.022 {
		t.Errorf("the mean time is %.4f s over %d, want 0.02", mean, n)
	}
	if busy := w.Hosts(0)[0].Busy.Seconds() / 1200; busy < 0.48 || busy > 0.52 {
		t.Errorf("it works %.3f of its time, want 0.5", busy)
	}
}

// In each trouble: no effect happens twice, and every request has an end.
func TestTroublesKeepTheRules(t *testing.T) {
	t.Parallel()
	for i, x := range []Trouble{
		{Pool: "new", Errors: 0.3}, {Pool: "new", Growth: 0.01}, {Pool: "new", Silent: true, From: 20 * time.Second}, {Pool: "new", Dead: true, From: 25 * time.Second, Until: 40 * time.Second},
		{Pool: "old", Hosts: 0.5, Dead: true, From: 30 * time.Second}, {Pool: "new", Gone: true, From: 20 * time.Second, Until: 30 * time.Second}, {Pool: "new", Slow: 8, From: 15 * time.Second},
		{Pool: "new", Retries: true, Errors: 0.9}, {Errors: 0.3, From: 20 * time.Second, Until: 30 * time.Second}, {Pool: "new", Tail: 0.1, TailBy: 2 * time.Second}, {Pool: "new", Costly: true, Errors: 0.8}, {Pool: "new", Errors: 0.2, Quick: true},
	} {
		s := small(uint64(i + 10))
		s.Move = steps()
		s.Troubles = []Trouble{x}
		w := play(t, s)
		if w.Totals.Twice > 0 {
			t.Errorf("%+v: %d effects ran twice", x, w.Totals.Twice)
		}
		if open := w.Totals.Requests - w.Totals.InTime - w.Totals.Late - w.Totals.Failed - w.Totals.RefusedOverall; open < 0 || open > 450 {
			t.Errorf("%+v: %d requests have no end", x, open)
		}
	}
}

// A pool that fails is left, on the figures of the gateway's own requests.
func TestMoveComesBack(t *testing.T) {
	s := small(5)
	s.Gateways = 1
	s.Move = steps()
	s.Length = 3 * time.Minute
	s.Troubles = []Trouble{{Pool: "new", Errors: 0.5, From: 30 * time.Second}}
	w := play(t, s)
	list := w.Decisions(0)
	if m := w.Moves()[0]; m.State() != shift.Undone || list[len(list)-1].At > time.Minute {
		t.Errorf("%v at %v", m.State(), list)
	}
}

// Both pools cold at once: neither the steps nor the way back push a host over.
func TestNoHostFallsOver(t *testing.T) {
	s := small(6)
	s.Move = steps()
	for p := range s.Pools {
		for h := range s.Pools[p].Hosts {
			s.Pools[p].Hosts[h].Cold, s.Pools[p].Hosts[h].WarmIn = 0.2, 30*time.Second
		}
	}
	s.Rate = 100
	s.Length = 2 * time.Minute
	s.Troubles = []Trouble{{Pool: "new", Errors: 0.9, From: 40 * time.Second}, {Pool: "old", Hosts: 0.5, Dead: true, From: 39 * time.Second, Until: 45 * time.Second}}
	w := play(t, s)
	falls := 0
	for p := range s.Pools {
		for _, h := range w.Hosts(p) {
			falls += h.Falls
		}
	}
	if falls > 0 {
		t.Errorf("%d hosts fell over", falls)
	}
}

func TestSpecsAreChecked(t *testing.T) {
	for i, change := range []func(*Spec){
		func(s *Spec) { s.Gateways = 0 }, func(s *Spec) { s.Pools = nil }, func(s *Spec) { s.Classes = nil }, func(s *Spec) { s.Length = 0 }, func(s *Spec) { s.Rate = -1 },
		func(s *Spec) { s.Cost.Kind = "x" }, func(s *Spec) { s.Cost = Cost{"pareto", time.Second, 1} }, func(s *Spec) { s.Pools[0].Hosts[0].Cores = 0 },
		func(s *Spec) { s.Move = steps(); s.Move.To = "x" },
	} {
		s := small(1)
		if change(&s); s.Check() == nil {
			t.Errorf("change %d passes", i)
		}
	}
}

// The queue gives events by time, and those of one time in their order.
func TestQueue(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		var q queue
		type item struct {
			at Time
			n  int
		}
		var want, got []item
		for i, at := range rapid.SliceOf(rapid.IntRange(0, 20)).Draw(rt, "times") {
			x := item{Time(at), i}
			want = append(want, x)
			q.push(x.at, func() { got = append(got, x) })
			if at == 7 && len(q.list) > 0 { // some are taken in between
				e := q.pop()
				e.do()
				x := got[len(got)-1]
				got = got[:len(got)-1]
				want = slices.DeleteFunc(want, func(y item) bool { return y == x })
			}
		}
		slices.SortStableFunc(want, func(x, y item) int { return int(x.at - y.at) })
		for len(q.list) > 0 {
			q.pop().do()
		}
		if !slices.Equal(got, want) {
			rt.Fatalf("%v, want %v", got, want)
		}
	})
}

func (e event) String() string { return fmt.Sprint(e.at) }

// plainHeap is container/heap over the same events.
type plainHeap []event

func (h plainHeap) Len() int           { return len(h) }
func (h plainHeap) Less(i, j int) bool { return h[i].before(&h[j]) }
func (h plainHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *plainHeap) Push(x any)        { *h = append(*h, x.(event)) }
func (h *plainHeap) Pop() any {
	old := *h
	x := old[len(old)-1]
	*h = old[:len(old)-1]
	return x
}

// The queue beside container/heap, with 100,000 events that wait.
func BenchmarkQueue(b *testing.B) {
	const waiting = 100_000
	b.Run("ours", func(b *testing.B) {
		var q queue
		r := rand.New(rand.NewPCG(1, 1))
		for range waiting {
			q.push(Time(r.IntN(1e9)), nil)
		}
		b.ReportAllocs()
		for b.Loop() {
			e := q.pop()
			q.push(e.at+Time(r.IntN(1e9)), nil)
		}
	})
	b.Run("container-heap", func(b *testing.B) {
		var q plainHeap
		r := rand.New(rand.NewPCG(1, 1))
		for i := range waiting {
			heap.Push(&q, event{at: Time(r.IntN(1e9)), seq: uint64(i)})
		}
		b.ReportAllocs()
		for i := 0; b.Loop(); i++ {
			e := heap.Pop(&q).(event)
			heap.Push(&q, event{at: e.at + Time(r.IntN(1e9)), seq: uint64(i)})
		}
	})
}

// 1,000 hosts and 100 gateways; the figure is virtual seconds a second.
func BenchmarkFleet(b *testing.B) {
	r := rand.New(rand.NewPCG(1, 1))
	s := Spec{Seed: 1, Gateways: 100, Pools: []PoolSpec{{"p", Fleet(plain, 1000, 3, 1, r)}}, Classes: []Class{{"c", 1, frostshift.Class{Aim: 200 * time.Millisecond, Deadline: time.Second}}},
		Length: time.Hour, Rate: 20_000, Cost: Cost{"lognormal", 20 * time.Millisecond, 1}, Clients: Clients{2, 50 * time.Millisecond}, Near: time.Millisecond, Far: 4 * time.Millisecond}
	w, err := New(s)
	if err != nil {
		b.Fatal(err)
	}
	w.Play(time.Second, nil)
	begin, at := time.Now(), w.Now()
	for b.Loop() {
		w.Play(100*time.Millisecond, nil)
	}
	b.ReportMetric((w.Now()-at).Seconds()/time.Since(begin).Seconds(), "virtual-s/s")
	b.ReportMetric(float64(w.Totals.InTime)/float64(w.Totals.Requests), "in-time")
}
