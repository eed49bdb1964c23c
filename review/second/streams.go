//go:build review

package main

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/net/http2"

	"frostshift/internal/fake"
)

func init() { cases["streams"] = streams }

const streamsConfig = `
name = "edge"
management = "%s"

[limits]
memory_mb = 256
descriptors = 1024

[[listener]]
name = "clients"
address = "%s"

[[class]]
name = "lookup"
effect = "safe"
aim = "4s"
deadline = "8s"

[[pool]]
name = "rota"
protocol = "http2"
file = "hosts.json"

[[route]]
name = "rota"
prefix = "/rota"
methods = ["GET"]
class = "lookup"
pool = "rota"
`

const (
	perConnection = 2 // streams that a host allows
	askers        = 80
	heavy         = 1800 * time.Millisecond // what a heavy request takes
)

// h2Hosts is four hosts over HTTP/2; the first one drains.
type h2Hosts struct {
	list   []*fake.H2Host
	visits [4]visits
	heavy  atomic.Bool
}

func (r *run) newH2Hosts() (*h2Hosts, error) {
	p := &h2Hosts{}
	settings := []http2.Setting{{ID: http2.SettingMaxConcurrentStreams, Val: perConnection}}
	for i := range p.visits {
		begun := func(s *fake.H2Stream) {
			p.visits[i].mu.Lock()
			p.visits[i].at = append(p.visits[i].at, time.Now())
			p.visits[i].mu.Unlock()
			if p.heavy.Load() {
				r.note("host %d gets %s", i, s.Field("x-correlation-id"))
			}
		}
		h, err := fake.NewH2Host(settings, begun, func(s *fake.H2Stream) {
			wait := 20 * time.Millisecond
			if strings.HasSuffix(s.Field(":path"), "heavy") {
				wait = heavy
			}
			select {
			case <-time.After(wait):
				s.Conn.Answer(s.ID, "200", "ok")
			case <-s.Reset:
			}
		})
		if err != nil {
			return nil, err
		}
		p.list = append(p.list, h)
	}
	return p, nil
}

func (p *h2Hosts) close() {
	for _, h := range p.list {
		h.Close()
	}
}

// endpoints is the file of hosts, the first of which has a status.
func endpoints(first string, addresses ...string) string {
	var list []string
	for i, a := range addresses {
		status := "active"
		if i == 0 {
			status = first
		}
		list = append(list, fmt.Sprintf(`{"name":"rota-%d","address":"%s","status":"%s"}`, i+1, a, status))
	}
	return `{"endpoints":[` + strings.Join(list, ",") + "]}\n"
}

// streams: requests wait for a stream of a host over HTTP/2 when the list says that the host drains.
func streams(r *run) error {
	p, err := r.newH2Hosts()
	if err != nil {
		return err
	}
	defer p.close()
	management, front := port(), port()
	var hosts []string
	for _, h := range p.list {
		hosts = append(hosts, h.Addr())
	}
	if _, err := r.write("hosts.json", endpoints("active", hosts...)); err != nil {
		return err
	}
	config, err := r.write("gw.toml", fmt.Sprintf(streamsConfig, management, front))
	if err != nil {
		return err
	}
	if _, err := r.start(config, management); err != nil {
		return err
	}
	for by := time.Now().Add(10 * time.Second); time.Now().Before(by); {
		r.lookups(front, "light", false)
	}
	p.heavy.Store(true)
	var all sync.WaitGroup
	all.Go(func() { r.lookups(front, "heavy", true) })
	time.Sleep(300 * time.Millisecond)
	if r.trouble {
		if _, err := r.write("hosts.json", endpoints("leaving", hosts...)); err != nil {
			return err
		}
		r.note("the list says that host 0 drains")
	}
	told := time.Now().Add(250 * time.Millisecond) // the file is looked at four times a second
	all.Wait()
	n, last := p.visits[0].since(told.Add(grace))
	r.note("host 0 got %d requests more than the grace behind the list", n)
	if r.trouble && n > 0 {
		r.breaks("a host that drains got %d requests after the grace, the last one %v after it", n, last.Round(time.Millisecond))
	}
	return nil
}

// lookups asks for something from many clients at once.
func (r *run) lookups(front, what string, noted bool) {
	var all sync.WaitGroup
	for i := range askers {
		all.Go(func() {
			nc, err := net.Dial("tcp", front)
			if err != nil {
				return
			}
			defer nc.Close()
			nc.SetDeadline(time.Now().Add(10 * time.Second))
			status, _, _, err := fake.Over(nc).Ask(http.MethodGet, "/rota/"+what, "", fmt.Sprintf("X-Correlation-Id: %s-%d", what, i))
			if noted {
				r.note("client of %s-%d has the answer %d, %v", what, i, status, err)
			}
		})
	}
	all.Wait()
}
