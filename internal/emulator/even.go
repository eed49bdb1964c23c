package emulator

import (
	"math"
	"time"
)

// Evenness is how the requests of a stretch of time fell on the hosts of a pool.
type Evenness struct {
	// Least and Most are the smallest and the largest part of a host, over its fair one.
	Least, Most float64
	// Spread is the variance of arrivals in EvenSlot over their mean: 1 where each request
	// goes to a host drawn at random.
	Spread float64
	// Idle is the longest time in which a host got nothing.
	Idle time.Duration
}

// EvenSlot is long beside the work of a request, and short beside what the load does.
const EvenSlot = 500 * time.Millisecond

func (h *Host) count(since time.Duration) {
	slot := int(since / EvenSlot)
	for len(h.slots) <= slot {
		h.slots = append(h.slots, 0)
	}
	h.slots[slot]++
}

// Evenness is that of the hosts that fit names, from one time to another since the beginning;
// nil: of all.
func (w *World) Evenness(pool int, from, to time.Duration, fit func(i int) bool) Evenness {
	slots := make([][]int, len(w.hosts[pool]))
	for i, h := range w.hosts[pool] {
		slots[i] = h.slots
	}
	return EvennessOf(slots, from, to, fit)
}

// EvennessOf is that of arrivals counted by host and by EvenSlot since the beginning.
func EvennessOf(slots [][]int, from, to time.Duration, fit func(i int) bool) (e Evenness) {
	first, last := int(from/EvenSlot), int(to/EvenSlot)
	sums, squares := make([]float64, last-first), make([]float64, last-first) // over hosts
	var parts []float64
	all := 0.0
	for i, host := range slots {
		if fit != nil && !fit(i) {
			continue
		}
		part, quiet := 0.0, time.Duration(0)
		for s := range sums {
			n := 0.0
			if first+s < len(host) {
				n = float64(host[first+s])
			}
			part, sums[s], squares[s] = part+n, sums[s]+n, squares[s]+n*n
			if quiet += EvenSlot; n > 0 {
				quiet = 0
			}
			e.Idle = max(e.Idle, quiet)
		}
		parts, all = append(parts, part), all+part
	}
	e.Least = math.Inf(1)
	n := float64(len(parts))
	for _, p := range parts {
		e.Least, e.Most = min(e.Least, p*n/all), max(e.Most, p*n/all)
	}
	for s := range sums { // between hosts, slot by slot: what the load does is left out
		e.Spread += (squares[s] - sums[s]*sums[s]/n) / (n - 1) / (all / n)
	}
	return e
}
