package gateway

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"math"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"frostshift"
)

const (
	bodyWithin = 10 * time.Second // for a client to send its request
	readyAfter = 2 * time.Second  // without a list from discovery, we start with the one known
	// lameDuck is how long new connections are taken after the order to stop: the
	// front goes on dealing them out for 0.4 s. Closing the listener earlier would
	// reset what waits in the kernel's queue, which counts as accepted.
	lameDuck = 500 * time.Millisecond
	// stopWithin is how long requests may take to be finished after that, and stopLast how
	// long what is left then may take to fail: the kill comes 3.7 s after the order at the soonest.
	stopWithin = 2900 * time.Millisecond
	stopLast   = 100 * time.Millisecond
)

// Gateway is one running gateway.
type Gateway struct {
	cfg      *Config
	log      *slog.Logger
	loop     *loop
	disc     *discovery
	listener net.Listener
	ready    atomic.Bool
	clients  atomic.Int64 // connections of clients
	most     int64        // of them
	linger   func()       // between the order to stop and the close of the listener
}

// New prepares a gateway and opens its listening socket.
func New(cfg *Config, log *slog.Logger) (*Gateway, error) {
	l, err := newLoop(cfg, log)
	if err != nil {
		return nil, err
	}
	g := &Gateway{cfg: cfg, log: log, loop: l, disc: newDiscovery(l), most: 1 << 20, linger: func() { time.Sleep(lameDuck) }}
	if cfg.Sockets > 0 {
		g.most = int64(float64(cfg.Sockets-ownSockets) * clientShare)
	}
	if g.listener, err = net.Listen("tcp", cfg.Listen); err != nil {
		return nil, err
	}
	return g, nil
}

// Run serves until the context ends and then finishes what it has taken.
func (g *Gateway) Run(ctx context.Context) error {
	work, stop := context.WithCancel(context.Background())
	defer stop()
	go g.loop.run(work)
	go g.disc.run(work)
	go func() {
		select {
		case <-g.disc.heard:
		case <-time.After(readyAfter):
		}
		g.loop.post(func(frostshift.Time) { g.ready.Store(true) }) // behind the list
	}()
	var longest time.Duration
	for _, c := range g.cfg.Settings.Classes {
		longest = max(longest, c.Deadline)
	}
	srv := &http.Server{
		Handler:           http.HandlerFunc(g.serve),
		ReadHeaderTimeout: bodyWithin,
		ReadTimeout:       bodyWithin + longest,   // it also ends the look-out for clients that leave
		WriteTimeout:      2*bodyWithin + longest, // for clients that read nothing
		IdleTimeout:       2 * time.Minute,
		MaxHeaderBytes:    maxHeader,
		ErrorLog:          slog.NewLogLogger(g.log.Handler(), slog.LevelWarn),
		ConnState: func(_ net.Conn, s http.ConnState) {
			switch s {
			case http.StateNew:
				g.clients.Add(1)
			case http.StateClosed, http.StateHijacked:
				g.clients.Add(-1)
			}
		},
	}
	failed := make(chan error, 1)
	go func() { failed <- srv.Serve(g.listener) }()
	select {
	case err := <-failed:
		return fmt.Errorf("serve clients: %w", err)
	case <-ctx.Done():
	}
	g.log.Info("stopping")
	// From here on each answer closes its connection, and idle ones are closed at once,
	// while the listener is still open: a request that crosses such a close can be sent
	// again to this gateway.
	srv.SetKeepAlivesEnabled(false)
	g.linger()
	end, cancel := context.WithTimeout(context.Background(), stopWithin)
	defer cancel()
	if srv.Shutdown(end) == nil {
		return nil
	}
	// What is still held would be lost at the kill that follows: it fails instead.
	g.loop.post(func(now frostshift.Time) { g.loop.failAll(now) })
	last, cancelLast := context.WithTimeout(context.Background(), stopLast)
	defer cancelLast()
	if err := srv.Shutdown(last); err != nil {
		g.log.Warn("connections were still open at the end", "err", err)
	}
	return nil
}

// inbound is a client's request as the gateway took it.
type inbound struct {
	class, tenant int
	repeat        bool
	left          time.Duration
	method, host  string
	path, query   string
	forceQuery    bool
	header        http.Header
	body          []byte
}

// badRequest is what is wrong with a client's request.
type badRequest struct {
	status int
	text   string
}

func (e *badRequest) Error() string { return e.text }

// serve answers one request of a client.
func (g *Gateway) serve(w http.ResponseWriter, r *http.Request) {
	crowded := g.clients.Load() > g.most
	if crowded {
		w.Header().Set("Connection", "close")
	}
	if r.URL.Path == "/ready" {
		g.serveReady(w, r)
		return
	}
	in, err := g.parse(w, r)
	if err != nil {
		bad := &badRequest{http.StatusBadRequest, err.Error()}
		errors.As(err, &bad)
		http.Error(w, bad.text, bad.status)
		return
	}
	if crowded { // out of descriptors: nothing was sent, so a refusal is true
		refuse(w, 0)
		return
	}
	c := &call{in: *in, deadline: g.loop.clock.now() + in.left, answer: make(chan answer, 1)}
	g.loop.post(func(now frostshift.Time) { g.loop.accept(now, c) })
	select {
	case a := <-c.answer:
		switch {
		case a.served != nil:
			for k, v := range endToEnd(a.served.header) {
				w.Header()[k] = v
			}
			w.Header().Set("Content-Length", strconv.Itoa(len(a.served.body)))
			w.Write(a.served.body) // a client that is gone by now is its own loss
		case a.refuse:
			refuse(w, a.after)
		default:
			http.Error(w, "failed", http.StatusBadGateway)
		}
	case <-r.Context().Done():
		g.loop.post(func(now frostshift.Time) { g.loop.gone(now, c) })
		// One that closed only its sending side still reads: an empty 200 would be no host's answer.
		w.Header().Set("Connection", "close")
		http.Error(w, "client closed", http.StatusBadGateway)
	}
}

// refuse says that trying again is harmless, and when.
func refuse(w http.ResponseWriter, after time.Duration) {
	if after > 0 {
		w.Header().Set("Retry-After", strconv.FormatFloat(after.Seconds(), 'f', -1, 64))
	}
	http.Error(w, "busy", http.StatusServiceUnavailable)
}

func (g *Gateway) serveReady(w http.ResponseWriter, r *http.Request) {
	switch {
	case r.Method != http.MethodGet && r.Method != http.MethodHead:
		http.Error(w, "method not allowed", http.StatusMethodNotAllowed)
	case !g.ready.Load():
		http.Error(w, "starting", http.StatusServiceUnavailable)
	default:
		io.WriteString(w, "ready\n")
	}
}

// parse reads a client's request whole, or says what is wrong with it.
func (g *Gateway) parse(w http.ResponseWriter, r *http.Request) (*inbound, error) {
	first, _, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/"), "/")
	inPath, known := g.cfg.classes[first]
	name := r.Header.Get("X-Service-Class")
	class, ok := g.cfg.classes[name]
	switch {
	case name != "" && !ok:
		return nil, fmt.Errorf("unknown class %q", name)
	case !known:
		return nil, &badRequest{http.StatusNotFound, "not found"}
	case !ok:
		return nil, errors.New("X-Service-Class is missing")
	case class != inPath:
		return nil, fmt.Errorf("X-Service-Class %q and path differ", name)
	case r.Header.Get("X-Correlation-Id") == "":
		return nil, errors.New("X-Correlation-Id is missing")
	}
	spec := &g.cfg.Settings.Classes[class]
	method := http.MethodPost
	if spec.Effect == frostshift.Safe {
		method = http.MethodGet
	}
	if r.Method != method {
		w.Header().Set("Allow", method)
		return nil, &badRequest{http.StatusMethodNotAllowed, "class " + name + " takes " + method}
	}
	if spec.Effect == frostshift.Keyed && r.Header.Get("Idempotency-Key") == "" {
		return nil, errors.New("Idempotency-Key is missing")
	}
	in := &inbound{class: class, tenant: -1, repeat: r.Header.Get("X-Repeat") == "1", left: spec.Deadline,
		method: r.Method, host: r.Host, path: r.URL.EscapedPath(), query: r.URL.RawQuery,
		forceQuery: r.URL.ForceQuery, header: r.Header}
	if strings.HasPrefix(r.RequestURI, "/") { // as it came, however it is escaped
		in.path, _, _ = strings.Cut(r.RequestURI, "?")
	}
	if t, ok := g.cfg.tenants[r.Header.Get("X-Account")]; ok {
		in.tenant = t
	}
	if text := r.Header.Get("X-Time-Left"); text != "" {
		var err error
		if in.left, err = parseLeft(text); err != nil {
			return nil, err
		}
	}
	var err error
	if in.body, err = io.ReadAll(http.MaxBytesReader(w, r.Body, maxBody)); err != nil {
		var long *http.MaxBytesError
		if errors.As(err, &long) {
			return nil, &badRequest{http.StatusRequestEntityTooLarge, "body too large"}
		}
		return nil, fmt.Errorf("body: %w", err)
	}
	return in, nil
}

// parseLeft reads a number with the unit m (milliseconds) or u (microseconds).
func parseLeft(text string) (time.Duration, error) {
	number, unit := text[:len(text)-1], time.Millisecond
	switch text[len(text)-1] {
	case 'm':
	case 'u':
		unit = time.Microsecond
	default:
		return 0, fmt.Errorf("X-Time-Left %q has no known unit", text)
	}
	v, err := strconv.ParseFloat(number, 64)
	if err != nil || !(v >= 0) || math.IsInf(v, 0) {
		return 0, fmt.Errorf("X-Time-Left %q is not a time", text)
	}
	return time.Duration(min(v*float64(unit), float64(24*time.Hour))), nil
}

// endToEnd copies the headers that are not about one connection.
func endToEnd(h http.Header) http.Header {
	out := h.Clone()
	for _, v := range h["Connection"] {
		for _, name := range strings.Split(v, ",") {
			out.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range []string{"Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer",
		"Transfer-Encoding", "Upgrade", "Expect", "Content-Length"} {
		out.Del(name)
	}
	return out
}
