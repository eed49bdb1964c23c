package http1

import (
	"errors"
	"io"
	"net/http"
	"os"
	"strings"
	"time"

	"frostshift"
	"frostshift/internal/message"
	"frostshift/internal/shortage"
	"frostshift/internal/stream"
	"frostshift/internal/upstream"
	"frostshift/internal/verdict"
)

// Bodies that are not held whole: a request's goes to the host as its client sends it, an
// answer's comes as whoever gives it to the client reads it.

// tryFlow sends the request once where its body or the answer's may flow. It reports by
// itself how that ended.
func (t *attempt) tryFlow(h *host) {
	req := t.Message.(*message.Request)
	c, err := t.up.get(t, h)
	if of := shortage.Of(err); of != nil {
		t.Short(of, false)
		return
	}
	if errors.Is(err, errHostGone) {
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
	if req.Upload != nil {
		req.Upload.Touch()
	}
	if !t.send(c, req, h.address) {
		t.notSent(c, req, r)
		return
	}
	req.Written.Store(true)
	f := t.sendBody(c, req, r)
	c.await()
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
	t.takeAnswer(c, f, r, req, resp)
}

// notSent ends an attempt whose request did not go out whole.
func (t *attempt) notSent(c *conn, req *message.Request, r *stream.Reader) {
	if r != nil {
		r.Close()
	}
	t.unused(c)
	if req.Upload != nil && t.wrote && t.letGo() {
		t.End(frostshift.Reset) // a part of the head is no request, but none can tell
		return
	}
	t.End(t.unsent())
}

// sendBody begins to send a body that flows, and sets when the head of the answer is due; nil: there
// is none to send yet.
func (t *attempt) sendBody(c *conn, req *message.Request, r *stream.Reader) *feeder {
	switch {
	case req.Upload == nil:
		return nil
	case req.Upgrade != "": // nothing follows before the host has switched
		t.Fed()
		c.SetReadDeadline(t.HeadBy())
		return nil
	}
	c.SetReadDeadline(t.Until)
	return t.feed(c, req.Upload, r, req.Flow.Idle)
}

// takeAnswer takes an answer in whose head has come: whole, or as it flows.
func (t *attempt) takeAnswer(c *conn, f *feeder, r *stream.Reader, req *message.Request, resp *http.Response) {
	m := t.Answers.Judge(resp.StatusCode, resp.Header)
	a := &message.Answer{Status: resp.StatusCode, Length: -1, Header: message.EndToEnd(resp.Header)}
	var err error
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
	case m.Disposition == verdict.Final && req.Flow.Answers && (resp.ContentLength < 0 || resp.ContentLength > req.Flow.Hold):
		a.Length = resp.ContentLength
		c.followChunks(resp)
		ahead := t.holdFor(req.Flow)
		b := t.newBeginning(ahead, resp)
		if b == nil {
			if err = c.awaitBody(ahead, resp); err == nil {
				t.flowing(c, f, req, resp, a, m, nil)
				return
			}
			break
		}
		var whole bool
		if whole, err = b.fill(c, resp, func() { t.flowing(c, f, req, resp, a, m, b) }); err == nil && !whole {
			return
		}
		a.Length, a.Body, a.Free, a.Again = -1, b.rest, b.free, b.again
	default:
		err = t.readAnswer(c, resp, a)
	}
	if err != nil {
		t.lost(c, f, r, err)
		return
	}
	t.answeredWhole(c, f, r, resp, a, m)
}

// holdFor is how long the beginning of a long answer is held back, in which it can still be asked for again: no longer
// than half of the time in which its client must have a byte of it.
func (t *attempt) holdFor(flow *message.Flow) time.Duration {
	return min(flow.Ahead, max(0, time.Until(t.HeadBy())/2))
}

// awaitBody waits a while for the first byte of an answer's body, and ends with an error where the connection broke.
func (c *conn) awaitBody(within time.Duration, resp *http.Response) error {
	if within <= 0 {
		return nil
	}
	c.limit.N = 1<<63 - 1
	c.SetReadDeadline(time.Now().Add(within))
	_, err := c.in.Peek(1)
	if errors.Is(err, os.ErrDeadlineExceeded) && c.hasEnded() {
		c.SetReadDeadline(time.Time{})
		_, err = c.in.Peek(1) // which is known to end at once
	}
	endsWithConnection := resp.ContentLength < 0 && len(resp.TransferEncoding) == 0
	if errors.Is(err, os.ErrDeadlineExceeded) || endsWithConnection && errors.Is(err, io.EOF) {
		return nil
	}
	return odd(c, err)
}

// readAnswer reads the body of an answer that is kept whole.
func (t *attempt) readAnswer(c *conn, resp *http.Response, a *message.Answer) error {
	c.SetReadDeadline(time.Now().Add(max(restLeast, t.Left/restPart)))
	if resp.ContentLength > maxAnswer {
		return errOdd
	}
	room := t.up.cfg.Bytes
	c.limit.N = maxAnswer + maxHeader
	var held int64
	var ok bool
	var err error
	if a.Body, held, a.Again, ok, err = readWhole(resp, room); !ok {
		a.Body, held, err = readBody(resp, room)
	}
	if err != nil {
		room.Give(held)
		if err = odd(c, err); errors.Is(err, os.ErrDeadlineExceeded) {
			err = errOdd
		}
		return err
	}
	c.hold(a, held)
	return nil
}

// answeredWhole ends an attempt whose answer has come whole. The connection is kept where nothing is
// owed on it.
func (t *attempt) answeredWhole(c *conn, f *feeder, r *stream.Reader, resp *http.Response, a *message.Answer, m verdict.Meaning) {
	c.hold(a, 0)
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

// lost ends an attempt that has no answer, or none that may be.
func (t *attempt) lost(c *conn, f *feeder, r *stream.Reader, err error) {
	broken := false
	if f != nil {
		broken = f.up.Broken() || f.isGone()
		f.stop()
	}
	if r != nil {
		r.Close()
	}
	c.Close()
	switch {
	case !t.letGo() || broken: // the client's sending broke off, or its beginning is gone: no fault of the host's
		t.End(frostshift.Canceled)
	case shortage.Of(err) != nil:
		t.Short(shortage.Of(err), true)
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
			if err := c.answerHead.parsed(resp.Header, c.up.cfg.Bytes); err != nil {
				return nil, odd(c, err)
			}
			return resp, nil
		case resp.StatusCode == http.StatusSwitchingProtocols:
			if req.Upgrade == "" || !strings.EqualFold(resp.Header.Get("Upgrade"), req.Upgrade) {
				return nil, errOdd
			}
			return resp, nil
		case req.Flow.Hint != nil && resp.StatusCode == http.StatusEarlyHints:
			req.Flow.Hint(resp.StatusCode, message.EndToEnd(resp.Header))
		}
		c.answerHead.begin()
	}
}

// fewFlows is how many answers may flow at once up to which a reader that takes in a whole
// answer with one read is worth its memory, though it may be held for long.
const fewFlows = 64

// bodilessAnswer says whether an answer ends with its head, whatever that tells of a length
// (RFC 9112 section 6.3).
func bodilessAnswer(method string, status int) bool {
	return method == http.MethodHead || status == http.StatusNoContent || status == http.StatusNotModified
}

// flows says whether a request needs this way, and not that of whole messages.
func flows(r *message.Request) bool { return r.Flow != nil || r.Upload != nil }
