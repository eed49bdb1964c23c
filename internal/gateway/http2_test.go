package gateway

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"golang.org/x/net/http2"

	"frostshift/internal/config"
	"frostshift/internal/fake"
)

// overH2 is a gateway whose clients, and whose hosts if so, speak HTTP/2.
func overH2(t testing.TB, protocol string, hosts ...string) *config.Model {
	t.Helper()
	m, _, err := config.Parse("gw.toml", fmt.Appendf(nil, strings.Replace(head, `address = "127.0.0.1:0"`, "address = \"127.0.0.1:0\"\nprotocol = \"http2\"", 1)+`
[[pool]]
name = "p"
protocol = "%s"
hosts = ["%s"]
[[route]]
name = "look"
prefix = "/look"
class = "lookup"
pool = "p"
[[route]]
name = "book"
prefix = "/book"
class = "book"
pool = "p"
`, protocol, strings.Join(hosts, `", "`)))
	if err != nil {
		t.Fatal(err)
	}
	return m
}

func h2host(t testing.TB, settings []http2.Setting, begun, serve func(*fake.H2Stream)) *fake.H2Host {
	t.Helper()
	h, err := fake.NewH2Host(settings, begun, serve)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(h.Close)
	return h
}

func h2client(t testing.TB, g *running, settings ...http2.Setting) *fake.H2Client {
	t.Helper()
	c, err := fake.DialH2(g.Addr("clients").String(), patience, settings...)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	return c
}

func echo(s *fake.H2Stream) {
	s.Conn.Answer(s.ID, "200", s.Field(":method")+" "+s.Field(":path")+" "+string(s.Body), "x-host", "h2")
}

// Requests pass from HTTP/2 to hosts of either protocol, and from HTTP/1.1 to hosts of
// HTTP/2, unchanged; the client is one that others have written.
func TestHTTP2ThroughTheGateway(t *testing.T) {
	two := h2host(t, nil, nil, echo)
	one := scripted(t, func(r *fake.Request) fake.Act {
		return fake.Serve(r.Method + " " + r.Target + " " + string(r.Body))
	})
	tr := fake.H2Transport()
	defer tr.CloseIdleConnections()
	for name, m := range map[string]*config.Model{"hosts over HTTP/1.1": overH2(t, "http1", one.Addr()), "hosts over HTTP/2": overH2(t, "http2", two.Addr())} {
		g := launch(t, m, func(o *Options) { o.Linger = func() {} })
		for _, c := range []struct{ method, path, body string }{
			{"GET", "/look/a%2Fb?x=%41+y", ""}, {"POST", "/book/1", "bulky"}, {"POST", "/book/2", strings.Repeat("x", 64<<10)},
		} {
			r, err := http.NewRequest(c.method, g.url+c.path, strings.NewReader(c.body))
			if err != nil {
				t.Fatal(err)
			}
			r.Header.Set("Cookie", "a=1; b=2")
			resp, err := tr.RoundTrip(r)
			if err != nil {
				t.Fatalf("%s: %s %s: %v", name, c.method, c.path, err)
			}
			body, err := io.ReadAll(resp.Body)
			resp.Body.Close()
			if want := c.method + " " + c.path + " " + c.body; err != nil || resp.StatusCode != 200 || string(body) != want {
				t.Errorf("%s: %s %s: answered %d %.60q, %v", name, c.method, c.path, resp.StatusCode, body, err)
			}
		}
		g.stop()
		if err := await(t, g.end, "the end"); err != nil {
			t.Error(err)
		}
	}
	m := overH2(t, "http2", two.Addr())
	m.Listeners[0].Protocol = config.HTTP1
	g := launch(t, m)
	if status, body, h := ask(t, g, "POST", "/book/3"); status != 200 || body != "POST /book/3 " || h.Get("X-Host") != "h2" {
		t.Errorf("HTTP/1.1 to HTTP/2: answered %d %q %v", status, body, h)
	}
}

// A client resets a stream that carries an unsafe request, at every point of its life: no
// second attempt, none after that, the host's stream is cancelled, and the counts return.
func TestResetOfAnUnsafeStream(t *testing.T) {
	release := make(chan struct{})
	began := make(chan *fake.H2Stream, 16)
	host := h2host(t, nil, nil, func(s *fake.H2Stream) {
		began <- s
		select {
		case <-s.Reset:
		case <-release:
			echo(s)
		}
	})
	g := launch(t, overH2(t, "http2", host.Addr()))
	c := h2client(t, g)
	reset := func(id uint32) {
		if err := c.Write(func(f *http2.Framer) error { return f.WriteRSTStream(id, http2.ErrCodeCancel) }); err != nil {
			t.Fatal(err)
		}
	}
	// Before its last byte.
	id, _ := c.Open("POST", "/book", false, "x-correlation-id", "early", "content-length", "10")
	c.Data(id, false, []byte("half"))
	reset(id)
	// While an attempt is out.
	id, _ = c.Open("POST", "/book", true, "x-correlation-id", "out")
	s := await(t, began, "the request at the host")
	reset(id)
	await(t, s.Reset, "the call-off at the host")
	// As the answer arrives: either may win.
	for i := range 50 {
		id, _ = c.Open("POST", "/book", true, "x-correlation-id", fmt.Sprint("race", i))
		s := await(t, began, "the request at the host")
		go echo(s)
		if i%2 == 0 {
			time.Sleep(time.Duration(i) * 20 * time.Microsecond)
		}
		reset(id)
	}
	close(release)
	// Another stream goes on, and all that was reset is gone.
	id, _ = c.Open("POST", "/book", true, "x-correlation-id", "last")
	if got, _, err := c.Collect(id); err != nil || got[id].Status != "200" {
		t.Errorf("a stream beside them: %+v, %v", got[id], err)
	}
	until(t, "all that was open has ended", func() bool {
		_, streams := g.servers[g.model.Listeners[0]].two.Counts()
		return streams == 0 && g.exchange.Open() == 0 && g.budgets.requests.Used() == 0
	})
	if n := host.Seen("early").Begun; n != 0 {
		t.Errorf("a request without its last byte was sent %d times", n)
	}
	for id, s := range host.All() {
		if s.Whole > 1 {
			t.Errorf("%s came %d times", id, s.Whole)
		}
	}
}

// A slow reader with a window of 0 does not stall other streams, and what it holds is
// given back at its deadline.
func TestSlowReaderStallsNobody(t *testing.T) {
	long := strings.Repeat("x", 200<<10)
	host := h2host(t, nil, nil, func(s *fake.H2Stream) { s.Conn.Answer(s.ID, "200", long) })
	_ = host
	one := scripted(t, fake.Always(fake.Serve(long)))
	g := launch(t, overH2(t, "http1", one.Addr()))
	c := h2client(t, g, http2.Setting{ID: http2.SettingInitialWindowSize, Val: 0})
	slow, _ := c.Open("GET", "/look/slow", true, "x-time-left", "700m")
	var others []uint32
	for range 10 {
		id, _ := c.Open("GET", "/look/quick", true)
		others = append(others, id)
	}
	c.Write(func(f *http2.Framer) error {
		for _, id := range others {
			if err := f.WriteWindowUpdate(id, 1<<20); err != nil {
				return err
			}
		}
		return f.WriteWindowUpdate(0, 1<<24)
	})
	got, _, err := c.Collect(append(others, slow)...)
	if err != nil {
		t.Fatal(err)
	}
	for _, id := range others {
		if got[id].Status != "200" || len(got[id].Body) != len(long) {
			t.Errorf("stream %d: %s with %d bytes", id, got[id].Status, len(got[id].Body))
		}
	}
	if a := got[slow]; a.Reset == nil || a.Body != "" {
		t.Errorf("the slow stream: %+v, want it reset at its deadline", a)
	}
	until(t, "what it held is given back", func() bool { return g.budgets.answers.Used() == 0 })
}

// A drain partway through 500 open streams: every stream that was accepted ends with one
// answer, every other is provably unprocessed.
func TestDrainPartwayThrough(t *testing.T) {
	release := make(chan struct{})
	host := h2host(t, []http2.Setting{{ID: http2.SettingMaxConcurrentStreams, Val: 1000}}, nil, func(s *fake.H2Stream) {
		<-release
		echo(s)
	})
	m := overH2(t, "http2", host.Addr())
	for i := range m.Classes { // nothing here is late, however slow the machine: what is past its aim is called off
		m.Classes[i].Aim, m.Classes[i].Deadline = 10*patience, 10*patience
	}
	g := launch(t, m, func(o *Options) { o.Linger = func() {}; o.RoundTrip = patience })
	var clients []*fake.H2Client
	var ids [2][]uint32
	for i := range 2 {
		c := h2client(t, g, http2.Setting{ID: http2.SettingInitialWindowSize, Val: 1 << 20})
		for j := range 250 {
			id, err := c.Open("GET", "/look", true, "x-correlation-id", fmt.Sprintf("%d-%d", i, j))
			if err != nil {
				t.Fatal(err)
			}
			ids[i] = append(ids[i], id)
		}
		clients = append(clients, c)
	}
	until(t, "all are open", func() bool {
		_, n := g.servers[g.model.Listeners[0]].two.Counts()
		return n == 500
	})
	g.stop()
	// What is opened after the drain has begun, before its last word and after it.
	var all sync.WaitGroup
	for i, c := range clients {
		all.Go(func() {
			answered, early := map[uint32]int{}, map[uint32]bool{}
			var last, late uint32 = allOpen, 0
			opened := false
			for {
				f, err := c.Read()
				if err != nil {
					break
				}
				switch f := f.(type) {
				case *http2.GoAwayFrame:
					last = f.LastStreamID
					if !opened {
						opened = true
						if last != allOpen {
							t.Errorf("the first notice names %d", last)
						}
					} else {
						late, _ = c.Open("GET", "/look", true, "x-correlation-id", fmt.Sprintf("%d-late", i))
						if i == 0 {
							close(release)
						}
					}
				case *http2.MetaHeadersFrame:
					answered[f.StreamID]++
				case *http2.RSTStreamFrame:
					early[f.StreamID] = true
				}
			}
			for _, id := range ids[i] {
				if taken := id <= last; taken && answered[id] != 1 || !taken && answered[id] != 0 {
					t.Errorf("client %d: stream %d, last taken %d: %d answers", i, id, last, answered[id])
				}
			}
			if late == 0 || late <= last || answered[late] != 0 || host.Seen(fmt.Sprintf("%d-late", i)).Begun != 0 {
				t.Errorf("client %d: a stream after the last word: id %d, last %d, %d answers", i, late, last, answered[late])
			}
		})
	}
	all.Wait()
	if err := await(t, g.end, "the end"); err != nil {
		t.Error(err)
	}
	for id, s := range host.All() {
		if s.Whole != 1 {
			t.Errorf("%s came %d times", id, s.Whole)
		}
	}
}
