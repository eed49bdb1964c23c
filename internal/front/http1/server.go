// Package http1 takes requests from clients over HTTP/1.1 (RFC 9112) and gives each its
// one final answer. It parses and frames; where a request goes is for package front, what
// becomes of it for package exchange. It knows nothing of pools or hosts.
package http1

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"maps"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"time"

	"frostshift/internal/config"
	"frostshift/internal/exchange"
	"frostshift/internal/front"
	"frostshift/internal/message"
)

const (
	maxHeader = 16 << 10
	maxBody   = 64 << 10 // bytes of a request's body
	// maxIgnored is how many bytes are read of a body that nobody needs.
	maxIgnored = 4 << 10
	mostLate   = 1 << 20 // bytes that are thrown away of a request that has had its answer
	// SendWithin is how long a client may take to send its request, head and body, from its
	// first byte (or the connection's start) on: one that drips holds a connection no longer.
	SendWithin  = 3 * time.Second
	leaveWithin = 300 * time.Millisecond // for a client that sent a bad request to read what is wrong
	idleWithin  = 5 * time.Second        // for a connection to stay without a request
)

// Config is what a Server needs.
type Config struct {
	Admission  *front.Admission
	Conns      *front.Conns
	Log        *slog.Logger
	SendWithin time.Duration // 0: SendWithin
	Name       string        // of the listener
	Longest    time.Duration // longest deadline of any class
}

// Server serves clients at one listener.
type Server struct {
	cfg  Config
	http *http.Server
	ln   net.Listener
	// plain says that bytes come as clients send them: without TLS, which has spoken before.
	plain bool

	mu      sync.Mutex
	open    int           // connections
	changed chan struct{} // closed and replaced when one ends
	taken   chan struct{} // closed once no further one is accepted
	served  chan struct{} // closed once none waits for its first byte either
	began   bool
	// switched are the connections that speak another protocol now; nil: none may any more.
	switched map[net.Conn]struct{}
}

// New returns a server for the listener, one of Conns.Listen's; Serve serves.
func New(ln net.Listener, cfg Config) *Server {
	if cfg.SendWithin == 0 {
		cfg.SendWithin = SendWithin
	}
	_, plain := ln.(*front.Listener)
	s := &Server{cfg: cfg, ln: ln, plain: plain, changed: make(chan struct{}), taken: make(chan struct{}), served: make(chan struct{}), switched: map[net.Conn]struct{}{}}
	s.http = &http.Server{
		DisableGeneralOptionsHandler: true, // it would answer ahead of the handler

		Handler:           http.HandlerFunc(s.serve),
		ReadHeaderTimeout: cfg.SendWithin,
		ReadTimeout:       cfg.SendWithin,           // taken back once a request has come whole
		WriteTimeout:      SendWithin + cfg.Longest, // for clients that read nothing
		IdleTimeout:       idleWithin,
		MaxHeaderBytes:    maxHeader,
		ErrorLog:          slog.NewLogLogger(cfg.Log.Handler(), slog.LevelWarn),
		ConnState:         s.state,
		ConnContext: func(ctx context.Context, c net.Conn) context.Context {
			return context.WithValue(ctx, connKey{}, front.Of(c))
		},
	}
	return s
}

// Addr is where clients connect.
func (s *Server) Addr() net.Addr { return s.ln.Addr() }

// connKey finds a request's *front.Conn in its context.
type connKey struct{}

// state is the hook of the http.Server.
func (s *Server) state(c net.Conn, to http.ConnState) {
	s.cfg.Conns.State(c, to)
	s.mu.Lock()
	defer s.mu.Unlock()
	switch to {
	case http.StateNew:
		if s.plain { // it counts since it was accepted
			break
		}
		s.open++
	case http.StateClosed: // one that switches protocols is open until that ends
		s.ended()
	}
}

// ended counts a connection as gone. The lock is held.
func (s *Server) ended() {
	s.open--
	close(s.changed)
	s.changed = make(chan struct{})
}

// Serve serves until Shutdown, and then returns nil.
func (s *Server) Serve() error {
	s.mu.Lock()
	s.began = true
	s.mu.Unlock()
	defer close(s.served)
	if !s.plain {
		defer close(s.taken)
		return s.serveAll(s.ln)
	}
	w := waiting{conns: make(chan net.Conn), over: make(chan struct{}), ln: s.ln}
	accepted := make(chan error, 1)
	go func() { accepted <- s.accept(w) }()
	err := s.serveAll(w)
	return errors.Join(err, <-accepted)
}

// waiting is a listener of connections whose clients have sent something.
type waiting struct {
	conns chan net.Conn
	over  chan struct{} // closed: no further one comes
	ln    net.Listener
}

func (w waiting) Accept() (net.Conn, error) {
	select {
	case c := <-w.conns:
		return c, nil
	case <-w.over:
		return nil, net.ErrClosed
	}
}

func (w waiting) Close() error   { return w.ln.Close() }
func (w waiting) Addr() net.Addr { return w.ln.Addr() }

// accept takes connections and hands on those on which something has come: the others, of which
// there may be thousands, cost no buffers. It returns when the listener is closed and none waits.
func (s *Server) accept(w waiting) error {
	var all sync.WaitGroup
	defer func() {
		all.Wait()
		close(w.over)
	}()
	defer close(s.taken)
	for {
		nc, err := s.ln.Accept()
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				err = nil
			}
			return err
		}
		s.mu.Lock()
		s.open++
		s.mu.Unlock()
		all.Go(func() {
			if front.Of(nc).Await(s.cfg.SendWithin) {
				w.conns <- nc
				return
			}
			nc.Close()
			s.mu.Lock()
			s.ended()
			s.mu.Unlock()
		})
	}
}

// serveAll serves a listener's connections to its end.
func (s *Server) serveAll(ln net.Listener) error {
	if err := s.http.Serve(ln); !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
		return fmt.Errorf("serve clients: %w", err)
	}
	return nil
}

// Shutdown closes the listener and waits for the connections, until the context ends. It is
// called once the listener leaves, so that each ends with its next answer: the shutdown of
// http.Server would close connections whose next request it has begun to read.
func (s *Server) Shutdown(ctx context.Context) error {
	s.ln.Close()
	s.mu.Lock()
	began := s.began
	s.mu.Unlock()
	if began {
		select {
		case <-s.taken:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	for {
		s.mu.Lock()
		n, changed := s.open, s.changed
		s.mu.Unlock()
		if n == 0 {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// Close ends what is left at once.
func (s *Server) Close() {
	s.http.Close()
	s.mu.Lock()
	list := s.switched
	s.switched = nil
	s.mu.Unlock()
	for c := range list {
		c.Close()
	}
}

// serve answers one request of a client.
func (s *Server) serve(w http.ResponseWriter, r *http.Request) {
	conn := r.Context().Value(connKey{}).(*front.Conn)
	if !conn.Taken() {
		panic(http.ErrAbortHandler) // its client has seen the end, and may send again
	}
	conn.Work()
	conn.HeadWhole(r.ContentLength != 0)
	s.handle(w, r, conn)
	conn.Processor().Owe(false)
	conn.Given()
	conn.TakeTurnWait() // that of a body is not the next request's
}

// serveOptions answers a question to the server itself (RFC 9110 section 9.3.7).
func serveOptions(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Content-Length", "0")
	io.CopyN(io.Discard, r.Body, maxIgnored)
	w.WriteHeader(http.StatusOK)
}

// handle answers a request that has been taken. It panics where its answer is to break off.
func (s *Server) handle(w http.ResponseWriter, r *http.Request, conn *front.Conn) {
	w = &leavingWriter{ResponseWriter: w, conn: conn}
	conn.WriteIdle(0) // as it was for the answer before
	if r.Method == http.MethodOptions && r.RequestURI == "*" {
		serveOptions(w, r)
		return
	}
	if r.URL.Path == "/ready" {
		s.serveReady(w, r)
		return
	}
	ticket, err := s.take(w, r, conn)
	if err != nil {
		e := front.AsError(err)
		// What follows a malformed request may be a part of it. With a body to come net/http would read
		// that before a small answer goes, for as long as it takes, unless the connection ends.
		ends := !e.Keeps || r.ContentLength != 0
		if ends {
			w.Header().Set("Connection", "close")
		}
		http.NewResponseController(w).SetWriteDeadline(time.Now().Add(s.cfg.SendWithin)) // the body may have taken longer than that
		write(w, r.Method, e.Answer())
		if ends && !e.Stalled {
			throwAway(w, r)
		}
		return
	}
	if ticket.Flow != nil {
		s.flow(w, r, ticket)
		return
	}
	// The request has come whole: the read that is under way from here on looks out for
	// a client that leaves, for as long as the request is open.
	http.NewResponseController(w).SetReadDeadline(time.Time{})
	conn.Open(false)
	ticket.Client = conn
	defer conn.Answered()
	call, deadline := ticket.Submit()
	defer ticket.Begun()
	conn.Processor().Wait()
	select {
	case a := <-call.Reply:
		conn.Processor().Resume()
		conn.Cork()
		s.answer(w, r.Method, ticket, a, deadline)
		err := http.NewResponseController(w).Flush()
		if e := conn.Uncork(); err != nil || e != nil {
			call.Undelivered(a)
		}
	case <-r.Context().Done():
		s.abandon(w, call)
	case <-conn.Left():
		s.abandon(w, call)
	}
}

// abandon ends a request whose client has left. One that closed only its sending side still reads:
// an empty 200 would be no host's answer.
func (s *Server) abandon(w http.ResponseWriter, call *exchange.Call) {
	call.Gone()
	http.NewResponseController(w).SetWriteDeadline(time.Now().Add(s.cfg.SendWithin)) // its body may have taken longer than that
	w.Header().Set("Connection", "close")
	http.Error(w, "client closed", http.StatusBadGateway)
}

// throwAway reads what is still coming of a request that has had its answer, for so long, or
// the close would take the answer with it.
func throwAway(w http.ResponseWriter, r *http.Request) {
	rc := http.NewResponseController(w)
	rc.SetReadDeadline(time.Now().Add(leaveWithin))
	rc.Flush()
	io.CopyN(io.Discard, r.Body, mostLate)
}

// leavingWriter tells the client with its answer if the connection ends with it.
type leavingWriter struct {
	http.ResponseWriter
	conn  *front.Conn
	wrote bool
}

// Unwrap is for http.ResponseController.
func (w *leavingWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// WriteHeader begins the answer.
func (w *leavingWriter) WriteHeader(status int) {
	w.wrote = true
	if !w.conn.Stays() {
		w.Header().Set("Connection", "close")
	}
	w.ResponseWriter.WriteHeader(status)
}

// Write writes a part of the body, and the head if there was none.
func (w *leavingWriter) Write(b []byte) (int, error) {
	if !w.wrote {
		w.WriteHeader(http.StatusOK)
	}
	return w.ResponseWriter.Write(b)
}

// answer writes the one final answer.
func (s *Server) answer(w http.ResponseWriter, method string, t *front.Ticket, r exchange.Reply, deadline time.Time) {
	a, last := t.Answer(r)
	defer a.Release()
	if last {
		w.Header().Set("Connection", "close")
	}
	// The request's own deadline, as that of the server is older than a reload may be. A client that reads
	// slowly gets nothing more once its time is up.
	http.NewResponseController(w).SetWriteDeadline(front.SendBy(deadline, time.Now()))
	write(w, method, a)
	if a.Again != nil {
		http.NewResponseController(w).Flush()
		a.Again()
	}
}

// write writes an answer. A client that is gone by now is its own loss.
func write(w http.ResponseWriter, method string, a *message.Answer) {
	h := w.Header()
	maps.Copy(h, a.Header)
	if length := front.Length(method, a); length != "" {
		h["Content-Length"] = []string{length}
	}
	if h["Content-Type"] == nil {
		h["Content-Type"] = nil // none is guessed for a host
	}
	w.WriteHeader(a.Status)
	if !front.Bodiless(method, a.Status) {
		w.Write(a.Body)
	}
}

func (s *Server) serveReady(w http.ResponseWriter, r *http.Request) {
	switch {
	case r.Method != http.MethodGet && r.Method != http.MethodHead:
		http.Error(w, "method not allowed", http.StatusMethodNotAllowed)
	case !s.cfg.Admission.Ready():
		http.Error(w, "not ready", http.StatusServiceUnavailable)
	default:
		io.WriteString(w, "ready\n")
	}
}

// take reads a client's request, as whole as its route wants it, or says what is wrong with it.
func (s *Server) take(w http.ResponseWriter, r *http.Request, conn *front.Conn) (*front.Ticket, error) {
	path, query, marked := strings.Cut(originForm(r.RequestURI), "?")
	length := max(r.ContentLength, 0)
	if r.TransferEncoding != nil {
		length = 1 // there is a body, of no told length
	}
	t, err := s.cfg.Admission.Take(&front.Head{Method: r.Method, Authority: r.Host, Path: path, Query: query, QueryMark: marked,
		Header: r.Header, Body: length, Address: addressOf(r.RemoteAddr), Proto: "1.1", Listener: s.cfg.Name,
		Encrypted: conn.Encrypted, Waited: conn.TakeTurnWait()})
	if err != nil {
		return nil, err
	}
	conn.Processor().Owe(true)
	flows := t.Flow != nil && (t.Upgrade != "" || t.Flow.Requests != config.BodiesWhole)
	old := !r.ProtoAtLeast(1, 1) // its Transfer-Encoding would go unread
	fits := !old || flows && t.Upgrade == "" && lengthOnly(conn, r)
	if r.TransferEncoding == nil {
		conn.Headed(r.ContentLength > 0)
	}
	switch {
	case !fits:
		err = &front.Error{Status: http.StatusHTTPVersionNotSupported, Text: "this version of HTTP is not spoken here"}
	case flows:
		err = conn.ReadBody(func() error { return s.begin(w, t, r, conn) })
	case r.TransferEncoding != nil:
		// A Content-Length beside it has been dropped by now; those who go by it would
		// find another request in this body.
		err = &front.Error{Status: http.StatusLengthRequired, Text: "Content-Length is needed, and no Transfer-Encoding"}
	default:
		err = conn.ReadBody(func() error { return readBody(w, t, r, conn) })
		conn.Record()
	}
	if err != nil {
		t.Release()
		return nil, err
	}
	return t, nil
}

// originForm is the path and query of a target as they came, without what the absolute form has ahead of them
// (RFC 9112 section 3.2.2).
func originForm(target string) string {
	if strings.HasPrefix(target, "/") {
		return target
	}
	_, rest, absolute := strings.Cut(target, "://")
	if !absolute {
		return target
	}
	at := strings.IndexAny(rest, "/?")
	switch {
	case at < 0:
		return "/"
	case rest[at] == '?':
		return "/" + rest[at:]
	}
	return rest[at:]
}

// lengthOnly says whether a request of HTTP/1.0 is known to have no Transfer-Encoding, which
// that version does not have and whose presence would hide where its body ends (RFC 9112
// section 6.1).
func lengthOnly(conn *front.Conn, r *http.Request) bool {
	head, ok := conn.Recorded()
	return ok && r.ProtoAtLeast(1, 0) && bytes.HasPrefix(head, []byte(r.Method+" "+r.RequestURI+" ")) && !hasField(head, "Transfer-Encoding")
}

func addressOf(remote string) netip.Addr {
	a, _ := netip.ParseAddrPort(remote) // what is none belongs to no range
	return a.Addr()
}

// readBody takes in a body whose length is told.
func readBody(w http.ResponseWriter, t *front.Ticket, r *http.Request, conn *front.Conn) error {
	switch {
	case r.ContentLength > maxBody:
		return &front.Error{Status: http.StatusRequestEntityTooLarge, Text: "body too large"}
	case r.ContentLength == 0:
		return nil
	}
	return t.ReadWhole(&source{body: r.Body, r: r, rc: http.NewResponseController(w), conn: conn}, r.ContentLength)
}
