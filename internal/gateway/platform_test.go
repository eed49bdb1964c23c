package gateway

import (
	"bufio"
	"crypto/sha256"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"frostshift"
	"frostshift/internal/fake"
	"frostshift/internal/membership"
)

// On the platform's routes bodies of either side flow, whatever their form, and for longer
// than the client gives for the head of the answer.
func TestPlatformBodiesFlow(t *testing.T) {
	long := noise(8 << 20)
	sum := sha256.Sum256(long)
	host := netHost(t, "http1", func(w http.ResponseWriter, r *http.Request) {
		h := sha256.New()
		n, err := io.Copy(h, r.Body)
		if err != nil {
			return
		}
		w.Header().Set("X-Got", fmt.Sprintf("%d %x", n, h.Sum(nil)))
		if r.URL.Query().Get("obj") == "told" {
			w.Header().Set("Content-Length", fmt.Sprint(len(long)))
		}
		for i := 0; i < len(long); i += 1 << 20 {
			w.Write(long[i : i+1<<20])
			time.Sleep(200 * time.Millisecond) // all of it outlasts X-Time-Left
		}
	})
	g := gatewayFor(t, "a", host)
	var all sync.WaitGroup
	for _, obj := range []string{"told", "chunked"} {
		all.Go(func() {
			r := request(t, g.url, "book", "")
			r.URL.RawQuery = "obj=" + obj
			r.Header.Set("X-Time-Left", "1000m")
			r.Body, r.ContentLength = io.NopCloser(strings.NewReader(string(long))), -1
			resp, err := client.Do(r)
			if err != nil {
				t.Errorf("%s: %v", obj, err)
				return
			}
			defer resp.Body.Close()
			h := sha256.New()
			if _, err := io.Copy(h, resp.Body); err != nil || [32]byte(h.Sum(nil)) != sum {
				t.Errorf("%s: the answer: %v, %d", obj, err, resp.StatusCode)
			}
			if want := fmt.Sprintf("%d %x", len(long), sum); resp.Header.Get("X-Got") != want {
				t.Errorf("%s: the host got %s", obj, resp.Header.Get("X-Got"))
			}
		})
	}
	all.Wait()
}

// An answer of untold length that breaks soon has not begun for the client: another host is
// asked where that is harmless. One that breaks later looks broken.
func TestBrokenBeginningsAreAskedForAgain(t *testing.T) {
	for _, c := range []struct{ name, first string }{
		{"spoilt chunk", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nbin\r\nzz\r\n"},
		{"broken off", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nbin\r\n"},
	} {
		addr, count := rawHost(t, func(n int, conn net.Conn, _ *fake.Request) bool {
			if n == 1 {
				io.WriteString(conn, c.first)
				return false
			}
			io.WriteString(conn, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4;x=\"y\"\r\nbins\r\n0\r\n\r\n")
			return true
		})
		g := gatewayFor(t, "a", addr, "b", addr)
		if status, body, _ := do(t, request(t, g.url, "lookup", "")); status != 200 || body != "bins" || count() != 2 {
			t.Errorf("%s: answered %d %q after %d attempts", c.name, status, body, count())
		}
	}
}

// HTTP/1.0 is answered in its way: the body ends with the connection, or has a length.
func TestOldProtocolIsServed(t *testing.T) {
	addr, got := serving(t, "a")
	g := gatewayFor(t, "a", addr)
	answer := talk(t, g, strings.Replace(plain("Content-Length: 1\r\n", "x"), "1.1", "1.0", 1))
	if !strings.HasPrefix(answer, "HTTP/1.0 200") || strings.Contains(answer, "chunked") || len(got) != 1 {
		t.Errorf("answered %q, %d at the host", answer, len(got))
	}
}

// A host goes and another starts at its address, again and again, with unsafe requests under
// way at each: every one runs once and has its answer, no connection of a host that has gone
// carries a request of the one that came, and nothing is kept of those that have gone.
func TestReplacedAtTheSameAddress(t *testing.T) {
	var mu sync.Mutex
	ran := map[string]int{}
	era := map[net.Conn]int{} // when each connection came
	now := 0
	taken, release := make(chan struct{}, 64), make(chan struct{})
	addr, _ := rawHost(t, func(_ int, c net.Conn, r *fake.Request) bool {
		mu.Lock()
		ran[r.Header.Get("X-Correlation-Id")]++
		if from, known := era[c]; known && from != now {
			t.Errorf("a connection of host %d carries a request of host %d", from, now)
		}
		era[c] = now
		mu.Unlock()
		if strings.HasPrefix(r.Target, "/book") {
			taken <- struct{}{}
			<-release
		}
		io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
		return true
	})
	d := discover(t)
	g := launch(t, parse(t, d.Addr(), listOf(1, true, entry("h0", addr, "active"))))
	w := await(t, d.Watches, "a watch")
	var all sync.WaitGroup
	const times = 6
	for i := range times {
		if status, _, _ := do(t, request(t, g.url, "lookup", "")); status != 200 {
			t.Fatalf("answered %d", status)
		}
		all.Go(func() {
			if status, _, _ := do(t, request(t, g.url, "book", "x")); status != 200 {
				t.Errorf("a booking under way at host %d was answered %d", i, status)
			}
		})
		await(t, taken, "the booking at the host")
		mu.Lock()
		now++
		mu.Unlock()
		say(t, w, listOf(i+2, false, entry(fmt.Sprintf("h%d", i), addr, "left"), entry(fmt.Sprintf("h%d", i+1), addr, "active")))
		for end := time.Now().Add(patience); !knows(g, fmt.Sprintf("h%d", i+1)); time.Sleep(time.Millisecond) {
			if time.Now().After(end) {
				t.Fatal("the list is not taken over")
			}
		}
	}
	close(release)
	all.Wait()
	mu.Lock()
	for id, n := range ran {
		if n != 1 {
			t.Errorf("%s ran %d times", id, n)
		}
	}
	mu.Unlock()
	learned := make(chan frostshift.Memory, 1)
	for end := time.Now().Add(patience); ; time.Sleep(time.Millisecond) {
		g.pools["hosts"].ex.Memory(func(m frostshift.Memory, _ float64) { learned <- m })
		if m := await(t, learned, "what is known"); len(m.Hosts) == 1 {
			break
		} else if time.Now().After(end) {
			t.Fatalf("%d hosts are kept, one is listed", len(m.Hosts))
		}
	}
}

// knows says whether the balancer has a host listed.
func knows(g *running, name string) bool {
	learned := make(chan bool, 1)
	g.pools["hosts"].ex.Memory(func(m frostshift.Memory, _ float64) {
		learned <- slices.ContainsFunc(m.Hosts, func(h frostshift.HostMemory) bool { return h.ID == membership.HostID(name) })
	})
	return <-learned
}

// A question to the server itself passes the handler as every request does, and is answered as net/http does it.
func TestOptionsOfTheServerPassTheHandler(t *testing.T) {
	addr, _ := serving(t, "a")
	g := gatewayFor(t, "a", addr)
	nc, err := net.Dial("tcp", strings.TrimPrefix(g.url, "http://"))
	if err != nil {
		t.Fatal(err)
	}
	defer nc.Close()
	in := bufio.NewReader(nc)
	for _, leaves := range []bool{false, true} {
		for _, server := range g.servers {
			for leaves && server.ln.Idle() == 0 { // else the drain ends the connection ahead of the request
				time.Sleep(time.Millisecond)
			}
			server.ln.End(leaves)
		}
		io.WriteString(nc, "OPTIONS * HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\nok")
		resp, err := http.ReadResponse(in, nil)
		if err != nil {
			t.Fatalf("with leaving %t: %v", leaves, err)
		}
		if resp.StatusCode != http.StatusOK || resp.ContentLength != 0 || resp.Close != leaves {
			t.Errorf("answered with %d, %d bytes, last: %t, not %t", resp.StatusCode, resp.ContentLength, resp.Close, leaves)
		}
	}
}
