package gateway

import (
	"context"
	"fmt"
	"log/slog"
	"os"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"go.uber.org/goleak"

	"frostshift/internal/config"
	"frostshift/internal/exchange"
	"frostshift/internal/fake"
)

// descriptors is how many this process has open. counters are the event counters among them, which are not in n: those of
// turns at the processor are made as they are needed and kept, one a processor at most.
func descriptors(t *testing.T) (n, counters int) {
	list, err := os.ReadDir("/proc/self/fd")
	if err != nil {
		t.Fatalf("this system does not list descriptors: %v", err)
	}
	for _, entry := range list {
		if target, _ := os.Readlink("/proc/self/fd/" + entry.Name()); target == "anon_inode:[eventfd]" {
			counters++
		} else {
			n++
		}
	}
	return n, counters
}

// 200 reloads under traffic: routes and pools go away while requests are open on them,
// and each still gets its one answer. Afterwards nothing of them is left.
func TestReloadsUnderTraffic(t *testing.T) {
	work := func(*fake.Request) fake.Act {
		a := fake.Serve("ok")
		a.After = 2 * time.Millisecond
		return a
	}
	var hosts []*fake.Host
	for range 4 {
		hosts = append(hosts, scripted(t, work))
	}
	ignore := goleak.IgnoreCurrent()
	base := fmt.Sprintf(`
[[pool]]
name = "kept"
hosts = ["%s"]
[[route]]
name = "kept"
prefix = "/kept"
class = "book"
pool = "kept"
`, hosts[0].Addr())
	models := []*config.Model{
		own(t, base+fmt.Sprintf(`
[[pool]]
name = "changes"
hosts = ["%s"]
max_attempts = 4
[[route]]
name = "changes"
prefix = "/changes"
class = "book"
pool = "changes"
fallback = "kept"
`, hosts[1].Addr())),
		own(t, base+fmt.Sprintf(`
[[pool]]
name = "changes"
hosts = ["%s"]
max_attempts = 3
[[pool]]
name = "comes"
hosts = ["%s"]
guarantee = 0.5
[[route]]
name = "changes"
prefix = "/changes"
class = "lookup"
pool = "changes"
[[route]]
name = "comes"
prefix = "/comes"
class = "book"
pool = "comes"
fallback = "changes"
`, hosts[2].Addr(), hosts[3].Addr())),
	}
	models[1].Listeners = models[0].Listeners
	opt := Options{Linger: func() {}}
	g, err := New(models[0], slog.New(slog.DiscardHandler), opt)
	if err != nil {
		t.Fatal(err)
	}
	ctx, end := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- g.Run(ctx) }()
	addr := g.Addr("clients").String()
	load := func(requests int, stop <-chan struct{}) {
		var all sync.WaitGroup
		for w := range 12 {
			all.Go(func() {
				c, err := fake.Dial(addr, 10*patience)
				if err != nil {
					t.Error(err)
					return
				}
				defer func() { c.Close() }()
				for i := 0; i < requests || requests == 0; i++ {
					select {
					case <-stop:
						return
					default:
					}
					path := []string{"/kept", "/changes", "/comes"}[(w+i)%3]
					id := fmt.Sprintf("%d-%d-%d", requests, w, i)
					status, _, _, err := c.Ask("POST", path, "", "X-Correlation-Id: "+id)
					if err != nil {
						t.Errorf("%s: no answer: %v", path, err)
						return
					}
					if status != 200 && !(path == "/comes" && status == 404) && status != 503 {
						t.Errorf("%s: answered %d", path, status)
					}
					if c.Closing {
						c.Close()
						if c, err = fake.Dial(addr, 10*patience); err != nil {
							t.Error(err)
							return
						}
					}
				}
			})
		}
		all.Wait()
	}
	level := func() (goroutines, fds, counters int) {
		until(t, "idle connections are closed", func() bool {
			for _, h := range hosts { // one that has only just answered is idle a moment later
				h.DropIdle()
			}
			n := 0
			for _, p := range g.pools {
				n += p.up.Open()
			}
			open, _ := g.conns.Counts()
			return n == 0 && open == 0 && g.exchange.Open() == 0
		})
		fds, counters = descriptors(t)
		return runtime.NumGoroutine(), fds, counters
	}
	load(30, nil)
	until(t, "the first pools run", func() bool { return g.Counts()["kept"].Served.Load() > 0 })
	goroutines, fds, counters := level()
	stop, loaded := make(chan struct{}), make(chan struct{})
	go func() { load(0, stop); close(loaded) }()
	var ends []*exchange.Pool
	for i := range 200 {
		ends = append(ends, g.pools["changes"].ex)
		if err := g.Reload(models[(i+1)%2]); err != nil {
			t.Fatal(err)
		}
	}
	close(stop)
	<-loaded
	for _, p := range ends[1:] {
		select {
		case <-p.Done():
		case <-time.After(patience):
			t.Fatal("a pool that was changed does not end")
		}
	}
	until(t, "goroutines and descriptors are back at their level", func() bool {
		n, d, c := level()
		return n <= goroutines && d <= fds && c <= counters+runtime.GOMAXPROCS(0)
	})
	for name, b := range map[string]int64{"requests": g.budgets.requests.Used(), "connections": g.budgets.conns.Used(), "bodies": g.budgets.bodies.Used(), "answers": g.budgets.answers.Used()} {
		if b != 0 {
			t.Errorf("%d %s count as held", b, name)
		}
	}
	for _, h := range hosts {
		for id, s := range h.All() {
			if s.Whole > 1 {
				t.Errorf("%s came %d times", id, s.Whole)
			}
		}
	}
	end()
	if err := await(t, ended, "the end"); err != nil {
		t.Error(err)
	}
	for _, h := range hosts {
		h.Close()
	}
	if err := goleak.Find(ignore); err != nil {
		t.Error(err)
	}
}

// A reload that can't be carried out changes nothing: not a listener, not a pool.
func TestReloadIsTakenWholeOrNotAtAll(t *testing.T) {
	h := scripted(t, fake.Always(fake.Serve("ok")))
	text := fmt.Sprintf(`
[[pool]]
name = "p"
hosts = ["%s"]
[[route]]
name = "r"
prefix = "/r"
class = "book"
pool = "p"
`, h.Addr())
	m := own(t, text)
	g := launch(t, m)
	taken, err := fake.NewHost(func(*fake.Request) bool { return false })
	if err != nil {
		t.Fatal(err)
	}
	defer taken.Close()
	next := own(t, strings.ReplaceAll(text, `"/r"`, `"/s"`))
	next.Listeners = append(next.Listeners, config.Listener{Name: "other", Address: "127.0.0.1:0"}, config.Listener{Name: "busy", Address: taken.Addr()})
	if err := g.Reload(next); err == nil {
		t.Fatal("a listener at an address that is in use was opened")
	}
	if status, _, _ := ask(t, g, "POST", "/r"); status != 200 || g.Addr("other") != nil {
		t.Errorf("after a reload that failed: answered %d, other listener at %v", status, g.Addr("other"))
	}
	next.Listeners = next.Listeners[:2]
	if err := g.Reload(next); err != nil {
		t.Fatal(err)
	}
	if status, _, _ := ask(t, g, "POST", "/r"); status != 404 {
		t.Errorf("a route that is gone answered %d", status)
	}
	c, err := fake.Dial(g.Addr("other").String(), patience)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	if status, _, _, err := c.Ask("POST", "/s", ""); status != 200 {
		t.Errorf("at the new listener: %d, %v", status, err)
	}
	next2 := own(t, strings.ReplaceAll(text, `"/r"`, `"/s"`))
	if err := g.Reload(next2); err != nil { // the listener goes away
		t.Fatal(err)
	}
	until(t, "the listener is closed", func() bool {
		c, err := fake.Dial(c.RemoteAddr().String(), patience)
		if err == nil {
			c.Close()
		}
		return err != nil
	})
}
