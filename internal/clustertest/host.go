package clustertest

import (
	"bufio"
	"fmt"
	"io"
	"math"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"frostshift/internal/fake"
)

// Headers that a client sends through the gateway to a host.
const (
	idHeader   = "X-Correlation-Id"
	workHeader = "X-Work" // microseconds of a core
)

// Nature is what a host is like. It may be changed while the host runs.
type Nature struct {
	Cores  int     // requests that it works on at once; others wait
	Queue  int     // that wait at most; the next is answered 503
	Slow   float64 // times the work; 0: 1
	Errors float64 // part of answers that are 500
	Hung   bool    // requests are taken and not answered
	Cold   float64 // part of its speed with which it starts; 0: warm
	Warm   time.Duration
}

// Host is a host with cores and a queue. Its methods are safe for concurrent use.
type Host struct {
	N     int
	Addr  string
	audit *Audit
	place *fake.Place

	mu      sync.Mutex
	nature  Nature
	started time.Time
	ln      net.Listener
	conns   map[net.Conn]bool
	busy    int
	line    []chan struct{}
	drains  time.Time // when all had been told that it drains; zero: it does not
	wg      sync.WaitGroup
}

// NewHost starts a host that tells the audit what it meets.
func NewHost(n int, nature Nature, audit *Audit) (*Host, error) {
	place, err := fake.Reserve()
	if err != nil {
		return nil, err
	}
	h := &Host{N: n, Addr: place.Addr, nature: nature, audit: audit, place: place, conns: map[net.Conn]bool{}}
	if err := h.Return(); err != nil {
		place.Close()
		return nil, err
	}
	return h, nil
}

// Return starts the host, anew behind a Kill, at its address.
func (h *Host) Return() error {
	ln, err := h.place.Listen()
	if err != nil {
		return err
	}
	h.mu.Lock()
	h.ln, h.started = ln, time.Now()
	h.mu.Unlock()
	h.wg.Go(func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			h.mu.Lock()
			if h.ln != ln { // killed in the moment in which it came
				h.mu.Unlock()
				fake.Reset(c)
				continue
			}
			h.conns[c] = true
			h.mu.Unlock()
			h.wg.Go(func() { h.serve(c) })
		}
	})
	return nil
}

// Change changes what the host is like.
func (h *Host) Change(change func(*Nature)) {
	h.mu.Lock()
	defer h.mu.Unlock()
	change(&h.nature)
}

// Close ends the host and gives its address up.
func (h *Host) Close() {
	h.Kill()
	h.place.Close()
}

// Drains notes that every gateway has been told, by now, that the host drains.
func (h *Host) Drains() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.drains = time.Now()
}

// Serves notes that the host does not drain any more, before anybody is told.
func (h *Host) Serves() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.drains = time.Time{}
}

// Kill ends the host as a crash does: nothing listens and what is open is reset.
func (h *Host) Kill() {
	h.mu.Lock()
	if h.ln != nil {
		h.ln.Close()
		h.ln = nil
	}
	for c := range h.conns {
		fake.Reset(c)
	}
	for _, next := range h.line {
		close(next)
	}
	h.line, h.busy = nil, 0
	h.mu.Unlock()
	h.wg.Wait()
}

func (h *Host) serve(c net.Conn) {
	defer func() {
		c.Close()
		h.mu.Lock()
		delete(h.conns, c)
		h.mu.Unlock()
	}()
	in := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		us, _ := strconv.Atoi(r.Header.Get(workHeader))
		status := h.run(r.Header.Get(idHeader), time.Duration(us)*time.Microsecond, c)
		if status == 0 {
			return
		}
		if _, err := fmt.Fprintf(c, "HTTP/1.1 %d %s\r\nContent-Length: 2\r\nX-Host: %d\r\n\r\nok", status, http.StatusText(status), h.N); err != nil {
			return
		}
	}
}

// run works on a request and says how it is answered; 0: not at all.
func (h *Host) run(id string, work time.Duration, c net.Conn) int {
	h.mu.Lock()
	n := h.nature
	speed := 1.0
	if n.Cold > 0 && n.Warm > 0 {
		speed = n.Cold + (1-n.Cold)*math.Min(1, float64(time.Since(h.started))/float64(n.Warm))
	}
	full := h.busy >= n.Cores && len(h.line) >= n.Queue
	var turn chan struct{}
	switch {
	case full:
	case h.busy < n.Cores:
		h.busy++
	default:
		turn = make(chan struct{})
		h.line = append(h.line, turn)
	}
	drains := h.drains
	h.mu.Unlock()
	h.audit.came(h, id, work, speed, n.Cores, drains, full)
	if full {
		return http.StatusServiceUnavailable
	}
	if turn != nil {
		<-turn
	}
	if n.Hung {
		io.Copy(io.Discard, c) // until the gateway gives it up
		h.next()
		return 0
	}
	if n.Slow > 0 {
		work = time.Duration(float64(work) * n.Slow)
	}
	time.Sleep(time.Duration(float64(work) / speed))
	h.next()
	if n.Errors > 0 && h.audit.chance() < n.Errors {
		return http.StatusInternalServerError
	}
	return http.StatusOK
}

// next gives a core to whoever waits longest.
func (h *Host) next() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if len(h.line) > 0 {
		close(h.line[0])
		h.line = h.line[1:]
	} else if h.busy > 0 {
		h.busy--
	}
}
