package frostshift

import (
	"slices"
	"testing"
	"time"
)

// All incidents at size: 97 of 100 attempts got no connection, as each of hundreds
// of instances drew from the whole list.
func TestSubsetsAreSmallEvenAndStable(t *testing.T) {
	set := testSettings()
	set.Instances = 240
	list := hosts(48)
	meet := map[HostID]int{}
	moved := 0
	for rank := range set.Instances {
		set.Rank = rank
		g := start(t, set, list...)
		members := func() map[HostID]bool {
			g.b.pick(&request{class: &g.b.set.Classes[0]})
			got := map[HostID]bool{}
			for _, h := range g.b.ready {
				got[h.ID] = true
			}
			return got
		}
		before := members()
		if len(before) != subsetLeast {
			t.Fatalf("rank %d draws from %d hosts, want %d", rank, len(before), subsetLeast)
		}
		for id := range before {
			meet[id]++
		}
		g.list(ListChanges, Host{ID: 100})
		for id := range members() {
			if !before[id] {
				moved++
			}
		}
	}
	for _, h := range list {
		if n := meet[h.ID]; n < 17 || n > 23 { // 20 in the mean
			t.Errorf("host %d is in %d subsets of %d", h.ID, n, set.Instances)
		}
	}
	if most := set.Instances; moved > most {
		t.Errorf("%d places moved when a host came, want at most %d", moved, most)
	}
}

// With 36 of 60 hosts replaced in a fleet of 80, those that had warmed up went on counting as
// cold until the next list, so each instance thought that the few others were shared by all.
func TestHostsThatWarmUpCountAtOnce(t *testing.T) {
	set := testSettings()
	set.Instances = 80
	list := hosts(60)
	for i := range 36 {
		list[i].Started = time.Hour - time.Second
	}
	g := start(t, set, list...)
	if g.b.warm != 24 {
		t.Fatalf("%d hosts are warm, want 24", g.b.warm)
	}
	g.b.admit = 1
	g.serve(int(set.WarmAfter/(10*ms))+100, 0, func(HostID) time.Duration { return 10 * ms })
	if g.b.warm != 60 {
		t.Errorf("%d hosts are warm once all are, want 60", g.b.warm)
	}
	if want := float64(g.b.subset) * 80 / 60; g.b.sharers != want {
		t.Errorf("%.1f instances share a host, want %.1f", g.b.sharers, want)
	}
}

// Lists of odd sizes: none, one host named twice, and far more than any fleet has.
func TestListsOfOddSizes(t *testing.T) {
	set := testSettings()
	set.Instances, set.Rank = 200, 199
	g := start(t, set)
	g.b.admit = 1
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
		t.Errorf("a host that is named twice is %d hosts, %d to draw from", len(g.b.hosts), len(g.b.ring))
	}
	g.list(ListFull, hosts(100_000)...)
	g.b.pick(&request{class: &g.b.set.Classes[0]})
	if n, want := g.b.subset, 100_000*subsetMeet/200; n != want {
		t.Errorf("a subset of %d of 100,000 hosts, want %d", n, want)
	}
	g.list(ListFull)
	if len(g.b.hosts)+len(g.b.ring)+len(g.b.places)+len(g.b.byID) > 0 {
		t.Error("hosts are kept that no list names")
	}
}

// However many instances and hosts there are and however few of the hosts are of use, an
// instance keeps to a few of them: what each of many may hold is one attempt at least, and
// that of twelve instances together made every answer late.
func TestFewInstancesShareAHost(t *testing.T) {
	for _, n := range []struct{ instances, hosts int }{{2, 12}, {20, 30}, {80, 60}, {200, 60}, {200, 200}} {
		meet := map[HostID]int{}
		for rank := range n.instances {
			set := testSettings()
			set.Instances, set.Rank = n.instances, rank
			g := start(t, set, hosts(n.hosts)...)
			g.b.pick(&request{class: &g.b.set.Classes[0]})
			for _, h := range g.b.ready {
				meet[h.ID]++
			}
		}
		most := max(subsetMeet, subsetLeast*n.instances/n.hosts) + 2 // evenly, but for rounding
		for id, got := range meet {
			if got > most {
				t.Errorf("%d instances, %d hosts: %d share host %x, want %d at most", n.instances, n.hosts, got, id, most)
			}
		}
		if len(meet) != n.hosts {
			t.Errorf("%d instances, %d hosts: %d hosts are used", n.instances, n.hosts, len(meet))
		}
	}
}

// A small fleet goes on drawing from the whole list.
func TestSmallFleetDrawsFromAll(t *testing.T) {
	set := testSettings()
	set.Instances = subsetMeet
	g := start(t, set, hosts(20)...)
	g.b.pick(&request{class: &g.b.set.Classes[0]})
	if len(g.b.ready) != 20 {
		t.Errorf("draws from %d hosts of 20", len(g.b.ready))
	}
}

// The next hosts of the ring stand in for those of the subset that are out.
func TestSubsetIsMadeUpWhenHostsAreOut(t *testing.T) {
	set := testSettings()
	set.Instances = 240
	g := start(t, set, hosts(48)...)
	for out, want := range []int{subsetLeast, 3, 2} { // two are left to choose from
		g.b.pick(&request{class: &g.b.set.Classes[0]})
		if len(g.b.ready) != want {
			t.Errorf("draws from %d hosts with %d out, want %d", len(g.b.ready), out, want)
		}
		g.b.eject(g.b.ring[out], "test")
	}
}

// In a large subset hosts are drawn, not walked: each ready one is as likely as any other,
// and none that is out, draining or full is chosen. With most of them out, the walk finds
// the rest.
func TestDrawIsOfReadyHosts(t *testing.T) {
	const n = 200
	g := start(t, testSettings(), hosts(n)...)
	var leaving []Host
	for i := range n / 4 {
		leaving = append(leaving, Host{ID: g.b.hosts[i*4].ID, State: Draining})
	}
	g.b.Hosts(g.b.now, ListChanges, leaving)
	g.b.Drain(nil)
	r := &request{class: &g.b.set.Classes[0]}
	got := map[HostID]int{}
	const draws = 30_000
	for range draws {
		h := g.b.pick(r)
		if h == nil || h.State != Ready {
			t.Fatalf("picked %+v", h)
		}
		got[h.ID]++
	}
	mean := float64(draws) / (n * 3 / 4)
	for id, k := range got {
		if d := float64(k) - mean; d*d > 36*mean {
			t.Errorf("host %x was picked %d times, the mean is %.0f", id, k, mean)
		}
	}
	if len(got) != n*3/4 {
		t.Errorf("%d hosts were picked, want all %d that are ready", len(got), n*3/4)
	}
	var only HostID
	for _, h := range g.b.hosts { // all but one are full
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

// However the list changes, the hosts stand in the order of their places, each ready one
// once, as if they had been sorted anew.
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
		if len(g.b.places) != ready || len(g.b.ring) != ready {
			t.Fatalf("round %d: %d places and a ring of %d for %d ready hosts", round, len(g.b.places), len(g.b.ring), ready)
		}
		for i, h := range g.b.places {
			if h.State != Ready || i > 0 && g.b.places[i-1].place >= h.place {
				t.Fatalf("round %d: place %d is out of order", round, i)
			}
		}
	}
}

// Hosts that are alike get alike of few requests, though some are costly; one that is slower by
// far gets less.
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
		t.Errorf("a host slower by four got %d of 40", got[4])
	}
}

// An instance that has most of the load draws from more hosts, so that it is not refused for its
// own requests; cold hosts beyond its subset have others that pace them and get nothing of it.
func TestOwnLoadWidensTheSubset(t *testing.T) {
	set := testSettings()
	set.Instances, set.MaxAttempts = 100, 1
	list := hosts(40)
	for i := range list[20:] {
		list[20+i].Started = time.Hour - time.Second
	}
	g := start(t, set, list...)
	var open []RequestID
	used := map[HostID]bool{}
	for i := range 1000 { // 200 a second that take 40 ms: 8 are out
		id := g.request(0, time.Second)
		if len(g.acts) > 0 && g.acts[0].Kind == Send {
			used[g.acts[0].Host] = true
		} else if i > 200 {
			t.Fatalf("request %d has no host at once: %v", i, g.acts)
		}
		open = append(open, id)
		if len(open) > 8 {
			g.outcome(open[0], 0, OK, 40*ms)
			open = open[1:]
		}
		g.advance(5 * ms)
	}
	cold := 0
	for id := range used {
		if id > 20 {
			cold++
		}
	}
	if len(used)-cold < 8 || cold > subsetLeast {
		t.Errorf("%d warm and %d cold hosts are used, want many and only those of the subset", len(used)-cold, cold)
	}
}
