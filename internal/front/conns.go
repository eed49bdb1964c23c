package front

import (
	"container/list"
	"errors"
	"net"
	"net/http"
	"slices"
	"sync"
	"syscall"
	"time"
)

const (
	// quietFirst is how long a new connection may say nothing before it is closed ahead
	// of idle ones, where descriptors are short.
	quietFirst = 200 * time.Millisecond
	fullWait   = 5 * time.Millisecond // between looks for a descriptor, where there is none
)

// Conns bounds the connections that clients hold, over all listeners and apart from the
// requests that come over them: silent and idle ones cost a descriptor each and make room
// when all are in use, those that ask are never closed for others.
type Conns struct {
	most int // connections; one more makes room first
	// room is for connections that have asked something. Clients hold a share of the
	// descriptors at most: where those that ask once and stay fill it, the others find no
	// connection left, so the ones idle the longest go well before that.
	room int

	mu    sync.Mutex
	open  int
	quiet [3]list.List // without an open request, longest first, by kind
}

// NewConns allows most connections, and room for those that have asked something.
func NewConns(most, room int) *Conns { return &Conns{most: most, room: room} }

// Counts are the connections that are open, and those of them that have asked something
// and are not at their end.
func (l *Conns) Counts() (open, asked int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.open, l.open - l.quiet[silent].Len() - l.quiet[ending].Len()
}

// Listen makes a listener's connections count among all. What it accepts is a *Conn.
func (l *Conns) Listen(ln net.Listener) net.Listener { return &listener{ln, l} }

// listener takes clients' connections within the bounds of all.
type listener struct {
	net.Listener
	all *Conns
}

// The kinds of quiet connections.
const (
	ending = iota // answered for good, kept for a moment so that the answer is read
	silent        // nothing has come yet
	idle          // between requests
)

// Conn is one of them. Its fields belong to the lock of all.
type Conn struct {
	net.Conn
	all    *Conns
	kind   int
	since  time.Time
	at     *list.Element // in the list of its kind, nil while a request is open
	closed bool
}

// Accept takes the next connection. It survives running out of descriptors.
func (ln *listener) Accept() (net.Conn, error) {
	l := ln.all
	for {
		c, err := ln.Listener.Accept()
		if errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE) {
			if !l.shed() {
				time.Sleep(fullWait)
			}
			continue
		}
		if err != nil {
			return nil, err
		}
		for l.crowded() && l.shed() {
		}
		for l.full() && l.shed(idle) {
		}
		cc := &Conn{Conn: c, all: l}
		l.mu.Lock()
		l.open++
		cc.rest(silent)
		l.mu.Unlock()
		return cc, nil
	}
}

// crowded says whether clients hold as many connections as they may.
func (l *Conns) crowded() bool {
	open, _ := l.Counts()
	return open >= l.most
}

// full says whether those that have asked something hold as many as they should.
func (l *Conns) full() bool {
	_, asked := l.Counts()
	return asked >= l.room
}

// shed closes the connection that is missed least, of certain kinds if they are named,
// and says whether there was one. An idle one that its client is about to use is opened
// anew; a new one that is closed loses the request that may be on its way.
func (l *Conns) shed(only ...int) bool {
	now := time.Now()
	l.mu.Lock()
	var c *Conn
	for _, look := range [...]struct {
		kind int
		age  time.Duration
	}{{ending, 0}, {silent, quietFirst}, {idle, 0}, {silent, 0}} {
		if len(only) > 0 && !slices.Contains(only, look.kind) {
			continue
		}
		if e := l.quiet[look.kind].Front(); e != nil && now.Sub(e.Value.(*Conn).since) >= look.age {
			c = e.Value.(*Conn)
			c.busy()
			break
		}
	}
	l.mu.Unlock()
	if c == nil {
		return false
	}
	c.Close()
	return true
}

// rest notes that no request is open on the connection; busy that one is.
func (c *Conn) rest(kind int) {
	c.busy()
	c.kind, c.since = kind, time.Now()
	if !c.closed {
		c.at = c.all.quiet[kind].PushBack(c)
	}
}

func (c *Conn) busy() {
	if c.at != nil {
		c.all.quiet[c.kind].Remove(c.at)
		c.at = nil
	}
}

// Close may come from the server or from the listener, which makes room.
func (c *Conn) Close() error {
	c.all.mu.Lock()
	c.busy()
	if !c.closed {
		c.closed = true
		c.all.open--
	}
	c.all.mu.Unlock()
	return c.Conn.Close()
}

// CloseWrite ends the answer; the server then waits for the client to have read it.
func (c *Conn) CloseWrite() error {
	c.all.mu.Lock()
	c.rest(ending)
	c.all.mu.Unlock()
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

// Active notes that a request is open on the connection; Idle that none is.
func (c *Conn) Active() {
	c.all.mu.Lock()
	defer c.all.mu.Unlock()
	c.busy()
}

// Idle notes that no request is open on the connection.
func (c *Conn) Idle() {
	c.all.mu.Lock()
	defer c.all.mu.Unlock()
	c.rest(idle)
}

// State is the hook of an http.Server.
func (l *Conns) State(c net.Conn, s http.ConnState) {
	cc, ok := c.(*Conn)
	if t, secure := c.(*Secure); secure {
		cc, ok = t.Under, true
	}
	if !ok {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	switch s {
	case http.StateActive:
		cc.busy()
	case http.StateIdle:
		cc.rest(idle)
	}
}

// Secure is a connection of all with a protocol that encrypts it on top.
type Secure struct {
	net.Conn
	Under *Conn
}

// Active notes that a request is open on the connection; Idle that none is.
func (s *Secure) Active() { s.Under.Active() }

// Idle notes that no request is open on the connection.
func (s *Secure) Idle() { s.Under.Idle() }

// CloseWrite ends the answer.
func (s *Secure) CloseWrite() error {
	s.Under.all.mu.Lock()
	s.Under.rest(ending)
	s.Under.all.mu.Unlock()
	if half, ok := s.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}
