// Package drain decides how a gateway gives its clients up and takes them back: what it says
// of itself, whether answers end their connections, and how many idle connections are to be
// closed by when. It does no I/O, reads no clock and holds no connection.
//
// A client learns at three places that a gateway leaves: from the front, which asks whether
// it is ready, from an answer that ends its connection, and from the close of one that is
// idle. They are used in this order, as only the last can cross a request.
package drain

import "time"

// State is how far a gateway has given its clients up.
type State uint8

// States. A gateway goes from each to the next by time alone, and back to Working from any
// by the order to.
const (
	Working State = iota
	Leaving       // it says that it is not ready; new connections still come, answers end theirs
	Closing       // idle connections are closed, spread over the time
	Drained       // a connection ends as soon as it is idle
)

var stateNames = [...]string{"working", "leaving", "closing", "drained"}

// String names the state, for logs and tables.
func (s State) String() string { return stateNames[s] }

const (
	// LeavingFor is how long new connections are reckoned with: a front asks ten times a second
	// and goes on for 0.2 s behind a no.
	LeavingFor = 500 * time.Millisecond
	// ClosingFor is how long the closes of idle connections are spread over: all have gone 2 s
	// behind the order, and what they carry is younger than the 4 s that are given.
	ClosingFor = 1300 * time.Millisecond
	// StepInterval is how often Step wants to be called while the gateway gives its clients up.
	StepInterval = 50 * time.Millisecond
	// SilentAfter is how long a connection that has said nothing may stay behind Leaving.
	SilentAfter = 300 * time.Millisecond
)

// Machine is the state of one gateway. The zero value works. It is not safe for concurrent use.
type Machine struct {
	state State
	since time.Duration // when Leaving began
}

// State is how things stand as of the last call.
func (m *Machine) State() State { return m.state }

// Ready says whether new clients are wanted.
func (m *Machine) Ready() bool { return m.state == Working }

// Drain is the order to give the clients up. It changes nothing where that is under way.
func (m *Machine) Drain(now time.Duration) {
	if m.state == Working {
		m.state, m.since = Leaving, now
	}
}

// Resume is the order to take clients again.
func (m *Machine) Resume() { m.state = Working }

// Step moves on with the time, and says how many of the connections that are idle now are to
// be closed, and whether silent ones are, so that the closes are spread evenly.
func (m *Machine) Step(now time.Duration, idle int) (closes int, silent bool) {
	age := now - m.since
	switch {
	case m.state == Working:
		return 0, false
	case age < LeavingFor:
		m.state = Leaving
		return 0, false
	case age < LeavingFor+ClosingFor:
		m.state = Closing
		left := int((LeavingFor + ClosingFor - age + StepInterval - 1) / StepInterval) // steps, this one included
		return (idle + left - 1) / left, true
	}
	m.state = Drained
	return idle, true
}
