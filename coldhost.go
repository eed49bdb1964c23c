// What the balancer of api.go sends to hosts that have just started: how cold each is, and the pace
// at which all instances together stay within what it bears (slow start).

package frostshift

import "math"

func (b *Balancer) markCold(h *host, since Time) {
	if b.set.ColdFrom < 1 && b.now-since < b.set.WarmAfter {
		h.cold, h.coldAt, h.staggered = true, since, false
	}
}

// startOf is when a host started, as far as its own word may be taken: it is told by a clock that may
// be off by any time from this instance's. No start lies far ahead, and one that is news did not
// happen long ago. One that lies ahead by less has the pace of its first moment until then.
func (b *Balancer) startTime(entry *Host, kind ListKind) Time {
	if entry.Started-b.now > maxStartAhead || kind == ListChanges && b.now-entry.Started > maxReportedStartAge {
		return b.now
	}
	return entry.Started
}

// coldHold paces sends to a host that has just started, so that the fleet as a whole stays
// within its budget. It acts while the host is cold: credit for sends grows at this instance's
// part of the budget. Each whole one lapses by itself where it is not used soon (or where it is
// the only one of the fleet): so instances keep their places in the cycle, which ranks spread
// evenly, whatever traffic they have (docs/design/endings.md has the bound and its proof).
func (b *Balancer) coldBlocked(h *host) bool {
	age := max(0, b.now-h.coldAt)
	if h.cold = h.cold && age < b.set.WarmAfter; !h.cold {
		return false
	}
	if !h.staggered { // as if it had counted from the start; what fell due before it heard is not its
		_, h.credit = math.Modf(b.cycleOffset(h) + b.coldRate(h, age/2)*age.Seconds())
		h.creditAt, h.staggered = b.now, true
	}
	if dt := b.now - h.creditAt; dt > 0 {
		n, fleet := b.coldRate(h, age)*b.set.Fall.Seconds(), max(1, h.sharers)
		lapse := max(n*min(0.5, coldCreditDeviations/math.Sqrt(n*fleet)), 1/fleet)
		h.credit += n * float64(dt) / float64(b.set.Fall)
		if over := h.credit - lapse; over >= 1 {
			h.credit = lapse + math.Mod(over, 1)
		}
		h.creditAt = b.now
	}
	return h.credit < 1
}

// coldRate is this instance's part of a cold host's budget, in sends a second. What a warm host
// gives the fleet is within its capacity, less where its kind is slower; where nothing is known
// of warm hosts, one request in the shortest aim is, or the aim could not be kept. Sends within
// a Fall vary by chance and so does their work: their mean stays coldChance deviations (of a
// count of requests of exponential work: the root of twice the mean, or of the mean alone where
// one instance paces them evenly) under the budget.
func (b *Balancer) coldRate(h *host, age Time) float64 {
	fleet, fall := max(1, h.sharers)*max(1, b.siblings), b.set.Fall.Seconds()
	share := b.set.ColdFrom + (1-b.set.ColdFrom)*float64(age)/float64(b.set.WarmAfter)
	capacity := max(b.warmRate()/max(1, b.kindSlowdown(h)), 1/b.shortestAim.Seconds())
	c := coldBudgetDeviations * coldBudgetDeviations / 2 * (1 - 1/(2*fleet))
	root := math.Sqrt(capacity*share*b.set.OverloadFactor*fall+c) - math.Sqrt(c)
	return root * root / (fall * fleet)
}

// warmRate is the mean rate of good answers of a warm host to the fleet: this instance's own,
// times the instances, over the warm hosts listed when they came. All count, also those that
// are out: the rate of the rest would pass for any host's. With no warm host listed, what was
// last learnt stays. One that began lately is made up for the time before, or instances that
// start together would give cold hosts next to nothing.
func (b *Balancer) warmRate() float64 {
	rate, since := b.servedRate, (b.now - b.servedFrom).Seconds()
	if b.warmHosts > 0 {
		rate *= math.Exp(-(b.now - b.servedAt).Seconds() / b.rateSpan)
	}
	return rate / max(minRateFraction, 1-math.Exp(-since/b.rateSpan))
}

// stagger is this instance's place in the cycle of sends to a cold host: steps of the golden ratio spread
// any run of neighbours on the ring evenly, and each host has an order of its own.
func (b *Balancer) cycleOffset(h *host) float64 {
	return b.fleetInfo.Place*float64(b.fleetInfo.Most)*math.Phi + float64(h.position)/math.MaxUint64
}
