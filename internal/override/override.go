// Package override keeps operators' overrides of hosts that are meant for the whole fleet: out of use, or back.
//
// What a gateway keeps is one override a host, and of two overrides the same one counts at all gateways, in
// whatever order and however often they come: the later by version, where each override said is later
// than all that its gateway had heard. Overrides said on two sides of a cut may be of one version; then out
// counts before back, so that nothing is sent to a host that one side wanted out. An override that was
// held up, by a cut or in a gateway that was stopped, is older than what was said by those who had it,
// and undoes nothing.
//
// The gateway at which an override is said tells all who live until each has said that it holds; the rest
// is anti-entropy: gateways compare digests by turns, and give each other what differs. So a member
// that was cut off has all overrides within Every of its return and a few round trips, and no packet flows for
// overrides that all have, but one digest a gateway and Every.
//
// It does no I/O and reads no clock, and knows neither pools nor who may speak: whoever can send it packets is
// believed. A Store is not safe for concurrent use. docs/design/verdicts.md has the bounds.
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

// Entry is what counts of a host.
type Entry struct {
	Host    string
	Out     bool   // not to be used
	Version uint64 // 1 and up, by host
	By      string // the gateway at which it was said
}

// after says whether w counts where both were said. It is a total order of the overrides of one host.
func (w Entry) after(o Entry) bool {
	if w.Version != o.Version {
		return w.Version > o.Version
	}
	if w.Out != o.Out {
		return w.Out
	}
	return w.By > o.By
}

const (
	// Step is how often Tick is to be called, and how soon an unanswered override is said again.
	Step = 50 * time.Millisecond
	// Every is the time between two digests of one gateway.
	Every = time.Second
	// tellFor is how long an override is said again to those who do not answer. Anti-entropy does it later.
	tellFor = 10 * time.Second
	// keepBack is how long an override that calls back is kept: an override that is held up for longer than
	// that counts again.
	keepBack = 24 * time.Hour
	// MaxHosts is the maximum number of overrides kept. At the limit, the oldest override that puts a
	// host back into service is dropped to make room.
	MaxHosts = 4096
	// mostOwed bounds members that wait for an answer on one override.
	mostOwed = 512
	buckets  = 64 // of hosts, each with a digest
	// mostEntries is from how many overrides of a difference on no more go out on one digest; the next has the rest.
	mostEntries = 256
	// reached is how many members that have come back are asked for their digests at once.
	reached = 3
)

// ErrFull says that there are as many overrides as are kept.
var ErrFull = errors.New("as many hosts as may be are out by operators' overrides")

// record is the override on one host.
type record struct {
	Entry
	since Time // it came
	holds bool // the gateway has done it
	// lack are the members that have not said that it holds there: only at the gateway at which it was
	// said, for tellFor. nil: nobody is asked.
	lack map[string]bool
	told Time
	owed []string // members that asked and are answered once it holds
}

// Counts are totals since the start.
type Counts struct {
	Sent, Taken, Strange int64 // packets; Strange ones could not be read or were nobody's
	Dropped              int64 // overrides for which there was no room
}

// Store is what one gateway keeps.
type Store struct {
	self    string
	now     Time
	entries map[string]*record
	busy    map[string]*record // those that somebody is asked about, or asks for
	digests [buckets]uint64
	others  []string // alive, in order
	turn    int      // of others, for the next digest
	next    Time     // when that goes
	from    int      // the bucket with which the next difference begins
	greet   []string // who has just come
	out     []Packet
	counts  Counts
}

// New makes a Store that knows nothing.
func New(self string) *Store {
	return &Store{self: self, entries: map[string]*record{}, busy: map[string]*record{}}
}

// bucket is where a host's override belongs.
func bucket(host string) int { return int(xxhash.Sum64String(host) % buckets) }

// sum is an override in the digest of its bucket.
func (w Entry) sum() uint64 { return xxhash.Sum64(appendEntry(nil, w)) }

// SetAlive says who else is held alive.
func (b *Store) SetAlive(others []string) {
	list := slices.DeleteFunc(slices.Clone(others), func(n string) bool { return n == b.self })
	slices.Sort(list)
	list = slices.Compact(list)
	for _, n := range list {
		if _, was := slices.BinarySearch(b.others, n); was {
			continue
		}
		if len(b.greet) < reached {
			b.greet = append(b.greet, n)
		}
		for _, e := range b.busy { // a yes is that of all who live
			if e.lack != nil {
				e.lack[n] = true
			}
		}
	}
	b.others = list
}

// Alive is how many gateways live as far as is known, this one among them.
func (b *Store) Alive() int { return len(b.others) + 1 }

// Set is an operator's override at this gateway, from now on the one that counts. It is to be carried out here, and Holds
// to be called, like those that Take returns.
func (b *Store) Set(now Time, host string, out bool) (Entry, error) {
	b.now = max(b.now, now)
	w := Entry{Host: host, Out: out, Version: 1, By: b.self}
	if e := b.entries[host]; e != nil {
		w.Version = e.Version + 1
	}
	e := b.keep(w)
	if e == nil {
		return w, ErrFull
	}
	e.lack = map[string]bool{}
	for _, n := range b.others {
		e.lack[n] = true
	}
	b.busy[host] = e
	return w, nil
}

// Adopt takes over an override of the process before, which did it; what is none of a member's, or older than what
// counts, is dropped.
func (b *Store) Adopt(now Time, w Entry) {
	b.now = max(b.now, now)
	if e := b.entries[w.Host]; !w.valid() || e != nil && !w.after(e.Entry) {
		return
	}
	if e := b.keep(w); e != nil {
		e.holds = true
	}
}

// keep takes an override over, later than what there was; nil: there is no room.
func (b *Store) keep(w Entry) *record {
	i, e := bucket(w.Host), b.entries[w.Host]
	if e != nil {
		b.digests[i] ^= e.sum()
	} else if len(b.entries) >= MaxHosts && !b.makeRoom() {
		b.counts.Dropped++
		return nil
	}
	e = &record{Entry: w, since: b.now}
	b.entries[w.Host] = e
	delete(b.busy, w.Host) // who asked for the override before it is told of this one
	b.digests[i] ^= e.sum()
	return e
}

// makeRoom forgets the oldest override that calls back.
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
	b.forget(oldest)
	return true
}

func (b *Store) forget(e *record) {
	b.digests[bucket(e.Host)] ^= e.sum()
	delete(b.entries, e.Host)
	delete(b.busy, e.Host)
}

// Done says that the gateway does what an override says. It does nothing for one that counts no more.
func (b *Store) Done(w Entry) {
	if e := b.entries[w.Host]; e != nil && e.Entry == w {
		e.holds = true
	}
}

// Tick returns what is to be sent. The list is the caller's until the next call.
func (b *Store) Tick(now Time) []Packet {
	b.now = max(b.now, now)
	b.out = b.out[:0]
	say := map[string][]Entry{}    // to be answered, by member
	answer := map[string][]Entry{} // that hold
	for _, host := range slices.Sorted(maps.Keys(b.busy)) {
		e := b.busy[host]
		switch {
		case e.lack != nil && (len(e.lack) == 0 && e.holds || b.now-e.since >= tellFor):
			e.lack = nil
		case e.lack != nil && (e.told == 0 || b.now-e.told >= 2*Step):
			e.told = b.now
			for _, n := range b.others {
				if e.lack[n] {
					say[n] = append(say[n], e.Entry)
				}
			}
		}
		if e.holds {
			for _, n := range e.owed {
				answer[n] = append(answer[n], e.Entry)
			}
			e.owed = nil
		}
		if e.lack == nil && e.owed == nil {
			delete(b.busy, host)
		}
	}
	for _, n := range b.others {
		b.send(n, asks, say[n])
		b.send(n, holds, answer[n])
	}
	if len(b.others) > 0 && (b.now >= b.next || len(b.greet) > 0) {
		to := b.greet
		if b.greet = nil; b.now >= b.next {
			b.age()
			b.turn = (b.turn + 1) % len(b.others)
			to = append(to, b.others[b.turn])
			b.next = b.now + Every
		}
		for _, n := range to {
			b.put(n, message{kind: compares, digests: b.digests})
		}
	}
	b.counts.Sent += int64(len(b.out))
	return b.out
}

// age forgets overrides that call back and are old.
func (b *Store) age() {
	for _, e := range b.entries {
		if !e.Out && b.now-e.since >= keepBack {
			b.forget(e)
		}
	}
}

// send says overrides of one kind to a member.
func (b *Store) send(to string, k kind, entries []Entry) {
	for len(entries) > 0 {
		n := fitting(entries)
		b.put(to, message{kind: k, entries: entries[:n]})
		entries = entries[n:]
	}
}

func (b *Store) put(to string, m message) {
	m.from = b.self
	b.out = append(b.out, Packet{To: to, Data: m.encode()})
}

// Take takes in what another gateway says: what is to be sent at once, and the overrides that count from now on and
// are to be carried out here. Both are the caller's until the next call.
func (b *Store) Take(now Time, data []byte) (out []Packet, entries []Entry) {
	b.now = max(b.now, now)
	b.out = b.out[:0]
	var m message
	if !m.decode(data) {
		b.counts.Strange++
		return nil, nil
	}
	if _, member := slices.BinarySearch(b.others, m.from); !member {
		b.counts.Strange++ // this gateway, or nobody who is known to live
		return nil, nil
	}
	b.counts.Taken++
	var newer []Entry // that the reporter lacks
	for _, w := range m.entries {
		e := b.entries[w.Host]
		switch {
		case e == nil || w.after(e.Entry):
			if e = b.keep(w); e == nil {
				continue
			}
			entries = append(entries, w)
		case e.after(w):
			newer = append(newer, e.Entry)
			continue
		}
		switch { // it counts here, and the reporter has it
		case m.kind == holds:
			delete(e.lack, m.from)
		case m.kind == asks && len(e.owed) < mostOwed && !slices.Contains(e.owed, m.from):
			e.owed = append(e.owed, m.from)
			b.busy[e.Host] = e
		}
	}
	b.send(m.from, tells, newer)
	if m.kind == compares || m.kind == answers {
		b.compare(&m)
	}
	b.counts.Sent += int64(len(b.out))
	return b.out, entries
}

// compare gives the reporter of a digest what it may lack.
func (b *Store) compare(m *message) {
	if m.digests == b.digests {
		return
	}
	var differ [buckets][]Entry
	for host, e := range b.entries {
		if i := bucket(host); m.digests[i] != b.digests[i] {
			differ[i] = append(differ[i], e.Entry)
		}
	}
	var entries []Entry
	for range buckets { // whole buckets, which are alike then; the next difference begins behind them
		if len(entries) >= mostEntries {
			break
		}
		slices.SortFunc(differ[b.from], func(x, y Entry) int { return cmp.Compare(x.Host, y.Host) })
		entries = append(entries, differ[b.from]...)
		b.from = (b.from + 1) % buckets
	}
	b.send(m.from, tells, entries)
	if m.kind == compares { // and the other way round
		b.put(m.from, message{kind: answers, digests: b.digests})
	}
}

// Status is an override as operators are shown it.
type Status struct {
	Entry
	Age   time.Duration // since it came here
	Holds bool          // here
	// Asked says that the members that Lack are known: at the gateway at which it was said, for a while.
	Asked bool
	Lack  []string // live, and have not said that it holds there
	// Away are members that were alive when it was said and are not now: they get it when they return.
	Away []string
}

func (b *Store) status(e *record) Status {
	s := Status{Entry: e.Entry, Age: b.now - e.since, Holds: e.holds, Asked: e.lack != nil}
	for _, n := range slices.Sorted(maps.Keys(e.lack)) {
		if _, alive := slices.BinarySearch(b.others, n); alive {
			s.Lack = append(s.Lack, n)
		} else {
			s.Away = append(s.Away, n)
		}
	}
	return s
}

// Lookup is the override on a host; false: there is none.
func (b *Store) Lookup(now Time, host string) (Status, bool) {
	b.now = max(b.now, now)
	e := b.entries[host]
	if e == nil {
		return Status{}, false
	}
	return b.status(e), true
}

// Status is all overrides by host.
func (b *Store) Status(now Time) (list []Status) {
	b.now = max(b.now, now)
	for _, e := range b.entries {
		list = append(list, b.status(e))
	}
	slices.SortFunc(list, func(x, y Status) int { return cmp.Compare(x.Host, y.Host) })
	return list
}

// Out are the hosts that are out, in order.
func (b *Store) Out() (hosts []string) {
	for _, e := range b.entries {
		if e.Out {
			hosts = append(hosts, e.Host)
		}
	}
	slices.Sort(hosts)
	return hosts
}

// Counts are the totals.
func (b *Store) Counts() Counts { return b.counts }
