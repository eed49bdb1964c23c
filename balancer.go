package frostshift

// This file contains the decision logic of the balancer, except for hosts that have just started,
// which are in coldhost.go. The types of its interface are in api.go.
//
// Reading order: the constants; New (the state of a Balancer is in state.go); one method per event,
// from Start to Timer; then the methods that they call: sendOrQueue and pick (the normal path),
// load, decayedRTT and recordRTT (the score of a host), allows to atLimit (which hosts are ready),
// recordResult and adjustLimit (learning), settle to end (what follows an attempt), enqueue to
// serveQueue (the queues), ejectSilent (silent hosts), and finally discovery.
//
// The normal path is failure-aware peak EWMA with two choices: of two random ready hosts the one
// with the lower RTT estimate x (own pending attempts + 1) gets the request. The deviations from
// it decide which hosts are ready; the comment of each says when it applies.

import (
	"cmp"
	"frostshift/internal/evidence"
	"math"
	"slices"
)

// Most constants are relative to settings or measured values. Those named ...Aims are multiples of
// the shortest aim of all classes.
const (
	decayAims       = 8    // time constant of the RTT estimates: outlasts a gap between samples
	decayGaps       = 8    // its lower bound, in mean gaps between own samples of a host
	equalUpTo       = 1    // standard errors up to which a host is considered equal to the others
	differentFrom   = 2    // standard errors from which on its RTT estimate is used in full
	maxSampleWeight = 50   // maximum weight of the samples kept of a host, in answers
	unknownAims     = 0.25 // RTT assumed for an unknown host: at 0 it would look idle
	penaltyAims     = 1    // minimum RTT recorded for an error or refusal
	penaltyRTTs     = 2    // second minimum for it, in mean RTTs of good answers

	firstEjectionAims  = 2       // duration of the first ejection
	minErrorGap        = 30      // good answers between two errors from which on none ejects the host
	safeProbeAims      = 8       // time after an ejection in which only retryable requests probe
	weightedLoadRatio  = 2       // draw by weights: maximum ratio of the load of the first host to the second
	maxRetryHintAims   = 64      // maximum Retry-After hint of a host that is accepted
	maxDoublings       = 5       // maximum number of doublings of the duration of an ejection
	firstReconnectAims = 1.0 / 8 // first delay of a probe while all hosts refuse connections
	maxReconnectAims   = 16      // maximum of that delay: such a probe sends no request

	coldBudgetSigmas  = 3.0     // standard deviations that sends stay below the budget of a cold host
	coldCreditSigmas  = 4.0     // standard deviations of the fleet's sends that unused credit may add
	rateWindows       = 4       // averaging time of rates, in overload windows (Settings.OverloadWindow)
	minRateFraction   = 1.0 / 8 // minimum fraction of that time that a short history counts as
	quotaBurstSeconds = 1.0     // seconds of its quota that a tenant may accumulate

	sweepAims        = 1.0 / 16 // interval of the checks of queues and silent hosts
	limitRTTAims     = 0.375    // target mean RTT of the in-flight limit of a host
	recentRTTAims    = 0.5      // averaging time of the recent RTT of a host: shorter than an overload takes
	minHostLimit     = 2        // minimum in-flight limit of a host: one attempt runs while the next arrives
	limitGrowth      = 0.3      // attempts the fleet adds to a limit per round trip while requests wait
	initialHostLimit = 4        // in-flight limit of a new host for the whole fleet, in attempts

	maxQueueShare    = 0.2  // maximum time that a request waits for a host, as a share of its aim
	silenceSigmas    = 3    // deviations above the mean RTT after which a host counts as silent
	clientRetryWorth = 0.5  // factor on the worth of a client retry: it may come too late
	arrivalWeight    = 0.02 // weight of an arrival in the shares of the queues: about the last 50 count
	meanWeight       = 0.1  // weight of a sample in a moving average: about the last ten count

	shedFromLateness  = 0.38 // mean RTT in aims above which requests are shed: most are in time
	shedUntilLateness = 0.25 // mean RTT in aims below which shedding stops: the delay is over
	priorLateness     = 0.06 // mean RTT in aims that is assumed without evidence
	priorAnswers      = 2    // weight of that assumption in answers: one slow answer is no overload
	maxLateWeight     = 5    // maximum weight of the answers kept: hosts become overloaded within seconds
	maxAdmitSteps     = 4    // maximum steps of one answer: a rare one stands for more time
	shedStep          = 0.2  // share of the admitted requests that one answer sheds at 2x shedFromLateness
	admitStep         = 0.1  // share of all requests that one answer would admit again at a mean RTT of 0
	shedAboveSharers  = 3    // instances per host above which its in-flight limit leaves each less than 1
	minAdmitted       = 0.02 // minimum admitted share: answers must show when the overload ends

	subsetSharers    = 4   // target instances per host: connections and handshakes load it
	minSubset        = 4   // minimum hosts in a subset: a choice of two while some are ejected
	hostsPerInFlight = 2.5 // hosts to use per request in flight when none is overloaded
	minDrawSubset    = 32  // subset size from which on hosts are drawn, not examined in turn
	maxDraws         = 12  // maximum draws; with half of the hosts ejected 99.7% succeed

	stallTimeDivisor    = 8     // 1/8 of an attempt's time counts even if the gateway was stalled
	streamLoad          = 0.125 // load of a streaming body, in attempts: it mostly waits for its client
	suspicionLoad       = 3     // multiple of its RTT added to a host at full suspicion (1) by peers
	ownAnswerAims       = 2     // time after an own answer in which refusals met by peers are ignored
	ignorePeerLoadEvery = 8     // one of so many requests ignores the in-flight attempts of peers

	marginSteps    = 2     // minimum time from an answer to the deadline, in Settings.Step
	maxNewStartAge = 600e9 // maximum age of a start first reported by a list change, in ns
	maxStartAhead  = 60e9  // maximum time of a start in the future, in ns: clocks differ
	listRetryDelay = 0.8e9 // maximum mean delay of the first retry of a lost list, in ns; then x2
)

const (
	tokenSweep  = iota + 1 // check the queues and silent hosts
	tokenWatch             // send a watch to discovery
	tokenAnswer            // give a request its final answer before its deadline

	tokenShift = 56 // a token is its kind, shifted left by so many bits, plus the request ID
)

// New returns a Balancer for the settings, or an error if the settings are not valid.
func New(set Settings, seed uint64) (*Balancer, error) {
	if err := check(&set); err != nil {
		return nil, err
	}
	b := &Balancer{set: set, rng: seed, byID: map[HostID]*host{}, requestByID: map[RequestID]*request{}}
	b.shortestAim = set.Classes[0].Aim
	for _, c := range set.Classes {
		b.shortestAim, b.longestAim = min(b.shortestAim, c.Aim), max(b.longestAim, c.Aim)
	}
	b.round, b.admitted, b.rateSpan, b.sharers = 1, 1, rateWindows*set.OverloadWindow.Seconds(),
		float64(set.Instances)
	b.fleetInfo = Fleet{RankPosition(set.Rank, set.Instances), set.Instances, set.Instances}
	for _, t := range set.Tenants {
		r := t.Quota / float64(set.Instances)
		b.quotas = append(b.quotas, bucket{tokens: r * quotaBurstSeconds, rate: r})
	}
	b.classRTT = make([]mean, len(set.Classes))
	b.buildQueues()
	return b, nil
}

// Fleet reports how many instances share the hosts. Both bounds are used on the safe side: the minimum
// number of instances sets the size of the subset of each, so that no host is left without an instance;
// the maximum divides the budgets of cold hosts and the quotas of tenants, so that all instances
// together stay within them. Values that are not valid are ignored.
func (b *Balancer) Fleet(now Time, fleet Fleet) {
	if b.now = now; fleet.Min < 1 || fleet.Max < fleet.Min || !(fleet.Position >= 0 && fleet.Position < 1) ||
		fleet == b.fleetInfo {
		return
	}
	b.fleetInfo = fleet
	for i := range b.quotas {
		b.quotas[i].rate = b.set.Tenants[i].Quota / float64(fleet.Max)
	}
	b.rebuildRing()
	b.serveQueues()
}

// buildQueues orders the queues: each class has one for requests within quota and one for those beyond
// it, and the same two again for client retries. The queue with the highest worth is served first; of
// equal worth, the one with the shorter aim.
func (b *Balancer) buildQueues() {
	type waitingQueue struct {
		class, bits int
		worth       float64
	}
	var ordered []waitingQueue
	for i, c := range b.set.Classes {
		for bits := range 4 {
			worth := c.Worth
			if bits&overQuota != 0 {
				worth *= b.set.OverQuotaWorth
			}
			if bits&clientRetry != 0 {
				worth *= clientRetryWorth
			}
			ordered = append(ordered, waitingQueue{i, bits, worth})
		}
	}
	slices.SortStableFunc(ordered, func(x, y waitingQueue) int {
		aimX, aimY := b.set.Classes[x.class].Aim, b.set.Classes[y.class].Aim
		return cmp.Or(cmp.Compare(y.worth, x.worth), cmp.Compare(aimX, aimY))
	})
	b.queueOf = make([][4]int, len(b.set.Classes))
	b.queues = make([]list[request], len(ordered))
	b.arrivals = make([]float64, len(ordered))
	for k, q := range ordered {
		b.queueOf[q.class][q.bits] = k
	}
}

// Start is the first event: the gateway has started. If the host list must be polled, the watch begins
// here, after a delay by ring position so that instances that start together do not poll at once.
func (b *Balancer) Start(now Time) {
	b.now = now
	if b.set.Ask {
		b.watchIn(Time(float64(b.set.AskWithin) / 4 * b.fleetInfo.Position))
	}
}

// Hosts reports a host list, changes to it, or the failure to get it.
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
	for _, entry := range list {
		b.updateHost(entry, kind)
	}
	b.forgetRemoved()
	b.rebuildRing()
	b.serveQueues()
}

// rebuildRing arranges the hosts in a ring of pseudo-random order that begins at the position of this
// instance; the subset is the first of them. One host more or less changes a subset
// by at most one host. Subsets save hosts a connection from every instance and give an instance
// enough samples of each host. They matter where more than subsetSharers instances would share a
// host. Half of a subset is from the own zone, because crossing zones costs; the other half is from
// any zone, because one zone may have too much traffic.
func (b *Balancer) rebuildRing() {
	defer b.rebuildNearSubset()
	b.updatePositions()
	b.warmHosts, b.backups, b.weighted, b.nextWarmAt = 0, 0, false, 0
	nearHosts := b.nearHosts[:0]
	hostsInZone := map[int]float64{} // number of hosts per zone
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
	b.fleetSize = float64(b.fleetInfo.Max)
	if len(b.byPosition) > 0 && b.byPosition[0].Sharers > 0 {
		b.useWholeList()
		return
	}
	subsetSizeOf := func(of int) int { return max(minSubset, (b.warmHosts*subsetSharers+of-1)/of) }
	b.subsetSize = subsetSizeOf(b.fleetInfo.Min)
	for _, h := range b.byPosition {
		if b.set.Zones > 1 && !b.remote(h) {
			nearHosts = append(nearHosts, h)
		}
	}
	b.nearHosts = nearHosts
	b.ring = b.appendRotated(b.ring[:0], nearHosts)
	b.ring = b.ring[:min(len(nearHosts), b.subsetSize/2)]
	first, total := len(b.ring), len(b.byPosition)
	b.ring = b.appendRotated(b.ring, b.byPosition)
	b.ring = b.ring[:first+len(without(b.ring[first:], b.ring[:first]))]
	b.sharers = min(1, float64(b.subsetSize)/float64(max(b.warmHosts, 1))) * b.fleetSize
	// The sharers of a cold host are the instances that reach it in their own zone or in any zone.
	// If Min and Max differ, cold hosts are used only in the subset computed from Max, and one
	// more sharer is assumed because the positions of instances may disagree: so the shares of
	// all instances sum up to at most one (docs/design/gossip.md).
	minSize, slack := subsetSizeOf(b.fleetInfo.Max), float64(min(1, b.fleetInfo.Max-b.fleetInfo.Min))
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

// useWholeList uses all hosts: discovery has already selected the subset of this instance (Host.Sharers).
func (b *Balancer) useWholeList() {
	b.ring, b.subsetSize, b.sharers = append(b.ring[:0], b.byPosition...), len(b.byPosition), 0
	for _, h := range b.ring {
		h.sharers, h.usableCold = float64(h.Sharers), true
		b.coldBlocked(h)
		b.sharers += h.sharers / float64(len(b.ring))
	}
	b.fleetSize = b.sharers
}

// rebuildNearSubset collects the hosts of the subset that are in the own zone, if those are preferred,
// and raises reach to at least the size of the subset.
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
		h.suspicion = 0 // it was about an earlier start
		b.markCold(h, max(b.startTime(&entry, kind), h.coldAt))
	}
}

// applyState sets the state of a host to what the host list and the operators both allow: a host that
// an operator has taken out finishes its work and gets no new requests, whatever the list says.
func (b *Balancer) applyState(h *host) {
	if h.State = h.listedState; b.banned[h.ID] && h.State == Ready {
		h.State = Draining
	}
}

// Ban takes a host out of service by an operator's order, or puts it back into service if out is false.
// The host list and the operators must both allow a host. A host that is put back may have been
// changed: its statistics are discarded, it is cold from now on, and it gets the next request that
// its cold budget allows.
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

// HostHealth reports what other instances observed at a host. It never replaces own outcomes: suspicion
// makes the host count as slower and, at 1, keeps unsafe requests away; connection refusals that several
// peers met eject it as an own one would, until an own probe succeeds, or for as long as peers probe it.
// The ejection applies only if the host has not answered this instance recently, and to at most half of
// the hosts.
func (b *Balancer) HostHealth(now Time, health HostHealth) {
	b.now = now
	h := b.byID[health.Host]
	if h == nil {
		return
	}
	h.suspicion, h.suspicionUntil = min(max(health.Suspicion, 0), 1), health.Until
	if h.peersProbe && !(health.Down && health.Wait) { // peers got answers: all may probe, spread out
		h.peersProbe, h.ejectUntil = false, min(h.ejectUntil,
			now+Time(ownAnswerAims*float64(b.shortestAim)*b.float()))
	}
	switch {
	case !health.Down || now >= health.Until || now-h.answeredAt < ownAnswerAims*b.shortestAim:
		return
	case h.ejections == 0 && 2*(b.ejectedByPeersCount()+1) > len(b.hosts):
		return
	case h.ejections == 0:
		b.eject(h, "others are refused")
		h.down, h.ejectedByPeers = true, true
	}
	if health.Wait {
		h.ejectUntil, h.peersProbe = max(h.ejectUntil, health.Until), true
	}
}

// PeerLoad reports the in-flight attempts of peers at a host. They count like own pending attempts when
// two hosts are compared, except for one request in ignorePeerLoadEvery: so every host keeps that share
// of its own requests, whatever is reported.
func (b *Balancer) PeerLoad(now Time, load PeerLoad) {
	if h := b.byID[load.Host]; h != nil {
		h.peerLoad, h.peerLoadUntil = load.InFlight, load.Until
	}
}

// reinstatedHost returns a host that an operator has put back into service and that has not answered
// since, if the request may go there now and no attempt is in flight at it; otherwise nil. Unsafe
// requests are not risked on it.
func (b *Balancer) reinstatedHost(r *request) *host {
	for _, h := range b.reinstated {
		if r.class.Effect != Unsafe && h.State == Ready && h.pending == 0 && b.allows(r, h) &&
			!b.ejected(r, h) && !b.coldBlocked(h) {
			return h
		}
	}
	return nil
}

// Request reports a new client request; it gets exactly one final answer. A request with an ID in use
// or an unknown class is ignored.
func (b *Balancer) Request(now Time, q Request) {
	b.now = now
	if b.requestByID[q.ID] != nil || q.Class < 0 || q.Class >= len(b.set.Classes) {
		return
	}
	r := b.newRequest()
	r.Request, r.class, r.arrived = q, &b.set.Classes[q.Class], now
	r.deadline = now + min(max(q.Left, 0), r.class.Deadline)
	r.queue = b.queueOf[q.Class][b.queueBits(r)]
	b.requestByID[q.ID] = r
	b.widenReach()
	for i := range b.arrivals {
		b.arrivals[i] *= 1 - arrivalWeight
	}
	b.arrivals[r.queue]++
	b.setTimer(max(now, r.deadline-marginSteps*b.set.Step), tokenAnswer<<tokenShift|uint64(q.ID))
	if now+marginSteps*b.set.Step >= r.deadline {
		b.answer(r) // the deadline is too close to send it
		return
	}
	if b.shouldShed(r) {
		b.log(logShed, "shedding: answers are late, %.0f%% of requests admitted", 100*b.admitted)
		b.answer(r)
		return
	}
	b.sendOrQueue(r, false)
}

// widenReach lets an instance that gets more than its share of the load use more hosts than its subset,
// so that its own requests do not fill any of them: hostsPerInFlight hosts per request in flight, as
// estimated from the request rate and the RTT without overload. Cold hosts beyond the subset have
// other sharers and get nothing from this instance.
func (b *Balancer) widenReach() {
	if b.ownRateAt == 0 {
		b.ownRateFrom = b.now
	}
	b.ownRate, b.ownRateAt = b.ownRate*math.Exp(-(b.now-b.ownRateAt).Seconds()/b.rateSpan)+1/b.rateSpan, b.now
	rate := b.ownRate / max(minRateFraction, 1-math.Exp(-(b.now-b.ownRateFrom).Seconds()/b.rateSpan))
	b.reach = max(b.subsetSize, int(math.Ceil(hostsPerInFlight*rate*
		min(b.meanRTT.mean, shedUntilLateness*b.shortestAim.Seconds()))))
}

// shouldShed reports whether a request is refused on arrival: requests are admitted in the order of
// their worth up to the share that hosts serve in time. It protects hosts that many instances overload
// together while each has so few attempts there that no in-flight limit of its own can detect it. It
// applies while answers are late.
func (b *Balancer) shouldShed(r *request) bool {
	if b.admitted >= 1 || b.sharers <= shedAboveSharers {
		return false
	}
	if b.lateness() < shedUntilLateness { // no sign of overload any more
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

// recordLateness adjusts the admitted share by how late an answer was, as a fraction of its aim, weighted
// by worth. answers is the weight of the sample: a request without an answer at its deadline counts as 2.
func (b *Balancer) recordLateness(c *Class, rtt, answers float64) {
	b.meanWorth.add(c.Worth)
	steps := min(maxAdmitSteps, max(1, float64(b.now-b.latenessAt)/float64(b.longestAim)*4))
	b.latenessAt = b.now
	b.lateness()
	b.relativeRTT.Add(min(1, rtt/c.Aim.Seconds()), answers*min(c.Worth/b.meanWorth.mean, 2), maxLateWeight)
	if over := b.lateness()/shedFromLateness - 1; over > 0 {
		b.admitted = max(minAdmitted, b.admitted*math.Pow(1-shedStep*min(over, 1), steps))
	} else {
		b.admitted = min(1, b.admitted-admitStep*over*steps)
	}
}

// lateness returns the estimated mean RTT of the last few answers, in aims.
func (b *Balancer) lateness() float64 {
	b.relativeRTT.Fade(b.now, b.longestAim)
	return b.relativeRTT.Toward(priorLateness, priorAnswers)
}

// The bits that select one of the four queues of a class.
const (
	overQuota   = 1 << iota // the request is beyond the quota of its tenant
	clientRetry             // the request is a client retry
)

// queueBits returns which queue of its class a request belongs to, and uses up quota of its tenant.
func (b *Balancer) queueBits(r *request) (bits int) {
	if r.Tenant >= 0 && r.Tenant < len(b.quotas) && !b.quotas[r.Tenant].take(b.now) {
		bits |= overQuota
	}
	if r.Repeat {
		bits |= clientRetry
	}
	return bits
}

// StreamStarted reports that the answer stream of attempt n has begun: the request is committed to that
// attempt, and its other attempts are canceled if Settings.Cancel is set.
func (b *Balancer) StreamStarted(now Time, id RequestID, n int) {
	b.now = now
	if r := b.requestByID[id]; r != nil && !r.done && n >= 0 && n < len(r.attempts) {
		r.committed = true
		b.cancelOthers(r, n)
	}
}

// RequestBodyPending reports that the body of the request of attempt n is still arriving from the client.
// That time does not count against the host, where the attempt is a streaming body meanwhile, and the
// deadline of the request is set anew after the last byte.
func (b *Balancer) RequestBodyPending(now Time, id RequestID, n int) {
	b.now = now
	if a := b.openAttempt(id, n); a != nil && !a.streaming {
		a.req.bodyPending = true
		a.startStreaming()
	}
}

// RequestBodySent reports that the last byte of a request after RequestBodyPending has been sent.
func (b *Balancer) RequestBodySent(now Time, id RequestID, n int) {
	b.now = now
	if a := b.openAttempt(id, n); a != nil && a.req.bodyPending {
		a.sent, a.stallTime = now, b.stallTime
		a.stopStreaming()
		b.restartDeadline(a.req)
	}
}

// restartDeadline sets the deadline of a request whose body has been sent, counted from now.
func (b *Balancer) restartDeadline(r *request) {
	r.bodyPending, r.deadlineMoved, r.arrived = false, true, b.now
	r.deadline = b.now + min(max(r.Left, 0), r.class.Deadline)
	b.setTimer(r.deadline-marginSteps*b.set.Step, tokenAnswer<<tokenShift|uint64(r.ID))
}

// ResponseStreaming reports that the head of the final answer has arrived after took, and that its body is
// now streamed as fast as the client reads it. result is what the result would be if the answer ended
// here. Until its Outcome the body counts as a streaming body of the host; its duration says nothing
// about the speed of the host.
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

// Outcome reports the end of an attempt. An unknown or already ended attempt is ignored.
func (b *Balancer) Outcome(now Time, o Outcome) {
	b.now = now
	r := b.requestByID[o.Request]
	if r == nil || o.Attempt < 0 || o.Attempt >= len(r.attempts) || r.attempts[o.Attempt].ended {
		return
	}
	a := r.attempts[o.Attempt]
	a.ended, a.result = true, o.Result
	a.retryAfter = min(o.After, maxRetryHintAims*b.shortestAim).Seconds()
	r.openAttempts--
	a.leaveHost()
	if a.responseStreaming && o.Result == Reset { // the connection broke within the body
		b.recordRTT(a.host, b.penalty())
		b.eject(a.host, "connections fail")
	}
	if !a.responseStreaming { // otherwise the result was recorded at the head of the answer
		if r.bodyPending {
			b.restartDeadline(r)
		}
		b.recordResult(a, b.countedTime(a, max(o.Elapsed, 0)).Seconds())
	}
	b.settle(r, a, o.Closed)
	b.forget(a.host)
	b.serveQueues()
}

// Stalled reports that the gateway itself was stalled or behind for the duration d until now. Answers
// that hosts gave in that time were seen late, which does not mean that the hosts were slow: otherwise
// their in-flight limits would be cut, and requests refused for that would be retried by clients.
func (b *Balancer) Stalled(now, d Time) {
	b.now = now
	b.stallTime += d
}

// countedTime returns the elapsed time of an attempt less the time that the gateway was stalled, but at
// least a stallTimeDivisor-th of it.
func (b *Balancer) countedTime(a *attempt, elapsed Time) Time {
	return max(elapsed-(b.stallTime-a.stallTime), elapsed/stallTimeDivisor)
}

// ClientGone reports that the client no longer waits for the request.
func (b *Balancer) ClientGone(now Time, id RequestID) {
	b.now = now
	if r := b.requestByID[id]; r != nil && !r.done {
		b.end(r)
	}
}

// Timer reports that the timer of a Wake action has fired.
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
		r := b.requestByID[RequestID(token&(1<<tokenShift-1))]
		if r == nil || r.done || r.committed || r.bodyPending ||
			r.deadlineMoved && now < r.deadline-marginSteps*b.set.Step {
			return
		}
		b.recordOverdue(r)
		b.answer(r)
	}
}

// recordOverdue records the attempts in flight of a request that is given up for lateness like time-outs:
// they are canceled, and their outcomes would not count against hosts that are so late.
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

// sendOrQueue sends the request if a host is ready for it, and queues it otherwise. It does not overtake
// requests that already wait.
func (b *Balancer) sendOrQueue(r *request, retry bool) {
	if b.queued == 0 {
		if h := b.pick(r); h != nil {
			b.send(r, h)
			return
		}
	}
	b.enqueue(r, retry)
	b.serveQueues()
}

// pick selects a host on the normal path: of two random ready hosts, the less loaded one. If hosts of
// the own zone are preferred and the selected one is remote, it is compared with the less loaded of
// two near ones: the own zone is used until it is slower by the cost of crossing zones. It returns nil
// if no host is ready.
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
	limited := b.collectReady(r, false)
	if len(b.readyScratch)+limited == 0 && b.backups > 0 {
		limited = b.collectReady(r, true) // no other host can take the request
	}
	// Fail open: if most hosts are ejected, the cause is more likely the network path or the load
	// than every host, and the few others must not get all requests. Hosts that refuse connections
	// are excluded.
	if len(b.ejectedScratch) > len(b.readyScratch)+limited {
		b.log(logFailOpen, "%d hosts are ejected, most that are near: using them all the same",
			len(b.ejectedScratch))
		for _, h := range b.ejectedScratch[:min(len(b.ejectedScratch), b.subsetSize)] {
			if !b.coldBlocked(h) && !b.atLimit(h) {
				b.readyScratch = append(b.readyScratch, h)
			}
		}
	}
	n := len(b.readyScratch)
	if n == 0 && limited == 0 {
		return b.lastResort(r)
	}
	if n == 0 {
		return nil
	}
	if n == 1 {
		return b.readyScratch[0]
	}
	// With weights the two draws are independent, and the first is used unless the second has much
	// less load: a host with a larger weight has higher RTT peaks, and a plain comparison would
	// distribute the work evenly.
	if b.weighted {
		x, y := b.drawByWeight(b.readyScratch), b.drawByWeight(b.readyScratch)
		if b.load(x) > weightedLoadRatio*b.load(y) {
			return y
		}
		return x
	}
	// Two random hosts, preferring those that were not used in this selection round: with few
	// requests, pure chance would often send three in a row to one host.
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

// lastResort returns the host to connect to if all hosts of the subset refuse connections, or nil if it
// is too early for another attempt. It handles a network path that fails for a moment, which ejects all
// hosts: delays begin short, and grow while no host is reached.
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

// collectReady collects the ready hosts and the ejected hosts of the subset, considering either only
// backup hosts or only the others. It returns how many more hosts are at their in-flight limit.
func (b *Balancer) collectReady(r *request, backups bool) (limited int) {
	b.readyScratch, b.ejectedScratch = b.readyScratch[:0], b.ejectedScratch[:0]
	for i, h := range b.ring {
		if h.Backup != backups {
			continue
		}
		// The loop ends with the subset, however few of its hosts are usable: if each instance
		// searched on, those few would get an attempt of every instance, and all would be late.
		if n := len(b.readyScratch) + limited; n == b.reach || n > 1 && i >= b.reach {
			break
		}
		switch {
		case h.State != Ready || !b.allows(r, h):
		case b.ejected(r, h) && h.down:
		case b.ejected(r, h):
			b.ejectedScratch = append(b.ejectedScratch, h)
		case b.coldBlocked(h):
		case h.cold && !h.usableCold: // hosts further on have other sharers
		case b.atLimit(h):
			limited++
		default:
			b.readyScratch = append(b.readyScratch, h)
		}
	}
	return limited
}

// lessLoaded returns the less loaded of two hosts; either may be nil.
func (b *Balancer) lessLoaded(x, y *host) *host {
	if x == nil || y != nil && b.load(y) < b.load(x) {
		return y
	}
	return x
}

// drawRandom selects a host in a large subset: hosts are drawn at random until two of them are ready,
// which gives two random ready hosts at a cost that does not grow with the subset. It returns nil, and
// collectReady is used instead, if the subset is small, hosts have weights, or too few draws are ready.
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

// drawTwo draws hosts at random until two of them are ready, and skips up to maxDraws/2 hosts that were
// used in this selection round. A result that was not found is nil.
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

// load returns the score of a host: its RTT estimate x (own pending attempts + 1). A host of another zone
// counts as slower by the cost of crossing zones, a fraction of the shortest aim.
func (b *Balancer) load(h *host) float64 {
	rtt := b.believedRTT(h)
	if b.remote(h) {
		rtt += b.set.CrossPrice * b.shortestAim.Seconds()
	}
	rtt *= 1 + suspicionLoad*b.unlessExpired(h.suspicion, h.suspicionUntil)
	peerLoad := b.peerLoadFactor * b.unlessExpired(h.peerLoad, h.peerLoadUntil)
	return rtt * ((float64(h.pending)+peerLoad+streamLoad*float64(h.streams))/h.weight() + 1)
}

// decayedRTT returns the RTT estimate in seconds, decayed toward zero so that a host that was penalized
// and then left unused is gradually used again.
func (b *Balancer) decayedRTT(h *host) float64 {
	if h.unsampled {
		return b.initialRTT(h) * b.estimateWeight(h)
	}
	return h.rtt * b.estimateWeight(h)
}

// believedRTT returns the RTT estimate in seconds, drawn toward the mean of all hosts unless there is
// evidence that the host differs: with few samples, a peak says more about the request than about the
// host, and equal hosts would get unequal shares. With many samples or a clear difference the estimate
// counts in full; so does a penalty.
func (b *Balancer) believedRTT(h *host) float64 {
	average := b.meanRTT.mean
	if e := b.decayedRTT(h); !b.meanRTT.seen || h.unsampled || h.penalized && e > average {
		return e
	}
	h.penalized = false
	h.relativeTimes.Fade(b.now, b.estimateDecay())
	confidence := evidence.Sure(h.relativeTimes.Apart(0, b.noise.Deviation(1, priorAnswers), 1),
		equalUpTo, differentFrom)
	return (average + (h.rtt-average)*confidence) * b.estimateWeight(h)
}

// recordRelativeTime records the logarithm of the ratio of the RTT of an answer to the mean of its class.
func (b *Balancer) recordRelativeTime(h *host, rtt, classMean float64) {
	if rtt > 0 && classMean > 0 {
		x := math.Log(rtt / classMean)
		b.allRelativeTimes.Add(x, 1, maxSampleWeight)
		x -= b.allRelativeTimes.Sum / b.allRelativeTimes.N
		h.relativeTimes.Fade(b.now, b.estimateDecay())
		b.noise.Add(x-h.relativeTimes.Toward(0, 1), 1, maxSampleWeight)
		h.relativeTimes.Add(x, 1, maxSampleWeight)
		if !h.cold {
			b.kindTimes[h.Kind].Add(x, 1, 1/meanWeight)
		}
	}
}

// initialRTT returns the RTT estimate in seconds of a host without samples: the mean RTT of its kind or,
// if its kind has no samples, a fraction of the shortest aim. In a large fleet each instance rarely
// uses each host; without this estimate slow hosts would get an equal share, which is more than they
// can serve. It applies until the first sample.
func (b *Balancer) initialRTT(h *host) float64 {
	if b.kindTimes[h.Kind].N > 0 {
		return b.meanRTT.mean * b.kindSlowdown(h)
	}
	return unknownAims * b.shortestAim.Seconds()
}

// kindSlowdown returns the ratio of the time of the kind of the host to the mean of all hosts.
func (b *Balancer) kindSlowdown(h *host) float64 { return math.Exp(b.kindTimes[h.Kind].Toward(0, 1)) }

// penalty returns the minimum RTT in seconds recorded for an error or a refusal. It grows with the mean
// RTT: next to slow hosts, a host that refuses at once would otherwise be the best choice.
func (b *Balancer) penalty() float64 {
	return max(penaltyAims*b.shortestAim.Seconds(), penaltyRTTs*b.meanRTT.mean)
}

// estimateWeight returns the weight that the RTT estimate of a host has kept since its last sample. If
// samples of a host are rare, a decay within a few aims would leave nothing of one by the next sample
// and the selection would be random; so the time constant grows with the gap between samples.
func (b *Balancer) estimateWeight(h *host) float64 {
	return math.Exp(-float64(b.now-h.rttAt) / float64(b.estimateDecay()))
}

func (b *Balancer) estimateDecay() Time {
	return max(decayAims*b.shortestAim, Time(1e9*decayGaps*b.sampleGap.mean))
}

// recordRTT records an RTT in seconds: if it is above the decayed estimate it replaces the estimate, below
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

// allows reports whether the rules of the class let the request go to the host now.
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

// retryable reports whether a request of the class may be sent (again), given its first attempt that may
// have run (nil if there is none): an unsafe request never, a keyed one only while hosts are sure to drop
// duplicates.
func (b *Balancer) retryable(c *Class, first *attempt) bool {
	if first == nil || c.Effect == Safe {
		return true
	}
	return c.Effect == Keyed && b.now-first.sent <= c.Window-marginSteps*b.set.Step
}

// ejected reports whether a request may not go to a host because of failures: until the ejection ends,
// and then for all but one probe at a time. The probe is a request that may be retried, unless there is
// none for safeProbeAims: an unsafe one would be lost at a failing host. Full suspicion by peers also
// keeps unsafe requests away.
func (b *Balancer) ejected(r *request, h *host) bool {
	unsafe := r.class.Effect == Unsafe
	return unsafe && b.unlessExpired(h.suspicion, h.suspicionUntil) == 1 || h.ejections > 0 &&
		(b.now < h.ejectUntil || h.probing || unsafe && b.now < h.ejectUntil+safeProbeAims*b.shortestAim)
}

// Usable reports whether a request of the class could be sent to any host now if none were at its limit.
// If not, the gateway may use another pool of hosts for it.
func (b *Balancer) Usable(now Time, class int) bool {
	b.now = now
	r := request{class: &b.set.Classes[class]}
	return slices.ContainsFunc(b.hosts, func(h *host) bool { return h.State == Ready && !b.ejected(&r, h) })
}

// Capacity returns how many attempts this instance may have in flight now: the sum of its shares of the
// limits of the hosts in use. Backup hosts count only if there are no others.
func (b *Balancer) Capacity(now Time) (n float64) {
	b.now = now
	backups := 0.0
	for _, h := range b.hosts {
		switch share := max(1, h.limit/b.sharers); {
		case h.State != Ready || h.ejections > 0 && b.now < h.ejectUntil:
		case h.Backup:
			backups += share
		default:
			n += share
		}
	}
	return cmp.Or(n, backups)
}

// ColdSendRate returns how many requests per second this instance may send if all its usable hosts are
// cold. 0 means that there is no such bound, as at least one usable host is warm, or no host is usable.
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

// eject ejects a host, for longer each time in a row. It does nothing if the host is ejected now.
func (b *Balancer) eject(h *host, reason string) {
	if h.ejections > 0 && b.now < h.ejectUntil {
		return
	}
	d := float64(firstEjectionAims*b.shortestAim) * float64(int(1)<<min(h.ejections, maxDoublings))
	h.ejectUntil = b.now + Time(d*(0.75+0.5*b.float()))
	h.ejections++
	if h.ejections == 1 {
		b.log(logEject, "host %016x ejected: %s", h.ID, reason)
	}
}

// atLimit reports whether a host has as many attempts of this instance in flight as allowed, which is at
// least one: with many sharers, the share of a limit may be below one, and the host would get nothing.
func (b *Balancer) atLimit(h *host) bool {
	return h.pending > 0 && float64(h.pending+1) > h.limit/b.sharers
}

func (b *Balancer) send(r *request, h *host) {
	a := b.newAttempt()
	a.req, a.host, a.sent, a.stallTime = r, h, b.now, b.stallTime
	a.probe = h.ejections > 0
	h.probing = h.probing || a.probe
	r.attempts = append(r.attempts, a)
	r.openAttempts++
	h.pending++
	h.lastRound = b.round
	a.link.item = a
	h.pendingAttempts.pushBack(&a.link)
	h.credit = min(h.credit-1, 1) // used only while the host is cold
	b.addAction(Action{Kind: Send, Request: r.ID, Host: h.ID})
	b.inFlight++
	b.sweepSoon()
}

// recordResult updates the statistics of the host with the result of an attempt; rtt is in seconds.
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
		// Refusals are fast: by its RTT alone, a host that only refuses would get all queued requests.
		b.adjustLimit(h, max(rtt, b.penalty()), a.sent)
		b.recordRTT(h, max(rtt, b.penalty(), a.retryAfter))
		b.readmit(h)
	case Failed:
		h.penalized = true
		b.recordRTT(h, max(rtt, b.penalty(), a.retryAfter))
		if h.answersSinceError < minErrorGap || b.sharers > shedAboveSharers { // frequent, or few samples
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

// adjustLimit adjusts the in-flight limit of a host so that its mean RTT stays at limitRTTAims shortest
// aims. It prevents overload, which wastes the work of requests that are answered too late and can move
// a host into a persistently slow state. It cuts the limit above that RTT, at most once per round trip:
// only an attempt sent after the last cut shows whether that cut was enough.
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

// readmit ends an ejection because the host has answered.
func (b *Balancer) readmit(h *host) {
	h.answeredAt = b.now
	if h.ejections == 0 {
		return
	}
	h.ejections, h.down, h.ejectedByPeers, h.peersProbe, h.connectFailures = 0, false, false, false, 0
	b.log(logReturn, "host %016x is back", h.ID)
}

// settle decides what follows the end of an attempt: nothing if the request has its answer, another
// attempt if its class and the time left allow it, and otherwise the final answer.
func (b *Balancer) settle(r *request, a *attempt, closed bool) {
	switch {
	case r.done:
		b.release(r)
	case closed || a.result == OK && r.committed:
		b.end(r)
	case r.openAttempts > 0 || r.queued:
	case b.mayRetry(r):
		b.sendOrQueue(r, true)
	default:
		b.answer(r)
	}
}

func (b *Balancer) mayRetry(r *request) bool {
	if r.committed || len(r.attempts)+r.Spent >= b.set.MaxAttempts ||
		b.now+2*marginSteps*b.set.Step >= r.deadline {
		return false
	}
	return b.retryable(r.class, r.first())
}

// answer gives the final answer to a request that will not be served: Refuse only if a client retry is
// known to be harmless, which for a keyed request holds while hosts drop duplicates; otherwise Fail.
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

// cancelOthers cancels all attempts in flight of the request except attempt keep (-1: none), if
// Settings.Cancel is set.
func (b *Balancer) cancelOthers(r *request, keep int) {
	for i, a := range r.attempts {
		if i != keep && !a.ended && b.set.Cancel {
			b.addAction(Action{Kind: Cancel, Request: r.ID, Attempt: i})
		}
	}
}

// enqueue queues a request, at the front if it is a retry by the gateway, for a small fraction of its
// aim: a client that is refused early may still be served elsewhere in time, and a request that is
// sent has the rest of its aim left.
func (b *Balancer) enqueue(r *request, front bool) {
	r.queueDeadline = r.arrived + Time(maxQueueShare*float64(r.class.Aim))
	b.push(r, front)
	b.sweepSoon()
}

// serveQueues refuses requests that have waited too long and sends queued ones, highest worth first.
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

// serveQueue sends the requests of one queue. A retry that is bound to its group of hosts does not block
// those behind it. It reports whether no host is ready for a request that has not been sent yet.
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

// silenceTimeout returns how long an attempt may take before its host counts as silent.
func (b *Balancer) silenceTimeout(r *request) Time {
	if l := &b.classRTT[r.Class]; l.seen {
		return Time(1e9 * (l.mean + silenceSigmas*l.dev))
	}
	return r.class.Aim / 2
}

// ejectSilent ejects silent hosts until they answer: those that have answered nothing since their oldest
// attempt was sent, and for longer than such a request should take. It handles hosts that accept requests
// and answer none. Requests in flight there stay: most of them are answered later, and a retry costs
// more. It also recounts the attempts in flight.
func (b *Balancer) ejectSilent() {
	b.inFlight = 0
	for _, h := range b.hosts {
		b.inFlight += h.pending
		n := h.pendingAttempts.head // the oldest attempt
		if n == nil || n.item.sent < h.answeredAt ||
			b.countedTime(n.item, b.now-n.item.sent) < b.silenceTimeout(n.item.req) {
			continue
		}
		b.eject(h, "silent")
	}
}

// giveUpOverdue gives up requests that are in flight past their aim and may be repeated, to make room for
// those that wait. It handles requests that cost many times the usual: each, and then its client retry,
// would occupy a host until its deadline. It applies while requests wait and Settings.Cancel is set.
func (b *Balancer) giveUpOverdue() {
	if b.queued == 0 || !b.set.Cancel {
		return
	}
	for _, h := range b.hosts {
		for n := h.pendingAttempts.head; n != nil; n = n.next {
			r := n.item.req
			if !r.done && !r.committed && r.class.Effect != Unsafe && b.now-r.arrived > r.class.Aim {
				b.recordOverdue(r)
				b.answer(r)
			}
		}
	}
}

// sweepSoon schedules a check of queues and silent hosts, unless one is scheduled or there is no work.
func (b *Balancer) sweepSoon() {
	if b.sweepAt == 0 && (b.queued > 0 || b.inFlight > 0) {
		b.sweepAt = b.now + max(b.set.Step, Time(float64(b.shortestAim)*sweepAims))
		b.setTimer(b.sweepAt, tokenSweep<<tokenShift)
	}
}

// watchIn schedules a watch of the host list after d.
func (b *Balancer) watchIn(d Time) {
	b.watchAt = b.now + d
	b.setTimer(b.watchAt, tokenWatch<<tokenShift)
}

// hostListLost retries the watch with a growing, jittered back-off; the last list stays in use.
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
