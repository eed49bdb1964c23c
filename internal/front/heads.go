package front

import (
	"bytes"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// fieldCost is the memory that a header field takes beyond its bytes: its places in the parsed head and in the copy
	// that goes on, and what they grow by.
	fieldCost = 256
	// fieldSize is what a field counts beyond its bytes against the size of a head, as in HTTP/2 (RFC 9113 section
	// 6.5.2).
	fieldSize = 32
	// MostHead is the largest head of a request, by that measure.
	MostHead = 20 << 10
	// costlyHead is the cost of a head from which on it may not use the last part of the room.
	costlyHead = 16 << 10
	// cheapPart is one part in so many of the room that is for heads that cost less.
	cheapPart = 4
	// readAhead is how much an http.Server reads ahead of what it serves.
	readAhead = 4 << 10
	// unseenCost is the most that a part of a head costs which came with the end of a body.
	unseenCost = readAhead + MostHead/(fieldSize+4)*fieldCost
)

// HeadCost is the memory that a parsed head takes, in bytes.
func HeadCost(h http.Header) (n int64) { return headSum(h, fieldCost) }

// headSize is the size of a parsed head, by the measure of MostHead.
func headSize(h http.Header) int64 { return headSum(h, fieldSize) }

func headSum(h http.Header, field int) (n int64) {
	for name, values := range h {
		for _, v := range values {
			n += int64(len(name) + len(v) + field)
		}
	}
	return n
}

// HeadRoom bounds the memory of heads of requests, of all connections and listeners: those that are read, and those
// whose requests are open. It is safe for concurrent use; a nil one has no bound.
type HeadRoom struct {
	mu      sync.Mutex
	total   int64
	used    int64
	refused atomic.Int64
}

// NewHeadRoom returns a room of so many bytes.
func NewHeadRoom(total int64) *HeadRoom { return &HeadRoom{total: total} }

// Resize changes the bound. What is used stays used.
func (r *HeadRoom) Resize(total int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.total = total
}

// take takes room for a head that has cost so much already, and says whether there was any.
func (r *HeadRoom) take(n, already int64) bool {
	if r == nil {
		return true
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	most := r.total
	if already+n > costlyHead {
		most -= most / cheapPart
	}
	if r.used+n > most {
		r.refused.Add(1)
		return false
	}
	r.used += n
	return true
}

func (r *HeadRoom) give(n int64) {
	if r == nil || n == 0 {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.used -= n
}

// Used is how many bytes are used now.
func (r *HeadRoom) Used() int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.used
}

// Refused is how often a head has found no room.
func (r *HeadRoom) Refused() int64 { return r.refused.Load() }

// headMeter is what a connection over HTTP/1.1 holds of the room for a head that comes. What its request holds once the
// head is whole is the ticket's.
type headMeter struct {
	room *HeadRoom

	mu     sync.Mutex
	held   int64
	size   int64 // by the measure of MostHead
	line   int   // bytes of the line that has begun
	tail   int64 // cost of what has come behind the last end of a head
	next   int64 // cost of what may have come of the head that is next, and is not held
	inBody bool
	off    bool // the connection speaks another protocol
}

// headVerdict is what becomes of a head as it comes.
type headVerdict uint8

// Verdicts on a head.
const (
	headFits headVerdict = iota
	headTooLarge
	headNoRoom
)

// came takes in what has been read.
func (m *headMeter) came(b []byte) headVerdict {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.inBody || m.off {
		return headFits
	}
	part, lines, ended := m.scan(b)
	m.size += int64(len(part) + fieldSize*lines)
	if ended {
		behind := b[len(part):]
		m.tail = int64(len(behind) + fieldCost*bytes.Count(behind, newline))
	}
	return m.charge(int64(len(part)+fieldCost*lines), ended)
}

// charge charges a part of a head. The lock is held.
func (m *headMeter) charge(n int64, ended bool) headVerdict {
	if m.size > MostHead {
		return headTooLarge
	}
	if ended {
		m.size = 0
	}
	if !m.room.take(n, m.held) {
		return headNoRoom
	}
	m.held += n
	return headFits
}

var newline = []byte("\n")

// scan looks for the end of a head, its blank line. part is what belongs to the head, with so many lines.
func (m *headMeter) scan(b []byte) (part []byte, lines int, ended bool) {
	for at := 0; ; {
		n := bytes.IndexByte(b[at:], '\n')
		if n < 0 {
			m.line += len(b) - at
			return b, lines, false
		}
		length := m.line + n
		blank := length == 0 || length == 1 && (n == 0 || b[at] == '\r')
		m.line = 0
		lines++
		if at += n + 1; blank {
			return b[:at], lines, true
		}
	}
}

// resumes notes that the rest of a head is waited for whose beginning may have come behind another request.
func (m *headMeter) resumes() headVerdict {
	m.mu.Lock()
	defer m.mu.Unlock()
	n := m.next
	m.next = 0
	return m.charge(n, false)
}

// whole notes that a head has come whole. bodied says that a body follows.
func (m *headMeter) whole(bodied bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.inBody, m.next, m.size = bodied, m.tail, 0
	if bodied {
		m.next, m.line = 0, 0
	}
	m.room.give(m.held)
	m.held = 0
}

// bodied notes that a body has come to its end, if there was one.
func (m *headMeter) bodied() {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.inBody {
		m.inBody, m.next = false, unseenCost
	}
}

// rests notes that nothing of a head has come.
func (m *headMeter) rests() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.room.give(m.held)
	m.held, m.next, m.tail, m.line, m.size = 0, 0, 0, 0, 0
}

// leave notes that the connection speaks another protocol.
func (m *headMeter) leave() {
	m.rests()
	m.mu.Lock()
	defer m.mu.Unlock()
	m.off = true
}

const (
	// makeRoomTries is how many stalled heads are given up at most for one that finds no room.
	makeRoomTries = 16
	// makeRoomWait is how long the memory of one takes to come back.
	makeRoomWait = 2 * time.Millisecond
	// stalledHead is how long nothing may have come of a head whose room others need.
	stalledHead = 50 * time.Millisecond
)

// headComes takes in what has been read over HTTP/1.1, and says whether the connection goes on. One that may not has had
// its refusal.
func (c *Conn) headComes(b []byte) bool {
	verdict := c.meter.came(b)
	for tries := 0; verdict == headNoRoom && len(b) > 1 && tries < makeRoomTries && c.all.refuseStalledHead(c); tries++ {
		time.Sleep(makeRoomWait)
		verdict = c.meter.again(b)
	}
	if len(b) == 1 { // an http.Server looks whether a client has left
		return true
	}
	return c.headGoesOn(verdict)
}

// again charges once more what has found no room.
func (m *headMeter) again(b []byte) headVerdict {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.charge(int64(len(b)+fieldCost*bytes.Count(b, newline)), false)
}

// headGoesOn refuses a head that may not go on.
func (c *Conn) headGoesOn(v headVerdict) bool {
	if v == headFits {
		return true
	}
	why, text := RefusedForMemory, refusal
	if v == headTooLarge {
		why, text = RefusedHead, tooLarge
	}
	c.all.mu.Lock()
	mine := !c.closed
	if mine {
		c.condemn(why)
	}
	c.all.mu.Unlock()
	if mine {
		c.refuse(text)
	}
	c.lastRead()
	return false
}

// refuseStalledHead refuses the request whose head has stalled the longest, for the room that another needs, and says
// whether there was one.
func (l *Conns) refuseStalledHead(but *Conn) bool {
	now := time.Now()
	l.mu.Lock()
	c := l.oldest(halfway, now, stalledHead)
	if c == nil || c == but || c.giveUp != nil || c.handshakes() {
		l.mu.Unlock()
		return false
	}
	c.condemn(RefusedForMemory)
	l.mu.Unlock()
	c.refuse(refusal)
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		half.CloseWrite()
	}
	c.Conn.SetReadDeadline(time.Unix(1, 0)) // its server ends with it, and what it has read
	return true
}
