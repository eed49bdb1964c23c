// Package belief decides which hosts a pool uses when the list of hosts may be wrong. Before it
// gives up hosts that a list drops, it checks the list against the results of connections.
// It performs no I/O and reads no clock: the caller passes the merged list, the connection
// results and the time.
//
// An explicit status is always trusted: a host that is named as leaving or as having left is
// treated so at once.
//
// Two kinds of change are doubted, each for a bounded time:
//
//   - Loss. Hosts that are missing from a list are kept while too few others are vouched
//     for: fewer than Floor of the largest number that was listed within Window. A host is
//     vouched for once it is listed and has answered since, or has been listed for Settle with
//     no failure to connect. With the default floor, three of ten hosts may go at once, while a
//     list that is empty, cut in half, or full of unreachable hosts does not affect working
//     hosts. A missing host that can't be connected to is given up at once, and every missing
//     host after Keep. While any host is kept, the hosts listed before it went missing count
//     towards the floor, however long ago that was.
//   - Flapping. Each time a host is dropped or starts to leave, its penalty grows by one; the
//     penalty halves every HalfLife (route flap damping, RFC 2439). Once it reaches Suppress
//     the host is left out until it falls below Reuse, unless too few others are vouched for.
package belief

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"time"

	"frostshift/internal/membership"
)

// Config sets when and for how long a list is doubted. Zero fields get the defaults.
type Config struct {
	Floor    float64       // minimum share of hosts that must be vouched for; default 0.7
	Window   time.Duration // losses within this time count as one; default 60 s
	Keep     time.Duration // maximum time that a missing host is kept; default 5 min
	Settle   time.Duration // time until a host that was never tried is vouched for; default 10 s
	HalfLife time.Duration // half-life of a flapping host's penalty; default 60 s
	Suppress float64       // penalty at which a host is left out; default 3
	Reuse    float64       // penalty below which a host is used again; default 1.5
}

// Defaults returns c with the default for each field that is zero.
func (c Config) Defaults() Config {
	c.Floor = cmp.Or(c.Floor, 0.7)
	c.Window = cmp.Or(c.Window, time.Minute)
	c.Keep = cmp.Or(c.Keep, 5*time.Minute)
	c.Settle = cmp.Or(c.Settle, 10*time.Second)
	c.HalfLife = cmp.Or(c.HalfLife, time.Minute)
	c.Suppress = cmp.Or(c.Suppress, 3)
	c.Reuse = cmp.Or(c.Reuse, 1.5)
	return c
}

// Check returns the first invalid field, by its name in the settings, and what is wrong with it.
// Both are empty if the configuration is valid.
func (c Config) Check() (field, text string) {
	d := c.Defaults()
	switch {
	case !(d.Floor > 0 && d.Floor <= 1):
		return "floor", fmt.Sprintf("%v is not above 0 and up to 1", c.Floor)
	case d.Window <= 0:
		return "window", fmt.Sprintf("%v is not above 0", c.Window)
	case d.Keep <= 0:
		return "keep", fmt.Sprintf("%v is not above 0", c.Keep)
	case d.Settle <= 0:
		return "settle", fmt.Sprintf("%v is not above 0", c.Settle)
	case d.HalfLife <= 0:
		return "half_life", fmt.Sprintf("%v is not above 0", c.HalfLife)
	case !(d.Suppress >= 1) || math.IsInf(d.Suppress, 0):
		return "suppress", fmt.Sprintf("%v is not a number from 1 on", c.Suppress)
	case !(d.Reuse > 0 && d.Reuse < d.Suppress):
		return "reuse", fmt.Sprintf("%v is not above 0 and below suppress", c.Reuse)
	}
	return "", ""
}

// maxKnown limits the hosts that are tracked: above it, hosts that are gone are forgotten even if
// their penalties have not decayed yet.
const maxKnown = 1 << 17

// Seen holds the connection results of a host: when it last answered anything, and when a
// connection to it last failed. A negative value means never.
type Seen struct{ LastAnswer, LastConnectFailure time.Duration }

// Doubt is a host that is treated differently from what the list says or is not vouched for yet,
// with the reason.
type Doubt struct {
	Host membership.Endpoint
	Why  string
}

// Belief tracks the hosts of a pool and decides which of them it uses. It is not safe for
// concurrent use.
type Belief struct {
	cfg         Config
	hosts       map[string]*host
	usedCount   int // hosts that are used
	keptCount   int // used hosts that are missing from the list
	dampedCount int // hosts that are left out because they flap
	// plausible is the number of hosts that were active in the list and not known to be broken
	// at the last Decide; peak is its maximum in this window and in the one before.
	plausible   int
	peak        [2]int
	windowStart time.Duration // when this window began
	unsettled   int           // hosts whose state may change with time or new connection results
	belowFloor  bool          // too few hosts are vouched for
}

// host is the state of one host.
type host struct {
	membership.Endpoint
	listed      bool
	listedSince time.Duration // start of the time listed, ignoring gaps during which it was kept
	vouched     bool
	droppedAt   time.Duration
	penalty     float64 // value at penaltyAt
	penaltyAt   time.Duration
	damped      bool
	used        bool
	reported    membership.Endpoint // as last returned by Decide; Status is "" if it is not in use
}

// New returns a Belief with no hosts.
func New(cfg Config) *Belief { return &Belief{cfg: cfg.Defaults(), hosts: map[string]*host{}} }

// Listed records that the list contains a host as active or leaving, with its entry.
func (b *Belief) Listed(now time.Duration, e membership.Endpoint) {
	h := b.hosts[e.Name]
	if h == nil {
		h = &host{listedSince: now}
		b.hosts[e.Name] = h
	} else if wasInactive := !h.listed || h.Status != membership.Active; wasInactive && e.Status == membership.Active && !h.used {
		h.listedSince, h.vouched = now, false
	} else if !wasInactive && e.Status != membership.Active {
		b.addPenalty(h, now)
	}
	if h.Address != e.Address && h.Address != "" { // nothing is known of the new address
		h.listedSince, h.vouched = now, false
	}
	h.Endpoint, h.listed = e, true
}

// Dropped records that a host is no longer in the list, or that the list names it as having left.
func (b *Belief) Dropped(now time.Duration, name string, left bool) {
	h := b.hosts[name]
	if h == nil || !h.listed && !left {
		return
	}
	if h.Status == membership.Active && h.listed {
		b.addPenalty(h, now)
	}
	if left || h.Status != membership.Active {
		h.Status = membership.Left
	}
	h.listed, h.droppedAt = false, now
}

// addPenalty increases the penalty of a host that was dropped or starts to leave.
func (b *Belief) addPenalty(h *host, now time.Duration) {
	h.penalty = b.decayedPenalty(h, now) + 1
	h.penaltyAt = now
}

// decayedPenalty returns the penalty of a host at the given time.
func (b *Belief) decayedPenalty(h *host, now time.Duration) float64 {
	return h.penalty * math.Exp2(-(now-h.penaltyAt).Seconds()/b.cfg.HalfLife.Seconds())
}

// Decide evaluates all hosts and returns the changes to the hosts that the pool uses, sorted by
// name: entries that are active or leaving, and those that have left.
func (b *Belief) Decide(now time.Duration, seen func(name string) Seen) (changes []membership.Endpoint) {
	b.rotatePeak(now)
	vouchedCount := 0
	b.plausible, b.unsettled = 0, 0
	var dampedHosts []*host
	for name, h := range b.hosts {
		switch {
		case !h.listed:
			b.unsettled++
			if b.mustGiveUp(h, now) && h.reported.Status == "" && (b.decayedPenalty(h, now) < 0.1 || len(b.hosts) > maxKnown) {
				delete(b.hosts, name)
			}
		case h.Status == membership.Active:
			b.vouch(h, now, seen(name))
			if h.damped {
				dampedHosts = append(dampedHosts, h)
			} else if h.vouched {
				vouchedCount++
			}
		}
	}
	b.peak[0] = max(b.peak[0], b.plausible)
	required := int(math.Ceil(b.cfg.Floor * float64(max(b.peak[0], b.peak[1]))))
	b.belowFloor = vouchedCount < required
	b.release(dampedHosts, max(required-vouchedCount, 0), now)
	b.usedCount, b.keptCount = 0, 0
	for _, h := range b.hosts {
		b.use(h, now, seen)
		if change, ok := h.pendingChange(); ok {
			changes = append(changes, change)
		}
	}
	slices.SortFunc(changes, func(x, y membership.Endpoint) int { return cmp.Compare(x.Name, y.Name) })
	return changes
}

// rotatePeak starts a new window for the peak of plausible hosts once the current one is over.
// While a missing host is kept, the current window is extended.
func (b *Belief) rotatePeak(now time.Duration) {
	if b.keptCount > 0 {
		b.windowStart = now
	}
	if now-b.windowStart < b.cfg.Window {
		return
	}
	// The hosts listed at the last Decide have stayed listed until now, however long ago it was.
	b.peak = [2]int{b.plausible, b.peak[0]}
	if now-b.windowStart >= 2*b.cfg.Window {
		b.peak[1] = b.plausible
	}
	b.windowStart = now
}

// vouch decides whether an active listed host is vouched for, and whether it is left out for
// flapping.
func (b *Belief) vouch(h *host, now time.Duration, s Seen) {
	if s.LastConnectFailure > s.LastAnswer && s.LastConnectFailure > h.listedSince {
		h.vouched = false
	} else if b.plausible++; s.LastAnswer > h.listedSince || now-h.listedSince >= b.cfg.Settle {
		h.vouched = true
	}
	if !h.vouched {
		b.unsettled++
	}
	if h.penalty > 0 {
		switch p := b.decayedPenalty(h, now); {
		case p >= b.cfg.Suppress:
			h.damped = true
		case p < b.cfg.Reuse:
			h.damped = false
		}
	}
	if h.damped {
		b.unsettled++
	}
}

// release puts up to count damped hosts back into use because too few others are vouched for,
// those with the lowest penalty first.
func (b *Belief) release(dampedHosts []*host, count int, now time.Duration) {
	slices.SortFunc(dampedHosts, func(x, y *host) int {
		return cmp.Or(cmp.Compare(b.decayedPenalty(x, now), b.decayedPenalty(y, now)), cmp.Compare(x.Name, y.Name))
	})
	b.dampedCount = max(len(dampedHosts)-count, 0)
	for i, h := range dampedHosts {
		h.damped = i >= count
	}
}

// use decides whether the pool uses a host. A host that is missing from the list is kept while too
// few are vouched for and its last connection did not fail.
func (b *Belief) use(h *host, now time.Duration, seen func(name string) Seen) {
	h.used = h.Status == membership.Active && !h.damped
	if !h.listed && h.used {
		s := seen(h.Name)
		if h.used = b.belowFloor && !b.mustGiveUp(h, now) && !(s.LastConnectFailure > s.LastAnswer); h.used {
			b.keptCount++
		} else {
			h.Status = membership.Left // it stays given up even if others go missing later
		}
	}
	if h.used {
		b.usedCount++
	}
}

// pendingChange returns the entry to report to the pool, and whether it has changed since the last
// report. It records a changed entry as reported.
func (h *host) pendingChange() (membership.Endpoint, bool) {
	entry := h.Endpoint
	switch {
	case h.used, h.listed && h.Status == membership.Leaving:
	case h.listed && h.damped: // requests in flight may finish
		entry.Status = membership.Leaving
	default:
		entry.Status = membership.Left
	}
	if entry.Status == membership.Left && h.reported.Status == "" || entry == h.reported {
		return entry, false
	}
	if h.reported = entry; entry.Status == membership.Left {
		h.reported = membership.Endpoint{}
	}
	return entry, true
}

// mustGiveUp reports whether a missing host is given up regardless of the floor: it is leaving, has
// left, or has been missing for Keep.
func (b *Belief) mustGiveUp(h *host, now time.Duration) bool {
	return h.Status != membership.Active || now-h.droppedAt >= b.cfg.Keep
}

// Unsure reports whether time or new connection results may change what Decide returns. If not,
// only a change of the list can.
func (b *Belief) Unsure() bool { return b.unsettled > 0 }

// Believed returns the number of hosts that are used.
func (b *Belief) Believed() int { return b.usedCount }

// Doubted returns how many hosts are kept although they are not listed, and how many are left out
// because they flap.
func (b *Belief) Doubted() (kept, damped int) { return b.keptCount, b.dampedCount }

// Doubts returns the hosts that are treated differently from what the list says or are not vouched
// for yet, sorted by name.
func (b *Belief) Doubts(now time.Duration) (list []Doubt) {
	for _, h := range b.hosts {
		switch {
		case !h.listed && h.used:
			list = append(list, Doubt{h.Endpoint, fmt.Sprintf("not listed for %v, kept: of the hosts of late too few others are vouched for", (now - h.droppedAt).Round(time.Millisecond))})
		case h.listed && h.damped && h.Status == membership.Active:
			list = append(list, Doubt{h.Endpoint, fmt.Sprintf("flaps (penalty %.1f): left out until it is below %.1f", b.decayedPenalty(h, now), b.cfg.Reuse)})
		case h.listed && !h.vouched && h.Status == membership.Active:
			list = append(list, Doubt{h.Endpoint, "used, not vouched for yet: it has not answered since it was listed"})
		}
	}
	slices.SortFunc(list, func(x, y Doubt) int { return cmp.Compare(x.Host.Name, y.Host.Name) })
	return list
}
