// Package peers maintains this gateway's view of the other gateways of the fleet, derived from the
// events of failure detection: how many gateways share the hosts, the lower and upper bounds of that
// number, this gateway's position among them, and which side of a network partition it may be on.
//
// The package is pure decision logic. It performs no I/O and reads no clock: the caller passes the
// time, and the same events produce the same view, in production and in the emulator. It does not
// know the packet formats. The view is advisory: its users must stay correct when it is wrong.
package peers

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// State is the status of a member as this gateway sees it.
type State uint8

// States of a member. Only Alive and Suspected members count as reached.
const (
	Unknown   State = iota // failed together with many others and may be alive behind a partition
	Alive                  // answers probes
	Suspected              // does not answer, but can still refute the suspicion
	Failed                 // declared failed by failure detection
	Left                   // announced that it leaves
)

var stateNames = [...]string{"unknown", "alive", "suspected", "failed", "left"}

func (s State) String() string { return stateNames[min(int(s), len(stateNames)-1)] }

// MarshalText returns the name of the state.
func (s State) MarshalText() ([]byte, error) { return []byte(s.String()), nil }

// UnmarshalText parses a name written by MarshalText. Any other text gives Unknown, without an error.
func (s *State) UnmarshalText(text []byte) error {
	*s = State(max(0, slices.Index(stateNames[:], string(text))))
	return nil
}

// Side is the side of a network partition that this gateway appears to be on.
type Side uint8

// Sides, by the fraction of the expected members that are reached. The expected number is the highest
// number of members reached at one time within the window, less those that announced their leave since.
const (
	Whole    Side = iota // at least Config.Floor: members that failed are assumed to be down
	Majority             // more than half, but below the floor
	Minority             // half or fewer: this gateway is more likely the one that is cut off
	Alone                // half or fewer, and no other member is reached
)

var sideNames = [...]string{"whole", "majority", "minority", "alone"}

func (s Side) String() string { return sideNames[min(int(s), len(sideNames)-1)] }

// MarshalText returns the name of the side.
func (s Side) MarshalText() ([]byte, error) { return []byte(s.String()), nil }

// UnmarshalText parses a name written by MarshalText. Any other text gives Whole, without an error.
func (s *Side) UnmarshalText(text []byte) error {
	*s = Side(max(0, slices.Index(sideNames[:], string(text))))
	return nil
}

// Member is the information that a gateway reports about itself.
type Member struct {
	Name string
	// Started is when the gateway started, in milliseconds of its own clock. It is shown to operators
	// only and never compared with other times, because clocks may differ by any amount.
	Started     int64
	Zone        string  `json:",omitempty"`
	Takes       float64 // its relative capacity; 1 means the same as the others
	Least, Most uint8   // lowest and highest version of the gossip messages that it supports
	Addr        string  // its gossip address
}

// Config configures a Registry. A zero value selects the default given with the field.
type Config struct {
	Self Member
	// Typed is the number of gateways given in the configuration, including this one; default 1. The
	// view uses it during the first Settle after the start and while no other gateway is known.
	Typed int
	// Place is the configured position of this gateway on the ring, from 0 to 1. It is used while
	// the view uses Typed.
	Place float64
	// Window is how long a failed member may still be alive behind a partition and send requests to
	// hosts; default 60 s.
	Window time.Duration
	// Settle is how long a new member must stay reached before it gets a position; default 2 s. A
	// member that is reached within Settle of the registry's creation gets one immediately, and an
	// announced leave takes effect immediately.
	Settle time.Duration
	// Patience is how long a failed member keeps its position, counted from when it was last reached;
	// default 10 s, which is longer than a restart takes.
	Patience time.Duration
	// Linger is how long a member that announced its leave may still send requests to hosts;
	// default 5 s.
	Linger time.Duration
	// Floor is a fraction of the highest number of members reached within the window. If fewer are
	// reached and more than one is missing, failed members are considered cut off rather than down;
	// default 0.7.
	Floor float64
	// Most limits the number of members that are kept, including those that left or failed;
	// default 4096.
	Most int
}

// View is the state of the fleet that the rest of the gateway uses. It is defined as follows.
//
// Let S be the members, including this one, that were reached at any time within the last Window,
// without those that announced their leave longer ago than Linger. Most is |S|, and at least
// Config.Typed until a Window has passed since the registry was created. Count is the number of
// members with a position. Rank is the number of positions before this gateway's in the order of the
// hashed names, and Place is Rank / Count. Least is the number of alive members, including this one
// but not suspected ones, raised to half of Count (rounded up) and limited to Most: if more than half
// disappear at once, it is more likely that this gateway is cut off. While Typed is set, Count, Rank,
// Place and Least come from the configuration instead, and Most is at least Config.Typed.
//
// A gateway stays safe while the view is wrong if it sizes shared resources for the smaller use:
// budgets by Most, its subset of the hosts by Least. See docs/design/gossip.md.
type View struct {
	Version int // increases with each change of the fields below
	// Typed reports that the configured values are used, because no other gateway was ever seen,
	// none can still be running, or the registry was created less than Settle ago.
	Typed             bool
	Count, Rank       int
	Least, Most       int
	Place             float64
	Side              Side
	Reached, Expected int // members reached now, and the number expected, see Side
}

// Change is a state transition of a member.
type Change struct {
	At     time.Duration
	Name   string
	From   State
	To     State
	Reason string
	Age    time.Duration // time spent in the state From
}

// Status describes a member, for operators.
type Status struct {
	Member
	State  State
	Reason string
	Since  time.Duration // time since the member entered State
	Placed bool          // whether the member has a position
}

type member struct {
	Member
	state       State
	reason      string
	since       time.Duration
	lastReached time.Duration
	placed      bool
	nameHash    uint64 // orders the positions
}

// Registry keeps the members and computes the view. Reported events affect the view at the next Tick
// only, so that a burst of events costs a single computation. It is not safe for concurrent use.
type Registry struct {
	cfg       Config
	createdAt time.Duration
	members   map[string]*member
	peaks     []peak // of the number of members reached within the window, in decreasing order
	peerSeen  bool   // whether any other gateway was ever reported alive
	view      View
	changes   []Change
}

// peak is a number of reached members and when it last held.
type peak struct {
	at time.Duration
	n  int
}

// New returns a registry that knows only this gateway.
func New(now time.Duration, cfg Config) *Registry {
	cfg.Typed = max(cfg.Typed, 1)
	cfg.Window = cmp.Or(cfg.Window, time.Minute)
	cfg.Settle = cmp.Or(cfg.Settle, 2*time.Second)
	cfg.Patience = cmp.Or(cfg.Patience, 10*time.Second)
	cfg.Linger = cmp.Or(cfg.Linger, 5*time.Second)
	cfg.Floor = cmp.Or(cfg.Floor, 0.7)
	cfg.Most = cmp.Or(cfg.Most, 4096)
	r := &Registry{cfg: cfg, createdAt: now, members: map[string]*member{}}
	r.members[cfg.Self.Name] = &member{Member: cfg.Self, state: Alive, since: now, lastReached: now, placed: true, nameHash: xxhash.Sum64String(cfg.Self.Name)}
	r.Tick(now)
	return r
}

// MarkAlive records that failure detection considers a member alive, with the information that it
// reports about itself. This gateway and empty names are ignored, and so is a new member if the
// registry is full and has none to evict.
func (r *Registry) MarkAlive(now time.Duration, m Member) {
	if m.Name == r.cfg.Self.Name || m.Name == "" {
		return
	}
	x := r.members[m.Name]
	if x == nil {
		if len(r.members) >= r.cfg.Most && !r.evictOldest() {
			return
		}
		x = &member{since: now, nameHash: xxhash.Sum64String(m.Name)}
		r.members[m.Name] = x
	}
	x.Member, x.lastReached, r.peerSeen = m, now, true
	r.setState(now, x, Alive, "answers")
}

// MarkSuspected records that a member did not answer but can still refute the suspicion. It affects
// only members that are alive.
func (r *Registry) MarkSuspected(now time.Duration, name string) {
	if x := r.members[name]; x != nil && x.state == Alive && name != r.cfg.Self.Name {
		x.lastReached = now
		r.setState(now, x, Suspected, "does not answer")
	}
}

// MarkGone records that a member announced its leave or, if announced is false, that failure
// detection declared it failed. A member that left cannot become failed. An empty reason selects a
// default text.
func (r *Registry) MarkGone(now time.Duration, name string, announced bool, reason string) {
	x := r.members[name]
	if x == nil || name == r.cfg.Self.Name {
		return
	}
	if x.state == Alive || x.state == Suspected {
		x.lastReached = now
	}
	if announced {
		if x.state == Alive || x.state == Suspected { // it no longer counts as expected
			for i := range r.peaks {
				r.peaks[i].n--
			}
		}
		r.setState(now, x, Left, cmp.Or(reason, "said so"))
		x.placed = false
	} else if x.state != Left {
		r.setState(now, x, Failed, cmp.Or(reason, "answers nobody"))
	}
}

func (r *Registry) setState(now time.Duration, x *member, to State, reason string) {
	if x.state == to {
		return
	}
	r.changes = append(r.changes, Change{At: now, Name: x.Name, From: x.state, To: to, Reason: reason, Age: now - x.since})
	if len(r.changes) > maxChanges {
		r.changes = slices.Delete(r.changes, 0, 1)
	}
	x.state, x.reason, x.since = to, reason, now
}

// maxChanges limits the changes that are kept until the next call of Changes; the oldest are dropped.
const maxChanges = 1024

// Changes returns the state transitions since the last call, oldest first.
func (r *Registry) Changes() []Change {
	list := r.changes
	r.changes = nil
	return list
}

// evictOldest removes the member that has been failed, unknown or left for the longest time. It
// reports whether there was one.
func (r *Registry) evictOldest() bool {
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

// Tick recomputes the view at the given time. It returns the time until which the view stays valid if
// no event is reported.
func (r *Registry) Tick(now time.Duration) (next time.Duration) {
	next = now + r.cfg.Window
	recheckAt := func(at time.Duration) {
		if at > now {
			next = min(next, at)
		}
	}
	n := r.count(now, recheckAt)
	r.recordPeak(now, n.reached)
	expected := r.peaks[0].n
	recheckAt(r.peaks[0].at + r.cfg.Window)
	v := View{Least: n.alive, Most: n.maySend, Reached: n.reached, Expected: expected, Side: side(n.reached, expected, r.cfg.Floor)}
	r.updatePositions(now, n.reached, expected, recheckAt)
	if now-r.createdAt < r.cfg.Window { // not all members that were there before may have been seen yet
		v.Most = max(v.Most, r.cfg.Typed)
		recheckAt(r.createdAt + r.cfg.Window)
	}
	if v.Typed = !r.peerSeen || n.reached == 1 && n.maySend == 1 || now-r.createdAt < r.cfg.Settle; v.Typed {
		v.Count, v.Place, v.Rank = r.cfg.Typed, r.cfg.Place, int(math.Round(r.cfg.Place*float64(r.cfg.Typed)))
		v.Least, v.Most = r.cfg.Typed, max(v.Most, r.cfg.Typed)
		recheckAt(r.createdAt + r.cfg.Settle)
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

// memberCounts holds numbers of members.
type memberCounts struct {
	reached int // alive or suspected
	alive   int // excluding suspected
	maySend int // may still send requests to hosts
}

// count counts the members and removes those that were last reached two windows ago. It calls
// recheckAt with the times at which the counts change without an event.
func (r *Registry) count(now time.Duration, recheckAt func(time.Duration)) (n memberCounts) {
	for _, x := range r.members {
		switch x.state {
		case Alive, Suspected:
			x.lastReached = now
			n.reached++
			if x.state == Alive {
				n.alive++
			}
		default:
			sinceReached := now - x.lastReached
			if sinceReached >= r.cfg.Window && x.Name != r.cfg.Self.Name {
				if sinceReached >= 2*r.cfg.Window {
					delete(r.members, x.Name)
				}
				continue
			}
			recheckAt(x.lastReached + r.cfg.Window)
		}
		if x.state != Left {
			n.maySend++
		} else if now-x.since < r.cfg.Linger {
			n.maySend++ // it completes its requests in flight
			recheckAt(x.since + r.cfg.Linger)
		}
	}
	return n
}

// updatePositions decides which members have a position. Below the floor, failed members are
// considered cut off: they become Unknown and keep their positions until the window ends. A single
// missing member is always considered failed, even in a fleet so small that it falls below the floor.
func (r *Registry) updatePositions(now time.Duration, reached, expected int, recheckAt func(time.Duration)) {
	partitioned := expected-reached > 1 && float64(reached) < r.cfg.Floor*float64(expected)
	for _, x := range r.members {
		switch {
		case x.state == Failed && partitioned:
			r.setState(now, x, Unknown, "failed with many others: it may be cut off")
		case x.state == Unknown && !partitioned:
			r.setState(now, x, Failed, "the others are back")
		}
		switch sinceReached := now - x.lastReached; {
		case x.state == Alive || x.state == Suspected:
			if !x.placed && (now-x.since >= r.cfg.Settle || now-r.createdAt < r.cfg.Settle) {
				x.placed = true
			} else if !x.placed {
				recheckAt(x.since + r.cfg.Settle)
			}
		case x.placed && (x.state == Left || sinceReached >= r.cfg.Window || x.state == Failed && sinceReached >= r.cfg.Patience):
			x.placed = false
		case x.placed && x.state == Failed:
			recheckAt(x.lastReached + r.cfg.Patience)
		}
	}
}

// rank returns the number of members with a position and how many of them come before this gateway.
func (r *Registry) rank() (count, rank int) {
	self := r.members[r.cfg.Self.Name]
	for _, x := range r.members {
		if !x.placed {
			continue
		}
		count++
		if x.nameHash < self.nameHash || x.nameHash == self.nameHash && x.Name < self.Name {
			rank++
		}
	}
	return count, rank
}

// recordPeak updates the peaks with the number of members reached now. The peaks stay in decreasing
// order, so that the first one is the maximum within the window.
func (r *Registry) recordPeak(now time.Duration, n int) {
	if last := len(r.peaks) - 1; last >= 0 && r.peaks[last].n > n {
		r.peaks[last].at = now // this number held until now
	}
	for len(r.peaks) > 0 && r.peaks[len(r.peaks)-1].n <= n {
		r.peaks = r.peaks[:len(r.peaks)-1]
	}
	r.peaks = append(r.peaks, peak{now, n})
	for len(r.peaks) > 1 && now-r.peaks[0].at >= r.cfg.Window {
		r.peaks = slices.Delete(r.peaks, 0, 1)
	}
}

// side returns the side of a partition for the numbers of members reached and expected.
func side(reached, expected int, floor float64) Side {
	switch fraction := float64(reached) / float64(max(expected, 1)); {
	case fraction >= floor:
		return Whole
	case fraction > 0.5:
		return Majority
	case reached > 1:
		return Minority
	}
	return Alone
}

// View returns the view computed by the last Tick.
func (r *Registry) View() View { return r.view }

// Places returns the name hashes of the members with a position, in the order of their ranks. It
// returns nil while the configured values are used (View.Typed).
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
		return cmp.Or(cmp.Compare(x.nameHash, y.nameHash), cmp.Compare(x.Name, y.Name))
	})
	ids := make([]uint64, len(placed))
	for i, x := range placed {
		ids[i] = x.nameHash
	}
	return ids
}

// Members returns the status of all members that are kept, sorted by name.
func (r *Registry) Members(now time.Duration) []Status {
	list := make([]Status, 0, len(r.members))
	for _, x := range r.members {
		list = append(list, Status{Member: x.Member, State: x.state, Reason: x.reason, Since: now - x.since, Placed: x.placed})
	}
	slices.SortFunc(list, func(x, y Status) int { return cmp.Compare(x.Name, y.Name) })
	return list
}
