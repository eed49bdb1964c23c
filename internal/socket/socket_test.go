package socket

import (
	"errors"
	"syscall"
	"testing"

	"golang.org/x/sys/unix"
)

// pair is two ends of a connection.
func pair(t *testing.T) (here, there int) {
	t.Helper()
	ends, err := unix.Socketpair(unix.AF_UNIX, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		unix.Close(ends[0])
		unix.Close(ends[1])
	})
	return ends[0], ends[1]
}

// interrupt has the system calls end by a signal first.
func interrupt(t *testing.T) {
	times := 0
	recvfrom = func(fd int, p []byte, flags int) (int, unix.Sockaddr, error) {
		if times++; times%3 != 0 {
			return -1, nil, syscall.EINTR
		}
		return unix.Recvfrom(fd, p, flags)
	}
	poll = func(at []unix.PollFd, timeout int) (int, error) {
		if times++; times%3 != 0 {
			return -1, syscall.EINTR
		}
		return unix.Poll(at, timeout)
	}
	t.Cleanup(func() { recvfrom, poll = unix.Recvfrom, unix.Poll })
}

// A look that a signal interrupts is taken again: its caller would wait for bytes that have come, or take the
// client for gone.
func TestSignalsEndNoLook(t *testing.T) {
	here, there := pair(t)
	interrupt(t)
	look := func(what string, wantN int, wantErr error, wantEvents int16) {
		t.Helper()
		if n, err := Peek(uintptr(here)); n != wantN || !errors.Is(err, wantErr) {
			t.Errorf("%s: peek says %d, %v", what, n, err)
		}
		if events, err := Poll(uintptr(here), unix.POLLIN|unix.POLLRDHUP); events != wantEvents || err != nil {
			t.Errorf("%s: poll says %x, %v", what, events, err)
		}
	}
	look("nothing has come", 0, syscall.EAGAIN, 0)
	unix.Write(there, []byte("x"))
	look("a byte has come", 1, nil, unix.POLLIN)
	unix.Read(here, make([]byte, 1))
	unix.Shutdown(there, unix.SHUT_WR)
	look("the other side has ended", 0, nil, unix.POLLIN|unix.POLLRDHUP)
}

// A look that fails says so, and nothing of the socket.
func TestFailedLookIsNoEvent(t *testing.T) {
	here, _ := pair(t)
	poll = func([]unix.PollFd, int) (int, error) { return -1, syscall.ENOMEM }
	lack := syscall.ENOMEM
	recvfrom = func(int, []byte, int) (int, unix.Sockaddr, error) { return -1, nil, lack }
	t.Cleanup(func() { recvfrom, poll = unix.Recvfrom, unix.Poll })
	for _, lack = range []syscall.Errno{syscall.ENOMEM, syscall.ENOBUFS} {
		if n, err := Peek(uintptr(here)); n != 0 || !errors.Is(err, ErrNotSeen) {
			t.Errorf("without %v peek says %d, %v", lack, n, err)
		}
	}
	if events, err := Poll(uintptr(here), unix.POLLIN); events != 0 || !errors.Is(err, syscall.ENOMEM) {
		t.Errorf("poll says %x, %v", events, err)
	}
}

// What is unread is counted also where the system does not say how much it is.
func TestUnreadIsCounted(t *testing.T) {
	here, there := pair(t)
	unix.Write(there, make([]byte, 1000))
	for range 2 {
		if n := Unread(uintptr(here)); n != 1000 {
			t.Errorf("%d bytes are unread, of 1000", n)
		}
		inqueue = func(int, uint) (int, error) { return 0, syscall.ENOTTY }
	}
	t.Cleanup(func() { inqueue = unix.IoctlGetInt })
}
