// Package exchange manages the life of one request: it is accepted from a front, sent to hosts as
// the pool's balancer decides, and ended with exactly one final answer. The package enforces the
// four rules of requests for every front and upstream. It is independent of the protocol and does
// not read the messages that pass through it.
//
// A front parses a request, either whole or up to a Body that is read as it arrives, calls Submit
// to get a Call, gives the client the one Reply that arrives on Call.Reply, and calls Call.Gone if
// the client leaves first.
//
// The duties of an upstream are documented at Upstream.
//
// Each Pool owns a balancer in an event loop of its own. Pools share nothing but the register of
// open ids and what the caller bounds through Room.
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
	"frostshift/internal/share"
	"frostshift/internal/shortage"
	"frostshift/internal/verdict"
)

// Exchange accepts requests for all pools. It is safe for concurrent use.
type Exchange struct {
	clock Clock
	seed  atomic.Uint64 // seed of the hashes of ids
	ids   [16]idShard
	endBy atomic.Int64 // end of the process, see EndBy; 0 means that none is set
	// shortages counts what requests lose for lack of the gateway's own resources.
	shortages *shortage.Ledger
}

// idShard holds the ids of open requests whose hash falls into this shard. Sharding keeps pools on
// several cores from contending for one lock.
type idShard struct {
	mu   sync.Mutex
	open map[string]struct{}
	// lost holds the hashes of requests that may have run and whose clients received no answer: see
	// outcome.Store.
	lost *outcome.Store
	// done holds the hashes of requests with UniqueID that have run and were answered. The client may
	// have left before it read the answer, which nothing shows.
	done *outcome.Store
	// remote holds the hashes of requests that are open at the sibling process of this gateway.
	remote map[uint64]struct{}
	// unknown reports that some of them could not be held: until the sibling process has gone, no id is known to be new.
	unknown bool
	sibling Sibling // nil if there is no sibling process
}

const (
	// lostTTL is the minimum time for which these requests are remembered. A client that has lost
	// its connection retries at once or when its own timeout expires.
	lostTTL = 30 * time.Second
	maxLost = 2048 // per shard and generation; beyond it the older generation is dropped early
)

// New returns an Exchange with no open requests.
func New(clock Clock) *Exchange {
	x := &Exchange{clock: clock, shortages: shortage.NewLedger()}
	x.seed.Store(rand.Uint64())
	for i := range x.ids {
		x.ids[i].open = map[string]struct{}{}
		x.ids[i].lost = outcome.New(lostTTL, maxLost)
		x.ids[i].done = outcome.New(lostTTL, maxLost)
	}
	return x
}

// Shortages returns the account of what requests have lost for lack of the gateway's own resources.
func (x *Exchange) Shortages() *shortage.Ledger { return x.shortages }

// Clock returns the clock on which deadlines are given.
func (x *Exchange) Clock() Clock { return x.clock }

// EndBy sets the time when the process ends. No request has a deadline beyond it. After it no
// attempt is sent for any request, and new requests are refused.
func (x *Exchange) EndBy(at frostshift.Time) { x.endBy.Store(int64(at)) }

// capToEnd returns the earlier of at and the end of the process.
func (x *Exchange) capToEnd(at frostshift.Time) frostshift.Time {
	if end := frostshift.Time(x.endBy.Load()); end != 0 {
		return min(at, end)
	}
	return at
}

// pastEnd reports whether the process has passed its end.
func (x *Exchange) pastEnd(now frostshift.Time) bool { return x.capToEnd(now) < now }

// shard returns the shard of an id and the hash of the id.
func (x *Exchange) shard(id string) (*idShard, uint64) {
	h := x.hashOf(id)
	return x.shardOf(h), h
}

// claim marks an id as open. It fails with Duplicate if the id is already open. For a request that
// must not run twice it fails with Failed if an earlier request of this id may have run and its
// client was not notified how it ended: the client is then retrying on another connection.
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
	if now := x.clock.Now(); effect != frostshift.Safe && (s.lost.Has(now, h) || s.done.Has(now, h)) {
		return Failed, false
	}
	s.open[id] = struct{}{}
	s.notify(noteOpen, h)
	return 0, true
}

func (x *Exchange) releaseID(id string) {
	s, h := x.shard(id)
	s.mu.Lock()
	delete(s.open, id)
	s.notify(noteEnd, h)
	s.mu.Unlock()
}

// rememberDone records that a request with UniqueID has run and is being answered. Its id is still open.
func (x *Exchange) rememberDone(id string) {
	s, h := x.shard(id)
	s.mu.Lock()
	dropped := s.done.Note(x.clock.Now(), h)
	s.notify(noteDone, h)
	s.mu.Unlock()
	x.noteDropped(dropped, id)
}

// rememberLost records that a request may have run and that its client was not notified how it
// ended. Either its id is still open, or its answer could not be delivered.
func (x *Exchange) rememberLost(id string) {
	s, h := x.shard(id)
	s.mu.Lock()
	dropped := s.lost.Note(x.clock.Now(), h)
	s.notify(noteLost, h)
	s.mu.Unlock()
	x.noteDropped(dropped, id)
}

// noteDropped notes that ids were dropped ahead of their time for that of a request.
func (x *Exchange) noteDropped(dropped bool, id string) {
	if dropped {
		x.shortages.Note(shortage.New(shortage.RunIDs), shortage.Forgotten, id)
	}
}

// Open returns the number of requests that still await an answer, over all pools.
func (x *Exchange) Open() (n int) {
	for i := range x.ids {
		x.ids[i].mu.Lock()
		n += len(x.ids[i].open)
		x.ids[i].mu.Unlock()
	}
	return n
}

// Request is what a front submits.
type Request struct {
	ID       string // unique among open requests: hosts take two with one id for the same request
	UniqueID bool   // clients give no two requests the same ID, not even a client retry
	Class    int    // index in the pool's Settings.Classes
	Tenant   int    // index in the pool's Settings.Tenants; -1 means no tenant
	Repeat   bool   // the client marks it as a client retry
	Deadline frostshift.Time
	// Wait is a delay before the request is handled. It is shorter than the time until Deadline.
	Wait    time.Duration
	Message any          // for the upstream; this package does not read it
	Answers *verdict.Set // the meaning of answers; nil means the platform's defaults
	// Item is the request in the pool's scheduler; nil if no contract applies to the request.
	Item *contract.Item
	// Body is set if the message is not whole: its body is read as attempts ask for it. Deadline is
	// then the time by which a host must be found, Rest is the time that the head of the answer may
	// take after the client has sent the last byte of the body, wherever that is by then, and Ends is
	// when the whole exchange must be over.
	Body Body
	Rest time.Duration
	Ends frostshift.Time
	// Hold is released once, when the request has its answer or nobody waits for one. It keeps
	// alive what the request needs from outside, above all its pools. It may be nil.
	Hold interface{ Release() }
	// Switches reports that the request asks to switch protocols: what follows then is no answer's body.
	Switches bool
	// Client is asked right before the first byte of each attempt whether it still waits. If it is
	// nil, no check is made, and Gone must report a departure in time.
	Client Client
	// Watch is notified once how the request ended, before Hold is released. It may be nil.
	Watch Watcher
}

// Body is the state of a request's body as far as this package needs it: what could still be sent
// again. Its methods are called in a pool's loop and must not block.
type Body interface {
	State() body.State
	Broken() bool // the client stopped sending before the end of the body
	// OwedAt returns the last time at which the client is known to have owed a part of the body.
	OwedAt() time.Time
}

// Client is the client that waits for a request's answer. Here reports whether the client has not
// been seen to leave, by a check of its connection: the goroutine that reads the connection may
// have had no processor time since. Blind reports whether so much of what the client has sent is
// unread that its departure could not be seen. Neither may block.
type Client interface {
	Here() bool
	Blind() bool
}

// Watcher is notified how requests end. It is called in a pool's loop, or by Submit.
type Watcher interface{ Ended(e Ending) }

// Ending describes how a request ended.
type Ending struct {
	At      frostshift.Time
	Verdict Verdict
	Fault   bool          // with Served: the answer is an error of the service
	Left    bool          // the client left before there was an answer
	Bound   bool          // a contract, not a pool, rejected the request
	Work    time.Duration // time that its attempts took at the pool in which it ended
}

// Verdict is the kind of a final answer.
type Verdict uint8

// Verdicts. Refused guarantees that a client retry is harmless; Failed guarantees nothing.
const (
	Served  Verdict = iota // Reply.Answer comes from the host and is final
	Refused                // rejected by the balancer, or for lack of room
	Failed
	Duplicate // not accepted: its id belongs to an open request
)

// Reply is the one final answer to a request.
type Reply struct {
	Verdict Verdict
	Answer  Answer        // the host's answer; set with Served, and otherwise optional: it then replaces the gateway's own
	Why     Why           // with Failed: how the last attempt ended
	After   time.Duration // with Refused: when the client may retry; 0 means no advice
	Pool    string        // name of the pool that answered
	Tries   int           // attempts that were started for the request, over all pools
	Ran     bool          // an attempt has run or may have run, and the request must not run again
	Full    bool          // with Refused: for lack of room, not rejected by a balancer
	// Lacks is what of the gateway's own ended the request; nil means that nothing did.
	Lacks *shortage.Error
	// Violation states which part of the team's budget is exhausted, if that is why the request was
	// refused.
	Violation *contract.Violation
}

// Why is how the last attempt of a failed request ended.
type Why uint8

// Values of Why. Unsent means that no attempt was made that a host can have seen.
const (
	Unsent Why = iota
	WhyTimedOut
	WhyReset
	WhyMalformed
	WhyAnswered // with an answer that the client does not receive
	WhyCanceled // by the gateway, or as the client's body broke off; a host may have seen it
	WhyNoRoom   // for lack of the gateway's own resources
)

// Answer is a host's answer, which this package does not read. Release frees what it holds; its
// last owner calls it once. Light reports whether it holds no room that others share: a light
// answer may be kept while another attempt is in flight.
//
// An answer that was reported by Attempt.Flowing is only the head. Its owner reads its body and
// then releases it; the request stays open until the attempt calls Flowed.
type Answer interface {
	Release()
	Light() bool
}

// Submit hands a request to a pool, where it may wait a moment for a place if there is no fallback. If the pool has no
// room, or if it has no ready host and no attempt may have run, the request goes to fallback, which may be nil.
// Request.Hold keeps both pools from ending until the call is closed.
func (x *Exchange) Submit(r Request, to, fallback *Pool) *Call {
	r.Deadline, r.Ends = x.capToEnd(r.Deadline), x.capToEnd(r.Ends)
	c := &Call{Request: r, x: x, fallback: fallback, Reply: make(chan Reply, 1)}
	c.pool.Store(to)
	if v, ok := x.claim(r.ID, to.set.Classes[r.Class].Effect); !ok {
		c.reject(Reply{Verdict: v, Pool: to.name})
		return c
	}
	if v, ok := x.confirm(&r, to.set.Classes[r.Class].Effect); !ok {
		x.releaseID(r.ID)
		if v == Refused {
			x.shortages.Note(shortage.New(shortage.Notes), shortage.Refused, r.ID)
		}
		c.reject(Reply{Verdict: v, After: to.advice, Pool: to.name})
		return c
	}
	if x.pastEnd(x.clock.Now()) {
		x.releaseID(r.ID)
		c.reject(Reply{Verdict: Refused, After: to.advice, Pool: to.name})
		return c
	}
	within := min(placeWait, (r.Deadline-x.clock.Now())/placeWaitPart)
	if fallback != nil {
		within = 0
	}
	if !to.takePlace(within) { // nothing was sent, so refusing is safe
		if fallback == nil || !fallback.room.Take(1) {
			x.releaseID(r.ID)
			x.shortages.Note(shortage.New(shortage.RequestPlaces), shortage.Refused, r.ID)
			c.reject(Reply{Verdict: Refused, After: to.advice, Pool: to.name, Full: true})
			return c
		}
		c.pool.Store(fallback)
		to, c.fallback = fallback, nil
	}
	to.post(event{kind: arrived, call: c})
	return c
}

// placeWait is how long a request waits at most for a place among the open ones, and placeWaitPart one part in so many of
// the time that its client waits: much less than the 100 ms within which an attempt may begin behind a client's end.
const (
	placeWait     = 40 * time.Millisecond
	placeWaitPart = 4
)

// takePlace takes a place among the open requests, for which it may wait a moment: requests that are refused at once come
// back at once, and as many find all places taken again.
func (p *Pool) takePlace(within time.Duration) bool {
	queue, ok := p.room.(interface{ TakeOrWait(n int64) *share.Wait })
	if !ok || within <= 0 {
		return p.room.Take(1)
	}
	wait := queue.TakeOrWait(1)
	if wait == nil {
		return true
	}
	late := time.NewTimer(within)
	defer late.Stop()
	select {
	case <-wait.Granted():
	case <-late.C:
	}
	return wait.Cancel()
}

// Room bounds the open requests of a pool. It is safe for concurrent use.
type Room interface {
	Take(n int64) bool // false: there is no room, and nothing was taken
	Give(n int64)
}

// Unbounded is a Room without a bound.
type Unbounded struct{}

// Take always succeeds.
func (Unbounded) Take(int64) bool { return true }

// Give does nothing.
func (Unbounded) Give(int64) {}
