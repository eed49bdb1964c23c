package override

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// fleet simulates gateways that replicate overrides over a network that loses, duplicates and delays packets
// and can be partitioned. All share one clock that run advances. A run is determined by its seed.
type fleet struct {
	r         *rand.Rand
	now       Time
	names     []string
	stores    []*Store
	applied   []map[string]Entry // by gateway: the overrides that it has applied, by host
	partition []int              // by gateway: only gateways with the same number reach each other
	loss      float64
	packets   []delivery
	sent      int
	bans      map[string]map[Event]bool // by host: all bans that were set, and whether they are covered or replaced
	returned  map[string]Event          // by host: the last return into service
}

// delivery is a packet in transit.
type delivery struct {
	at   Time
	to   string
	from int
	data []byte
}

func newFleet(seed uint64, n int) *fleet {
	f := &fleet{r: rand.New(rand.NewPCG(seed, 41)), now: time.Second, partition: make([]int, n), bans: map[string]map[Event]bool{}, returned: map[string]Event{}}
	for g := range n {
		f.names = append(f.names, fmt.Sprintf("g%03d", g))
	}
	for g := range n {
		f.stores = append(f.stores, nil)
		f.applied = append(f.applied, nil)
		f.restart(g)
	}
	f.updateViews()
	return f
}

// restart replaces a gateway by one with an empty Store.
func (f *fleet) restart(g int) { f.stores[g], f.applied[g] = New(f.names[g]), map[string]Entry{} }

// updateViews sets the gateways that each gateway considers alive: those on its side of the partition.
func (f *fleet) updateViews() {
	for g, b := range f.stores {
		var alive []string
		for i, n := range f.names {
			if f.partition[i] == f.partition[g] {
				alive = append(alive, n)
			}
		}
		b.SetAlive(alive)
	}
}

func (f *fleet) send(g int, out []Packet) {
	f.sent += len(out)
	for _, p := range out {
		for f.r.Float64() >= f.loss {
			f.packets = append(f.packets, delivery{f.now + time.Duration(f.r.IntN(20))*time.Millisecond, p.To, g, p.Data})
			if f.r.IntN(10) > 0 { // one packet in ten is duplicated, perhaps more than once
				break
			}
		}
	}
}

// apply has a gateway apply an override at once.
func (f *fleet) apply(g int, w Entry) {
	f.applied[g][w.Host] = w
	f.stores[g].Done(w)
}

// setOverride sets and applies an override at one gateway.
func (f *fleet) setOverride(g int, host string, out bool) Entry {
	heard := f.heard(g, host)
	w, err := f.stores[g].Set(f.now, host, out)
	if err != nil {
		panic(err)
	}
	if f.bans[host] == nil {
		f.bans[host] = map[Event]bool{}
	}
	event := Event{w.Version, w.By}
	if out { // a gateway's ban replaces its earlier one
		heard = slices.DeleteFunc(heard, func(v Event) bool { return v.By != f.names[g] })
		f.bans[host][event] = false
	} else if event.after(f.returned[host]) {
		f.returned[host] = event
	}
	for _, v := range heard {
		f.bans[host][v] = true
	}
	f.apply(g, w)
	return w
}

// heard returns the bans of a host that a gateway has received.
func (f *fleet) heard(g int, host string) (list []Event) {
	if e := f.stores[g].entries[host]; e != nil {
		for _, ban := range e.state.Bans {
			list = append(list, ban.Event)
		}
	}
	return list
}

// prevailing returns the override that all gateways must apply in the end: the last ban that no return by a gateway
// that had heard it has covered, or the last return.
func (f *fleet) prevailing(host string) Entry {
	w := Entry{Host: host, Version: f.returned[host].Version, By: f.returned[host].By}
	for v, covered := range f.bans[host] {
		if !covered && (!w.Out || v.after(Event{w.Version, w.By})) {
			w = Entry{Host: host, Out: true, Version: v.Version, By: v.By}
		}
	}
	return w
}

// includes reports whether a gateway has received an override, or a later one of the same gateway.
func (f *fleet) includes(g int, w Entry) bool {
	state := f.stores[g].entries[w.Host].state
	if !w.Out {
		return !Event{w.Version, w.By}.after(state.Returned)
	}
	return slices.ContainsFunc(state.Bans, func(ban Ban) bool { return ban.By == w.By && ban.Version >= w.Version })
}

// hasSet reports whether a gateway has an override that was set at itself.
func (f *fleet) hasSet(g int) bool {
	return slices.ContainsFunc(f.stores[g].States(), func(s State) bool {
		return s.Returned.By == f.names[g] || slices.ContainsFunc(s.Bans, func(ban Ban) bool { return ban.By == f.names[g] })
	})
}

// run advances the clock by length, or until done returns true. It returns false if done is not nil and never
// returned true.
func (f *fleet) run(length time.Duration, done func() bool) bool {
	for end := f.now + length; f.now < end; f.now += 5 * time.Millisecond {
		var due []delivery
		f.packets = slices.DeleteFunc(f.packets, func(d delivery) bool {
			if d.at > f.now {
				return false
			}
			due = append(due, d)
			return true
		})
		for _, d := range due {
			to := slices.Index(f.names, d.to)
			if f.partition[to] != f.partition[d.from] {
				continue
			}
			out, entries := f.stores[to].Take(f.now, d.data)
			f.send(to, slices.Clone(out))
			for _, w := range entries {
				f.apply(to, w)
			}
		}
		for g, b := range f.stores {
			if (f.now/(5*time.Millisecond)+Time(g))%Time(Step/(5*time.Millisecond)) == 0 {
				f.send(g, slices.Clone(b.Tick(f.now)))
			}
		}
		if done != nil && done() {
			return true
		}
	}
	return done == nil
}

// converged reports whether all gateways have applied the same overrides and have the same digests.
func (f *fleet) converged() bool {
	for g := range f.applied {
		if f.stores[g].digests != f.stores[0].digests || len(f.applied[g]) != len(f.applied[0]) {
			return false
		}
		for host, w := range f.applied[0] {
			if f.applied[g][host] != w {
				return false
			}
		}
	}
	return true
}

// Overrides are set at random gateways under loss, duplicated packets, partitions with up to three sides, and
// restarts. Once the network has healed, all gateways must apply the same override of each host within the
// stated time, a ban unless each was covered by a return of a gateway that had received it. A reachable gateway must
// not apply an override that does not include one that is reported as confirmed by all.
func TestAllApplyTheLastOverride(t *testing.T) {
	for seed := uint64(1); seed <= 1500; seed++ {
		r := rand.New(rand.NewPCG(seed, 1))
		n := 2 + r.IntN(8)
		f := newFleet(seed, n)
		f.loss = []float64{0, 0.1, 0.3}[r.IntN(3)]
		unconfirmed := map[Entry]Time{}
		for range 3 + r.IntN(12) {
			switch r.IntN(5) {
			case 0:
				for g := range f.partition {
					f.partition[g] = r.IntN(3)
				}
				f.updateViews()
			case 1: // only a gateway without overrides of its own restarts: it would lose those that it alone has
				g := r.IntN(n)
				if !f.hasSet(g) {
					f.restart(g)
					f.updateViews()
				}
			default:
				g := r.IntN(n)
				w := f.setOverride(g, fmt.Sprintf("h%d", r.IntN(3)), r.IntN(2) == 0)
				unconfirmed[w] = f.now
			}
			f.run(time.Duration(r.IntN(400))*time.Millisecond, func() bool {
				for w := range unconfirmed { // no reachable gateway may still apply an older override than a confirmed one
					s, ok := f.stores[slices.Index(f.names, w.By)].Lookup(f.now, w.Host)
					if !ok || s.Entry != w || !s.Asked || !s.Holds || len(s.Lack)+len(s.Away) > 0 {
						continue
					}
					for g, applied := range f.applied {
						d, reachable := applied[w.Host], f.partition[g] == f.partition[slices.Index(f.names, w.By)]
						if reachable && d.Host != "" && (!f.includes(g, w) || d != f.stores[g].entries[w.Host].Entry) {
							t.Fatalf("seed %d: %+v is confirmed by all, but %s applies %+v", seed, w, f.names[g], d)
						}
					}
					delete(unconfirmed, w)
				}
				return false
			})
		}
		for g := range f.partition {
			f.partition[g] = 0
		}
		f.updateViews()
		healed := f.now
		if !f.run(20*Every, f.converged) {
			t.Fatalf("seed %d: the gateways do not agree 20 s after the partition healed", seed)
		}
		if took := f.now - healed; f.loss == 0 && took > 2*Every {
			t.Errorf("seed %d: agreed after %v", seed, took)
		}
		for host := range f.bans {
			w := f.prevailing(host)
			if got := f.applied[0][host]; got != w {
				t.Errorf("seed %d: all gateways apply %+v, %+v prevails", seed, got, w)
			}
		}
	}
}

// Of a ban and a return into service that are set on both sides of a partition the ban must prevail, though the other
// side has banned the host and put it back before. A return into service by a gateway that has received the ban must not be reverted when the ban
// arrives late from another gateway.
func TestALateOverrideRevertsNothing(t *testing.T) {
	f := newFleet(1, 3)
	f.partition = []int{0, 1, 1}
	f.updateViews()
	f.setOverride(0, "h", true)
	for _, out := range []bool{true, false} {
		f.setOverride(1, "h", out)
		f.run(200*time.Millisecond, nil)
	}
	f.run(time.Second, nil)
	if f.applied[2]["h"].Out || !f.applied[0]["h"].Out {
		t.Fatal("each side should apply its own override")
	}
	f.partition = []int{0, 0, 0}
	f.updateViews()
	f.run(3*Every, f.converged)
	for g := range f.applied {
		if !f.applied[g]["h"].Out {
			t.Errorf("%s uses the banned host", f.names[g])
		}
	}
	f.partition = []int{0, 1, 1} // the first keeps the ban; the others put the host back, ban it and put it back
	f.updateViews()
	for _, out := range []bool{false, true, false} {
		f.setOverride(2, "h", out)
		f.run(200*time.Millisecond, nil)
	}
	f.partition = []int{0, 0, 0}
	f.updateViews()
	f.run(3*Every, f.converged)
	for g := range f.applied {
		if f.applied[g]["h"].Out {
			t.Errorf("%s: a delayed ban takes effect", f.names[g])
		}
	}
}

// 300 gateways with 1000 overrides send one digest per second each while nothing changes. All that are alive
// confirm a new override, and a gateway that restarts with an empty Store has all overrides within 6 * Every.
func TestManyOverrides(t *testing.T) {
	f := newFleet(1, 300)
	for i := range 1000 {
		w := Entry{Host: fmt.Sprintf("h%04d", i), Out: true, Version: 1, By: "g000"}
		for g, b := range f.stores {
			b.insert(stateOf(w))
			f.apply(g, w)
		}
	}
	f.run(time.Second, nil)
	if f.sent = 0; !f.run(10*time.Second, func() bool { return f.sent > 300*11 }) && f.sent > 300*11 {
		t.Errorf("%d packets in 10 s of 300 gateways with nothing new", f.sent)
	}
	w := f.setOverride(0, "h0007", false)
	if !f.run(400*time.Millisecond, func() bool {
		s, _ := f.stores[0].Lookup(f.now, "h0007")
		return s.Entry == w && len(s.Lack) == 0
	}) {
		t.Error("not all 300 gateways have confirmed the override")
	}
	f.restart(7)
	f.updateViews()
	if !f.run(6*Every, f.converged) {
		t.Errorf("the restarted gateway has %d overrides of 1000", len(f.applied[7]))
	}
}

// The number of overrides is bounded. Overrides that put hosts back into service are dropped to make room, and
// expire.
func TestOverridesAreBounded(t *testing.T) {
	b := New("g")
	now := time.Second
	for i := range MaxHosts {
		if _, err := b.Set(now, fmt.Sprint(i), i != 5); err != nil {
			t.Fatal(err)
		}
	}
	if _, err := b.Set(now, "one more", true); err != nil {
		t.Errorf("%v, though one override can be dropped to make room", err)
	}
	if _, err := b.Set(now, "and another", true); err != ErrFull {
		t.Errorf("%v beyond the bound", err)
	}
	b.Set(now, "7", false)
	b.SetAlive([]string{"h"})
	b.Tick(now + returnedRetention)
	if _, kept := b.Lookup(now+returnedRetention, "7"); kept {
		t.Error("an override that puts a host back into service does not expire")
	}
	rebuilt := New("h")
	for _, e := range b.entries {
		rebuilt.insert(e.state)
	}
	if rebuilt.digests != b.digests {
		t.Error("the digests do not match the overrides")
	}
}

// drawState draws a valid state of one of two hosts, with bans by up to three gateways.
func drawState(t *rapid.T) State {
	version := rapid.Uint64Range(1, 3)
	s := State{Host: rapid.SampledFrom([]string{"a", "b"}).Draw(t, "host")}
	if rapid.Bool().Draw(t, "returned") {
		s.Returned = Event{version.Draw(t, "return"), rapid.SampledFrom([]string{"x", "y"}).Draw(t, "by")}
	}
	for _, by := range []string{"x", "y", "z"} {
		if rapid.Bool().Draw(t, "ban by "+by) {
			ban := Ban{Event: Event{version.Draw(t, "ban"), by}}
			ban.Covered = ban.Version < s.Returned.Version && rapid.Bool().Draw(t, "covered")
			s.Bans = append(s.Bans, ban)
		}
	}
	if !s.valid() {
		s.Returned = Event{1, "x"}
	}
	return s
}

// The order in which overrides arrive and duplicates of them must not change which ones prevail.
func TestOverridesMerge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		states := rapid.SliceOfN(rapid.Custom(drawState), 1, 12).Draw(t, "overrides")
		var stores [2]*Store
		for i := range stores {
			b := New("me")
			b.SetAlive([]string{"x", "y"})
			list := rapid.Permutation(states).Draw(t, "order")
			for _, s := range append(list, list[:rapid.IntRange(0, len(list)).Draw(t, "twice")]...) {
				m := message{kind: update, from: "x", states: []State{s}}
				if out, _ := b.Take(time.Second, m.encode()); b.Counts().Strange > 0 || len(out) > 1 {
					t.Fatalf("%+v is answered with %v", s, out)
				}
			}
			stores[i] = b
		}
		if stores[0].digests != stores[1].digests {
			t.Fatalf("%+v and %+v", stores[0].States(), stores[1].States())
		}
	})
}

// Bans by more gateways than are kept stay in effect, in packets of bounded size, until one return covers all that are kept.
func TestBansOfManyGatewaysAreBounded(t *testing.T) {
	name := func(i int) string { return fmt.Sprintf("%0*d", maxNameBytes, i) }
	b := New("me")
	b.SetAlive([]string{"x"})
	for i := range 2 * maxBans {
		set := State{Host: strings.Repeat("h", maxHostBytes), Bans: []Ban{{Event: Event{uint64(i + 1), name(i)}}}}
		m := message{kind: update, from: "x", states: []State{set}}
		out, _ := b.Take(time.Second, m.encode())
		for _, p := range out {
			if len(p.Data) > 1300 {
				t.Errorf("a packet of %d bytes", len(p.Data))
			}
		}
	}
	s := b.States()[0]
	if len(s.Bans) != maxBans || !b.Status(0)[0].Out || !s.valid() {
		t.Errorf("%d bans are kept, out is %t", len(s.Bans), b.Status(0)[0].Out)
	}
	s = s.next("me", false)
	if w := s.entry(); w.Out || w.Version != 2*maxBans+1 {
		t.Errorf("a return brings %+v", w)
	}
	s = s.next("another", true)
	if w := s.entry(); !w.Out || w.By != "another" || len(s.Bans) != maxBans {
		t.Errorf("a ban at one more gateway brings %+v with %d bans", w, len(s.Bans))
	}
}

// What a process of an earlier version hands over holds, and bans what it has banned.
func TestOverridesOfEarlierVersionsAreAdopted(t *testing.T) {
	b := New("me")
	b.AdoptEntry(0, Entry{Host: "out", Out: true, Version: 3, By: "x"})
	b.AdoptEntry(0, Entry{Host: "back", Version: 4, By: "x"})
	b.AdoptEntry(0, Entry{Host: "wrong", By: "x"})
	if status := b.Status(0); len(status) != 2 || status[0].Out || status[0].Version != 4 || !status[1].Out || !status[1].Holds {
		t.Errorf("adopted are %+v", status)
	}
	if w, err := b.Set(0, "out", false); err != nil || w.Out || w.Version != 4 {
		t.Errorf("back into service: %+v, %v", w, err)
	}
}

// No packet may crash the Store or cause replies of more than 1300 bytes, and a packet that decodes must encode to
// the same bytes.
func FuzzTake(f *testing.F) {
	ban := Ban{Event: Event{1, "x"}, Covered: true}
	for _, m := range []message{{kind: confirmRequest, from: "x", states: []State{stateOf(Entry{Host: "h", Out: true, Version: 1, By: "x"})}},
		{kind: confirmation, from: "x", states: []State{{Host: "h", Returned: Event{9, "y"}, Bans: []Ban{ban}}, stateOf(Entry{Host: "i", Version: 1, By: "y"})}},
		{kind: digestRequest, from: "x"}, {kind: digestReply, from: "x"}} {
		f.Add(m.encode())
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		b := New("me")
		b.SetAlive([]string{"x"})
		b.Set(0, "h", true)
		out, entries := b.Take(time.Second, data)
		for _, p := range out {
			if len(p.Data) > 1300 {
				t.Errorf("a packet of %d bytes", len(p.Data))
			}
		}
		for _, w := range entries {
			b.Done(w)
		}
		var m message
		if m.decode(data) {
			if encoded := m.encode(); string(encoded) != string(data) {
				t.Errorf("%x became %x", data, encoded)
			}
		}
	})
}
