package gateway

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"frostshift/internal/fake"
	"frostshift/internal/front"
)

func TestRequestGoesOnUnchanged(t *testing.T) {
	addr, got := serving(t, "answer of a")
	g := gatewayFor(t, "a", addr)
	for _, class := range []string{"lookup", "book", "report"} {
		body := ""
		if class != "lookup" {
			body = strings.Repeat("bin ", 5000)
		}
		r := request(t, g.url, class, body)
		r.URL.Opaque = "/" + class + "/a%2Fb/%7e"
		r.URL.RawQuery = "obj=7f&x=%41+b"
		status, answer, _ := do(t, r)
		if status != 200 || answer != "answer of a" {
			t.Fatalf("%s: answered %d %q", class, status, answer)
		}
		s := await(t, got, "the request at the host")
		want := seen{r.Method, "/" + class + "/a%2Fb/%7e?obj=7f&x=%41+b", r.Header.Get("X-Correlation-Id"), r.Header.Get("Idempotency-Key"), s.left, body}
		if s != want {
			t.Errorf("host saw %.200v, want %.200v", s, want)
		}
		left, err := strconv.Atoi(strings.TrimSuffix(s.left, "u"))
		if err != nil || left <= 0 || left > 30e6 {
			t.Errorf("host was told %q left", s.left)
		}
		if len(got) > 0 {
			t.Errorf("%s: host saw more than one request", class)
		}
	}
}

// Long answers share a part of the memory, which they give back.
func TestLongAnswersShareTheRoom(t *testing.T) {
	long := strings.Repeat("x", 325<<10)
	addr, _ := rawHost(t, func(_ int, c net.Conn, _ *fake.Request) bool {
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(long), long)
		return true
	})
	g := gatewayFor(t, "a", addr)
	for range 20 {
		if status, body, _ := do(t, request(t, g.url, "book", "x")); status != 200 || body != long {
			t.Fatalf("answered %d with %d bytes", status, len(body))
		}
	}
	answers := g.pools["hosts"].answers
	// A client has its answer a moment before the gateway has given its room back.
	held := func(want int64) {
		t.Helper()
		for end := time.Now().Add(patience); answers.Used() != want; time.Sleep(time.Millisecond) {
			if time.Now().After(end) {
				t.Fatalf("%d bytes of answers count as held", answers.Used()-want)
			}
		}
	}
	held(0)
	others := g.budgets.answers.Total() - 100<<10
	if !answers.Take(others) {
		t.Fatal("there is no room to take")
	}
	if status, body, _ := do(t, request(t, g.url, "book", "x")); status != 200 || body != long {
		t.Errorf("without room: answered %d with %d bytes: it can flow", status, len(body))
	}
	held(others)
}

func TestRefusedConnectionIsTriedElsewhere(t *testing.T) {
	addr, _ := serving(t, "b")
	g := gatewayFor(t, "a", fake.ReservedAddress(t), "b", addr)
	for range 20 {
		if status, body, _ := do(t, request(t, g.url, "book", "x")); status != 200 || body != "b" {
			t.Fatalf("answered %d %q", status, body)
		}
	}
}

// An unsafe request that may have run is neither sent again nor refused.
func TestUnsafeRequestRunsOnce(t *testing.T) {
	addr, count := rawHost(t, func(int, net.Conn, *fake.Request) bool { return false })
	g := gatewayFor(t, "a", addr)
	if status, _, _ := do(t, request(t, g.url, "book", "x")); status != http.StatusBadGateway {
		t.Errorf("answered %d, want 502", status)
	}
	if n := count(); n != 1 {
		t.Errorf("host got %d requests, want 1", n)
	}
}

func TestRefusalSaysWhenToComeBack(t *testing.T) {
	g := gatewayFor(t)
	status, _, h := do(t, request(t, g.url, "book", "x"))
	after, err := strconv.ParseFloat(h.Get("Retry-After"), 64)
	if status != http.StatusServiceUnavailable || err != nil || after <= 0 || after > 2 {
		t.Errorf("answered %d, Retry-After %q", status, h.Get("Retry-After"))
	}
}

func TestAnswerComesBeforeTheDeadline(t *testing.T) {
	release := make(chan struct{})
	defer close(release)
	addr, _ := rawHost(t, func(int, net.Conn, *fake.Request) bool { <-release; return false })
	g := gatewayFor(t, "a", addr)
	r := request(t, g.url, "book", "x")
	r.Header.Set("X-Time-Left", "1500m")
	if status, _, _ := do(t, r); status != http.StatusBadGateway {
		t.Errorf("answered %d, want 502", status)
	}
}

func TestClientGoneCallsOffTheAttempt(t *testing.T) {
	taken, closed := make(chan struct{}), make(chan struct{})
	addr, count := rawHost(t, func(_ int, c net.Conn, _ *fake.Request) bool {
		close(taken)
		c.Read(make([]byte, 1))
		close(closed)
		return false
	})
	g := gatewayFor(t, "a", addr)
	ctx, leave := context.WithCancel(context.Background())
	failed := make(chan error, 1)
	go func() {
		resp, err := client.Do(request(t, g.url, "lookup", "").WithContext(ctx))
		if err == nil {
			resp.Body.Close()
		}
		failed <- err
	}()
	await(t, taken, "the request at the host")
	leave()
	await(t, closed, "the call-off at the host")
	if err := await(t, failed, "the client's end"); err == nil {
		t.Error("the client that left got an answer")
	}
	if n := count(); n != 1 {
		t.Errorf("host got %d requests, want 1", n)
	}
}

func TestMalformedRequestsReachNoHost(t *testing.T) {
	addr, got := serving(t, "a")
	g := gatewayFor(t, "a", addr)
	set := func(name, value string) func(*http.Request) {
		return func(r *http.Request) { r.Header.Set(name, value) }
	}
	body := func(s string) func(*http.Request) {
		return func(r *http.Request) {
			r.Body, r.ContentLength = io.NopCloser(strings.NewReader(s)), int64(len(s))
		}
	}
	for _, c := range []struct {
		name, class string
		change      func(*http.Request)
		want        int
	}{
		{"unknown class", "lookup", set("X-Service-Class", "bogus"), 400},
		{"no class", "lookup", set("X-Service-Class", ""), 400},
		{"class of another path", "lookup", set("X-Service-Class", "book"), 400},
		{"no id", "lookup", set("X-Correlation-Id", ""), 400},
		{"no key", "report", set("Idempotency-Key", ""), 400},
		{"time without unit", "book", set("X-Time-Left", "480"), 400},
		{"time without number", "book", set("X-Time-Left", "m"), 400},
		{"empty time", "book", set("X-Time-Left", ""), 400},
		{"time in hexadecimal", "book", set("X-Time-Left", "0x1Fm"), 400},
		{"body where none belongs", "lookup", body("x"), 400},
		{"negative time", "book", set("X-Time-Left", "-1m"), 400},
		{"no time at all", "book", set("X-Time-Left", "NaNm"), 400},
		{"method", "book", func(r *http.Request) { r.Method = "PUT" }, 405},
		{"unknown path", "lookup", func(r *http.Request) { r.URL.Path = "/"; r.Header.Del("X-Service-Class") }, 404},
	} {
		r := request(t, g.url, c.class, "")
		c.change(r)
		if status, _, _ := do(t, r); status != c.want {
			t.Errorf("%s: answered %d, want %d", c.name, status, c.want)
		}
	}
	if n := len(got); n != 0 {
		t.Errorf("%d malformed requests reached a host", n)
	}
	r := request(t, g.url, "book", "")
	body(strings.Repeat("x", 64<<10))(r)
	if status, _, _ := do(t, r); status != 200 {
		t.Errorf("longest body: answered %d", status)
	}
}

// At the order to stop, what is held gets its answer, and what comes while the front
// still deals out connections is served too.
func TestStopFinishesWhatIsHeld(t *testing.T) {
	taken, release := make(chan struct{}, 8), make(chan struct{})
	addr, _ := rawHost(t, func(_ int, c net.Conn, r *fake.Request) bool {
		taken <- struct{}{}
		if strings.HasPrefix(r.Target, "/book") {
			<-release
		}
		io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
		return true
	})
	closing := make(chan struct{})
	g := launch(t, parse(t, discover(t).Addr(), listOf(1, true, entry("a", addr, "active"))),
		func(o *Options) { o.Linger = func() { <-closing } })
	type result struct {
		status int
		err    error
	}
	held := make(chan result, 1)
	go func() {
		resp, err := client.Do(request(t, g.url, "book", "x"))
		if err != nil {
			held <- result{0, err}
			return
		}
		resp.Body.Close()
		held <- result{resp.StatusCode, nil}
	}()
	await(t, taken, "the request at the host")
	keeps := &http.Client{Transport: &http.Transport{}}
	g.stop()
	for end := time.Now().Add(patience); ; { // until answers close their connections
		resp, err := keeps.Do(request(t, g.url, "lookup", ""))
		if err != nil || resp.StatusCode != 200 {
			t.Fatalf("request after the order to stop: %v, %+v", err, resp)
		}
		resp.Body.Close()
		await(t, taken, "the request at the host")
		if resp.Close {
			break
		}
		if time.Now().After(end) {
			t.Fatal("it does not stop")
		}
	}
	close(closing)
	close(release)
	if r := await(t, held, "the held answer"); r.err != nil || r.status != 200 {
		t.Errorf("what was held ended as %+v", r)
	}
	if err := await(t, g.end, "the end"); err != nil {
		t.Errorf("ended with %v", err)
	}
}

// What is still held when the kill is near fails; it is not lost.
func TestLeftoversFailAtTheEnd(t *testing.T) {
	taken, closed := make(chan struct{}), make(chan struct{})
	addr, _ := rawHost(t, func(_ int, c net.Conn, _ *fake.Request) bool {
		close(taken)
		c.Read(make([]byte, 1))
		close(closed)
		return false
	})
	g := gatewayFor(t, "a", addr)
	go func() {
		<-taken
		g.pools["hosts"].ex.FailAll()
	}()
	if status, _, _ := do(t, request(t, g.url, "lookup", "")); status != http.StatusBadGateway {
		t.Errorf("answered %d, want 502", status)
	}
	await(t, closed, "the call-off at the host")
}

// Many at once, at hosts of which one serves, one breaks every connection and one
// turns everything away: each request gets one answer, and an unsafe one that a host
// may have run is at no host a second time.
func TestManyAtOnce(t *testing.T) {
	var mu sync.Mutex
	ran := map[string]int{}
	count := func(r *fake.Request) {
		mu.Lock()
		ran[r.Header.Get("X-Correlation-Id")]++
		mu.Unlock()
	}
	good, _ := rawHost(t, func(_ int, c net.Conn, r *fake.Request) bool {
		count(r)
		io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
		return true
	})
	breaks, _ := rawHost(t, func(_ int, c net.Conn, r *fake.Request) bool { count(r); return false })
	full, _ := rawHost(t, func(_ int, c net.Conn, _ *fake.Request) bool {
		io.WriteString(c, "HTTP/1.1 503 Busy\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n")
		return true
	})
	g := gatewayFor(t, "good", good, "breaks", breaks, "full", full)
	kept := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 20}}
	defer kept.CloseIdleConnections()
	classes := []string{"lookup", "book", "report"}
	var all sync.WaitGroup
	for worker := range 20 {
		reqs := make([]*http.Request, 15)
		for i := range reqs {
			reqs[i] = request(t, g.url, classes[i%3], "x")
			if i%3 == 0 {
				reqs[i] = request(t, g.url, "lookup", "")
			}
			reqs[i].Header.Set("X-Correlation-Id", fmt.Sprintf("%s-%d-%d", classes[i%3], worker, i))
		}
		all.Add(1)
		go func() {
			defer all.Done()
			for _, r := range reqs {
				resp, err := kept.Do(r)
				if err != nil {
					t.Error(err)
					continue
				}
				body, err := io.ReadAll(resp.Body)
				resp.Body.Close()
				switch s := resp.StatusCode; {
				case err != nil:
					t.Error(err)
				case s == 200 && string(body) != "ok", s != 200 && s != 502 && s != 503:
					t.Errorf("answered %d %q", s, body)
				}
			}
		}()
	}
	all.Wait()
	mu.Lock()
	defer mu.Unlock()
	if len(ran) == 0 {
		t.Error("nothing ran at all")
	}
	for id, n := range ran {
		if strings.HasPrefix(id, "book") && n > 1 {
			t.Errorf("%s ran %d times", id, n)
		}
		if n > 4 {
			t.Errorf("%s had %d attempts", id, n)
		}
	}
}

// A request that stands in the body of another, found by those who go by one of two
// lengths and missed by those who go by the other, must not be taken for a request.
// Nor may what follows on a malformed one, which may be a part of it.
func TestNothingBehindAMalformedRequestIsRead(t *testing.T) {
	addr, got := serving(t, "a")
	g := gatewayFor(t, "a", addr)
	hidden := plain("Content-Length: 0\r\n", "")
	for _, c := range []struct{ name, text, status string }{
		{"two lengths", plain(fmt.Sprintf("Content-Length: %d\r\nTransfer-Encoding: chunked\r\n", len(hidden)+5), "0\r\n\r\n"+hidden), "400"},
		{"size of a chunk", plain("Transfer-Encoding: chunked\r\n", "zz\r\n\r\n"+hidden), "400"},
		{"old protocol", strings.Replace(plain("Content-Length: 1\r\nTransfer-Encoding: chunked\r\n", "x"+hidden), "1.1", "1.0", 1), "505"},
		{"no time", plain("X-Time-Left: soon\r\nContent-Length: 0\r\n", hidden), "400"},
		{"negative length", plain("Content-Length: -4\r\n", hidden), "400"},
		{"unknown path", strings.Replace(plain("Content-Length: 0\r\n", hidden), "/book", "/books", 1), "404"},
	} {
		answer := talk(t, g, c.text)
		if len(answer) < 12 || answer[9:12] != c.status || strings.Count(answer, "HTTP/1.") != 1 {
			t.Errorf("%s: answered %.200q", c.name, answer)
		}
	}
	if len(got) != 0 {
		t.Errorf("%d of them reached a host", len(got))
	}
}

// A client that drips its head or its body, or says nothing, must not hold a connection.
func TestSlowSendersAreClosed(t *testing.T) {
	t.Parallel()
	addr, got := serving(t, "a")
	d := discover(t)
	g := launch(t, parse(t, d.Addr(), listOf(1, true, entry("a", addr, "active"))),
		func(o *Options) { o.SendWithin = 100 * time.Millisecond })
	for _, text := range []string{"", "POST /book HT", plain("Content-Length: 9\r\n", "half")} {
		if answer := talk(t, g, text); answer != "" && !strings.HasPrefix(answer, "HTTP/1.1 4") {
			t.Errorf("%.20q: answered %.200q", text, answer)
		}
	}
	if len(got) != 0 {
		t.Errorf("%d of them reached a host", len(got))
	}
	// A whole request may take longer than that to be answered, and its client is not gone.
	slow, _ := rawHost(t, func(_ int, c net.Conn, _ *fake.Request) bool {
		time.Sleep(300 * time.Millisecond)
		io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
		return true
	})
	g = launch(t, parse(t, d.Addr(), listOf(1, true, entry("a", slow, "active"))),
		func(o *Options) { o.SendWithin = 100 * time.Millisecond })
	for _, class := range []string{"lookup", "book"} {
		if status, body, _ := do(t, request(t, g.url, class, map[string]string{"book": "x"}[class])); status != 200 {
			t.Errorf("%s at a slow host: answered %d %q", class, status, body)
		}
	}
}

// Two requests of one id would be one to the hosts.
func TestOpenIDIsTakenOnce(t *testing.T) {
	taken, release := make(chan struct{}, 8), make(chan struct{})
	addr, count := rawHost(t, func(_ int, c net.Conn, _ *fake.Request) bool {
		taken <- struct{}{}
		<-release
		io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
		return true
	})
	g := gatewayFor(t, "a", addr)
	first := request(t, g.url, "book", "x")
	ended := make(chan int, 1)
	go func() {
		resp, err := client.Do(first)
		if err != nil {
			ended <- 0
			return
		}
		resp.Body.Close()
		ended <- resp.StatusCode
	}()
	await(t, taken, "the request at the host")
	second := request(t, g.url, "lookup", "")
	second.Header.Set("X-Correlation-Id", first.Header.Get("X-Correlation-Id"))
	if status, _, _ := do(t, second); status != http.StatusConflict {
		t.Errorf("the second request of an open id: answered %d", status)
	}
	if n := count(); n != 1 {
		t.Errorf("host got %d requests, want 1", n)
	}
	close(release)
	if status := await(t, ended, "the first answer"); status != 200 {
		t.Errorf("the first request: answered %d", status)
	}
	if status, _, _ := do(t, second); status != 200 { // it is not kept in mind
		t.Errorf("an id that is open no more: answered %d", status)
	}
}

// Requests beyond their share of the descriptors are refused with advice, not left
// waiting in the kernel's queue: what waits there counts as taken.
func TestRequestsBeyondTheirShareAreRefused(t *testing.T) {
	addr, got := serving(t, "a")
	cfg := parse(t, discover(t).Addr(), listOf(1, true, entry("a", addr, "active")))
	g := launch(t, cfg)
	g.pools["hosts"].requests.Take(g.budgets.requests.Total())
	status, _, h := do(t, request(t, g.url, "book", "x"))
	if after, err := strconv.ParseFloat(h.Get("Retry-After"), 64); status != 503 || err != nil || after <= 0 || len(got) != 0 {
		t.Errorf("answered %d, Retry-After %q, %d requests at the host", status, h.Get("Retry-After"), len(got))
	}
}

// Connections that say nothing, or have asked once and stay, must not keep those out
// that ask: they make room, the silent ones first.
func TestQuietConnectionsMakeRoom(t *testing.T) {
	release := make(chan struct{})
	h := scripted(t, func(r *fake.Request) fake.Act {
		if string(r.Body) == "held" {
			return fake.Act{Until: release, Answer: fake.Answer(200, "held")}
		}
		return fake.Serve("a")
	})
	cfg := parse(t, discover(t).Addr(), listOf(1, true, entry("a", h.Addr(), "active")))
	for round, bound := range [][2]int{
		{6, 1 << 20}, // all connections
		{1 << 20, 3}, // those that have asked
	} {
		conns := front.NewConns(bound[0], bound[1], 0)
		g := launch(t, cfg, func(o *Options) { o.Conns, o.SendWithin = conns, time.Hour })
		// One with an open request, whose client has said nothing since, is never closed.
		held, err := net.Dial("tcp", g.Addr("clients").String())
		if err != nil {
			t.Fatal(err)
		}
		defer held.Close()
		io.WriteString(held, plain("X-Time-Left: 50000m\r\nContent-Length: 4\r\n", "held"))
		if !h.Await(round*8+1, patience) {
			t.Fatal("the held request does not come")
		}
		var quiet []net.Conn
		for i := range 12 {
			c, err := net.Dial("tcp", g.Addr("clients").String())
			if err != nil {
				t.Fatal(err)
			}
			defer c.Close()
			quiet = append(quiet, c)
			if i%2 == 0 { // asks once and stays
				io.WriteString(c, plain("Content-Length: 0\r\n", ""))
				c.SetReadDeadline(time.Now().Add(patience))
				if resp, err := http.ReadResponse(bufio.NewReader(c), nil); err != nil || resp.StatusCode != 200 {
					t.Fatalf("request %d: %v, %+v", i, err, resp)
				}
			}
		}
		if status, _, _ := do(t, request(t, g.url, "book", "x")); status != 200 {
			t.Errorf("answered %d", status)
		}
		// One may be open beyond the bound for as long as all others are new or ask, and the next that comes
		// once they are neither brings them back within it.
		if open, _ := conns.Counts(); open > bound[0]+bound[0]/16+1 {
			t.Errorf("%d connections are open", open)
		}
		until(t, "all are within their bounds", func() bool {
			open, asked := conns.Counts()
			if open <= bound[0] && asked <= bound[1] {
				return true
			}
			do(t, request(t, g.url, "book", "x"))
			return false
		})
		closed := 0
		for _, c := range quiet {
			c.SetReadDeadline(time.Now().Add(50 * time.Millisecond))
			if _, err := c.Read(make([]byte, 1)); !errors.Is(err, os.ErrDeadlineExceeded) {
				closed++
			}
		}
		if round == 0 {
			close(release)
		}
		held.SetReadDeadline(time.Now().Add(patience))
		if resp, err := http.ReadResponse(bufio.NewReader(held), nil); err != nil || resp.StatusCode != 200 {
			t.Errorf("the held request: %v, %+v", err, resp)
		}
		if closed < 3 {
			t.Errorf("%d of %d quiet connections were closed, want 3 at least", closed, len(quiet))
		}
	}
}

// A client that tells no time waits as long as its class allows.
func TestTimeLeftIsTheClassesWhereNoneIsTold(t *testing.T) {
	addr, got := serving(t, "a")
	g := gatewayFor(t, "a", addr)
	r := request(t, g.url, "book", "x")
	r.Header.Del("X-Time-Left")
	if status, _, _ := do(t, r); status != 200 {
		t.Fatalf("answered %d", status)
	}
	s := await(t, got, "the request at the host")
	if left, err := strconv.Atoi(strings.TrimSuffix(s.left, "u")); err != nil || left <= 0 || left > 60e6 {
		t.Errorf("host was told %q left", s.left)
	}
}
