package faultinject

import (
	"bufio"
	"fmt"
	"hash/fnv"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"frostshift/internal/fake"
)

const (
	answerHosts   = 3
	answerClients = 8
	answerBytes   = 4000 // of a body at most
)

// Answers is load on a real process whose hosts break their answers off in all ways and places.
type Answers struct {
	Program  string // the binary
	Dir      string // for the process
	Seed     uint64
	Requests int // of each client
}

// AnswersResult is what clients had.
type AnswersResult struct {
	Served   int // whole answers
	NoLength int // of them: those whose end was that of the host's connection
	Refused  int // other answers, and connections that broke
	// Wrong are answers that no host made, requests of the unsafe class that were sent twice, and requests
	// without any end in time.
	Wrong []string
}

// Play plays the load.
func (a Answers) Play() (AnswersResult, error) {
	p := &answering{Answers: a, whole: map[string]bool{}}
	var serve [answerHosts]func(*fake.Request) bool
	for n := range serve {
		serve[n] = p.serve
	}
	g, err := startGateway(a.Program, a.Dir, longestCounted, serve[:]...)
	if err != nil {
		return AnswersResult{}, err
	}
	defer g.close()
	p.gateway = g
	var clients sync.WaitGroup
	for n := range answerClients {
		clients.Go(func() {
			for i := range a.Requests {
				class := safeClass
				if i%2 == 0 {
					class = unsafeClass
				}
				p.ask(class, fmt.Sprintf("%d-%d-%d", a.Seed, n, i))
			}
		})
	}
	clients.Wait()
	return p.result, nil
}

// answering is a load that is played.
type answering struct {
	Answers
	gateway *gateway

	mu     sync.Mutex
	whole  map[string]bool // bodies that a host has sent to their end
	result AnswersResult
}

// framing is how an answer says where its body ends.
type framing int

const (
	byClose framing = iota // with the connection
	byLength
	byChunks
	framings // how many there are
)

// answer is what an attempt gets: all of it follows from the seed, the request and the attempt.
type answer struct {
	framing framing
	body    string
	text    string        // as it goes over the wire
	cut     int           // bytes of it that are sent
	pause   time.Duration // behind these
	reset   bool          // and then the connection is reset, not closed
}

func (p *answering) draw(id string, attempt int) answer {
	h := fnv.New64a()
	io.WriteString(h, id)
	r := rand.New(rand.NewPCG(p.Seed, h.Sum64()+uint64(attempt)))
	a := answer{framing: framing(r.IntN(int(framings))), pause: time.Duration(r.IntN(25)) * time.Millisecond}
	a.body = fmt.Sprintf("%s/%d:", id, attempt) + strings.Repeat("x", r.IntN(answerBytes)) + "end"
	head := "HTTP/1.1 200 OK\r\n"
	switch a.framing {
	case byClose:
		head += "Connection: close\r\n\r\n"
		a.text = head + a.body
	case byLength:
		head += fmt.Sprintf("Content-Length: %d\r\n\r\n", len(a.body))
		a.text = head + a.body
	case byChunks:
		head += "Transfer-Encoding: chunked\r\n\r\n"
		half := len(a.body) / 2
		a.text = head + fmt.Sprintf("%x\r\n%s\r\n%x\r\n%s\r\n0\r\n\r\n", half, a.body[:half], len(a.body)-half, a.body[half:])
	}
	a.cut = len(a.text)
	if r.IntN(2) == 0 { // it breaks off; an orderly end of one without a length can't be told from a whole one
		a.cut = r.IntN(len(a.text))
		a.reset = a.framing == byClose || r.IntN(2) == 0
	}
	return a
}

// serve sends what is drawn, in two parts, and ends the connection.
func (p *answering) serve(q *fake.Request) bool {
	a := p.draw(q.ID, p.gateway.seen(q.ID))
	if a.cut == len(a.text) {
		p.mu.Lock()
		p.whole[a.body] = true
		p.mu.Unlock()
	}
	for _, part := range []string{a.text[:a.cut/2], a.text[a.cut/2 : a.cut]} {
		if _, err := io.WriteString(q.Conn, part); err != nil {
			return false
		}
		time.Sleep(a.pause)
	}
	if a.reset {
		fake.Reset(q.Conn)
	}
	return false
}

// ask sends a request on a connection of its own and judges what comes.
func (p *answering) ask(class, id string) {
	body, status, err := p.exchange(request(class, id))
	attempts := p.gateway.seen(id)
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case err == nil && status == http.StatusOK && !p.whole[body]:
		p.wrong("%s: served with %d bytes that no host sent to their end", id, len(body))
	case err == nil && status == http.StatusOK:
		p.result.Served++
		if p.draw(id, attempts).framing == byClose {
			p.result.NoLength++
		}
	case isLate(err):
		p.wrong("%s: no end of its answer within %v", id, answerWithin)
	default:
		p.result.Refused++
	}
	if class == unsafeClass && attempts > 1 {
		p.wrong("%s: unsafe, and sent %d times", id, attempts)
	}
}

// wrong notes a rule that broke. The lock is held.
func (p *answering) wrong(format string, args ...any) {
	p.result.Wrong = append(p.result.Wrong, fmt.Sprintf(format, args...))
}

func isLate(err error) bool {
	timeout, ok := err.(net.Error)
	return ok && timeout.Timeout()
}

func (p *answering) exchange(text string) (body string, status int, err error) {
	c, err := net.Dial("tcp", p.gateway.Addr)
	if err != nil {
		return "", 0, err
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(answerWithin))
	if _, err := io.WriteString(c, text); err != nil {
		return "", 0, err
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return "", 0, err
	}
	b, err := io.ReadAll(resp.Body)
	return string(b), resp.StatusCode, err
}
