package http1

import (
	"errors"
	"io"
	"net/http"
	"os"
	"sync"
	"time"
)

// beginning is the first part of an answer of untold length. It is held back for a moment: an answer that proves to be
// short is whole then, and can be asked for again where it breaks. One that is not goes on as it comes, also where its
// host rests within the framing and a read of it is under way.
type beginning struct {
	ahead time.Duration
	until time.Time // of the attempt
	free  func()    // gives back the room
	again func()    // gives the buffer to another

	buffer []byte
	filled chan struct{} // closed: nothing more is read into it

	mu    sync.Mutex
	got   int
	given int
	state beginningState
	rest  []byte // of one that is whole
	err   error  // that has ended the reading behind the hand-over
}

// beginningState is who has a beginning.
type beginningState uint8

// States of a beginning.
const (
	held   beginningState = iota // it is read, and nobody has it
	handed                       // it goes on while it is read
	ended                        // it is whole, or broken
)

// newBeginning returns a beginning with room; nil: the answer goes on at once.
func (t *attempt) newBeginning(ahead time.Duration, resp *http.Response) *beginning {
	room := t.up.cfg.Bytes
	if ahead <= 0 || resp.ContentLength >= 0 || len(resp.Trailer) > 0 || !room.Take(wholePart) {
		return nil
	}
	buffer, _ := buffers[1].Get().(*[]byte)
	if buffer == nil {
		made := make([]byte, wholePart)
		buffer = &made
	}
	return &beginning{ahead: ahead, until: t.Until, buffer: (*buffer)[:wholePart], filled: make(chan struct{}),
		free: sync.OnceFunc(func() { room.Give(wholePart) }), again: func() { buffers[1].Put(buffer) }}
}

// fill reads the beginning, and says whether that is all of the answer. Otherwise hand is called once, when the
// beginning has been held for long enough or is as long as it may be; reads under way go on.
func (b *beginning) fill(c *conn, resp *http.Response, hand func()) (whole bool, err error) {
	c.limit.N = 1<<63 - 1
	c.SetReadDeadline(b.until)
	late := time.AfterFunc(b.ahead, func() {
		if !c.hasEnded() { // else the read under way is about to say how
			b.hand(hand)
		}
	})
	defer late.Stop()
	for {
		n, err := resp.Body.Read(b.buffer[b.got:])
		b.mu.Lock()
		b.got += n
		if b.state == handed {
			b.err = err
			b.mu.Unlock()
			close(b.filled)
			return false, nil
		}
		over := err != nil
		if over {
			b.state = ended
		}
		full := b.got == len(b.buffer)
		b.mu.Unlock()
		switch {
		case err == io.EOF:
			b.rest = b.buffer[:b.got]
			return true, nil
		case over:
			b.free()
			b.again()
			return false, b.broken(c, err)
		case full:
			close(b.filled)
			b.hand(hand)
			return false, nil
		}
	}
}

// broken is an error of an answer that nobody has a part of.
func (b *beginning) broken(c *conn, err error) error {
	if err = odd(c, err); errors.Is(err, os.ErrDeadlineExceeded) {
		err = errOdd
	}
	return err
}

// hand hands the beginning on, unless it has come to its end or been handed on.
func (b *beginning) hand(to func()) {
	b.mu.Lock()
	mine := b.state == held
	if mine {
		b.state = handed
	}
	b.mu.Unlock()
	if mine {
		to()
	}
}

// read gives what has been read and not given; n is 0 where there is none.
func (b *beginning) read(p []byte) (n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	n = copy(p, b.buffer[b.given:b.got])
	b.given += n
	return n
}

// isEmpty says whether all that has been read has been given.
func (b *beginning) isEmpty() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.given == b.got
}
