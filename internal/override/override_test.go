package override

import (
	"fmt"
	"math/rand/v2"
	"slices"
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
}

// delivery is a packet in transit.
type delivery struct {
	at   Time
	to   string
	from int
	data []byte
}

func newFleet(seed uint64, n int) *fleet {
	f := &fleet{r: rand.New(rand.NewPCG(seed, 41)), now: time.Second, partition: make([]int, n)}
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
	w, err := f.stores[g].Set(f.now, host, out)
	if err != nil {
		panic(err)
	}
	f.apply(g, w)
	return w
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
// stated time, the one that prevails by version. An override that is reported as confirmed by all must not
// be superseded by an older one at any gateway that is reachable.
func TestAllApplyTheLastOverride(t *testing.T) {
	for seed := uint64(1); seed <= 1500; seed++ {
		r := rand.New(rand.NewPCG(seed, 1))
		n := 2 + r.IntN(8)
		f := newFleet(seed, n)
		f.loss = []float64{0, 0.1, 0.3}[r.IntN(3)]
		last := map[string]Entry{}
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
				if status := f.stores[g].Status(f.now); !slices.ContainsFunc(status, func(s Status) bool { return s.By == f.names[g] }) {
					f.restart(g)
					f.updateViews()
				}
			default:
				g := r.IntN(n)
				w := f.setOverride(g, fmt.Sprintf("h%d", r.IntN(3)), r.IntN(2) == 0)
				if w.after(last[w.Host]) {
					last[w.Host] = w
				}
				unconfirmed[w] = f.now
			}
			f.run(time.Duration(r.IntN(400))*time.Millisecond, func() bool {
				for w := range unconfirmed { // no reachable gateway may still apply an older override than a confirmed one
					s, ok := f.stores[slices.Index(f.names, w.By)].Lookup(f.now, w.Host)
					if !ok || s.Entry != w || !s.Asked || !s.Holds || len(s.Lack)+len(s.Away) > 0 {
						continue
					}
					for g, applied := range f.applied {
						if d := applied[w.Host]; w.after(d) && f.partition[g] == f.partition[slices.Index(f.names, w.By)] && d.Host != "" {
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
		for host, w := range last {
			if got := f.applied[0][host]; got != w {
				t.Errorf("seed %d: all gateways apply %+v, the last override is %+v", seed, got, w)
			}
		}
	}
}

// A ban and a return into service that are set on both sides of a partition have the same version: the ban must
// prevail. A return into service by a gateway that has received the ban must not be reverted when the ban
// arrives late from another gateway.
func TestALateOverrideRevertsNothing(t *testing.T) {
	f := newFleet(1, 3)
	f.partition = []int{0, 1, 1}
	f.updateViews()
	f.setOverride(0, "h", true)
	f.setOverride(1, "h", false)
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
			b.insert(w)
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
		rebuilt.insert(e.Entry)
	}
	if rebuilt.digests != b.digests {
		t.Error("the digests do not match the overrides")
	}
}

// The order in which overrides arrive and duplicates of them must not change which ones prevail.
func TestOverridesMerge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		entries := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) Entry {
			return Entry{Host: rapid.SampledFrom([]string{"a", "b"}).Draw(t, "host"), Out: rapid.Bool().Draw(t, "out"),
				Version: rapid.Uint64Range(1, 3).Draw(t, "version"), By: rapid.SampledFrom([]string{"x", "y"}).Draw(t, "by")}
		}), 1, 12).Draw(t, "overrides")
		var stores [2]*Store
		for i := range stores {
			b := New("me")
			b.SetAlive([]string{"x", "y"})
			list := rapid.Permutation(entries).Draw(t, "order")
			for _, w := range append(list, list[:rapid.IntRange(0, len(list)).Draw(t, "twice")]...) {
				m := message{kind: update, from: "x", entries: []Entry{w}}
				b.Take(time.Second, m.encode())
			}
			stores[i] = b
		}
		if stores[0].digests != stores[1].digests {
			t.Fatalf("%+v and %+v", stores[0].Status(0), stores[1].Status(0))
		}
	})
}

// No packet may crash the Store or cause replies of more than 1300 bytes, and a packet that decodes must encode to
// the same bytes.
func FuzzTake(f *testing.F) {
	for _, m := range []message{{kind: confirmRequest, from: "x", entries: []Entry{{Host: "h", Out: true, Version: 1, By: "x"}}},
		{kind: confirmation, from: "x", entries: []Entry{{Host: "h", Version: 9, By: "y"}, {Host: "i", Version: 1, By: "y"}}}, {kind: digestRequest, from: "x"}, {kind: digestReply, from: "x"}} {
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
