package gateway

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"frostshift/internal/config"
	"frostshift/internal/fake"
	"frostshift/internal/limit"
)

// limited is a gateway with one pool whose routes and limits are added.
func limited(t *testing.T, client, more string, host *fake.Host) *config.Model {
	t.Helper()
	return service(t, client, "http1", more, host.Addr())
}

// spare is a route without limits.
const spare = `
[[route]]
name = "spare"
prefix = "/spare"
class = "unsafe"
pool = "p"
`

// A request over its rate has 429, a true Retry-After and the fields of the draft, over both
// protocols, before its body is read, and nothing of it reaches a host.
func TestLimitsAnswer(t *testing.T) {
	for _, client := range []string{"http1", "http2"} {
		h := scripted(t, fake.Always(fake.Serve("ok")))
		g := launchNow(t, limited(t, client, `
[[limit]]
name = "resident"
key = ["header:X-Resident"]
rate = "1/h"
burst = 2
tell = true
[[limit]]
name = "all"
key = ["route"]
rate = "1000000/s"
burst = 1000
everywhere = true
[[route]]
name = "r"
prefix = "/"
class = "unsafe"
pool = "p"
limits = ["resident"]
`, h))
		s := &speaker{t: t, g: g, two: client == "http2"}
		for n := range 3 {
			a := s.ask("POST", "/a", "x-resident", "7")
			if want := fmt.Sprintf(`"resident";r=%d;t=%d`, 2-n, 3600*(n+1)); a.status != 200 || a.header.Get("RateLimit") != want || a.header.Get("RateLimit-Policy") != `"resident";q=3;w=10800` {
				t.Errorf("%s: request %d: %d %v, want %s", client, n, a.status, a.header, want)
			}
		}
		total := h.Total()
		a := s.ask("POST", "/a", "x-resident", "7")
		if a.status != 429 || a.header.Get("Retry-After") != "3600" || !strings.HasPrefix(a.header.Get("RateLimit"), `"resident";r=0;t=`) || !strings.Contains(a.header.Get("Proxy-Status"), "http_request_denied") {
			t.Errorf("%s: over the rate: %d %v", client, a.status, a.header)
		}
		if client == "http1" { // a body that never comes is not waited for
			c, err := fake.Dial(g.Addr("clients").String(), patience)
			if err != nil {
				t.Fatal(err)
			}
			fmt.Fprintf(c, "POST /a HTTP/1.1\r\nHost: x\r\nX-Resident: 7\r\nContent-Length: 100000\r\n\r\n")
			if status, _, _, err := c.Receive(); status != 429 {
				t.Errorf("with a body to come: %d, %v", status, err)
			}
			c.Close()
		}
		if h.Total() != total {
			t.Errorf("%s: a request that was refused reached a host", client)
		}
		if b := s.ask("POST", "/a", "x-resident", "8"); b.status != 200 {
			t.Errorf("%s: another key: %d", client, b.status)
		}
		if b := s.ask("POST", "/a"); b.status != 200 || b.header.Get("RateLimit") != "" {
			t.Errorf("%s: without the key: %d %v", client, b.status, b.header)
		}
	}
}

// Whatever way a request ends, it is open no more: served, refused, failed, broken off by its host,
// left by its client while at a host or held back, handed on, at a stop.
func TestLimitsOfOpenRequestsEnd(t *testing.T) {
	t.Parallel()
	var act atomic.Value
	act.Store(fake.Serve("ok"))
	h := scripted(t, func(*fake.Request) fake.Act { return act.Load().(fake.Act) })
	other := scripted(t, fake.Always(fake.Serve("other")))
	for _, client := range []string{"http1", "http2"} {
		start := func() (*running, *speaker, func() int) {
			g := launchNow(t, service(t, client, "http1", `
[[pool]]
name = "other"
hosts = ["`+other.Addr()+`"]
[[limit]]
name = "resident"
key = ["header:X-Resident"]
concurrency = 1
[[limit]]
name = "slow"
key = ["header:X-Slow"]
rate = "1/h"
burst = 100
delay = 0
[[route]]
name = "r"
prefix = "/"
class = "unsafe"
pool = "p"
limits = ["resident", "slow"]
[[route]]
name = "f"
prefix = "/on"
class = "unsafe"
pool = "p"
fallback = "other"
limits = ["resident"]
`, h.Addr()))
			return g, &speaker{t: t, g: g, two: client == "http2"}, func() int { return g.rules[0].OpenNow() }
		}
		for _, c := range []struct {
			act    fake.Act
			status int
		}{{fake.Serve("ok"), 200}, {fake.Act{Answer: fake.Answer(503, "busy")}, 502}, {fake.Break(), 502}, {fake.Error(), 500}} {
			act.Store(c.act)
			_, s, open := start()
			if a := s.ask("POST", "/x", "x-resident", "1"); a.status != c.status {
				t.Errorf("%s: %d, want %d", client, a.status, c.status)
			}
			until(t, "it is open no more", func() bool { return open() == 0 })
		}
		// While one is at its host another is refused; its client leaves, and the next may come.
		act.Store(fake.Silent())
		g, s, open := start()
		left := sits(t, g, client, h, "/x", "X-Resident: 1")
		if a := s.ask("POST", "/x", "x-resident", "1"); a.status != 429 || a.header.Get("Retry-After") != "" {
			t.Errorf("%s: beside an open one: %d %v", client, a.status, a.header)
		}
		left()
		until(t, "its client has left", func() bool { return open() == 0 })
		// One that a rate would hold back for longer than it may is refused, and open nowhere.
		act.Store(fake.Serve("ok"))
		_, s, open = start()
		if a := s.ask("POST", "/x", "x-slow", "1", "x-resident", "2"); a.status != 200 {
			t.Errorf("%s: the first: %d", client, a.status)
		}
		if a := s.ask("POST", "/x", "x-slow", "1", "x-resident", "2"); a.status != 429 || a.header.Get("Retry-After") == "" {
			t.Errorf("%s: one that would wait for longer than it may: %d", client, a.status)
		}
		until(t, "they are open no more", func() bool { return open() == 0 })
		// All hosts of its pool are gone: it is handed on.
		h.Refuse()
		if a := s.ask("POST", "/on", "x-resident", "3"); a.status != 200 || a.body != "other" {
			t.Errorf("%s: handed on: %d %q", client, a.status, a.body)
		}
		until(t, "it was handed on", func() bool { return open() == 0 })
		if err := h.Return(); err != nil {
			t.Fatal(err)
		}
		// One that is open at a stop.
		act.Store(fake.Silent())
		g, _, open = start()
		sits(t, g, client, h, "/x", "X-Resident: 1")
		g.stop()
		await(t, g.end, "the end")
		if open() != 0 {
			t.Errorf("%s: %d are open behind the stop", client, open())
		}
	}
}

// leaver sends a request and returns what has its client leave, and where an answer is told that
// comes all the same.
func leaver(t *testing.T, g *running, client, method, target, field string) (left func(), answer <-chan string) {
	t.Helper()
	told := make(chan string, 1)
	if client == "http1" {
		c, err := fake.Dial(g.Addr("clients").String(), patience)
		if err != nil {
			t.Fatal(err)
		}
		fmt.Fprintf(c, "%s %s HTTP/1.1\r\nHost: x\r\n%s\r\nContent-Length: 0\r\n\r\n", method, target, field)
		go func() {
			if status, _, header, err := c.Receive(); err == nil {
				told <- fmt.Sprint(status, " ", header)
			}
		}()
		return func() { c.Close() }, told
	}
	c := h2client(t, g)
	name, value, _ := strings.Cut(field, ": ")
	id, err := c.Open(method, target, true, strings.ToLower(name), value)
	if err != nil {
		t.Fatal(err)
	}
	go func() {
		if answers, _, err := c.Collect(id); err == nil {
			told <- fmt.Sprintf("%+v", answers[id])
		}
	}()
	return func() { c.Close() }, told
}

// sits sends a request to a host that is silent, waits until it is there and returns what has its
// client leave. One that is answered first, as where the machine stood still, is sent again.
func sits(t *testing.T, g *running, client string, h *fake.Host, target, field string) (left func()) {
	t.Helper()
	for range 4 {
		total := h.Total()
		left, answer := leaver(t, g, client, "POST", target, field)
		said := ""
		until(t, "it is at its host, or answered", func() bool {
			select {
			case said = <-answer:
			default:
			}
			return said != "" || h.Total() > total
		})
		if said == "" {
			return left
		}
		t.Logf("%s: it is not at its host, but answered: %s", client, said)
		left()
	}
	t.Fatalf("%s: it does not come to its host", client)
	return nil
}

// Requests that are held back go once their rate allows, all of them; what becomes of one whose
// client leaves meanwhile is the exchange's test.
func TestHeldBack(t *testing.T) {
	h := scripted(t, fake.Always(fake.Serve("ok")))
	for _, client := range []string{"http1", "http2"} {
		g := launchNow(t, limited(t, client, `
[[limit]]
name = "paced"
key = ["header:X-Key"]
rate = "50/s"
burst = 10
delay = 0
[[limit]]
name = "hour"
key = ["header:X-Hour"]
rate = "15/m"
burst = 4
delay = 0
[[route]]
name = "r"
prefix = "/"
class = "unsafe"
pool = "p"
limits = ["paced", "hour"]
`, h))
		total := h.Total()
		s := &speaker{t: t, g: g, two: client == "http2"}
		for n := range 5 {
			if a := s.ask("POST", "/x", "x-key", "1"); a.status != 200 {
				t.Errorf("%s: request %d: %d", client, n, a.status)
			}
		}
		if c := g.rules[0].Counts(); c.Passed != 5 || h.Total() != total+5 {
			t.Errorf("%s: %+v, %d at the host", client, c, h.Total()-total)
		}
		if a := s.ask("POST", "/x", "x-hour", "1"); a.status != 200 {
			t.Errorf("%s: %d", client, a.status)
		}
		total = h.Total()
		left, _ := leaver(t, g, client, "POST", "/x", "X-Hour: 1")
		until(t, "it is held back", func() bool { return g.rules[1].Counts().Waited == 1 && g.exchange.Open() == 1 })
		left()
		until(t, "its client has left", func() bool { return g.exchange.Open() == 0 })
		if h.Total() != total {
			t.Errorf("%s: it reached the host", client)
		}
	}
}

// Connections: so many at a time from one address, others beside them, and the same again when some
// have gone; what a listener lets in is another at a reload.
func TestLimitsOfConnections(t *testing.T) {
	t.Parallel()
	h := scripted(t, fake.Always(fake.Serve("ok")))
	text := func(most int) string {
		return fmt.Sprintf(`
[[limit]]
name = "peers"
key = ["address"]
concurrency = %d
`, most) + spare
	}
	model := func(most int) *config.Model {
		m := limited(t, "http1", text(most), h)
		m.Guards = map[string][]int{"clients": {0}}
		return m
	}
	m := model(20)
	g := launch(t, m, func(o *Options) { o.Linger = func() {} })
	addr := g.Addr("clients").String()
	from := func(ip string) (net.Conn, bool) {
		d := net.Dialer{Timeout: patience, LocalAddr: &net.TCPAddr{IP: net.ParseIP(ip)}}
		c, err := d.Dial("tcp", addr)
		if err != nil {
			t.Fatal(err)
		}
		status, _, _, err := fake.Over(c).Ask("POST", "/spare", "")
		if err != nil || status != 200 {
			c.Close()
			return nil, false
		}
		t.Cleanup(func() { c.Close() })
		return c, true
	}
	open := func() int { return g.rules[0].OpenNow() }
	var in []net.Conn
	refused := 0
	for range 10000 { // one that has asked once may be given up meanwhile, and another takes its place
		c, ok := from("127.0.0.1")
		if ok {
			in = append(in, c)
		} else {
			refused++
		}
		if n := open(); n > 20 {
			t.Fatalf("%d are open", n)
		}
	}
	if len(in) < 20 || refused < 9900 {
		t.Errorf("%d were let in and %d not", len(in), refused)
	}
	half, err := net.Dial("tcp", addr) // says nothing: it counts as well, where it is let in
	if err != nil {
		t.Fatal(err)
	}
	defer half.Close()
	for n := range 1000 {
		if _, ok := from(fmt.Sprintf("127.0.%d.%d", 1+n/250, 1+n%250)); !ok {
			t.Errorf("another address is not let in")
		}
	}
	for _, c := range in {
		c.Close()
	}
	until(t, "they have gone", func() bool { return open() == 1000 })
	if half, err = net.Dial("tcp", addr); err != nil {
		t.Fatal(err)
	}
	defer half.Close()
	until(t, "one that says nothing is let in", func() bool { return open() == 1001 })
	for range 19 {
		if _, ok := from("127.0.0.1"); !ok {
			t.Error("none is let in where some have gone")
		}
	}
	next := model(30)
	next.Listeners = m.Listeners
	if err := g.Reload(next); err != nil {
		t.Fatal(err)
	}
	if _, ok := from("127.0.0.1"); !ok || g.rules[0].Open != 30 || open() < 2 {
		t.Error("the reload's limit does not hold, or it forgot who is open")
	}
	half.Close()
	g.stop()
	await(t, g.end, "the end")
	if open() != 0 {
		t.Errorf("%d are open at the end", open())
	}
}

// A reload keeps what is known of keys; operators see who is turned away, and what a request would
// meet without its being charged.
func TestLimitsOverAReload(t *testing.T) {
	h := scripted(t, fake.Always(fake.Serve("ok")))
	model := func(rate, key string) *config.Model {
		m := limited(t, "http1", `
[[limit]]
name = "resident"
key = ["`+key+`"]
rate = "`+rate+`"
burst = 1
[[route]]
name = "r"
prefix = "/"
class = "unsafe"
pool = "p"
limits = ["resident"]
`, h)
		m.Management = "127.0.0.1:0"
		return m
	}
	m := model("1/h", "header:X-Resident")
	g := launchNow(t, m)
	get := func(page string, into any) {
		t.Helper()
		answer, err := http.Get("http://" + g.desk.Addr().String() + page)
		if err != nil {
			t.Fatal(err)
		}
		defer answer.Body.Close()
		if err := json.NewDecoder(answer.Body).Decode(into); err != nil {
			t.Fatal(err)
		}
	}
	count := func(n int, target string, fields ...string) (passed int) {
		for range n {
			if status, _, _ := ask(t, g, "POST", target, fields...); status == 200 {
				passed++
			}
		}
		return passed
	}
	if n := count(20, "/a?id=1", "X-Resident: 1"); n != 2 {
		t.Errorf("%d of 20 passed", n)
	}
	explain := func() (s limit.Standing) {
		var e LimitsExplained
		get("/limits/explain?"+url.Values{"url": {"http://x/a?id=1"}, "method": {"POST"}, "header": {"X-Resident: 1"}}.Encode(), &e)
		if e.Route != "r" || len(e.Rules) != 1 {
			t.Fatalf("%+v", e)
		}
		return e.Rules[0]
	}
	if s := explain(); !s.Over || s.After == 0 || s.Key != "1" {
		t.Errorf("%+v", s)
	}
	var status LimitsStatus
	get("/limits?names=1", &status)
	if r := status.Rules[0]; r.Counts.Rate != 18 || len(r.Heavy) != 1 || r.Heavy[0].Name != "1" || r.Keys != 1 {
		t.Errorf("%+v", status)
	}
	answer, err := http.Get("http://" + g.desk.Addr().String() + "/stats")
	if err != nil {
		t.Fatal(err)
	}
	figures, _ := io.ReadAll(answer.Body)
	answer.Body.Close()
	if !strings.Contains(string(figures), `edge_gw_limit_requests{limit="resident",result="over_rate"} 18`) {
		t.Errorf("%s", figures)
	}
	next := model("2/h", "header:X-Resident")
	next.Listeners, next.Management = m.Listeners, m.Management
	if err := g.Reload(next); err != nil {
		t.Fatal(err)
	}
	if n := count(5, "/a?id=1", "X-Resident: 1"); n != 0 {
		t.Errorf("a reload gave a second burst: %d", n)
	}
	next = model("2/h", "query:id")
	next.Listeners, next.Management = m.Listeners, m.Management
	if err := g.Reload(next); err != nil {
		t.Fatal(err)
	}
	if n := count(5, "/a?id=1", "X-Resident: 1"); n != 1 {
		t.Errorf("a rule with other keys began with a burst: %d", n)
	}
}

// launchNow is launch of a gateway that does not linger at its end.
func launchNow(t *testing.T, m *config.Model) *running {
	t.Helper()
	return launch(t, m, func(o *Options) { o.Linger, o.SendWithin = func() {}, time.Hour })
}
