// Package body decides what may still be done with a request whose body has partly come or
// gone: whether its beginning is still there for another attempt, and which ends are honest
// after what has happened to one. It does no I/O and reads no clock: it is
// told how many have come and says what becomes of them. Complete is the type of a body of which nothing is missing.
package body

import "frostshift"

// State is how much of a request's body could be sent once more.
type State uint8

// States. In all but Dropped another attempt can begin at the first byte.
const (
	Partial State = iota // the client still sends; all that has come is kept in memory
	Whole                // all has come and is kept in memory
	Spilled              // all that has come is kept on disk, whether more comes or not
	Dropped              // a part of it is gone
)

var stateNames = [...]string{"partial", "whole", "spilled", "dropped"}

// String names the state, for logs and tables.
func (s State) String() string { return stateNames[s] }

// Event is what has become of an attempt, or of the body itself, as far as it bears on what
// may follow. Those below Cut prove that nothing ran.
type Event uint8

// Events, the harmless ones first.
const (
	Untouched Event = iota // nothing of the request reached a host
	Declined               // a host said that it has not begun, whatever it had taken in
	Cut                    // a part of it went out and no answer came: a host may act on a part
	Lost                   // all of it went out and no answer came
	Answered               // an answer came that the client need not get
	Begun                  // a part of an answer's body went to the client, and the rest did not come
	Broken                 // the client's own sending broke off, or was not as it said
	events
)

var eventNames = [...]string{"untouched", "declined", "cut", "lost", "answered", "begun", "broken"}

// String names the event.
func (e Event) String() string { return eventNames[e] }

// Ways are the ends and further steps that are honest. To fail is always one.
type Ways uint8

// The ways.
const (
	Again     Ways = 1 << iota // another attempt at the same pool, if its class's rules agree
	Elsewhere                  // hand it on to a fallback
	Refuse                     // a refusal, which says that trying again is harmless
)

// Has says whether all ways of w are among them.
func (x Ways) Has(w Ways) bool { return x&w == w }

// String lists the ways, for the table in the documentation.
func (x Ways) String() string {
	out := ""
	for i, name := range [...]string{"again", "elsewhere", "refuse"} {
		if x&(1<<i) != 0 {
			if out != "" {
				out += ", "
			}
			out += name
		}
	}
	if out == "" {
		return "fail"
	}
	return out
}

// Effects are the classes that the table tells apart, in its order.
var Effects = [...]frostshift.Effect{frostshift.Safe, frostshift.Keyed, frostshift.Unsafe}

// kept is the table of the states in which the beginning is there still; gone that of
// Dropped. Rows are events; columns are safe, keyed and unsafe.
//
// A keyed request stays with its pool even where nothing ran: hosts of another drop no
// repeats of this one's, and its client will come back with the key. Where it may have run,
// whether a refusal would be harmless depends on its group and window, which the balancer
// knows: this table then leaves it another attempt, which the balancer may deny.
var (
	kept = [events][len(Effects)]Ways{
		Untouched: {Again | Elsewhere | Refuse, Again | Refuse, Again | Elsewhere | Refuse},
		Declined:  {Again | Elsewhere | Refuse, Again | Refuse, Again | Elsewhere | Refuse},
		Cut:       {Again | Refuse, Again, 0},
		Lost:      {Again | Refuse, Again, 0},
		Answered:  {Again | Refuse, Again, 0},
		Begun:     {0, 0, 0},
		Broken:    {0, 0, 0},
	}
	gone = [events][len(Effects)]Ways{
		Untouched: {Refuse, Refuse, Refuse},
		Declined:  {Refuse, Refuse, Refuse},
		Cut:       {Refuse, 0, 0},
		Lost:      {Refuse, 0, 0},
		Answered:  {Refuse, 0, 0},
		Begun:     {0, 0, 0},
		Broken:    {0, 0, 0},
	}
)

// May says which ways are honest for a request of the effect in the state after the event.
func May(s State, e Event, effect frostshift.Effect) Ways {
	for i, x := range Effects {
		if x != effect {
			continue
		}
		if s == Dropped {
			return gone[e][i]
		}
		return kept[e][i]
	}
	return 0
}

// Step says what becomes of bytes that have come.
type Step uint8

// Steps.
const (
	Keep  Step = iota // in memory, beside those that came before
	Spill             // on disk, together with all that is kept in memory
	Drop              // they go on and are not kept; what was kept is let go
)

// Bounds say how much may be kept.
type Bounds struct {
	Memory int64 // bytes in memory
	Disk   int64 // bytes on disk, those that were in memory first included; 0: there is none
	Most   int64 // bytes that the body may have at all; 0: any number
	Length int64 // bytes that the client has announced; -1: it has not
}

// Replay follows the body of one request as it comes. It is not safe for concurrent use.
type Replay struct {
	bounds Bounds
	state  State
	came   int64
}

// NewReplay returns the replay of a body of which nothing has come.
func NewReplay(b Bounds) *Replay { return &Replay{bounds: b} }

// State is how things stand.
func (r *Replay) State() State { return r.state }

// Came is how many bytes have.
func (r *Replay) Came() int64 { return r.came }

// TooLong says whether n more bytes would be more than the body may have, and OffLength
// whether they would be more than the client has announced.
func (r *Replay) TooLong(n int64) bool { return r.bounds.Most > 0 && r.came+n > r.bounds.Most }

// OffLength says whether n more bytes are more than the client has announced.
func (r *Replay) OffLength(n int64) bool { return r.bounds.Length >= 0 && r.came+n > r.bounds.Length }

// Took notes that n bytes have come and says what becomes of them. needed says that they
// must not be let go yet, whatever the bounds: the attempt that asked for them has ended,
// and nothing else has them.
func (r *Replay) Took(n int64, needed bool) Step {
	r.came += n
	switch {
	case r.state == Dropped:
		return Drop
	case r.state == Spilled && r.came <= r.bounds.Disk:
		return Spill
	case r.state == Partial && r.came <= r.bounds.Memory:
		return Keep
	case r.state == Partial && r.came <= r.bounds.Disk:
		r.state = Spilled
		return Spill
	case needed && r.state == Partial:
		return Keep
	case needed:
		return Spill
	}
	r.state = Dropped
	return Drop
}

// End notes that the last byte has come, and says whether there were as many as announced.
func (r *Replay) End() bool {
	if r.state == Partial {
		r.state = Whole
	}
	return r.bounds.Length < 0 || r.came == r.bounds.Length
}

// Lose notes that what was kept is gone: there is no room for it, or the disk failed.
func (r *Replay) Lose() { r.state = Dropped }

// NoDisk notes that nothing can be kept on disk. What is still in memory alone stays there.
func (r *Replay) NoDisk() {
	r.bounds.Disk = 0
	if r.state == Spilled {
		r.state = Dropped
	}
}
