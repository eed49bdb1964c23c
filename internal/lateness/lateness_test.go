package lateness

import (
	"runtime"
	"runtime/metrics"
	"sync"
	"testing"
	"time"

	"frostshift/internal/fairqueue"
)

// A process whose goroutines keep others from the processor is seen to be late. The runtime times one wait in eight.
func TestLateGoroutinesAreSeen(t *testing.T) {
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	w := New(fairqueue.New(func() int { return 1 }))
	w.look(0)
	var all sync.WaitGroup
	for range 100 {
		all.Go(func() {
			for from := time.Now(); time.Since(from) < 300*time.Millisecond; {
			}
		})
	}
	all.Wait()
	w.look(0)
	if s := w.Recent(); s.Scheduler < notable {
		t.Errorf("the scheduler is held to be %v late", s.Scheduler)
	}
	if s, late := w.Since(); s.Worst() < notable || late != 1 {
		t.Errorf("%d looks were notable, the worst %v", late, s.Worst())
	}
}

// What a histogram held before is not taken for what has come since.
func TestOldLatenessIsNotSeenAgain(t *testing.T) {
	h := &metrics.Float64Histogram{Counts: []uint64{4, 2, 1}, Buckets: []float64{0, 0.001, 0.1, 1}}
	for _, c := range []struct {
		before []uint64
		want   time.Duration
	}{{[]uint64{4, 2, 1}, 0}, {[]uint64{4, 1, 1}, time.Millisecond}, {[]uint64{4, 2, 0}, 100 * time.Millisecond}, {nil, 0}} {
		if got := highest(h, c.before); got != c.want {
			t.Errorf("behind %v: %v, not %v", c.before, got, c.want)
		}
	}
}
