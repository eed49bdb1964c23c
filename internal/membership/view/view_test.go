package view

import (
	"fmt"
	"reflect"
	"slices"
	"testing"
	"time"

	"frostshift/internal/membership"
	"pgregory.net/rapid"
)

func list(index uint64, snapshot bool, hosts ...membership.Endpoint) *membership.List {
	return &membership.List{Index: &index, Snapshot: snapshot, Endpoints: hosts}
}

func host(name, address, status string) membership.Endpoint {
	return membership.Endpoint{Name: name, Address: address, Status: status}
}

const (
	active  = membership.Active
	leaving = membership.Leaving
	left    = membership.Left
)

// checkHost checks one host of the view. An empty status means that the host must be absent.
func checkHost(t *testing.T, m *Merger, name, status, address string, source int) {
	t.Helper()
	e, ok := m.Get(name)
	if ok != (status != "") || ok && (e.Status != status || e.Address != address || e.Source != source) {
		t.Errorf("%s is %+v (%v), want %q at %q from %d", name, e, ok, status, address, source)
	}
}

func TestPrecedenceAndWords(t *testing.T) {
	m := New(2)
	m.Take(0, 1, list(1, true, host("a", "1", active), host("b", "2", active), host("c", "3", active)))
	checkHost(t, m, "a", active, "1", 1)
	if changed := m.Take(0, 0, list(1, true, host("a", "9", active), host("c", "3", leaving))); !slices.Equal(changed, []string{"a", "c"}) {
		t.Errorf("changed: %v", changed)
	}
	checkHost(t, m, "a", active, "9", 0) // the sources disagree: the first counts
	checkHost(t, m, "b", active, "2", 1)
	checkHost(t, m, "c", leaving, "3", 0)
	m.Take(0, 1, list(2, false, host("a", "", left)))
	checkHost(t, m, "a", left, "9", 1) // a departure reported by any source counts
	m.Take(0, 1, list(3, false, host("a", "1", active)))
	checkHost(t, m, "a", active, "9", 0)
	m.Take(0, 0, list(2, true))
	checkHost(t, m, "a", active, "1", 1)
	checkHost(t, m, "c", active, "3", 1)
	if m.Take(0, 0, list(2, true)) != nil {
		t.Error("a repeated list has changed something")
	}
	m.Take(0, 1, list(4, false, host("b", "2", leaving)))
	m.Take(0, 1, list(5, true, host("a", "1", active)))
	checkHost(t, m, "b", "", "", 0) // it has left as announced
}

// Of several hosts with one address, one counts: after a rename, and when two sources conflict.
func TestOneHostAnAddress(t *testing.T) {
	m := New(2)
	m.Take(0, 1, list(1, true, host("old", "1", active)))
	changed := m.Take(0, 1, list(2, false, host("new", "1", active), host("old", "1", leaving)))
	if e, _ := m.Get("new"); e.Hidden != "" || len(changed) != 2 {
		t.Errorf("new: %+v after %v", e, changed)
	}
	m.Take(0, 0, list(1, true, host("above", "1", active)))
	for name, hidden := range map[string]string{"new": "above", "above": ""} {
		if e, _ := m.Get(name); e.Hidden != hidden {
			t.Errorf("%s is hidden by %q, want %q", name, e.Hidden, hidden)
		}
	}
	if changed := m.Take(0, 0, list(2, true)); !slices.Equal(changed, []string{"above", "new"}) {
		t.Errorf("changed: %v", changed)
	}
	if e, _ := m.Get("new"); e.Hidden != "" {
		t.Errorf("new is still hidden by %q", e.Hidden)
	}
	later := host("later", "1", active)
	later.SinceMS = 5
	m.Take(0, 1, list(3, false, later))
	if e, _ := m.Get("new"); e.Hidden != "later" {
		t.Errorf("new is hidden by %q", e.Hidden)
	}
}

// If two sources use different names for one host, a departure reported by one applies at its address.
func TestLeavingCountsAtTheAddress(t *testing.T) {
	m := New(2)
	m.Take(0, 1, list(1, true, host("by-dns", "1", active)))
	changed := m.Take(0, 0, list(1, true, host("by-id", "1", leaving)))
	if e, _ := m.Get("by-dns"); e.Hidden != "by-id" || !slices.Equal(changed, []string{"by-dns", "by-id"}) {
		t.Errorf("by-dns: %+v after %v", e, changed)
	}
	m.Take(0, 0, list(2, false, host("next-id", "1", active))) // an active host of the same source: a different process
	for name, hidden := range map[string]string{"by-dns": "next-id", "next-id": ""} {
		if e, _ := m.Get(name); e.Hidden != hidden {
			t.Errorf("%s is hidden by %q, want %q", name, e.Hidden, hidden)
		}
	}
	m.Take(0, 0, list(3, true))
	if e, _ := m.Get("by-dns"); e.Hidden != "" {
		t.Errorf("by-dns is still hidden by %q", e.Hidden)
	}
}

// An outdated list removes the hosts that it lacks, but does not make a host active that was
// reported as leaving since, until a minute after the outdated list.
func TestVersionsThatGoBackwards(t *testing.T) {
	m := New(1)
	m.Take(0, 0, list(10, true, host("a", "1", active), host("b", "2", active), host("c", "3", active)))
	m.Take(0, 0, list(12, false, host("a", "1", leaving), host("b", "", left)))
	yesterday := list(3, true, host("a", "1", active), host("b", "2", active), host("d", "4", active))
	m.Take(time.Second, 0, yesterday)
	checkHost(t, m, "a", leaving, "1", 0)
	checkHost(t, m, "b", left, "2", 0)
	checkHost(t, m, "c", "", "", 0)
	checkHost(t, m, "d", active, "4", 0)
	if m.Skipped(0) != 1 {
		t.Errorf("%d messages were skipped as older", m.Skipped(0))
	}
	m.Take(2*time.Second, 0, list(2, false, host("d", "5", active), host("a", "1", leaving)))
	checkHost(t, m, "d", active, "4", 0) // a change older than the known version
	m.Take(3*time.Second, 0, list(2, false, host("d", "4", leaving)))
	checkHost(t, m, "d", leaving, "4", 0) // but departures count at any version
	m.Take(4*time.Second, 0, list(13, true, host("a", "1", active), host("b", "2", active), host("c", "3", active)))
	checkHost(t, m, "a", active, "1", 0)
	checkHost(t, m, "b", active, "2", 0)
	m.Take(5*time.Second, 0, list(14, false, host("a", "1", leaving)))
	m.Take(6*time.Second, 0, yesterday)
	m.Tick(65 * time.Second)
	checkHost(t, m, "a", leaving, "1", 0)
	if changed := m.Tick(66 * time.Second); !slices.Equal(changed, []string{"a"}) {
		t.Errorf("changed: %v", changed)
	}
	checkHost(t, m, "a", active, "1", 0) // the departure has expired
	m.Take(67*time.Second, 0, list(20, true, host("a", "1", leaving)))
	m.Take(67*time.Second, 0, list(21, false, host("gone", "", left)))
	m.Forget(0) // location changed: versions cannot be compared
	m.Take(68*time.Second, 0, list(1, true, host("a", "1", active)))
	checkHost(t, m, "a", active, "1", 0)
	checkHost(t, m, "gone", "", "", 0) // departures of the old location are dropped
}

// The number of departures kept for a source is bounded.
func TestWordsAreBounded(t *testing.T) {
	m := New(1)
	for i := range maxDepartures + 1000 {
		m.Take(0, 0, list(uint64(i), false, host(fmt.Sprint(i), "", left)))
	}
	if n := len(m.sources[0].departures); n > maxDepartures {
		t.Errorf("%d departures are kept", n)
	}
	if n := len(m.merged); n > maxDepartures+1 { // the last dropped departure is merged with the next message
		t.Errorf("%d hosts are kept in the view", n)
	}
}

// For any messages, the view depends on what each source has reported and not on how the messages
// of the sources interleave; every change is returned; a host that any source reports as leaving or
// left is not active; an address has at most one active host that is not hidden.
func TestMergedViewProperties(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		const sources = 3
		drawHost := rapid.Custom(func(rt *rapid.T) membership.Endpoint {
			e := host(rapid.SampledFrom([]string{"a", "b", "c", "d", "e"}).Draw(rt, "name"), rapid.SampledFrom([]string{"1", "2", "3"}).Draw(rt, "address"),
				rapid.SampledFrom([]string{active, active, leaving, left}).Draw(rt, "status"))
			e.SinceMS = int64(rapid.IntRange(0, 2).Draw(rt, "since"))
			return e
		})
		messages := make([][]*membership.List, sources)
		for i := range messages {
			for range rapid.IntRange(0, 6).Draw(rt, "messages") {
				messages[i] = append(messages[i], list(uint64(rapid.IntRange(0, 9).Draw(rt, "index")), rapid.Bool().Draw(rt, "whole"), rapid.SliceOfN(drawHost, 0, 5).Draw(rt, "hosts")...))
			}
		}
		play := func(label string) *Merger {
			m := New(sources)
			next := make([]int, sources)
			mirror := map[string]Entry{}
			for {
				var can []int
				for i := range messages {
					if next[i] < len(messages[i]) {
						can = append(can, i)
					}
				}
				if len(can) == 0 {
					return m
				}
				i := rapid.SampledFrom(can).Draw(rt, label)
				for _, name := range m.Take(0, i, messages[i][next[i]]) {
					if e, ok := m.Get(name); ok {
						mirror[name] = e
					} else {
						delete(mirror, name)
					}
				}
				next[i]++
				if !reflect.DeepEqual(mirror, m.merged) {
					rt.Fatalf("applying the changes gives %+v, the view is %+v", mirror, m.merged)
				}
			}
		}
		one, two := play("first"), play("second")
		if !reflect.DeepEqual(one.All(), two.All()) {
			rt.Fatalf("%+v\ndiffers, in another order, from\n%+v", one.All(), two.All())
		}
		at := map[string]string{}
		for _, e := range one.All() {
			if e.Status != active {
				continue
			}
			for i := range one.sources {
				if w, ok := one.sources[i].departures[e.Name]; ok {
					rt.Fatalf("%+v is active, source %d reports %+v", e, i, w)
				}
			}
			if e.Hidden == "" {
				if other, taken := at[e.Address]; taken {
					rt.Fatalf("%s and %s are both active at %s", e.Name, other, e.Address)
				}
				at[e.Address] = e.Name
			}
		}
		for _, e := range one.All() {
			switch other, counts := at[e.Address], at[e.Address] != ""; {
			case e.Status == active && !counts && one.leavingHost(e.Address, one.merged[one.winner(e.Address)].Source) == "":
				rt.Fatalf("no host counts at %s", e.Address)
			case e.Status == leaving && counts:
				own, has := one.Get(other)
				if has && own.Source != e.Source && one.leavingHost(e.Address, own.Source) != "" {
					rt.Fatalf("%+v counts where %+v is leaving", own, e)
				}
			}
		}
	})
}
