//go:build review

package main

import (
	"sync"
	"time"
)

const (
	grace    = 500 * time.Millisecond // behind a drain that the gateway has been told
	bookings = 5
)

// runs counts how often each id has run.
type runs struct {
	mu sync.Mutex
	n  map[string]int
}

func (c *runs) add(id string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.n[id]++
	return c.n[id]
}

func (c *runs) of(id string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.n[id]
}

// visits are the requests that came to a host: the time of the last byte of each.
type visits struct {
	mu sync.Mutex
	at []time.Time
}

// since is how many requests came after a time, and how late the last one.
func (v *visits) since(t time.Time) (n int, last time.Duration) {
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, at := range v.at {
		if at.After(t) {
			n, last = n+1, at.Sub(t)
		}
	}
	return n, last
}
