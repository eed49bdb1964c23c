package contract

import (
	"time"
)

// dispatch counts a request as in flight and advances its team's tags.
func (s *Scheduler) dispatch(q *queue, it *Item) {
	s.virtualTime = max(s.virtualTime, q.startTag)
	q.finishTag = q.startTag + it.cost/q.weight
	q.startTag = q.finishTag
	it.state = itemInFlight
	q.inFlight++
	s.inFlight++
	it.overGuarantee = float64(q.inFlight) > max(q.weight*s.capacity, 1)
}

// unblock checks the queues that were at their ceiling again, and makes ready those that no longer are.
func (s *Scheduler) unblock() {
	rest := s.blocked[:0]
	for _, q := range s.blocked {
		switch {
		case len(q.items.list) == 0:
			q.isBlocked = false
		case s.atCeiling(q):
			rest = append(rest, q)
		default:
			q.isBlocked = false
			s.pushReady(q)
		}
	}
	clear(s.blocked[len(rest):])
	s.blocked = rest
}

// Next returns the request to send next, or nil if none that waits may be sent now.
func (s *Scheduler) Next(now Time) *Item {
	s.advanceClock(now)
	var q *queue
	if s.hasRoom() && len(s.ready.list) > 0 {
		q = s.ready.list[0]
	} else if q = s.nextOwed(); q == nil {
		return nil
	}
	if q.readyIndex >= 0 {
		s.ready.remove(q)
	}
	it := q.items.list[0]
	s.removeWaiting(q, it)
	s.dispatch(q, it)
	if len(q.items.list) > 0 {
		s.makeReady(q)
		s.addOwedCandidate(q)
	}
	return it
}

// owed reports whether a team has fewer attempts in flight than its share of its absolute limits
// allows, in whole attempts and at their present duration. Such attempts are sent whoever uses the
// capacity here: a gateway that gets most of a team's requests has no larger share of the hosts than
// the others, and all gateways together owe no more than the contract states.
func (s *Scheduler) owed(q *queue) bool {
	return q.limitShare != nil && !s.atCeiling(q) && float64(q.inFlight)+1 <= s.owedAttempts(q)
}

// owedAttempts returns how many attempts a team's share of its limits allows, at their present duration.
func (s *Scheduler) owedAttempts(q *queue) float64 {
	return q.limitShare.Part(s.now) * q.terms.Absolute() * s.congestion.slowdown()
}

// addOwedCandidate makes nextOwed examine a queue if it is owed an attempt.
func (s *Scheduler) addOwedCandidate(q *queue) {
	if !q.isOwedCandidate && len(q.items.list) > 0 && s.owed(q) {
		q.isOwedCandidate = true
		s.owedCandidates = append(s.owedCandidates, q)
	}
}

// nextOwed returns a queue that is owed an attempt and has a request waiting, or nil.
func (s *Scheduler) nextOwed() *queue {
	for len(s.owedCandidates) > 0 {
		q := s.owedCandidates[0]
		s.owedCandidates[0] = nil
		s.owedCandidates = s.owedCandidates[1:]
		if q.isOwedCandidate = false; len(q.items.list) > 0 && s.owed(q) {
			return q
		}
	}
	s.owedCandidates = nil
	return nil
}

// removeWaiting removes a waiting request from its queue and from the expiry heap. The queue must
// not be in the ready heap, or must keep its position in it.
func (s *Scheduler) removeWaiting(q *queue, it *Item) {
	q.items.remove(it)
	s.waiting.remove(it)
	q.waitingWork = max(0, q.waitingWork-it.cost)
	if len(q.items.list) == 0 {
		q.waitingWork = 0
		s.waitingWeight -= q.weight
		if len(s.waiting.list) == 0 {
			s.waitingWeight = 0 // avoids accumulated rounding errors
		}
		if q.readyIndex >= 0 {
			s.ready.remove(q)
		}
	}
}

// Expired returns a waiting request that can no longer be answered in time, with advice when to
// retry, or nil.
func (s *Scheduler) Expired(now Time) (*Item, time.Duration) {
	s.advanceClock(now)
	if len(s.waiting.list) == 0 || s.waiting.list[0].sendBy >= s.now {
		return nil, 0
	}
	it := s.waiting.list[0]
	after := s.retryAfter(it.queue)
	s.removeWaiting(it.queue, it)
	it.state = itemEnded
	return it, after
}

// NextExpiry returns when to call Expired next, or 0 if nothing waits.
func (s *Scheduler) NextExpiry() Time {
	if len(s.waiting.list) == 0 {
		return 0
	}
	return s.waiting.list[0].sendBy + 1
}

// Done ends a request in any state; work is the time that its attempts took at hosts. cut says
// that an attempt was cancelled or timed out: its full cost is then unknown, but no less than work.
// Done may be called more than once.
func (s *Scheduler) Done(now Time, it *Item, work time.Duration, cut bool) {
	s.advanceClock(now)
	q := it.queue
	switch it.state {
	case itemWaiting:
		s.removeWaiting(q, it)
	case itemInFlight:
		if it.parked {
			it.parked = false
			q.parked--
		} else {
			q.inFlight--
			s.inFlight--
		}
		s.settleCost(q, it, max(work.Seconds(), 0), cut)
		s.addOwedCandidate(q)
		if q.isBlocked {
			s.unblock()
		}
		s.dropIdleQueues()
	}
	it.state = itemEnded
}

// settleCost corrects the charge of a request from its estimated to its actual cost.
func (s *Scheduler) settleCost(q *queue, it *Item, work float64, cut bool) {
	s.adjustTags(q, (max(work, minCost)-it.cost)/q.weight)
	if !cut || work > it.cost {
		s.recordCost(q, it, work)
	}
	if it.Account != nil {
		it.Account.Work.Add(int64(seconds(work)))
		if it.overGuarantee {
			it.Account.Lent.Add(int64(seconds(work)))
		}
	}
}

// adjustTags advances a queue's tags by cost that was not charged, and back if diff is negative. diff
// is in seconds of the team's guarantee.
func (s *Scheduler) adjustTags(q *queue, diff float64) {
	q.finishTag = min(q.finishTag+diff, max(s.virtualTime+maxDebt, q.finishTag))
	if len(q.items.list) > 0 {
		q.startTag = min(q.startTag+diff, max(s.virtualTime+maxDebt, q.startTag))
		if q.readyIndex >= 0 {
			s.ready.fix(q)
		}
	}
}

// Park stops counting a request that is in flight against the capacity, until Unpark or Done: it
// waits for its client and not for a host.
func (s *Scheduler) Park(now Time, it *Item) {
	s.advanceClock(now)
	if it.state != itemInFlight || it.parked {
		return
	}
	it.parked = true
	it.queue.parked++
	it.queue.inFlight--
	s.inFlight--
	if it.queue.isBlocked {
		s.unblock()
	}
}

// Unpark counts a parked request against the capacity again.
func (s *Scheduler) Unpark(now Time, it *Item) {
	s.advanceClock(now)
	if it.state == itemInFlight && it.parked {
		it.parked = false
		it.queue.parked--
		it.queue.inFlight++
		s.inFlight++
	}
}

// Charge charges a request's team for work that became known after Done: that of transferring the
// body of an answer.
func (s *Scheduler) Charge(now Time, it *Item, work time.Duration) {
	s.advanceClock(now)
	if it.queue == nil || work <= 0 {
		return
	}
	q := s.queue(it.Terms)
	s.adjustTags(q, work.Seconds()/q.weight)
	if it.Account != nil {
		it.Account.Work.Add(int64(work))
		if it.overGuarantee {
			it.Account.Lent.Add(int64(work))
		}
	}
}
