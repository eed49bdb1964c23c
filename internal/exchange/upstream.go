package exchange

import (
	"sync/atomic"
	"time"

	"frostshift"
	"frostshift/internal/shortage"
	"frostshift/internal/verdict"
)

// Upstream makes the attempts of one pool, in whatever protocol its hosts speak.
type Upstream interface {
	// Start begins the attempt and returns at once; it is called in the pool's loop. In every case
	// exactly one of the Attempt's End, Short, Malformed, Answered and Flowing must be called, once and
	// from another goroutine, and after Flowing also Flowed once. The report must be truthful about
	// the request's last byte: ConnectFailed and NotSent are allowed only if it has certainly not
	// been written, Full only if the host's protocol states that the host has not begun. Nothing
	// may send the request a second time.
	//
	// If the body of the message is sent as it is read, a host may act on a part of it:
	// ConnectFailed and NotSent then mean that nothing was sent at all, and Reset that sending
	// broke off. Fed is called once the last byte has been sent.
	Start(a *Attempt) Handle
}

// Handle controls an attempt in flight.
type Handle interface {
	// CallOff cancels the attempt: when it returns, nothing more of it is sent, and what was sent
	// is closed towards the host. It may be called at any time, also twice or after the end of the
	// attempt, and must not wait for the network.
	CallOff()
}

// Attempt is one try of a request at one host.
type Attempt struct {
	Host    frostshift.HostID
	Message any           // as in Request
	Answers *verdict.Set  // as in Request
	Until   time.Time     // when to give up
	Left    time.Duration // time until then as of the start; with a Body: from its last byte on

	waited atomic.Int64 // nanoseconds spent waiting for the client
	// withdrawn is closed once the host takes nothing new: it drains, or has gone. nil in a test of an upstream alone.
	withdrawn <-chan struct{}

	pool         *Pool
	call         *Call
	n            int
	started      frostshift.Time // when the balancer chose the host
	sendBy       frostshift.Time // latest time for its first byte; 0 means until its deadline
	sent         frostshift.Time
	waitedBefore time.Duration // value of waited as of sent
	fed          bool          // the last byte of its request has been sent
	flows        bool          // the body of its answer is passed to the client
	ended        bool          // the loop has its outcome
	mayRan       bool          // the attempt has ended, and the request may have run
	inFlight     bool          // it was reported as in flight, see PoolConfig.InFlightChanged
	blind        atomic.Bool   // it was not sent, as the client could have left without being seen to
	handle       Handle
}

// Withdrawn returns a channel that is closed once the host takes nothing new. An attempt of which nothing has been sent
// then ends with NotSent, whatever it waits for: the request goes elsewhere.
func (a *Attempt) Withdrawn() <-chan struct{} { return a.withdrawn }

// isWithdrawn reports whether the host takes nothing new.
func (a *Attempt) isWithdrawn() bool {
	select {
	case <-a.withdrawn:
		return true
	default:
		return false
	}
}

// MaySend reports whether the request may still be sent. An upstream calls it right before the
// first byte, as the connection may have taken long to be established. Nothing may be sent once the
// client is known to have left, once the deadline has passed, once hosts may have forgotten an
// earlier attempt of a keyed request, or once the host drains.
func (a *Attempt) MaySend() bool {
	if a.isWithdrawn() {
		return false
	}
	if a.call == nil { // in a test of an upstream alone
		return true
	}
	now := a.pool.clock.Now()
	if a.sendBy != 0 && now > a.sendBy || now >= a.call.latest() || !a.call.clientWaits() {
		return false
	}
	if a.call.clientBlind() {
		a.blind.Store(true)
		return false
	}
	return true
}

// returnAllowance is the time reserved for an answer's way from the host through the gateway to the
// client. The host may not use it.
const returnAllowance = time.Millisecond

// Remaining returns the time limit that is sent to the host: at most what the client has left when
// the request is sent, less returnAllowance.
func (a *Attempt) Remaining() time.Duration {
	return max(0, min(a.Left, time.Until(a.Until))-returnAllowance)
}

// Waited adds time that the attempt has spent waiting for the client. It does not count as the
// host's time.
func (a *Attempt) Waited(d time.Duration) { a.waited.Add(int64(d)) }

// took returns the time that counts for the host up to at: since the attempt was sent or, after
// restart, since then, without the time spent waiting for the client.
func (a *Attempt) took(at frostshift.Time) time.Duration {
	return max(0, at-a.sent-(time.Duration(a.waited.Load())-a.waitedBefore))
}

// restart starts measuring the host's time anew at an instant.
func (a *Attempt) restart(at frostshift.Time) {
	a.sent, a.waitedBefore = at, time.Duration(a.waited.Load())
}

// Fed reports that the last byte of a request that is not whole has been sent.
func (a *Attempt) Fed() {
	a.pool.post(event{kind: attemptFed, call: a.call, attempt: a, at: a.pool.clock.Now()})
}

// Flowing reports the head of a final answer whose body will be read by whoever passes it to the
// client.
func (a *Attempt) Flowing(m verdict.Meaning, after time.Duration, answer Answer) {
	a.pool.post(event{kind: attemptFlows, call: a.call, attempt: a, answered: true, meaning: m, after: after,
		answer: answer, at: a.pool.clock.Now()})
}

// Flowed reports how the body of such an answer ended: OK if it was complete, Reset or TimedOut if
// the host broke off, Canceled if the answer was released before its end.
func (a *Attempt) Flowed(result frostshift.Result) {
	a.pool.post(event{kind: attemptFlowed, call: a.call, attempt: a, result: result, at: a.pool.clock.Now()})
}

// End reports how the attempt ended without an answer.
func (a *Attempt) End(result frostshift.Result) {
	if result == frostshift.NotSent && a.blind.Load() {
		a.Short(shortage.New(shortage.ReceiveBuffer), false)
		return
	}
	a.pool.post(event{kind: attemptEnded, call: a.call, attempt: a, result: result, at: a.pool.clock.Now()})
}

// Short reports that the attempt ended for lack of the gateway's own resources, which is no fault of the host's. ran reports
// whether the request may have run. No further attempt is made: it would lack the same.
func (a *Attempt) Short(of *shortage.Error, ran bool) {
	result := frostshift.NotSent
	if ran {
		result = frostshift.Canceled
	}
	a.pool.post(event{kind: attemptEnded, call: a.call, attempt: a, result: result, short: of, at: a.pool.clock.Now()})
}

// Malformed reports that what came back is not an answer, or not a valid one.
func (a *Attempt) Malformed() {
	a.pool.post(event{kind: attemptEnded, call: a.call, attempt: a, result: frostshift.Failed, malformed: true, at: a.pool.clock.Now()})
}

// Answered reports an answer with its meaning according to Answers, and after which time the host
// wants to be asked again (0: not stated).
func (a *Attempt) Answered(m verdict.Meaning, after time.Duration, answer Answer) {
	a.pool.post(event{kind: attemptEnded, call: a.call, attempt: a, answered: true, meaning: m, after: after,
		answer: answer, at: a.pool.clock.Now()})
}

// callOff cancels the attempt from the loop, unless it has ended.
func (a *Attempt) callOff() {
	if !a.ended {
		a.handle.CallOff()
	}
}
