// Package frostshift makes the decisions of an HTTP load balancer that runs as
// a small fleet of proxies: where each request goes, when it is tried again,
// when it is turned away.
//
// A [Balancer] is a state machine without I/O. The gateway that embeds it
// reports what happens (a request arrives, an attempt ends, a timer rings, the
// host list changes) by calling one method per event, each with the current
// time, and then carries out the [Action] values it collects with
// [Balancer.Drain]. The balancer starts no goroutine, reads no clock and does
// no I/O; the same events and seed always lead to the same actions.
//
// The balancer keeps no slice that it is given, and what Drain appends belongs to
// the caller; in steady state neither side allocates. A balancer keeps a request
// until it has its answer and all its attempts have ended, and a removed host until
// its last attempt has. To start again after a restart, pass the host list saved
// last as ListSaved right after Start.
//
// A Balancer is not safe for concurrent use. A gateway with several threads
// runs one Balancer in one event loop, or one Balancer a thread with Instances
// raised accordingly.
//
// This file is the whole interface; every decision is in balancer.go.
package frostshift

import (
	"strconv"
	"time"
)

// Time is an instant on the gateway's own monotonic clock, as the time since
// an arbitrary start. It must never go backward.
type Time = time.Duration

// HostID names a host. The balancer compares IDs and reads nothing into them.
type HostID uint64

// RequestID names a client request, below 1<<56. An ID must not be used again
// while the gateway still holds a request or an attempt under it.
type RequestID uint64

// Effect says what a repeat of a request may do.
type Effect uint8

// Effects of a class.
const (
	Safe   Effect = iota // may run any number of times
	Keyed                // hosts of one Group drop repeats for a Window
	Unsafe               // must never run twice
)

// Group says which hosts drop the repeats of a keyed request.
type Group uint8

// Groups of a keyed class.
const (
	GroupAll  Group = iota // every host
	GroupZone              // the hosts of one zone
	GroupCell              // the hosts of one cell
)

// Class describes one kind of request.
type Class struct {
	Aim      time.Duration // an answer within it earns the full worth
	Deadline time.Duration // how long a client waits in all
	Worth    float64       // worth of an answer; 0 counts as 1
	Effect   Effect
	Group    Group         // for Keyed
	Window   time.Duration // for Keyed: counted from the first attempt that may have run
}

// Tenant describes one customer. Quota is its requests a second over all
// instances; 0 means no quota.
type Tenant struct {
	Quota float64
}

// Settings is what a Balancer knows of its deployment. The zero value of an
// optional field gives the default named beside it.
type Settings struct {
	Instances int // balancers in the fleet, this one included; at least 1
	Rank      int // this one's number, from 0
	Zone      int // the zone this one stands in
	Zones     int // zones that instances stand in; 0: 1
	Classes   []Class
	Tenants   []Tenant      // optional
	Step      time.Duration // events are handled at most this often; optional

	MaxAttempts    int           // attempts a request may have, one at a time; 0: 3
	Cancel         bool          // Cancel actions are allowed
	MaxRetryAfter  time.Duration // longest advice a client heeds; 0: advise nothing
	OverQuotaWorth float64       // worth of a request beyond its tenant's quota, as a share
	PreferNear     bool          // a near host is always among those that are weighed
	CrossPrice     float64       // worth lost by an attempt at a host of another zone, as a share of a request's

	Ask       bool          // the host list must be asked for (Watch), it is not pushed
	AskWithin time.Duration // longest time without a watch or a question; 0: 10 s

	ColdFrom       float64       // share of its capacity a host starts with; 0: 1, hosts start warm
	WarmAfter      time.Duration // a host is warm this long after its start
	OverloadFactor float64       // a cold host falls over at this multiple of its present capacity; 0: 2
	OverloadWindow time.Duration // kept up for this long; 0: 1 s
}

// Fleet is how many instances share the hosts, by what is known now, and where this one stands.
type Fleet struct {
	Position                   float64 // on a ring of all, from 0 to below 1
	MinInstances, MaxInstances int     // instances there may be, this one included
}

// HostHealth is what other instances' outcomes say of a host, as whoever puts them together judges.
type HostHealth struct {
	Host      HostID
	Suspicion float64 // that it is in order, from 0 to 1
	Down      bool    // several were refused a connection, and nobody was answered since
	Wait      bool    // others try it, where it is down
	Until     Time    // worth nothing later
}

// PeerLoad is how many attempts other instances have out at a host, as far as they say and it is fresh.
type PeerLoad struct {
	Host     HostID
	InFlight float64
	Until    Time // worth nothing later
}

// HostState is what the host list says of a host.
type HostState uint8

// Listed states.
const (
	Ready    HostState = iota // takes requests
	Draining                  // finishes its work, gets nothing new
	Removed                   // gone; only among changes
)

// Host is an entry of the host list.
type Host struct {
	ID      HostID
	Zone    int
	Cell    int
	Kind    int // machines of one kind are of like size
	State   HostState
	Started Time // when it last started; 0: long ago
	Backup  bool // takes requests only where no other host can
	// Weight is its share of the draw beside others, and how much it can hold beside them; 0:
	// 1. Weights are wishes: estimates decide between the two that are drawn.
	Weight float64
	// Sharers is how many instances use the host, where the list is this instance's part
	// of a longer one; 0: the list is the whole, and the balancer chooses a part by itself.
	Sharers int
}

// ListKind says how a host list is to be read.
type ListKind uint8

// Kinds of list.
const (
	ListFull    ListKind = iota // the whole list; hosts not on it are gone
	ListChanges                 // only entries that changed
	ListSaved                   // the whole list as saved earlier, maybe stale
	ListFailed                  // a question failed or a watch broke; no entries
)

// Request is a client's request that now awaits one final answer.
type Request struct {
	ID     RequestID
	Class  int           // index in Settings.Classes
	Tenant int           // index in Settings.Tenants
	Left   time.Duration // until the client gives up on this try; 0: it is due now
	Repeat bool          // the client marks it as a repeat
	Spent  int           // attempts it has had at another fleet of hosts, none of which ran
}

// Result says how an attempt ended.
type Result uint8

// Results. Those marked so prove that the attempt never ran; after any other
// it may have.
const (
	OK            Result = iota
	Failed               // the host answered with an error
	Full                 // turned away unseen (proves it never ran)
	TimedOut             // no answer in time
	ConnectFailed        // no connection (proves it never ran)
	Reset                // the connection broke
	Canceled             // called off by a Cancel action
	NotSent              // the gateway did not send it (proves it never ran)
	Busy                 // the host answered that it has too much to do; it may have run
)

// Outcome is the end of one attempt. Each Send has exactly one.
type Outcome struct {
	Request RequestID
	Attempt int // attempts of a request count from 0 in the order of their Send
	Result  Result
	Elapsed time.Duration // since the Send
	After   time.Duration // when the host wants to be asked again, where it says so; 0: no hint
	Closed  bool          // the client has its answer, nothing more is owed
}

// ActionKind says what the gateway is asked to do.
type ActionKind uint8

// Kinds of action.
const (
	Send   ActionKind = iota // start an attempt of Request at Host, give it up at At (0: at the client's deadline)
	Cancel                   // call off Attempt of Request
	Refuse                   // final answer: turned away, trying again is harmless; After is advice (0: none)
	Fail                     // final answer: an error that promises nothing
	Wake                     // call Timer with Token at At or soon after
	Watch                    // ask discovery for changes from now on
	Log                      // a line for those on call
)

var (
	resultNames = [...]string{"OK", "Failed", "Full", "TimedOut", "ConnectFailed", "Reset", "Canceled", "NotSent", "Busy"}
	actionNames = [...]string{"Send", "Cancel", "Refuse", "Fail", "Wake", "Watch", "Log"}
)

// String names the result, for logs.
func (r Result) String() string { return nameOf(resultNames[:], int(r)) }

// String names the kind, for logs.
func (k ActionKind) String() string { return nameOf(actionNames[:], int(k)) }

func nameOf(names []string, i int) string {
	if i < len(names) {
		return names[i]
	}
	return strconv.Itoa(i)
}

// Action is one thing for the gateway to do. Only the fields named at its kind
// mean anything.
type Action struct {
	Kind    ActionKind
	Request RequestID
	Attempt int
	Host    HostID
	At      Time
	After   time.Duration
	Token   uint64
	Text    string
}
