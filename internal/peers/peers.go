// Package peers makes of what failure detection says about other gateways the view that the rest
// goes by: who shares the hosts, how many that may be at least and at most, where this gateway
// stands among them, and which side of a partition it may be on.
//
// It decides without I/O and clock: times are handed in, and the same events lead to the same
// view, on sockets and in the emulator. It knows nothing of packets, and its answers inform: who
// uses them must be right without them.
package peers

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// State is what is held of a member.
type State uint8

// States.
const (
	Unknown   State = iota // it was a member, failed with too many others, and may be cut off
	Alive                  // it answers
	Suspected              // it does not, and may yet say that it lives
	Failed                 // it answered nobody for long enough
	Left                   // it said that it leaves
)

var stateNames = [...]string{"unknown", "alive", "suspected", "failed", "left"}

func (s State) String() string { return stateNames[min(int(s), len(stateNames)-1)] }

// MarshalText names the state.
func (s State) MarshalText() ([]byte, error) { return []byte(s.String()), nil }

// UnmarshalText reads what MarshalText wrote.
func (s *State) UnmarshalText(text []byte) error {
	*s = State(max(0, slices.Index(stateNames[:], string(text))))
	return nil
}

// Side is where this gateway may stand while members can't reach one another.
type Side uint8

// Sides, by the part of the most members seen within the window that are reached.
const (
	Whole    Side = iota // all but a few: what failed is taken for failed
	Majority             // more than half
	Minority             // half or fewer: this gateway is rather the one that is cut off
	Alone                // nobody, where there were others
)

var sideNames = [...]string{"whole", "majority", "minority", "alone"}

func (s Side) String() string { return sideNames[min(int(s), len(sideNames)-1)] }

// MarshalText names the side.
func (s Side) MarshalText() ([]byte, error) { return []byte(s.String()), nil }

// UnmarshalText reads what MarshalText wrote.
func (s *Side) UnmarshalText(text []byte) error {
	*s = Side(max(0, slices.Index(sideNames[:], string(text))))
	return nil
}

// Member is what a member says of itself.
type Member struct {
	Name string
	// Started is when it began to run, in milliseconds of its own clock, for operators: clocks may be
	// off by any time, and nothing is compared with it.
	Started     int64
	Zone        string  `json:",omitempty"`
	Takes       float64 // what it takes beside others; 1: as they do
	Least, Most uint8   // versions of what is said among gateways that it understands
	Addr        string  // where it is reached
}

// Config bounds the view. Zero values give the defaults beside them.
type Config struct {
	Self Member
	// Typed is how many gateways the configuration names, this one included; 1 where it names
	// none. It is the count until the view has settled once, and when nobody is heard.
	Typed int
	// Place is where the configuration puts this gateway on a ring, from 0 to 1, while Typed counts.
	Place float64
	// Window is for how long a member that failed may be cut off and still send to hosts; 60 s.
	Window time.Duration
	// Settle is how long a change of who is reached must hold before places follow; 2 s. One that
	// was said (a leave) counts at once.
	Settle time.Duration
	// Patience is how long a failed member keeps its place; 10 s. It outlasts a restart.
	Patience time.Duration
	// Linger is how long one that said that it leaves may still send to hosts; 5 s.
	Linger time.Duration
	// Floor is the part of the most members seen within the window below which those that fail
	// are held to be cut off rather than gone; 0.7.
	Floor float64
	// Most bounds the members that are kept, those that have gone included; 4096.
	Most int
}

// View is what the rest goes by. Exactly:
//
// Let S be the members, this one included, that were reached at any time within the last Window
// and have not said that they left longer ago than Linger. Most = |S|, and at least Typed until a
// Window has passed since this gateway began to listen. Count is the number of members with a
// place; Place is this one's rank among them, in the order of scattered names, over Count. Least is
// 1 + the others that are alive and not suspected, and at least half of Count: where more are
// gone at once, it is rather this gateway that hears nobody.
//
// A gateway that sizes what it shares by the smaller use (budgets by Most, its part of the hosts
// by Least) is safe while it is wrong: see docs/design/gossip.md.
type View struct {
	Version int // grows with each change of what follows
	// Typed says that the configuration's figures hold: nobody was heard yet, or nobody is.
	Typed             bool
	Count, Rank       int
	Least, Most       int
	Place             float64
	Side              Side
	Reached, Expected int // members reached now, the most within the window
}

// Change is something that happened to a member.
type Change struct {
	At     time.Duration
	Name   string
	From   State
	To     State
	Reason string
	Age    time.Duration // of the state that it had
}

// Status is a member as it is held, for operators.
type Status struct {
	Member
	State  State
	Reason string
	Since  time.Duration // how long ago that began
	Placed bool          // it has a place of its own
}

type member struct {
	Member
	state   State
	reason  string
	since   time.Duration
	reached time.Duration // when it was last known to be reached
	placed  bool
	order   uint64
}

// Registry keeps the view. What is heard changes it at the next Tick, so that a thousand words
// cost one look. It is not safe for concurrent use.
type Registry struct {
	cfg     Config
	began   time.Duration
	members map[string]*member
	peaks   []peak // of members reached, falling, within the window
	heard   bool   // somebody was, since the beginning
	view    View
	changes []Change
}

type peak struct {
	at time.Duration
	n  int
}

// New makes a registry of peers of this gateway alone.
func New(now time.Duration, cfg Config) *Registry {
	cfg.Typed = max(cfg.Typed, 1)
	cfg.Window = cmp.Or(cfg.Window, time.Minute)
	cfg.Settle = cmp.Or(cfg.Settle, 2*time.Second)
	cfg.Patience = cmp.Or(cfg.Patience, 10*time.Second)
	cfg.Linger = cmp.Or(cfg.Linger, 5*time.Second)
	cfg.Floor = cmp.Or(cfg.Floor, 0.7)
	cfg.Most = cmp.Or(cfg.Most, 4096)
	r := &Registry{cfg: cfg, began: now, members: map[string]*member{}}
	r.members[cfg.Self.Name] = &member{Member: cfg.Self, state: Alive, since: now, reached: now, placed: true, order: xxhash.Sum64String(cfg.Self.Name)}
	r.Tick(now)
	return r
}

// MarkAlive says that detection holds a member to be alive, with what it says of itself.
func (r *Registry) MarkAlive(now time.Duration, m Member) {
	if m.Name == r.cfg.Self.Name || m.Name == "" {
		return
	}
	x := r.members[m.Name]
	if x == nil {
		if len(r.members) >= r.cfg.Most && !r.forgetOne() {
			return
		}
		x = &member{since: now, order: xxhash.Sum64String(m.Name)}
		r.members[m.Name] = x
	}
	x.Member, x.reached, r.heard = m, now, true
	r.set(now, x, Alive, "answers")
}

// MarkSuspected says that a member did not answer, and may yet.
func (r *Registry) MarkSuspected(now time.Duration, name string) {
	if x := r.members[name]; x != nil && x.state == Alive && name != r.cfg.Self.Name {
		x.reached = now
		r.set(now, x, Suspected, "does not answer")
	}
}

// MarkGone says that a member left, by its own word, or that detection gave it up.
func (r *Registry) MarkGone(now time.Duration, name string, said bool, reason string) {
	x := r.members[name]
	if x == nil || name == r.cfg.Self.Name {
		return
	}
	if x.state == Alive || x.state == Suspected {
		x.reached = now
	}
	if said {
		if x.state == Alive || x.state == Suspected { // nobody expects it any more
			for i := range r.peaks {
				r.peaks[i].n--
			}
		}
		r.set(now, x, Left, cmp.Or(reason, "said so"))
		x.placed = false
	} else if x.state != Left {
		r.set(now, x, Failed, cmp.Or(reason, "answers nobody"))
	}
}

func (r *Registry) set(now time.Duration, x *member, to State, reason string) {
	if x.state == to {
		return
	}
	r.changes = append(r.changes, Change{At: now, Name: x.Name, From: x.state, To: to, Reason: reason, Age: now - x.since})
	if len(r.changes) > mostChanges {
		r.changes = slices.Delete(r.changes, 0, 1)
	}
	x.state, x.reason, x.since = to, reason, now
}

// mostChanges bounds those that nobody has asked for.
const mostChanges = 1024

// Changes are those since the last call, in their order.
func (r *Registry) Changes() []Change {
	list := r.changes
	r.changes = nil
	return list
}

// forgetOne makes room: the member that has been gone for longest.
func (r *Registry) forgetOne() bool {
	var oldest *member
	for _, x := range r.members {
		if x.state != Alive && x.state != Suspected && (oldest == nil || x.since < oldest.since) {
			oldest = x
		}
	}
	if oldest != nil {
		delete(r.members, oldest.Name)
	}
	return oldest != nil
}

// Tick takes in that time has passed and says how long the view holds if nothing is heard.
func (r *Registry) Tick(now time.Duration) (next time.Duration) {
	next = now + r.cfg.Window
	due := func(at time.Duration) {
		if at > now {
			next = min(next, at)
		}
	}
	n := r.count(now, due)
	r.peak(now, n.reached)
	expected := r.peaks[0].n
	due(r.peaks[0].at + r.cfg.Window)
	v := View{Least: n.certain, Most: n.seen, Reached: n.reached, Expected: expected, Side: side(n.reached, expected, r.cfg.Floor)}
	r.place(now, n.reached, expected, due)
	if now-r.began < r.cfg.Window { // what was there before this gateway listened may be more
		v.Most = max(v.Most, r.cfg.Typed)
		due(r.began + r.cfg.Window)
	}
	if v.Typed = !r.heard || n.reached == 1 && n.seen == 1 || now-r.began < r.cfg.Settle; v.Typed {
		v.Count, v.Place, v.Rank = r.cfg.Typed, r.cfg.Place, int(math.Round(r.cfg.Place*float64(r.cfg.Typed)))
		v.Least, v.Most = r.cfg.Typed, max(v.Most, r.cfg.Typed)
		due(r.began + r.cfg.Settle)
	} else {
		v.Count, v.Rank = r.rank()
		v.Place = float64(v.Rank) / float64(v.Count)
		v.Least = min(max(v.Least, (v.Count+1)/2), v.Most)
	}
	v.Version = r.view.Version
	if v != r.view {
		v.Version++
		r.view = v
	}
	return next
}

// census counts members.
type census struct {
	reached int // alive or suspected
	certain int // alive
	seen    int // that may still send something
}

// count counts the members and forgets those that have been gone for long. due is told when that
// changes by itself.
func (r *Registry) count(now time.Duration, due func(time.Duration)) (n census) {
	for _, x := range r.members {
		switch x.state {
		case Alive, Suspected:
			x.reached = now
			n.reached++
			if x.state == Alive {
				n.certain++
			}
		default:
			gone := now - x.reached
			if gone >= r.cfg.Window && x.Name != r.cfg.Self.Name {
				if gone >= 2*r.cfg.Window {
					delete(r.members, x.Name)
				}
				continue
			}
			due(x.reached + r.cfg.Window)
		}
		if x.state != Left {
			n.seen++
		} else if now-x.since < r.cfg.Linger {
			n.seen++ // it ends what it has begun
			due(x.since + r.cfg.Linger)
		}
	}
	return n
}

// place decides who has a place. Below the floor those that failed are held to be cut off: they keep
// their places, and are called so. One alone that fails is taken for failed, in however small a fleet.
func (r *Registry) place(now time.Duration, reached, expected int, due func(time.Duration)) {
	cut := expected-reached > 1 && float64(reached) < r.cfg.Floor*float64(expected)
	for _, x := range r.members {
		switch {
		case x.state == Failed && cut:
			r.set(now, x, Unknown, "failed with many others: it may be cut off")
		case x.state == Unknown && !cut:
			r.set(now, x, Failed, "the others are back")
		}
		switch gone := now - x.reached; {
		case x.state == Alive || x.state == Suspected:
			if !x.placed && (now-x.since >= r.cfg.Settle || now-r.began < r.cfg.Settle) {
				x.placed = true
			} else if !x.placed {
				due(x.since + r.cfg.Settle)
			}
		case x.placed && (x.state == Left || gone >= r.cfg.Window || x.state == Failed && gone >= r.cfg.Patience):
			x.placed = false
		case x.placed && x.state == Failed:
			due(x.reached + r.cfg.Patience)
		}
	}
}

// rank is how many members have a place, and how many of them stand before this gateway.
func (r *Registry) rank() (count, rank int) {
	self := r.members[r.cfg.Self.Name]
	for _, x := range r.members {
		if !x.placed {
			continue
		}
		count++
		if x.order < self.order || x.order == self.order && x.Name < self.Name {
			rank++
		}
	}
	return count, rank
}

// peak keeps the most members reached within the window: values that fall, the first is the most.
func (r *Registry) peak(now time.Duration, n int) {
	if last := len(r.peaks) - 1; last >= 0 && r.peaks[last].n > n {
		r.peaks[last].at = now // so many were reached until just now
	}
	for len(r.peaks) > 0 && r.peaks[len(r.peaks)-1].n <= n {
		r.peaks = r.peaks[:len(r.peaks)-1]
	}
	r.peaks = append(r.peaks, peak{now, n})
	for len(r.peaks) > 1 && now-r.peaks[0].at >= r.cfg.Window {
		r.peaks = slices.Delete(r.peaks, 0, 1)
	}
}

func side(reached, expected int, floor float64) Side {
	switch part := float64(reached) / float64(max(expected, 1)); {
	case part >= floor:
		return Whole
	case part > 0.5:
		return Majority
	case reached > 1:
		return Minority
	}
	return Alone
}

// View is the view as of the last Tick.
func (r *Registry) View() View { return r.view }

// Places are the members that have one, by the numbers that scatter their names, in the order of
// their ranks; nil: typed figures hold.
func (r *Registry) Places() []uint64 {
	if r.view.Typed {
		return nil
	}
	placed := make([]*member, 0, r.view.Count)
	for _, x := range r.members {
		if x.placed {
			placed = append(placed, x)
		}
	}
	slices.SortFunc(placed, func(x, y *member) int {
		return cmp.Or(cmp.Compare(x.order, y.order), cmp.Compare(x.Name, y.Name))
	})
	ids := make([]uint64, len(placed))
	for i, x := range placed {
		ids[i] = x.order
	}
	return ids
}

// Members are all that are held, by name.
func (r *Registry) Members(now time.Duration) []Status {
	list := make([]Status, 0, len(r.members))
	for _, x := range r.members {
		list = append(list, Status{Member: x.Member, State: x.state, Reason: x.reason, Since: now - x.since, Placed: x.placed})
	}
	slices.SortFunc(list, func(x, y Status) int { return cmp.Compare(x.Name, y.Name) })
	return list
}
