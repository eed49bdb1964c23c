package gateway

import (
	"crypto/tls"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"golang.org/x/net/http2"

	"frostshift/internal/config"
	"frostshift/internal/fake"
	"frostshift/internal/front"
)

// booking is a gateway of one pool whose only route is unsafe, keyed or safe by path.
func booking(t testing.TB, listener, host string) *config.Model {
	m, _, err := config.Parse(filepath.Join(t.TempDir(), "gw.toml"), []byte(fmt.Sprintf(`
[[listener]]
name = "clients"
address = "127.0.0.1:0"
%s
[[class]]
name = "lookup"
effect = "safe"
deadline = "10s"
[[class]]
name = "report"
effect = "keyed"
window = "1s"
deadline = "10s"
[[class]]
name = "book"
effect = "unsafe"
deadline = "10s"
[[pool]]
name = "p"
hosts = ["%s"]
[[route]]
name = "lookup"
prefix = "/lookup"
class = "lookup"
pool = "p"
[[route]]
name = "report"
prefix = "/report"
class = "report"
pool = "p"
[[route]]
name = "book"
prefix = "/book"
class = "book"
pool = "p"
`, listener, host)))
	if err != nil {
		t.Fatal(err)
	}
	return m
}

// settled waits until so many connections are open at the gateway.
func settled(t *testing.T, conns *front.Conns, want int) {
	t.Helper()
	until(t, fmt.Sprintf("%d connections are open", want), func() bool { open, _ := conns.Counts(); return open == want })
}

// crowd opens connections that say nothing: all that are idle make room for them. It
// returns what closes them.
func crowd(t *testing.T, g *running, n int) func() {
	t.Helper()
	var list []net.Conn
	for range n {
		c, err := net.Dial("tcp", g.Addr("clients").String())
		if err != nil {
			t.Fatal(err)
		}
		list = append(list, c)
	}
	return func() {
		for _, c := range list {
			c.Close()
		}
	}
}

// What has been read in part is served whole, whatever makes room meanwhile: half a head,
// half a head behind another request, a body that is still coming; over TLS as well.
func TestWhatIsReadIsServed(t *testing.T) {
	certificate, key := fake.Certificate(t.TempDir(), "localhost")
	for _, secure := range []bool{false, true} {
		h := scripted(t, fake.Always(fake.Serve("ok")))
		listener := ""
		if secure {
			listener = fmt.Sprintf("tls = { certificate = %q, key = %q }", certificate, key)
		}
		conns := front.NewConns(8, 1<<20, 0)
		g := launch(t, booking(t, listener, h.Addr()), func(o *Options) { o.Conns, o.SendWithin = conns, time.Hour })
		dial := func() *fake.Client {
			c, err := fake.Dial(g.Addr("clients").String(), patience)
			if err != nil {
				t.Fatal(err)
			}
			if !secure {
				return c
			}
			tc := tls.Client(c.Conn, &tls.Config{InsecureSkipVerify: true, NextProtos: []string{"http/1.1"}})
			if err := tc.Handshake(); err != nil {
				t.Fatal(err)
			}
			return fake.Over(tc)
		}
		whole := "POST /book HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n\r\nbody"
		for _, c := range []struct {
			name string
			cut  int // bytes that come before the crowd
			ask  bool
			with string // ... in one piece with the request before
		}{
			{"half a head", 20, true, ""}, {"a byte", 1, true, ""}, {"half a body", len(whole) - 2, true, ""},
			{"half a head behind another request", 20, false, whole}, {"half a body behind another", len(whole) - 2, false, whole},
		} {
			client := dial()
			if c.ask {
				if status, _, _, err := client.Ask("POST", "/book", "x"); err != nil || status != 200 {
					t.Fatalf("%s: first request: %d, %v", c.name, status, err)
				}
			}
			io.WriteString(client, c.with+whole[:c.cut])
			if c.with != "" {
				if status, _, _, err := client.Receive(); err != nil || status != 200 {
					t.Fatalf("%s: first request: %d, %v", c.name, status, err)
				}
			}
			until(t, c.name+" has been read", func() bool { return conns.Busy() == 1 })
			dismiss := crowd(t, g, 20)
			settled(t, conns, 8)
			io.WriteString(client, whole[c.cut:])
			if status, body, _, err := client.Receive(); err != nil || status != 200 || body != "ok" {
				t.Errorf("TLS %v, %s: %d %q, %v", secure, c.name, status, body, err)
			}
			client.Close()
			dismiss()
			settled(t, conns, 0)
		}
		g.stop()
		await(t, g.end, "the end")
	}
}

// A stop, or a reload that takes the listener away, while a request is being read: it is
// served, whether it came behind another or on a kept connection, and the connection ends
// with its answer.
func TestStopWhileARequestIsRead(t *testing.T) {
	for _, reload := range []bool{false, true} {
		stopWhileRead(t, reload)
	}
}

func stopWhileRead(t *testing.T, reload bool) {
	h := scripted(t, fake.Always(fake.Serve("ok")))
	conns := front.NewConns(100, 100, 0)
	linger := make(chan struct{})
	m := booking(t, "", h.Addr())
	g := launch(t, m, func(o *Options) {
		o.Conns, o.SendWithin = conns, time.Hour
		o.Linger = func() { <-linger }
	})
	whole := "POST /book HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n\r\nbody"
	dial := func() *fake.Client {
		c, err := fake.Dial(g.Addr("clients").String(), patience)
		if err != nil {
			t.Fatal(err)
		}
		return c
	}
	kept, behind, still := dial(), dial(), dial()
	for _, c := range []*fake.Client{kept, still} {
		if status, _, _, err := c.Ask("POST", "/book", "x"); err != nil || status != 200 {
			t.Fatalf("first request: %d, %v", status, err)
		}
	}
	until(t, "both are idle", func() bool { return conns.Busy() == 0 }) // one that has just been answered counts as busy
	io.WriteString(kept, whole[:30])
	io.WriteString(behind, whole+whole[:30])
	if status, _, _, err := behind.Receive(); err != nil || status != 200 {
		t.Fatalf("first request: %d, %v", status, err)
	}
	until(t, "both are being read", func() bool { return conns.Busy() == 2 })
	if reload {
		next := *m
		next.Listeners = []config.Listener{{Name: "others", Address: "127.0.0.1:0"}}
		if err := g.Reload(&next); err != nil {
			t.Fatal(err)
		}
	} else {
		g.stop()
	}
	settled(t, conns, 2) // the one that is idle goes
	if _, err := still.Read(make([]byte, 1)); !errors.Is(err, io.EOF) && !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("the idle connection: %v", err)
	}
	for _, c := range []*fake.Client{kept, behind} {
		io.WriteString(c, whole[30:])
		if status, _, _, err := c.Receive(); err != nil || status != 200 || !c.Closing {
			t.Errorf("answered %d, closing %v, %v", status, c.Closing, err)
		}
		c.Close()
	}
	close(linger)
	g.stop()
	await(t, g.end, "the end")
}

// A connection over HTTP/2 that makes room says what it has taken; a stream that crosses
// that is provably not taken.
func TestHTTP2MakesRoomWithNotice(t *testing.T) {
	h := scripted(t, fake.Always(fake.Serve("ok")))
	conns := front.NewConns(2, 1<<20, 0)
	g := launch(t, booking(t, "protocol = \"http2\"", h.Addr()), func(o *Options) { o.Conns = conns })
	first := h2client(t, g)
	id, err := first.Open("POST", "/book", true)
	if err != nil {
		t.Fatal(err)
	}
	if got, _, err := first.Collect(id); err != nil || got[id].Status != "200" {
		t.Fatalf("%v, %+v", err, got[id])
	}
	until(t, "it is idle", func() bool { return conns.Busy() == 0 })
	defer crowd(t, g, 2)()
	code, last, told := ends(t, first)
	if !told || code != http2.ErrCodeNo || last != id {
		t.Errorf("the connection ended with %v, told %v, streams up to %d taken", code, told, last)
	}
}

// A request that may have run and whose connection was lost is not run again for its id,
// unless it is safe; one that reached no host is, and a new id is always.
func TestSameIDAfterALostConnection(t *testing.T) {
	var held atomic.Bool
	held.Store(true)
	h := scripted(t, func(r *fake.Request) fake.Act {
		if held.Load() {
			return fake.Silent()
		}
		return fake.Serve("ok")
	})
	g := launch(t, booking(t, "", h.Addr()))
	h2 := launch(t, booking(t, "protocol = \"http2\"", h.Addr()))
	n := 0
	for _, protocol := range []string{"http1", "http1 half closed", "http2 reset", "http2 closed"} {
		for _, class := range []string{"lookup", "report", "book"} {
			id := protocol + " " + class
			headers := []string{"X-Correlation-Id: " + id, "Idempotency-Key: k"}
			held.Store(true)
			gone := g
			switch protocol {
			case "http1", "http1 half closed":
				c, err := fake.Dial(g.Addr("clients").String(), patience)
				if err != nil {
					t.Fatal(err)
				}
				c.Send("POST", "/"+class, "x", headers...)
				if n++; !h.Await(n, patience) {
					t.Fatal("the request does not come")
				}
				if protocol == "http1" {
					fake.Reset(c.Conn)
				} else {
					c.Conn.(*net.TCPConn).CloseWrite()
					if status, _, _, err := c.Receive(); err != nil || status != 502 {
						t.Errorf("%s: answered %d, %v", id, status, err)
					}
				}
			default:
				gone = h2
				c := h2client(t, h2)
				stream, err := c.Open("POST", "/"+class, true, "x-correlation-id", id, "idempotency-key", "k")
				if err != nil {
					t.Fatal(err)
				}
				if n++; !h.Await(n, patience) {
					t.Fatal("the request does not come")
				}
				if protocol == "http2 reset" {
					c.H2Conn.Write(func(f *http2.Framer) error { return f.WriteRSTStream(stream, http2.ErrCodeCancel) })
				} else {
					c.Close()
				}
			}
			until(t, "the gateway has noticed", func() bool { return gone.exchange.Open() == 0 })
			held.Store(false)
			want, more := 502, 0
			if class == "lookup" {
				want, more = 200, 1
			}
			again := func(id string) int {
				headers[0] = "X-Correlation-Id: " + id
				if gone == g {
					c, err := fake.Dial(g.Addr("clients").String(), patience)
					if err != nil {
						t.Fatal(err)
					}
					defer c.Close()
					status, _, _, err := c.Ask("POST", "/"+class, "x", headers...)
					if err != nil {
						t.Fatal(err)
					}
					return status
				}
				c := h2client(t, h2)
				stream, err := c.Open("POST", "/"+class, true, "x-correlation-id", id, "idempotency-key", "k")
				if err != nil {
					t.Fatal(err)
				}
				got, _, err := c.Collect(stream)
				if err != nil {
					t.Fatal(err)
				}
				status, _ := strconv.Atoi(got[stream].Status)
				return status
			}
			if status := again(id); status != want {
				t.Errorf("%s: the same id again: answered %d, want %d", id, status, want)
			}
			if status := again(id + " new"); status != 200 {
				t.Errorf("%s: a new id: answered %d", id, status)
			}
			n += more + 1
			if got := h.Total(); got != n {
				t.Errorf("%s: %d requests at the host, want %d", id, got, n)
			}
			n = h.Total()
		}
	}
}

// Clients that use their connections all the time beside a crowd that takes room from them:
// each request is answered, or its connection was closed and no host ever saw it, so that it
// can be sent again; nothing runs twice.
func TestClosesUnderRequestsLoseNothing(t *testing.T) {
	h := scripted(t, fake.Always(fake.Serve("ok")))
	conns := front.NewConns(8, 1<<20, 0)
	g := launch(t, booking(t, "", h.Addr()), func(o *Options) { o.Conns = conns })
	addr := g.Addr("clients").String()
	const clients, each = 12, 400
	stop := make(chan struct{})
	var rest, all sync.WaitGroup
	for range 3 { // the crowd asks once and stays, for as long as it is let
		rest.Go(func() {
			for {
				select {
				case <-stop:
					return
				default:
				}
				if c, err := fake.Dial(addr, patience); err == nil {
					c.Ask("GET", "/ready", "")
					c.Close()
				}
			}
		})
	}
	var again atomic.Int64
	for i := range clients {
		all.Go(func() {
			var c *fake.Client
			for j := range each {
				id := fmt.Sprintf("%d-%d", i, j)
				for try := 0; ; try++ {
					if try > 200 {
						t.Errorf("%s: is never taken", id)
						return
					}
					fresh := c == nil
					if fresh {
						var err error
						if c, err = fake.Dial(addr, patience); err != nil {
							t.Error(err)
							return
						}
					}
					status, _, _, err := c.Ask("POST", "/book", "x", "X-Correlation-Id: "+id)
					if err == nil && c.Closing {
						c.Close()
						c = nil
					}
					if err == nil {
						if status != 200 {
							t.Errorf("%s: answered %d after %d closes", id, status, try)
						}
						break
					}
					if errors.Is(err, os.ErrDeadlineExceeded) {
						t.Errorf("%s: neither answer nor close", id)
						return
					}
					again.Add(1)
					c.Close()
					c = nil
				}
			}
		})
	}
	all.Wait()
	close(stop)
	rest.Wait()
	for i := range clients {
		for j := range each {
			if seen := h.Seen(fmt.Sprintf("%d-%d", i, j)); seen.Begun != 1 || seen.Whole != 1 {
				t.Fatalf("%d-%d reached the host %d times", i, j, seen.Begun)
			}
		}
	}
	t.Logf("%d of %d requests were sent again", again.Load(), clients*each)
}
