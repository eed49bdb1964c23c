package frostshift

import (
	"math"
	"slices"
	"testing"
	"time"
)

func TestColdHostIsPaced(t *testing.T) {
	set := testSettings()
	g := start(t, set, hosts(3)...)
	// Two warm hosts at 50 answers a second each, then the third restarts.
	serve := func(n int) map[HostID]int { return g.serve(n, 0, func(HostID) time.Duration { return 10 * ms }) }
	serve(600)
	rate := g.b.warmRate()
	h := hosts(3)[2]
	h.Started = g.now
	g.list(ListChanges, h)
	got := serve(100) // one second
	most := rate*set.OverloadFactor*0.4 + 2
	if n := float64(got[3]); n > most || n == 0 {
		t.Errorf("%v sends in the first second at a warm rate of %.0f, want 1 to %.0f", n, rate, most)
	}
	serve(900)
	if got := serve(300); got[3] < 60 {
		t.Errorf("shares %v once warm, want a full share", got)
	}
}

func TestColdBudgetCountsRefusedAttempts(t *testing.T) {
	set := testSettings()
	list := hosts(1)
	list[0].Started = time.Hour - time.Second
	g := start(t, set, list...)
	g.advance(5 * time.Second)
	id := g.request(0, time.Second)
	g.onlyAction(Send)
	g.outcome(id, 0, Full, ms)
	if len(g.acts) != 0 {
		t.Errorf("sent %v again at once, with nothing learnt of warm hosts", g.acts)
	}
}

// Found by fuzzing: a learnt rate decayed to almost nothing turned into a gap
// below zero, and the cold host was not paced at all.
func TestColdHostIsPacedAfterALongIdleTime(t *testing.T) {
	g := start(t, testSettings(), Host{ID: 1})
	g.serve(20, 0, func(HostID) time.Duration { return 10 * ms })
	for _, idle := range []time.Duration{time.Minute, 10 * time.Minute, time.Hour} {
		g.now += idle
		g.list(ListFull, Host{ID: 1}, Host{ID: 2, Started: g.now})
		h := g.b.byID[2]
		if rate := g.b.coldRate(h, 0); !g.b.coldHold(h) || rate <= 0 || rate > 1 {
			t.Errorf("cold host is sent %v a second after %v, want a little", rate, idle)
		}
		g.list(ListFull, Host{ID: 1})
	}
}

// passau big-2: with most hosts out, the few that answered passed for the rate of
// any host, and cold ones were sent twelve times their part.
func TestWarmRateCountsHostsThatAreOut(t *testing.T) {
	g := start(t, testSettings(), hosts(4)...)
	for _, h := range g.b.hosts[1:] {
		g.b.eject(h, "test")
	}
	g.b.hosts[0].limit = 1e4
	for range 400 {
		id := g.request(0, time.Second)
		for _, a := range g.acts {
			g.outcome(a.Request, 0, OK, 10*ms)
		}
		_ = id
		g.advance(10 * ms)
	}
	if r := g.b.warmRate(); r > 30 {
		t.Errorf("rate of a warm host %.0f a second, with 100 a second over four hosts", r)
	}
}

// passau big-2: as a release left few warm hosts listed, all that the instance had
// been served lately passed for the rate of those few.
func TestWarmRateOutlivesTheListItWasLearntOn(t *testing.T) {
	g := start(t, testSettings(), hosts(10)...)
	g.serve(600, 0, func(HostID) time.Duration { return 10 * ms })
	before := g.b.warmRate()
	if before < 5 || before > 15 {
		t.Errorf("rate of a warm host %.0f a second, with 100 a second over ten", before)
	}
	g.list(ListFull, hosts(1)...)
	if r := g.b.warmRate(); r > before {
		t.Errorf("rate %.0f once one is left, %.0f before", r, before)
	}
	g.list(ListFull, Host{ID: 1, Started: g.now})
	g.now += 10 * time.Second
	if r := g.b.warmRate(); r < before*0.9 || r > before {
		t.Errorf("rate %.0f with no warm host left, want %.0f to stay", r, before)
	}
}

// regensburg i8a995e, passau ia19540: every instance sent a cold host one attempt
// a Fall, whatever their number, so that large fleets pushed hosts over.
func TestColdBudgetHoldsOverTheFleet(t *testing.T) {
	for _, fleet := range []int{1, 8, 60, 300} {
		set := testSettings()
		set.Instances = fleet
		// Two warm hosts serve 20 a second each; the third has just started.
		every := time.Duration(fleet) * time.Second / 40
		var gws []*gateway
		sends := []Time{}
		for i := range fleet {
			set.Rank = i
			g := start(t, set, hosts(3)[:2]...)
			g.b.rng = uint64(i) * 7919
			g.b.served, g.b.servedAt = 20, g.now // as after a while of such traffic
			for _, h := range g.b.hosts {
				h.limit = 1e4
			}
			cold := Host{ID: 3, Started: g.now}
			g.list(ListChanges, cold)
			g.b.byID[3].limit = 1e4
			g.now += every * time.Duration(i) / time.Duration(fleet)
			gws = append(gws, g)
		}
		begin := time.Hour
		for round := 0; time.Duration(round)*every < 8*time.Second; round++ {
			for _, g := range gws {
				id := g.request(0, time.Second)
				for _, a := range g.acts {
					if a.Kind == Send && a.Host == 3 {
						sends = append(sends, g.now-begin)
					}
				}
				g.outcome(id, 0, OK, 10*ms)
				g.advance(every)
			}
		}
		slices.Sort(sends)
		if len(sends) < 5 {
			t.Errorf("fleet of %d: only %d sends to a cold host in 8 s", fleet, len(sends))
		}
		for i := range sends {
			n := 0
			for _, at := range sends[i:] {
				if at < sends[i]+set.OverloadWindow {
					n++
				}
			}
			age := sends[i].Seconds() / set.WarmAfter.Seconds()
			if most := 20 * set.OverloadFactor * (set.ColdFrom + (1-set.ColdFrom)*age); float64(n) > most {
				t.Fatalf("fleet of %d: %d sends in a Fall at %v, budget %.0f", fleet, n, sends[i], most)
			}
		}
	}
}

// Credit that nobody used while there was no traffic is spent in the first moment of a burst: all
// instances together stay under N + 2 root N + 2 there as well, N being what the settings allow a
// host by then, however much that is, with even traffic and where few have most of it.
func TestColdBudgetHoldsInABurst(t *testing.T) {
	for _, fleet := range []int{2, 30, 300} {
		for _, rate := range []float64{20, 400, 4000} { // that a warm host bears
			for _, idle := range []time.Duration{0, time.Second, 3 * time.Second} {
				burst(t, fleet, rate, idle)
			}
		}
	}
}

func burst(t *testing.T, fleet int, rate float64, idle time.Duration) {
	t.Helper()
	set := testSettings()
	set.Instances = fleet
	cold := hosts(3)[2]
	cold.Started = time.Hour
	sends := 0
	for i := range fleet {
		set.Rank = i
		g := start(t, set, hosts(3)[:2]...)
		g.b.rng = uint64(i+1) * 0x9e3779b97f4a7c15
		g.b.servedFrom = g.now - time.Hour
		g.list(ListChanges, cold)
		h := g.b.byID[3]
		h.sharers = float64(fleet)
		held := func(now Time) bool {
			g.b.now, g.b.served, g.b.servedAt = now, rate, now
			return g.b.coldHold(h)
		}
		begin := g.now
		for now := begin; now < begin+idle; now += 50 * ms { // as with requests that go elsewhere
			held(now)
		}
		for now := begin + idle; now < begin+idle+set.OverloadWindow; now += 5 * ms { // as much traffic as there may be
			for !held(now) {
				h.credit = min(h.credit-1, 1)
				sends++
			}
		}
	}
	age := float64(idle+set.OverloadWindow/2) / float64(set.WarmAfter) // in the mean of the window
	allowed := rate * set.OverloadFactor * (set.ColdFrom + (1-set.ColdFrom)*age) * set.OverloadWindow.Seconds()
	if most := allowed + 2*math.Sqrt(allowed) + 2; float64(sends) > most {
		t.Errorf("%d instances, %.0f a second, a burst %v behind the start: %d sends in a Fall, %.0f make it fall", fleet, rate, idle, sends, most)
	}
	if sends == 0 {
		t.Errorf("%d instances, %.0f a second: nothing is sent", fleet, rate)
	}
}

// Altered sites: a lone host that came back cold got one request a Fall, as no
// other host was there to learn from.
func TestLoneColdHostUsesWhatWasLearnt(t *testing.T) {
	g := start(t, testSettings(), hosts(1)...)
	g.serve(300, 0, func(HostID) time.Duration { return 10 * ms })
	h := hosts(1)[0]
	g.list(ListFull)
	h.Started = g.now
	g.list(ListFull, h)
	sends := 0
	for end := g.now + time.Second; g.now < end; {
		g.request(0, 500*ms)
		sent := g.acts
		for _, a := range append(append([]Action(nil), sent...), g.advance(10*ms)...) {
			if a.Kind == Send {
				sends++
				g.outcome(a.Request, 0, OK, 10*ms)
			}
		}
	}
	// A warm host took 100 a second; the budget is 2.5 x 0.3 of that at the start, and what
	// is kept for chance stays unused.
	if sends < 10 || sends > 60 {
		t.Errorf("%d sends in the first second", sends)
	}
}

// Found by fuzzing: a cold host that left the list and came back had its pacing
// forgotten.
func TestColdPacingOutlivesAFlappingList(t *testing.T) {
	list := hosts(1)
	list[0].Started = time.Hour - time.Second
	g := start(t, testSettings(), list...)
	g.advance(5 * time.Second)
	id := g.request(0, time.Second)
	g.onlyAction(Send)
	g.outcome(id, 0, OK, ms)
	g.list(ListFull)
	g.list(ListFull, list...)
	if g.request(0, time.Second); len(g.acts) != 0 {
		t.Errorf("sent %v at once after the host returned", g.acts)
	}
}

// A release that killed most of 80 instances: each began at a rate of nothing, and for
// seconds cold hosts got a twentieth of what they could do.
func TestWarmRateIsKnownSoonAfterTheStart(t *testing.T) {
	for _, fleet := range []int{2, 20, 80, 200} {
		set := testSettings()
		set.Instances = fleet
		g := start(t, set, hosts(10)...)
		g.b.admit = 1
		g.serve(100, 0, func(HostID) time.Duration { return 10 * ms }) // a second of 100
		want := 100 * float64(fleet) / 10
		if r := g.b.warmRate(); r < want*0.7 || r > want*1.3 {
			t.Errorf("rate of a warm host %.0f a second with %d instances, want about %.0f", r, fleet, want)
		}
	}
}

// obb-like deploy days: with most hosts cold, instances walked past a cold host far
// more often than they counted.
func TestFarColdHostsAreLeftToTheirSharers(t *testing.T) {
	set := testSettings()
	set.Instances = 240
	var list []Host
	for i := range 40 {
		list = append(list, Host{ID: HostID(i + 1), Started: time.Hour - time.Second})
	}
	g := start(t, set, list...)
	for _, h := range g.b.hosts {
		h.credit, h.creditAt = 1, g.b.now // all have credit
	}
	g.b.pick(&request{class: &g.b.set.Classes[0]})
	if n := len(g.b.ready); n > subsetLeast {
		t.Errorf("draws from %d cold hosts, want at most %d", n, subsetLeast)
	}
	if got, want := g.b.hosts[0].sharers, 240.0*subsetLeast/40; got < want-0.1 || got > want+0.1 {
		t.Errorf("a cold host counts %v sharers, want %v", got, want)
	}
}

// A host's start is told by a clock that may be off, by seconds or by an hour, either way. A host that a
// change of the list tells of first is paced all the same, never faster than one that starts now, and is
// warm in the end.
func TestClockThatIsOffPacesAColdHost(t *testing.T) {
	begins := func(off time.Duration) (g *gateway, rate float64) {
		g = start(t, testSettings(), hosts(3)...)
		g.serve(600, 0, func(HostID) time.Duration { return 10 * ms })
		h := hosts(3)[2]
		h.Started = g.now + off
		g.list(ListChanges, h)
		k := g.b.byID[3]
		if !g.b.coldHold(k) && k.credit < 1 || !k.cold || math.IsNaN(k.credit) {
			t.Errorf("off by %v: it is not paced: cold %v, credit %v", off, k.cold, k.credit)
		}
		return g, g.b.coldRate(k, max(0, g.now-k.coldAt))
	}
	_, right := begins(0)
	for _, off := range []time.Duration{time.Hour, -time.Hour, 2 * time.Second} {
		g, rate := begins(off)
		if !(rate > 0 && rate <= right*1.01) {
			t.Errorf("off by %v: paced at %v a second, right were %v", off, rate, right)
		}
		g.serve(2000, 0, func(HostID) time.Duration { return 10 * ms }) // 20 s
		if k := g.b.byID[3]; g.b.coldHold(k) || k.cold {
			t.Errorf("off by %v: it is cold for ever", off)
		}
	}
}
