package clustertest

import (
	"io"
	"net"
	"sync"
	"time"
)

// Link is what a relay does with what passes. The zero value passes it on.
type Link struct {
	Delay time.Duration // of each piece, each way
	// Silent swallows what goes to the far end and what comes back; the sides stay connected.
	SilentTo, SilentBack bool
	Refuse               bool // new connections are reset
}

// Relay stands between a gateway and a host, or a gateway and discovery: what connects to Addr is
// led to the far end, through the faults of its link.
type Relay struct {
	Addr string
	far  string
	ln   net.Listener
	wg   sync.WaitGroup

	mu    sync.Mutex
	link  Link
	conns map[net.Conn]bool
}

// NewRelay starts a relay to an address.
func NewRelay(far string) (*Relay, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r := &Relay{Addr: ln.Addr().String(), far: far, ln: ln, conns: map[net.Conn]bool{}}
	r.wg.Go(func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			r.wg.Go(func() { r.pass(c) })
		}
	})
	return r, nil
}

// Set changes the link, also for what is connected.
func (r *Relay) Set(l Link) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.link = l
}

// Reset breaks what is connected.
func (r *Relay) Reset() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for c := range r.conns {
		c.(*net.TCPConn).SetLinger(0)
		c.Close()
	}
}

// Close ends the relay.
func (r *Relay) Close() {
	r.ln.Close()
	r.Reset()
	r.wg.Wait()
}

func (r *Relay) now() Link {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.link
}

func (r *Relay) keep(c net.Conn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.conns[c] = true
}

func (r *Relay) drop(c net.Conn) {
	c.Close()
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.conns, c)
}

func (r *Relay) pass(near net.Conn) {
	r.keep(near)
	defer r.drop(near)
	if r.now().Refuse {
		near.(*net.TCPConn).SetLinger(0)
		return
	}
	far, err := net.DialTimeout("tcp", r.far, time.Second)
	if err != nil {
		near.(*net.TCPConn).SetLinger(0)
		return
	}
	r.keep(far)
	defer r.drop(far)
	back := make(chan struct{})
	go func() {
		defer close(back)
		r.copy(near, far, func(l Link) bool { return l.SilentBack })
	}()
	r.copy(far, near, func(l Link) bool { return l.SilentTo })
	<-back
}

// copy passes on one way until either end closes, and then ends both.
func (r *Relay) copy(to, from net.Conn, silent func(Link) bool) {
	defer to.Close()
	defer from.Close()
	buf := make([]byte, 16<<10)
	for {
		n, err := from.Read(buf)
		if l := r.now(); n > 0 && !silent(l) {
			time.Sleep(l.Delay)
			if _, err := to.Write(buf[:n]); err != nil {
				return
			}
		}
		if err != nil {
			if err != io.EOF {
				to.(*net.TCPConn).SetLinger(0)
			}
			return
		}
	}
}
