package contract

import (
	"math"
	"time"
)

// Item is one request in a Scheduler. The caller sets the exported fields and keeps the item until
// the request has ended; the other fields belong to the scheduler.
type Item struct {
	Terms    *Terms
	Account  *Account
	Class    int
	Priority int    // within the team, see ClassTerms
	Key      uint64 // key of the requested object; 0 means none
	Deadline Time   // time by which the client needs its answer
	Aim      Time   // time after which an answer is worth little; 0 means the deadline
	Owner    any    // for use by the caller

	queue         *queue
	cost          float64 // seconds, estimated
	sendBy        Time    // latest time to send it
	seq           uint64
	state         itemState
	queueIndex    int // index in its team's heap of waiting requests
	expiryIndex   int // index in the expiry heap
	overGuarantee bool
	parked        bool // in flight, but waits for its client
}

type itemState uint8

const (
	itemNew itemState = iota
	itemWaiting
	itemInFlight
	itemEnded
)

// Turn is the scheduler's decision on a request that arrives.
type Turn uint8

// Decisions on arrival.
const (
	Go     Turn = iota // send it now
	Wait               // Next or Expired will return it
	Refuse             // it could not be answered in time
)

// Scheduler shares one pool's capacity among teams by start-time fair queueing
// (Goyal, Vin and Cheng 1996) over work. A team's tags advance by what its requests cost,
// divided by its guarantee; the lowest tag goes next. So each team that has requests
// waiting gets at least its guarantee, whatever the others do, and what some do not use
// goes to the others in proportion. A team that was idle starts at the present virtual time less
// its burst, and has nothing saved up beyond that.
//
// A Scheduler is not safe for concurrent use; it belongs to its pool's event loop.
type Scheduler struct {
	now             Time
	capacity        float64 // attempts that the pool may have in flight, after congestion control
	learnedCapacity float64 // the same before congestion control, as learned by its balancer
	congestion      congestionControl
	share           float64 // this gateway's share of absolute limits
	limitShares     func(*Terms) LimitShare
	virtualTime     float64 // in seconds of a guarantee
	inFlight        int
	seq             uint64
	queues          map[string]*queue
	queuesByIndex   []*queue   // the same queues, by index of the contract in the registry
	ready           queueHeap  // queues with waiting requests that may be sent
	blocked         []*queue   // queues with waiting requests, at their ceiling
	owedCandidates  []*queue   // queues with waiting requests that may be owed an attempt
	waiting         expiryHeap // all waiting requests, by the latest time to send them
	waitingWeight   float64    // sum of the weights of queues with waiting requests
	costs           Costs
	answers         float64 // recent answers, over all teams
	failed          float64
	sweepIndex      int
	teamNames       []string // of queues, in the order of the idle check
}

// queue is the state of one team in a scheduler, with its waiting requests.
type queue struct {
	team            string
	terms           *Terms
	limitShare      LimitShare // nil: Scheduler.share applies
	weight          float64
	finishTag       float64 // end tag of its last request
	startTag        float64 // tag of the next request, while some wait
	tieBreak        uint64  // seq of its first request when made ready; breaks ties of tags
	items           itemHeap
	waitingWork     float64 // seconds of estimated work waiting
	inFlight        int
	classCosts      []costEstimate
	answers         float64 // recent answers
	failed          float64 // error answers among them
	readyIndex      int     // index in the ready heap; -1 means not in it
	isOwedCandidate bool
	isBlocked       bool
	parked          int // requests that wait for their clients, not counted in inFlight
	lastUsed        Time
}

// headroom is the fraction of its capacity that a pool is given in addition: its balancer learns that
// hosts can take more only while requests wait there.
const headroom = 0.125

// maxDebt limits how long a team pays for requests that cost more than estimated, in seconds of
// its guarantee.
const maxDebt = 30

// NewScheduler returns a scheduler for a pool. share is this gateway's share of the limits that
// contracts state for all gateways together, from 0 to 1; see FleetShare.
func NewScheduler(share float64) *Scheduler {
	return &Scheduler{capacity: 1, share: share, queues: map[string]*queue{}}
}

// SetShare sets this gateway's share of absolute limits.
func (s *Scheduler) SetShare(share float64) { s.share = share }

// SetLimitShares sets where teams get their shares of their absolute limits. Teams for which f
// returns nil use the share of SetShare, as all teams do if f is nil.
func (s *Scheduler) SetLimitShares(f func(*Terms) LimitShare) { s.limitShares = f }

// SetCapacity sets how many attempts the pool may have in flight. A team's weight is updated with
// its next request.
func (s *Scheduler) SetCapacity(now Time, capacity float64) {
	s.advanceClock(now)
	s.learnedCapacity = max(capacity, 1)
	old := s.capacity
	s.capacity = max(1, s.learnedCapacity*s.congestion.usableShare(s.now))
	if s.capacity > old {
		s.unblock()
	}
}

func (s *Scheduler) advanceClock(now Time) { s.now = max(s.now, now) }

// hasRoom reports whether the pool takes another request.
func (s *Scheduler) hasRoom() bool {
	return float64(s.inFlight) < s.capacity+max(1, s.capacity*headroom)
}

// atCeiling reports whether a team has as many attempts in flight as its ceiling allows, rounded up
// to whole attempts.
func (s *Scheduler) atCeiling(q *queue) bool {
	c := q.terms.ceiling()
	return c < 1 && float64(q.inFlight) >= math.Ceil(c*s.capacity-1e-9)
}

// Arrive decides on a new request. With Refuse it also returns the time after which to retry.
func (s *Scheduler) Arrive(now Time, it *Item) (Turn, time.Duration) {
	s.advanceClock(now)
	q := s.queue(it.Terms)
	it.queue = q
	s.updateWeight(q)
	it.cost = s.estimateCost(q, it)
	if q.limitShare != nil {
		q.limitShare.Ask(it.cost * q.workFraction(it.Class))
	}
	it.sendBy = it.Deadline
	if it.Aim > 0 {
		it.sendBy = min(it.sendBy, it.Aim)
	}
	it.sendBy -= seconds(it.cost * costMargin)
	s.seq++
	it.seq = s.seq
	if it.sendBy < s.now && (q.inFlight > 0 || it.Deadline < s.now) {
		// An estimate alone must not lock a team out: while the team has nothing in flight, one
		// request is sent and shows what such requests cost now.
		it.state = itemEnded
		return Refuse, s.retryAfter(q)
	}
	it.sendBy = max(it.sendBy, s.now)
	if len(q.items.list) == 0 && (s.hasRoom() && !s.atCeiling(q) && len(s.ready.list) == 0 || s.owed(q)) {
		s.setStartTag(q)
		s.dispatch(q, it)
		return Go, 0
	}
	// Requests ahead of it are sent at the team's present share; refuse it if that takes too long.
	if expectedWait := s.expectedWait(q); s.now+seconds(expectedWait) > it.sendBy {
		it.state = itemEnded
		return Refuse, min(seconds(expectedWait), maxRetryAfter)
	}
	it.state = itemWaiting
	if len(q.items.list) == 0 {
		s.setStartTag(q)
		s.waitingWeight += q.weight
		q.items.push(it)
		s.makeReady(q)
	} else {
		q.items.push(it)
	}
	q.waitingWork += it.cost
	s.waiting.push(it)
	s.addOwedCandidate(q)
	return Wait, 0
}

const (
	// costMargin is how many times its estimated cost a request must have left when it is
	// sent: one that times out at a host has cost the host as much, for nothing.
	costMargin    = 2
	maxRetryAfter = 10 * time.Second
	minRetryAfter = 50 * time.Millisecond
)

// expectedWait returns the seconds that the team's waiting requests take at its present share of the pool.
func (s *Scheduler) expectedWait(q *queue) float64 {
	all := s.waitingWeight
	if len(q.items.list) == 0 {
		all += q.weight
	}
	rate := s.capacity * q.weight / max(all, q.weight)
	if q.limitShare != nil {
		rate = max(rate, s.owedAttempts(q))
	}
	rate = min(rate, q.terms.ceiling()*s.capacity)
	return q.waitingWork / max(rate, 1e-3)
}

// retryAfter returns the expected time until a team's waiting requests have been sent.
func (s *Scheduler) retryAfter(q *queue) time.Duration {
	return min(max(seconds(s.expectedWait(q)), minRetryAfter), maxRetryAfter)
}

// updateWeight recomputes a queue's weight from its contract and the present capacity.
func (s *Scheduler) updateWeight(q *queue) {
	share := s.share
	if q.limitShare != nil {
		share = q.limitShare.Part(s.now)
	}
	w := q.terms.weight(s.capacity, share)
	if len(q.items.list) > 0 {
		s.waitingWeight += w - q.weight
	}
	q.weight = w
}

// setStartTag sets the start tag of a queue that had nothing waiting.
func (s *Scheduler) setStartTag(q *queue) {
	q.startTag = max(s.virtualTime-q.terms.Burst.Seconds(), q.finishTag)
}

// makeReady adds a queue with waiting requests to the ready heap, or to the blocked ones if it is at
// its ceiling.
func (s *Scheduler) makeReady(q *queue) {
	if s.atCeiling(q) {
		if !q.isBlocked {
			q.isBlocked = true
			s.blocked = append(s.blocked, q)
		}
		return
	}
	s.pushReady(q)
}

// pushReady adds a queue to the ready heap, unless it is in it.
func (s *Scheduler) pushReady(q *queue) {
	if q.readyIndex < 0 {
		q.tieBreak = q.items.list[0].seq
		s.ready.push(q)
	}
}

// queue returns a team's queue and creates it if needed. A dropped queue had nothing saved up that
// a new one lacks, and owed nothing.
func (s *Scheduler) queue(t *Terms) *queue {
	if t.index < len(s.queuesByIndex) {
		if q := s.queuesByIndex[t.index]; q != nil && q.terms == t {
			q.lastUsed = s.now
			return q
		}
	}
	q := s.queues[t.Team]
	if q == nil {
		q = &queue{team: t.Team, readyIndex: -1, finishTag: math.Inf(-1)}
		s.queues[t.Team] = q
		s.teamNames = append(s.teamNames, t.Team)
	}
	if q.terms != t {
		q.limitShare = nil
		if s.limitShares != nil && t.Absolute() > 0 {
			q.limitShare = s.limitShares(t)
		}
	}
	q.terms, q.lastUsed = t, s.now // waiting requests are served under the newer terms
	for len(s.queuesByIndex) <= t.index {
		s.queuesByIndex = append(s.queuesByIndex, nil)
	}
	s.queuesByIndex[t.index] = q
	return q
}

// queueIdleTimeout is how long a queue without new requests is kept.
const queueIdleTimeout = Time(10 * time.Second)

// dropIdleQueues checks one or two queues and drops those that have been idle for a while and owe
// nothing: their start tag would be the present virtual time less their burst, as that of a new queue.
func (s *Scheduler) dropIdleQueues() {
	for range min(2, len(s.teamNames)) {
		s.sweepIndex %= len(s.teamNames)
		name := s.teamNames[s.sweepIndex]
		if q := s.queues[name]; s.now-q.lastUsed > queueIdleTimeout && q.inFlight+q.parked == 0 && len(q.items.list) == 0 && !q.isBlocked && q.finishTag <= s.virtualTime-q.terms.Burst.Seconds() {
			delete(s.queues, name)
			if s.queuesByIndex[q.terms.index] == q {
				s.queuesByIndex[q.terms.index] = nil
			}
			s.teamNames[s.sweepIndex] = s.teamNames[len(s.teamNames)-1]
			s.teamNames = s.teamNames[:len(s.teamNames)-1]
			if len(s.teamNames) == 0 {
				return
			}
			continue
		}
		s.sweepIndex++
	}
}

// Counts returns how many requests are in flight and waiting, and how many teams have a queue.
func (s *Scheduler) Counts() (inFlight, waiting, teams int) {
	return s.inFlight, len(s.waiting.list), len(s.queues)
}
