package http1

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"maps"
	"net"
	"net/http"
	"net/textproto"
	"slices"
	"sync"
	"time"

	"frostshift/internal/chunked"
	"frostshift/internal/exchange"
	"frostshift/internal/front"
	"frostshift/internal/message"
)

// Requests and answers whose bodies flow: see stream.Upload for the way there, and
// message.Stream for the way back.

// buffers are for answers on their way.
var buffers = sync.Pool{New: func() any { b := make([]byte, 32<<10); return &b }}

// source is a client's body.
type source struct {
	body io.Reader
	r    *http.Request
	rc   *http.ResponseController
	conn *front.Conn
}

// Read reads what has come.
func (s *source) Read(p []byte) (int, error) {
	n, err := s.body.Read(p)
	if err == io.EOF {
		s.conn.Record()
		// From here on the server looks out for a client that leaves; that has no end.
		s.rc.SetReadDeadline(time.Time{})
	}
	return n, err
}

// SetReadDeadline ends a Read that waits.
func (s *source) SetReadDeadline(t time.Time) error { return s.rc.SetReadDeadline(t) }

// Unread is how many bytes wait on the connection.
func (s *source) Unread() (n int64, whole bool) { return s.conn.Unread(), false }

// Trailer is what followed the body.
func (s *source) Trailer() http.Header { return message.Trailers(s.r.Trailer) }

// begin takes a body that need not be whole, as far as it must have come before a host gets
// the head.
func (s *Server) begin(w http.ResponseWriter, t *front.Ticket, r *http.Request, conn *front.Conn) error {
	if t.Upgrade != "" {
		if r.ContentLength != 0 || r.TransferEncoding != nil {
			return &front.Error{Status: http.StatusBadRequest, Text: "a request to switch protocols has no body"}
		}
		t.NewUpload(&switched{begun: make(chan struct{})}, -1)
		return nil
	}
	length := r.ContentLength
	if r.TransferEncoding != nil {
		head, ok := conn.Recorded()
		switch {
		case !ok || !bytes.HasPrefix(head, []byte(r.Method+" "+r.RequestURI+" ")):
			// It came close behind another body, so that nobody can tell what stood in it.
			return &front.Error{Status: http.StatusLengthRequired, Text: "Content-Length is needed here"}
		case hasField(head, "Content-Length"):
			return &front.Error{Status: http.StatusBadRequest, Text: "Content-Length beside Transfer-Encoding"}
		}
		length = -1
	}
	if length == 0 {
		return nil
	}
	content := io.Reader(r.Body)
	if length < 0 {
		if counter := conn.FollowChunks(); counter != nil {
			content = chunked.NewReader(r.Body, counter)
		}
	}
	if most := t.Flow.Most; most > 0 && length > most {
		return &front.Error{Status: http.StatusRequestEntityTooLarge, Text: "body too large"}
	}
	rc := http.NewResponseController(w)
	if err := rc.EnableFullDuplex(); err != nil {
		return err
	}
	up := t.NewUpload(&source{body: content, r: r, rc: rc, conn: conn}, length)
	if names := message.Announce(slices.Collect(maps.Keys(r.Trailer))); names != nil {
		t.Message.Header["Trailer"] = names
	}
	if err := t.ReadAhead(); err != nil {
		up.Close()
		return err
	}
	return nil
}

// hasField says whether a head as it came has a field.
func hasField(head []byte, field string) bool {
	for _, line := range bytes.Split(head, []byte("\n")) {
		if name, _, ok := bytes.Cut(line, []byte(":")); ok && textproto.CanonicalMIMEHeaderKey(string(bytes.TrimSpace(name))) == field {
			return true
		}
	}
	return false
}

// hint is what came ahead of an answer.
type hint struct {
	status int
	header http.Header
}

// flow sees a request to its end whose body or answer may flow.
func (s *Server) flow(w http.ResponseWriter, r *http.Request, t *front.Ticket) {
	rc := http.NewResponseController(w)
	up := t.Message.Upload
	var failed <-chan struct{}
	if up != nil {
		failed = up.Failed()
		defer up.Close() // the server reads what is left of the body, and nobody else then
	}
	if up == nil || t.Upgrade != "" { // the server looks out for a client that leaves
		rc.SetReadDeadline(time.Time{})
	}
	hints := make(chan hint, 4)
	t.Hints(func(status int, h http.Header) {
		select {
		case hints <- hint{status, h}:
		default: // a host that has so many may lose some
		}
	})
	conn := r.Context().Value(connKey{}).(*front.Conn)
	t.Client = conn
	conn.Open(up != nil && !up.Ended() && t.Upgrade == "")
	defer conn.Answered()
	call, deadline := t.Submit()
	defer t.Begun()
	left := r.Context().Done()
	conn.Processor().Wait()
	for {
		select {
		case h := <-hints:
			rc.SetWriteDeadline(time.Now().Add(s.cfg.SendWithin))
			maps.Copy(w.Header(), h.header)
			w.WriteHeader(h.status)
			for name := range h.header {
				w.Header().Del(name)
			}
			continue
		case a := <-call.Reply:
			conn.Processor().Resume()
			s.replyFlow(w, r, t, call, a, deadline)
			t.Over(a)
		case <-failed:
			call.Gone()
			rc.SetWriteDeadline(time.Now().Add(s.cfg.SendWithin)) // the body may have taken longer than that
			w.Header().Set("Connection", "close")
			write(w, r.Method, t.BodyError(up.Err(), up.Touched()).Answer())
			up.Close()
			throwAway(w, r)
		case <-left:
			if up != nil && !up.Ended() && t.Upgrade == "" {
				left = nil // it is the body that broke off, and it says how
				continue
			}
			s.abandon(w, call)
		case <-conn.Left():
			s.abandon(w, call)
			if up != nil {
				up.Close()
			}
		}
		return
	}
}

// replyFlow gives the one final answer.
func (s *Server) replyFlow(w http.ResponseWriter, r *http.Request, t *front.Ticket, call *exchange.Call, reply exchange.Reply, deadline time.Time) {
	a, last := t.Answer(reply)
	defer a.Release()
	up := t.Message.Upload
	if up != nil && up.Broken() && reply.Answer == nil { // that is why there is none
		a, last = t.BodyError(up.Err(), up.Touched()).Answer(), true
	}
	if a.Status == http.StatusSwitchingProtocols && a.Stream != nil {
		s.switchOver(w, t, call, reply, a)
		return
	}
	early := up != nil && !up.Ended() && t.Upgrade == ""
	if last || early {
		w.Header().Set("Connection", "close")
	}
	rc := http.NewResponseController(w)
	if a.Stream == nil {
		if by := time.Now().Add(s.cfg.SendWithin); deadline.Before(by) {
			deadline = by // the body may have taken longer than that
		}
		rc.SetWriteDeadline(deadline)
		conn := r.Context().Value(connKey{}).(*front.Conn)
		conn.Cork()
		write(w, r.Method, a)
		err := rc.Flush()
		if e := conn.Uncork(); err == nil {
			err = e
		}
		t.Begun()
		if a.Again != nil {
			a.Again()
		}
		if err != nil {
			call.Undelivered(reply)
		}
	} else if !s.pass(w, r, rc, t, a) {
		call.Undelivered(reply)
		if a.Length < 0 && !r.ProtoAtLeast(1, 1) { // its end is the connection's end
			r.Context().Value(connKey{}).(*front.Conn).Reset()
		}
		panic(http.ErrAbortHandler) // it must not look whole
	}
	if early && !up.Ended() {
		up.Close()
		throwAway(w, r)
	}
}

// pass gives the client an answer's body as it comes, and says whether it has had all of it.
// What breaks off has no end: no last chunk, or fewer bytes than were told.
func (s *Server) pass(w http.ResponseWriter, r *http.Request, rc *http.ResponseController, t *front.Ticket, a *message.Answer) bool {
	conn := r.Context().Value(connKey{}).(*front.Conn)
	stop := context.AfterFunc(r.Context(), a.Stream.Close) // ends a wait for the host
	defer stop()
	h := w.Header()
	maps.Copy(h, a.Header)
	if length := front.Length(r.Method, a); length != "" {
		h["Content-Length"] = []string{length}
	}
	if h["Content-Type"] == nil {
		h["Content-Type"] = nil // none is guessed for a host
	}
	conn.WriteIdle(t.Idle())
	w.WriteHeader(a.Status)
	if rc.Flush() != nil { // what follows may take its time
		return false
	}
	t.Begun()
	for {
		conn.Processor().Wait()
		a.Stream.Wait()
		if !conn.AwaitWrite() {
			return false
		}
		conn.Processor().Work()
		buffer := buffers.Get().(*[]byte)
		err := s.burst(w, rc, *buffer, a.Stream)
		buffers.Put(buffer)
		switch {
		case err == io.EOF:
			for name, values := range a.Stream.Trailer() {
				h[http.TrailerPrefix+name] = values
			}
			return true
		case err != nil:
			return false
		}
	}
}

// burst passes on a part of what there is now, and ends with io.EOF behind the last byte. While
// nothing comes, or the client takes nothing in, no buffer is held.
func (s *Server) burst(w http.ResponseWriter, rc *http.ResponseController, buffer []byte, from message.Stream) error {
	n, err := from.Read(buffer)
	if n > 0 {
		if _, e := w.Write(buffer[:n]); e != nil {
			return e
		}
	}
	if e := rc.Flush(); e != nil && err == nil { // the host may rest behind it
		err = e
	}
	return err
}

// switched is the client's side of a connection that is to speak another protocol: there is
// nothing to read before it does.
type switched struct {
	mu    sync.Mutex
	conn  net.Conn
	in    *bufio.Reader
	over  bool
	begun chan struct{} // closed: conn is there, or will never be
}

var errNoSwitch = errors.New("the protocol was not switched")

func (s *switched) Read(p []byte) (int, error) {
	<-s.begun
	if s.conn == nil {
		return 0, errNoSwitch
	}
	return s.in.Read(p)
}

// SetReadDeadline ends a Read that waits.
func (s *switched) SetReadDeadline(t time.Time) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.conn != nil {
		return s.conn.SetReadDeadline(t)
	}
	if !t.IsZero() && t.Before(time.Now()) && !s.over { // it will not come any more
		s.over = true
		close(s.begun)
	}
	return nil
}

// Unread is nothing: a switched connection has no last byte.
func (s *switched) Unread() (n int64, whole bool) { return 0, false }

// Trailer is nothing.
func (s *switched) Trailer() http.Header { return nil }

// begin gives the bytes behind the switch.
func (s *switched) begin(c net.Conn, in *bufio.Reader) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.over {
		s.conn, s.in, s.over = c, in, true
		close(s.begun)
	}
}

// switchHead is the head of the answer that switches to a protocol.
func switchHead(protocol string, header http.Header) []byte {
	var text bytes.Buffer
	text.WriteString("HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: " + protocol + "\r\n")
	header.Write(&text)
	text.WriteString("\r\n")
	return text.Bytes()
}

// switchOver hands the connection over to the protocol that the host has switched to, until
// both sides have ended.
func (s *Server) switchOver(w http.ResponseWriter, t *front.Ticket, call *exchange.Call, reply exchange.Reply, a *message.Answer) {
	nc, rw, err := http.NewResponseController(w).Hijack()
	if err != nil {
		call.Undelivered(reply)
		return
	}
	s.mu.Lock()
	closing := s.switched == nil
	if !closing {
		s.switched[nc] = struct{}{}
	}
	s.mu.Unlock()
	defer func() {
		nc.Close()
		s.mu.Lock()
		delete(s.switched, nc)
		s.ended()
		s.mu.Unlock()
	}()
	if closing {
		call.Undelivered(reply)
		return
	}
	nc.SetDeadline(time.Time{})
	front.Of(nc).Switched()
	front.Of(nc).WriteIdle(t.Idle())
	if _, err := nc.Write(switchHead(t.Upgrade, a.Header)); err != nil {
		call.Undelivered(reply)
		return
	}
	t.Begun()
	up := t.Message.Upload
	over := make(chan struct{})
	defer close(over)
	go func() { // a client that is gone ends what waits for the host
		select {
		case <-up.Failed():
			a.Stream.Close()
		case <-over:
		}
	}()
	up.Source().(*switched).begin(nc, rw.Reader)
	processor := front.Of(nc).Processor()
	for {
		processor.Wait()
		a.Stream.Wait()
		processor.Work()
		buffer := buffers.Get().(*[]byte)
		n, err := a.Stream.Read(*buffer)
		if n > 0 {
			if _, e := nc.Write((*buffer)[:n]); e != nil {
				err = e
			}
		}
		buffers.Put(buffer)
		if err != nil {
			return
		}
	}
}
