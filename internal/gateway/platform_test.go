package gateway

import (
	"crypto/sha256"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"frostshift/internal/standin"
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
			time.Sleep(40 * time.Millisecond) // all of it outlasts X-Time-Left
		}
	})
	g := gatewayFor(t, "a", host)
	var all sync.WaitGroup
	for _, obj := range []string{"told", "chunked"} {
		all.Go(func() {
			r := request(t, g.url, "book", "")
			r.URL.RawQuery = "obj=" + obj
			r.Header.Set("X-Time-Left", "200m")
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
		addr, count := rawHost(t, func(n int, conn net.Conn, _ *standin.Request) bool {
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
