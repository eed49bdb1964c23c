package front

import (
	"sync"
	"time"

	"golang.org/x/sys/unix"

	"frostshift/internal/socket"
)

// hangupEvery is how often connections are looked at whose client may have left behind bytes
// that nobody reads yet: well under the 100 ms within which an attempt may still begin.
const hangupEvery = 20 * time.Millisecond

// hangups notices clients that leave while bytes of theirs are unread: a pipelined request, or the
// rest of a body. A read would not see their end before those bytes. It holds connections with an
// open request only; its goroutine ends when there is none left to look at.
type hangups struct {
	mu      sync.Mutex
	watched map[*Conn]struct{}
	running bool
}

// add begins to look at a connection.
func (h *hangups) add(c *Conn) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.watched == nil {
		h.watched = map[*Conn]struct{}{}
	}
	h.watched[c] = struct{}{}
	if !h.running {
		h.running = true
		go h.run()
	}
}

// remove ends it.
func (h *hangups) remove(c *Conn) {
	h.mu.Lock()
	delete(h.watched, c)
	h.mu.Unlock()
}

// run looks at all that are watched until there is none.
func (h *hangups) run() {
	tick := time.NewTicker(hangupEvery)
	defer tick.Stop()
	for {
		list := h.list()
		if len(list) == 0 {
			return
		}
		for _, c := range list {
			if c.hungUp() {
				h.remove(c)
				c.leftOnce.Do(func() { close(c.left) })
			}
		}
		<-tick.C
	}
}

// list is what is watched; where that is nothing the goroutine is about to end. A connection whose
// request has had its answer may have been added behind that: it is let go.
func (h *hangups) list() []*Conn {
	h.mu.Lock()
	defer h.mu.Unlock()
	for c := range h.watched {
		if !c.isAsking() {
			delete(h.watched, c)
		}
	}
	h.running = len(h.watched) > 0
	out := make([]*Conn, 0, len(h.watched))
	for c := range h.watched {
		out = append(out, c)
	}
	return out
}

// hungUp says whether the client has ended its sending or reset the connection, whatever of it is
// unread. A look that fails has seen nothing.
func (c *Conn) hungUp() bool {
	if c.raw == nil {
		return false
	}
	gone := false
	if err := c.raw.Control(func(fd uintptr) {
		events, err := socket.Poll(fd, unix.POLLRDHUP)
		gone = err == nil && events&(unix.POLLRDHUP|unix.POLLHUP|unix.POLLERR) != 0
	}); err != nil {
		return true // it has been closed here
	}
	return gone
}

// Unread is how many bytes of the client's wait on the socket; 0 where that can't be told.
func (c *Conn) Unread() (n int64) {
	if c.raw == nil {
		return 0
	}
	c.raw.Control(func(fd uintptr) { n = int64(socket.Unread(fd)) })
	return n
}

// Here says whether the client has not left, by a look at the socket.
func (c *Conn) Here() bool { return !c.hungUp() }

const (
	// blindFrom is how much may be unread on a connection with an open request: less than any receive window, behind which
	// the client's system would hold back the end of its sending.
	blindFrom = 32 << 10
	// blindAfter is how long so much of the open request's own body may be unread with nothing read: less than the 100 ms
	// within which an attempt may begin behind a client's end.
	blindAfter = 80 * time.Millisecond
	// queuedMost is how long a connection may have waited to be accepted for what is read of it to show that its client is
	// there: what blindAfter leaves of the 100 ms.
	queuedMost = 20 * time.Millisecond
)

// noteQueued notes whether the connection, which has just been accepted, waited for so long that its client may have left
// meanwhile: what is read of it is old.
func (c *Conn) noteQueued() {
	if c.raw == nil {
		return
	}
	c.raw.Control(func(fd uintptr) { c.queued.Store(socket.SinceSent(fd) > queuedMost) })
}

// Blind says whether so much is unread behind the open request that its client's end would not show: requests that were
// sent without waiting for answers, or the rest of its own body where that has not been read from for a while, or waited
// to be accepted.
func (c *Conn) Blind() bool {
	c.all.mu.Lock()
	looks, ownBody := c.giveUp == nil && !c.body, c.unread
	c.all.mu.Unlock()
	isFresh := ownBody && !c.queued.Load() && time.Since(c.readAt()) < blindAfter
	if !looks || isFresh {
		return false
	}
	if c.Unread() >= blindFrom {
		return true
	}
	c.queued.Store(false)
	return false
}

// readAt is when something of the client's was last read.
func (c *Conn) readAt() time.Time { return c.accepted.Add(time.Duration(c.readAfter.Load())) }

// Left is closed when the client has been seen to leave behind unread bytes. A client that leaves
// with nothing unread is seen by whoever reads.
func (c *Conn) Left() <-chan struct{} { return c.left }

// Open notes that a request is open on the connection. unread says that a part of its body may be
// unread for as long as it is.
func (c *Conn) Open(unread bool) {
	c.all.mu.Lock()
	c.asking, c.unread = true, unread
	watch := unread || c.ahead
	c.all.mu.Unlock()
	if watch {
		c.all.hangups.add(c)
	}
}

// Given notes that the answer to the last request has been given to its end, as far as the server knows.
func (c *Conn) Given() { c.given.Store(true) }

// isAsking says whether a request is open.
func (c *Conn) isAsking() bool {
	c.all.mu.Lock()
	defer c.all.mu.Unlock()
	return c.asking
}

// Answered notes that it has had its answer.
func (c *Conn) Answered() {
	c.all.mu.Lock()
	c.asking = false
	c.all.mu.Unlock()
	c.all.hangups.remove(c)
}

// lookedAhead notes that an http.Server, which looks out for a client that leaves by
// reading a single byte, has found one of the next request. It looks no further.
func (c *Conn) lookedAhead() {
	c.all.mu.Lock()
	c.ahead = true
	watch := c.asking
	c.all.mu.Unlock()
	if watch {
		c.all.hangups.add(c)
	}
}
