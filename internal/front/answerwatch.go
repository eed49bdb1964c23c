package front

import (
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"frostshift/internal/eventlog"
	"frostshift/internal/exchange"
	"frostshift/internal/lateness"
)

const (
	// lostAfter is how long behind its due time a request without a byte of its answer is lost and not only late.
	lostAfter = 500 * time.Millisecond
	// watchStall is how late a look may come before the process itself has stood still: it then looks again, once
	// whoever writes has had processor time too.
	watchStall = 50 * time.Millisecond
)

// OverdueAnswers counts and logs requests that are past their due time without a byte of their answer on the client's
// connection. It is safe for concurrent use.
type OverdueAnswers struct {
	events atomic.Pointer[eventlog.Log]
	late   atomic.Pointer[lateness.Watch]
	began  time.Time
	counts [exchange.Stages]atomic.Int64
}

func newOverdueAnswers() *OverdueAnswers { return &OverdueAnswers{began: time.Now()} }

// LogTo has such requests logged from now on.
func (o *OverdueAnswers) LogTo(log *slog.Logger) { o.events.Store(eventlog.New(log)) }

// LateBy has them logged with what a watch has seen of the process.
func (o *OverdueAnswers) LateBy(w *lateness.Watch) { o.late.Store(w) }

// processLate is how late the process was with its own work of late.
func (o *OverdueAnswers) processLate() (s lateness.Sample) {
	if w := o.late.Load(); w != nil {
		s = w.Recent()
	}
	return s
}

// Count returns how many there were at a stage.
func (o *OverdueAnswers) Count(at exchange.Stage) int64 { return o.counts[at].Load() }

// waitsFor names what a request at a stage waits for.
var waitsFor = [exchange.Stages]string{exchange.StageQueued: "a place at a host", exchange.StageAttempt: "the host", exchange.StageReplied: "the client's connection"}

// note counts and logs a request that is this much past its due time.
func (o *OverdueAnswers) note(call *exchange.Call, past time.Duration) {
	stage, host := call.Progress()
	o.counts[stage].Add(1)
	if events := o.events.Load(); events != nil {
		process := o.processLate()
		events.Note(time.Since(o.began), "no byte of an answer by its due time", slog.String("request", call.ID), slog.String("stage", stage.String()),
			slog.String("waits for", waitsFor[stage]), slog.String("host", host.Hex()), slog.Duration("past", past),
			slog.Duration("scheduler late", process.Scheduler), slog.Duration("timer late", process.Timer), slog.Duration("longest turn wait", process.Turn))
	}
}

// answerWatch looks whether a request has a byte of its answer by its due time.
type answerWatch struct {
	to   *OverdueAnswers
	call *exchange.Call

	mu    sync.Mutex
	timer *time.Timer // nil: it has ended
	at    time.Time   // when the next look is due
}

// watchAnswer begins to watch a request that has just been submitted.
func (o *OverdueAnswers) watchAnswer(call *exchange.Call, left time.Duration) *answerWatch {
	w := &answerWatch{to: o, call: call, at: time.Now().Add(left + lostAfter)}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timer = time.AfterFunc(left+lostAfter, w.look)
	return w
}

func (w *answerWatch) look() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.timer == nil {
		return
	}
	now := time.Now()
	due := w.call.DueAt()
	switch rest := due.Add(lostAfter).Sub(now); {
	case rest > 0: // the client has owed a part of its request meanwhile
		w.again(now, rest)
	case now.Sub(w.at) > watchStall:
		w.again(now, watchStall)
	default:
		w.timer = nil
		w.to.note(w.call, now.Sub(due))
	}
}

// again has the next look in a while. The lock is held.
func (w *answerWatch) again(now time.Time, in time.Duration) {
	w.at = now.Add(in)
	w.timer.Reset(in)
}

// end ends the watch.
func (w *answerWatch) end() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.timer != nil {
		w.timer.Stop()
		w.timer = nil
	}
}
