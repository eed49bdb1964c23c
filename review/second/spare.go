//go:build review

package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"syscall"
	"time"

	"frostshift/internal/fake"
)

// Two of the further plays, which show faults that are graded below the five cases: see REPORT-2.md. The others are
// in replaced.go, streams.go and undone.go.
func init() {
	cases["unwritten"] = unwritten
	cases["forgotten"] = forgotten
}

// unwritten: for a moment nothing can be written to the folder that lasts; operators take a host out meanwhile, and the
// gateway is restarted later.
func unwritten(r *run) error {
	p, err := r.newPair()
	if err != nil {
		return err
	}
	defer p.close()
	management, front, state := port(), port(), filepath.Join(r.dir, "state")
	config, err := r.write("gw.toml", fmt.Sprintf(maintConfig, management, state, front, quoted(p.list[0].Addr(), p.list[1].Addr()), 4))
	if err != nil {
		return err
	}
	g, err := r.start(config, management)
	if err != nil {
		return err
	}
	full := filepath.Join(state, "hosts.out.new")
	if r.trouble { // a write to it ends with ENOSPC
		if err := os.Symlink("/dev/full", full); err != nil {
			return err
		}
		r.note("the disk is full")
	}
	status, err := r.operators(management, "/hosts/"+p.list[0].Addr()+"/maint")
	if err != nil || status != http.StatusOK {
		return fmt.Errorf("the host is not taken out: %d, %v", status, err)
	}
	yes := time.Now()
	time.Sleep(time.Second)
	if r.trouble {
		if err := os.Remove(full); err != nil {
			return err
		}
		r.note("the disk has room again")
	}
	r.ask10(front, "before")
	time.Sleep(12 * time.Second)
	g.signal(syscall.SIGTERM)
	if err := g.wait(5 * time.Second); err != nil {
		return err
	}
	if _, err := r.start(config, management); err != nil {
		return err
	}
	r.ask10(front, "after")
	r.judge(p, yes)
	return nil
}

// ask10 sends some requests, one after the other.
func (r *run) ask10(front, name string) {
	for i := range 10 {
		nc, err := net.Dial("tcp", front)
		if err != nil {
			r.note("client: %v", err)
			continue
		}
		nc.SetDeadline(time.Now().Add(5 * time.Second))
		status, _, _, err := fake.Over(nc).Ask(http.MethodPost, "/book/uplift", "bulk", fmt.Sprintf("X-Correlation-Id: %s-%d", name, i))
		r.note("client of %s-%d has the answer %d, %v", name, i, status, err)
		nc.Close()
	}
}

const forgottenConfig = `
name = "edge"
management = "%s"

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
max_attempts = %d

[[pool.source]]
file = "hosts.json"

[[pool.source]]
discovery = "%s"

[[route]]
name = "book"
prefix = "/book"
methods = ["POST"]
class = "booking"
pool = "bookings"
`

// forgotten: discovery says that a host drains and goes down; the configuration is read again with another max_attempts.
func forgotten(r *run) error {
	p, err := r.newPair()
	if err != nil {
		return err
	}
	defer p.close()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	outage := &fake.Outage{Listener: ln}
	discovery := fake.NewDiscoveryOn(outage)
	defer discovery.End()
	management, front := port(), port()
	hosts := []string{p.list[0].Addr(), p.list[1].Addr()}
	if _, err := r.write("hosts.json", endpoints("active", hosts...)); err != nil {
		return err
	}
	text := func(attempts int) string {
		return fmt.Sprintf(forgottenConfig, management, front, attempts, discovery.Addr())
	}
	config, err := r.write("gw.toml", text(4))
	if err != nil {
		return err
	}
	started := make(chan error, 1)
	var g *gateway
	go func() {
		var err error
		g, err = r.start(config, management)
		started <- err
	}()
	watch := <-discovery.Watches
	watch.Lines <- `{"index":1,"snapshot":true,` + endpoints("active", hosts...)[1:]
	if err := <-started; err != nil {
		return err
	}
	r.ask10(front, "first")
	watch.Lines <- `{"index":2,"snapshot":false,"endpoints":[{"name":"rota-1","address":"` + hosts[0] + `","status":"leaving"}]}`
	r.note("discovery says that host 0 drains")
	told := time.Now()
	time.Sleep(time.Second)
	r.ask10(front, "drained")
	outage.Down.Store(true)
	discovery.CloseClientConnections()
	r.note("discovery is down")
	time.Sleep(time.Second)
	if r.trouble {
		if _, err := r.write("gw.toml", text(3)); err != nil {
			return err
		}
		g.signal(syscall.SIGHUP)
		if err := g.logs("configuration read again", 5*time.Second); err != nil {
			return err
		}
	}
	r.ask10(front, "reloaded")
	r.judge(p, told)
	return nil
}
