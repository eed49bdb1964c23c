package front

import (
	"errors"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"frostshift/internal/fairqueue"
)

// Listener takes clients' connections within the bounds of all.
type Listener struct {
	net.Listener
	all     *Conns
	leaving atomic.Bool
	// Secure says that clients begin with a handshake; set before it is used.
	Secure bool
	conns  map[*Conn]struct{} // that are open; under the lock of all
	// accepting says that Accept is called until it returns an error.
	accepting atomic.Bool
	closing   atomic.Bool // what waits in the kernel's queue is still taken, and nothing behind it
	drainBy   time.Time   // until when, where others keep coming; set before closing
	guard     atomic.Pointer[Guard]
	turned    chan struct{} // holds one for each connection that is being turned away

	mu     sync.Mutex
	paused chan struct{} // closed: connections are accepted again; nil: they are
	closed chan struct{}
}

// Guard says whether a connection from an address is let in, and has leave called once it has
// ended.
type Guard func(remote net.Addr) (leave func(), ok bool)

// Guard has connections that come from now on let in by a guard; nil: all are.
func (ln *Listener) Guard(g Guard) {
	if g == nil {
		ln.guard.Store(nil)
		return
	}
	ln.guard.Store(&g)
}

// Pause has nothing accepted, or takes that back: a listening socket that other processes hold
// as well keeps what comes meanwhile for them.
func (ln *Listener) Pause(on bool) {
	ln.mu.Lock()
	defer ln.mu.Unlock()
	due, ok := ln.Listener.(deadliner)
	switch {
	case !ok:
	case on && ln.paused == nil:
		ln.paused = make(chan struct{})
		due.SetDeadline(time.Unix(1, 0)) // ends an Accept that waits
	case !on && ln.paused != nil:
		due.SetDeadline(time.Time{})
		close(ln.paused)
		ln.paused = nil
	}
}

// resumed waits while nothing is to be accepted.
func (ln *Listener) resumed() {
	ln.mu.Lock()
	paused := ln.paused
	ln.mu.Unlock()
	if paused != nil {
		select {
		case <-paused:
		case <-ln.closed:
		}
	}
}

// lastAccept is how long the kernel's queue must have been empty when a listener is closed.
const lastAccept = 5 * time.Millisecond

// drainWithin is how long that may take where clients keep coming.
const drainWithin = 200 * time.Millisecond

// Close ends the listening. Where connections are being accepted, those that wait in the kernel's
// queue are accepted first, as a close would reset them, and Accept then closes the socket. One
// that is paused leaves them to the processes that hold the socket as well.
func (ln *Listener) Close() error {
	ln.mu.Lock()
	defer ln.mu.Unlock()
	select {
	case <-ln.closed:
		return nil
	default:
	}
	due, ok := ln.Listener.(deadliner)
	if ln.paused != nil || !ln.accepting.Load() || !ok {
		close(ln.closed)
		return ln.Listener.Close()
	}
	ln.drainBy = time.Now().Add(drainWithin)
	ln.closing.Store(true)
	close(ln.closed)
	return due.SetDeadline(time.Unix(1, 0)) // ends an Accept that waits
}

// deadliner is a listener whose Accept can be ended.
type deadliner interface{ SetDeadline(time.Time) error }

// End has each connection over HTTP/1.1 end with its next answer, or takes that back.
func (ln *Listener) End(on bool) { ln.leaving.Store(on) }

// Leave gives up the connections over HTTP/1.1 on which no request is open, and each other
// one once its request has its answer. Connections that have said nothing yet may ask once.
func (ln *Listener) Leave() {
	ln.End(true)
	ln.GiveUp(ln.Idle(), false, 0)
}

// Idle is how many connections over HTTP/1.1 have had an answer and hold no request.
func (ln *Listener) Idle() (n int) {
	ln.all.mu.Lock()
	defer ln.all.mu.Unlock()
	ln.quiet(func(*Conn) bool { n++; return true }, once, idle)
	return n
}

// quiet calls f with the connections over HTTP/1.1 that are in one of the phases, those that
// have been for the longest first, until it says no. The lock is held.
func (ln *Listener) quiet(f func(*Conn) bool, phases ...int) {
	for _, phase := range phases {
		for e := ln.all.quiet[phase].Front(); e != nil; e = e.Next() {
			if c := e.Value.(*Conn); c.from == ln && c.giveUp == nil && !f(c) {
				break
			}
		}
	}
}

// GiveUp gives up so many of the idle connections, those first that have asked once, and with
// silent those that have said nothing for so long. What crosses the close is not answered with
// a reset: the client sees the end, and may send again.
func (ln *Listener) GiveUp(most int, silently bool, silentFor time.Duration) {
	now := time.Now()
	var given []*Conn
	ln.all.mu.Lock()
	ln.quiet(func(c *Conn) bool {
		if len(given) < most {
			given = append(given, c)
		}
		return len(given) < most
	}, once, idle)
	if silently {
		ln.quiet(func(c *Conn) bool {
			old := now.Sub(c.since) >= silentFor
			if old {
				given = append(given, c)
			}
			return old
		}, silent)
	}
	for _, c := range given {
		c.condemn(ClosedForDrain)
	}
	ln.all.mu.Unlock()
	for _, c := range given {
		c.endSoftly()
	}
}

// Accept takes the next connection. It survives running out of descriptors.
func (ln *Listener) Accept() (net.Conn, error) {
	c, err := ln.accept()
	if err != nil {
		ln.mu.Lock()
		defer ln.mu.Unlock()
		ln.accepting.Store(false)
		if ln.closing.Load() {
			ln.Listener.Close()
		}
	}
	return c, err
}

// isOver says whether the listener has been closed, and whatever waited in the kernel's queue has had its
// time to be accepted.
func (ln *Listener) isOver(now time.Time) bool {
	select {
	case <-ln.closed:
		return !ln.closing.Load() || now.After(ln.drainBy)
	default:
		return false
	}
}

// bear waits for what made an accept fail to pass: whatever the system says of one connection, or lacks
// for a moment, is no end of the listener (accept(2)). Where the process has no descriptor left in one failure
// after the other, a connection that is not new is given up. What the whole system lacks, it has no part in.
func (l *Conns) bear(err error, failures int) {
	if errors.Is(err, syscall.EMFILE) && failures > 1 && l.shedQuiet(firstWord) {
		return
	}
	time.Sleep(fullWait)
}

func (ln *Listener) accept() (net.Conn, error) {
	l := ln.all
	ln.accepting.Store(true)
	failures := 0 // one after the other
	for {
		ln.resumed()
		for !ln.closing.Load() && l.exhausted() && !l.makeWay() {
			time.Sleep(fullWait)
		}
		closing := ln.closing.Load()
		by := time.Now().Add(lastAccept)
		if closing {
			ln.Listener.(deadliner).SetDeadline(by)
		}
		begun := time.Now()
		c, err := ln.Listener.Accept()
		if errors.Is(err, os.ErrDeadlineExceeded) {
			if closing && begun.Before(by) { // nothing waited in the kernel's queue
				return nil, net.ErrClosed
			}
			continue // paused or closed meanwhile, or too late to look
		}
		if closing && err == nil && begun.After(ln.drainBy) {
			ln.Listener.Close() // others keep coming, and are not taken from here on
		}
		if err != nil {
			if errors.Is(err, net.ErrClosed) || ln.isOver(begun) {
				return nil, net.ErrClosed
			}
			failures++
			l.bear(err, failures)
			continue
		}
		if closing && ln.turnsAway(c) {
			continue
		}
		var leave func()
		if guard := ln.guard.Load(); guard != nil {
			ok := false
			if leave, ok = (*guard)(c.RemoteAddr()); !ok {
				c.Close() // before anybody else's is given up for it
				continue
			}
		}
		for l.crowded() && l.makeWay() {
		}
		for l.full() && l.shedSpare() {
		}
		cc := &Conn{Conn: c, all: l, from: ln, accepted: time.Now(), leave: leave, left: make(chan struct{}), meter: headMeter{room: l.heads},
			processor: fairqueue.Processor().NewPeer(fairqueue.ClientDebt)}
		if s, ok := c.(syscall.Conn); ok {
			cc.raw, _ = s.SyscallConn()
			cc.noteQueued()
		}
		l.mu.Lock()
		l.open++
		ln.conns[cc] = struct{}{}
		cc.rest(silent)
		l.mu.Unlock()
		return cc, nil
	}
}
