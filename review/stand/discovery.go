//go:build review

package stand

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Entry is a host as discovery lists it.
type Entry struct {
	Name    string  `json:"name"`
	Address string  `json:"address"`
	Zone    string  `json:"zone"`
	Type    string  `json:"type"`
	Group   int     `json:"group"`
	Status  string  `json:"status"`
	Weight  float64 `json:"weight"`
	SinceMS int64   `json:"since_ms"`
}

// List is a message of discovery.
type List struct {
	Index     int     `json:"index"`
	Snapshot  bool    `json:"snapshot"`
	Endpoints []Entry `json:"endpoints"`
}

// Discovery is the service that gateways ask for the list: watches with an empty line every 2 s.
type Discovery struct {
	Name string
	// Turn says whether a call is turned away with 503; nil: none is.
	Turn   func(call int) bool
	ln     net.Listener
	rec    *Record
	server *http.Server

	mu      sync.Mutex
	index   int
	entries map[string]Entry
	order   []string
	changes []Entry // one a version; the first has version first+1
	first   int
	calls   int
	news    chan struct{}
}

// NewDiscovery starts a discovery that lists hosts as of a version.
func NewDiscovery(rec *Record, name string, index int, list []Entry) (*Discovery, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	d := &Discovery{Name: name, ln: ln, rec: rec, index: index, first: index, entries: map[string]Entry{}, news: make(chan struct{})}
	for _, e := range list {
		d.entries[e.Name] = e
		d.order = append(d.order, e.Name)
	}
	d.server = &http.Server{Handler: http.HandlerFunc(d.serve)}
	go d.server.Serve(ln)
	return d, nil
}

// Addr is where it listens.
func (d *Discovery) Addr() string { return d.ln.Addr().String() }

// Close ends it.
func (d *Discovery) Close() { d.server.Close() }

// Change changes a host's entry; it is a new version of the list.
func (d *Discovery) Change(name string, change func(*Entry)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	e := d.entries[name]
	change(&e)
	d.entries[name] = e
	d.changes = append(d.changes, e)
	d.index++
	close(d.news)
	d.news = make(chan struct{})
}

// whole is the whole list. The lock is held.
func (d *Discovery) whole() List {
	l := List{Index: d.index, Snapshot: true}
	for _, name := range d.order {
		l.Endpoints = append(l.Endpoints, d.entries[name])
	}
	return l
}

// after is what has changed after a version, or the whole list, and where to wait for more.
func (d *Discovery) after(from int) (List, <-chan struct{}) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if from < d.first || from > d.index {
		return d.whole(), d.news
	}
	return List{Index: d.index, Endpoints: append([]Entry{}, d.changes[from-d.first:]...)}, d.news
}

func (d *Discovery) serve(w http.ResponseWriter, r *http.Request) {
	d.mu.Lock()
	d.calls++
	call := d.calls
	d.mu.Unlock()
	if d.Turn != nil && d.Turn(call) {
		d.rec.Add("discovery %s: call %d %s is turned away with 503", d.Name, call, r.URL)
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	d.rec.Add("discovery %s: call %d %s is answered", d.Name, call, r.URL)
	from, err := strconv.Atoi(r.URL.Query().Get("from"))
	if err != nil {
		from = -1
	}
	if r.URL.Query().Get("watch") == "" {
		d.mu.Lock()
		l := d.whole()
		d.mu.Unlock()
		json.NewEncoder(w).Encode(l)
		return
	}
	beat := time.NewTicker(2 * time.Second)
	defer beat.Stop()
	for first := true; ; first = false {
		l, news := d.after(from)
		if first || l.Index != from {
			text, _ := json.Marshal(l)
			fmt.Fprintf(w, "%s\n", text)
			from = l.Index
		}
		w.(http.Flusher).Flush()
		select {
		case <-news:
		case <-beat.C:
			fmt.Fprintln(w)
		case <-r.Context().Done():
			d.rec.Add("discovery %s: call %d has ended", d.Name, call)
			return
		}
	}
}
