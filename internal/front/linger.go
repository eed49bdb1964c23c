package front

import (
	"context"
	"errors"
	"net"
	"os"
	"time"
)

const (
	// leaveWithin is how long a client may take to see the end of a connection that is given up.
	leaveWithin = 500 * time.Millisecond
	// mostCrossed is how many bytes are taken in of what crosses a close.
	mostCrossed = 64 << 10
	// lingerPart is one part in so many of the connections that may be on their way to a close.
	lingerPart = 8
)

// drain takes in what the client still sends on a connection whose sending side is closed, until
// its end: a close above unread bytes is a reset, which an answer on its way does not survive.
func (c *Conn) drain() {
	c.Conn.SetReadDeadline(time.Now().Add(leaveWithin))
	var crossed [1 << 10]byte
	for range mostCrossed / len(crossed) {
		if n, err := c.Conn.Read(crossed[:]); n == 0 || err != nil {
			break
		}
	}
	c.ended.Store(true)
}

// lingers says whether a close of the connection has to wait for the client: it has had an answer,
// has not ended the connection itself, and nobody reads who would take its bytes in. The lock is
// held.
func (c *Conn) lingers() bool {
	return c.wrote.Load() && !c.ended.Load() && !c.reading.Load() && !c.reset && c.giveUp == nil &&
		c.all.lingering < max(1, c.all.most/lingerPart)
}

// linger closes the connection in two steps, and keeps its place among the descriptors meanwhile.
func (c *Conn) linger() error {
	half, ok := c.Conn.(interface{ CloseWrite() error })
	if !ok || half.CloseWrite() != nil {
		c.all.lingered()
		return c.Conn.Close()
	}
	go func() {
		defer c.all.lingered()
		defer c.Conn.Close()
		c.drain()
	}()
	return nil
}

// endsSlowly notes that a connection which has been condemned keeps its place among the descriptors up to Close. The lock
// is held.
func (c *Conn) endsSlowly() {
	c.slow = true
	c.all.lingering++
}

func (l *Conns) lingered() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.lingering--; l.lingering == 0 && l.settled != nil {
		close(l.settled)
		l.settled = nil
	}
}

// Settle waits until no connection is on its way to a close, or the context ends.
func (l *Conns) Settle(ctx context.Context) {
	l.mu.Lock()
	if l.lingering == 0 {
		l.mu.Unlock()
		return
	}
	if l.settled == nil {
		l.settled = make(chan struct{})
	}
	settled := l.settled
	l.mu.Unlock()
	select {
	case <-settled:
	case <-ctx.Done():
	}
}

// saw notes the end of the client's sending, where a read has met it.
func (c *Conn) saw(err error) {
	if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
		c.ended.Store(true)
	}
}

// Reset ends the connection so that the client sees an error and no end: what it has of an
// answer whose end is that of the connection must not pass for the whole of it.
func (c *Conn) Reset() {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		tcp.SetLinger(0)
	}
	c.all.mu.Lock()
	c.reset = true
	c.all.mu.Unlock()
	c.Close()
}
