package http2

import (
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"time"

	"golang.org/x/net/http2"

	"frostshift/internal/front"
	"frostshift/internal/h2"
)

// Bounds of what a client may do besides asking, a connection.
var (
	// Streams that end before their answer, by the client's reset (CVE-2023-44487) or by
	// one that the client provokes (CVE-2025-8671).
	resets = h2.Bucket{Rate: 20, Burst: 100}
	// Frames that carry nothing: settings, pings, priorities, empty data, unknown ones.
	empties = h2.Bucket{Rate: 100, Burst: 500}
	// Window updates beyond those that a reader of long answers needs.
	updates = h2.Bucket{Rate: 20_000, Burst: 20_000}
)

// conn is one client's connection.
type conn struct {
	s      *Server
	nc     net.Conn
	all    *front.Conn // in the bounds of all connections; nil: not counted there
	link   *h2.Link
	remote net.Addr

	resets, empties, updates h2.Bucket // of the reader

	mu       sync.Mutex
	running  int    // streams whose goroutine has not ended
	onWire   int    // streams that are open as the client sees it
	last     uint32 // highest stream that the client has opened and that was taken
	seen     uint32 // highest one that it has opened at all
	over     bool   // nothing is read any more
	refuse   uint32 // streams above this one are not taken; set once the drain's second step is done
	leaving  bool
	gone     chan struct{} // closed when the connection has ended
	settled  bool          // the client's first settings have come
	held     int64         // bytes of bodies of open requests
	streams  sync.WaitGroup
	goneOnce sync.Once
}

const allStreams = 1<<31 - 1

func newConn(s *Server, nc net.Conn) *conn {
	c := &conn{s: s, nc: nc, remote: nc.RemoteAddr(), resets: resets, empties: empties, updates: updates,
		refuse: allStreams, gone: make(chan struct{})}
	if c.all = front.Of(nc); c.all != nil {
		c.all.WriteIdle(h2.WriteWithin)
	}
	c.link = h2.New(nc, h2.Config{StreamWindow: maxBody + 1, ConnWindow: connWindow, MaxStreams: s.streams,
		Connect: s.cfg.Connect != nil && s.cfg.Connect()})
	return c
}

// open is how many streams are being served.
func (c *conn) open() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.running
}

// run reads frames until the connection ends, and then waits for its streams.
func (c *conn) run() {
	c.nc.SetReadDeadline(time.Now().Add(c.s.cfg.SendWithin))
	err := c.link.ReadPreface()
	for err == nil {
		var f http2.Frame
		f, err = c.link.ReadFrame()
		if err == nil {
			c.all.Work()
			err = c.take(f)
		}
		var stream http2.StreamError
		if errors.As(err, &stream) {
			err = c.endStream(stream)
		}
	}
	code, tell := http2.ErrCodeNo, false
	var broken http2.ConnectionError
	if errors.As(err, &broken) {
		code, tell = http2.ErrCode(broken), true
	} else if errors.Is(err, os.ErrDeadlineExceeded) {
		tell = c.settled && !c.ending() // it was idle for too long
	}
	c.mu.Lock()
	c.over = true
	last := c.last
	c.mu.Unlock()
	if tell {
		c.link.GoAway(last, code)
		c.link.Finish()
		c.nc.SetReadDeadline(time.Now().Add(leaveWithin))
		io.Copy(io.Discard, c.nc) // what is under way, or the close would take the notice with it
	}
	c.link.Close()
	close(c.gone)
	c.streams.Wait()
	<-c.link.Ended()
}

var calm = http2.ConnectionError(http2.ErrCodeEnhanceYourCalm)

// take handles a frame.
func (c *conn) take(f http2.Frame) error {
	if !c.settled {
		if _, ok := f.(*http2.SettingsFrame); !ok {
			return http2.ConnectionError(http2.ErrCodeProtocol) // section 3.4
		}
		c.settled = true
		if c.open() == 0 {
			c.rest()
		}
	}
	switch f := f.(type) {
	case *http2.MetaHeadersFrame:
		return c.headers(f)
	case *http2.DataFrame:
		return c.data(f)
	}
	return c.takeControl(f)
}

// takeControl handles a frame that is no part of a request. Those that could be sent without end at
// no cost to the client are bounded in rate.
func (c *conn) takeControl(f http2.Frame) error {
	now := time.Now()
	switch f := f.(type) {
	case *http2.RSTStreamFrame:
		return c.reset(f, now)
	case *http2.SettingsFrame:
		if !c.empties.Take(now) {
			return calm
		}
		return c.link.Settings(f)
	case *http2.PingFrame:
		return c.ping(f, now)
	case *http2.WindowUpdateFrame:
		if !c.link.Earned() && !c.updates.Take(now) {
			return calm
		}
		if c.idle(f.StreamID) {
			return http2.ConnectionError(http2.ErrCodeProtocol)
		}
		return c.link.WindowUpdate(f)
	case *http2.GoAwayFrame:
		return nil // the client opens no more streams; those that are open are served
	case *http2.PushPromiseFrame:
		return http2.ConnectionError(http2.ErrCodeProtocol)
	}
	if !c.empties.Take(now) {
		return calm
	}
	return nil
}

// reset ends a stream that the client calls off.
func (c *conn) reset(f *http2.RSTStreamFrame, now time.Time) error {
	if c.idle(f.StreamID) {
		return http2.ConnectionError(http2.ErrCodeProtocol)
	}
	if st := c.link.Stream(f.StreamID); st != nil {
		c.link.Forget(st)
		st.Owner.(*stream).end()
		return c.tookReset(now)
	}
	if !c.empties.Take(now) {
		return calm
	}
	return nil
}

// ping answers a ping, or takes the answer to the one that stands before a drain's second step.
func (c *conn) ping(f *http2.PingFrame, now time.Time) error {
	if f.IsAck() {
		if f.Data == drainPing {
			c.leaveNow()
		}
		return nil
	}
	if !c.empties.Take(now) {
		return calm
	}
	data := f.Data
	c.link.Control(func(fr *http2.Framer) error { return fr.WritePing(true, data) })
	return nil
}

// idle says whether a stream has never been opened by the client: a frame on it breaks
// the protocol (RFC 9113 section 5.1). One that a drain did not take has been.
func (c *conn) idle(id uint32) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return id > c.seen
}

// A client that resets more streams than this in short order is read the slower for it:
// its flood then costs it as much time as it costs the others work. One that connects
// again each time it is sent away is held up in the same way.
const (
	hastyResets = 20
	hastyPause  = 2 * time.Millisecond
)

// tookReset counts a stream that ended before its answer.
func (c *conn) tookReset(now time.Time) error {
	if !c.resets.Take(now) {
		return calm
	}
	if c.resets.Used() > hastyResets {
		time.Sleep(hastyPause)
	}
	return nil
}

// endStream ends a stream for a fault of the client's.
func (c *conn) endStream(e http2.StreamError) error {
	if err := c.tookReset(time.Now()); err != nil {
		return err
	}
	c.mu.Lock()
	if e.StreamID > c.last && e.StreamID%2 == 1 { // a head that was malformed opened it
		c.last = e.StreamID
		c.seen = max(c.seen, e.StreamID)
	}
	c.mu.Unlock()
	if st := c.link.Stream(e.StreamID); st != nil {
		c.link.Reset(st, e.Code)
		st.Owner.(*stream).end()
		return nil
	}
	c.link.Control(func(f *http2.Framer) error { return f.WriteRSTStream(e.StreamID, e.Code) })
	return nil
}

// headers takes the head of a request, or trailers.
func (c *conn) headers(f *http2.MetaHeadersFrame) error {
	if st := c.link.Stream(f.StreamID); st != nil {
		s := st.Owner.(*stream)
		if !f.StreamEnded() || s.whole || !h2.Trailers(f.Fields) {
			return http2.StreamError{StreamID: f.StreamID, Code: http2.ErrCodeProtocol}
		}
		if s.src != nil {
			s.src.trailer = h2.TrailerOf(f.Fields)
		}
		return s.lastByte()
	}
	if f.StreamID%2 == 0 {
		return http2.ConnectionError(http2.ErrCodeProtocol)
	}
	c.mu.Lock()
	if f.StreamID <= c.last { // it was closed
		c.mu.Unlock()
		return http2.ConnectionError(http2.ErrCodeStreamClosed)
	}
	if f.StreamID <= c.seen {
		c.mu.Unlock()
		return nil // trailers of one that was not taken
	}
	c.seen = f.StreamID
	if f.StreamID > c.refuse { // after the drain's last word: provably not taken
		c.mu.Unlock()
		return nil
	}
	if c.running == 0 && c.all != nil && !c.all.Active() { // it has been given up meanwhile: not taken either
		c.mu.Unlock()
		return nil
	}
	c.last = f.StreamID
	// Streams that have ended for the client may be a little longer in ending here; those
	// that it resets in haste must not add up all the same.
	full := c.onWire >= int(c.s.streams) || c.running >= 2*int(c.s.streams)
	if !full {
		c.running++
		c.onWire++
		c.streams.Add(1)
		if c.running == 1 {
			c.nc.SetReadDeadline(time.Time{}) // streams have deadlines of their own
		}
	}
	c.mu.Unlock()
	if full {
		if err := c.tookReset(time.Now()); err != nil {
			return err
		}
		id := f.StreamID
		c.link.Control(func(fr *http2.Framer) error { return fr.WriteRSTStream(id, http2.ErrCodeRefusedStream) })
		return nil
	}
	s := &stream{c: c, gone: make(chan struct{}), complete: make(chan struct{})}
	s.h2 = c.link.Open(f.StreamID, s)
	return s.begin(f)
}

// data takes a part of a body.
func (c *conn) data(f *http2.DataFrame) error {
	size := int(f.Length) // with padding: it counts
	if size == 0 && !f.StreamEnded() && !c.empties.Take(time.Now()) {
		return calm
	}
	if c.idle(f.StreamID) {
		return http2.ConnectionError(http2.ErrCodeProtocol)
	}
	st := c.link.Stream(f.StreamID)
	if err := c.link.Received(st, size); err != nil {
		return err
	}
	if st == nil { // it has ended: what was under way comes still
		c.link.Credit(nil, size)
		if !c.updates.Take(time.Now()) {
			return calm
		}
		return nil
	}
	return st.Owner.(*stream).data(f, size)
}

// rest notes that no stream is open: the connection may be closed for others, or after a
// while.
func (c *conn) rest() {
	if c.all != nil {
		c.all.Idle()
	}
	c.nc.SetReadDeadline(time.Now().Add(c.s.cfg.IdleWithin))
}

// wireEnd notes that a stream is closed as the client sees it.
func (c *conn) wireEnd(s *stream) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !s.offWire {
		s.offWire = true
		c.onWire--
	}
}

// done ends a stream's part in the connection.
func (c *conn) done() {
	c.mu.Lock()
	c.running--
	if c.running == 0 && !c.over {
		c.rest()
	}
	end := c.running == 0 && c.refuse != allStreams
	c.mu.Unlock()
	if end {
		c.closeSoon()
	}
	c.streams.Done()
}

// ending says that the drain is over but for the client's close.
func (c *conn) ending() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.refuse != allStreams
}

// drainPing is answered once the client has read the first notice of a drain.
var drainPing = [8]byte{'d', 'r', 'a', 'i', 'n'}

// leave begins the drain of the connection.
func (c *conn) leave() {
	c.mu.Lock()
	already := c.leaving
	c.leaving = true
	c.mu.Unlock()
	if already {
		return
	}
	c.link.GoAway(allStreams, http2.ErrCodeNo)
	c.link.Control(func(f *http2.Framer) error { return f.WritePing(false, drainPing) })
	late := time.AfterFunc(c.s.cfg.RoundTrip, c.leaveNow)
	go func() {
		<-c.gone
		late.Stop()
	}()
}

// leaveNow is the drain's second step: what the client has opened by now is taken, and
// nothing later.
func (c *conn) leaveNow() {
	c.mu.Lock()
	if !c.leaving || c.refuse != allStreams {
		c.mu.Unlock()
		return
	}
	c.refuse = c.last
	last, idle := c.last, c.running == 0
	c.mu.Unlock()
	c.link.GoAway(last, http2.ErrCodeNo)
	if idle {
		c.closeSoon()
	}
}

// giveUp ends the connection, on which no stream is open, to make room: the client is told
// that nothing later than what it has had answers for was taken.
func (c *conn) giveUp() {
	c.mu.Lock()
	already := c.refuse != allStreams
	c.leaving = true
	if !already {
		c.refuse = c.last
	}
	last := c.last
	c.mu.Unlock()
	if !already {
		c.link.GoAway(last, http2.ErrCodeNo)
	}
	c.nc.SetReadDeadline(time.Now().Add(leaveWithin))
	c.closeSoon()
}

// closeSoon ends the connection once what is written has been.
func (c *conn) closeSoon() {
	c.goneOnce.Do(func() {
		go func() {
			c.link.Finish()
			c.nc.SetReadDeadline(time.Now().Add(leaveWithin))
		}()
	})
}
