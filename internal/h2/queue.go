package h2

import (
	"io"
	"os"
	"sync"
	"time"

	"frostshift/internal/shortage"
)

// Queue is what has come of a body on a stream and has not been read yet. The stream's window
// bounds it: the peer gets credit as Read takes bytes out. Put, End and Fail belong to the
// link's reader, Read and Wait to one other goroutine; SetReadDeadline is for any.
//
// What waits counts in a Room, or with Reserve the window. A stream that is read as it comes gets a wide window, all of
// which counts as held until the end: so a slow reader's stream is never broken for want of room
// that its window had promised.
type Queue struct {
	link   *Link
	stream *Stream
	room   Room
	lacks  shortage.Resource // where the room has none

	mu       sync.Mutex
	parts    []part
	held     int64 // bytes that count as held
	read     int64
	reserved bool // the whole window counts as held
	wide     bool
	err      error // after the parts
	deadline time.Time
	wake     chan struct{} // holds one: something has changed
}

// Room bounds the bytes that wait.
type Room interface {
	Take(n int64) bool
	Give(n int64)
}

const (
	wideWindow = 512 << 10
	widenAfter = 64 << 10 // bytes that have been read
)

// part is bytes that came, up to a frame's or a few small ones'.
type part struct {
	b      []byte
	read   int
	pooled *[]byte // where b is from; nil: it is its own
}

// frames are buffers for parts of more than a little, of the sizes that frames have mostly.
var frames [2]sync.Pool

var frameSizes = [...]int{firstFrame, MaxFrame}

func newPart(data []byte) part {
	if len(data) < firstFrame/4 || len(data) > MaxFrame {
		return part{b: append(make([]byte, 0, max(len(data), 512)), data...)}
	}
	at := 0
	if len(data) > firstFrame {
		at = 1
	}
	f, _ := frames[at].Get().(*[]byte)
	if f == nil {
		b := make([]byte, frameSizes[at])
		f = &b
	}
	return part{b: append((*f)[:0], data...), pooled: f}
}

func (p *part) free() {
	switch {
	case p.pooled == nil:
	case len(*p.pooled) == MaxFrame:
		frames[1].Put(p.pooled)
	default:
		frames[0].Put(p.pooled)
	}
}

// NewQueue returns the queue of a stream's body. What finds no room in it ends the body with a *shortage.Error of lacks.
func (l *Link) NewQueue(s *Stream, room Room, lacks shortage.Resource) *Queue {
	return &Queue{link: l, stream: s, room: room, lacks: lacks, wake: make(chan struct{}, 1)}
}

// Reserve has all of the stream's window count as held from the beginning, so that nothing that the peer may send finds no
// room; false: there is none for that. It is called ahead of the first Put.
func (q *Queue) Reserve() bool {
	window := q.stream.offered()
	if !q.room.Take(window) {
		return false
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	q.reserved, q.held = true, window
	return true
}

func (q *Queue) poke() {
	select {
	case q.wake <- struct{}{}:
	default:
	}
}

// Put takes in the data of a frame that was Received; size is its length with padding. The
// connection has its credit back at once: a stream that is not read must hold up no other.
func (q *Queue) Put(data []byte, size int) {
	q.link.Credit(nil, size)
	if pad := size - len(data); pad > 0 {
		q.link.CreditStream(q.stream, pad)
	}
	if len(data) == 0 {
		return
	}
	q.mu.Lock()
	if q.err == nil && !q.reserved {
		if q.room.Take(int64(len(data))) {
			q.held += int64(len(data))
		} else {
			q.err = shortage.New(q.lacks)
		}
	}
	if q.err == nil {
		if n := len(q.parts); n > 0 && cap(q.parts[n-1].b)-len(q.parts[n-1].b) >= len(data) {
			q.parts[n-1].b = append(q.parts[n-1].b, data...)
		} else {
			q.parts = append(q.parts, newPart(data))
		}
	}
	q.mu.Unlock()
	q.poke()
}

// End says that the body was all; Fail that the rest of it will not come. What has come is
// still read.
func (q *Queue) End() { q.Fail(io.EOF) }

// Fail ends the body with an error, unless it has ended.
func (q *Queue) Fail(err error) {
	q.mu.Lock()
	if q.err == nil {
		q.err = err
	}
	q.mu.Unlock()
	q.poke()
}

// Drop lets go of what has not been read, and of what still comes.
func (q *Queue) Drop() {
	q.mu.Lock()
	for i := range q.parts {
		q.parts[i].free()
	}
	q.parts = nil
	q.room.Give(q.held)
	q.held = 0
	if q.err == nil || q.err == io.EOF {
		q.err = io.ErrClosedPipe
	}
	q.mu.Unlock()
	q.poke()
}

// Ended says whether the body has come to its end, read or not.
func (q *Queue) Ended() bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.err == io.EOF
}

// SetReadDeadline ends a Read that waits until then with os.ErrDeadlineExceeded; zero: none
// does.
func (q *Queue) SetReadDeadline(t time.Time) error {
	q.mu.Lock()
	q.deadline = t
	q.mu.Unlock()
	q.poke()
	return nil
}

// Wait waits until Read would not.
func (q *Queue) Wait() {
	var late *time.Timer
	for {
		q.mu.Lock()
		by := q.deadline
		ready := len(q.parts) > 0 || q.err != nil || !by.IsZero() && !time.Now().Before(by)
		q.mu.Unlock()
		if ready {
			if late != nil {
				late.Stop()
			}
			return
		}
		var timer <-chan time.Time
		if !by.IsZero() {
			if late == nil {
				late = time.NewTimer(time.Until(by))
			} else {
				late.Reset(time.Until(by))
			}
			timer = late.C
		}
		select {
		case <-q.wake:
		case <-timer:
		}
	}
}

// Read reads what has come, and waits if there is nothing.
func (q *Queue) Read(p []byte) (int, error) {
	q.Wait()
	q.mu.Lock()
	n := 0
	for n < len(p) && len(q.parts) > 0 {
		at := &q.parts[0]
		k := copy(p[n:], at.b[at.read:])
		n += k
		if at.read += k; at.read == len(at.b) {
			at.free()
			*at = part{}
			q.parts = q.parts[1:]
		}
	}
	if len(q.parts) == 0 {
		q.parts = nil // an idle stream holds nothing
	}
	if !q.reserved {
		q.held -= int64(n)
		q.room.Give(int64(n))
	}
	q.read += int64(n)
	err := q.err
	widen := !q.wide && q.read >= widenAfter && err == nil
	q.mu.Unlock()
	if widen {
		q.Widen()
	}
	switch {
	case n > 0:
		q.link.CreditStream(q.stream, n)
		return n, nil
	case err != nil:
		return 0, err
	}
	return 0, os.ErrDeadlineExceeded
}

// Widen offers the wide window, if there is ample room for what could come of it: once a part
// has been read, or before, where the peer has told of more than the first window holds.
func (q *Queue) Widen() {
	if r, ok := q.room.(interface{ Roomy() bool }); ok && !r.Roomy() || !q.room.Take(wideWindow) {
		return
	}
	q.mu.Lock()
	if q.wide || q.err != nil {
		q.room.Give(wideWindow)
		q.mu.Unlock()
		return
	}
	q.wide, q.reserved = true, true
	q.room.Give(q.held)
	q.held = wideWindow
	q.mu.Unlock()
	q.link.Widen(q.stream, wideWindow-q.stream.offered())
}

// offered is the stream's window as it was at first.
func (s *Stream) offered() int64 {
	s.link.mu.Lock()
	defer s.link.mu.Unlock()
	return s.window
}

// Unread is how many bytes wait to be read, and whether the last one is among them.
func (q *Queue) Unread() (n int64, whole bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for i := range q.parts {
		n += int64(len(q.parts[i].b) - q.parts[i].read)
	}
	return n, q.err != nil
}
