package emulator

import (
	"math/rand/v2"
	"slices"

	"frostshift"
)

// Fleet is n hosts like one, spread over zones, in groups of so many in a zone. Their ids are
// thrown, as those of real hosts are.
func Fleet(like Host, n, zones, group int, r *rand.Rand) []Host {
	list := make([]Host, n)
	for i := range list {
		list[i] = like
		list[i].ID = frostshift.HostID(r.Uint64())
		list[i].Zone = i % zones
		list[i].Group = i / (group * zones)
	}
	return list
}

// Quantile is a time, in milliseconds, that a part of the served requests did not exceed.
func (t *Totals) Quantile(part float64) float64 {
	if len(t.took) == 0 {
		return 0
	}
	list := slices.Clone(t.took)
	slices.Sort(list)
	return float64(list[min(int(part*float64(len(list))), len(list)-1)])
}
