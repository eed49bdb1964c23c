// Package fairqueue shares the processor among the peers of a process, so that what some of them cause at full speed
// delays what is owed to others by a bounded time, however many they are.
//
// Each reader of a peer tells its Peer when it works and when it waits. A peer that has used less than a burst of
// processor time works at once. All others take turns, as many at a time as there are processors: those that have
// used little go first, with those that are owed an answer and those that waited within a turn, and a turn begins behind
// everything that is ready to run, sockets included. Of each few turns one is left to those that have used much. Where nobody else has work the turns follow upon one another, so
// that a single fast peer keeps its speed.
package fairqueue

import (
	"runtime"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// burst is the processor time that a peer may use without waiting for a turn.
	burst = 250 * time.Microsecond
	// turn is how long a turn lasts.
	turn = 250 * time.Microsecond
	// expiry is how long a turn may last whose holder does not say that it waits: it may be held up by its peer.
	expiry = 2 * time.Millisecond
	// longestStep is the most that one step counts: its goroutine may have been kept from running meanwhile.
	longestStep = turn
	// heavy is the use from which on a peer that is owed nothing goes behind all that have used less.
	heavy = 500 * time.Microsecond
	// mostAhead is how many turns go ahead of those of heavy peers until one of these has its own.
	mostAhead = 3
	// recovery is how much of the time for which a peer leaves the process alone is taken off what it has used.
	recovery = 1.0 / 100
)

// The most that is kept of what peers have used.
const (
	// ClientDebt is for clients' connections.
	ClientDebt = 20 * time.Millisecond
	// OwedDebt is for hosts' connections and discovery. They never count as heavy: what they bring is owed.
	OwedDebt = heavy
)

// Queue gives turns. It is safe for concurrent use.
type Queue struct {
	parallel func() int // turns at a time

	mu      sync.Mutex
	running int
	waiting []*waiter           // that go ahead, in the order in which they came
	last    []*waiter           // the others, in the same order
	ahead   int                 // turns that have begun ahead of the last since one of these has begun
	holders map[*Peer]time.Time // since when
	passed  time.Time           // when a turn last began behind all that was ready
	expires *time.Timer
	armed   bool      // expires is set
	pollers []*poller // that no turn uses

	waits, waited atomic.Int64 // turns that were waited for, and the nanoseconds
	longest       atomic.Int64 // nanoseconds, since TakeLongest was called
}

// processor is the queue of the process.
var processor = New(func() int { return runtime.GOMAXPROCS(0) })

// Processor returns the queue of the process, for its own processors.
func Processor() *Queue { return processor }

// New returns a queue with so many turns at a time.
func New(parallel func() int) *Queue {
	return &Queue{parallel: parallel, holders: map[*Peer]time.Time{}}
}

// Peer is one peer's use of the processor. A nil *Peer is never held up. It is safe for concurrent use.
type Peer struct {
	q    *Queue
	debt time.Duration // the most that is kept of used

	// The rest belongs to the queue's lock.
	used   time.Duration
	since  time.Time // when it began to work or, if it does not work, to wait
	works  bool
	left   time.Duration // of its turn
	owed   bool
	gone   bool
	ever   time.Duration // used in all
	rested time.Duration // waited for turns in all
}

// NewPeer returns a peer that is waiting. debt bounds what is kept of its use.
func (q *Queue) NewPeer(debt time.Duration) *Peer {
	return &Peer{q: q, debt: debt, used: burst / 2, since: time.Now()}
}

// Work says that the peer causes work from here on, or goes on to its next message. It waits for a turn where the
// peer has used its burst, and returns how long. It must not be called with a lock held that others need.
func (p *Peer) Work() (waited time.Duration) {
	if p == nil {
		return 0
	}
	now := time.Now()
	p.q.mu.Lock()
	p.account(now)
	p.works = true
	if p.gone || p.used <= burst || p.left > 0 && p.q.holds(p) {
		p.q.mu.Unlock()
		return 0
	}
	p.q.release(p)
	if p.q.waiters() == 0 && p.q.running < max(1, p.q.parallel()) && now.Sub(p.q.passed) < turn {
		p.q.begin(p, now)
		p.q.mu.Unlock()
		return 0
	}
	w := &waiter{peer: p, granted: make(chan *poller, 1)}
	if p.used > heavy && p.left <= 0 && !p.owed {
		p.q.last = append(p.q.last, w)
	} else {
		p.q.waiting = append(p.q.waiting, w)
	}
	p.works = false // waiting for a turn is neither use nor recovery
	p.q.grant(now)
	p.q.mu.Unlock()
	return p.await(w, now)
}

// await waits for a turn and begins it.
func (p *Peer) await(w *waiter, from time.Time) (waited time.Duration) {
	poller := <-w.granted
	if poller != nil {
		poller.pass()
		runtime.Gosched()
	}
	now := time.Now()
	waited = now.Sub(from)
	p.q.note(waited)
	p.q.mu.Lock()
	defer p.q.mu.Unlock()
	if poller != nil {
		p.q.pollers = append(p.q.pollers, poller)
		p.q.passed = now
	}
	p.works, p.since = true, now
	p.rested += waited
	if p.q.holds(p) {
		p.q.holders[p] = now
	}
	return waited
}

// Resume says that the peer causes work from here on that is owed to it: it is counted, and waits for no turn.
func (p *Peer) Resume() {
	if p == nil {
		return
	}
	p.q.mu.Lock()
	defer p.q.mu.Unlock()
	p.account(time.Now())
	p.works = true
}

// Wait says that nothing is done for the peer from here on, until Work or Resume.
func (p *Peer) Wait() {
	if p == nil {
		return
	}
	now := time.Now()
	p.q.mu.Lock()
	defer p.q.mu.Unlock()
	p.account(now)
	p.works = false
	if p.q.release(p) {
		p.q.grant(now)
	}
}

// Holds says whether the peer has a turn.
func (p *Peer) Holds() bool {
	if p == nil {
		return false
	}
	p.q.mu.Lock()
	defer p.q.mu.Unlock()
	return p.q.holds(p)
}

// Owe says whether the process owes the peer an answer: while it does, the peer's turns come ahead of those of peers
// that have used much.
func (p *Peer) Owe(owed bool) {
	if p == nil {
		return
	}
	p.q.mu.Lock()
	defer p.q.mu.Unlock()
	p.owed = owed
}

// Leave ends the peer: it waits for no turn any more.
func (p *Peer) Leave() {
	if p == nil {
		return
	}
	now := time.Now()
	p.q.mu.Lock()
	defer p.q.mu.Unlock()
	p.gone = true
	p.q.release(p)
	leaves := func(w *waiter) bool {
		if w.peer == p {
			w.granted <- nil
		}
		return w.peer == p
	}
	p.q.waiting = slices.DeleteFunc(p.q.waiting, leaves)
	p.q.last = slices.DeleteFunc(p.q.last, leaves)
	p.q.grant(now)
}

// Total returns the processor time that the peer has caused in all, as far as its readers have told, and how long it
// has waited for turns.
func (p *Peer) Total() (used, rested time.Duration) {
	if p == nil {
		return 0, 0
	}
	p.q.mu.Lock()
	defer p.q.mu.Unlock()
	return p.ever, p.rested
}

// account counts the time since the last change. The queue's lock is held.
func (p *Peer) account(now time.Time) {
	passed := max(0, now.Sub(p.since))
	if p.works {
		step := min(passed, longestStep)
		p.ever += step
		p.used = min(p.used+step, p.debt)
		p.left = max(0, p.left-step)
	} else {
		p.used = max(0, p.used-time.Duration(float64(passed)*recovery))
	}
	p.since = now
}

// holds says whether the peer has a turn. The lock is held.
func (q *Queue) holds(p *Peer) bool {
	_, holds := q.holders[p]
	return holds
}

// release ends a turn, and says whether the peer had one. The lock is held.
func (q *Queue) release(p *Peer) bool {
	if !q.holds(p) {
		return false
	}
	delete(q.holders, p)
	q.running--
	return true
}

// begin begins a turn, or goes on with what is left of the last. Another goroutine of the same peer may have it, and
// shares it. The lock is held.
func (q *Queue) begin(p *Peer, now time.Time) {
	if !q.holds(p) {
		q.running++
	}
	if p.left <= 0 {
		p.left = turn
	}
	q.holders[p] = now
}

// grant begins as many turns as may be. The lock is held.
func (q *Queue) grant(now time.Time) {
	for q.running < max(1, q.parallel()) && q.waiters() > 0 {
		w := q.next()
		q.begin(w.peer, now)
		if now.Sub(q.passed) < turn {
			w.granted <- nil
		} else {
			w.granted <- q.takePoller()
		}
	}
	if q.waiters() == 0 || q.armed {
		return
	}
	if q.armed = true; q.expires == nil {
		q.expires = time.AfterFunc(expiry, q.expire)
	} else {
		q.expires.Reset(expiry)
	}
}

// waiters is how many goroutines wait for a turn. The lock is held.
func (q *Queue) waiters() int { return len(q.waiting) + len(q.last) }

// next takes the waiter whose turn is next; there is one. The lock is held.
func (q *Queue) next() *waiter {
	from := &q.waiting
	if len(q.waiting) == 0 || len(q.last) > 0 && q.ahead >= mostAhead {
		from = &q.last
		q.ahead = 0
	} else if len(q.last) > 0 {
		q.ahead++
	}
	w := (*from)[0]
	*from = slices.Delete(*from, 0, 1)
	return w
}

// expire ends turns whose holders seem to wait.
func (q *Queue) expire() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.armed = false
	now := time.Now()
	for p, since := range q.holders {
		if now.Sub(since) >= expiry {
			q.release(p)
		}
	}
	q.grant(now)
}

// takePoller returns a poller that is not in use; nil: there can be none. The lock is held.
func (q *Queue) takePoller() *poller {
	if n := len(q.pollers); n > 0 {
		last := q.pollers[n-1]
		q.pollers = q.pollers[:n-1]
		return last
	}
	return newPoller()
}

// note counts a wait for a turn.
func (q *Queue) note(wait time.Duration) {
	q.waits.Add(1)
	q.waited.Add(int64(wait))
	for {
		longest := q.longest.Load()
		if int64(wait) <= longest || q.longest.CompareAndSwap(longest, int64(wait)) {
			return
		}
	}
}

// Stats are figures of a queue.
type Stats struct {
	Waiting int           // goroutines that wait for a turn
	Waits   int64         // turns that were waited for
	Waited  time.Duration // for all of them
}

// Stats returns the figures so far.
func (q *Queue) Stats() Stats {
	q.mu.Lock()
	waiting := q.waiters()
	q.mu.Unlock()
	return Stats{Waiting: waiting, Waits: q.waits.Load(), Waited: time.Duration(q.waited.Load())}
}

// TakeLongest returns the longest wait for a turn since the last call.
func (q *Queue) TakeLongest() time.Duration { return time.Duration(q.longest.Swap(0)) }

// waiter is a goroutine that waits for a turn of its peer.
type waiter struct {
	peer    *Peer
	granted chan *poller // nil: the turn begins at once
}
