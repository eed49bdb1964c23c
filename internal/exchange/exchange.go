// Package exchange is the life of one request: taken from a front, sent to hosts as the
// pool's balancer decides, and ended with exactly one final answer. It keeps the four
// rules for every front and upstream, and it knows no protocol: messages pass through it
// unread.
//
// What a front owes: it parses a request, whole or up to a Body that is read as it comes,
// asks Submit for a Call, gives the client the one Reply that comes over Call.Reply, and says
// Call.Gone if the client leaves first.
//
// What an upstream owes is said at Upstream.
//
// Each Pool owns a balancer in an event loop of its own; pools share nothing but the
// register of open ids and what the caller bounds through Room.
package exchange

import (
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"frostshift"
	"frostshift/internal/body"
	"frostshift/internal/contract"
	"frostshift/internal/outcome"
	"frostshift/internal/verdict"
)

// Exchange takes requests for all pools. It is safe for concurrent use.
type Exchange struct {
	clock Clock
	seed  atomic.Uint64 // of the hashes of ids
	ids   [16]idShard
	endBy atomic.Int64 // see EndBy; 0: there is no end
}

// idShard holds a part of the ids of open requests, so that pools on several cores do
// not wait for one lock.
type idShard struct {
	mu   sync.Mutex
	open map[string]struct{}
	// lost are requests that may have run and whose clients have had no answer: see outcome.Store.
	lost *outcome.Store
	// remote are the hashes of those that are open at the gateway's other process.
	remote map[uint64]struct{}
	twin   Sibling // nil: there is none
}

const (
	// lostFor is how long they are remembered at the least; a client that has lost its
	// connection comes again at once or when its own time is up.
	lostFor  = 30 * time.Second
	mostLost = 2048 // of a shard and of half the time: beyond that the older half is forgotten
)

// New returns an exchange with no request open.
func New(clock Clock) *Exchange {
	x := &Exchange{clock: clock}
	x.seed.Store(rand.Uint64())
	for i := range x.ids {
		x.ids[i].open = map[string]struct{}{}
		x.ids[i].lost = outcome.New(lostFor, mostLost)
	}
	return x
}

// Clock is the clock that deadlines are told on.
func (x *Exchange) Clock() Clock { return x.clock }

// EndBy says when the process ends: no request has longer than until then. From then on nothing is sent
// for any, and one that comes is refused.
func (x *Exchange) EndBy(at frostshift.Time) { x.endBy.Store(int64(at)) }

// before is the earlier of an instant and the end of the process.
func (x *Exchange) before(at frostshift.Time) frostshift.Time {
	if end := frostshift.Time(x.endBy.Load()); end != 0 {
		return min(at, end)
	}
	return at
}

// isOver says whether the process has come to its end.
func (x *Exchange) isOver(now frostshift.Time) bool { return x.before(now) < now }

// shard is where an id belongs, with its hash there.
func (x *Exchange) shard(id string) (*idShard, uint64) {
	h := x.hashOf(id)
	return x.shardOf(h), h
}

// claim marks an id as open. It fails with Duplicate if it is open already, and, where the
// request must not run twice, with Failed if one of this id may have run and its client
// has heard of no end: it then comes again, on another connection.
func (x *Exchange) claim(id string, effect frostshift.Effect) (v Verdict, ok bool) {
	s, h := x.shard(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, taken := s.open[id]; taken {
		return Duplicate, false
	}
	if _, taken := s.remote[h]; taken {
		return Duplicate, false
	}
	if effect != frostshift.Safe && s.lost.Has(x.clock.Now(), h) {
		return Failed, false
	}
	s.open[id] = struct{}{}
	s.tell(noteOpen, h)
	return 0, true
}

func (x *Exchange) free(id string) {
	s, h := x.shard(id)
	s.mu.Lock()
	delete(s.open, id)
	s.tell(noteEnd, h)
	s.mu.Unlock()
}

// remember notes that a request may have run and that its client has not been told how it
// ended. Its id is open still, or its answer could not be delivered.
func (x *Exchange) remember(id string) {
	s, h := x.shard(id)
	s.mu.Lock()
	s.lost.Note(x.clock.Now(), h)
	s.tell(noteLost, h)
	s.mu.Unlock()
}

// Open is how many requests are owed an answer, over all pools.
func (x *Exchange) Open() (n int) {
	for i := range x.ids {
		x.ids[i].mu.Lock()
		n += len(x.ids[i].open)
		x.ids[i].mu.Unlock()
	}
	return n
}

// Request is what a front hands over.
type Request struct {
	ID       string // unique among open requests: two of one id would be one to the hosts
	Class    int    // index in the pool's Settings.Classes
	Tenant   int    // index in its Settings.Tenants; -1: none
	Repeat   bool   // the client marks it as a repeat
	Deadline frostshift.Time
	// Wait is how long the request is held back first: less than it has until its deadline.
	Wait    time.Duration
	Message any          // for the upstream, unread here
	Answers *verdict.Set // what answers mean; nil: as on the platform
	// Item is the request in the pool's scheduler; nil: no contract is about it.
	Item *contract.Item
	// Body is there where the message is not whole: its body comes as attempts ask for it.
	// Deadline then is for a host to be found, Rest what the head of the answer may take from
	// the body's last byte on, and Ends when all must be over.
	Body Body
	Rest time.Duration
	Ends frostshift.Time
	// Hold is let go once, when the request has its answer or nobody waits for one: what
	// it needs from outside, above all its pools, stays until then. nil: nothing.
	Hold interface{ Release() }
	// Client is asked right before the first byte of each attempt whether it still waits; nil: nobody is,
	// and Gone says it in time.
	Client Client
	// Watch is told how the request ended, once, before it is let go; nil: nobody asks.
	Watch Watcher
}

// Body is a request's body as far as it matters here: what could still be sent once more. Its
// methods are called in a pool's loop and must not wait for anything.
type Body interface {
	State() body.State
	Broken() bool // the client's sending has broken off
}

// Client is whoever waits for a request's answer. Here says whether it has not been seen to leave, by a look
// at its connection: what reads there may have had no processor time since. It must not wait.
type Client interface{ Here() bool }

// Watcher is told how requests end. It is called in a pool's loop, or by Submit.
type Watcher interface{ Ended(e Ending) }

// Ending is how a request ended.
type Ending struct {
	At      frostshift.Time
	Verdict Verdict
	Fault   bool          // with Served: the answer is an error of the service
	Left    bool          // its client left before there was an answer
	Bound   bool          // a contract, not a pool, has turned it away
	Work    time.Duration // that its attempts took at the pool it ended in
}

// Verdict says what a final answer is.
type Verdict uint8

// Verdicts. Refused promises that trying again is harmless; Failed promises nothing.
const (
	Served  Verdict = iota // Reply.Answer is the host's, and is final
	Refused                // turned away by the balancer, or for want of room
	Failed
	Duplicate // not taken: its id is that of an open request
)

// Reply is the one final answer to a request.
type Reply struct {
	Verdict Verdict
	Answer  Answer        // the host's, with Served; may come with the others: it stands for them
	Why     Why           // with Failed: what became of the last attempt
	After   time.Duration // with Refused: when to come back; 0: no advice
	Pool    string        // that answered
	Tries   int           // attempts that were started for it, over all pools
	Ran     bool          // one of them has run or may have, and must not run again
	Full    bool          // with Refused: for want of room, not by a balancer
	// Violation says what of the team's budget has run out, if that is why it was refused.
	Violation *contract.Violation
}

// Why says what became of the last attempt of a request that failed.
type Why uint8

// Whys. Unsent: there was none that a host can have seen.
const (
	Unsent Why = iota
	WhyTimedOut
	WhyReset
	WhyMalformed
	WhyAnswered // with what the client does not get
)

// Answer is a host's answer, unread here. Release gives back what it holds; it is
// called once by whoever has it last. Light says whether it holds no room that others
// share: such a one may be kept while another attempt is out.
//
// One that was reported by Attempt.Flowing is its head alone. Whoever has it reads its body
// and then releases it; the request stays open until the attempt says Flowed.
type Answer interface {
	Release()
	Light() bool
}

// Submit takes a request for a pool. Where the pool has no host that is ready, and
// nothing that may have run stands in the way, the fallback gets it; nil: there is none.
// Request.Hold keeps both pools from ending until the call is closed.
func (x *Exchange) Submit(r Request, to, fallback *Pool) *Call {
	r.Deadline, r.Ends = x.before(r.Deadline), x.before(r.Ends)
	c := &Call{Request: r, x: x, fallback: fallback, Reply: make(chan Reply, 1)}
	c.pool.Store(to)
	if v, ok := x.claim(r.ID, to.set.Classes[r.Class].Effect); !ok {
		c.turnAway(Reply{Verdict: v, Pool: to.name})
		return c
	}
	if x.isOver(x.clock.Now()) {
		x.free(r.ID)
		c.turnAway(Reply{Verdict: Refused, After: to.advice, Pool: to.name})
		return c
	}
	if !to.room.Take(1) { // nothing was sent, so a refusal is true
		if fallback == nil || !fallback.room.Take(1) {
			x.free(r.ID)
			c.turnAway(Reply{Verdict: Refused, After: to.advice, Pool: to.name, Full: true})
			return c
		}
		c.pool.Store(fallback)
		to, c.fallback = fallback, nil
	}
	to.post(event{kind: arrived, call: c})
	return c
}

// Room bounds the open requests of a pool. It is safe for concurrent use.
type Room interface {
	Take(n int64) bool // false: there is none, and nothing was taken
	Give(n int64)
}

// Unbounded is room without end.
type Unbounded struct{}

// Take always succeeds.
func (Unbounded) Take(int64) bool { return true }

// Give does nothing.
func (Unbounded) Give(int64) {}
