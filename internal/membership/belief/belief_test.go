package belief

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"
	"time"

	"frostshift/internal/membership"
	"pgregory.net/rapid"
)

// fixture is a Belief with simulated hosts that answer or not, and the current host list.
type fixture struct {
	b      *Belief
	now    time.Duration
	up     map[string]bool // hosts that answer
	seen   map[string]Seen
	listed map[string]membership.Endpoint
	inUse  map[string]membership.Endpoint // active and leaving hosts, as Decide returned them
}

func newFixture(cfg Config) *fixture {
	return &fixture{b: New(cfg), up: map[string]bool{}, seen: map[string]Seen{}, listed: map[string]membership.Endpoint{}, inUse: map[string]membership.Endpoint{}}
}

// names returns the host names with the numbers from <= i < to.
func names(from, to int) (list []string) {
	for i := from; i < to; i++ {
		list = append(list, fmt.Sprintf("h%03d", i))
	}
	return list
}

// markUp lets hosts answer.
func (f *fixture) markUp(hosts []string) {
	for _, n := range hosts {
		f.up[n] = true
	}
}

// setList replaces the whole list by the given active hosts.
func (f *fixture) setList(hosts ...string) {
	next := map[string]membership.Endpoint{}
	for _, n := range hosts {
		next[n] = membership.Endpoint{Name: n, Address: "at " + n, Status: membership.Active}
	}
	for n := range f.listed {
		if _, ok := next[n]; !ok {
			f.b.Dropped(f.now, n, false)
		}
	}
	for n, e := range next {
		if f.listed[n] != e {
			f.b.Listed(f.now, e)
		}
	}
	f.listed = next
	f.decide()
}

// announce reports an explicit status of one host.
func (f *fixture) announce(name, status string) {
	e := membership.Endpoint{Name: name, Address: "at " + name, Status: status}
	if status == membership.Left {
		delete(f.listed, name)
		f.b.Dropped(f.now, name, true)
	} else {
		f.listed[name] = e
		f.b.Listed(f.now, e)
	}
	f.decide()
}

// decide runs Decide and applies the changes to inUse.
func (f *fixture) decide() {
	for _, e := range f.b.Decide(f.now, func(n string) Seen {
		if s, ok := f.seen[n]; ok {
			return s
		}
		return Seen{-1, -1}
	}) {
		if e.Status == membership.Left {
			delete(f.inUse, e.Name)
		} else {
			f.inUse[e.Name] = e
		}
	}
}

// traffic sends a request to every active host in use and then calls decide, every 100 ms for the
// duration d.
func (f *fixture) traffic(d time.Duration) {
	for end := f.now + d; f.now < end; {
		f.now += 100 * time.Millisecond
		for n, e := range f.inUse {
			if e.Status != membership.Active {
				continue
			}
			s, ok := f.seen[n]
			if !ok {
				s = Seen{-1, -1}
			}
			if f.up[n] {
				s.LastAnswer = f.now
			} else {
				s.LastConnectFailure = f.now
			}
			f.seen[n] = s
		}
		f.decide()
	}
}

// used returns the hosts that may receive requests, sorted by name.
func (f *fixture) used() (list []string) {
	for _, n := range slices.Sorted(maps.Keys(f.inUse)) {
		if f.inUse[n].Status == membership.Active {
			list = append(list, n)
		}
	}
	return list
}

// checkUsed fails the test if the used hosts differ from want.
func (f *fixture) checkUsed(t *testing.T, step string, want []string) {
	t.Helper()
	if got := f.used(); !slices.Equal(got, want) {
		t.Errorf("%s: uses %v, want %v", step, got, want)
	}
}

// A list that drops working hosts must not take them out of use at once, but is followed if it
// stays the same for longer than Keep.
func TestListsThatLie(t *testing.T) {
	all := names(0, 10)
	for _, c := range []struct {
		name      string
		wrongList []string
	}{{"half", all[:5]}, {"empty", nil}, {"other hosts that none can reach", names(50, 60)}, {"yesterday's", append(names(70, 75), all[:3]...)}} {
		t.Run(c.name, func(t *testing.T) {
			f := newFixture(Config{})
			f.markUp(all)
			f.setList(all...)
			f.traffic(time.Second)
			f.setList(c.wrongList...)
			f.traffic(5 * time.Second)
			for _, n := range all {
				if !slices.Contains(f.used(), n) {
					t.Fatalf("%s works and is not used; used are %v", n, f.used())
				}
			}
			if len(f.b.Doubts(f.now)) == 0 {
				t.Error("nothing is doubted")
			}
			f.setList(all...)
			f.traffic(time.Second)
			f.checkUsed(t, "once the list is correct again", all)
			f.setList(c.wrongList...)
			f.traffic(time.Second)
			f.traffic(6 * time.Minute)
			f.checkUsed(t, "a list that stays unchanged is followed in the end", slices.Sorted(slices.Values(c.wrongList)))
			f.traffic(time.Hour)
			if n := len(f.b.hosts); n != len(c.wrongList) {
				t.Errorf("%d hosts are still tracked", n)
			}
		})
	}
}

// A loss that is announced, or confirmed by failed connections, is followed at once.
func TestTrueLossIsFollowed(t *testing.T) {
	all := names(0, 10)
	f := newFixture(Config{})
	f.markUp(all)
	f.setList(all...)
	f.traffic(time.Second)
	for _, n := range all[:8] {
		f.announce(n, membership.Leaving)
		if slices.Contains(f.used(), n) {
			t.Errorf("%s leaves and is used", n)
		}
	}
	f.announce(all[0], membership.Left)
	f.announce(all[8], membership.Left)
	f.checkUsed(t, "after nine were announced as leaving or left", all[9:])
	f.setList(all[9]) // hosts that are leaving are no longer listed
	f.checkUsed(t, "after the leaving hosts were dropped", all[9:])

	f = newFixture(Config{})
	f.markUp(all)
	f.setList(all...)
	f.traffic(time.Second)
	for _, n := range all[2:] {
		f.up[n] = false
	}
	f.setList(all[:2]...)
	f.traffic(200 * time.Millisecond)
	f.checkUsed(t, "eight hosts failed and were dropped from the list", all[:2])

	f.setList(all[0]) // a small loss is not doubted
	f.markUp(all)
	f = newFixture(Config{})
	f.markUp(all)
	f.setList(all...)
	f.traffic(time.Second)
	f.setList(all[:9]...)
	f.checkUsed(t, "one of ten", all[:9])
}

// Hosts are replaced one by one within a minute, and all at once. The number of used hosts never
// drops below the original count, and the original hosts are given up as the new ones answer.
func TestReplacement(t *testing.T) {
	original, replacements := names(0, 20), names(100, 120)
	f := newFixture(Config{})
	f.markUp(original)
	f.setList(original...)
	f.traffic(time.Second)
	for i := range original {
		f.markUp(replacements[:i+1])
		f.setList(append(slices.Clone(original[i+1:]), replacements[:i+1]...)...)
		f.traffic(3 * time.Second)
		if n := len(f.used()); n < 20 || n > 21 {
			t.Errorf("after %d: %d hosts are used", i+1, n)
		}
		f.up[original[i]] = false
	}
	f.checkUsed(t, "all hosts are replaced", replacements)

	f = newFixture(Config{})
	f.markUp(append(slices.Clone(original), replacements...))
	f.setList(original...)
	f.traffic(time.Second)
	f.setList(replacements...)
	if n := len(f.used()); n != 40 {
		t.Errorf("all at once, before any new host has answered: %d hosts are used", n)
	}
	f.traffic(200 * time.Millisecond)
	f.checkUsed(t, "once the new hosts have answered", replacements)
}

// In a pool without traffic there are no connection results, so hosts are vouched for by Settle
// alone.
func TestNobodyAsks(t *testing.T) {
	all := names(0, 10)
	f := newFixture(Config{})
	f.setList(all...)
	f.now += 11 * time.Second
	f.decide()
	if f.b.Unsure() {
		t.Error("unsure after the settling time")
	}
	f.setList(all[:8]...)
	f.checkUsed(t, "two of ten", all[:8])
	f.setList(all[:2]...)
	f.checkUsed(t, "six more", all[:8])
	f.now += 5 * time.Minute
	f.decide()
	f.checkUsed(t, "after Keep", all[:2])
}

// After a long time without a Decide, the hosts that were listed until now still count towards the
// floor.
func TestLossAfterALongQuiet(t *testing.T) {
	all := names(0, 10)
	f := newFixture(Config{})
	f.markUp(all)
	f.setList(all...)
	f.traffic(20 * time.Second)
	if f.b.Unsure() {
		t.Fatal("the belief is unsure after steady traffic")
	}
	f.now += time.Hour
	f.setList()
	f.checkUsed(t, "an empty list after an hour", all)
	f.traffic(4 * time.Minute)
	f.checkUsed(t, "four minutes later", all)
}

func TestFlappingIsDamped(t *testing.T) {
	all := names(0, 10)
	f := newFixture(Config{})
	f.markUp(all)
	f.setList(all...)
	f.traffic(time.Second)
	for range 4 {
		f.setList(all[1:]...)
		f.traffic(time.Second)
		f.setList(all...)
		f.traffic(time.Second)
	}
	f.checkUsed(t, "after four returns", all[1:])
	if d := f.b.Doubts(f.now); len(d) != 1 || !strings.Contains(d[0].Why, "flaps") {
		t.Errorf("doubts: %+v", d)
	}
	f.traffic(90 * time.Second)
	f.checkUsed(t, "after the host has been steady", all)

	// Lists of two disjoint sets of ten hosts alternate: the used hosts never fall below the floor.
	f = newFixture(Config{})
	f.markUp(names(0, 20))
	for i := range 40 {
		if i%2 == 0 {
			f.setList(names(0, 10)...)
		} else {
			f.setList(names(10, 20)...)
		}
		f.traffic(time.Second)
		if n := len(f.used()); n < 7 {
			t.Fatalf("turn %d: %d hosts are used", i, n)
		}
	}
	// A host that is announced as leaving is never doubted, but is damped as well if it keeps
	// returning.
	f = newFixture(Config{})
	f.markUp(all)
	f.setList(all...)
	for range 4 {
		f.announce(all[0], membership.Leaving)
		f.traffic(time.Second)
		f.announce(all[0], membership.Active)
		f.traffic(time.Second)
	}
	f.checkUsed(t, "after four returns from leaving", all[1:])
}

// A host whose address changes is not vouched for at the new address.
func TestOtherAddress(t *testing.T) {
	all := names(0, 2)
	f := newFixture(Config{})
	f.markUp(all)
	f.setList(all...)
	f.traffic(20 * time.Second)
	f.b.Listed(f.now, membership.Endpoint{Name: all[0], Address: "elsewhere", Status: membership.Active})
	f.decide()
	if f.inUse[all[0]].Address != "elsewhere" {
		t.Errorf("uses %+v", f.inUse[all[0]])
	}
	if d := f.b.Doubts(f.now); len(d) != 1 || !strings.Contains(d[0].Why, "vouched") {
		t.Errorf("doubts: %+v", d)
	}
}

func TestConfig(t *testing.T) {
	if f, text := (Config{}).Check(); f != "" {
		t.Errorf("the defaults: %s %s", f, text)
	}
	for want, c := range map[string]Config{"floor": {Floor: 1.5}, "window": {Window: -1}, "keep": {Keep: -1}, "settle": {Settle: -1},
		"half_life": {HalfLife: -1}, "suppress": {Suppress: 0.5}, "reuse": {Reuse: 4}} {
		if f, text := c.Check(); f != want || text == "" {
			t.Errorf("%+v: %q %q", c, f, text)
		}
	}
}

// For any sequence of lists, announcements and host failures: a host announced as leaving or left
// is not used; a listed host that returned fewer than three times is used; no host is used once it
// has been missing for Keep; and Believed equals the number of hosts in use as returned by Decide.
func TestBeliefProperties(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		f := newFixture(Config{})
		all := names(0, 8)
		f.markUp(all)
		announced := map[string]bool{}
		returnCount := map[string]int{}
		missingSince := map[string]time.Duration{}
		for range rapid.IntRange(1, 30).Draw(rt, "steps") {
			switch rapid.IntRange(0, 4).Draw(rt, "step") {
			case 0, 1:
				var in []string
				for _, n := range all {
					if rapid.Bool().Draw(rt, "listed") {
						in = append(in, n)
					}
				}
				for _, n := range all {
					_, was := f.listed[n]
					switch is := slices.Contains(in, n); {
					case is && (!was || announced[n]):
						returnCount[n]++
						delete(missingSince, n)
						delete(announced, n)
					case !is && was:
						missingSince[n] = f.now
					}
				}
				f.setList(in...)
			case 2:
				n := rapid.SampledFrom(all).Draw(rt, "word of")
				status := rapid.SampledFrom([]string{membership.Leaving, membership.Left}).Draw(rt, "word")
				if _, listed := f.listed[n]; listed || status == membership.Left {
					announced[n] = true
					f.announce(n, status)
				}
			case 3:
				n := rapid.SampledFrom(all).Draw(rt, "turns")
				f.up[n] = !f.up[n]
			case 4:
				f.traffic(rapid.SampledFrom([]time.Duration{100 * time.Millisecond, 20 * time.Second, 6 * time.Minute}).Draw(rt, "time"))
			}
			used := f.used()
			for _, n := range all {
				is := slices.Contains(used, n)
				_, listed := f.listed[n]
				at, gone := missingSince[n]
				switch {
				case announced[n] && is:
					rt.Fatalf("%s is used although it was announced as leaving or left", n)
				case listed && !announced[n] && !is && returnCount[n] < 3:
					rt.Fatalf("%s is listed and not used", n)
				case gone && !listed && is && f.now-at >= 5*time.Minute+200*time.Millisecond:
					rt.Fatalf("%s is used %v after it went missing", n, f.now-at)
				}
			}
			if f.b.Believed() != len(used) {
				rt.Fatalf("Believed is %d, but %d hosts are in use as returned", f.b.Believed(), len(used))
			}
		}
	})
}
