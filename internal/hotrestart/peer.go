package hotrestart

import (
	"bufio"
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Takes is what a link's messages are for. Its methods are called by Run, one at a time; Gone
// is the last.
type Takes interface {
	Noted(payload []byte)
	Called(payload []byte) error
	Serves(payload []byte)
	Gone()
}

const (
	// mostWaiting is how many bytes may wait to be written: a process that takes none in hangs,
	// and is given up.
	mostWaiting = 8 << 20
	writeWithin = 2 * time.Second
)

// ErrGone says that the other process has gone.
var ErrGone = errors.New("hot restart: the other process has gone")

var errNoProcess = errors.New("hot restart: the other process can't be looked at")

// Peer is a link to the other process. It is safe for concurrent use.
type Peer struct {
	conn net.Conn
	in   *bufio.Reader
	wake chan struct{} // holds one: something waits to be written
	done chan struct{} // closed: the link has ended
	once sync.Once

	mu      sync.Mutex
	held    bool // the state has yet to go ahead of what waits
	waiting []byte
	calls   map[uint32]chan error
	last    uint32
}

func newPeer(c net.Conn, held bool) *Peer {
	p := &Peer{conn: c, in: bufio.NewReader(c), wake: make(chan struct{}, 1), done: make(chan struct{}), held: held, calls: map[uint32]chan error{}}
	go p.write() // ends with the link
	return p
}

// Resident is how much memory the other process has, in bytes, pages of files included (proc_pid_statm(5)).
func (p *Peer) Resident() (int64, error) {
	pid, err := p.process()
	if err != nil {
		return 0, err
	}
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		return 0, err
	}
	var size, resident int64 // pages
	if _, err := fmt.Sscan(string(text), &size, &resident); err != nil {
		return 0, err
	}
	return resident * int64(os.Getpagesize()), nil
}

// process is the id of the other process. It is the one that listens, for the side that has connected (unix(7), SO_PEERCRED).
func (p *Peer) process() (pid int32, err error) {
	conn, ok := p.conn.(syscall.Conn)
	if !ok {
		return 0, errNoProcess
	}
	raw, err := conn.SyscallConn()
	if err != nil {
		return 0, err
	}
	var of *unix.Ucred
	if e := raw.Control(func(fd uintptr) { of, err = unix.GetsockoptUcred(int(fd), unix.SOL_SOCKET, unix.SO_PEERCRED) }); e != nil {
		return 0, e
	}
	if err != nil {
		return 0, err
	}
	if of.Pid <= 0 { // it is not in this one's namespace
		return 0, errNoProcess
	}
	return of.Pid, nil
}

// Begin sends the state, ahead of all that has been sent since the link came up.
func (p *Peer) Begin(state []byte) {
	p.mu.Lock()
	p.waiting = append(AppendFrame(nil, State, state), p.waiting...)
	p.held = false
	p.mu.Unlock()
	p.stir()
}

// Send sends a message, without waiting. What the other process does not take in ends the link.
func (p *Peer) Send(k Kind, payload []byte) {
	p.mu.Lock()
	p.waiting = AppendFrame(p.waiting, k, payload)
	over := len(p.waiting) > mostWaiting
	p.mu.Unlock()
	if over {
		p.Close()
		return
	}
	p.stir()
}

func (p *Peer) stir() {
	select {
	case p.wake <- struct{}{}:
	default:
	}
}

// write writes what waits, until the link ends.
func (p *Peer) write() {
	var spare []byte
	for {
		select {
		case <-p.wake:
		case <-p.done:
			return
		}
		p.mu.Lock()
		if p.held {
			p.mu.Unlock()
			continue
		}
		text := p.waiting
		p.waiting = spare[:0]
		p.mu.Unlock()
		p.conn.SetWriteDeadline(time.Now().Add(writeWithin))
		if _, err := p.conn.Write(text); err != nil {
			p.Close()
			return
		}
		if spare = text; cap(spare) > 64<<10 {
			spare = nil
		}
	}
}

// Ask sends a call and waits for what comes of it.
func (p *Peer) Ask(ctx context.Context, payload []byte) error {
	answer := make(chan error, 1)
	p.mu.Lock()
	p.last++
	n := p.last
	p.calls[n] = answer
	p.mu.Unlock()
	defer func() {
		p.mu.Lock()
		delete(p.calls, n)
		p.mu.Unlock()
	}()
	p.Send(Call, append(binary.BigEndian.AppendUint32(nil, n), payload...))
	select {
	case err := <-answer:
		return err
	case <-p.done:
		return ErrGone
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Run takes what comes until the link ends.
func (p *Peer) Run(to Takes) {
	defer to.Gone()
	defer p.Close()
	for {
		k, payload, err := ReadFrame(p.in)
		if err != nil {
			return
		}
		switch k {
		case Note:
			to.Noted(payload)
		case Serving:
			to.Serves(payload)
		case Call, Ack:
			if len(payload) < 4 {
				return
			}
			if k == Call {
				text := ""
				if err := to.Called(payload[4:]); err != nil {
					text = err.Error()
				}
				p.Send(Ack, append(payload[:4:4], text...))
				continue
			}
			p.mu.Lock()
			answer := p.calls[binary.BigEndian.Uint32(payload)]
			p.mu.Unlock()
			if answer == nil {
				continue
			}
			var err error
			if text := string(payload[4:]); text != "" {
				err = errors.New(text)
			}
			select {
			case answer <- err:
			default: // it was answered twice
			}
		default:
			return
		}
	}
}

// Flush waits until what has been sent is on its way, or the context ends.
func (p *Peer) Flush(ctx context.Context) {
	for {
		p.mu.Lock()
		n := len(p.waiting)
		p.mu.Unlock()
		if n == 0 {
			return
		}
		select {
		case <-p.done:
			return
		case <-ctx.Done():
			return
		case <-time.After(time.Millisecond):
		}
	}
}

// Close ends the link.
func (p *Peer) Close() {
	p.once.Do(func() {
		close(p.done)
		p.conn.Close()
	})
}
