package http1

import (
	"errors"
	"io"
	"maps"
	"net/http"
	"os"
	"slices"
	"sync"
	"time"

	"frostshift"
	"frostshift/internal/message"
	"frostshift/internal/upstream"
	"frostshift/internal/verdict"
)

// answerFlow is the body of an answer on its way. Its reader is the front's goroutine; Close
// may come from any.
type answerFlow struct {
	t    *attempt
	c    *conn
	f    *feeder
	req  *message.Request
	resp *http.Response

	ahead  *beginning // that has not been given to its end; nil: nothing
	first  *beginning // that was, for Close
	head   int64      // of the room, for the answer's head
	idle   time.Duration
	until  time.Time
	gave   time.Time // when the last Read returned
	silent bool      // the last Wait has ended with nothing to read
	set    time.Time // what the deadline of reads is
	total  int64
	eof    bool

	once   sync.Once
	mu     sync.Mutex
	broken bool // the host broke off
	late   bool // ... by sending nothing
}

// flowing hands an answer's head on, with its body to follow.
func (t *attempt) flowing(c *conn, f *feeder, req *message.Request, resp *http.Response, a *message.Answer, m verdict.Meaning, ahead *beginning) {
	t.up.flows.Add(1)
	s := &answerFlow{ahead: ahead, first: ahead, t: t, c: c, f: f, req: req, resp: resp, idle: req.Flow.Idle, until: req.Flow.Ends, gave: time.Now(), head: c.answerHead.take()}
	if ahead == nil { // else it is being read, and has no trailers that it announces
		c.limit.N = 1<<63 - 1
		if names := message.Announce(slices.Collect(maps.Keys(resp.Trailer))); names != nil {
			a.Header["Trailer"] = names
		}
	}
	a.Stream, a.Free = s, s.Close
	if ahead != nil {
		s.due() // a read may be under way by the time of the attempt, which was for the head
	}
	if f != nil && a.Status >= 400 && !f.sent() { // it wants no more of the body (RFC 9112 section 9.3)
		f.stop()
	}
	t.Flowing(m, upstream.After(a), a)
}

// Wait waits for something to read.
func (s *answerFlow) Wait() {
	switch {
	case s.eof:
	case s.ahead != nil:
		if s.ahead.isEmpty() {
			s.due()
			<-s.ahead.filled // a read that is under way ends by the deadline
			s.gave = time.Now()
		}
	case s.c.in.Buffered() == 0:
		s.due()
		s.silent = !s.c.await()
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
	if s.set.Before(by) || by == s.until && s.set != by {
		s.set = by.Add(s.idle / 8) // a call for each read is many
		if s.set.After(s.until) {
			s.set = s.until
		}
		s.c.SetReadDeadline(s.set)
	}
}

// Read reads what has come of the body.
func (s *answerFlow) Read(p []byte) (int, error) {
	if s.eof {
		return 0, io.EOF
	}
	if s.ahead != nil {
		if n, err := s.readAhead(p); n > 0 || err != nil {
			return s.took(n, err)
		}
	}
	if !s.silent { // else its time is over, which the read says
		s.due()
	}
	n, err := s.resp.Body.Read(p)
	s.gave = time.Now()
	return s.took(n, err)
}

// readAhead reads from the beginning. Without a byte or an error that has come to its end.
func (s *answerFlow) readAhead(p []byte) (int, error) {
	b := s.ahead
	n := b.read(p)
	if n == 0 {
		s.due()
		<-b.filled
		n = b.read(p)
	}
	select {
	case <-b.filled:
	default:
		return n, nil
	}
	if !b.isEmpty() {
		return n, nil
	}
	s.ahead = nil
	b.free()
	b.again()
	return n, b.err
}

// took takes in what a read has brought.
func (s *answerFlow) took(n int, err error) (int, error) {
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
		s.t.up.cfg.Bytes.Give(s.head)
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
