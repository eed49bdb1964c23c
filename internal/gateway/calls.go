package gateway

import (
	"context"
	"fmt"
	"sync"

	"frostshift/internal/membership"
	"frostshift/internal/operate"
)

const (
	mostBanned = 4096 // hosts that may be out by hand at once
	mostGone   = 1024 // names that are remembered of hosts that have left the lists
	longName   = 255
)

// commands are what operators may call.
type commands struct{ *Gateway }

// Serving says whether this process takes clients.
func (c commands) Serving() bool { return c.intake.Ready() }

// Out takes a host out of use, or has it used again, in each pool that has heard of it.
func (c commands) Out(ctx context.Context, name string, out bool) error {
	return c.Gateway.out(ctx, name, out)
}

// Drain gives the clients up, or takes some again.
func (c commands) Drain(_ context.Context, on bool) error {
	c.clients.give(on)
	return nil
}

func (g *Gateway) out(ctx context.Context, name string, out bool) error {
	if name == "" || len(name) > longName {
		return operate.ErrName
	}
	g.mu.Lock()
	known := g.banned[name]
	for _, p := range g.pools {
		known = known || p.known.has(name)
	}
	switch {
	case !known:
		g.mu.Unlock()
		return operate.ErrUnknown
	case out && !g.banned[name] && len(g.banned) >= mostBanned:
		g.mu.Unlock()
		return fmt.Errorf("%d hosts are out already", mostBanned)
	case out:
		g.banned[name] = true
	default:
		delete(g.banned, name)
	}
	holds := make(chan struct{}, len(g.pools))
	n := len(g.pools)
	for _, p := range g.pools {
		id := membership.HostID(name)
		go p.ex.Ban(id, out, func() { p.up.Renew(id) }, func() { holds <- struct{}{} })
	}
	g.mu.Unlock()
	for range n {
		select {
		case <-holds:
		case <-ctx.Done():
			return fmt.Errorf("it does not hold yet: %w", ctx.Err())
		}
	}
	return nil
}

// roster is the names of hosts that a pool has heard of. The zero value is empty.
type roster struct {
	mu     sync.Mutex
	listed map[string]bool // false: it has left
	gone   int
}

// learn takes over a list, the whole one or changes.
func (r *roster) learn(l *membership.List) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.listed == nil {
		r.listed = map[string]bool{}
	}
	if l.Snapshot {
		for name := range r.listed {
			r.listed[name] = false
		}
	}
	for i := range l.Endpoints {
		r.listed[l.Endpoints[i].Name] = l.Endpoints[i].Status != membership.Left
	}
	gone := 0
	for name, here := range r.listed {
		if here {
			continue
		}
		if gone++; gone > mostGone {
			delete(r.listed, name)
		}
	}
}

// has says whether a name is that of a host which is listed or was lately.
func (r *roster) has(name string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, known := r.listed[name]
	return known
}
