package gateway

import (
	"fmt"
	"strings"
	"sync"
	"testing"

	"frostshift/internal/fake"
)

// The answer that came first is kept while another attempt is out: it is what the client gets
// if that one brings none, and when the request's time is up at the latest.
func TestKeptAnswers(t *testing.T) {
	for _, c := range []struct {
		name string
		then fake.Act
		want int
		body string
	}{
		{"then a good one", fake.Serve("good"), 200, "good"},
		{"then none", fake.Silent(), 503, "first"},
		{"then a broken connection, four times", fake.Break(), 503, "first"},
		{"then noise", fake.Act{Answer: "noise\r\n\r\n", End: fake.Close}, 503, "first"},
		{"then a worse one", fake.Error(), 500, ""},
	} {
		var mu sync.Mutex
		n := 0
		h := scripted(t, func(r *fake.Request) fake.Act {
			mu.Lock()
			defer mu.Unlock()
			if n++; n == 1 {
				return fake.Act{Answer: fake.Answer(503, "first", "X-First: 1", "Retry-After: 3600")}
			}
			return c.then
		})
		g := launch(t, service(t, "http1", "http1", routes, h.Addr()))
		s := &speaker{t: t, g: g}
		a, err := s.try("GET", "/safe", "X-Time-Left", "700m")
		for more := 20; err != nil && more > 0; more-- { // its time was up before the machine ran the gateway
			until(t, "nothing is open", func() bool { return g.exchange.Open() == 0 })
			mu.Lock()
			n = 0
			mu.Unlock()
			a, err = s.try("GET", "/safe", "X-Time-Left", "700m")
		}
		if err != nil {
			t.Fatalf("%s: %v", c.name, err)
		}
		if a.status != c.want || a.body != c.body || (a.header.Get("Retry-After") == "3600") != (c.want == 503) {
			t.Errorf("%s: answered %d %q %v", c.name, a.status, a.body, a.header)
		}
		until(t, "nothing is open", func() bool { return g.exchange.Open() == 0 })
	}
}

// A client that leaves while an answer is kept: nothing is left of it.
func TestClientLeavesWhileAnAnswerIsKept(t *testing.T) {
	long := strings.Repeat("x", 40<<10) // it holds room that others share
	var mu sync.Mutex
	n := 0
	h := scripted(t, func(r *fake.Request) fake.Act {
		mu.Lock()
		defer mu.Unlock()
		if n++; n == 1 {
			return fake.Act{Answer: fake.Answer(503, long)}
		}
		return fake.Silent()
	})
	g := launch(t, service(t, "http1", "http1", routes, h.Addr()))
	c, err := fake.Dial(g.Addr("clients").String(), patience)
	if err != nil {
		t.Fatal(err)
	}
	c.Send("GET", "/safe", "")
	if !h.Await(2, patience) {
		t.Fatal("there is no second attempt")
	}
	c.Close()
	until(t, "nothing is open", func() bool {
		return g.exchange.Open() == 0 && g.budgets.answers.Used() == 0 && g.budgets.requests.Used() == 0
	})
}

// Answers ahead of the one that counts are passed over; 101, which nobody asked for, is none.
func TestAnswersAhead(t *testing.T) {
	h := scripted(t, func(r *fake.Request) fake.Act {
		status := r.Target[strings.LastIndexByte(r.Target, '/')+1:]
		return fake.Act{Answer: "HTTP/1.1 " + status + " X\r\nX-A: 1\r\n\r\n" + fake.Answer(200, "ok")}
	})
	g := launch(t, service(t, "http1", "http1", routes, h.Addr()))
	s := &speaker{t: t, g: g}
	for status := 100; status < 200; status++ {
		want := 200
		if status == 101 {
			want = 502
		}
		if a := s.ask("POST", fmt.Sprintf("/unsafe/%d", status)); a.status != want {
			t.Errorf("%d ahead: answered %d, want %d", status, a.status, want)
		}
	}
}

// Where memory is short a long answer that is kept gives its room to the attempt that may
// bring a better one.
func TestKeptAnswerMakesRoom(t *testing.T) {
	long := strings.Repeat("x", 200<<10)
	var mu sync.Mutex
	n := 0
	h := scripted(t, func(r *fake.Request) fake.Act {
		mu.Lock()
		defer mu.Unlock()
		if n++; n == 1 {
			return fake.Act{Answer: fake.Answer(503, long)}
		}
		return fake.Serve(long)
	})
	m := service(t, "http1", "http1", routes, h.Addr())
	m.Limits.MemoryMB = 1 // a quarter of it for answers
	m.Pools[0].Guarantee = 1
	g := launch(t, m)
	s := &speaker{t: t, g: g}
	if a := s.ask("GET", "/safe/x"); a.status != 200 || a.body != long || h.Total() != 2 {
		t.Errorf("answered %d with %d bytes after %d attempts", a.status, len(a.body), h.Total())
	}
	until(t, "no room is held", func() bool { return g.budgets.answers.Used() == 0 })
}

// One team that is told 429 harms no host: the others' requests go on as before. With a rule that 429 proves that nothing has
// run it is the same, and an unsafe request's client gets it too.
func TestTooManyOfOneClient(t *testing.T) {
	h := scripted(t, func(r *fake.Request) fake.Act {
		if strings.Contains(r.Target, "greedy") {
			return fake.Act{Answer: fake.Answer(429, "", "Retry-After: 3600")}
		}
		return fake.Serve("ok")
	})
	g := launch(t, service(t, "http1", "http1", routes+`
[[answers]]
name = "limited"
[[answers.rule]]
status = ["429"]
ran = "never"
[[route]]
name = "limited"
prefix = "/limited"
class = "unsafe"
pool = "p"
answers = "limited"
`, h.Addr()))
	s := &speaker{t: t, g: g}
	for i := range 200 {
		method, target := "GET", "/safe/greedy"
		if i%2 == 0 {
			method, target = "POST", "/limited/greedy"
		}
		if a := s.ask(method, target); a.status != 429 || a.header.Get("Retry-After") != "3600" || a.header.Get("Proxy-Status") != "" {
			t.Fatalf("answered %d %v", a.status, a.header)
		}
		if a := s.ask("GET", "/safe/quiet"); a.status != 200 {
			t.Fatalf("request %d of another: answered %d", i, a.status)
		}
	}
	if n := h.Total(); n != 400 {
		t.Errorf("%d attempts for 400 requests", n)
	}
	if c := g.Counts()["p"]; c.Blamed.Load() != 0 || c.Faults.Load() != 0 {
		t.Errorf("%d faults", c.Faults.Load())
	}
}
