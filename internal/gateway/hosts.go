package gateway

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"frostshift"
)

const (
	maxBody      = 64 << 10 // bytes of a request's body
	maxAnswer    = 4 << 20  // bytes of an answer's body: hosts send more than the 64 KiB that are agreed
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
	askedShare   = 1.0 / 4 // ... and connections that have asked something, while any are idle
	bodyPart     = 8       // one part in so many of the memory limit may hold bodies of clients
	answerPart   = 4       // ... and answers of hosts that are more than firstPart long
	firstPart    = 16 << 10

	// settle is how long a connection rests after an answer. What a host sends behind its
	// answer has come by then and shows.
	settle     = time.Millisecond
	sweepEvery = time.Second
	// An answer that has begun comes whole within a part of the time that is left then, and
	// within restLeast if there is less: what never ends must not be waited for.
	restPart  = 2
	restLeast = 50 * time.Millisecond
)

// pool knows the hosts and holds the connections to them.
type pool struct {
	cfg  *Config
	most int
	dial func(ctx context.Context, network, address string) (net.Conn, error)

	answers    atomic.Int64 // bytes that long answers hold
	answerRoom int64

	mu    sync.Mutex // guards what follows and what hosts hold
	hosts map[frostshift.HostID]*host
	open  int // connections, open or being opened, to all hosts
}

func newPool(cfg *Config) *pool {
	d := net.Dialer{Timeout: cfg.DialTimeout, KeepAlive: -1}
	p := &pool{hosts: map[frostshift.HostID]*host{}, cfg: cfg, most: 1 << 20, dial: d.DialContext, answerRoom: 1 << 40}
	if cfg.Sockets > 0 {
		p.most = int(float64(cfg.Sockets-ownSockets) * hostShare)
	}
	if cfg.MemoryMB > 0 {
		p.answerRoom = int64(cfg.MemoryMB) << 20 / answerPart
	}
	return p
}

// host is one host with its kept-alive connections.
type host struct {
	address string
	started frostshift.Time
	gone    bool    // its connections are of no more use
	idle    []*conn // the one used last at the end
}

// update takes over a list. Connections to a host that left, moved or started
// anew are of no more use: a write on one would end as a reset.
func (p *pool) update(whole bool, list []frostshift.Host, entries []endpoint) {
	p.mu.Lock()
	defer p.mu.Unlock()
	listed := make(map[frostshift.HostID]bool, len(list))
	for i, e := range list {
		listed[e.ID] = e.State != frostshift.Removed
		h := p.hosts[e.ID]
		if h != nil && (e.State == frostshift.Removed || h.address != entries[i].Address || h.started != e.Started) {
			p.drop(e.ID)
			h = nil
		}
		if h == nil && e.State != frostshift.Removed {
			p.hosts[e.ID] = &host{address: entries[i].Address, started: e.Started}
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

// drop forgets a host. The lock is held.
func (p *pool) drop(id frostshift.HostID) {
	h := p.hosts[id]
	h.gone = true
	for len(h.idle) > 0 {
		h.remove(0).close()
	}
	delete(p.hosts, id)
}

func (p *pool) host(id frostshift.HostID) *host {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.hosts[id]
}

// errNoSockets says that this gateway has no descriptor left for a connection.
var errNoSockets = errors.New("no sockets left")

// get returns a connection to the host, a kept-alive one if there is one fit for use.
func (p *pool) get(ctx context.Context, h *host) (*conn, error) {
	for {
		p.mu.Lock()
		c := h.last()
		if c == nil {
			break
		}
		p.mu.Unlock()
		time.Sleep(settle - time.Since(c.freed))
		if c.quiet() {
			return c, nil
		}
		c.Close()
	}
	for p.open >= p.most && p.shed() {
	}
	full := p.open >= p.most
	if !full {
		p.open++
	}
	p.mu.Unlock()
	if full {
		return nil, errNoSockets
	}
	nc, err := p.dial(ctx, "tcp", h.address)
	if err != nil {
		p.mu.Lock()
		p.open--
		if errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE) {
			p.shed() // room for the next
			err = errNoSockets
		}
		p.mu.Unlock()
		return nil, err
	}
	c := &conn{Conn: nc, pool: p, host: h}
	c.in = bufio.NewReader(&c.limit)
	c.limit.R = nc
	if s, ok := nc.(syscall.Conn); ok {
		c.raw, _ = s.SyscallConn()
	}
	return c, nil
}

// shed closes the connection that has been idle the longest, whatever its host, and
// says whether there was one. The lock is held.
func (p *pool) shed() bool {
	var oldest *host
	for _, h := range p.hosts {
		if len(h.idle) > 0 && (oldest == nil || h.idle[0].freed.Before(oldest.idle[0].freed)) {
			oldest = h
		}
	}
	if oldest == nil {
		return false
	}
	oldest.remove(0).close()
	return true
}

// put keeps a connection whose answer has come whole for another request.
func (p *pool) put(c *conn) {
	c.SetDeadline(time.Time{})
	p.mu.Lock()
	defer p.mu.Unlock()
	if c.host.gone || len(c.host.idle) >= idlePerHost {
		c.close()
		return
	}
	c.freed = time.Now()
	c.host.idle = append(c.host.idle, c)
}

// sweep closes idle connections that are old, that hosts have closed or that have
// brought what nobody asked for, until the context ends.
func (p *pool) sweep(ctx context.Context) {
	tick := time.NewTicker(sweepEvery)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		old := time.Now().Add(-time.Duration(idleShare * float64(p.cfg.ConnIdle)))
		p.mu.Lock()
		for _, h := range p.hosts {
			for i := len(h.idle) - 1; i >= 0; i-- {
				if c := h.idle[i]; c.freed.Before(old) || !c.quiet() {
					h.remove(i).close()
				}
			}
		}
		p.mu.Unlock()
	}
}

// last takes the connection used last among those that have settled, or else the one
// nearest to that: the others are left to grow old. The pool's lock is held.
func (h *host) last() *conn {
	for i := len(h.idle) - 1; i >= 0; i-- {
		if i == 0 || time.Since(h.idle[i].freed) >= settle {
			return h.remove(i)
		}
	}
	return nil
}

func (h *host) remove(i int) *conn {
	c := h.idle[i]
	copy(h.idle[i:], h.idle[i+1:])
	h.idle[len(h.idle)-1] = nil
	h.idle = h.idle[:len(h.idle)-1]
	return c
}

// conn is a connection to a host. It belongs to one attempt or is idle.
type conn struct {
	net.Conn
	pool   *pool
	host   *host
	raw    syscall.RawConn
	in     *bufio.Reader
	limit  io.LimitedReader // what may yet be read of an answer
	freed  time.Time        // when its last answer was whole
	closed bool             // under the pool's lock
}

// quiet says whether an idle connection is open and nothing has come on it. Answers do
// not name their request: one that comes unasked, or the rest of one, would be taken
// for the answer to the next request.
func (c *conn) quiet() bool {
	if c.in.Buffered() > 0 {
		return false
	}
	if c.raw == nil {
		return true
	}
	var n int
	var err error
	var one [1]byte
	if e := c.raw.Read(func(fd uintptr) bool {
		n, _, err = syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		return true
	}); e != nil {
		return false
	}
	return n <= 0 && errors.Is(err, syscall.EAGAIN)
}

// Close closes the connection; close does with the pool's lock held.
func (c *conn) Close() error {
	c.pool.mu.Lock()
	defer c.pool.mu.Unlock()
	return c.close()
}

func (c *conn) close() error {
	if c.closed {
		return nil
	}
	c.closed = true
	c.pool.open--
	return c.Conn.Close()
}

// attempt is one try of a request at a host.
type attempt struct {
	loop   *loop
	call   *call
	n      int
	sent   frostshift.Time
	ended  bool // the loop has its outcome
	cancel context.CancelFunc

	mu      sync.Mutex
	off     bool  // called off: nothing may be written any more
	conn    *conn // while the attempt has it
	writing sync.Mutex
}

// served is a host's answer to a request that it served.
type served struct {
	header http.Header
	body   []byte
	held   int64 // bytes of room
	room   *atomic.Int64
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
	if t.ended {
		return
	}
	t.mu.Lock()
	t.off = true
	c := t.conn
	t.mu.Unlock()
	if c != nil {
		c.Close() // ends a write that is under way
	}
	t.writing.Lock()
	t.writing.Unlock() //lint:ignore SA2001 waits for that write
	t.cancel()
}

// hold makes the connection the attempt's, for callOff to close, unless it is too late.
func (t *attempt) hold(c *conn) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.off {
		t.conn = c
	}
	return !t.off
}

// letGo gives the connection up and says whether it was the attempt's to the end.
func (t *attempt) letGo() bool { return t.hold(nil) }

// write sends the request and says whether its last byte has been written.
func (t *attempt) write(c *conn, text []byte) bool {
	t.writing.Lock()
	defer t.writing.Unlock()
	t.mu.Lock()
	off := t.off
	t.mu.Unlock()
	if off {
		return false
	}
	n, _ := c.Write(text)
	return n == len(text)
}

// try sends the request once and says what became of it.
func (t *attempt) try(ctx context.Context, h *host, left time.Duration) (frostshift.Result, *served) {
	c, err := t.loop.pool.get(ctx, h)
	if errors.Is(err, errNoSockets) {
		return frostshift.NotSent, nil
	}
	if err != nil {
		return t.unsent(), nil
	}
	if !t.hold(c) { // nothing has gone out on it
		t.loop.pool.put(c)
		return frostshift.NotSent, nil
	}
	until, _ := ctx.Deadline()
	c.SetDeadline(until)
	if !t.write(c, t.call.in.outgoing(left)) {
		c.Close()
		return t.unsent(), nil
	}
	resp, s, err := c.read(t.call.in.method, until)
	if err != nil {
		c.Close()
		switch {
		case !t.letGo():
			return frostshift.Canceled, nil
		case errors.Is(err, errOdd):
			return frostshift.Failed, nil
		case errors.Is(err, os.ErrDeadlineExceeded):
			return frostshift.TimedOut, nil
		}
		return frostshift.Reset, nil
	}
	if t.letGo() && !resp.Close && c.in.Buffered() == 0 {
		t.loop.pool.put(c)
	} else {
		c.Close()
	}
	return classify(resp), s
}

// unsent is the result where the request's last byte has surely not been written: the
// host can't have run it, and it is at fault unless the attempt was called off.
func (t *attempt) unsent() frostshift.Result {
	if !t.letGo() {
		return frostshift.NotSent
	}
	return frostshift.ConnectFailed
}

// errNoRoom says that long answers hold all the memory they may.
var errNoRoom = errors.New("no room for the answer")

// errOdd says that a host's answer is one that none may give: it can't be read, is too
// long or does not end. The request may have run.
var errOdd = errors.New("odd answer")

// read takes in the whole answer, so that the client gets all of it or none. It reads
// no more than an answer may hold, and waits for its end no longer than one may take.
func (c *conn) read(method string, until time.Time) (*http.Response, *served, error) {
	c.limit.N = maxHeader
	if _, err := c.in.Peek(1); err != nil {
		return nil, nil, err
	}
	now := time.Now()
	if rest := now.Add(max(restLeast, until.Sub(now)/restPart)); rest.Before(until) {
		c.SetReadDeadline(rest)
	}
	resp, s, err := c.readAll(method)
	var broken net.Error
	switch {
	case err == nil:
	case errors.Is(err, os.ErrDeadlineExceeded), c.limit.N <= 0:
		err = errOdd
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF), errors.As(err, &broken):
		// The connection broke.
	default:
		err = fmt.Errorf("%w: %w", errOdd, err)
	}
	return resp, s, err
}

func (c *conn) readAll(method string) (*http.Response, *served, error) {
	var resp *http.Response
	for { // answers like 103 may come ahead
		var err error
		if resp, err = http.ReadResponse(c.in, &http.Request{Method: method}); err != nil {
			return nil, nil, err
		}
		if resp.StatusCode >= 200 {
			break
		}
		if resp.StatusCode == http.StatusSwitchingProtocols { // its body would last as long as the connection
			return nil, nil, errOdd
		}
	}
	if resp.ContentLength > maxAnswer {
		return nil, nil, errOdd
	}
	c.limit.N = maxAnswer + maxHeader
	s := &served{header: resp.Header, room: &c.pool.answers}
	if err := s.read(resp, c.pool.answerRoom); err != nil {
		s.release()
		return nil, nil, err
	}
	return resp, s, nil
}

// read takes in the body. What is announced counts for nothing before a first part has
// come, and long answers share the room that there is.
func (s *served) read(resp *http.Response, room int64) error {
	size := resp.ContentLength
	if size < 0 {
		size = maxAnswer + 1
	}
	for int64(len(s.body)) < size {
		if len(s.body) == cap(s.body) {
			next := min(firstPart, size)
			if len(s.body) > 0 && resp.ContentLength >= 0 {
				next = size
			} else if len(s.body) > 0 {
				next = min(4*int64(cap(s.body)), size)
			}
			if extra := next - int64(cap(s.body)); next > firstPart {
				s.held += extra
				if s.room.Add(extra) > room {
					return errNoRoom
				}
			}
			s.body = append(make([]byte, 0, next), s.body...)
		}
		n, err := resp.Body.Read(s.body[len(s.body):cap(s.body)])
		s.body = s.body[:len(s.body)+n]
		switch {
		case errors.Is(err, io.EOF) && (resp.ContentLength < 0 || int64(len(s.body)) == size):
			return nil
		case err != nil:
			return err
		}
	}
	if resp.ContentLength < 0 {
		return errOdd // too long
	}
	return nil
}

// release gives back the room that the answer held.
func (s *served) release() {
	s.room.Add(-s.held)
	s.held = 0
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

// outgoing is the request as it goes to a host.
func (in *inbound) outgoing(left time.Duration) []byte {
	var b bytes.Buffer
	b.Grow(512 + len(in.body))
	b.WriteString(in.method)
	b.WriteByte(' ')
	b.WriteString(in.target)
	b.WriteString(" HTTP/1.1\r\nHost: ")
	b.WriteString(in.host)
	b.WriteString("\r\nX-Time-Left: ")
	b.WriteString(strconv.FormatInt(max(0, left.Microseconds()), 10))
	b.WriteString("u\r\n")
	if in.method != http.MethodGet || len(in.body) > 0 {
		b.WriteString("Content-Length: ")
		b.WriteString(strconv.Itoa(len(in.body)))
		b.WriteString("\r\n")
	}
	in.header.Write(&b)
	b.WriteString("\r\n")
	b.Write(in.body)
	return b.Bytes()
}
