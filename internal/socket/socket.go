// Package socket looks at sockets without taking anything from them, and tells what errors of the system mean.
// Signals end no look.
package socket

import (
	"errors"
	"slices"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// The system calls; tests let them fail.
var (
	recvfrom = unix.Recvfrom
	poll     = unix.Poll
	inqueue  = unix.IoctlGetInt
	tcpInfo  = unix.GetsockoptTCPInfo
)

// shortages are errors of calls for which the system had no descriptor or no memory.
var shortages = []syscall.Errno{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM}

// IsShortage says whether a call failed as the system had no descriptor or no memory for it: that may pass, and
// says nothing of the other side.
func IsShortage(err error) bool {
	var errno syscall.Errno
	return errors.As(err, &errno) && slices.Contains(shortages, errno)
}

// ErrNotSeen says that the system lacked the means to look: it says nothing of the socket.
var ErrNotSeen = errors.New("the system could not look at the socket")

// Peek looks whether a byte can be read, and does not wait for one. 0 without an error is the end of the other
// side's sending; syscall.EAGAIN says that nothing has come. Any other error but ErrNotSeen is the socket's, which
// reports it this once.
func Peek(fd uintptr) (n int, err error) {
	var one [1]byte
	for {
		n, _, err = recvfrom(int(fd), one[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		switch {
		case IsShortage(err):
			return 0, ErrNotSeen
		case !errors.Is(err, syscall.EINTR):
			return max(n, 0), err
		}
	}
}

// Poll is which of the events are there now, with errors of the socket and hang-ups among them (poll(2)). An error
// is the call's own and says nothing of the socket.
func Poll(fd uintptr, events int16) (int16, error) {
	at := []unix.PollFd{{Fd: int32(fd), Events: events}}
	for {
		_, err := poll(at, 0)
		if !errors.Is(err, syscall.EINTR) {
			return at[0].Revents, err
		}
	}
}

// looks are buffers for looks at what is unread.
var looks = sync.Pool{New: func() any { b := make([]byte, 64<<10); return &b }}

// Unread is how many bytes have come on a socket and not been read: all of them or, where the system does not say,
// up to 64 KiB.
func Unread(fd uintptr) int {
	if n, err := inqueue(int(fd), unix.TIOCINQ); err == nil {
		return n
	}
	look := looks.Get().(*[]byte)
	defer looks.Put(look)
	n, _, err := recvfrom(int(fd), *look, unix.MSG_PEEK|unix.MSG_DONTWAIT)
	if err != nil {
		return 0
	}
	return n
}

// SinceSent returns how long ago something was sent last on a TCP connection, in whole milliseconds: of one on which nothing
// has been sent, how long ago it was established, though it has waited since to be accepted. 0 where the system does not say.
func SinceSent(fd uintptr) time.Duration {
	info, err := tcpInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
	if err != nil {
		return 0
	}
	return time.Duration(info.Last_data_sent) * time.Millisecond
}

// Unacknowledged is how many bytes have been written to a socket and not been acknowledged by the other side; 0 where the
// system does not say.
func Unacknowledged(fd uintptr) int {
	n, err := inqueue(int(fd), unix.TIOCOUTQ)
	if err != nil {
		return 0
	}
	return n
}
