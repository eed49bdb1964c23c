package subset

import (
	"math/rand/v2"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

func fleet(n int, seed uint64) (list []Host) {
	r := rand.New(rand.NewPCG(seed, 1))
	for i := range n {
		list = append(list, Host{Key: r.Uint64(), Zone: i % 3, Group: i / 30})
	}
	return list
}

// For any pool and fleet, every host is used by the expected number of distinct gateways, also in a
// wider subset; Choose for one gateway agrees with Assign for all of them; and the order of the
// host list does not matter.
func TestEveryHostMeetsItsGateways(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		n := rapid.IntRange(0, 120).Draw(rt, "hosts")
		b := Fleet{Count: rapid.IntRange(1, 60).Draw(rt, "gateways"), Meet: rapid.IntRange(0, 20).Draw(rt, "meet"),
			Least: rapid.IntRange(0, 30).Draw(rt, "least"), Together: rapid.Bool().Draw(rt, "together")}
		wider := rapid.IntRange(1, 3).Draw(rt, "wider")
		hosts := fleet(n, rapid.Uint64().Draw(rt, "seed"))
		all := b.Assign(hosts, wider)
		sharers := min(b.Count, wider*b.Sharers(n))
		for i, list := range all {
			if len(list) != sharers || len(slices.Compact(slices.Sorted(slices.Values(list)))) != sharers {
				rt.Fatalf("host %d is used by %v, want %d gateways", i, list, sharers)
			}
		}
		rank := rapid.IntRange(0, b.Count-1).Draw(rt, "rank")
		reversed := slices.Clone(hosts)
		slices.Reverse(reversed)
		selected, fromReversed := b.Choose(hosts, rank, wider), b.Choose(reversed, rank, wider)
		for i := range hosts {
			if selected[i] != slices.Contains(all[i], rank) || selected[i] != fromReversed[n-1-i] {
				rt.Fatalf("host %d: Choose returned %v, %v with the list reversed, Assign returned %v", i, selected[i], fromReversed[n-1-i], all[i])
			}
		}
	})
}

// The load of the hosts is even, and every subset has hosts of each zone.
func TestLoadAndZones(t *testing.T) {
	for _, c := range []struct{ hosts, count int }{{100, 30}, {100, 100}, {1000, 100}} {
		hosts := fleet(c.hosts, 7)
		all := Fleet{Count: c.count}.Assign(hosts, 1)
		have := make([]float64, c.count)
		zones := make([][3]int, c.count)
		for i, list := range all {
			for _, g := range list {
				have[g]++
				zones[g][hosts[i].Zone]++
			}
		}
		mean := float64(c.count) / float64(c.hosts)
		for i, list := range all {
			load := 0.0
			for _, g := range list {
				load += 1 / have[g]
			}
			if load > 1.25*mean {
				t.Errorf("%+v: host %d has %.2f times the mean load", c, i, load/mean)
			}
		}
		for g, z := range zones {
			if slices.Min(z[:]) == 0 {
				t.Errorf("%+v: gateway %d has no host of some zone: %v", c, g, z)
			}
		}
	}
}

// Removing a host changes few assignments besides its own, and a gateway that assumes one gateway
// more than the others chooses nearly the same subset.
func TestLittleMoves(t *testing.T) {
	const count = 100
	hosts := fleet(1000, 9)
	b := Fleet{Count: count}
	before := b.Assign(hosts, 1)
	after := b.Assign(hosts[1:], 1)
	moved := 0
	for i := range after {
		for _, g := range after[i] {
			if !slices.Contains(before[i+1], g) {
				moved++
			}
		}
	}
	if moved > 2*b.Sharers(len(hosts)) {
		t.Errorf("%d assignments changed with the removal of one host, which had %d", moved, b.Sharers(len(hosts)))
	}
	for rank := range count {
		right, wrong := b.Choose(hosts, rank, 1), Fleet{Count: count + 1}.Choose(hosts, rank, 1)
		differ, have := 0, 0
		for i := range hosts {
			if right[i] {
				have++
			}
			if right[i] != wrong[i] {
				differ++
			}
		}
		if differ > have/4 {
			t.Errorf("gateway %d assuming one gateway more: %d of %d hosts differ", rank, differ, have)
		}
	}
}

// With Together, every subset that has a host of a zone and group has a second one, if the group has.
func TestTogether(t *testing.T) {
	hosts := fleet(300, 3)
	hosts = append(hosts, Host{Key: 1, Zone: 9, Group: 9}) // the only host of its group
	b := Fleet{Count: 50, Together: true}
	for rank := range b.Count {
		selected := b.Choose(hosts, rank, 1)
		groups := map[[2]int]int{}
		for i, h := range hosts {
			if selected[i] {
				groups[[2]int{h.Zone, h.Group}]++
			}
		}
		for g, n := range groups {
			if n < 2 && g != [2]int{9, 9} {
				t.Errorf("gateway %d has only one host of group %v", rank, g)
			}
		}
	}
}

func BenchmarkChoose(b *testing.B) {
	hosts := fleet(10000, 1)
	for b.Loop() {
		Fleet{Count: 100}.Choose(hosts, 50, 1)
	}
}

// With IDs, removing a gateway from the middle changes few assignments besides its own. With numbers
// alone it would change those of all gateways with higher numbers.
func TestOneThatLeavesMovesLittle(t *testing.T) {
	hosts := fleet(300, 3)
	r := rand.New(rand.NewPCG(8, 8))
	ids := make([]uint64, 60)
	for i := range ids {
		ids[i] = r.Uint64()
	}
	moved := func(withIDs bool) (n int) {
		b, c := Fleet{Count: 60}, Fleet{Count: 59}
		if withIDs {
			b.IDs, c.IDs = ids, slices.Delete(slices.Clone(ids), 20, 21)
		}
		before, after := b.Assign(hosts, 1), c.Assign(hosts, 1)
		for i := range hosts {
			for _, g := range before[i] {
				now := g
				if g > 20 {
					now--
				}
				if g != 20 && !slices.Contains(after[i], now) {
					n++
				}
			}
		}
		return n
	}
	all := 300 * Fleet{Count: 60}.Sharers(300)
	if movedWithIDs, movedWithNumbers := moved(true), moved(false); movedWithIDs > all/20 || movedWithNumbers < 4*movedWithIDs {
		t.Errorf("of %d assignments %d change with IDs, and %d with numbers alone", all, movedWithIDs, movedWithNumbers)
	}
}
