package gateway

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"frostshift"
)

const (
	maxBody      = 64 << 10 // bytes of a body, either way
	maxHeader    = 16 << 10
	idlePerHost  = 24  // kept-alive connections: a new one costs the host a handshake, and three gateways share its 90
	idleShare    = 0.8 // of the hosts' idle time after which we close ours: a late write is a reset
	leastSockets = 64
	ownSockets   = 32 // descriptors besides connections: listener, discovery, runtime
	// Shares of the other descriptors. The rest is for connections that come while all of
	// the clients' ask something: one left in the kernel's queue would count as taken.
	hostShare    = 0.35
	clientShare  = 0.55
	requestShare = 1.0 / 3 // of all descriptors: requests of clients that are open at once
	bodyPart     = 8       // one part in so many of the memory limit may hold bodies of clients
)

// pool knows the hosts and holds the connections to them. Its map belongs to the loop.
type pool struct {
	hosts map[frostshift.HostID]*host
	cfg   *Config
	conns atomic.Int64 // open or being opened, to all hosts
	most  int64
}

func newPool(cfg *Config) *pool {
	p := &pool{hosts: map[frostshift.HostID]*host{}, cfg: cfg, most: 1 << 20}
	if cfg.Sockets > 0 {
		p.most = int64(float64(cfg.Sockets-ownSockets) * hostShare)
	}
	return p
}

// host is one host with its kept-alive connections.
type host struct {
	address   string
	started   frostshift.Time
	transport *http.Transport
}

// update takes over a list. Connections to a host that left, moved or started
// anew are of no more use: a write on one would end as a reset.
func (p *pool) update(whole bool, list []frostshift.Host, entries []endpoint) {
	listed := make(map[frostshift.HostID]bool, len(list))
	for i, e := range list {
		listed[e.ID] = e.State != frostshift.Removed
		h := p.hosts[e.ID]
		switch {
		case e.State == frostshift.Removed:
			p.drop(e.ID)
		case h == nil:
			p.hosts[e.ID] = &host{address: entries[i].Address, started: e.Started, transport: p.transport()}
		case h.address != entries[i].Address || h.started != e.Started:
			h.transport.CloseIdleConnections()
			p.hosts[e.ID] = &host{address: entries[i].Address, started: e.Started, transport: p.transport()}
		}
	}
	if whole {
		for id := range p.hosts {
			if !listed[id] {
				p.drop(id)
			}
		}
	}
}

func (p *pool) drop(id frostshift.HostID) {
	if h := p.hosts[id]; h != nil {
		h.transport.CloseIdleConnections()
		delete(p.hosts, id)
	}
}

// errNoSockets says that this gateway has no descriptor left for a connection.
var errNoSockets = errors.New("no sockets left")

func (p *pool) transport() *http.Transport {
	d := net.Dialer{Timeout: p.cfg.DialTimeout, KeepAlive: -1}
	return &http.Transport{
		DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
			if p.conns.Add(1) > p.most {
				p.conns.Add(-1)
				return nil, errNoSockets
			}
			c, err := d.DialContext(ctx, network, addr)
			if err != nil {
				p.conns.Add(-1)
				return nil, err
			}
			return &conn{Conn: c, pool: p}, nil
		},
		Proxy:                  nil,
		DisableCompression:     true,
		MaxIdleConns:           0,
		MaxIdleConnsPerHost:    idlePerHost,
		IdleConnTimeout:        time.Duration(idleShare * float64(p.cfg.ConnIdle)),
		MaxResponseHeaderBytes: maxHeader,
	}
}

// conn is a connection to a host. It lets an attempt write only while that attempt
// is not called off, and tells it whether all its writes went out.
type conn struct {
	net.Conn
	pool   *pool
	mu     sync.Mutex
	user   *attempt // the last that got it
	closed atomic.Bool
}

func (c *conn) use(t *attempt) {
	c.mu.Lock()
	c.user = t
	c.mu.Unlock()
}

func (c *conn) Write(p []byte) (int, error) {
	c.mu.Lock()
	t := c.user
	c.mu.Unlock()
	if t == nil {
		return c.Conn.Write(p)
	}
	t.writing.Lock()
	defer t.writing.Unlock()
	if t.off.Load() {
		t.broken = true
		return 0, context.Canceled
	}
	n, err := c.Conn.Write(p)
	t.wrote += n
	t.broken = t.broken || err != nil
	return n, err
}

func (c *conn) Close() error {
	if !c.closed.Swap(true) {
		c.pool.conns.Add(-1)
	}
	return c.Conn.Close()
}

// closeFor closes the connection if it is still that attempt's.
func (c *conn) closeFor(t *attempt) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.user == t {
		c.Close()
	}
}

// attempt is one try of a request at a host.
type attempt struct {
	loop   *loop
	call   *call
	n      int
	sent   frostshift.Time
	ended  bool // the loop has its outcome
	cancel context.CancelFunc

	off     atomic.Bool // called off: nothing may be written any more
	conn    atomic.Pointer[conn]
	writing sync.Mutex
	wrote   int  // bytes written, under writing
	broken  bool // a write failed or was held back, under writing
}

// served is a host's answer to a request that it served.
type served struct {
	header http.Header
	body   []byte
}

// start sends the request in a goroutine that reports the outcome to the loop.
func (t *attempt) start(h *host, until frostshift.Time) {
	ctx, cancel := context.WithDeadline(context.Background(), t.loop.clock.at(until))
	t.cancel = cancel
	go func() {
		defer cancel()
		result, s := frostshift.NotSent, (*served)(nil)
		if h != nil {
			result, s = t.try(ctx, h, until-t.sent)
		}
		elapsed := t.loop.clock.now() - t.sent
		t.loop.post(func(now frostshift.Time) { t.loop.outcome(now, t, result, elapsed, s) })
	}()
}

// callOff ends the attempt from the loop: when it returns, nothing more of the
// attempt goes out. A connection that comes up later stays unused by it.
func (t *attempt) callOff() {
	if !t.ended {
		t.shut()
		t.cancel()
	}
}

// shut closes the attempt's connection, waits until no write is under way (the close
// ends one that blocks) and says what went out until then.
func (t *attempt) shut() (wrote int, broken bool) {
	t.off.Store(true)
	if c := t.conn.Load(); c != nil {
		c.closeFor(t)
	}
	t.writing.Lock()
	defer t.writing.Unlock()
	return t.wrote, t.broken
}

// try sends the request once and says what became of it.
func (t *attempt) try(ctx context.Context, h *host, left time.Duration) (frostshift.Result, *served) {
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		if c, ok := info.Conn.(*conn); ok {
			c.use(t)
			t.conn.Store(c)
		}
	}})
	resp, err := h.transport.RoundTrip(t.call.in.outgoing(ctx, h.address, left))
	if err == nil {
		var s *served
		if s, err = read(resp); err == nil {
			return classify(resp), s
		}
	}
	canceled := t.off.Load()
	wrote, broken := t.shut()
	switch {
	case errors.Is(err, errNoSockets):
		return frostshift.NotSent, nil
	case errors.Is(err, errOdd):
		return frostshift.Failed, nil
	// The request's last byte has surely not been written if nothing was or if a
	// write failed; in all other cases the host may have run it.
	case wrote == 0 && canceled:
		return frostshift.NotSent, nil
	case wrote == 0 || broken && !canceled:
		return frostshift.ConnectFailed, nil
	case canceled:
		return frostshift.Canceled, nil
	case errors.Is(err, context.DeadlineExceeded):
		return frostshift.TimedOut, nil
	}
	return frostshift.Reset, nil
}

// errOdd says that a host's answer is one that none may give: too long, or not HTTP from there on.
var errOdd = errors.New("odd answer")

// read takes in the whole answer, so that the client gets all of it or none.
func read(resp *http.Response) (*served, error) {
	defer resp.Body.Close()
	if resp.StatusCode == http.StatusSwitchingProtocols { // its body would last as long as the connection
		return nil, errOdd
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxBody+1))
	if err != nil {
		return nil, err
	}
	if len(body) > maxBody {
		return nil, errOdd
	}
	return &served{header: resp.Header, body: body}, nil
}

// classify reads an outcome from a whole answer.
func classify(resp *http.Response) frostshift.Result {
	switch resp.StatusCode {
	case http.StatusOK:
		return frostshift.OK
	case http.StatusServiceUnavailable, http.StatusGatewayTimeout:
		if resp.Header.Get("X-Unprocessed") == "1" {
			return frostshift.Full
		}
	}
	return frostshift.Failed
}

// onceBody is a body that the transport can't read twice. The transport sends a
// request again by itself when a kept-alive connection breaks, if it is a GET or has
// an Idempotency-Key, unless it has a body and no way to get that anew; so every
// request gets such a body, an empty one too.
type onceBody struct{ *bytes.Reader }

func (onceBody) Close() error { return nil }

// outgoing is the request as it goes to a host.
func (in *inbound) outgoing(ctx context.Context, address string, left time.Duration) *http.Request {
	header := endToEnd(in.header)
	header.Set("X-Correlation-Id", in.header.Get("X-Correlation-Id"))
	header.Set("X-Time-Left", strconv.FormatInt(max(0, left.Microseconds()), 10)+"u")
	if _, ok := header["User-Agent"]; !ok {
		header.Set("User-Agent", "") // the transport would add its own
	}
	r := &http.Request{Method: in.method, Host: in.host, Header: header,
		URL:  &url.URL{Scheme: "http", Host: address, Opaque: in.path, RawQuery: in.query, ForceQuery: in.forceQuery},
		Body: io.NopCloser(bytes.NewReader(in.body)), ContentLength: int64(len(in.body))}
	if len(in.body) == 0 {
		r.Body = onceBody{bytes.NewReader(nil)}
	}
	return r.WithContext(ctx)
}
