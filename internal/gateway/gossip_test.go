package gateway

import (
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"strings"
	"testing"
	"time"

	"frostshift"
	"frostshift/internal/config"
	"frostshift/internal/fake"
	"frostshift/internal/gossip"
	"frostshift/internal/override"
	"frostshift/internal/peers"
)

// gossipModel is the configuration of a gateway that talks and is told that it is one of five.
func gossipModel(t *testing.T, name, talk, join, host, more string) *config.Model {
	t.Helper()
	m, _, err := config.Parse("gw.toml", fmt.Appendf(nil, `
name = %q
management = "127.0.0.3:0"
[fleet]
instances = 5
listen = %q
join = [%q]
probe = "50ms"
[[listener]]
name = "clients"
address = "127.0.0.2:0"
[[class]]
name = "look"
effect = "safe"
deadline = "5s"
[[pool]]
name = "p"
hosts = [%q]
%s
[[route]]
name = "r"
class = "look"
pool = "p"
`, name, talk, join, host, more))
	if err != nil {
		t.Fatal(err)
	}
	return m
}

// Gateways that talk go by what they hear in place of what they were told: their pools do, operators
// see it, and one that stops says so. Who has the address of the talk already ends with an error.
func TestPoolsFollowTheFleet(t *testing.T) {
	h, err := fake.NewHost(func(r *fake.Request) bool {
		_, err := io.WriteString(r.Conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
		return err == nil
	})
	if err != nil {
		t.Fatal(err)
	}
	defer h.Close()
	quick := func(o *Options) { o.Linger = func() {} }
	const subset = "[pool.subset]\nmeet = 4\nleast = 1\n" // its list says how many share a host
	a := launch(t, gossipModel(t, "a", "127.0.0.1:0", "127.0.0.1:1", h.Addr(), subset), quick)
	at := a.gossip.Addr()
	b := launch(t, gossipModel(t, "b", "127.0.0.1:0", at, h.Addr(), ""), quick)
	c := launch(t, gossipModel(t, "c", "127.0.0.1:0", at, h.Addr(), ""), quick)
	view := func(g *running) (s gossip.Status) {
		resp, err := http.Get("http://" + g.desk.Addr().String() + "/fleet")
		if err != nil {
			t.Fatal(err)
		}
		defer resp.Body.Close()
		if err := json.NewDecoder(resp.Body).Decode(&s); err != nil {
			t.Fatal(err)
		}
		return s
	}
	sharers := func(g *running) float64 {
		said := make(chan frostshift.Status, 1)
		go g.pool("p").ReportStatus(func(s frostshift.Status) { said <- s })
		return (<-said).Sharers
	}
	for _, g := range []*running{a, b, c} {
		until(t, "three are counted where five were told", func() bool { v := view(g).View; return !v.Typed && v.Count == 3 })
	}
	if got := sharers(b); got != 5 { // the typed number counts for the most there may be, in the first window
		t.Errorf("the pool reckons with %v that share a host, want 5", got)
	}
	until(t, "requests are served", func() bool { status, _, _ := ask(t, a, "GET", "/x"); return status == 200 })
	if _, err := New(gossipModel(t, "d", at, "127.0.0.1:1", h.Addr(), ""), slog.New(slog.DiscardHandler), Options{}); err == nil || !strings.Contains(err.Error(), "fleet.listen") {
		t.Errorf("an address in use: %v", err)
	}
	resp, err := http.Get("http://" + a.desk.Addr().String() + "/stats")
	if err != nil {
		t.Fatal(err)
	}
	text, _ := io.ReadAll(resp.Body)
	resp.Body.Close()
	for _, want := range []string{"edge_gw_fleet_count 3\n", "edge_gw_fleet_most 5\n", "edge_gw_fleet_side 0\n", `edge_gw_fleet_members{state="alive"} 3`} {
		if !strings.Contains(string(text), want) {
			t.Errorf("%q is not among the figures", want)
		}
	}
	// A reload and the end side by side: neither waits for the other for ever.
	reloaded := make(chan error, 1)
	go func() {
		reloaded <- c.Reload(gossipModel(t, "c", "127.0.0.1:0", at, h.Addr(), "retry_after = \"1s\"\n"))
	}()
	c.stop()
	for _, ended := range []<-chan error{reloaded, c.end} {
		select {
		case <-ended:
		case <-time.After(patience):
			t.Fatal("it does not end")
		}
	}
	until(t, "the others know that it left", func() bool {
		for _, m := range view(a).Members {
			if m.Name == "c" {
				return m.State == peers.Left
			}
		}
		return false
	})
}

// At a reload a pool gives way to another of its name: what is known of hosts is the new one's, and
// nothing of the old one's stays behind its end.
func TestVerdictsKnowThePoolsThatRun(t *testing.T) {
	model := func(more string) *config.Model {
		m := gossipModel(t, "a", "127.0.0.1:0", "127.0.0.1:1", "127.0.0.1:1", more)
		m.Gossip.Verdicts = true
		return m
	}
	m := model("")
	g := launch(t, m, func(o *Options) { o.Linger = func() {} })
	next := model("connect_timeout = \"9ms\"\n")
	next.Gossip, next.Listeners, next.Management = m.Gossip, m.Listeners, m.Management
	old := g.pools["p"]
	if err := g.Reload(next); err != nil {
		t.Fatal(err)
	}
	if g.pools["p"] == old {
		t.Fatal("the pool is the same")
	}
	await(t, old.ex.Done(), "the old pool's end")
	until(t, "the new pool's list alone is known", func() bool {
		g.hostHealth.mu.Lock()
		defer g.hostHealth.mu.Unlock()
		return len(g.hostHealth.lists) == 1 && len(g.hostHealth.lists[g.pools["p"]]) == 1
	})
}

// A word for the whole fleet outlives the process: the next one of the gateway begins with it and with its
// version, so that what is said then counts after it.
func TestWordsOutliveTheProcess(t *testing.T) {
	host, _ := serving(t, "h")
	m := gossipModel(t, "g1", "127.0.0.1:0", "127.0.0.1:1", host, "")
	m.Gossip.Overrides, m.State = true, t.TempDir()
	next := func() (*running, func(string) (int, string)) {
		g := launch(t, m, func(o *Options) { o.Linger = func() {} })
		until(t, "the pool has heard of the host", func() bool { return g.known(host) == nil })
		return g, func(call string) (int, string) {
			t.Helper()
			resp, err := http.Post("http://"+g.desk.Addr().String()+"/hosts/"+host+call, "", nil)
			if err != nil {
				t.Fatal(err)
			}
			defer resp.Body.Close()
			text, _ := io.ReadAll(resp.Body)
			return resp.StatusCode, string(text)
		}
	}
	g, call := next()
	if status, text := call("/maint?fleet=1"); status != 200 || !strings.Contains(text, "at all 1 gateways that are heard") {
		t.Fatalf("answered %d: %s", status, text)
	}
	g.overrides.mu.Lock() // one that came before it and is done late, behind it
	g.overrides.todo = append(g.overrides.todo, override.Entry{Host: host, Version: 1, By: "g0"})
	g.overrides.mu.Unlock()
	g.overrides.carryOut()
	g.mu.Lock()
	if !g.banned[host] {
		t.Error("a word that counts no more was carried out")
	}
	g.mu.Unlock()
	if status, _ := call("/maint?fleet=yes"); status != 400 {
		t.Errorf("a fleet that is no number: %d", status)
	}
	if status, _ := call("/ready?fleet=1"); status != 200 {
		t.Errorf("called back: %d", status)
	}
	if status, _ := call("/maint?fleet=1"); status != 200 {
		t.Errorf("out again: %d", status)
	}
	g.stop()
	await(t, g.end, "the end")
	g, _ = next()
	words := g.overrides.entries()
	if len(words) != 1 || !words[0].Out || words[0].Version != 3 || !g.banned[host] {
		t.Errorf("it begins with %+v, and out are %v", words, g.banned)
	}
	g.stop()
	await(t, g.end, "the end")

	m.Gossip.Overrides = false
	_, call = next()
	if status, text := call("/ready?fleet=1"); status != 503 || !strings.Contains(text, "fleet.overrides") {
		t.Errorf("where bans are not told: %d %s", status, text)
	}
	if status, _ := call("/ready"); status != 200 {
		t.Errorf("called back here: %d", status)
	}
}
