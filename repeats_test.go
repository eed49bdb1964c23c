package frostshift

import (
	"reflect"
	"testing"
	"time"
)

func TestWhatFollowsAnAttempt(t *testing.T) {
	retry := []ActionKind{Send}
	tests := []struct {
		class  int
		result Result
		want   []ActionKind
	}{
		{0, OK, nil},
		{0, Failed, retry}, {0, TimedOut, retry}, {0, Reset, retry}, {0, Full, retry}, {0, ConnectFailed, retry},
		{1, Failed, retry}, {1, ConnectFailed, retry},
		{2, Failed, []ActionKind{Fail}}, {2, TimedOut, []ActionKind{Fail}}, {2, Reset, []ActionKind{Fail}},
		{2, Canceled, []ActionKind{Fail}},
		{2, Full, retry}, {2, ConnectFailed, retry}, {2, NotSent, retry},
	}
	for _, tt := range tests {
		g := start(t, testSettings(), hosts(2)...)
		id := g.request(tt.class, time.Second)
		g.advance(20 * ms)
		g.outcome(id, 0, tt.result, 20*ms)
		var got []ActionKind
		for _, a := range g.acts {
			got = append(got, a.Kind)
		}
		if !reflect.DeepEqual(got, tt.want) {
			t.Errorf("class %d after result %d: actions %v, want %v", tt.class, tt.result, got, tt.want)
		}
	}
}

func TestKeyedStaysInItsGroup(t *testing.T) {
	for group, same := range map[Group]func(a, b Host) bool{
		GroupAll:  func(a, b Host) bool { return true },
		GroupZone: func(a, b Host) bool { return a.Zone == b.Zone },
		GroupCell: func(a, b Host) bool { return a.Cell == b.Cell },
	} {
		set := testSettings()
		set.Classes[1].Group = group
		list := []Host{{ID: 1, Zone: 0, Cell: 0}, {ID: 2, Zone: 0, Cell: 1}, {ID: 3, Zone: 1, Cell: 2},
			{ID: 4, Zone: 0, Cell: 0}, {ID: 5, Zone: 0, Cell: 1}, {ID: 6, Zone: 1, Cell: 2}}
		round := 0
		for range 30 {
			g := start(t, set, list...)
			g.b.rng += uint64(round)*977 + 1
			id := g.request(1, time.Second)
			first := list[g.onlyAction(Send).Host-1]
			g.outcome(id, 0, Failed, ms)
			second := list[g.onlyAction(Send).Host-1]
			if !same(first, second) {
				t.Fatalf("group %d: sent to %+v, then to %+v, which is not in the same group", group, first, second)
			}
			round++
		}
	}
}

func TestKeyedIsNotRepeatedAfterItsWindow(t *testing.T) {
	g := start(t, testSettings(), hosts(2)...)
	id := g.request(1, time.Second)
	g.advance(599 * ms)
	g.outcome(id, 0, Failed, 599*ms)
	g.onlyAction(Fail)
}

func TestKeyedWhoseGroupIsGoneFails(t *testing.T) {
	g := start(t, testSettings(), hosts(4)...)
	id := g.request(1, time.Second)
	cell := int(g.onlyAction(Send).Host-1) / 2
	var left []Host
	for _, h := range hosts(4) {
		if h.Cell != cell {
			left = append(left, h)
		}
	}
	g.list(ListFull, left...)
	g.outcome(id, 0, Reset, ms)
	acts := append(append([]Action(nil), g.acts...), g.advance(time.Second)...)
	if len(acts) != 1 || acts[0].Kind != Fail {
		t.Errorf("actions %v, want one Fail", acts)
	}
}

func TestAttemptsAreBounded(t *testing.T) {
	set := testSettings()
	set.MaxAttempts = 3
	g := start(t, set, hosts(8)...)
	id := g.request(2, time.Second)
	for n := range 3 {
		g.onlyAction(Send)
		g.outcome(id, n, Full, ms)
	}
	g.onlyAction(Refuse)
}

// A keyed request that may have run is refused only as long as the hosts would deduplicate a retry by
// the client.
func TestKeyedIsRefusedWithinItsWindow(t *testing.T) {
	for _, c := range []struct {
		after time.Duration // from the first attempt to the answer
		want  ActionKind
	}{{100 * ms, Refuse}, {300 * ms, Refuse}, {301 * ms, Fail}, {599 * ms, Fail}} {
		set := testSettings()
		set.Classes[1].Group, set.MaxAttempts, set.MaxRetryAfter = GroupAll, 1, 300*ms
		g := start(t, set, hosts(2)...)
		id := g.request(1, time.Second)
		g.advance(c.after)
		g.outcome(id, 0, Failed, c.after)
		g.onlyAction(c.want)
	}
}

func TestStreamBelongsToItsAttempt(t *testing.T) {
	g := start(t, testSettings(), hosts(2)...)
	id := g.request(0, 500*ms)
	g.b.StreamStarted(g.now, id, 0)
	if done := g.advance(2 * time.Second); len(done) != 0 {
		t.Errorf("actions %v past the deadline of a request whose stream has begun", done)
	}
	g.b.Outcome(g.now, Outcome{Request: id, Result: Reset, Closed: true})
	g.drain()
	if len(g.acts) != 0 || len(g.b.requestByID) != 0 {
		t.Errorf("actions %v after a broken stream, %d requests kept", g.acts, len(g.b.requestByID))
	}
}
