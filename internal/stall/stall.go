// Package stall tells a peer that takes in slowly what is written to it from one that takes in nothing. A write deadline
// can't: bytes that have been written wait in the system's buffer, which holds megabytes and says that it has room again
// only once a third of it is free, so that a peer which reads without a rest can keep a single write waiting for any time.
package stall

import (
	"errors"
	"math"
	"net"
	"os"
	"syscall"
	"time"

	"frostshift/internal/socket"
)

// looks is how often a write that waits looks at the peer within the time that this may take nothing.
const looks = 4

// Writer writes to a peer for as long as that takes something in. It is for one goroutine at a time.
type Writer struct {
	conn  net.Conn
	raw   syscall.RawConn // nil: what is unacknowledged can't be seen
	idle  time.Duration
	given int64     // bytes that the system has taken
	best  int64     // bytes that the peer was seen to have
	since time.Time // when it was last seen to have taken some, or a write began
}

// NewWriter returns a Writer to the peer of a connection that may take nothing for idle, and up to a quarter more;
// 0: for any time.
func NewWriter(conn net.Conn, raw syscall.RawConn, idle time.Duration) *Writer {
	return &Writer{conn: conn, raw: raw, idle: idle, best: math.MinInt64}
}

// Write writes b and returns os.ErrDeadlineExceeded if the peer has stalled, or if may, where it is not nil, has
// returned false: it is asked before each try, behind the setting of the deadline that a caller may use to end one.
func (w *Writer) Write(b []byte, may func() bool) (n int, err error) {
	w.since = time.Now()
	for {
		w.setDeadline()
		if may != nil && !may() {
			return n, os.ErrDeadlineExceeded
		}
		var k int
		k, err = w.conn.Write(b[n:])
		n += k
		w.given += int64(k)
		if !errors.Is(err, os.ErrDeadlineExceeded) || w.stalled() {
			return n, err
		}
	}
}

// Await waits until the system has room for more, and returns whether it has: the peer has not stalled.
func (w *Writer) Await(ready func(fd uintptr) bool) bool {
	if w.raw == nil {
		return true
	}
	w.since = time.Now()
	for {
		w.setDeadline()
		err := w.raw.Write(ready)
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			return true // whoever writes finds out
		}
		if w.stalled() {
			return false
		}
	}
}

// setDeadline sets when the next try looks at the peer.
func (w *Writer) setDeadline() {
	if w.idle <= 0 {
		w.conn.SetWriteDeadline(time.Time{})
		return
	}
	w.conn.SetWriteDeadline(time.Now().Add(w.idle / looks))
}

// stalled looks whether the peer has taken nothing for idle.
func (w *Writer) stalled() bool {
	now := time.Now()
	if has := w.given - w.unacknowledged(); has > w.best {
		w.best, w.since = has, now
	}
	return now.Sub(w.since) >= w.idle
}

// unacknowledged is how many bytes the system holds that the peer has not acknowledged.
func (w *Writer) unacknowledged() (n int64) {
	if w.raw != nil {
		w.raw.Control(func(fd uintptr) { n = int64(socket.Unacknowledged(fd)) })
	}
	return n
}
