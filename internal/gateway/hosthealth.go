package gateway

import (
	"encoding/json"
	"net/http"
	"slices"
	"sync"
	"time"

	"frostshift"
	"frostshift/internal/config"
	"frostshift/internal/hosthealth"
	"frostshift/internal/peers"
	"frostshift/internal/upstream"
)

// hostHealth is the gateway's part in what gateways tell each other of hosts: it gives package hosthealth
// the time, the packets, the lists and its own outcomes, and pools the verdicts. Nothing waits for
// it, and without the others there are none.
type hostHealth struct {
	g *Gateway
	inbox

	mu    sync.Mutex
	store *hosthealth.Store
	// lists are hosts of pools that run, and when they started. At a reload two pools may have one name.
	lists map[*pool]map[hosthealth.HostID]int64
	odd   bool // as logged last
}

// newHostHealth makes a part where it is asked for; nil: it is not.
func newHostHealth(g *Gateway, m *config.Model) *hostHealth {
	if m.Gossip == nil || !m.Gossip.Verdicts {
		return nil
	}
	return &hostHealth{g: g, inbox: newInbox(), store: hosthealth.New(hosthealth.Config{Self: m.Name, Zone: m.Gossip.Zone, Classes: len(m.Classes)}), lists: map[*pool]map[hosthealth.HostID]int64{}}
}

func (h *hostHealth) now() hosthealth.Time { return h.g.exchange.Clock().Now() }

// run has the store look in turns until the gateway ends.
func (h *hostHealth) run() {
	tick := time.NewTicker(h.store.Every())
	defer tick.Stop()
	for {
		select {
		case <-h.g.ended:
			return
		case data := <-h.in:
			h.mu.Lock()
			h.store.Take(h.now(), data)
			h.mu.Unlock()
		case <-tick.C:
			h.look()
		}
	}
}

// look sends what is to be said and gives pools what has changed.
func (h *hostHealth) look() {
	h.mu.Lock()
	out, changed := h.store.Tick(h.now())
	out = slices.Clone(out)
	odd := h.store.Odd()
	turned := odd != h.odd
	h.odd = odd
	h.mu.Unlock()
	if turned && odd {
		h.g.log.Warn("verdicts: this gateway alone finds hosts bad that answer others; its own link or processor is the likelier cause, and it warns nobody")
	}
	sendAll(h.g, out)
	if len(changed) == 0 {
		return
	}
	list := make([]frostshift.HostHealth, len(changed))
	for i, v := range changed {
		list[i] = frostshift.HostHealth{Host: frostshift.HostID(v.Host), Suspicion: v.Doubt, Down: v.Down, Wait: v.Wait, Until: v.Until}
	}
	for _, p := range h.g.exchanges() {
		p.HostHealth(list)
	}
}

// alive takes who lives.
func (h *hostHealth) alive(members []peers.Member) {
	list := make([]hosthealth.Member, len(members))
	for i, m := range members {
		list[i] = hosthealth.Member{Name: m.Name, Zone: m.Zone}
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.store.View(list)
}

// met notes an own attempt. It is called in pools' loops.
func (h *hostHealth) met(id frostshift.HostID, class int, r frostshift.Result, took frostshift.Time) {
	o, says := hosthealth.OutcomeOf(r)
	if !says {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.store.Saw(h.now(), hosthealth.HostID(id), class, o, took)
}

// list takes a pool's hosts: all of them, or those that changed.
func (h *hostHealth) list(p *pool, whole bool, list []upstream.Endpoint) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if whole || h.lists[p] == nil {
		h.lists[p] = map[hosthealth.HostID]int64{}
	}
	for _, e := range list {
		if e.Gone {
			delete(h.lists[p], hosthealth.HostID(e.ID))
		} else {
			h.lists[p][hosthealth.HostID(e.ID)] = int64(e.Started / frostshift.Time(time.Millisecond))
		}
	}
	h.merge()
}

// end forgets the hosts of a pool that has ended.
func (h *hostHealth) end(p *pool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.lists, p)
	h.merge()
}

// merge gives the store all pools' hosts. The lock is held.
func (h *hostHealth) merge() {
	all := map[hosthealth.HostID]int64{}
	for _, hosts := range h.lists {
		for id, started := range hosts {
			all[id] = max(all[id], started)
		}
	}
	h.store.List(h.now(), all)
}

// VerdictsStatus is what operators are shown of what gateways say of hosts.
type VerdictsStatus struct {
	Name   string
	Odd    bool // this gateway alone finds hosts bad
	Counts hosthealth.Counts
	Lost   int64 // packets that came and found no room
	Hosts  []VerdictHost
}

// VerdictHost is a host that somebody speaks against.
type VerdictHost struct {
	Name string
	hosthealth.Status
}

// verdictsStatus answers operators.
func (g *Gateway) verdictsStatus(w http.ResponseWriter, _ *http.Request) {
	if g.hostHealth == nil {
		http.Error(w, "nothing of hosts is told among gateways", http.StatusNotFound)
		return
	}
	h := g.hostHealth
	h.mu.Lock()
	s := VerdictsStatus{Odd: h.store.Odd(), Counts: h.store.Counts(), Lost: h.lost.Load()}
	list := h.store.Status(h.now())
	h.mu.Unlock()
	var names map[frostshift.HostID]string
	s.Name, names = g.names()
	for _, host := range list {
		s.Hosts = append(s.Hosts, VerdictHost{names[frostshift.HostID(host.Host)], host})
	}
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(s)
}
