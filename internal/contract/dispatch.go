package contract

import (
	"time"
)

// dispatch counts a request as out.
func (s *Scheduler) dispatch(l *line, it *Item) {
	s.v = max(s.v, l.start)
	l.finish = l.start + it.cost/l.weight
	l.start = l.finish
	it.state = itemOut
	l.out++
	s.out++
	it.lent = float64(l.out) > max(l.weight*s.capacity, 1)
}

// release looks again at lines that were at their ceiling.
func (s *Scheduler) release() {
	rest := s.held[:0]
	for _, l := range s.held {
		switch {
		case len(l.items.list) == 0:
			l.isHeld = false
		case s.atCeiling(l):
			rest = append(rest, l)
		default:
			l.isHeld = false
			s.queue(l)
		}
	}
	clear(s.held[len(rest):])
	s.held = rest
}

// Next is the request whose turn it is, or nil if none waits that may go now.
func (s *Scheduler) Next(now Time) *Item {
	s.tick(now)
	var l *line
	if s.room() && len(s.ready.list) > 0 {
		l = s.ready.list[0]
	} else if l = s.nextOwed(); l == nil {
		return nil
	}
	if l.inReady >= 0 {
		s.ready.remove(l)
	}
	it := l.items.list[0]
	s.take(l, it)
	s.dispatch(l, it)
	if len(l.items.list) > 0 {
		s.enter(l)
		s.mayOwe(l)
	}
	return it
}

// owed says whether a team has fewer attempts out than its right to absolute figures stands for, in
// whole ones and as long as they take now. These go whatever holds the capacity here: a gateway to
// which most of a team's requests come has no larger part of the hosts than the others, and all
// gateways together owe no more than the contract states.
func (s *Scheduler) owed(l *line) bool {
	return l.right != nil && !s.atCeiling(l) && float64(l.out)+1 <= s.attempts(l)
}

// attempts is how many a line's right stands for, as long as they take now.
func (s *Scheduler) attempts(l *line) float64 {
	return l.right.Part(s.now) * l.terms.Absolute() * s.queues.slowness()
}

// mayOwe has Next look whether a line is owed an attempt.
func (s *Scheduler) mayOwe(l *line) {
	if !l.inOwing && len(l.items.list) > 0 && s.owed(l) {
		l.inOwing = true
		s.owing = append(s.owing, l)
	}
}

// nextOwed is a line that is owed an attempt and waits for it, or nil.
func (s *Scheduler) nextOwed() *line {
	for len(s.owing) > 0 {
		l := s.owing[0]
		s.owing[0] = nil
		s.owing = s.owing[1:]
		if l.inOwing = false; len(l.items.list) > 0 && s.owed(l) {
			return l
		}
	}
	s.owing = nil
	return nil
}

// take takes a waiting request out of its line and of the heap of times. Its line must
// not be in the heap of lines, or stay right there.
func (s *Scheduler) take(l *line, it *Item) {
	l.items.remove(it)
	s.waiting.remove(it)
	l.waits = max(0, l.waits-it.cost)
	if len(l.items.list) == 0 {
		l.waits = 0
		s.weights -= l.weight
		if len(s.waiting.list) == 0 {
			s.weights = 0 // no rounding is carried on
		}
		if l.inReady >= 0 {
			s.ready.remove(l)
		}
	}
}

// Expired is a waiting request that can't be answered in time any more, with advice when
// to come back, or nil.
func (s *Scheduler) Expired(now Time) (*Item, time.Duration) {
	s.tick(now)
	if len(s.waiting.list) == 0 || s.waiting.list[0].latest >= s.now {
		return nil, 0
	}
	it := s.waiting.list[0]
	after := s.backIn(it.line)
	s.take(it.line, it)
	it.state = itemEnded
	return it, after
}

// NextExpiry is when Expired is to be asked, or 0 if nothing waits.
func (s *Scheduler) NextExpiry() Time {
	if len(s.waiting.list) == 0 {
		return 0
	}
	return s.waiting.list[0].latest + 1
}

// Done ends a request, wherever it is; work is the time that its attempts took at hosts.
// cut says that an attempt was called off or timed out: what it would have cost is not
// known, only that it is no less. It may be called more than once.
func (s *Scheduler) Done(now Time, it *Item, work time.Duration, cut bool) {
	s.tick(now)
	l := it.line
	switch it.state {
	case itemWaits:
		s.take(l, it)
	case itemOut:
		if it.parked {
			it.parked = false
			l.parked--
		} else {
			l.out--
			s.out--
		}
		s.settle(l, it, max(work.Seconds(), 0), cut)
		s.mayOwe(l)
		if l.isHeld {
			s.release()
		}
		s.forget()
	}
	it.state = itemEnded
}

// settle charges what a request has cost in place of what it was thought to.
func (s *Scheduler) settle(l *line, it *Item, work float64, cut bool) {
	s.owe(l, (max(work, leastCost)-it.cost)/l.weight)
	if !cut || work > it.cost {
		s.learn(l, it, work)
	}
	if it.Account != nil {
		it.Account.Work.Add(int64(seconds(work)))
		if it.lent {
			it.Account.Lent.Add(int64(seconds(work)))
		}
	}
}

// owe moves a line's tags by what it has cost beyond what was charged.
func (s *Scheduler) owe(l *line, diff float64) {
	l.finish = min(l.finish+diff, max(s.v+mostDebt, l.finish))
	if len(l.items.list) > 0 {
		l.start = min(l.start+diff, max(s.v+mostDebt, l.start))
		if l.inReady >= 0 {
			s.ready.fix(l)
		}
	}
}

// Park takes a request that is out from what its team holds of the capacity, until Unpark or
// Done: it waits for its client and not for a host.
func (s *Scheduler) Park(now Time, it *Item) {
	s.tick(now)
	if it.state != itemOut || it.parked {
		return
	}
	it.parked = true
	it.line.parked++
	it.line.out--
	s.out--
	if it.line.isHeld {
		s.release()
	}
}

// Unpark counts it again.
func (s *Scheduler) Unpark(now Time, it *Item) {
	s.tick(now)
	if it.state == itemOut && it.parked {
		it.parked = false
		it.line.parked--
		it.line.out++
		s.out++
	}
}

// Charge has a request's team pay for work that came to light after Done: that of an answer's
// body on its way.
func (s *Scheduler) Charge(now Time, it *Item, work time.Duration) {
	s.tick(now)
	if it.line == nil || work <= 0 {
		return
	}
	l := s.line(it.Terms)
	s.owe(l, work.Seconds()/l.weight)
	if it.Account != nil {
		it.Account.Work.Add(int64(work))
		if it.lent {
			it.Account.Lent.Add(int64(work))
		}
	}
}
