package http1

import (
	"context"
	"net"
	"os"
	"syscall"
	"testing"

	"frostshift"
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
