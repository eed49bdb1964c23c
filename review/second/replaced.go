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

func init() { cases["replaced"] = replaced }

const maintConfig = `
name = "edge"
management = "%s"
state = "%s"

[limits]
memory_mb = 256
descriptors = 1024

[[listener]]
name = "clients"
address = "%s"

[[class]]
name = "booking"
effect = "unsafe"
aim = "500ms"
deadline = "2s"

[[pool]]
name = "bookings"
hosts = [%s]
max_attempts = %d

[[route]]
name = "book"
prefix = "/book"
methods = ["POST"]
class = "booking"
pool = "bookings"
`

const uploads = 12 // requests whose bodies are under way

// pair is two hosts: the first is the one that operators take out.
type pair struct {
	list   []*fake.Host
	visits [2]visits
}

func (r *run) newPair() (*pair, error) {
	p := &pair{}
	for i := range p.visits {
		h, err := fake.Scripted(func(q *fake.Request) fake.Act {
			p.visits[i].mu.Lock()
			p.visits[i].at = append(p.visits[i].at, time.Now())
			p.visits[i].mu.Unlock()
			r.note("host %d gets %s", i, q.ID)
			return fake.Act{After: 20 * time.Millisecond, Answer: fake.Answer(200, "ok")}
		})
		if err != nil {
			p.close()
			return nil, err
		}
		p.list = append(p.list, h)
	}
	return p, nil
}

func (p *pair) close() {
	for _, h := range p.list {
		h.Close()
	}
}

// judge holds the host that was taken out at a time against the rule: nothing new after the grace.
func (r *run) judge(p *pair, yes time.Time) {
	if n, last := p.visits[0].since(yes.Add(grace)); n > 0 {
		r.breaks("the host that was taken out got %d requests after the grace, the last one %v after it", n, last.Round(time.Millisecond))
	}
	if n, _ := p.visits[1].since(yes.Add(grace)); n == 0 {
		r.note("no request came to the other host")
	}
}

// replaced: bodies of requests are under way, the configuration is read again with another max_attempts, and operators
// take a host out.
func replaced(r *run) error {
	p, err := r.newPair()
	if err != nil {
		return err
	}
	defer p.close()
	management, front := port(), port()
	text := func(attempts int) string {
		return fmt.Sprintf(maintConfig, management, r.dir+"/state", front, quoted(p.list[0].Addr(), p.list[1].Addr()), attempts)
	}
	config, err := r.write("gw.toml", text(4))
	if err != nil {
		return err
	}
	g, err := r.start(config, management)
	if err != nil {
		return err
	}
	began := time.Now()
	var all sync.WaitGroup
	for i := range uploads {
		id := fmt.Sprintf("slow-%d", i)
		all.Go(func() { r.upload(front, id, began.Add(1900*time.Millisecond)) })
	}
	time.Sleep(300 * time.Millisecond)
	if r.trouble {
		if _, err := r.write("gw.toml", text(3)); err != nil {
			return err
		}
		g.signal(syscall.SIGHUP)
		if err := g.logs("configuration read again", time.Second); err != nil {
			return err
		}
	}
	status, err := r.operators(management, "/hosts/"+p.list[0].Addr()+"/maint")
	if err != nil || status != http.StatusOK {
		return fmt.Errorf("the host is not taken out: %d, %v", status, err)
	}
	yes := time.Now()
	all.Wait()
	r.judge(p, yes)
	return nil
}

// upload sends a request whose last byte goes out at a time.
func (r *run) upload(front, id string, last time.Time) {
	nc, err := net.Dial("tcp", front)
	if err != nil {
		r.note("client of %s: %v", id, err)
		return
	}
	defer nc.Close()
	nc.SetDeadline(time.Now().Add(10 * time.Second))
	fmt.Fprintf(nc, "POST /book/uplift HTTP/1.1\r\nHost: app.svc\r\nX-Correlation-Id: %s\r\nContent-Length: 8\r\n\r\n", id)
	for _, part := range []string{"bu", "lk", "bo", "ok"} {
		time.Sleep(time.Until(last) / 3 * 2)
		if part == "ok" {
			time.Sleep(time.Until(last))
		}
		io.WriteString(nc, part)
	}
	status, _, _, err := fake.Over(nc).Receive()
	r.note("client of %s has the answer %d, %v", id, status, err)
}
