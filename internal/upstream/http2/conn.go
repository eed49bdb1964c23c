package http2

import (
	"errors"
	"net"
	"sync"
	"time"

	"golang.org/x/net/http2"

	"frostshift"
	"frostshift/internal/fairqueue"
	"frostshift/internal/h2"
)

// conn is a connection to a host.
type conn struct {
	u    *Upstream
	host *host
	link *h2.Link

	// Of the upstream's lock:
	streams int       // places that are taken
	freed   time.Time // when the last one was given up
	leaving bool      // it takes no more streams
	closed  bool

	mu      sync.Mutex
	next    uint32    // id of the next stream
	goAway  uint32    // streams above this one were never taken by the host
	heard   time.Time // when something last came
	pinged  time.Time // when the host was asked since; zero: not
	empties h2.Bucket

	processor *fairqueue.Peer // of the reader
}

const allStreams = 1<<31 - 1

func newConn(u *Upstream, h *host, nc net.Conn) *conn {
	now := time.Now()
	return &conn{u: u, host: h, processor: fairqueue.Processor().NewPeer(fairqueue.OwedDebt), next: 1, goAway: allStreams, heard: now, freed: now, empties: h2.Bucket{Rate: 1000, Burst: 2000},
		link: h2.New(nc, h2.Config{StreamWindow: streamWindow, ConnWindow: connWindow, Client: true})}
}

// take takes a place for a stream and says whether there was one. The upstream's lock is
// held.
func (c *conn) take() bool {
	_, most := c.link.Streams()
	if c.leaving || c.closed || c.streams >= int(most) {
		return false
	}
	c.streams++
	return true
}

// give gives a place up.
func (c *conn) give() {
	c.u.mu.Lock()
	c.streams--
	c.freed = time.Now()
	end := c.streams == 0 && c.leaving
	c.u.stir()
	c.u.mu.Unlock()
	if end {
		c.link.Close()
	}
}

// leave takes no more streams.
func (c *conn) leave() {
	c.u.mu.Lock()
	c.leaving = true
	end := c.streams == 0
	c.u.mu.Unlock()
	if end {
		c.link.Close()
	}
}

// open makes the attempt's stream, or says that it is too late for one. Ids count up in
// the order in which heads are sent, so both happen under one lock.
func (c *conn) open(t *attempt, o *h2.Out) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.next > c.goAway || c.next >= allStreams-2 {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.isOff {
		return false
	}
	t.stream = c.link.Open(c.next, t)
	c.next += 2
	c.link.Send(t.stream, o)
	return true
}

// run reads frames until the connection ends, and then ends the streams that are open.
func (c *conn) run() {
	var err error
	defer c.processor.Leave()
	for err == nil {
		var f http2.Frame
		c.processor.Wait()
		if f, err = c.link.ReadFrame(); err == nil {
			c.processor.Work()
			c.mu.Lock()
			c.heard, c.pinged = time.Now(), time.Time{}
			c.mu.Unlock()
			err = c.takeFrame(f)
		}
		var broken http2.StreamError
		if errors.As(err, &broken) {
			err = nil
			if s := c.link.Stream(broken.StreamID); s != nil {
				c.link.Reset(s, broken.Code)
				s.Owner.(*attempt).oddEnd() // what came can't be an answer
			}
		}
	}
	c.link.Close()
	c.u.mu.Lock()
	c.closed = true
	for i, other := range c.host.conns {
		if other == c {
			c.host.conns = append(c.host.conns[:i], c.host.conns[i+1:]...)
			break
		}
	}
	c.u.lose()
	c.u.mu.Unlock()
	<-c.link.Ended() // what was being written has been, or has not: now it is known
	c.link.Each(func(s *h2.Stream) {
		c.link.Forget(s)
		s.Owner.(*attempt).broken(s)
	})
}

// takeFrame handles a frame.
func (c *conn) takeFrame(f http2.Frame) error {
	calm := http2.ConnectionError(http2.ErrCodeEnhanceYourCalm)
	switch f := f.(type) {
	case *http2.MetaHeadersFrame:
		if s := c.link.Stream(f.StreamID); s != nil {
			s.Owner.(*attempt).headers(f)
		}
	case *http2.DataFrame:
		s := c.link.Stream(f.StreamID)
		if err := c.link.Received(s, int(f.Length)); err != nil {
			return err
		}
		if s == nil { // it was called off
			c.link.Credit(nil, int(f.Length))
			return nil
		}
		s.Owner.(*attempt).data(f)
	case *http2.RSTStreamFrame:
		s := c.link.Stream(f.StreamID)
		if s == nil {
			return nil
		}
		whole := c.link.Forget(s)
		t := s.Owner.(*attempt)
		switch {
		case f.ErrCode == http2.ErrCodeRefusedStream: // section 8.7: it was not processed
			t.end(frostshift.Full, nil)
		case f.ErrCode == http2.ErrCodeNo && t.answered(): // the answer is whole, the rest was not needed
			t.finish()
		case !whole && !t.begun(s): // its last byte was never sent
			t.end(frostshift.ConnectFailed, nil)
		default:
			t.end(frostshift.Reset, nil)
		}
	case *http2.SettingsFrame:
		if !c.empties.Take(time.Now()) {
			return calm
		}
		err := c.link.Settings(f)
		c.u.mu.Lock()
		c.u.stir() // there may be room for more streams
		c.u.mu.Unlock()
		return err
	case *http2.PingFrame:
		if f.IsAck() {
			return nil
		}
		if !c.empties.Take(time.Now()) {
			return calm
		}
		data := f.Data
		c.link.Control(func(fr *http2.Framer) error { return fr.WritePing(true, data) })
	case *http2.WindowUpdateFrame:
		return c.link.WindowUpdate(f)
	case *http2.GoAwayFrame:
		c.away(f.LastStreamID)
	case *http2.PushPromiseFrame:
		return http2.ConnectionError(http2.ErrCodeProtocol) // it was told that none is wanted
	}
	return nil
}

// away takes in that the host goes away: streams above the last that it names were never
// processed (section 6.8), the others go on.
func (c *conn) away(last uint32) {
	c.mu.Lock()
	c.goAway = min(c.goAway, last)
	c.mu.Unlock()
	c.link.Each(func(s *h2.Stream) {
		if s.ID > last {
			c.link.Forget(s)
			s.Owner.(*attempt).end(frostshift.NotSent, nil)
		}
	})
	c.leave()
}

// watch asks a silent host whether it lives, and closes a connection that does not.
func (c *conn) watch(now time.Time) {
	c.mu.Lock()
	ask, dead := false, false
	switch {
	case !c.pinged.IsZero():
		dead = now.Sub(c.pinged) >= pingAfter
	case now.Sub(c.heard) >= pingAfter:
		ask, c.pinged = true, now
	}
	c.mu.Unlock()
	if ask {
		c.link.Control(func(f *http2.Framer) error { return f.WritePing(false, [8]byte{'a', 'l', 'i', 'v', 'e'}) })
	}
	if dead {
		c.link.Close()
	}
}
