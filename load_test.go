package frostshift

import (
	"math"
	"testing"
	"time"
)

// Every host had more requests in flight than it could serve in time (incidents i4dd726 and ib2aec1).
func TestInFlightIsBoundedAndLineIsWorthFirst(t *testing.T) {
	g := start(t, testSettings(), hosts(2)...)
	inFlight := map[RequestID]bool{}
	for range 30 {
		g.request(0, time.Second)
		for _, a := range g.acts {
			inFlight[a.Request] = true
		}
	}
	if want := 2 * initialHostLimit; len(inFlight) != want {
		t.Fatalf("%d in flight at two new hosts, want %d", len(inFlight), want)
	}
	worthMost := g.request(2, time.Second)
	for id := range inFlight {
		g.now += 10 * ms
		g.outcome(id, 0, OK, 10*ms)
		break
	}
	if len(g.acts) == 0 || g.acts[0].Request != worthMost {
		t.Errorf("actions %v, want the unsafe request, which has the highest worth, first", g.acts)
	}
}

func TestWaitingTooLongIsRefusedEarly(t *testing.T) {
	g := start(t, testSettings(), hosts(1)...)
	for range 10 {
		g.request(0, time.Second)
	}
	begin := g.now
	for _, a := range g.advance(450 * ms) {
		if a.Kind != Refuse {
			t.Fatalf("action %v", a)
		}
		if g.b.requestByID[a.Request] != nil {
			t.Error("the refused request is still stored")
		}
	}
	if g.b.queued != 0 {
		t.Errorf("%d requests still wait after %v, past their aim", g.b.queued, g.now-begin)
	}
}

// Late requests in a queue below a non-empty one of higher priority kept waiting (incident zurich
// i836603).
func TestLateRequestsAreRefusedInEveryLine(t *testing.T) {
	set := testSettings()
	set.Classes[0].Deadline = 2 * time.Second
	set.Classes[1].Deadline, set.Classes[1].Aim = 2*time.Second, 2*time.Second // worth more
	g := start(t, set)
	low := g.request(0, 2*time.Second)
	high := g.request(1, 2*time.Second)
	for _, a := range g.advance(200 * ms) {
		if a.Kind != Refuse || a.Request != low {
			t.Errorf("action %v, want only the late request of the lower priority refused", a)
		}
	}
	if g.b.requestByID[low] != nil || g.b.requestByID[high] == nil {
		t.Error("the late request still waits, or the other was refused")
	}
}

func TestLimitFollowsRTT(t *testing.T) {
	g := start(t, testSettings(), hosts(1)...)
	h := g.b.hosts[0]
	for range 40 {
		g.b.now += 300 * ms
		g.b.adjustLimit(h, 0.8, g.b.now)
	}
	if h.limit != minHostLimit {
		t.Errorf("limit %v after slow answers, want the minimum", h.limit)
	}
	g.b.now += time.Second
	for range 20 {
		g.b.now += 300 * ms
		g.b.adjustLimit(h, 0.01, g.b.now)
	}
	if h.limit != minHostLimit {
		t.Errorf("limit %v, want no growth while nothing waits", h.limit)
	}
	g.b.queued = 1
	for range 60 {
		g.b.now += 300 * ms
		h.pending = int(h.limit) - 1
		g.b.adjustLimit(h, 0.01, g.b.now)
	}
	if h.limit < 4 {
		t.Errorf("limit %v, want it to grow while requests wait", h.limit)
	}
}

// Small cuts of the limit, one per answer, came too late to keep hosts from overload. The limit is
// cut by more, but only once per round trip, because several large cuts at once would cut it too far
// (incidents serra i06a801 and ie8003c).
func TestLimitIsCutOnceARound(t *testing.T) {
	g := start(t, testSettings(), hosts(1)...)
	h := g.b.hosts[0]
	h.limit = 40
	target := limitRTTAims * g.b.shortestAim.Seconds()
	sent := g.b.now
	g.b.now += 300 * ms
	for range 5 { // the answers of one round
		g.b.adjustLimit(h, 2*target, sent)
	}
	if math.Abs(h.limit-20) > 1e-9 {
		t.Fatalf("limit %v after a round at twice the target, want half of 40", h.limit)
	}
	g.b.now += 300 * ms
	g.b.adjustLimit(h, 2*target, g.b.now-300*ms)
	if math.Abs(h.limit-10) > 1e-9 {
		t.Errorf("limit %v after the next round, want a quarter of 40", h.limit)
	}
}

// While the other hosts were at their limits, hosts that refused everything immediately attracted
// all waiting requests (incident serra ic8b233).
func TestFullHostIsGivenLess(t *testing.T) {
	set := testSettings()
	set.Instances = 4
	g := start(t, set, hosts(1)...)
	id := g.request(0, time.Second)
	g.onlyAction(Send)
	g.now += ms
	g.outcome(id, 0, Full, ms)
	if h := g.b.hosts[0]; h.limit >= initialHostLimit {
		t.Errorf("limit %v, want it cut", h.limit)
	}
}

// 70 of 100 requests were refused while hosts were idle, because one long RTT stopped each of many
// instances from using the host for seconds (regensburg big-2).
func TestThinViewDoesNotStarveHosts(t *testing.T) {
	set := testSettings()
	set.Instances = 240
	g := start(t, set, hosts(48)...)
	g.b.admitted = 1
	for range 40 {
		id := g.request(0, time.Second)
		g.onlyAction(Send)
		g.advance(160 * ms) // over the target of the limit, but in time
		g.outcome(id, 0, OK, 160*ms)
	}
}

// In a large fleet the in-flight limits cannot bound the load of a host, so late answers overloaded
// every host (obb overload, big-2). Requests are therefore shed in the order of their worth while
// answers are late, and admitted again afterwards.
func TestLateAnswersShedTheLeastWorthFirst(t *testing.T) {
	set := testSettings()
	set.Instances = 40
	g := start(t, set, hosts(20)...)
	g.b.admitted = 1
	serve := func(took time.Duration) (refused [3]int) {
		for i := range 300 {
			id := g.request(i%3, time.Second)
			if a := g.acts[0]; a.Kind == Refuse {
				refused[i%3]++
				continue
			}
			g.outcome(id, 0, OK, took)
			g.advance(10 * ms)
		}
		return refused
	}
	if got := serve(150 * ms); got != [3]int{} {
		t.Errorf("refused %v while answers are in time", got)
	}
	if got := serve(600 * ms); got[0] < 60 || got[0] < got[2] {
		t.Errorf("refused %v by class while answers are late, want most refusals in the first class, which has the lowest worth", got)
	}
	for range 4 {
		serve(50 * ms)
	}
	if got := serve(50 * ms); got != [3]int{} {
		t.Errorf("refused %v once answers are in time again", got)
	}
}

// Attempts that were canceled at the deadline did not count as late, so requests were still
// admitted although no host answered in time (obb rough-1).
func TestOverdueAttemptsCountAsLate(t *testing.T) {
	set := testSettings()
	set.Instances = 40
	g := start(t, set, hosts(20)...)
	for range 60 {
		id := g.request(0, 500*ms)
		for _, a := range g.advance(500 * ms) {
			if a.Kind == Cancel {
				g.outcome(id, a.Attempt, Canceled, 490*ms)
			}
		}
	}
	if g.b.admitted > 0.5 {
		t.Errorf("%.2f of the requests are admitted although none was answered by its deadline", g.b.admitted)
	}
	if h := g.b.ring[0]; h.rtt < 0.4 {
		t.Errorf("estimate %v for a host that did not answer within 0.49 s", h.rtt)
	}
}

// Requests that cost many times the usual kept most hosts busy until their deadlines, and a third of
// the other requests was refused. Overdue requests are therefore ended when others wait.
func TestCostlyRequestsMakeRoom(t *testing.T) {
	for class, want := range map[int]ActionKind{0: Refuse, 1: Fail, 2: Send} {
		g := start(t, testSettings(), hosts(1)...)
		costly := g.request(class, time.Second)
		g.onlyAction(Send)
		if acts := g.advance(500 * ms); len(acts) > 0 {
			t.Fatalf("class %d past its aim while no request waits: %v", class, acts)
		}
		g.b.hosts[0].limit = 1
		g.request(2, time.Second)
		if len(g.acts) > 0 {
			t.Fatalf("sent to a full host: %v", g.acts)
		}
		var answer ActionKind
		canceled := false
		for _, a := range g.advance(50 * ms) {
			if a.Request != costly {
				continue
			}
			if a.Kind == Cancel {
				canceled = true
			} else {
				answer = a.Kind
			}
		}
		// Send, the zero value, means no answer: a request that must not be retried keeps its attempt.
		if answer != want || canceled != (want != Send) {
			t.Errorf("class %d: answer %v, canceled: %v", class, answer, canceled)
		}
	}
}

func TestOverQuotaWaitsBehind(t *testing.T) {
	set := testSettings()
	set.Tenants = []Tenant{{Quota: 1}, {Quota: 1000}}
	set.OverQuotaWorth = 0.05
	g := start(t, set)
	ask := func(tenant int) RequestID {
		g.next++
		g.b.Request(g.now, Request{ID: g.next, Tenant: tenant, Left: time.Second})
		return g.next
	}
	ask(0)
	over := ask(0)
	within := ask(1)
	list := hosts(1)
	g.b.drainQuiet()
	g.list(ListFull, list...)
	order := map[RequestID]int{}
	for i, a := range g.acts {
		order[a.Request] = i
	}
	if len(order) != 3 || order[within] > order[over] {
		t.Errorf("order %v, want %d before %d", g.acts, within, over)
	}
}

func TestRepeatsWaitBehind(t *testing.T) {
	tests := []struct {
		name   string
		repeat Request
	}{
		{"marked", Request{Left: time.Second, Repeat: true}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			g := start(t, testSettings(), hosts(1)...)
			for range initialHostLimit {
				g.request(0, time.Second)
			}
			tt.repeat.ID = 1000
			g.b.Request(g.now, tt.repeat)
			first := g.request(0, time.Second)
			g.now += 10 * ms
			g.outcome(1, 0, OK, 10*ms)
			if len(g.acts) == 0 || g.acts[0].Kind != Send || g.acts[0].Request != first {
				t.Fatalf("actions %v, want request %d sent before the client retry", g.acts, first)
			}
			g.now += 10 * ms
			g.outcome(2, 0, OK, 20*ms)
			if len(g.acts) == 0 || g.acts[0].Kind != Send || g.acts[0].Request != 1000 {
				t.Fatalf("actions %v, want the client retry sent next", g.acts)
			}
		})
	}
}

// A host whose connection table is full refuses requests without processing them. It is not ejected,
// the requests may be retried at other hosts whatever their class, and it gets few further requests.
func TestFullTableIsNoBrokenHost(t *testing.T) {
	set := testSettings()
	set.Instances = 80
	g := start(t, set, hosts(60)...)
	g.b.admitted = 1
	full := g.b.ring[0]
	sent, served := 0, 0
	for range 300 {
		id := g.request(2, time.Second) // unsafe
		for n := 0; n < 4; n++ {
			to := HostID(0)
			for _, a := range g.acts {
				switch {
				case a.Kind == Send && a.Request == id:
					to = a.Host
				case a.Kind == Fail:
					t.Fatal("a request that the host refused without processing counts as one that may have run")
				}
			}
			if to == 0 {
				break
			}
			if to != full.ID {
				g.outcome(id, n, OK, 20*ms)
				served++
				break
			}
			sent++
			g.outcome(id, n, Full, ms)
		}
		g.advance(10 * ms)
	}
	if full.ejections > 0 {
		t.Error("a host with a full connection table is ejected")
	}
	if served < 295 || sent > 30 {
		t.Errorf("%d of 300 requests are served, %d attempts at the full host", served, sent)
	}
}

// A gateway that gets few answers does not shed because of a single costly one. It does when several
// answers in a row are late, and stops two aims later, because old evidence decays.
func TestOneCostlyAnswerIsNoCrowd(t *testing.T) {
	set := testSettings()
	set.Instances = 200
	g := start(t, set, hosts(40)...)
	ask := func(n int, took time.Duration) (refused int) {
		for range n {
			id := g.request(0, time.Second)
			if g.acts[0].Kind == Refuse {
				refused++
				g.advance(500 * ms)
				continue
			}
			g.advance(took)
			g.outcome(id, 0, OK, took)
			g.advance(500*ms - min(took, 500*ms))
		}
		return refused
	}
	for range 20 {
		if n := ask(5, 60*ms) + ask(1, 900*ms); n > 0 {
			t.Fatalf("%d requests refused while every sixth answer is costly", n)
		}
	}
	if n := ask(100, 900*ms); n < 10 {
		t.Errorf("%d of 100 requests refused while every answer is late", n)
	}
	g.advance(800 * ms)
	if n := ask(100, 60*ms); n > 0 {
		t.Errorf("%d requests refused after the overload", n)
	}
}
