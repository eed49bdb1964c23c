// Package sysfault has system calls of an unmodified program fail. The program is started by a launcher, which
// sets a seccomp filter on itself and becomes the program: each call that the filter names waits until the parent
// has said whether it goes on or with what error it fails (seccomp user notification, Linux 5.5). It needs no
// rights, and nothing but the program and its children is touched. It is for tests.
//
// launch.go is the launcher's side, sysfault.go the parent's.
package sysfault

import (
	"encoding/binary"
	"errors"
	"fmt"
	"net/netip"
	"os"
	"os/exec"
	"sync"
	"syscall"
	"unsafe"

	"golang.org/x/sys/unix"
)

// Call is a system call that the program has begun.
type Call struct {
	Number int // unix.SYS_...
	Args   [6]uint64
	thread int // that calls
	parent *Supervisor
}

// Outcome is what becomes of a call. The zero value lets it go on.
type Outcome struct {
	Error syscall.Errno // it fails with this, and nothing is done; 0: it does not
	Bytes int           // a read or write takes so many at most; 0: as many as it asks for
}

// Decide says what becomes of a call. Calls come one after the other.
type Decide func(*Call) Outcome

// Supervisor decides about the calls of one program until it has ended. Close frees it.
type Supervisor struct {
	decide   Decide
	ours     *os.File // end of the socket that the launcher sends the listener over
	theirs   *os.File
	listener int // -1: there is none yet
	pidfd    int
	ended    chan struct{}
	close    sync.Once
	err      error // valid once ended is closed
}

// notification and response are struct seccomp_notif and struct seccomp_notif_resp of linux/seccomp.h.
type notification struct {
	id      uint64
	thread  uint32
	flags   uint32
	number  int32
	arch    uint32
	pointer uint64
	args    [6]uint64
}

type response struct {
	id    uint64
	value int64
	error int32
	flags uint32
}

// Prepare changes a command that has not been started so that the calls are decided. The program of the
// command is run by the present executable, which has to call Launch as it begins. Follow comes behind the start.
func Prepare(cmd *exec.Cmd, decide Decide, calls ...int) (*Supervisor, error) {
	self, err := os.Executable()
	if err != nil {
		return nil, err
	}
	ends, err := unix.Socketpair(unix.AF_UNIX, unix.SOCK_SEQPACKET|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		return nil, os.NewSyscallError("socketpair", err)
	}
	s := &Supervisor{decide: decide, ours: os.NewFile(uintptr(ends[0]), "listener"), theirs: os.NewFile(uintptr(ends[1]), "listener"),
		listener: -1, pidfd: -1, ended: make(chan struct{})}
	if cmd.Env == nil {
		cmd.Env = os.Environ()
	}
	cmd.Env = append(cmd.Env, launchVariable+"="+encode(calls))
	cmd.Args = append([]string{self, cmd.Path}, cmd.Args...)
	cmd.Path = self
	cmd.ExtraFiles = []*os.File{s.theirs}
	return s, nil
}

// Follow takes over the calls of the command, which has been started.
func (s *Supervisor) Follow(cmd *exec.Cmd) error {
	s.theirs.Close()
	var err error
	if s.listener, err = receive(s.ours); err != nil {
		return fmt.Errorf("the launcher has set no filter: %w", err)
	}
	if s.pidfd, err = unix.PidfdOpen(cmd.Process.Pid, 0); err != nil {
		return os.NewSyscallError("pidfd_open", err)
	}
	go func() {
		defer close(s.ended)
		s.err = s.run()
	}()
	return nil
}

// receive takes the listener that the launcher sends.
func receive(from *os.File) (listener int, err error) {
	space := make([]byte, unix.CmsgSpace(4))
	n, had, _, _, err := unix.Recvmsg(int(from.Fd()), make([]byte, 1), space, unix.MSG_CMSG_CLOEXEC)
	if err != nil {
		return -1, os.NewSyscallError("recvmsg", err)
	}
	if n == 0 {
		return -1, errors.New("it has ended")
	}
	messages, err := unix.ParseSocketControlMessage(space[:had])
	if err != nil || len(messages) != 1 {
		return -1, fmt.Errorf("%d control messages: %w", len(messages), err)
	}
	fds, err := unix.ParseUnixRights(&messages[0])
	if err != nil || len(fds) != 1 {
		return -1, fmt.Errorf("%d descriptors: %w", len(fds), err)
	}
	return fds[0], nil
}

// run decides calls until no process has the filter any more.
func (s *Supervisor) run() error {
	for {
		poll := []unix.PollFd{{Fd: int32(s.listener), Events: unix.POLLIN}}
		if _, err := unix.Poll(poll, -1); err != nil {
			if err == unix.EINTR {
				continue
			}
			return os.NewSyscallError("poll", err)
		}
		if poll[0].Revents&unix.POLLIN == 0 {
			return nil
		}
		if err := s.answer(); err != nil {
			return err
		}
	}
}

// answer decides one call. One that has ended meanwhile needs no answer.
func (s *Supervisor) answer() error {
	var n notification
	switch err := control(s.listener, unix.SECCOMP_IOCTL_NOTIF_RECV, unsafe.Pointer(&n)); err {
	case 0:
	case unix.ENOENT, unix.EINTR:
		return nil
	default:
		return os.NewSyscallError("seccomp receive", err)
	}
	call := &Call{Number: int(n.number), Args: n.args, thread: int(n.thread), parent: s}
	r := response{id: n.id}
	switch outcome := s.decide(call); {
	case outcome.Error != 0:
		r.error = -int32(outcome.Error)
	case outcome.Bytes > 0:
		done, failed := call.carryOut(outcome.Bytes)
		r.value, r.error = int64(done), -int32(failed)
	default:
		r.flags = unix.SECCOMP_USER_NOTIF_FLAG_CONTINUE
	}
	if err := control(s.listener, unix.SECCOMP_IOCTL_NOTIF_SEND, unsafe.Pointer(&r)); err != 0 && err != unix.ENOENT {
		return os.NewSyscallError("seccomp send", err)
	}
	return nil
}

func control(fd, request int, p unsafe.Pointer) syscall.Errno {
	_, _, err := unix.Syscall(unix.SYS_IOCTL, uintptr(fd), uintptr(request), uintptr(p))
	return err
}

// Close waits until the program, which has been ended or never started, has no calls left, and frees what is
// held. The error is of deciding: calls went on undecided, or failed with ENOSYS.
func (s *Supervisor) Close() error {
	s.close.Do(func() {
		s.theirs.Close()
		s.ours.Close()
		if s.pidfd >= 0 {
			<-s.ended
			unix.Close(s.pidfd)
		}
		if s.listener >= 0 {
			unix.Close(s.listener)
		}
	})
	return s.err
}

// carryOut does a read or a write in place of the program, of so many bytes at most.
func (c *Call) carryOut(most int) (n int, failed syscall.Errno) {
	fd, err := unix.PidfdGetfd(c.parent.pidfd, int(c.Args[0]), 0)
	if err != nil {
		return 0, unix.EBADF
	}
	defer unix.Close(fd)
	buffer := make([]byte, min(uint64(most), c.Args[2]))
	switch c.Number {
	case unix.SYS_READ:
		if n, err = unix.Read(fd, buffer); n > 0 {
			n, err = c.copy(unix.ProcessVMWritev, buffer[:n])
		}
	case unix.SYS_WRITE:
		if n, err = c.copy(unix.ProcessVMReadv, buffer); err == nil {
			n, err = unix.Write(fd, buffer[:n])
		}
	default:
		return 0, unix.ENOSYS
	}
	if errors.As(err, &failed) {
		return 0, failed
	}
	return n, 0
}

// copy moves bytes between the buffer of the call, its second argument, and ours.
func (c *Call) copy(move func(int, []unix.Iovec, []unix.RemoteIovec, uint) (int, error), ours []byte) (int, error) {
	if len(ours) == 0 {
		return 0, nil
	}
	local := unix.Iovec{Base: &ours[0]}
	local.SetLen(len(ours))
	return move(c.thread, []unix.Iovec{local}, []unix.RemoteIovec{{Base: uintptr(c.Args[1]), Len: len(ours)}}, 0)
}

// Peer is the address at the far end of the descriptor that is the call's first argument; invalid: it is no
// connected IPv4 socket.
func (c *Call) Peer() netip.AddrPort {
	fd, err := unix.PidfdGetfd(c.parent.pidfd, int(c.Args[0]), 0)
	if err != nil {
		return netip.AddrPort{}
	}
	defer unix.Close(fd)
	peer, err := unix.Getpeername(fd)
	if err != nil {
		return netip.AddrPort{}
	}
	if v4, ok := peer.(*unix.SockaddrInet4); ok {
		return netip.AddrPortFrom(netip.AddrFrom4(v4.Addr), uint16(v4.Port))
	}
	return netip.AddrPort{}
}

// Target is the address that a connect goes to; invalid: it is none of IPv4.
func (c *Call) Target() netip.AddrPort {
	raw := make([]byte, unix.SizeofSockaddrInet4)
	n, err := c.copy(unix.ProcessVMReadv, raw)
	if err != nil || n != len(raw) || binary.NativeEndian.Uint16(raw) != unix.AF_INET {
		return netip.AddrPort{}
	}
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte(raw[4:8])), binary.BigEndian.Uint16(raw[2:]))
}
