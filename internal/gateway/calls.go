package gateway

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"sync"

	"frostshift/internal/admin"
	"frostshift/internal/membership"
)

const (
	mostBanned = 4096 // hosts that may be out by hand at once
	mostGone   = 1024 // names that are remembered of hosts that have left the lists
	longName   = 255
)

// commands are what operators may call.
type commands struct{ *Gateway }

// Serving says whether this process takes clients.
func (c commands) Serving() bool { return c.restart.serves() && c.admission.Ready() }

// Out takes a host out of use, or has it used again, in each pool that has heard of it; with fleet
// at all gateways that live.
func (c commands) Out(ctx context.Context, name string, out, fleet bool) (more string, err error) {
	if err := c.Gateway.known(name); err != nil {
		return "", err
	}
	if fleet {
		return c.overrides.set(ctx, name, out)
	}
	return "", c.outEverywhere(ctx, name, out)
}

// Drain gives the clients up, or takes some again.
func (c commands) Drain(ctx context.Context, on bool) error {
	c.clients.ask(on)
	return c.restart.everywhere(ctx, call{Drain: &on})
}

// known says why a name is none of a host that pools have heard of or that is out; nil: it is one.
func (g *Gateway) known(name string) error {
	if name == "" || len(name) > longName {
		return admin.ErrName
	}
	g.mu.Lock()
	known := g.banned[name] || g.overrides.has(name)
	for _, p := range g.heldPools() {
		known = known || p.known.has(name)
	}
	g.mu.Unlock()
	if !known {
		return admin.ErrUnknown
	}
	return nil
}

// outEverywhere does it in this process and in the gateway's other one.
func (g *Gateway) outEverywhere(ctx context.Context, name string, out bool) error {
	if err := g.outHere(ctx, name, out); err != nil {
		return err
	}
	return g.restart.everywhere(ctx, call{Host: name, Out: out})
}

// outHere does it in this process, also for a name that none of its pools has heard of yet. Pools that a reload has
// replaced may still hold requests for the host.
func (g *Gateway) outHere(ctx context.Context, name string, out bool) error {
	g.mu.Lock()
	switch {
	case out && !g.banned[name] && len(g.banned) >= mostBanned:
		g.mu.Unlock()
		return fmt.Errorf("%d hosts are out already", mostBanned)
	case out:
		g.banned[name] = true
	default:
		delete(g.banned, name)
	}
	pools := g.heldPools()
	holds := make([]chan struct{}, len(pools))
	for i, p := range pools {
		id := membership.HostID(name)
		holds[i] = make(chan struct{})
		go p.ex.Ban(id, out, func() { p.up.Renew(id) }, func() { close(holds[i]) })
	}
	g.mu.Unlock()
	for i, p := range pools {
		select {
		case <-holds[i]:
		case <-p.ex.Done(): // it sends nothing any more
		case <-ctx.Done():
			return fmt.Errorf("it does not hold yet: %w", ctx.Err())
		}
	}
	g.keepBans()
	return nil
}

// hostList is the hosts that a pool has heard of. The zero value is empty.
type hostList struct {
	mu      sync.Mutex
	index   *uint64                        // of the last list; nil: it had none
	entries map[string]membership.Endpoint // that are listed
	gone    map[string]struct{}            // that were; so many are remembered
}

// names are the hosts that are listed.
func (r *hostList) names() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Collect(maps.Keys(r.entries))
}

// learn takes over a list, the whole one or changes.
func (r *hostList) learn(l *membership.List) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.entries == nil {
		r.entries, r.gone = map[string]membership.Endpoint{}, map[string]struct{}{}
	}
	r.index = l.Index
	if l.Snapshot {
		for name := range r.entries {
			r.leave(name)
		}
	}
	for _, e := range l.Endpoints {
		if e.Status == membership.Left {
			r.leave(e.Name)
			continue
		}
		delete(r.gone, e.Name)
		r.entries[e.Name] = e
	}
	for name := range r.gone { // any: they are as good as one another
		if len(r.gone) <= mostGone {
			break
		}
		delete(r.gone, name)
	}
}

// leave notes that a host is listed no more. The lock is held.
func (r *hostList) leave(name string) {
	delete(r.entries, name)
	r.gone[name] = struct{}{}
}

// list is the hosts that are listed now, as discovery would; nil: there is no version to it.
func (r *hostList) list() *membership.List {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.index == nil {
		return nil
	}
	l := &membership.List{Index: r.index, Snapshot: true}
	for _, e := range r.entries {
		l.Endpoints = append(l.Endpoints, e)
	}
	return l
}

// has says whether a name is that of a host which is listed or was lately.
func (r *hostList) has(name string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, here := r.entries[name]
	_, was := r.gone[name]
	return here || was
}
