// Package drain determines how a gateway drains its client connections and returns to service:
// whether it reports itself ready, whether answers end their connections, and how many idle
// connections to close by when. It is pure decision logic: it performs no I/O, the caller passes
// the time, and it holds no connections.
//
// Clients move away from a draining gateway in three ways: the front load balancer's readiness
// check fails, an answer ends its connection, or an idle connection is closed. They are used in this
// order, as only the last can coincide with a new request on the connection.
package drain

import "time"

// State is the stage of a drain.
type State uint8

// States. The time alone moves a draining gateway from each state to the next; Drain leaves Working,
// and Resume returns to it from any state.
const (
	Working State = iota
	Leaving       // it reports that it is not ready; new connections still arrive, answers end theirs
	Closing       // idle connections are closed, spread evenly over ClosingFor
	Drained       // each connection is closed as soon as it is idle
)

var stateNames = [...]string{"working", "leaving", "closing", "drained"}

// String returns the name of the state, for logs and tables.
func (s State) String() string { return stateNames[s] }

const (
	// LeavingFor is how long new connections are expected: the front load balancer checks
	// readiness ten times per second and continues to send connections for 0.2 s after a failure.
	LeavingFor = 500 * time.Millisecond
	// ClosingFor is the time over which the closes of idle connections are spread: all of these are
	// closed within 2 s of the order, and a request on one of them is younger than the 4 s that
	// are allowed.
	ClosingFor = 1300 * time.Millisecond
	// StepInterval is the interval at which the caller must call Step while the gateway drains.
	StepInterval = 50 * time.Millisecond
	// SilentAfter is how long a connection without any request may stay open once the gateway has
	// passed the state Leaving.
	SilentAfter = 300 * time.Millisecond
)

// Machine is the drain state machine of one gateway. The zero value is in the state Working. A Machine
// is not safe for concurrent use.
type Machine struct {
	state State
	// closing and drained are the times at which the states of these names begin.
	closing, drained time.Duration
}

// State returns the state as of the last call of Drain, Resume or Step.
func (m *Machine) State() State { return m.state }

// Ready reports whether the gateway is ready for new clients, which is true in the state Working only.
func (m *Machine) Ready() bool { return m.state == Working }

// Drain begins to drain the gateway. It does nothing if a drain is already in progress.
func (m *Machine) Drain(now time.Duration) {
	if m.state == Working {
		m.state, m.closing = Leaving, now+LeavingFor
		m.drained = m.closing + ClosingFor
	}
}

// CloseBy shortens a drain in progress so that each idle connection is closed by the given time. The
// closes are spread from now on over the time that is left. It never extends a drain.
func (m *Machine) CloseBy(now, by time.Duration) {
	if m.state == Working || by >= m.drained {
		return
	}
	m.drained = by
	m.closing = min(m.closing, now, by)
}

// Resume puts the gateway back into service.
func (m *Machine) Resume() { m.state = Working }

// Step advances the state to the given time. It returns how many of the connections that are idle
// now are to be closed, so that the closes are spread evenly, and whether to close connections that
// have been without any request for SilentAfter.
func (m *Machine) Step(now time.Duration, idle int) (closes int, silent bool) {
	switch {
	case m.state == Working:
		return 0, false
	case now < m.closing:
		m.state = Leaving
		return 0, false
	case now < m.drained:
		m.state = Closing
		left := int((m.drained - now + StepInterval - 1) / StepInterval) // remaining steps, including this one
		return (idle + left - 1) / left, true
	}
	m.state = Drained
	return idle, true
}
