// Package source follows one place where a list of hosts comes from (the platform's watch,
// a file, a list in the configuration, DNS, xDS) and hands on what has been checked whole. It
// keeps silent while its place is silent or wrong, so that the last good list stands. It
// does not know what is made of a list.
//
// follower.go follows one place after another; watch.go, file.go, dns.go and xds.go are the places.
package source

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"reflect"
	"sync"
	"time"

	"frostshift/internal/fairqueue"
	"frostshift/internal/membership"
)

// Spec says where a list comes from. Exactly one field is set.
type Spec struct {
	Discovery string                // address of the platform's discovery
	File      string                // path of a watched file, see ParseFile
	Static    []membership.Endpoint // checked
	DNS       *DNS
	XDS       *XDS
}

// Equal says whether two sources are the same.
func (s Spec) Equal(t Spec) bool { return reflect.DeepEqual(s, t) }

// String names the source, for logs.
func (s Spec) String() string {
	switch {
	case s.Discovery != "":
		return "discovery " + s.Discovery
	case s.File != "":
		return "file " + s.File
	case s.DNS != nil:
		return "dns " + s.DNS.Name
	case s.XDS != nil:
		return "xds " + s.XDS.Cluster
	}
	return "static"
}

// Sink takes what a source says. The follower calls it from one goroutine at a time.
type Sink interface {
	// List is a checked list.
	List(l *membership.List)
	// Lost says that a watch broke that must be asked for anew.
	Lost()
	// Moved says that the next list is the first of another place: versions begin anew.
	Moved()
}

// Config says how a Follower works.
type Config struct {
	Sink    Sink
	Log     *slog.Logger
	Asked   bool   // watches are opened only when Ask is called
	Index   uint64 // of the last list known from the first source
	Silence time.Duration
	Every   time.Duration // between looks at a file
	// LeastTTL is how long an answer of DNS is used at least; 0: a second.
	LeastTTL time.Duration
	// Processor is what the source uses of it; nil: it is not shared out.
	Processor *fairqueue.Peer
	// dial connects to discovery; nil: over TCP.
	dial func(ctx context.Context, network, address string) (net.Conn, error)
}

// A change is known within 6 s of discovery having it and being reachable, and of the moment in
// which a watch fell silent. The worst case is the sum of a watch that is found dead (silence), a
// wait before the next call (retryFirst) and a call that never comes up (openPushed): 5.6 s. A call
// that was made just before discovery came back costs openPushed and retryMost, 2 s, where lists
// are pushed. Where they are asked for the balancer says when: 1.2 s at most behind a watch that
// broke, 2.4 s behind further calls that failed; that makes 5.7 s, and 5.9 s with openAsked. A source that
// follows another one is called by the same waits until it has said its first list.
const (
	silence    = 4500 * time.Millisecond // a watch that says nothing for so long is dead: it has an empty line every 2 s
	openPushed = time.Second             // for the answer to a call to begin: an agent on this machine answers at once
	openAsked  = 3500 * time.Millisecond // ... and where it works through calls in turn, failing those that wait for 2 s
	retryFirst = 100 * time.Millisecond
	retryMost  = time.Second
	// Where lists are asked for, and while the watch of an earlier source goes on.
	retryAskedFirst = 1200 * time.Millisecond
	retryAskedMost  = 2400 * time.Millisecond
	lookEvery       = 250 * time.Millisecond // at a file
)

// Follower follows a source and then, where it is moved, another.
type Follower struct {
	cfg   Config
	ask   chan struct{}
	move  chan Spec
	heard chan struct{}
	done  chan struct{}
	first sync.Once

	mu     sync.Mutex
	latest int // the turn of the last source that has said something
}

// NewFollower returns a Follower; Run follows.
func NewFollower(cfg Config) *Follower {
	if cfg.Silence == 0 {
		cfg.Silence = silence
	}
	if cfg.dial == nil {
		cfg.dial = (&net.Dialer{Timeout: silence}).DialContext
	}
	if cfg.Every == 0 {
		cfg.Every = lookEvery
	}
	return &Follower{cfg: cfg, ask: make(chan struct{}, 1), move: make(chan Spec),
		heard: make(chan struct{}), done: make(chan struct{})}
}

// Heard is closed with the first list.
func (d *Follower) Heard() <-chan struct{} { return d.heard }

// Ask opens a watch, where they must be asked for.
func (d *Follower) Ask() {
	select {
	case d.ask <- struct{}{}:
	default:
	}
}

// Move makes the follower turn to another source.
func (d *Follower) Move(s Spec) {
	select {
	case d.move <- s:
	case <-d.done:
	}
}

// turn follows one source.
type turn struct {
	*Follower
	source Spec
	n      int           // turns count up
	index  uint64        // of the last list heard; 0: the whole list is asked for
	said   chan struct{} // closed with its first list
	once   sync.Once
	end    context.CancelFunc
}

// Run follows the list until the context ends and all that it started has ended. Where
// it is moved, what the old source says counts until the new one has said something: a
// list that is a little old is better than none.
func (d *Follower) Run(ctx context.Context, source Spec) {
	defer close(d.done)
	var running sync.WaitGroup
	defer running.Wait()
	turns := 0
	start := func(s Spec, index uint64) *turn {
		own, end := context.WithCancel(ctx)
		t := &turn{Follower: d, source: s, n: turns, index: index, said: make(chan struct{}), end: end}
		turns++
		running.Go(func() { t.run(own) })
		return t
	}
	now := start(source, d.cfg.Index)
	var next *turn
	defer func() {
		now.end()
		if next != nil {
			next.end()
		}
	}()
	for {
		var said chan struct{}
		if next != nil {
			said = next.said
		}
		select {
		case <-ctx.Done():
			return
		case s := <-d.move:
			if next != nil && next.source.Equal(s) || next == nil && now.source.Equal(s) {
				continue
			}
			if next != nil {
				next.end()
				next = nil
			}
			if !s.Equal(now.source) {
				next = start(s, 0) // versions of one source say nothing at another
			}
		case <-said:
			now.end()
			now, next = next, nil
			d.cfg.Log.Info("following the host list at a new source", "source", now.source.String())
		}
	}
}

func (t *turn) run(ctx context.Context) {
	switch {
	case t.source.Discovery != "":
		t.runWatch(ctx)
	case t.source.File != "":
		t.runFile(ctx)
	case t.source.DNS != nil:
		t.runDNS(ctx)
	case t.source.XDS != nil:
		t.runXDS(ctx)
	default:
		t.take(&membership.List{Index: new(uint64), Snapshot: true, Endpoints: t.source.Static})
	}
}

// isLatest says whether no earlier source speaks in the place of this one: it is the first, or has said a
// list.
func (t *turn) isLatest() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.n <= t.latest
}

// errMoved says that a later source has spoken.
var errMoved = errors.New("the source has moved")

// take hands on a checked list.
func (t *turn) take(l *membership.List) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.n < t.latest { // it may be older than what the new source has said
		return errMoved
	}
	if t.n > t.latest {
		t.cfg.Sink.Moved()
	}
	t.latest, t.index = t.n, *l.Index
	t.cfg.Sink.List(l)
	t.first.Do(func() { close(t.heard) })
	t.once.Do(func() { close(t.said) })
	return nil
}
