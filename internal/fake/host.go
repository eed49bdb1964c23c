// Package fake is scripted peers for tests, benchmarks and the demo: hosts that refuse, stay
// silent, answer late, half or not at all, clients that read slowly or leave, and a
// discovery that says what it is told. All listen on loopback addresses, at ports that the
// kernel chooses, and count what reached them. It knows nothing of the gateway.
//
// host.go is hosts, counts.go what reached them, script.go what they do, client.go clients, discovery.go discovery.
package fake

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// Request is a request as a host got it.
type Request struct {
	N      int // requests of this host count from 1
	ID     string
	Method string
	Host   string
	Target string
	Header http.Header
	Body   []byte
	Conn   net.Conn
	// Ended is closed when the host ends.
	Ended <-chan struct{}
}

// Host is a scripted server. Its methods are safe for concurrent use.
type Host struct {
	counts
	place *Place
	serve func(*Request) bool
	ended chan struct{}
	wg    sync.WaitGroup

	mu    sync.Mutex
	ln    net.Listener
	conns map[net.Conn]bool // true: idle
	chunk int
	pause time.Duration
}

// NewHost starts a host that hands each request to serve, which says whether to go on
// with the connection.
func NewHost(serve func(*Request) bool) (*Host, error) {
	place, err := Reserve()
	if err != nil {
		return nil, err
	}
	h := &Host{counts: newCounts(), place: place, serve: serve, ended: make(chan struct{}), conns: map[net.Conn]bool{}}
	if err := h.Return(); err != nil {
		place.Close()
		return nil, err
	}
	return h, nil
}

func (h *Host) accept(ln net.Listener) {
	h.wg.Go(func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			h.mu.Lock()
			if h.ln != ln { // refused in the moment in which it came
				h.mu.Unlock()
				Reset(c)
				continue
			}
			h.conns[c] = true
			h.mu.Unlock()
			h.wg.Go(func() { h.run(c) })
		}
	})
}

func (h *Host) run(c net.Conn) {
	defer func() {
		c.Close()
		h.mu.Lock()
		delete(h.conns, c)
		h.mu.Unlock()
	}()
	in := bufio.NewReader(slowly{c, h})
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		req := &Request{ID: r.Header.Get("X-Correlation-Id"), Method: r.Method, Host: r.Host, Target: r.RequestURI,
			Header: r.Header, Conn: c, Ended: h.ended}
		h.begin(c, req)
		if req.Body, err = io.ReadAll(r.Body); err != nil {
			return
		}
		req.N = h.last(req.ID)
		if !h.serve(req) {
			return
		}
		h.mu.Lock()
		h.conns[c] = true
		h.mu.Unlock()
	}
}

func (h *Host) begin(c net.Conn, r *Request) {
	h.mu.Lock()
	h.conns[c] = false
	h.mu.Unlock()
	h.head(r.ID)
}

// Forgetful makes the host keep no counts by id, for load without end.
func (h *Host) Forgetful() *Host {
	h.countsMu.Lock()
	defer h.countsMu.Unlock()
	h.forgetful = true
	return h
}

// ReadSlowly makes the host read so many bytes at a time, with a pause before each.
func (h *Host) ReadSlowly(chunk int, pause time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.chunk, h.pause = chunk, pause
}

type slowly struct {
	net.Conn
	h *Host
}

func (s slowly) Read(b []byte) (int, error) {
	s.h.mu.Lock()
	chunk, pause := s.h.chunk, s.h.pause
	s.h.mu.Unlock()
	if chunk > 0 && len(b) > chunk {
		b = b[:chunk]
		select {
		case <-time.After(pause):
		case <-s.h.ended:
		}
	}
	return s.Conn.Read(b)
}

// Addr is where the host listens.
func (h *Host) Addr() string { return h.place.Addr }

// Conns is how many connections are open.
func (h *Host) Conns() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.conns)
}

// DropIdle closes the connections on which no request is open.
func (h *Host) DropIdle() {
	h.mu.Lock()
	defer h.mu.Unlock()
	for c, idle := range h.conns {
		if idle {
			c.Close()
		}
	}
}

// Refuse stops listening and resets what is open: connections are refused from then on.
func (h *Host) Refuse() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.ln != nil {
		h.ln.Close()
		h.ln = nil
	}
	for c := range h.conns {
		Reset(c)
	}
}

// Return listens again where Refuse had stopped. The address stayed the host's own meanwhile.
func (h *Host) Return() error {
	ln, err := h.place.Listen()
	if err != nil {
		return err
	}
	h.mu.Lock()
	h.ln = ln
	h.mu.Unlock()
	h.accept(ln)
	return nil
}

// Close ends the host and all that it started.
func (h *Host) Close() {
	h.mu.Lock()
	select {
	case <-h.ended:
		h.mu.Unlock()
		return
	default:
	}
	close(h.ended)
	h.mu.Unlock()
	h.Refuse()
	h.wg.Wait()
	h.place.Close()
}

// Reset closes a connection with a reset.
func Reset(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		t.SetLinger(0)
	}
	c.Close()
}
