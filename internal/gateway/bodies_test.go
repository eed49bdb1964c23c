package gateway

import (
	"bufio"
	"bytes"
	"context"
	"crypto/sha256"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"golang.org/x/net/http2"

	"frostshift/internal/fake"
)

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

// Keep-alive connections send one body after the other; heads stay known between them.
func TestBodiesFollowOneAnother(t *testing.T) {
	addr := netHost(t, "http1", func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		w.Write(body)
	})
	g := launch(t, flowing(t, "http1", "http1", "unsafe", `requests = "stream"`, addr))
	c, err := fake.Dial(strings.TrimPrefix(g.url, "http://"), patience)
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
	refuses := h2host(t, nil, func(s *fake.H2Stream) {
		s.Conn.Write(func(f *http2.Framer) error { return f.WriteWindowUpdate(0, 1<<20) })
		s.Conn.Write(func(f *http2.Framer) error { return f.WriteWindowUpdate(s.ID, 1<<20) })
	}, func(s *fake.H2Stream) {
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

// A host that is taken out and a gateway that is told to stop within an upload: what has begun
// there ends there, served, with every byte; nothing more goes to the host.
func TestOutAndStopWithinAnUpload(t *testing.T) {
	t.Parallel()
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
