package body

import "time"

const (
	// mostUnsent is how much of a body its client's system may have taken and not sent yet: what Linux lets a socket
	// hold for sending at most by default (tcp_wmem).
	mostUnsent = 4 << 20
	// trickle is how much may come between two looks of what a client has only just written. More at once may be what
	// its system has held back: with little unread too, as a window that was closed opens with the next probe only.
	trickle = 16 << 10
	// ahead is how much of a body may have been read from a connection and not handed on: a reader's buffer, a record
	// of TLS.
	ahead = 32 << 10
)

// Owed tells until when a client is known to have owed a part of its request. Its time to wait counts from its last
// byte, which may have been written long before it is read, where a host that takes nothing in keeps the body back. It
// does no I/O and reads no clock.
type Owed struct {
	length int64 // that is told; -1: none
	at     time.Time
	last   Look
	mark   Look
}

// Look is what is seen of a body at one time.
type Look struct {
	At      time.Time
	Came    int64 // bytes that have been handed on
	Unread  int64 // bytes that wait on the connection
	Whole   bool  // the last byte is among them
	Waiting bool  // a read waits for the client
}

func (l *Look) arrived() int64 { return l.Came + l.Unread }

// NewOwed returns what is known when the head of a request has come. length is that of its body; -1: it is not told.
func NewOwed(now time.Time, length int64) *Owed {
	first := Look{At: now}
	return &Owed{length: length, at: now, last: first, mark: first}
}

// At is the last time at which the client is known to have owed a part of the body.
func (o *Owed) At() time.Time { return o.at }

// Waited notes that a read which waited for the client has ended now.
func (o *Owed) Waited(now time.Time) { o.at = now }

// Look takes in what is seen.
func (o *Owed) Look(l Look) {
	rest := o.length - l.arrived()
	if l.Whole || o.length >= 0 && rest <= 0 {
		return
	}
	switch fresh := l.arrived() - o.last.arrived(); {
	case l.Waiting && l.Unread == 0, rest > mostUnsent, rest > ahead && l.Unread == 0:
		o.at = l.At
	case fresh > 0 && fresh <= trickle && l.Came == o.last.Came:
		o.at = o.last.At
	}
	if l.arrived()-o.mark.arrived() > mostUnsent {
		if o.mark.At.After(o.at) {
			o.at = o.mark.At
		}
		o.mark = l
	}
	o.last = l
}
