// Package http1 makes attempts at hosts over HTTP/1.1 (RFC 9112), one at a time on a
// connection. It says honestly how each attempt ended, and above all whether the
// request's last byte was written. It sends nothing by itself a second time, and it knows
// nothing of clients, of other attempts or of why a host was chosen.
//
// upstream.go keeps hosts and their connections, conn.go is one connection, attempt.go
// one attempt, answer.go reads what comes back.
package http1

import (
	"context"
	"errors"
	"math"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"frostshift"
	"frostshift/internal/shortage"
	"frostshift/internal/upstream"
)

const (
	maxHeader   = 16 << 10 // bytes of an answer's head
	maxAnswer   = 4 << 20  // bytes of an answer's body: hosts send more than the 64 KiB that are agreed
	connsToHost = 24       // connections to one host that are kept: hosts have a table of them that others need as well
	idleShare   = 0.8      // of the hosts' idle time after which we close ours: a late write is a reset
	sweepEvery  = time.Second

	// settle is how long a connection rests after an answer. An answer does not name its
	// request: what a host sends some milliseconds behind its answer has come by then and
	// shows, and is not taken for the next answer.
	settle = 5 * time.Millisecond
	// settleUnasked is the same at a host that has sent what nobody asked for within the last
	// unaskedKept.
	settleUnasked = 20 * time.Millisecond
	unaskedKept   = time.Minute
	// A request that finds none but resting connections waits for one: a new one costs a
	// handshake, and the host more than a wait. Where requests wait often, a further
	// connection is cheaper: once they have waited for waitedToOpen together, of which half
	// counts waitedHalves later.
	waitedToOpen = 20 * time.Millisecond
	waitedHalves = 100 * time.Millisecond
)

// Upstream is the hosts of one pool with the connections to them. It is safe for
// concurrent use.
type Upstream struct {
	cfg  upstream.Config
	dial func(ctx context.Context, network, address string) (net.Conn, error)
	// flows are the answers whose bodies flow.
	flows atomic.Int64

	mu    sync.Mutex // guards what follows and what hosts hold
	hosts map[frostshift.HostID]*host
	open  int // connections, open or being opened, to all hosts
}

// host is one host with its kept-alive connections.
type host struct {
	address string
	started frostshift.Time
	gone    bool    // its connections are of no more use
	idle    []*conn // the one used last at the end
	open    int     // connections, idle or not

	waited   time.Duration // for resting connections, of late
	waitedAt time.Time

	unaskedAt time.Time // when it was last seen to have sent what nobody asked for
}

// New returns an Upstream without hosts.
func New(cfg upstream.Config) *Upstream {
	cfg.Default()
	d := net.Dialer{Timeout: cfg.DialTimeout, KeepAlive: -1}
	return &Upstream{cfg: cfg, dial: d.DialContext, hosts: map[frostshift.HostID]*host{}}
}

// Update takes over a list, the whole one or changes. Connections to a host that left,
// moved or started anew are of no more use: a write on one would end as a reset.
func (u *Upstream) Update(whole bool, list []upstream.Endpoint) {
	u.mu.Lock()
	defer u.mu.Unlock()
	listed := make(map[frostshift.HostID]bool, len(list))
	for _, e := range list {
		listed[e.ID] = !e.Gone
		h := u.hosts[e.ID]
		if h != nil && (e.Gone || h.address != e.Address || h.started != e.Started) {
			u.drop(e.ID)
			h = nil
		}
		if h == nil && !e.Gone {
			u.hosts[e.ID] = &host{address: e.Address, started: e.Started}
		}
	}
	if whole {
		for id := range u.hosts {
			if !listed[id] {
				u.drop(id)
			}
		}
	}
}

// drop forgets a host. The lock is held.
func (u *Upstream) drop(id frostshift.HostID) {
	h := u.hosts[id]
	h.gone = true
	for len(h.idle) > 0 {
		h.remove(0).close()
	}
	delete(u.hosts, id)
}

// Renew has the connections that are open to a host serve nothing new.
func (u *Upstream) Renew(id frostshift.HostID) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if h := u.hosts[id]; h != nil {
		u.drop(id)
		u.hosts[id] = &host{address: h.address, started: h.started}
	}
}

// Trim closes idle connections, those idle the longest first, while there are more than so many.
func (u *Upstream) Trim(most int) {
	u.mu.Lock()
	defer u.mu.Unlock()
	for u.open > most && u.shed() {
	}
}

// Open is how many connections there are.
func (u *Upstream) Open() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.open
}

// errHostGone says that the host has left, moved or started anew while a connection to it came up: another process may
// have its address.
var errHostGone = errors.New("the host has gone")

// get returns a connection to the attempt's host, a kept-alive one if one is fit for use.
func (u *Upstream) get(t *attempt, h *host) (*conn, error) {
	for {
		u.mu.Lock()
		c, wait := h.take(time.Now())
		if c == nil {
			break
		}
		u.mu.Unlock()
		if wait > 0 {
			time.Sleep(wait)
		}
		found := c.look()
		if found == idleQuiet {
			return c, nil
		}
		c.Close()
		u.note(h, found)
	}
	room := u.cfg.Conns.Take(1)
	for !room && u.shed() {
		room = u.cfg.Conns.Take(1)
	}
	if room {
		u.open++
		h.open++
	}
	u.mu.Unlock()
	if !room {
		return nil, shortage.New(shortage.HostConnections)
	}
	ctx, cancel := context.WithDeadline(context.Background(), t.Until)
	defer cancel()
	var nc net.Conn
	err := errCalledOff
	if t.dialing(cancel) {
		nc, err = upstream.Dial(ctx, u.dial, h.address, u.shedOne)
	}
	if err != nil {
		u.mu.Lock()
		u.lose(h)
		u.mu.Unlock()
		return nil, err
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	if h.gone {
		u.lose(h)
		nc.Close()
		return nil, errHostGone
	}
	return newConn(nc, u, h), nil
}

// lose counts a connection as gone. The lock is held.
func (u *Upstream) lose(h *host) {
	u.open--
	h.open--
	u.cfg.Conns.Give(1)
}

// shedOne is shed without the lock.
func (u *Upstream) shedOne() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.shed()
}

// shed closes the connection that has been idle the longest, whatever its host, and
// says whether there was one. The lock is held.
func (u *Upstream) shed() bool {
	var oldest *host
	for _, h := range u.hosts {
		if len(h.idle) > 0 && (oldest == nil || h.idle[0].freed.Before(oldest.idle[0].freed)) {
			oldest = h
		}
	}
	if oldest == nil {
		return false
	}
	oldest.remove(0).close()
	return true
}

// put keeps a connection whose answer has come whole for another request.
func (u *Upstream) put(c *conn) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if c.host.gone || len(c.host.idle) >= connsToHost {
		c.close()
		return
	}
	c.freed = time.Now()
	c.host.idle = append(c.host.idle, c)
}

// Run closes idle connections that are old, that hosts have closed or that have brought
// what nobody asked for, until the context ends; then it closes all that are idle, and
// none is kept any more.
func (u *Upstream) Run(ctx context.Context) {
	tick := time.NewTicker(sweepEvery)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			u.Update(true, nil)
			return
		case <-tick.C:
		}
		old := time.Now().Add(-time.Duration(idleShare * float64(u.cfg.ConnIdle)))
		u.mu.Lock()
		for _, h := range u.hosts {
			for i := len(h.idle) - 1; i >= 0; i-- {
				c := h.idle[i]
				found := c.look()
				if found == idleUnasked {
					h.unaskedAt = time.Now()
				}
				if found != idleQuiet || c.freed.Before(old) {
					h.remove(i).close()
				}
			}
		}
		u.mu.Unlock()
	}
}

// note keeps what was found on an idle connection to a host.
func (u *Upstream) note(h *host, found idleState) {
	if found != idleUnasked {
		return
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	h.unaskedAt = time.Now()
}

// settles returns how long connections to the host rest. The lock is held.
func (h *host) settles(now time.Time) time.Duration {
	if !h.unaskedAt.IsZero() && now.Sub(h.unaskedAt) < unaskedKept {
		return settleUnasked
	}
	return settle
}

// take takes the connection used last among those that have settled: the others are left
// to grow old. Where all rest, it is the one nearest to its end, with the time to wait, or
// nil if a further connection is worth more. The lock is held.
func (h *host) take(now time.Time) (*conn, time.Duration) {
	rest := h.settles(now)
	for i := len(h.idle) - 1; i >= 0; i-- {
		if now.Sub(h.idle[i].freed) >= rest {
			return h.remove(i), 0
		}
	}
	if len(h.idle) == 0 {
		return nil, 0
	}
	wait := rest - now.Sub(h.idle[0].freed)
	kept := math.Exp2(-float64(now.Sub(h.waitedAt)) / float64(waitedHalves))
	h.waited = time.Duration(float64(h.waited)*kept) + wait
	h.waitedAt = now
	if h.waited > waitedToOpen && h.open < connsToHost {
		h.waited = 0
		return nil, 0
	}
	return h.remove(0), wait
}

func (h *host) remove(i int) *conn {
	c := h.idle[i]
	copy(h.idle[i:], h.idle[i+1:])
	h.idle[len(h.idle)-1] = nil
	h.idle = h.idle[:len(h.idle)-1]
	return c
}
