package http2

import (
	"crypto/rand"
	"crypto/sha1"
	"encoding/base64"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"golang.org/x/net/http2"
	"golang.org/x/net/http2/hpack"

	"frostshift/internal/exchange"
	"frostshift/internal/front"
	"frostshift/internal/h2"
	"frostshift/internal/message"
)

// Requests and answers whose bodies flow: see stream.Upload for the way there, and
// message.Stream for the way back.

// Errors of a client's body.
var (
	errReset = errors.New("the client has reset the stream")
	errGone  = errors.New("the client's connection has ended")
)

// buffers are for answers on their way. One that may still be written is not given back.
var buffers = sync.Pool{New: func() any { b := make([]byte, 64<<10); return &b }}

// source is a client's body.
type source struct {
	*h2.Queue
	trailer http.Header // of the reader; set before the end
}

// Trailer is what followed the body.
func (s *source) Trailer() http.Header { return message.Trailers(s.trailer) }

// connect turns an extended CONNECT into the request to switch protocols that a host over
// HTTP/1.1 knows, and says whether there is such a one.
func (s *stream) connect(r *h2.Request) bool {
	if s.c.s.cfg.Connect == nil || !s.c.s.cfg.Connect() {
		return false
	}
	r.Method, r.Length = http.MethodGet, -1
	r.Header["Connection"], r.Header["Upgrade"] = []string{"Upgrade"}, []string{r.Protocol}
	if strings.EqualFold(r.Protocol, "websocket") { // section 5: over HTTP/2 there is no key
		var key [16]byte
		rand.Read(key[:])
		r.Header["Sec-Websocket-Key"] = []string{base64.StdEncoding.EncodeToString(key[:])}
		s.key = r.Header["Sec-Websocket-Key"][0]
	}
	return true
}

// connected turns the host's answer into the client's, and says whether it is one to the key
// (RFC 6455 section 4.2.2).
func (s *stream) connected(a *message.Answer) bool {
	a.Status = http.StatusOK
	accept := a.Header.Get("Sec-Websocket-Accept")
	delete(a.Header, "Sec-Websocket-Accept")
	sum := sha1.Sum([]byte(s.key + "258EAFA5-E914-47DA-95CA-C5AB0DC85B11"))
	return s.key == "" || accept == base64.StdEncoding.EncodeToString(sum[:])
}

// flow sees a request to its end whose body or answer may flow.
func (s *stream) flow() {
	over := make(chan struct{})
	defer close(over)
	up := s.ticket.Message.Upload
	var failed <-chan struct{}
	if up != nil {
		failed = up.Failed()
		defer s.src.Drop()
		defer up.Close()
		src := s.src
		go func() { // a connection that ends leaves its streams' bodies unfinished
			select {
			case <-s.c.gone:
				src.Fail(errGone)
			case <-over:
			}
		}()
		if err := s.ticket.ReadAhead(); err != nil {
			s.ticket.Release()
			s.refuse(front.AsError(err))
			return
		}
		if s.ticket.Message.Upload == nil { // it has come whole
			up, failed = nil, nil
		}
	}
	s.ticket.Hints(func(status int, h http.Header) {
		s.c.link.Interim(s.h2, &h2.Out{Fields: h2.AppendFields([]hpack.HeaderField{{Name: ":status", Value: strconv.Itoa(status)}}, h)})
	})
	s.ticket.Client = s.c.all
	call, deadline := s.ticket.Submit()
	defer s.ticket.Begun()
	select {
	case r := <-call.Reply:
		s.replyFlow(call, r, deadline, over)
		s.ticket.Over(r)
	case <-failed:
		call.Gone()
		s.refuse(s.ticket.BodyError(up.Err(), up.Touched()))
	case <-s.gone:
		call.Gone()
	case <-s.c.gone:
		call.Gone()
	}
}

// refuse answers a request whose body is not as it should be.
func (s *stream) refuse(e *front.Error) {
	select {
	case <-s.gone:
	case <-s.c.gone:
	default:
		s.answer(s.out(e.Answer()), time.Now().Add(sendWithin), true)
	}
}

// replyFlow gives the one final answer.
func (s *stream) replyFlow(call *exchange.Call, r exchange.Reply, deadline time.Time, over <-chan struct{}) {
	a, _ := s.ticket.Answer(r)
	defer a.Release()
	up := s.ticket.Message.Upload
	if up != nil && up.Broken() && r.Answer == nil { // that is why there is none
		a = s.ticket.BodyError(up.Err(), up.Touched()).Answer()
	}
	if a.Status == http.StatusSwitchingProtocols && a.Stream != nil && !s.connected(a) {
		a.Stream.Close()
		a = (&front.Error{Status: http.StatusBadGateway, Text: "the host has not agreed to the protocol"}).Answer()
	}
	if a.Stream == nil {
		if by := time.Now().Add(sendWithin); up != nil && deadline.Before(by) {
			deadline = by // the body may have taken longer than that
		}
		s.deliver(call, r, s.out(a), deadline, up != nil && !up.Ended())
		return
	}
	go func() { // ends a wait for the host
		select {
		case <-s.gone:
			a.Stream.Close()
		case <-s.c.gone:
			a.Stream.Close()
		case <-over:
		}
	}()
	if !s.pass(a) {
		call.Undelivered(r)
	}
}

// pass gives the client an answer's body as it comes, and says whether it has had all of it.
// One that breaks off ends with a reset.
func (s *stream) pass(a *message.Answer) bool {
	taken, sent := make(chan struct{}, 1), make(chan struct{})
	o := s.head(a)
	o.More = true
	o.Taken = func() {
		select {
		case taken <- struct{}{}:
		default:
		}
	}
	o.Done = func() { close(sent) }
	o.Ending = func() { s.c.wireEnd(s) }
	idle := s.ticket.Idle()
	late := time.NewTimer(idle)
	defer late.Stop()
	s.c.link.Send(s.h2, o)
	if !s.wait(taken, late, idle) { // the head
		return false
	}
	s.ticket.Begun()
	for {
		a.Stream.Wait()
		buffer := buffers.Get().(*[]byte)
		n, err := a.Stream.Read(*buffer)
		if n > 0 {
			s.c.link.Append(s.h2, (*buffer)[:n], false, nil)
			if !s.wait(taken, late, idle) {
				return false
			}
		}
		buffers.Put(buffer)
		switch {
		case err == io.EOF:
			s.c.link.Append(s.h2, nil, true, h2.AppendFields(nil, a.Stream.Trailer()))
			if !s.wait(sent, late, idle) {
				return false
			}
			s.passed()
			return true
		case err != nil:
			s.c.link.Reset(s.h2, http2.ErrCodeInternal)
			return false
		}
	}
}

// wait waits until the client has taken in what was sent. It is false where nothing of that went out for idle, which
// resets the stream, and where stream or connection have ended.
func (s *stream) wait(taken <-chan struct{}, late *time.Timer, idle time.Duration) bool {
	select {
	case <-taken: // it was written at once, mostly
		return true
	default:
	}
	for sent := s.h2.Sent(); ; {
		late.Reset(idle)
		select {
		case <-taken:
			return true
		case <-late.C:
			if now := s.h2.Sent(); now > sent {
				sent = now
				continue
			}
			s.c.link.Reset(s.h2, http2.ErrCodeCancel)
		case <-s.gone:
		case <-s.c.gone:
		case <-s.c.link.Ended():
		}
		return false
	}
}

// passed ends a stream whose answer has gone out whole.
func (s *stream) passed() {
	if up := s.ticket.Message.Upload; up != nil && !up.Ended() { // nobody needs the rest
		s.c.link.Reset(s.h2, http2.ErrCodeNo)
		return
	}
	s.c.link.Forget(s.h2)
}
