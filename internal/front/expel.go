package front

import (
	"errors"
	"net/http"
	"sync"
	"time"
)

// refusal is the answer to a request whose head is not whole and is not waited for. Nothing of it has
// been sent on.
const refusal = "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"

// tooLarge is the answer to a request whose head is too large.
const tooLarge = "HTTP/1.1 431 Request Header Fields Too Large\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"

// errExpelled says that a request is to be refused of which a part has come.
var errExpelled = errors.New("the rest of the request is not waited for")

// refusalWithin is how long the client's system may take to have room for it.
const refusalWithin = 50 * time.Millisecond

// headRefusalWithin is the same for a head that has no room or is too large, where no end of the process is near: a
// busy one may be held up between setting the time and writing.
const headRefusalWithin = 500 * time.Millisecond

// Expel ends the reading of requests over HTTP/1.1: those of which a part has come, read or not, are refused, and
// connections without one are given up. Requests that have come whole keep their connection up to
// their answer. A handshake that is under way goes on, and what comes behind it is refused.
func (ln *Listener) Expel() {
	ln.End(true)
	var idles, halves []*Conn
	ln.all.mu.Lock()
	for c := range ln.conns {
		switch phase := c.phase.Load(); {
		case c.closed || c.giveUp != nil:
		case c.handshakes():
			c.expels = true
		case phase == halfway:
			halves = append(halves, c)
			c.condemnToRefusal(RefusedByStop)
		case (phase == silent || phase == once || phase == idle) && c.Unread() > 0: // nobody has had the time to read it
			halves = append(halves, c)
			c.condemnToRefusal(RefusedByStop)
		case phase == silent || phase == once || phase == idle:
			idles = append(idles, c)
			c.condemn(ClosedByStop)
		default:
			c.expel()
		}
	}
	ln.all.mu.Unlock()
	var refusing sync.WaitGroup
	for _, c := range halves {
		refusing.Go(func() { // one whose system takes nothing in holds up no other
			c.refuse(refusal, refusalWithin)
			c.endSoftly()
			close(c.refusal)
		})
	}
	for _, c := range idles {
		c.endSoftly()
	}
	refusing.Wait()
}

// expel ends the wait for a body. The lock is held.
func (c *Conn) expel() {
	c.expels = true
	if c.body {
		c.Conn.SetReadDeadline(time.Unix(1, 0))
	}
}

// handshakes says whether the handshake of a protocol that encrypts is still under way. The lock is held.
func (c *Conn) handshakes() bool { return c.from.Secure && c.secure == nil }

// condemnToRefusal gives the connection up for whoever is about to refuse what has come of a request on it, and closes
// c.refusal behind that. The connection's reader, and its server, may learn of it first: they wait, as a close of theirs
// would overtake the refusal. The lock is held.
func (c *Conn) condemnToRefusal(why CloseReason) {
	c.condemn(why)
	c.refusal = make(chan struct{})
}

// awaitRefusal waits until the refusal has gone out that the client is owed, if it is owed one by another than the caller.
// refuse bounds how long that takes.
func (c *Conn) awaitRefusal() {
	c.all.mu.Lock()
	refusal := c.refusal
	c.all.mu.Unlock()
	if refusal != nil {
		<-refusal
	}
}

// refuse answers a request of which a part of the head has come. Its server has written nothing since the
// last answer, and writes nothing from here on.
func (c *Conn) refuse(text string, within time.Duration) {
	over := c.secure
	if over == nil {
		over = c.Conn
	}
	over.SetWriteDeadline(time.Now().Add(within))
	over.Write([]byte(text))
	c.wrote.Store(true)
}

// ReadBody calls f, which reads a body that must come whole. Where that is not waited for any more the
// read fails, and the error is the refusal of its request.
func (c *Conn) ReadBody(f func() error) error {
	c.all.mu.Lock()
	c.body = true
	if c.expels {
		c.expel()
	}
	c.all.mu.Unlock()
	err := f()
	c.all.mu.Lock()
	c.body = false
	expels := c.expels
	c.all.mu.Unlock()
	if err != nil && expels {
		return &Error{Status: http.StatusServiceUnavailable, Text: "stopping"}
	}
	return err
}
