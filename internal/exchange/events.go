package exchange

import (
	"log/slog"
	"time"

	"frostshift"
	"frostshift/internal/shortage"
)

// attemptEnded counts and logs an attempt without a good answer.
func (p *Pool) attemptEnded(now frostshift.Time, a *Attempt, result frostshift.Result, of *shortage.Error, took time.Duration) {
	if result == frostshift.OK || int(result) >= len(p.counts.Results) {
		return
	}
	p.counts.Results[result].Add(1)
	if result == frostshift.Canceled && of == nil { // by the gateway, on behalf of its client
		return
	}
	attrs := []slog.Attr{slog.String("request", a.call.ID), slog.Int("attempt", a.n+a.call.priorAttempts+1), slog.String("host", a.Host.Hex()), slog.Duration("after", took)}
	if of != nil {
		attrs = append(attrs, slog.String("no room", of.Resource.String()))
	}
	p.failureLog.Note(now, "attempt ended: "+result.String(), attrs...)
}

// requestEnded logs a request that was not served, and why.
func (p *Pool) requestEnded(now frostshift.Time, c *Call, r *Reply) {
	if r.Verdict == Served {
		return
	}
	p.failureLog.Note(now, "request "+verdictNames[min(int(r.Verdict), len(verdictNames)-1)], slog.String("request", c.ID), slog.Int("attempts", r.Tries),
		slog.Bool("may have run", r.Ran), slog.Bool("host's own answer", r.Answer != nil), slog.String("last", whyNames[min(int(r.Why), len(whyNames)-1)]),
		slog.Duration("left", max(0, c.due()-now)), slog.Bool("stopping", c.x.endBy.Load() != 0))
}

// logOverdue logs a request whose time has ended before its body had been sent on, with the host that it
// was being sent to.
func (p *Pool) logOverdue(now frostshift.Time, c *Call) {
	host, fed := "none", false
	if n := len(c.attempts); n > 0 {
		host, fed = c.attempts[n-1].Host.Hex(), c.attempts[n-1].fed
	}
	p.failureLog.Note(now, "the client's time is over while its body is on its way", slog.String("request", c.ID), slog.String("host", host),
		slog.Bool("sent whole", fed), slog.String("body", c.Body.State().String()), slog.Duration("waits", c.Rest))
}

var (
	verdictNames = [...]string{"served", "refused", "failed", "not taken: its id is open"}
	whyNames     = [...]string{"nothing sent", "timed out", "reset", "malformed", "answered", "called off, or the client's body broke off", "no room"}
)
