// Package chunked reads bodies in the chunked coding (RFC 9112 section 7.1) as they come. The decoder of net/http waits
// within a chunk until the caller's buffer is full, and holds back what it has read of the chunk until then. A Counter
// follows the coding beside it, and a Reader asks the decoder for no more than has come.
package chunked

import (
	"io"
	"sync/atomic"
)

// Counter counts the bytes of content in a chunked body as it comes from a connection. It decides nothing about the
// body: what it can't follow, it leaves to the decoder. Came is called by one goroutine at a time.
type Counter struct {
	content atomic.Int64
	lost    atomic.Bool // it can't follow the coding
	state   state
	left    int64 // of the chunk
	digits  int   // of its size
}

// state is what the next byte belongs to.
type state uint8

const (
	inSize      state = iota // the digits of a chunk's size
	inExtension              // the rest of that line
	inData                   // content
	inDataEnd                // the line end behind it
	inTrailer                // what follows the last chunk
)

// maxSizeDigits bounds the size of a chunk to what fits an int64.
const maxSizeDigits = 15

// Came takes in the next bytes of the body as they are on the wire.
func (c *Counter) Came(b []byte) {
	for len(b) > 0 && c.state != inTrailer && !c.lost.Load() {
		if c.state == inData {
			n := min(int64(len(b)), c.left)
			c.content.Add(n)
			if c.left -= n; c.left == 0 {
				c.state = inDataEnd
			}
			b = b[n:]
			continue
		}
		c.framing(b[0])
		b = b[1:]
	}
}

// framing takes in a byte that is no content.
func (c *Counter) framing(b byte) {
	if b == '\n' {
		c.endLine()
		return
	}
	if c.state != inSize {
		return
	}
	digit, ok := hexDigit(b)
	switch {
	case !ok:
		c.state = inExtension
	case c.digits == maxSizeDigits:
		c.lost.Store(true)
	default:
		c.left = c.left<<4 | digit
		c.digits++
	}
}

// endLine takes in the end of a line.
func (c *Counter) endLine() {
	switch {
	case c.state == inDataEnd:
		c.state, c.left, c.digits = inSize, 0, 0
	case c.digits == 0:
		c.lost.Store(true)
	case c.left == 0:
		c.state = inTrailer
	default:
		c.state = inData
	}
}

func hexDigit(b byte) (int64, bool) {
	switch {
	case '0' <= b && b <= '9':
		return int64(b - '0'), true
	case 'a' <= b && b <= 'f':
		return int64(b-'a') + 10, true
	case 'A' <= b && b <= 'F':
		return int64(b-'A') + 10, true
	}
	return 0, false
}

// Reader reads the content of a chunked body and waits for no more while it has some. It is not safe for concurrent
// use.
type Reader struct {
	decoded io.Reader
	counter *Counter
	taken   int64
}

// NewReader returns a reader of a body that decoded decodes and counter follows from its first byte on.
func NewReader(decoded io.Reader, counter *Counter) *Reader {
	return &Reader{decoded: decoded, counter: counter}
}

// Read reads what has come, and waits if there is nothing.
func (r *Reader) Read(p []byte) (n int, err error) {
	if r.counter.lost.Load() || len(p) == 0 {
		return r.decoded.Read(p)
	}
	if r.ready() <= 0 { // more than one byte could be waited for apart
		if n, err = r.read(p[:1]); n == 0 || err != nil {
			return n, err
		}
	}
	if more := min(r.ready(), int64(len(p)-n)); more > 0 {
		var k int
		k, err = r.read(p[n : n+int(more)])
		n += k
	}
	return n, err
}

// ready is how many bytes have come and not been read.
func (r *Reader) ready() int64 { return r.counter.content.Load() - r.taken }

func (r *Reader) read(p []byte) (int, error) {
	n, err := r.decoded.Read(p)
	r.taken += int64(n)
	return n, err
}
