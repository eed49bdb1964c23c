package http2

import (
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"golang.org/x/net/http2"
	"golang.org/x/net/http2/hpack"

	"frostshift/internal/body"
	"frostshift/internal/config"
	"frostshift/internal/exchange"
	"frostshift/internal/front"
	"frostshift/internal/h2"
	"frostshift/internal/message"
	"frostshift/internal/shortage"
)

// stream is one request. The reader fills it, a goroutine of its own sees it to its end.
type stream struct {
	c      *conn
	h2     *h2.Stream
	ticket *front.Ticket
	method string

	// Of the reader:
	length int64   // told; -1: none
	whole  bool    // its last byte has come, or nobody waits for it any more
	key    string  // that a host must answer, of a WebSocket
	src    *source // its body need not be whole; nil: it is taken whole
	ended  bool    // the client has sent END_STREAM

	// Of the connection's lock:
	body    []byte
	held    int64 // bytes of it that count as held by the connection
	owed    int   // bytes that the client has had no credit for
	stopped bool  // the goroutine waits for no more of the body
	noRoom  bool  // there was none for the body
	offWire bool  // it is closed as the client sees it

	complete chan struct{} // closed: the request has come whole
	gone     chan struct{} // closed: the client has reset it

	replied atomic.Pointer[repliedCall] // nil: no answer is on its way, or it has gone out whole
}

// begin takes the head of a request.
func (s *stream) begin(f *http2.MetaHeadersFrame) error {
	if f.Truncated {
		s.reject(&front.Error{Status: http.StatusRequestHeaderFieldsTooLarge, Text: "the head is too long"})
		return nil
	}
	r, err := h2.ReadRequest(f.Fields)
	if err != nil {
		s.c.link.Reset(s.h2, http2.ErrCodeProtocol)
		s.whole = true
		go s.finish()
		return s.c.tookReset(time.Now())
	}
	if r.Path == "/ready" && (r.Method == http.MethodGet || r.Method == http.MethodHead) {
		s.ready(f.StreamEnded())
		return nil
	}
	if r.Protocol != "" && !s.connect(r) {
		s.reject(errNotSpoken)
		return nil
	}
	s.length, s.method = r.Length, r.Method
	if err := s.take(r, f.StreamEnded()); err != nil {
		s.reject(front.AsError(err))
		return nil
	}
	if f.StreamEnded() {
		err = s.lastByte()
	} else if strings.EqualFold(r.Header.Get("Expect"), "100-continue") {
		s.c.link.Interim(s.h2, &h2.Out{Fields: []hpack.HeaderField{{Name: ":status", Value: "100"}}})
	}
	go s.run()
	return err
}

var errNotSpoken = &front.Error{Status: http.StatusNotImplemented, Text: "this protocol is not spoken here"}

// take has the request admitted. Its body flows where the route says so and the request has one.
func (s *stream) take(r *h2.Request, ended bool) (err error) {
	if s.ticket, err = s.c.s.cfg.Admission.Take(s.frontHead(r, ended)); err != nil {
		return err
	}
	flow, most := s.ticket.Flow, int64(maxBody)
	flows := flow != nil && (flow.Requests != config.BodiesWhole || s.ticket.Upgrade != "")
	if r.Protocol != "" && s.ticket.Upgrade == "" {
		s.ticket.Release()
		return errNotSpoken
	}
	if flows {
		most = flow.Most
	}
	if r.Length > most && most > 0 {
		s.ticket.Release()
		return &front.Error{Status: http.StatusRequestEntityTooLarge, Text: "body too large"}
	}
	if !flows || ended {
		return nil
	}
	s.src = &source{Queue: s.c.link.NewQueue(s.h2, s.ticket.Bodies, shortage.BodyMemory)}
	if r.Length > maxBody {
		s.src.Widen()
	}
	s.ticket.NewUpload(s.src, r.Length)
	if names := message.Announce(r.Header["Trailer"]); names != nil {
		s.ticket.Message.Header["Trailer"] = names
	}
	return nil
}

// frontHead is the head of the request as admission reads it.
func (s *stream) frontHead(r *h2.Request, ended bool) *front.Head {
	path, query, marked := strings.Cut(r.Path, "?")
	head := &front.Head{Method: r.Method, Authority: r.Authority, Path: path, Query: query, QueryMark: marked, Header: r.Header, Body: max(r.Length, 0), Proto: "2",
		Listener: s.c.s.cfg.Name, Encrypted: s.c.all != nil && s.c.all.Encrypted, Waited: s.c.all.TakeTurnWait()}
	if r.Length < 0 && !ended {
		head.Body = 1 // there is one, of no told length
	}
	if a, err := netip.ParseAddrPort(s.c.remote.String()); err == nil {
		head.Address = a.Addr()
	}
	return head
}

// data takes a part of the body. Room comes back at once, unless the connection holds much
// already: then as its requests end.
func (s *stream) data(f *http2.DataFrame, size int) error {
	if s.whole {
		s.c.link.Credit(nil, size)
		if s.ended { // after END_STREAM
			return http2.StreamError{StreamID: f.StreamID, Code: http2.ErrCodeStreamClosed}
		}
		if f.StreamEnded() {
			s.ended = true
		}
		return nil // it has its answer already
	}
	part := f.Data()
	c := s.c
	if s.src != nil {
		s.src.Put(part, size)
		if f.StreamEnded() {
			return s.lastByte()
		}
		return nil
	}
	most := int64(heldBodies)
	if c.s.cfg.Pressed() {
		most /= 4
	}
	c.mu.Lock()
	if s.stopped {
		c.mu.Unlock()
		c.link.Credit(nil, size)
		return nil
	}
	if int64(len(s.body)+len(part)) > maxBody || s.length >= 0 && int64(len(s.body)+len(part)) > s.length {
		c.mu.Unlock()
		c.link.Credit(nil, size)
		return http2.StreamError{StreamID: f.StreamID, Code: http2.ErrCodeProtocol}
	}
	if !s.ticket.Hold(int64(len(part))) {
		s.noRoom, s.whole = true, true
		c.mu.Unlock()
		c.link.Credit(nil, size)
		close(s.complete)
		return nil
	}
	s.body = append(s.body, part...)
	s.held += int64(len(part))
	c.held += int64(len(part))
	credit := size
	if c.held > most {
		credit -= len(part) // that comes with the end of the stream
		s.owed += len(part)
	}
	c.mu.Unlock()
	c.link.Credit(nil, credit)
	if f.StreamEnded() {
		return s.lastByte()
	}
	return nil
}

// lastByte notes that the request has come whole.
func (s *stream) lastByte() error {
	s.ended, s.whole = true, true
	if s.src != nil {
		s.src.End()
		return nil
	}
	s.c.mu.Lock()
	whole, err := body.NewComplete(s.body, int64(len(s.body)), s.length)
	s.c.mu.Unlock()
	if err != nil {
		return http2.StreamError{StreamID: s.h2.ID, Code: http2.ErrCodeProtocol} // section 8.1.1
	}
	s.ticket.Message.Body = whole
	close(s.complete)
	return nil
}

// end says that the client has ended the stream, or has lost it by a fault. It is called
// by the reader, once the link has forgotten the stream.
func (s *stream) end() {
	s.whole = true
	if s.src != nil {
		s.src.Fail(errReset)
	}
	s.c.wireEnd(s)
	s.undelivered() // ahead of what the client sends next, which may be the same request
	close(s.gone)
}

// run sees the request to its end.
func (s *stream) run() {
	defer s.finish()
	if s.ticket.Flow != nil {
		s.flow()
		return
	}
	late := time.NewTimer(s.c.s.cfg.SendWithin)
	defer late.Stop()
	select {
	case <-s.complete:
	case <-s.gone:
		s.ticket.Release()
		return
	case <-s.c.gone:
		s.ticket.Release()
		return
	case <-late.C:
		s.c.mu.Lock()
		s.stopped = true
		s.c.mu.Unlock()
		s.ticket.Release()
		s.answer(s.out((&front.Error{Status: http.StatusRequestTimeout, Text: "the body is slow"}).Answer()), time.Now().Add(sendWithin), true)
		return
	}
	if s.noRoom {
		s.ticket.Release()
		s.answer(s.out(s.ticket.RefuseFor(shortage.BodyMemory).Answer()), time.Now().Add(sendWithin), true)
		return
	}
	s.ticket.Client = s.c.all
	call, deadline := s.ticket.Submit()
	defer s.ticket.Begun()
	select {
	case r := <-call.Reply:
		s.reply(call, r, deadline)
	case <-s.gone:
		call.Gone()
	case <-s.c.gone:
		call.Gone()
	}
}

// finish ends the stream's part in the connection.
func (s *stream) finish() {
	s.c.mu.Lock()
	s.c.held -= s.held
	if !s.offWire {
		s.offWire = true
		s.c.onWire--
	}
	owed := s.owed
	s.held, s.owed = 0, 0
	s.c.mu.Unlock()
	s.c.link.Credit(nil, owed)
	s.c.done()
}

// reply gives the one final answer.
func (s *stream) reply(call *exchange.Call, r exchange.Reply, deadline time.Time) {
	a, _ := s.ticket.Answer(r)
	defer a.Release()
	s.deliver(call, r, s.out(a), front.SendBy(deadline, time.Now()), false)
}

// repliedCall is a request whose answer is on its way to the client.
type repliedCall struct {
	call  *exchange.Call
	reply exchange.Reply
}

// deliver sends the one final answer, as answer does, and sees to it that the exchange hears of one that does not go out whole.
func (s *stream) deliver(call *exchange.Call, r exchange.Reply, o *h2.Out, deadline time.Time, early bool) {
	s.replied.Store(&repliedCall{call, r})
	if s.answer(o, deadline, early) {
		s.replied.Store(nil)
	}
	s.undelivered()
}

// undelivered reports, once, that the answer on its way has not gone out whole.
func (s *stream) undelivered() {
	if replied := s.replied.Swap(nil); replied != nil {
		replied.call.Undelivered(replied.reply)
	}
}

// out is an answer as it goes to the client.
func (s *stream) out(a *message.Answer) *h2.Out {
	o := s.head(a)
	if !front.Bodiless(s.method, a.Status) {
		o.Body = a.Body
	}
	return o
}

// head is an answer without its body.
func (s *stream) head(a *message.Answer) *h2.Out {
	o := &h2.Out{Fields: make([]hpack.HeaderField, 0, len(a.Header)+3)}
	o.Fields = append(o.Fields, hpack.HeaderField{Name: ":status", Value: strconv.Itoa(a.Status)})
	if length := front.Length(s.method, a); length != "" {
		o.Fields = append(o.Fields, hpack.HeaderField{Name: "content-length", Value: length})
	}
	front.Dated(a.Header, time.Now())
	o.Fields = h2.AppendFields(o.Fields, a.Header)
	return o
}

// answer sends an answer, waits until it has gone out, the client has left, or its time
// is up, and says whether it has gone out whole: a client that reads slowly gets nothing more once its time is up. early
// says that the request has not come whole and need not: it is reset behind the answer (RFC 9113 section 8.1).
func (s *stream) answer(o *h2.Out, deadline time.Time, early bool) (whole bool) {
	sent := make(chan struct{})
	o.Done = func() { close(sent) }
	o.Ending = func() { s.c.wireEnd(s) }
	s.c.link.Send(s.h2, o)
	late := time.NewTimer(time.Until(deadline))
	defer late.Stop()
	select {
	case <-sent:
		if early {
			s.c.link.Reset(s.h2, http2.ErrCodeNo)
		} else {
			s.c.link.Forget(s.h2)
		}
		return true
	case <-late.C:
		s.c.link.Reset(s.h2, http2.ErrCodeCancel)
	case <-s.gone:
	case <-s.c.gone:
	case <-s.c.link.Ended():
	}
	select {
	case <-sent: // both at once
		return true
	default:
		return false
	}
}

// reject answers a request that is not taken.
func (s *stream) reject(e *front.Error) {
	early := !s.whole
	s.whole = true
	go func() {
		defer s.finish()
		s.answer(s.out(e.Answer()), time.Now().Add(sendWithin), early)
	}()
}

// ready answers whether the gateway is.
func (s *stream) ready(whole bool) {
	s.whole, s.ended = true, whole
	status, text := http.StatusOK, "ready\n"
	if !s.c.s.cfg.Admission.Ready() {
		status, text = http.StatusServiceUnavailable, "not ready\n"
	}
	go func() {
		defer s.finish()
		s.answer(plainOf(status, text), time.Now().Add(sendWithin), !whole)
	}()
}

func plainOf(status int, text string) *h2.Out {
	return &h2.Out{Body: []byte(text), Fields: []hpack.HeaderField{{Name: ":status", Value: strconv.Itoa(status)},
		{Name: "content-type", Value: "text/plain; charset=utf-8"}, {Name: "content-length", Value: strconv.Itoa(len(text))}}}
}
