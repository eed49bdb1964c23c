//go:build review

package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"frostshift/internal/fake"
)

func init() { cases["moved"] = moved }

const movedConfig = `
name = "edge"
management = "%s"

[limits]
memory_mb = 256
descriptors = 1024

[[listener]]
name = "clients"
address = "%s"

[[class]]
name = "read"
effect = "safe"
aim = "500ms"
deadline = "2s"

[[pool]]
name = "photos"
hosts = [%s]

[[route]]
name = "read"
prefix = "/"
methods = ["GET"]
class = "read"
pool = "photos"

[route.bodies]
answers = "stream"
`

const (
	longParts = 40 // of a long answer
	partLen   = 16 << 10
	partEvery = 250 * time.Millisecond
	readers   = 4
)

// moved: long answers are on their way to clients, and the configuration is read again with another address of the listener.
func moved(r *run) error {
	var hosts []string
	for range 2 {
		h, err := fake.NewHost(func(q *fake.Request) bool { return r.giveLong(q) })
		if err != nil {
			return err
		}
		defer h.Close()
		hosts = append(hosts, h.Addr())
	}
	management, front, next := port(), port(), port()
	config, err := r.write("gw.toml", fmt.Sprintf(movedConfig, management, front, quoted(hosts...)))
	if err != nil {
		return err
	}
	g, err := r.start(config, management)
	if err != nil {
		return err
	}
	var all sync.WaitGroup
	for i := range readers {
		all.Go(func() { r.readLong(front, fmt.Sprintf("photo-%d", i)) })
	}
	time.Sleep(time.Second)
	if r.trouble {
		if _, err := r.write("gw.toml", fmt.Sprintf(movedConfig, management, next, quoted(hosts...))); err != nil {
			return err
		}
		g.signal(syscall.SIGHUP)
		if err := g.logs("configuration read again", 5*time.Second); err != nil {
			return err
		}
	}
	all.Wait()
	return nil
}

// giveLong gives a long answer, a part at a time.
func (r *run) giveLong(q *fake.Request) bool {
	r.note("a host begins to answer %s", q.ID)
	fmt.Fprintf(q.Conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", longParts*partLen)
	for n := range longParts {
		if _, err := q.Conn.Write(make([]byte, partLen)); err != nil {
			r.note("the host can't give part %d of %s any more: %v", n, q.ID, err)
			return false
		}
		select {
		case <-time.After(partEvery):
		case <-q.Ended:
			return false
		}
	}
	r.note("the host has given all of %s", q.ID)
	return true
}

// readLong reads a long answer as it comes.
func (r *run) readLong(front, id string) {
	nc, err := net.Dial("tcp", front)
	if err != nil {
		r.breaks("%s: %v", id, err)
		return
	}
	defer nc.Close()
	nc.SetDeadline(time.Now().Add(30 * time.Second))
	began := time.Now()
	r.note("a client asks for %s", id)
	status, body, _, err := fake.Over(nc).Ask(http.MethodGet, "/photo", "", "X-Correlation-Id: "+id)
	took := time.Since(began).Round(time.Millisecond)
	if err != nil && err != io.EOF || len(body) != longParts*partLen {
		r.breaks("the answer to %s was cut off by the gateway after %v: status %d, %d of %d bytes, %v", id, took, status, len(body), longParts*partLen, err)
		return
	}
	r.note("the client has %d bytes of %s after %v", len(body), id, took)
}
