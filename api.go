// Package frostshift implements the decision logic of an HTTP load balancer that runs as a
// small fleet of proxies: which host each request is sent to, when it is retried, and when it
// is refused.
//
// A [Balancer] is a state machine that performs no I/O. The gateway that embeds it reports
// what happens (a request arrives, an attempt ends, a timer fires, the host list changes) by
// calling one method per event, each with the current time, and then carries out the [Action]
// values that it collects with [Balancer.Drain]. The balancer starts no goroutine and reads no
// clock; the same events and seed always lead to the same actions.
//
// The balancer retains no slice that is passed to it, and what Drain appends belongs to the
// caller; in steady state neither side allocates. A balancer keeps the state of a request until
// the request has its answer and all its attempts have ended, and that of a removed host until
// its last attempt has ended. After a restart, pass the host list that was saved last as
// ListSaved right after Start.
//
// A Balancer is not safe for concurrent use. A gateway with several threads runs either one
// Balancer in one event loop, or one Balancer per thread with Instances raised accordingly.
//
// This file declares the types of the interface except for [Memory] and [Status]; the decision
// logic is in balancer.go, coldhost.go and state.go.
package frostshift

import (
	"fmt"
	"strconv"
	"time"
)

// Time is an instant on the gateway's own monotonic clock, as the time since
// an arbitrary start. It must never go backward.
type Time = time.Duration

// HostID identifies a host. The balancer only compares IDs and does not interpret them.
type HostID uint64

// Hex returns the ID as logs show it: 16 digits.
func (id HostID) Hex() string { return fmt.Sprintf("%016x", uint64(id)) }

// RequestID identifies a client request and is below 1<<56. An ID must not be reused while the
// gateway still has a request or an attempt under it.
type RequestID uint64

// Effect says whether a request may be executed more than once.
type Effect uint8

// Effects of a class.
const (
	Safe   Effect = iota // may run any number of times
	Keyed                // the hosts of one Group deduplicate repeats within Window
	Unsafe               // must never run twice
)

// Group says which hosts share the deduplication of keyed requests.
type Group uint8

// Groups of a keyed class.
const (
	GroupAll  Group = iota // every host
	GroupZone              // the hosts of one zone
	GroupCell              // the hosts of one cell
)

// Class describes one kind of request.
type Class struct {
	Aim      time.Duration // latency target: an answer within it earns the full worth; 0: Deadline
	Deadline time.Duration // longest time that a client waits for its answer
	Worth    float64       // value of an answer, a weight; 0 means 1
	Effect   Effect
	Group    Group         // used with Keyed
	Window   time.Duration // used with Keyed: counted from the first attempt that may have run
}

// Tenant describes one customer. Quota is its limit in requests per second over all
// instances; 0 means no quota.
type Tenant struct {
	Quota float64
}

// Settings describes the deployment of a Balancer. A zero value in an optional field selects
// the default named in the comment of that field.
type Settings struct {
	Instances int // number of balancers in the fleet, including this one; at least 1
	Rank      int // number of this instance, from 0 to Instances-1
	Zone      int // zone of this instance, from 0
	Zones     int // number of zones that contain instances; 0 means 1
	Classes   []Class
	Tenants   []Tenant      // optional
	Step      time.Duration // shortest time between two rounds of event handling; optional

	MaxAttempts    int           // attempts that a request may have, one at a time; 0 means 3
	Cancel         bool          // Cancel actions are allowed
	MaxRetryAfter  time.Duration // longest retry delay that clients honor; 0: none is advised
	OverQuotaWorth float64       // factor on the worth of a request beyond its tenant's quota
	PreferNear     bool          // the candidates of a selection always include a host of this zone
	CrossPrice     float64       // fraction of a request's worth that an attempt in another zone costs

	Ask       bool          // the host list must be requested (Watch); otherwise it is pushed
	AskWithin time.Duration // longest time without a watch or a request for the list; 0 means 10 s

	ColdFrom       float64       // share of its capacity that a host starts with; 0 means 1: hosts start warm
	WarmAfter      time.Duration // time from its start after which a host is warm
	OverloadFactor float64       // load, as a multiple of its present capacity, that overloads a cold host; 0 means 2
	OverloadWindow time.Duration // time that such a load must last to overload the host; 0 means 1 s
}

// Fleet reports how many instances share the hosts, as far as is known now, and the position of
// this instance among them.
type Fleet struct {
	Position float64 // on the ring of all instances, from 0 to below 1
	Min, Max int     // bounds of the number of instances, including this one
}

// HostHealth is the state of a host as derived by the caller from the outcomes that peers
// report.
type HostHealth struct {
	Host      HostID
	Suspicion float64 // that the host is unhealthy, from 0 (none) to 1 (certain)
	Down      bool    // several peers had a connection refused, and none has been answered since
	Wait      bool    // with Down: peers probe the host, so this instance should wait
	Until     Time    // the report expires then
}

// PeerLoad is the number of attempts that other instances have in flight at a host, as far as
// they report it.
type PeerLoad struct {
	Host     HostID
	InFlight float64
	Until    Time // the report expires then
}

// HostState is the state of a host in the host list.
type HostState uint8

// States of a listed host.
const (
	Ready    HostState = iota // takes requests
	Draining                  // finishes its work and gets no new requests
	Removed                   // no longer exists; only used in ListChanges
)

// Host is an entry of the host list.
type Host struct {
	ID      HostID
	Zone    int
	Cell    int
	Kind    int // machine type: hosts of one kind have similar capacity
	State   HostState
	Started Time // when it last started; 0 means long ago
	Backup  bool // takes requests only when no other host can
	// Weight is the relative probability that the host is selected as a candidate, and its
	// relative capacity; 0 means 1. Weights are only hints: the estimated latencies decide
	// between the two candidates of a selection.
	Weight float64
	// Sharers is the number of instances that use the host when the list is this instance's
	// subset of a longer list; 0 means that the list is complete and that the balancer chooses
	// a subset itself.
	Sharers int
}

// ListKind says how to interpret a host list.
type ListKind uint8

// Kinds of list.
const (
	ListFull    ListKind = iota // the complete list; hosts that are not on it no longer exist
	ListChanges                 // only the entries that changed
	ListSaved                   // the complete list as saved earlier, possibly stale
	ListFailed                  // a request for the list failed or a watch broke; no entries
)

// Request is a client's request that awaits one final answer.
type Request struct {
	ID     RequestID
	Class  int           // index in Settings.Classes
	Tenant int           // index in Settings.Tenants
	Left   time.Duration // time until the client gives up on this request; 0: its deadline is now
	Repeat bool          // the client marks it as a retry of its own
	Spent  int           // attempts already made at another fleet of hosts, none of which ran
}

// Result says how an attempt ended.
type Result uint8

// Results. Those marked so prove that the host never executed the attempt; after any other
// result it may have.
const (
	OK            Result = iota
	Failed               // the host answered with an error
	Full                 // the host refused it without processing it (proves it never ran)
	TimedOut             // no answer in time
	ConnectFailed        // no connection (proves it never ran)
	Reset                // the connection broke
	Canceled             // canceled by a Cancel action
	NotSent              // the gateway did not send it (proves it never ran)
	Busy                 // the host answered that it is overloaded; the attempt may have run
)

// Outcome is the end of one attempt. Each Send has exactly one.
type Outcome struct {
	Request RequestID
	Attempt int // attempts of a request count from 0 in the order of their Send
	Result  Result
	Elapsed time.Duration // since the Send
	After   time.Duration // retry delay that the host asks for; 0 means that it names none
	Closed  bool          // the client has its final answer, so the request is complete
}

// ActionKind says what the gateway must do.
type ActionKind uint8

// Kinds of action.
const (
	Send   ActionKind = iota // start an attempt of Request at Host and time out at At (0: at the client's deadline)
	Cancel                   // cancel Attempt of Request
	Refuse                   // final answer: refused, a retry is harmless; After is the advised delay (0: none)
	Fail                     // final answer: an error that does not say whether the request ran
	Wake                     // call Timer with Token at At or soon after
	Watch                    // ask discovery for changes from now on
	Log                      // a log line, in Text, for operators
)

var (
	resultNames = [...]string{"OK", "Failed", "Full", "TimedOut", "ConnectFailed", "Reset", "Canceled", "NotSent", "Busy"}
	actionNames = [...]string{"Send", "Cancel", "Refuse", "Fail", "Wake", "Watch", "Log"}
)

// String returns the name of the result, for logs.
func (r Result) String() string { return nameOf(resultNames[:], int(r)) }

// String returns the name of the kind, for logs.
func (k ActionKind) String() string { return nameOf(actionNames[:], int(k)) }

func nameOf(names []string, i int) string {
	if i < len(names) {
		return names[i]
	}
	return strconv.Itoa(i)
}

// Action is one operation that the gateway must carry out. Only the fields named in the
// comment of its kind are set.
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
