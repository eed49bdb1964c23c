package front

import (
	"net"
	"testing"
	"time"
)

// A client that has ended or reset its connection is seen to have left by a look alone, with bytes of it unread
// and with none.
func TestLookSeesWhoHasLeft(t *testing.T) {
	for _, says := range []string{"", "unread"} {
		for _, reset := range []bool{false, true} {
			ln := NewConns(10, 10, SpareAfter).Listen(listenLocal(t))
			client, err := net.Dial("tcp", ln.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			nc, err := ln.Accept()
			if err != nil {
				t.Fatal(err)
			}
			client.Write([]byte(says))
			if !nc.(*Conn).Here() {
				t.Errorf("%q: a client that waits has left", says)
			}
			if reset {
				client.(*net.TCPConn).SetLinger(0)
			}
			client.Close()
			for end := time.Now().Add(20 * time.Second); nc.(*Conn).Here(); time.Sleep(time.Millisecond) {
				if time.Now().After(end) {
					t.Fatalf("%q, reset %t: a client that left is not seen", says, reset)
				}
			}
			nc.Close()
			ln.Close()
		}
	}
}

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
