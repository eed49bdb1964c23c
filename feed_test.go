package frostshift

import (
	"testing"
	"time"
)

// A request whose body took longer than its aim to arrive is not overdue when it is complete: its
// time begins with the last byte, also for the search for overdue requests that are ended to make
// room for waiting ones.
func TestSlowBodyIsNotOverdueWhenItHasCome(t *testing.T) {
	g := start(t, testSettings(), Host{ID: 1})
	id := g.request(1, time.Second)
	g.b.RequestBodyPending(g.now, id, 0)
	g.drain()
	g.advance(3 * time.Second) // its aim is 400 ms
	g.b.RequestBodySent(g.now, id, 0)
	g.drain()
	for range 8 { // others wait, so overdue requests are ended to make room
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
