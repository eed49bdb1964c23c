package gateway

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"frostshift/internal/config"
	"frostshift/internal/fake"
)

// usedInstead asks until a host gets requests, and fails if another one gets any from then on: the
// list that brought the one has been heard, and it says that nothing more goes to the other.
func usedInstead(t *testing.T, g *running, used, left chan seen) {
	t.Helper()
	until(t, "the new host gets requests", func() bool {
		do(t, request(t, g.url, "lookup", ""))
		return len(used) > 0
	})
	before := len(left)
	for range 50 {
		do(t, request(t, g.url, "lookup", ""))
	}
	if n := len(left) - before; n != 0 {
		t.Errorf("%d requests went to a host that is to get nothing", n)
	}
}

// A drain that comes right behind a reload holds, though the source of the list is another by then
// and its first list is a whole one that leaves the host out: what a whole list does not name is
// gone, also where it still answers. So it is where a watch that broke begins with the whole list.
func TestDrainBehindAReload(t *testing.T) {
	a, gotA := serving(t, "a")
	b, gotB := serving(t, "b")
	c, gotC := serving(t, "c")
	e, gotE := serving(t, "e")
	from, to := discover(t), discover(t)
	g := launch(t, parse(t, from.Addr(), listOf(7, true, entry("a", a, "active"), entry("b", b, "active"))))
	await(t, from.Watches, "the first watch")
	g.moveTo(t, to.Addr())
	w := await(t, to.Watches, "the watch at the new address")
	say(t, w, listOf(3, true, entry("b", b, "active"), entry("c", c, "active"))) // a drains, and is left out
	usedInstead(t, g, gotC, gotA)
	say(t, w, listOf(4, false, entry("b", b, "leaving"), entry("e", e, "active")))
	usedInstead(t, g, gotE, gotB)
	close(w.Lines) // it ends, without an error
	w = await(t, to.Watches, "the watch behind the end")
	d, gotD := serving(t, "d")
	say(t, w, strings.ReplaceAll(listOf(9, true, entry("d", d, "active")), ",", ",\n  ")) // indented, and without c and e
	until(t, "the last host gets requests", func() bool {
		do(t, request(t, g.url, "lookup", ""))
		return len(gotD) > 0
	})
	beforeC, beforeE := len(gotC), len(gotE)
	for range 50 {
		do(t, request(t, g.url, "lookup", ""))
	}
	if n, m := len(gotC)-beforeC, len(gotE)-beforeE; n+m != 0 {
		t.Errorf("%d requests went to hosts that the whole list leaves out", n+m)
	}
}

// A client that leaves while its first attempt is out ends the request: the attempt is called off,
// and no further one begins when it has ended.
func TestClientLeavesBetweenAttempts(t *testing.T) {
	for _, reset := range []bool{false, true} {
		taken, gone := make(chan struct{}, 8), make(chan struct{}, 8)
		addr, count := rawHost(t, func(_ int, c net.Conn, _ *fake.Request) bool {
			taken <- struct{}{}
			c.Read(make([]byte, 1)) // until the attempt is called off
			gone <- struct{}{}
			return false
		})
		g := gatewayFor(t, "a", addr, "b", addr)
		conn, err := net.Dial("tcp", g.Addr("clients").String())
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
		fmt.Fprintf(conn, "GET /lookup HTTP/1.1\r\nHost: a\r\nX-Service-Class: lookup\r\nX-Correlation-Id: left-%t\r\n\r\nGET /lookup", reset)
		await(t, taken, "the attempt at the host")
		if reset {
			fake.Reset(conn)
		} else {
			conn.Close()
		}
		await(t, gone, "the end of the attempt")
		until(t, "the request has ended", func() bool { return g.exchange.Open() == 0 })
		if n := count(); n != 1 {
			t.Errorf("reset %t: %d attempts", reset, n)
		}
	}
}

// Clients that idle or stop within a head hold all that clients may hold while discovery is away;
// its return is heard, hosts are reached, and a good client is served.
func TestDescriptorsForOthersThanClients(t *testing.T) {
	addr, got := serving(t, "a")
	d := discover(t)
	text := strings.Replace(fmt.Sprintf(testConfig, d.Addr(), "null"), `"sockets":1024`, `"sockets":96`, 1)
	g := launch(t, parseText(t, text), func(o *Options) { o.SendWithin = time.Hour })
	const bound = 35 + 35/16 + 1 // of 96: 55% of all but 32, and a sixteenth more
	for i := range 2 * bound {
		c, err := net.Dial("tcp", g.Addr("clients").String())
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		if i%2 == 0 {
			io.WriteString(c, "GET /lookup HTT")
		}
	}
	until(t, "clients hold what they may", func() bool { open, _ := g.conns.Counts(); return open >= 35-1 })
	if open, _ := g.conns.Counts(); open > bound {
		t.Errorf("clients hold %d connections, the bound is %d", open, bound)
	}
	w := await(t, d.Watches, "a watch while clients hold all they may")
	say(t, w, listOf(1, true, entry("a", addr, "active")))
	conn, err := net.Dial("tcp", g.Addr("clients").String())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(patience))
	fmt.Fprint(conn, "GET /lookup HTTP/1.1\r\nHost: a\r\nX-Service-Class: lookup\r\nX-Correlation-Id: good\r\n\r\n")
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil || resp.StatusCode != 200 {
		t.Fatalf("a good client: %v, %v", resp, err)
	}
	if s := await(t, got, "the request at the host"); s.id != "good" {
		t.Errorf("the host got %+v", s)
	}
}

// A request that is turned away behind the contract's limiter has left it: as many of them as may be
// open at once, and more, keep no place.
func TestTurnedAwayBehindTheLimiter(t *testing.T) {
	h := scripted(t, fake.Always(fake.Serve("ok")))
	dir := t.TempDir()
	if err := os.WriteFile(filepath.Join(dir, "bins.toml"), []byte(contractOf("bins", "")), 0o600); err != nil {
		t.Fatal(err)
	}
	m, _, err := config.Parse(filepath.Join(dir, "gw.conf"), fmt.Appendf(nil, `
[contracts]
dir = "."
[limits]
descriptors = %d
`+head+`
[[pool]]
name = "p"
hosts = ["%s"]
[[route]]
name = "look"
prefix = "/look"
class = "lookup"
pool = "p"
request_headers = [{ set = "X-Twice", to = "${header.X-Long}${header.X-Long}" }]
`, config.LeastDescriptors, h.Addr()))
	if err != nil {
		t.Fatal(err)
	}
	g := launch(t, m)
	for range config.LeastDescriptors {
		c, err := fake.Dial(g.Addr("clients").String(), patience)
		if err != nil {
			t.Fatal(err)
		}
		status, _, _, err := c.Ask("GET", "/look", "", "Authorization: Bearer bins-token", "X-Long: "+strings.Repeat("x", 5<<10))
		c.Close()
		if err != nil || status != http.StatusRequestHeaderFieldsTooLarge {
			t.Fatalf("a field that becomes too long: %d, %v", status, err)
		}
	}
	c, err := fake.Dial(g.Addr("clients").String(), patience)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	if status, _, _, err := c.Ask("GET", "/look", "", "Authorization: Bearer bins-token", "X-Long: x"); err != nil || status != 200 {
		t.Errorf("a good request behind them: %d, %v", status, err)
	}
}
