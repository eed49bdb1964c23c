package heavy

import (
	"fmt"
	"math/rand/v2"
	"testing"
)

// Every key with more than 1/size of the total weight is in the list, no count is too low, and none
// is too high by more than its error.
func TestHeavyKeys(t *testing.T) {
	for seed := range uint64(20) {
		r := rand.New(rand.NewPCG(seed, 2))
		l, exact, total := New(16, 8), map[uint64]float64{}, 0.0
		for range 5000 {
			key := r.Uint64N(1 << r.Uint64N(12))
			w := 1 + r.Float64()
			l.Add(key, w, func() string { return fmt.Sprint("key ", key, " and more") })
			exact[key] += w
			total += w
		}
		listed := map[uint64]Key{}
		for _, k := range l.Top(100) {
			listed[k.Hash] = k
			if k.Count < exact[k.Hash]-1e-6 || k.Count-k.Error > exact[k.Hash]+1e-6 || len(k.Name) > 8 {
				t.Errorf("%+v, want count %v", k, exact[k.Hash])
			}
		}
		for key, n := range exact {
			if _, in := listed[key]; n > total/16 && !in {
				t.Errorf("key %d has %v of %v and is not in the list", key, n, total)
			}
		}
	}
}

// A key that was heavy decays and is outranked by a newly added one, also after so many calls of Fade
// that the counts are normalized.
func TestFade(t *testing.T) {
	l := New(2, 9)
	for range 1000 {
		l.Add(1, 1, func() string { return "old" })
	}
	for range 2000 {
		l.Fade(0.5)
		l.Fade(2) // not below 1, ignored
	}
	l.Add(2, 1, func() string { return "new" })
	if top := l.Top(1); top[0].Name != "new" || top[0].Count < 0.99 || top[0].Count > 1.01 {
		t.Errorf("%+v", top)
	}
}
