package benchmarks

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"frostshift/internal/config"
	"frostshift/internal/fake"
	"frostshift/internal/gateway"
)

const (
	listHosts   = 10
	listWork    = 5 * time.Millisecond
	listSlots   = 4  // requests that a host works on at once; it turns others away
	listClients = 30 // connections, each asks again as soon as it is answered
	listTrue    = 1500 * time.Millisecond
	listLie     = 5 * time.Second
	leastServed = 0.99
)

// lie is a list that is wrong for a while.
type lie struct {
	name string
	tell func(all []string) (hosts []string)
}

var lies = []lie{
	{"half of the hosts", func(all []string) []string { return all[:len(all)/2] }},
	{"one host", func(all []string) []string { return all[:1] }},
	{"no host", func([]string) []string { return nil }},
	{"hosts that none can reach", func(all []string) (list []string) {
		for i := range all { // nothing listens on these
			list = append(list, fmt.Sprintf("127.0.0.1:%d", 1+i))
		}
		return list
	}},
	{"yesterday's: two of ours, eight that are gone", func(all []string) (list []string) {
		for i := range len(all) - 2 {
			list = append(list, fmt.Sprintf("127.0.0.1:%d", 1+i))
		}
		return append(list, all[:2]...)
	}},
}

// runLists measures what is served while a list lies, believed as it is and held against
// what is seen.
func runLists(out io.Writer) (string, bool, error) {
	fmt.Fprintf(out, "%d hosts that do %d requests at once in %v each, %d clients; each list is wrong for %v\n", listHosts, listSlots, listWork, listClients, listLie)
	fmt.Fprintf(out, "%-46s %22s %26s\n", "the list names", "followed blindly: served", "held against sockets: served")
	worst := 1.0
	for _, l := range lies {
		blind, blindRate, err := tellLie(l, false)
		if err != nil {
			return "", false, err
		}
		held, heldRate, err := tellLie(l, true)
		if err != nil {
			return "", false, err
		}
		worst = min(worst, held)
		fmt.Fprintf(out, "%-46s %9.3f, %7.0f/s %17.3f, %7.0f/s\n", l.name, blind, blindRate, held, heldRate)
	}
	return fmt.Sprintf("at least %.3f of the requests served beside every lie, aim %.2f", worst, leastServed), worst >= leastServed, nil
}

// tellLie runs a gateway whose list becomes a lie, and returns the part of the requests
// that were served meanwhile, and how many a second.
func tellLie(l lie, doubt bool) (served, rate float64, err error) {
	var hosts []string
	for range listHosts {
		slots := make(chan struct{}, listSlots)
		h, err := fake.Scripted(func(r *fake.Request) fake.Act {
			select {
			case slots <- struct{}{}:
			default:
				return fake.Turned()
			}
			defer func() { <-slots }()
			time.Sleep(listWork)
			return fake.Serve("ok")
		})
		if err != nil {
			return 0, 0, err
		}
		h.Forgetful()
		defer h.Close()
		hosts = append(hosts, h.Addr())
	}
	dir, err := os.MkdirTemp("", "lists")
	if err != nil {
		return 0, 0, err
	}
	defer os.RemoveAll(dir)
	write := func(list []string) error {
		entries := make([]string, 0, len(list))
		for _, a := range list {
			entries = append(entries, fmt.Sprintf(`{"name":%q,"address":%[1]q}`, a))
		}
		next := filepath.Join(dir, "next")
		if err := os.WriteFile(next, []byte(`{"endpoints":[`+strings.Join(entries, ",")+`]}`), 0o600); err != nil {
			return err
		}
		return os.Rename(next, filepath.Join(dir, "hosts.json"))
	}
	if err := write(hosts); err != nil {
		return 0, 0, err
	}
	m, _, err := config.Parse("lists.toml", fmt.Appendf(nil, `
[[listener]]
name = "clients"
address = "127.0.0.1:0"
[[class]]
name = "lookup"
effect = "safe"
aim = "200ms"
deadline = "1s"
[[pool]]
name = "p"
file = %q
belief = { off = %v }
[[route]]
name = "r"
class = "lookup"
pool = "p"
`, filepath.Join(dir, "hosts.json"), !doubt))
	if err != nil {
		return 0, 0, err
	}
	g, err := gateway.New(m, slog.New(slog.DiscardHandler), gateway.Options{Linger: func() {}})
	if err != nil {
		return 0, 0, err
	}
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- g.Run(ctx) }()
	defer func() { stop(); <-ended }()
	var all, good atomic.Int64
	var clients sync.WaitGroup
	end := time.Now().Add(listTrue + listLie)
	for range listClients {
		clients.Go(func() {
			for time.Now().Before(end) {
				askUntil(g.Addr("clients"), end, &all, &good)
			}
		})
	}
	time.Sleep(listTrue)
	before, beforeGood := all.Load(), good.Load()
	if err := write(l.tell(hosts)); err != nil {
		return 0, 0, err
	}
	clients.Wait()
	asked, answered := float64(all.Load()-before), float64(good.Load()-beforeGood)
	return answered / asked, answered / listLie.Seconds(), nil
}

// askUntil asks over one connection until it ends or the time is over. Who is turned away
// waits a little, as a client should.
func askUntil(addr net.Addr, end time.Time, all, good *atomic.Int64) {
	c, err := fake.Dial(addr.String(), 2*time.Second)
	if err != nil {
		return
	}
	defer c.Close()
	for time.Now().Before(end) {
		status, _, _, err := c.Ask("GET", "/x", "")
		all.Add(1)
		switch {
		case err != nil:
			return
		case status == 200:
			good.Add(1)
		default:
			time.Sleep(50 * time.Millisecond)
		}
	}
}
