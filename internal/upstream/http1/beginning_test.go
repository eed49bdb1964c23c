package http1

import (
	"io"
	"net"
	"net/http"
	"testing"
	"time"
)

// gatedConn is a connection whose reads wait for a gate, as those of a goroutine that gets no processor do.
type gatedConn struct {
	net.Conn
	gate chan struct{}
}

func (c gatedConn) Read(b []byte) (int, error) {
	<-c.gate
	return c.Conn.Read(b)
}

// ending has a host end its connection in order, or reset it, and waits until that has come.
func ending(near *conn, far *net.TCPConn, reset bool) {
	if reset {
		far.SetLinger(0)
	}
	far.Close()
	near.await()
}

// A host breaks behind the head of a long answer, and the gateway looks late: the head went out, with nothing behind it.
func TestBreakThatIsLookedForLateIsABreak(t *testing.T) {
	for name, reset := range map[string]bool{"end": false, "reset": true} {
		t.Run("told length, "+name, func(t *testing.T) {
			near, far := pair(t)
			ending(near, far, reset)
			near.begin()
			if err := near.awaitBody(time.Nanosecond, &http.Response{ContentLength: 100_000}); err == nil {
				t.Error("the head goes out")
			}
		})
		t.Run("untold length, "+name, func(t *testing.T) {
			near, far := pair(t)
			io.WriteString(far, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
			near.begin()
			near.limit.N = maxHeader
			resp, err := http.ReadResponse(near.in, nil)
			if err != nil {
				t.Fatal(err)
			}
			ending(near, far, reset)
			late := gatedConn{near.Conn, make(chan struct{})}
			near.Conn = late
			time.AfterFunc(50*time.Millisecond, func() { close(late.gate) })
			b := &beginning{ahead: time.Millisecond, until: time.Now().Add(patience), buffer: make([]byte, wholePart), filled: make(chan struct{}), free: func() {}, again: func() {}}
			if whole, err := b.fill(near, resp, func() { t.Error("the head goes out") }); whole || err == nil {
				t.Errorf("whole %v, %v", whole, err)
			}
		})
	}
}

// A host that rests behind the head of a long answer has it go out when it has been held for long enough.
func TestRestIsNoBreak(t *testing.T) {
	near, _ := pair(t)
	near.begin()
	if err := near.awaitBody(time.Millisecond, &http.Response{ContentLength: 100_000}); err != nil {
		t.Errorf("the head is held: %v", err)
	}
}
