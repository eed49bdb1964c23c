package shift

import (
	"errors"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// A key with a third of the traffic, costly and failing, is one throw of the dice.
func TestHeavyKeyIsSetAside(t *testing.T) {
	for seed := range uint64(8) {
		p := plan()
		m := New(time.Hour, p)
		r := rand.New(rand.NewPCG(seed, 1))
		now := time.Hour
		side := NewPool
		for range 60_000 {
			now += 5 * time.Millisecond
			key := r.Uint64() | 1
			if r.IntN(3) == 0 {
				key = 12345
			}
			a := Ask{Key: key, Named: true, Worth: 1, Aim: time.Second, Sticky: key, Draw: Draw(key * 0x9e3779b97f4a7c15)}
			if key == 12345 {
				a.Draw = 0.05 // it falls to the new pool
			}
			u, err := m.Place(now, &a)
			if err != nil {
				t.Fatal(err)
			}
			m.Ended(now+time.Millisecond, &u, End{Good: key != 12345 || r.IntN(2) == 0})
			if key == 12345 {
				side = u.Side
			}
			if now%(100*time.Millisecond) < 5*time.Millisecond {
				m.Tick(now, fine, fine)
			}
		}
		for _, d := range m.Decisions() {
			if d.Cause == Fell && d.At > time.Hour+20*time.Second {
				t.Errorf("seed %d: undone by one key in %v: %+v", seed, side, d)
			}
		}
		if m.books.setAside < 9_000 {
			t.Errorf("%d units set aside", m.books.setAside)
		}
	}
}

// A key stays with the pool of its first try: whatever steps, falls and restarts come between.
func TestKeysStay(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		p := plan()
		p.Window = 20 * time.Second
		p.Least = 2 * time.Second
		now := time.Hour
		wall := func() time.Time { return time.Unix(1_800_000_000, int64(now)) }
		m := New(now, p)
		if rapid.Bool().Draw(rt, "small") {
			m.keys.now.most, m.keys.old.most = 40, 40
		}
		type first struct {
			at   Time
			side Side
		}
		went := map[uint64]first{}
		saved := m.Save(now, wall())
		remember := func() {
			saved = m.Save(now, wall())
			m.Grant(now, &saved)
		}
		bad := false
		unsure := 0
		next := uint64(0)
		for range rapid.IntRange(20, 300).Draw(rt, "events") {
			switch rapid.IntRange(0, 11).Draw(rt, "what") {
			case 0, 1, 2, 3, 4:
				for range 10 {
					next++
					key := next * 0x9e3779b97f4a7c15
					if next%3 == 0 && len(went) > 0 { // an old one again
						key = (uint64(rapid.IntRange(1, int(next)).Draw(rt, "again"))) * 0x9e3779b97f4a7c15
					}
					u, err := m.Place(now, &Ask{Key: key, Named: true, Keyed: true, Worth: 1, Aim: time.Second, Sticky: key, Draw: Draw(key ^ key<<17)})
					if err != nil {
						unsure++
						continue
					}
					if f, ok := went[key]; ok && now-f.at <= p.Window {
						if f.side != u.Side {
							rt.Fatalf("key %x went to %v at %v and to %v at %v", key, f.side, f.at, u.Side, now)
						}
					} else {
						went[key] = first{now, u.Side}
					}
					m.Ended(now, &u, End{Good: !(bad && u.Side == NewPool)})
				}
			case 5, 6:
				now += time.Duration(rapid.IntRange(1, 3000).Draw(rt, "ms")) * time.Millisecond
				m.Tick(now, fine, fine)
			case 7:
				for range 50 {
					now += 100 * time.Millisecond
					m.Tick(now, fine, fine)
				}
			case 8:
				remember()
			case 9:
				bad = !bad
			case 10:
				m.Tell(now, rapid.SampledFrom([]Cause{Pause, Resume, Back}).Draw(rt, "word"))
			case 11: // a crash: what was saved last is what is known
				if err := saved.Check(); err != nil {
					rt.Fatal(err)
				}
				now += time.Duration(rapid.IntRange(0, 5000).Draw(rt, "down")) * time.Millisecond
				m = Restore(now, p, &saved, wall(), true)
				remember()
			}
		}
		// The move is taken out: a key still goes where it went, or nothing tells.
		m.Retire(now)
		for key, f := range went {
			if now-f.at > p.Window {
				continue
			}
			pool, known, err := m.Pool(now, key, Draw(key^key<<17))
			if err == nil && (!known || pool != m.PoolOf(f.side)) {
				rt.Fatalf("key %x went to %v at %v, and to %q at %v, when the move was taken out", key, f.side, f.at, pool, now)
			}
		}
	})
}

// A key that an earlier process may have dealt to either pool belongs to none, once its move
// is taken out as much as before. In memory it is of the older generation, or it is too new.
func TestUnsureKeysStayUnsure(t *testing.T) {
	const window = 20 * time.Second
	p := plan()
	p.Window = window
	now := time.Hour
	wall := func() time.Time { return time.Unix(1_800_000_000, int64(now)) }
	for _, generation := range []string{"older", "lost"} {
		t.Run(generation, func(t *testing.T) {
			m := New(now, p)
			m.state, m.step, m.share = Held, 0, 0.5
			m.granted = span{0.1, 0.5}
			m.keys.pinUntil = 0
			m.dealt(now)
			ask := Ask{Key: 12345, Named: true, Keyed: true, Worth: 1, Aim: time.Second, Sticky: 12345, Draw: 0.3}
			saved := m.Save(now, wall())
			if u, err := m.Place(now, &ask); err != nil || u.Side != NewPool {
				t.Fatal(u.Side, err)
			}
			if generation == "older" {
				m.keys.old, m.keys.now = m.keys.now, m.keys.old
				saved = m.Save(now, wall())
			}
			saved.Low = 0.1
			m = Restore(now, p, &saved, wall(), true)
			if _, err := m.Place(now, &ask); !errors.Is(err, ErrUnsure) {
				t.Fatalf("after a restart: %v", err)
			}
			m.Retire(now)
			if pool, _, err := m.Pool(now, ask.Key, ask.Draw); !errors.Is(err, ErrUnsure) {
				t.Errorf("after the move was taken out: %q, %v", pool, err)
			}
			if pool, known, err := m.Pool(now, 777, 0.7); pool != p.From || !known || err != nil {
				t.Errorf("a key that only the old pool can have: %q %v %v", pool, known, err)
			}
			if _, known, err := m.Pool(now+window+time.Second, ask.Key, ask.Draw); known || err != nil {
				t.Errorf("a window later: %v %v", known, err)
			}
		})
	}
}

// A key comes again in the last moment of its window, where memory was full or nothing tells since a restart.
func TestKeyIsKeptToTheLastMomentOfItsWindow(t *testing.T) {
	const window = 20 * time.Second
	p := plan()
	p.Window = window
	wall := time.Unix(1_800_000_000, 0)
	start := time.Hour
	ask := Ask{Key: 12345, Named: true, Keyed: true, Worth: 1, Aim: time.Second, Sticky: 12345, Draw: 0.3}
	half := func() *Move { // all of its keys have been dealt by the half
		m := New(start, p)
		m.state, m.share = Held, 0.5
		m.granted = span{0, 0.5}
		m.keys.pinUntil = 0
		m.dealt(start)
		return m
	}
	t.Run("no room", func(t *testing.T) {
		m := half()
		m.keys.now.most, m.keys.old.most = 0, 0
		first, err := m.Place(start, &ask)
		if err != nil {
			t.Fatal(err)
		}
		m.share = 0
		if again, err := m.Place(start+window, &ask); err != nil || again.Side != first.Side {
			t.Errorf("it went to %v, and a window later to %v (%v)", first.Side, again.Side, err)
		}
	})
	t.Run("not saved", func(t *testing.T) {
		m := half()
		saved := m.Save(start, wall)
		saved.Low = 0 // the share was on its way
		if _, err := m.Place(start, &ask); err != nil {
			t.Fatal(err)
		}
		m = Restore(start, p, &saved, wall, true)
		if again, err := m.Place(start+window, &ask); !errors.Is(err, ErrUnsure) {
			t.Errorf("a window after a restart it went to %v (%v)", again.Side, err)
		}
	})
	t.Run("saved, but older", func(t *testing.T) {
		m := half()
		if _, err := m.Place(start, &ask); err != nil {
			t.Fatal(err)
		}
		m.keys.old, m.keys.now = m.keys.now, m.keys.old
		saved := m.Save(start, wall)
		saved.Low, saved.High, saved.Dealt = 0, 0, nil
		m = Restore(start, p, &saved, wall, true)
		if again, err := m.Place(start+window, &ask); !errors.Is(err, ErrUnsure) {
			t.Errorf("a window after a restart it went to %v (%v)", again.Side, err)
		}
	})
	t.Run("another process dealt it", func(t *testing.T) {
		m := half()
		saved := m.HandOver(start, wall)
		next := TakeUp(start, p, &saved, wall)
		first, err := m.Place(start, &ask)
		if err != nil {
			t.Fatal(err)
		}
		next.Alone(start)
		next.share = 0
		if again, err := next.Place(start+window, &ask); err != nil || again.Side != first.Side {
			t.Errorf("it went to %v, and a window later to %v (%v)", first.Side, again.Side, err)
		}
	})
	t.Run("nothing is known", func(t *testing.T) {
		if again, err := Unsure(start, p).Place(start+window, &ask); !errors.Is(err, ErrUnsure) {
			t.Errorf("a window later it went to %v (%v)", again.Side, err)
		}
	})
}

// A set of keys does what a map does.
func TestKeySet(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		set, plain := keySet{most: 500}, map[uint64]Side{}
		for range rapid.IntRange(0, 2000).Draw(rt, "n") {
			key := uint64(rapid.IntRange(0, 900).Draw(rt, "key")) << 1
			key |= key << 40
			side, ok := set.find(key)
			want, known := plain[key]
			if ok != known || side != want {
				rt.Fatalf("key %x: %v %v, want %v %v", key, side, ok, want, known)
			}
			if s := Side(key >> 2 & 1); !ok && set.put(key, s) != (len(plain) < 500) {
				rt.Fatalf("%d keys: put", len(plain))
			} else if !ok && len(plain) < 500 {
				plain[key] = s
			}
		}
	})
}

// The set of keys beside a map, a million of them.
func BenchmarkKeys(b *testing.B) {
	b.Run("ours", func(b *testing.B) {
		b.ReportAllocs()
		set := keySet{most: mostKeys}
		for i := 0; b.Loop(); i++ {
			key := uint64(i) * 0x9e3779b97f4a7c15
			if _, ok := set.find(key); !ok && !set.put(key, NewPool) {
				set.clear()
			}
		}
	})
	b.Run("map", func(b *testing.B) {
		b.ReportAllocs()
		set := map[uint64]Side{}
		for i := 0; b.Loop(); i++ {
			key := uint64(i) * 0x9e3779b97f4a7c15
			if _, ok := set[key]; !ok {
				if len(set) >= mostKeys {
					clear(set)
				}
				set[key] = NewPool
			}
		}
	})
}
