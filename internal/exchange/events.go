package exchange

import (
	"context"
	"log/slog"
	"strconv"
	"time"

	"frostshift"
)

// eventsEvery is the least time between two lines of a kind.
const eventsEvery = time.Second

// eventLog logs what did not end well, with the ids that lead to it at clients and hosts. A flood of one
// kind is a line a second that counts the rest; other kinds are not held up by it. It belongs to a
// pool's loop.
type eventLog struct {
	log   *slog.Logger
	lines map[string]*eventLine
}

type eventLine struct {
	at   frostshift.Time // of the last line
	held int             // events since, which have none
}

func newEventLog(log *slog.Logger) eventLog { return eventLog{log, map[string]*eventLine{}} }

// note logs an event of a kind, or counts it. There are as many kinds as names in the code.
func (e *eventLog) note(now frostshift.Time, kind string, attrs ...slog.Attr) {
	l := e.lines[kind]
	if l == nil {
		l = &eventLine{at: now - eventsEvery}
		e.lines[kind] = l
	}
	if now-l.at < eventsEvery {
		l.held++
		return
	}
	if l.held > 0 {
		attrs = append(attrs, slog.Int("more", l.held))
	}
	l.at, l.held = now, 0
	e.log.LogAttrs(context.Background(), slog.LevelInfo, kind, attrs...)
}

// attemptEnded notes an attempt that brought no good answer.
func (p *Pool) attemptEnded(now frostshift.Time, a *Attempt, result frostshift.Result, took time.Duration) {
	if result == frostshift.OK || int(result) >= len(p.counts.Results) {
		return
	}
	p.counts.Results[result].Add(1)
	if result == frostshift.Canceled { // by the gateway, for its client's sake
		return
	}
	p.trouble.note(now, "attempt ended: "+result.String(), slog.String("request", a.call.ID), slog.Int("attempt", a.n+a.call.spent+1),
		slog.String("host", strconv.FormatUint(uint64(a.Host), 16)), slog.Duration("after", took))
}

// requestEnded notes a request that was not served, and why.
func (p *Pool) requestEnded(now frostshift.Time, c *Call, r *Reply) {
	if r.Verdict == Served {
		return
	}
	p.trouble.note(now, "request "+verdictNames[min(int(r.Verdict), len(verdictNames)-1)], slog.String("request", c.ID), slog.Int("attempts", r.Tries),
		slog.Bool("may have run", r.Ran), slog.String("last", whyNames[min(int(r.Why), len(whyNames)-1)]),
		slog.Duration("left", max(0, c.Deadline-now)), slog.Bool("stopping", c.x.endBy.Load() != 0))
}

var (
	verdictNames = [...]string{"served", "refused", "failed", "not taken: its id is open"}
	whyNames     = [...]string{"nothing sent", "timed out", "reset", "malformed", "answered"}
)
