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

func seconds(d float64) time.Duration { return time.Duration(d * float64(time.Second)) }
