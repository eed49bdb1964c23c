package fake

import (
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"time"
)

// Discovery is the platform's host list as a service: it holds watches open and says on
// them what it is told, and an empty line each second.
type Discovery struct {
	*httptest.Server
	Watches chan *Watch // each one that is opened
}

// Watch is one open watch.
type Watch struct {
	From  string        // the version that it asks from
	Lines chan string   // what is said on it; closed: it ends
	Gone  chan struct{} // closed when the other side has left, or discovery has ended it
}

// NewDiscovery starts a discovery.
func NewDiscovery() *Discovery {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic("fake: no port: " + err.Error())
	}
	return NewDiscoveryOn(ln)
}

// NewDiscoveryOn starts a discovery that takes its connections from a listener.
func NewDiscoveryOn(ln net.Listener) *Discovery {
	d := &Discovery{Watches: make(chan *Watch, 64)}
	d.Server = httptest.NewUnstartedServer(http.HandlerFunc(d.watch))
	d.Server.Listener.Close()
	d.Server.Listener = ln
	d.Server.Start()
	return d
}

// Outage is a listener that ends each connection at once while it is down.
type Outage struct {
	net.Listener
	Down atomic.Bool
}

// Accept takes the next connection that comes while it is not down.
func (o *Outage) Accept() (net.Conn, error) {
	for {
		c, err := o.Listener.Accept()
		if err != nil || !o.Down.Load() {
			return c, err
		}
		c.Close()
	}
}

func (d *Discovery) watch(w http.ResponseWriter, r *http.Request) {
	own := &Watch{From: r.URL.Query().Get("from"), Lines: make(chan string), Gone: make(chan struct{})}
	defer close(own.Gone)
	say := func(line string) {
		io.WriteString(w, line+"\n")
		w.(http.Flusher).Flush()
	}
	w.(http.Flusher).Flush()
	d.Watches <- own
	for {
		select {
		case line, more := <-own.Lines:
			if !more {
				return
			}
			say(line)
		case <-r.Context().Done():
			return
		case <-time.After(time.Second):
			say("")
		}
	}
}

// Addr is where it listens.
func (d *Discovery) Addr() string { return d.Listener.Addr().String() }

// End closes everything.
func (d *Discovery) End() {
	d.CloseClientConnections()
	d.Close()
}
