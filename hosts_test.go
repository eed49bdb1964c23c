package frostshift

import (
	"math/rand/v2"
	"testing"
	"time"
)

// What the gateway stood still is no slowness of hosts: limits stay, nobody is ejected as
// silent, and a slow host is told all the same.
func TestOwnStallsAreLeftOut(t *testing.T) {
	g := start(t, basic(), hosts(4)...)
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
		// All stands still for 300 ms; the answers had come after 5.
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
		t.Errorf("limit %v: a host that is slow by itself is not told", h.limit)
	}
}

// Backups get work where no other host can, and none where those are merely full.
func TestBackups(t *testing.T) {
	list := hosts(4)
	list[2].Backup, list[3].Backup = true, true
	g := start(t, basic(), list...)
	at := map[HostID]int{}
	send := func() (id RequestID, host HostID) {
		id = g.request(0, time.Second)
		if len(g.acts) == 1 && g.acts[0].Kind == Send {
			host = g.acts[0].Host
			at[host]++
		}
		return id, host
	}
	for range 200 {
		id, _ := send()
		g.outcome(id, 0, OK, 5*ms)
		g.advance(ms)
	}
	if at[3]+at[4] > 0 {
		t.Fatalf("backups got work: %v", at)
	}
	held := 0
	for range 50 { // all that the others may hold
		if _, host := send(); host != 0 {
			held++
		}
	}
	if at[3]+at[4] > 0 || held == 50 {
		t.Fatalf("backups got what the others had no room for: %v", at)
	}
	g = start(t, basic(), list...)
	clear(at)
	for range 30 { // the others take no connection
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
			at[host]++
		}
		if host != 0 {
			g.outcome(id, n, OK, 5*ms)
		}
		g.advance(ms)
	}
	if at[3]+at[4] < 25 {
		t.Errorf("backups got %d of 30 requests that no other host took: %v", at[3]+at[4], at)
	}
	list[0].State, list[1].State = Removed, Removed
	g.list(ListChanges, list[:2]...)
	clear(at)
	id, host := send()
	if host != 3 && host != 4 {
		t.Errorf("with no other host listed a request goes to %x", host)
	}
	g.outcome(id, 0, OK, 5*ms)
}

// Weights: over 10,000 requests at hosts that are alike each gets its share, within a fifth
// of it or a hundredth of all.
func TestWeights(t *testing.T) {
	for _, weights := range [][]float64{{5, 1, 1}, {10, 5, 3, 2}, {100, 1}} {
		list := hosts(len(weights))
		sum := 0.0
		for i, w := range weights {
			list[i].Weight = w
			sum += w
		}
		g := start(t, basic(), list...)
		at := make([]int, len(weights))
		rng := rand.New(rand.NewPCG(1, 2))
		for i := range 13_000 {
			id := g.request(0, time.Second)
			if i == 3000 { // what is not known of hosts that have given no sample is behind it
				clear(at)
			}
			at[g.acts[0].Host-1]++
			g.advance(10 * ms)
			g.outcome(id, 0, OK, Time(rng.ExpFloat64()*float64(5*ms)))
		}
		for i, w := range weights {
			share, want := float64(at[i])/10_000, w/sum
			if diff := max(share-want, want-share); diff > max(want/5, 0.01) {
				t.Errorf("weights %v: host %d got %.3f, want %.3f", weights, i+1, share, want)
			}
		}
	}
}

// A host that has too much to do loses work for as long as it says, up to a bound, and what
// it answered may have run.
func TestBusyAndHints(t *testing.T) {
	g := start(t, basic(), hosts(2)...)
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
	if most := (maxRetryHintAims * g.b.shortestAim).Seconds(); h.rtt < most*0.99 || h.rtt > most {
		t.Errorf("the estimate is %v s, want the bound of the hint %v", h.rtt, most)
	}
	at := 0
	for range 100 {
		id := g.request(0, time.Second)
		if g.acts[0].Host == first {
			at++
		}
		g.advance(5 * ms)
		g.outcome(id, 0, OK, 5*ms)
	}
	if at > 2 {
		t.Errorf("%d of 100 requests go to a host that wants to be left alone", at)
	}
	if h.ejections > 0 {
		t.Error("it is ejected for it")
	}
}
