// Package eventlog logs events that may come in floods: of each kind a line a second, which counts the events
// that had none.
package eventlog

import (
	"context"
	"log/slog"
	"sync"
	"time"
)

// Every is the least time between two lines of a kind.
const Every = time.Second

// Log logs events. It is safe for concurrent use.
type Log struct {
	log   *slog.Logger
	mu    sync.Mutex
	lines map[string]*line
}

// line is what has been logged of a kind.
type line struct {
	at   time.Duration // of the last line
	held int           // events since, which have none
}

// New returns a Log that writes to log.
func New(log *slog.Logger) *Log { return &Log{log: log, lines: map[string]*line{}} }

// Note logs an event of a kind, or counts it; now is the time on any clock that does not go back. A flood of one
// kind does not hold up the others. Kinds are names in the code: each is kept for good.
func (l *Log) Note(now time.Duration, kind string, attrs ...slog.Attr) {
	held, due := l.due(now, kind)
	if !due {
		return
	}
	if held > 0 {
		attrs = append(attrs, slog.Int("more", held))
	}
	l.log.LogAttrs(context.Background(), slog.LevelInfo, kind, attrs...)
}

// due says whether an event has a line, and how many before it had none.
func (l *Log) due(now time.Duration, kind string) (held int, due bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	last := l.lines[kind]
	if last == nil {
		last = &line{at: now - Every}
		l.lines[kind] = last
	}
	if now-last.at < Every {
		last.held++
		return 0, false
	}
	held = last.held
	last.at, last.held = now, 0
	return held, true
}
