// Package demo runs a whole gateway between stand-in hosts, some of which fail, and
// stand-in clients with steady traffic, and tells what becomes of it. It is what
// "stilespool demo" shows; it decides and measures nothing that others rely on.
package demo

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"sort"
	"strings"
	"sync"
	"time"

	"frostshift/internal/config"
	"frostshift/internal/fake"
	"frostshift/internal/gateway"
)

const (
	clients = 40
	pause   = 100 * time.Millisecond // of a client between an answer and its next request, on average
)

// form is the configuration; the addresses of hosts are filled in.
const form = `
name = "demo"

[[listener]]
name = "clients"
address = "127.0.0.1:0"

[[class]]
name = "lookup"
effect = "safe"
aim = "300ms"
deadline = "1s"

[[class]]
name = "booking"
effect = "unsafe"
aim = "300ms"
deadline = "1s"
worth = 5

[[pool]]
name = "rota"
hosts = [%[1]s]

[[pool]]
name = "rota-next"
hosts = [%[2]s]

[[pool]]
name = "bookings"
hosts = [%[3]s]

[[pool]]
name = "spare"
hosts = [%[4]s]

[[route]]
name = "calendar"
prefix = "/calendar"
class = "lookup"
pool = "rota"

[[route]]
name = "rota"
prefix = "/rota"
class = "lookup"
pools = [{ pool = "rota", weight = 9 }, { pool = "rota-next", weight = 1 }]
stable = { query = "household" }
fallback = "spare"

[[route]]
name = "bookings"
prefix = "/bookings"
methods = ["POST"]
class = "booking"
pool = "bookings"
fallback = "spare"
`

// part is one stand-in host with its script.
type part struct {
	pool, name, trouble string
	script              func(since time.Duration) fake.Act
}

// cast is all hosts. What ails them depends on the time since the start, as a share of
// the whole.
func cast(length time.Duration) []part {
	work := func(base time.Duration) time.Duration {
		return base/2 + time.Duration(rand.ExpFloat64()*float64(base)/2)
	}
	good := func(base time.Duration) func(time.Duration) fake.Act {
		return func(time.Duration) fake.Act {
			a := fake.Serve("ok\n")
			a.After = work(base)
			return a
		}
	}
	between := func(from, to float64, trouble fake.Act, base time.Duration) func(time.Duration) fake.Act {
		usual := good(base)
		return func(since time.Duration) fake.Act {
			if share := float64(since) / float64(length); share >= from && share < to {
				return trouble
			}
			return usual(since)
		}
	}
	return []part{
		{"rota", "rota-1", "", good(8 * time.Millisecond)},
		{"rota", "rota-2", "three times slower", good(24 * time.Millisecond)},
		{"rota", "rota-3", "errors from 30% to 60%", between(0.3, 0.6, fake.Error(), 8*time.Millisecond)},
		{"rota", "rota-4", "silent from 50% to 80%", between(0.5, 0.8, fake.Silent(), 8*time.Millisecond)},
		{"rota-next", "next-1", "resets from 60% on", between(0.6, 2, fake.Break(), 8*time.Millisecond)},
		{"bookings", "book-1", "turns all away from 40% to 60%", between(0.4, 0.6, fake.Turned(), 12*time.Millisecond)},
		{"bookings", "book-2", "resets from 70% to 80%", between(0.7, 0.8, fake.Break(), 12*time.Millisecond)},
		{"spare", "spare-1", "", good(15 * time.Millisecond)},
	}
}

// tally counts answers by what they were.
type tally struct {
	mu                              sync.Mutex
	served, late, refused, failed   int
	lastServed, lastRefused, lastFD int
}

func (t *tally) add(status int, took time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	switch {
	case status == http.StatusOK && took > 300*time.Millisecond:
		t.late++
		t.served++
	case status == http.StatusOK:
		t.served++
	case status == http.StatusNotFound:
		t.served++
	case status == http.StatusServiceUnavailable:
		t.refused++
	default:
		t.failed++
	}
}

// Run plays the demo for the time, or until stop says so, and ends with a summary.
func Run(out io.Writer, length time.Duration, stop <-chan os.Signal) error {
	start := time.Now()
	parts := cast(length)
	hosts := make([]*fake.Host, len(parts))
	addresses := map[string][]string{}
	for i, p := range parts {
		h, err := fake.Scripted(func(r *fake.Request) fake.Act {
			a := p.script(time.Since(start))
			if strings.HasPrefix(r.Target, "/calendar") && a.End == fake.Keep && strings.HasPrefix(a.Answer, "HTTP/1.1 200") {
				a.Answer = fake.Answer(http.StatusNotFound, "no such council\n")
			}
			return a
		})
		if err != nil {
			return err
		}
		defer h.Close()
		hosts[i] = h
		addresses[p.pool] = append(addresses[p.pool], `"`+h.Addr()+`"`)
	}
	list := func(pool string) string { return strings.Join(addresses[pool], ", ") }
	m, _, err := config.Parse("demo.toml", fmt.Appendf(nil, form, list("rota"), list("rota-next"), list("bookings"), list("spare")))
	if err != nil {
		return err
	}
	g, err := gateway.New(m, slog.New(slog.DiscardHandler), gateway.Options{Linger: func() {}})
	if err != nil {
		return err
	}
	ctx, end := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- g.Run(ctx) }()
	addr := g.Addr("clients").String()
	fmt.Fprintf(out, "a gateway at %s, %d clients, %d hosts, for %v:\n", addr, clients, len(hosts), length)
	for _, p := range parts {
		if p.trouble != "" {
			fmt.Fprintf(out, "  %-7s of pool %-9s %s\n", p.name, p.pool, p.trouble)
		}
	}
	load, done := context.WithTimeout(ctx, length)
	var t tally
	var all sync.WaitGroup
	for i := range clients {
		all.Go(func() { client(load, addr, i, &t) })
	}
	watch(load, stop, func() { t.line(out, time.Since(start), parts, hosts) })
	done()
	all.Wait()
	summary(out, &t, g)
	end()
	return <-ended
}

// watch calls show every second until the context ends or stop says so.
func watch(load context.Context, stop <-chan os.Signal, show func()) {
	tick := time.NewTicker(time.Second)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
			show()
		case <-stop:
			return
		case <-load.Done():
			return
		}
	}
}

// client asks until the context ends.
func client(ctx context.Context, addr string, i int, t *tally) {
	tr := &http.Transport{MaxIdleConnsPerHost: 1, DialContext: (&net.Dialer{}).DialContext}
	defer tr.CloseIdleConnections()
	for n := 0; ctx.Err() == nil; n++ {
		method, path := http.MethodGet, fmt.Sprintf("/rota/today?household=%d", rand.IntN(1000))
		if n%10 == 5 {
			path = "/calendar/unknown" // the service's own 404, which is an answer like any other
		}
		if n%4 == 3 {
			method, path = http.MethodPost, "/bookings/uplift"
		}
		r, err := http.NewRequest(method, "http://"+addr+path, nil)
		if err != nil {
			return
		}
		began := time.Now()
		resp, err := tr.RoundTrip(r)
		if err == nil {
			_, err = io.Copy(io.Discard, resp.Body)
			resp.Body.Close()
		}
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			t.add(0, time.Since(began))
		} else {
			t.add(resp.StatusCode, time.Since(began))
		}
		select {
		case <-time.After(time.Duration(rand.ExpFloat64() * float64(pause))):
		case <-ctx.Done():
		}
	}
}

// line is the live line.
func (t *tally) line(out io.Writer, since time.Duration, parts []part, hosts []*fake.Host) {
	t.mu.Lock()
	served, refused, failed := t.served-t.lastServed, t.refused-t.lastRefused, t.failed-t.lastFD
	t.lastServed, t.lastRefused, t.lastFD = t.served, t.refused, t.failed
	t.mu.Unlock()
	fmt.Fprintf(out, "%4.0fs  served %4d  refused %3d  failed %3d  attempts so far:", since.Seconds(), served, refused, failed)
	for i, p := range parts {
		fmt.Fprintf(out, " %s %d", p.name, hosts[i].Total())
	}
	fmt.Fprintln(out)
}

func summary(out io.Writer, t *tally, g *gateway.Gateway) {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := max(1, t.served+t.refused+t.failed)
	fmt.Fprintf(out, "\nof %d requests %.1f%% were served (%.1f%% late), %.1f%% refused, %.1f%% failed\n", n,
		100*float64(t.served)/float64(n), 100*float64(t.late)/float64(n), 100*float64(t.refused)/float64(n), 100*float64(t.failed)/float64(n))
	counts := g.Counts()
	names := make([]string, 0, len(counts))
	for name := range counts {
		names = append(names, name)
	}
	sort.Strings(names)
	fmt.Fprintf(out, "%-10s %8s %8s %8s %9s %9s\n", "pool", "served", "refused", "failed", "handed on", "attempts")
	for _, name := range names {
		c := counts[name]
		fmt.Fprintf(out, "%-10s %8d %8d %8d %9d %9d\n", name, c.Served.Load(), c.Refused.Load(), c.Failed.Load(), c.HandedOn.Load(), c.Attempts.Load())
	}
}
