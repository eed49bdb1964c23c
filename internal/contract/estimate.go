package contract

import "time"

// Estimates of what a request will cost come from what such requests have cost: by key
// where that key has been seen lately, else by the team's class, else by the class.

const (
	estimateWeight = 0.1     // of a sample in a mean
	firstEstimate  = 0.020   // seconds, before anything is known
	keyCells       = 1 << 12 // keys that a scheduler remembers
	leastCost      = 1e-6    // seconds: a request is never free
)

// guess is a mean that its first sample sets.
type guess struct {
	mean float64
	seen bool
	slow float64 // the same over more samples
	calm float64 // its lowest, drifting up: what such requests cost where they do not queue
	at   Time    // of the last sample
	n    int
}

// Queueing at hosts makes all requests look alike: ten milliseconds of work behind a
// hundred cost a hundred and ten, and a team would pay for the others' queue. So the pool is
// given less than its balancer lets it hold, as long as requests take a good deal longer
// than in calm times (as in TCP Vegas: Brakmo and Peterson 1995).
type queueing struct {
	spent, calm float64 // seconds of late: taken, and what they would have in calm times
	held        float64 // part of the capacity that is held back
	at          Time
}

const (
	slowWeight  = 0.02
	calmDrift   = 0.005 // a second: by samples, a flood of them would soon pass for calm
	calmAfter   = 20    // samples
	queueFades  = 0.99  // of spent and calm, with each sample
	queueMuch   = 1.8   // times calm above which less is given
	queueLittle = 1.5   // ... and below which more is
	queueEvery  = Time(20 * time.Millisecond)
	queueLess   = 0.95 // of the part that is given, each time
	queueMore   = 0.01
	queueLeast  = 0.25 // of the capacity is given always
	slowMost    = 8
)

// sample takes in what a request has cost.
func (q *queueing) sample(now Time, g *guess, work float64) {
	if g.n == 0 {
		g.slow = work
	}
	g.slow += max(slowWeight, 1/float64(g.n+1)) * (work - g.slow)
	if g.n++; g.n < calmAfter {
		return
	}
	g.calm *= 1 + calmDrift*min((now-g.at).Seconds(), 1)
	if g.at = now; g.calm == 0 || g.slow < g.calm {
		g.calm = g.slow
	}
	q.spent = q.spent*queueFades + work
	q.calm = q.calm*queueFades + g.calm
}

// calmPart is what part of the cost of a class of the line's is work, and not waiting at hosts: what
// contracts state is work, and gateways whose requests wait longer must not seem to want more.
func (l *line) calmPart(class int) float64 {
	if class >= len(l.classes) || l.classes[class].calm == 0 {
		return 1
	}
	// The lowest mean is below the usual one by chance alone; a little longer is no queue.
	return min(1, queueLittle*l.classes[class].calm/l.classes[class].mean)
}

// slowness is how many times as long as in calm times requests take now, up to slowMost.
func (q *queueing) slowness() float64 {
	if q.calm == 0 {
		return 1
	}
	return min(max(q.spent/q.calm, 1), slowMost)
}

// part is the part of the capacity that is given.
func (q *queueing) part(now Time) float64 {
	if now-q.at >= queueEvery && q.calm > 0 {
		q.at = now
		given := 1 - q.held
		switch ratio := q.spent / q.calm; {
		case ratio > queueMuch:
			given = max(queueLeast, given*queueLess)
		case ratio < queueLittle:
			given = min(1, given+queueMore)
		}
		q.held = 1 - given
	}
	return 1 - q.held
}

func (g *guess) add(x float64) {
	if !g.seen {
		g.mean, g.seen = x, true
		return
	}
	g.mean += estimateWeight * (x - g.mean)
}

// keyCell remembers one key; another that falls there replaces it.
type keyCell struct {
	key  uint64
	cost float32
}

// Costs remembers what requests have cost, by class and, where one differs from its class,
// by key. It is bounded, and not safe for concurrent use.
type Costs struct {
	classes []guess
	keys    []keyCell
}

// of is what a key has cost, or else its class; false: nothing is known.
func (c *Costs) of(class int, key uint64) (float64, bool) {
	if cost, ok := c.ofKey(key); ok {
		return cost, true
	}
	if class < len(c.classes) && c.classes[class].seen {
		return c.classes[class].mean, true
	}
	return 0, false
}

func (c *Costs) ofKey(key uint64) (float64, bool) {
	if key != 0 && c.keys != nil {
		if cell := &c.keys[key%keyCells]; cell.key == key {
			return float64(cell.cost), true
		}
	}
	return 0, false
}

// Ratio is what a request is expected to cost beside the mean of its class; 1 where nothing
// is known of it.
func (c *Costs) Ratio(class int, key uint64) float64 {
	cost, ok := c.ofKey(key)
	if !ok || class >= len(c.classes) || c.classes[class].mean <= 0 {
		return 1
	}
	return cost / c.classes[class].mean
}

// Learn takes in what a request has cost, in seconds.
func (c *Costs) Learn(class int, key uint64, work float64) {
	c.learnClass(class, work)
	c.learnKey(key, work, c.classes[class].mean)
}

func (c *Costs) learnClass(class int, work float64) {
	for len(c.classes) <= class {
		c.classes = append(c.classes, guess{})
	}
	c.classes[class].add(work)
}

// learnKey remembers a key that differs from mean, which is what would be expected otherwise.
func (c *Costs) learnKey(key uint64, work, mean float64) {
	if key == 0 {
		return
	}
	if c.keys == nil {
		c.keys = make([]keyCell, keyCells)
	}
	cell := &c.keys[key%keyCells]
	if cell.key == key {
		cell.cost += float32(estimateWeight*4) * (float32(work) - cell.cost)
	} else if work > 4*mean || work < mean/4 {
		*cell = keyCell{key, float32(work)} // only what the class does not tell
	}
}

// estimate is what a request of the line's team will cost, in seconds.
func (s *Scheduler) estimate(l *line, it *Item) float64 {
	if cost, ok := s.costs.ofKey(it.Key); ok {
		return max(cost, leastCost)
	}
	if it.Class < len(l.classes) && l.classes[it.Class].seen {
		return max(l.classes[it.Class].mean, leastCost)
	}
	if cost, ok := s.costs.of(it.Class, 0); ok {
		return max(cost, leastCost)
	}
	return firstEstimate
}

// learn takes in what a request has cost.
func (s *Scheduler) learn(l *line, it *Item, work float64) {
	s.costs.learnClass(it.Class, work)
	for len(l.classes) <= it.Class {
		l.classes = append(l.classes, guess{})
	}
	l.classes[it.Class].add(work)
	s.queues.sample(s.now, &l.classes[it.Class], work)
	s.costs.learnKey(it.Key, work, l.classes[it.Class].mean)
}

// CountsAgainstHost says whether a request that a host has answered with an error tells something of
// that host. Where most of a team's requests fail, wherever they go, and next to none of
// the others' do, it is the team's requests that are at fault: taken for the hosts', they
// would cost everybody all hosts.
func (s *Scheduler) CountsAgainstHost(it *Item) bool {
	l := it.line
	return !(l.tried >= blameLeast && l.failed > blameOwn*l.tried && s.tried-l.tried >= blameLeast && s.failed-l.failed < blameOthers*(s.tried-l.tried))
}

// RecordResult counts what a host has answered for Blame; counts fade, so that about the last
// few hundred answers tell.
func (s *Scheduler) RecordResult(it *Item, failed bool) {
	l := it.line
	l.tried++
	s.tried++
	if failed {
		l.failed++
		s.failed++
	}
	if s.tried > blameFades {
		s.tried, s.failed = s.tried/2, s.failed/2
		for _, l := range s.lines {
			l.tried, l.failed = l.tried/2, l.failed/2
		}
	}
}

const (
	blameLeast  = 10  // answers before anything is said
	blameOwn    = 0.5 // of a team's answers that are errors
	blameOthers = 0.1 // of the others' answers
	blameFades  = 2000
)

func seconds(d float64) time.Duration { return time.Duration(d * float64(time.Second)) }
