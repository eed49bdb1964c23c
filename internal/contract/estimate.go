package contract

import "time"

// The cost of a request is estimated from what similar requests have cost: by key if that key has
// been seen recently, else by the team's class, else by the class over all teams.

const (
	sampleWeight    = 0.1     // of a sample in a mean
	initialEstimate = 0.020   // seconds, before any sample
	keySlots        = 1 << 12 // keys that a scheduler can remember
	minCost         = 1e-6    // seconds: a request is never free
)

// costEstimate is a moving average that its first sample sets.
type costEstimate struct {
	mean       float64
	sampled    bool
	slowMean   float64 // slower moving average of the same samples
	baseline   float64 // lowest slowMean, drifting up: the cost without queueing at hosts
	lastSample Time    // time of the last sample that updated baseline
	samples    int
}

// congestionControl gives a pool less than the capacity that its balancer allows, while requests take
// much longer than without queueing at hosts (as in TCP Vegas: Brakmo and Peterson 1995). Queueing
// at hosts makes the costs of all requests look alike: 10 ms of work behind 100 ms of other work
// would cost 110 ms, and a team would pay for the queue of the others.
type congestionControl struct {
	actual, baseline float64 // recent requests, in seconds: actual cost, and baseline cost
	heldBack         float64 // fraction of the capacity that is held back
	lastUpdate       Time
}

const (
	slowSampleWeight   = 0.02
	baselineDrift      = 0.005 // per second; per sample, a flood of samples would soon raise the baseline
	minBaselineSamples = 20
	congestionDecay    = 0.99 // factor of actual and baseline, per sample
	congestionHigh     = 1.8  // ratio of actual to baseline above which the share is reduced
	congestionLow      = 1.5  // ratio below which the share is increased
	congestionInterval = Time(20 * time.Millisecond)
	congestionDecrease = 0.95 // factor of the usable share, per interval
	congestionIncrease = 0.01
	minUsableShare     = 0.25 // fraction of the capacity that is always usable
	maxSlowdown        = 8
)

// sample records the cost of a request.
func (c *congestionControl) sample(now Time, e *costEstimate, work float64) {
	if e.samples == 0 {
		e.slowMean = work
	}
	e.slowMean += max(slowSampleWeight, 1/float64(e.samples+1)) * (work - e.slowMean)
	if e.samples++; e.samples < minBaselineSamples {
		return
	}
	e.baseline *= 1 + baselineDrift*min((now-e.lastSample).Seconds(), 1)
	if e.lastSample = now; e.baseline == 0 || e.slowMean < e.baseline {
		e.baseline = e.slowMean
	}
	c.actual = c.actual*congestionDecay + work
	c.baseline = c.baseline*congestionDecay + e.baseline
}

// workFraction returns the fraction of the cost of a class of the team that is work, and not waiting
// at hosts. Contracts state work, and gateways whose requests wait longer must not report more demand.
func (q *queue) workFraction(class int) float64 {
	if class >= len(q.classCosts) || q.classCosts[class].baseline == 0 {
		return 1
	}
	// The lowest mean is below the usual one by chance alone; a slightly longer time is no queue.
	return min(1, congestionLow*q.classCosts[class].baseline/q.classCosts[class].mean)
}

// slowdown returns the ratio of the present cost of requests to their baseline, from 1 to maxSlowdown.
func (c *congestionControl) slowdown() float64 {
	if c.baseline == 0 {
		return 1
	}
	return min(max(c.actual/c.baseline, 1), maxSlowdown)
}

// usableShare returns the fraction of the capacity that may be used. It adjusts the fraction at most
// once per congestionInterval.
func (c *congestionControl) usableShare(now Time) float64 {
	if now-c.lastUpdate >= congestionInterval && c.baseline > 0 {
		c.lastUpdate = now
		usable := 1 - c.heldBack
		switch ratio := c.actual / c.baseline; {
		case ratio > congestionHigh:
			usable = max(minUsableShare, usable*congestionDecrease)
		case ratio < congestionLow:
			usable = min(1, usable+congestionIncrease)
		}
		c.heldBack = 1 - usable
	}
	return 1 - c.heldBack
}

func (e *costEstimate) add(x float64) {
	if !e.sampled {
		e.mean, e.sampled = x, true
		return
	}
	e.mean += sampleWeight * (x - e.mean)
}

// keySlot remembers the cost of one key; another key that maps to the slot may replace it.
type keySlot struct {
	key  uint64
	cost float32
}

// Costs remembers what requests have cost, by class and, for keys that differ from their class,
// by key. Its size is bounded. It is not safe for concurrent use.
type Costs struct {
	classCosts []costEstimate
	keys       []keySlot
}

// costOf returns the cost of a key, or else of its class, in seconds; false means that neither is known.
func (c *Costs) costOf(class int, key uint64) (float64, bool) {
	if cost, ok := c.costOfKey(key); ok {
		return cost, true
	}
	if class < len(c.classCosts) && c.classCosts[class].sampled {
		return c.classCosts[class].mean, true
	}
	return 0, false
}

func (c *Costs) costOfKey(key uint64) (float64, bool) {
	if key != 0 && c.keys != nil {
		if slot := &c.keys[key%keySlots]; slot.key == key {
			return float64(slot.cost), true
		}
	}
	return 0, false
}

// Ratio returns the expected cost of a request relative to the mean of its class, or 1 if its key or
// class is unknown.
func (c *Costs) Ratio(class int, key uint64) float64 {
	cost, ok := c.costOfKey(key)
	if !ok || class >= len(c.classCosts) || c.classCosts[class].mean <= 0 {
		return 1
	}
	return cost / c.classCosts[class].mean
}

// Learn records what a request has cost, in seconds.
func (c *Costs) Learn(class int, key uint64, work float64) {
	c.learnClass(class, work)
	c.learnKey(key, work, c.classCosts[class].mean)
}

func (c *Costs) learnClass(class int, work float64) {
	for len(c.classCosts) <= class {
		c.classCosts = append(c.classCosts, costEstimate{})
	}
	c.classCosts[class].add(work)
}

// learnKey remembers a key whose cost differs from mean, the cost expected without the key.
func (c *Costs) learnKey(key uint64, work, mean float64) {
	if key == 0 {
		return
	}
	if c.keys == nil {
		c.keys = make([]keySlot, keySlots)
	}
	slot := &c.keys[key%keySlots]
	if slot.key == key {
		slot.cost += float32(sampleWeight*4) * (float32(work) - slot.cost)
	} else if work > 4*mean || work < mean/4 {
		*slot = keySlot{key, float32(work)} // only keys that the class mean does not predict
	}
}

// estimateCost returns the expected cost of a request of the queue's team, in seconds.
func (s *Scheduler) estimateCost(q *queue, it *Item) float64 {
	if cost, ok := s.costs.costOfKey(it.Key); ok {
		return max(cost, minCost)
	}
	if it.Class < len(q.classCosts) && q.classCosts[it.Class].sampled {
		return max(q.classCosts[it.Class].mean, minCost)
	}
	if cost, ok := s.costs.costOf(it.Class, 0); ok {
		return max(cost, minCost)
	}
	return initialEstimate
}

// recordCost records what a request has cost, in seconds.
func (s *Scheduler) recordCost(q *queue, it *Item, work float64) {
	s.costs.learnClass(it.Class, work)
	for len(q.classCosts) <= it.Class {
		q.classCosts = append(q.classCosts, costEstimate{})
	}
	q.classCosts[it.Class].add(work)
	s.congestion.sample(s.now, &q.classCosts[it.Class], work)
	s.costs.learnKey(it.Key, work, q.classCosts[it.Class].mean)
}

// CountsAgainstHost reports whether an error answer to a request is evidence against the host. Where
// most of a team's requests fail on any host and hardly any of the other teams' do, the team's
// requests are at fault: counted against hosts, these errors would cost all teams all hosts.
func (s *Scheduler) CountsAgainstHost(it *Item) bool {
	q := it.queue
	return !(q.answers >= minBlameAnswers && q.failed > blameOwnErrorRate*q.answers && s.answers-q.answers >= minBlameAnswers && s.failed-q.failed < blameOthersErrorRate*(s.answers-q.answers))
}

// RecordResult counts an answer of a host for CountsAgainstHost. Counts are halved regularly, so that
// the last one to two thousand answers dominate.
func (s *Scheduler) RecordResult(it *Item, failed bool) {
	q := it.queue
	q.answers++
	s.answers++
	if failed {
		q.failed++
		s.failed++
	}
	if s.answers > blameDecayAfter {
		s.answers, s.failed = s.answers/2, s.failed/2
		for _, q := range s.queues {
			q.answers, q.failed = q.answers/2, q.failed/2
		}
	}
}

const (
	minBlameAnswers      = 10  // answers needed before errors are blamed on a team
	blameOwnErrorRate    = 0.5 // error rate of the team's answers
	blameOthersErrorRate = 0.1 // error rate of the other teams' answers
	blameDecayAfter      = 2000
)

func seconds(d float64) time.Duration { return time.Duration(d * float64(time.Second)) }
