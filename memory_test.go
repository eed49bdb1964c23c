package frostshift

import (
	"encoding/json"
	"math"
	"testing"
	"time"
)

// The learned state of one balancer holds in the next: estimates, ejections, cold hosts and bans.
// A host that restarted in between counts as new, and invalid values are left out.
func TestMemoryIsTakenOver(t *testing.T) {
	list := hosts(4)
	g := start(t, testSettings(), list...)
	g.serve(200, 0, func(h HostID) time.Duration { return time.Duration(h) * 10 * ms })
	id := g.requestTo(4, 5*ms)
	g.outcome(id, 0, ConnectFailed, ms)
	g.b.Ban(g.now, 1, true)
	g.b.Ban(g.now, 2, true)
	g.b.Ban(g.now, 2, false)
	g.drain()
	text, err := json.Marshal(g.b.Memory(g.now))
	if err != nil {
		t.Fatal(err)
	}
	var m Memory
	if err := json.Unmarshal(text, &m); err != nil {
		t.Fatal(err)
	}
	list[2].Started = g.now - time.Second // host 3
	n := start(t, testSettings(), list...)
	n.now = g.now + 50*ms // the clocks need not agree
	n.b.Restore(n.now, &m)
	for _, h := range g.b.hosts {
		k := n.b.byID[h.ID]
		switch {
		case h.ID == 3 && !(k.unsampled && k.cold):
			t.Errorf("host 3 has restarted: fresh %v, cold %v, want both true", k.unsampled, k.cold)
		case h.ID == 3:
		case math.Abs(k.rtt-h.rtt) > 1e-9 || k.limit != h.limit || k.ejections != h.ejections || k.cold != h.cold || k.unsampled != h.unsampled || k.State != h.State:
			t.Errorf("host %d: %+v\nwant %+v", h.ID, k, h)
		case h.ejections > 0 && (k.ejectUntil-n.now) != (h.ejectUntil-g.now):
			t.Errorf("host %d is ejected for another %v, want %v", h.ID, k.ejectUntil-n.now, h.ejectUntil-g.now)
		}
	}
	if len(n.b.reinstated) != 1 || n.b.reinstated[0].ID != 2 {
		t.Errorf("%d hosts await a first request, want only the one that was put back into service", len(n.b.reinstated))
	}
	bad := Memory{Version: MemoryVersion, Admit: math.NaN(), Served: math.Inf(1), All: MeanMemory{Mean: -1}, Kinds: make([]EvidenceMemory, 99), Classes: make([]MeanMemory, 99),
		Hosts: []HostMemory{{ID: 1, RTT: math.NaN(), Limit: 9}, {ID: 2, Limit: 0.1}, {ID: 99}, {ID: 4, Limit: 9, Fails: -1}}}
	n = start(t, testSettings(), hosts(4)...)
	n.b.Restore(n.now, &bad)
	if got := n.serve(100, 0, func(HostID) time.Duration { return 5 * ms }); len(got) != 4 || n.b.admitted != 1 {
		t.Errorf("after invalid values: requests by host %v, admitted share %v", got, n.b.admitted)
	}
}

// Two sibling processes of one instance together send a cold host as much as a single one would.
func TestTwinsShareColdBudgets(t *testing.T) {
	sent := func(processes int) (n int) {
		for i := range processes {
			set := testSettings()
			g := start(t, set, Host{ID: 1, Started: time.Hour - time.Second})
			g.b.rng = uint64(i)
			g.b.Processes(g.now, processes)
			for range 600 {
				id := g.request(0, time.Second)
				for _, a := range g.acts {
					if a.Kind == Send {
						n++
						g.outcome(id, 0, OK, 5*ms)
					}
				}
				g.advance(5 * ms)
			}
		}
		return n
	}
	one, two := sent(1), sent(2)
	if two > one+one/4+2 {
		t.Errorf("two processes sent %d requests to the cold host, a single one %d", two, one)
	}
}
