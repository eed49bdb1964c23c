// Package edict keeps operators' words on hosts that are meant for the whole fleet: out of use, or back.
//
// What a gateway keeps is one word a host, and of two words the same one counts at all gateways, in
// whatever order and however often they come: the later by version, where each word said is later
// than all that its gateway had heard. Words said on two sides of a cut may be of one version; then out
// counts before back, so that nothing is sent to a host that one side wanted out. A word that was
// held up, by a cut or in a gateway that was stopped, is older than what was said by those who had it,
// and undoes nothing.
//
// The gateway at which a word is said tells all who live until each has said that it holds; the rest
// is anti-entropy: gateways compare digests by turns, and give each other what differs. So a member
// that was cut off has all words within Every of its return and a few round trips, and no packet flows for
// words that all have, but one digest a gateway and Every.
//
// It does no I/O and reads no clock, and knows neither pools nor who may speak: whoever can send it packets is
// believed. A Book is not safe for concurrent use. docs/design/verdicts.md has the bounds.
package edict

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

// Word is what counts of a host.
type Word struct {
	Host    string
	Out     bool   // not to be used
	Version uint64 // 1 and up, by host
	By      string // the gateway at which it was said
}

// after says whether w counts where both were said. It is a total order of the words of one host.
func (w Word) after(o Word) bool {
	if w.Version != o.Version {
		return w.Version > o.Version
	}
	if w.Out != o.Out {
		return w.Out
	}
	return w.By > o.By
}

const (
	// Step is how often Tick is to be called, and how soon an unanswered word is said again.
	Step = 50 * time.Millisecond
	// Every is the time between two digests of one gateway.
	Every = time.Second
	// tellFor is how long a word is said again to those who do not answer. Anti-entropy does it later.
	tellFor = 10 * time.Second
	// keepBack is how long a word that calls back is kept: a word that is held up for longer than
	// that counts again.
	keepBack = 24 * time.Hour
	// MostHosts bounds words kept; those that call back make room first.
	MostHosts = 4096
	// mostOwed bounds members that wait for an answer on one word.
	mostOwed = 512
	buckets  = 64 // of hosts, each with a digest
	// mostWords is from how many words of a difference on no more go out on one digest; the next has the rest.
	mostWords = 256
	// reached is how many members that have come back are asked for their digests at once.
	reached = 3
)

// ErrFull says that there are as many words as are kept.
var ErrFull = errors.New("as many hosts as may be are out by operators' words")

// entry is the word on one host.
type entry struct {
	Word
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
	Dropped              int64 // words for which there was no room
}

// Book is what one gateway keeps.
type Book struct {
	self    string
	now     Time
	words   map[string]*entry
	busy    map[string]*entry // those that somebody is asked about, or asks for
	digests [buckets]uint64
	others  []string // alive, in order
	turn    int      // of others, for the next digest
	next    Time     // when that goes
	from    int      // the bucket with which the next difference begins
	greet   []string // who has just come
	out     []Packet
	counts  Counts
}

// New makes a Book that knows nothing.
func New(self string) *Book {
	return &Book{self: self, words: map[string]*entry{}, busy: map[string]*entry{}}
}

// bucket is where a host's word belongs.
func bucket(host string) int { return int(xxhash.Sum64String(host) % buckets) }

// sum is a word in the digest of its bucket.
func (w Word) sum() uint64 { return xxhash.Sum64(appendWord(nil, w)) }

// View says who else is held alive.
func (b *Book) View(others []string) {
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
func (b *Book) Alive() int { return len(b.others) + 1 }

// Say is an operator's word at this gateway, from now on the one that counts. It is to be carried out here, and Holds
// to be called, like those that Take returns.
func (b *Book) Say(now Time, host string, out bool) (Word, error) {
	b.now = max(b.now, now)
	w := Word{Host: host, Out: out, Version: 1, By: b.self}
	if e := b.words[host]; e != nil {
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

// Adopt takes over a word of the process before, which did it; what is none of a member's, or older than what
// counts, is dropped.
func (b *Book) Adopt(now Time, w Word) {
	b.now = max(b.now, now)
	if e := b.words[w.Host]; !w.valid() || e != nil && !w.after(e.Word) {
		return
	}
	if e := b.keep(w); e != nil {
		e.holds = true
	}
}

// keep takes a word over, later than what there was; nil: there is no room.
func (b *Book) keep(w Word) *entry {
	i, e := bucket(w.Host), b.words[w.Host]
	if e != nil {
		b.digests[i] ^= e.sum()
	} else if len(b.words) >= MostHosts && !b.makeRoom() {
		b.counts.Dropped++
		return nil
	}
	e = &entry{Word: w, since: b.now}
	b.words[w.Host] = e
	delete(b.busy, w.Host) // who asked for the word before it is told of this one
	b.digests[i] ^= e.sum()
	return e
}

// makeRoom forgets the oldest word that calls back.
func (b *Book) makeRoom() bool {
	var oldest *entry
	for _, e := range b.words {
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

func (b *Book) forget(e *entry) {
	b.digests[bucket(e.Host)] ^= e.sum()
	delete(b.words, e.Host)
	delete(b.busy, e.Host)
}

// Holds says that the gateway does what a word says. It does nothing for one that counts no more.
func (b *Book) Holds(w Word) {
	if e := b.words[w.Host]; e != nil && e.Word == w {
		e.holds = true
	}
}

// Tick returns what is to be sent. The list is the caller's until the next call.
func (b *Book) Tick(now Time) []Packet {
	b.now = max(b.now, now)
	b.out = b.out[:0]
	say := map[string][]Word{}    // to be answered, by member
	answer := map[string][]Word{} // that hold
	for _, host := range slices.Sorted(maps.Keys(b.busy)) {
		e := b.busy[host]
		switch {
		case e.lack != nil && (len(e.lack) == 0 && e.holds || b.now-e.since >= tellFor):
			e.lack = nil
		case e.lack != nil && (e.told == 0 || b.now-e.told >= 2*Step):
			e.told = b.now
			for _, n := range b.others {
				if e.lack[n] {
					say[n] = append(say[n], e.Word)
				}
			}
		}
		if e.holds {
			for _, n := range e.owed {
				answer[n] = append(answer[n], e.Word)
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

// age forgets words that call back and are old.
func (b *Book) age() {
	for _, e := range b.words {
		if !e.Out && b.now-e.since >= keepBack {
			b.forget(e)
		}
	}
}

// send says words of one kind to a member.
func (b *Book) send(to string, k kind, words []Word) {
	for len(words) > 0 {
		n := fitting(words)
		b.put(to, message{kind: k, words: words[:n]})
		words = words[n:]
	}
}

func (b *Book) put(to string, m message) {
	m.from = b.self
	b.out = append(b.out, Packet{To: to, Data: m.encode()})
}

// Take takes in what another gateway says: what is to be sent at once, and the words that count from now on and
// are to be carried out here. Both are the caller's until the next call.
func (b *Book) Take(now Time, data []byte) (out []Packet, words []Word) {
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
	var newer []Word // that the teller lacks
	for _, w := range m.words {
		e := b.words[w.Host]
		switch {
		case e == nil || w.after(e.Word):
			if e = b.keep(w); e == nil {
				continue
			}
			words = append(words, w)
		case e.after(w):
			newer = append(newer, e.Word)
			continue
		}
		switch { // it counts here, and the teller has it
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
	return b.out, words
}

// compare gives the teller of a digest what it may lack.
func (b *Book) compare(m *message) {
	if m.digests == b.digests {
		return
	}
	var differ [buckets][]Word
	for host, e := range b.words {
		if i := bucket(host); m.digests[i] != b.digests[i] {
			differ[i] = append(differ[i], e.Word)
		}
	}
	var words []Word
	for range buckets { // whole buckets, which are alike then; the next difference begins behind them
		if len(words) >= mostWords {
			break
		}
		slices.SortFunc(differ[b.from], func(x, y Word) int { return cmp.Compare(x.Host, y.Host) })
		words = append(words, differ[b.from]...)
		b.from = (b.from + 1) % buckets
	}
	b.send(m.from, tells, words)
	if m.kind == compares { // and the other way round
		b.put(m.from, message{kind: answers, digests: b.digests})
	}
}

// Status is a word as operators are shown it.
type Status struct {
	Word
	Age   time.Duration // since it came here
	Holds bool          // here
	// Asked says that the members that Lack are known: at the gateway at which it was said, for a while.
	Asked bool
	Lack  []string // live, and have not said that it holds there
	// Away are members that were alive when it was said and are not now: they get it when they return.
	Away []string
}

func (b *Book) status(e *entry) Status {
	s := Status{Word: e.Word, Age: b.now - e.since, Holds: e.holds, Asked: e.lack != nil}
	for _, n := range slices.Sorted(maps.Keys(e.lack)) {
		if _, alive := slices.BinarySearch(b.others, n); alive {
			s.Lack = append(s.Lack, n)
		} else {
			s.Away = append(s.Away, n)
		}
	}
	return s
}

// Of is the word on a host; false: there is none.
func (b *Book) Of(now Time, host string) (Status, bool) {
	b.now = max(b.now, now)
	e := b.words[host]
	if e == nil {
		return Status{}, false
	}
	return b.status(e), true
}

// Status is all words by host.
func (b *Book) Status(now Time) (list []Status) {
	b.now = max(b.now, now)
	for _, e := range b.words {
		list = append(list, b.status(e))
	}
	slices.SortFunc(list, func(x, y Status) int { return cmp.Compare(x.Host, y.Host) })
	return list
}

// Outs are the hosts that are out, in order.
func (b *Book) Outs() (hosts []string) {
	for _, e := range b.words {
		if e.Out {
			hosts = append(hosts, e.Host)
		}
	}
	slices.Sort(hosts)
	return hosts
}

// Counts are the totals.
func (b *Book) Counts() Counts { return b.counts }
