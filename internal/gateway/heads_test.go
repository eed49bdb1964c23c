package gateway

import (
	"crypto/tls"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"frostshift/internal/fake"
)

// fields are so many short header fields.
func fields(n int) string {
	var b strings.Builder
	for i := range n {
		fmt.Fprintf(&b, "%x:\r\n", 0xa00+i)
	}
	return b.String()
}

// Heads that are too large are refused before they have come whole, and ones that stall make room for others, in plain
// text and over TLS, also where they begin behind another request. Nothing stays held.
func TestHeadsAreHeldAgainstTheirRoom(t *testing.T) {
	certificate, key := fake.Certificate(t.TempDir(), "localhost")
	for _, listener := range []string{"", fmt.Sprintf("tls = { certificate = %q, key = %q }", certificate, key)} {
		h := scripted(t, fake.Always(fake.Serve("ok")))
		g := launch(t, booking(t, listener, h.Addr()), func(o *Options) { o.SendWithin = patience })
		dial := func() *fake.Client {
			t.Helper()
			c, err := fake.Dial(g.Addr("clients").String(), patience)
			if err != nil || listener == "" {
				return c
			}
			secure := tls.Client(c.Conn, &tls.Config{InsecureSkipVerify: true, NextProtos: []string{"http/1.1"}})
			if err := secure.Handshake(); err != nil {
				t.Fatal(err)
			}
			return fake.Over(secure)
		}
		answered := func(what string, c *fake.Client, want int) {
			t.Helper()
			if status, _, _, err := c.Receive(); err != nil || status != want {
				t.Errorf("%q, %s: answered %d, %v, want %d", listener, what, status, err, want)
			}
		}
		const post = "POST /book HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n\r\nbody"
		const head = "GET /lookup HTTP/1.1\r\nHost: a\r\n"
		for what, before := range map[string]string{"alone": "", "behind a request": head + "\r\n", "behind a body": post} {
			c := dial()
			io.WriteString(c, before+head+fields(100))
			if before != "" {
				answered("the request before", c, http.StatusOK)
			}
			io.WriteString(c, fields(1900))
			answered("too many fields "+what, c, http.StatusRequestHeaderFieldsTooLarge)
			c.Close()
		}
		until(t, "nothing is held", func() bool { return g.heads.Used() == 0 })
		g.heads.Resize(200 << 10)
		stalled := dial()
		io.WriteString(stalled, head+fields(300))
		until(t, "it is held", func() bool { return g.heads.Used() > 300*256 })
		time.Sleep(100 * time.Millisecond) // it stalls
		next := dial()
		io.WriteString(next, head+fields(300)+"\r\n")
		answered("the next", next, http.StatusOK)
		answered("the stalled head", stalled, http.StatusServiceUnavailable)
		next.Close()
		stalled.Close()
		until(t, "nothing is held", func() bool { return g.heads.Used() == 0 })
	}
}
