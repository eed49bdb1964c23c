package http1

import (
	"errors"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"frostshift/internal/stall"
	"frostshift/internal/stream"
	"frostshift/internal/upstream"
)

// feeder sends the body of one attempt, in a goroutine of its own: the answer may come first.
type feeder struct {
	t    *attempt
	c    *conn
	up   *stream.Upload
	r    *stream.Reader
	idle time.Duration
	done chan struct{} // closed: nothing more is written

	mu   sync.Mutex
	head bool // the answer's head has come
	gone bool // what the attempt was to read of the body is not there any more

	// To be read once done is closed:
	whole bool // the last byte has gone out
}

// feed begins to send the body behind the head.
func (t *attempt) feed(c *conn, up *stream.Upload, r *stream.Reader, idle time.Duration) *feeder {
	f := &feeder{t: t, c: c, up: up, r: r, idle: idle, done: make(chan struct{})}
	go f.run()
	return f
}

// run copies until the body has ended, on either side. It frames anew what it sends: a body
// that breaks off is never ended, and so can't pass for a shorter one.
func (f *feeder) run() {
	defer close(f.done)
	defer f.r.Close()
	chunk := upstream.TakeChunk(f.c.up.cfg.Bytes)
	defer chunk.Free()
	const room = 16 // for the size of a chunk ahead and its end behind
	space := chunk.Bytes
	var digits [room]byte
	w := stall.NewWriter(f.c, f.c.raw, f.idle)
	chunked := f.up.Length() < 0 && !f.up.Raw()
	for {
		n, err := f.r.Read(space[room : len(space)-2])
		f.t.Waited(f.r.Waited())
		var out []byte
		switch {
		case n > 0 && chunked:
			size := append(strconv.AppendInt(digits[:0], int64(n), 16), "\r\n"...)
			at := room - len(size)
			copy(space[at:], size)
			copy(space[room+n:], "\r\n")
			out = space[at : room+n+2]
		case n > 0:
			out = space[room : room+n]
		case err == io.EOF && chunked:
			out = appendTrailer(space[:0], f.up.Trailer())
		}
		if err != nil && err != io.EOF {
			f.mu.Lock()
			f.gone = errors.Is(err, stream.ErrGone)
			f.mu.Unlock()
			f.c.Close() // it broke off: the host must see that
			return
		}
		if len(out) > 0 {
			if !f.t.writePart(w, out) {
				f.headWithin(restLeast) // an answer that has come already still counts
				return
			}
		}
		if err == io.EOF {
			if f.up.Raw() {
				f.c.closeWrite()
			}
			f.whole = true
			f.t.Fed()
			f.headWithin(time.Until(f.t.HeadBy())) // it is due from here on
			return
		}
	}
}

// isGone says whether the body broke off as its beginning is not kept any more.
func (f *feeder) isGone() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.gone
}

// headWithin sets when the answer's head is due, unless it has come.
func (f *feeder) headWithin(d time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.head {
		f.c.SetReadDeadline(time.Now().Add(d))
	}
}

// stop ends the sending, and says whether all had gone out. It does not wait for the goroutine,
// which may be waiting for the client: whatever that sends goes nowhere.
func (f *feeder) stop() bool {
	f.r.Close()
	f.t.mu.Lock()
	f.t.cut = true
	f.t.mu.Unlock()
	f.c.SetWriteDeadline(time.Unix(1, 0))
	f.t.writing.Lock()
	f.t.writing.Unlock() //lint:ignore SA2001 waits for a write that is under way
	return f.sent()
}

// sent says whether all has gone out, without waiting.
func (f *feeder) sent() bool {
	select {
	case <-f.done:
		return f.whole
	default:
		return false
	}
}

// appendTrailer is the last chunk, with the fields behind it.
func appendTrailer(b []byte, h http.Header) []byte {
	b = append(b, "0\r\n"...)
	b = appendFields(b, h)
	return append(b, "\r\n"...)
}
