package override

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// fleet is gateways that tell each other overrides over a network that loses, doubles, delays and is cut, on one
// clock set by hand. All follows from a seed.
type fleet struct {
	r         *rand.Rand
	now       Time
	names     []string
	stores    []*Store
	applied   []map[string]Entry // what each gateway has carried out
	partition []int              // those of one side hear each other
	loss      float64
	packets   []delivery
	sent      int
}

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

// restart has a gateway begin with nothing.
func (f *fleet) restart(g int) { f.stores[g], f.applied[g] = New(f.names[g]), map[string]Entry{} }

// see gives each gateway its view.
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
			if f.r.IntN(10) > 0 { // the rest comes twice, or more often
				break
			}
		}
	}
}

func (f *fleet) apply(g int, w Entry) {
	f.applied[g][w.Host] = w
	f.stores[g].Done(w)
}

func (f *fleet) setOverride(g int, host string, out bool) Entry {
	w, err := f.stores[g].Set(f.now, host, out)
	if err != nil {
		panic(err)
	}
	f.apply(g, w)
	return w
}

func (f *fleet) run(length time.Duration, done func() bool) bool {
	for end := f.now + length; f.now < end; f.now += 5 * time.Millisecond {
		var due []delivery
		f.packets = slices.DeleteFunc(f.packets, func(l delivery) bool {
			if l.at > f.now {
				return false
			}
			due = append(due, l)
			return true
		})
		for _, l := range due {
			to := slices.Index(f.names, l.to)
			if f.partition[to] != f.partition[l.from] {
				continue
			}
			out, entries := f.stores[to].Take(f.now, l.data)
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

// alike says whether all do the same.
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

// Overrides of operators at any gateways, through loss, doubles, cuts in up to three sides and restarts: all who hear each other
// do the same within the stated time, and it is the last override by version; what was said to all is true.
func TestAllDoTheLastWord(t *testing.T) {
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
			case 1: // one begins anew: what it alone knew is gone, what others have comes back to it
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
				for w := range unconfirmed { // a yes is true of all who were alive and are
					s, ok := f.stores[slices.Index(f.names, w.By)].Lookup(f.now, w.Host)
					if !ok || s.Entry != w || !s.Asked || !s.Holds || len(s.Lack)+len(s.Away) > 0 {
						continue
					}
					for g, applied := range f.applied {
						if d := applied[w.Host]; w.after(d) && f.partition[g] == f.partition[slices.Index(f.names, w.By)] && d.Host != "" {
							t.Fatalf("seed %d: %+v holds at all, and %s does %+v", seed, w, f.names[g], d)
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
			t.Fatalf("seed %d: they do not agree 20 s after healing", seed)
		}
		if took := f.now - healed; f.loss == 0 && took > 2*Every {
			t.Errorf("seed %d: agreed after %v", seed, took)
		}
		for host, w := range last {
			if got := f.applied[0][host]; got != w {
				t.Errorf("seed %d: all do %+v, the last override is %+v", seed, got, w)
			}
		}
	}
}

// A ban and a call back in the instant of a cut are of one version: the ban counts. One who had heard the ban calls back for
// good, whoever comes late with it.
func TestALateWordUndoesNothing(t *testing.T) {
	f := newFleet(1, 3)
	f.partition = []int{0, 1, 1}
	f.updateViews()
	f.setOverride(0, "h", true)
	f.setOverride(1, "h", false)
	f.run(time.Second, nil)
	if f.applied[2]["h"].Out || !f.applied[0]["h"].Out {
		t.Fatal("each side goes by its own override")
	}
	f.partition = []int{0, 0, 0}
	f.updateViews()
	f.run(3*Every, f.converged)
	for g := range f.applied {
		if !f.applied[g]["h"].Out {
			t.Errorf("%s uses it", f.names[g])
		}
	}
	f.partition = []int{0, 1, 1} // the first keeps the ban, the others call back and ban and call back
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
			t.Errorf("%s: a ban that was held up counts", f.names[g])
		}
	}
}

// Three hundred with a thousand overrides cost a digest a second each when nothing is said, and one that begins anew has all
// within some rounds; a yes comes from all who live.
func TestManyWords(t *testing.T) {
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
		t.Error("not all 300 have said that it holds")
	}
	f.restart(7)
	f.updateViews()
	if !f.run(6*Every, f.converged) {
		t.Errorf("one that began anew has %d overrides of 1000", len(f.applied[7]))
	}
}

// There is a bound, and overrides that call back make room.
func TestWordsAreBounded(t *testing.T) {
	b := New("g")
	now := time.Second
	for i := range MaxHosts {
		if _, err := b.Set(now, fmt.Sprint(i), i != 5); err != nil {
			t.Fatal(err)
		}
	}
	if _, err := b.Set(now, "one more", true); err != nil {
		t.Errorf("%v, though one override calls back", err)
	}
	if _, err := b.Set(now, "and another", true); err != ErrFull {
		t.Errorf("%v beyond the bound", err)
	}
	b.Set(now, "7", false)
	b.SetAlive([]string{"h"})
	b.Tick(now + returnedRetention)
	if _, kept := b.Lookup(now+returnedRetention, "7"); kept {
		t.Error("an override that calls back is kept for ever")
	}
	again := New("h")
	for _, e := range b.entries {
		again.insert(e.Entry)
	}
	if again.digests != b.digests {
		t.Error("the digests are not those of the overrides")
	}
}

// Overrides come in any order, any number of times, through anybody: what counts is the same.
func TestWordsMerge(t *testing.T) {
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

// What comes from a socket neither breaks nor grows a book beyond its bound, and what is a message keeps its form.
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
			if again := m.encode(); string(again) != string(data) {
				t.Errorf("%x became %x", data, again)
			}
		}
	})
}
