package front

import (
	"fmt"
	"io"
	"net"
	"testing"
	"time"
)

// A client that has ended or reset its connection is seen to have left by a look alone, with bytes of it unread
// and with none.
func TestLookSeesWhoHasLeft(t *testing.T) {
	for _, says := range []string{"", "unread"} {
		for _, reset := range []bool{false, true} {
			_, client, c := acceptFrom(t, NewConns(10, 10, SpareAfter), listenLocal(t))
			client.Write([]byte(says))
			if !c.Here() {
				t.Errorf("%q: a client that waits has left", says)
			}
			if reset {
				client.(*net.TCPConn).SetLinger(0)
			}
			client.Close()
			for end := time.Now().Add(20 * time.Second); c.Here(); time.Sleep(time.Millisecond) {
				if time.Now().After(end) {
					t.Fatalf("%q, reset %t: a client that left is not seen", says, reset)
				}
			}
		}
	}
}

// A connection that comes to be watched in the moment in which its request has its answer is not
// watched on, and with nothing to watch nobody looks. One whose request is open is, until its
// client leaves.
func TestOnlyOpenRequestsAreWatched(t *testing.T) {
	conns := NewConns(10, 10, SpareAfter)
	_, client, c := acceptFrom(t, conns, listenLocal(t))
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

// A client that has left is seen to have, or not to be seen, however much of what it sent has been read: its end waits
// behind a closed window with little unread, too.
func TestEndBehindAClosedWindowIsNotTakenForNone(t *testing.T) {
	const (
		clients = 12
		longest = 1 << 20
		shows   = 20 * time.Millisecond // until an end that can come has come
	)
	for n := range clients {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			t.Parallel()
			_, client, c := acceptFrom(t, NewConns(10, 10, SpareAfter), listenLocal(t))
			c.Open(false)
			client.SetWriteDeadline(time.Now().Add(100 * time.Millisecond))
			client.Write(make([]byte, longest*(n+1)/clients)) // as much as is taken in
			client.Close()
			for seen := false; !seen; {
				if _, err := io.ReadFull(c.Conn, make([]byte, 3<<10)); err != nil {
					return
				}
				if c.Unread() >= blindFrom {
					continue
				}
				time.Sleep(shows)
				if seen = !c.Here(); !seen && !c.Blind() {
					t.Fatalf("a client has left, and with %d bytes unread its end is neither seen nor held back", c.Unread())
				}
			}
		})
	}
}

// A client that sends a large request and more, and leaves while its connection waits to be accepted, is not taken for
// present because its body has just been read. One that is there is taken for present once little is unread.
func TestClientThatLeftInTheQueueIsNotTakenForPresent(t *testing.T) {
	const (
		sent  = 1 << 20
		waits = 200 * time.Millisecond // for the accept
	)
	for _, test := range []struct {
		name        string
		waits       time.Duration
		leaves      bool
		blind, then bool // with a part of the body read, and with all read that comes
	}{
		{"left in the queue", waits, true, true, false},
		{"there, behind a wait", waits, false, true, false},
		{"there, accepted at once", 0, false, false, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			ln := NewConns(10, 10, SpareAfter).Listen(listenLocal(t))
			defer ln.Close()
			client, err := net.Dial("tcp", ln.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			defer client.Close()
			client.SetWriteDeadline(time.Now().Add(50 * time.Millisecond))
			accepted := make(chan *Conn, 1)
			go func() {
				time.Sleep(test.waits)
				nc, err := ln.Accept()
				if err != nil {
					t.Error(err)
				}
				c, _ := nc.(*Conn)
				accepted <- c
			}()
			n, _ := client.Write(make([]byte, sent))
			if test.leaves {
				client.Close()
			}
			c := <-accepted
			if c == nil {
				return
			}
			defer c.Close()
			c.Open(true)
			first, err := io.ReadFull(c, make([]byte, 4<<10))
			if err != nil {
				t.Fatal(err)
			}
			if c.Blind() != test.blind {
				t.Errorf("blind %t with %d bytes unread", !test.blind, c.Unread())
			}
			io.CopyN(io.Discard, c.Conn, int64(n-first-1))
			if c.Blind() != test.then {
				t.Errorf("blind %t with %d bytes unread", !test.then, c.Unread())
			}
		})
	}
}

// Requests that are sent without waiting for answers hold back no end as long as they are few.
func TestFewPipelinedRequestsHoldBackNoEnd(t *testing.T) {
	for _, apart := range []bool{false, true} {
		_, client, c := acceptFrom(t, NewConns(10, 10, SpareAfter), listenLocal(t))
		c.Open(false)
		for n, size := range []int{150, 300, 1000} {
			const requests = 20
			for range requests {
				client.Write(make([]byte, size))
				if apart {
					time.Sleep(100 * time.Microsecond)
				}
			}
			time.Sleep(5 * time.Millisecond)
			if c.Unread() == 0 || c.Blind() {
				t.Errorf("apart %t, %d: %d bytes of a few requests are unread, and an end would not show", apart, n, c.Unread())
			}
			for c.Unread() > 0 {
				c.Read(make([]byte, 4<<10))
			}
		}
	}
}
