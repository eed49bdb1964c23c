package http1

import (
	"net"
	"net/http"
	"sync"
	"time"

	"frostshift/internal/exchange"
	"frostshift/internal/headcost"
)

// freeHead is how much the head of an answer may cost that takes no room: what most cost.
const freeHead = 4 << 10

const (
	// answerRoomWait is how long an answer waits for room at most: others give theirs back within milliseconds, mostly.
	answerRoomWait  = 200 * time.Millisecond
	answerRoomEvery = 2 * time.Millisecond
)

// answerHead is what a connection holds of the room of answers for the head of one, from its first bytes on. What comes
// is for one goroutine; take is for any.
type answerHead struct {
	head  headcost.Scanner
	reads bool // bytes that come belong to a head
	cost  int64

	mu    sync.Mutex
	holds int64
	over  bool // the connection has been closed
}

// begin stands before a head.
func (a *answerHead) begin() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.reads, a.cost = true, a.holds
	a.head.Next()
}

// came takes in what has been read, and says why no more may be.
func (a *answerHead) came(b []byte, room exchange.Room) error {
	if !a.reads {
		return nil
	}
	_, cost, ended := a.head.Scan(b)
	a.reads = !ended
	a.cost += cost
	return a.charge(room)
}

// parsed takes in the whole head. What came with an answer ahead of it has not been counted.
func (a *answerHead) parsed(h http.Header, room exchange.Room) error {
	a.reads = false
	a.cost = max(a.cost, headcost.Of(h))
	return a.charge(room)
}

// charge takes room for what is not held yet, and waits for it: the host is read no further meanwhile.
func (a *answerHead) charge(room exchange.Room) error {
	more := a.cost - freeHead - a.held()
	if more <= 0 {
		return nil
	}
	if err := takeSoon(room, more); err != nil {
		return err
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.over {
		room.Give(more)
		return net.ErrClosed
	}
	a.holds += more
	return nil
}

// takeSoon takes room for an answer, and waits for it: the host is read no further meanwhile.
func takeSoon(room exchange.Room, n int64) error {
	for by := time.Now().Add(answerRoomWait); !room.Take(n); time.Sleep(answerRoomEvery) {
		if time.Now().After(by) {
			return errNoRoom
		}
	}
	return nil
}

func (a *answerHead) held() int64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.holds
}

// take hands over what is held to whoever has the answer.
func (a *answerHead) take() (held int64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	held, a.holds = a.holds, 0
	return held
}

// end gives back what is held: the connection is closed.
func (a *answerHead) end(room exchange.Room) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.over = true
	if a.holds > 0 {
		room.Give(a.holds)
		a.holds = 0
	}
}
