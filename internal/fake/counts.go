package fake

import (
	"sync"
	"time"
)

// Seen counts what reached a host of one request id.
type Seen struct {
	Begun int // heads that came
	Whole int // last bytes that came: the host may run it
}

// counts is what reached a host. It is safe for concurrent use.
type counts struct {
	countsMu  sync.Mutex
	seen      map[string]*Seen
	total     int
	whole     chan struct{} // closed and replaced with each whole request
	forgetful bool
}

func newCounts() counts { return counts{seen: map[string]*Seen{}, whole: make(chan struct{})} }

// head counts the head of a request, last its last byte; last returns how many have come.
func (c *counts) head(id string) {
	c.countsMu.Lock()
	defer c.countsMu.Unlock()
	c.of(id).Begun++
}

func (c *counts) last(id string) int {
	c.countsMu.Lock()
	defer c.countsMu.Unlock()
	c.total++
	c.of(id).Whole++
	close(c.whole)
	c.whole = make(chan struct{})
	return c.total
}

// of is the count of an id; one throw-away count where ids are not kept.
func (c *counts) of(id string) *Seen {
	if c.forgetful {
		return &Seen{}
	}
	if c.seen[id] == nil {
		c.seen[id] = &Seen{}
	}
	return c.seen[id]
}

// Total is how many whole requests have come.
func (c *counts) Total() int {
	c.countsMu.Lock()
	defer c.countsMu.Unlock()
	return c.total
}

// Seen is what came of one id.
func (c *counts) Seen(id string) Seen {
	c.countsMu.Lock()
	defer c.countsMu.Unlock()
	if s := c.seen[id]; s != nil {
		return *s
	}
	return Seen{}
}

// All is what came, by id.
func (c *counts) All() map[string]Seen {
	c.countsMu.Lock()
	defer c.countsMu.Unlock()
	out := make(map[string]Seen, len(c.seen))
	for id, s := range c.seen {
		out[id] = *s
	}
	return out
}

// Await waits until so many whole requests have come and says whether they did in time.
func (c *counts) Await(total int, within time.Duration) bool {
	late := time.NewTimer(within)
	defer late.Stop()
	for {
		c.countsMu.Lock()
		n, next := c.total, c.whole
		c.countsMu.Unlock()
		if n >= total {
			return true
		}
		select {
		case <-next:
		case <-late.C:
			return false
		}
	}
}
