// Package verdict determines what a host's answer means, by three independent questions: does
// the client get the answer, did the request run, and what does the answer show about the host's
// health. It is the only package that does so, for hosts of any protocol; the exchange and the
// balancer act on the result. The package contains pure decision logic: it performs no I/O, the
// caller passes the time, and it does not depend on requests, connections or pools.
//
// verdict.go holds meanings and the sets of rules that determine them, compile.go compiles a set
// from a configuration, jury.go distinguishes faults of a host from faults of a request, budget.go
// limits retries, and after.go parses Retry-After.
package verdict

import "net/http"

// Disposition determines whether the client gets an answer.
type Disposition uint8

// Dispositions.
const (
	// Final means that the answer is the service's own and goes to the client at once.
	Final Disposition = iota
	// Spare means that the answer is kept while another attempt may yield a better one, and goes
	// to the client if none does.
	Spare
	// Hidden means that the answer never goes to the client: if no attempt yields a better one,
	// the gateway itself answers.
	Hidden
)

// Ran states whether the host has run the request that it answered.
type Ran uint8

// Values of Ran.
const (
	Yes   Ran = iota // the request has run
	Maybe            // the request may have run; running an unsafe one twice may do harm
	Never            // the host states that the request has not run, which is taken as proof
)

// Health is what an answer shows about the host that sent it.
type Health uint8

// Values of Health.
const (
	Good     Health = iota // the host works, and its latency counts
	Fault                  // the host, or the request, is at fault: see OutlierDetector
	Strained               // the host is overloaded
	Silent                 // the answer shows nothing about the host, and its latency is ignored
)

// Meaning holds the answers to the three questions of the package.
type Meaning struct {
	Disposition Disposition
	Ran         Ran
	Health      Health
}

// Event is the way in which an attempt ended without an answer.
type Event uint8

// Events.
const (
	TimedOut  Event = iota // no answer in time
	Reset                  // the connection broke after the request's last byte
	Malformed              // the answer could not be parsed, did not end or was too long
	events
)

// Set determines the meanings of all answers. It is immutable and safe for concurrent use. A nil
// Set is that of the platform's protocol.
type Set struct {
	name       string
	status     [1000]Meaning  // by status, where no rule with a header matches
	chains     [1000]uint16   // by status: 1 + the index in rules of the rules with a header; 0 means none
	rules      [][]headerRule // lists of rules with a header, in order; the first match applies
	final      [events]bool   // no further attempt follows the event
	fromHost   bool           // when attempts are used up, the client gets the last Spare answer
	blame      bool           // every Fault is the host's: no OutlierDetector is consulted
	isPlatform bool           // the set is that of the platform's protocol: see Platform
}

// headerRule is a compiled rule with a header condition.
type headerRule struct {
	name    string // in canonical form
	op      Op
	value   string
	meaning Meaning
}

// Op is how a header's first value is matched.
type Op uint8

// Values of Op.
const (
	Any    Op = iota // the rule has no header condition
	Is               // the header is present with the value
	IsNot            // the header is missing or has another value
	Exists           // the header is present
	Lacks            // the header is missing
)

// matches reports whether the header fields meet the rule's condition.
func (r *headerRule) matches(h http.Header) bool {
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

// Judge returns what an answer means. It does not allocate.
func (s *Set) Judge(status int, header http.Header) Meaning {
	if s == nil {
		s = &platform
	}
	if status < 100 || status >= len(s.status) {
		return Meaning{Hidden, Maybe, Fault} // not a valid status
	}
	if n := s.chains[status]; n > 0 {
		for i := range s.rules[n-1] {
			if r := &s.rules[n-1][i]; r.matches(header) {
				return r.meaning
			}
		}
	}
	return s.status[status]
}

// Ends reports whether no further attempt follows an event, whatever the class allows.
func (s *Set) Ends(e Event) bool { return s != nil && s.final[e] }

// FromHost reports whether the client gets the last Spare answer when attempts are used up,
// rather than an answer of the gateway.
func (s *Set) FromHost() bool { return s != nil && s.fromHost }

// Blames reports whether every fault is attributed to the host.
func (s *Set) Blames() bool { return s == nil || s.blame }

// IsPlatform reports whether the set is that of the platform's protocol. Answers are then only of
// the forms that this protocol defines.
func (s *Set) IsPlatform() bool { return s == nil || s.isPlatform }

// Name returns the name of the set in its configuration.
func (s *Set) Name() string {
	if s == nil {
		return platform.name
	}
	return s.name
}

// platform holds the meanings of the platform's protocol: 200 means that the request was served,
// 503 and 504 with X-Unprocessed: 1 that it has not run, and anything else is an error after which
// it may have run.
var platform = func() Set {
	s := Set{name: "platform", blame: true, isPlatform: true, rules: [][]headerRule{{
		{"X-Unprocessed", Is, "1", Meaning{Hidden, Never, Strained}}}}}
	for i := range s.status {
		s.status[i] = Meaning{Hidden, Maybe, Fault}
	}
	s.status[200] = Meaning{Final, Yes, Good}
	s.chains[503], s.chains[504] = 1, 1
	return s
}()

// Platform returns the set of the platform's protocol.
func Platform() *Set { return &platform }

// plain holds the meanings of the answers of ordinary services (RFC 9110 section 15).
var plain = func() Set {
	s := Set{name: "plain", fromHost: true}
	for i := range s.status {
		switch {
		case i < 200: // 101, which was not requested; other 1xx never get here
			s.status[i] = Meaning{Hidden, Maybe, Fault}
		case i < 500:
			s.status[i] = Meaning{Final, Yes, Good}
		case i < 600:
			s.status[i] = Meaning{Final, Yes, Silent}
		default: // an unknown class is treated as 5xx (section 15)
			s.status[i] = Meaning{Spare, Yes, Fault}
		}
	}
	for status, m := range map[int]Meaning{
		408: {Spare, Maybe, Silent}, // the host states that it did not receive the request in time
		421: {Spare, Never, Silent}, // misdirected request: it may be retried elsewhere, whatever its method (15.5.20)
		425: {Final, Never, Silent}, // too early (RFC 8470): the client knows that it sent early data and may retry
		429: {Final, Yes, Silent},   // this client exceeds its rate (RFC 6585), and would at other hosts as well
		500: {Spare, Yes, Fault},
		502: {Spare, Maybe, Fault}, // from a host that is itself a gateway to others
		503: {Spare, Maybe, Strained},
		504: {Spare, Maybe, Fault},
	} {
		s.status[status] = m
	}
	return s
}()

// Plain returns the set for ordinary services.
func Plain() *Set { return &plain }

var (
	givesNames  = [...]string{"final", "spare", "hidden"}
	ranNames    = [...]string{"yes", "maybe", "never"}
	healthNames = [...]string{"good", "fault", "strained", "silent"}
	eventNames  = [...]string{"timeout", "reset", "malformed"}
)

// String returns the name used in configurations.
func (g Disposition) String() string { return givesNames[g] }

// String returns the name used in configurations.
func (r Ran) String() string { return ranNames[r] }

// String returns the name used in configurations.
func (h Health) String() string { return healthNames[h] }

// String returns the name used in configurations.
func (e Event) String() string { return eventNames[e] }
