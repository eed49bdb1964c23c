package h2

import (
	"time"

	"golang.org/x/net/http2"
	"golang.org/x/net/http2/hpack"
)

// streamList is a queue of streams: each has its turn, a frame at a time.
type streamList struct{ head, tail *Stream }

func (q *streamList) push(s *Stream) {
	if s.inReady {
		return
	}
	s.inReady, s.next = true, nil
	if q.tail != nil {
		q.tail.next = s
	} else {
		q.head = s
	}
	q.tail = s
}

func (q *streamList) pop() *Stream {
	s := q.head
	if s == nil {
		return nil
	}
	if q.head = s.next; q.head == nil {
		q.tail = nil
	}
	s.inReady, s.next = false, nil
	return s
}

// Control queues a control frame. A peer that makes this end owe it a thousand of them
// and takes none is closed.
func (l *Link) Control(frame func(*http2.Framer) error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return
	}
	if len(l.control) >= mostControl {
		l.closed = true
		l.Conn.Close()
	} else {
		l.control = append(l.control, frame)
	}
	l.wake.Signal()
}

// Send sends what a stream has to say, in its turn and as windows allow.
func (l *Link) Send(s *Stream, o *Out) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if s.forgotten {
		return
	}
	s.out = o
	l.ready.push(s)
	l.wake.Signal()
}

// Append gives the next part of what a stream sends, whose Out was sent with More. All that
// was given before must have been Taken; part belongs to the link until it is, too. end says
// that nothing follows but the trailer.
//
// It is written here and now where nothing else is being written: to hand each part of a long
// body to the writer's goroutine and back costs as much as a fifth of all that is done about it.
func (l *Link) Append(s *Stream, part []byte, end bool, trailer []hpack.HeaderField) {
	l.mu.Lock()
	o := s.out
	if s.forgotten || o == nil || !o.More {
		l.mu.Unlock()
		return
	}
	o.Body, o.sent, o.More, o.Trailer = part, 0, !end, trailer
	l.ready.push(s)
	l.mu.Unlock()
	select {
	case l.pen <- struct{}{}:
	default:
		l.wake.Signal()
		return
	}
	var done []func()
	var err error
	for wrote := true; wrote && err == nil; {
		if wrote, err = l.writeNext(&done); !wrote && err == nil {
			err = l.flush()
		}
	}
	<-l.pen
	if err != nil {
		l.fail()
		return
	}
	for _, f := range done {
		f()
	}
	l.wake.Signal() // for what has come up meanwhile
}

// fail ends the writing, which has met an error.
func (l *Link) fail() {
	l.mu.Lock()
	l.closed, l.control = true, nil
	l.ready = streamList{}
	l.wake.Broadcast()
	l.mu.Unlock()
}

// Reset forgets a stream, as Forget does, and tells the peer, if it can know of it.
func (l *Link) Reset(s *Stream, code http2.ErrCode) (whole bool) {
	whole = l.Forget(s)
	if l.cfg.Client && s.turn == 0 { // its head has never been written
		return whole
	}
	id := s.ID
	l.Control(func(f *http2.Framer) error { return f.WriteRSTStream(id, code) })
	return whole
}

// GoAway tells the peer to go away; streams above last are not taken.
func (l *Link) GoAway(last uint32, code http2.ErrCode) {
	l.Control(func(f *http2.Framer) error { return f.WriteGoAway(last, code, nil) })
}

// Sent is how many bytes have gone out of the part that a stream sends now.
func (s *Stream) Sent() int {
	s.link.mu.Lock()
	defer s.link.mu.Unlock()
	if s.out == nil {
		return 0
	}
	return s.out.sent
}

// Whole says whether the last byte of what a stream sends may have gone out.
func (s *Stream) Whole() bool {
	s.link.mu.Lock()
	defer s.link.mu.Unlock()
	return s.out != nil && s.out.whole
}

// Begun says whether anything of what a stream sends may have gone out.
func (s *Stream) Begun() bool {
	s.link.mu.Lock()
	defer s.link.mu.Unlock()
	return s.turn > 0
}

// write is the writer: it alone writes frames, control frames first.
func (l *Link) write() {
	defer close(l.ended)
	defer l.closeSending()
	var done []func() // of what has been written since its last flush
	for unflushed := false; ; {
		l.mu.Lock()
		for !unflushed && len(l.control) == 0 && l.ready.head == nil && !l.closed {
			l.wake.Wait()
		}
		l.mu.Unlock()
		l.pen <- struct{}{}
		wrote, err := l.writeNext(&done)
		if !wrote && err == nil {
			err = l.flush()
		}
		<-l.pen
		if err != nil {
			l.fail()
			return
		}
		if unflushed = wrote; wrote {
			continue
		}
		for _, f := range done {
			f()
		}
		done = done[:0]
		l.mu.Lock()
		end := l.closed && len(l.control) == 0
		l.mu.Unlock()
		if end {
			return
		}
	}
}

// writeNext writes the control frames that wait, or else the next stream's frames, into
// the buffer. False: there is nothing to write now. The pen is held, so that a stream which
// has had its turn is in the buffer for whoever takes the pen next.
func (l *Link) writeNext(done *[]func()) (wrote bool, err error) {
	var frames []func(*http2.Framer) error
	var s *Stream
	var part []byte
	var fields, last bool
	var trailer []hpack.HeaderField
	var taken func()
	l.mu.Lock()
	switch {
	case len(l.control) > 0:
		frames, l.control = l.control, nil
	case !l.closed:
		if s, part, fields, last = l.turn(); s != nil {
			trailer = s.out.Trailer
			if o := s.out; o.More && o.sent == len(o.Body) {
				taken = o.Taken
			}
		}
	}
	l.mu.Unlock()
	if s == nil && len(frames) == 0 {
		return false, nil
	}
	if l.out.Buffered() == 0 {
		if now := time.Now(); now.Sub(l.dueSet) > WriteWithin/8 { // a call for each write is many
			l.dueSet = now
			l.Conn.SetWriteDeadline(now.Add(WriteWithin))
		}
	}
	for _, frame := range frames {
		if err := frame(l.framer); err != nil {
			return true, err
		}
	}
	if s == nil {
		return true, nil
	}
	o := s.out
	trails := last && len(trailer) > 0
	if fields {
		err = l.writeFields(s.ID, o.Fields, last && len(part) == 0 && !trails)
	}
	if err == nil && (len(part) > 0 || !fields && !trails) {
		err = l.framer.WriteData(s.ID, last && !trails, part)
	}
	if err == nil && trails {
		err = l.writeFields(s.ID, trailer, true)
	}
	if err == nil && taken != nil {
		*done = append(*done, taken)
	}
	if last && err == nil && o.Ending != nil {
		o.Ending()
	}
	if last && err == nil && o.Done != nil {
		*done = append(*done, o.Done)
	}
	return true, err
}

// closeSending ends the connection, or this end's side of it.
func (l *Link) closeSending() {
	l.mu.Lock()
	half := l.half
	l.mu.Unlock()
	if c, ok := l.Conn.(interface{ CloseWrite() error }); ok && half {
		c.CloseWrite()
		return
	}
	l.Conn.Close()
}

// flush hands what is buffered to the connection. The pen is held.
func (l *Link) flush() error {
	l.mu.Lock()
	upTo := l.written
	l.mu.Unlock()
	err := l.out.Flush()
	if err == nil {
		l.mu.Lock()
		l.flushed = upTo
		l.mu.Unlock()
	}
	return err
}

// turn takes the next stream that may send something now, and what it sends: its fields,
// a part of its body, or both; last says that nothing follows. The lock is held.
func (l *Link) turn() (s *Stream, part []byte, fields, last bool) {
	for s = l.ready.pop(); s != nil; s = l.ready.pop() {
		o := s.out
		if s.forgotten || o == nil || o.whole || o.headSent && o.More && o.sent == len(o.Body) {
			continue
		}
		if !o.headSent && o.MaySend != nil && !o.MaySend() {
			s.forgotten = true
			delete(l.streams, s.ID)
			go o.Barred()
			continue
		}
		room := min(int64(l.peerFrame), s.sendWindow, l.sendWindow, int64(len(o.Body)-o.sent))
		if o.headSent && room <= 0 && o.sent < len(o.Body) {
			continue // a window update brings it back
		}
		fields = !o.headSent
		o.headSent = true
		if room > 0 {
			part = o.Body[o.sent : o.sent+int(room)]
			o.sent += int(room)
			s.sendWindow -= room
			l.sendWindow -= room
			l.earned = min(l.earned+room, mostEarned)
		}
		last = o.sent == len(o.Body) && !o.More
		l.written++
		s.turn = l.written
		if o.whole = last; o.sent < len(o.Body) {
			l.ready.push(s)
		}
		return s, part, fields, last
	}
	return nil, nil, false, false
}

// writeFields writes a header block, in as many frames as it needs.
func (l *Link) writeFields(id uint32, fields []hpack.HeaderField, last bool) error {
	l.encoded.b = l.encoded.b[:0]
	for _, f := range fields {
		if err := l.encoder.WriteField(f); err != nil {
			return err
		}
	}
	block := l.encoded.b
	for first := true; first || len(block) > 0; first = false {
		n := min(len(block), firstFrame)
		part := block[:n]
		block = block[n:]
		var err error
		if first {
			err = l.framer.WriteHeaders(http2.HeadersFrameParam{StreamID: id, BlockFragment: part,
				EndStream: last, EndHeaders: len(block) == 0})
		} else {
			err = l.framer.WriteContinuation(id, len(block) == 0, part)
		}
		if err != nil {
			return err
		}
	}
	return nil
}

// Interim sends an informational response ahead of the answer (RFC 9110 section 15.2).
func (l *Link) Interim(s *Stream, o *Out) {
	l.Control(func(*http2.Framer) error {
		l.mu.Lock()
		gone := s.forgotten || s.out != nil
		l.mu.Unlock()
		if gone {
			return nil
		}
		return l.writeFields(s.ID, o.Fields, false)
	})
}
