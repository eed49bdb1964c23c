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

// world is a belief with hosts that are there or not, and what is listed.
type world struct {
	b      *Belief
	now    time.Duration
	up     map[string]bool // hosts that answer
	seen   map[string]Seen
	listed map[string]membership.Endpoint
	goes   map[string]membership.Endpoint // by what was handed out
}

func newWorld(cfg Config) *world {
	return &world{b: New(cfg), up: map[string]bool{}, seen: map[string]Seen{}, listed: map[string]membership.Endpoint{}, goes: map[string]membership.Endpoint{}}
}

func names(from, to int) (list []string) {
	for i := from; i < to; i++ {
		list = append(list, fmt.Sprintf("h%03d", i))
	}
	return list
}

func (w *world) start(hosts []string) {
	for _, n := range hosts {
		w.up[n] = true
	}
}

// list takes a whole list of active hosts.
func (w *world) list(hosts ...string) {
	next := map[string]membership.Endpoint{}
	for _, n := range hosts {
		next[n] = membership.Endpoint{Name: n, Address: "at " + n, Status: membership.Active}
	}
	for n := range w.listed {
		if _, ok := next[n]; !ok {
			w.b.Dropped(w.now, n, false)
		}
	}
	for n, e := range next {
		if w.listed[n] != e {
			w.b.Listed(w.now, e)
		}
	}
	w.listed = next
	w.decide()
}

// say is an explicit word of a host.
func (w *world) say(name, status string) {
	e := membership.Endpoint{Name: name, Address: "at " + name, Status: status}
	if status == membership.Left {
		delete(w.listed, name)
		w.b.Dropped(w.now, name, true)
	} else {
		w.listed[name] = e
		w.b.Listed(w.now, e)
	}
	w.decide()
}

func (w *world) decide() {
	for _, e := range w.b.Decide(w.now, func(n string) Seen {
		if s, ok := w.seen[n]; ok {
			return s
		}
		return Seen{-1, -1}
	}) {
		if e.Status == membership.Left {
			delete(w.goes, e.Name)
		} else {
			w.goes[e.Name] = e
		}
	}
}

// traffic asks every host that is gone by, and then looks again, for so long.
func (w *world) traffic(d time.Duration) {
	for end := w.now + d; w.now < end; {
		w.now += 100 * time.Millisecond
		for n, e := range w.goes {
			if e.Status != membership.Active {
				continue
			}
			s, ok := w.seen[n]
			if !ok {
				s = Seen{-1, -1}
			}
			if w.up[n] {
				s.LastAnswer = w.now
			} else {
				s.LastConnectFailure = w.now
			}
			w.seen[n] = s
		}
		w.decide()
	}
}

// used are the hosts that may be sent to.
func (w *world) used() (list []string) {
	for _, n := range slices.Sorted(maps.Keys(w.goes)) {
		if w.goes[n].Status == membership.Active {
			list = append(list, n)
		}
	}
	return list
}

func (w *world) want(t *testing.T, what string, want []string) {
	t.Helper()
	if got := w.used(); !slices.Equal(got, want) {
		t.Errorf("%s: goes by %v, want %v", what, got, want)
	}
}

func TestListsThatLie(t *testing.T) {
	all := names(0, 10)
	for _, c := range []struct {
		name string
		lie  []string
	}{{"half", all[:5]}, {"empty", nil}, {"other hosts that none can reach", names(50, 60)}, {"yesterday's", append(names(70, 75), all[:3]...)}} {
		t.Run(c.name, func(t *testing.T) {
			w := newWorld(Config{})
			w.start(all)
			w.list(all...)
			w.traffic(time.Second)
			w.list(c.lie...)
			w.traffic(5 * time.Second)
			for _, n := range all {
				if !slices.Contains(w.used(), n) {
					t.Fatalf("%s works and is not used; used are %v", n, w.used())
				}
			}
			if len(w.b.Doubts(w.now)) == 0 {
				t.Error("nothing is doubted")
			}
			w.list(all...)
			w.traffic(time.Second)
			w.want(t, "once the list is right", all)
			w.list(c.lie...)
			w.traffic(time.Second)
			w.traffic(6 * time.Minute)
			w.want(t, "a list that stays so is followed in the end", slices.Sorted(slices.Values(c.lie)))
			w.traffic(time.Hour)
			if n := len(w.b.hosts); n != len(c.lie) {
				t.Errorf("%d hosts are kept in mind", n)
			}
		})
	}
}

// What is announced, or gone on sockets as well, is followed at once.
func TestTrueLossIsFollowed(t *testing.T) {
	all := names(0, 10)
	w := newWorld(Config{})
	w.start(all)
	w.list(all...)
	w.traffic(time.Second)
	for _, n := range all[:8] {
		w.say(n, membership.Leaving)
		if slices.Contains(w.used(), n) {
			t.Errorf("%s leaves and is used", n)
		}
	}
	w.say(all[0], membership.Left)
	w.say(all[8], membership.Left)
	w.want(t, "after eight have been told to leave", all[9:])
	w.list(all[9]) // those that leave stand in no list any more
	w.want(t, "and are gone", all[9:])

	w = newWorld(Config{})
	w.start(all)
	w.list(all...)
	w.traffic(time.Second)
	for _, n := range all[2:] {
		w.up[n] = false
	}
	w.list(all[:2]...)
	w.traffic(200 * time.Millisecond)
	w.want(t, "eight went down with the list", all[:2])

	w.list(all[0]) // a small loss needs no doubt
	w.start(all)
	w = newWorld(Config{})
	w.start(all)
	w.list(all...)
	w.traffic(time.Second)
	w.list(all[:9]...)
	w.want(t, "one of ten", all[:9])
}

// A rolling replacement in a minute, and one of all at once: never fewer hosts that work
// than the floor, and the old ones are given up as the new ones answer.
func TestReplacement(t *testing.T) {
	old, fresh := names(0, 20), names(100, 120)
	w := newWorld(Config{})
	w.start(old)
	w.list(old...)
	w.traffic(time.Second)
	for i := range old {
		w.start(fresh[:i+1])
		w.list(append(slices.Clone(old[i+1:]), fresh[:i+1]...)...)
		w.traffic(3 * time.Second)
		if n := len(w.used()); n < 20 || n > 21 {
			t.Errorf("after %d: %d hosts are used", i+1, n)
		}
		w.up[old[i]] = false
	}
	w.want(t, "all are new", fresh)

	w = newWorld(Config{})
	w.start(append(slices.Clone(old), fresh...))
	w.list(old...)
	w.traffic(time.Second)
	w.list(fresh...)
	if n := len(w.used()); n != 40 {
		t.Errorf("at once, before any has answered: %d are used", n)
	}
	w.traffic(200 * time.Millisecond)
	w.want(t, "once they have", fresh)
}

// A pool that nobody uses: nothing is seen on sockets, and time alone vouches.
func TestNobodyAsks(t *testing.T) {
	all := names(0, 10)
	w := newWorld(Config{})
	w.list(all...)
	w.now += 11 * time.Second
	w.decide()
	if w.b.Unsure() {
		t.Error("unsure after the settling time")
	}
	w.list(all[:8]...)
	w.want(t, "two of ten", all[:8])
	w.list(all[:2]...)
	w.want(t, "six more", all[:8])
	w.now += 5 * time.Minute
	w.decide()
	w.want(t, "after the time", all[:2])
}

// However long nothing was looked at, what was listed until now is what a list loses.
func TestLossAfterALongQuiet(t *testing.T) {
	all := names(0, 10)
	w := newWorld(Config{})
	w.start(all)
	w.list(all...)
	w.traffic(20 * time.Second)
	if w.b.Unsure() {
		t.Fatal("something is to be looked at")
	}
	w.now += time.Hour
	w.list()
	w.want(t, "an empty list after an hour", all)
	w.traffic(4 * time.Minute)
	w.want(t, "four minutes later", all)
}

func TestFlappingIsDamped(t *testing.T) {
	all := names(0, 10)
	w := newWorld(Config{})
	w.start(all)
	w.list(all...)
	w.traffic(time.Second)
	for range 4 {
		w.list(all[1:]...)
		w.traffic(time.Second)
		w.list(all...)
		w.traffic(time.Second)
	}
	w.want(t, "after four returns", all[1:])
	if d := w.b.Doubts(w.now); len(d) != 1 || !strings.Contains(d[0].Why, "flaps") {
		t.Errorf("doubts: %+v", d)
	}
	w.traffic(90 * time.Second)
	w.want(t, "when it has been steady", all)

	// Two sources that take turns, one host each time in ten: never below the floor.
	w = newWorld(Config{})
	w.start(names(0, 20))
	for i := range 40 {
		if i%2 == 0 {
			w.list(names(0, 10)...)
		} else {
			w.list(names(10, 20)...)
		}
		w.traffic(time.Second)
		if n := len(w.used()); n < 7 {
			t.Fatalf("turn %d: %d hosts are used", i, n)
		}
	}
	// One that leaves and comes back is damped as well, and never doubted while it leaves.
	w = newWorld(Config{})
	w.start(all)
	w.list(all...)
	for range 4 {
		w.say(all[0], membership.Leaving)
		w.traffic(time.Second)
		w.say(all[0], membership.Active)
		w.traffic(time.Second)
	}
	w.want(t, "after four returns from leaving", all[1:])
}

// An id that comes back at another address has been seen by nobody there.
func TestOtherAddress(t *testing.T) {
	all := names(0, 2)
	w := newWorld(Config{})
	w.start(all)
	w.list(all...)
	w.traffic(20 * time.Second)
	w.b.Listed(w.now, membership.Endpoint{Name: all[0], Address: "elsewhere", Status: membership.Active})
	w.decide()
	if w.goes[all[0]].Address != "elsewhere" {
		t.Errorf("goes by %+v", w.goes[all[0]])
	}
	if d := w.b.Doubts(w.now); len(d) != 1 || !strings.Contains(d[0].Why, "vouched") {
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

// Whatever lists say and hosts do: one that is named as leaving or left is not used; one
// that is listed, steady and works is; one that is missing and can't be reached is not
// after the next look, nor any that has been missing for Keep; and what is handed out
// adds up to what is used.
func TestBeliefProperties(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		w := newWorld(Config{})
		all := names(0, 8)
		w.start(all)
		word := map[string]bool{}
		returns := map[string]int{}
		missing := map[string]time.Duration{}
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
					_, was := w.listed[n]
					switch is := slices.Contains(in, n); {
					case is && (!was || word[n]):
						returns[n]++
						delete(missing, n)
						delete(word, n)
					case !is && was:
						missing[n] = w.now
					}
				}
				w.list(in...)
			case 2:
				n := rapid.SampledFrom(all).Draw(rt, "word of")
				status := rapid.SampledFrom([]string{membership.Leaving, membership.Left}).Draw(rt, "word")
				if _, listed := w.listed[n]; listed || status == membership.Left {
					word[n] = true
					w.say(n, status)
				}
			case 3:
				n := rapid.SampledFrom(all).Draw(rt, "turns")
				w.up[n] = !w.up[n]
			case 4:
				w.traffic(rapid.SampledFrom([]time.Duration{100 * time.Millisecond, 20 * time.Second, 6 * time.Minute}).Draw(rt, "time"))
			}
			used := w.used()
			for _, n := range all {
				is := slices.Contains(used, n)
				_, listed := w.listed[n]
				at, gone := missing[n]
				switch {
				case word[n] && is:
					rt.Fatalf("%s is used after an explicit word", n)
				case listed && !word[n] && !is && returns[n] < 3:
					rt.Fatalf("%s is listed and not used", n)
				case gone && !listed && is && w.now-at >= 5*time.Minute+200*time.Millisecond:
					rt.Fatalf("%s is used %v after it went missing", n, w.now-at)
				}
			}
			if w.b.Believed() != len(used) {
				rt.Fatalf("%d are believed, %d were handed out", w.b.Believed(), len(used))
			}
		}
	})
}
