// Package hearsay decides what a gateway may hold of hosts by what other gateways say of them, beside
// its own outcomes.
//
// Each gateway tells of its own outcomes only, in numbers; nobody passes on what others said. What
// one teller can move is bounded, so that some who lie, or whose own link is bad, move little; what
// was said is worth nothing beyond its age, nor about another start of the host. The verdicts are of
// two kinds: a doubt from 0 to 1, by a sequential test on all tellers' outcomes together, and down,
// by refused connections that several tellers met while hardly anybody was answered. Who uses them decides
// what follows: docs/design/verdicts.md has the bounds.
//
// It does no I/O and reads no clock; instants and packets are handed in, and the same code runs on
// sockets and in a simulation. It knows hosts by number and results of attempts, and neither pools nor requests. A Book is
// not safe for concurrent use.
//
// hearsay.go is what is held and judged, packet.go what gateways say to each other.
package hearsay

import (
	"cmp"
	"encoding/binary"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"frostshift"
)

// Time is an instant on one process's clock, which never goes backward. Clocks of different
// processes are not compared: what is said bears its age.
type Time = time.Duration

// HostID is a host, by a number that all gateways make alike of its name.
type HostID uint64

// Outcome is how an attempt ended, as far as it tells of its host.
type Outcome uint8

// Outcomes.
const (
	Answered Outcome = iota // with a good answer
	Erred                   // with an error that is held against the host
	Refused                 // no connection
	Broke                   // the connection broke, or nothing came in time
)

var outcomeNames = [...]string{"answered", "an error", "refused", "broke"}

func (o Outcome) String() string { return outcomeNames[min(int(o), len(outcomeNames)-1)] }

// Classes is how many kinds of request are told apart. A host that fails one and serves another is
// not doubted: the fault is that kind's, or a team's.
const Classes = 3

// OutcomeOf is a result as the balancer has it; false: it tells nothing of the host.
func OutcomeOf(r frostshift.Result) (o Outcome, says bool) {
	switch r {
	case frostshift.OK:
		return Answered, true
	case frostshift.Failed:
		return Erred, true
	case frostshift.ConnectFailed:
		return Refused, true
	case frostshift.Reset, frostshift.TimedOut:
		return Broke, true
	}
	return 0, false
}

// Config is what a Book is made of. All gateways have the same Lasts.
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
	// One teller moves a sum by this at most, either way: fewer than three make no whole doubt.
	tellerMost = sure / 3
	// proofs is how many tellers must have been refused for a host to be held down; all where fewer
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
	everyParts = 15 // ... and a Book looks
	doubtParts = 32 // a doubt is told in parts
	// mostTold bounds hosts that one packet speaks of, and mostHosts and mostTellers what is kept.
	mostTold    = 16
	mostHosts   = 1 << 14
	mostTellers = 512
	// oddPart is the part of the hosts it has met, two at least, that a gateway alone finds bad from
	// which on it doubts itself.
	oddPart = 0.3
)

var (
	failureSpeaks = math.Log(badFails / soundFails)
	answerSpeaks  = math.Log((1 - badFails) / (1 - soundFails))
)

// tally is outcomes of one teller at one host, fading.
type tally struct {
	// good and bad are by what they speak of: whether there are connections and answers at all, and
	// then the classes' answers and errors.
	good, bad [1 + Classes]float64
	last      Outcome // of the latest attempt, Answered for Erred
	at        Time    // when that ended, on this clock
	faded     Time
	// refused is when the latest attempt was that had no connection, and from since when, without a
	// pause of as long as words count, there have been; 0: never.
	refused, from Time
}

// run brings from and refused on from an earlier tally of the same teller.
func (t *tally) run(old *tally, pause time.Duration) {
	if old != nil {
		t.refused, t.from = old.refused, old.from
	}
	if t.last == Refused {
		if t.refused == 0 || t.at-t.refused >= pause {
			t.from = t.at
		}
		t.refused = max(t.at, 1)
	}
}

func (t *tally) fade(now Time, lasts time.Duration) {
	if dt := now - t.faded; dt > 0 {
		part := math.Exp(-float64(dt) / float64(lasts))
		for i := range t.good {
			t.good[i] *= part
			t.bad[i] *= part
		}
		t.faded = now
	}
}

// speaks is for how much a tally stands in one of the sums.
func (t *tally) speaks(i int) float64 {
	return min(max(t.bad[i]*failureSpeaks+t.good[i]*answerSpeaks, -tellerMost), tellerMost)
}

// troubled says whether the tally has anything against the host.
func (t *tally) troubled() bool {
	for _, n := range t.bad {
		if n >= 0.1 {
			return true
		}
	}
	return false
}

// host is what is held of one start of a host.
type host struct {
	id      HostID
	started int64
	own     tally
	met     bool              // own has anything
	said    map[string]*tally // by teller
	told    Time              // when this gateway spoke of it last; 0: never
	asked   Time              // when somebody spoke against it last
	down    Time              // since when it is held down; 0: it is not
	verdict Verdict
}

// Verdict is what may be held of a host.
type Verdict struct {
	Host    HostID
	Started int64
	Doubt   float64 // from 0 to 1
	Down    bool    // several were refused, and hardly anybody was answered since
	Wait    bool    // with Down: others try it, and this gateway need not
	Tellers int     // others that it rests on
	Refused int     // of all, this gateway included; 0 where too many were answered since
	Until   Time    // it is worth nothing later
}

// Counts are totals since the start.
type Counts struct {
	Sent, Taken, Strange int64 // packets; Strange ones could not be read or were nobody's
}

// Book is what one gateway holds of hosts.
type Book struct {
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

// New makes a Book that knows nothing.
func New(c Config) *Book {
	c.Lasts, c.Classes = cmp.Or(c.Lasts, defaultLasts), max(c.Classes, 1)
	return &Book{cfg: c, hosts: map[HostID]*host{}}
}

func (b *Book) span() time.Duration { return spanLasts * b.cfg.Lasts }

// Every is how often Tick is to be called.
func (b *Book) Every() time.Duration { return b.cfg.Lasts / everyParts }

// Member is another gateway.
type Member struct{ Name, Zone string }

// View says who else is held alive.
func (b *Book) View(others []Member) {
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
func (b *Book) List(now Time, list map[HostID]int64) {
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
func (b *Book) Saw(now Time, id HostID, class int, o Outcome, took time.Duration) {
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
func (b *Book) Tick(now Time) (out []Packet, changed []Verdict) {
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
		if h.met && b.now-h.own.at < b.cfg.Lasts && h.own.troubled() && h.own.speaks(0) > tellerMost/2 && b.contradicted(h) {
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
func (b *Book) Odd() bool { return b.odd }

// contradicted says whether others, one at least, have had answers where this gateway has none.
func (b *Book) contradicted(h *host) bool {
	for _, t := range h.said {
		if t.last == Answered && t.good[0] >= 0.5 && t.at > h.own.at-b.cfg.Lasts/2 {
			return true
		}
	}
	return false
}

// turn orders gateways by who is to try a host that is down, for each host in another way.
func (b *Book) turn(h HostID, name string) uint64 {
	var key [8]byte
	binary.BigEndian.PutUint64(key[:], uint64(h))
	return xxhash.Sum64(append(key[:], name...))
}

// voice is what one teller, or this gateway, met at a host.
type voice struct {
	*tally
	turn uint64 // when it is to try the host, among all
	zone string // its gateway's
}

// voices are all that count of a host, this gateway's own first.
func (b *Book) voices(h *host) (list []voice) {
	if h.met && b.now-h.own.at < b.span() {
		h.own.fade(b.now, b.span())
		list = append(list, voice{&h.own, b.turn(h.id, b.cfg.Self), b.cfg.Zone})
	}
	for _, name := range slices.Sorted(maps.Keys(h.said)) { // sums of floats depend on their order
		t := h.said[name]
		if b.now-t.at >= b.span() {
			delete(h.said, name)
			continue
		}
		t.fade(b.now, b.span())
		list = append(list, voice{t, b.turn(h.id, name), b.zones[name]})
	}
	return list
}

// here are those whose connections tell whether the host is there for this gateway: of its zone, for a cut between
// zones leaves a host to those on its side. Those of all zones tell where this one has too few gateways, and
// where some of two zones at least were refused and too few of this one have met it.
func (b *Book) here(list []voice) []voice {
	var near []voice
	refused, zones := "", 0
	for _, v := range list {
		if v.zone == b.cfg.Zone {
			near = append(near, v)
		}
		if v.last == Refused && (zones == 0 || v.zone != refused) {
			refused = v.zone
			zones++
		}
	}
	if len(near) >= proofs || b.near+1 >= proofs && zones < 2 {
		return near
	}
	return list
}

// judge is the verdict on a host.
func (b *Book) judge(h *host) Verdict {
	v := Verdict{Host: h.id, Started: h.started}
	list := b.voices(h)
	if v.Tellers = len(list); h.met && v.Tellers > 0 && list[0].tally == &h.own {
		v.Tellers--
	}
	if v.Tellers == 0 {
		return v // its own outcomes are not hearsay
	}
	gone, refused, back := b.connections(b.here(list))
	errs := b.errors(list)
	if h.met { // own answers stand against what others say
		own := 0.0
		for i := 1; i <= Classes; i++ {
			own += h.own.speaks(i)
		}
		gone *= 1 + min(h.own.speaks(0), 0)/tellerMost
		errs *= max(0, 1+min(own, 0)/tellerMost)
	}
	v.Doubt = min(max(gone, errs)/sure, 1)
	v.Doubt = math.Round(v.Doubt*doubtParts) / doubtParts
	v.Refused = len(refused)
	if v.Down = v.Refused >= max(2, min(proofs, len(b.others)+1)); !v.Down {
		h.down = 0
	} else if h.down == 0 {
		h.down = b.now
	}
	if v.Down {
		v.Wait = b.waits(h, refused, back)
	}
	if v.Doubt > 0 || v.Down {
		v.Until = b.now + b.cfg.Lasts
	}
	return v
}

// connections is how far connections speak against a host, by whom it is held to be gone (nobody, where it
// is not), and how many had an answer after the last refusal of all.
func (b *Book) connections(list []voice) (sum float64, refused []voice, back int) {
	var answered []voice
	for _, v := range list {
		switch v.last {
		case Refused:
			refused = append(refused, v)
			continue
		case Answered:
			answered = append(answered, v)
		}
		sum += v.speaks(0)
	}
	if len(refused) == 0 {
		return max(sum, 0), nil, 0
	}
	// Refusals stand where they are more than twice the answers since the host is held to have gone, by
	// the median of those who say so: it may be back, or reached by some, and who has said so for long
	// while others were answered may lie.
	last := slices.MaxFunc(refused, func(x, y voice) int { return cmp.Compare(x.at, y.at) }).at
	slices.SortFunc(refused, func(x, y voice) int { return cmp.Compare(x.from, y.from) })
	since, against := refused[len(refused)/2].from, 0
	for _, v := range answered {
		if v.at >= since {
			against++
		}
		if v.at > last {
			back++
		}
	}
	if len(refused) <= 2*against || back >= min(saidBack, len(b.others)) {
		return max(sum, 0), nil, back
	}
	for _, v := range refused {
		sum += v.speaks(0)
	}
	return max(sum, 0), refused, back
}

// errors is how far errors speak against a host. What fails in one class alone, or is served well in another, is not
// the host's fault: more than one teller's word is needed for either.
func (b *Book) errors(list []voice) float64 {
	sum, worst := 0.0, 0.0
	for i := 1; i <= Classes; i++ {
		class := 0.0
		for _, v := range list {
			class += v.speaks(i)
		}
		if class <= -tellerMost {
			return 0
		}
		worst = max(worst, class)
		sum += class
	}
	if b.cfg.Classes > 1 && sum-worst < tellerMost {
		return 0
	}
	return max(sum, 0)
}

// waits says whether others try a host that is down, by whose turn it is among those who were refused.
func (b *Book) waits(h *host, refused []voice, back int) bool {
	mine := b.turn(h.id, b.cfg.Self)
	at := float64(mine) / math.MaxUint64
	if h.met && h.own.last == Refused && b.now-h.own.at < b.span()+time.Duration(at*ownSpans*float64(b.span())) {
		before := 0
		for _, v := range refused {
			if v.turn < mine {
				before++
			}
		}
		return before >= tries*(1+back)
	}
	// It is all hearsay, or long ago.
	return b.now-h.down < b.cfg.Lasts+time.Duration(at*float64(b.span()))
}

// mayTell says whether a host is to be spoken of now: where there is something against it, by this
// gateway or by others, so that answers speak too.
func (b *Book) mayTell(h *host) bool {
	if again := b.now - h.told; !h.met || b.odd || b.now-h.own.at >= b.span() || h.told > 0 && (again < b.cfg.Lasts/tellParts || again < b.cfg.Lasts && h.own.at <= h.told && h.own.last != Refused) {
		return false
	}
	if h.own.troubled() { // once all know, one more says nothing new but who tries it
		return !(h.verdict.Down && h.verdict.Refused > 2*proofs && h.verdict.Wait || h.verdict.Doubt == 1 && h.verdict.Tellers > 4*proofs)
	}
	return h.asked > 0 && b.now-h.asked < b.cfg.Lasts && h.own.last == Answered
}

// tell speaks of hosts to all others, as many in a packet as go.
func (b *Book) tell(list []*host) {
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
func (b *Book) Take(now Time, data []byte) {
	b.now = max(b.now, now)
	var m message
	if !m.decode(data) || m.from == b.cfg.Self {
		b.counts.Strange++
		return
	}
	if _, member := slices.BinarySearch(b.others, m.from); !member {
		b.counts.Strange++ // nobody who is known to live: a name alone must not add a teller
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
		if old == nil && len(h.said) >= mostTellers || old != nil && at < old.at-b.cfg.Lasts/everyParts/4 {
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
func (b *Book) Counts() Counts { return b.counts }

// Said is what one teller says of a host, for operators.
type Said struct {
	Teller    string
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
func (b *Book) Status(now Time) (list []Status) {
	b.now = max(b.now, now)
	said := func(name string, t *tally) Said {
		s := Said{Teller: name, Age: b.now - t.at, Last: t.last}
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
