package gateway

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"frostshift/internal/config"
	"frostshift/internal/front"
	"frostshift/internal/front/http1"
	"frostshift/internal/front/http2"
	"frostshift/internal/socket"
)

// server is a listener with the fronts that serve its connections.
type server struct {
	config.Listener
	ln          *front.Listener
	one         *http1.Server // nil: not spoken here
	two         *http2.Server // nil: not spoken here
	certificate atomic.Pointer[tls.Certificate]
	sendWithin  time.Duration

	// With TLS:
	handshakes      sync.WaitGroup
	shaken          chan net.Conn   // connections that speak HTTP/1.1
	over            chan struct{}   // closed: no further handshake ends
	handshaking     context.Context // of all handshakes
	breakHandshakes context.CancelFunc
}

// listen opens the sockets of a configuration that are not open yet. The lock is held.
func (g *Gateway) listen(m *config.Model) (opened []*server, err error) {
	longest := longestDeadline(m)
	for _, l := range m.Listeners {
		if g.servers[l] != nil {
			continue
		}
		s, err := g.open(l, longest)
		if err != nil {
			for _, s := range opened {
				s.Close()
			}
			return nil, fmt.Errorf("listener %q: %w", l.Name, err)
		}
		opened = append(opened, s)
	}
	return opened, nil
}

// longestDeadline is the longest that any class has.
func longestDeadline(m *config.Model) (longest time.Duration) {
	for i := range m.Classes {
		longest = max(longest, m.Classes[i].Deadline)
	}
	return longest
}

func (g *Gateway) open(l config.Listener, longest time.Duration) (*server, error) {
	s := &server{Listener: l, over: make(chan struct{}), sendWithin: g.opt.SendWithin}
	s.handshaking, s.breakHandshakes = context.WithCancel(context.Background())
	if s.sendWithin == 0 {
		s.sendWithin = http1.SendWithin
	}
	if l.Certificate != "" {
		c, err := tls.LoadX509KeyPair(l.Certificate, l.Key)
		if err != nil {
			return nil, err
		}
		s.certificate.Store(&c)
	}
	ln, err := openSocket(l)
	if err != nil {
		return nil, err
	}
	s.ln = g.conns.Listen(ln)
	s.ln.Secure = l.Certificate != ""
	if l.Protocol == config.HTTP2 || l.Certificate != "" {
		s.two = http2.New(http2.Config{Admission: g.admission, Log: g.log, Name: l.Name, SendWithin: g.opt.SendWithin,
			MostOpen: g.budgets.requests.Total(), Streams: g.streams, Pressed: g.pressed, RoundTrip: g.opt.RoundTrip, Connect: g.upgrades.Load})
	}
	if l.Protocol == config.HTTP1 {
		under := net.Listener(s.ln)
		if l.Certificate != "" {
			s.shaken = make(chan net.Conn)
			under = shakenListener{s}
		}
		s.one = http1.New(under, http1.Config{Admission: g.admission, Conns: g.conns, Log: g.log, Name: l.Name, SendWithin: g.opt.SendWithin, Longest: longest})
	}
	return s, nil
}

// openSocket is the listening socket of a listener: its own, or one that the process was given.
func openSocket(l config.Listener) (net.Listener, error) {
	if l.Descriptor > 0 {
		return inherit(l.Descriptor)
	}
	return listenAt(l.Address)
}

const (
	// listenWithin is how long a socket is waited for that the system lacks something for.
	listenWithin = 2 * time.Second
	listenEvery  = 20 * time.Millisecond
)

// listenTCP is net.Listen; tests let it fail.
var listenTCP = net.Listen

// listenAt listens at an address. What the system lacks for a moment is waited for.
func listenAt(address string) (net.Listener, error) {
	for by := time.Now().Add(listenWithin); ; time.Sleep(listenEvery) {
		ln, err := listenTCP("tcp", address)
		if err == nil || !socket.IsShortage(err) || time.Now().After(by) {
			return ln, err
		}
	}
}

// pressed says that bodies hold more than half of what they may.
func (g *Gateway) pressed() bool { return 2*g.budgets.bodies.Used() > g.budgets.bodies.Total() }

// renew loads the certificates of listeners that stay open once more.
func (g *Gateway) renew(m *config.Model) (map[*server]*tls.Certificate, error) {
	out := map[*server]*tls.Certificate{}
	for _, l := range m.Listeners {
		if s := g.servers[l]; s != nil && l.Certificate != "" {
			c, err := tls.LoadX509KeyPair(l.Certificate, l.Key)
			if err != nil {
				return nil, fmt.Errorf("listener %q: %w", l.Name, err)
			}
			out[s] = &c
		}
	}
	return out, nil
}

// Addr is where clients connect.
func (s *server) Addr() net.Addr { return s.ln.Addr() }

// Serve serves until Shutdown or Close, and then returns nil.
func (s *server) Serve() error {
	switch {
	case s.shaken != nil:
		served := make(chan error, 1)
		go func() { served <- s.one.Serve() }()
		err := s.handshake()
		s.handshakes.Wait()
		s.breakHandshakes()
		close(s.over)
		return errors.Join(err, <-served)
	case s.two != nil:
		return s.two.Serve(s.ln)
	}
	return s.one.Serve()
}

// handshake takes connections with TLS and passes them on by what they agree to speak
// (RFC 7301).
func (s *server) handshake() error {
	cfg := &tls.Config{MinVersion: tls.VersionTLS12, NextProtos: []string{"h2", "http/1.1"},
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) { return s.certificate.Load(), nil }}
	for {
		c, err := s.ln.Accept()
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return nil
			}
			return err
		}
		s.handshakes.Go(func() {
			t := tls.Server(c, cfg)
			ctx, cancel := context.WithTimeout(s.handshaking, s.sendWithin)
			defer cancel()
			if err := t.HandshakeContext(ctx); err != nil {
				c.Close()
				return
			}
			secure := front.NewSecure(t, c.(*front.Conn))
			if t.ConnectionState().NegotiatedProtocol == "h2" {
				go s.two.ServeConn(secure)
				return
			}
			s.shaken <- secure
		})
	}
}

// shakenListener gives the HTTP/1.1 front the connections that have agreed on it.
type shakenListener struct{ s *server }

func (l shakenListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.s.shaken:
		return c, nil
	case <-l.s.over:
		return nil, net.ErrClosed
	}
}

func (l shakenListener) Close() error   { return l.s.ln.Close() }
func (l shakenListener) Addr() net.Addr { return l.s.ln.Addr() }

// Leave tells clients that have connected to leave, while the listener is still open.
func (s *server) Leave() {
	if s.one != nil {
		s.ln.Leave()
	}
	if s.two != nil {
		s.two.Leave()
	}
}

// Shutdown closes the listener and waits for the open requests, until the context ends.
func (s *server) Shutdown(ctx context.Context) error {
	var err error
	if s.one != nil {
		err = s.one.Shutdown(ctx)
	}
	s.ln.Close()
	if s.two != nil {
		err = errors.Join(err, s.two.Shutdown(ctx))
	}
	return err
}

// Close ends what is left at once.
func (s *server) Close() {
	s.ln.Close()
	s.breakHandshakes()
	if s.one != nil {
		s.one.Close()
	}
	if s.two != nil {
		s.two.Close()
	}
}
