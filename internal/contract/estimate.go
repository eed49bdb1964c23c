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
	calmDrift   = 0.0005
	calmAfter   = 20   // samples
	queueFades  = 0.99 // of spent and calm, with each sample
	queueMuch   = 1.8  // times calm above which less is given
	queueLittle = 1.5  // ... and below which more is
	queueEvery  = Time(20 * time.Millisecond)
	queueLess   = 0.95 // of the part that is given, each time
	queueMore   = 0.01
	queueLeast  = 0.25 // of the capacity is given always
)

// sample takes in what a request has cost.
func (q *queueing) sample(g *guess, work float64) {
	if g.n == 0 {
		g.slow = work
	}
	g.slow += max(slowWeight, 1/float64(g.n+1)) * (work - g.slow)
	if g.n++; g.n < calmAfter {
		return
	}
	if g.calm *= 1 + calmDrift; g.calm == 0 || g.slow < g.calm {
		g.calm = g.slow
	}
	q.spent = q.spent*queueFades + work
	q.calm = q.calm*queueFades + g.calm
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

// estimate is what a request of the line's team will cost, in seconds.
func (s *Scheduler) estimate(l *line, it *Item) float64 {
	if it.Key != 0 && s.keys != nil {
		if c := &s.keys[it.Key%keyCells]; c.key == it.Key {
			return max(float64(c.cost), leastCost)
		}
	}
	if it.Class < len(l.classes) && l.classes[it.Class].seen {
		return max(l.classes[it.Class].mean, leastCost)
	}
	if it.Class < len(s.classes) && s.classes[it.Class].seen {
		return max(s.classes[it.Class].mean, leastCost)
	}
	return firstEstimate
}

// learn takes in what a request has cost.
func (s *Scheduler) learn(l *line, it *Item, work float64) {
	for len(s.classes) <= it.Class {
		s.classes = append(s.classes, guess{})
	}
	for len(l.classes) <= it.Class {
		l.classes = append(l.classes, guess{})
	}
	s.classes[it.Class].add(work)
	l.classes[it.Class].add(work)
	s.queues.sample(&l.classes[it.Class], work)
	if it.Key != 0 {
		if s.keys == nil {
			s.keys = make([]keyCell, keyCells)
		}
		c := &s.keys[it.Key%keyCells]
		if c.key == it.Key {
			c.cost += float32(estimateWeight*4) * (float32(work) - c.cost)
		} else if work > 4*l.classes[it.Class].mean || work < l.classes[it.Class].mean/4 {
			*c = keyCell{it.Key, float32(work)} // only what the class does not tell
		}
	}
}

// Blame says whether a request that a host has answered with an error tells something of
// that host. Where most of a team's requests fail, wherever they go, and next to none of
// the others' do, it is the team's requests that are at fault: taken for the hosts', they
// would cost everybody all hosts.
func (s *Scheduler) Blame(it *Item) bool {
	l := it.line
	return !(l.tried >= blameLeast && l.failed > blameOwn*l.tried && s.tried-l.tried >= blameLeast && s.failed-l.failed < blameOthers*(s.tried-l.tried))
}

// Result counts what a host has answered for Blame; counts fade, so that about the last
// few hundred answers tell.
func (s *Scheduler) Result(it *Item, failed bool) {
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
