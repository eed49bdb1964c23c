package gateway

import (
	"errors"
	"fmt"
	"net"
	"os"
	"syscall"
	"time"

	"frostshift/internal/socket"
)

// inherited is a listening socket that the process was given and that others hold as well. It
// is accepted on by hand: whether calls on a socket block is shared by all who hold it, and
// whoever hands it on may make them block (a parent in Go does). A net.TCPListener would then
// wait within the call for a connection that another process has taken, and never close.
type inherited struct {
	file *os.File // a descriptor of its own, waited for by the runtime
	raw  syscall.RawConn
	addr net.Addr
	// accepted is a connection for which there was no further descriptor; nil: there is none. It is of whoever accepts.
	accepted *os.File
}

// inherit makes a listener of a descriptor, which itself stays as it is.
func inherit(descriptor int) (net.Listener, error) {
	wrong := func(err error) (net.Listener, error) {
		return nil, fmt.Errorf("inherited descriptor %d: %w", descriptor, err)
	}
	on, err := syscall.GetsockoptInt(descriptor, syscall.SOL_SOCKET, syscall.SO_ACCEPTCONN)
	if err != nil {
		return wrong(err)
	}
	if on == 0 {
		return wrong(errors.New("the socket does not listen"))
	}
	n, err := syscall.Dup(descriptor)
	if err != nil {
		return wrong(err)
	}
	syscall.CloseOnExec(n)
	if err := syscall.SetNonblock(n, true); err != nil {
		syscall.Close(n)
		return wrong(err)
	}
	f := os.NewFile(uintptr(n), "listener")
	ln, err := net.FileListener(f) // what it knows of the address
	if err != nil {
		f.Close()
		return wrong(err)
	}
	defer ln.Close()
	if _, tcp := ln.(*net.TCPListener); !tcp {
		f.Close()
		return wrong(errors.New("it is no TCP socket"))
	}
	raw, err := f.SyscallConn()
	if err != nil {
		f.Close()
		return wrong(err)
	}
	return &inherited{file: f, raw: raw, addr: ln.Addr()}, nil
}

// Accept takes the next connection that no other process takes. One that the process has no descriptor for is kept for
// the next call: its client has been connected.
func (l *inherited) Accept() (net.Conn, error) {
	if l.accepted == nil {
		var err error
		if l.accepted, err = l.accept(); err != nil {
			return nil, err
		}
	}
	c, err := net.FileConn(l.accepted)
	if socket.IsShortage(err) {
		return nil, err
	}
	l.accepted.Close()
	l.accepted = nil
	if err != nil {
		return nil, err
	}
	c.(*net.TCPConn).SetNoDelay(true)
	return c, nil
}

// accept takes the next connection as a file.
func (l *inherited) accept() (*os.File, error) {
	var n int
	var err error
	if e := l.raw.Read(func(fd uintptr) bool {
		for {
			syscall.SetNonblock(int(fd), true)
			n, _, err = syscall.Accept4(int(fd), syscall.SOCK_NONBLOCK|syscall.SOCK_CLOEXEC)
			if !errors.Is(err, syscall.EINTR) && !errors.Is(err, syscall.ECONNABORTED) {
				return !errors.Is(err, syscall.EAGAIN)
			}
		}
	}); e != nil {
		if errors.Is(e, os.ErrClosed) {
			e = net.ErrClosed
		}
		return nil, e
	}
	if err != nil {
		return nil, os.NewSyscallError("accept4", err)
	}
	return os.NewFile(uintptr(n), "connection"), nil
}

// SetDeadline ends an Accept that waits.
func (l *inherited) SetDeadline(t time.Time) error { return l.file.SetReadDeadline(t) }

// Close ends the listening of this process.
func (l *inherited) Close() error { return l.file.Close() }

// Addr is where clients connect.
func (l *inherited) Addr() net.Addr { return l.addr }
