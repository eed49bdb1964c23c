package faultinject

import (
	"fmt"
	"io"
	"strings"
	"time"
)

const (
	// mostKept is the longest body of which a gateway keeps all (docs/platform.md).
	mostKept = 64 << 10
	// leastHalf is the shortest body that halfBodies begin.
	leastHalf = 55_000
)

// smallBodies send ordinary requests with bodies of 1 byte to 64 KiB, some of which rest half way.
func smallBodies(c *client) {
	c.each(func() *call {
		q := &call{class: c.uploadClass(), left: trialLongest, body: c.drawnBody(c.smallLength()), chunked: c.r.IntN(2) == 0}
		if c.r.IntN(4) == 0 {
			q.rests = time.Duration(c.r.IntN(300)) * time.Millisecond
		}
		return q
	}, func() time.Duration { return time.Duration(20+c.r.IntN(80)) * time.Millisecond })
}

// smallLength draws the length of a body that is kept whole: any magnitude is as likely as the others.
func (c *client) smallLength() int {
	return 1 + c.r.IntN(min(1<<(1+c.r.IntN(16)), mostKept))
}

// drawnBody is a body no two of which are alike in any part.
func (c *client) drawnBody(n int) []byte {
	b := make([]byte, n)
	for i := range b {
		b[i] = byte(c.r.Uint32())
	}
	return b
}

// halfBodies stop shortly ahead of the end of a body that would be kept whole, and come again when they are closed.
func halfBodies(c *client) {
	c.stopWithinBody(func() (told, sent int) {
		told = leastHalf + c.r.IntN(mostKept-leastHalf)
		return told, told - 1 - c.r.IntN(3000)
	})
}

// stopWithinBody sends a part of a body of a length, told or in one chunk, as is drawn.
func (c *client) stopWithinBody(draw func() (told, sent int)) {
	for c.sleep(10 * time.Millisecond) {
		l := c.dial()
		if l == nil {
			return
		}
		n, sent := draw()
		chunked := c.r.IntN(2) == 0
		text := c.head(c.newID(), &call{class: c.uploadClass(), left: trialLongest, chunked: chunked})
		if chunked {
			text += fmt.Sprintf("%x\r\n", n)
		} else {
			text = strings.Replace(text, "Content-Length: 0", fmt.Sprintf("Content-Length: %d", n), 1)
		}
		l.SetWriteDeadline(time.Now().Add(5 * time.Second))
		io.WriteString(l, text)
		l.Write(c.drawnBody(sent))
		c.linger(l)
	}
}

// thinBodies stop right behind the first part of a body that would be kept whole, and come again when they are closed.
func thinBodies(c *client) {
	c.stopWithinBody(func() (told, sent int) { return mostKept - 1, thinPart + c.r.IntN(1000) })
}

// thinPart is how much of its body a thin one sends: a little more than a gateway keeps in a buffer made to measure.
const thinPart = 16 << 10
