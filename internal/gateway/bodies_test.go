package gateway

import (
	"bufio"
	"bytes"
	"context"
	"crypto/sha1"
	"crypto/sha256"
	"encoding/base64"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"net/http/httptrace"
	"net/textproto"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"golang.org/x/net/http2"

	"frostshift/internal/config"
	"frostshift/internal/spool"
	"frostshift/internal/standin"
)

// flowing is a gateway whose one route takes bodies as they come.
func flowing(t testing.TB, client, host, class, bodies string, hosts ...string) *config.Model {
	t.Helper()
	return parsed(t, flowingText(client, host, class, bodies, hosts...))
}

func parsed(t testing.TB, text string) *config.Model {
	t.Helper()
	m, _, err := config.Parse(t.TempDir()+"/gw.toml", []byte(text))
	if err != nil {
		t.Fatal(err)
	}
	return m
}

func flowingText(client, host, class, bodies string, hosts ...string) string {
	quoted := make([]string, len(hosts))
	for i, h := range hosts {
		quoted[i] = strconv.Quote(h)
	}
	return fmt.Sprintf(`
[[listener]]
name = "clients"
address = "127.0.0.1:0"
protocol = %q
[[class]]
name = "c"
effect = %q
aim = "1s"
deadline = "3s"
[[pool]]
name = "hosts"
hosts = [%s]
protocol = %q
[[route]]
name = "all"
prefix = "/"
class = "c"
pool = "hosts"
[route.bodies]
%s
[spool]
dir = "spool"
most = 1000000
`, client, class, strings.Join(quoted, ", "), host, bodies)
}

// netHost is a host of net/http, over the protocol.
func netHost(t testing.TB, protocol string, serve http.HandlerFunc) string {
	t.Helper()
	s := httptest.NewUnstartedServer(serve)
	s.Config.Protocols = new(http.Protocols)
	s.Config.Protocols.SetHTTP1(protocol == "http1")
	s.Config.Protocols.SetUnencryptedHTTP2(protocol == "http2")
	s.Start()
	t.Cleanup(func() { s.CloseClientConnections(); s.Close() })
	return s.Listener.Addr().String()
}

// talker is a client over the protocol.
func talker(t testing.TB, protocol string) *http.Client {
	t.Helper()
	if protocol == "http2" {
		tr := standin.H2Transport()
		t.Cleanup(tr.CloseIdleConnections)
		return &http.Client{Transport: tr}
	}
	tr := &http.Transport{DisableCompression: true}
	t.Cleanup(tr.CloseIdleConnections)
	return &http.Client{Transport: tr}
}

var protocols = []string{"http1", "http2"}

func inEach(t *testing.T, f func(t *testing.T, client, host string)) {
	for _, client := range protocols {
		for _, host := range protocols {
			t.Run(client+" to "+host, func(t *testing.T) { f(t, client, host) })
		}
	}
}

// unsized hides the length of a body.
type unsized struct{ io.Reader }

func noise(n int) []byte {
	b := make([]byte, n)
	r := rand.NewChaCha8([32]byte{byte(n)})
	r.Read(b)
	return b
}

// Bodies of any length go both ways, of told and of untold length, with their trailers.
func TestBodiesFlowBothWays(t *testing.T) {
	inEach(t, func(t *testing.T, client, host string) {
		addr := netHost(t, host, func(w http.ResponseWriter, r *http.Request) {
			body, err := io.ReadAll(r.Body)
			if err != nil {
				t.Errorf("the host read %d bytes: %v", len(body), err)
			}
			sum := sha256.Sum256(body)
			w.Header().Set("X-Sum", fmt.Sprintf("%x", sum))
			w.Header().Set("X-Length", strconv.FormatInt(r.ContentLength, 10))
			w.Header().Set("X-Trailer", r.Trailer.Get("X-After"))
			if r.URL.Query().Get("sized") != "" {
				w.Header().Set("Content-Length", strconv.Itoa(len(body)))
			}
			w.Header().Set("Trailer", "X-Behind")
			w.WriteHeader(http.StatusOK)
			w.Write(body)
			w.Header().Set("X-Behind", "yes")
		})
		for _, mode := range []string{"stream", "auto"} {
			g := launch(t, flowing(t, client, host, "unsafe", `requests = "`+mode+`"`+"\nanswers = \"stream\"", addr))
			c := talker(t, client)
			for _, size := range []int{0, 1, 1000, 64 << 10, 64<<10 + 1, 3 << 20} {
				for _, sized := range []bool{true, false} {
					data := noise(size)
					var body io.Reader = bytes.NewReader(data)
					if !sized {
						body = unsized{body}
					}
					target := g.url + "/x"
					if sized {
						target += "?sized=1"
					}
					r, _ := http.NewRequest(http.MethodPost, target, body)
					if !sized {
						r.Trailer = http.Header{"X-After": {"here"}}
					}
					resp, err := c.Do(r)
					if err != nil {
						t.Fatalf("%s, %d bytes, sized %v: %v", mode, size, sized, err)
					}
					got, err := io.ReadAll(resp.Body)
					resp.Body.Close()
					if err != nil || resp.StatusCode != 200 || !bytes.Equal(got, data) {
						t.Fatalf("%s, %d bytes, sized %v: answered %d with %d bytes, %v", mode, size, sized, resp.StatusCode, len(got), err)
					}
					if want := fmt.Sprintf("%x", sha256.Sum256(data)); resp.Header.Get("X-Sum") != want {
						t.Errorf("%s, %d bytes, sized %v: the host had another body", mode, size, sized)
					}
					if sized && resp.Header.Get("X-Length") != strconv.Itoa(size) {
						t.Errorf("%s, %d bytes: the host was told %s", mode, size, resp.Header.Get("X-Length"))
					}
					if !sized && size > 0 && resp.Header.Get("X-Trailer") != "here" {
						t.Errorf("%s, %d bytes: the trailer was lost on the way there", mode, size)
					}
					if size > 64<<10 && !sized && resp.Trailer.Get("X-Behind") != "yes" {
						t.Errorf("%s, %d bytes: the trailer was lost on the way back", mode, size)
					}
				}
			}
			idle(t, g)
		}
	})
}

// idle waits until the gateway holds nothing of any request.
func idle(t testing.TB, g *running) {
	t.Helper()
	for end := time.Now().Add(patience); ; time.Sleep(time.Millisecond) {
		bodies, answers, requests := g.budgets.bodies.Used(), g.budgets.answers.Used(), g.budgets.requests.Used()
		if bodies == 0 && answers == 0 && requests == 0 && g.exchange.Open() == 0 {
			return
		}
		if time.Now().After(end) {
			t.Fatalf("held at the end: %d bytes of bodies, %d of answers, %d requests, %d ids", bodies, answers, requests, g.exchange.Open())
		}
	}
}

// What a host says is with the client before the host says more: an event at a time.
func TestEventsComeAsTheyAreSent(t *testing.T) {
	inEach(t, func(t *testing.T, client, host string) {
		next := make(chan struct{})
		addr := netHost(t, host, func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set("Content-Type", "text/event-stream")
			w.WriteHeader(200)
			w.(http.Flusher).Flush()
			for i := range 5 {
				<-next
				fmt.Fprintf(w, "data: %d\n\n", i)
				w.(http.Flusher).Flush()
			}
		})
		g := launch(t, flowing(t, client, host, "safe", `answers = "stream"`, addr))
		resp, err := talker(t, client).Get(g.url + "/events")
		if err != nil {
			t.Fatal(err)
		}
		in := bufio.NewReader(resp.Body)
		for i := range 5 {
			next <- struct{}{}
			line, err := in.ReadString('\n')
			if err != nil || line != fmt.Sprintf("data: %d\n", i) {
				t.Fatalf("event %d came as %q, %v", i, line, err)
			}
			in.ReadString('\n')
		}
		if rest, err := io.ReadAll(in); err != nil || len(rest) > 0 {
			t.Errorf("behind the events: %q, %v", rest, err)
		}
		resp.Body.Close()
		idle(t, g)
	})
}

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

// Keep-alive connections send one body after the other; heads stay known between them.
func TestBodiesFollowOneAnother(t *testing.T) {
	addr := netHost(t, "http1", func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		w.Write(body)
	})
	g := launch(t, flowing(t, "http1", "http1", "unsafe", `requests = "stream"`, addr))
	c, err := standin.Dial(strings.TrimPrefix(g.url, "http://"), patience)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	for i := range 30 {
		body := strings.Repeat("x", i*100)
		if i%2 == 0 {
			fmt.Fprintf(c, "POST /x HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n")
			if len(body) > 0 {
				fmt.Fprintf(c, "%x\r\n%s\r\n", len(body), body)
			}
			fmt.Fprintf(c, "0\r\n\r\n")
		} else {
			fmt.Fprintf(c, "POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
		}
		status, got, _, err := c.Receive()
		if err != nil || status != 200 || got != body {
			t.Fatalf("request %d: answered %d with %d bytes, %v", i, status, len(got), err)
		}
	}
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

// A host that answers before the body has ended is served, and the rest is not waited for.
func TestEarlyAnswers(t *testing.T) {
	inEach(t, func(t *testing.T, client, host string) {
		addr := netHost(t, host, func(w http.ResponseWriter, r *http.Request) {
			http.NewResponseController(w).EnableFullDuplex()
			w.Header().Set("Content-Length", "5")
			w.WriteHeader(http.StatusRequestEntityTooLarge)
			io.WriteString(w, "large")
			w.(http.Flusher).Flush()
		})
		g := launch(t, flowing(t, client, host, "unsafe", `requests = "stream"`, addr))
		in, out := io.Pipe()
		defer out.Close()
		go out.Write(make([]byte, 10))
		r, _ := http.NewRequest(http.MethodPost, g.url+"/x", in)
		ctx, cancel := context.WithTimeout(context.Background(), patience)
		defer cancel()
		resp, err := talker(t, client).Do(r.WithContext(ctx))
		if err != nil {
			t.Fatal(err)
		}
		body, _ := io.ReadAll(resp.Body)
		resp.Body.Close()
		if resp.StatusCode != http.StatusRequestEntityTooLarge || string(body) != "large" {
			t.Errorf("answered %d %q", resp.StatusCode, body)
		}
		idle(t, g)
	})
}

// Both sides speak at once where a host answers as the body comes.
func TestBothSidesSpeakAtOnce(t *testing.T) {
	inEach(t, func(t *testing.T, client, host string) {
		addr := netHost(t, host, func(w http.ResponseWriter, r *http.Request) {
			http.NewResponseController(w).EnableFullDuplex()
			w.WriteHeader(200)
			w.(http.Flusher).Flush()
			buf := make([]byte, 100)
			for {
				n, err := r.Body.Read(buf)
				w.Write(buf[:n])
				w.(http.Flusher).Flush()
				if err != nil {
					return
				}
			}
		})
		g := launch(t, flowing(t, client, host, "unsafe", "requests = \"stream\"\nanswers = \"stream\"", addr))
		in, out := io.Pipe()
		r, _ := http.NewRequest(http.MethodPost, g.url+"/x", in)
		resp, err := talker(t, client).Do(r)
		if err != nil {
			t.Fatal(err)
		}
		buf := make([]byte, 4)
		for i := range 20 {
			word := fmt.Sprintf("%04d", i)
			io.WriteString(out, word)
			if _, err := io.ReadFull(resp.Body, buf); err != nil || string(buf) != word {
				t.Fatalf("said %s, heard %q, %v", word, buf, err)
			}
		}
		out.Close()
		if _, err := resp.Body.Read(buf); !errors.Is(err, io.EOF) {
			t.Errorf("at the end: %v", err)
		}
		resp.Body.Close()
		idle(t, g)
	})
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

// A client that takes nothing in slows its host, in bounded memory, and nobody else.
func TestSlowClientsSlowTheirHosts(t *testing.T) {
	inEach(t, func(t *testing.T, client, host string) {
		var wrote atomic.Int64
		addr := netHost(t, host, func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path == "/small" {
				io.WriteString(w, "small")
				return
			}
			part := make([]byte, 64<<10)
			for {
				n, err := w.Write(part)
				wrote.Add(int64(n))
				if err != nil {
					return
				}
			}
		})
		g := launch(t, flowing(t, client, host, "safe", `answers = "stream"`, addr))
		c := talker(t, client)
		var open []*http.Response
		for range 8 {
			resp, err := c.Get(g.url + "/endless")
			if err != nil {
				t.Fatal(err)
			}
			open = append(open, resp)
		}
		// They have stopped once nothing more is written while others are served.
		for last := int64(-1); last != wrote.Load(); {
			last = wrote.Load()
			for range 20 {
				resp, err := c.Get(g.url + "/small")
				if err != nil {
					t.Fatal(err)
				}
				body, _ := io.ReadAll(resp.Body)
				resp.Body.Close()
				if string(body) != "small" {
					t.Fatalf("beside slow clients: %q", body)
				}
			}
		}
		if n := wrote.Load(); n > 8*(12<<20) {
			t.Errorf("%d bytes are under way to clients that read none", n)
		}
		for _, resp := range open {
			resp.Body.Close()
		}
		idle(t, g)
	})
}

// A client that drips, or stops, ends at its bound.
func TestSlowUploadsEnd(t *testing.T) {
	for _, client := range protocols {
		t.Run(client, func(t *testing.T) {
			addr := netHost(t, "http1", func(w http.ResponseWriter, r *http.Request) { io.Copy(io.Discard, r.Body) })
			g := launch(t, flowing(t, client, "http1", "unsafe", "requests = \"stream\"\nidle = \"100ms\"", addr))
			in, out := io.Pipe()
			defer out.Close()
			go out.Write([]byte("then nothing"))
			r, _ := http.NewRequest(http.MethodPost, g.url+"/x", in)
			resp, err := talker(t, client).Do(r)
			if err != nil {
				t.Fatal(err)
			}
			resp.Body.Close()
			if resp.StatusCode != http.StatusBadRequest { // a host has had a part of it: no 408
				t.Errorf("answered %d", resp.StatusCode)
			}
			idle(t, g)
		})
	}
}

// Too long is too long, told or not.
func TestLongestBody(t *testing.T) {
	addr := netHost(t, "http1", func(w http.ResponseWriter, r *http.Request) { io.Copy(io.Discard, r.Body) })
	for _, client := range protocols {
		for _, mode := range []string{"stream", "auto"} {
			g := launch(t, flowing(t, client, "http1", "unsafe", "most = 1000\nrequests = \""+mode+`"`, addr))
			for _, body := range []io.Reader{bytes.NewReader(make([]byte, 1001)), unsized{bytes.NewReader(make([]byte, 1001))}} {
				r, _ := http.NewRequest(http.MethodPost, g.url+"/x", body)
				resp, err := talker(t, client).Do(r)
				if err != nil {
					t.Fatal(err)
				}
				resp.Body.Close()
				if resp.StatusCode != http.StatusRequestEntityTooLarge {
					t.Errorf("%s, %s: answered %d", client, mode, resp.StatusCode)
				}
			}
			idle(t, g)
		}
	}
}

// A connection that switches protocols is passed on both ways, and counts until it ends.
func TestSwitchOfProtocols(t *testing.T) {
	addr, _ := rawHost(t, func(_ int, c net.Conn, r *standin.Request) bool {
		fmt.Fprintf(c, "HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: echo\r\nX-Key: k\r\n\r\n")
		io.Copy(c, c)
		return false
	})
	g := launch(t, flowing(t, "http1", "http1", "unsafe", `upgrades = ["echo"]`, addr))
	c, err := net.Dial("tcp", strings.TrimPrefix(g.url, "http://"))
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(patience))
	fmt.Fprintf(c, "GET /x HTTP/1.1\r\nHost: a\r\nConnection: Upgrade\r\nUpgrade: echo\r\n\r\nhello")
	in := bufio.NewReader(c)
	resp, err := http.ReadResponse(in, nil)
	if err != nil || resp.StatusCode != 101 || resp.Header.Get("X-Key") != "k" || resp.Header.Get("Upgrade") != "echo" {
		t.Fatalf("answered %v, %v", resp, err)
	}
	buf := make([]byte, 5)
	for _, word := range []string{"hello", "again", "third"} {
		if word != "hello" {
			io.WriteString(c, word)
		}
		if _, err := io.ReadFull(in, buf); err != nil || string(buf) != word {
			t.Fatalf("said %q, heard %q, %v", word, buf, err)
		}
	}
	if n := g.exchange.Open(); n != 1 {
		t.Errorf("%d requests are open within the other protocol", n)
	}
	c.(*net.TCPConn).CloseWrite()
	if rest, err := io.ReadAll(in); err != nil || len(rest) > 0 {
		t.Errorf("at the end: %q, %v", rest, err)
	}
	idle(t, g)
}

// Where no route allows it, the request is an ordinary one.
func TestSwitchIsNotForAnyProtocol(t *testing.T) {
	addr := netHost(t, "http1", func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get("Upgrade") != "" {
			t.Error("the host is asked to switch")
		}
	})
	g := launch(t, flowing(t, "http1", "http1", "safe", `upgrades = ["other"]`, addr))
	if status, _, _ := ask(t, g, "GET", "/x", "Connection: Upgrade", "Upgrade: echo"); status != 200 {
		t.Errorf("answered %d", status)
	}
}

// An order to stop cuts what flows, in its time, and a reload does not.
func TestReloadAndStopWithinStreams(t *testing.T) {
	inEach(t, func(t *testing.T, client, host string) {
		t.Parallel() // each takes the whole time that there is to stop
		addr := netHost(t, host, func(w http.ResponseWriter, r *http.Request) {
			w.WriteHeader(200)
			for r.Context().Err() == nil {
				w.Write([]byte("tick"))
				w.(http.Flusher).Flush()
				time.Sleep(time.Millisecond)
			}
		})
		m := flowing(t, client, host, "safe", `answers = "stream"`, addr)
		g := launch(t, m)
		resp, err := talker(t, client).Get(g.url + "/x")
		if err != nil {
			t.Fatal(err)
		}
		defer resp.Body.Close()
		next := flowing(t, client, host, "safe", `answers = "stream"`, addr, "127.0.0.1:1")
		next.Listeners = m.Listeners
		next.Pools[0].Settings.MaxAttempts = 1 // another pool
		if err := g.Reload(next); err != nil {
			t.Fatal(err)
		}
		buf := make([]byte, 4)
		for range 100 {
			if _, err := io.ReadFull(resp.Body, buf); err != nil {
				t.Fatalf("behind a reload: %v", err)
			}
		}
		stopped := make(chan struct{})
		go func() { g.stop(); <-g.end; close(stopped) }()
		if _, err := io.Copy(io.Discard, resp.Body); err == nil && client == "http1" {
			t.Error("an answer that was cut at the stop passed for a whole one")
		}
		await(t, stopped, "the end of the gateway")
	})
}

// A disk that is full, or gone, costs the replay and no request; or the request, where that is
// asked for.
func TestSpoolWithoutRoom(t *testing.T) {
	addr := netHost(t, "http1", func(w http.ResponseWriter, r *http.Request) {
		if n, err := io.Copy(io.Discard, r.Body); err != nil || n != 300000 {
			w.WriteHeader(http.StatusTeapot)
		}
	})
	for _, c := range []struct {
		full   string
		status int
	}{{"stream", 200}, {"refuse", 502}} {
		g := launch(t, flowing(t, "http1", "http1", "unsafe", "requests = \"stream\"\nreplay = 1000\nspool = 900000\nfull = \""+c.full+`"`, addr))
		d, err := spool.Open(t.TempDir(), 100000, 0)
		if err != nil {
			t.Fatal(err)
		}
		g.admission.Spool(d)
		r, _ := http.NewRequest(http.MethodPost, g.url+"/x", unsized{bytes.NewReader(make([]byte, 300000))})
		resp, err := talker(t, "http1").Do(r)
		if err != nil {
			t.Fatal(err)
		}
		resp.Body.Close()
		if resp.StatusCode != c.status {
			t.Errorf("full = %s: answered %d, want %d", c.full, resp.StatusCode, c.status)
		}
		idle(t, g)
		if used, files := d.Used(); used != 0 || files != 0 {
			t.Errorf("%d bytes in %d files stay", used, files)
		}
	}
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

// A WebSocket over a stream of HTTP/2 (RFC 8441) is one over HTTP/1.1 for the host, whose word
// on the key is checked.
func TestSwitchOnAStream(t *testing.T) {
	for _, honest := range []bool{true, false} {
		addr, _ := rawHost(t, func(_ int, c net.Conn, r *standin.Request) bool {
			sum := sha1.Sum([]byte(r.Header.Get("Sec-Websocket-Key") + "258EAFA5-E914-47DA-95CA-C5AB0DC85B11"))
			if !honest {
				sum[0]++
			}
			fmt.Fprintf(c, "HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: websocket\r\nSec-WebSocket-Accept: %s\r\n\r\n",
				base64.StdEncoding.EncodeToString(sum[:]))
			io.Copy(c, c)
			return false
		})
		g := launch(t, flowing(t, "http2", "http1", "unsafe", `upgrades = ["websocket"]`, addr))
		c := h2client(t, g)
		if err := c.Head(1, false, ":method", "CONNECT", ":protocol", "websocket", ":scheme", "http", ":authority", "a", ":path", "/chat"); err != nil {
			t.Fatal(err)
		}
		c.Data(1, false, []byte("ping"))
		status, heard, ended := "", "", false
		for !ended {
			f, err := c.Read()
			if err != nil {
				t.Fatal(err)
			}
			switch f := f.(type) {
			case *http2.SettingsFrame:
				if v, ok := f.Value(http2.SettingEnableConnectProtocol); !f.IsAck() && (!ok || v != 1) {
					t.Error("the protocol is not offered")
				}
			case *http2.MetaHeadersFrame:
				status = f.PseudoValue("status")
				ended = f.StreamEnded()
			case *http2.DataFrame:
				heard += string(f.Data())
				ended = f.StreamEnded()
				if heard == "ping" && !ended {
					c.Data(1, true, nil)
				}
			case *http2.RSTStreamFrame:
				ended = true
			}
		}
		if honest && (status != "200" || heard != "ping") || !honest && status != "502" {
			t.Errorf("honest %v: answered %s, heard %q", honest, status, heard)
		}
		idle(t, g)
	}
}

// What comes ahead of an answer is passed on where the route says so, and in no number that
// could hold the gateway up.
func TestHintsAhead(t *testing.T) {
	for _, client := range protocols {
		for _, hints := range []string{"true", "false"} {
			addr := netHost(t, "http1", func(w http.ResponseWriter, r *http.Request) {
				w.Header().Set("Link", "</style.css>; rel=preload")
				w.WriteHeader(http.StatusEarlyHints)
				<-r.Context().Done()
			})
			g := launch(t, flowing(t, client, "http1", "safe", "answers = \"stream\"\nhints = "+hints, addr))
			got := make(chan int, 1)
			ctx, cancel := context.WithCancel(httptrace.WithClientTrace(context.Background(), &httptrace.ClientTrace{
				Got1xxResponse: func(code int, h textproto.MIMEHeader) error {
					if h.Get("Link") != "" {
						got <- code
					}
					return nil
				}}))
			done := make(chan struct{})
			go func() {
				r, _ := http.NewRequestWithContext(ctx, http.MethodGet, g.url+"/x", nil)
				if resp, err := talker(t, client).Do(r); err == nil {
					resp.Body.Close()
				}
				close(done)
			}()
			if hints == "true" {
				if code := await(t, got, "the hint"); code != http.StatusEarlyHints {
					t.Errorf("%s: %d came ahead", client, code)
				}
			}
			cancel()
			<-done
			idle(t, g)
		}
	}
	addr, _ := rawHost(t, func(_ int, c net.Conn, r *standin.Request) bool {
		for {
			if _, err := io.WriteString(c, "HTTP/1.1 103 Early Hints\r\n\r\n"); err != nil {
				return false
			}
		}
	})
	g := launch(t, flowing(t, "http1", "http1", "unsafe", `answers = "stream"`, addr))
	if status, _, _ := ask(t, g, "GET", "/x"); status != http.StatusBadGateway {
		t.Errorf("hints without end: answered %d", status)
	}
	idle(t, g)
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
		addr, _ := rawHost(t, func(_ int, conn net.Conn, r *standin.Request) bool {
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
		h := h2host(t, nil, nil, func(s *standin.H2Stream) {
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

// Where requests are whole they have the bounds that they ever had.
func TestWholeStaysAsItWas(t *testing.T) {
	addr := netHost(t, "http1", func(w http.ResponseWriter, r *http.Request) { io.Copy(io.Discard, r.Body) })
	g := launch(t, flowing(t, "http1", "http1", "unsafe", `answers = "stream"`, addr))
	if answer := talk(t, g, "POST /x HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"); !strings.HasPrefix(answer, "HTTP/1.1 411") {
		t.Errorf("chunked: %.40q", answer)
	}
	if answer := talk(t, g, "POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: 65537\r\n\r\n"); !strings.HasPrefix(answer, "HTTP/1.1 413") {
		t.Errorf("long: %.40q", answer)
	}
}

// A request of which nothing has reached a host goes on to the fallback, its body with it; one
// whose beginning is gone does not, and is refused, since its host said that it did not begin.
func TestStreamsAndFallbacks(t *testing.T) {
	second := netHost(t, "http1", func(w http.ResponseWriter, r *http.Request) {
		n, _ := io.Copy(io.Discard, r.Body)
		fmt.Fprint(w, n)
	})
	refuses := h2host(t, nil, func(s *standin.H2Stream) {
		s.Conn.Write(func(f *http2.Framer) error { return f.WriteWindowUpdate(0, 1<<20) })
		s.Conn.Write(func(f *http2.Framer) error { return f.WriteWindowUpdate(s.ID, 1<<20) })
	}, func(s *standin.H2Stream) {
		s.Conn.Write(func(f *http2.Framer) error { return f.WriteRSTStream(s.ID, http2.ErrCodeRefusedStream) })
	})
	for _, c := range []struct {
		name, first, protocol string
		replay, status        int
	}{
		{"no host takes a connection", "127.0.0.1:1", "http1", 1000, 200},
		{"refused, the beginning is kept", refuses.Addr(), "http2", 1 << 20, 503},
		{"refused, the beginning is gone", refuses.Addr(), "http2", 1000, 503},
	} {
		text := flowingText("http1", c.protocol, "unsafe", fmt.Sprintf("requests = \"stream\"\nreplay = %d", c.replay), c.first)
		text = strings.Replace(text, "[[route]]", fmt.Sprintf("[[pool]]\nname = \"second\"\nhosts = [%q]\n[[route]]", second), 1)
		text = strings.Replace(text, "pool = \"hosts\"\n", "pool = \"hosts\"\nfallback = \"second\"\n", 1)
		g := launch(t, parsed(t, text))
		status, body := 0, ""
		// The first request may find that a host is gone only by asking it.
		for range 10 {
			r, _ := http.NewRequest(http.MethodPost, g.url+"/x", unsized{bytes.NewReader(make([]byte, 100000))})
			resp, err := talker(t, "http1").Do(r)
			if err != nil {
				t.Fatal(err)
			}
			got, _ := io.ReadAll(resp.Body)
			resp.Body.Close()
			if status, body = resp.StatusCode, string(got); status == c.status {
				break
			}
		}
		if status != c.status || status == 200 && body != "100000" {
			t.Errorf("%s: answered %d %q, want %d", c.name, status, body, c.status)
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

type endlessly struct{}

func (endlessly) Read(p []byte) (int, error) { return len(p), nil }

// 100 Continue comes once a host takes the body, never ahead of a refusal; a client may also
// send without it, or never.
func TestContinueIsSaidWhenABodyIsWanted(t *testing.T) {
	addr := netHost(t, "http1", func(w http.ResponseWriter, r *http.Request) { io.Copy(w, r.Body) })
	g := launch(t, flowing(t, "http1", "http1", "unsafe", "requests = \"stream\"\nidle = \"200ms\"\nmost = 1000", addr))
	head := "POST /x HTTP/1.1\r\nHost: a\r\nExpect: 100-continue\r\nContent-Length: "
	c, err := net.Dial("tcp", strings.TrimPrefix(g.url, "http://"))
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(patience))
	in := bufio.NewReader(c)
	fmt.Fprintf(c, "%s5\r\n\r\n", head)
	if resp, err := http.ReadResponse(in, nil); err != nil || resp.StatusCode != 100 {
		t.Fatalf("ahead of the body: %v, %v", resp, err)
	}
	fmt.Fprint(c, "hello")
	resp, err := http.ReadResponse(in, nil)
	if err != nil || resp.StatusCode != 200 {
		t.Fatalf("behind the body: %v, %v", resp, err)
	}
	if body, _ := io.ReadAll(resp.Body); string(body) != "hello" {
		t.Errorf("the body came back as %q", body)
	}
	fmt.Fprintf(c, "%s5\r\n\r\nhello", head) // it does not wait
	for status := 100; status == 100; {
		if resp, err = http.ReadResponse(in, nil); err != nil {
			t.Fatal(err)
		}
		status = resp.StatusCode
	}
	if body, _ := io.ReadAll(resp.Body); resp.StatusCode != 200 || string(body) != "hello" {
		t.Errorf("without waiting: %d %q", resp.StatusCode, body)
	}
	for want, length := range map[string]int{"HTTP/1.1 413": 1001, "HTTP/1.1 100": 5} {
		if answer := talk(t, g, fmt.Sprintf("%s%d\r\n\r\n", head, length)); !strings.HasPrefix(answer, want) {
			t.Errorf("%d bytes announced: %.40q, want %s", length, answer, want)
		} else if length == 5 && !strings.Contains(answer, "HTTP/1.1 400") && !strings.Contains(answer, "HTTP/1.1 408") {
			t.Errorf("a body that never came: %q", answer)
		}
	}
	idle(t, g)
}

// A host that is taken out and a gateway that is told to stop within an upload: what has begun
// there ends there, served, with every byte; nothing more goes to the host.
func TestOutAndStopWithinAnUpload(t *testing.T) {
	inEach(t, func(t *testing.T, client, host string) {
		for _, what := range []string{"out", "stop"} {
			begun := make(chan struct{}, 4)
			got := make(chan int64, 4)
			addr := netHost(t, host, func(w http.ResponseWriter, r *http.Request) {
				one := make([]byte, 1)
				io.ReadFull(r.Body, one)
				begun <- struct{}{}
				n, err := io.Copy(io.Discard, r.Body)
				if err != nil {
					n = -1
				}
				got <- n + 1
			})
			g := launch(t, flowing(t, client, host, "unsafe", "requests = \"stream\"\nreplay = 1000", addr))
			from, to := io.Pipe()
			r, _ := http.NewRequest(http.MethodPost, g.url+"/x", from)
			answered := make(chan int, 1)
			go func() {
				resp, err := talker(t, client).Do(r)
				if err != nil {
					answered <- 0
					return
				}
				resp.Body.Close()
				answered <- resp.StatusCode
			}()
			half := make([]byte, 100_000)
			to.Write(half)
			await(t, begun, "the first byte at the host")
			if what == "out" {
				if _, err := (commands{g.Gateway}).Out(context.Background(), addr, true, false); err != nil {
					t.Fatal(err)
				}
			} else {
				g.stop()
			}
			to.Write(half)
			to.Close()
			if n := await(t, got, "the end at the host"); n != 200_000 {
				t.Errorf("%s: the host got %d bytes", what, n)
			}
			if status := await(t, answered, "the answer"); status != 200 {
				t.Errorf("%s: answered %d", what, status)
			}
			if what == "stop" {
				await(t, g.end, "the end of the gateway")
				continue
			}
			resp, err := talker(t, client).Post(g.url+"/x", "text/plain", strings.NewReader("x"))
			if err != nil {
				t.Fatal(err)
			}
			resp.Body.Close()
			if resp.StatusCode != 503 || len(begun) > 0 {
				t.Errorf("the only host is out: answered %d, %d more began there", resp.StatusCode, len(begun))
			}
		}
	})
}
