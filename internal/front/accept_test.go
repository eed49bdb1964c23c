package front

import (
	"errors"
	"fmt"
	"net"
	"os"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

// gated is a listener whose Accept runs when the test lets it: a gateway that is short of processor
// time accepts late.
type gated struct {
	*net.TCPListener
	entered chan struct{}
	enter   chan struct{}
}

func (g *gated) Accept() (net.Conn, error) {
	select {
	case g.entered <- struct{}{}:
	default:
	}
	<-g.enter
	return g.TCPListener.Accept()
}

func listenLocal(t *testing.T) *net.TCPListener {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	return ln.(*net.TCPListener)
}

// acceptFrom returns the client's end of a new connection that conns have accepted from a listener, and the accepted one.
// All end with the test.
func acceptFrom(t *testing.T, conns *Conns, inner net.Listener) (ln *Listener, client net.Conn, c *Conn) {
	t.Helper()
	ln = conns.Listen(inner)
	t.Cleanup(func() { ln.Close() })
	client, c = acceptOn(t, ln)
	return ln, client, c
}

// acceptOn returns the client's end of a new connection that a listener has accepted, and the accepted one. Both end with
// the test.
func acceptOn(t *testing.T, ln *Listener) (client net.Conn, c *Conn) {
	t.Helper()
	client, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { client.Close() })
	nc, err := ln.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { nc.Close() })
	return client, nc.(*Conn)
}

// Connections that wait in the kernel's queue when a listener is closed are taken first, however
// late whoever accepts them is; then the socket is closed.
func TestQueueIsEmptiedBeforeTheClose(t *testing.T) {
	g := &gated{TCPListener: listenLocal(t), entered: make(chan struct{}, 1), enter: make(chan struct{})}
	ln := NewConns(100, 100, SpareAfter).Listen(g)
	const clients = 20
	accepted := make(chan error, clients+1)
	go func() {
		for {
			c, err := ln.Accept()
			if err == nil {
				defer c.Close()
			}
			accepted <- err
			if err != nil {
				return
			}
		}
	}()
	<-g.entered
	for range clients {
		c, err := net.Dial("tcp", ln.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
	}
	if err := ln.Close(); err != nil {
		t.Fatal(err)
	}
	time.Sleep(2 * lastAccept) // whatever the close allowed for has passed
	close(g.enter)
	for i := range clients {
		if err := <-accepted; err != nil {
			t.Fatalf("%d of %d connections were taken: %v", i, clients, err)
		}
	}
	if err := <-accepted; !errors.Is(err, net.ErrClosed) {
		t.Errorf("the end is %v", err)
	}
	if c, err := net.Dial("tcp", ln.Addr().String()); err == nil {
		c.Close()
		t.Error("the socket still listens")
	}
}

// Clients that keep coming don't keep a listener from its close.
func TestFloodDoesNotKeepAListenerOpen(t *testing.T) {
	ln := NewConns(1000, 1000, SpareAfter).Listen(listenLocal(t))
	ended := make(chan error, 1)
	accepted := make(chan struct{}, 1)
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				ended <- err
				return
			}
			c.Close()
			select {
			case accepted <- struct{}{}:
			default:
			}
		}
	}()
	var flood sync.WaitGroup
	defer flood.Wait()
	over := make(chan struct{})
	defer close(over)
	flood.Go(func() {
		for {
			select {
			case <-over:
				return
			default:
			}
			if c, err := net.Dial("tcp", ln.Addr().String()); err == nil {
				c.Close()
			}
		}
	})
	<-accepted
	ln.Close()
	select {
	case <-ended:
	case <-time.After(20 * time.Second):
		t.Error("the listener does not close")
	}
}

// Clients never hold more than their part and a little more, though all of them ask something and
// none can be given up: the next are taken when one has gone, and the rest of the descriptors stays
// for others.
func TestClientsLeaveTheReserve(t *testing.T) {
	const most = 32
	conns := NewConns(most, most, SpareAfter)
	ln := conns.Listen(listenLocal(t))
	defer ln.Close()
	var mu sync.Mutex
	var taken []*Conn
	count := func() int { mu.Lock(); defer mu.Unlock(); return len(taken) }
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			cc := c.(*Conn)
			cc.Active() // it asks something, so that it is not given up
			mu.Lock()
			taken = append(taken, cc)
			mu.Unlock()
		}
	}()
	const bound = most + most/overflowPart + 1
	for range 2 * most {
		c, err := net.Dial("tcp", ln.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
	}
	wait := func(n int) {
		t.Helper()
		for end := time.Now().Add(20 * time.Second); count() < n; time.Sleep(time.Millisecond) {
			if time.Now().After(end) {
				t.Fatalf("%d connections were taken, want %d", count(), n)
			}
		}
	}
	wait(bound)
	time.Sleep(10 * fullWait)
	if n := count(); n != bound {
		t.Fatalf("%d connections are held, the bound is %d", n, bound)
	}
	for i := range 5 {
		mu.Lock()
		c := taken[i]
		mu.Unlock()
		c.Close()
		wait(bound + i + 1)
	}
	if open, _ := conns.Counts(); open != bound {
		t.Error(fmt.Errorf("%d are open", open))
	}
}

// failing is a listener whose Accept fails so often before it takes a connection; below 0: always.
type failing struct {
	*net.TCPListener
	errs  []error
	calls atomic.Int64
}

func (f *failing) Accept() (net.Conn, error) {
	n := f.calls.Add(1)
	if int(n) <= len(f.errs) {
		return nil, &net.OpError{Op: "accept", Net: "tcp", Err: os.NewSyscallError("accept4", f.errs[n-1])}
	}
	return f.TCPListener.Accept()
}

// An accept that fails, for one connection or for a moment, ends no listener: who comes behind it is served.
func TestFailedAcceptsEndNoListener(t *testing.T) {
	f := &failing{TCPListener: listenLocal(t), errs: []error{syscall.ECONNABORTED, syscall.ENFILE, syscall.EMFILE, syscall.ENOBUFS, syscall.ENOMEM,
		syscall.EPROTO, syscall.EPERM, syscall.ENETDOWN, syscall.EHOSTUNREACH, syscall.ETIMEDOUT}}
	ln := NewConns(10, 10, SpareAfter).Listen(f)
	client, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer client.Close()
	c, err := ln.Accept()
	if err != nil {
		t.Fatalf("it has ended: %v", err)
	}
	c.Close()
	if n := f.calls.Load(); n != int64(len(f.errs))+1 {
		t.Errorf("accepted with call %d, %d failed", n, len(f.errs))
	}
}

// A moment without a descriptor costs no connection its place, and no lack of the whole system does. One that lasts
// is met by giving up a connection that rests.
func TestMomentWithoutDescriptorsClosesNobody(t *testing.T) {
	for _, c := range []struct {
		name  string
		errs  []error
		stays bool
	}{
		{"a moment", []error{syscall.EMFILE}, true},
		{"a lack of the system", slices.Repeat([]error{syscall.ENFILE}, 10), true},
		{"a lack that lasts", slices.Repeat([]error{syscall.EMFILE}, 2), false},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := &failing{TCPListener: listenLocal(t)}
			ln := NewConns(10, 10, SpareAfter).Listen(f)
			var open [2]*Conn
			for i := range open {
				client, err := net.Dial("tcp", ln.Addr().String())
				if err != nil {
					t.Fatal(err)
				}
				defer client.Close()
				f.calls.Store(0)
				if i > 0 {
					f.errs = c.errs
				}
				nc, err := ln.Accept()
				if err != nil {
					t.Fatal(err)
				}
				defer nc.Close()
				open[i] = Of(nc)
				open[i].Active()
				open[i].Idle()
			}
			if stays := open[0].Taken(); stays != c.stays {
				t.Errorf("the first connection stays open: %v", stays)
			}
		})
	}
}

// A listener that is closed while accepts fail ends all the same.
func TestFailingListenerCloses(t *testing.T) {
	f := &failing{TCPListener: listenLocal(t), errs: slices.Repeat([]error{syscall.ENOBUFS}, 1<<20)}
	ln := NewConns(10, 10, SpareAfter).Listen(f)
	ended := make(chan error, 1)
	go func() {
		_, err := ln.Accept()
		ended <- err
	}()
	for f.calls.Load() < 3 {
		time.Sleep(time.Millisecond)
	}
	ln.Close()
	select {
	case err := <-ended:
		if !errors.Is(err, net.ErrClosed) {
			t.Errorf("ended with %v", err)
		}
	case <-time.After(20 * time.Second):
		t.Fatal("it goes on")
	}
}

// unnamed is a listener that says of its end only that its file is closed.
type unnamed struct{ net.Listener }

func (u unnamed) Accept() (net.Conn, error) {
	c, err := u.Listener.Accept()
	if err != nil {
		err = errors.New("use of closed file")
	}
	return c, err
}

// A listener that has no deadlines and does not name its end ends when it is closed, also where it was paused.
func TestClosedListenerEndsWhateverItSays(t *testing.T) {
	for _, pause := range []bool{false, true} {
		ln := NewConns(10, 10, SpareAfter).Listen(unnamed{listenLocal(t)})
		ended := make(chan error, 1)
		go func() {
			_, err := ln.Accept()
			ended <- err
		}()
		ln.Pause(pause)
		ln.Close()
		select {
		case err := <-ended:
			if !errors.Is(err, net.ErrClosed) {
				t.Errorf("pause %t: ended with %v", pause, err)
			}
		case <-time.After(20 * time.Second):
			t.Fatalf("pause %t: it goes on", pause)
		}
	}
}
