package frostshift

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"time"

	"frostshift/internal/evidence"
)

// The state a Balancer keeps and its plumbing: lines, pools, random numbers.
// Nothing here decides anything; that is all in balancer.go.

// Balancer decides for one gateway. It is not safe for concurrent use.
type Balancer struct {
	set  Settings
	rng  uint64
	now  Time
	acts []Action

	hosts   []*host // in order of first listing, so that nothing depends on map order
	byID    map[HostID]*host
	banned  map[HostID]bool // taken out by hand, listed or not
	owing   []*host         // called back by hand, and no answer since
	reqs    map[RequestID]*request
	bands   []list[request] // waiting requests, most worth first
	band    [][4]int
	arrived []float64     // requests of late by line, decayed by each
	admit   float64       // share of requests admitted, by worth
	late    evidence.Mean // RTT in aims, weighed by worth
	pressAt Time          // the last answer
	worth   mean          // worth of the requests answered
	queued  int
	stood   Time // how long the gateway itself has stood still in all
	outNow  int  // attempts out at the last sweep or sent since

	aim            Time   // shortest aim of any class
	longAim        Time   // longest
	pass           uint64 // through the hosts, as cards are dealt
	picks          uint64
	heeds          float64         // 1: the pick under way heeds what others have out; 0: it does not
	noise          evidence.Mean   // the same less their host's
	works          evidence.Mean   // logarithms of times over their class's mean, of all hosts
	gap            mean            // seconds between samples of a host
	lat            []mean          // RTT of good answers by class
	all            mean            // RTT of good answers
	kinds          []evidence.Mean // the same of a kind's warm hosts
	warmAt         Time            // when the next of the cold hosts is warm; 0: none is cold
	warm           int             // warm hosts listed
	served         float64         // rate of good answers of a warm host to the fleet, a second, as of servedAt
	servedAt       Time
	servedFrom     Time    // when the first of them was sent
	span           float64 // of served, seconds
	quota          []bucket
	sweepAt        Time
	places         []*host // ready hosts in the order of their places
	near           []*host // scratch of layRing
	ring           []*host // ready hosts in the order of this instance's preference
	backups        int     // hosts that are used only where no other can be
	weighted       bool    // hosts have weights that differ from 1
	nearby         []*host // those of the subset that stand in the own zone, where they are preferred
	shared         Fleet   // who shares the hosts
	subset         int     // how many of them it draws from
	reach          int     // ... with what its own load asks for
	own            float64 // rate of its requests, a second, as of ownAt
	ownAt, ownFrom Time
	sharers        float64 // instances that draw from one host
	fleet          float64 // instances that share the hosts listed
	twins          float64 // processes that are this instance; 0: one
	ready          []*host // scratch of pick
	out            []*host // scratch of pick
	freeReq        []*request
	freeAtt        []*attempt

	watching   bool
	watchAt    Time
	watchFails int
	lines      [logKinds]logLine
}

// host is what this instance knows of one host.
type host struct {
	Host
	listed  HostState // what the list says; State is what holds
	fresh   bool      // no sample yet
	place   uint64    // in the ring
	mine    bool      // it is of the part that may be used while cold
	laid    bool      // it is among the places
	near    bool      // scratch of layRing
	rtt     float64   // peak EWMA in seconds, as of rttAt
	rttAt   Time
	pending int
	streams int           // answers whose bodies flow
	flight  list[attempt] // in the order sent
	heard   Time          // last answer of any kind
	dealt   uint64        // the pass of the deck in which it was last sent something
	slow    evidence.Mean // logarithms of its times over what they usually are
	faulty  bool          // a penalty stands in rtt and has not decayed
	limit   float64       // attempts it may hold from all that share it
	lat     mean          // RTT of answers and time-outs, not decayed
	cutAt   Time          // last cut of the limit

	fails      int  // ejections since the last good answer
	down       bool // it took no connection
	good       int  // answers since its last error
	ejectUntil Time
	trialOut   bool // the one attempt of a host on trial is out
	refusals   int  // connections that failed one after the other
	retryAt    Time // when it may be tried again where all others are down as well

	cold   bool // it started less than WarmAfter ago
	coldAt Time
	credit float64 // sends that the cold budget allows now, as of creditAt
	// staggered says that credit began at this instance's place in the cycle of sends.
	staggered bool
	sharers   float64 // instances that may send to it while cold
	creditAt  Time

	doubt       float64 // by others' outcomes, until doubtUntil
	doubtUntil  Time
	said        bool    // it was ejected for what others said
	waits       bool    // ... and others try it
	others      float64 // attempts that other instances have out there, until othersUntil
	othersUntil Time
}

// flow makes an attempt one whose body flows; stay takes that back, and leave ends either.
func (a *attempt) flow() {
	if !a.away {
		a.away = true
		a.host.flight.remove(&a.link)
		a.host.pending--
		a.host.streams++
	}
}

func (a *attempt) stay() {
	a.away = false
	a.host.flight.pushBack(&a.link)
	a.host.pending++
	a.host.streams--
}

func (a *attempt) leave() {
	if a.away {
		a.host.streams--
	} else {
		a.host.pending--
		a.host.flight.remove(&a.link)
	}
}

// without drops those hosts from a list that are in another, in place.
func without(list, drop []*host) []*host {
	for _, h := range drop {
		h.near = true
	}
	list = slices.DeleteFunc(list, func(h *host) bool { return h.near })
	for _, h := range drop {
		h.near = false
	}
	return list
}

// turn appends the hosts to dst, from this instance's place on.
func (b *Balancer) turn(dst, part []*host) []*host {
	first := int(b.shared.Place * float64(len(part)))
	return append(append(dst, part[first:]...), part[:first]...)
}

// remote says whether a host stands in another zone.
func (b *Balancer) remote(h *host) bool { return h.Zone != b.set.Zone }

// first is the earliest attempt that may have run or is still out, or nil.
func (r *request) first() *attempt {
	for _, a := range r.atts {
		if !a.ended || a.result.mayHaveRun() {
			return a
		}
	}
	return nil
}

func (x Result) mayHaveRun() bool { return x != Full && x != ConnectFailed && x != NotSent }

// byWeight draws a host by weights.
func (b *Balancer) byWeight(from []*host) *host {
	sum := 0.0
	for _, h := range from {
		sum += h.weight()
	}
	at := b.float() * sum
	for _, h := range from {
		if at -= h.weight(); at < 0 {
			return h
		}
	}
	return from[len(from)-1]
}

// ban notes that a host is out by hand, or that it is called back and nothing that was learnt
// of it holds.
func (b *Balancer) ban(id HostID, out bool) {
	h := b.byID[id]
	if out && b.banned == nil {
		b.banned = map[HostID]bool{}
	}
	if out {
		b.banned[id] = true
	} else {
		delete(b.banned, id)
	}
	if h == nil {
		return
	}
	b.paid(h)
	if !out {
		h.fresh, h.rtt, h.rttAt, h.heard = true, 0, b.now, b.now
		h.limit, h.lat, h.cutAt, h.good = limitStart, mean{}, 0, errorGap
		h.fails, h.down, h.ejectUntil, h.trialOut = 0, false, 0, false
		h.refusals, h.retryAt = 0, 0
		b.owing = append(b.owing, h)
	}
}

// until is what was said with an end to its worth.
func (b *Balancer) until(x float64, end Time) float64 {
	if b.now >= end {
		return 0
	}
	return x
}

// paid notes that a host is owed nothing.
func (b *Balancer) paid(h *host) {
	if len(b.owing) > 0 {
		b.owing = slices.DeleteFunc(b.owing, func(o *host) bool { return o == h })
	}
}

func (h *host) weight() float64 {
	if h.Weight > 0 {
		return h.Weight
	}
	return 1
}

// request is a client request with its attempts; it is kept until it has its
// answer and all its attempts have ended.
type request struct {
	Request
	class    *Class
	arrived  Time
	deadline Time
	expires  Time // while it waits: too late to be answered within the aim
	band     int
	out      int // attempts in flight
	done     bool
	bound    bool // a stream has begun, it is that attempt's now
	feeding  bool // its body comes still, on the attempt that is out
	moved    bool // its deadline was, when its body had come
	queued   bool
	link     node[request] // in its line
	atts     []*attempt
}

type attempt struct {
	req    *request
	host   *host
	sent   Time
	hint   float64 // seconds after which the host wants to be asked again; 0: none
	stood  Time    // as of the balancer then
	ended  bool
	result Result
	trial  bool
	away   bool          // not in the host's flight: its time is not the host's
	flows  bool          // its answer's body flows
	link   node[attempt] // at its host
}

// mean is a moving average with deviation; the first sample sets it.
type mean struct {
	mean, dev float64
	seen      bool
	at        Time
}

// add gives a sample a weight of about one tenth.
func (m *mean) add(x float64) { m.blend(x, meanWeight) }

// addAt gives a sample more weight the longer ago the last one is, so that the
// mean is about span old however seldom samples come.
func (m *mean) addAt(x float64, now Time, span float64) {
	w := 1 - math.Exp(-(now-m.at).Seconds()/span)
	m.at = now
	m.blend(x, max(w, meanWeight))
}

func (m *mean) blend(x, w float64) {
	if !m.seen {
		m.mean, m.dev, m.seen = x, x/2, true
		return
	}
	m.dev += w * (math.Abs(x-m.mean) - m.dev)
	m.mean += w * (x - m.mean)
}

// list is a line that its items can leave from anywhere. The items hold their own
// nodes, so that nothing is allocated.
type list[T any] struct{ head, tail *node[T] }

type node[T any] struct {
	item       *T
	prev, next *node[T]
}

func (l *list[T]) pushBack(n *node[T]) {
	if n.prev = l.tail; n.prev != nil {
		n.prev.next = n
	} else {
		l.head = n
	}
	l.tail = n
}

func (l *list[T]) pushFront(n *node[T]) {
	if n.next = l.head; n.next != nil {
		n.next.prev = n
	} else {
		l.tail = n
	}
	l.head = n
}

func (l *list[T]) remove(n *node[T]) {
	if n.prev != nil {
		n.prev.next = n.next
	} else {
		l.head = n.next
	}
	if n.next != nil {
		n.next.prev = n.prev
	} else {
		l.tail = n.prev
	}
	n.prev, n.next = nil, nil
}

type bucket struct {
	tokens, rate float64
	at           Time
}

// forget drops a removed host once nothing of ours is out there. One that started
// lately is kept: on a list that flaps it would come back with new credit.
func (b *Balancer) forget(h *host) {
	if !b.forgotten(h) {
		return
	}
	delete(b.byID, h.ID)
	b.paid(h)
	for i := range b.hosts {
		if b.hosts[i] == h {
			b.hosts = append(b.hosts[:i], b.hosts[i+1:]...)
			return
		}
	}
}

func (b *Balancer) forgotten(h *host) bool {
	return h.State == Removed && h.pending+h.streams == 0 && b.byID[h.ID] == h && !(h.cold && b.now-h.coldAt < b.set.WarmAfter)
}

// forgetAll drops all that can be dropped, in one pass.
func (b *Balancer) forgetAll() {
	b.hosts = slices.DeleteFunc(b.hosts, func(h *host) bool {
		gone := b.forgotten(h)
		if gone {
			delete(b.byID, h.ID)
			b.paid(h)
		}
		return gone
	})
}

// layPlaces keeps the ready hosts in the order of their places. Only those that are new
// are sorted: a list of thousands changes by a few at a time.
func (b *Balancer) layPlaces() {
	b.places = slices.DeleteFunc(b.places, func(h *host) bool {
		h.laid = h.State == Ready && b.byID[h.ID] == h
		return !h.laid
	})
	var fresh []*host
	for _, h := range b.hosts {
		if h.State == Ready && !h.laid {
			h.laid = true
			fresh = append(fresh, h)
		}
	}
	byPlace := func(x, y *host) int { return cmp.Compare(x.place, y.place) }
	slices.SortFunc(fresh, byPlace)
	old := len(b.places)
	b.places = append(b.places, fresh...)
	for i, j, k := old-1, len(fresh)-1, len(b.places)-1; j >= 0; k-- { // from the end, in place
		if i >= 0 && byPlace(b.places[i], fresh[j]) > 0 {
			b.places[k] = b.places[i]
			i--
		} else {
			b.places[k] = fresh[j]
			j--
		}
	}
}

// take uses one request of a tenant's quota; false means the tenant is over it.
func (t *bucket) take(now Time) bool {
	if t.rate <= 0 {
		return true
	}
	t.tokens = min(t.tokens+(now-t.at).Seconds()*t.rate, max(1, t.rate*quotaBurst))
	t.at = now
	if t.tokens < 1 {
		return false
	}
	t.tokens--
	return true
}

// HostCounts is how many hosts are listed, and how many of them get nothing now.
func (b *Balancer) HostCounts(now Time) (listed, away int) {
	b.now = now
	for _, h := range b.hosts {
		if h.State == Removed {
			continue
		}
		listed++
		if h.State != Ready || h.fails > 0 && now < h.ejectUntil {
			away++
		}
	}
	return listed, away
}

// release forgets an ended request once its last attempt has ended.
func (b *Balancer) release(r *request) {
	if !r.done || r.out > 0 {
		return
	}
	delete(b.reqs, r.ID)
	b.freeAtt = append(b.freeAtt, r.atts...)
	b.freeReq = append(b.freeReq, r)
}

// attempt finds one that has not ended, of a request that is owed its answer.
func (b *Balancer) attempt(id RequestID, n int) *attempt {
	if r := b.reqs[id]; r != nil && !r.done && n >= 0 && n < len(r.atts) && !r.atts[n].ended {
		return r.atts[n]
	}
	return nil
}

func (b *Balancer) newRequest() *request {
	n := len(b.freeReq)
	if n == 0 {
		return &request{}
	}
	r := b.freeReq[n-1]
	b.freeReq = b.freeReq[:n-1]
	*r = request{atts: r.atts[:0]}
	return r
}

func (b *Balancer) newAttempt() *attempt {
	n := len(b.freeAtt)
	if n == 0 {
		return &attempt{}
	}
	a := b.freeAtt[n-1]
	b.freeAtt = b.freeAtt[:n-1]
	*a = attempt{}
	return a
}

// push adds a request to its line, at the front or at the back.
func (b *Balancer) push(r *request, front bool) {
	r.queued, r.link.item = true, r
	b.queued++
	if front {
		b.bands[r.band].pushFront(&r.link)
	} else {
		b.bands[r.band].pushBack(&r.link)
	}
}

func (b *Balancer) dequeue(r *request) {
	if r.queued {
		b.bands[r.band].remove(&r.link)
		r.queued = false
		b.queued--
	}
}

// What is logged; each kind is limited by itself.
const (
	logEject = iota
	logReturn
	logFailOpen
	logRefuse
	logShed
	logLost
	logFound
	logKinds
)

// logEvery is the least time between two lines of a kind.
const logEvery = 10 * time.Second

type logLine struct {
	at   Time
	said bool
	held int // lines held back since
}

// log tells those on call, a line of a kind every logEvery at most.
func (b *Balancer) log(kind int, format string, args ...any) {
	l := &b.lines[kind]
	if l.said && b.now-l.at < logEvery {
		l.held++
		return
	}
	text := fmt.Sprintf(format, args...)
	if l.held > 0 {
		text += fmt.Sprintf(" (%d more such lines held back)", l.held)
	}
	*l = logLine{at: b.now, said: true}
	b.act(Action{Kind: Log, Text: text})
}

// RankPosition is the place on a ring of a rank among so many: steps of the golden ratio, made
// coprime to their number, put all as far apart as can be, and any run of ranks nearly.
func RankPosition(rank, of int) float64 {
	gcd := func(x, y int) int {
		for y != 0 {
			x, y = y, x%y
		}
		return x
	}
	step := int(math.Round(float64(of) * (math.Phi - 1)))
	for gcd(step, of) != 1 {
		step++
	}
	return float64(rank*step%of) / float64(of)
}

// nextRand is splitmix64: small, seeded, and the same everywhere.
func (b *Balancer) nextRand() uint64 {
	b.rng += 0x9e3779b97f4a7c15
	return mix(b.rng)
}

// mix scatters the values of a number.
func mix(z uint64) uint64 {
	z = (z ^ z>>30) * 0xbf58476d1ce4e5b9
	z = (z ^ z>>27) * 0x94d049bb133111eb
	return z ^ z>>31
}

func (b *Balancer) rand(n int) int { return int(b.nextRand() >> 33 % uint64(n)) }

func (b *Balancer) float() float64 { return float64(b.nextRand()>>11) / (1 << 53) }

// Drain appends the actions decided since the last call to dst. The balancer
// keeps no reference to what it returns.
func (b *Balancer) Drain(dst []Action) []Action {
	dst = append(dst, b.acts...)
	b.acts = b.acts[:0]
	return dst
}

func (b *Balancer) act(a Action) { b.acts = append(b.acts, a) }

func (b *Balancer) wake(at Time, token uint64) {
	b.act(Action{Kind: Wake, At: at, Token: token})
}

// saidOut is how many hosts are ejected for what others said.
func (b *Balancer) saidOut() (n int) {
	for _, h := range b.hosts {
		if h.said {
			n++
		}
	}
	return n
}
