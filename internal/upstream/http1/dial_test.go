package http1

import (
	"context"
	"net"
	"os"
	"syscall"
	"testing"
	"time"

	"frostshift"
	"frostshift/internal/upstream"
)

// A dial that fails has sent nothing. For want of something on this machine the host has no part in it; of
// a host that can't be reached it is the host's failure. Either way the next attempt connects.
func TestFailedDials(t *testing.T) {
	for errno, want := range map[syscall.Errno]frostshift.Result{
		syscall.EMFILE: frostshift.NotSent, syscall.ENFILE: frostshift.NotSent, syscall.ENOBUFS: frostshift.NotSent,
		syscall.ENOMEM: frostshift.NotSent, syscall.EADDRNOTAVAIL: frostshift.NotSent,
		syscall.ECONNREFUSED: frostshift.ConnectFailed, syscall.ENETUNREACH: frostshift.ConnectFailed,
		syscall.EHOSTUNREACH: frostshift.ConnectFailed, syscall.ETIMEDOUT: frostshift.ConnectFailed,
	} {
		a := newAttempt(t, "book", "x")
		a.up.dial = func(context.Context, string, string) (net.Conn, error) {
			return nil, &net.OpError{Op: "dial", Net: "tcp", Err: os.NewSyscallError("connect", errno)}
		}
		if result, _, _ := a.try(hostAt("127.0.0.1:1")); result != want {
			t.Errorf("%v: ended as %v, want %v", errno, result, want)
		}
		if n := a.up.Open(); n != 0 {
			t.Errorf("%v: %d connections are counted", errno, n)
		}
	}
}

// A connection that comes up to a host which has left, moved or started anew meanwhile carries nothing: another process
// may have its address.
func TestDialAcrossTheEndOfItsHost(t *testing.T) {
	const id = frostshift.HostID(7)
	for name, next := range map[string]upstream.Endpoint{
		"left": {ID: id, Gone: true}, "moved": {ID: id, Address: "127.0.0.1:2"}, "started anew": {ID: id, Address: "127.0.0.1:1", Started: 5},
	} {
		a := newAttempt(t, "book", "x")
		a.up.Update(true, []upstream.Endpoint{{ID: id, Address: "127.0.0.1:1"}})
		h := a.up.hosts[id]
		here, there := net.Pipe()
		defer there.Close()
		a.up.dial = func(context.Context, string, string) (net.Conn, error) {
			a.up.Update(false, []upstream.Endpoint{next})
			return here, nil
		}
		sent := make(chan int, 1)
		go func() {
			n, _ := there.Read(make([]byte, 1))
			sent <- n
		}()
		if result, _ := try(a, h, time.Second); result != frostshift.NotSent {
			t.Errorf("%s: ended as %v", name, result)
		}
		if n := <-sent; n != 0 {
			t.Errorf("%s: something was sent", name)
		}
		if n := a.up.Open(); n != 0 {
			t.Errorf("%s: %d connections are counted", name, n)
		}
	}
}
