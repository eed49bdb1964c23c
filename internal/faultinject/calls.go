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
	callHosts   = 4
	callClients = 8
	callLongest = 30 * time.Second // deadline of the settings: no request fails for want of processor time
	callWithin  = 3 * time.Minute  // how long a connection may take for all its requests

	mostCallBody = 15_000 // bytes; of longer answers a part may be on its way to the client when they break off
)

// Calls is load on a real process some of whose system calls fail.
type Calls struct {
	Program  string // the binary
	Dir      string // for the process
	Seed     uint64
	Requests int // of each client
	Faults   []CallFault
}

// CallsResult is what became of the requests.
type CallsResult struct {
	Served, Refused int
	Why             map[string]int // of those refused, by what the answer says
	Changed         []int          // calls of each fault that failed or were short
	Log             string         // the last of it
	// Wrong are requests without an answer in time, answers that no host made, and unsafe requests that hosts had twice.
	Wrong []string
}

// Play plays the load.
func (c Calls) Play() (CallsResult, error) {
	p := &calling{Calls: c, result: CallsResult{Why: map[string]int{}}}
	var serve [callHosts]func(*fake.Request) bool
	for n := range serve {
		serve[n] = serveInTurn
	}
	faults := &callFaults{faults: c.Faults, seed: c.Seed}
	g, err := startChanged(c.Program, c.Dir, callLongest, faults.attach, serve[:]...)
	if err != nil {
		faults.close()
		return CallsResult{}, err
	}
	var clients sync.WaitGroup
	for n := range callClients {
		clients.Go(func() { p.client(g, n) })
	}
	clients.Wait()
	log := g.Log()
	g.close()
	if p.result.Changed, err = faults.close(); err != nil {
		return CallsResult{}, err
	}
	p.result.Log = log
	return p.result, nil
}

// serveInTurn answers: one in three ends with its connection, one in three says that the connection ends.
func serveInTurn(q *fake.Request) bool {
	time.Sleep(time.Duration(1+q.N%5) * time.Millisecond)
	body := callBody(q.ID)
	head := fmt.Sprintf("Content-Length: %d\r\n", len(body))
	switch q.N % 3 {
	case 0:
		head = "Connection: close\r\n"
	case 1:
		head += "Connection: close\r\n"
	}
	_, err := io.WriteString(q.Conn, "HTTP/1.1 200 OK\r\n"+head+"\r\n"+body)
	return err == nil && q.N%3 == 2
}

// callBody is the body of the answer to a request: short, or longer than what a write takes.
func callBody(id string) string {
	h := fnv.New32a()
	io.WriteString(h, id)
	if h.Sum32()%4 > 0 {
		return id
	}
	return id + strings.Repeat("x", int(h.Sum32()%mostCallBody))
}

// calling is a load that is played.
type calling struct {
	Calls

	mu     sync.Mutex
	result CallsResult
}

// client asks over one connection after another.
func (p *calling) client(g *gateway, n int) {
	r := rand.New(rand.NewPCG(p.Seed, uint64(n)))
	for i := 0; i < p.Requests; {
		c, err := net.Dial("tcp", g.Addr)
		if err != nil {
			p.wrong("no connection: %v", err)
			return
		}
		in := bufio.NewReader(c)
		c.SetDeadline(time.Now().Add(callWithin))
		stays := true
		for last := min(i+1+r.IntN(5), p.Requests); stays && i < last; {
			together := min(1+r.IntN(4)/3, last-i) // a quarter are two that are sent at once
			var classes, ids []string
			for ; together > 0; together-- {
				classes = append(classes, []string{safeClass, unsafeClass}[r.IntN(2)])
				ids = append(ids, fmt.Sprintf("%d-%d-%d", p.Seed, n, i))
				i++
			}
			stays = p.ask(g, c, in, classes, ids, i == last && r.IntN(2) == 0)
		}
		c.Close()
	}
}

// ask sends requests at once, the last of which may end the connection, judges their answers, and says whether
// the connection stays.
func (p *calling) ask(g *gateway, c net.Conn, in *bufio.Reader, classes, ids []string, ends bool) (stays bool) {
	var text string
	for i, id := range ids {
		text += request(classes[i], id)
	}
	if ends {
		at := strings.LastIndex(text, "Host: a\r\n")
		text = text[:at] + "Connection: close\r\n" + text[at:]
	}
	if _, err := io.WriteString(c, text); err != nil {
		p.wrong("%s: it can't be sent: %v", ids[0], err)
		return false
	}
	for i, id := range ids {
		if !p.judge(g, in, classes[i], id) {
			return false
		}
	}
	return true
}

// judge reads the answer to a request, and says whether the connection stays.
func (p *calling) judge(g *gateway, in *bufio.Reader, class, id string) (stays bool) {
	resp, err := http.ReadResponse(in, nil)
	var body []byte
	if err == nil {
		body, err = io.ReadAll(resp.Body)
	}
	if err != nil {
		p.wrong("%s: no answer: %v", id, err)
		return false
	}
	if attempts := g.seen(id); class == unsafeClass && attempts > 1 {
		p.wrong("%s: unsafe, and sent %d times", id, attempts)
	}
	p.mu.Lock()
	if resp.StatusCode == http.StatusOK {
		p.result.Served++
	} else {
		p.result.Refused++
		p.result.Why[fmt.Sprintf("%d %s", resp.StatusCode, body)]++
	}
	p.mu.Unlock()
	if resp.StatusCode == http.StatusOK && string(body) != callBody(id) {
		p.wrong("%s: served with %.100q", id, body)
	}
	return !resp.Close
}

func (p *calling) wrong(format string, args ...any) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.result.Wrong = append(p.result.Wrong, fmt.Sprintf(format, args...))
}
