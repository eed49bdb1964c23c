package front

import (
	"net"
	"testing"
	"time"
)

// A connection that comes to be watched in the moment in which its request has its answer is not
// watched on, and with nothing to watch nobody looks. One whose request is open is, until its
// client leaves.
func TestOnlyOpenRequestsAreWatched(t *testing.T) {
	conns := NewConns(10, 10, SpareAfter)
	ln := conns.Listen(listenLocal(t))
	defer ln.Close()
	client, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer client.Close()
	nc, err := ln.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer nc.Close()
	c := nc.(*Conn)
	c.Open(true)
	c.Answered()
	conns.hangups.add(c) // as of a look-out that found a byte just before
	idle := func() bool {
		conns.hangups.mu.Lock()
		defer conns.hangups.mu.Unlock()
		return !conns.hangups.running && len(conns.hangups.watched) == 0
	}
	for end := time.Now().Add(20 * time.Second); !idle(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("a connection without a request is watched")
		}
	}
	client.Write([]byte("unread"))
	c.Open(true)
	client.Close()
	select {
	case <-c.Left():
	case <-time.After(20 * time.Second):
		t.Fatal("a client that left is not noticed")
	}
	c.Answered()
}
