package http1

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"frostshift/internal/exchange"
	"frostshift/internal/message"
	"frostshift/internal/shortage"
)

const (
	firstPart = 16 << 10 // bytes of an answer's body that need no room
	wholePart = 64 << 10 // a body that is told to be no longer is taken in with one read, if there is room
	// An answer that has begun comes whole within a part of the time that is left then, and
	// within restLeast if there is less: what never ends must not be waited for.
	restPart  = 2
	restLeast = 50 * time.Millisecond
)

// errNoRoom says that answers hold all the memory they may.
var errNoRoom = shortage.New(shortage.AnswerMemory)

// errOdd says that a host's answer is one that none may give: it can't be read, is too
// long or does not end. The request may have run.
var errOdd = errors.New("odd answer")

// read takes in the whole answer, so that the client gets all of it or none. It reads
// no more than an answer may hold, and waits for its end no longer than one may take.
func (c *conn) read(method string, until time.Time) (*http.Response, *message.Answer, error) {
	c.limit.N = maxHeader
	if _, err := c.in.Peek(1); err != nil {
		return nil, nil, err
	}
	now := time.Now()
	if rest := now.Add(max(restLeast, until.Sub(now)/restPart)); rest.Before(until) {
		c.SetReadDeadline(rest)
	}
	resp, answer, err := c.readAll(method)
	if errors.Is(err, os.ErrDeadlineExceeded) {
		err = errOdd
	}
	return resp, answer, odd(c, err)
}

// odd is an error of reading an answer: that of a connection that broke as it is, any other
// as errOdd.
func odd(c *conn, err error) error {
	var broken net.Error
	switch {
	case err == nil || errors.Is(err, errOdd) || shortage.Of(err) != nil:
	case c.limit.N <= 0:
		err = errOdd
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF), errors.As(err, &broken):
		// The connection broke.
	default:
		err = fmt.Errorf("%w: %w", errOdd, err)
	}
	return err
}

func (c *conn) readAll(method string) (*http.Response, *message.Answer, error) {
	var resp *http.Response
	for { // answers like 103 may come ahead
		var err error
		if resp, err = http.ReadResponse(c.in, &http.Request{Method: method}); err != nil {
			return nil, nil, err
		}
		if resp.StatusCode >= 200 {
			break
		}
		c.answerHead.begin()
		if resp.StatusCode == http.StatusSwitchingProtocols { // its body would last as long as the connection
			return nil, nil, errOdd
		}
	}
	if err := c.answerHead.parsed(resp.Header, c.up.cfg.Bytes); err != nil {
		return nil, nil, err
	}
	answer := &message.Answer{Status: resp.StatusCode, Length: -1}
	if bodilessAnswer(method, resp.StatusCode) {
		if resp.StatusCode != http.StatusNoContent {
			answer.Length = resp.ContentLength
		}
		answer.Header = message.EndToEnd(resp.Header)
		c.hold(answer, 0)
		return resp, answer, nil
	}
	if resp.ContentLength > maxAnswer {
		return nil, nil, errOdd
	}
	c.limit.N = maxAnswer + maxHeader
	body, held, again, ok, err := readWhole(resp, c.up.cfg.Bytes)
	if !ok {
		body, held, err = readBody(resp, c.up.cfg.Bytes)
	}
	if err != nil {
		c.up.cfg.Bytes.Give(held)
		return nil, nil, err
	}
	answer.Header, answer.Body, answer.Again = message.EndToEnd(resp.Header), body, again
	c.hold(answer, held)
	return resp, answer, nil
}

// hold has a whole answer hold the room of its head, and so much besides, up to its release.
func (c *conn) hold(a *message.Answer, held int64) {
	if held += c.answerHead.take(); held == 0 {
		return
	}
	room, free := c.up.cfg.Bytes, a.Free
	a.Free = func() {
		room.Give(held)
		if free != nil {
			free()
		}
	}
}

// buffers are for bodies of the two sizes that most answers fit into. They come back from
// fronts that know when the last byte of an answer has been written: making and clearing
// them anew was a seventh of a request's work.
var buffers [2]sync.Pool

var bufferSizes = [...]int{firstPart, wholePart}

// readWhole takes in a body whose length is told and fits a buffer, with as few reads as
// can be. again gives the buffer back; ok is false where another way must be found.
func readWhole(resp *http.Response, room exchange.Room) (body []byte, held int64, again func(), ok bool, err error) {
	size := resp.ContentLength
	if size <= 0 || size > wholePart || size > firstPart && !room.Take(size-firstPart) {
		return nil, 0, nil, false, nil
	}
	held = max(0, size-firstPart)
	at := 0
	if held > 0 {
		at = 1
	}
	buffer, _ := buffers[at].Get().(*[]byte)
	if buffer == nil {
		b := make([]byte, bufferSizes[at])
		buffer = &b
	}
	again = func() { buffers[at].Put(buffer) }
	body = (*buffer)[:size:size]
	if _, err = io.ReadFull(resp.Body, body); err != nil {
		again()
		return nil, held, nil, true, err
	}
	return body, held, again, true, nil
}

// readBody takes in the body and says how much room it holds, also with an error. What is
// announced counts for nothing before a first part has come, and long answers share the
// room that there is.
func readBody(resp *http.Response, room exchange.Room) (body []byte, held int64, err error) {
	size := resp.ContentLength
	if size < 0 {
		size = maxAnswer + 1
	}
	for int64(len(body)) < size {
		if len(body) == cap(body) {
			next := min(firstPart, size)
			if len(body) > 0 && resp.ContentLength >= 0 {
				next = size
			} else if len(body) > 0 {
				next = min(4*int64(cap(body)), size)
			}
			if extra := next - int64(cap(body)); next > firstPart {
				if err := takeSoon(room, extra); err != nil {
					return nil, held, err
				}
				held += extra
			}
			body = append(make([]byte, 0, next), body...)
		}
		n, err := resp.Body.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		switch {
		case errors.Is(err, io.EOF) && (resp.ContentLength < 0 || int64(len(body)) == size):
			return body, held, nil
		case err != nil:
			return nil, held, err
		}
	}
	if resp.ContentLength < 0 {
		return nil, held, errOdd // too long
	}
	return body, held, nil
}
