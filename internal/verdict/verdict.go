// Package verdict says what a host's answer means, in three questions kept apart: is it the
// answer that the client gets, did the request run, and what does it tell of the host. It is
// the one place that does, for hosts of any protocol; what follows from the meaning is for
// the exchange and the balancer. The package does no I/O, reads no clock and knows nothing
// of requests, connections or pools.
//
// verdict.go is meanings and the sets of rules that give them, compile.go makes a set from
// what a configuration says, jury.go tells a host's fault from a request's, budget.go bounds
// repeats, after.go reads Retry-After.
package verdict

import "net/http"

// Disposition says what the client gets of an answer.
type Disposition uint8

// What the client gets.
const (
	// Final is the service's own answer: it goes to the client at once.
	Final Disposition = iota
	// Spare is kept while another attempt may bring a better one, and goes to the client if
	// none does.
	Spare
	// Hidden never goes to the client: if no attempt does better, the gateway answers itself.
	Hidden
)

// Ran says whether the request that was answered has run.
type Ran uint8

// Whether it ran.
const (
	Yes   Ran = iota // it has
	Maybe            // it may have: what an unsafe request may not survive twice
	Never            // the host says that it has not, and this is taken for a proof
)

// Health says what an answer tells of the host that gave it.
type Health uint8

// What it tells.
const (
	Good     Health = iota // the host works, and its latency counts
	Fault                  // the host, or the request, is at fault: see Jury
	Strained               // the host has more than it can do
	Silent                 // nothing, not even by its latency
)

// Meaning is the answer to the three questions.
type Meaning struct {
	Disposition  Disposition
	Ran    Ran
	Health Health
}

// Event is an end of an attempt without an answer.
type Event uint8

// Events.
const (
	TimedOut  Event = iota // no answer in time
	Reset                  // the connection broke after the request's last byte
	Malformed              // an answer that can't be read, does not end or is too long
	events
)

// Set is the meanings of all answers. It never changes, and any number of goroutines may
// use it. A nil Set is the platform's.
type Set struct {
	name     string
	status   [1000]Meaning // by status, where no header says otherwise
	chains   [1000]uint16  // by status: rules that look at headers, 1 + an index in rules; 0: none
	rules    [][]headerRule
	final    [events]bool // no further attempt follows the event
	fromHost bool         // when attempts are used up the client gets the last kept answer
	blame    bool         // every Fault is the host's: there is no Jury
	own      bool         // the meanings are the platform's: see Platform
}

type headerRule struct {
	name    string // canonical
	op      Op
	value   string
	meaning Meaning
}

// Op says how a header's first value is matched.
type Op uint8

// Ops.
const (
	Any    Op = iota // the rule looks at no header
	Is               // it is there and has the value
	IsNot            // it is missing or has another value
	Exists           // it is there
	Lacks            // it is missing
)

func (r *headerRule) holds(h http.Header) bool {
	v := h[r.name]
	switch r.op {
	case Is:
		return len(v) > 0 && v[0] == r.value
	case IsNot:
		return len(v) == 0 || v[0] != r.value
	case Exists:
		return len(v) > 0
	case Lacks:
		return len(v) == 0
	}
	return true
}

// Judge says what an answer means. It allocates nothing.
func (s *Set) Judge(status int, header http.Header) Meaning {
	if s == nil {
		s = &platform
	}
	if status < 100 || status >= len(s.status) {
		return Meaning{Hidden, Maybe, Fault} // no status at all
	}
	if n := s.chains[status]; n > 0 {
		for i := range s.rules[n-1] {
			if r := &s.rules[n-1][i]; r.holds(header) {
				return r.meaning
			}
		}
	}
	return s.status[status]
}

// Ends says whether no further attempt follows an event, whatever the class allows.
func (s *Set) Ends(e Event) bool { return s != nil && s.final[e] }

// FromHost says whether the client gets the last kept answer when attempts are used up, and
// not the gateway's own.
func (s *Set) FromHost() bool { return s != nil && s.fromHost }

// Blames says that every fault is the host's own.
func (s *Set) Blames() bool { return s == nil || s.blame }

// IsPlatform says whether the meanings are the platform's: answers are then given as its protocol
// has them and no other way.
func (s *Set) IsPlatform() bool { return s == nil || s.own }

// Name is the name of the set in its configuration.
func (s *Set) Name() string {
	if s == nil {
		return platform.name
	}
	return s.name
}

// platform is what the platform's protocol says of answers: 200 is served, 503 and 504 with
// X-Unprocessed: 1 have not run, and anything else is an error that may have.
var platform = func() Set {
	s := Set{name: "platform", blame: true, own: true, rules: [][]headerRule{{
		{"X-Unprocessed", Is, "1", Meaning{Hidden, Never, Strained}}}}}
	for i := range s.status {
		s.status[i] = Meaning{Hidden, Maybe, Fault}
	}
	s.status[200] = Meaning{Final, Yes, Good}
	s.chains[503], s.chains[504] = 1, 1
	return s
}()

// Platform is the set of the platform's protocol.
func Platform() *Set { return &platform }

// plain is what answers of ordinary services mean (RFC 9110 section 15).
var plain = func() Set {
	s := Set{name: "plain", fromHost: true}
	for i := range s.status {
		switch {
		case i < 200: // 101, which nobody has asked for; the others are passed over
			s.status[i] = Meaning{Hidden, Maybe, Fault}
		case i < 500:
			s.status[i] = Meaning{Final, Yes, Good}
		case i < 600:
			s.status[i] = Meaning{Final, Yes, Silent}
		default: // no class that is known: treated as 5xx (section 15)
			s.status[i] = Meaning{Spare, Yes, Fault}
		}
	}
	for status, m := range map[int]Meaning{
		408: {Spare, Maybe, Silent}, // the host did not get the request in time, it says
		421: {Spare, Never, Silent}, // it does not answer for this authority: anyone may ask elsewhere (15.5.20)
		425: {Final, Never, Silent}, // too early (RFC 8470): the client knows what it risked
		429: {Final, Yes, Silent},   // this client asks too much (RFC 6585): elsewhere it would as well
		500: {Spare, Yes, Fault},
		502: {Spare, Maybe, Fault}, // of a host that asks further ones
		503: {Spare, Maybe, Strained},
		504: {Spare, Maybe, Fault},
	} {
		s.status[status] = m
	}
	return s
}()

// Plain is the set for ordinary services.
func Plain() *Set { return &plain }

var (
	givesNames  = [...]string{"final", "spare", "hidden"}
	ranNames    = [...]string{"yes", "maybe", "never"}
	healthNames = [...]string{"good", "fault", "strained", "silent"}
	eventNames  = [...]string{"timeout", "reset", "malformed"}
)

// String names it as configurations do.
func (g Disposition) String() string { return givesNames[g] }

// String names it as configurations do.
func (r Ran) String() string { return ranNames[r] }

// String names it as configurations do.
func (h Health) String() string { return healthNames[h] }

// String names it as configurations do.
func (e Event) String() string { return eventNames[e] }
