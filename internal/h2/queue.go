package h2

import (
	"io"
	"os"
	"sync"
	"time"
)

// Queue is what has come of a body on a stream and has not been read yet. The stream's window
// bounds it: the peer gets credit as Read takes bytes out. Put, End and Fail belong to the
// link's reader, Read and Wait to one other goroutine; SetReadDeadline is for any.
type Queue struct {
	link   *Link
	stream *Stream

	mu       sync.Mutex
	parts    [][]byte
	err      error // after the parts
	deadline time.Time
	wake     chan struct{} // holds one: something has changed
}

// NewQueue returns the queue of a stream's body.
func (l *Link) NewQueue(s *Stream) *Queue {
	return &Queue{link: l, stream: s, wake: make(chan struct{}, 1)}
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
	if q.err == nil {
		if n := len(q.parts); n > 0 && cap(q.parts[n-1])-len(q.parts[n-1]) >= len(data) {
			q.parts[n-1] = append(q.parts[n-1], data...)
		} else {
			q.parts = append(q.parts, append(make([]byte, 0, max(len(data), 512)), data...))
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
	q.parts = nil
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
		k := copy(p[n:], q.parts[0])
		n += k
		if k < len(q.parts[0]) {
			q.parts[0] = q.parts[0][k:]
		} else {
			q.parts[0] = nil
			q.parts = q.parts[1:]
		}
	}
	err := q.err
	q.mu.Unlock()
	switch {
	case n > 0:
		q.link.CreditStream(q.stream, n)
		return n, nil
	case err != nil:
		return 0, err
	}
	return 0, os.ErrDeadlineExceeded
}
