// Package http2 makes attempts at hosts over HTTP/2 with prior knowledge (RFC 9113), many
// on a connection, one a stream. It says honestly how each attempt ended, and above all
// whether the host can have run it. It sends nothing by itself a second time, and it knows
// nothing of clients, of other attempts at a request or of why a host was chosen.
//
// upstream.go keeps hosts and their connections, conn.go is one connection, attempt.go one
// attempt.
package http2

import (
	"context"
	"errors"
	"net"
	"sync"
	"time"

	"frostshift"
	"frostshift/internal/shortage"
	"frostshift/internal/upstream"
)

const (
	maxAnswer    = 4 << 20 // bytes of an answer's body
	firstPart    = 16 << 10
	connsToHost  = 4        // connections to one host: another one where its streams are all in use
	streamWindow = 64 << 10 // what a stream may hold of an answer that flows and is not read
	connWindow   = 4 << 20
	idleShare    = 0.8 // of the hosts' idle time after which we close ours
	sweepEvery   = time.Second
	// A connection with open streams on which nothing has come for so long is asked (PING)
	// whether it lives, and closed if it has not answered as long again.
	pingAfter = time.Second
)

// Upstream is the hosts of one pool with the connections to them. It is safe for
// concurrent use.
type Upstream struct {
	cfg  upstream.Config
	dial func(ctx context.Context, network, address string) (net.Conn, error)

	mu    sync.Mutex
	hosts map[frostshift.HostID]*host
	open  int
	// free is closed and replaced when a stream, or the hope of a connection, is there for
	// those that wait.
	free chan struct{}

	running sync.WaitGroup
}

// host is one host with its connections.
type host struct {
	address string
	started frostshift.Time
	gone    bool
	conns   []*conn
	dialing int
}

// New returns an Upstream without hosts.
func New(cfg upstream.Config) *Upstream {
	cfg.Default()
	d := net.Dialer{Timeout: cfg.DialTimeout, KeepAlive: -1}
	return &Upstream{cfg: cfg, dial: d.DialContext, hosts: map[frostshift.HostID]*host{}, free: make(chan struct{})}
}

// Update takes over a list, the whole one or changes. A host that left, moved or started
// anew gets nothing more on its connections; they end with the streams that are open.
func (u *Upstream) Update(whole bool, list []upstream.Endpoint) {
	u.mu.Lock()
	var drop []*host
	listed := make(map[frostshift.HostID]bool, len(list))
	for _, e := range list {
		listed[e.ID] = !e.Gone
		h := u.hosts[e.ID]
		if h != nil && (e.Gone || h.address != e.Address || h.started != e.Started) {
			drop = append(drop, h)
			delete(u.hosts, e.ID)
			h = nil
		}
		if h == nil && !e.Gone {
			u.hosts[e.ID] = &host{address: e.Address, started: e.Started}
		}
	}
	if whole {
		for id, h := range u.hosts {
			if !listed[id] {
				drop = append(drop, h)
				delete(u.hosts, id)
			}
		}
	}
	u.leave(drop)
}

// Renew has the connections that are open to a host serve nothing new.
func (u *Upstream) Renew(id frostshift.HostID) {
	u.mu.Lock()
	var drop []*host
	if h := u.hosts[id]; h != nil {
		drop = append(drop, h)
		u.hosts[id] = &host{address: h.address, started: h.started}
	}
	u.leave(drop)
}

// leave ends the connections of hosts with the streams that are open. It lets go of the lock.
func (u *Upstream) leave(drop []*host) {
	var idle []*conn
	for _, h := range drop {
		h.gone = true
		for _, c := range h.conns {
			c.leaving = true
			if c.streams == 0 {
				idle = append(idle, c)
			}
		}
	}
	u.mu.Unlock()
	for _, c := range idle {
		c.link.Close()
	}
}

// Trim does nothing: there are few connections to a host, and each carries many requests.
func (u *Upstream) Trim(int) {}

// Open is how many connections there are.
func (u *Upstream) Open() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.open
}

// Run closes connections that are idle for long and asks silent ones whether they live,
// until the context ends; then it closes those that are idle and waits for all to end.
func (u *Upstream) Run(ctx context.Context) {
	tick := time.NewTicker(sweepEvery)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			u.Update(true, nil)
			u.running.Wait()
			return
		case <-tick.C:
		}
		now := time.Now()
		old := now.Add(-time.Duration(idleShare * float64(u.cfg.ConnIdle)))
		var idle, silent []*conn
		u.mu.Lock()
		for _, h := range u.hosts {
			for _, c := range h.conns {
				switch {
				case c.streams == 0 && c.freed.Before(old):
					c.leaving = true
					idle = append(idle, c)
				case c.streams > 0:
					silent = append(silent, c)
				}
			}
		}
		u.mu.Unlock()
		for _, c := range idle {
			c.link.Close()
		}
		for _, c := range silent {
			c.watch(now)
		}
	}
}

// errCalledOff says that the attempt was called off before it had a stream.
var errCalledOff = errors.New("called off")

// get gives the attempt a place on a connection: on one that has room, on a new one if
// there may be another, else on the first that has room, within the attempt's time.
func (u *Upstream) get(t *attempt, h *host) (*conn, error) {
	for {
		u.mu.Lock()
		for _, c := range h.conns {
			if c.take() {
				u.mu.Unlock()
				return c, nil
			}
		}
		if h.gone {
			u.mu.Unlock()
			return nil, errCalledOff
		}
		// One that waits for the first connection must not open one more each.
		if len(h.conns)+h.dialing < connsToHost && (h.dialing == 0 || len(h.conns) > 0) {
			if !u.cfg.Conns.Take(1) {
				u.mu.Unlock()
				return nil, shortage.New(shortage.HostConnections)
			}
			u.open++
			h.dialing++
			u.mu.Unlock()
			return u.connect(t, h)
		}
		free := u.free
		u.mu.Unlock()
		late := time.NewTimer(time.Until(t.Until))
		select {
		case <-free:
			late.Stop()
		case <-t.off:
			late.Stop()
			return nil, errCalledOff
		case <-t.Withdrawn():
			late.Stop()
			return nil, errCalledOff
		case <-late.C:
			return nil, context.DeadlineExceeded
		}
	}
}

// connect opens a connection and takes a place on it.
func (u *Upstream) connect(t *attempt, h *host) (*conn, error) {
	ctx, cancel := context.WithDeadline(context.Background(), t.Until)
	defer cancel()
	ended := make(chan struct{})
	defer close(ended)
	go func() {
		select {
		case <-t.off:
			cancel()
		case <-ended:
		}
	}()
	nc, err := upstream.Dial(ctx, u.dial, h.address, func() {})
	if err != nil {
		u.mu.Lock()
		h.dialing--
		u.lose()
		u.mu.Unlock()
		return nil, err
	}
	c := newConn(u, h, nc)
	u.mu.Lock()
	h.dialing--
	c.leaving = h.gone
	h.conns = append(h.conns, c)
	ok := c.take()
	u.stir()
	u.mu.Unlock()
	c.link.Start()
	u.running.Go(c.run)
	if !ok {
		c.link.Close()
		return nil, errCalledOff
	}
	return c, nil
}

// stir wakes those that wait for room. The lock is held.
func (u *Upstream) stir() {
	close(u.free)
	u.free = make(chan struct{})
}

// lose counts a connection as gone. The lock is held.
func (u *Upstream) lose() {
	u.open--
	u.cfg.Conns.Give(1)
	u.stir()
}
