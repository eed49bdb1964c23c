package front

import (
	"bytes"
	"container/list"
	"errors"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// quietFirst is how long a new connection may say nothing before it is closed ahead
	// of idle ones, where descriptors are short.
	quietFirst = 200 * time.Millisecond
	// stalledAfter is how long nothing may have come of a head that has begun: slow clients
	// pause for less.
	stalledAfter = time.Second
	fullWait     = 5 * time.Millisecond // between looks for a descriptor, where there is none
	// SpareAfter is how long a connection has been idle for before it is taken for one that
	// its client does without. Closing those that are in use makes their clients connect
	// anew, which would close others in use, without end.
	SpareAfter = 2 * time.Second
	// onceAfter is the same for one that has asked a single time: some clients ask once and
	// stay for good, and those that hold several come back to them sooner.
	onceAfter = 100 * time.Millisecond
	// One in trialEvery of those is let be as if it had asked more often. Where most of these
	// trials are used again, clients do come back, later than onceAfter, and all are let be:
	// else each would be closed before its second request, come anew, and close another.
	trialEvery  = 32
	trialWeight = 0.2 // of one in the share that is used again
	// politeAt is the part of all connections from which on, where so many ask, answers end
	// theirs: a client that is told so loses nothing.
	politeAt = 7.0 / 8
)

// ErrCondemned is what a read of a connection ends with that has been given up: nothing
// that comes on it is taken any more. To an http.Server it is a connection that broke, which
// gets no answer.
var ErrCondemned error = &net.OpError{Op: "read", Net: "tcp", Err: errors.New("the connection has been given up")}

// Conns bounds the connections that clients hold, over all listeners and apart from the
// requests that come over them: silent and idle ones cost a descriptor each and make room
// when all are in use, those that ask are never closed for others.
//
// It is the one place where a client's connection is given up while it may be in use, and
// it holds that against what is read: see Conn.
type Conns struct {
	most int // connections; one more makes room first
	// room is for connections that have asked something. Clients hold a share of the
	// descriptors at most: where those that ask once and stay fill it, the others find no
	// connection left, so the ones that are spare go well before that.
	room  int
	spare time.Duration // see SpareAfter

	keepHeads atomic.Bool

	mu    sync.Mutex
	open  int
	quiet [5]list.List // by phase: silent, once, idle, ending, halfway; the longest first
	idle  []*Conn      // those of quiet[idle], in no order
	again float64      // share of trials that were used again, of late
}

// NewConns allows most connections, and room for those that have asked something; one that
// has been idle for longer than spare is held to be of no use to its client.
func NewConns(most, room int, spare time.Duration) *Conns {
	return &Conns{most: most, room: room, spare: spare}
}

// Bound changes how many connections are allowed, and how many of those that have asked. Spare
// ones beyond it go at once, others as new ones come.
func (l *Conns) Bound(most, room int) {
	l.mu.Lock()
	l.most, l.room = most, room
	l.mu.Unlock()
	for l.crowded() && l.shedSpare() {
	}
}

// Counts are the connections that are open, and those of them that have asked something
// and are not at their end.
func (l *Conns) Counts() (open, asked int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.counts()
}

// Busy is how many connections have something open that has been read, in whole or in part.
func (l *Conns) Busy() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := l.open
	for i := range l.quiet {
		if i != halfway {
			n -= l.quiet[i].Len()
		}
	}
	return n
}

func (l *Conns) counts() (open, asked int) {
	return l.open, l.open - l.quiet[silent].Len() - l.quiet[ending].Len()
}

// Listener takes clients' connections within the bounds of all.
type Listener struct {
	net.Listener
	all     *Conns
	leaving atomic.Bool
	guard   atomic.Pointer[Guard]

	mu     sync.Mutex
	paused chan struct{} // closed: connections are accepted again; nil: they are
	closed chan struct{}
}

// Guard says whether a connection from an address is let in, and has leave called once it has
// ended.
type Guard func(remote net.Addr) (leave func(), ok bool)

// Guard has connections that come from now on let in by a guard; nil: all are.
func (ln *Listener) Guard(g Guard) {
	if g == nil {
		ln.guard.Store(nil)
		return
	}
	ln.guard.Store(&g)
}

// Listen makes a listener's connections count among all. What it accepts is a *Conn.
func (l *Conns) Listen(ln net.Listener) *Listener {
	return &Listener{Listener: ln, all: l, closed: make(chan struct{})}
}

// Pause has nothing accepted, or takes that back: a listening socket that other processes hold
// as well keeps what comes meanwhile for them.
func (ln *Listener) Pause(on bool) {
	ln.mu.Lock()
	defer ln.mu.Unlock()
	due, ok := ln.Listener.(interface{ SetDeadline(time.Time) error })
	switch {
	case !ok:
	case on && ln.paused == nil:
		ln.paused = make(chan struct{})
		due.SetDeadline(time.Unix(1, 0)) // ends an Accept that waits
	case !on && ln.paused != nil:
		due.SetDeadline(time.Time{})
		close(ln.paused)
		ln.paused = nil
	}
}

// resumed waits while nothing is to be accepted.
func (ln *Listener) resumed() {
	ln.mu.Lock()
	paused := ln.paused
	ln.mu.Unlock()
	if paused != nil {
		select {
		case <-paused:
		case <-ln.closed:
		}
	}
}

// Close ends the listening.
func (ln *Listener) Close() error {
	ln.mu.Lock()
	defer ln.mu.Unlock()
	select {
	case <-ln.closed:
	default:
		close(ln.closed)
	}
	return ln.Listener.Close()
}

// End has each connection over HTTP/1.1 end with its next answer, or takes that back.
func (ln *Listener) End(on bool) { ln.leaving.Store(on) }

// Leave gives up the connections over HTTP/1.1 on which no request is open, and each other
// one once its request has its answer. Connections that have said nothing yet may ask once.
func (ln *Listener) Leave() {
	ln.End(true)
	ln.GiveUp(ln.Idle(), false, 0)
}

// Idle is how many connections over HTTP/1.1 have had an answer and hold no request.
func (ln *Listener) Idle() (n int) {
	ln.all.mu.Lock()
	defer ln.all.mu.Unlock()
	ln.quiet(func(*Conn) bool { n++; return true }, once, idle)
	return n
}

// quiet calls f with the connections over HTTP/1.1 that are in one of the phases, those that
// have been for the longest first, until it says no. The lock is held.
func (ln *Listener) quiet(f func(*Conn) bool, phases ...int) {
	for _, phase := range phases {
		for e := ln.all.quiet[phase].Front(); e != nil; e = e.Next() {
			if c := e.Value.(*Conn); c.from == ln && c.giveUp == nil && !f(c) {
				break
			}
		}
	}
}

// GiveUp gives up so many of the idle connections, those first that have asked once, and with
// silent those that have said nothing for so long. What crosses the close is not answered with
// a reset: the client sees the end, and may send again.
func (ln *Listener) GiveUp(most int, silently bool, silentFor time.Duration) {
	now := time.Now()
	var given []*Conn
	ln.all.mu.Lock()
	ln.quiet(func(c *Conn) bool {
		if len(given) < most {
			given = append(given, c)
		}
		return len(given) < most
	}, once, idle)
	if silently {
		ln.quiet(func(c *Conn) bool {
			old := now.Sub(c.since) >= silentFor
			if old {
				given = append(given, c)
			}
			return old
		}, silent)
	}
	for _, c := range given {
		c.condemn()
	}
	ln.all.mu.Unlock()
	for _, c := range given {
		c.endSoftly()
	}
}

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
	all  *Conns
	from *Listener
	// Encrypted says that a protocol on top encrypts what is sent; set before it is served.
	Encrypted bool
	// phase changes under the lock of all; it is read without it where nothing comes of
	// a quiet one's being seen late.
	phase atomic.Int32

	// The rest belongs to that lock.
	since  time.Time
	at     *list.Element // in the list of its phase, nil while it is not quiet
	place  int           // in all.idle
	closed bool
	// closing says that its server or its client ends it, and not we to make room.
	closing bool
	many    bool   // it has rested before
	trial   bool   // it rests for the first time and is let be
	leave   func() // of a guard; nil: it has been called, or there is none
	giveUp  func() // how to end it in its protocol; nil: it is closed

	// Of an http.Server's reader. It says that a connection is idle before it has looked
	// whether it holds bytes of the next request already: so the connection rests from its
	// next wait for bytes on, unless the server has gone on to the next head before.
	answered  bool
	deadlines int  // that it set since
	ahead     bool // it has read a byte of the next request

	// Of whoever reads, see Recorded:
	record   []byte
	recordMu sync.Mutex
	skips    bool

	// Of whoever writes:
	corked bool
	held   []byte // written while corked, and not gone out
}

// Accept takes the next connection. It survives running out of descriptors.
func (ln *Listener) Accept() (net.Conn, error) {
	l := ln.all
	for {
		ln.resumed()
		c, err := ln.Listener.Accept()
		if errors.Is(err, os.ErrDeadlineExceeded) { // paused meanwhile
			continue
		}
		if errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE) {
			if !l.shed() {
				time.Sleep(fullWait)
			}
			continue
		}
		if err != nil {
			return nil, err
		}
		var leave func()
		if guard := ln.guard.Load(); guard != nil {
			ok := false
			if leave, ok = (*guard)(c.RemoteAddr()); !ok {
				c.Close() // before anybody else's is given up for it
				continue
			}
		}
		for l.crowded() && l.shed() {
		}
		for l.full() && l.shedSpare() {
		}
		cc := &Conn{Conn: c, all: l, from: ln, leave: leave}
		l.mu.Lock()
		l.open++
		cc.rest(silent)
		l.mu.Unlock()
		return cc, nil
	}
}

// crowded says whether clients hold as many connections as they may.
func (l *Conns) crowded() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.open >= l.most
}

// full says whether those that have asked something hold as many as they should.
func (l *Conns) full() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	_, asked := l.counts()
	return asked >= l.room
}

// shed gives up the connection that is missed least, and says whether there was one: the
// ones at their end first, silent ones that are not new, those that stopped within a head, those that have asked once, those
// idle for so long that their clients do without them. Among idle ones that are in use any is as good as another, and
// chance does better than their age: the one idle the longest is the next in use where
// clients take theirs in turn. A new one that is closed loses the request that may be on its way.
func (l *Conns) shed() bool {
	now := time.Now()
	l.mu.Lock()
	c := l.oldest(ending, now, 0)
	if c == nil {
		c = l.oldest(silent, now, quietFirst)
	}
	if c == nil {
		c = l.oldest(halfway, now, stalledAfter)
	}
	if c == nil {
		c = l.oldest(once, now, min(onceAfter, l.spare))
	}
	if c == nil {
		c = l.oldest(idle, now, l.spare)
	}
	if c == nil {
		c = l.oldest(once, now, 0)
	}
	if c == nil && len(l.idle) > 0 {
		c = l.idle[rand.IntN(len(l.idle))]
	}
	if c == nil {
		c = l.oldest(silent, now, 0)
	}
	return l.drop(c)
}

// shedSpare gives up the connection idle the longest if its client does without it.
func (l *Conns) shedSpare() bool {
	now := time.Now()
	l.mu.Lock()
	c := l.oldest(once, now, min(onceAfter, l.spare))
	if c == nil {
		c = l.oldest(idle, now, l.spare)
	}
	return l.drop(c)
}

// drop gives up a connection, if there is one, and lets go of the lock.
func (l *Conns) drop(c *Conn) bool {
	if c != nil {
		c.condemn()
	}
	l.mu.Unlock()
	if c != nil {
		c.end()
	}
	return c != nil
}

// oldest is the connection that has been in a phase the longest, if for so long.
func (l *Conns) oldest(phase int, now time.Time, age time.Duration) *Conn {
	if e := l.quiet[phase].Front(); e != nil && now.Sub(e.Value.(*Conn).since) >= age {
		return e.Value.(*Conn)
	}
	return nil
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
	if phase == idle {
		c.place = len(c.all.idle)
		c.all.idle = append(c.all.idle, c)
	}
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
		if from == idle {
			last := len(c.all.idle) - 1
			c.all.idle[c.place] = c.all.idle[last]
			c.all.idle[c.place].place = c.place
			c.all.idle = slices.Delete(c.all.idle, last, last+1)
		}
	}
	if !c.closed {
		c.phase.Store(int32(to))
	}
}

// condemn gives the connection up; end then ends it, without the lock. The lock is held.
func (c *Conn) condemn() {
	c.wake(condemned)
	if !c.closed {
		c.closed = true
		c.all.open--
		if c.leave != nil {
			c.leave()
			c.leave = nil
		}
	}
}

// leaveWithin is how long a client may take to see the end of a connection that is given up.
const leaveWithin = 500 * time.Millisecond

// mostCrossed is how many bytes are taken in of what crosses a close.
const mostCrossed = 64 << 10

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
	c.Conn.SetReadDeadline(time.Now().Add(leaveWithin))
	var crossed [1 << 10]byte
	for range mostCrossed / len(crossed) {
		if n, err := c.Conn.Read(crossed[:]); n == 0 || err != nil {
			return
		}
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
	if c.phase.Load() != busy || c.answered {
		if err := c.beforeRead(); err != nil {
			c.lastRead()
			return 0, err
		}
	}
	n, err := c.Conn.Read(b)
	if n > 0 && c.phase.Load() != busy && !c.took() {
		c.lastRead()
		return 0, ErrCondemned
	}
	if n > 0 && len(b) == 1 {
		c.lookedAhead()
	}
	if !c.Encrypted {
		c.note(b[:n])
	}
	return n, err
}

// Await waits until the client has sent something, or has gone, and says whether there is
// anything to serve. Until then the connection costs no buffer and no server.
func (c *Conn) Await(within time.Duration) bool {
	raw := syscall.RawConn(nil)
	if s, ok := c.Conn.(syscall.Conn); ok {
		raw, _ = s.SyscallConn()
	}
	if raw == nil {
		return true // whoever reads finds out
	}
	c.Conn.SetReadDeadline(time.Now().Add(within))
	var one [1]byte
	var n int
	if err := raw.Read(func(fd uintptr) bool {
		var err error
		n, _, err = syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		return !errors.Is(err, syscall.EAGAIN) && !errors.Is(err, syscall.EINTR)
	}); err != nil || n <= 0 {
		return false
	}
	c.Conn.SetReadDeadline(time.Time{})
	if c.took() {
		return true
	}
	c.lastRead()
	return false
}

// AwaitWrite waits until the client's side has room for a part of an answer, within the deadline
// of writes. Until then whoever writes need hold no buffer; its errors are Write's to tell.
func (c *Conn) AwaitWrite() {
	s, ok := c.Conn.(syscall.Conn)
	if !ok {
		return
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return
	}
	raw.Write(func(fd uintptr) bool {
		at := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLOUT}}
		n, err := unix.Poll(at, 0)
		return n > 0 || err != nil && !errors.Is(err, unix.EINTR)
	})
}

// mostRecorded is how much of what comes is kept for Recorded: a head, at the most.
const mostRecorded = 16 << 10

// note keeps what has come.
func (c *Conn) note(b []byte) {
	if !c.all.keepHeads.Load() {
		return
	}
	c.recordMu.Lock()
	defer c.recordMu.Unlock()
	if !c.skips && len(c.record) < mostRecorded {
		c.record = append(c.record, b[:min(len(b), mostRecorded-len(c.record))]...)
	}
}

// KeepHeads says whether heads are kept for Recorded: they need be where a route takes bodies
// of no told length.
func (l *Conns) KeepHeads(on bool) { l.keepHeads.Store(on) }

// Recorded is the head of the request that has been read last, as it came, up to its blank
// line: an http.Server drops a Content-Length that stands beside Transfer-Encoding, and with
// it the sign of a request that two servers would end at different places. ok is false where
// it is not known: its beginning came with bytes of an earlier body. A body follows, and
// nothing is kept until Record.
func (c *Conn) Recorded() (head []byte, ok bool) {
	c.recordMu.Lock()
	defer c.recordMu.Unlock()
	c.skips = true
	end := bytes.Index(c.record, blankLine)
	if end < 0 {
		return nil, false
	}
	return c.record[:end+2], true
}

// Headed notes that a head has been read whose bytes nobody asks for; with a body behind it
// nothing is kept until Record.
func (c *Conn) Headed(bodied bool) {
	if !c.all.keepHeads.Load() {
		return
	}
	c.recordMu.Lock()
	defer c.recordMu.Unlock()
	c.skips = bodied
	n := len(c.record)
	if end := bytes.Index(c.record, blankLine); end >= 0 {
		n = end + len(blankLine)
	}
	c.record = c.record[:copy(c.record, c.record[n:])]
}

// Record begins to keep what comes: the head of the next request.
func (c *Conn) Record() {
	if !c.all.keepHeads.Load() {
		return
	}
	c.recordMu.Lock()
	defer c.recordMu.Unlock()
	c.record, c.skips = c.record[:0], false
}

var blankLine = []byte("\r\n\r\n")

// lookedAhead notes that an http.Server, which looks out for a client that leaves by
// reading a single byte, has found one of the next request.
func (c *Conn) lookedAhead() {
	c.all.mu.Lock()
	c.ahead = true
	c.all.mu.Unlock()
}

// beforeRead makes a connection idle that has had its answer and holds nothing more, or
// gives it up at that point if the listener leaves.
func (c *Conn) beforeRead() error {
	c.all.mu.Lock()
	defer c.all.mu.Unlock()
	if c.answered {
		c.answered = false
		switch {
		case c.ahead || c.deadlines > 1 || c.phase.Load() != busy:
		case c.from.leaving.Load():
			c.condemn() // its server closes it on the error
		default:
			c.rest(idle)
		}
	}
	if c.phase.Load() == condemned && c.giveUp == nil {
		return ErrCondemned
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
	_, err := c.Conn.Write(c.held)
	c.held = c.held[:0]
	return err
}

// Write writes to the client, or holds back what comes first while corked.
func (c *Conn) Write(b []byte) (int, error) {
	if c.corked && len(c.held)+len(b) <= mostHeld {
		c.held = append(c.held, b...)
		return len(b), nil
	}
	if len(c.held) == 0 {
		return c.Conn.Write(b)
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
	c.deadlines++
	c.all.mu.Unlock()
	return c.Conn.SetReadDeadline(t)
}

// Close ends the connection.
func (c *Conn) Close() error {
	c.all.mu.Lock()
	c.closing = true
	c.condemn()
	c.all.mu.Unlock()
	return c.Conn.Close()
}

// CloseWrite ends the answer; the server then waits for the client to have read it.
func (c *Conn) CloseWrite() error { return c.closeWrite(c.Conn) }

func (c *Conn) closeWrite(over net.Conn) error {
	c.all.mu.Lock()
	c.answered = false
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
	if p := c.phase.Load(); p == busy || p == halfway { // its first bytes came with a handshake
		c.rest(silent)
	}
}

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

// State is the hook of an http.Server.
func (l *Conns) State(nc net.Conn, s http.ConnState) {
	c := Of(nc)
	if c == nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	switch s {
	case http.StateActive:
		c.wake(busy)
		c.answered, c.ahead = false, false
	case http.StateIdle:
		c.answered, c.deadlines = true, 0
	}
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
	return n, err
}

// CloseWrite ends the answer.
func (s *Secure) CloseWrite() error { return s.Under.closeWrite(s.Conn) }
