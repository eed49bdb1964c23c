//go:build review

package stand

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// Attempt is a request as a host gets it.
type Attempt struct {
	Host   *Host
	Conn   net.Conn
	N      int       // on its connection, from 1
	Began  time.Time // its first byte came
	Whole  time.Time // its last byte came
	ID     string
	Key    string
	Path   string
	Body   []byte
	Number int // at this host, from 1
}

// Host is a server that answers each request by a function, which says whether the connection goes on.
type Host struct {
	Name  string
	Group int
	ln    net.Listener
	rec   *Record
	serve func(*Attempt) bool

	mu    sync.Mutex
	n     int
	conns map[net.Conn]bool
}

// NewHost starts a host.
func NewHost(rec *Record, name string, group int, serve func(*Attempt) bool) (*Host, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	h := &Host{Name: name, Group: group, ln: ln, rec: rec, serve: serve, conns: map[net.Conn]bool{}}
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			h.mu.Lock()
			h.conns[c] = true
			h.mu.Unlock()
			go h.run(c)
		}
	}()
	return h, nil
}

// Addr is where it listens.
func (h *Host) Addr() string { return h.ln.Addr().String() }

// Close ends the host as a process that ends does.
func (h *Host) Close() {
	h.ln.Close()
	h.mu.Lock()
	defer h.mu.Unlock()
	for c := range h.conns {
		c.Close()
	}
}

func (h *Host) run(c net.Conn) {
	defer func() {
		c.Close()
		h.mu.Lock()
		delete(h.conns, c)
		h.mu.Unlock()
	}()
	in := bufio.NewReader(c)
	for n := 1; ; n++ {
		if _, err := in.Peek(1); err != nil {
			return
		}
		a := &Attempt{Host: h, Conn: c, N: n, Began: time.Now()}
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		if a.Body, err = io.ReadAll(r.Body); err != nil {
			return
		}
		a.Whole, a.ID, a.Key, a.Path = time.Now(), r.Header.Get("X-Correlation-Id"), r.Header.Get("Idempotency-Key"), r.URL.Path
		h.mu.Lock()
		h.n++
		a.Number = h.n
		h.mu.Unlock()
		h.rec.Add("run: host %s gets %s %s id %s key %q, first byte at %.3f", h.Name, r.Method, a.Path, a.ID, a.Key, h.rec.At(a.Began))
		if !h.serve(a) {
			return
		}
	}
}

// Answer writes a whole answer.
func (a *Attempt) Answer(status int, body string, fields ...string) {
	text := fmt.Sprintf("HTTP/1.1 %d %s\r\nContent-Length: %d\r\n", status, http.StatusText(status), len(body))
	for _, f := range fields {
		text += f + "\r\n"
	}
	io.WriteString(a.Conn, text+"\r\n"+body)
}
