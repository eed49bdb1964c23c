package front

import (
	"log/slog"
	"time"

	"frostshift/internal/eventlog"
	"frostshift/internal/shortage"
)

// CloseReason is why a client's connection was closed.
type CloseReason uint8

const (
	// ClosedByClient says: the client ended it, or it broke.
	ClosedByClient CloseReason = iota
	// ClosedAfterAnswer says: its last answer said so.
	ClosedAfterAnswer
	// ClosedUnused says: no request came on it in time.
	ClosedUnused
	// ClosedInHead says: the head of a request was malformed, or did not come whole in time.
	ClosedInHead
	// ClosedInRequest says: a request was open on it, or its answer broke off.
	ClosedInRequest
	// ClosedForRoom says: others needed its place.
	ClosedForRoom
	// ClosedForDrain says: the gateway gives its clients up.
	ClosedForDrain
	// ClosedByStop says: the time of a stop had ended, and nothing had come that was owed an answer.
	ClosedByStop
	// RefusedByStop says: the time of a stop had ended, and what had come of a request was refused.
	RefusedByStop
	// RefusedHead says: the head of a request was too large.
	RefusedHead
	// RefusedForMemory says: heads of requests held all the memory they may.
	RefusedForMemory

	closeReasons = iota // how many there are
)

var closeReasonNames = [closeReasons]string{"client", "answered", "unused", "in head", "in request", "room", "drain", "stop", "stop, refused", "head too large", "memory"}

// String names the reason, for logs and metrics.
func (r CloseReason) String() string { return closeReasonNames[r] }

// isNotable says whether the reason gets a line in the log: it may have cost a request its answer.
func (r CloseReason) isNotable() bool {
	switch r {
	case ClosedInHead, ClosedInRequest, ClosedForRoom, ClosedByStop, RefusedByStop, RefusedHead, RefusedForMemory:
		return true
	}
	return false
}

// LogTo has closes of connections logged from now on that may have cost a request its answer; nil: none are.
func (l *Conns) LogTo(log *slog.Logger) {
	if log == nil {
		l.events.Store(nil)
		return
	}
	l.events.Store(eventlog.New(log))
}

// Closes is how many connections have been closed, by reason.
func (l *Conns) Closes() map[CloseReason]uint64 {
	counts := map[CloseReason]uint64{}
	for r := range l.closes {
		counts[CloseReason(r)] = l.closes[r].Load()
	}
	return counts
}

// reasonOfClose is why its server closes a connection. The lock is held.
func (c *Conn) reasonOfClose() CloseReason {
	switch phase := c.phase.Load(); {
	case c.reset:
		return ClosedInRequest
	case phase == ending || phase == busy && c.given.Load():
		return ClosedAfterAnswer
	case c.ended.Load() || c.hasLeft():
		return ClosedByClient
	case phase == busy && !c.answered.Load():
		return ClosedInRequest
	case phase == halfway:
		return ClosedInHead
	}
	return ClosedUnused
}

// hasLeft says whether the client has been seen to leave behind unread bytes.
func (c *Conn) hasLeft() bool {
	select {
	case <-c.left:
		return true
	default:
		return false
	}
}

// logClose counts and logs the close of a connection that is condemned, once.
func (c *Conn) logClose() {
	if !c.told.CompareAndSwap(false, true) {
		return
	}
	c.all.closes[c.reason].Add(1)
	if c.reason == RefusedForMemory { // the request has no id that is known yet
		c.all.shortages.Note(shortage.New(shortage.HeadMemory), shortage.Refused, "head from "+c.RemoteAddr().String())
	}
	events := c.all.events.Load()
	if events == nil || !c.reason.isNotable() {
		return
	}
	used, rested := c.processor.Total()
	events.Note(time.Since(c.all.begun), "client connection closed: "+c.reason.String(), slog.String("client", c.RemoteAddr().String()),
		slog.Duration("open for", time.Since(c.accepted)), slog.Duration("used", used), slog.Duration("waited for turns", rested))
}
