// Package belief decides which hosts a pool goes by, where the list of them may be wrong.
// A list is held against what was seen on sockets before hosts that it drops are given up.
// It does no I/O and reads no clock: the merged list and what was seen are handed in.
//
// What it never doubts is an explicit word: a host that is named as leaving or as having
// left is so at once.
//
// What it doubts, each for a stated time:
//
//   - Loss. Hosts that are missing from a list are kept while too few others are vouched
//     for: fewer than Floor of the most that were listed within Window. A host is vouched
//     for once it is listed and has answered since, or has been listed for Settle with no
//     failure to connect. So one host in ten may go at once, and a list that is empty, cut
//     in half, or full of hosts that none can reach changes nothing for hosts that work. A
//     missing host that can't be connected to is given up, and each after Keep. While any is
//     kept, what was listed before it went missing counts, however long ago.
//   - Flapping. Each time a host goes or leaves adds one to its penalty, which halves every HalfLife
//     (route flap damping, RFC 2439). From Suppress on it is left out until the penalty is
//     below Reuse, unless too few others are vouched for.
package belief

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"time"

	"frostshift/internal/membership"
)

// Config bounds the doubt. Zero fields get the defaults.
type Config struct {
	Floor    float64       // share of hosts that may not be lost at once; 0.7
	Window   time.Duration // that "at once" means; 60 s
	Keep     time.Duration // how long a missing host is kept at most; 5 min
	Settle   time.Duration // after which a host that was never tried is vouched for; 10 s
	HalfLife time.Duration // of a flapping host's penalty; 60 s
	Suppress float64       // penalty from which on it is left out; 3
	Reuse    float64       // penalty below which it is used again; 1.5
}

// Defaults fills in what is zero.
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

// Check says what is wrong with a configuration, by the name of the field.
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

// mostKnown bounds the hosts in mind: beyond it those that are gone are forgotten with their
// penalties.
const mostKnown = 1 << 17

// Seen is what sockets tell of a host: when it last answered anything, and when a
// connection to it last failed. Negative: never.
type Seen struct{ LastAnswer, LastConnectFailure time.Duration }

// Doubt is a host that is not treated as the list says.
type Doubt struct {
	Host membership.Endpoint
	Why  string
}

// Belief is what a pool goes by. It is not safe for concurrent use.
type Belief struct {
	cfg      Config
	hosts    map[string]*host
	believed int // hosts that are used
	kept     int // of them, those that are missing from the list
	damped   int // hosts that are left out because they flap
	// plausible is how many hosts were listed and not known to be broken at the last look,
	// peak the most of them in this window and in the one before.
	plausible int
	peak      [2]int
	turnedAt  time.Duration // when this window began
	unsure    int           // hosts that a look at the clock or at sockets may change
	short     bool          // too few are vouched for
}

type host struct {
	membership.Endpoint
	listed    bool
	since     time.Duration // listed without a gap that was believed
	sure      bool          // vouched for
	droppedAt time.Duration
	penalty   float64
	penaltyAt time.Duration
	damped    bool
	used      bool
	told      membership.Endpoint // as last handed out; Status "": not
}

// New returns a belief with no hosts.
func New(cfg Config) *Belief { return &Belief{cfg: cfg.Defaults(), hosts: map[string]*host{}} }

// Listed says that a host stands in the list, as active or leaving, with what it says.
func (b *Belief) Listed(now time.Duration, e membership.Endpoint) {
	h := b.hosts[e.Name]
	if h == nil {
		h = &host{since: now}
		b.hosts[e.Name] = h
	} else if back := !h.listed || h.Status != membership.Active; back && e.Status == membership.Active && !h.used {
		h.since, h.sure = now, false
	} else if !back && e.Status != membership.Active {
		b.charge(h, now)
	}
	if h.Address != e.Address && h.Address != "" { // nobody has seen it there
		h.since, h.sure = now, false
	}
	h.Endpoint, h.listed = e, true
}

// Dropped says that a host stands in the list no more, or is named there as having left.
func (b *Belief) Dropped(now time.Duration, name string, left bool) {
	h := b.hosts[name]
	if h == nil || !h.listed && !left {
		return
	}
	if h.Status == membership.Active && h.listed {
		b.charge(h, now)
	}
	if left || h.Status != membership.Active {
		h.Status = membership.Left
	}
	h.listed, h.droppedAt = false, now
}

// charge adds to the penalty of a host that goes or leaves.
func (b *Belief) charge(h *host, now time.Duration) {
	h.penalty = b.faded(h, now) + 1
	h.penaltyAt = now
}

func (b *Belief) faded(h *host, now time.Duration) float64 {
	return h.penalty * math.Exp2(-(now-h.penaltyAt).Seconds()/b.cfg.HalfLife.Seconds())
}

// Decide looks at all hosts and returns what has changed of what the pool goes by: entries
// that are active or leaving, and those that have left.
func (b *Belief) Decide(now time.Duration, seen func(name string) Seen) (changes []membership.Endpoint) {
	b.turnPeak(now)
	vouched := 0
	b.plausible, b.unsure = 0, 0
	var damp []*host
	for name, h := range b.hosts {
		switch {
		case !h.listed:
			b.unsure++
			if b.lost(h, now) && h.told.Status == "" && (b.faded(h, now) < 0.1 || len(b.hosts) > mostKnown) {
				delete(b.hosts, name)
			}
		case h.Status == membership.Active:
			b.vouch(h, now, seen(name))
			if h.damped {
				damp = append(damp, h)
			} else if h.sure {
				vouched++
			}
		}
	}
	b.peak[0] = max(b.peak[0], b.plausible)
	need := int(math.Ceil(b.cfg.Floor * float64(max(b.peak[0], b.peak[1]))))
	b.short = vouched < need
	b.release(damp, max(need-vouched, 0), now)
	b.believed, b.kept = 0, 0
	for _, h := range b.hosts {
		b.use(h, now, seen)
		if change, ok := h.tell(); ok {
			changes = append(changes, change)
		}
	}
	slices.SortFunc(changes, func(x, y membership.Endpoint) int { return cmp.Compare(x.Name, y.Name) })
	return changes
}

// turnPeak begins another window of the most hosts that were plausible, where one is over.
func (b *Belief) turnPeak(now time.Duration) {
	if b.kept > 0 {
		b.turnedAt = now
	}
	if now-b.turnedAt < b.cfg.Window {
		return
	}
	// What was listed at the last look was so until now, however long ago that is.
	b.peak = [2]int{b.plausible, b.peak[0]}
	if now-b.turnedAt >= 2*b.cfg.Window {
		b.peak[1] = b.plausible
	}
	b.turnedAt = now
}

// vouch decides whether a listed host is sure, and whether it is left out for flapping.
func (b *Belief) vouch(h *host, now time.Duration, s Seen) {
	if s.LastConnectFailure > s.LastAnswer && s.LastConnectFailure > h.since {
		h.sure = false
	} else if b.plausible++; s.LastAnswer > h.since || now-h.since >= b.cfg.Settle {
		h.sure = true
	}
	if !h.sure {
		b.unsure++
	}
	if h.penalty > 0 {
		switch p := b.faded(h, now); {
		case p >= b.cfg.Suppress:
			h.damped = true
		case p < b.cfg.Reuse:
			h.damped = false
		}
	}
	if h.damped {
		b.unsure++
	}
}

// release takes so many of the hosts that flap back into use, where the others are too few: those
// that flap least first.
func (b *Belief) release(damp []*host, spare int, now time.Duration) {
	slices.SortFunc(damp, func(x, y *host) int {
		return cmp.Or(cmp.Compare(b.faded(x, now), b.faded(y, now)), cmp.Compare(x.Name, y.Name))
	})
	b.damped = max(len(damp)-spare, 0)
	for i, h := range damp {
		h.damped = i >= spare
	}
}

// use decides whether the pool uses a host. One that the list misses is kept while too few are
// vouched for and sockets do not speak against it.
func (b *Belief) use(h *host, now time.Duration, seen func(name string) Seen) {
	h.used = h.Status == membership.Active && !h.damped
	if !h.listed && h.used {
		s := seen(h.Name)
		if h.used = b.short && !b.lost(h, now) && !(s.LastConnectFailure > s.LastAnswer); h.used {
			b.kept++
		} else {
			h.Status = membership.Left // it is given up, whatever goes missing later
		}
	}
	if h.used {
		b.believed++
	}
}

// tell is what the pool is to be told of a host, if that has changed.
func (h *host) tell() (membership.Endpoint, bool) {
	want := h.Endpoint
	switch {
	case h.used, h.listed && h.Status == membership.Leaving:
	case h.listed && h.damped: // it finishes what it has
		want.Status = membership.Leaving
	default:
		want.Status = membership.Left
	}
	if want.Status == membership.Left && h.told.Status == "" || want == h.told {
		return want, false
	}
	if h.told = want; want.Status == membership.Left {
		h.told = membership.Endpoint{}
	}
	return want, true
}

// lost says that a missing host is given up in any case.
func (b *Belief) lost(h *host, now time.Duration) bool {
	return h.Status != membership.Active || now-h.droppedAt >= b.cfg.Keep
}

// Unsure says whether time or what sockets tell may change what Decide returns; if not,
// only news of the list can.
func (b *Belief) Unsure() bool { return b.unsure > 0 }

// Believed is how many hosts are used.
func (b *Belief) Believed() int { return b.believed }

// Doubted is how many hosts are kept though they are not listed, and how many are left out
// because they flap.
func (b *Belief) Doubted() (kept, damped int) { return b.kept, b.damped }

// Doubts are the hosts that are not treated as the list says, by name.
func (b *Belief) Doubts(now time.Duration) (list []Doubt) {
	for _, h := range b.hosts {
		switch {
		case !h.listed && h.used:
			list = append(list, Doubt{h.Endpoint, fmt.Sprintf("not listed for %v, kept: of the hosts of late too few others are vouched for", (now - h.droppedAt).Round(time.Millisecond))})
		case h.listed && h.damped && h.Status == membership.Active:
			list = append(list, Doubt{h.Endpoint, fmt.Sprintf("flaps (penalty %.1f): left out until it is below %.1f", b.faded(h, now), b.cfg.Reuse)})
		case h.listed && !h.sure && h.Status == membership.Active:
			list = append(list, Doubt{h.Endpoint, "used, not vouched for yet: it has not answered since it was listed"})
		}
	}
	slices.SortFunc(list, func(x, y Doubt) int { return cmp.Compare(x.Host.Name, y.Host.Name) })
	return list
}
