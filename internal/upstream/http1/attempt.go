package http1

import (
	"context"
	"errors"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"

	"frostshift"
	"frostshift/internal/exchange"
	"frostshift/internal/message"
	"frostshift/internal/shortage"
	"frostshift/internal/stall"
	"frostshift/internal/upstream"
)

// attempt is one try of a request at a host; it is the exchange's handle on it.
type attempt struct {
	*exchange.Attempt
	up *Upstream

	mu      sync.Mutex
	off     bool               // called off: nothing may be written any more
	cut     bool               // nor of a body that nobody wants the rest of
	conn    *conn              // while the attempt has it
	cancel  context.CancelFunc // of the dial; nil: none was begun
	writing sync.Mutex
	wrote   bool // something of it has gone out; of whoever writes
	barred  bool // nothing has, as it may not any more
}

// errBroken says that the connection broke before the request's last byte was written.
var errBroken = errors.New("the connection broke")

// errCalledOff says that the attempt was called off before its dial.
var errCalledOff = errors.New("called off")

// Start sends the request in a goroutine that reports how it ended.
func (u *Upstream) Start(a *exchange.Attempt) exchange.Handle {
	t := &attempt{Attempt: a, up: u}
	u.mu.Lock()
	h := u.hosts[a.Host]
	u.mu.Unlock()
	go func() {
		request := a.Message.(*message.Request)
		if h == nil || !request.Sendable() {
			a.End(frostshift.NotSent)
			return
		}
		if flows(request) {
			t.tryFlow(h)
			return
		}
		switch result, answer, err := t.try(h); {
		case answer != nil:
			a.Answered(a.Answers.Judge(answer.Status, answer.Header), upstream.After(answer), answer)
		case shortage.Of(err) != nil:
			a.Short(shortage.Of(err), result == frostshift.Canceled)
		case errors.Is(err, errOdd):
			a.Malformed()
		default:
			a.End(result)
		}
	}()
	return t
}

// CallOff ends the attempt: when it returns, nothing more of it goes out. A connection
// that comes up later stays unused by it.
func (t *attempt) CallOff() {
	t.mu.Lock()
	t.off = true
	c, cancel := t.conn, t.cancel
	t.mu.Unlock()
	if cancel != nil {
		cancel()
	}
	if c != nil {
		c.Close() // ends a write that is under way
	}
	t.writing.Lock()
	t.writing.Unlock() //lint:ignore SA2001 waits for that write
}

// dialing notes how to end the dial, unless it is too late for one.
func (t *attempt) dialing(cancel context.CancelFunc) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.cancel = cancel
	return !t.off
}

// hold makes the connection the attempt's, for CallOff to close, unless it is too late.
func (t *attempt) hold(c *conn) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.off {
		t.conn = c
	}
	return !t.off
}

// letGo gives the connection up and says whether it was the attempt's to the end.
func (t *attempt) letGo() bool { return t.hold(nil) }

// mayWrite says whether more may go out. It stands immediately before each write, with writing
// held: CallOff waits for a write that has begun.
func (t *attempt) mayWrite() bool {
	t.mu.Lock()
	off := t.off || t.cut
	t.mu.Unlock()
	if off || t.wrote {
		return !off
	}
	t.barred = !t.MaySend()
	return !t.barred
}

// write sends the request and says whether its last byte has been written.
func (t *attempt) write(c *conn, text []byte) bool {
	t.writing.Lock()
	defer t.writing.Unlock()
	if !t.mayWrite() {
		return false
	}
	n, _ := c.Write(text)
	t.wrote = t.wrote || n > 0
	return n == len(text)
}

// writePart writes a part of the body, for as long as the host takes something in, and says whether all has been written.
func (t *attempt) writePart(w *stall.Writer, part []byte) bool {
	t.writing.Lock()
	defer t.writing.Unlock()
	n, _ := w.Write(part, t.mayWrite)
	t.wrote = t.wrote || n > 0
	return n == len(part)
}

// send writes the request, as far as it is whole, and says whether all of that has been written.
func (t *attempt) send(c *conn, req *message.Request, address string) bool {
	text := texts.Get().(*[]byte)
	*text = appendRequest((*text)[:0], req, address, t.Remaining())
	written := false
	if content := req.Body.Bytes(); len(content) <= keptText {
		*text = append(*text, content...)
		written = t.write(c, *text)
	} else { // head and body with one call, but not by way of one more copy
		written = t.writeBoth(c, *text, content)
	}
	if cap(*text) <= 2*keptText {
		texts.Put(text)
	}
	return written
}

// writeBoth is write for a head and its body.
func (t *attempt) writeBoth(c *conn, head, body []byte) bool {
	t.writing.Lock()
	defer t.writing.Unlock()
	if !t.mayWrite() {
		return false
	}
	n, _ := c.writeParts(net.Buffers{head, body})
	t.wrote = t.wrote || n > 0
	return n == int64(len(head)+len(body))
}

// texts are buffers for requests as they go out.
var texts = sync.Pool{New: func() any { return new([]byte) }}

const keptText = 8 << 10 // a buffer that has grown larger is not kept

// try sends the request once and says what became of it: an answer, or a result with what
// was wrong.
func (t *attempt) try(h *host) (frostshift.Result, *message.Answer, error) {
	c, err := t.up.get(t, h)
	if shortage.Of(err) != nil || errors.Is(err, errHostGone) {
		return frostshift.NotSent, nil, err
	}
	if err != nil {
		return t.unsent(), nil, err
	}
	if !t.hold(c) { // nothing has gone out on it
		t.up.put(c)
		return frostshift.NotSent, nil, errCalledOff
	}
	c.SetDeadline(t.Until)
	req := t.Message.(*message.Request)
	if !t.send(c, req, h.address) {
		t.unused(c)
		return t.unsent(), nil, errBroken
	}
	c.await()
	c.begin()
	resp, answer, err := c.read(req.Method, t.Until)
	c.done()
	if err != nil {
		c.Close()
		switch {
		case !t.letGo():
			return frostshift.Canceled, nil, errCalledOff
		case shortage.Of(err) != nil: // no fault of the host's
			return frostshift.Canceled, nil, err
		case errors.Is(err, errOdd):
			return frostshift.Failed, nil, err
		case errors.Is(err, os.ErrDeadlineExceeded):
			return frostshift.TimedOut, nil, err
		}
		return frostshift.Reset, nil, err
	}
	if t.letGo() && !resp.Close && c.in == nil {
		t.up.put(c)
	} else {
		c.Close()
	}
	return frostshift.OK, answer, nil
}

// unused ends a connection on which a request has not gone out whole; one on which nothing has, as
// it may not, is as good as before.
func (t *attempt) unused(c *conn) {
	if t.barred && t.letGo() {
		t.up.put(c)
		return
	}
	c.Close()
}

// unsent is the result where the request's last byte has surely not been written: the
// host can't have run it, and it is at fault unless the attempt was called off.
func (t *attempt) unsent() frostshift.Result {
	if !t.letGo() || t.barred {
		return frostshift.NotSent
	}
	return frostshift.ConnectFailed
}

// appendRequest is the head of the request as it goes to the host at an address.
func appendRequest(b []byte, r *message.Request, address string, left time.Duration) []byte {
	b = append(b, r.Method...)
	b = append(b, ' ')
	b = append(b, r.Target...)
	b = append(b, " HTTP/1.1\r\nHost: "...)
	if r.Authority == "" {
		b = append(b, address...)
	} else {
		b = append(b, r.Authority...)
	}
	b = append(b, "\r\nX-Time-Left: "...)
	b = strconv.AppendInt(b, max(0, left.Microseconds()), 10)
	b = append(b, "u\r\n"...)
	length := int64(r.Body.Len())
	if r.Upload != nil {
		length = r.Upload.Length()
	}
	switch {
	case r.Upgrade != "":
		b = append(b, "Connection: Upgrade\r\nUpgrade: "...)
		b = append(b, r.Upgrade...)
		b = append(b, "\r\n"...)
	case length < 0:
		b = append(b, "Transfer-Encoding: chunked\r\n"...)
	case r.Method != "GET" && r.Method != "HEAD" || length > 0:
		b = append(b, "Content-Length: "...)
		b = strconv.AppendInt(b, length, 10)
		b = append(b, "\r\n"...)
	}
	b = appendFields(b, r.Header)
	return append(b, "\r\n"...)
}

// appendFields is header fields as they go out.
func appendFields(b []byte, h http.Header) []byte {
	for name, values := range h {
		for _, v := range values {
			if strings.ContainsAny(v, "\r\n\x00") {
				continue // it would begin another header, or another request
			}
			b = append(b, name...)
			b = append(b, ": "...)
			b = append(b, v...)
			b = append(b, "\r\n"...)
		}
	}
	return b
}
