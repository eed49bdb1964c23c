package gateway

import (
	"context"
	"encoding/json"
	"net/http"
	"reflect"
	"time"

	"frostshift"
	"frostshift/internal/bank"
	"frostshift/internal/config"
	"frostshift/internal/edict"
	"frostshift/internal/hearsay"
	"frostshift/internal/inflight"
	"frostshift/internal/membership/keeper"
	"frostshift/internal/roster"
)

// talk is what the gateway's other gateways are known by. Pools get each change of the view; they
// begin with the typed figures and keep what was said last.

// bankAgain is the time between two tries to open the bank's sockets while another process of
// this gateway still has them.
const bankAgain = 100 * time.Millisecond

// startBank opens the bank where one is configured. A process that takes over waits for the one
// before it to close its own: a member is one process at a time.
func (g *Gateway) startBank(m *config.Model) error {
	if m.Bank == nil {
		return nil
	}
	cfg := *m.Bank
	cfg.View, cfg.Log, cfg.Started = g.share, g.log, time.Now()
	if g.rights != nil {
		cfg.RoundTrip = g.rights.tooSlow
	}
	if g.rights != nil || g.hearing != nil || g.edicts != nil || g.loads != nil {
		cfg.Alive, cfg.Heard = g.alive, g.heard
	}
	if !g.succession.joined() {
		b, err := bank.Start(cfg)
		if err == nil {
			g.hold(b)
		}
		return err
	}
	g.running.Go(func() {
		for {
			b, err := bank.Start(cfg)
			if err == nil {
				if g.rights != nil { // the one before it has pledged its last
					g.rights.begin()
				}
				g.hold(b)
				return
			}
			select {
			case <-g.halt:
				return
			case <-time.After(bankAgain):
			}
		}
	})
	return nil
}

// alive passes on who lives, and heard what they say.
func (g *Gateway) alive(members []roster.Member, v roster.View) {
	names := make([]string, len(members))
	for i, m := range members {
		names[i] = m.Name
	}
	if g.rights != nil {
		g.rights.alive(names, v)
	}
	if g.hearing != nil {
		g.hearing.alive(members)
	}
	if g.edicts != nil {
		g.edicts.alive(names, v)
	}
	if g.loads != nil {
		g.loads.alive(names)
	}
}

func (g *Gateway) heard(data []byte) {
	switch {
	case len(data) > 0 && data[0] == hearsay.Mark:
		if g.hearing != nil {
			g.hearing.heard(data)
		}
	case len(data) > 0 && data[0] == edict.Mark:
		if g.edicts != nil {
			g.edicts.heard(data)
		}
	case len(data) > 0 && data[0] == inflight.Mark:
		if g.loads != nil {
			g.loads.heard(data)
		}
	case g.rights != nil:
		g.rights.heard(data)
	}
}

// hold keeps a bank that has started, or ends it where the gateway has ended its part in it.
func (g *Gateway) hold(b *bank.Bank) {
	g.bankMu.Lock()
	over := g.bankOver
	if !over {
		g.bank = b
	}
	g.bankMu.Unlock()
	if over {
		b.Close()
	}
}

// talks is the bank over which this process speaks; nil: it is no member, not yet or no longer.
func (g *Gateway) talks() *bank.Bank {
	g.bankMu.Lock()
	defer g.bankMu.Unlock()
	if g.bankOver {
		return nil
	}
	return g.bank
}

// leaveBank says to the others that this gateway leaves: it is to be the first thing that a
// stopping gateway does.
func (g *Gateway) leaveBank() {
	if b := g.talks(); b != nil {
		b.Leave()
	}
}

// closeBank ends this process's part without a word. It waits for the bank's goroutine, which may
// wait for a reload, which may want the keys changed: so no lock is held meanwhile.
func (g *Gateway) closeBank() {
	g.bankMu.Lock()
	b, over := g.bank, g.bankOver
	g.bankOver = true
	g.bankMu.Unlock()
	if g.rights != nil && !over {
		g.rights.retire()
	}
	if b != nil && !over {
		b.Close()
	}
}

// share gives all pools the view. It is called from the bank's goroutine.
func (g *Gateway) share(v roster.View, places []uint64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.view, g.places = &v, places
	g.gateways.Store(int64(v.Most))
	for _, p := range g.pools {
		p.share(&v, places)
	}
}

// share gives the pool what the view says; nil: nothing is known. Pools of one gateway that have
// hosts in common count as one member each.
func (p *pool) share(v *roster.View, places []uint64) {
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
		place = frostshift.TypedPlace(set.Rank, set.Instances)
	}
	p.ex.Bank(frostshift.Bank{Place: place, Least: v.Least * alike, Most: v.Most * alike}, v.Most)
}

// bankStatus answers operators.
func (g *Gateway) bankStatus(w http.ResponseWriter, r *http.Request) {
	s, ok := g.bankView(r.Context())
	if !ok {
		http.Error(w, "this gateway does not talk to others", http.StatusNotFound)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(s)
}

// bankLeave has the gateway say that it leaves, on an operator's word.
func (g *Gateway) bankLeave(w http.ResponseWriter, _ *http.Request) {
	g.leaveBank()
	w.Write([]byte("ok\n"))
}

// bankView is what the bank knows; false: there is none.
func (g *Gateway) bankView(ctx context.Context) (s bank.Status, ok bool) {
	g.bankMu.Lock()
	b := g.bank
	g.bankMu.Unlock()
	if b == nil {
		return s, false
	}
	return b.Status(ctx), true
}

// sameTalk says whether two configurations differ in nothing but keys.
func sameTalk(x, y *bank.Config) bool {
	if x == nil || y == nil {
		return x == y
	}
	a, b := *x, *y
	a.Keys, b.Keys = nil, nil
	return reflect.DeepEqual(a, b)
}

// useKeys takes the keys of a configuration that was read again.
func (g *Gateway) useKeys(m *config.Model) error {
	g.bankMu.Lock()
	defer g.bankMu.Unlock()
	if m.Bank == nil || g.bank == nil || g.bankOver {
		return nil
	}
	return g.bank.Use(m.Bank.Keys)
}
