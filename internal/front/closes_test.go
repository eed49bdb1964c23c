package front

import (
	"bytes"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// Each way in which a connection ends is counted under its reason, once; those that may have cost a request its
// answer have a line in the log.
func TestClosesHaveReasons(t *testing.T) {
	const head = "GET / HTTP/1.1\r\nHost: a\r\n"
	answered := func(l *Conns, c *Conn) {
		l.State(c, http.StateActive)
		l.State(c, http.StateIdle)
		c.beforeRead()
	}
	read := func(c *Conn) { c.Read(make([]byte, 100)) }
	for _, test := range []struct {
		name string
		want CloseReason
		logs bool
		play func(l *Conns, ln *Listener, c *Conn, client net.Conn)
	}{
		{"a client that leaves", ClosedByClient, false, func(_ *Conns, _ *Listener, c *Conn, client net.Conn) {
			client.Close()
			read(c)
		}},
		{"a client that leaves within its request", ClosedByClient, false, func(l *Conns, _ *Listener, c *Conn, client net.Conn) {
			l.State(c, http.StateActive)
			client.Close()
			read(c)
		}},
		{"an answer that ends it", ClosedAfterAnswer, false, func(_ *Conns, _ *Listener, c *Conn, _ net.Conn) { c.CloseWrite() }},
		{"an answer to a request that ends it", ClosedAfterAnswer, false, func(l *Conns, _ *Listener, c *Conn, _ net.Conn) {
			l.State(c, http.StateActive)
			c.Given()
		}},
		{"a request behind an answer", ClosedInRequest, true, func(l *Conns, _ *Listener, c *Conn, _ net.Conn) {
			l.State(c, http.StateActive)
			c.Given()
			l.State(c, http.StateActive)
		}},
		{"no further request", ClosedUnused, false, func(l *Conns, _ *Listener, c *Conn, _ net.Conn) { answered(l, c) }},
		{"a head that stops", ClosedInHead, true, func(_ *Conns, _ *Listener, c *Conn, client net.Conn) {
			io.WriteString(client, head)
			read(c)
		}},
		{"a request without an answer", ClosedInRequest, true, func(l *Conns, _ *Listener, c *Conn, _ net.Conn) {
			l.State(c, http.StateActive)
		}},
		{"an answer that breaks off", ClosedInRequest, true, func(_ *Conns, _ *Listener, c *Conn, _ net.Conn) { c.Reset() }},
		{"room for others", ClosedForRoom, true, func(l *Conns, _ *Listener, c *Conn, _ net.Conn) {
			answered(l, c)
			l.shedQuiet(0)
		}},
		{"a drain", ClosedForDrain, false, func(l *Conns, ln *Listener, c *Conn, _ net.Conn) {
			answered(l, c)
			ln.Leave()
		}},
		{"a stop with nothing read", ClosedByStop, true, func(l *Conns, ln *Listener, c *Conn, _ net.Conn) {
			answered(l, c)
			ln.Expel()
		}},
		{"a stop within a head", RefusedByStop, true, func(_ *Conns, ln *Listener, c *Conn, client net.Conn) {
			io.WriteString(client, head)
			read(c)
			ln.Expel()
		}},
	} {
		var text bytes.Buffer
		l := NewConns(10, 10, SpareAfter)
		l.LogTo(slog.New(slog.NewTextHandler(&text, nil)))
		ln := l.Listen(listenLocal(t))
		client, c := acceptOn(t, ln)
		c.Conn.SetDeadline(time.Now().Add(20 * time.Second))
		test.play(l, ln, c, client)
		c.Close()
		c.Close()
		for reason, n := range l.Closes() {
			if (reason == test.want) != (n == 1) || n > 1 {
				t.Errorf("%s: %d closes are counted as %q, want one as %q", test.name, n, reason, test.want)
			}
		}
		if got := strings.Contains(text.String(), "client connection closed: "+test.want.String()); got != test.logs {
			t.Errorf("%s: the log says %q", test.name, text.String())
		}
		ln.Close()
	}
}
