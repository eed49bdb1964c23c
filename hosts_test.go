package frostshift

import (
	"math/rand/v2"
	"testing"
	"time"
)

// A stall of the gateway itself does not count as slowness of the hosts: limits stay and no host
// is ejected as silent. A host that is slow without a stall is still detected.
func TestOwnStallsAreLeftOut(t *testing.T) {
	g := start(t, testSettings(), hosts(4)...)
	for range 40 {
		id := g.request(0, time.Second)
		g.advance(5 * ms)
		g.outcome(id, 0, OK, 5*ms)
	}
	before := g.b.hosts[0].limit
	for range 20 {
		var ids []RequestID
		for range 4 {
			ids = append(ids, g.request(0, time.Second))
		}
		// The process stalls for 300 ms; the answers arrived after 5 ms.
		g.now += 300 * ms
		g.b.Stalled(g.now, 295*ms)
		g.advance(0)
		for _, id := range ids {
			g.outcome(id, 0, OK, 300*ms)
		}
	}
	for _, h := range g.b.hosts {
		if h.limit < before || h.ejections > 0 || h.recentRTT.mean > 0.1 {
			t.Errorf("host %x: limit %v of %v, %d ejections, mean %v s", h.ID, h.limit, before, h.ejections, h.recentRTT.mean)
		}
	}
	for range 20 { // slow without a stall
		var ids []RequestID
		for range 4 {
			ids = append(ids, g.request(0, time.Second))
		}
		g.now += 300 * ms
		for _, id := range ids {
			g.outcome(id, 0, OK, 300*ms)
		}
	}
	if h := g.b.hosts[0]; h.limit >= before {
		t.Errorf("limit %v: a host that is slow without a stall is not detected", h.limit)
	}
}

// Backup hosts get requests when no other host can take any, and none when the others are merely
// at their limits.
func TestBackups(t *testing.T) {
	list := hosts(4)
	list[2].Backup, list[3].Backup = true, true
	g := start(t, testSettings(), list...)
	counts := map[HostID]int{}
	send := func() (id RequestID, host HostID) {
		id = g.request(0, time.Second)
		if len(g.acts) == 1 && g.acts[0].Kind == Send {
			host = g.acts[0].Host
			counts[host]++
		}
		return id, host
	}
	for range 200 {
		id, _ := send()
		g.outcome(id, 0, OK, 5*ms)
		g.advance(ms)
	}
	if counts[3]+counts[4] > 0 {
		t.Fatalf("backup hosts 3 and 4 got requests: %v", counts)
	}
	sent := 0
	for range 50 { // up to the in-flight limits of the others
		if _, host := send(); host != 0 {
			sent++
		}
	}
	if counts[3]+counts[4] > 0 || sent == 50 {
		t.Fatalf("backup hosts 3 and 4 got requests because the others were at their limits: %v", counts)
	}
	g = start(t, testSettings(), list...)
	clear(counts)
	for range 30 { // connections to the others fail
		id, host := send()
		n := 0
		for host == 1 || host == 2 {
			g.outcome(id, n, ConnectFailed, ms)
			n++
			if len(g.acts) == 0 || g.acts[0].Kind != Send {
				host = 0
				break
			}
			host = g.acts[0].Host
			counts[host]++
		}
		if host != 0 {
			g.outcome(id, n, OK, 5*ms)
		}
		g.advance(ms)
	}
	if counts[3]+counts[4] < 25 {
		t.Errorf("backup hosts got %d of 30 requests that no other host accepted: %v", counts[3]+counts[4], counts)
	}
	list[0].State, list[1].State = Removed, Removed
	g.list(ListChanges, list[:2]...)
	clear(counts)
	id, host := send()
	if host != 3 && host != 4 {
		t.Errorf("with no other host listed a request goes to %x", host)
	}
	g.outcome(id, 0, OK, 5*ms)
}

// Over 10,000 requests, hosts that differ only in weight each get their share, within a fifth of
// that share or a hundredth of all requests.
func TestWeights(t *testing.T) {
	for _, weights := range [][]float64{{5, 1, 1}, {10, 5, 3, 2}, {100, 1}} {
		list := hosts(len(weights))
		sum := 0.0
		for i, w := range weights {
			list[i].Weight = w
			sum += w
		}
		g := start(t, testSettings(), list...)
		counts := make([]int, len(weights))
		rng := rand.New(rand.NewPCG(1, 2))
		for i := range 13_000 {
			id := g.request(0, time.Second)
			if i == 3000 { // the phase in which hosts have no samples is over
				clear(counts)
			}
			counts[g.acts[0].Host-1]++
			g.advance(10 * ms)
			g.outcome(id, 0, OK, Time(rng.ExpFloat64()*float64(5*ms)))
		}
		for i, w := range weights {
			share, want := float64(counts[i])/10_000, w/sum
			if diff := max(share-want, want-share); diff > max(want/5, 0.01) {
				t.Errorf("weights %v: host %d got %.3f, want %.3f", weights, i+1, share, want)
			}
		}
	}
}

// A host that answers Busy gets fewer requests for as long as its hint says, up to a bound, and a
// request that it answered so counts as one that may have run.
func TestBusyAndHints(t *testing.T) {
	g := start(t, testSettings(), hosts(2)...)
	for range 20 {
		id := g.request(0, time.Second)
		g.advance(5 * ms)
		g.outcome(id, 0, OK, 5*ms)
	}
	id := g.request(2, time.Second) // unsafe
	first := g.acts[0].Host
	g.b.Outcome(g.now, Outcome{Request: id, Result: Busy, Elapsed: ms, After: 1000 * time.Hour})
	g.drain()
	if len(g.acts) != 1 || g.acts[0].Kind != Fail {
		t.Fatalf("an unsafe request that may have run: %v", g.acts)
	}
	var h *host
	for _, x := range g.b.hosts {
		if x.ID == first {
			h = x
		}
	}
	if bound := (maxRetryHintAims * g.b.shortestAim).Seconds(); h.rtt < bound*0.99 || h.rtt > bound {
		t.Errorf("the estimate is %v s, want the bound of the hint %v", h.rtt, bound)
	}
	sends := 0
	for range 100 {
		id := g.request(0, time.Second)
		if g.acts[0].Host == first {
			sends++
		}
		g.advance(5 * ms)
		g.outcome(id, 0, OK, 5*ms)
	}
	if sends > 2 {
		t.Errorf("%d of 100 requests go to a host that asked for a delay", sends)
	}
	if h.ejections > 0 {
		t.Error("the host is ejected for a Busy answer")
	}
}
