package front

import (
	"container/list"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"frostshift/internal/eventlog"
	"frostshift/internal/shortage"
)

const (
	// quietFirst is how long a new connection may say nothing before it is closed ahead
	// of idle ones, where descriptors are short.
	quietFirst = 200 * time.Millisecond
	// stalledAfter is how long nothing may have come of a head that has begun: slow clients
	// pause for less.
	stalledAfter = time.Second
	// firstWord is how long a new connection has in any case to say something. While clients hold
	// all they may and none of theirs is quiet for longer, the next wait in the kernel's queue.
	firstWord = 100 * time.Millisecond
	fullWait  = 5 * time.Millisecond // between looks for a descriptor, where there is none
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
	heads     *HeadRoom  // nil: there is no bound
	reads     *BodyReads // nil: none are followed
	shortages *shortage.Ledger

	begun  time.Time
	events atomic.Pointer[eventlog.Log]
	closes [closeReasons]atomic.Uint64

	mu    sync.Mutex
	open  int
	quiet [5]list.List // by phase: silent, once, idle, ending, halfway; the longest first
	again float64      // share of trials that were used again, of late
	// lingering are those that are closed in two steps; settled is closed when there are none.
	lingering int
	settled   chan struct{}

	hangups hangups
}

// NewConns allows most connections, and room for those that have asked something; one that
// has been idle for longer than spare is held to be of no use to its client.
func NewConns(most, room int, spare time.Duration) *Conns {
	return &Conns{most: most, room: room, spare: spare, begun: time.Now()}
}

// NoteShortages has connections that are given up for want of something of the gateway's own noted. It is called before the
// first Listen.
func (l *Conns) NoteShortages(to *shortage.Ledger) { l.shortages = to }

// FollowBodies has stalled bodies that are read ahead refused where all connections are in use. It is called before the
// first Listen.
func (l *Conns) FollowBodies(reads *BodyReads) { l.reads = reads }

// refuseStalledBody refuses the request whose body has stalled the longest, for its connection, and says whether there was
// one. The connection ends shortly behind that.
func (l *Conns) refuseStalledBody() bool {
	return l.reads.refuseStalled(shortage.New(shortage.ClientConnections))
}

// shedUnused gives up a connection that nobody misses, and says whether there was one.
func (l *Conns) shedUnused() bool {
	now := time.Now()
	l.mu.Lock()
	return l.drop(l.unused(now))
}

// makeWay makes way for a connection, and says whether there is a place now: one that nobody misses is given up, else a
// stalled body refused, whose place comes free shortly, else any quiet connection given up.
func (l *Conns) makeWay() bool {
	if l.shedUnused() {
		return true
	}
	return !l.refuseStalledBody() && l.shedQuiet(firstWord)
}

// BoundHeads has heads of requests take their memory from a room. It is called before the first Listen.
func (l *Conns) BoundHeads(room *HeadRoom) { l.heads = room }

// Bound changes how many connections are allowed, and how many of those that have asked. Beyond it spare ones go at
// once and stalled bodies are refused, others go as new ones come.
func (l *Conns) Bound(most, room int) {
	l.mu.Lock()
	l.most, l.room = most, room
	l.mu.Unlock()
	for l.crowded() && l.shedSpare() {
	}
	l.mu.Lock()
	beyond := l.open + l.lingering - l.most
	l.mu.Unlock()
	for ; beyond > 0 && l.refuseStalledBody(); beyond-- {
	}
}

// Most is how many connections are allowed.
func (l *Conns) Most() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.most
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

// Listen makes a listener's connections count among all. What it accepts is a *Conn.
func (l *Conns) Listen(ln net.Listener) *Listener {
	return &Listener{Listener: ln, all: l, conns: map[*Conn]struct{}{}, closed: make(chan struct{}), turned: make(chan struct{}, mostTurnedAway)}
}

// crowded says whether clients hold as many connections as they may.
func (l *Conns) crowded() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.open+l.lingering >= l.most
}

// overflowPart is one part in so many beyond the bound that connections may take for a moment,
// where all that are open ask something. No client gets a descriptor beyond that: what is left is
// for hosts, discovery, operators and logs.
const overflowPart = 16

// exhausted says whether clients hold all that they may ever hold.
func (l *Conns) exhausted() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.open+l.lingering >= l.most+l.most/overflowPart+1
}

// full says whether those that have asked something hold as many as they should.
func (l *Conns) full() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	_, asked := l.counts()
	return asked >= l.room
}

// unused is a connection that nobody misses: one at its end, else a silent one that is not new, one that stopped within a
// head, one that has asked once, one idle for so long that its client does without it; nil: there is none. The lock is held.
func (l *Conns) unused(now time.Time) *Conn {
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
	return c
}

// shedQuiet gives up the connection that is missed least, and says whether there was one: one that shedUnused would, else an
// idle one, else a silent one. Of each kind the oldest goes first. A new one that is closed loses the request that may be on
// its way: none goes that is younger than newest.
func (l *Conns) shedQuiet(newest time.Duration) bool {
	now := time.Now()
	l.mu.Lock()
	c := l.unused(now)
	if c == nil {
		c = l.oldest(once, now, 0)
	}
	if c == nil {
		c = l.oldest(idle, now, 0)
	}
	if c == nil {
		c = l.oldest(silent, now, newest)
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
		c.condemn(ClosedForRoom)
	}
	l.mu.Unlock()
	if c != nil {
		c.end()
	}
	return c != nil
}

// mostLooks is how many connections are looked at for one on which nothing has come.
const mostLooks = 32

// oldest is the connection that has been in a phase the longest, if for so long. What has come on it and has not been
// read yet, for want of processor time, is no silence: a close would lose the request.
func (l *Conns) oldest(phase int, now time.Time, age time.Duration) *Conn {
	e := l.quiet[phase].Front()
	for range mostLooks {
		if e == nil || now.Sub(e.Value.(*Conn).since) < age {
			return nil
		}
		if c := e.Value.(*Conn); phase == ending || c.Unread() == 0 {
			return c
		}
		e = e.Next()
	}
	return nil
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
		c.answered.Store(false)
		c.ahead = false
		c.given.Store(false)
	case http.StateIdle:
		c.answered.Store(true)
		c.deadlines = 0
		c.meter.bodied()
	}
}
