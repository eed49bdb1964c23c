package hotrestart

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io/fs"
	"net"
	"os"
	"sync"
	"time"
)

const (
	// joinWithin is how long the process that runs may take to say what it knows, and greetWithin
	// the one that starts to say that it does.
	joinWithin  = 2 * time.Second
	greetWithin = time.Second
	// waitFor is how long to wait for another process that is taking over already.
	waitFor   = 3 * time.Second
	waitEvery = 50 * time.Millisecond
	// longPath is what the address of a Unix socket may be.
	longPath = 107
)

// ErrNone says that no process runs there.
var ErrNone = errors.New("hot restart: no process runs")

// ErrBusy says that another process is taking over already.
var ErrBusy = errors.New("hot restart: another process is taking over")

// Join speaks to the process that runs, and returns the link with what that process knows.
// ErrNone: there is none, and the start is one from nothing.
func Join(path string) (*Peer, []byte, error) {
	for end := time.Now().Add(waitFor); ; time.Sleep(waitEvery) {
		p, state, err := join(path)
		if !errors.Is(err, ErrBusy) || time.Now().After(end) {
			return p, state, err
		}
	}
}

func join(path string) (*Peer, []byte, error) {
	c, err := net.DialTimeout("unix", path, joinWithin)
	if err != nil {
		return nil, nil, fmt.Errorf("%w: %w", ErrNone, err)
	}
	c.SetDeadline(time.Now().Add(joinWithin))
	if _, err = c.Write(AppendFrame(nil, Hello, binary.BigEndian.AppendUint32(nil, Version))); err != nil {
		c.Close()
		return nil, nil, err
	}
	p := newPeer(c, false)
	k, state, err := ReadFrame(p.in)
	switch {
	case err != nil:
	case k == Busy:
		err = ErrBusy
	case k != State:
		err = fmt.Errorf("%w: kind %d in place of a state", ErrDamaged, k)
	}
	if err != nil {
		p.Close()
		return nil, nil, err
	}
	c.SetDeadline(time.Time{})
	return p, state, nil
}

// Listener is where a process that starts finds the one that runs.
type Listener struct {
	ln   *net.UnixListener
	all  sync.WaitGroup
	come func(*Peer) bool
}

// Open listens at the path, in the place of whoever did. come takes each process that starts,
// in a goroutine of its own; false: another is taking over already.
func Open(path string, come func(*Peer) bool) (*Listener, error) {
	if len(path)+4 > longPath {
		return nil, fmt.Errorf("hot restart: %s is longer than the %d bytes of a socket's path", path, longPath-4)
	}
	fresh := path + ".new"
	if err := os.Remove(fresh); err != nil && !errors.Is(err, fs.ErrNotExist) {
		return nil, err
	}
	ln, err := net.ListenUnix("unix", &net.UnixAddr{Name: fresh, Net: "unix"})
	if err != nil {
		return nil, err
	}
	ln.SetUnlinkOnClose(false) // it may be another's by then
	if err := errors.Join(os.Chmod(fresh, 0o600), os.Rename(fresh, path)); err != nil {
		ln.Close()
		return nil, err
	}
	d := &Listener{ln: ln, come: come}
	d.all.Go(d.accept)
	return d, nil
}

func (d *Listener) accept() {
	for {
		c, err := d.ln.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil { // no descriptor is left: the one that starts tries again
			time.Sleep(waitEvery)
			continue
		}
		c.SetDeadline(time.Now().Add(greetWithin))
		k, hello, err := ReadFrame(c)
		if err != nil || k != Hello || len(hello) != 4 || binary.BigEndian.Uint32(hello) != Version {
			c.Close()
			continue
		}
		c.SetDeadline(time.Time{})
		p := newPeer(c, true)
		if !d.come(p) {
			c.SetWriteDeadline(time.Now().Add(greetWithin))
			c.Write(AppendFrame(nil, Busy, nil))
			p.Close()
		}
	}
}

// Close ends the listening. Links stay.
func (d *Listener) Close() {
	d.ln.Close()
	d.all.Wait()
}
