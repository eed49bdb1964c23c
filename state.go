package frostshift

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"time"

	"frostshift/internal/evidence"
)

// This file contains the state of a Balancer and its helpers: queues, object pools, random numbers.
// It contains no decision logic; that is in balancer.go.

// Balancer makes the decisions for one gateway. It is not safe for concurrent use.
type Balancer struct {
	set     Settings
	rng     uint64   // state of the random number generator
	now     Time     // time of the event in progress
	actions []Action // collected since the last Drain

	hosts       []*host // in order of first listing, so that nothing depends on map order
	byID        map[HostID]*host
	banned      map[HostID]bool // taken out of service by an operator, listed or not
	reinstated  []*host         // put back into service by an operator, no answer since
	requestByID map[RequestID]*request
	queues      []list[request] // waiting requests, highest worth first
	queueOf     [][4]int        // index in queues by class and queueBits
	arrivals    []float64       // recent requests by queue, decayed by each request
	admitted    float64         // admitted share of requests, in order of worth
	relativeRTT evidence.Mean   // RTT in aims, weighted by worth
	latenessAt  Time            // time of the last answer in relativeRTT
	meanWorth   mean            // worth of the answered requests
	queued      int             // requests in all queues
	stallTime   Time            // total time that the gateway itself was stalled
	inFlight    int             // attempts in flight at the last sweep, plus those sent since

	shortestAim            Time            // of all classes
	longestAim             Time            // of all classes
	round                  uint64          // number of the selection round through the hosts
	pickCount              uint64          // calls of pick
	peerLoadFactor         float64         // 1 if the pick in progress counts the attempts of peers, else 0
	noise                  evidence.Mean   // relative times less the mean of their host
	allRelativeTimes       evidence.Mean   // logarithms of time / mean time of the class, of all hosts
	sampleGap              mean            // seconds between samples of a host
	classRTT               []mean          // RTT of good answers by class, in seconds
	meanRTT                mean            // RTT of good answers, in seconds
	kindTimes              []evidence.Mean // the relative times of hosts by kind of host, of warm hosts only
	nextWarmAt             Time            // when the next cold host is warm; 0: no host is cold
	warmHosts              int             // ready hosts that are warm, ejected ones included
	servedRate             float64         // good answers per second of one warm host to the fleet, as of servedAt
	servedAt               Time
	servedFrom             Time     // send time of the first answer counted in servedRate
	rateSpan               float64  // averaging time of servedRate and ownRate, in seconds
	quotas                 []bucket // by tenant
	sweepAt                Time     // when the next sweep is due; 0: none is scheduled
	byPosition             []*host  // ready hosts in the order of their positions
	nearHosts              []*host  // scratch of rebuildRing: ready hosts in the own zone
	ring                   []*host  // ready hosts in the order of preference of this instance
	backups                int      // ready hosts that are used only where no other can be
	weighted               bool     // some host has a weight other than 1
	nearSubset             []*host  // hosts of the subset in the own zone, if those are preferred
	fleetInfo              Fleet    // instances that share the hosts
	subsetSize             int      // hosts at the head of ring that form the subset
	reach                  int      // hosts at the head of ring that requests may go to: subset or more
	ownRate                float64  // requests per second to this instance, as of ownRateAt
	ownRateAt, ownRateFrom Time
	sharers                float64    // instances that use the same host
	fleetSize              float64    // instances that share the listed hosts
	siblings               float64    // processes of this gateway (hot restart); 0: one
	readyScratch           []*host    // scratch of pick: ready hosts
	ejectedScratch         []*host    // scratch of pick: ejected hosts
	freeRequests           []*request // pool
	freeAttempts           []*attempt // pool

	watching   bool // host list and changes arrive
	watchAt    Time // when the next watch is due
	watchFails int  // failed watches in a row
	logLines   [logKinds]logLine
}

// host is the state of one host as this instance knows it.
type host struct {
	Host
	listedState     HostState // state in the host list; State also reflects operators' orders
	unsampled       bool      // no RTT sample yet
	position        uint64    // on the ring
	usableCold      bool      // this instance may use the host while it is cold
	positioned      bool      // the host is in Balancer.byPosition
	marked          bool      // scratch of without
	rtt             float64   // peak EWMA of the RTT in seconds, as of rttAt
	rttAt           Time
	pending         int           // attempts in flight whose body is not streaming
	streams         int           // attempts whose request or answer body is streaming
	pendingAttempts list[attempt] // the pending attempts in the order sent
	answeredAt      Time          // last answer of any kind
	lastRound       uint64        // selection round in which the host was last used
	relativeTimes   evidence.Mean // logarithms of time / mean time of the class, less the mean of all hosts
	penalized       bool          // rtt holds a penalty that has not decayed yet
	limit           float64       // in-flight limit, in attempts of all sharers
	recentRTT       mean          // RTT of answers and time-outs in seconds, not decayed
	limitCutAt      Time          // last cut of limit

	ejections         int  // in a row, without an answer in between
	down              bool // it refused connections when last tried, here or by peers
	answersSinceError int  // good answers since the last error
	ejectUntil        Time
	probing           bool // a probe of the host is in flight
	connectFailures   int  // failed connections in a row
	retryAt           Time // earliest connection attempt while all other hosts are down too

	cold   bool    // the host started less than WarmAfter ago
	coldAt Time    // its start
	credit float64 // sends that the cold budget allows now, as of creditAt
	// staggered is set once credit has been initialized from cycleOffset.
	staggered bool
	sharers   float64 // instances that may send to it while cold
	creditAt  Time

	suspicion      float64 // from 0 to 1, reported by peers, until suspicionUntil
	suspicionUntil Time
	ejectedByPeers bool    // ejected because of reports by peers
	peersProbe     bool    // ... and left to peers to probe
	peerLoad       float64 // in-flight attempts reported by peers, until peerLoadUntil
	peerLoadUntil  Time
}

// startStreaming moves an attempt whose body is streaming from the pending attempts of its host to the
// streams. It does nothing if the attempt is there already.
func (a *attempt) startStreaming() {
	if !a.streaming {
		a.streaming = true
		a.host.pendingAttempts.remove(&a.link)
		a.host.pending--
		a.host.streams++
	}
}

// stopStreaming undoes startStreaming, at the end of the list of pending attempts.
func (a *attempt) stopStreaming() {
	a.streaming = false
	a.host.pendingAttempts.pushBack(&a.link)
	a.host.pending++
	a.host.streams--
}

// leaveHost removes an ended attempt from the counters of its host.
func (a *attempt) leaveHost() {
	if a.streaming {
		a.host.streams--
	} else {
		a.host.pending--
		a.host.pendingAttempts.remove(&a.link)
	}
}

// without removes the hosts in drop from list, in place.
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

// appendRotated appends the hosts to dst, rotated to begin at the position of this instance.
func (b *Balancer) appendRotated(dst, hosts []*host) []*host {
	first := int(b.fleetInfo.Position * float64(len(hosts)))
	return append(append(dst, hosts[first:]...), hosts[:first]...)
}

// remote reports whether a host is in another zone than this instance.
func (b *Balancer) remote(h *host) bool { return h.Zone != b.set.Zone }

// first returns the earliest attempt that may have run or has not ended, or nil.
func (r *request) first() *attempt {
	for _, a := range r.attempts {
		if !a.ended || a.result.mayHaveRun() {
			return a
		}
	}
	return nil
}

// mayHaveRun reports whether the host may have run the request of an attempt with this result.
func (x Result) mayHaveRun() bool { return x != Full && x != ConnectFailed && x != NotSent }

// drawByWeight returns a random host, with probabilities in proportion to the weights. from must not be
// empty.
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

// setBanned records that an operator has taken a host out of service, or put it back, which resets the
// statistics of the host.
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

// unlessExpired returns x, or 0 from end on.
func (b *Balancer) unlessExpired(x float64, end Time) float64 {
	if b.now >= end {
		return 0
	}
	return x
}

// dropReinstated removes a host from those that are owed a request after being put back into service.
func (b *Balancer) dropReinstated(h *host) {
	if len(b.reinstated) > 0 {
		b.reinstated = slices.DeleteFunc(b.reinstated, func(o *host) bool { return o == h })
	}
}

// weight returns the weight of the host; the default is 1.
func (h *host) weight() float64 {
	if h.Weight > 0 {
		return h.Weight
	}
	return 1
}

// request is a client request with its attempts. It is kept until it has its answer and all its
// attempts have ended.
type request struct {
	Request
	class         *Class
	arrived       Time // or when its body was sent
	deadline      Time
	queueDeadline Time // refused if still queued then: too late for an answer within the aim
	queue         int  // index in Balancer.queues
	openAttempts  int  // attempts in flight
	done          bool // it has its answer or needs none
	committed     bool // an answer stream has begun; no other attempt may answer
	bodyPending   bool // its body is still arriving, for the attempt in flight
	deadlineMoved bool // the deadline was moved when the body had been sent
	queued        bool
	link          node[request] // in its queue
	attempts      []*attempt    // in the order sent
}

// attempt is one attempt of a request at a host.
type attempt struct {
	req               *request
	host              *host
	sent              Time    // or when the request body was sent
	retryAfter        float64 // seconds after which the host wants to be retried; 0: no hint
	stallTime         Time    // Balancer.stallTime when the attempt was sent
	ended             bool
	result            Result        // as of the head of the answer, or the end of the attempt
	probe             bool          // sent while the host had failed
	streaming         bool          // counted in host.streams: its duration says nothing about the host
	responseStreaming bool          // the body of its answer is streaming
	link              node[attempt] // in host.pendingAttempts
}

// mean is a moving average with the mean absolute deviation; the first sample sets it.
type mean struct {
	mean, dev float64
	seen      bool
	at        Time
}

// add records a sample with the weight meanWeight.
func (m *mean) add(x float64) { m.blend(x, meanWeight) }

// addAt records a sample with a weight that grows with the time since the last one, so that the mean
// reflects about the last span (in seconds) however rare samples are.
func (m *mean) addAt(x float64, now Time, span float64) {
	w := 1 - math.Exp(-(now-m.at).Seconds()/span)
	m.at = now
	m.blend(x, max(w, meanWeight))
}

// blend records a sample x with weight w; the first sample sets the mean, and half of it the deviation.
func (m *mean) blend(x, w float64) {
	if !m.seen {
		m.mean, m.dev, m.seen = x, x/2, true
		return
	}
	m.dev += w * (math.Abs(x-m.mean) - m.dev)
	m.mean += w * (x - m.mean)
}

// list is a doubly linked list. The items contain their nodes, so that no operation allocates.
// The zero value is an empty list.
type list[T any] struct{ head, tail *node[T] }

// node links an item into a list.
type node[T any] struct {
	item       *T
	prev, next *node[T]
}

// pushBack adds a node at the end of the list.
func (l *list[T]) pushBack(n *node[T]) {
	if n.prev = l.tail; n.prev != nil {
		n.prev.next = n
	} else {
		l.head = n
	}
	l.tail = n
}

// pushFront adds a node at the beginning of the list.
func (l *list[T]) pushFront(n *node[T]) {
	if n.next = l.head; n.next != nil {
		n.next.prev = n
	} else {
		l.tail = n
	}
	l.head = n
}

// remove removes a node from the list, which must contain it.
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

// bucket is a token bucket: tokens is its content as of at, and grows by rate per second.
type bucket struct {
	tokens, rate float64
	at           Time
}

// forget drops a removed host once no attempt of this instance is in flight there.
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

// forgettable reports whether a host can be dropped. A removed host that is still cold is kept: with a
// flapping host list it would otherwise come back with new credit.
func (b *Balancer) forgettable(h *host) bool {
	return h.State == Removed && h.pending+h.streams == 0 && b.byID[h.ID] == h && !(h.cold && b.now-h.coldAt < b.set.WarmAfter)
}

// Takes reports whether a host takes new requests, as far as the host list and the operators say.
func (b *Balancer) Takes(id HostID) bool {
	h := b.byID[id]
	return h != nil && h.State == Ready
}

// forgetRemoved drops all hosts that can be dropped, in one pass.
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

// updatePositions keeps the ready hosts sorted by position. Only new hosts are sorted and merged in: a
// list of thousands changes by a few at a time.
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
	for i, j, k := old-1, len(fresh)-1, len(b.byPosition)-1; j >= 0; k-- { // merge from the end, in place
		if i >= 0 && byPlace(b.byPosition[i], fresh[j]) > 0 {
			b.byPosition[k] = b.byPosition[i]
			i--
		} else {
			b.byPosition[k] = fresh[j]
			j--
		}
	}
}

// take uses one request of the quota of a tenant; it returns false if the tenant is over its quota. A
// rate of 0 means no quota.
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

// HostCounts returns the number of listed hosts, and how many of them get no new requests now because
// they drain, were taken out of service, or are ejected.
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

// release returns a request that is done to the pool once its last attempt has ended.
func (b *Balancer) release(r *request) {
	if !r.done || r.openAttempts > 0 {
		return
	}
	delete(b.requestByID, r.ID)
	b.freeAttempts = append(b.freeAttempts, r.attempts...)
	b.freeRequests = append(b.freeRequests, r)
}

// openAttempt returns an attempt that has not ended, of a request that still needs an answer, or nil.
func (b *Balancer) openAttempt(id RequestID, n int) *attempt {
	if r := b.requestByID[id]; r != nil && !r.done && n >= 0 && n < len(r.attempts) && !r.attempts[n].ended {
		return r.attempts[n]
	}
	return nil
}

// newRequest returns a zeroed request, from the pool if possible.
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

// newAttempt returns a zeroed attempt, from the pool if possible.
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

// push adds a request to its queue, at the front or at the end.
func (b *Balancer) push(r *request, front bool) {
	r.queued, r.link.item = true, r
	b.queued++
	if front {
		b.queues[r.queue].pushFront(&r.link)
	} else {
		b.queues[r.queue].pushBack(&r.link)
	}
}

// dequeue removes a request from its queue, if it is in one.
func (b *Balancer) dequeue(r *request) {
	if r.queued {
		b.queues[r.queue].remove(&r.link)
		r.queued = false
		b.queued--
	}
}

// Kinds of log lines; each has a rate limit of its own.
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

// logEvery is the minimum time between two log lines of a kind.
const logEvery = 10 * time.Second

// logLine is the rate limit of one kind of log line.
type logLine struct {
	at         Time
	logged     bool
	suppressed int // lines suppressed since
}

// log adds a Log action, at most one of each kind per logEvery; the next one says how many were suppressed.
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

// RankPosition returns the ring position, from 0 to below 1, of the instance with the given rank. Steps of the golden ratio, rounded to a step coprime to their number, put all of them
// as far apart as possible, and nearly so any run of consecutive ranks.
func RankPosition(rank, instances int) float64 {
	gcd := func(x, y int) int {
		for y != 0 {
			x, y = y, x%y
		}
		return x
	}
	step := int(math.Round(float64(instances) * (math.Phi - 1)))
	for gcd(step, instances) != 1 {
		step++
	}
	return float64(rank*step%instances) / float64(instances)
}

// nextRand returns the next number of splitmix64: small, seeded, and the same on every platform.
func (b *Balancer) nextRand() uint64 {
	b.rng += 0x9e3779b97f4a7c15
	return mix(b.rng)
}

// mix hashes a number.
func mix(z uint64) uint64 {
	z = (z ^ z>>30) * 0xbf58476d1ce4e5b9
	z = (z ^ z>>27) * 0x94d049bb133111eb
	return z ^ z>>31
}

// rand returns a random number from 0 to below n.
func (b *Balancer) rand(n int) int { return int(b.nextRand() >> 33 % uint64(n)) }

// float returns a random number from 0 to below 1.
func (b *Balancer) float() float64 { return float64(b.nextRand()>>11) / (1 << 53) }

// Drain appends the actions collected since the last call to dst and returns it. The balancer keeps no
// reference to the result.
func (b *Balancer) Drain(dst []Action) []Action {
	dst = append(dst, b.actions...)
	b.actions = b.actions[:0]
	return dst
}

// addAction adds an action for the next Drain.
func (b *Balancer) addAction(a Action) { b.actions = append(b.actions, a) }

// setTimer adds a Wake action: the gateway calls Timer with the token at that time.
func (b *Balancer) setTimer(at Time, token uint64) {
	b.addAction(Action{Kind: Wake, At: at, Token: token})
}

// ejectedByPeersCount returns how many hosts are ejected because of reports by peers.
func (b *Balancer) ejectedByPeersCount() (count int) {
	for _, h := range b.hosts {
		if h.ejectedByPeers {
			count++
		}
	}
	return count
}
