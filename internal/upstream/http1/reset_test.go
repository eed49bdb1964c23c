package http1

import (
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"frostshift"
	"frostshift/internal/upstream"
)

// pair is a connection to a host as the upstream holds it, and the host's end of it.
func pair(t *testing.T) (near *conn, far *net.TCPConn) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	nc, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { nc.Close() })
	other, err := ln.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { other.Close() })
	return newConn(nc, New(upstream.Config{}), hostAt(ln.Addr().String())), other.(*net.TCPConn)
}

// readsReset fails unless reads say that the connection was reset.
func readsReset(t *testing.T, c *conn) {
	t.Helper()
	var one [1]byte
	for range 2 {
		if n, err := c.Read(one[:]); n != 0 || errors.Is(err, io.EOF) || !errors.Is(err, syscall.ECONNRESET) {
			t.Fatalf("read %d bytes, %v behind a reset", n, err)
		}
	}
}

// A reset that is met while the gateway waits for the next bytes is still a reset for the read
// behind it: the kernel reports it once, and would show a plain end from then on.
func TestResetMetByAWaitIsNoEnd(t *testing.T) {
	near, far := pair(t)
	far.SetLinger(0)
	far.Close()
	near.await()
	readsReset(t, near)
}

// So it is where a write met it: that of a body whose answer has begun.
func TestResetMetByAWriteIsNoEnd(t *testing.T) {
	for _, parts := range []int{1, 2} {
		near, far := pair(t)
		far.SetLinger(0)
		far.Close()
		near.raw.Read(func(fd uintptr) bool { // until the reset has come, and is still to be reported
			at := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}}
			n, err := unix.Poll(at, 0)
			return n > 0 || err != nil && !errors.Is(err, unix.EINTR)
		})
		var err error
		if parts == 1 {
			_, err = near.Write([]byte("x"))
		} else {
			_, err = near.writeParts(net.Buffers{[]byte("x"), []byte("y")})
		}
		if !errors.Is(err, syscall.ECONNRESET) {
			t.Fatalf("write of %d parts: %v", parts, err)
		}
		readsReset(t, near)
	}
}

// A connection that broke in another way than by a reset has no end either: the kernel may say that packets
// were not answered for too long, or that there is no way to the host. A deadline of ours is no such end.
func TestBrokenConnectionIsNoEnd(t *testing.T) {
	for _, broke := range []error{syscall.ETIMEDOUT, syscall.EHOSTUNREACH, syscall.ENETUNREACH, syscall.ECONNABORTED, os.ErrDeadlineExceeded} {
		near, far := pair(t)
		near.note(&net.OpError{Op: "read", Net: "tcp", Err: broke})
		far.Close()
		_, err := near.Read(make([]byte, 1))
		want := broke
		if errors.Is(broke, os.ErrDeadlineExceeded) {
			want = io.EOF
		}
		if !errors.Is(err, want) {
			t.Errorf("%v, then the end: read says %v", broke, err)
		}
	}
}

// A host that has ended its answer in good order and reads no more of the request has not broken it off.
func TestEndAheadOfTheRequestsEndIsAnEnd(t *testing.T) {
	near, far := pair(t)
	io.WriteString(far, "bins")
	far.Close()
	var err error
	for !errors.Is(err, syscall.EPIPE) { // the host's system resets what it has closed
		_, err = near.Write([]byte("x"))
	}
	if text, err := io.ReadAll(near); string(text) != "bins" || err != nil {
		t.Errorf("read %q, %v", text, err)
	}
}

// A host is told no more time than the client has left when the request goes out: the connection
// may have taken most of what there was when the host was chosen.
func TestTimeToldIsWhatIsLeft(t *testing.T) {
	told := make(chan string, 1)
	addr, _ := rawHost(t, func(_ int, c net.Conn, r *http.Request) bool {
		told <- r.Header.Get("X-Time-Left")
		io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
		return true
	})
	a := newAttempt(t, "book", "x")
	a.Left, a.Until = time.Hour, time.Now().Add(patience) // an hour when it was chosen
	if result, _, _ := a.try(hostAt(addr)); result != frostshift.OK {
		t.Fatalf("ended as %v", result)
	}
	left, err := time.ParseDuration(await(t, told, "the request") + "s")
	if err != nil || left > patience || left <= 0 {
		t.Errorf("told %v, %v", left, err)
	}
	a = newAttempt(t, "book", "x")
	a.Left, a.Until = time.Second, time.Now().Add(time.Hour)
	if result, _, _ := a.try(hostAt(addr)); result != frostshift.OK {
		t.Fatalf("ended as %v", result)
	}
	if left := await(t, told, "the request"); left != "999000u" {
		t.Errorf("told %s of a second, which has the way back in it", left)
	}
}

// An empty answer whose end is that of its connection is whole, however long its body is awaited; one of told length is broken.
func TestEndAheadOfABodyIsAnEndWhereNoLengthIsTold(t *testing.T) {
	for length, broken := range map[int64]bool{-1: false, 100_000: true} {
		near, far := pair(t)
		far.Close()
		near.begin()
		if err := near.awaitBody(time.Second, &http.Response{ContentLength: length}); (err != nil) != broken {
			t.Errorf("of length %d: %v", length, err)
		}
	}
}
