package frostshift

import (
	"testing"
	"time"
)

// A request whose body took longer than its aim to come is not overdue when it has: its time
// begins with the last byte, also for those who look for what makes room for others.
func TestSlowBodyIsNotOverdueWhenItHasCome(t *testing.T) {
	g := start(t, basic(), Host{ID: 1})
	id := g.request(1, time.Second)
	g.b.RequestBodyPending(g.now, id, 0)
	g.drain()
	g.advance(3 * time.Second) // its aim is 400 ms
	g.b.RequestBodySent(g.now, id, 0)
	g.drain()
	for range 8 { // others wait: what is overdue makes room
		g.request(0, time.Second)
	}
	for _, a := range append(g.advance(60*ms), g.acts...) {
		if a.Request == id {
			t.Errorf("%v of the request whose body has just come", a.Kind)
		}
	}
	done := g.advance(time.Second)
	for _, a := range done {
		if a.Request == id && a.Kind == Refuse {
			t.Error("refused though it may have run")
		}
	}
}
