package contract

import (
	"math"
	"time"
)

// Item is one request in a Scheduler. The caller fills in the first fields and keeps the
// item until the request has ended; the rest is the scheduler's.
type Item struct {
	Terms    *Terms
	Account  *Account
	Class    int
	Priority int    // within the team, see ClassTerms
	Key      uint64 // of what it is about; 0: none
	Deadline Time   // the client has its answer by then
	Aim      Time   // an answer after it is worth little; 0: the deadline
	Owner    any    // for the caller

	line   *line
	cost   float64 // seconds, estimated
	latest Time    // to be sent by
	seq    uint64
	state  itemState
	inLine int // place in its line's heap
	inTime int // place in the heap of latest times
	lent   bool
	parked bool // it waits for its client
}

type itemState uint8

const (
	itemNew itemState = iota
	itemWaits
	itemOut
	itemEnded
)

// Turn is what becomes of a request on its arrival.
type Turn uint8

// Turns.
const (
	Go     Turn = iota // send it now
	Wait               // Next or Expired will name it
	Refuse             // it could not be answered in time
)

// Scheduler shares one pool's capacity out among teams by start-time fair queueing
// (Goyal, Vin and Cheng 1996) over work. A team's tags advance by what its requests cost,
// divided by its guarantee; the lowest tag goes next. So each team that has requests
// waiting gets at least its guarantee, whatever the others do, and what some do not use
// goes to the others in proportion. A team that was idle starts at the present time less
// its burst: it has nothing saved up beyond that.
//
// A Scheduler is not safe for concurrent use; it lives in its pool's loop.
type Scheduler struct {
	now      Time
	capacity float64 // attempts that are given to the pool at once
	learnt   float64 // ... that it may have out, as its balancer learns it
	queues   queueing
	part     float64 // this gateway's part of what contracts state for all
	rights   func(*Terms) LimitShare
	v        float64 // virtual time, in seconds of a guarantee
	out      int
	seq      uint64
	lines    map[string]*line
	placed   []*line  // the same, by place in the registry
	ready    lineHeap // lines with requests that wait and may go
	held     []*line  // lines with requests that wait, at their ceiling
	owing    []*line  // lines with requests that wait, which may be owed an attempt
	waiting  timeHeap // all requests that wait, by the latest time to send them
	weights  float64  // of the lines that have requests waiting
	costs    Costs
	tried    float64 // answers of late, of all teams
	failed   float64
	sweep    int
	names    []string // of lines, in turn of being looked at for forgetting
}

// line is one team in a scheduler.
type line struct {
	team    string
	terms   *Terms
	right   LimitShare // nil: its part of absolute figures is everybody's
	weight  float64
	finish  float64 // tag of its last request's end
	start   float64 // tag of the request that is next, while some wait
	turn    uint64  // of its first request; settles tags that are level
	items   itemHeap
	waits   float64 // seconds of work that wait
	out     int
	classes []guess
	tried   float64 // answers of late
	failed  float64 // of them, errors
	inReady int     // place in the heap of lines; -1: not there
	inOwing bool
	isHeld  bool
	parked  int // requests that wait for their clients: they are none of out
	touched Time
}

// headroom is how much more than its capacity a pool is given: its balancer learns that
// hosts can take more only while something waits there.
const headroom = 0.125

// mostDebt bounds how long a team pays for what cost more than was thought, in seconds of
// its guarantee.
const mostDebt = 30

// NewScheduler returns a scheduler for a pool. part is this gateway's part of the figures
// that contracts state for all gateways together, from 0 to 1; see FleetShare.
func NewScheduler(part float64) *Scheduler {
	return &Scheduler{capacity: 1, part: part, lines: map[string]*line{}}
}

// SetShare changes this gateway's part.
func (s *Scheduler) SetShare(part float64) { s.part = part }

// SetLimitShares has teams' parts of their absolute figures follow what comes here, where f has a right
// for a team; nil: all go by SetPart.
func (s *Scheduler) SetLimitShares(f func(*Terms) LimitShare) { s.rights = f }

// SetCapacity says how many attempts the pool may have out. A team's weight follows with
// its next request.
func (s *Scheduler) SetCapacity(now Time, capacity float64) {
	s.tick(now)
	s.learnt = max(capacity, 1)
	old := s.capacity
	s.capacity = max(1, s.learnt*s.queues.part(s.now))
	if s.capacity > old {
		s.release()
	}
}

func (s *Scheduler) tick(now Time) { s.now = max(s.now, now) }

// room says whether the pool takes another request.
func (s *Scheduler) room() bool {
	return float64(s.out) < s.capacity+max(1, s.capacity*headroom)
}

// atCeiling says whether a team has as much out as it may: its part of the capacity, in
// whole attempts, of which a part counts as one.
func (s *Scheduler) atCeiling(l *line) bool {
	c := l.terms.ceiling()
	return c < 1 && float64(l.out) >= math.Ceil(c*s.capacity-1e-9)
}

// Arrive takes a request in. With Refuse it says when to come back.
func (s *Scheduler) Arrive(now Time, it *Item) (Turn, time.Duration) {
	s.tick(now)
	l := s.line(it.Terms)
	it.line = l
	s.weigh(l)
	it.cost = s.estimate(l, it)
	if l.right != nil {
		l.right.Ask(it.cost * l.calmPart(it.Class))
	}
	it.latest = it.Deadline
	if it.Aim > 0 {
		it.latest = min(it.latest, it.Aim)
	}
	it.latest -= seconds(it.cost * costMargin)
	s.seq++
	it.seq = s.seq
	if it.latest < s.now && (l.out > 0 || it.Deadline < s.now) {
		// An estimate alone must not shut a team out: while it has nothing at the hosts, one
		// request goes and tells what such requests cost now.
		it.state = itemEnded
		return Refuse, s.backIn(l)
	}
	it.latest = max(it.latest, s.now)
	if len(l.items.list) == 0 && (s.room() && !s.atCeiling(l) && len(s.ready.list) == 0 || s.owed(l)) {
		s.begin(l)
		s.dispatch(l, it)
		return Go, 0
	}
	// What waits ahead of it goes at the team's present share, or its place is hopeless.
	if wait := s.wait(l); s.now+seconds(wait) > it.latest {
		it.state = itemEnded
		return Refuse, min(seconds(wait), mostAfter)
	}
	it.state = itemWaits
	if len(l.items.list) == 0 {
		s.begin(l)
		s.weights += l.weight
		l.items.push(it)
		s.enter(l)
	} else {
		l.items.push(it)
	}
	l.waits += it.cost
	s.waiting.push(it)
	s.mayOwe(l)
	return Wait, 0
}

const (
	// costMargin is how many times its estimated cost a request must have left when it is
	// sent: one that is cut short at a host has cost the host as much, for nothing.
	costMargin = 2
	mostAfter  = 10 * time.Second
	leastAfter = 50 * time.Millisecond
)

// wait is how long what a team has waiting will take at its present share of the pool.
func (s *Scheduler) wait(l *line) float64 {
	all := s.weights
	if len(l.items.list) == 0 {
		all += l.weight
	}
	rate := s.capacity * l.weight / max(all, l.weight)
	if l.right != nil {
		rate = max(rate, s.attempts(l))
	}
	rate = min(rate, l.terms.ceiling()*s.capacity)
	return l.waits / max(rate, 1e-3)
}

// backIn is when a team's waiting requests will have gone.
func (s *Scheduler) backIn(l *line) time.Duration {
	return min(max(seconds(s.wait(l)), leastAfter), mostAfter)
}

// weigh gives a line its weight, as its contract and the capacity are now.
func (s *Scheduler) weigh(l *line) {
	part := s.part
	if l.right != nil {
		part = l.right.Part(s.now)
	}
	w := l.terms.weight(s.capacity, part)
	if len(l.items.list) > 0 {
		s.weights += w - l.weight
	}
	l.weight = w
}

// begin gives a line that had nothing waiting its tag.
func (s *Scheduler) begin(l *line) {
	l.start = max(s.v-l.terms.Burst.Seconds(), l.finish)
}

// enter puts a line with waiting requests where Next finds it, or aside.
func (s *Scheduler) enter(l *line) {
	if s.atCeiling(l) {
		if !l.isHeld {
			l.isHeld = true
			s.held = append(s.held, l)
		}
		return
	}
	s.queue(l)
}

// queue puts a line where Next finds it.
func (s *Scheduler) queue(l *line) {
	if l.inReady < 0 {
		l.turn = l.items.list[0].seq
		s.ready.push(l)
	}
}

// line finds or makes a team's line. One that was forgotten had nothing saved up that a
// new one has not, and owed nothing.
func (s *Scheduler) line(t *Terms) *line {
	if t.place < len(s.placed) {
		if l := s.placed[t.place]; l != nil && l.terms == t {
			l.touched = s.now
			return l
		}
	}
	l := s.lines[t.Team]
	if l == nil {
		l = &line{team: t.Team, inReady: -1, finish: math.Inf(-1)}
		s.lines[t.Team] = l
		s.names = append(s.names, t.Team)
	}
	if l.terms != t {
		l.right = nil
		if s.rights != nil && t.Absolute() > 0 {
			l.right = s.rights(t)
		}
	}
	l.terms, l.touched = t, s.now // requests that wait are served under the newer terms
	for len(s.placed) <= t.place {
		s.placed = append(s.placed, nil)
	}
	s.placed[t.place] = l
	return l
}

// keptIdle is how long a line is kept that nothing came for.
const keptIdle = Time(10 * time.Second)

// forget looks at one or two lines and drops those that have been idle for a while and owe
// nothing: their tag would be set to the present time less their burst, as a new one's is.
func (s *Scheduler) forget() {
	for range min(2, len(s.names)) {
		s.sweep %= len(s.names)
		name := s.names[s.sweep]
		if l := s.lines[name]; s.now-l.touched > keptIdle && l.out+l.parked == 0 && len(l.items.list) == 0 && !l.isHeld && l.finish <= s.v-l.terms.Burst.Seconds() {
			delete(s.lines, name)
			if s.placed[l.terms.place] == l {
				s.placed[l.terms.place] = nil
			}
			s.names[s.sweep] = s.names[len(s.names)-1]
			s.names = s.names[:len(s.names)-1]
			if len(s.names) == 0 {
				return
			}
			continue
		}
		s.sweep++
	}
}

// Counts are how many requests are out and wait, and how many teams are kept in mind.
func (s *Scheduler) Counts() (out, waiting, teams int) {
	return s.out, len(s.waiting.list), len(s.lines)
}
