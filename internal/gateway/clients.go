package gateway

import (
	"maps"
	"slices"
	"sync"
	"time"

	"frostshift/internal/drain"
)

// clients gives a gateway's clients up and takes them back, as package drain decides: on an
// operator's call, at the order to stop, and when another process takes over.
type clients struct {
	gateway *Gateway

	mu      sync.Mutex
	machine drain.Machine
	steps   bool // a goroutine steps the machine
	stopped bool
	asked   bool // operators want them given up
	handed  bool // another process has them
}

// give gives the clients up, or takes new ones again. It holds when it returns.
func (c *clients) give(up bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	g := c.gateway
	switch {
	case up:
		c.machine.Drain(g.exchange.Clock().Now())
	case c.stopped || c.handed:
		return
	default:
		c.machine.Resume()
	}
	g.admission.SetLeaving(up)
	for _, s := range g.present() {
		s.endsNext(up)
	}
	if up && !c.steps && !c.stopped {
		c.steps = true
		g.running.Go(c.step)
	}
}

// hand gives the clients up to another process, or takes them back from one that has gone.
func (c *clients) hand(over bool) {
	c.mu.Lock()
	c.handed = over
	up := over || c.asked
	c.mu.Unlock()
	c.give(up)
}

// ask is an operator's order.
func (c *clients) ask(up bool) {
	c.mu.Lock()
	c.asked = up
	c.mu.Unlock()
	c.give(up)
}

// isAsked says whether operators have ordered that clients are given up.
func (c *clients) isAsked() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.asked
}

// stop is the order to stop: nothing leads back, and idle connections are closed at once. Those that are
// being given up already are closed within the time given at the latest.
func (c *clients) stop(within time.Duration) {
	c.mu.Lock()
	c.stopped = true
	leaving := c.machine.State() != drain.Working
	if leaving {
		now := c.gateway.exchange.Clock().Now()
		c.machine.CloseBy(now, now+within)
	}
	c.mu.Unlock()
	c.give(true)
	if !leaving {
		for _, s := range c.gateway.present() {
			s.Leave()
		}
	}
}

// step moves the machine on until the clients are taken back or the gateway ends.
func (c *clients) step() {
	tick := time.NewTicker(drain.StepInterval)
	defer tick.Stop()
	for {
		select {
		case <-c.gateway.ended:
			return
		case <-tick.C:
		}
		c.mu.Lock()
		if c.machine.Ready() {
			c.steps = false
			c.mu.Unlock()
			return
		}
		servers, idle := c.gateway.present(), 0
		for _, s := range servers {
			idle += s.ln.Idle()
		}
		closes, silent := c.machine.Step(c.gateway.exchange.Clock().Now(), idle)
		for _, s := range servers {
			n := min(closes, s.ln.Idle())
			closes -= n
			s.ln.GiveUp(n, silent, drain.SilentAfter)
		}
		c.mu.Unlock()
	}
}

// present are the servers of the present configuration.
func (g *Gateway) present() []*server {
	g.mu.Lock()
	defer g.mu.Unlock()
	return slices.Collect(maps.Values(g.servers))
}

// endsNext has connections end with their next answer, or takes that back.
func (s *server) endsNext(on bool) {
	s.ln.End(on)
	if s.two != nil {
		if on {
			s.two.Leave()
		} else {
			s.two.Stay()
		}
	}
}
