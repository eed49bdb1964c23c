package fake

import (
	"errors"
	"io"
	"net"
	"strings"
	"syscall"
	"testing"
	"time"
)

const patience = 20 * time.Second

func dial(t *testing.T, h *Host) *Client {
	t.Helper()
	c, err := Dial(h.Addr(), patience)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	return c
}

func start(t *testing.T, s Script) *Host {
	t.Helper()
	h, err := Scripted(s)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(h.Close)
	return h
}

// Each act does what its name says, and the counts tell what came.
func TestActs(t *testing.T) {
	release := make(chan struct{})
	acts := map[string]Act{
		"/serve": Serve("ok"), "/error": Error(), "/turned": Turned(), "/break": Break(),
		"/half": {Answer: Answer(200, "0123456789"), Bytes: 40, End: Half}, "/broken": {Answer: Answer(200, "0123456789"), Bytes: 40, End: Broken},
		"/close": {Answer: Answer(200, "bye"), End: Close}, "/until": {Until: release, Answer: Answer(200, "late")},
	}
	h := start(t, func(r *Request) Act { return acts[r.Target] })
	for target, want := range map[string]int{"/serve": 200, "/error": 500, "/turned": 503, "/close": 200, "/until": 200} {
		if target == "/until" {
			close(release)
		}
		c := dial(t, h)
		if status, _, _, err := c.Ask("GET", target, "", "X-Correlation-Id: "+target); err != nil || status != want {
			t.Errorf("%s: %d, %v", target, status, err)
		}
		if s := h.Seen(target); s != (Seen{1, 1}) {
			t.Errorf("%s: seen %+v", target, s)
		}
		_, _, _, err := c.Ask("GET", "/serve", "")
		if again := err == nil; again != (target != "/close") {
			t.Errorf("%s: the connection goes on: %v", target, again)
		}
	}
	for _, target := range []string{"/break", "/broken"} {
		if _, _, _, err := dial(t, h).Ask("GET", target, ""); err == nil {
			t.Errorf("%s was answered", target)
		}
	}
	c := dial(t, h)
	c.Send("GET", "/half", "")
	got := make([]byte, 40)
	if _, err := io.ReadFull(c, got); err != nil || !strings.HasPrefix(string(got), "HTTP/1.1 200") {
		t.Errorf("half an answer: %q, %v", got, err)
	}
	c.SetReadDeadline(time.Now().Add(10 * time.Millisecond))
	var late net.Error
	if _, err := c.Read(got); !errors.As(err, &late) || !late.Timeout() {
		t.Errorf("after half an answer: %v, want silence", err)
	}
}

// A request whose last byte has not come is begun and not whole.
func TestSeenTellsWhetherTheLastByteCame(t *testing.T) {
	h := start(t, Always(Serve("ok")))
	c := dial(t, h)
	io.WriteString(c, "POST / HTTP/1.1\r\nHost: x\r\nX-Correlation-Id: a\r\nContent-Length: 5\r\n\r\nhalf")
	for end := time.Now().Add(patience); h.Seen("a").Begun == 0 && time.Now().Before(end); time.Sleep(time.Millisecond) {
	}
	if s := h.Seen("a"); s != (Seen{1, 0}) {
		t.Errorf("seen %+v", s)
	}
	io.WriteString(c, "!")
	if !h.Await(1, patience) || h.Seen("a") != (Seen{1, 1}) {
		t.Errorf("seen %+v", h.Seen("a"))
	}
}

func TestRefuseReturnAndDropIdle(t *testing.T) {
	h := start(t, Always(Serve("ok")))
	c := dial(t, h)
	if _, _, _, err := c.Ask("GET", "/", ""); err != nil {
		t.Fatal(err)
	}
	for end := time.Now().Add(patience); h.Conns() > 0 && time.Now().Before(end); time.Sleep(time.Millisecond) {
		h.DropIdle()
	}
	if _, _, _, err := c.Ask("GET", "/", ""); err == nil {
		t.Error("an idle connection was not dropped")
	}
	h.Refuse()
	if c, err := Dial(h.Addr(), patience); err == nil {
		c.Close()
		t.Error("a host that refuses takes connections")
	}
	// Its address is its own still: one that asks for it alone is told that it is in use.
	alone := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) (err error) {
		raw.Control(func(fd uintptr) {
			err = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_REUSEADDR, 0)
		})
		return err
	}}
	if ln, err := alone.Listen(t.Context(), "tcp", h.Addr()); !errors.Is(err, syscall.EADDRINUSE) {
		if err == nil {
			ln.Close()
		}
		t.Errorf("somebody else may have the address of a host that refuses: %v", err)
	}
	if err := h.Return(); err != nil {
		t.Fatal(err)
	}
	if status, _, _, err := dial(t, h).Ask("GET", "/", ""); status != 200 {
		t.Errorf("after its return: %d, %v", status, err)
	}
}
