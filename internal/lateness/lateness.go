// Package lateness tells how late a process is with its own work: how long goroutines that are ready wait for a
// processor, how late a timer is, and how long peers wait for their turns (package fairqueue). What clients see as a
// late answer can come from any of these without a host or a lock being slow.
package lateness

import (
	"context"
	"log/slog"
	"math"
	"runtime/metrics"
	"sync"
	"time"

	"frostshift/internal/eventlog"
	"frostshift/internal/fairqueue"
)

const (
	// every is how often the process is looked at.
	every = 100 * time.Millisecond
	// notable is the lateness that gets a line in the log.
	notable = 50 * time.Millisecond
	// kept is how many looks Recent covers.
	kept = 20
	// schedulerLatencies is the runtime's histogram of the time that goroutines were ready before they ran.
	schedulerLatencies = "/sched/latencies:seconds"
)

// Sample is what a look has shown of the time since the one before.
type Sample struct {
	Scheduler time.Duration // the longest that a goroutine was ready before it ran, by the runtime's buckets
	Timer     time.Duration // how late the look itself came
	Turn      time.Duration // the longest wait of a peer for its turn
}

// Worst returns the larger of the scheduler's and the timer's lateness. Turns are late by intent.
func (s Sample) Worst() time.Duration { return max(s.Scheduler, s.Timer) }

// Watch looks at the process. It is safe for concurrent use.
type Watch struct {
	queue *fairqueue.Queue

	mu     sync.Mutex
	counts []uint64 // of the histogram at the last look
	recent [kept]Sample
	looks  int
	late   int64 // looks that were notable
	most   Sample
}

// New returns a watch of the process whose peers take turns in queue.
func New(queue *fairqueue.Queue) *Watch { return &Watch{queue: queue} }

// Run looks until the context ends, and logs what is notable.
func (w *Watch) Run(ctx context.Context, log *slog.Logger) {
	events := eventlog.New(log)
	began := time.Now()
	tick := time.NewTimer(every)
	defer tick.Stop()
	w.look(0)
	for {
		due := time.Now().Add(every)
		tick.Reset(every)
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		s := w.look(max(0, time.Since(due)))
		if s.Worst() >= notable {
			turns := w.queue.Stats()
			events.Note(time.Since(began), "the process is late with its own work", slog.Duration("scheduler", s.Scheduler), slog.Duration("timer", s.Timer),
				slog.Duration("longest turn wait", s.Turn), slog.Int("waiting for turns", turns.Waiting))
		}
	}
}

// look takes a sample.
func (w *Watch) look(timer time.Duration) Sample {
	read := []metrics.Sample{{Name: schedulerLatencies}}
	metrics.Read(read)
	w.mu.Lock()
	defer w.mu.Unlock()
	s := Sample{Timer: timer, Turn: w.queue.TakeLongest()}
	if read[0].Value.Kind() == metrics.KindFloat64Histogram {
		h := read[0].Value.Float64Histogram()
		s.Scheduler = highest(h, w.counts)
		w.counts = append(w.counts[:0], h.Counts...)
	}
	w.recent[w.looks%kept] = s
	w.looks++
	if s.Worst() >= notable {
		w.late++
	}
	w.most = join(w.most, s)
	return s
}

// highest is the lower bound of the highest bucket that has grown since the counts.
func highest(h *metrics.Float64Histogram, counts []uint64) time.Duration {
	for i := len(h.Counts) - 1; i >= 0 && len(counts) == len(h.Counts); i-- {
		if h.Counts[i] > counts[i] {
			return time.Duration(max(0, h.Buckets[i]) * float64(time.Second))
		}
	}
	return 0
}

func join(x, y Sample) Sample {
	return Sample{Scheduler: max(x.Scheduler, y.Scheduler), Timer: max(x.Timer, y.Timer), Turn: max(x.Turn, y.Turn)}
}

// Recent returns the worst of the last two seconds.
func (w *Watch) Recent() (worst Sample) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, s := range w.recent {
		worst = join(worst, s)
	}
	return worst
}

// Since returns the worst since the process began, and how many looks were notable.
func (w *Watch) Since() (worst Sample, late int64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.most, w.late
}

// Seconds is a duration for a metric.
func Seconds(d time.Duration) float64 { return math.Round(d.Seconds()*1e6) / 1e6 }
