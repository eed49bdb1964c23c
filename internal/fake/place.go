package fake

import (
	"errors"
	"net"
	"net/netip"
	"sync"
	"syscall"
)

// Place is a loopback address that the kernel chose and that nobody else gets until Close: a
// socket is bound there and does not listen. Whoever knows the address, a child included, may
// listen there; connections are refused while nobody does.
type Place struct {
	Addr string
	fd   int
	once sync.Once
}

// Test is what ReservedAddress needs of a test.
type Test interface {
	Helper()
	Fatal(args ...any)
	Cleanup(func())
}

// ReservedAddress is the address of a place that is kept until the test ends: for a process that
// the test starts, or as one at which nobody listens.
func ReservedAddress(t Test) string {
	t.Helper()
	place, err := Reserve()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(place.Close)
	return place.Addr
}

// Reserve makes a place at 127.0.0.1.
func Reserve() (*Place, error) { return ReserveAt([4]byte{127, 0, 0, 1}) }

// ReserveAt makes a place at a loopback address.
func ReserveAt(ip [4]byte) (*Place, error) {
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		return nil, err
	}
	sa := syscall.Sockaddr(&syscall.SockaddrInet4{Addr: ip})
	err = errors.Join(syscall.SetsockoptInt(fd, syscall.SOL_SOCKET, syscall.SO_REUSEADDR, 1), syscall.Bind(fd, sa))
	if err == nil {
		sa, err = syscall.Getsockname(fd)
	}
	if err != nil {
		syscall.Close(fd)
		return nil, err
	}
	in := sa.(*syscall.SockaddrInet4)
	return &Place{Addr: netip.AddrPortFrom(netip.AddrFrom4(in.Addr), uint16(in.Port)).String(), fd: fd}, nil
}

// Listen listens at the place.
func (p *Place) Listen() (net.Listener, error) { return net.Listen("tcp", p.Addr) }

// Close gives the address up.
func (p *Place) Close() { p.once.Do(func() { syscall.Close(p.fd) }) }
