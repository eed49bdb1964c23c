package front

import (
	"bytes"

	"frostshift/internal/chunked"
)

// mostRecorded is how much of what comes is kept for Recorded: a head, at the most.
const mostRecorded = 16 << 10

// note keeps what has come.
func (c *Conn) note(b []byte) {
	if !c.all.keepHeads.Load() {
		return
	}
	c.recordMu.Lock()
	defer c.recordMu.Unlock()
	if c.chunks != nil {
		c.chunks.Came(b)
	}
	if !c.skips && len(c.record) < mostRecorded {
		c.record = append(c.record, b[:min(len(b), mostRecorded-len(c.record))]...)
	}
}

// KeepHeads says whether heads are kept for Recorded: they need be where a route takes bodies
// of no told length.
func (l *Conns) KeepHeads(on bool) { l.keepHeads.Store(on) }

// Recorded is the head of the request that has been read last, as it came, up to its blank
// line: an http.Server drops a Content-Length that stands beside Transfer-Encoding, and with
// it the sign of a request that two servers would end at different places. ok is false where
// it is not known: its beginning came with bytes of an earlier body. A body follows, and
// nothing is kept until Record.
func (c *Conn) Recorded() (head []byte, ok bool) {
	c.recordMu.Lock()
	defer c.recordMu.Unlock()
	c.skips = true
	end := bytes.Index(c.record, blankLine)
	if end < 0 {
		return nil, false
	}
	return c.record[:end+2], true
}

// FollowChunks returns a counter of the chunked body behind the head that Recorded has given; nil: what has come of it
// is not known.
func (c *Conn) FollowChunks() *chunked.Counter {
	c.recordMu.Lock()
	defer c.recordMu.Unlock()
	end := bytes.Index(c.record, blankLine)
	if end < 0 || len(c.record) == mostRecorded {
		return nil
	}
	c.chunks = &chunked.Counter{}
	c.chunks.Came(c.record[end+len(blankLine):])
	return c.chunks
}

// Headed notes that a head has been read whose bytes nobody asks for; with a body behind it
// nothing is kept until Record.
func (c *Conn) Headed(bodied bool) {
	if !c.all.keepHeads.Load() {
		return
	}
	c.recordMu.Lock()
	defer c.recordMu.Unlock()
	c.skips = bodied
	n := len(c.record)
	if end := bytes.Index(c.record, blankLine); end >= 0 {
		n = end + len(blankLine)
	}
	c.record = c.record[:copy(c.record, c.record[n:])]
}

// HeadWhole notes that a head has been read whole, which from here on is held by its request. bodied says that a body
// follows.
func (c *Conn) HeadWhole(bodied bool) { c.meter.whole(bodied) }

// Record begins to keep what comes: the head of the next request.
func (c *Conn) Record() {
	c.meter.bodied()
	if !c.all.keepHeads.Load() {
		return
	}
	c.recordMu.Lock()
	defer c.recordMu.Unlock()
	c.record, c.skips, c.chunks = c.record[:0], false, nil
}

var blankLine = []byte("\r\n\r\n")
