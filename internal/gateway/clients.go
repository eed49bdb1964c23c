package gateway

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"maps"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"frostshift"
)

const (
	// sendWithin is how long a client may take to send its request, head and body, from its
	// first byte (or the connection's start) on: one that drips holds a connection no longer.
	sendWithin  = 2500 * time.Millisecond
	leaveWithin = 300 * time.Millisecond // for a client that sent a bad request to read what is wrong
	idleWithin  = 5 * time.Second        // for a connection to stay without a request
	readyAfter  = 2 * time.Second        // without a list from discovery, we start with the one known
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
	cfg        *Config
	log        *slog.Logger
	loop       *loop
	disc       *discovery
	clients    *clientConns
	ready      atomic.Bool
	requests   atomic.Int64 // of clients, open
	most       int64        // of them
	bodies     atomic.Int64 // bytes of bodies held
	bodyRoom   int64        // for them
	sendWithin time.Duration
	linger     func() // between the order to stop and the close of the listener
}

// New prepares a gateway and opens its listening socket.
func New(cfg *Config, log *slog.Logger) (*Gateway, error) {
	l, err := newLoop(cfg, log)
	if err != nil {
		return nil, err
	}
	g := &Gateway{cfg: cfg, log: log, loop: l, disc: newDiscovery(l), clients: &clientConns{most: 1 << 20, room: 1 << 20},
		most: 1 << 20, bodyRoom: 1 << 40, sendWithin: sendWithin, linger: func() { time.Sleep(lameDuck) }}
	if cfg.Sockets > 0 {
		g.most = int64(float64(cfg.Sockets) * requestShare)
		g.clients.room = int(float64(cfg.Sockets) * askedShare)
		g.clients.most = int(float64(cfg.Sockets-ownSockets) * clientShare)
	}
	if cfg.MemoryMB > 0 {
		g.bodyRoom = int64(cfg.MemoryMB) << 20 / bodyPart
	}
	if g.clients.Listener, err = net.Listen("tcp", cfg.Listen); err != nil {
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
	go g.loop.pool.sweep(work)
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
		ReadHeaderTimeout: g.sendWithin,
		ReadTimeout:       g.sendWithin,         // taken back once a request has come whole
		WriteTimeout:      sendWithin + longest, // for clients that read nothing
		IdleTimeout:       idleWithin,
		MaxHeaderBytes:    maxHeader,
		ErrorLog:          slog.NewLogLogger(g.log.Handler(), slog.LevelWarn),
		ConnState:         g.clients.state,
	}
	failed := make(chan error, 1)
	go func() { failed <- srv.Serve(g.clients) }()
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

// MoveDiscovery makes the gateway follow the host list at another address.
func (g *Gateway) MoveDiscovery(addr string) {
	select {
	case g.disc.move <- addr:
	case <-g.loop.done:
	}
}

// inbound is a client's request as the gateway took it.
type inbound struct {
	class, tenant int
	repeat        bool
	left          time.Duration
	id            string
	method, host  string
	target        string      // path and query, as they came
	header        http.Header // what goes on to hosts
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
	if r.URL.Path == "/ready" {
		g.serveReady(w, r)
		return
	}
	in, err := g.parse(w, r)
	if err != nil {
		bad := &badRequest{http.StatusBadRequest, err.Error()}
		errors.As(err, &bad)
		// What follows a malformed request may be a part of it.
		w.Header().Set("Connection", "close")
		http.Error(w, bad.text, bad.status)
		// What is still coming of it is thrown away for so long, or the close would take
		// the answer with it.
		http.NewResponseController(w).SetReadDeadline(time.Now().Add(leaveWithin))
		return
	}
	defer g.bodies.Add(-int64(len(in.body)))
	defer g.requests.Add(-1)
	if g.requests.Add(1) > g.most { // nothing was sent, so a refusal is true
		w.Header().Set("Connection", "close")
		refuse(w, g.loop.advice)
		return
	}
	// The request has come whole: the read that is under way from here on looks out for
	// a client that leaves, for as long as the request is open.
	http.NewResponseController(w).SetReadDeadline(time.Time{})
	c := &call{in: *in, deadline: g.loop.clock.now() + in.left, answer: make(chan answer, 1)}
	g.loop.post(func(now frostshift.Time) { g.loop.accept(now, c) })
	select {
	case a := <-c.answer:
		switch {
		case a.served != nil:
			defer a.served.release()
			maps.Copy(w.Header(), endToEnd(a.served.header))
			// A client that reads slowly gets nothing more once its time is up.
			http.NewResponseController(w).SetWriteDeadline(g.loop.clock.at(c.deadline))
			w.Header().Set("Content-Length", strconv.Itoa(len(a.served.body)))
			w.Write(a.served.body) // a client that is gone by now is its own loss
		case a.refuse:
			refuse(w, a.after)
		case a.taken:
			w.Header().Set("Connection", "close")
			http.Error(w, "a request with this X-Correlation-Id is open", http.StatusConflict)
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
	switch {
	case !r.ProtoAtLeast(1, 1): // its Transfer-Encoding would go unread
		return nil, &badRequest{http.StatusHTTPVersionNotSupported, "this version of HTTP is not spoken here"}
	case r.TransferEncoding != nil:
		// A Content-Length beside it has been dropped by now; those who go by it would
		// find another request in this body.
		return nil, &badRequest{http.StatusLengthRequired, "Content-Length is needed, and no Transfer-Encoding"}
	}
	spec := &g.cfg.Settings.Classes[class]
	method := http.MethodPost
	if spec.Effect == frostshift.Safe {
		method = http.MethodGet
	}
	if method == http.MethodGet && r.ContentLength > 0 {
		return nil, errors.New("class " + name + " takes no body")
	}
	if r.Method != method {
		w.Header().Set("Allow", method)
		return nil, &badRequest{http.StatusMethodNotAllowed, "class " + name + " takes " + method}
	}
	if spec.Effect == frostshift.Keyed && r.Header.Get("Idempotency-Key") == "" {
		return nil, errors.New("Idempotency-Key is missing")
	}
	in := &inbound{class: class, tenant: -1, repeat: r.Header.Get("X-Repeat") == "1", left: spec.Deadline,
		id: r.Header.Get("X-Correlation-Id"), method: r.Method, host: r.Host, target: r.RequestURI, header: endToEnd(r.Header)}
	if !strings.HasPrefix(in.target, "/") {
		in.target = r.URL.RequestURI()
	}
	// These go on whatever Connection says of them: hosts tell repeats by them.
	in.header.Set("X-Correlation-Id", in.id)
	if key := r.Header.Get("Idempotency-Key"); key != "" {
		in.header.Set("Idempotency-Key", key)
	}
	if t, ok := g.cfg.tenants[r.Header.Get("X-Account")]; ok {
		in.tenant = t
	}
	if text := r.Header.Values("X-Time-Left"); len(text) > 0 {
		var err error
		if in.left, err = parseLeft(text[0]); err != nil {
			return nil, err
		}
	}
	var err error
	if in.body, err = g.readBody(r); err != nil {
		return nil, err
	}
	return in, nil
}

// readBody takes in a body whose length is told. It holds what has come, not what is
// announced, and all bodies together have a bound.
func (g *Gateway) readBody(r *http.Request) ([]byte, error) {
	if r.ContentLength > maxBody {
		return nil, &badRequest{http.StatusRequestEntityTooLarge, "body too large"}
	}
	if r.ContentLength == 0 {
		return nil, nil
	}
	body := make([]byte, 0, min(r.ContentLength, 2<<10))
	for int64(len(body)) < r.ContentLength {
		if len(body) == cap(body) {
			body = append(make([]byte, 0, min(4*int64(len(body)), r.ContentLength)), body...)
		}
		n, err := r.Body.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		full := g.bodies.Add(int64(n)) > g.bodyRoom
		switch done := int64(len(body)) == r.ContentLength; {
		case full:
			err = &badRequest{http.StatusServiceUnavailable, "busy"}
		case err == nil || done:
			continue
		case errors.Is(err, os.ErrDeadlineExceeded):
			err = &badRequest{http.StatusRequestTimeout, "the body is slow"}
		default:
			err = fmt.Errorf("body: %w", err)
		}
		g.bodies.Add(-int64(len(body)))
		return nil, err
	}
	return body, nil
}

// parseLeft reads a number with the unit m (milliseconds) or u (microseconds).
func parseLeft(text string) (time.Duration, error) {
	unit, number := time.Millisecond, strings.TrimSuffix(text, "m")
	if number == text {
		unit, number = time.Microsecond, strings.TrimSuffix(text, "u")
	}
	v, err := strconv.ParseFloat(number, 64)
	if number == text || err != nil || strings.Trim(number, "0123456789.") != "" {
		return 0, fmt.Errorf("X-Time-Left %.40q is not a time", text)
	}
	return time.Duration(min(v*float64(unit), float64(24*time.Hour))), nil
}

// endToEnd copies the headers that are not about one connection or meant for gateways.
func endToEnd(h http.Header) http.Header {
	out := h.Clone()
	for _, v := range h["Connection"] {
		for _, name := range strings.Split(v, ",") {
			out.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range []string{"Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer",
		"Transfer-Encoding", "Upgrade", "Expect", "Content-Length", "X-Time-Left", "X-Backend-Load"} {
		out.Del(name)
	}
	return out
}
