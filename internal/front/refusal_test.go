package front

import (
	"bufio"
	"context"
	"crypto/tls"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"frostshift/internal/fake"
)

// gatedListener accepts connections whose writes wait, as those of a process do that is short of processor time.
type gatedListener struct {
	*net.TCPListener
	writes   chan struct{} // gets one as a write is about to begin
	goesOn   chan struct{} // closed: writes go on
	closings chan struct{} // gets one as the sending side, or the connection, is closed
}

func newGatedListener(t *testing.T) *gatedListener {
	t.Helper()
	return &gatedListener{listenLocal(t), make(chan struct{}, 10), make(chan struct{}), make(chan struct{}, 1)}
}

func (l *gatedListener) Accept() (net.Conn, error) {
	c, err := l.AcceptTCP()
	if err != nil {
		return nil, err
	}
	return &gatedConn{TCPConn: c, gates: l}, nil
}

// closes notes a close; one that has been noted is enough.
func (l *gatedListener) closes() {
	select {
	case l.closings <- struct{}{}:
	default:
	}
}

type gatedConn struct {
	*net.TCPConn
	gates *gatedListener
	begun atomic.Bool // a write; those behind it do not wait
}

// SetWriteDeadline waits in the place of the write behind it, which has its time from then on.
func (c *gatedConn) SetWriteDeadline(t time.Time) error {
	if c.begun.CompareAndSwap(false, true) {
		c.gates.writes <- struct{}{}
		<-c.gates.goesOn
	}
	return c.TCPConn.SetWriteDeadline(t.Add(time.Hour))
}

func (c *gatedConn) CloseWrite() error {
	c.gates.closes()
	return c.TCPConn.CloseWrite()
}

func (c *gatedConn) Close() error {
	c.gates.closes()
	return c.TCPConn.Close()
}

// A request that is refused while its server reads it is closed only behind the refusal: the server, which learns that
// the connection is given up, closed it first, and the client had no answer.
func TestNoCloseOvertakesARefusal(t *testing.T) {
	const (
		half     = "GET / HTTP/1.1\r\nHo"
		rest     = "st: a\r\n\r\n"
		bodied   = "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1000000\r\n\r\n" // its server reads nothing more
		patience = 20 * time.Second
		lull     = 30 * time.Millisecond // in which a close that waits for nothing comes
	)
	expel := func(_ *Conns, ln *Listener) { ln.Expel() }
	certificate, key := fake.Certificate(t.TempDir(), "localhost")
	pair, err := tls.LoadX509KeyPair(certificate, key)
	if err != nil {
		t.Fatal(err)
	}
	for _, test := range []struct {
		name        string
		sent, later string // ahead of the refusal, and behind its choice
		whole       bool   // the head is read whole, and nobody has been told
		secure      bool
		refuse      func(*Conns, *Listener)
	}{
		{"the rest of a head at a stop", half, rest, false, false, expel},
		{"a head that is read whole at a stop", half + rest, "", true, false, expel},
		{"a stalled head whose memory others need", half, rest, false, false, func(l *Conns, _ *Listener) { l.refuseStalledHead(nil) }},
		{"the rest of a head over TLS", half, rest, false, true, expel},
		{"a head that is read whole over TLS", half + rest, "", true, true, expel},
		{"the head of a body", bodied, "", true, false, expel},
		{"the head of a body over TLS", bodied, "", true, true, expel},
	} {
		t.Run(test.name, func(t *testing.T) {
			gates := newGatedListener(t)
			conns := NewConns(10, 10, SpareAfter)
			ln := conns.Listen(gates)
			read, told := make(chan struct{}), make(chan struct{})
			s := &http.Server{
				Handler: http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
					if !Of(r.Context().Value(connOf{}).(net.Conn)).Taken() {
						panic(http.ErrAbortHandler)
					}
				}),
				ConnContext: func(ctx context.Context, c net.Conn) context.Context {
					return context.WithValue(ctx, connOf{}, c)
				},
				ConnState: func(c net.Conn, state http.ConnState) {
					if state == http.StateActive && test.whole {
						close(read)
						<-told
					}
					conns.State(c, state)
				},
				ReadHeaderTimeout: time.Hour,
			}
			served := make(chan error, 1)
			plain, err := net.Dial("tcp", ln.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			defer plain.Close()
			plain.SetDeadline(time.Now().Add(patience))
			client := plain
			if ln.Secure = test.secure; test.secure {
				client = tls.Client(plain, &tls.Config{InsecureSkipVerify: true})
				go func() { served <- s.Serve(secureListener{ln, &tls.Config{Certificates: []tls.Certificate{pair}}}) }()
			} else {
				go func() { served <- s.Serve(ln) }()
			}
			io.WriteString(client, test.sent)
			if test.whole {
				<-read
			} else {
				awaitStalledHead(t, conns)
			}
			refused := make(chan struct{})
			go func() {
				test.refuse(conns, ln)
				close(refused)
			}()
			<-gates.writes
			io.WriteString(client, test.later)
			close(told)
			select {
			case <-gates.closings:
				t.Error("the connection is closed ahead of the refusal")
			case <-time.After(lull):
			}
			close(gates.goesOn)
			<-refused
			resp, err := http.ReadResponse(bufio.NewReader(client), nil)
			if err != nil || resp.StatusCode != http.StatusServiceUnavailable {
				t.Errorf("answered %+v, %v, want a refusal", resp, err)
			}
			plain.Close()
			s.Close()
			<-served
		})
	}
}

// secureListener has clients begin with a handshake.
type secureListener struct {
	*Listener
	config *tls.Config
}

func (l secureListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	secure := tls.Server(c, l.config)
	if err := secure.Handshake(); err != nil {
		return nil, err
	}
	return NewSecure(secure, c.(*Conn)), nil
}

// connOf finds a request's connection in its context.
type connOf struct{}

// awaitStalledHead waits until half a head has come on the only connection, and has stalled.
func awaitStalledHead(t *testing.T, conns *Conns) {
	t.Helper()
	for end := time.Now().Add(20 * time.Second); ; time.Sleep(time.Millisecond) {
		conns.mu.Lock()
		c := conns.oldest(halfway, time.Now(), stalledHead)
		conns.mu.Unlock()
		if c != nil {
			return
		}
		if time.Now().After(end) {
			t.Fatal("no half of a head is seen")
		}
	}
}

// A client whose system takes nothing in holds up no other's refusal: refusals went out one after the other, and the kill
// follows 0.3 s behind.
func TestClientThatTakesNothingInHoldsUpNoRefusal(t *testing.T) {
	const clients = 10
	gates := newGatedListener(t)
	conns := NewConns(clients, clients, SpareAfter)
	ln := conns.Listen(gates)
	for range clients {
		client, c := acceptOn(t, ln)
		io.WriteString(client, "GET / HTTP/1.1\r\n")
		c.Read(make([]byte, 100))
	}
	expelled := make(chan struct{})
	go func() {
		ln.Expel()
		close(expelled)
	}()
	for n := range clients {
		select {
		case <-gates.writes:
		case <-time.After(5 * time.Second):
			t.Errorf("%d of %d refusals are written while the first is held up", n, clients)
			close(gates.goesOn)
			<-expelled
			return
		}
	}
	close(gates.goesOn)
	<-expelled
}

// A request that has come and is not read yet is refused at a stop ahead of any close by whoever waits for its first byte.
func TestNoCloseOvertakesTheRefusalOfWhatIsUnread(t *testing.T) {
	gates := newGatedListener(t)
	ln, client, c := acceptFrom(t, NewConns(10, 10, SpareAfter), gates)
	client.SetDeadline(time.Now().Add(20 * time.Second))
	io.WriteString(client, "GET / HTTP/1.1\r\n")
	for c.Unread() == 0 {
		time.Sleep(time.Millisecond)
	}
	go ln.Expel()
	<-gates.writes
	awaited := make(chan bool, 1)
	go func() {
		awaited <- c.Await(time.Hour)
		c.Close()
	}()
	select {
	case <-gates.closings:
		t.Error("the connection is closed ahead of the refusal")
	case <-time.After(30 * time.Millisecond):
	}
	close(gates.goesOn)
	resp, err := http.ReadResponse(bufio.NewReader(client), nil)
	if err != nil || resp.StatusCode != http.StatusServiceUnavailable {
		t.Errorf("answered %+v, %v, want a refusal", resp, err)
	}
	client.Close()
	if <-awaited {
		t.Error("a request that is refused is served")
	}
}
