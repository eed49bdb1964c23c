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
	limit := rate*set.OverloadFactor*0.4 + 2
	if n := float64(got[3]); n > limit || n == 0 {
		t.Errorf("%v requests sent in the first second at a warm rate of %.0f, want 1 to %.0f", n, rate, limit)
	}
	serve(900)
	if got := serve(300); got[3] < 60 {
		t.Errorf("requests by host %v, want a full share for host 3 once it is warm", got)
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
		t.Errorf("retry %v sent at once, although nothing is known of warm hosts", g.acts)
	}
}

// Found by fuzzing: when the learned rate of warm hosts had decayed to almost 0, the computed gap
// between requests became negative, and a cold host was not paced at all.
func TestColdHostIsPacedAfterALongIdleTime(t *testing.T) {
	g := start(t, testSettings(), Host{ID: 1})
	g.serve(20, 0, func(HostID) time.Duration { return 10 * ms })
	for _, idle := range []time.Duration{time.Minute, 10 * time.Minute, time.Hour} {
		g.now += idle
		g.list(ListFull, Host{ID: 1}, Host{ID: 2, Started: g.now})
		h := g.b.byID[2]
		if rate := g.b.coldRate(h, 0); !g.b.coldBlocked(h) || rate <= 0 || rate > 1 {
			t.Errorf("cold host gets %v requests per second after %v of idle time, want more than 0 and at most 1", rate, idle)
		}
		g.list(ListFull, Host{ID: 1})
	}
}

// When most hosts were ejected, the rate of the few that answered was taken for the rate of any
// host, and cold hosts got twelve times their share (passau big-2).
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
		t.Errorf("rate of a warm host is %.0f per second, with 100 per second over four hosts", r)
	}
}

// When a release left few warm hosts on the list, all recent answers of the instance were
// attributed to those few, so the rate of a warm host was too high (passau big-2).
func TestWarmRateOutlivesTheListItWasLearntOn(t *testing.T) {
	g := start(t, testSettings(), hosts(10)...)
	g.serve(600, 0, func(HostID) time.Duration { return 10 * ms })
	before := g.b.warmRate()
	if before < 5 || before > 15 {
		t.Errorf("rate of a warm host is %.0f per second, with 100 per second over ten hosts", before)
	}
	g.list(ListFull, hosts(1)...)
	if r := g.b.warmRate(); r > before {
		t.Errorf("rate is %.0f with one host left, %.0f before", r, before)
	}
	g.list(ListFull, Host{ID: 1, Started: g.now})
	g.now += 10 * time.Second
	if r := g.b.warmRate(); r < before*0.9 || r > before {
		t.Errorf("rate is %.0f with no warm host left, want it to stay at %.0f", r, before)
	}
}

// Every instance sent a cold host one attempt per overload window, whatever the number of
// instances, so that large fleets overloaded cold hosts (incidents regensburg i8a995e and passau
// ia19540).
func TestColdBudgetHoldsOverTheFleet(t *testing.T) {
	for _, fleet := range []int{1, 8, 60, 300} {
		set := testSettings()
		set.Instances = fleet
		// Two warm hosts serve 20 requests per second each; the third has just started.
		every := time.Duration(fleet) * time.Second / 40
		var gateways []*gateway
		sends := []Time{}
		for i := range fleet {
			set.Rank = i
			g := start(t, set, hosts(3)[:2]...)
			g.b.rng = uint64(i) * 7919
			g.b.servedRate, g.b.servedAt = 20, g.now // as after a while of such traffic
			for _, h := range g.b.hosts {
				h.limit = 1e4
			}
			cold := Host{ID: 3, Started: g.now}
			g.list(ListChanges, cold)
			g.b.byID[3].limit = 1e4
			g.now += every * time.Duration(i) / time.Duration(fleet)
			gateways = append(gateways, g)
		}
		begin := time.Hour
		for round := 0; time.Duration(round)*every < 8*time.Second; round++ {
			for _, g := range gateways {
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
			t.Errorf("fleet of %d: only %d requests to a cold host in 8 s", fleet, len(sends))
		}
		for i := range sends {
			n := 0
			for _, at := range sends[i:] {
				if at < sends[i]+set.OverloadWindow {
					n++
				}
			}
			age := sends[i].Seconds() / set.WarmAfter.Seconds()
			if budget := 20 * set.OverloadFactor * (set.ColdFrom + (1-set.ColdFrom)*age); float64(n) > budget {
				t.Fatalf("fleet of %d: %d requests in an overload window at %v, budget %.0f", fleet, n, sends[i], budget)
			}
		}
	}
}

// Credit that stays unused while there is no traffic is spent at the start of a burst. Even then all
// instances together stay at or below N + 2*sqrt(N) + 2 requests, where N is the number that the
// settings allow a host by then, for any N.
func TestColdBudgetHoldsInABurst(t *testing.T) {
	for _, fleet := range []int{2, 30, 300} {
		for _, rate := range []float64{20, 400, 4000} { // requests per second that a warm host sustains
			for _, idle := range []time.Duration{0, time.Second, 3 * time.Second} {
				burst(t, fleet, rate, idle)
			}
		}
	}
}

// burst checks that bound for a burst that all instances see after an idle time.
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
		isHeld := func(now Time) bool {
			g.b.now, g.b.servedRate, g.b.servedAt = now, rate, now
			return g.b.coldBlocked(h)
		}
		begin := g.now
		for now := begin; now < begin+idle; now += 50 * ms { // as if requests went to other hosts
			isHeld(now)
		}
		for now := begin + idle; now < begin+idle+set.OverloadWindow; now += 5 * ms { // as much traffic as the credit permits
			for !isHeld(now) {
				h.credit = min(h.credit-1, 1)
				sends++
			}
		}
	}
	age := float64(idle+set.OverloadWindow/2) / float64(set.WarmAfter) // mean over the window
	allowed := rate * set.OverloadFactor * (set.ColdFrom + (1-set.ColdFrom)*age) * set.OverloadWindow.Seconds()
	if limit := allowed + 2*math.Sqrt(allowed) + 2; float64(sends) > limit {
		t.Errorf("%d instances, %.0f per second, a burst %v after the start: %d requests in an overload window, want at most %.0f", fleet, rate, idle, sends, limit)
	}
	if sends == 0 {
		t.Errorf("%d instances, %.0f per second: no request is sent", fleet, rate)
	}
}

// When the only host restarted, it got one request per overload window, because no other host
// existed to learn the rate of a warm host from.
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
	// A warm host served 100 per second. The budget is 2.5 x 0.3 of that at the start, and the
	// reserve for random variation stays unused.
	if sends < 10 || sends > 60 {
		t.Errorf("%d requests sent in the first second, want 10 to 60", sends)
	}
}

// Found by fuzzing: the pacing of a cold host was lost when the host left the list and returned.
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

// After a release that stopped most of 80 instances, each new one began with a rate of 0, and for seconds
// cold hosts got a twentieth of what they could serve.
func TestWarmRateIsKnownSoonAfterTheStart(t *testing.T) {
	for _, fleet := range []int{2, 20, 80, 200} {
		set := testSettings()
		set.Instances = fleet
		g := start(t, set, hosts(10)...)
		g.b.admitted = 1
		g.serve(100, 0, func(HostID) time.Duration { return 10 * ms }) // one second at 100 per second
		want := 100 * float64(fleet) / 10
		if r := g.b.warmRate(); r < want*0.7 || r > want*1.3 {
			t.Errorf("rate of a warm host is %.0f per second with %d instances, want about %.0f", r, fleet, want)
		}
	}
}

// When most hosts were cold during a release, instances considered a cold host as a candidate far
// more often than the number of its sharers assumed.
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
	if n := len(g.b.readyScratch); n > minSubset {
		t.Errorf("selects from %d cold hosts, want at most %d", n, minSubset)
	}
	if got, want := g.b.hosts[0].sharers, 240.0*minSubset/40; got < want-0.1 || got > want+0.1 {
		t.Errorf("a cold host has %v sharers, want %v", got, want)
	}
}

// The start time of a host comes from a clock that may be wrong by seconds or by an hour, in either
// direction. A host that a change of the list reports as started is paced all the same, never faster
// than one that starts now, and it becomes warm in the end.
func TestClockThatIsOffPacesAColdHost(t *testing.T) {
	startWithError := func(off time.Duration) (g *gateway, rate float64) {
		g = start(t, testSettings(), hosts(3)...)
		g.serve(600, 0, func(HostID) time.Duration { return 10 * ms })
		h := hosts(3)[2]
		h.Started = g.now + off
		g.list(ListChanges, h)
		k := g.b.byID[3]
		if !g.b.coldBlocked(k) && k.credit < 1 || !k.cold || math.IsNaN(k.credit) {
			t.Errorf("clock off by %v: the host is not paced: cold %v, credit %v", off, k.cold, k.credit)
		}
		return g, g.b.coldRate(k, max(0, g.now-k.coldAt))
	}
	_, expected := startWithError(0)
	for _, off := range []time.Duration{time.Hour, -time.Hour, 2 * time.Second} {
		g, rate := startWithError(off)
		if !(rate > 0 && rate <= expected*1.01) {
			t.Errorf("clock off by %v: paced at %v per second, want at most %v", off, rate, expected)
		}
		g.serve(2000, 0, func(HostID) time.Duration { return 10 * ms }) // 20 s
		if k := g.b.byID[3]; g.b.coldBlocked(k) || k.cold {
			t.Errorf("clock off by %v: the host stays cold", off)
		}
	}
}
