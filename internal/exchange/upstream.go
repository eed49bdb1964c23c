package exchange

import (
	"sync/atomic"
	"time"

	"frostshift"
	"frostshift/internal/verdict"
)

// Upstream makes the attempts of one pool, in whatever protocol its hosts speak.
type Upstream interface {
	// Start begins the attempt and returns at once; it is called in the pool's loop.
	// Whatever happens, one of the Attempt's End, Malformed, Answered and Flowing is called
	// exactly once, from another goroutine, and Flowed once behind Flowing. It must be honest about the request's last byte:
	// ConnectFailed and NotSent only where it has surely not been written, Full only where
	// the host's protocol says that it has not begun. Nothing may send the request a second time.
	// Of a message whose body comes as it is read, a host may act on a part: ConnectFailed and
	// NotSent are then for what did not go out at all, Reset for what broke off. Fed is called
	// once its last byte has gone out.
	Start(a *Attempt) Handle
}

// Handle is an attempt that is under way.
type Handle interface {
	// CallOff ends the attempt: when it returns, nothing more of it goes out, and what
	// was sent on is closed towards the host. It may come at any time, also twice or
	// after the attempt's end, and must not wait for the network.
	CallOff()
}

// Attempt is one try of a request at one host.
type Attempt struct {
	Host    frostshift.HostID
	Message any           // as in Request
	Answers *verdict.Set  // as in Request
	Until   time.Time     // when to give it up
	Left    time.Duration // until then, as of the start; with a Body: from its last byte on

	waited atomic.Int64 // nanoseconds that it has waited for the client

	pool   *Pool
	call   *Call
	n      int
	begun  frostshift.Time // when the balancer chose the host
	sendBy frostshift.Time // its first byte may not go out later; 0: within its time
	sent   frostshift.Time
	before time.Duration // waited, as of sent
	fed    bool          // its last byte has gone out
	flows  bool          // its answer's body flows to the client
	ended  bool          // the loop has its outcome
	mayRan bool          // ... and the request may have run
	told   bool          // it counts as out, see PoolConfig.Out
	handle Handle
}

// MaySend says whether the request may still go out. An upstream asks right before the first byte:
// a connection may have taken its time to come up. Nothing may go out once the client is seen to
// have left, once the time is over, or once hosts may have forgotten an earlier attempt of a keyed
// request.
func (a *Attempt) MaySend() bool {
	if a.call == nil { // of a test of an upstream alone
		return true
	}
	now := a.pool.clock.Now()
	return (a.sendBy == 0 || now <= a.sendBy) && now < a.call.latest() && a.call.isHere()
}

// wayBack is what an answer may take from the host through the gateway to the client. It is no
// time of the host's.
const wayBack = time.Millisecond

// Remaining is the time that the host is told: never more than the client has left when the
// request goes out, less the way back.
func (a *Attempt) Remaining() time.Duration {
	return max(0, min(a.Left, time.Until(a.Until))-wayBack)
}

// Waited notes that the attempt has waited for the client for so long: that is no time of
// its host's.
func (a *Attempt) Waited(d time.Duration) { a.waited.Add(int64(d)) }

// took is the time of the host's up to an instant, since the attempt was sent or, later, its
// request was.
func (a *Attempt) took(at frostshift.Time) time.Duration {
	return max(0, at-a.sent-(time.Duration(a.waited.Load())-a.before))
}

// restart counts from an instant on.
func (a *Attempt) restart(at frostshift.Time) {
	a.sent, a.before = at, time.Duration(a.waited.Load())
}

// Fed reports that the last byte of a request that is not whole has gone out.
func (a *Attempt) Fed() {
	a.pool.post(event{kind: attemptFed, call: a.call, attempt: a, at: a.pool.clock.Now()})
}

// Flowing reports the head of an answer that is final and whose body will be read by whoever
// gives it to the client.
func (a *Attempt) Flowing(m verdict.Meaning, after time.Duration, answer Answer) {
	a.pool.post(event{kind: attemptFlows, call: a.call, attempt: a, answered: true, meaning: m, after: after,
		answer: answer, at: a.pool.clock.Now()})
}

// Flowed reports how the body of such an answer ended: OK whole, Reset or TimedOut where the
// host broke off, Canceled where the answer was released before.
func (a *Attempt) Flowed(result frostshift.Result) {
	a.pool.post(event{kind: attemptFlowed, call: a.call, attempt: a, result: result, at: a.pool.clock.Now()})
}

// End reports how the attempt ended without an answer.
func (a *Attempt) End(result frostshift.Result) {
	a.pool.post(event{kind: attemptEnded, call: a.call, attempt: a, result: result, at: a.pool.clock.Now()})
}

// Malformed reports that what came back is no answer, or none that may be.
func (a *Attempt) Malformed() {
	a.pool.post(event{kind: attemptEnded, call: a.call, attempt: a, result: frostshift.Failed, malformed: true, at: a.pool.clock.Now()})
}

// Answered reports an answer with its meaning by the Answers, and when the host wants to be
// asked again (0: it does not say).
func (a *Attempt) Answered(m verdict.Meaning, after time.Duration, answer Answer) {
	a.pool.post(event{kind: attemptEnded, call: a.call, attempt: a, answered: true, meaning: m, after: after,
		answer: answer, at: a.pool.clock.Now()})
}

// callOff ends the attempt from the loop.
func (a *Attempt) callOff() {
	if !a.ended {
		a.handle.CallOff()
	}
}
