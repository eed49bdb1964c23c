package frostshift

import (
	"math"
	"testing"
	"time"
)

func TestConnectFailureEjectsAndTrialReadmits(t *testing.T) {
	g := start(t, testSettings(), hosts(4)...)
	fail := func() {
		id := g.requestTo(1, ms)
		g.outcome(id, 0, ConnectFailed, ms)
		g.outcome(id, 1, OK, ms)
	}
	fail()
	first := g.b.hosts[0].ejectUntil - g.now
	if got := g.serve(100, 0, func(HostID) time.Duration { return ms }); got[1] != 0 {
		t.Fatalf("%d requests to the ejected host", got[1])
	}
	g.now = g.b.hosts[0].ejectUntil
	fail()
	if second := g.b.hosts[0].ejectUntil - g.now; second <= first {
		t.Errorf("back-off %v after %v, want it to grow", second, first)
	}
	g.now = g.b.hosts[0].ejectUntil
	probe := g.requestTo(1, ms)
	for range 20 {
		id := g.request(0, time.Second)
		if g.onlyAction(Send).Host == 1 {
			t.Fatal("second request while the probe is in flight")
		}
		g.outcome(id, 0, OK, ms)
	}
	g.outcome(probe, 0, OK, ms)
	if h := g.b.hosts[0]; h.ejections != 0 {
		t.Error("still ejected after the answer to the probe")
	}
}

// When connections to all hosts fail for a while, for example because this machine has no route,
// requests fail for little longer than that, and few connections are attempted, however long it
// lasts.
func TestMomentOfFailedConnectionsIsShort(t *testing.T) {
	for _, outage := range []time.Duration{5 * ms, 50 * ms, 500 * ms, 5 * time.Second} {
		g := start(t, testSettings(), hosts(4)...)
		begun, tries, served := g.now, 0, time.Duration(-1)
		attempts := map[RequestID]int{}
		end := func(sends []Action) {
			for len(sends) > 0 {
				id := sends[0].Request
				sends = sends[1:]
				tries++
				attempts[id]++
				if g.now-begun >= outage {
					served = g.now - begun
					return
				}
				g.outcome(id, attempts[id]-1, ConnectFailed, 0)
				sends = append(sends, sendsOf(g.acts)...)
			}
		}
		for served < 0 && g.now-begun < time.Minute {
			g.request(0, time.Second)
			end(sendsOf(g.acts))
			if served < 0 {
				end(sendsOf(g.advance(ms)))
			}
		}
		first := time.Duration(firstReconnectAims * float64(g.b.shortestAim))
		if served < 0 || served > 3*outage+2*first {
			t.Errorf("connections failed for %v, and the first attempt after that came at %v", outage, served)
		}
		rounds := 2 + math.Log2(1+float64(outage)/float64(first)) // each ejection is twice as long as the last
		if limit := int(4 * (rounds + 1)); tries > limit {
			t.Errorf("connections failed for %v, and %d were attempted, want at most %d", outage, tries, limit)
		}
	}
}

// sendsOf returns the Send actions.
func sendsOf(acts []Action) (sends []Action) {
	for _, a := range acts {
		if a.Kind == Send {
			sends = append(sends, a)
		}
	}
	return sends
}

// A host that fails most requests within milliseconds was put back into use because of its own
// errors, and each of them cost a request that must not run twice (passau rough-1).
func TestErrorsEject(t *testing.T) {
	g := start(t, testSettings(), hosts(4)...)
	id := g.requestTo(1, ms)
	g.outcome(id, 0, Failed, ms)
	if g.b.hosts[0].ejections > 0 {
		t.Fatal("ejected for one error in many answers")
	}
	g.outcome(id, 1, OK, ms)
	id = g.requestTo(1, ms)
	g.outcome(id, 0, Failed, ms)
	g.outcome(id, 1, OK, ms)
	if got := g.serve(40, 0, func(HostID) time.Duration { return ms }); got[1] != 0 {
		t.Errorf("%d requests to a host that has just failed", got[1])
	}
	g.now = g.b.hosts[0].ejectUntil
	for range 40 { // the probe must be a request that may be retried
		id := g.request(2, time.Second)
		if g.onlyAction(Send).Host == 1 {
			t.Fatal("an unsafe request is used as the probe")
		}
		g.outcome(id, 0, OK, ms)
	}
	unsafe := &request{class: &g.b.set.Classes[2]}
	if h := g.b.hosts[0]; !g.b.ejected(unsafe, h) || g.b.ejected(&request{class: &g.b.set.Classes[0]}, h) {
		t.Error("want the probe reserved for a safe request at first")
	}
	g.b.now += safeProbeAims * g.b.shortestAim
	if g.b.ejected(unsafe, g.b.hosts[0]) {
		t.Error("no probe at all when no safe request arrives")
	}
}

// A host that accepted requests and answered none kept its old estimate until the deadlines passed
// (serra rough-2).
func TestSilentHostIsEjectedAndComesBack(t *testing.T) {
	g := start(t, testSettings(), hosts(3)...)
	g.serve(60, 0, func(HostID) time.Duration { return 10 * ms })
	unanswered := g.requestTo(1, 10*ms)
	g.advance(200 * ms)
	if got := g.serve(50, 0, func(HostID) time.Duration { return ms }); got[1] != 0 {
		t.Fatalf("%d requests to the silent host", got[1])
	}
	g.outcome(unanswered, 0, OK, 250*ms) // it was only paused
	if h := g.b.hosts[0]; h.ejections != 0 {
		t.Error("still ejected after its answer")
	}
	g.advance(10 * time.Second) // its one long RTT decays
	if got := g.serve(300, 0, func(h HostID) time.Duration { return 10 * ms }); got[1] == 0 {
		t.Error("host got nothing after it answered")
	}
}

// A host that answers other requests while one costly request is in flight is not silent.
func TestHostThatAnswersOthersIsNotSilent(t *testing.T) {
	g := start(t, testSettings(), hosts(1)...)
	g.b.hosts[0].limit = 10
	g.serve(30, 0, func(HostID) time.Duration { return 10 * ms })
	g.request(0, time.Second)
	for range 20 {
		id := g.request(0, time.Second)
		g.advance(20 * ms)
		g.outcome(id, 0, OK, 10*ms)
	}
	if g.b.hosts[0].ejections != 0 {
		t.Error("ejected")
	}
}

func TestFailOpenWhenMostAreOut(t *testing.T) {
	g := start(t, testSettings(), hosts(4)...)
	for _, h := range g.b.hosts[:3] {
		g.b.eject(h, "test")
	}
	got := g.serve(60, 0, func(HostID) time.Duration { return ms })
	if len(got) < 2 {
		t.Errorf("requests by host %v, want the ejected hosts used too", got)
	}
}

// During a release most hosts of a subset were gone before the list reported it, and because the
// balancer failed open it sent each request to them six times (passau big-2).
func TestHostsThatTakeNoConnectionDoNotFailOpen(t *testing.T) {
	g := start(t, testSettings(), hosts(4)...)
	for _, h := range g.b.hosts[:3] {
		b := g.b
		id := g.requestTo(h.ID, ms)
		for n := 0; len(g.acts) == 0 || b.hosts[3].ID != g.acts[0].Host; n++ { // until it is sent to the last host
			if g.outcome(id, n, ConnectFailed, ms); n > 3 {
				t.Fatal("never sent to the one host that accepts connections")
			}
		}
		g.b.ClientGone(g.now, id)
		g.drain()
	}
	probes := 0
	for range 40 {
		id := g.request(0, time.Second)
		n := 0
		for sends := sendsOf(g.acts); sends[0].Host != 4; sends = sendsOf(g.acts) {
			if h := g.b.byID[sends[0].Host]; g.now < h.ejectUntil {
				t.Errorf("sent to host %d, which is ejected for another %v", h.ID, h.ejectUntil-g.now)
			}
			probes++
			g.outcome(id, n, ConnectFailed, 0)
			n++
		}
		g.advance(ms)
		g.outcome(id, n, OK, ms)
	}
	if probes > 0 { // the ejections last longer than the requests
		t.Errorf("%d requests to hosts that accept no connection", probes)
	}
}
