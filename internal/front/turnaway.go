package front

import (
	"io"
	"net"
	"syscall"
	"time"

	"frostshift/internal/shortage"
	"frostshift/internal/socket"
)

const (
	// mostTurnedAway is how many connections are turned away at once, each with a descriptor of its own.
	mostTurnedAway = 16
	// turnAwayWithin is how long a client may take to see its refusal and the end of its connection.
	turnAwayWithin = 20 * time.Millisecond
)

// hasCome says whether something has come on a connection.
func hasCome(c net.Conn) bool {
	s, ok := c.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return false
	}
	n := 0
	raw.Control(func(fd uintptr) { n = socket.Unread(fd) })
	return n > 0
}

// turnsAway turns a connection away that came as its listener is being closed, where there is no place for it, and says
// whether it does. It waits while as many as may be are turned away.
func (ln *Listener) turnsAway(c net.Conn) bool {
	if !ln.all.exhausted() {
		return false
	}
	ln.turned <- struct{}{}
	go func() {
		defer func() { <-ln.turned }()
		ln.turnAway(c)
	}()
	return true
}

// turnAway ends a connection that came when there was no place for it and none will be: what has come of a request on it is
// refused, and nothing more is waited for.
func (ln *Listener) turnAway(c net.Conn) {
	defer c.Close()
	if ln.Secure || !hasCome(c) {
		return
	}
	c.SetDeadline(time.Now().Add(turnAwayWithin))
	c.Read(make([]byte, 4<<10))
	ln.all.shortages.Note(shortage.New(shortage.ClientConnections), shortage.Refused, "request from "+c.RemoteAddr().String())
	io.WriteString(c, refusal)
	if half, ok := c.(interface{ CloseWrite() error }); ok && half.CloseWrite() == nil {
		io.CopyN(io.Discard, c, mostCrossed) // a close above what is unread would take the refusal with it
	}
}
