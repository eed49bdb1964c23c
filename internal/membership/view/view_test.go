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

func list(index uint64, whole bool, hosts ...membership.Endpoint) *membership.List {
	return &membership.List{Index: &index, Snapshot: whole, Endpoints: hosts}
}

func host(name, address, status string) membership.Endpoint {
	return membership.Endpoint{Name: name, Address: address, Status: status}
}

const (
	active  = membership.Active
	leaving = membership.Leaving
	left    = membership.Left
)

// is checks one host of the view: "" means that it is not there.
func is(t *testing.T, m *Merger, name, status, address string, source int) {
	t.Helper()
	e, ok := m.Get(name)
	if ok != (status != "") || ok && (e.Status != status || e.Address != address || e.Source != source) {
		t.Errorf("%s is %+v (%v), want %q at %q from %d", name, e, ok, status, address, source)
	}
}

func TestPrecedenceAndWords(t *testing.T) {
	m := New(2)
	m.Take(0, 1, list(1, true, host("a", "1", active), host("b", "2", active), host("c", "3", active)))
	is(t, m, "a", active, "1", 1)
	if changed := m.Take(0, 0, list(1, true, host("a", "9", active), host("c", "3", leaving))); !slices.Equal(changed, []string{"a", "c"}) {
		t.Errorf("changed: %v", changed)
	}
	is(t, m, "a", active, "9", 0) // they disagree: the first counts
	is(t, m, "b", active, "2", 1)
	is(t, m, "c", leaving, "3", 0)
	m.Take(0, 1, list(2, false, host("a", "", left)))
	is(t, m, "a", left, "9", 1) // a word of any source counts
	m.Take(0, 1, list(3, false, host("a", "1", active)))
	is(t, m, "a", active, "9", 0)
	m.Take(0, 0, list(2, true))
	is(t, m, "a", active, "1", 1)
	is(t, m, "c", active, "3", 1)
	if m.Take(0, 0, list(2, true)) != nil {
		t.Error("the same again has changed something")
	}
	m.Take(0, 1, list(4, false, host("b", "2", leaving)))
	m.Take(0, 1, list(5, true, host("a", "1", active)))
	is(t, m, "b", "", "", 0) // it has left as announced
}

// An address that comes back under another name, and two hosts that claim one.
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

// One host by two names: a source that drains it is heeded at its address.
func TestLeavingCountsAtTheAddress(t *testing.T) {
	m := New(2)
	m.Take(0, 1, list(1, true, host("by-dns", "1", active)))
	changed := m.Take(0, 0, list(1, true, host("by-id", "1", leaving)))
	if e, _ := m.Get("by-dns"); e.Hidden != "by-id" || !slices.Equal(changed, []string{"by-dns", "by-id"}) {
		t.Errorf("by-dns: %+v after %v", e, changed)
	}
	m.Take(0, 0, list(2, false, host("next-id", "1", active))) // it knows better: another process
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

// A list of yesterday: what it lacks is gone, but a host that was said to leave since does
// not come back by it, until the source has stayed with its count for a minute.
func TestVersionsThatGoBackwards(t *testing.T) {
	m := New(1)
	m.Take(0, 0, list(10, true, host("a", "1", active), host("b", "2", active), host("c", "3", active)))
	m.Take(0, 0, list(12, false, host("a", "1", leaving), host("b", "", left)))
	yesterday := list(3, true, host("a", "1", active), host("b", "2", active), host("d", "4", active))
	m.Take(time.Second, 0, yesterday)
	is(t, m, "a", leaving, "1", 0)
	is(t, m, "b", left, "2", 0)
	is(t, m, "c", "", "", 0)
	is(t, m, "d", active, "4", 0)
	if m.Skipped(0) != 1 {
		t.Errorf("%d messages were older", m.Skipped(0))
	}
	m.Take(2*time.Second, 0, list(2, false, host("d", "5", active), host("a", "1", leaving)))
	is(t, m, "d", active, "4", 0) // a change from before what is known
	m.Take(3*time.Second, 0, list(2, false, host("d", "4", leaving)))
	is(t, m, "d", leaving, "4", 0) // but words count, however old
	m.Take(4*time.Second, 0, list(13, true, host("a", "1", active), host("b", "2", active), host("c", "3", active)))
	is(t, m, "a", active, "1", 0)
	is(t, m, "b", active, "2", 0)
	m.Take(5*time.Second, 0, list(14, false, host("a", "1", leaving)))
	m.Take(6*time.Second, 0, yesterday)
	m.Tick(65 * time.Second)
	is(t, m, "a", leaving, "1", 0)
	if changed := m.Tick(66 * time.Second); !slices.Equal(changed, []string{"a"}) {
		t.Errorf("changed: %v", changed)
	}
	is(t, m, "a", active, "1", 0) // it counts anew
	m.Take(67*time.Second, 0, list(20, true, host("a", "1", leaving)))
	m.Take(67*time.Second, 0, list(21, false, host("gone", "", left)))
	m.Forget(0) // moved: its versions say nothing
	m.Take(68*time.Second, 0, list(1, true, host("a", "1", active)))
	is(t, m, "a", active, "1", 0)
	is(t, m, "gone", "", "", 0) // nor do words of the place before
}

// Words without end are bounded.
func TestWordsAreBounded(t *testing.T) {
	m := New(1)
	for i := range mostWords + 1000 {
		m.Take(0, 0, list(uint64(i), false, host(fmt.Sprint(i), "", left)))
	}
	if n := len(m.sources[0].words); n > mostWords {
		t.Errorf("%d words are kept", n)
	}
	if n := len(m.merged); n > mostWords+1 { // what went last is let go with the next message
		t.Errorf("%d hosts are kept in the view", n)
	}
}

// Whatever sources say: the view depends on what each has said and not on how they took
// turns; what changed is told; a host that any source names as leaving or left is not
// active; an address has one active host that is not hidden.
func TestMergedViewProperties(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		const sources = 3
		drawHost := rapid.Custom(func(rt *rapid.T) membership.Endpoint {
			e := host(rapid.SampledFrom([]string{"a", "b", "c", "d", "e"}).Draw(rt, "name"), rapid.SampledFrom([]string{"1", "2", "3"}).Draw(rt, "address"),
				rapid.SampledFrom([]string{active, active, leaving, left}).Draw(rt, "status"))
			e.SinceMS = int64(rapid.IntRange(0, 2).Draw(rt, "since"))
			return e
		})
		said := make([][]*membership.List, sources)
		for i := range said {
			for range rapid.IntRange(0, 6).Draw(rt, "messages") {
				said[i] = append(said[i], list(uint64(rapid.IntRange(0, 9).Draw(rt, "index")), rapid.Bool().Draw(rt, "whole"), rapid.SliceOfN(drawHost, 0, 5).Draw(rt, "hosts")...))
			}
		}
		play := func(label string) *Merger {
			m := New(sources)
			next := make([]int, sources)
			mirror := map[string]Entry{}
			for {
				var can []int
				for i := range said {
					if next[i] < len(said[i]) {
						can = append(can, i)
					}
				}
				if len(can) == 0 {
					return m
				}
				i := rapid.SampledFrom(can).Draw(rt, label)
				for _, name := range m.Take(0, i, said[i][next[i]]) {
					if e, ok := m.Get(name); ok {
						mirror[name] = e
					} else {
						delete(mirror, name)
					}
				}
				next[i]++
				if !reflect.DeepEqual(mirror, m.merged) {
					rt.Fatalf("who follows the changes has %+v, the view is %+v", mirror, m.merged)
				}
			}
		}
		one, two := play("first"), play("second")
		if !reflect.DeepEqual(one.All(), two.All()) {
			rt.Fatalf("%+v\nand, in another order,\n%+v", one.All(), two.All())
		}
		at := map[string]string{}
		for _, e := range one.All() {
			if e.Status != active {
				continue
			}
			for i := range one.sources {
				if w, ok := one.sources[i].words[e.Name]; ok {
					rt.Fatalf("%+v is active, source %d says %+v", e, i, w)
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
			case e.Status == active && !counts && one.leaves(e.Address, one.merged[one.claimant(e.Address)].Source) == "":
				rt.Fatalf("nobody counts at %s", e.Address)
			case e.Status == leaving && counts:
				own, has := one.Get(other)
				if has && own.Source != e.Source && one.leaves(e.Address, own.Source) != "" {
					rt.Fatalf("%+v counts where %+v leaves", own, e)
				}
			}
		}
	})
}
