// Package admin is the second address of a gateway, at which its operators speak to it: it
// turns calls over HTTP into a few commands and says yes only where they hold. It decides
// nothing about hosts or clients, and waits on nothing that load of clients can hold up.
package admin

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"time"
)

// Errors that a command may end with, besides any other.
var (
	ErrUnknown = errors.New("no host has that name")
	ErrName    = errors.New("that is no name of a host")
)

// Commands are what a gateway does on a call. Each returns once it holds, or with an error; the
// context ends when it is too late for a yes.
type Commands interface {
	// Serving says whether this process takes clients.
	Serving() bool
	// Out takes a host out of use, or has it used again; with fleet at all gateways that this one hears. It
	// may say more with its yes.
	Out(ctx context.Context, host string, out, fleet bool) (more string, err error)
	// Drain gives the clients up, or takes some again.
	Drain(ctx context.Context, on bool) error
}

const (
	mostConns = 16 // at once; beyond that the oldest without a whole call makes room
	// within is how long a command may take: an answer is owed in a second.
	within   = 800 * time.Millisecond
	headWait = 5 * time.Second // for a caller that is slow to say what it wants
	mostHead = 2 << 10
	mostBody = 4 << 10
)

// Server answers operators' calls, one to a connection.
type Server struct {
	ln   *listener
	http *http.Server
	do   Commands
	log  *slog.Logger
}

// Listen opens the address; Serve serves. stats answers GET /stats and what is asked at /quota, /verdicts, /overrides and /load, and at or below /fleet and /limits; nil: nothing does.
func Listen(address string, do Commands, stats http.Handler, log *slog.Logger) (*Server, error) {
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	s := &Server{ln: &listener{Listener: ln, waiting: map[*conn]struct{}{}}, do: do, log: log}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthcheck", s.health)
	mux.HandleFunc("POST /hosts/{id}/maint", func(w http.ResponseWriter, r *http.Request) { s.host(w, r, true) })
	mux.HandleFunc("POST /hosts/{id}/ready", func(w http.ResponseWriter, r *http.Request) { s.host(w, r, false) })
	mux.HandleFunc("POST /healthcheck/fail", func(w http.ResponseWriter, r *http.Request) { s.drain(w, r, true) })
	mux.HandleFunc("POST /healthcheck/ok", func(w http.ResponseWriter, r *http.Request) { s.drain(w, r, false) })
	if stats != nil {
		mux.Handle("GET /stats", stats)
		mux.Handle("/fleet", stats)
		mux.Handle("/fleet/", stats)
		mux.Handle("/quota", stats)
		mux.Handle("/verdicts", stats)
		mux.Handle("/overrides", stats)
		mux.Handle("/load", stats)
		mux.Handle("/limits", stats)
		mux.Handle("/limits/", stats)
	}
	s.http = &http.Server{Handler: s.bounded(mux), ReadHeaderTimeout: headWait, ReadTimeout: headWait, WriteTimeout: headWait + time.Second,
		MaxHeaderBytes: mostHead, ErrorLog: slog.NewLogLogger(log.Handler(), slog.LevelDebug),
		ConnContext: func(ctx context.Context, c net.Conn) context.Context { return context.WithValue(ctx, connKey{}, c) }}
	s.http.SetKeepAlivesEnabled(false)
	return s, nil
}

// Addr is where operators call.
func (s *Server) Addr() net.Addr { return s.ln.Addr() }

// Serve serves until Close, and then returns nil.
func (s *Server) Serve() error {
	if err := s.http.Serve(s.ln); !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
		return fmt.Errorf("serve operators: %w", err)
	}
	return nil
}

// Close ends it, with all calls that are under way.
func (s *Server) Close() { s.http.Close() }

type connKey struct{}

// bounded marks the caller's connection as one with a whole call, and bounds its body.
func (s *Server) bounded(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if c, ok := r.Context().Value(connKey{}).(*conn); ok {
			s.ln.called(c)
		}
		if r.ContentLength > mostBody {
			http.Error(w, "body too long", http.StatusRequestEntityTooLarge)
			return
		}
		ctx, cancel := context.WithTimeout(r.Context(), within)
		defer cancel()
		next.ServeHTTP(w, r.WithContext(ctx))
	})
}

func (s *Server) health(w http.ResponseWriter, _ *http.Request) {
	if !s.do.Serving() {
		http.Error(w, "not serving", http.StatusServiceUnavailable)
		return
	}
	fmt.Fprintln(w, "serving")
}

func (s *Server) host(w http.ResponseWriter, r *http.Request, out bool) {
	fleet := r.URL.Query().Get("fleet")
	if fleet != "" && fleet != "0" && fleet != "1" {
		http.Error(w, "fleet is 1 for all gateways, or 0", http.StatusBadRequest)
		return
	}
	more, err := s.do.Out(r.Context(), r.PathValue("id"), out, fleet == "1")
	s.answer(w, r, more, err)
}

func (s *Server) drain(w http.ResponseWriter, r *http.Request, on bool) {
	s.answer(w, r, "", s.do.Drain(r.Context(), on))
}

// answer says yes, or why not.
func (s *Server) answer(w http.ResponseWriter, r *http.Request, more string, err error) {
	status := http.StatusServiceUnavailable
	switch {
	case err == nil:
		s.log.Info("operators' call", "call", r.URL.Path)
		fmt.Fprintln(w, "ok")
		if more != "" {
			fmt.Fprintln(w, more)
		}
		return
	case errors.Is(err, ErrUnknown):
		status = http.StatusNotFound
	case errors.Is(err, ErrName):
		status = http.StatusBadRequest
	}
	s.log.Warn("operators' call", "call", r.URL.Path, "err", err)
	http.Error(w, err.Error(), status)
}

// listener bounds the connections of callers: those who say nothing keep nobody out.
type listener struct {
	net.Listener
	mu      sync.Mutex
	open    int
	waiting map[*conn]struct{} // no whole call yet
}

type conn struct {
	net.Conn
	from  *listener
	since time.Time
	once  sync.Once
}

// Accept takes the next caller. Where there are too many, the one that has had the most time
// for its call makes room.
func (l *listener) Accept() (net.Conn, error) {
	for {
		nc, err := l.Listener.Accept()
		if err != nil {
			var late net.Error
			if errors.As(err, &late) && !errors.Is(err, net.ErrClosed) { // out of descriptors
				l.drop()
				time.Sleep(time.Millisecond)
				continue
			}
			return nil, err
		}
		c := &conn{Conn: nc, from: l, since: time.Now()}
		l.mu.Lock()
		l.open++
		l.waiting[c] = struct{}{}
		full := l.open > mostConns
		l.mu.Unlock()
		if full {
			l.drop()
		}
		return c, nil
	}
}

// drop closes the oldest connection without a whole call.
func (l *listener) drop() {
	l.mu.Lock()
	var oldest *conn
	for c := range l.waiting {
		if oldest == nil || c.since.Before(oldest.since) {
			oldest = c
		}
	}
	l.mu.Unlock()
	if oldest != nil {
		oldest.Close()
	}
}

// called notes that a whole call has come.
func (l *listener) called(c *conn) {
	l.mu.Lock()
	delete(l.waiting, c)
	l.mu.Unlock()
}

// Close ends the connection.
func (c *conn) Close() error {
	c.once.Do(func() {
		c.from.mu.Lock()
		c.from.open--
		delete(c.from.waiting, c)
		c.from.mu.Unlock()
	})
	return c.Conn.Close()
}
