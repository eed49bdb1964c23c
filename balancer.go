package frostshift

// The decisions of the balancer but for hosts that have just started, which are in coldhost.go. The
// types it speaks in are in api.go.
//
// Reading order: the constants; New (what a Balancer keeps is in state.go); one
// method per event, from Start to Timer; then what they call: place and pick (the
// ordinary path), load, estimate and sample (the score), allows to atLimit (who is
// ready), observe and adjust (what is learnt), settle to end (what follows an
// attempt), enqueue to serve (waiting), listen (silence), and last discovery.
//
// The ordinary path is failure-aware peak EWMA with two choices: of two random
// ready hosts the one with the lower estimate x (own pending + 1) gets the
// request. Departures from it decide who is ready, and each says when it acts.

import (
	"cmp"
	"frostshift/internal/evidence"
	"math"
	"slices"
)

const ( // each relative to settings or to what is measured
	estimateDecayAims    = 8        // the estimate's decay, in shortest aims: it outlasts a gap between samples
	estimateDecayGaps    = 8        // ... and at least so many gaps between own samples of a host
	equalUpToErrors      = 1        // standard errors up to which a host is held to be like the others
	differentFromErrors  = 2        // ... and from which on its estimate stands whole
	maxSampleWeight      = 50       // answers that are held of a host at most
	unknownRTTAims       = 0.25     // RTT of an unknown host, in shortest aims: it must not look free
	penaltyAims          = 1        // base penalty of an error or refusal, in shortest aims
	penaltyRTTs          = 2        // ... and at least so many mean RTTs of good answers
	firstEjectionAims    = 2        // first ejection, in shortest aims
	minErrorGap          = 30       // answers between two errors above which they are no cause to eject
	safeProbeAims        = 8        // wait for a trial that may be sent again, in shortest aims
	weightedLoadRatio    = 2        // loads of the second host drawn at which the one by weights gives way
	maxRetryHintAims     = 64       // longest hint of when to come back that is heeded, in shortest aims
	maxEjectionDoublings = 5        // doublings of an ejection at most
	firstReconnectAims   = 1.0 / 8  // first wait for a trial where all hosts take no connection, in shortest aims
	maxReconnectAims     = 16       // ... and the longest: a trial there sends nothing
	coldBudgetDeviations = 3.0      // deviations of what the fleet sends by chance that a cold budget leaves
	coldCreditDeviations = 4.0      // deviations of what the fleet sends that unused credit may add to it
	rateSpanWindows      = 4        // span of the rate of answers, in Falls
	minRateFraction      = 1.0 / 8  // ... of which the first answers stand for this part at least
	quotaBurstSeconds    = 1.0      // seconds of its quota a tenant may save up
	sweepAims            = 1.0 / 16 // time between looks at waiting requests and silent hosts, in shortest aims
	limitRTTAims         = 0.375    // mean RTT that the in-flight limit of a host steers to, in shortest aims
	recentRTTAims        = 0.5      // span of a host's recent mean RTT, in shortest aims: faster than hosts tip
	minHostLimit         = 2        // ... and is never kept from holding: one runs while the next arrives
	limitGrowth          = 0.3      // attempts that the fleet adds at a host in a round while requests wait
	initialHostLimit     = 4        // attempts a new host may hold from the whole fleet
	maxQueueAims         = 0.2      // of its aim that a request waits for a host at most
	silenceDeviations    = 3        // deviations above the mean RTT after which an unheard host counts as silent
	clientRetryWorth     = 0.5      // worth of a client's repeat while others wait, as a share: it may come late
	arrivalWeight        = 0.02     // weight of an arrival in the shares of the lines: about the last fifty count
	meanWeight           = 0.1      // weight of a sample in a mean: about the last ten count
	shedFromAims         = 0.38     // mean RTT, in aims, above which requests are shed: most are still in time
	shedUntilAims        = 0.25     // ... at which they are no more: what was late is over
	priorLatenessAims    = 0.06     // mean RTT, in aims, that is held without evidence
	priorAnswers         = 2        // answers that are worth as much as that: one costly answer is no crowd
	maxLatenessWeight    = 5        // answers that are held at most: hosts tip within seconds
	maxAdmitSteps        = 4        // steps of an answer at most: where few come, each stands for more time
	shedStep             = 0.2      // share of what is admitted that an answer at twice that sheds
	admitStep            = 0.1      // share of all that an answer in no time would admit again
	shedAboveSharers     = 3        // instances at a host above which its in-flight limit leaves each less than one
	minAdmitted          = 0.02     // share always admitted: answers must go on telling
	subsetSharers        = 4        // instances that draw from a host: their connections and handshakes load it
	minSubset            = 4        // hosts in a subset at least: a choice of two while some are out
	hostsPerInFlight     = 2.5      // hosts for each request that is out when nothing is crowded
	minDrawSubset        = 32       // hosts in a subset from which on they are drawn and not walked
	maxDraws             = 12       // draws before the walk: with half of the hosts out they do in 99.7%
	stallTimeDivisor     = 8        // part of an attempt's time that counts however long the gateway stood still
	streamLoad           = 0.125    // what a flowing body holds of a host, in attempts: it waits for its client mostly
	suspicionLoad        = 3        // times more that a host which others doubt whole counts as slower
	ownAnswerAims        = 2        // others' refusals do not count so long after an own answer, in shortest aims
	ignorePeerLoadEvery  = 8        // requests of which one does not heed what others have out at hosts
	answerMarginSteps    = 2        // steps ahead of its deadline that a request is answered at the latest
	maxReportedStartAge  = 600e9    // ns that a start may lie back when a change of the list tells it first
	maxStartAhead        = 60e9     // ns that a start may lie ahead, by a clock that is not this one
	listRetryDelay       = 0.8e9    // ns before a lost host list is asked for, as a mean; twice that from then on
)

const (
	tokenSweep = iota + 1 // look at queue and hosts
	tokenWatch            // ask discovery
	tokenAnswer

	tokenShift = 56 // a token is its kind above the request ID
)

// New returns a Balancer for the settings, or an error if they cannot be served.
func New(set Settings, seed uint64) (*Balancer, error) {
	if err := check(&set); err != nil {
		return nil, err
	}
	b := &Balancer{set: set, rng: seed, byID: map[HostID]*host{}, reqs: map[RequestID]*request{}}
	b.shortestAim = set.Classes[0].Aim
	for _, c := range set.Classes {
		b.shortestAim, b.longestAim = min(b.shortestAim, c.Aim), max(b.longestAim, c.Aim)
	}
	b.round, b.admitted, b.rateSpan, b.sharers = 1, 1, rateSpanWindows*set.Fall.Seconds(), float64(set.Instances)
	b.fleetInfo = Fleet{RankPosition(set.Rank, set.Instances), set.Instances, set.Instances}
	for _, t := range set.Tenants {
		r := t.Quota / float64(set.Instances)
		b.quotas = append(b.quotas, bucket{tokens: r * quotaBurstSeconds, rate: r})
	}
	b.classRTT = make([]mean, len(set.Classes))
	b.buildQueues()
	return b, nil
}

// Fleet is news of who shares the hosts. Each figure is put to its safe use: the fewest there may
// be size the part that this instance draws from, so that no host is left to nobody; the most
// there may be divide what cold hosts and tenants may get, so that all together hold it.
func (b *Balancer) Fleet(now Time, k Fleet) {
	if b.now = now; k.Least < 1 || k.Most < k.Least || !(k.Place >= 0 && k.Place < 1) || k == b.fleetInfo {
		return
	}
	b.fleetInfo = k
	for i := range b.quotas {
		b.quotas[i].rate = b.set.Tenants[i].Quota / float64(k.Most)
	}
	b.rebuildRing()
	b.serveQueues()
}

// layBands orders the waiting lines: each class has one within quota and one beyond it, and the
// same again for repeats. Worth most is served first; of equal worth, the tighter aim.
func (b *Balancer) buildQueues() {
	type waitingQueue struct {
		class, bits int
		worth       float64
	}
	var queues []waitingQueue
	for i, c := range b.set.Classes {
		for bits := range 4 {
			worth := c.Worth
			if bits&overQuota != 0 {
				worth *= b.set.OverQuotaWorth
			}
			if bits&clientRetry != 0 {
				worth *= clientRetryWorth
			}
			queues = append(queues, waitingQueue{i, bits, worth})
		}
	}
	slices.SortStableFunc(queues, func(x, y waitingQueue) int {
		aimX, aimY := b.set.Classes[x.class].Aim, b.set.Classes[y.class].Aim
		return cmp.Or(cmp.Compare(y.worth, x.worth), cmp.Compare(aimX, aimY))
	})
	b.queueOf = make([][4]int, len(b.set.Classes))
	b.queues = make([]list[request], len(queues))
	b.arrivals = make([]float64, len(queues))
	for k, q := range queues {
		b.queueOf[q.class][q.bits] = k
	}
}

// Start is the first event: the gateway has come up. Where the list must be asked for, the
// watch begins here, spread by place so that a fleet that starts together asks in turn.
func (b *Balancer) Start(now Time) {
	b.now = now
	if b.set.Ask {
		b.watchIn(Time(float64(b.set.AskWithin) / 4 * b.fleetInfo.Place))
	}
}

// Hosts is news of the host list.
func (b *Balancer) Hosts(now Time, kind ListKind, list []Host) {
	b.now = now
	if kind == ListFailed {
		b.hostListLost()
		return
	}
	if kind != ListSaved {
		b.hostListRegained()
	}
	if kind != ListChanges {
		for _, h := range b.hosts {
			h.State = Removed
		}
	}
	for _, e := range list {
		b.updateHost(e, kind)
	}
	b.forgetRemoved()
	b.rebuildRing()
	b.serveQueues()
}

// layRing lays the hosts in a ring of scattered order that begins at this instance's place;
// its subset is the first of them that are of use. A host more or less moves a subset by one
// host at most. It guards hosts against a connection from every instance and gives an
// instance enough samples of each. It acts where more than subsetMeet instances share a host.
// Half a subset is of the own zone, as crossing costs, the other half anywhere: a zone may
// have too much traffic.
func (b *Balancer) rebuildRing() {
	defer b.rebuildNearSubset()
	b.updatePositions()
	b.warmHosts, b.backups, b.weighted, b.nextWarmAt = 0, 0, false, 0
	nearHosts := b.nearScratch[:0]
	hostsInZone := map[int]float64{} // hosts in each
	for _, h := range b.byPosition {
		hostsInZone[h.Zone]++
		if warmAt := h.coldAt + b.set.WarmAfter; !h.cold || b.now >= warmAt {
			b.warmHosts++
		} else if b.nextWarmAt == 0 || warmAt < b.nextWarmAt {
			b.nextWarmAt = warmAt
		}
		if h.Backup {
			b.backups++
		}
		b.weighted = b.weighted || h.weight() != 1
	}
	b.fleetSize = float64(b.fleetInfo.Most)
	if len(b.byPosition) > 0 && b.byPosition[0].Sharers > 0 {
		b.useWholeList()
		return
	}
	subsetSizeOf := func(of int) int { return max(minSubset, (b.warmHosts*subsetSharers+of-1)/of) }
	b.subsetSize = subsetSizeOf(b.fleetInfo.Least)
	for _, h := range b.byPosition {
		if b.set.Zones > 1 && !b.remote(h) {
			nearHosts = append(nearHosts, h)
		}
	}
	b.nearScratch = nearHosts
	b.ring = b.appendRotated(b.ring[:0], nearHosts)
	b.ring = b.ring[:min(len(nearHosts), b.subsetSize/2)]
	first, total := len(b.ring), len(b.byPosition)
	b.ring = b.appendRotated(b.ring, b.byPosition)
	b.ring = b.ring[:first+len(without(b.ring[first:], b.ring[:first]))]
	b.sharers = min(1, float64(b.subsetSize)/float64(max(b.warmHosts, 1))) * b.fleetSize
	// What instances of its own zone and all instances walk past is what shares a cold host. Where
	// views differ cold hosts are used within the part by Most alone, and by one more for places
	// that do not meet: so the parts of all stay within one (docs/design/gossip.md).
	minSize, slack := subsetSizeOf(b.fleetInfo.Most), float64(min(1, b.fleetInfo.Most-b.fleetInfo.Least))
	half, nearest := float64(minSize/2), min(first, minSize/2)
	anywhere := min(1, float64(minSize)/float64(max(total, 1)))
	for i, h := range b.ring {
		h.usableCold = i < nearest || i >= first && i-first < minSize-nearest
		h.sharers = min(b.fleetSize, math.Ceil(b.fleetSize*anywhere+slack))
		if b.set.Zones > 1 {
			inZone := b.fleetSize / float64(b.set.Zones) * min(1, half/hostsInZone[h.Zone])
			h.sharers = min(b.fleetSize, math.Ceil(h.sharers+inZone))
		}
		b.coldBlocked(h)
	}
}

// layPart takes all hosts where the list is this instance's part of a longer one.
func (b *Balancer) useWholeList() {
	b.ring, b.subsetSize, b.sharers = append(b.ring[:0], b.byPosition...), len(b.byPosition), 0
	for _, h := range b.ring {
		h.sharers, h.usableCold = float64(h.Sharers), true
		b.coldBlocked(h)
		b.sharers += h.sharers / float64(len(b.ring))
	}
	b.fleetSize = b.sharers
}

// layNearby notes the near hosts of the subset, which is the least that is drawn from.
func (b *Balancer) rebuildNearSubset() {
	b.reach, b.nearSubset = max(b.reach, b.subsetSize), b.nearSubset[:0]
	for _, h := range b.ring[:min(b.subsetSize, len(b.ring))] {
		if b.set.PreferNear && !b.remote(h) {
			b.nearSubset = append(b.nearSubset, h)
		}
	}
}

func (b *Balancer) updateHost(entry Host, kind ListKind) {
	h := b.byID[entry.ID]
	if h == nil {
		if entry.State == Removed {
			return
		}
		h = &host{position: mix(uint64(entry.ID)), answeredAt: b.now, limit: initialHostLimit,
			unsampled: true, answersSinceError: minErrorGap, rttAt: b.now}
		b.byID[entry.ID] = h
		b.hosts = append(b.hosts, h)
	}
	started := h.Started
	h.Host, h.listedState = entry, entry.State
	b.applyState(h)
	for len(b.kindTimes) <= entry.Kind {
		b.kindTimes = append(b.kindTimes, evidence.Mean{})
	}
	if entry.Started > 0 && entry.Started != started {
		h.suspicion = 0 // of another start
		b.markCold(h, max(b.startTime(&entry, kind), h.coldAt))
	}
}

// heed makes a host what its list and the operators allow together: one that was taken out by
// hand finishes its work and gets nothing new, whatever the list says.
func (b *Balancer) applyState(h *host) {
	if h.State = h.listedState; b.banned[h.ID] && h.State == Ready {
		h.State = Draining
	}
}

// Ban takes a host out by hand, or has it used again: the list and the operators must both
// allow it. One that comes back was worked on: nothing that was learnt of it holds, it is cold
// as of now, and it is owed work as soon as its budget has any.
func (b *Balancer) Ban(now Time, id HostID, out bool) {
	b.now = now
	if h := b.byID[id]; b.banned[id] != out {
		if b.setBanned(id, out); h != nil && !out {
			b.markCold(h, now)
		}
		if h != nil && h.State != Removed {
			b.applyState(h)
			b.rebuildRing()
		}
		b.serveQueues()
	}
}

// HostHealth is news of what other instances met at a host. It never takes the place of own outcomes: a
// doubt makes the host look slower and spares it requests that must not run twice, and refusals that
// several met eject it as one of its own would, until a trial of its own, or while others try it.
// That acts where it has had no answer of late, and for half of the hosts at most.
func (b *Balancer) HostHealth(now Time, k HostHealth) {
	b.now = now
	h := b.byID[k.Host]
	if h == nil {
		return
	}
	h.suspicion, h.suspicionUntil = min(max(k.Doubt, 0), 1), k.Until
	if h.peersProbe && !(k.Down && k.Wait) { // others were answered: all may try, not all at once
		h.peersProbe, h.ejectUntil = false, min(h.ejectUntil, now+Time(ownAnswerAims*float64(b.shortestAim)*b.float()))
	}
	switch {
	case !k.Down || now >= k.Until || now-h.answeredAt < ownAnswerAims*b.shortestAim:
		return
	case h.ejections == 0 && 2*(b.ejectedByPeersCount()+1) > len(b.hosts):
		return
	case h.ejections == 0:
		b.eject(h, "others are refused")
		h.down, h.ejectedByPeers = true, true
	}
	if k.Wait {
		h.ejectUntil, h.peersProbe = max(h.ejectUntil, k.Until), true
	}
}

// PeerLoad is news of what others have out at a host. It counts as own pending does where two hosts are
// compared, but for one request in blindIn: whatever is said, each host keeps that part of its own.
func (b *Balancer) PeerLoad(now Time, k Crowd) {
	if h := b.byID[k.Host]; h != nil {
		h.peerLoad, h.peerLoadUntil = k.Out, k.Until
	}
}

// owed is a host that was called back and has answered nothing yet, if the request may go
// there now and nothing else is out there. An unsafe one is not risked on it.
func (b *Balancer) reinstatedHost(r *request) *host {
	for _, h := range b.reinstated {
		if r.class.Effect != Unsafe && h.State == Ready && h.pending == 0 && b.allows(r, h) &&
			!b.ejected(r, h) && !b.coldBlocked(h) {
			return h
		}
	}
	return nil
}

// Request is a client's request, owed one final answer from here on.
func (b *Balancer) Request(now Time, q Request) {
	b.now = now
	if b.reqs[q.ID] != nil || q.Class < 0 || q.Class >= len(b.set.Classes) {
		return
	}
	r := b.newRequest()
	r.Request, r.class, r.arrived = q, &b.set.Classes[q.Class], now
	r.deadline = now + min(max(q.Left, 0), r.class.Deadline)
	r.queue = b.queueOf[q.Class][b.queueBits(r)]
	b.reqs[q.ID] = r
	b.widenReach()
	for i := range b.arrivals {
		b.arrivals[i] *= 1 - arrivalWeight
	}
	b.arrivals[r.queue]++
	b.setTimer(max(now, r.deadline-answerMarginSteps*b.set.Step), tokenAnswer<<tokenShift|uint64(q.ID))
	if now+answerMarginSteps*b.set.Step >= r.deadline {
		b.answer(r) // it came too late to be sent
		return
	}
	if b.shouldShed(r) {
		b.log(logShed, "shedding: answers are late, %.0f%% of requests admitted", 100*b.admitted)
		b.answer(r)
		return
	}
	b.sendOrQueue(r, false)
}

// widen has an instance that sees more than its part of the load draw from more hosts, so that
// its own requests fill none: reachShare for each that is out, as answers take while nothing is
// crowded. Cold hosts beyond the subset have other sharers and get nothing of it.
func (b *Balancer) widenReach() {
	if b.ownRateAt == 0 {
		b.ownRateFrom = b.now
	}
	b.ownRate, b.ownRateAt = b.ownRate*math.Exp(-(b.now-b.ownRateAt).Seconds()/b.rateSpan)+1/b.rateSpan, b.now
	rate := b.ownRate / max(minRateFraction, 1-math.Exp(-(b.now-b.ownRateFrom).Seconds()/b.rateSpan))
	b.reach = max(b.subsetSize, int(math.Ceil(hostsPerInFlight*rate*min(b.meanRTT.mean, shedUntilAims*b.shortestAim.Seconds()))))
}

// shed says whether a request is refused on arrival: requests are admitted in the
// order of their worth up to the share that hosts serve in time. It guards against
// hosts that are crowded by many instances at once, of which each holds so little
// that no in-flight limit of its own could tell. It acts while answers are late.
func (b *Balancer) shouldShed(r *request) bool {
	if b.admitted >= 1 || b.sharers <= shedAboveSharers {
		return false
	}
	if b.lateness() < shedUntilAims { // nothing speaks for a crowd any more
		b.admitted = 1
		return false
	}
	var all, before float64
	for i, n := range b.arrivals {
		all += n
		if i < r.queue {
			before += n
		}
	}
	return b.admitted*all < before+b.arrivals[r.queue]*b.float()
}

// press moves the share admitted by how late an answer came, in aims, weighed by worth.
// One that did not come by the deadline says as much as two.
func (b *Balancer) recordLateness(c *Class, rtt, answers float64) {
	b.meanWorth.add(c.Worth)
	steps := min(maxAdmitSteps, max(1, float64(b.now-b.latenessAt)/float64(b.longestAim)*4))
	b.latenessAt = b.now
	b.lateness()
	b.latenessEvidence.Add(min(1, rtt/c.Aim.Seconds()), answers*min(c.Worth/b.meanWorth.mean, 2), maxLatenessWeight)
	if over := b.lateness()/shedFromAims - 1; over > 0 {
		b.admitted = max(minAdmitted, b.admitted*math.Pow(1-shedStep*min(over, 1), steps))
	} else {
		b.admitted = min(1, b.admitted-admitStep*over*steps)
	}
}

// lateness is how late answers are, in aims, by what is held of the last few.
func (b *Balancer) lateness() float64 {
	b.latenessEvidence.Fade(b.now, b.longestAim)
	return b.latenessEvidence.Toward(priorLatenessAims, priorAnswers)
}

// The parts of a class that wait in lines of their own.
const (
	overQuota   = 1 << iota // beyond the tenant's quota
	clientRetry             // the client has asked before
)

// part says which part of its class a request belongs to.
func (b *Balancer) queueBits(r *request) (bits int) {
	if r.Tenant >= 0 && r.Tenant < len(b.quotas) && !b.quotas[r.Tenant].take(b.now) {
		bits |= overQuota
	}
	if r.Repeat {
		bits |= clientRetry
	}
	return bits
}

// Started says that a stream has begun: the request belongs to that attempt.
func (b *Balancer) Started(now Time, id RequestID, n int) {
	b.now = now
	if r := b.reqs[id]; r != nil && !r.done && n >= 0 && n < len(r.attempts) {
		r.committed = true
		b.cancelOthers(r, n)
	}
}

// RequestBodyPending says that the body of an attempt's request is still coming from the client: how
// long that takes is no fault of the host's, of which it holds a part, and the request's time
// begins with the last byte.
func (b *Balancer) RequestBodyPending(now Time, id RequestID, n int) {
	b.now = now
	if a := b.openAttempt(id, n); a != nil && !a.streaming {
		a.req.bodyPending = true
		a.startStreaming()
	}
}

// RequestBodySent says that the last byte of a request that was Feeding has gone out.
func (b *Balancer) RequestBodySent(now Time, id RequestID, n int) {
	b.now = now
	if a := b.openAttempt(id, n); a != nil && a.req.bodyPending {
		a.sent, a.stallTime = now, b.stallTime
		a.stopStreaming()
		b.restartDeadline(a.req)
	}
}

// fedUp gives a request that was fed its whole time from now on.
func (b *Balancer) restartDeadline(r *request) {
	r.bodyPending, r.deadlineMoved, r.arrived = false, true, b.now
	r.deadline = b.now + min(max(r.Left, 0), r.class.Deadline)
	b.setTimer(r.deadline-answerMarginSteps*b.set.Step, tokenAnswer<<tokenShift|uint64(r.ID))
}

// ResponseStreaming says that the head of the final answer came, with the result that it would have if
// it were all, after the host had taken so long, and that its body flows as far as the client
// takes it in. That holds a part of the host until the Outcome, and tells nothing of its speed.
func (b *Balancer) ResponseStreaming(now Time, id RequestID, n int, result Result, took Time) {
	b.now = now
	a := b.openAttempt(id, n)
	if a == nil || a.responseStreaming {
		return
	}
	a.startStreaming()
	a.req.committed, a.req.bodyPending, a.responseStreaming, a.result = true, false, true, result
	b.recordResult(a, max(took, 0).Seconds())
	b.serveQueues()
}

// Outcome is the end of an attempt.
func (b *Balancer) Outcome(now Time, o Outcome) {
	b.now = now
	r := b.reqs[o.Request]
	if r == nil || o.Attempt < 0 || o.Attempt >= len(r.attempts) || r.attempts[o.Attempt].ended {
		return
	}
	a := r.attempts[o.Attempt]
	a.ended, a.result = true, o.Result
	a.hint = min(o.After, maxRetryHintAims*b.shortestAim).Seconds()
	r.inFlight--
	a.leaveHost()
	if a.responseStreaming && o.Result == Reset { // a body that breaks off is a connection that does
		b.recordRTT(a.host, b.penalty())
		b.eject(a.host, "connections fail")
	}
	if !a.responseStreaming { // else its head has told all
		if r.bodyPending {
			b.restartDeadline(r)
		}
		b.recordResult(a, b.countedTime(a, max(o.Elapsed, 0)).Seconds())
	}
	b.settle(r, a, o.Closed)
	b.forget(a.host)
	b.serveQueues()
}

// Stalled says that the gateway itself stood still, or was behind, for d until now. What its
// hosts answered meanwhile was seen late, which is no slowness of theirs: taken for one, it
// would cut what they may hold, and requests refused for that would come again.
func (b *Balancer) Stalled(now, d Time) {
	b.now = now
	b.stallTime += d
}

// took is how long an attempt has taken after so long, less what the gateway stood still.
func (b *Balancer) countedTime(a *attempt, elapsed Time) Time {
	return max(elapsed-(b.stallTime-a.stallTime), elapsed/stallTimeDivisor)
}

// ClientGone says that nobody waits for the request any more.
func (b *Balancer) ClientGone(now Time, id RequestID) {
	b.now = now
	if r := b.reqs[id]; r != nil && !r.done {
		b.end(r)
	}
}

// Timer is a Wake that has come due.
func (b *Balancer) Timer(now Time, token uint64) {
	b.now = now
	switch token >> tokenShift {
	case tokenSweep:
		if now >= b.sweepAt {
			b.sweepAt = 0
			if b.nextWarmAt > 0 && now >= b.nextWarmAt {
				b.rebuildRing()
			}
			b.ejectSilent()
			b.giveUpOverdue()
			b.serveQueues()
		}
	case tokenWatch:
		if now >= b.watchAt && !b.watching {
			b.addAction(Action{Kind: Watch})
			b.watchIn(b.set.AskWithin)
		}
	case tokenAnswer:
		r := b.reqs[RequestID(token&(1<<tokenShift-1))]
		if r == nil || r.done || r.committed || r.bodyPending || r.deadlineMoved && now < r.deadline-answerMarginSteps*b.set.Step {
			return
		}
		b.recordOverdue(r)
		b.answer(r)
	}
}

// overdue learns from a request that has no answer at its deadline as from a
// time-out: called off, its attempts would tell nothing of hosts that are so late.
func (b *Balancer) recordOverdue(r *request) {
	for _, a := range r.attempts {
		if !a.ended && !a.streaming {
			rtt := b.countedTime(a, b.now-a.sent).Seconds()
			b.recordLateness(r.class, rtt, 2)
			b.recordRTT(a.host, rtt)
			b.adjustLimit(a.host, rtt, a.sent)
		}
	}
}

// place sends the request if a host is ready for it and else lets it wait. It
// does not overtake what waits already.
func (b *Balancer) sendOrQueue(r *request, again bool) {
	if b.queued == 0 {
		if h := b.pick(r); h != nil {
			b.send(r, h)
			return
		}
	}
	b.enqueue(r, again)
	b.serveQueues()
}

// pick is the ordinary path: of two random ready hosts, the less loaded. Where near hosts
// are preferred and that one is remote, the less loaded of two near ones is weighed against
// it: the near zone is used until it is slower by what crossing costs.
func (b *Balancer) pick(r *request) *host {
	b.pickCount++
	b.peerLoadFactor = float64(min(b.pickCount%ignorePeerLoadEvery, 1))
	h := b.pickAny(r)
	if h == nil || len(b.nearSubset) == 0 || !b.remote(h) {
		return h
	}
	x, y := b.drawTwo(r, b.nearSubset)
	return b.lessLoaded(b.lessLoaded(x, y), h)
}

func (b *Balancer) pickAny(r *request) *host {
	if h := b.reinstatedHost(r); h != nil {
		return h
	}
	if h := b.drawRandom(r); h != nil {
		return h
	}
	atLimit := b.collectReady(r, false)
	if len(b.readyScratch)+atLimit == 0 && b.backups > 0 {
		atLimit = b.collectReady(r, true) // none of the others can take it
	}
	// Fail open: when most hosts are out, the fault is more likely the path or the load
	// than every host, and the few left must not take it all. Not if they take no connection.
	if len(b.ejectedScratch) > len(b.readyScratch)+atLimit {
		b.log(logFailOpen, "%d hosts are ejected, most that are near: using them all the same", len(b.ejectedScratch))
		for _, h := range b.ejectedScratch[:min(len(b.ejectedScratch), b.subsetSize)] {
			if !b.coldBlocked(h) && !b.atLimit(h) {
				b.readyScratch = append(b.readyScratch, h)
			}
		}
	}
	n := len(b.readyScratch)
	if n == 0 && atLimit == 0 {
		return b.lastResort(r)
	}
	if n == 0 {
		return nil
	}
	if n == 1 {
		return b.readyScratch[0]
	}
	// By weights the two draws are independent, and the first stands unless the second is much
	// lighter: peaks of a host that gets more are higher, and would share work out evenly.
	if b.weighted {
		x, y := b.drawByWeight(b.readyScratch), b.drawByWeight(b.readyScratch)
		if b.load(x) > weightedLoadRatio*b.load(y) {
			return y
		}
		return x
	}
	// Two random ones, as cards are dealt: those that had none in this pass come first. Of few
	// requests chance alone would give one host three in a row.
	x, y, lowest, secondLowest := (*host)(nil), (*host)(nil), 2.0, 2.0
	for _, h := range b.readyScratch {
		rank := b.float()
		if h.lastRound == b.round {
			rank++
		}
		if rank < lowest {
			x, y, lowest, secondLowest = h, x, rank, lowest
		} else if rank < secondLowest {
			y, secondLowest = h, rank
		}
	}
	if lowest >= 1 {
		b.round++
	}
	return b.lessLoaded(x, y)
}

// lastResort is the host to try where none of the subset takes connections, nil: none yet. It guards
// against a path that fails for a moment, which ejects them all: waits begin short, and grow while no
// host is reached.
func (b *Balancer) lastResort(r *request) (best *host) {
	for _, h := range b.ring[:min(b.reach, len(b.ring))] {
		if h.State != Ready || !h.down || h.probing || h.peersProbe || b.now < h.retryAt || !b.allows(r, h) {
			continue
		}
		if b.coldBlocked(h) || h.cold && !h.usableCold {
			continue
		}
		if best == nil || h.retryAt < best.retryAt {
			best = h
		}
	}
	return best
}

// walk collects the hosts of the subset that are ready, and those that are ejected, either of
// the backups or of all others. It says how many more hold all they may.
func (b *Balancer) collectReady(r *request, backups bool) (atLimit int) {
	b.readyScratch, b.ejectedScratch = b.readyScratch[:0], b.ejectedScratch[:0]
	for i, h := range b.ring {
		if h.Backup != backups {
			continue
		}
		// The walk ends with the subset, however few are of use: were each instance to seek
		// on, those few would hold one attempt of every instance, and all be late.
		if n := len(b.readyScratch) + atLimit; n == b.reach || n > 1 && i >= b.reach {
			break
		}
		switch {
		case h.State != Ready || !b.allows(r, h):
		case b.ejected(r, h) && h.down:
		case b.ejected(r, h):
			b.ejectedScratch = append(b.ejectedScratch, h)
		case b.coldBlocked(h):
		case h.cold && !h.usableCold: // those further on have other sharers
		case b.atLimit(h):
			atLimit++
		default:
			b.readyScratch = append(b.readyScratch, h)
		}
	}
	return atLimit
}

// lighter is the less loaded of two hosts, or the one that there is.
func (b *Balancer) lessLoaded(x, y *host) *host {
	if x == nil || y != nil && b.load(y) < b.load(x) {
		return y
	}
	return x
}

// draw is pick in a large subset: hosts are drawn until two that are ready have been, which
// makes them two random ready ones as well, at a cost that does not grow with the subset.
// It gives way to the walk where the subset is small or many of those drawn are of no use.
func (b *Balancer) drawRandom(r *request) *host {
	n := min(b.reach, len(b.ring))
	if n < minDrawSubset || b.weighted {
		return nil
	}
	x, y := b.drawTwo(r, b.ring[:n])
	if y == nil {
		return nil
	}
	return b.lessLoaded(x, y)
}

// drawTwo draws until two hosts that are ready have been; nil: too few were.
func (b *Balancer) drawTwo(r *request, from []*host) (one, two *host) {
	seen := 0
	for range maxDraws {
		h := from[b.rand(len(from))]
		switch {
		case h == one || h.Backup || h.State != Ready || !b.allows(r, h) || b.ejected(r, h):
		case h.cold && !h.usableCold:
		case b.coldBlocked(h) || b.atLimit(h):
		case h.lastRound == b.round && seen < maxDraws/2:
			if seen++; seen == maxDraws/2 {
				b.round++
			}
		case one != nil:
			return one, h
		default:
			one = h
		}
	}
	return one, nil
}

// load is the score of a host: its estimate now x (own pending + 1). A host of
// another zone counts as slower by what crossing costs, in shares of the shortest aim.
func (b *Balancer) load(h *host) float64 {
	rtt := b.believedRTT(h)
	if b.remote(h) {
		rtt += b.set.CrossPrice * b.shortestAim.Seconds()
	}
	rtt *= 1 + suspicionLoad*b.unlessExpired(h.suspicion, h.suspicionUntil)
	others := b.peerLoadFactor * b.unlessExpired(h.peerLoad, h.peerLoadUntil)
	return rtt * ((float64(h.pending)+others+streamLoad*float64(h.streams))/h.weight() + 1)
}

// estimate reads the RTT decayed toward zero, so that a host that was
// penalised and then left alone drifts back into use.
func (b *Balancer) decayedRTT(h *host) float64 {
	if h.unsampled {
		return b.initialRTT(h) * b.estimateWeight(h)
	}
	return h.rtt * b.estimateWeight(h)
}

// believed is the estimate as far as evidence says that the host differs from the others: of
// few samples a peak tells more of the request than of the host, and hosts alike would get
// unlike parts. Where they are many, or plain, it stands whole; so does a penalty.
func (b *Balancer) believedRTT(h *host) float64 {
	average := b.meanRTT.mean
	if e := b.decayedRTT(h); !b.meanRTT.seen || h.unsampled || h.penalized && e > average {
		return e
	}
	h.penalized = false
	h.relativeTimes.Fade(b.now, b.estimateDecay())
	confidence := evidence.Sure(h.relativeTimes.Apart(0, b.noise.Deviation(1, priorAnswers), 1), equalUpToErrors, differentFromErrors)
	return (average + (h.rtt-average)*confidence) * b.estimateWeight(h)
}

// tell takes in how many times longer an answer took than its class does, as a logarithm.
func (b *Balancer) recordRelativeTime(h *host, rtt, classMean float64) {
	if rtt > 0 && classMean > 0 {
		x := math.Log(rtt / classMean)
		b.relativeTimes.Add(x, 1, maxSampleWeight)
		x -= b.relativeTimes.Sum / b.relativeTimes.N
		h.relativeTimes.Fade(b.now, b.estimateDecay())
		b.noise.Add(x-h.relativeTimes.Toward(0, 1), 1, maxSampleWeight)
		h.relativeTimes.Add(x, 1, maxSampleWeight)
		if !h.cold {
			b.kindTimes[h.Kind].Add(x, 1, 1/meanWeight)
		}
	}
}

// seed is the estimate of a host that has given no sample: the mean RTT of its kind
// or, before its kind has given any, a share of the shortest aim. It guards the slow
// hosts of a large fleet, where each instance meets each host seldom, against an equal
// share, which is more than they can do. Acts until the first sample.
func (b *Balancer) initialRTT(h *host) float64 {
	if b.kindTimes[h.Kind].N > 0 {
		return b.meanRTT.mean * b.kindSlowdown(h)
	}
	return unknownRTTAims * b.shortestAim.Seconds()
}

// slower is how many times longer the host's kind takes than all do.
func (b *Balancer) kindSlowdown(h *host) float64 { return math.Exp(b.kindTimes[h.Kind].Toward(0, 1)) }

// penalty is the base penalty of an error or a refusal. It grows with the mean RTT:
// beside hosts that answer late, one that refuses at once would be the best choice.
func (b *Balancer) penalty() float64 {
	return max(penaltyAims*b.shortestAim.Seconds(), penaltyRTTs*b.meanRTT.mean)
}

// fade is the weight that a host's estimate has kept since its last sample. Where
// samples of a host come seldom, a decay of a few aims would leave nothing of one by
// the next and the draw would be of chance: it grows with the gap between samples.
func (b *Balancer) estimateWeight(h *host) float64 {
	return math.Exp(-float64(b.now-h.rttAt) / float64(b.estimateDecay()))
}

func (b *Balancer) estimateDecay() Time {
	return max(estimateDecayAims*b.shortestAim, Time(1e9*estimateDecayGaps*b.sampleGap.mean))
}

// sample enters an RTT: above the estimate decayed to now it replaces it, below
// it is blended in.
func (b *Balancer) recordRTT(h *host, rtt float64) {
	if h.unsampled {
		h.rtt, h.unsampled = b.initialRTT(h), false
	}
	w := b.estimateWeight(h)
	if rtt > h.rtt*w {
		h.rtt = rtt
	} else {
		h.rtt = h.rtt*w + rtt*(1-w)
	}
	b.sampleGap.add((b.now - h.rttAt).Seconds())
	h.rttAt = b.now
}

// allows says whether the class rules let the request go to the host now.
func (b *Balancer) allows(r *request, h *host) bool {
	first := r.first()
	switch c := r.class; {
	case !b.retryable(c, first):
		return false
	case first == nil || c.Effect == Safe:
		return true
	case c.Group == GroupZone:
		return h.Zone == first.host.Zone
	case c.Group == GroupCell:
		return h.Cell == first.host.Cell
	}
	return true
}

// repeatable says whether a request of the class may be sent (again) somewhere,
// given its first attempt that may have run: an unsafe one never, a keyed one only
// while repeats are sure to be dropped.
func (b *Balancer) retryable(c *Class, first *attempt) bool {
	if first == nil || c.Effect == Safe {
		return true
	}
	return c.Effect == Keyed && b.now-first.sent <= c.Window-answerMarginSteps*b.set.Step
}

// ejected says whether a host that failed is out of the draw: until its back-off
// ends, and then for all but one trial at a time. The trial is a request that may be
// sent again, while there are such: one that may not would be lost to a failing host.
func (b *Balancer) ejected(r *request, h *host) bool {
	unsafe := r.class.Effect == Unsafe
	return unsafe && b.unlessExpired(h.suspicion, h.suspicionUntil) == 1 || h.ejections > 0 &&
		(b.now < h.ejectUntil || h.probing || unsafe && b.now < h.ejectUntil+safeProbeAims*b.shortestAim)
}

// Usable says whether a request of the class could be sent to any host now, were none
// full: where not, the gateway may have another fleet of hosts for it.
func (b *Balancer) Usable(now Time, class int) bool {
	b.now = now
	r := request{class: &b.set.Classes[class]}
	return slices.ContainsFunc(b.hosts, func(h *host) bool { return h.State == Ready && !b.ejected(&r, h) })
}

// Capacity is how many attempts this instance may have out, as hosts are now: the sum of
// the limits of those that are in use. Backups count where there is nothing else.
func (b *Balancer) Capacity(now Time) (n float64) {
	b.now = now
	backups := 0.0
	for _, h := range b.hosts {
		switch limit := max(1, h.limit/b.sharers); {
		case h.State != Ready || h.ejections > 0 && b.now < h.ejectUntil:
		case h.Backup:
			backups += limit
		default:
			n += limit
		}
	}
	return cmp.Or(n, backups)
}

// ColdSendRate is how many requests a second this instance may send while all hosts that it may use
// are cold; 0: one of them is warm, and no budget of cold hosts bounds the whole.
func (b *Balancer) ColdSendRate(now Time) (rate float64) {
	b.now = now
	for _, h := range b.hosts {
		if h.State != Ready || h.ejections > 0 && b.now < h.ejectUntil {
			continue
		}
		age := b.now - h.coldAt
		if !h.cold || age >= b.set.WarmAfter {
			return 0
		}
		rate += b.coldRate(h, age)
	}
	return rate
}

// eject takes a host out of the draw, longer each time in a row.
func (b *Balancer) eject(h *host, why string) {
	if h.ejections > 0 && b.now < h.ejectUntil {
		return
	}
	d := float64(firstEjectionAims*b.shortestAim) * float64(int(1)<<min(h.ejections, maxEjectionDoublings))
	h.ejectUntil = b.now + Time(d*(0.75+0.5*b.float()))
	h.ejections++
	if h.ejections == 1 {
		b.log(logEject, "host %x ejected: %s", h.ID, why)
	}
}

// atLimit says whether a host holds as much from this instance as it may: one at
// least, as rests of a limit below one starve hosts where many share them.
func (b *Balancer) atLimit(h *host) bool {
	return h.pending > 0 && float64(h.pending+1) > h.limit/b.sharers
}

func (b *Balancer) send(r *request, h *host) {
	a := b.newAttempt()
	a.req, a.host, a.sent, a.stallTime = r, h, b.now, b.stallTime
	a.probe = h.ejections > 0
	h.probing = h.probing || a.probe
	r.attempts = append(r.attempts, a)
	r.inFlight++
	h.pending++
	h.lastRound = b.round
	a.link.item = a
	h.inFlight.pushBack(&a.link)
	h.credit = min(h.credit-1, 1) // counts while the host is cold
	b.addAction(Action{Kind: Send, Request: r.ID, Host: h.ID})
	b.inFlight++
	b.sweepSoon()
}

// observe learns from the end of an attempt.
func (b *Balancer) recordResult(a *attempt, rtt float64) {
	h := a.host
	if a.probe {
		h.probing = false
	}
	switch a.result {
	case OK:
		h.answersSinceError++
		b.dropReinstated(h)
		b.recordRTT(h, rtt)
		b.recordRelativeTime(h, rtt, b.classRTT[a.req.Class].mean)
		b.classRTT[a.req.Class].add(rtt)
		b.meanRTT.add(rtt)
		b.recordLateness(a.req.class, rtt, 1)
		b.adjustLimit(h, rtt, a.sent)
		if !h.cold {
			if b.servedAt == 0 {
				b.servedFrom, b.servedAt = a.sent, b.now
			}
			kept := b.servedRate * math.Exp(-(b.now-b.servedAt).Seconds()/b.rateSpan)
			b.servedRate = kept + b.fleetSize/float64(max(b.warmHosts, 1))/b.rateSpan
			b.servedAt = b.now
		}
		b.readmit(h)
	case Full, Busy:
		h.penalized = true
		// Refusals come at once: a host that gives nothing else would draw all that waits.
		b.adjustLimit(h, max(rtt, b.penalty()), a.sent)
		b.recordRTT(h, max(rtt, b.penalty(), a.hint))
		b.readmit(h)
	case Failed:
		h.penalized = true
		b.recordRTT(h, max(rtt, b.penalty(), a.hint))
		if h.answersSinceError < minErrorGap || b.sharers > shedAboveSharers { // often, or seldom seen, so each counts
			b.eject(h, "errors")
		}
		h.answersSinceError = 0
	case TimedOut:
		h.penalized = true
		b.recordLateness(a.req.class, rtt, 1)
		b.recordRTT(h, rtt)
		b.adjustLimit(h, rtt, a.sent)
	case ConnectFailed, Reset:
		h.penalized = true
		b.recordRTT(h, rtt)
		b.eject(h, "connections fail")
		if h.down = a.result == ConnectFailed; h.down {
			wait := min(math.Ldexp(firstReconnectAims, h.connectFailures), maxReconnectAims)
			h.retryAt = b.now + Time(wait*float64(b.shortestAim))
			h.connectFailures++
		}
	}
}

// adjust steers a host's in-flight limit so that its mean RTT stays at a share of the shortest
// aim. It guards against crowding, which wastes the work of requests that come too late and can
// tip a host into a slow state; it acts above that share, and then once a round: only an
// attempt sent after the last cut can tell whether that was enough.
func (b *Balancer) adjustLimit(h *host, rtt float64, sent Time) {
	h.recentRTT.addAt(rtt, b.now, recentRTTAims*b.shortestAim.Seconds())
	target := limitRTTAims * b.shortestAim.Seconds()
	if h.recentRTT.mean > target {
		if sent >= h.limitCutAt {
			h.limit = max(minHostLimit, h.limit*target/h.recentRTT.mean)
			h.limitCutAt = b.now
		}
	} else if h.pending+1 >= int(h.limit/b.sharers) && b.queued > 0 {
		h.limit += limitGrowth * b.sharers / h.limit
	}
}

// readmit ends an ejection: the host has answered.
func (b *Balancer) readmit(h *host) {
	h.answeredAt = b.now
	if h.ejections == 0 {
		return
	}
	h.ejections, h.down, h.ejectedByPeers, h.peersProbe, h.connectFailures = 0, false, false, false, 0
	b.log(logReturn, "host %x is back", h.ID)
}

// settle decides what follows the end of an attempt: nothing if the request
// has its answer, another attempt if class and time allow it, and else
// the final answer.
func (b *Balancer) settle(r *request, a *attempt, closed bool) {
	switch {
	case r.done:
		b.release(r)
	case closed || a.result == OK && r.committed:
		b.end(r)
	case r.inFlight > 0 || r.queued:
	case b.mayRetry(r):
		b.sendOrQueue(r, true)
	default:
		b.answer(r)
	}
}

func (b *Balancer) mayRetry(r *request) bool {
	if r.committed || len(r.attempts)+r.Spent >= b.set.MaxAttempts || b.now+2*answerMarginSteps*b.set.Step >= r.deadline {
		return false
	}
	return b.retryable(r.class, r.first())
}

// answer gives the final answer to a request that will not be served: a refusal only where trying
// again is known to be harmless, for a keyed one as long as hosts drop what comes back.
func (b *Balancer) answer(r *request) {
	first, keyed := r.first(), r.class.Effect == Keyed && r.class.Group == GroupAll
	if first == nil || r.class.Effect == Safe ||
		keyed && b.now+b.set.MaxRetryAfter <= first.sent+r.class.Window {
		b.addAction(Action{Kind: Refuse, Request: r.ID, After: min(b.shortestAim/4, b.set.MaxRetryAfter)})
	} else {
		b.addAction(Action{Kind: Fail, Request: r.ID})
	}
	b.end(r)
}

// end closes a request that has its answer or needs none.
func (b *Balancer) end(r *request) {
	if r.done {
		return
	}
	r.done = true
	b.dequeue(r)
	b.cancelOthers(r, -1)
	b.release(r)
}

// cancelOthers calls off what is in flight for the request but attempt keep.
func (b *Balancer) cancelOthers(r *request, keep int) {
	for i, a := range r.attempts {
		if i != keep && !a.ended && b.set.Cancel {
			b.addAction(Action{Kind: Cancel, Request: r.ID, Attempt: i})
		}
	}
}

// enqueue lets a request wait in its line, a repeat at the front, for a small share of its aim:
// refused early, a client may yet be served in time, and what is sent has the rest left.
func (b *Balancer) enqueue(r *request, front bool) {
	r.queueDeadline = r.arrived + Time(maxQueueAims*float64(r.class.Aim))
	b.push(r, front)
	b.sweepSoon()
}

// pump turns away what has waited too long and sends what waits, worth most first.
func (b *Balancer) serveQueues() {
	for i := range b.queues {
		for n := b.queues[i].head; n != nil && b.now >= n.item.queueDeadline; n = b.queues[i].head {
			b.log(logRefuse, "refusing: hosts are full, %d requests wait", b.queued)
			b.answer(n.item)
		}
	}
	for i := 0; i < len(b.queues) && !b.serveQueue(&b.queues[i]); i++ {
	}
	b.sweepSoon()
}

// serve sends what waits in a line. A repeat bound to its group does not hold up
// those behind it. It says whether no host is ready for a request sent nowhere yet.
func (b *Balancer) serveQueue(queue *list[request]) (full bool) {
	for n := queue.head; n != nil; {
		r, next := n.item, n.next
		if h := b.pick(r); h != nil {
			b.dequeue(r)
			b.send(r, h)
		} else if r.first() == nil {
			return true
		}
		n = next
	}
	return false
}

// patience is how long an attempt may take before its host counts as silent.
func (b *Balancer) silenceTimeout(r *request) Time {
	if l := &b.classRTT[r.Class]; l.seen {
		return Time(1e9 * (l.mean + silenceDeviations*l.dev))
	}
	return r.class.Aim / 2
}

// listen looks for silent hosts: those that have answered nothing since their oldest attempt
// was sent, longer ago than such a request should take. They are ejected until they answer or
// a trial does. It guards against hosts that take requests and answer none. What waits there
// stays: most often it is answered yet, and sent again it costs more.
func (b *Balancer) ejectSilent() {
	b.inFlight = 0
	for _, h := range b.hosts {
		b.inFlight += h.pending
		n := h.inFlight.head // the oldest
		if n == nil || n.item.sent < h.answeredAt || b.countedTime(n.item, b.now-n.item.sent) < b.silenceTimeout(n.item.req) {
			continue
		}
		b.eject(h, "silent")
	}
}

// relieve gives up requests that are out past their aim and may be repeated, so that those
// that wait find room. It guards against requests that cost many times the usual, each of which
// holds a host until its deadline, as does the client's repeat. It acts while requests wait.
func (b *Balancer) giveUpOverdue() {
	if b.queued == 0 || !b.set.Cancel {
		return
	}
	for _, h := range b.hosts {
		for n := h.inFlight.head; n != nil; n = n.next {
			r := n.item.req
			if !r.done && !r.committed && r.class.Effect != Unsafe && b.now-r.arrived > r.class.Aim {
				b.recordOverdue(r)
				b.answer(r)
			}
		}
	}
}

func (b *Balancer) sweepSoon() {
	if b.sweepAt == 0 && (b.queued > 0 || b.inFlight > 0) {
		b.sweepAt = b.now + max(b.set.Step, Time(float64(b.shortestAim)*sweepAims))
		b.setTimer(b.sweepAt, tokenSweep<<tokenShift)
	}
}

// watchIn asks discovery for changes after d.
func (b *Balancer) watchIn(d Time) {
	b.watchAt = b.now + d
	b.setTimer(b.watchAt, tokenWatch<<tokenShift)
}

// lostList asks again with a growing, jittered back-off; the old list stands.
func (b *Balancer) hostListLost() {
	if b.watching || b.watchFails == 0 {
		b.log(logLost, "host list lost, asking again")
	}
	b.watching = false
	if !b.set.Ask {
		return
	}
	d := float64(b.set.AskWithin) / 16 * float64(int(1)<<min(b.watchFails, 3))
	d = min(d, listRetryDelay*float64(1+min(b.watchFails, 1)))
	b.watchFails++
	b.watchIn(Time(d * (0.5 + b.float())))
}

func (b *Balancer) hostListRegained() {
	if b.watchFails > 0 {
		b.log(logFound, "host list regained")
	}
	b.watching, b.watchFails = true, 0
}
