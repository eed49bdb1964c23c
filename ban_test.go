package frostshift

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Ban, list and drain are facts apart: whatever their order, nothing goes to a host unless the
// list has it ready and it is not out by hand, and a ban ends with its own call alone.
func TestBansAreFactsOfTheirOwn(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		const n = 4
		g := start(t, basic(), hosts(n)...)
		var out [n + 1]bool
		var listed [n + 1]HostState
		open := map[RequestID]int{} // attempts begun and not ended
		check := func() {
			for _, a := range g.acts {
				if a.Kind != Send {
					continue
				}
				if out[a.Host] || listed[a.Host] != Ready {
					rt.Fatalf("sent to host %d: out by hand %v, listed %v", a.Host, out[a.Host], listed[a.Host])
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
						rt.Fatalf("sent to host %d in time", a.Host)
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

// A keyed request whose attempt at a host under work was lost goes to its group's other host;
// with the group wholly out it fails, and an open attempt there ends as it ends.
func TestBanUnderAKeyedRequest(t *testing.T) {
	for _, whole := range []bool{false, true} {
		g := start(t, basic(), hosts(4)...)
		id := g.request(1, time.Second)
		first := g.sole(Send).Host
		twin := (first - 1) ^ 1 + 1 // hosts 1 and 2 are a cell, 3 and 4 another
		g.b.Ban(g.now, first, true)
		if whole {
			g.b.Ban(g.now, twin, true)
		}
		g.drain()
		g.outcome(id, 0, Reset, 10*ms)
		if whole {
			if acts := append(g.acts, g.advance(time.Second)...); len(acts) != 1 || acts[0].Kind != Fail {
				t.Errorf("group wholly out: %v, want one Fail", acts)
			}
		} else if a := g.sole(Send); a.Host != twin {
			t.Errorf("goes on to %d, want %d", a.Host, twin)
		}
	}
}

// A host that is called back is cold and as new, and gets work soon, also where others would
// be chosen for ever; one that does not answer yet is tried again.
func TestCalledBackHostIsColdAndUsedSoon(t *testing.T) {
	set := basic()
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
		t.Fatalf("%d requests to a host that is out, after it left and came back", got[last])
	}
	g.b.Ban(g.now, last, false)
	g.b.Ban(g.now, last, false)
	h := g.b.byID[last]
	if !h.cold || !h.unsampled || h.coldAt != g.now {
		t.Errorf("called back it is cold %v, new %v", h.cold, h.unsampled)
	}
	from, met := g.now, 0
	for met < 3 && g.now-from < 5*time.Second {
		id := g.request(0, time.Second)
		g.advance(5 * ms)
		switch a := g.b.requestByID[id].attempts[0]; {
		case a.host.ID != last:
			g.outcome(id, 0, OK, 5*ms)
		case met < 2: // it comes up late
			met++
			g.outcome(id, 0, ConnectFailed, 5*ms)
			if g.b.requestByID[id] != nil && len(g.b.requestByID[id].attempts) > 1 {
				g.outcome(id, 1, OK, 5*ms)
			}
		default:
			met++
			g.outcome(id, 0, OK, 5*ms)
		}
	}
	if met < 3 {
		t.Errorf("met %d times within 5 s of the call, want 3", met)
	}
	g.b.Ban(g.now, 99, true) // nobody has it; it may come
	g.list(ListChanges, Host{ID: 99})
	if got := g.serve(100, 0, took); got[99] > 0 {
		t.Errorf("a host that was out before it was listed got %d", got[99])
	}
	for _, h := range list {
		g.b.Ban(g.now, h.ID, true)
	}
	g.drain()
	id := g.request(2, time.Second)
	if acts := g.advance(time.Second); len(g.acts)+len(acts) == 0 || acts[0].Kind != Refuse || acts[0].Request != id {
		t.Errorf("with all hosts out: %v", fmt.Sprint(acts))
	}
}
