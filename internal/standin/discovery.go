package standin

import (
	"io"
	"net/http"
	"net/http/httptest"
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
	d := &Discovery{Watches: make(chan *Watch, 64)}
	d.Server = httptest.NewServer(http.HandlerFunc(d.watch))
	return d
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
