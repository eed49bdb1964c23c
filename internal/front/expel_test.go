package front

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"testing"
	"time"
)

// A request of which half a head came behind another is refused by Expel in whichever order that meets the
// server's way from the answer before to the next head.
func TestExpelBetweenAnAnswerAndTheNextHead(t *testing.T) {
	const patience = 20 * time.Second
	conns := NewConns(10, 10, SpareAfter)
	ln := conns.Listen(listenLocal(t))
	answered, expelled := make(chan struct{}), make(chan struct{})
	s := &http.Server{
		Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}),
		ConnState: func(c net.Conn, state http.ConnState) {
			conns.State(c, state)
			if state == http.StateIdle {
				close(answered)
				<-expelled
			}
		},
		ReadHeaderTimeout: time.Hour,
	}
	served := make(chan error, 1)
	go func() { served <- s.Serve(ln) }()
	c, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(patience))
	io.WriteString(c, "GET / HTTP/1.1\r\nHost: a\r\n\r\nGET / HTTP/1.1\r\nHo")
	<-answered
	ln.Expel()
	close(expelled)
	in := bufio.NewReader(c)
	for _, status := range []int{http.StatusOK, http.StatusServiceUnavailable} {
		resp, err := http.ReadResponse(in, nil)
		if err != nil || resp.StatusCode != status {
			t.Fatalf("answered %+v, %v, want %d", resp, err, status)
		}
	}
	if _, err := in.ReadByte(); !errors.Is(err, io.EOF) {
		t.Errorf("%v behind the refusal", err)
	}
	s.Close()
	<-served
}
