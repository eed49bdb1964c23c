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
	set     Settings
	rng     uint64
	now     Time
	actions []Action

	hosts            []*host // in order of first listing, so that nothing depends on map order
	byID             map[HostID]*host
	banned           map[HostID]bool // taken out by hand, listed or not
	reinstated       []*host         // called back by hand, and no answer since
	reqs             map[RequestID]*request
	queues           []list[request] // waiting requests, most worth first
	queueOf          [][4]int
	arrivals         []float64     // requests of late by line, decayed by each
	admitted         float64       // share of requests admitted, by worth
	latenessEvidence evidence.Mean // RTT in aims, weighed by worth
	latenessAt       Time          // the last answer
	meanWorth        mean          // worth of the requests answered
	queued           int
	stallTime        Time // how long the gateway itself has stood still in all
	inFlight         int  // attempts out at the last sweep or sent since

	shortestAim            Time   // shortest aim of any class
	longestAim             Time   // longest
	round                  uint64 // through the hosts, as cards are dealt
	pickCount              uint64
	peerLoadFactor         float64         // 1: the pick under way heeds what others have out; 0: it does not
	noise                  evidence.Mean   // the same less their host's
	relativeTimes          evidence.Mean   // logarithms of times over their class's mean, of all hosts
	sampleGap              mean            // seconds between samples of a host
	classRTT               []mean          // RTT of good answers by class
	meanRTT                mean            // RTT of good answers
	kindTimes              []evidence.Mean // the same of a kind's warm hosts
	nextWarmAt             Time            // when the next of the cold hosts is warm; 0: none is cold
	warmHosts              int             // warm hosts listed
	servedRate             float64         // rate of good answers of a warm host to the fleet, a second, as of servedAt
	servedAt               Time
	servedFrom             Time    // when the first of them was sent
	rateSpan               float64 // of served, seconds
	quotas                 []bucket
	sweepAt                Time
	byPosition             []*host // ready hosts in the order of their places
	nearScratch            []*host // scratch of layRing
	ring                   []*host // ready hosts in the order of this instance's preference
	backups                int     // hosts that are used only where no other can be
	weighted               bool    // hosts have weights that differ from 1
	nearSubset             []*host // those of the subset that stand in the own zone, where they are preferred
	fleetInfo              Fleet   // who shares the hosts
	subsetSize             int     // how many of them it draws from
	reach                  int     // ... with what its own load asks for
	ownRate                float64 // rate of its requests, a second, as of ownAt
	ownRateAt, ownRateFrom Time
	sharers                float64 // instances that draw from one host
	fleetSize              float64 // instances that share the hosts listed
	siblings               float64 // processes that are this instance; 0: one
	readyScratch           []*host // scratch of pick
	ejectedScratch         []*host // scratch of pick
	freeRequests           []*request
	freeAttempts           []*attempt

	watching   bool
	watchAt    Time
	watchFails int
	logLines   [logKinds]logLine
}

// host is what this instance knows of one host.
type host struct {
	Host
	listedState   HostState // what the list says; State is what holds
	unsampled     bool      // no sample yet
	position      uint64    // in the ring
	usableCold    bool      // it is of the part that may be used while cold
	positioned    bool      // it is among the places
	marked        bool      // scratch of layRing
	rtt           float64   // peak EWMA in seconds, as of rttAt
	rttAt         Time
	pending       int
	streams       int           // answers whose bodies flow
	inFlight      list[attempt] // in the order sent
	answeredAt    Time          // last answer of any kind
	lastRound     uint64        // the pass of the deck in which it was last sent something
	relativeTimes evidence.Mean // logarithms of its times over what they usually are
	penalized     bool          // a penalty stands in rtt and has not decayed
	limit         float64       // attempts it may hold from all that share it
	recentRTT     mean          // RTT of answers and time-outs, not decayed
	limitCutAt    Time          // last cut of the limit

	ejections         int  // ejections since the last good answer
	down              bool // it took no connection
	answersSinceError int  // answers since its last error
	ejectUntil        Time
	probing           bool // the one attempt of a host on trial is out
	connectFailures   int  // connections that failed one after the other
	retryAt           Time // when it may be tried again where all others are down as well

	cold   bool // it started less than WarmAfter ago
	coldAt Time
	credit float64 // sends that the cold budget allows now, as of creditAt
	// staggered says that credit began at this instance's place in the cycle of sends.
	staggered bool
	sharers   float64 // instances that may send to it while cold
	creditAt  Time

	suspicion      float64 // by others' outcomes, until doubtUntil
	suspicionUntil Time
	ejectedByPeers bool    // it was ejected for what others said
	peersProbe     bool    // ... and others try it
	peerLoad       float64 // attempts that other instances have out there, until othersUntil
	peerLoadUntil  Time
}

// flow makes an attempt one whose body flows; stay takes that back, and leave ends either.
func (a *attempt) startStreaming() {
	if !a.streaming {
		a.streaming = true
		a.host.inFlight.remove(&a.link)
		a.host.pending--
		a.host.streams++
	}
}

func (a *attempt) stopStreaming() {
	a.streaming = false
	a.host.inFlight.pushBack(&a.link)
	a.host.pending++
	a.host.streams--
}

func (a *attempt) leaveHost() {
	if a.streaming {
		a.host.streams--
	} else {
		a.host.pending--
		a.host.inFlight.remove(&a.link)
	}
}

// without drops those hosts from a list that are in another, in place.
func without(list, drop []*host) []*host {
	for _, h := range drop {
		h.marked = true
	}
	list = slices.DeleteFunc(list, func(h *host) bool { return h.marked })
	for _, h := range drop {
		h.marked = false
	}
	return list
}

// turn appends the hosts to dst, from this instance's place on.
func (b *Balancer) appendRotated(dst, hosts []*host) []*host {
	first := int(b.fleetInfo.Place * float64(len(hosts)))
	return append(append(dst, hosts[first:]...), hosts[:first]...)
}

// remote says whether a host stands in another zone.
func (b *Balancer) remote(h *host) bool { return h.Zone != b.set.Zone }

// first is the earliest attempt that may have run or is still out, or nil.
func (r *request) first() *attempt {
	for _, a := range r.attempts {
		if !a.ended || a.result.mayHaveRun() {
			return a
		}
	}
	return nil
}

func (x Result) mayHaveRun() bool { return x != Full && x != ConnectFailed && x != NotSent }

// byWeight draws a host by weights.
func (b *Balancer) drawByWeight(from []*host) *host {
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
func (b *Balancer) setBanned(id HostID, out bool) {
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
	b.dropReinstated(h)
	if !out {
		h.unsampled, h.rtt, h.rttAt, h.answeredAt = true, 0, b.now, b.now
		h.limit, h.recentRTT, h.limitCutAt, h.answersSinceError = initialHostLimit, mean{}, 0, minErrorGap
		h.ejections, h.down, h.ejectUntil, h.probing = 0, false, 0, false
		h.connectFailures, h.retryAt = 0, 0
		b.reinstated = append(b.reinstated, h)
	}
}

// until is what was said with an end to its worth.
func (b *Balancer) unlessExpired(x float64, end Time) float64 {
	if b.now >= end {
		return 0
	}
	return x
}

// paid notes that a host is owed nothing.
func (b *Balancer) dropReinstated(h *host) {
	if len(b.reinstated) > 0 {
		b.reinstated = slices.DeleteFunc(b.reinstated, func(o *host) bool { return o == h })
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
	class         *Class
	arrived       Time
	deadline      Time
	queueDeadline Time // while it waits: too late to be answered within the aim
	queue         int
	inFlight      int // attempts in flight
	done          bool
	committed     bool // a stream has begun, it is that attempt's now
	bodyPending   bool // its body comes still, on the attempt that is out
	deadlineMoved bool // its deadline was, when its body had come
	queued        bool
	link          node[request] // in its line
	attempts      []*attempt
}

type attempt struct {
	req               *request
	host              *host
	sent              Time
	hint              float64 // seconds after which the host wants to be asked again; 0: none
	stallTime         Time    // as of the balancer then
	ended             bool
	result            Result
	probe             bool
	streaming         bool          // not in the host's flight: its time is not the host's
	responseStreaming bool          // its answer's body flows
	link              node[attempt] // at its host
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
	if !b.forgettable(h) {
		return
	}
	delete(b.byID, h.ID)
	b.dropReinstated(h)
	for i := range b.hosts {
		if b.hosts[i] == h {
			b.hosts = append(b.hosts[:i], b.hosts[i+1:]...)
			return
		}
	}
}

func (b *Balancer) forgettable(h *host) bool {
	return h.State == Removed && h.pending+h.streams == 0 && b.byID[h.ID] == h && !(h.cold && b.now-h.coldAt < b.set.WarmAfter)
}

// forgetAll drops all that can be dropped, in one pass.
func (b *Balancer) forgetRemoved() {
	b.hosts = slices.DeleteFunc(b.hosts, func(h *host) bool {
		gone := b.forgettable(h)
		if gone {
			delete(b.byID, h.ID)
			b.dropReinstated(h)
		}
		return gone
	})
}

// layPlaces keeps the ready hosts in the order of their places. Only those that are new
// are sorted: a list of thousands changes by a few at a time.
func (b *Balancer) updatePositions() {
	b.byPosition = slices.DeleteFunc(b.byPosition, func(h *host) bool {
		h.positioned = h.State == Ready && b.byID[h.ID] == h
		return !h.positioned
	})
	var fresh []*host
	for _, h := range b.hosts {
		if h.State == Ready && !h.positioned {
			h.positioned = true
			fresh = append(fresh, h)
		}
	}
	byPlace := func(x, y *host) int { return cmp.Compare(x.position, y.position) }
	slices.SortFunc(fresh, byPlace)
	old := len(b.byPosition)
	b.byPosition = append(b.byPosition, fresh...)
	for i, j, k := old-1, len(fresh)-1, len(b.byPosition)-1; j >= 0; k-- { // from the end, in place
		if i >= 0 && byPlace(b.byPosition[i], fresh[j]) > 0 {
			b.byPosition[k] = b.byPosition[i]
			i--
		} else {
			b.byPosition[k] = fresh[j]
			j--
		}
	}
}

// take uses one request of a tenant's quota; false means the tenant is over it.
func (t *bucket) take(now Time) bool {
	if t.rate <= 0 {
		return true
	}
	t.tokens = min(t.tokens+(now-t.at).Seconds()*t.rate, max(1, t.rate*quotaBurstSeconds))
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
		if h.State != Ready || h.ejections > 0 && now < h.ejectUntil {
			away++
		}
	}
	return listed, away
}

// release forgets an ended request once its last attempt has ended.
func (b *Balancer) release(r *request) {
	if !r.done || r.inFlight > 0 {
		return
	}
	delete(b.reqs, r.ID)
	b.freeAttempts = append(b.freeAttempts, r.attempts...)
	b.freeRequests = append(b.freeRequests, r)
}

// attempt finds one that has not ended, of a request that is owed its answer.
func (b *Balancer) openAttempt(id RequestID, n int) *attempt {
	if r := b.reqs[id]; r != nil && !r.done && n >= 0 && n < len(r.attempts) && !r.attempts[n].ended {
		return r.attempts[n]
	}
	return nil
}

func (b *Balancer) newRequest() *request {
	n := len(b.freeRequests)
	if n == 0 {
		return &request{}
	}
	r := b.freeRequests[n-1]
	b.freeRequests = b.freeRequests[:n-1]
	*r = request{attempts: r.attempts[:0]}
	return r
}

func (b *Balancer) newAttempt() *attempt {
	n := len(b.freeAttempts)
	if n == 0 {
		return &attempt{}
	}
	a := b.freeAttempts[n-1]
	b.freeAttempts = b.freeAttempts[:n-1]
	*a = attempt{}
	return a
}

// push adds a request to its line, at the front or at the back.
func (b *Balancer) push(r *request, front bool) {
	r.queued, r.link.item = true, r
	b.queued++
	if front {
		b.queues[r.queue].pushFront(&r.link)
	} else {
		b.queues[r.queue].pushBack(&r.link)
	}
}

func (b *Balancer) dequeue(r *request) {
	if r.queued {
		b.queues[r.queue].remove(&r.link)
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
	at         Time
	logged     bool
	suppressed int // lines held back since
}

// log tells those on call, a line of a kind every logEvery at most.
func (b *Balancer) log(kind int, format string, args ...any) {
	l := &b.logLines[kind]
	if l.logged && b.now-l.at < logEvery {
		l.suppressed++
		return
	}
	text := fmt.Sprintf(format, args...)
	if l.suppressed > 0 {
		text += fmt.Sprintf(" (%d more such lines held back)", l.suppressed)
	}
	*l = logLine{at: b.now, logged: true}
	b.addAction(Action{Kind: Log, Text: text})
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
	dst = append(dst, b.actions...)
	b.actions = b.actions[:0]
	return dst
}

func (b *Balancer) addAction(a Action) { b.actions = append(b.actions, a) }

func (b *Balancer) setTimer(at Time, token uint64) {
	b.addAction(Action{Kind: Wake, At: at, Token: token})
}

// saidOut is how many hosts are ejected for what others said.
func (b *Balancer) ejectedByPeersCount() (count int) {
	for _, h := range b.hosts {
		if h.ejectedByPeers {
			count++
		}
	}
	return count
}
