package body

import (
	"testing"

	"pgregory.net/rapid"

	"frostshift"
)

// What the rules forbid holds in every cell of the table.
func TestNoCellOfTheTableBreaksARule(t *testing.T) {
	for s := Partial; s <= Dropped; s++ {
		for e := Event(0); e < events; e++ {
			for _, effect := range Effects {
				w := May(s, e, effect)
				ran := e >= Cut
				switch {
				case s == Dropped && (w.Has(Again) || w.Has(Elsewhere)):
					t.Errorf("%v, %v, %v: sent again without its beginning", s, e, effect)
				case ran && w.Has(Elsewhere):
					t.Errorf("%v, %v, %v: handed on though it may have run", s, e, effect)
				case ran && effect == frostshift.Unsafe && w != 0:
					t.Errorf("%v, %v: an unsafe request that may have run has ways %v", s, e, w)
				case ran && effect == frostshift.Keyed && w.Has(Refuse):
					t.Errorf("%v, %v: a keyed request that may have run is refused", s, e)
				case effect == frostshift.Keyed && w.Has(Elsewhere):
					t.Errorf("%v, %v: a keyed request leaves its pool", s, e)
				case e >= Begun && w != 0:
					t.Errorf("%v, %v, %v: ways %v after the client has had a part", s, e, effect, w)
				case !ran && !w.Has(Refuse):
					t.Errorf("%v, %v, %v: no refusal though nothing ran", s, e, effect)
				}
			}
		}
	}
}

// Against a plain model: what is kept is always all that has come, within the bounds, or
// nothing, and a body that was dropped never comes back.
func TestReplayKeepsAllOrNothing(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := Bounds{Memory: rapid.Int64Range(0, 50).Draw(t, "memory"), Disk: rapid.Int64Range(0, 100).Draw(t, "disk"), Length: -1}
		r := NewReplay(b)
		var memory, disk, came int64
		dropped := false
		for range rapid.IntRange(0, 30).Draw(t, "steps") {
			switch rapid.IntRange(0, 9).Draw(t, "what") {
			case 0:
				r.Lose()
				memory, disk, dropped = 0, 0, true
			case 1:
				r.NoDisk()
				if disk > 0 {
					disk, dropped = 0, true
				}
			default:
				n, needed := rapid.Int64Range(1, 20).Draw(t, "bytes"), rapid.Bool().Draw(t, "needed")
				came += n
				switch r.Took(n, needed) {
				case Keep:
					memory += n
					if memory > b.Memory && !needed {
						t.Fatalf("%d bytes in memory of %d", memory, b.Memory)
					}
				case Spill:
					disk, memory = disk+memory+n, 0
					if disk > b.Disk && !needed {
						t.Fatalf("%d bytes on disk of %d", disk, b.Disk)
					}
				case Drop:
					memory, disk, dropped = 0, 0, true
				}
			}
			if dropped != (r.State() == Dropped) {
				t.Fatalf("state %v, dropped %v", r.State(), dropped)
			}
			if !dropped && memory+disk != came {
				t.Fatalf("state %v: %d in memory and %d on disk of %d", r.State(), memory, disk, came)
			}
			if (r.State() == Spilled) != (disk > 0) {
				t.Fatalf("state %v with %d on disk", r.State(), disk)
			}
		}
		before := r.State()
		r.End()
		if after := r.State(); before == Partial && after != Whole || before != Partial && after != before {
			t.Fatalf("%v became %v at the end", before, after)
		}
	})
}

func TestLengthsAreHeldToWhatWasSaid(t *testing.T) {
	r := NewReplay(Bounds{Memory: 100, Length: 10, Most: 20})
	if r.OffLength(10) || !r.OffLength(11) || r.TooLong(20) || !r.TooLong(21) {
		t.Error("the bounds are off")
	}
	r.Took(4, false)
	if r.End() {
		t.Error("4 of 10 bytes passed for all")
	}
	if open := NewReplay(Bounds{Length: -1}); !open.End() {
		t.Error("a body of no told length can't end")
	}
}
