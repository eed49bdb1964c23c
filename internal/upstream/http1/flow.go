package http1

import (
	"errors"
	"io"
	"maps"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"frostshift"
	"frostshift/internal/message"
	"frostshift/internal/stream"
	"frostshift/internal/upstream"
	"frostshift/internal/verdict"
)

// Bodies that are not held whole: a request's goes to the host as its client sends it, an
// answer's comes as whoever gives it to the client reads it.

// chunks are buffers for bodies on their way.
var chunks = sync.Pool{New: func() any { b := make([]byte, 64<<10); return &b }}

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

	// To be read once done is closed:
	whole bool // the last byte has gone out
}

// errCut says that a connection broke with a part of the request on it.
var errCut = errors.New("the connection broke within the request")

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
	buffer := chunks.Get().(*[]byte)
	defer chunks.Put(buffer)
	const room = 16 // for the size of a chunk ahead and its end behind
	space := *buffer
	var digits [room]byte
	var set time.Time
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
			f.c.Close() // it broke off: the host must see that
			return
		}
		if len(out) > 0 {
			if now := time.Now(); f.idle > 0 && now.Sub(set) > f.idle/8 { // a call for each write is many
				set = now
				f.c.SetWriteDeadline(now.Add(f.idle))
			}
			if !f.t.write(f.c, out) {
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
			f.headWithin(time.Until(f.t.headBy())) // it is due from here on
			return
		}
	}
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

// tryFlow sends the request once where its body or the answer's may flow. It reports by
// itself how that ended.
func (t *attempt) tryFlow(h *host) {
	req := t.Message.(*message.Request)
	c, err := t.up.get(t, h)
	if errors.Is(err, errNoSockets) {
		t.End(frostshift.NotSent)
		return
	}
	if err != nil {
		t.End(t.unsent())
		return
	}
	var r *stream.Reader
	if req.Upload != nil {
		if r, err = req.Upload.Open(); err != nil { // an earlier attempt has used its beginning up
			t.letGo()
			t.up.put(c)
			t.End(frostshift.NotSent)
			return
		}
	}
	if !t.hold(c) {
		if r != nil {
			r.Close()
		}
		t.up.put(c)
		t.End(frostshift.NotSent)
		return
	}
	t.flow(c, h, req, r)
}

// flow sends the request on a connection and takes its answer.
func (t *attempt) flow(c *conn, h *host, req *message.Request, r *stream.Reader) {
	if req.Upload == nil {
		c.SetDeadline(t.Until)
	} else {
		c.SetDeadline(time.Time{})
	}
	if !t.send(c, req, h.address) {
		if r != nil {
			r.Close()
		}
		c.Close()
		if req.Upload != nil && t.wrote && t.letGo() {
			t.End(frostshift.Reset) // a part of the head is no request, but none can tell
			return
		}
		t.End(t.unsent())
		return
	}
	req.Written.Store(true)
	var f *feeder
	switch {
	case req.Upload == nil:
	case req.Upgrade != "": // nothing follows before the host has switched
		t.Fed()
		c.SetReadDeadline(t.headBy())
	default:
		c.SetReadDeadline(t.Until)
		f = t.feed(c, req.Upload, r, req.Flow.Idle)
	}
	if req.Upload != nil || t.up.flows.Load() > fewFlows {
		c.beginFlow()
	} else {
		c.begin()
	}
	c.limit.N = maxHeader
	resp, err := c.head(req)
	if f != nil {
		f.mu.Lock()
		f.head = true
		f.mu.Unlock()
	}
	if err != nil {
		t.lost(c, f, r, err)
		return
	}
	m := t.Answers.Judge(resp.StatusCode, resp.Header)
	a := &message.Answer{Status: resp.StatusCode, Length: -1, Header: message.EndToEnd(resp.Header)}
	switch {
	case resp.StatusCode == http.StatusSwitchingProtocols:
		c.SetReadDeadline(time.Time{})
		if m = (verdict.Meaning{}); r != nil {
			f = t.feed(c, req.Upload, r, req.Flow.Idle)
		}
		t.flowing(c, f, req, &http.Response{Body: io.NopCloser(c.in), ContentLength: -1, Close: true}, a, m, nil)
		return
	case bodilessAnswer(req.Method, resp.StatusCode):
		if resp.StatusCode != http.StatusNoContent {
			a.Length = resp.ContentLength
		}
	case m.Gives == verdict.Final && req.Flow.Answers && (resp.ContentLength < 0 || resp.ContentLength > req.Flow.Hold):
		a.Length = resp.ContentLength
		ahead, whole, err := t.ahead(c, req, resp)
		if err != nil {
			t.lost(c, f, r, err)
			return
		}
		if !whole {
			t.flowing(c, f, req, resp, a, m, ahead)
			return
		}
		a.Length = -1
		if ahead != nil {
			a.Body = ahead.rest
			a.Free, a.Again = ahead.free, ahead.again
		}
	default:
		now := time.Now()
		c.SetReadDeadline(now.Add(max(restLeast, t.Left/restPart)))
		if resp.ContentLength > maxAnswer {
			err = errOdd
		} else {
			var held int64
			var ok bool
			c.limit.N = maxAnswer + maxHeader
			if a.Body, held, a.Again, ok, err = readWhole(resp, t.up.cfg.Bytes); !ok {
				a.Body, held, err = readBody(resp, t.up.cfg.Bytes)
			}
			if err != nil {
				t.up.cfg.Bytes.Give(held)
			} else if held > 0 {
				room := t.up.cfg.Bytes
				a.Free = func() { room.Give(held) }
			}
		}
		if err != nil {
			if err = odd(c, err); errors.Is(err, os.ErrDeadlineExceeded) {
				err = errOdd
			}
			t.lost(c, f, r, err)
			return
		}
	}
	c.done()
	fed := f == nil || f.sent() || f.stop()
	if t.letGo() && fed && !resp.Close && c.in == nil {
		c.SetDeadline(time.Time{})
		t.up.put(c)
	} else {
		c.Close()
	}
	if r != nil {
		r.Close()
	}
	t.Answered(m, upstream.After(a), a)
}

// headBy is when the head of an answer is due whose request has just gone out.
func (t *attempt) headBy() time.Time {
	by := time.Now().Add(t.Left)
	if by.After(t.Until) {
		return t.Until
	}
	return by
}

// lost ends an attempt that has no answer, or none that may be.
func (t *attempt) lost(c *conn, f *feeder, r *stream.Reader, err error) {
	broken := false
	if f != nil {
		broken = f.up.Broken()
		f.stop()
	}
	if r != nil {
		r.Close()
	}
	c.Close()
	switch {
	case !t.letGo() || broken: // the client's sending broke off: no fault of the host's
		t.End(frostshift.Canceled)
	case errors.Is(err, errOdd):
		t.Malformed()
	case errors.Is(err, os.ErrDeadlineExceeded):
		t.End(frostshift.TimedOut)
	default:
		t.End(frostshift.Reset)
	}
}

// head reads the head of the final answer; those that come ahead are hints.
func (c *conn) head(req *message.Request) (*http.Response, error) {
	if _, err := c.in.Peek(1); err != nil {
		return nil, err
	}
	for {
		resp, err := http.ReadResponse(c.in, &http.Request{Method: req.Method})
		switch {
		case err != nil:
			return nil, odd(c, err)
		case resp.StatusCode >= 200:
			return resp, nil
		case resp.StatusCode == http.StatusSwitchingProtocols:
			if req.Upgrade == "" || !strings.EqualFold(resp.Header.Get("Upgrade"), req.Upgrade) {
				return nil, errOdd
			}
			return resp, nil
		case req.Flow.Hint != nil && resp.StatusCode == http.StatusEarlyHints:
			req.Flow.Hint(resp.StatusCode, message.EndToEnd(resp.Header))
		}
	}
}

// fewFlows is how many answers may flow at once up to which a reader that takes in a whole
// answer with one read is worth its memory, though it may be held for long.
const fewFlows = 64

// beginningOf is the beginning of an answer of untold length that has been read ahead.
type beginningOf struct {
	rest  []byte
	free  func()
	again func()
}

// ahead holds the beginning of an answer of untold length back for a moment: one that proves
// to be short is whole then, and can be asked for again where it breaks.
func (t *attempt) ahead(c *conn, req *message.Request, resp *http.Response) (b *beginningOf, whole bool, err error) {
	room := t.up.cfg.Bytes
	if req.Flow.Ahead <= 0 || resp.ContentLength >= 0 || len(resp.Trailer) > 0 || !room.Take(wholePart) {
		return nil, false, nil
	}
	buffer, _ := buffers[1].Get().(*[]byte)
	if buffer == nil {
		made := make([]byte, wholePart)
		buffer = &made
	}
	b = &beginningOf{free: sync.OnceFunc(func() { room.Give(wholePart) }), again: func() { buffers[1].Put(buffer) }}
	give := func() { b.free(); b.again() }
	c.limit.N = 1<<63 - 1
	late := time.Now().Add(req.Flow.Ahead)
	got := 0
	for got < wholePart {
		if c.in.Buffered() == 0 {
			c.SetReadDeadline(late)
			if c.await(); !time.Now().Before(late) {
				break
			}
		}
		c.SetReadDeadline(t.Until) // for what has begun to come, were it the size of a chunk
		n, err := resp.Body.Read((*buffer)[got:wholePart])
		got += n
		if err == io.EOF {
			whole = true
			break
		}
		if err != nil {
			give()
			if err = odd(c, err); errors.Is(err, os.ErrDeadlineExceeded) {
				err = errOdd
			}
			return nil, false, err
		}
	}
	b.rest = (*buffer)[:got]
	if got == 0 {
		give()
		return nil, whole, nil
	}
	return b, whole, nil
}

// answerFlow is the body of an answer on its way. Its reader is the front's goroutine; Close
// may come from any.
type answerFlow struct {
	t    *attempt
	c    *conn
	f    *feeder
	req  *message.Request
	resp *http.Response

	ahead *beginningOf // that has been read and not given; nil: nothing
	first *beginningOf // that was, for Close
	idle  time.Duration
	until time.Time
	gave  time.Time // when the last Read returned
	set   time.Time // what the deadline of reads is
	total int64
	eof   bool

	once   sync.Once
	mu     sync.Mutex
	ended  bool
	broken bool // the host broke off
	late   bool // ... by sending nothing
}

// flowing hands an answer's head on, with its body to follow.
func (t *attempt) flowing(c *conn, f *feeder, req *message.Request, resp *http.Response, a *message.Answer, m verdict.Meaning, ahead *beginningOf) {
	t.up.flows.Add(1)
	s := &answerFlow{ahead: ahead, first: ahead, t: t, c: c, f: f, req: req, resp: resp, idle: req.Flow.Idle, until: req.Flow.Ends, gave: time.Now()}
	c.limit.N = 1<<63 - 1
	if names := message.Announce(slices.Collect(maps.Keys(resp.Trailer))); names != nil {
		a.Header["Trailer"] = names
	}
	a.Stream, a.Free = s, s.Close
	if f != nil && a.Status >= 400 && !f.sent() { // it wants no more of the body (RFC 9112 section 9.3)
		f.stop()
	}
	t.Flowing(m, upstream.After(a), a)
}

// Wait waits for something to read.
func (s *answerFlow) Wait() {
	if !s.eof && s.ahead == nil && s.c.in.Buffered() == 0 {
		s.due()
		s.c.await()
		s.gave = time.Now()
	}
}

// due notes how long the client has been waited for, and sets when the host's next byte is due.
func (s *answerFlow) due() {
	now := time.Now()
	s.t.Waited(now.Sub(s.gave))
	by := s.until
	if s.idle > 0 && now.Add(s.idle).Before(by) {
		by = now.Add(s.idle)
	}
	if by.Sub(s.set) > s.idle/8 || by == s.until && s.set != by { // a call for each read is many
		s.set = by
		s.c.SetReadDeadline(by)
	}
}

// Read reads what has come of the body.
func (s *answerFlow) Read(p []byte) (int, error) {
	if s.eof {
		return 0, io.EOF
	}
	if b := s.ahead; b != nil {
		n := copy(p, b.rest)
		if b.rest = b.rest[n:]; len(b.rest) == 0 {
			s.ahead = nil
			b.free()
			b.again()
		}
		s.total += int64(n)
		return n, nil
	}
	s.due()
	n, err := s.resp.Body.Read(p)
	s.gave = time.Now()
	s.total += int64(n)
	switch {
	case err == io.EOF && (s.resp.ContentLength < 0 || s.total == s.resp.ContentLength):
		s.mu.Lock()
		s.eof = true
		s.mu.Unlock()
		if n == 0 {
			return 0, io.EOF
		}
		return n, nil
	case err != nil:
		if err == io.EOF {
			err = io.ErrUnexpectedEOF
		}
		s.mu.Lock()
		s.broken, s.late = true, errors.Is(err, os.ErrDeadlineExceeded)
		s.mu.Unlock()
	}
	return n, err
}

// Trailer is what followed the body.
func (s *answerFlow) Trailer() http.Header { return message.Trailers(s.resp.Trailer) }

// Close ends the flow and says how it ended; it is the answer's Release. A Read that waits
// elsewhere ends with an error.
func (s *answerFlow) Close() {
	s.once.Do(func() {
		s.t.up.flows.Add(-1)
		if s.first != nil {
			s.first.free()
		}
		s.mu.Lock()
		whole, broken, late := s.eof, s.broken, s.late
		s.mu.Unlock()
		fed := s.f == nil || s.f.sent()
		mine := s.t.letGo()
		if whole && fed && mine && !s.resp.Close {
			s.c.done()
			if s.c.in == nil {
				s.c.SetDeadline(time.Time{})
				s.t.up.put(s.c)
				go s.t.Flowed(frostshift.OK)
				return
			}
		}
		s.c.Close()
		if s.f != nil {
			s.f.stop()
		}
		result := frostshift.Canceled
		switch {
		case whole:
			result = frostshift.OK
		case late:
			result = frostshift.TimedOut
		case broken:
			result = frostshift.Reset
		}
		go s.t.Flowed(result) // it may be the pool's loop that releases
	})
}

// bodilessAnswer says whether an answer ends with its head, whatever that tells of a length
// (RFC 9112 section 6.3).
func bodilessAnswer(method string, status int) bool {
	return method == http.MethodHead || status == http.StatusNoContent || status == http.StatusNotModified
}

// flows says whether a request needs this way, and not that of whole messages.
func flows(r *message.Request) bool { return r.Flow != nil || r.Upload != nil }
