package frostshift

import (
	"testing"
	"time"
)

func TestConnectFailureEjectsAndTrialReadmits(t *testing.T) {
	g := start(t, basic(), hosts(4)...)
	fail := func() {
		id := g.sentTo(1, ms)
		g.outcome(id, 0, ConnectFailed, ms)
		g.outcome(id, 1, OK, ms)
	}
	fail()
	first := g.b.hosts[0].ejectUntil - g.now
	if got := g.serve(100, 0, func(HostID) time.Duration { return ms }); got[1] != 0 {
		t.Fatalf("%d sends to the ejected host", got[1])
	}
	g.now = g.b.hosts[0].ejectUntil
	fail()
	if second := g.b.hosts[0].ejectUntil - g.now; second <= first {
		t.Errorf("back-off %v after %v, want it to grow", second, first)
	}
	g.now = g.b.hosts[0].ejectUntil
	trial := g.sentTo(1, ms)
	for range 20 {
		id := g.request(0, time.Second)
		if g.sole(Send).Host == 1 {
			t.Fatal("second request while the trial is out")
		}
		g.outcome(id, 0, OK, ms)
	}
	g.outcome(trial, 0, OK, ms)
	if h := g.b.hosts[0]; h.fails != 0 {
		t.Error("still ejected after the trial's answer")
	}
}

// passau rough-1: a host that fails most requests within milliseconds was readmitted
// by its own errors, and each cost a request that must not be repeated.
func TestErrorsEject(t *testing.T) {
	g := start(t, basic(), hosts(4)...)
	id := g.sentTo(1, ms)
	g.outcome(id, 0, Failed, ms)
	if g.b.hosts[0].fails > 0 {
		t.Fatal("ejected for one error in many answers")
	}
	g.outcome(id, 1, OK, ms)
	id = g.sentTo(1, ms)
	g.outcome(id, 0, Failed, ms)
	g.outcome(id, 1, OK, ms)
	if got := g.serve(40, 0, func(HostID) time.Duration { return ms }); got[1] != 0 {
		t.Errorf("%d sends to a host that has just failed", got[1])
	}
	g.now = g.b.hosts[0].ejectUntil
	for range 40 { // the trial is for one that may be sent again
		id := g.request(2, time.Second)
		if g.sole(Send).Host == 1 {
			t.Fatal("an unsafe request is the trial")
		}
		g.outcome(id, 0, OK, ms)
	}
	unsafe := &request{class: &g.b.set.Classes[2]}
	if h := g.b.hosts[0]; !g.b.ejected(unsafe, h) || g.b.ejected(&request{class: &g.b.set.Classes[0]}, h) {
		t.Error("want the trial kept for a safe request first")
	}
	g.b.now += trialAims * g.b.aim
	if g.b.ejected(unsafe, g.b.hosts[0]) {
		t.Error("no trial at all where no safe request comes")
	}
}

// serra rough-2: a host that takes requests and answers none kept its old
// estimate until the deadlines.
func TestSilentHostIsEjectedAndComesBack(t *testing.T) {
	g := start(t, basic(), hosts(3)...)
	g.serve(60, 0, func(HostID) time.Duration { return 10 * ms })
	held := g.sentTo(1, 10*ms)
	g.advance(200 * ms)
	if got := g.serve(50, 0, func(HostID) time.Duration { return ms }); got[1] != 0 {
		t.Fatalf("%d sends to the silent host", got[1])
	}
	g.outcome(held, 0, OK, 250*ms) // it only paused
	if h := g.b.hosts[0]; h.fails != 0 {
		t.Error("still ejected after its answer")
	}
	g.advance(10 * time.Second) // its one long RTT decays
	if got := g.serve(300, 0, func(h HostID) time.Duration { return 10 * ms }); got[1] == 0 {
		t.Error("host got nothing after it answered")
	}
}

// A host with one costly request that answers others is not silent.
func TestHostThatAnswersOthersIsNotSilent(t *testing.T) {
	g := start(t, basic(), hosts(1)...)
	g.b.hosts[0].limit = 10
	g.serve(30, 0, func(HostID) time.Duration { return 10 * ms })
	g.request(0, time.Second)
	for range 20 {
		id := g.request(0, time.Second)
		g.advance(20 * ms)
		g.outcome(id, 0, OK, 10*ms)
	}
	if g.b.hosts[0].fails != 0 {
		t.Error("ejected")
	}
}

func TestFailOpenWhenMostAreOut(t *testing.T) {
	g := start(t, basic(), hosts(4)...)
	for _, h := range g.b.hosts[:3] {
		g.b.eject(h, "test")
	}
	got := g.serve(60, 0, func(HostID) time.Duration { return ms })
	if len(got) < 2 {
		t.Errorf("sends %v, want the ejected hosts used too", got)
	}
}

// passau big-2: during a release most hosts of a subset were gone before the list told,
// and failing open sent each request to them six times.
func TestHostsThatTakeNoConnectionDoNotFailOpen(t *testing.T) {
	g := start(t, basic(), hosts(4)...)
	for _, h := range g.b.hosts[:3] {
		b := g.b
		id := g.sentTo(h.ID, ms)
		for n := 0; len(g.acts) == 0 || b.hosts[3].ID != g.acts[0].Host; n++ { // until it lands on the last
			if g.outcome(id, n, ConnectFailed, ms); n > 3 {
				t.Fatal("never sent to the one host that takes connections")
			}
		}
		g.b.Gone(g.now, id)
		g.drain()
	}
	if got := g.serve(40, 0, func(HostID) time.Duration { return ms }); len(got) != 1 || got[4] != 40 {
		t.Errorf("sends %v, want all at the one host that takes connections", got)
	}
}
