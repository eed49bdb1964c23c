// Package http2 takes requests from clients over HTTP/2 (RFC 9113), with prior knowledge or
// over a connection that has agreed on it, and gives each its one final answer. It frames
// and bounds; where a request goes is for package front, what becomes of it for package
// exchange. It knows nothing of pools or hosts.
//
// server.go is connections and their drain, conn.go reads one, stream.go is one request.
package http2

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"sync"
	"time"

	"frostshift/internal/front"
)

const (
	maxBody     = 64 << 10 // bytes of a request's body
	sendWithin  = 2500 * time.Millisecond
	idleWithin  = 60 * time.Second       // for a connection to stay without a stream
	leaveWithin = 500 * time.Millisecond // for a client to read the last of a connection and close it
	roundTrip   = time.Second            // for the first notice of a drain to be answered at the latest

	mostStreams = 250       // of one connection
	streamPart  = 4         // one part in so many of all open requests is the most for one connection
	connWindow  = 1 << 20   // bytes of bodies that a connection may have under way
	heldBodies  = 256 << 10 // bytes of bodies of open requests beyond which room comes back only as they end
)

// Config is what a Server needs.
type Config struct {
	Admission  *front.Admission
	Conns      *front.Conns
	Log        *slog.Logger
	Name       string        // of the listener
	SendWithin time.Duration // 0: as for HTTP/1.1
	IdleWithin time.Duration // 0: a minute
	MostOpen   int64         // requests that may be open at the gateway; 0: not bounded
	Streams    int           // that a connection may have open; 0: 250
	RoundTrip  time.Duration // 0: a second
	// Pressed says that bodies fill most of the memory that they may: connections then have
	// windows of a quarter. nil: never.
	Pressed func() bool
	// Connect says that a route lets clients ask for another protocol on a stream (RFC 8441).
	// nil: none does.
	Connect func() bool
}

// Server serves connections that speak HTTP/2. The listener is the caller's.
type Server struct {
	cfg     Config
	streams uint32

	mu      sync.Mutex
	conns   map[*conn]struct{}
	leaving bool
	closed  bool
	changed chan struct{} // closed and replaced when a connection ends
	running sync.WaitGroup
}

// New returns a server; ServeConn serves.
func New(cfg Config) *Server {
	if cfg.SendWithin == 0 {
		cfg.SendWithin = sendWithin
	}
	if cfg.IdleWithin == 0 {
		cfg.IdleWithin = idleWithin
	}
	if cfg.Pressed == nil {
		cfg.Pressed = func() bool { return false }
	}
	if cfg.RoundTrip == 0 {
		cfg.RoundTrip = roundTrip
	}
	if cfg.Streams == 0 {
		cfg.Streams = mostStreams
	}
	s := &Server{cfg: cfg, streams: uint32(cfg.Streams), conns: map[*conn]struct{}{}, changed: make(chan struct{})}
	if cfg.MostOpen > 0 {
		s.streams = uint32(max(1, min(int64(cfg.Streams), cfg.MostOpen/streamPart)))
	}
	return s
}

// Serve takes connections from a listener, each of which speaks HTTP/2, until it is
// closed; then it returns nil.
func (s *Server) Serve(ln net.Listener) error {
	for {
		c, err := ln.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			return err
		}
		go s.ServeConn(c)
	}
}

// ServeConn serves a connection to its end.
func (s *Server) ServeConn(nc net.Conn) {
	c := newConn(s, nc)
	s.mu.Lock()
	if s.closed {
		s.mu.Unlock()
		nc.Close()
		return
	}
	s.conns[c] = struct{}{}
	s.running.Add(1)
	defer s.running.Done()
	leaving := s.leaving
	s.mu.Unlock()
	c.link.Start()
	if c.all != nil {
		c.all.Frames(c.giveUp)
	}
	if leaving {
		c.leave()
	}
	c.run()
	s.mu.Lock()
	delete(s.conns, c)
	close(s.changed)
	s.changed = make(chan struct{})
	s.mu.Unlock()
}

// Leave tells every client to go away, in two steps (RFC 9113 section 6.8): streams that
// are opened before the client has heard it are still taken, later ones never are. Each
// connection ends when its streams have their answers.
func (s *Server) Leave() {
	s.mu.Lock()
	s.leaving = true
	list := make([]*conn, 0, len(s.conns))
	for c := range s.conns {
		list = append(list, c)
	}
	s.mu.Unlock()
	for _, c := range list {
		c.leave()
	}
}

// Stay takes Leave back for connections that come from now on.
func (s *Server) Stay() {
	s.mu.Lock()
	s.leaving = false
	s.mu.Unlock()
}

// Shutdown waits until all connections have ended, after Leave, or the context ends.
func (s *Server) Shutdown(ctx context.Context) error {
	for {
		s.mu.Lock()
		n, changed := len(s.conns), s.changed
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

// Close ends all connections at once, and waits until they have ended.
func (s *Server) Close() {
	s.mu.Lock()
	s.closed = true
	list := make([]*conn, 0, len(s.conns))
	for c := range s.conns {
		list = append(list, c)
	}
	s.mu.Unlock()
	for _, c := range list {
		c.link.Close()
	}
	s.running.Wait()
}

// Counts are the connections and the streams that are open.
func (s *Server) Counts() (conns, streams int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		streams += c.open()
	}
	return len(s.conns), streams
}
