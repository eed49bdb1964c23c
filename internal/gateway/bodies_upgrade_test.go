package gateway

import (
	"bufio"
	"bytes"
	"context"
	"crypto/sha1"
	"encoding/base64"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
	"strings"
	"testing"
	"time"

	"golang.org/x/net/http2"

	"frostshift/internal/fake"
)

// A connection that switches protocols is passed on both ways, and counts until it ends.
func TestSwitchOfProtocols(t *testing.T) {
	addr, _ := rawHost(t, func(_ int, c net.Conn, r *fake.Request) bool {
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

// A WebSocket over a stream of HTTP/2 (RFC 8441) is one over HTTP/1.1 for the host, whose word
// on the key is checked.
func TestSwitchOnAStream(t *testing.T) {
	for _, honest := range []bool{true, false} {
		addr, _ := rawHost(t, func(_ int, c net.Conn, r *fake.Request) bool {
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
	addr, _ := rawHost(t, func(_ int, c net.Conn, r *fake.Request) bool {
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

// switched is a client's connection that speaks a protocol in which its host sends back all that comes.
func switched(t *testing.T, g *running) (net.Conn, *bufio.Reader) {
	t.Helper()
	c, err := net.Dial("tcp", strings.TrimPrefix(g.url, "http://"))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	c.SetDeadline(time.Now().Add(patience))
	fmt.Fprintf(c, "GET /x HTTP/1.1\r\nHost: a\r\nConnection: Upgrade\r\nUpgrade: echo\r\n\r\n")
	in := bufio.NewReader(c)
	if resp, err := http.ReadResponse(in, nil); err != nil || resp.StatusCode != http.StatusSwitchingProtocols {
		t.Fatalf("answered %v, %v", resp, err)
	}
	return c, in
}

// echoes is the address of a host for switched.
func echoes(t *testing.T) string {
	t.Helper()
	addr, _ := rawHost(t, func(_ int, c net.Conn, r *fake.Request) bool {
		fmt.Fprintf(c, "HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: echo\r\n\r\n")
		io.Copy(c, c)
		return false
	})
	return addr
}

// What a client sends over a protocol that it has switched to counted as a head, and was cut off behind 16 KiB.
func TestSwitchedClientsMaySendAnyLength(t *testing.T) {
	g := launch(t, flowing(t, "http1", "http1", "unsafe", `upgrades = ["echo"]`, echoes(t)))
	c, in := switched(t, g)
	sent := noise(1 << 20)
	go c.Write(sent)
	got := make([]byte, len(sent))
	if n, err := io.ReadFull(in, got); err != nil || !bytes.Equal(got, sent) {
		t.Errorf("%d of %d bytes came back, %v", n, len(sent), err)
	}
}
