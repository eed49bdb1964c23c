// Package override replicates operators' overrides to all gateways of the fleet. An override takes a host
// out of use (a ban) or puts it back into service.
//
// A gateway keeps one state per host: the bans of each gateway, and which of them have been covered by a
// return into service. A return covers the bans that its gateway had received, and no others. States are
// joined, so that all gateways have the same one in whatever order and however often they receive them. Of a
// ban and a return that are set on both sides of a network partition the ban prevails, whatever else either
// side has set, so that nothing is sent to a host that one side has banned. A ban that was delayed, by a
// partition or in a gateway that was stopped, is covered by the returns of gateways that had already received
// it, and reverts nothing.
//
// The gateway at which an override is set sends it to all gateways that are alive until each has confirmed
// that it has applied the override, or a time limit has passed. The rest is left to anti-entropy: each
// gateway exchanges digests with its peers in round-robin order, and both send each other the overrides
// that differ. A member that was cut
// off therefore has all overrides within Every of its return plus a few round trips. While all gateways
// have the same overrides, the only traffic is one digest per gateway and Every.
//
// The package performs no I/O and reads no clock: the caller passes the time. It has no notion of pools and
// does not authenticate senders: packets from anyone who can deliver them in the name of a live peer are
// accepted. A Store is not safe for concurrent use. docs/design/verdicts.md has the bounds.
package override

import (
	"cmp"
	"errors"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Time is an instant on one process's clock, which never goes backward.
type Time = time.Duration

// Entry is the override on one host that is in effect.
type Entry struct {
	Host    string
	Out     bool   // out of use
	Version uint64 // of the event that brought it
	By      string // the gateway at which it was set
}

const (
	// Step is the interval at which Tick is to be called. An unconfirmed override is sent again after
	// two steps.
	Step = 50 * time.Millisecond
	// Every is the time between two periodic digests of one gateway.
	Every = time.Second
	// resendFor is how long an override is sent again to members that do not confirm it. After that,
	// anti-entropy delivers it.
	resendFor = 10 * time.Second
	// returnedRetention is how long an override that puts a host back into service is kept. A ban that is
	// delayed for longer than that takes effect again.
	returnedRetention = 24 * time.Hour
	// MaxHosts is the maximum number of overrides kept. At the limit, the oldest override that puts a
	// host back into service is dropped to make room.
	MaxHosts = 4096
	// maxWaiting is the maximum number of members that wait for the confirmation of one override.
	maxWaiting = 512
	// maxBans is the maximum number of gateways whose bans of one host are kept.
	maxBans     = 12
	bucketCount = 64 // hosts are divided into buckets with a digest each
	// minDiffEntries is the number of differing overrides from which no further bucket is sent in reply to
	// one digest. The reply to the next digest continues with the remaining buckets.
	minDiffEntries = 256
	// maxNewPeers is the maximum number of new or returned members that are sent a digest at once.
	maxNewPeers = 3
)

// ErrFull is returned by Set if MaxHosts overrides are kept and all of them take hosts out of use.
var ErrFull = errors.New("as many hosts as may be are out by operators' overrides")

// record is the override on one host with the progress of its replication.
type record struct {
	Entry   // of state
	state   State
	since   Time // when this gateway received it
	applied bool // this gateway has applied it
	// unconfirmed are the members that have not confirmed that they have applied the override. It is set
	// only at the gateway at which the override was set, for resendFor. It is nil when no confirmations
	// are awaited.
	unconfirmed map[string]bool
	lastSent    Time
	waiting     []string // members that requested a confirmation and have not received it yet
}

// Counts are totals since the start of the Store.
type Counts struct {
	Sent, Taken, Strange int64 // packets; Strange ones were malformed or not from a live peer
	Dropped              int64 // overrides rejected for lack of room
}

// Store holds the overrides of one gateway and replicates them. It is not safe for concurrent use.
type Store struct {
	self       string
	now        Time
	entries    map[string]*record
	pending    map[string]*record // overrides that await confirmations or are to be confirmed to others
	digests    [bucketCount]uint64
	peers      []string // other gateways that are alive, sorted
	peerIndex  int      // index in peers of the one that gets the next digest
	nextDigest Time     // when the next periodic digest is due
	nextBucket int      // the bucket with which the reply to the next digest begins
	newPeers   []string // peers that have joined or returned since the last digests
	out        []Packet
	counts     Counts
}

// New returns an empty Store for the gateway named self.
func New(self string) *Store {
	return &Store{self: self, entries: map[string]*record{}, pending: map[string]*record{}}
}

// bucket returns the index of the bucket that a host's override belongs to.
func bucket(host string) int { return int(xxhash.Sum64String(host) % bucketCount) }

// hash returns the hash of a state. The digest of a bucket is the XOR of the hashes of its states.
func (s *State) hash() uint64 { return xxhash.Sum64(appendState(nil, s)) }

// SetAlive sets the gateways that are considered alive. This gateway's own name and duplicates are
// ignored. The Store sends its digest to up to maxNewPeers new ones on the next Tick.
func (b *Store) SetAlive(peers []string) {
	list := slices.DeleteFunc(slices.Clone(peers), func(n string) bool { return n == b.self })
	slices.Sort(list)
	list = slices.Compact(list)
	for _, n := range list {
		if _, was := slices.BinarySearch(b.peers, n); was {
			continue
		}
		if len(b.newPeers) < maxNewPeers {
			b.newPeers = append(b.newPeers, n)
		}
		for _, e := range b.pending { // a confirmed override is confirmed by all that are alive
			if e.unconfirmed != nil {
				e.unconfirmed[n] = true
			}
		}
	}
	b.peers = list
}

// Alive returns the number of gateways that are considered alive, including this one.
func (b *Store) Alive() int { return len(b.peers) + 1 }

// Set records an operator's override at this gateway. It prevails over what this gateway has received of the host.
// The caller is to apply it and then to call Done, as for the overrides that Take returns. Set returns
// ErrFull if there is no room.
func (b *Store) Set(now Time, host string, out bool) (Entry, error) {
	b.now = max(b.now, now)
	state := State{Host: host}
	if e := b.entries[host]; e != nil {
		state = e.state
	}
	e := b.insert(state.next(b.self, out))
	if e == nil {
		return Entry{}, ErrFull
	}
	e.unconfirmed = map[string]bool{}
	for _, n := range b.peers {
		e.unconfirmed[n] = true
	}
	b.pending[host] = e
	return e.Entry, nil
}

// Adopt takes over the override that the previous process has applied. A state that is invalid is ignored, and so
// is one for which there is no room.
func (b *Store) Adopt(now Time, s State) {
	b.now = max(b.now, now)
	if !s.valid() {
		return
	}
	if e := b.entries[s.Host]; e != nil {
		s = e.state.join(s)
	}
	if e := b.insert(s); e != nil {
		e.applied = true
	}
}

// AdoptEntry takes over an override of a previous process of an earlier version.
func (b *Store) AdoptEntry(now Time, w Entry) { b.Adopt(now, stateOf(w)) }

// insert stores a state that includes the present one of its host. The record of the host is replaced if another
// override is in effect then. It returns nil if there is no room.
func (b *Store) insert(s State) *record {
	i, e := bucket(s.Host), b.entries[s.Host]
	if e != nil {
		b.digests[i] ^= e.state.hash()
	} else if len(b.entries) >= MaxHosts && !b.makeRoom() {
		b.counts.Dropped++
		return nil
	}
	if w := s.entry(); e == nil || e.Entry != w {
		e = &record{Entry: w, since: b.now}
		b.entries[s.Host] = e
		delete(b.pending, s.Host) // a member that asks again about the replaced override is sent this one
	}
	e.state = s
	b.digests[i] ^= s.hash()
	return e
}

// makeRoom removes the oldest override that puts a host back into service. It returns false if there is
// none.
func (b *Store) makeRoom() bool {
	var oldest *record
	for _, e := range b.entries {
		if !e.Out && (oldest == nil || e.since < oldest.since || e.since == oldest.since && e.Host < oldest.Host) {
			oldest = e
		}
	}
	if oldest == nil {
		return false
	}
	b.remove(oldest)
	return true
}

// remove deletes an override and takes it out of the digest of its bucket.
func (b *Store) remove(e *record) {
	b.digests[bucket(e.Host)] ^= e.state.hash()
	delete(b.entries, e.Host)
	delete(b.pending, e.Host)
}

// Done records that this gateway has applied an override. It does nothing if another override has replaced
// w.
func (b *Store) Done(w Entry) {
	if e := b.entries[w.Host]; e != nil && e.Entry == w {
		e.applied = true
	}
}

// Tick returns the packets to be sent: overrides that are not confirmed yet, confirmations and digests. The
// slice is valid until the next call of Tick or Take.
func (b *Store) Tick(now Time) []Packet {
	b.now = max(b.now, now)
	b.out = b.out[:0]
	requests := map[string][]State{} // overrides to be confirmed, by member
	replies := map[string][]State{}  // confirmations, by member
	for _, host := range slices.Sorted(maps.Keys(b.pending)) {
		e := b.pending[host]
		switch {
		case e.unconfirmed != nil && (len(e.unconfirmed) == 0 && e.applied || b.now-e.since >= resendFor):
			e.unconfirmed = nil
		case e.unconfirmed != nil && (e.lastSent == 0 || b.now-e.lastSent >= 2*Step):
			e.lastSent = b.now
			for _, n := range b.peers {
				if e.unconfirmed[n] {
					requests[n] = append(requests[n], e.state)
				}
			}
		}
		if e.applied {
			for _, n := range e.waiting {
				replies[n] = append(replies[n], e.state)
			}
			e.waiting = nil
		}
		if e.unconfirmed == nil && e.waiting == nil {
			delete(b.pending, host)
		}
	}
	for _, n := range b.peers {
		b.send(n, confirmRequest, requests[n])
		b.send(n, confirmation, replies[n])
	}
	if len(b.peers) > 0 && (b.now >= b.nextDigest || len(b.newPeers) > 0) {
		to := b.newPeers
		if b.newPeers = nil; b.now >= b.nextDigest {
			b.expire()
			b.peerIndex = (b.peerIndex + 1) % len(b.peers)
			to = append(to, b.peers[b.peerIndex])
			b.nextDigest = b.now + Every
		}
		for _, n := range to {
			b.enqueue(n, message{kind: digestRequest, digests: b.digests})
		}
	}
	b.counts.Sent += int64(len(b.out))
	return b.out
}

// expire removes the overrides that put hosts back into service and are older than returnedRetention.
func (b *Store) expire() {
	for _, e := range b.entries {
		if !e.Out && b.now-e.since >= returnedRetention {
			b.remove(e)
		}
	}
}

// send queues overrides for a member in messages of one kind, in as many packets as are needed.
func (b *Store) send(to string, k kind, states []State) {
	for len(states) > 0 {
		n := fitCount(states)
		b.enqueue(to, message{kind: k, states: states[:n]})
		states = states[n:]
	}
}

// enqueue encodes a message from this gateway and adds it to the packets to be sent.
func (b *Store) enqueue(to string, m message) {
	m.from = b.self
	b.out = append(b.out, Packet{To: to, Data: m.encode()})
}

// Take processes a packet from another gateway. It returns the packets to be sent at once and the overrides
// that are new here, which the caller is to apply before it calls Done for each. The packets are valid
// until the next call of Tick or Take. A packet that is malformed, or whose sender is not a live peer, is
// counted and dropped.
func (b *Store) Take(now Time, data []byte) (out []Packet, entries []Entry) {
	b.now = max(b.now, now)
	b.out = b.out[:0]
	var m message
	if !m.decode(data) {
		b.counts.Strange++
		return nil, nil
	}
	if _, member := slices.BinarySearch(b.peers, m.from); !member {
		b.counts.Strange++ // from this gateway itself, or a sender that is not alive
		return nil, nil
	}
	b.counts.Taken++
	var newer []State // what the sender lacks
	for _, s := range m.states {
		e, changed := b.receive(s)
		if e == nil {
			continue
		}
		if changed {
			entries = append(entries, e.Entry)
		}
		switch {
		case !e.state.equal(s):
			newer = append(newer, e.state)
		case m.kind == confirmation:
			delete(e.unconfirmed, m.from)
		case m.kind == confirmRequest && len(e.waiting) < maxWaiting && !slices.Contains(e.waiting, m.from):
			e.waiting = append(e.waiting, m.from)
			b.pending[e.Host] = e
		}
	}
	b.send(m.from, update, newer)
	if m.kind == digestRequest || m.kind == digestReply {
		b.compare(&m)
	}
	b.counts.Sent += int64(len(b.out))
	return b.out, entries
}

// receive joins the state that a peer has sent with the present one. It returns the record, nil if there is no room,
// and reports whether another override is in effect than before.
func (b *Store) receive(s State) (e *record, changed bool) {
	e = b.entries[s.Host]
	if e == nil {
		e = b.insert(s)
		return e, e != nil
	}
	before, joined := e.Entry, e.state.join(s)
	if joined.equal(e.state) {
		return e, false
	}
	e = b.insert(joined)
	return e, e.Entry != before
}

// compare sends the sender of a digest the overrides of the buckets that differ.
func (b *Store) compare(m *message) {
	if m.digests == b.digests {
		return
	}
	var differ [bucketCount][]State
	for host, e := range b.entries {
		if i := bucket(host); m.digests[i] != b.digests[i] {
			differ[i] = append(differ[i], e.state)
		}
	}
	var states []State
	for range bucketCount { // whole buckets, so that their digests match afterwards
		if len(states) >= minDiffEntries {
			break
		}
		slices.SortFunc(differ[b.nextBucket], func(x, y State) int { return cmp.Compare(x.Host, y.Host) })
		states = append(states, differ[b.nextBucket]...)
		b.nextBucket = (b.nextBucket + 1) % bucketCount
	}
	b.send(m.from, update, states)
	if m.kind == digestRequest { // request the overrides that this gateway lacks
		b.enqueue(m.from, message{kind: digestReply, digests: b.digests})
	}
}

// Status is the state of an override as shown to operators.
type Status struct {
	Entry
	Age   time.Duration // since this gateway received it
	Holds bool          // this gateway has applied it
	// Asked reports whether Lack and Away are known. They are known only at the gateway at which the
	// override was set, until all members have confirmed or resendFor has passed.
	Asked bool
	Lack  []string // live members that have not confirmed it
	// Away are members that have not confirmed and are not considered alive now. They receive the
	// override when they return.
	Away []string
}

// status returns the status of an override and splits its unconfirmed members into live and absent ones.
func (b *Store) status(e *record) Status {
	s := Status{Entry: e.Entry, Age: b.now - e.since, Holds: e.applied, Asked: e.unconfirmed != nil}
	for _, n := range slices.Sorted(maps.Keys(e.unconfirmed)) {
		if _, alive := slices.BinarySearch(b.peers, n); alive {
			s.Lack = append(s.Lack, n)
		} else {
			s.Away = append(s.Away, n)
		}
	}
	return s
}

// Lookup returns the status of the override on a host, and false if there is none.
func (b *Store) Lookup(now Time, host string) (Status, bool) {
	b.now = max(b.now, now)
	e := b.entries[host]
	if e == nil {
		return Status{}, false
	}
	return b.status(e), true
}

// Status returns the status of all overrides, sorted by host.
func (b *Store) Status(now Time) (list []Status) {
	b.now = max(b.now, now)
	for _, e := range b.entries {
		list = append(list, b.status(e))
	}
	slices.SortFunc(list, func(x, y Status) int { return cmp.Compare(x.Host, y.Host) })
	return list
}

// States returns the states of all overrides, sorted by host, for the process that takes over.
func (b *Store) States() (list []State) {
	for _, e := range b.entries {
		list = append(list, e.state)
	}
	slices.SortFunc(list, func(x, y State) int { return cmp.Compare(x.Host, y.Host) })
	return list
}

// Out returns the hosts that are out of use, sorted.
func (b *Store) Out() (hosts []string) {
	for _, e := range b.entries {
		if e.Out {
			hosts = append(hosts, e.Host)
		}
	}
	slices.Sort(hosts)
	return hosts
}

// Counts returns the totals since the start of the Store.
func (b *Store) Counts() Counts { return b.counts }
