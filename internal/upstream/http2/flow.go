package http2

import (
	"errors"
	"io"
	"net/http"
	"os"
	"sync"
	"time"

	"golang.org/x/net/http2"

	"frostshift"
	"frostshift/internal/h2"
	"frostshift/internal/message"
	"frostshift/internal/shortage"
	"frostshift/internal/stream"
	"frostshift/internal/upstream"
	"frostshift/internal/verdict"
)

// Bodies that are not held whole: a request's goes to the host as its client sends it, an
// answer's comes as whoever gives it to the client reads it.

// mostAhead is how many answers may come ahead of the final one.
const mostAhead = 32

// feeder sends the body of one attempt.
type feeder struct {
	t     *attempt
	up    *stream.Upload
	r     *stream.Reader
	taken chan struct{} // holds one: what was given to the link has been sent
	sent  chan struct{} // closed: the last byte has
	idle  time.Duration
	late  *time.Timer
}

func newFeeder(t *attempt, up *stream.Upload, r *stream.Reader) *feeder {
	return &feeder{t: t, up: up, r: r, taken: make(chan struct{}, 1), sent: make(chan struct{})}
}

func (f *feeder) took() {
	select {
	case f.taken <- struct{}{}:
	default:
	}
}

func (f *feeder) done() { close(f.sent) }

// run copies until the body has ended, on either side. A body that breaks off ends with a
// reset, and so can't pass for a shorter one.
func (f *feeder) run() {
	defer f.r.Close()
	t := f.t
	link, s := t.conn.link, t.stream
	f.idle = t.Message.(*message.Request).Flow.Idle
	f.late = time.NewTimer(f.idle)
	defer f.late.Stop()
	if !f.wait(f.taken) { // the head
		return
	}
	for {
		chunk := upstream.TakeChunk(t.u.cfg.Bytes)
		n, err := f.r.Read(chunk.Bytes)
		t.Waited(f.r.Waited())
		if n > 0 {
			link.Append(s, chunk.Bytes[:n], false, nil)
			if !f.wait(f.taken) {
				chunk.Drop() // it may still be written
				return
			}
		}
		chunk.Free()
		switch {
		case err == io.EOF:
			link.Append(s, nil, true, h2.AppendFields(nil, f.up.Trailer()))
			if f.wait(f.sent) {
				t.fed()
			}
			return
		case errors.Is(err, stream.ErrClosed) && !f.up.Broken(): // the attempt has ended
			return
		case err != nil: // the client's sending broke off: no fault of the host's
			link.Reset(s, http2.ErrCodeCancel)
			t.end(frostshift.Canceled, nil)
			return
		}
	}
}

// wait waits until what was sent has gone out. False: the host takes nothing in, which ends the attempt, or that has
// ended.
func (f *feeder) wait(c <-chan struct{}) bool {
	t := f.t
	link, s := t.conn.link, t.stream
	select {
	case <-c: // it was written at once, mostly
		return true
	default:
	}
	for sent := s.Sent(); ; {
		f.late.Reset(f.idle)
		select {
		case <-c:
			return true
		case <-t.off:
		case <-link.Ended():
		case <-f.late.C:
			if now := s.Sent(); now > sent {
				sent = now
				continue
			}
			if link.Reset(s, http2.ErrCodeCancel) || t.begun(s) {
				t.end(frostshift.TimedOut, nil)
			} else {
				t.end(frostshift.ConnectFailed, nil)
			}
		}
		return false
	}
}

// fed notes that the last byte has gone out: the answer's head is due from here on.
func (t *attempt) fed() {
	t.Fed()
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.ended || t.fl != nil {
		return
	}
	if by := t.HeadBy(); by.Before(t.by) {
		t.by = by
		if t.timer != nil {
			t.timer.Reset(time.Until(by))
		}
	}
}

// answerFlow is the body of an answer on its way. Put and its like belong to the connection's
// reader, Read to the front's goroutine.
type answerFlow struct {
	*h2.Queue
	t       *attempt
	idle    time.Duration
	until   time.Time
	gave    time.Time // when the last Read returned
	set     time.Time // what the deadline of reads is
	came    int64
	trailer http.Header

	once   sync.Once
	mu     sync.Mutex
	result frostshift.Result // of the host's side; OK: it has not ended, or whole
	late   bool
}

// errBroken says that the host broke off.
var errBroken = errors.New("the answer broke off")

// flowNow is the answer's body, if it flows.
func (t *attempt) flowNow() *answerFlow {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.fl
}

// begin hands the head of an answer on whose body is to flow, or ends the attempt where there is no room for one. It says
// whether it did either.
func (t *attempt) begin(req *message.Request) bool {
	if req.Flow == nil || !req.Flow.Answers || bodiless(req.Method, t.status) || t.length >= 0 && t.length <= req.Flow.Hold {
		return false
	}
	m := t.Answers.Judge(t.status, t.header)
	if m.Disposition != verdict.Final {
		return false // it is taken whole, or not at all
	}
	fl := &answerFlow{Queue: t.conn.link.NewQueue(t.stream, t.u.cfg.Bytes, shortage.AnswerMemory), t: t, idle: req.Flow.Idle, until: req.Flow.Ends, gave: time.Now()}
	if !fl.Reserve() {
		t.short()
		return true
	}
	t.mu.Lock()
	if t.ended {
		t.mu.Unlock()
		fl.Drop()
		return false
	}
	t.fl = fl
	if t.timer != nil {
		t.timer.Stop()
	}
	t.mu.Unlock()
	if t.status >= 400 && t.feeder != nil { // it wants no more of the body
		t.feeder.r.Close()
	}
	a := &message.Answer{Status: t.status, Header: message.EndToEnd(t.header), Length: t.length, Stream: fl, Free: fl.Close}
	if names := message.Announce(t.header["Trailer"]); names != nil {
		a.Header["Trailer"] = names
	}
	t.Flowing(m, upstream.After(a), a)
	return true
}

// stop ends what waits for the attempt. The lock is held.
func (t *attempt) stop() {
	if !t.isOff {
		t.isOff = true
		close(t.off)
	}
}

// put takes a part of the body.
func (fl *answerFlow) put(part []byte, size int, end bool) {
	fl.came += int64(len(part))
	fl.Put(part, size)
	if length := fl.t.length; length >= 0 && fl.came > length {
		fl.t.conn.link.Reset(fl.t.stream, http2.ErrCodeProtocol)
		fl.fail(frostshift.Reset)
		return
	}
	if end {
		fl.last()
	}
}

// last ends the body.
func (fl *answerFlow) last() {
	if length := fl.t.length; length >= 0 && fl.came != length {
		fl.t.conn.link.Reset(fl.t.stream, http2.ErrCodeProtocol)
		fl.fail(frostshift.Reset)
		return
	}
	fl.End()
}

// fail notes that the host's side broke off. What has ended stays whole.
func (fl *answerFlow) fail(result frostshift.Result) {
	if fl.Ended() {
		return
	}
	fl.mu.Lock()
	if fl.result == frostshift.OK {
		fl.result = result
	}
	fl.mu.Unlock()
	fl.Fail(errBroken)
}

// due notes how long the client has been waited for, and sets when the host's next byte is due.
func (fl *answerFlow) due() {
	now := time.Now()
	fl.t.Waited(now.Sub(fl.gave))
	by := fl.until
	if fl.idle > 0 && now.Add(fl.idle).Before(by) {
		by = now.Add(fl.idle)
	}
	if fl.set.Before(by) {
		fl.set = by.Add(fl.idle / 8) // a call for each read is many
		if fl.set.After(fl.until) {
			fl.set = fl.until
		}
		fl.SetReadDeadline(fl.set)
	}
}

// Wait waits for something to read.
func (fl *answerFlow) Wait() {
	fl.due()
	fl.Queue.Wait()
	fl.gave = time.Now()
}

// Read reads what has come.
func (fl *answerFlow) Read(p []byte) (int, error) {
	n, err := fl.Queue.Read(p)
	if errors.Is(err, os.ErrDeadlineExceeded) {
		fl.mu.Lock()
		fl.late = true
		fl.mu.Unlock()
	}
	fl.gave = time.Now()
	return n, err
}

// Trailer is what followed the body.
func (fl *answerFlow) Trailer() http.Header { return message.Trailers(fl.trailer) }

// Close ends the flow and says how it ended; it is the answer's Release. A Read that waits
// elsewhere ends with an error.
func (fl *answerFlow) Close() {
	fl.once.Do(func() {
		t := fl.t
		link, s := t.conn.link, t.stream
		whole := fl.Ended()
		fl.mu.Lock()
		result, late := fl.result, fl.late
		fl.mu.Unlock()
		switch {
		case whole:
			result = frostshift.OK
		case late:
			result = frostshift.TimedOut
		case result == frostshift.OK:
			result = frostshift.Canceled
		}
		if t.feeder != nil {
			t.feeder.r.Close()
		}
		fl.Drop()
		go func() { // it may be the pool's loop that releases
			switch {
			case !whole:
				link.Reset(s, http2.ErrCodeCancel)
			case s.Whole():
				link.Forget(s)
			default:
				link.Reset(s, http2.ErrCodeNo)
			}
			t.mu.Lock()
			t.ended = true
			t.stop()
			held := t.headHeld
			t.headHeld = 0
			t.mu.Unlock()
			t.u.cfg.Bytes.Give(held)
			t.conn.give()
			t.Flowed(result)
		}()
	})
}
