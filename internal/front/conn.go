package front

import (
	"container/list"
	"errors"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"frostshift/internal/chunked"
	"frostshift/internal/fairqueue"
	"frostshift/internal/socket"
	"frostshift/internal/stall"
)

// ErrCondemned is what a read of a connection ends with that has been given up: nothing
// that comes on it is taken any more. To an http.Server it is a connection that broke, which
// gets no answer.
var ErrCondemned error = &net.OpError{Op: "read", Net: "tcp", Err: errors.New("the connection has been given up")}

// The phases of a connection. It is quiet in the first five, and can be given up.
const (
	silent    = iota // nothing has come yet
	once             // answered a single time, and nothing has come since
	idle             // answered more often, and nothing has come since
	ending           // answered for good, kept for a moment so that the answer is read
	halfway          // a part of a head has come, and nothing since
	busy             // a request has come that has had no answer
	condemned        // given up or closed: nothing that comes is taken
)

// Conn is a client's connection. What is read from it and the choice to give it up exclude
// each other: bytes that come first make it busy, and then it is never chosen; bytes that
// come later are not read but answered with ErrCondemned, so that no request which crosses
// the close is ever taken, and its client may send it again (RFC 9112 section 9.3.1).
type Conn struct {
	net.Conn
	all      *Conns
	from     *Listener
	accepted time.Time
	raw      syscall.RawConn // nil: there is no socket to look at
	// Encrypted says that a protocol on top encrypts what is sent.
	Encrypted bool
	secure    net.Conn // ... and is this one
	// phase changes under the lock of all; it is read without it where nothing comes of
	// a quiet one's being seen late.
	phase atomic.Int32
	// readAfter is how long after accepted something of the client's was last read, in nanoseconds.
	readAfter atomic.Int64
	// queued says that the connection waited long to be accepted, and no look since has shown that its client is there.
	queued atomic.Bool

	// The rest belongs to that lock.
	since  time.Time
	at     *list.Element // in the list of its phase, nil while it is not quiet
	closed bool
	// closing says that its server or its client ends it, and not we to make room.
	closing bool
	reason  CloseReason // once it is closed
	reset   bool        // it ends with a reset
	body    bool        // a body is read that must come whole
	slow    bool        // it keeps its place up to Close, though it is condemned
	// refusal is closed once the refusal has gone out that another than its reader writes; nil: there is none.
	refusal chan struct{}
	expels  bool   // no further request is taken, and none is waited for
	asking  bool   // a request is open
	unread  bool   // ... a part of whose body may be unread
	many    bool   // it has rested before
	trial   bool   // it rests for the first time and is let be
	leave   func() // of a guard; nil: it has been called, or there is none
	giveUp  func() // how to end it in its protocol; nil: it is closed

	// Of an http.Server's reader. It says that a connection is idle before it has looked
	// whether it holds bytes of the next request already: so the connection rests from its
	// next wait for bytes on, unless the server has gone on to the next head before.
	answered  atomic.Bool // read without the lock by whoever reads
	deadlines int         // that it set since
	ahead     bool        // it has read a byte of the next request

	meter headMeter // of heads over HTTP/1.1
	// processor is what the client's requests use of it; nil: it is not shared out.
	processor *fairqueue.Peer
	turnWait  atomic.Int64 // nanoseconds, see TakeTurnWait

	// Of whoever reads, see Recorded:
	record   []byte
	recordMu sync.Mutex
	skips    bool
	chunks   *chunked.Counter // of the chunked body that comes; nil: there is none

	// What the client has done and been given, for the close:
	ended    atomic.Bool // it has ended its sending, or the connection broke
	reading  atomic.Bool // a Read is under way
	wrote    atomic.Bool
	given    atomic.Bool // the answer to the last request has been given, and nothing aborted it
	left     chan struct{}
	leftOnce sync.Once
	told     atomic.Bool // its close has been logged

	// Of whoever writes:
	corked bool
	held   []byte        // written while corked, and not gone out
	writer *stall.Writer // nil: writes end by their deadline
}

// rest puts the connection into a quiet phase; wake takes it out of one. The lock is held.
func (c *Conn) rest(phase int) {
	if phase == idle && !c.many {
		if c.many = true; c.all.again < 0.5 && rand.IntN(trialEvery) > 0 {
			phase = once
		} else {
			c.trial = true
		}
	}
	c.wake(phase)
	if c.closed {
		return
	}
	c.since = time.Now()
	c.at = c.all.quiet[phase].PushBack(c)
}

func (c *Conn) wake(to int) {
	if c.at != nil {
		from := int(c.phase.Load())
		if c.trial {
			c.trial = false
			switch aged := time.Since(c.since) >= onceAfter; {
			case (to == halfway || to == busy) && aged:
				c.all.again += trialWeight * (1 - c.all.again)
			case to == condemned && aged && !c.closing:
				c.all.again -= trialWeight * c.all.again
			}
		}
		c.all.quiet[from].Remove(c.at)
		c.at = nil
	}
	if !c.closed {
		c.phase.Store(int32(to))
	}
}

// condemn gives the connection up; end then ends it, without the lock. The lock is held.
func (c *Conn) condemn(why CloseReason) {
	c.wake(condemned)
	if !c.closed {
		c.closed, c.reason = true, why
		c.processor.Leave()
		c.all.open--
		delete(c.from.conns, c)
		if c.leave != nil {
			c.leave()
			c.leave = nil
		}
	}
}

// endSoftly ends a connection that has been condemned, in two steps: its reader waits for the
// client's own close, and for whatever crosses ours, before it closes as well.
func (c *Conn) endSoftly() {
	half, ok := c.Conn.(interface{ CloseWrite() error })
	if c.giveUp != nil || !ok || half.CloseWrite() != nil {
		c.end()
		return
	}
	c.Conn.SetReadDeadline(time.Now().Add(leaveWithin))
}

// lastRead waits for the client to see the end of a connection that is given up, and takes in
// what crosses it: a close above what is unread would be a reset, which an answer that is on its
// way does not survive.
func (c *Conn) lastRead() {
	half, ok := c.Conn.(interface{ CloseWrite() error })
	if !ok || half.CloseWrite() != nil {
		return
	}
	c.drain()
}

// readToItsEnd is lastRead behind the refusal that the client may be owed, unless Close sees to that: its server holds on to
// what it has read meanwhile.
func (c *Conn) readToItsEnd() {
	c.awaitRefusal()
	c.all.mu.Lock()
	slow := c.slow
	c.all.mu.Unlock()
	if !slow {
		c.lastRead()
	}
}

func (c *Conn) end() {
	if c.giveUp != nil {
		c.giveUp()
		return
	}
	c.Conn.Close()
}

// Read reads what the client sends, unless the connection has been given up.
func (c *Conn) Read(b []byte) (int, error) {
	if c.phase.Load() != busy || c.answered.Load() {
		if err := c.beforeRead(); err != nil {
			if errors.Is(err, errExpelled) {
				c.refuse(refusal, refusalWithin)
			}
			c.readToItsEnd()
			return 0, ErrCondemned
		}
		if c.phase.Load() == halfway && !c.headGoesOn(c.meter.resumes()) {
			return 0, ErrCondemned
		}
	}
	n, err := c.read(b)
	if n > 0 && len(b) > 1 { // the single byte that an http.Server reads ahead while it answers is not worked at
		defer c.Work() // the bytes are noted as taken before
	}
	c.saw(err)
	if n > 0 {
		c.readAfter.Store(int64(time.Since(c.accepted)))
	}
	if n > 0 && c.phase.Load() != busy && !c.took() {
		c.readToItsEnd()
		return 0, ErrCondemned
	}
	if n > 0 && len(b) == 1 {
		c.lookedAhead()
	}
	if !c.Encrypted {
		c.note(b[:n])
	}
	if n > 0 && !c.from.Secure && !c.headComes(b[:n]) {
		return 0, ErrCondemned
	}
	return n, err
}

// read reads from the connection. A turn goes on where there is something to read.
func (c *Conn) read(b []byte) (int, error) {
	c.reading.Store(true)
	defer c.reading.Store(false)
	if len(b) > 1 && !(c.processor.Holds() && c.Unread() > 0) {
		c.processor.Wait()
	}
	return c.Conn.Read(b)
}

// Processor is what the client uses of it; nil: nobody counts.
func (c *Conn) Processor() *fairqueue.Peer {
	if c == nil {
		return nil
	}
	return c.processor
}

// Work says that the client's next message is worked at from here on. It waits for a turn where the client has used
// more than its part.
func (c *Conn) Work() {
	if c != nil {
		c.turnWait.Add(int64(c.processor.Work()))
	}
}

// TakeTurnWait returns how long the client's connection has waited for turns since the last call: the request that is
// taken has that much less time left.
func (c *Conn) TakeTurnWait() time.Duration {
	if c == nil {
		return 0
	}
	return time.Duration(c.turnWait.Swap(0))
}

// Await waits until the client has sent something, or has gone, and says whether there is
// anything to serve. Until then the connection costs no buffer and no server.
func (c *Conn) Await(within time.Duration) bool {
	if c.raw == nil {
		return true // whoever reads finds out
	}
	c.Conn.SetReadDeadline(time.Now().Add(within))
	var n int
	var seen error
	if err := c.raw.Read(func(fd uintptr) bool {
		n, seen = socket.Peek(fd)
		return !errors.Is(seen, syscall.EAGAIN)
	}); err != nil {
		return false
	}
	if n == 0 && !errors.Is(seen, socket.ErrNotSeen) { // else whoever reads finds out
		return false
	}
	c.Conn.SetReadDeadline(time.Time{})
	if c.took() {
		return true
	}
	c.readToItsEnd()
	return false
}

// AwaitWrite waits until the client's side has room for a part of an answer, within the deadline
// of writes. Until then whoever writes need hold no buffer; its errors are Write's to tell.
//
// False: the client has taken nothing for as long as it may, see WriteIdle.
func (c *Conn) AwaitWrite() bool {
	ready := func(fd uintptr) bool {
		events, err := socket.Poll(fd, unix.POLLOUT)
		return events != 0 || err != nil
	}
	switch {
	case c.writer != nil:
		return c.writer.Await(ready)
	case c.raw != nil:
		c.raw.Write(ready)
	}
	return true
}

// WriteIdle has writes go on from here on for as long as the client takes something in, and end where it has taken nothing
// for idle, whatever their deadline; 0: they end by their deadline.
func (c *Conn) WriteIdle(idle time.Duration) {
	if c.writer = nil; idle > 0 {
		c.writer = stall.NewWriter(c.Conn, c.raw, idle)
	}
}

// writeOut writes to the client's connection.
func (c *Conn) writeOut(b []byte) (int, error) {
	if c.writer != nil {
		return c.writer.Write(b, nil)
	}
	return c.Conn.Write(b)
}

// beforeRead makes a connection idle that has had its answer and holds nothing more, or
// gives it up at that point if the listener leaves. One that has been expelled and waits for the
// rest of a head is given up with errExpelled, and is still to be refused.
func (c *Conn) beforeRead() error {
	c.all.mu.Lock()
	defer c.all.mu.Unlock()
	if c.answered.Load() {
		c.answered.Store(false)
		switch {
		case c.phase.Load() != busy:
		case c.ahead || c.deadlines > 1:
			c.rest(halfway) // the server waits for the rest of the next head
		case c.from.leaving.Load():
			c.condemn(ClosedForDrain) // its server closes it on the error
		default:
			c.rest(idle)
			c.meter.rests()
		}
	}
	switch {
	case c.giveUp != nil:
	case c.phase.Load() == condemned:
		return ErrCondemned
	case c.phase.Load() == halfway && c.expels && !c.handshakes():
		c.condemn(RefusedByStop)
		return errExpelled
	}
	return nil
}

// took notes that something has come and says whether it may be taken.
func (c *Conn) took() bool {
	c.all.mu.Lock()
	defer c.all.mu.Unlock()
	if c.giveUp != nil { // frames are read to the end, what they open is taken with Active
		return true
	}
	switch {
	case c.closed:
		return false
	case c.phase.Load() != ending:
		c.rest(halfway)
	}
	return true
}

// mostHeld is how much of an answer waits for the rest of it: what an http.Server writes
// ahead of a long body.
const mostHeld = 4 << 10

// Cork holds the first bytes of an answer back until more follow or Uncork is called, so that
// head and body go out with one write: a second one costs as much as all else about an answer.
func (c *Conn) Cork() { c.corked = true }

// Uncork writes what is held back.
func (c *Conn) Uncork() error {
	c.corked = false
	if len(c.held) == 0 {
		return nil
	}
	_, err := c.writeOut(c.held)
	c.held = c.held[:0]
	return err
}

// Write writes to the client, or holds back what comes first while corked.
func (c *Conn) Write(b []byte) (int, error) {
	c.wrote.Store(true)
	if c.corked && len(c.held)+len(b) <= mostHeld {
		c.held = append(c.held, b...)
		return len(b), nil
	}
	if len(c.held) == 0 {
		return c.writeOut(b)
	}
	parts := net.Buffers{c.held, b}
	n, err := parts.WriteTo(c.Conn)
	before := len(c.held)
	c.held = c.held[:0]
	return max(0, int(n)-before), err
}

// SetReadDeadline sets when reads end.
func (c *Conn) SetReadDeadline(t time.Time) error {
	c.all.mu.Lock()
	defer c.all.mu.Unlock()
	c.deadlines++
	if c.expels && c.body {
		return nil
	}
	return c.Conn.SetReadDeadline(t)
}

// Close ends the connection, behind the refusal that the client may be owed.
func (c *Conn) Close() error {
	c.awaitRefusal()
	c.all.mu.Lock()
	c.closing = true
	linger, slow := c.lingers(), c.slow
	c.slow = false
	if linger && !slow {
		c.all.lingering++
	}
	c.condemn(c.reasonOfClose())
	c.all.mu.Unlock()
	c.logClose()
	c.all.hangups.remove(c)
	c.meter.rests()
	if linger {
		return c.linger()
	}
	err := c.Conn.Close()
	if slow {
		c.all.lingered()
	}
	return err
}

// CloseWrite ends the answer; the server then waits for the client to have read it.
func (c *Conn) CloseWrite() error { return c.closeWrite(c.Conn) }

func (c *Conn) closeWrite(over net.Conn) error {
	c.all.mu.Lock()
	c.answered.Store(false)
	c.rest(ending)
	c.all.mu.Unlock()
	if half, ok := over.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

// Frames says that the connection speaks a protocol in which a client can be told what has
// been taken: from then on it is busy from Active to Idle, not from byte to answer, and
// giveUp ends it, at once and without waiting, where it is given up.
func (c *Conn) Frames(giveUp func()) {
	c.all.mu.Lock()
	defer c.all.mu.Unlock()
	c.giveUp = giveUp
	c.meter.leave()
	if p := c.phase.Load(); p == busy || p == halfway { // its first bytes came with a handshake
		c.rest(silent)
	}
}

// Switched notes that the connection has switched protocols: what comes from here on is no head of a request.
func (c *Conn) Switched() { c.meter.leave() }

// Active notes that a request is open on the connection, and says whether it may be taken.
func (c *Conn) Active() bool {
	c.all.mu.Lock()
	defer c.all.mu.Unlock()
	c.wake(busy)
	return !c.closed
}

// Idle notes that no request is open on the connection.
func (c *Conn) Idle() {
	c.all.mu.Lock()
	defer c.all.mu.Unlock()
	c.rest(idle)
}

// Stays says whether the connection is kept beyond the answer that is next. It is not where
// the listener leaves, or where connections that ask are nearly as many as there may be:
// silent ones make room by themselves.
func (c *Conn) Stays() bool {
	c.all.mu.Lock()
	defer c.all.mu.Unlock()
	_, asked := c.all.counts()
	return !c.from.leaving.Load() && asked < int(politeAt*float64(c.all.most))
}

// Taken says whether a request whose head is whole may be taken: its connection has not been
// given up while the head came.
func (c *Conn) Taken() bool {
	c.all.mu.Lock()
	defer c.all.mu.Unlock()
	return !c.closed
}

// Of is the connection of all behind one that a front serves; nil: it is none.
func Of(nc net.Conn) *Conn {
	switch c := nc.(type) {
	case *Conn:
		return c
	case *Secure:
		return c.Under
	}
	return nil
}

// NewSecure is a connection whose handshake with a client is done.
func NewSecure(over net.Conn, under *Conn) *Secure {
	under.all.mu.Lock()
	under.Encrypted, under.secure = true, over
	under.all.mu.Unlock()
	under.Record() // what came so far was the handshake
	return &Secure{Conn: over, Under: under}
}

// Secure is a connection of all with a protocol that encrypts it on top.
type Secure struct {
	net.Conn
	Under *Conn
}

// Read reads what the client sends.
func (s *Secure) Read(b []byte) (int, error) {
	n, err := s.Conn.Read(b)
	if n > 0 && len(b) == 1 {
		s.Under.lookedAhead()
	}
	s.Under.note(b[:n])
	if n > 0 && !s.Under.headComes(b[:n]) {
		return 0, ErrCondemned
	}
	return n, err
}

// Close ends the connection, behind the refusal that the client may be owed.
func (s *Secure) Close() error {
	s.Under.awaitRefusal()
	return s.Conn.Close()
}

// CloseWrite ends the answer.
func (s *Secure) CloseWrite() error { return s.Under.closeWrite(s.Conn) }
