package http1

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"frostshift/internal/chunked"
	"frostshift/internal/socket"
)

// conn is a connection to a host. It belongs to one attempt or is idle.
type conn struct {
	net.Conn
	up         *Upstream
	host       *host
	raw        syscall.RawConn
	in         *bufio.Reader    // while an answer is read; nil: nothing has been read that is not used
	limit      io.LimitedReader // what may yet be read of an answer
	freed      time.Time        // when its last answer was whole
	closed     bool             // under the upstream's lock
	answerHead answerHead
	chunks     *chunked.Counter // of the body that is being read; nil: it is not chunked
	// failed is the error of the socket that a wait or a write has met: the kernel reports one a
	// single time, and a read after it sees the same end as after a close.
	failed atomic.Pointer[net.OpError]
}

func newConn(nc net.Conn, u *Upstream, h *host) *conn {
	c := &conn{Conn: nc, up: u, host: h}
	c.limit.R = c
	if s, ok := nc.(syscall.Conn); ok {
		c.raw, _ = s.SyscallConn()
	}
	return c
}

// readers are as large as most answers, so that one read takes in a whole one; idle
// connections, of which there are many, hold none.
var readers = sync.Pool{New: func() any { return bufio.NewReaderSize(nil, 32<<10) }}

// begin gives the connection a reader for an answer; done takes it back, unless something
// has been read that belongs to no answer.
func (c *conn) begin() {
	c.answerHead.begin()
	if c.in == nil {
		c.in = readers.Get().(*bufio.Reader)
		c.in.Reset(&c.limit)
	}
}

func (c *conn) done() {
	c.chunks = nil
	if c.in != nil && c.in.Buffered() == 0 {
		c.in.Reset(nil)
		if c.in.Size() == flowReader {
			flowReaders.Put(c.in)
		} else {
			readers.Put(c.in)
		}
		c.in = nil
	}
}

// flowReader is the size of a reader for an answer whose body may flow: it may be held for
// hours, and longer parts are read past it.
const flowReader = 4 << 10

var flowReaders = sync.Pool{New: func() any { return bufio.NewReaderSize(nil, flowReader) }}

// beginFlow is begin for such an answer.
func (c *conn) beginFlow() {
	c.answerHead.begin()
	if c.in == nil {
		c.in = flowReaders.Get().(*bufio.Reader)
		c.in.Reset(&c.limit)
	}
}

// idleState is what a look at an idle connection finds.
type idleState int

const (
	idleQuiet   idleState = iota // open, and nothing has come on it
	idleUnasked                  // something has come that nobody asked for
	idleEnded                    // closed or broken
)

// look returns the state of an idle connection. Answers do not name their request: one that comes unasked, or the
// rest of one, would be taken for the answer to the next request.
func (c *conn) look() idleState {
	if c.in != nil {
		return idleUnasked
	}
	if c.raw == nil {
		return idleQuiet
	}
	n, err := c.peek()
	switch {
	case errors.Is(err, syscall.EAGAIN):
		return idleQuiet
	case n > 0:
		return idleUnasked
	}
	return idleEnded
}

// peek looks at the socket, and neither waits nor reads: EAGAIN says that it is open and nothing has come.
func (c *conn) peek() (n int, err error) {
	// Control, unlike Read, does not mind that a deadline has passed.
	if e := c.raw.Control(func(fd uintptr) { n, err = socket.Peek(fd) }); e != nil {
		return 0, e
	}
	return n, err
}

// hasEnded reports whether the host has ended the connection behind all that was read from the socket. A wait whose
// deadline has passed does not see that: a goroutine that runs late finds the deadline ahead of what has come.
func (c *conn) hasEnded() bool {
	if c.raw == nil {
		return false
	}
	n, err := c.peek()
	switch {
	case n > 0 || errors.Is(err, syscall.EAGAIN) || errors.Is(err, socket.ErrNotSeen):
		return false
	case err != nil: // the kernel tells it a single time
		c.note(&net.OpError{Op: "read", Net: "tcp", Addr: c.RemoteAddr(), Err: err})
	}
	return true
}

// Read reads from the host. Where the connection has failed it never says io.EOF.
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if failed := c.failed.Load(); err == io.EOF && failed != nil {
		return n, failed
	}
	if n > 0 {
		if err := c.answerHead.came(b[:n], c.up.cfg.Bytes); err != nil {
			return 0, err
		}
		if c.chunks != nil {
			c.chunks.Came(b[:n])
		}
	}
	return n, err
}

// followChunks has a chunked body read as it comes: its decoder holds back what it has read of a chunk.
func (c *conn) followChunks(resp *http.Response) {
	if !slices.Contains(resp.TransferEncoding, "chunked") {
		return
	}
	c.chunks = &chunked.Counter{}
	come, _ := c.in.Peek(c.in.Buffered())
	c.chunks.Came(come)
	resp.Body = struct {
		io.Reader
		io.Closer
	}{chunked.NewReader(resp.Body, c.chunks), resp.Body}
}

// Write writes to the host.
func (c *conn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.note(err)
	return n, err
}

// writeParts writes several parts with one call.
func (c *conn) writeParts(parts net.Buffers) (int64, error) {
	n, err := parts.WriteTo(c.Conn)
	c.note(err)
	return n, err
}

// note keeps an error of the socket for the reads behind it. A broken pipe is not one: a host that has
// ended its answer in good order need not read the rest of a request.
func (c *conn) note(err error) {
	var failed *net.OpError
	if errors.As(err, &failed) && !errors.Is(err, os.ErrDeadlineExceeded) && !errors.Is(err, syscall.EPIPE) {
		c.failed.CompareAndSwap(nil, failed)
	}
}

// await waits until there is something to read, within the deadline. It takes up no buffer. False: the deadline has passed.
func (c *conn) await() bool {
	if c.raw == nil {
		if c.in != nil {
			c.in.Peek(1)
		}
		return true
	}
	err := c.raw.Read(func(fd uintptr) bool {
		_, err := socket.Peek(fd)
		switch {
		case errors.Is(err, syscall.EAGAIN):
			return false
		case errors.Is(err, socket.ErrNotSeen): // whoever reads finds out
		case err != nil:
			c.note(&net.OpError{Op: "read", Net: "tcp", Addr: c.RemoteAddr(), Err: err})
		}
		return true
	})
	return !errors.Is(err, os.ErrDeadlineExceeded)
}

// closeWrite says that nothing more is sent.
func (c *conn) closeWrite() {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		half.CloseWrite()
	}
}

// Close closes the connection; close does with the upstream's lock held.
func (c *conn) Close() error {
	c.up.mu.Lock()
	defer c.up.mu.Unlock()
	return c.close()
}

func (c *conn) close() error {
	if c.closed {
		return nil
	}
	c.closed = true
	c.answerHead.end(c.up.cfg.Bytes)
	c.up.lose(c.host)
	return c.Conn.Close()
}
