package share

import (
	"testing"

	"pgregory.net/rapid"
)

// For any sequence of calls, a holder can always take the unused rest of its guaranteed share, the
// entire remainder can be lent, and no more than the total is in use unless a share was guaranteed
// that had already been lent.
func TestGuaranteesHoldAndTheRestIsLent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		total := rapid.Int64Range(1, 40).Draw(t, "total")
		b := New(total)
		type state struct{ part, used int64 }
		model := map[*Holder]*state{}
		var order []*Holder
		left := int64(0) // what holders that have left still use
		var departed []*Holder
		departedUsed := map[*Holder]int64{}
		pick := func() *Holder { return order[rapid.IntRange(0, len(order)-1).Draw(t, "holder")] }
		claimed := func() (n int64) {
			for _, s := range model {
				n += max(s.part, s.used)
			}
			return n + left
		}
		guaranteed := func() (n int64) {
			for _, s := range model {
				n += s.part
			}
			return n
		}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			switch op := rapid.IntRange(0, 4).Draw(t, "op"); {
			case op == 0 || len(order) == 0:
				part := rapid.Int64Range(0, total).Draw(t, "part")
				h, err := b.Join(part)
				if (err == nil) != (guaranteed()+part <= total) {
					t.Fatalf("join with %d of %d, %d guaranteed: %v", part, total, guaranteed(), err)
				}
				if err == nil {
					model[h] = &state{part: part}
					order = append(order, h)
				}
			case op == 1:
				h, n := pick(), rapid.Int64Range(1, 5).Draw(t, "n")
				s := model[h]
				within := s.used+n <= s.part
				lent := claimed()+max(s.part, s.used+n)-max(s.part, s.used) <= total
				if got := h.Take(n); got != (within || lent) {
					t.Fatalf("take %d by %+v, %d of %d claimed: %v", n, *s, claimed(), total, got)
				} else if got {
					s.used += n
				}
			case op == 2:
				h := pick()
				if s := model[h]; s.used > 0 {
					n := rapid.Int64Range(1, s.used).Draw(t, "n")
					h.Give(n)
					s.used -= n
				}
			case op == 3:
				h, part := pick(), rapid.Int64Range(0, total).Draw(t, "part")
				fits := guaranteed()-model[h].part+part <= total
				if err := b.Divide(map[*Holder]int64{h: part}); (err == nil) != fits {
					t.Fatalf("divide: %v, fits: %v", err, fits)
				} else if fits {
					model[h].part = part
				}
			case op == 4:
				h := pick()
				h.Leave()
				left += model[h].used
				departedUsed[h] = model[h].used
				departed = append(departed, h)
				delete(model, h)
				for i := range order {
					if order[i] == h {
						order = append(order[:i], order[i+1:]...)
						break
					}
				}
				if len(departed) > 1 { // a holder that left earlier returns what it still uses
					g := departed[0]
					departed = departed[1:]
					g.Give(departedUsed[g])
					left -= departedUsed[g]
				}
			}
			var sum int64
			for h, s := range model {
				if h.Used() != s.used {
					t.Fatalf("the holder uses %d, want %d", h.Used(), s.used)
				}
				sum += s.used
			}
			if b.Used() != sum+left {
				t.Fatalf("%d are in use, want %d", b.Used(), sum+left)
			}
		}
	})
}

// A holder that takes all it can leaves the other holders their guaranteed shares.
func TestGreedyHolderLeavesTheOthersTheirPart(t *testing.T) {
	b := New(100)
	greedy, err := b.Join(20)
	if err != nil {
		t.Fatal(err)
	}
	other, err := b.Join(30)
	if err != nil {
		t.Fatal(err)
	}
	n := 0
	for greedy.Take(1) {
		n++
	}
	if n != 70 {
		t.Errorf("the greedy holder got %d, want all but the other's 30", n)
	}
	for i := range 30 {
		if !other.Take(1) {
			t.Fatalf("the other holder got %d of its 30", i)
		}
	}
	if other.Take(1) {
		t.Error("more than the total was taken")
	}
	if _, err := b.Join(60); err == nil {
		t.Error("more than the total was guaranteed")
	}
}
