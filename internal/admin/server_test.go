package admin

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

type fake struct{ serving bool }

func (f *fake) Serving() bool { return f.serving }
func (f *fake) Out(ctx context.Context, host string, out, _ bool) (string, error) {
	switch host {
	case "rota-1", "rota 2/x":
		return "", nil
	case "slow":
		<-ctx.Done()
		return "", ctx.Err()
	case "bad":
		return "", ErrName
	}
	return "", ErrUnknown
}
func (f *fake) Drain(context.Context, bool) error { return nil }

func listen(t *testing.T, do Commands) string {
	t.Helper()
	s, err := Listen("127.0.0.1:0", do, nil, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	ended := make(chan error, 1)
	go func() { ended <- s.Serve() }()
	t.Cleanup(func() {
		s.Close()
		if err := <-ended; err != nil {
			t.Error(err)
		}
	})
	return s.Addr().String()
}

func call(t *testing.T, address, text string) *http.Response {
	t.Helper()
	c, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(20 * time.Second))
	io.WriteString(c, text)
	r, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		t.Fatalf("%.60q: %v", text, err)
	}
	return r
}

func TestCalls(t *testing.T) {
	f := &fake{}
	address := listen(t, f)
	for _, c := range []struct {
		line, rest string
		want       int
	}{
		{"GET /healthcheck", "", 503}, {"GET /healthcheck", "up", 200}, {"HEAD /healthcheck", "", 200},
		{"POST /hosts/rota-1/maint", "", 200}, {"POST /hosts/rota-1/ready", "", 200}, {"POST /hosts/rota%202%2Fx/maint", "", 200},
		{"POST /hosts/nobody/maint", "", 404}, {"POST /hosts/bad/maint", "", 400}, {"POST /hosts/slow/ready", "", 503},
		{"GET /hosts/rota-1/maint", "", 405}, {"DELETE /healthcheck", "", 405}, {"POST /hosts/rota-1/gone", "", 404}, {"GET /", "", 404},
		{"POST /healthcheck/fail", "", 200}, {"POST /healthcheck/ok", "", 200},
		{"POST /healthcheck/ok", "Content-Length: 5000\r\n", 413}, {"GET /healthcheck", "X-Pad: " + strings.Repeat("x", 16<<10) + "\r\n", 431},
		{"nonsense", "", 400},
	} {
		if c.rest == "up" {
			f.serving, c.rest = true, ""
		}
		r := call(t, address, fmt.Sprintf("%s HTTP/1.1\r\nHost: x\r\n%s\r\n", c.line, c.rest))
		if r.StatusCode != c.want || !r.Close {
			t.Errorf("%s: answered %d, want %d; closes %v", c.line, r.StatusCode, c.want, r.Close)
		}
	}
}

// Two hundred callers that say nothing, half a head, or one byte now and then keep nobody out,
// and hold a bounded number of connections.
func TestSilentCallersKeepNobodyOut(t *testing.T) {
	address := listen(t, &fake{serving: true})
	var conns []net.Conn
	for i := range 200 {
		c, err := net.Dial("tcp", address)
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		io.WriteString(c, "GET /healthcheck HTTP/1.1\r\nHost:"[:i%30])
		conns = append(conns, c)
		if i%20 == 0 {
			if r := call(t, address, "GET /healthcheck HTTP/1.1\r\nHost: x\r\n\r\n"); r.StatusCode != 200 {
				t.Fatalf("beside %d callers: %d", i, r.StatusCode)
			}
		}
	}
	closed := 0
	for _, c := range conns[:200-2*mostConns] { // those that came long before the last ones
		c.SetReadDeadline(time.Now().Add(20 * time.Second))
		if _, err := io.Copy(io.Discard, c); err == nil || !errors.Is(err, context.DeadlineExceeded) {
			closed++
		}
	}
	if closed != 200-2*mostConns {
		t.Errorf("%d of the old callers were let go", closed)
	}
}
