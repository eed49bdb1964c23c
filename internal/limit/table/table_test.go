package table

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"

	"pgregory.net/rapid"
)

const second = int64(1e9)

// use requests one unit for a key. Like a limit rule, it grants it if the level is at most the burst.
func use(t *Table, key uint64, now int64, rate, burst float64) bool {
	set, e := t.Get(key, now, rate)
	defer set.Unlock()
	level := e.Level(set.Now, rate)
	ok := level <= burst
	e.Count(!ok)
	if ok {
		level++
	}
	e.Set(set.Now, level)
	return ok
}

// Compares levels with those of a plain map, for any requests: while no key was forgotten, no level
// is too low, and while no key was evicted, each level is exact.
func TestLevelsAgainstAPlainMap(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tab := New(1)
		type plain struct {
			at    int64
			level float64
		}
		exact := map[uint64]plain{}
		rate := rapid.Float64Range(0.001, 1000).Draw(t, "rate")
		r := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		keyCount := rapid.IntRange(1, 2000).Draw(t, "keys")
		now := int64(0)
		for range 3000 {
			if now += r.Int64N(second / 10); r.IntN(50) == 0 {
				now = max(0, now-r.Int64N(second)) // the clock goes back
			}
			key := mix(uint64(r.IntN(keyCount)+1), 0xd6e8feb86659fd93) | 1
			cost := r.Float64() * 3
			set, e := tab.Get(key, now, rate)
			got := e.Level(set.Now, rate)
			p := exact[key]
			p.level = max(0, p.level-rate*float64(set.Now-p.at)*1e-9)
			p.at = set.Now
			e.Set(set.Now, got+cost)
			set.Unlock()
			if set.Now < now {
				t.Fatalf("the table uses instant %d, want at least %d", set.Now, now)
			}
			c := tab.Counts()
			if tol := 1e-6 * (1 + got); c.Forgotten == 0 && got < p.level-tol || c.GaveWay == 0 && math.Abs(got-p.level) > tol {
				t.Fatalf("level %v, want %v; %+v", got, p.level, c)
			}
			p.level += cost
			exact[key] = p
		}
	})
}

// flood sends one request for each of n new random keys, and returns how many were granted.
func flood(t *Table, r *rand.Rand, n int, now int64, rate, burst float64) (passed int) {
	for range n {
		if use(t, r.Uint64(), now, rate, burst) {
			passed++
		}
	}
	return passed
}

// A flood of new keys, about a hundred times the table's capacity, neither causes requests of a key
// below its rate to be refused nor lets a key above its rate exceed its limit.
func TestFloodOfNewKeys(t *testing.T) {
	for _, burst := range []float64{0, 1, 5} {
		t.Run(fmt.Sprint("burst ", burst), func(t *testing.T) {
			r := rand.New(rand.NewPCG(7, uint64(burst)))
			tab := New(2048)
			const rate, seconds = 10.0, 20
			quiet, heavy := r.Uint64(), r.Uint64()
			quietPassed, heavyPassed := 0, 0
			for tick := range int64(seconds * 10) {
				now := tick * second / 10
				flood(tab, r, 1000, now, rate, burst)
				for range 5 {
					if use(tab, heavy, now, rate, burst) {
						heavyPassed++
					}
				}
				if tick%2 == 0 && use(tab, quiet, now, rate, burst) { // half of the rate
					quietPassed++
				}
			}
			if quietPassed != seconds*5 {
				t.Errorf("the key below its rate passed %d times of %d", quietPassed, seconds*5)
			}
			if maxPassed := int(rate*seconds + burst + 1); heavyPassed > maxPassed || heavyPassed < maxPassed-int(rate) {
				t.Errorf("the key above its rate passed %d times, want %d", heavyPassed, maxPassed)
			}
			if c := tab.Counts(); c.GaveWay == 0 {
				t.Errorf("no key was evicted: %+v", c)
			}
		})
	}
}

// More keys than the table holds, all at their limits: unknown keys are wrongly refused no more often
// than follows from the maximum load of the sketch, and each forgotten eviction lets at most one extra
// unit pass.
func TestFloodOfHeavyKeys(t *testing.T) {
	r := rand.New(rand.NewPCG(3, 3))
	tab := New(1 << 14)
	const rate, burst = 0.01, 0.0 // one unit drains in 100 s, so nothing drains here
	passed := 0
	keys := make([]uint64, 3*tab.Keys())
	for i := range keys {
		keys[i] = r.Uint64()
	}
	for range 6 {
		for _, k := range keys {
			if use(tab, k, second, rate, burst) {
				passed++
			}
		}
	}
	refused, lookups := 0, 200000
	for range lookups {
		if !use(tab, r.Uint64(), second, rate, burst) {
			refused++
		}
	}
	bound := math.Pow(1-2*(1-maxSketchLoad)+math.Pow(1-maxSketchLoad, 13.0/7), keyBlocks)
	if got := float64(refused) / float64(lookups); got > bound {
		t.Errorf("%.5f of unknown keys were refused, want at most %.5f", got, bound)
	}
	c := tab.Counts()
	if c.Forgotten == 0 {
		t.Fatalf("no key was forgotten: %+v", c)
	}
	if maxPassed := len(keys) + int(c.Forgotten); passed > maxPassed {
		t.Errorf("%d passed, want at most %d", passed, maxPassed)
	}
}

// A drain time too long to represent is capped instead of overflowing, so the level is not lost.
func TestLevelsWithoutEnd(t *testing.T) {
	tab := New(1)
	for i := range uint64(ways + 1) {
		set, e := tab.Get(i<<20|1, 0, 1e-300)
		e.Set(0, 1e9)
		e.Count(false)
		e.Count(false)
		set.Unlock()
	}
	if c := tab.Counts(); c.GaveWay != 1 {
		t.Fatalf("%+v", c)
	}
	set, e := tab.Get(1, second, 1)
	if e.Level(set.Now, 1) < 1 {
		t.Errorf("the level was lost: %v", e.Level(set.Now, 1))
	}
	set.Unlock()
}

func FuzzTable(f *testing.F) {
	f.Add([]byte{1, 2, 3, 4, 5, 6, 7, 8, 9})
	f.Fuzz(func(t *testing.T, ops []byte) {
		tab := New(1)
		now := int64(0)
		for len(ops) >= 4 {
			now = max(0, now+int64(int8(ops[0]))*second/8)
			rate := float64(ops[1]) + 0.5
			set, e := tab.Get(uint64(ops[2])<<int(ops[3]%64), now, rate)
			if l := e.Level(set.Now, rate); !(l >= 0) {
				t.Fatalf("a level of %v", l)
			}
			e.Set(set.Now, e.Level(set.Now, rate)+float64(ops[3]))
			set.Unlock()
			ops = ops[4:]
		}
		tab.Each(now, 1, func(level float64) {
			if !(level > 0) {
				t.Fatalf("a level of %v", level)
			}
		})
	})
}

// benchmark measures lookups of keys drawn at random from the given number of distinct keys.
func benchmark(b *testing.B, tab *Table, distinct uint64, rate float64) {
	b.ReportAllocs()
	r := rand.New(rand.NewPCG(1, 1))
	now := int64(0)
	for b.Loop() {
		now += 5000
		use(tab, mix(r.Uint64N(distinct)+1, 0xd6e8feb86659fd93), now, rate, 5)
	}
}

// Measures lookups of keys that the table holds and of mostly new ones: 1,000, a million and
// 100 million distinct keys.
func BenchmarkTable(b *testing.B) {
	for _, n := range []uint64{1e3, 1e6, 1e8} {
		b.Run(fmt.Sprint(n), func(b *testing.B) { benchmark(b, New(1<<16), n, 10) })
	}
}

// Measures the same with a plain map for comparison. It evicts nothing, so its memory grows with the
// number of keys.
func BenchmarkMap(b *testing.B) {
	for _, n := range []uint64{1e3, 1e6} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			b.ReportAllocs()
			r := rand.New(rand.NewPCG(1, 1))
			m := map[uint64]*Entry{}
			now := int64(0)
			for b.Loop() {
				now += 5000
				key := r.Uint64N(n) + 1
				e := m[key]
				if e == nil {
					e = &Entry{}
					m[key] = e
				}
				level := e.Level(now, 10)
				if level <= 5 {
					level++
				}
				e.Set(now, level)
			}
		})
	}
}
