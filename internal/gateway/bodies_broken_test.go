package gateway

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"golang.org/x/net/http2"

	"frostshift/internal/fake"
)

// An answer that breaks off looks broken to the client, whatever its framing, and is never
// asked for again.
func TestBrokenAnswersLookBroken(t *testing.T) {
	inEach(t, func(t *testing.T, client, host string) {
		var asked atomic.Int64
		addr := netHost(t, host, func(w http.ResponseWriter, r *http.Request) {
			asked.Add(1)
			if r.URL.Query().Get("sized") != "" {
				w.Header().Set("Content-Length", "200000")
			}
			w.Write(make([]byte, 100000))
			w.(http.Flusher).Flush()
			panic(http.ErrAbortHandler)
		})
		g := launch(t, flowing(t, client, host, "safe", `answers = "stream"`, addr))
		for _, target := range []string{"/?sized=1", "/"} {
			before := asked.Load()
			resp, err := talker(t, client).Get(g.url + target)
			if err == nil {
				var n int64
				n, err = io.Copy(io.Discard, resp.Body)
				resp.Body.Close()
				if resp.StatusCode != 200 || n > 100000 {
					t.Errorf("%s: answered %d with %d bytes", target, resp.StatusCode, n)
				}
			}
			if err == nil {
				t.Errorf("%s: a broken answer passed for a whole one", target)
			}
			if n := asked.Load() - before; n != 1 {
				t.Errorf("%s: asked %d times", target, n)
			}
		}
		idle(t, g)
		until(t, "the failures are counted", func() bool { return g.Counts()["hosts"].Broke.Load() == 2 })
	})
}

// A body that breaks off never ends for the host, and the request is not sent again.
func TestBrokenUploadsLookBroken(t *testing.T) {
	for _, host := range protocols {
		t.Run(host, func(t *testing.T) {
			begun, ended := make(chan struct{}, 10), make(chan error, 10)
			addr := netHost(t, host, func(w http.ResponseWriter, r *http.Request) {
				begun <- struct{}{}
				_, err := io.Copy(io.Discard, r.Body)
				ended <- err
			})
			g := launch(t, flowing(t, "http1", host, "unsafe", `requests = "stream"`, addr))
			for _, head := range []string{"Content-Length: 1000\r\n\r\nhalf", "Transfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n",
				"Transfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\nzz\r\n", "Transfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\nfffffffffffffffff\r\n"} {
				c, err := net.Dial("tcp", strings.TrimPrefix(g.url, "http://"))
				if err != nil {
					t.Fatal(err)
				}
				fmt.Fprintf(c, "POST /x HTTP/1.1\r\nHost: a\r\n%s", head)
				await(t, begun, "the request's head at the host")
				if !strings.HasSuffix(head, "\r\n") || strings.HasSuffix(head, "half\r\n") {
					c.Close()
				}
				if err := await(t, ended, "the end of the body at the host"); err == nil {
					t.Errorf("%q passed for a whole body", head)
				}
				c.Close()
			}
			idle(t, g)
		})
	}
}

// Heads that could be read in two ways are turned away, and nothing of them reaches a host.
func TestAmbiguousBodiesAreTurnedAway(t *testing.T) {
	addr := netHost(t, "http1", func(w http.ResponseWriter, r *http.Request) { t.Error("it reached the host") })
	g := launch(t, flowing(t, "http1", "http1", "unsafe", `requests = "stream"`, addr))
	for _, c := range []struct {
		head   string
		status int
	}{
		{"Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", 400},
		{"transfer-encoding: chunked\r\ncontent-length : 5\r\n\r\n0\r\n\r\n", 400},
		{"Transfer-Encoding: chunked\r\ncontent-LENGTH: 5\r\n\r\n0\r\n\r\n", 400},
		{"Content-Length: 5\r\nContent-Length: 6\r\n\r\nhello", 400},
		{"Content-Length: -5\r\n\r\nhello", 400},
		{"Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n", 501},
	} {
		if answer := talk(t, g, "POST /x HTTP/1.1\r\nHost: a\r\n"+c.head); !strings.HasPrefix(answer, fmt.Sprintf("HTTP/1.1 %d", c.status)) {
			t.Errorf("%q: answered %.60q, want %d", c.head, answer, c.status)
		}
	}
	idle(t, g)
}

// A host that dies at a point of an upload: what is honest then goes by the class and by what
// is kept.
func TestHostDiesWithinAnUpload(t *testing.T) {
	for _, c := range []struct {
		name, class, bodies string
		size, at            int // bytes of the body, and after how many the first host dies
		status, hosts       int
	}{
		{"safe, kept", "safe", `requests = "stream"`, 32 << 10, 1000, 200, 2},
		{"safe, kept, all read", "safe", `requests = "stream"`, 32 << 10, 32 << 10, 200, 2},
		{"safe, gone", "safe", `requests = "stream"` + "\nreplay = 1000", 256 << 10, 200 << 10, 503, 1},
		{"safe, on disk", "safe", `requests = "stream"` + "\nreplay = 1000\nspool = 900000", 256 << 10, 200 << 10, 200, 2},
		{"keyed, kept", "keyed", `requests = "stream"`, 32 << 10, 1000, 200, 2},
		{"keyed, on disk", "keyed", `requests = "stream"` + "\nreplay = 1000\nspool = 900000", 256 << 10, 200 << 10, 200, 2},
		{"keyed, gone", "keyed", `requests = "stream"` + "\nreplay = 1000", 256 << 10, 200 << 10, 502, 1},
		{"unsafe, kept", "unsafe", `requests = "stream"`, 32 << 10, 1000, 502, 1},
		{"unsafe, on disk", "unsafe", `requests = "stream"` + "\nspool = 900000", 256 << 10, 200 << 10, 502, 1},
		{"unsafe, gone", "unsafe", `requests = "stream"` + "\nreplay = 0", 256 << 10, 1, 502, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			var asked atomic.Int64
			serve := func(w http.ResponseWriter, r *http.Request) {
				if asked.Add(1) == 1 {
					io.CopyN(io.Discard, r.Body, int64(c.at))
					panic(http.ErrAbortHandler)
				}
				n, err := io.Copy(io.Discard, r.Body)
				if n != int64(c.size) || err != nil {
					t.Errorf("the second host had %d bytes, %v", n, err)
				}
			}
			text := flowingText("http1", "http1", c.class, c.bodies, netHost(t, "http1", serve), netHost(t, "http1", serve))
			if c.class == "keyed" {
				text = strings.Replace(text, "effect = \"keyed\"\n", "effect = \"keyed\"\nwindow = \"20s\"\n", 1)
			}
			g := launch(t, parsed(t, text))
			// The client sends no more than it must before the host has died.
			in, out := io.Pipe()
			go func() {
				data := noise(c.size)
				out.Write(data[:c.at])
				until(t, "the host has had its part", func() bool { return asked.Load() > 0 })
				out.Write(data[c.at:])
				out.Close()
			}()
			r, _ := http.NewRequest(http.MethodPost, g.url+"/x", in)
			r.Header.Set("Idempotency-Key", "k")
			resp, err := talker(t, "http1").Do(r)
			if err != nil {
				t.Fatal(err)
			}
			resp.Body.Close()
			in.Close()
			if resp.StatusCode != c.status || asked.Load() != int64(c.hosts) {
				t.Errorf("answered %d after %d attempts, want %d after %d", resp.StatusCode, asked.Load(), c.status, c.hosts)
			}
			idle(t, g)
		})
	}
}

// A client that leaves ends what its request holds of a host, at any point.
func TestClientLeavesWithinAStream(t *testing.T) {
	inEach(t, func(t *testing.T, client, host string) {
		begun, ended := make(chan struct{}, 1), make(chan struct{}, 1)
		addr := netHost(t, host, func(w http.ResponseWriter, r *http.Request) {
			w.WriteHeader(200)
			w.(http.Flusher).Flush()
			begun <- struct{}{}
			<-r.Context().Done()
			ended <- struct{}{}
		})
		g := launch(t, flowing(t, client, host, "safe", `answers = "stream"`, addr))
		ctx, cancel := context.WithCancel(context.Background())
		r, _ := http.NewRequestWithContext(ctx, http.MethodGet, g.url+"/x", nil)
		resp, err := talker(t, client).Do(r)
		if err != nil {
			t.Fatal(err)
		}
		await(t, begun, "the host's head")
		cancel()
		resp.Body.Close()
		await(t, ended, "the end at the host")
		idle(t, g)
	})
}

// HTTP/2 between: a reset of the client's in mid-body reaches the host as one.
func TestResetWithinAnUpload(t *testing.T) {
	for _, host := range protocols {
		begun, ended := make(chan struct{}, 1), make(chan error, 1)
		addr := netHost(t, host, func(w http.ResponseWriter, r *http.Request) {
			begun <- struct{}{}
			_, err := io.Copy(io.Discard, r.Body)
			ended <- err
		})
		g := launch(t, flowing(t, "http2", host, "unsafe", `requests = "stream"`, addr))
		c := h2client(t, g)
		id, err := c.Open("POST", "/x", false)
		if err != nil {
			t.Fatal(err)
		}
		c.Data(id, false, []byte("half"))
		await(t, begun, "the head at the host")
		c.Write(func(f *http2.Framer) error { return f.WriteRSTStream(id, http2.ErrCodeCancel) })
		if err := await(t, ended, "the end at the host"); err == nil {
			t.Errorf("%s: a body that was reset passed for a whole one", host)
		}
		idle(t, g)
	}
}

// What a host may do to an answer that flows, byte by byte.
func TestSpoiltAnswers(t *testing.T) {
	long := strings.Repeat("x", 100000)
	for _, c := range []struct {
		answer string
		whole  bool
		body   string
	}{
		{"Connection: close\r\n\r\n" + long, true, long}, // its end is the close: there is no other sign
		{"Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n", true, "hello"},
		{"Transfer-Encoding: chunked\r\n\r\n5;x=\"y\"\r\nhello\r\n0\r\n\r\n", true, "hello"},
		{"Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\nzz\r\n", false, "hello"},
		{"Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n-1\r\n", false, "hello"},
		{"Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\nffffffffffffffffff\r\n", false, "hello"},
		{"Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n", false, "hello"},
		{"Content-Length: 100001\r\n\r\n" + long, false, long},
	} {
		addr, _ := rawHost(t, func(_ int, conn net.Conn, r *fake.Request) bool {
			io.WriteString(conn, "HTTP/1.1 200 OK\r\n"+c.answer)
			return false
		})
		for _, client := range protocols {
			g := launch(t, flowing(t, client, "http1", "unsafe", `answers = "stream"`, addr))
			resp, err := talker(t, client).Get(g.url + "/x")
			if err != nil {
				if c.whole {
					t.Errorf("%.60q: %v", c.answer, err)
				}
				continue
			}
			got, err := io.ReadAll(resp.Body)
			resp.Body.Close()
			if (err == nil) != c.whole || !strings.HasPrefix(c.body, string(got)) || c.whole && string(got) != c.body {
				t.Errorf("%s, %.60q: %d bytes, %v", client, c.answer, len(got), err)
			}
			idle(t, g)
		}
	}
}

// A host over HTTP/2 that goes away in mid-body finishes the streams it has taken, and a reset
// of one is a broken answer.
func TestHostGoesAwayWithinABody(t *testing.T) {
	for _, reset := range []bool{false, true} {
		h := h2host(t, nil, nil, func(s *fake.H2Stream) {
			s.Conn.Head(s.ID, false, ":status", "200")
			s.Conn.Write(func(f *http2.Framer) error { return f.WriteData(s.ID, false, []byte("half")) })
			s.Conn.Write(func(f *http2.Framer) error { return f.WriteGoAway(s.ID, http2.ErrCodeNo, nil) })
			if reset {
				s.Conn.Write(func(f *http2.Framer) error { return f.WriteRSTStream(s.ID, http2.ErrCodeInternal) })
			} else {
				s.Conn.Write(func(f *http2.Framer) error { return f.WriteData(s.ID, true, []byte("rest")) })
			}
		})
		g := launch(t, flowing(t, "http1", "http2", "unsafe", `answers = "stream"`, h.Addr()))
		resp, err := talker(t, "http1").Get(g.url + "/x")
		if err != nil {
			if !reset {
				t.Error(err)
			}
			continue
		}
		got, err := io.ReadAll(resp.Body)
		resp.Body.Close()
		if reset && err == nil || !reset && (err != nil || string(got) != "halfrest") {
			t.Errorf("reset %v: %q, %v", reset, got, err)
		}
		idle(t, g)
	}
}

// A host that stops taking a body in is given up after its idle time, and the client's sending
// with it; the request may have run.
func TestHostStopsReading(t *testing.T) {
	for _, client := range protocols {
		over := make(chan struct{})
		t.Cleanup(func() { close(over) })
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { ln.Close() })
		go func() {
			for {
				c, err := ln.Accept()
				if err != nil {
					return
				}
				go func() { // it reads the head, and nothing more
					c.Read(make([]byte, 100))
					<-over
					c.Close()
				}()
			}
		}()
		g := launch(t, flowing(t, client, "http1", "unsafe", "requests = \"stream\"\nreplay = 1000\nidle = \"300ms\"", ln.Addr().String()))
		r, _ := http.NewRequest(http.MethodPost, g.url+"/x", io.LimitReader(endlessly{}, 1<<30))
		resp, err := talker(t, client).Do(r)
		if err == nil { // a client that still sends may lose its answer with the connection
			if resp.StatusCode != http.StatusBadGateway {
				t.Errorf("%s: answered %d", client, resp.StatusCode)
			}
			resp.Body.Close()
		}
		idle(t, g)
	}
}

// An answer whose end is that of the host's connection, and whose connection is reset instead, is
// whole for no client, in whatever form it goes on. The reset comes when the gateway has passed
// on all that there was and waits.
func TestResetIsNoEndOfAnAnswer(t *testing.T) {
	reset := make(chan struct{}, 1)
	addr, _ := rawHost(t, func(_ int, c net.Conn, _ *fake.Request) bool {
		io.WriteString(c, "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nbins")
		<-reset
		fake.Reset(c)
		return false
	})
	g := gatewayFor(t, "a", addr)
	for _, version := range []string{"HTTP/1.1", "HTTP/1.0"} {
		c, err := net.Dial("tcp", g.Addr("clients").String())
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		c.SetDeadline(time.Now().Add(patience))
		io.WriteString(c, strings.Replace(plain("Content-Length: 1\r\n", "x"), "HTTP/1.1", version, 1))
		in := bufio.NewReader(c)
		resp, err := http.ReadResponse(in, nil)
		if err != nil || resp.StatusCode != 200 {
			t.Fatalf("%s: %v, %v", version, resp, err)
		}
		if _, err := io.ReadFull(resp.Body, make([]byte, len("bins"))); err != nil {
			t.Fatalf("%s: the beginning: %v", version, err)
		}
		reset <- struct{}{}
		if rest, err := io.ReadAll(resp.Body); err == nil || len(rest) > 0 {
			t.Errorf("%s: the answer looks whole: %q, %v", version, rest, err)
		}
	}
}
