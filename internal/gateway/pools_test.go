package gateway

import (
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"frostshift/internal/config"
	"frostshift/internal/fake"
	"frostshift/internal/membership/keeper"
)

// head is the part of a configuration of our own that the tests below share.
const head = `
[[listener]]
name = "clients"
address = "127.0.0.1:0"
[[class]]
name = "lookup"
effect = "safe"
aim = "1s"
deadline = "3s"
[[class]]
name = "book"
effect = "unsafe"
aim = "1s"
deadline = "3s"
`

func own(t *testing.T, text string) *config.Model {
	t.Helper()
	m, _, err := config.Parse(filepath.Join(t.TempDir(), "gw.toml"), []byte(head+text))
	if err != nil {
		t.Fatal(err)
	}
	return m
}

func scripted(t *testing.T, s fake.Script) *fake.Host {
	t.Helper()
	h, err := fake.Scripted(s)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(h.Close)
	return h
}

// ask sends one request on a new connection.
func ask(t *testing.T, g *running, method, target string, headers ...string) (int, string, http.Header) {
	t.Helper()
	c, err := fake.Dial(g.Addr("clients").String(), patience)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	status, body, header, err := c.Ask(method, target, "", headers...)
	if err != nil {
		t.Fatalf("%s %s: %v", method, target, err)
	}
	return status, body, header
}

// until looks until a condition holds.
func until(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for end := time.Now().Add(patience); !holds(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("waited in vain until %s", what)
		}
	}
}

// A request needs none of the platform's headers where the routes say all: it gets an id,
// its path is rewritten, or its bytes stay.
func TestOwnConfigurationServes(t *testing.T) {
	var last atomic.Pointer[fake.Request]
	h := scripted(t, func(r *fake.Request) fake.Act { last.Store(r); return fake.Serve("served") })
	g := launch(t, own(t, fmt.Sprintf(`
[[pool]]
name = "p"
hosts = ["%s"]
[[route]]
name = "api"
host = "*.rota.test"
prefix = "/api"
methods = ["GET", "PUT"]
class = "lookup"
pool = "p"
rewrite = { replace = "/v2" }
[[route]]
name = "rest"
prefix = "/raw"
class = "book"
pool = "p"
`, h.Addr())))
	for _, c := range []struct {
		method, target, host string
		status               int
		goesOn               string
	}{
		{"GET", "/api/today?x=%41", "a.rota.test", 200, "/v2/today?x=%41"},
		{"PUT", "/api", "A.Rota.Test:80", 200, "/v2"},
		{"POST", "/api", "a.rota.test", 405, ""},
		{"GET", "/api", "rota.test", 404, ""},
		{"DELETE", "/raw/a%2fb//c/%7E?", "any", 200, "/raw/a%2fb//c/%7E?"},
		{"DELETE", "http://any/raw/%7E?a", "any", 200, "/raw/%7E?a"},
		{"GET", "/raw/../api", "a.rota.test", 400, ""},
		{"GET", "/raw/a\\..\\b", "any", 200, "/raw/a\\..\\b"},
		{"GET", "/raw/%00", "any", 400, ""},
		{"GET", "/elsewhere", "any", 404, ""},
	} {
		last.Store(nil)
		c2, err := fake.Dial(g.Addr("clients").String(), patience)
		if err != nil {
			t.Fatal(err)
		}
		fmt.Fprintf(c2, "%s %s HTTP/1.1\r\nHost: %s\r\nContent-Length: 0\r\n\r\n", c.method, c.target, c.host)
		status, _, _, err := c2.Receive()
		c2.Close()
		if err != nil || status != c.status {
			t.Errorf("%s %s: answered %d, %v, want %d", c.method, c.target, status, err, c.status)
			continue
		}
		r := last.Load()
		if (r != nil) != (c.goesOn != "") || r != nil && (r.Target != c.goesOn || r.ID == "" || r.Method != c.method) {
			t.Errorf("%s %s: the host got %+v, want %s", c.method, c.target, r, c.goesOn)
		}
	}
}

// A pool whose hosts take everything and answer nothing fills with open requests as far
// as it is lent any; the others lose nothing by it.
func TestSilentPoolCostsTheOthersNothing(t *testing.T) {
	silent := scripted(t, fake.Always(fake.Silent()))
	good := []*fake.Host{scripted(t, fake.Always(fake.Serve("ok"))), scripted(t, fake.Always(fake.Serve("ok")))}
	m := own(t, fmt.Sprintf(`
[limits]
descriptors = 512
[[pool]]
name = "silent"
hosts = ["%s"]
[[pool]]
name = "good"
hosts = ["%s", "%s"]
[[route]]
name = "silent"
prefix = "/silent"
class = "book"
pool = "silent"
[[route]]
name = "good"
prefix = "/good"
class = "lookup"
pool = "good"
`, silent.Addr(), good[0].Addr(), good[1].Addr()))
	g := launch(t, m)
	measure := func() float64 {
		const each, workers = 50, 8
		var inTime atomic.Int64
		var all sync.WaitGroup
		for range workers {
			all.Go(func() {
				for range each {
					began := time.Now()
					status, _, _ := ask(t, g, "GET", "/good")
					if status == 200 && time.Since(began) < time.Second {
						inTime.Add(1)
					}
				}
			})
		}
		all.Wait()
		return float64(inTime.Load()) / (each * workers)
	}
	quiet := measure()
	// The flood: as many clients as connections allow, each asking again at once.
	stop := make(chan struct{})
	var flood sync.WaitGroup
	for range 180 {
		flood.Go(func() {
			for {
				select {
				case <-stop:
					return
				default:
				}
				c, err := fake.Dial(g.Addr("clients").String(), patience)
				if err != nil {
					return
				}
				if status, _, _, err := c.Ask("POST", "/silent", ""); err == nil && status == 200 {
					t.Error("a silent host served")
				}
				c.Close()
				time.Sleep(10 * time.Millisecond)
			}
		})
	}
	p := g.pools["silent"]
	// All but the other pool's guarantee. The balancer lets only some at the host; the rest
	// wait a part of their aim and are refused, so the holding is looked at under load.
	until(t, "the silent pool holds more than its guarantee", func() bool {
		return p.requests.Used() > int64(p.def.Guarantee*float64(g.budgets.requests.Total()))
	})
	flooded := measure()
	close(stop)
	flood.Wait()
	t.Logf("in time: %.3f quiet, %.3f beside the flood", quiet, flooded)
	if flooded < quiet-0.02 {
		t.Errorf("served in time: %.3f, quiet %.3f", flooded, quiet)
	}
}

// The hard bound by itself: a pool that holds all it can leaves the others' part free.
func TestFullPoolIsRefusedAtOnce(t *testing.T) {
	h := scripted(t, fake.Always(fake.Serve("ok")))
	g := launch(t, own(t, fmt.Sprintf(`
[limits]
descriptors = 512
[[pool]]
name = "a"
hosts = ["%[1]s"]
[[pool]]
name = "b"
hosts = ["%[1]s"]
[[route]]
name = "a"
prefix = "/a"
class = "book"
pool = "a"
[[route]]
name = "b"
prefix = "/b"
class = "book"
pool = "b"
[[route]]
name = "c"
prefix = "/c"
class = "book"
pool = "a"
fallback = "b"
`, h.Addr())))
	a, taken := g.pools["a"].requests, int64(0)
	for a.Take(1) {
		taken++
	}
	if total := g.budgets.requests.Total(); taken >= total || taken < total/2 {
		t.Errorf("a pool could hold %d of %d", taken, total)
	}
	if status, _, h := ask(t, g, "POST", "/a"); status != 503 || h.Get("Retry-After") == "" {
		t.Errorf("the full pool answered %d, %v", status, h)
	}
	if status, _, _ := ask(t, g, "POST", "/b"); status != 200 {
		t.Errorf("the other pool answered %d", status)
	}
	if status, _, _ := ask(t, g, "POST", "/c"); status != 200 {
		t.Errorf("the full pool's fallback answered %d", status)
	}
}

func hostsFile(entries ...string) string {
	return `{"endpoints":[` + strings.Join(entries, ",") + `]}`
}

// A host that stands in two pools drains in each as that pool's list says; a list that
// empties refuses, or falls back; a file that is cut short changes nothing.
func TestHostInTwoPoolsAndListsThatEmpty(t *testing.T) {
	shared, only, spare := scripted(t, fake.Always(fake.Serve("shared"))), scripted(t, fake.Always(fake.Serve("only"))), scripted(t, fake.Always(fake.Serve("spare")))
	dir := t.TempDir()
	write := func(name, text string) {
		t.Helper()
		if err := os.WriteFile(filepath.Join(dir, name+".new"), []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		if err := os.Rename(filepath.Join(dir, name+".new"), filepath.Join(dir, name)); err != nil {
			t.Fatal(err)
		}
	}
	active := func(h *fake.Host) string { return entry(h.Addr(), h.Addr(), "active") }
	write("p.json", hostsFile(active(shared), active(only)))
	write("q.json", hostsFile(active(shared)))
	m, _, err := config.Parse(filepath.Join(dir, "gw.toml"), fmt.Appendf(nil, head+`
[[pool]]
name = "p"
file = "p.json"
belief = { off = true }
[[pool]]
name = "q"
file = "q.json"
belief = { off = true }
[[pool]]
name = "spare"
hosts = ["%s"]
[[route]]
name = "p"
prefix = "/p"
class = "book"
pool = "p"
fallback = "spare"
[[route]]
name = "q"
prefix = "/q"
class = "book"
pool = "q"
`, spare.Addr()))
	if err != nil {
		t.Fatal(err)
	}
	g := launch(t, m, func(o *Options) { o.LookEvery = time.Millisecond })
	answers := func(target, want string) func() bool {
		return func() bool { _, body, _ := ask(t, g, "POST", target); return strings.TrimSpace(body) == want }
	}
	until(t, "p serves from its list", func() bool { _, body, _ := ask(t, g, "POST", "/p"); return body == "only" })
	until(t, "q serves", answers("/q", "shared"))
	write("p.json", hostsFile(entry(shared.Addr(), shared.Addr(), "leaving"), active(only)))
	// That the list has been heard shows at a host that the same file brings next.
	write("p.json", hostsFile(entry(shared.Addr(), shared.Addr(), "leaving"), active(spare)))
	until(t, "p follows its list", answers("/p", "spare"))
	before := shared.Total()
	for range 30 {
		ask(t, g, "POST", "/p")
	}
	if n := shared.Total() - before; n != 0 {
		t.Errorf("%d requests went to a host that drains in that pool", n)
	}
	if _, body, _ := ask(t, g, "POST", "/q"); body != "shared" {
		t.Errorf("the other pool answered %q", body)
	}
	if err := os.WriteFile(filepath.Join(dir, "q.json"), []byte(hostsFile(active(only), active(spare))[:60]), 0o600); err != nil {
		t.Fatal(err)
	}
	write("p.json", hostsFile(active(only))) // heard after the cut file has been looked at, as often as not
	until(t, "p follows its list again", answers("/p", "only"))
	if _, body, _ := ask(t, g, "POST", "/q"); body != "shared" {
		t.Errorf("after a file that was cut short: %q", body)
	}
	write("q.json", hostsFile())
	until(t, "q is empty", answers("/q", "busy"))
	if status, _, h := ask(t, g, "POST", "/q"); status != 503 || h.Get("Retry-After") == "" {
		t.Errorf("with an empty list: %d, %v", status, h)
	}
	write("p.json", hostsFile())
	until(t, "p falls back", answers("/p", "spare"))
	write("p.json", hostsFile(active(only)))
	write("q.json", hostsFile(active(shared)))
	until(t, "p is back", answers("/p", "only"))
	until(t, "q is back", answers("/q", "shared"))
}

// A list that loses all hosts but a new one is doubted: those that answer are kept. One that
// names them as leaving is followed at once.
func TestListThatLies(t *testing.T) {
	dir := t.TempDir()
	write := func(text string) {
		t.Helper()
		next := filepath.Join(dir, "next")
		if err := os.WriteFile(next, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		if err := os.Rename(next, filepath.Join(dir, "hosts.json")); err != nil {
			t.Fatal(err)
		}
	}
	var hosts []*fake.Host
	for _, name := range []string{"a", "b", "c", "new", "newer"} {
		hosts = append(hosts, scripted(t, fake.Always(fake.Serve(name))))
	}
	old, fresh, newer := hosts[:3], hosts[3], hosts[4]
	entries := func(status string, list ...*fake.Host) (out []string) {
		for _, h := range list {
			out = append(out, entry(h.Addr(), h.Addr(), status))
		}
		return out
	}
	write(hostsFile(entries("active", old...)...))
	m, _, err := config.Parse(filepath.Join(dir, "gw.toml"), []byte(`
views = "."
[[listener]]
name = "clients"
address = "127.0.0.1:0"
[[class]]
name = "look"
effect = "safe"
aim = "20ms"
deadline = "5s"
[[pool]]
name = "p"
file = "hosts.json"
[[route]]
name = "p"
class = "look"
pool = "p"
`))
	if err != nil {
		t.Fatal(err)
	}
	g := launch(t, m, func(o *Options) { o.LookEvery = time.Millisecond })
	asked := func(h *fake.Host) func() bool {
		before := h.Total()
		return func() bool { ask(t, g, "GET", "/x"); return h.Total() > before }
	}
	for _, h := range old {
		until(t, "an old host is asked", asked(h))
	}
	write(hostsFile(entries("active", fresh)...))
	until(t, "the new host is asked", asked(fresh))
	for _, h := range old {
		until(t, "an old host is asked still", asked(h))
	}
	until(t, "the view tells what is doubted", func() bool {
		text, err := os.ReadFile(keeper.ViewPath(dir, "p"))
		return err == nil && strings.Contains(string(text), "not listed for") && strings.Contains(string(text), `"Use":"drawn"`)
	})
	write(hostsFile(append(entries("leaving", old...), entries("active", newer)...)...))
	until(t, "the newer host is asked", asked(newer))
	before := old[0].Total() + old[1].Total() + old[2].Total()
	for range 50 {
		if status, body, _ := ask(t, g, "GET", "/x"); status != 200 {
			t.Errorf("%d %q", status, body)
		}
	}
	if n := old[0].Total() + old[1].Total() + old[2].Total() - before; n > 0 {
		t.Errorf("%d requests went to hosts that leave", n)
	}
}

// A key does not go on to the fallback, where its repeats would not be known once the first
// pool is back; what needs no memory does.
func TestKeysDoNotGoOn(t *testing.T) {
	gone, spare := scripted(t, fake.Always(fake.Serve("first"))), scripted(t, fake.Always(fake.Serve("spare")))
	gone.Refuse()
	g := launch(t, own(t, fmt.Sprintf(`
[[class]]
name = "report"
effect = "keyed"
window = "30s"
deadline = "1s"
[[pool]]
name = "gone"
hosts = ["%s"]
[[pool]]
name = "spare"
hosts = ["%s"]
[[route]]
name = "report"
prefix = "/report"
class = "report"
pool = "gone"
fallback = "spare"
[[route]]
name = "look"
prefix = "/look"
class = "lookup"
pool = "gone"
fallback = "spare"
`, gone.Addr(), spare.Addr())))
	for range 5 {
		if status, body, _ := ask(t, g, "POST", "/report", "Idempotency-Key: a"); status == 200 {
			t.Errorf("a key was served by %q", body)
		}
		if status, body, _ := ask(t, g, "GET", "/look"); status != 200 || body != "spare" {
			t.Errorf("a lookup: %d %q", status, body)
		}
	}
	if err := gone.Return(); err != nil {
		t.Fatal(err)
	}
	until(t, "the first pool serves the key", func() bool { _, body, _ := ask(t, g, "POST", "/report", "Idempotency-Key: a"); return body == "first" })
}

// An unsafe request that a host of one pool may have run is not sent to the fallback.
func TestFallbackOverSockets(t *testing.T) {
	breaks, spare := scripted(t, fake.Always(fake.Break())), scripted(t, fake.Always(fake.Serve("spare")))
	gone := scripted(t, fake.Always(fake.Serve("")))
	gone.Refuse()
	g := launch(t, own(t, fmt.Sprintf(`
[[pool]]
name = "breaks"
hosts = ["%s"]
[[pool]]
name = "gone"
hosts = ["%s"]
[[pool]]
name = "spare"
hosts = ["%s"]
[[route]]
name = "breaks"
prefix = "/breaks"
class = "book"
pool = "breaks"
fallback = "spare"
[[route]]
name = "gone"
prefix = "/gone"
class = "book"
pool = "gone"
fallback = "spare"
`, breaks.Addr(), gone.Addr(), spare.Addr())))
	if status, _, _ := ask(t, g, "POST", "/breaks", "X-Correlation-Id: first"); status != 502 || breaks.Seen("first").Whole != 1 || spare.Total() != 0 {
		t.Errorf("answered %d, %d at the pool, %d at the fallback", status, breaks.Total(), spare.Total())
	}
	for i := range 20 {
		if status, body, _ := ask(t, g, "POST", "/gone"); status != 200 || body != "spare" {
			t.Errorf("request %d at a pool that takes no connection: %d %q", i, status, body)
		}
	}
}
