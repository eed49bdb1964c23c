package front

import (
	"sync"
	"sync/atomic"
	"time"

	"frostshift/internal/headcost"
)

const (
	// costlyHead is the cost of a head from which on it may not use the last part of the room.
	costlyHead = 16 << 10
	// cheapPart is one part in so many of the room that is for heads that cost less.
	cheapPart = 4
	// readAhead is how much an http.Server reads ahead of what it serves.
	readAhead = 4 << 10
	// unseenCost is the most that a part of a head costs which came with the end of a body.
	unseenCost = readAhead + headcost.MostFields*headcost.Field
)

// HeadRoom bounds the memory of heads of requests, of all connections and listeners: those that are read, and those
// whose requests are open. It is safe for concurrent use; a nil one has no bound.
type HeadRoom struct {
	mu      sync.Mutex
	total   int64
	used    int64
	refused atomic.Int64
	refuse  func() bool // see Refuse; nil: nothing is refused that is there
}

// NewHeadRoom returns a room of so many bytes.
func NewHeadRoom(total int64) *HeadRoom { return &HeadRoom{total: total} }

// Resize changes the bound. What is used stays used.
func (r *HeadRoom) Resize(total int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.total = total
}

// Refuse has f say of each head whether it is refused although there is room: a fault for tests. nil ends that.
func (r *HeadRoom) Refuse(f func() bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.refuse = f
}

// take takes room for a head that has cost so much already, and says whether there was any.
func (r *HeadRoom) take(n, already int64) bool {
	if r == nil || n == 0 {
		return true
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	most := r.total
	if already+n > costlyHead {
		most -= most / cheapPart
	}
	if r.used+n > most || r.refuse != nil && r.refuse() {
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

// Total is the bound, in bytes.
func (r *HeadRoom) Total() int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.total
}

// Refused is how often a head has found no room.
func (r *HeadRoom) Refused() int64 { return r.refused.Load() }

// headMeter is what a connection over HTTP/1.1 holds of the room for a head that comes. What its request holds once the
// head is whole is the ticket's.
type headMeter struct {
	room *HeadRoom

	mu     sync.Mutex
	held   int64
	head   headcost.Scanner
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
	part, cost, ended := m.head.Scan(b)
	if ended {
		m.tail = headcost.Text(b[len(part):])
	}
	return m.charge(cost, ended)
}

// charge charges a part of a head. The lock is held.
func (m *headMeter) charge(n int64, ended bool) headVerdict {
	if m.head.Size() > headcost.Most {
		return headTooLarge
	}
	if ended {
		m.head.Next()
	}
	if !m.room.take(n, m.held) {
		return headNoRoom
	}
	m.held += n
	return headFits
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
	m.inBody, m.next = bodied, m.tail
	if bodied {
		m.next = 0
		m.head.Next()
	}
	m.room.give(m.held)
	m.held = 0
}

// bodied notes that a body has come to its end, if there was one.
func (m *headMeter) bodied() {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.inBody {
		m.inBody, m.next = false, int64(unseenCost)
	}
}

// rests notes that nothing of a head has come.
func (m *headMeter) rests() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.room.give(m.held)
	m.held, m.next, m.tail = 0, 0, 0
	m.head.Next()
}

// leave notes that the connection speaks another protocol.
func (m *headMeter) leave() {
	m.rests()
	m.mu.Lock()
	defer m.mu.Unlock()
	m.off = true
}

const (
	// makeRoomTries is how often a head that finds no room is tried again, each time behind a stalled one that is refused
	// for it, if there is any left.
	makeRoomTries = 16
	// makeRoomWait is how long the memory of a refused one takes to come back, mostly.
	makeRoomWait = 2 * time.Millisecond
	// stalledHead is how long nothing may have come of a head whose room others need.
	stalledHead = 50 * time.Millisecond
)

// headComes takes in what has been read over HTTP/1.1, and says whether the connection goes on. One that may not has had
// its refusal.
func (c *Conn) headComes(b []byte) bool {
	verdict := c.meter.came(b)
	for tries, gave := 0, false; verdict == headNoRoom && len(b) > 1 && tries < makeRoomTries; tries++ {
		if gave = c.all.refuseStalledHead(c) || gave; !gave {
			break
		}
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
	return m.charge(headcost.Text(b), false)
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
		c.endsSlowly()
	}
	c.all.mu.Unlock()
	if mine {
		c.refuse(text, headRefusalWithin)
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
	c.condemnToRefusal(RefusedForMemory)
	c.endsSlowly()
	l.mu.Unlock()
	defer close(c.refusal)
	c.refuse(refusal, headRefusalWithin)
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		half.CloseWrite()
	}
	c.Conn.SetReadDeadline(time.Unix(1, 0)) // its server ends with it, and what it has read
	return true
}
