package frostshift

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Ban, host list and drain are independent: whatever their order, no request is sent to a host
// unless the list has it as ready and no operator has taken it out of service, and only a call of Ban
// ends a ban.
func TestBansAreFactsOfTheirOwn(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		const n = 4
		g := start(t, testSettings(), hosts(n)...)
		var out [n + 1]bool
		var listed [n + 1]HostState
		open := map[RequestID]int{} // number of attempts, for requests with an attempt in flight
		check := func() {
			for _, a := range g.acts {
				if a.Kind != Send {
					continue
				}
				if out[a.Host] || listed[a.Host] != Ready {
					rt.Fatalf("sent to host %d: taken out of service %v, listed as %v", a.Host, out[a.Host], listed[a.Host])
				}
				open[a.Request]++
			}
		}
		for range rapid.IntRange(1, 60).Draw(rt, "steps") {
			id := rapid.IntRange(1, n).Draw(rt, "host")
			switch rapid.IntRange(0, 4).Draw(rt, "what") {
			case 0:
				out[id] = rapid.Bool().Draw(rt, "out")
				g.b.Ban(g.now, HostID(id), out[id])
				g.drain()
			case 1:
				listed[id] = rapid.SampledFrom([]HostState{Ready, Draining, Removed}).Draw(rt, "state")
				h := hosts(n)[id-1]
				h.State = listed[id]
				g.list(ListChanges, h)
			case 2:
				g.request(rapid.IntRange(0, 2).Draw(rt, "class"), time.Second)
			case 3:
				for r, k := range open {
					res := rapid.SampledFrom([]Result{OK, Full, ConnectFailed, Reset, Failed}).Draw(rt, "result")
					delete(open, r)
					g.outcome(r, k-1, res, 10*ms)
					break
				}
			case 4:
				for _, a := range g.advance(time.Duration(rapid.IntRange(1, 900).Draw(rt, "ms")) * ms) {
					if a.Kind == Send && (out[a.Host] || listed[a.Host] != Ready) {
						rt.Fatalf("sent to host %d when a timer fired", a.Host)
					}
					if a.Kind == Send {
						open[a.Request]++
					}
				}
				g.acts = nil
			}
			check()
		}
	})
}

// A keyed request whose attempt at a banned host was lost is retried at the other host of its
// group. When the whole group is banned, the request fails. An attempt in flight at a banned host is
// not interrupted.
func TestBanUnderAKeyedRequest(t *testing.T) {
	for _, wholeGroup := range []bool{false, true} {
		g := start(t, testSettings(), hosts(4)...)
		id := g.request(1, time.Second)
		first := g.onlyAction(Send).Host
		sibling := (first - 1) ^ 1 + 1 // hosts 1 and 2 form one cell, 3 and 4 another
		g.b.Ban(g.now, first, true)
		if wholeGroup {
			g.b.Ban(g.now, sibling, true)
		}
		g.drain()
		g.outcome(id, 0, Reset, 10*ms)
		if wholeGroup {
			if acts := append(g.acts, g.advance(time.Second)...); len(acts) != 1 || acts[0].Kind != Fail {
				t.Errorf("whole group banned: %v, want one Fail", acts)
			}
		} else if a := g.onlyAction(Send); a.Host != sibling {
			t.Errorf("retried at host %d, want %d", a.Host, sibling)
		}
	}
}

// A host that is put back into service counts as cold and as unknown, and gets a request soon, even
// when the other hosts would always be preferred. When it does not answer yet, it is tried again.
func TestCalledBackHostIsColdAndUsedSoon(t *testing.T) {
	set := testSettings()
	set.Instances, set.Rank = 8, 3 // most hosts are beyond this instance's subset
	list := hosts(16)
	g := start(t, set, list...)
	took := func(HostID) time.Duration { return 5 * ms }
	g.serve(200, 0, took)
	last := g.b.ring[len(g.b.ring)-1].ID
	g.b.Ban(g.now, last, true)
	g.list(ListChanges, Host{ID: last, State: Removed})
	g.list(ListChanges, list[last-1])
	if got := g.serve(200, 0, took); got[last] > 0 {
		t.Fatalf("%d requests to a banned host after it left the list and returned", got[last])
	}
	g.b.Ban(g.now, last, false)
	g.b.Ban(g.now, last, false)
	h := g.b.byID[last]
	if !h.cold || !h.unsampled || h.coldAt != g.now {
		t.Errorf("put back into service: cold %v, no samples %v, want both true", h.cold, h.unsampled)
	}
	from, sent := g.now, 0
	for sent < 3 && g.now-from < 5*time.Second {
		id := g.request(0, time.Second)
		g.advance(5 * ms)
		switch a := g.b.requestByID[id].attempts[0]; {
		case a.host.ID != last:
			g.outcome(id, 0, OK, 5*ms)
		case sent < 2: // it is not ready yet
			sent++
			g.outcome(id, 0, ConnectFailed, 5*ms)
			if g.b.requestByID[id] != nil && len(g.b.requestByID[id].attempts) > 1 {
				g.outcome(id, 1, OK, 5*ms)
			}
		default:
			sent++
			g.outcome(id, 0, OK, 5*ms)
		}
	}
	if sent < 3 {
		t.Errorf("%d requests sent to it within 5 s, want 3", sent)
	}
	g.b.Ban(g.now, 99, true) // not listed yet, but it may be later
	g.list(ListChanges, Host{ID: 99})
	if got := g.serve(100, 0, took); got[99] > 0 {
		t.Errorf("a host that was banned before it was listed got %d requests", got[99])
	}
	for _, h := range list {
		g.b.Ban(g.now, h.ID, true)
	}
	g.drain()
	id := g.request(2, time.Second)
	if acts := g.advance(time.Second); len(g.acts)+len(acts) == 0 || acts[0].Kind != Refuse || acts[0].Request != id {
		t.Errorf("with all hosts banned: %v, want one refusal", fmt.Sprint(acts))
	}
}
