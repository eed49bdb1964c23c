// Package hosthealth decides what a gateway may hold of hosts by what other gateways say of them, beside
// its own outcomes.
//
// Each gateway tells of its own outcomes only, in numbers; nobody passes on what others said. What
// one reporter can move is bounded, so that some who lie, or whose own link is bad, move little; what
// was said is worth nothing beyond its age, nor about another start of the host. The verdicts are of
// two kinds: a doubt from 0 to 1, by a sequential test on all reporters' outcomes together, and down,
// by refused connections that several reporters met while hardly anybody was answered. Who uses them decides
// what follows: docs/design/verdicts.md has the bounds.
//
// It does no I/O and reads no clock; instants and packets are handed in, and the same code runs on
// sockets and in a simulation. It knows hosts by number and results of attempts, and neither pools nor requests. A Store is
// not safe for concurrent use.
//
// hosthealth.go is what is held and judged, packet.go what gateways say to each other.
package hosthealth

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"
)

// Time is an instant on one process's clock, which never goes backward. Clocks of different
// processes are not compared: what is said bears its age.
type Time = time.Duration

// HostID is a host, by a number that all gateways make alike of its name.
type HostID uint64

// Classes is how many kinds of request are told apart. A host that fails one and serves another is
// not doubted: the fault is that kind's, or a team's.
const Classes = 3

// Config is what a Store is made of. All gateways have the same Lasts.
type Config struct {
	Self string
	// Zone is this gateway's. Whether a host is there is judged by those of one zone, where they are enough. "": by all.
	Zone string
	// Lasts is how long a verdict holds where nothing more is heard; 0: 3 s. What was said fades over
	// four times that, and ends at that age.
	Lasts time.Duration
	// Classes is how many kinds of request there are; 0: one. Where there are several, errors of one
	// alone speak against nobody.
	Classes int
}

const (
	defaultLasts = 3 * time.Second
	// The sequential test: a host in order fails one attempt in fifty, one that is not one in five.
	// Each failure speaks by the logarithm of how much likelier it is of the second, and so does each
	// answer. From sure on a host is doubted whole: wrongly so with e^-sure, 1 in 10,000 (Wald 1945).
	soundFails = 0.02
	badFails   = 0.2
	sure       = 9.2
	// One reporter moves a sum by this at most, either way: fewer than three make no whole doubt.
	reporterMost = sure / 3
	// proofs is how many reporters must have been refused for a host to be held down; all where fewer
	// live, this gateway included.
	proofs = 3
	// tries is how many of those who were refused by a host that is down try it for all, and as many more for
	// each of them that was answered. Who was not refused himself waits for Lasts and a part by turns of the time that words
	// count: so long some who lie can keep him from trying. Who was looks again after that time and up to ownSpans
	// more of it. saidBack answers after the last refusal of all end the verdict.
	tries      = 2
	ownSpans   = 3
	saidBack   = 2
	spanLasts  = 4  // outcomes fade over so many times Lasts
	tellParts  = 4  // how often within Lasts what still holds is said again
	everyParts = 15 // ... and a Store looks
	doubtParts = 32 // a doubt is told in parts
	// mostTold bounds hosts that one packet speaks of, and mostHosts and mostReporters what is kept.
	mostTold      = 16
	mostHosts     = 1 << 14
	mostReporters = 512
	// oddPart is the part of the hosts it has met, two at least, that a gateway alone finds bad from
	// which on it doubts itself.
	oddPart = 0.3
)

var (
	failureSpeaks = math.Log(badFails / soundFails)
	answerSpeaks  = math.Log((1 - badFails) / (1 - soundFails))
)

// host is what is held of one start of a host.
type host struct {
	id      HostID
	started int64
	own     tally
	met     bool              // own has anything
	said    map[string]*tally // by reporter
	told    Time              // when this gateway spoke of it last; 0: never
	asked   Time              // when somebody spoke against it last
	down    Time              // since when it is held down; 0: it is not
	verdict Verdict
}

// Verdict is what may be held of a host.
type Verdict struct {
	Host      HostID
	Started   int64
	Doubt     float64 // from 0 to 1
	Down      bool    // several were refused, and hardly anybody was answered since
	Wait      bool    // with Down: others try it, and this gateway need not
	Reporters int     // others that it rests on
	Refused   int     // of all, this gateway included; 0 where too many were answered since
	Until     Time    // it is worth nothing later
}

// Counts are totals since the start.
type Counts struct {
	Sent, Taken, Strange int64 // packets; Strange ones could not be read or were nobody's
}

// Store is what one gateway holds of hosts.
type Store struct {
	cfg    Config
	now    Time
	hosts  map[HostID]*host
	others []string // that are held alive
	zones  map[string]string
	near   int // of them, those of this gateway's zone
	out    []Packet
	odd    bool
	counts Counts
}

// New makes a Store that knows nothing.
func New(c Config) *Store {
	c.Lasts, c.Classes = cmp.Or(c.Lasts, defaultLasts), max(c.Classes, 1)
	return &Store{cfg: c, hosts: map[HostID]*host{}}
}

func (b *Store) span() time.Duration { return spanLasts * b.cfg.Lasts }

// Every is how often Tick is to be called.
func (b *Store) Every() time.Duration { return b.cfg.Lasts / everyParts }

// Member is another gateway.
type Member struct{ Name, Zone string }

// View says who else is held alive.
func (b *Store) View(others []Member) {
	b.others, b.zones, b.near = nil, map[string]string{}, 0
	for _, m := range others {
		if m.Name != b.cfg.Self {
			b.others = append(b.others, m.Name)
			b.zones[m.Name] = m.Zone
		}
	}
	slices.Sort(b.others)
	b.others = slices.Compact(b.others)
	for _, n := range b.others {
		if b.zones[n] == b.cfg.Zone {
			b.near++
		}
	}
}

// List is the hosts that there are, and when each started (0: long ago), by a number that is the same
// at all gateways. What was held of another start, or of a host that is not there, is forgotten.
func (b *Store) List(now Time, list map[HostID]int64) {
	b.now = max(b.now, now)
	for id, h := range b.hosts {
		if started, there := list[id]; !there || started != h.started {
			delete(b.hosts, id)
		}
	}
	for id, started := range list {
		if b.hosts[id] == nil && len(b.hosts) < mostHosts {
			b.hosts[id] = &host{id: id, started: started, said: map[string]*tally{}}
		}
	}
}

// Saw notes an own attempt at a host, of a class, and how long it took. One that broke, or had no answer, says nothing
// where another that ended meanwhile had one: the host answers, if not all.
func (b *Store) Saw(now Time, id HostID, class int, o Outcome, took time.Duration) {
	b.now = max(b.now, now)
	h := b.hosts[id]
	if h == nil {
		return
	}
	t := &h.own
	if o == Broke && h.met && t.last == Answered && t.at > b.now-took {
		return
	}
	t.fade(b.now, b.span())
	h.met, t.at = true, b.now
	slot := 1 + class%Classes
	if t.last == Refused && o < Refused {
		t.bad[0] = 0 // it was not there, and is
	}
	switch o {
	case Answered:
		t.good[0]++
		t.good[slot]++
	case Erred: // it answers
		t.good[0]++
		t.bad[slot]++
		o = Answered
	default:
		t.bad[0]++
	}
	t.last = o
	t.run(t, b.span())
}

// Tick looks at what is held, and returns what is to be sent and the verdicts that have changed. The
// lists are the caller's until the next call.
func (b *Store) Tick(now Time) (out []Packet, changed []Verdict) {
	b.now = max(b.now, now)
	b.out = b.out[:0]
	alone, met := 0, 0
	var concern []HostID // hosts that anybody speaks against, or did
	for id, h := range b.hosts {
		if h.met && b.now-h.own.at < b.cfg.Lasts {
			met++
		}
		if len(h.said) > 0 || h.verdict.Until > 0 || h.met && h.own.troubled() {
			concern = append(concern, id)
		}
	}
	slices.Sort(concern) // one order: the same events lead to the same packets
	var tell []*host
	for _, id := range concern {
		h := b.hosts[id]
		v := b.judge(h)
		if v.Doubt != h.verdict.Doubt || v.Down != h.verdict.Down || v.Wait != h.verdict.Wait || v.Until > 0 && h.verdict.Until-b.now < b.cfg.Lasts/2 {
			changed = append(changed, v)
		} else {
			v.Until = h.verdict.Until
		}
		h.verdict = v
		if h.met && b.now-h.own.at < b.cfg.Lasts && h.own.troubled() && h.own.speaks(0) > reporterMost/2 && b.contradicted(h) {
			alone++
		}
		if b.mayTell(h) {
			tell = append(tell, h)
		}
	}
	b.odd = alone >= 2 && float64(alone) >= oddPart*float64(met)
	b.tell(tell)
	b.counts.Sent += int64(len(b.out))
	return b.out, changed
}

// Odd says that this gateway alone finds several hosts bad: its own link or processor is likelier the
// cause. It tells nobody anything then.
func (b *Store) Odd() bool { return b.odd }

// mayTell says whether a host is to be spoken of now: where there is something against it, by this
// gateway or by others, so that answers speak too.
func (b *Store) mayTell(h *host) bool {
	if again := b.now - h.told; !h.met || b.odd || b.now-h.own.at >= b.span() || h.told > 0 && (again < b.cfg.Lasts/tellParts || again < b.cfg.Lasts && h.own.at <= h.told && h.own.last != Refused) {
		return false
	}
	if h.own.troubled() { // once all know, one more says nothing new but who tries it
		return !(h.verdict.Down && h.verdict.Refused > 2*proofs && h.verdict.Wait || h.verdict.Doubt == 1 && h.verdict.Reporters > 4*proofs)
	}
	return h.asked > 0 && b.now-h.asked < b.cfg.Lasts && h.own.last == Answered
}

// tell speaks of hosts to all others, as many in a packet as go.
func (b *Store) tell(list []*host) {
	if len(b.others) == 0 {
		return
	}
	for part := range slices.Chunk(list, mostTold) {
		m := message{from: b.cfg.Self}
		for _, h := range part {
			h.told = b.now
			m.reports = append(m.reports, report{host: h.id, started: h.started, age: b.now - h.own.at, tally: h.own})
		}
		data := m.encode()
		for _, to := range b.others {
			b.out = append(b.out, Packet{To: to, Data: data})
		}
	}
}

// Take takes in what another gateway says. What is strange is counted and dropped.
func (b *Store) Take(now Time, data []byte) {
	b.now = max(b.now, now)
	var m message
	if !m.decode(data) || m.from == b.cfg.Self {
		b.counts.Strange++
		return
	}
	if _, member := slices.BinarySearch(b.others, m.from); !member {
		b.counts.Strange++ // nobody who is known to live: a name alone must not add a reporter
		return
	}
	b.counts.Taken++
	for i := range m.reports {
		r := &m.reports[i]
		at := b.now - r.age
		if r.age >= b.span() {
			continue
		}
		h := b.hosts[r.host]
		if h == nil || r.started != h.started {
			continue
		}
		old := h.said[m.from]
		if old == nil && len(h.said) >= mostReporters || old != nil && at < old.at-b.cfg.Lasts/everyParts/4 {
			continue // it came late: a later word is held
		}
		t := r.tally
		t.at, t.faded = at, b.now
		t.run(old, b.span())
		h.said[m.from] = &t
		if t.troubled() {
			h.asked = b.now
		}
	}
}

// Counts are the totals.
func (b *Store) Counts() Counts { return b.counts }

// Said is what one reporter says of a host, for operators.
type Said struct {
	Reporter  string
	Age       time.Duration
	Good, Bad float64 // outcomes, fading
	Last      Outcome
}

// Status is a host that anything is said of, for operators.
type Status struct {
	Verdict
	Own  Said
	Said []Said
}

// Status is what is held of hosts that somebody speaks against, by number.
func (b *Store) Status(now Time) (list []Status) {
	b.now = max(b.now, now)
	said := func(name string, t *tally) Said {
		s := Said{Reporter: name, Age: b.now - t.at, Last: t.last}
		for i := range t.good {
			s.Good += t.good[i]
			s.Bad += t.bad[i]
		}
		s.Good -= t.good[0] // each answer counts there once more
		return s
	}
	for _, id := range slices.Sorted(maps.Keys(b.hosts)) {
		h := b.hosts[id]
		if len(h.said) == 0 && !h.own.troubled() {
			continue
		}
		s := Status{Verdict: h.verdict, Own: said(b.cfg.Self, &h.own)}
		for _, name := range slices.Sorted(maps.Keys(h.said)) {
			s.Said = append(s.Said, said(name, h.said[name]))
		}
		list = append(list, s)
	}
	return list
}
