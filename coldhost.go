// This file limits what the balancer sends to hosts that have just started (slow start): how cold
// each host is, and the rate at which all instances together stay within its capacity. The types of
// the interface of the balancer are in api.go.

package frostshift

import "math"

// markCold marks a host as cold since its start, unless hosts start warm or it is warm by now.
func (b *Balancer) markCold(h *host, since Time) {
	if b.set.ColdFrom < 1 && b.now-since < b.set.WarmAfter {
		h.cold, h.coldAt, h.staggered = true, since, false
	}
}

// startTime returns when a host started, as far as the reported time can be trusted: it comes from a clock
// that may differ from the clock of this instance by any amount. A start more than maxStartAhead in the
// future, or one first reported by a change of the list after more than maxNewStartAge, counts as
// now. Until a start that is less far in the future, the host gets its initial rate.
func (b *Balancer) startTime(entry *Host, kind ListKind) Time {
	if entry.Started-b.now > maxStartAhead || kind == ListChanges && b.now-entry.Started > maxNewStartAge {
		return b.now
	}
	return entry.Started
}

// coldBlocked reports whether the cold budget of a host blocks a send now, so that the fleet as a whole
// stays within that budget. It applies while the host is cold: the credit for sends grows at the share of
// this instance. Each whole credit expires by itself if it is not used soon (or if it is the only one of
// the fleet): so instances keep their positions in the cycle of sends, which ranks spread evenly,
// whatever their traffic is (docs/design/endings.md has the bound and its proof).
func (b *Balancer) coldBlocked(h *host) bool {
	age := max(0, b.now-h.coldAt)
	if h.cold = h.cold && age < b.set.WarmAfter; !h.cold {
		return false
	}
	if !h.staggered { // as if counted from the start, without the sends due before the start was known
		_, h.credit = math.Modf(b.cycleOffset(h) + b.coldRate(h, age/2)*age.Seconds())
		h.creditAt, h.staggered = b.now, true
	}
	if dt := b.now - h.creditAt; dt > 0 {
		perWindow, fleet := b.coldRate(h, age)*b.set.OverloadWindow.Seconds(), max(1, h.sharers)
		maxCredit := max(perWindow*min(0.5, coldCreditSigmas/math.Sqrt(perWindow*fleet)), 1/fleet)
		h.credit += perWindow * float64(dt) / float64(b.set.OverloadWindow)
		if excess := h.credit - maxCredit; excess >= 1 {
			h.credit = maxCredit + math.Mod(excess, 1)
		}
		h.creditAt = b.now
	}
	return h.credit < 1
}

// coldRate returns the share of this instance of the budget of a cold host, in sends per second. The rate
// that a warm host serves for the fleet is within the capacity of a host, reduced if the kind of the host
// is slower; if nothing is known of warm hosts, one request per shortest aim is assumed, or the aim could
// not be met. The number of sends within an overload window (Settings.OverloadWindow) varies at random,
// and so does their work: the mean stays coldBudgetSigmas standard deviations below the budget. For a number
// of requests of exponential work, the deviation is the square root of twice the mean, or of the mean
// alone if one instance spaces them evenly.
func (b *Balancer) coldRate(h *host, age Time) float64 {
	fleet, fall := max(1, h.sharers)*max(1, b.siblings), b.set.OverloadWindow.Seconds()
	share := b.set.ColdFrom + (1-b.set.ColdFrom)*float64(age)/float64(b.set.WarmAfter)
	capacity := max(b.warmRate()/max(1, b.kindSlowdown(h)), 1/b.shortestAim.Seconds())
	c := coldBudgetSigmas * coldBudgetSigmas / 2 * (1 - 1/(2*fleet))
	root := math.Sqrt(capacity*share*b.set.OverloadFactor*fall+c) - math.Sqrt(c)
	return root * root / (fall * fleet)
}

// warmRate returns the mean rate of good answers of a warm host to the fleet, per second: the rate of this
// instance times the number of instances, divided by the number of warm hosts listed at the time. Ejected
// hosts count too: otherwise the rate of the others would be taken for that of any host. While no warm
// host is listed, the last value stays. A short history is corrected for, or instances that start
// together would give cold hosts next to nothing.
func (b *Balancer) warmRate() float64 {
	rate, since := b.servedRate, (b.now - b.servedFrom).Seconds()
	if b.warmHosts > 0 {
		rate *= math.Exp(-(b.now - b.servedAt).Seconds() / b.rateSpan)
	}
	return rate / max(minRateFraction, 1-math.Exp(-since/b.rateSpan))
}

// cycleOffset returns the position of this instance in the cycle of sends to a cold host, as a credit:
// steps of the golden ratio spread any run of neighbors on the ring evenly, and each host has an order of
// its own.
func (b *Balancer) cycleOffset(h *host) float64 {
	return b.fleetInfo.Position*float64(b.fleetInfo.Max)*math.Phi + float64(h.position)/math.MaxUint64
}
