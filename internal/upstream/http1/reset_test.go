package http1

import (
	"errors"
	"io"
	"net"
	"syscall"
	"testing"

	"frostshift/internal/upstream"
)

// A reset that is met while the gateway waits for the next bytes is still a reset for the read
// behind it: the kernel reports it once, and would show a plain end from then on.
func TestResetMetByAWaitIsNoEnd(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	near, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	far, err := ln.Accept()
	if err != nil {
		t.Fatal(err)
	}
	u := New(upstream.Config{})
	c := newConn(near, u, hostAt(ln.Addr().String()))
	defer near.Close()
	far.(*net.TCPConn).SetLinger(0)
	far.Close()
	c.await()
	var one [1]byte
	for range 2 {
		if n, err := c.Read(one[:]); n != 0 || errors.Is(err, io.EOF) || !errors.Is(err, syscall.ECONNRESET) {
			t.Fatalf("read %d bytes, %v behind a reset", n, err)
		}
	}
}
