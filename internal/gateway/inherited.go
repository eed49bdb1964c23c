package gateway

import (
	"errors"
	"fmt"
	"net"
	"os"
	"syscall"
	"time"
)

// inherited is a listening socket that the process was given and that others hold as well. It
// is accepted on by hand: whether calls on a socket block is shared by all who hold it, and
// whoever hands it on may make them block (a parent in Go does). A net.TCPListener would then
// wait within the call for a connection that another process has taken, and never close.
type inherited struct {
	file *os.File // a descriptor of its own, waited for by the runtime
	raw  syscall.RawConn
	addr net.Addr
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

// Accept takes the next connection that no other process takes.
func (l *inherited) Accept() (net.Conn, error) {
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
	f := os.NewFile(uintptr(n), "connection")
	defer f.Close()
	c, err := net.FileConn(f)
	if err != nil {
		return nil, err
	}
	c.(*net.TCPConn).SetNoDelay(true)
	return c, nil
}

// SetDeadline ends an Accept that waits.
func (l *inherited) SetDeadline(t time.Time) error { return l.file.SetReadDeadline(t) }

// Close ends the listening of this process.
func (l *inherited) Close() error { return l.file.Close() }

// Addr is where clients connect.
func (l *inherited) Addr() net.Addr { return l.addr }
