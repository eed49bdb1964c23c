package frostshift

import (
	"slices"
	"testing"
	"time"
)

// In large fleets 97 of 100 attempts got no connection, because each of hundreds of instances
// selected from the whole list. Each host must be in about the same number of subsets, and a change
// of the list must move few of them.
func TestSubsetsAreSmallEvenAndStable(t *testing.T) {
	set := testSettings()
	set.Instances = 240
	list := hosts(48)
	sharers := map[HostID]int{}
	moved := 0
	for rank := range set.Instances {
		set.Rank = rank
		g := start(t, set, list...)
		members := func() map[HostID]bool {
			g.b.pick(&request{class: &g.b.set.Classes[0]})
			got := map[HostID]bool{}
			for _, h := range g.b.readyScratch {
				got[h.ID] = true
			}
			return got
		}
		before := members()
		if len(before) != minSubset {
			t.Fatalf("rank %d selects from %d hosts, want %d", rank, len(before), minSubset)
		}
		for id := range before {
			sharers[id]++
		}
		g.list(ListChanges, Host{ID: 100})
		for id := range members() {
			if !before[id] {
				moved++
			}
		}
	}
	for _, h := range list {
		if n := sharers[h.ID]; n < 17 || n > 23 { // the mean is 20
			t.Errorf("host %d is in %d subsets of %d", h.ID, n, set.Instances)
		}
	}
	if limit := set.Instances; moved > limit {
		t.Errorf("%d subset entries changed when a host was added, want at most %d", moved, limit)
	}
}

// With 36 of 60 hosts replaced in a fleet of 80, hosts that had become warm still counted as cold
// until the next list, so each instance assumed that all instances shared the few other hosts.
func TestHostsThatWarmUpCountAtOnce(t *testing.T) {
	set := testSettings()
	set.Instances = 80
	list := hosts(60)
	for i := range 36 {
		list[i].Started = time.Hour - time.Second
	}
	g := start(t, set, list...)
	if g.b.warmHosts != 24 {
		t.Fatalf("%d hosts are warm, want 24", g.b.warmHosts)
	}
	g.b.admitted = 1
	g.serve(int(set.WarmAfter/(10*ms))+100, 0, func(HostID) time.Duration { return 10 * ms })
	if g.b.warmHosts != 60 {
		t.Errorf("%d hosts count as warm after WarmAfter, want 60", g.b.warmHosts)
	}
	if want := float64(g.b.subsetSize) * 80 / 60; g.b.sharers != want {
		t.Errorf("%.1f instances share a host, want %.1f", g.b.sharers, want)
	}
}

// Lists of unusual sizes: an empty list, a host that is listed twice, and far more hosts than any
// fleet has.
func TestListsOfOddSizes(t *testing.T) {
	set := testSettings()
	set.Instances, set.Rank = 200, 199
	g := start(t, set)
	g.b.admitted = 1
	id := g.request(0, time.Second)
	var answers int
	for _, a := range append(slices.Clone(g.acts), g.advance(time.Second)...) {
		if a.Kind == Refuse && a.Request == id {
			answers++
		}
	}
	if answers != 1 {
		t.Errorf("without hosts a request is refused %d times, want once", answers)
	}
	g.list(ListFull, Host{ID: 7}, Host{ID: 7, Kind: 1})
	if len(g.b.hosts) != 1 || len(g.b.ring) != 1 || g.b.hosts[0].Kind != 1 {
		t.Errorf("a host that is listed twice counts as %d hosts, %d of them in the ring", len(g.b.hosts), len(g.b.ring))
	}
	g.list(ListFull, hosts(100_000)...)
	g.b.pick(&request{class: &g.b.set.Classes[0]})
	if n, want := g.b.subsetSize, 100_000*subsetSharers/200; n != want {
		t.Errorf("a subset of %d of 100,000 hosts, want %d", n, want)
	}
	g.list(ListFull)
	if len(g.b.hosts)+len(g.b.ring)+len(g.b.byPosition)+len(g.b.byID) > 0 {
		t.Error("hosts that are not on the list are still stored")
	}
}

// Whatever the number of instances and hosts, few instances share a host. Each instance may have at
// least one attempt in flight at a host, and those of twelve instances together made every answer
// late.
func TestFewInstancesShareAHost(t *testing.T) {
	for _, n := range []struct{ instances, hosts int }{{2, 12}, {20, 30}, {80, 60}, {200, 60}, {200, 200}} {
		sharers := map[HostID]int{}
		for rank := range n.instances {
			set := testSettings()
			set.Instances, set.Rank = n.instances, rank
			g := start(t, set, hosts(n.hosts)...)
			g.b.pick(&request{class: &g.b.set.Classes[0]})
			for _, h := range g.b.readyScratch {
				sharers[h.ID]++
			}
		}
		limit := max(subsetSharers, minSubset*n.instances/n.hosts) + 2 // the even number, plus rounding
		for id, got := range sharers {
			if got > limit {
				t.Errorf("%d instances, %d hosts: %d instances share host %x, want at most %d", n.instances, n.hosts, got, id, limit)
			}
		}
		if len(sharers) != n.hosts {
			t.Errorf("%d instances, %d hosts: %d hosts are used", n.instances, n.hosts, len(sharers))
		}
	}
}

// In a small fleet each instance selects from the whole list.
func TestSmallFleetDrawsFromAll(t *testing.T) {
	set := testSettings()
	set.Instances = subsetSharers
	g := start(t, set, hosts(20)...)
	g.b.pick(&request{class: &g.b.set.Classes[0]})
	if len(g.b.readyScratch) != 20 {
		t.Errorf("selects from %d hosts of 20", len(g.b.readyScratch))
	}
}

// The next hosts of the ring replace hosts of the subset that are ejected.
func TestSubsetIsMadeUpWhenHostsAreOut(t *testing.T) {
	set := testSettings()
	set.Instances = 240
	g := start(t, set, hosts(48)...)
	for ejected, want := range []int{minSubset, 3, 2} { // at least two remain as candidates
		g.b.pick(&request{class: &g.b.set.Classes[0]})
		if len(g.b.readyScratch) != want {
			t.Errorf("selects from %d hosts with %d ejected, want %d", len(g.b.readyScratch), ejected, want)
		}
		g.b.eject(g.b.ring[ejected], "test")
	}
}

// In a large subset, hosts are selected at random instead of by a scan: each ready host is equally
// likely, and none that is draining or at its limit is chosen. When most hosts are not usable, the
// scan finds the remaining ones.
func TestDrawIsOfReadyHosts(t *testing.T) {
	const n = 200
	g := start(t, testSettings(), hosts(n)...)
	var draining []Host
	for i := range n / 4 {
		draining = append(draining, Host{ID: g.b.hosts[i*4].ID, State: Draining})
	}
	g.b.Hosts(g.b.now, ListChanges, draining)
	g.b.Drain(nil)
	r := &request{class: &g.b.set.Classes[0]}
	got := map[HostID]int{}
	const picks = 30_000
	for range picks {
		h := g.b.pick(r)
		if h == nil || h.State != Ready {
			t.Fatalf("picked %+v", h)
		}
		got[h.ID]++
	}
	mean := float64(picks) / (n * 3 / 4)
	for id, k := range got {
		if d := float64(k) - mean; d*d > 36*mean {
			t.Errorf("host %x was selected %d times, the mean is %.0f", id, k, mean)
		}
	}
	if len(got) != n*3/4 {
		t.Errorf("%d hosts were selected, want all %d that are ready", len(got), n*3/4)
	}
	var only HostID
	for _, h := range g.b.hosts { // all but one are at their limits
		if h.State == Ready && only == 0 {
			only = h.ID
		} else {
			h.pending, h.limit = 5, 1
		}
	}
	for range 100 {
		if h := g.b.pick(r); h == nil || h.ID != only {
			t.Fatalf("picked %+v, want the only host with room", h)
		}
	}
}

// However the list changes, the ready hosts are stored in the order of their positions on the ring,
// each of them once, as if they had been sorted again.
func TestPlacesAreKeptInOrder(t *testing.T) {
	g := start(t, testSettings(), hosts(50)...)
	next := HostID(1000)
	for round := range 300 {
		var list []Host
		for _, h := range g.b.hosts {
			switch g.b.rand(12) {
			case 0:
				list = append(list, Host{ID: h.ID, State: Removed})
			case 1:
				list = append(list, Host{ID: h.ID, State: Draining})
			case 2:
				list = append(list, Host{ID: h.ID, State: Ready})
			}
		}
		for range g.b.rand(8) {
			next++
			list = append(list, Host{ID: next})
		}
		g.b.Hosts(g.b.now, ListChanges, list)
		g.b.Drain(nil)
		ready := 0
		for _, h := range g.b.hosts {
			if h.State == Ready {
				ready++
			}
		}
		if len(g.b.byPosition) != ready || len(g.b.ring) != ready {
			t.Fatalf("round %d: %d positions and a ring of %d for %d ready hosts", round, len(g.b.byPosition), len(g.b.ring), ready)
		}
		for i, h := range g.b.byPosition {
			if h.State != Ready || i > 0 && g.b.byPosition[i-1].position >= h.position {
				t.Fatalf("round %d: position %d is out of order", round, i)
			}
		}
	}
}

// Hosts that are alike get similar shares even of a few requests, although some requests are costly.
// A host that is much slower gets less.
func TestHostsAlikeAreDealtAlike(t *testing.T) {
	g := start(t, testSettings(), hosts(4)...)
	g.serve(40, 0, func(HostID) time.Duration { return 20 * ms })
	costly := 0
	got := g.serve(40, 0, func(HostID) time.Duration {
		if costly++; costly%9 == 0 {
			return 60 * ms
		}
		return 20 * ms
	})
	for id := range HostID(4) {
		if n := got[id+1]; n < 8 || n > 12 {
			t.Errorf("host %d got %d of 40, want about 10", id+1, n)
		}
	}
	g.serve(40, 0, func(h HostID) time.Duration { return 20 * ms * time.Duration(1+3*(h/4)) })
	if got := g.serve(40, 0, func(h HostID) time.Duration { return 20 * ms * time.Duration(1+3*(h/4)) }); got[4] > 4 {
		t.Errorf("a host that is four times slower got %d of 40", got[4])
	}
}

// An instance that has most of the load selects from more hosts, so that its own requests do not
// reach the limits of its subset. Cold hosts outside its subset get nothing from it, because only
// their sharers pace them.
func TestOwnLoadWidensTheSubset(t *testing.T) {
	set := testSettings()
	set.Instances, set.MaxAttempts = 100, 1
	list := hosts(40)
	for i := range list[20:] {
		list[20+i].Started = time.Hour - time.Second
	}
	g := start(t, set, list...)
	var inFlight []RequestID
	used := map[HostID]bool{}
	for i := range 1000 { // 200 per second that take 40 ms each: 8 are in flight
		id := g.request(0, time.Second)
		if len(g.acts) > 0 && g.acts[0].Kind == Send {
			used[g.acts[0].Host] = true
		} else if i > 200 {
			t.Fatalf("request %d is not sent immediately: %v", i, g.acts)
		}
		inFlight = append(inFlight, id)
		if len(inFlight) > 8 {
			g.outcome(inFlight[0], 0, OK, 40*ms)
			inFlight = inFlight[1:]
		}
		g.advance(5 * ms)
	}
	cold := 0
	for id := range used {
		if id > 20 {
			cold++
		}
	}
	if len(used)-cold < 8 || cold > minSubset {
		t.Errorf("%d warm and %d cold hosts are used, want at least 8 warm ones and only the cold ones of the subset", len(used)-cold, cold)
	}
}
