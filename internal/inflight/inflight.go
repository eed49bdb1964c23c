// Package inflight decides what a gateway tells others of the attempts that it has out at hosts, and
// how many of theirs it may reckon with, so that gateways of which each sees little of a host's load
// spread theirs nearly as one that sees all of it.
//
// Each gateway says which hosts it draws from, and tells those that draw from the same host as soon as
// its own count there changes. A packet holds all that its reporter has out where the two meet, so one that
// comes late or twice changes nothing and the next mends one that was lost. News that is old makes herds:
// what a reporter says counts in full up to a lag of freshLag, less beyond it, and nothing from staleLag on,
// the lag being half the round trip that echoes show and the time the packet waited at its reporter. What is
// not renewed within Lasts is gone. One reporter's word stands for mostCount attempts at a host at most.
// docs/design/even.md has the measurements and the bounds.
//
// It does no I/O and reads no clock; instants and packets are handed in, and the same code runs on sockets
// and in a simulation. It knows hosts by number, and neither pools nor requests. A Store is not safe for
// concurrent use.
//
// inflight.go is what is told and held, packet.go the form in which gateways say it.
package inflight

import (
	"cmp"
	"slices"
	"time"
)

// Time is an instant on one process's clock, which never goes backward. Clocks of different processes
// are not compared.
type Time = time.Duration

// HostID is a host, by a number that all gateways make alike of its name.
type HostID uint64

const (
	// Lasts is how long a count stands that is not told again; one that is not zero is told renews times
	// in it. It is the bound on how stale what is held can be.
	Lasts    = 1500 * time.Millisecond
	renews   = 3
	pace     = 5 * time.Millisecond   // between two packets to one member
	again    = 200 * time.Millisecond // until a count that fell is told once more, where packets are lost and nothing was told since
	lossy    = 0.01                   // part of the packets that are lost, from which on that is so
	lossSpan = 20                     // packets of which the part is a mean
	perSec   = 400                    // packets that a gateway sends, and burst at once
	burst    = 100
	freshLag = 100 * time.Millisecond
	staleLag = 250 * time.Millisecond
	echoOld  = 2 * time.Second // an echo held for longer says nothing of the way
	weights  = 16              // parts in which a reporter's weight is reckoned
	// mostCount is what one reporter can say of a host, mostHosts of how many it may speak, and how many
	// it draws from by name: from more than that it draws from all.
	mostCount = 8
	mostHosts = 128
	mostPeers = 4096
	scanEvery = 100 * time.Millisecond
	usesEvery = 10 * time.Second // the hosts drawn from are said again
	usesLast  = 3 * time.Second  // after the last time that one was
	usesPause = time.Second      // between two tellings of changes, and before the first is repeated
	// mostReplies is how often one that knows nothing of the way is greeted out of turn.
	mostReplies = 2
)

// News is how many attempts others have out at a host, as far as they count here. It is worth nothing
// from Until on.
type News struct {
	Host  HostID
	Out   float64
	Until Time
}

// count is what a reporter has out at a host.
type count struct {
	host HostID
	n    int
}

// peer is another gateway.
type peer struct {
	name string
	uses []HostID // that it draws from
	all  bool     // ... from more than can be named
	// What it was told: when, whether anything was out, and what waits to be told since when.
	toldAt Time
	told   bool
	queued bool
	since  Time
	// The hosts drawn from are to be said to it at greetAt, and again after pause unless it knows them.
	greetAt, pause Time
	sent           uint16  // packets
	loses          float64 // part of them that it says does not come
	replies        int     // greetings in answer, since the last of its time
	// What it says.
	session uint32
	seq     uint16  // of the last packet
	lost    float64 // part of its packets that did not come
	stamp   uint32  // of the last packet, on its clock in ms
	stampAt Time    // when that came
	out     []count
	weight  int // in which out stands in the sums
	heardAt Time
	trip    Time // there and back
	tripped bool
}

// sum is what others have out at a host, in parts of weights.
type sum struct {
	parts int
	said  Time // when News of it was last given
	news  bool // it has changed since
}

// Store is what one gateway tells and holds.
type Store struct {
	self    string
	session uint32
	peers   map[string]*peer
	order   []*peer // the peers by name: nothing depends on the order of a map
	first   int     // of order, behind the one that was greeted last
	own     map[HostID]int
	drawn   map[HostID]Time    // when this gateway was last said to draw from it
	said    []HostID           // as others were told
	saidAt  Time               // when that changed
	users   map[HostID][]*peer // that draw from a host
	wide    []*peer            // that draw from all
	sums    map[HostID]*sum
	fresh   []HostID // whose sums have changed
	queue   []*peer
	agains  []later
	tokens  float64
	filled  Time
	scanAt  Time
	counts  Counts
}

// later is a peer that is to be told once more.
type later struct {
	at   Time
	peer *peer
	told Time // unless it was since
}

// New makes a store of a gateway that knows nobody. The session tells its processes apart.
func New(self string, session uint32) *Store {
	return &Store{self: self, session: session, peers: map[string]*peer{}, own: map[HostID]int{}, drawn: map[HostID]Time{}, users: map[HostID][]*peer{}, sums: map[HostID]*sum{}, tokens: burst}
}

// View says who else is held alive. What one who is not has said counts no more.
func (b *Store) View(now Time, names []string) {
	there := make(map[string]bool, len(names))
	for _, name := range names {
		there[name] = true
		if name != b.self && b.peers[name] == nil && len(b.peers) < mostPeers {
			p := &peer{name: name, greetAt: now, pause: usesPause}
			b.peers[name] = p
			at, _ := slices.BinarySearchFunc(b.order, name, func(p *peer, name string) int { return cmp.Compare(p.name, name) })
			b.order = slices.Insert(b.order, at, p)
		}
	}
	for _, p := range b.order {
		if !there[p.name] {
			b.holds(p, nil, 0)
			b.draws(p, nil, false)
			delete(b.peers, p.name)
		}
	}
	b.order = slices.DeleteFunc(b.order, func(p *peer) bool { return b.peers[p.name] != p })
	b.queue = slices.DeleteFunc(b.queue, func(p *peer) bool { return b.peers[p.name] != p })
}

// Draws says which hosts this gateway draws from now.
func (b *Store) Draws(now Time, hosts []HostID) {
	for _, h := range hosts {
		b.drawn[h] = now
	}
	for h, at := range b.drawn {
		if now-at > usesLast {
			delete(b.drawn, h)
		}
	}
	list := make([]HostID, 0, len(b.drawn))
	for h := range b.drawn {
		list = append(list, h)
	}
	slices.Sort(list)
	if slices.Equal(list, b.said) || b.saidAt > 0 && now-b.saidAt < usesPause {
		return
	}
	b.said, b.saidAt = list, now
	for _, p := range b.order {
		p.greetAt, p.pause = now, usesPause
	}
}

// Out notes that this gateway has so many attempts more, or fewer, out at a host.
func (b *Store) Out(now Time, h HostID, more int) {
	n := b.own[h] + more
	if b.own[h] = n; n <= 0 {
		delete(b.own, h)
	}
	for _, list := range [][]*peer{b.users[h], b.wide} {
		for _, p := range list {
			b.tell(now, p)
			if more < 0 && p.loses >= lossy {
				b.agains = append(b.agains, later{now + again, p, now})
			}
		}
	}
	if len(b.agains) > 4*mostPeers { // far beyond what the rate lets out: they are renewed anyway
		b.agains = b.agains[:0]
	}
}

// tell has a peer told.
func (b *Store) tell(now Time, p *peer) {
	if !p.queued {
		p.queued, p.since = true, now
		b.queue = append(b.queue, p)
	}
}

// Next is when Tick has something to do.
func (b *Store) Next(now Time) Time {
	next := b.scanAt
	if len(b.agains) > 0 {
		next = min(next, b.agains[0].at)
	}
	switch {
	case len(b.fresh) > 0 || len(b.queue) > 0 && b.queue[0].toldAt+pace <= now && b.tokens >= 1:
		return now
	case len(b.queue) > 0:
		next = min(next, now+pace)
	}
	return max(next, now)
}

// Tick looks at what is due, and returns what is to be sent and what has changed. The lists are the
// caller's.
func (b *Store) Tick(now Time) (out []Packet, news []News) {
	b.tokens = min(burst, b.tokens+perSec*(now-b.filled).Seconds())
	b.filled = now
	for len(b.agains) > 0 && b.agains[0].at <= now {
		if a := b.agains[0]; b.peers[a.peer.name] == a.peer && a.peer.toldAt <= a.told+2*pace {
			b.tell(now, a.peer)
		}
		b.agains = b.agains[1:]
	}
	if now >= b.scanAt {
		out = b.scan(now)
	}
	waits := b.queue[:0]
	for i, p := range b.queue {
		switch {
		case now < p.toldAt+pace && p.toldAt > 0:
			waits = append(waits, p)
		case !b.may():
			b.counts.Held += int64(len(b.queue) - i)
			b.queue = append(waits, b.queue[i:]...)
			return out, b.changed(now)
		default:
			out = append(out, b.packet(now, p, kindOut))
			p.queued, p.toldAt = false, now
		}
	}
	b.queue = waits
	return out, b.changed(now)
}

// Take takes in what another gateway says. What is strange is counted and dropped.
func (b *Store) Take(now Time, data []byte) {
	var m message
	p := (*peer)(nil)
	if m.decode(data) {
		p = b.peers[m.from]
	}
	if p == nil {
		b.counts.Strange++
		return
	}
	b.counts.Taken++
	if m.session == p.session && int32(m.stamp-p.stamp) < 0 {
		return // one that was sent later has come
	}
	if m.session == p.session {
		for range min(max(0, int(int16(m.seq-p.seq))-1), lossSpan) {
			p.lost += (1 - p.lost) / lossSpan
		}
	}
	p.lost -= p.lost / lossSpan
	p.loses = m.loses
	p.session, p.seq, p.stamp, p.stampAt = m.session, m.seq, m.stamp, now
	if m.held != noEcho {
		trip := Time(int32(stampOf(now)-m.echo))*time.Millisecond - m.held
		switch trip = max(0, trip); {
		case trip > 2*echoOld: // an echo of another process of this name
		case !p.tripped:
			p.trip, p.tripped = trip, true
		default:
			p.trip += (trip - p.trip) / 4
		}
	}
	switch {
	case m.knows == digest(b.said, len(b.said) > mostHosts): // it knows where to tell this gateway
		p.greetAt, p.pause = max(p.greetAt, now+usesEvery/2), usesEvery
	case p.pause == usesEvery && p.greetAt > now+usesPause:
		p.greetAt, p.pause = now, usesPause
	}
	if m.asks && p.replies < mostReplies {
		p.greetAt = now
		p.replies++
	}
	if m.kind == kindDraws {
		list := make([]HostID, len(m.list))
		for i, c := range m.list {
			list[i] = c.host
		}
		if !slices.Equal(list, p.uses) || m.all != p.all {
			b.draws(p, list, m.all)
			b.tell(now, p)
		}
		return
	}
	p.heardAt = now
	b.holds(p, m.list, b.weigh(p, m.waited))
}

// weigh is how much what a peer says counts: whole while it is fresh, and not at all where nothing is
// known of the way.
func (b *Store) weigh(p *peer, waited Time) int {
	if !p.tripped {
		return 0
	}
	lag := p.trip/2 + waited
	return int(weights * min(1, max(0, staleLag-lag).Seconds()/(staleLag-freshLag).Seconds()))
}
