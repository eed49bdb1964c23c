package faultinject

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"syscall"
	"time"

	"frostshift/internal/fake"
)

const (
	stopClients = 24
	// stopLate are clients that send half a head ahead of SIGTERM, and the rest at any time up to SIGKILL.
	stopLate = 12
	stopRuns = 600 * time.Millisecond // of load ahead of SIGTERM
	// frontDeals is how long behind SIGTERM new connections still come.
	frontDeals = 400 * time.Millisecond
	// A process may be killed as early as its longest deadline, counted as longestCounted at most, and
	// killBehind behind SIGTERM.
	longestCounted = 3 * time.Second
	killBehind     = 700 * time.Millisecond
	// answerWithin is how long a client waits for an answer at most.
	answerWithin = 10 * time.Second
)

// Stop is a stop of a real process: SIGTERM beside load, hosts that hang or break off from then on, and
// clients that use their connections up to SIGKILL.
type Stop struct {
	Program string // the binary
	Dir     string // for the process
	Seed    uint64
	Longest time.Duration // the longest deadline of the settings
	// KillLate is how much later SIGKILL comes than it may, for machines that are short of processor time.
	KillLate time.Duration
	// Faults are of the process's system calls.
	Faults []CallFault
	// Upgrade has a second process take the clients over right ahead of SIGTERM.
	Upgrade bool
}

// DrawLongest draws a longest deadline from a seed.
func DrawLongest(seed uint64) time.Duration {
	return time.Duration(300+rand.New(rand.NewPCG(seed, 1)).IntN(2700)) * time.Millisecond
}

// StopResult is what became of the requests of a stop.
type StopResult struct {
	Answered int
	Crossed  int  // had no answer, but may be sent again: they met a close, and no host has seen them
	Ended    bool // the process had ended by itself ahead of SIGKILL
	// Lost are requests without an answer that a host has seen, or that were sent whole on a new connection.
	Lost []string
}

// Play plays the stop.
func (s Stop) Play() (StopResult, error) {
	p := &stopping{Stop: s, ordered: make(chan struct{})}
	change := func(*gateway) error { return nil }
	if len(s.Faults) > 0 {
		faults := &callFaults{faults: s.Faults, seed: s.Seed}
		defer faults.close()
		change = faults.attach
	}
	var socket *inherited
	if s.Upgrade {
		var err error
		if socket, err = newInherited(); err != nil {
			return StopResult{}, err
		}
		defer socket.close()
		change = func(g *gateway) error { return socket.attach(g.Process) }
	}
	g, err := startChanged(s.Program, s.Dir, s.Longest, change, p.serve(0), p.serve(1), p.serve(2), p.serve(3))
	if err != nil {
		return StopResult{}, err
	}
	defer g.close()
	p.gateway = g
	var clients sync.WaitGroup
	for n := range stopClients {
		clients.Go(func() { p.client(n) })
	}
	for n := range stopLate {
		clients.Go(func() { p.late(n) })
	}
	time.Sleep(stopRuns)
	if s.Upgrade {
		err = g.succeed(socket)
	}
	p.mu.Lock()
	p.term = time.Now()
	p.mu.Unlock()
	close(p.ordered)
	g.Signal(syscall.SIGTERM)
	time.Sleep(time.Until(p.term.Add(min(s.Longest, longestCounted) + killBehind + s.KillLate)))
	p.mu.Lock()
	p.killed = true
	p.mu.Unlock()
	select {
	case <-g.Ended():
		p.result.Ended = true
	default:
	}
	g.Kill()
	clients.Wait()
	return p.result, err
}

// stopping is a stop that is played.
type stopping struct {
	Stop
	gateway *gateway
	ordered chan struct{} // closed: SIGTERM is sent

	mu     sync.Mutex
	term   time.Time // when SIGTERM was sent; zero: it was not
	killed bool
	result StopResult
}

// serve is what a host does: from SIGTERM on all hang with requests of late clients, the first two with
// others too, and the third breaks some off.
func (s *stopping) serve(n int) func(*fake.Request) bool {
	return func(q *fake.Request) bool {
		s.mu.Lock()
		stopped := !s.term.IsZero()
		s.mu.Unlock()
		switch {
		case stopped && (n < 2 || strings.HasPrefix(q.ID, lateID)):
			q.Conn.Read(make([]byte, 1)) // until it is called off
			return false
		case stopped && n == 2 && q.N%3 == 0:
			fake.Reset(q.Conn)
			return false
		}
		time.Sleep(time.Duration(1+q.N%20) * time.Millisecond)
		_, err := io.WriteString(q.Conn, fake.Answer(200, "ok"))
		return err == nil
	}
}

// isDealt says whether the front still gives the process new connections, or what comes first on them.
func (s *stopping) isDealt() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.term.IsZero() || time.Since(s.term) < frontDeals
}

// isKilled says whether the time of SIGKILL has come: a process that has taken over goes on serving.
func (s *stopping) isKilled() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.killed
}

// client asks over one connection after another, as its draws say, until no new connection is dealt.
func (s *stopping) client(n int) {
	r := rand.New(rand.NewPCG(s.Seed, uint64(100+n)))
	for request := 0; s.isDealt(); {
		c, err := net.Dial("tcp", s.gateway.Addr)
		if err != nil {
			time.Sleep(10 * time.Millisecond)
			continue
		}
		in := bufio.NewReader(c)
		for first := s.isDealt(); !s.isKilled(); first = false {
			request++
			if !s.ask(r, c, in, fmt.Sprintf("%d-%d", n, request), first) {
				break
			}
			time.Sleep(s.rest(r))
		}
		c.Close()
	}
}

// restPart is one part in so many of the rests on a connection, beside an upgrade, that may last up to the kill.
const restPart = 8

// rest draws how long a client waits before its next request on a connection.
func (s *stopping) rest(r *rand.Rand) time.Duration {
	if s.Upgrade && r.IntN(restPart) == 0 {
		return time.Duration(r.Int64N(int64(min(s.Longest, longestCounted) + killBehind)))
	}
	return time.Duration(r.IntN(60)) * time.Millisecond
}

// lateID begins the ids of late clients' requests.
const lateID = "late-"

// late sends a request whose head comes whole between SIGTERM and the earliest SIGKILL.
func (s *stopping) late(n int) {
	r := rand.New(rand.NewPCG(s.Seed, uint64(200+n)))
	rest := time.Duration(r.Int64N(int64(min(s.Longest, longestCounted) + killBehind)))
	time.Sleep(stopRuns / 2)
	c, err := net.Dial("tcp", s.gateway.Addr)
	if err != nil {
		return // of what has not connected nothing is owed
	}
	defer c.Close()
	id := fmt.Sprint(lateID, n)
	text := request(safeClass, id)
	if _, err := io.WriteString(c, text[:len(text)/2]); err != nil {
		return
	}
	<-s.ordered
	time.Sleep(rest)
	s.exchange(c, bufio.NewReader(c), id, text[len(text)/2:], true)
}

// ask sends one request, whole, in halves with a rest between, or in the instant in which the gateway
// ends the connection, and says whether the connection stays. first says that it is new.
func (s *stopping) ask(r *rand.Rand, c net.Conn, in *bufio.Reader, id string, first bool) bool {
	class := safeClass
	if r.IntN(2) == 0 {
		class = unsafeClass
	}
	text, halves := request(class, id), false
	switch draw := r.IntN(8); {
	case draw == 0: // in halves
		cut := 1 + r.IntN(len(text)-1)
		if _, err := io.WriteString(c, text[:cut]); err != nil {
			return false
		}
		text, halves = text[cut:], true
		first = first && s.isDealt()
		time.Sleep(time.Duration(r.Int64N(int64(s.Longest))))
	case draw == 1 && !first: // at the gateway's close
		c.SetReadDeadline(time.Now().Add(s.Longest + killBehind))
		if _, err := in.Peek(1); errors.Is(err, os.ErrDeadlineExceeded) {
			return false
		}
	}
	return s.exchange(c, in, id, text, first && (halves || s.isDealt()))
}

// exchange sends what is left of a request, waits for its answer, and says whether the connection stays.
func (s *stopping) exchange(c net.Conn, in *bufio.Reader, id, text string, first bool) bool {
	if _, err := io.WriteString(c, text); err != nil {
		return s.noAnswer(id, first, "could not be written whole", false)
	}
	wrote := time.Now()
	c.SetReadDeadline(wrote.Add(answerWithin))
	resp, err := http.ReadResponse(in, nil)
	if err == nil {
		_, err = io.Copy(io.Discard, resp.Body)
	}
	if err != nil {
		return s.noAnswer(id, first, fmt.Sprintf("%v after %v", err, time.Since(wrote).Round(time.Millisecond)), true)
	}
	s.mu.Lock()
	s.result.Answered++
	s.mu.Unlock()
	return !resp.Close
}

// noAnswer judges a request without an answer: it is lost where a host has seen it, or where it was
// written whole to a new connection ahead of the kill; else it crossed a close and may be sent again.
func (s *stopping) noAnswer(id string, first bool, how string, whole bool) bool {
	seen := s.gateway.seen(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	behind := time.Since(s.term).Round(time.Millisecond)
	switch {
	case seen > 0:
		s.result.Lost = append(s.result.Lost, fmt.Sprintf("%s: %s, %d attempts, %v behind SIGTERM", id, how, seen, behind))
	case first && whole && !s.killed:
		s.result.Lost = append(s.result.Lost, fmt.Sprintf("%s: %s on a new connection, %v behind SIGTERM", id, how, behind))
	default:
		s.result.Crossed++
	}
	return false
}
