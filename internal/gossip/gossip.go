// Package gossip lets the gateways that share hosts know each other: sockets, keys and failure
// detection (SWIM with Lifeguard, by memberlist), and from them the view that package peers
// makes. It only informs: whoever uses a view must be right without it, no request waits for
// it, and an agent that hears nobody says so.
//
// gossip.go is the loop that owns the registry of peers, transport.go the bounded sockets, meta.go what a
// member says of itself, status.go what operators are shown.
package gossip

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log"
	"log/slog"
	"maps"
	"math/rand/v2"
	"net"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/hashicorp/memberlist"

	"frostshift/internal/peers"
)

// Config is an agent as it was configured and checked.
type Config struct {
	Name      string
	Zone      string
	Listen    string   // address and port, for UDP and TCP
	Advertise string   // where others reach it; "": Listen
	Join      []string // addresses, of which those that answer lead to all others
	Keys      [][]byte // of 16, 24 or 32 bytes, the first for sending; none: in the clear
	Typed     int      // gateways that the configuration names; 0: none
	Place     float64
	Probe     time.Duration // between two probes; 0: 500 ms
	Verdicts  bool          // what they meet at hosts is told among them
	Overrides bool          // operators' words on hosts hold for all of them where asked for
	Load      bool          // what they have out at hosts is told among them
	Window    time.Duration // see peers.Config; 0: its default
	Started   time.Time
	// View gets each change of the view, with peers.Places, from one goroutine, changes within
	// viewEvery together.
	View func(v peers.View, places []uint64)
	// Alive gets the members that are held alive, without this one, when they have changed, from
	// the same goroutine at once. Heard gets what Send sent, from any, and must not wait. Either
	// may be nil.
	Alive func(members []peers.Member, v peers.View)
	Heard func(data []byte)
	// RoundTrip gets how long each probe took, and must not wait; nil: nobody asks.
	RoundTrip func(rtt time.Duration)
	Log       *slog.Logger
}

const (
	defaultProbe = 500 * time.Millisecond
	lookEvery    = 100 * time.Millisecond // at what detection holds
	viewEvery    = 500 * time.Millisecond
	joinFirst    = time.Second // between two tries to join, doubled up to joinMost
	joinMost     = 30 * time.Second
	linesEvery   = time.Second // a log line about members at most so often, what is held back counted
	leaveWithin  = 500 * time.Millisecond
)

// Agent is a running agent.
type Agent struct {
	cfg   Config
	log   *slog.Logger
	t     *transport
	list  *memberlist.Memberlist
	ring  *memberlist.Keyring
	began time.Time
	asks  chan func(*peers.Registry)
	kick  chan struct{}
	stop  context.CancelFunc
	done  chan struct{}

	mu       sync.Mutex
	nodes    map[string]node // that detection holds to live
	rtts     map[string]time.Duration
	twice    map[string]time.Time // names that two members have, and when that was seen last
	leaving  bool
	members  limit // lines of each kind
	strange  limit
	joins    limit
	conflict limit
	library  limit
}

// limit lets a line of a kind through each linesEvery, and counts what it holds back.
type limit struct {
	last time.Time
	held int
}

// Start opens the sockets and begins to join. That nobody answers is no error.
func Start(cfg Config) (*Agent, error) {
	if cfg.Probe == 0 {
		cfg.Probe = defaultProbe
	}
	b := &Agent{cfg: cfg, log: cfg.Log, began: time.Now(), asks: make(chan func(*peers.Registry)), kick: make(chan struct{}, 1), done: make(chan struct{}),
		nodes: map[string]node{}, rtts: map[string]time.Duration{}, twice: map[string]time.Time{}}
	t, err := listen(cfg.Listen)
	if err != nil {
		return nil, fmt.Errorf("fleet.listen: %w", err)
	}
	b.t = t
	c := memberlist.DefaultLANConfig()
	c.Name, c.Transport = cfg.Name, t
	c.ProbeInterval, c.ProbeTimeout = cfg.Probe, cfg.Probe/2
	c.GossipInterval, c.GossipNodes = cfg.Probe/4, 3
	c.SuspicionMult, c.SuspicionMaxTimeoutMult = 2, 2
	// Lifeguard slows a member's own probes while they fail. In a cut in two nearly half do, on
	// both sides: at the library's 8 views agreed after 4.5 s in a fleet of 100 (cmd/benchmarks gossip).
	c.AwarenessMaxMultiplier = 2
	c.PushPullInterval = 20 * cfg.Probe
	c.GossipToTheDeadTime = time.Minute
	c.DeadNodeReclaimTime = time.Second // a process that takes over may come from another address
	c.TCPTimeout = 2 * time.Second
	c.HandoffQueueDepth = packetsAhead
	c.EnableCompression = false // small messages; and what is unpacked has no bound
	c.Delegate, c.Events, c.Conflict, c.Ping = b, b, b, b
	c.DelegateProtocolMin, c.DelegateProtocolMax, c.DelegateProtocolVersion = leastVersion, mostVersion, mostVersion
	c.Logger = log.New(&quiet{b: b}, "", 0)
	if cfg.Advertise != "" {
		at, err := netip.ParseAddrPort(cfg.Advertise)
		if err != nil {
			t.Shutdown()
			return nil, fmt.Errorf("fleet.advertise: %w", err)
		}
		c.AdvertiseAddr, c.AdvertisePort = at.Addr().String(), int(at.Port())
	}
	if len(cfg.Keys) > 0 {
		if b.ring, err = memberlist.NewKeyring(cfg.Keys, cfg.Keys[0]); err != nil {
			t.Shutdown()
			return nil, fmt.Errorf("fleet.keys: %w", err)
		}
		c.Keyring = b.ring
	}
	if b.list, err = memberlist.Create(c); err != nil {
		t.Shutdown()
		return nil, fmt.Errorf("gossip: %w", err)
	}
	ctx, stop := context.WithCancel(context.Background())
	b.stop = stop
	go b.run(ctx)
	return b, nil
}

// Addr is where the agent listens.
func (b *Agent) Addr() string { return b.t.addr().String() }

func (b *Agent) self() peers.Member {
	return peers.Member{Name: b.cfg.Name, Started: b.cfg.Started.UnixMilli(), Zone: b.cfg.Zone, Takes: 1, Least: leastVersion, Most: mostVersion, Addr: b.Addr()}
}

// run owns the registry of peers.
func (b *Agent) run(ctx context.Context) {
	defer close(b.done)
	r := peers.New(0, peers.Config{Self: b.self(), Typed: b.cfg.Typed, Place: b.cfg.Place, Window: b.cfg.Window})
	var joins sync.WaitGroup
	joins.Go(func() { b.join(ctx) })
	defer joins.Wait()
	look := time.NewTicker(lookEvery)
	defer look.Stop()
	last, told := peers.View{Version: -1}, time.Time{}
	var known []peers.Member
	for {
		select {
		case <-ctx.Done():
			return
		case f := <-b.asks:
			f(r)
			continue
		case <-look.C:
		case <-b.kick:
		}
		now := time.Since(b.began)
		b.compare(now, r)
		r.Tick(now)
		b.tell(r.Changes())
		if b.cfg.Alive != nil {
			if list := living(r.Members(now), b.cfg.Name); !slices.EqualFunc(list, known, func(x, y peers.Member) bool { return x.Name == y.Name && x.Zone == y.Zone }) {
				known = list
				b.cfg.Alive(known, r.View())
			}
		}
		if v := r.View(); v.Version != last.Version && time.Since(told) >= viewEvery {
			if v.Typed != last.Typed && last.Version >= 0 {
				b.log.Info("gossip: whose figures count has changed", "typed", v.Typed, "count", v.Count)
			}
			if v.Side != last.Side && last.Version >= 0 {
				b.log.Warn("gossip: the side of this gateway has changed", "side", v.Side, "reached", v.Reached, "expected", v.Expected)
			}
			last, told = v, time.Now()
			if b.cfg.View != nil {
				b.cfg.View(v, r.Places())
			}
		}
	}
}

// living are the members that are taken to live, by name.
func living(members []peers.Status, self string) (list []peers.Member) {
	for _, m := range members {
		if m.Name != self && (m.State == peers.Alive || m.State == peers.Suspected) {
			list = append(list, m.Member)
		}
	}
	slices.SortFunc(list, func(x, y peers.Member) int { return strings.Compare(x.Name, y.Name) })
	return list
}

// Send sends some bytes to a member, at most mostBytes: as one packet that may be lost. False: it
// is not known, or it can't be sent.
func (b *Agent) Send(name string, data []byte) bool {
	b.mu.Lock()
	n, there := b.nodes[name]
	b.mu.Unlock()
	return there && len(data) <= mostBytes && b.list.SendToAddress(memberlist.Address{Addr: n.addr, Name: name}, data) == nil
}

// mostBytes keeps a packet with what seals it in one frame.
const mostBytes = 1300

// node is a member as detection holds it: memberlist changes its own at any time.
type node struct {
	addr string
	meta []byte
}

// compare brings the registry of peers to what detection holds now.
func (b *Agent) compare(now time.Duration, r *peers.Registry) {
	b.mu.Lock()
	held := maps.Clone(b.nodes)
	b.mu.Unlock()
	for name, n := range held {
		m := peers.Member{Name: name, Addr: n.addr}
		leaves, err := decodeMeta(n.meta, &m)
		if err != nil {
			b.line(&b.strange, "gossip: "+err.Error(), "member", name)
		}
		if leaves {
			r.MarkGone(now, name, true, "")
		} else {
			r.MarkAlive(now, m)
		}
	}
	for _, m := range r.Members(now) {
		if _, there := held[m.Name]; there || m.Name == b.cfg.Name || m.State != peers.Alive && m.State != peers.Suspected {
			continue
		}
		b.mu.Lock()
		delete(b.rtts, m.Name)
		b.mu.Unlock()
		r.MarkGone(now, m.Name, false, "")
	}
}

// tell logs what matters of what has changed: who came and who went; not each doubt.
func (b *Agent) tell(changes []peers.Change) {
	for _, c := range changes {
		if c.To == peers.Suspected || c.From == peers.Suspected && c.To == peers.Alive {
			continue
		}
		b.line(&b.members, fmt.Sprintf("gossip: %s is %s", c.Name, c.To), "was", c.From, "for", c.Age.Round(time.Millisecond), "reason", c.Reason)
	}
}

// line logs, a line of a kind each linesEvery at most.
func (b *Agent) line(l *limit, text string, args ...any) {
	b.mu.Lock()
	if time.Since(l.last) < linesEvery {
		l.held++
		b.mu.Unlock()
		return
	}
	held := l.held
	l.last, l.held = time.Now(), 0
	b.mu.Unlock()
	if held > 0 {
		args = append(args, "held back", held)
	}
	b.log.Info(text, args...)
}

// join goes on trying until somebody is known, and again to those that failed: where a cut lasted
// longer than gossip goes on, nobody else would heal it.
func (b *Agent) join(ctx context.Context) {
	wait := joinFirst / 4
	for {
		var to []string
		if b.list.NumMembers() <= 1 {
			to = slices.Clone(b.cfg.Join)
		}
		for _, m := range b.Status(ctx).Members {
			if (m.State == peers.Failed || m.State == peers.Unknown) && m.Addr != "" {
				to = append(to, m.Addr)
			}
		}
		to = slices.DeleteFunc(to, func(a string) bool { return a == b.Addr() || a == b.cfg.Advertise })
		rand.Shuffle(len(to), func(i, j int) { to[i], to[j] = to[j], to[i] })
		if len(to) > 0 {
			if n, err := b.list.Join(to[:min(len(to), 3)]); n == 0 && err != nil {
				b.line(&b.joins, "gossip: nobody answers", "tried", strings.Join(to[:min(len(to), 3)], " "), "again in", wait)
				wait = min(2*wait, joinMost)
			} else {
				wait = joinFirst
			}
		} else {
			wait = joinFirst
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(time.Duration(float64(wait) * (0.75 + rand.Float64()/2))):
		}
	}
}

// ask has the loop run f; false: it has ended.
func (b *Agent) ask(ctx context.Context, f func(*peers.Registry)) bool {
	ran := make(chan struct{})
	select {
	case b.asks <- func(r *peers.Registry) { defer close(ran); f(r) }:
		<-ran
		return true
	case <-b.done:
	case <-ctx.Done():
	}
	return false
}

// Leave says to the others that this gateway leaves; it goes on hearing them.
func (b *Agent) Leave() {
	b.mu.Lock()
	b.leaving = true
	b.mu.Unlock()
	b.list.UpdateNode(leaveWithin) // what it says of itself has that word
}

// Close ends the talk without a word: another process of this gateway goes on with it.
func (b *Agent) Close() {
	b.stop()
	b.mu.Lock()
	leaving := b.leaving
	b.mu.Unlock()
	if leaving {
		b.list.Leave(leaveWithin)
	}
	b.list.Shutdown()
	<-b.done
}

// Use takes these keys from now on: what is sent is locked with the first, what comes may be
// with any. Where there were none at the start, there are none later.
func (b *Agent) Use(keys [][]byte) error {
	if (b.ring == nil) != (len(keys) == 0) {
		return errors.New("fleet.keys: talk in the clear and with keys needs a restart between")
	}
	if b.ring == nil {
		return nil
	}
	for _, k := range keys {
		if err := b.ring.AddKey(k); err != nil {
			return fmt.Errorf("fleet.keys: %w", err)
		}
	}
	if err := b.ring.UseKey(keys[0]); err != nil {
		return fmt.Errorf("fleet.keys: %w", err)
	}
	for _, k := range b.ring.GetKeys() {
		if !slices.ContainsFunc(keys, func(x []byte) bool { return slices.Equal(x, k) }) {
			b.ring.RemoveKey(k)
		}
	}
	return nil
}

// NodeMeta is what this member says of itself.
func (b *Agent) NodeMeta(limit int) []byte {
	b.mu.Lock()
	leaving := b.leaving
	b.mu.Unlock()
	m := b.self()
	if meta := encodeMeta(&m, leaving); len(meta) <= limit {
		return meta
	}
	return nil
}

// NotifyMsg hears what another sent with Send.
func (b *Agent) NotifyMsg(data []byte) {
	if b.cfg.Heard != nil && len(data) <= mostBytes {
		b.cfg.Heard(data)
	}
}

// GetBroadcasts has nothing to say.
func (b *Agent) GetBroadcasts(int, int) [][]byte { return nil }

// LocalState has nothing to add.
func (b *Agent) LocalState(bool) []byte { return nil }

// MergeRemoteState takes nothing.
func (b *Agent) MergeRemoteState([]byte, bool) {}

// NotifyJoin hears of a member.
func (b *Agent) NotifyJoin(n *memberlist.Node) { b.NotifyUpdate(n) }

// NotifyUpdate hears that a member says something else of itself.
func (b *Agent) NotifyUpdate(n *memberlist.Node) {
	b.mu.Lock()
	if _, known := b.nodes[n.Name]; n.Name != b.cfg.Name && (known || len(b.nodes) < mostKept) {
		b.nodes[n.Name] = node{n.Address(), slices.Clone(n.Meta)}
	}
	b.mu.Unlock()
	b.look()
}

// NotifyLeave hears that a member is gone.
func (b *Agent) NotifyLeave(n *memberlist.Node) {
	b.mu.Lock()
	delete(b.nodes, n.Name)
	b.mu.Unlock()
	b.look()
}

// look has the loop compare what it holds, soon.
func (b *Agent) look() {
	select {
	case b.kick <- struct{}{}:
	default:
	}
}

// mostKept bounds what is kept by name beside the registry of peers.
const mostKept = 4096

// NotifyConflict hears that two members have one name.
func (b *Agent) NotifyConflict(existing, other *memberlist.Node) {
	b.mu.Lock()
	if len(b.twice) < mostKept {
		b.twice[existing.Name] = time.Now()
	}
	b.mu.Unlock()
	b.line(&b.conflict, "gossip: a name is used twice, it counts once", "name", existing.Name, "at", existing.Address(), "and", other.Address())
}

// AckPayload adds nothing to answers of probes.
func (b *Agent) AckPayload() []byte { return nil }

// NotifyPingComplete hears how long a probe took.
func (b *Agent) NotifyPingComplete(n *memberlist.Node, rtt time.Duration, _ []byte) {
	b.mu.Lock()
	if len(b.rtts) < mostKept {
		b.rtts[n.Name] = rtt
	}
	b.mu.Unlock()
	if b.cfg.RoundTrip != nil {
		b.cfg.RoundTrip(rtt)
	}
}

// quiet passes on what memberlist logs as errors, within the bound on lines; the rest says less
// than the changes do.
type quiet struct{ b *Agent }

func (q *quiet) Write(p []byte) (int, error) {
	if text := string(p); strings.Contains(text, "[ERR]") {
		q.b.line(&q.b.library, "gossip: "+strings.TrimSpace(strings.ToValidUTF8(text[:min(len(text), 300)], "?")))
	}
	return len(p), nil
}

var _ io.Writer = (*quiet)(nil)
var _ net.Conn = (*stream)(nil)
