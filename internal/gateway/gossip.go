package gateway

import (
	"context"
	"encoding/json"
	"net/http"
	"reflect"
	"time"

	"frostshift"
	"frostshift/internal/config"
	"frostshift/internal/gossip"
	"frostshift/internal/hosthealth"
	"frostshift/internal/inflight"
	"frostshift/internal/membership/keeper"
	"frostshift/internal/override"
	"frostshift/internal/peers"
)

// talk is what the gateway's other gateways are known by. Pools get each change of the view; they
// begin with the typed figures and keep what was said last.

// gossipAgain is the time between two tries to open the agent's sockets while another process of
// this gateway still has them.
const gossipAgain = 100 * time.Millisecond

// startGossip starts the gossip agent where one is configured. A process that takes over waits for the one
// before it to close its own: a member is one process at a time.
func (g *Gateway) startGossip(m *config.Model) error {
	if m.Gossip == nil {
		return nil
	}
	cfg := *m.Gossip
	cfg.View, cfg.Log, cfg.Started = g.share, g.log, time.Now()
	if g.rights != nil {
		cfg.RoundTrip = g.rights.tooSlow
	}
	if g.rights != nil || g.hostHealth != nil || g.overrides != nil || g.loads != nil {
		cfg.Alive, cfg.Heard = g.alive, g.heard
	}
	if !g.restart.joined() {
		b, err := gossip.Start(cfg)
		if err == nil {
			g.hold(b)
		}
		return err
	}
	g.running.Go(func() {
		for {
			b, err := gossip.Start(cfg)
			if err == nil {
				if g.rights != nil { // the one before it has lent its last
					g.rights.begin()
				}
				g.hold(b)
				return
			}
			select {
			case <-g.halt:
				return
			case <-time.After(gossipAgain):
			}
		}
	})
	return nil
}

// alive passes on who lives, and heard what they say.
func (g *Gateway) alive(members []peers.Member, v peers.View) {
	names := make([]string, len(members))
	for i, m := range members {
		names[i] = m.Name
	}
	if g.rights != nil {
		g.rights.alive(names, v)
	}
	if g.hostHealth != nil {
		g.hostHealth.alive(members)
	}
	if g.overrides != nil {
		g.overrides.alive(names, v)
	}
	if g.loads != nil {
		g.loads.alive(names)
	}
}

func (g *Gateway) heard(data []byte) {
	switch {
	case len(data) > 0 && data[0] == hosthealth.Mark:
		if g.hostHealth != nil {
			g.hostHealth.heard(data)
		}
	case len(data) > 0 && data[0] == override.Mark:
		if g.overrides != nil {
			g.overrides.heard(data)
		}
	case len(data) > 0 && data[0] == inflight.Mark:
		if g.loads != nil {
			g.loads.heard(data)
		}
	case g.rights != nil:
		g.rights.heard(data)
	}
}

// hold keeps an agent that has started, or ends it where the gateway has ended its part in it.
func (g *Gateway) hold(b *gossip.Agent) {
	g.gossipMu.Lock()
	over := g.gossipOver
	if !over {
		g.gossip = b
	}
	g.gossipMu.Unlock()
	if over {
		b.Close()
	}
}

// talks is the agent over which this process speaks; nil: it is no member, not yet or no longer.
func (g *Gateway) talks() *gossip.Agent {
	g.gossipMu.Lock()
	defer g.gossipMu.Unlock()
	if g.gossipOver {
		return nil
	}
	return g.gossip
}

// leaveFleet says to the others that this gateway leaves: it is to be the first thing that a
// stopping gateway does.
func (g *Gateway) leaveFleet() {
	if b := g.talks(); b != nil {
		b.Leave()
	}
}

// closeGossip ends this process's part without a word. It waits for the agent's goroutine, which may
// wait for a reload, which may want the keys changed: so no lock is held meanwhile.
func (g *Gateway) closeGossip() {
	g.gossipMu.Lock()
	b, over := g.gossip, g.gossipOver
	g.gossipOver = true
	g.gossipMu.Unlock()
	if g.rights != nil && !over {
		g.rights.retire()
	}
	if b != nil && !over {
		b.Close()
	}
}

// share gives all pools the view. It is called from the agent's goroutine.
func (g *Gateway) share(v peers.View, places []uint64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.view, g.places = &v, places
	g.gateways.Store(int64(v.Most))
	for _, p := range g.heldPools() {
		p.share(&v, places)
	}
}

// share gives the pool what the view says; nil: nothing is known. Pools of one gateway that have
// hosts in common count as one member each.
func (p *pool) share(v *peers.View, places []uint64) {
	set := &p.def.Settings
	if v == nil || set.Instances < 1 || p.typed < 1 {
		return
	}
	if p.keeper != nil {
		p.keeper.Share(keeper.Shared{IDs: places, Rank: v.Rank, Most: v.Most})
	}
	alike := set.Instances / p.typed
	place := v.Place + float64(set.Rank/p.typed)/float64(alike*v.Count)
	if place >= 1 {
		place--
	}
	if v.Typed {
		place = frostshift.RankPosition(set.Rank, set.Instances)
	}
	p.ex.Fleet(frostshift.Fleet{Position: place, Min: v.Least * alike, Max: v.Most * alike}, v.Most)
}

// fleetStatus answers operators.
func (g *Gateway) fleetStatus(w http.ResponseWriter, r *http.Request) {
	s, ok := g.fleetView(r.Context())
	if !ok {
		http.Error(w, "this gateway does not talk to others", http.StatusNotFound)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(s)
}

// fleetLeave has the gateway say that it leaves, on an operator's word.
func (g *Gateway) fleetLeave(w http.ResponseWriter, _ *http.Request) {
	g.leaveFleet()
	w.Write([]byte("ok\n"))
}

// fleetView is what the agent knows; false: there is none.
func (g *Gateway) fleetView(ctx context.Context) (s gossip.Status, ok bool) {
	g.gossipMu.Lock()
	b := g.gossip
	g.gossipMu.Unlock()
	if b == nil {
		return s, false
	}
	return b.Status(ctx), true
}

// sameTalk says whether two configurations differ in nothing but keys.
func sameTalk(x, y *gossip.Config) bool {
	if x == nil || y == nil {
		return x == y
	}
	a, b := *x, *y
	a.Keys, b.Keys = nil, nil
	return reflect.DeepEqual(a, b)
}

// useKeys takes the keys of a configuration that was read again.
func (g *Gateway) useKeys(m *config.Model) error {
	g.gossipMu.Lock()
	defer g.gossipMu.Unlock()
	if m.Gossip == nil || g.gossip == nil || g.gossipOver {
		return nil
	}
	return g.gossip.Use(m.Gossip.Keys)
}
