package frostshift

import (
	"math/rand"
	"testing"
	"time"
)

// FuzzRules runs random valid sequences of events and checks that four rules
// hold: every request gets one answer in time and nothing after it, no unsafe
// request runs twice and no keyed one beyond its window or group, draining and
// removed hosts get no requests, and no cold host gets more than its budget.
func FuzzRules(f *testing.F) {
	for seed := range int64(24) {
		r := rand.New(rand.NewSource(seed))
		data := make([]byte, 1200)
		r.Read(data)
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		if len(data) < 8 {
			return
		}
		newHistory(t, data[:8]).play(data[8:])
	})
}

// trackedAttempt is one attempt as the test has observed it.
type trackedAttempt struct {
	host   Host
	sent   Time
	ended  bool
	result Result
}

// trackedRequest is one request as the test has observed it.
type trackedRequest struct {
	class    *Class
	deadline Time
	answered bool
	atts     []trackedAttempt
}

// history is the state of one sequence of events.
type history struct {
	*testing.T
	b     *Balancer
	set   Settings
	now   Time
	wakes []Action
	next  RequestID
	reqs  map[RequestID]*trackedRequest
	live  []RequestID // requests with attempts in flight or without an answer
	hosts [6]Host
	cold  [6][]Time // sends while cold
	rate  float64   // highest learned rate of a warm host
}

func newHistory(t *testing.T, c []byte) *history {
	h := &history{T: t, now: 1 << 40, reqs: map[RequestID]*trackedRequest{}}
	h.set = Settings{
		Instances: []int{1, 2, 5, 40, 300}[c[0]%5], Zones: 1 + int(c[0]/5%2), Step: Time(1+c[1]%5) * ms, MaxAttempts: 1 + int(c[2]%4),
		Cancel: c[3]&1 == 0, MaxRetryAfter: time.Second,
		Ask: c[3]&4 != 0, AskWithin: 4 * time.Second,
		ColdFrom: 0.2, WarmAfter: 5 * time.Second, OverloadFactor: 2.5, OverloadWindow: time.Second,
		OverQuotaWorth: 0.1, Tenants: []Tenant{{Quota: 5}, {}},
	}
	for i := range 5 {
		cl := Class{Aim: Time(100+50*i) * ms, Deadline: Time(400+100*i) * ms, Worth: float64(1 + i),
			Window: Time(c[4]) * 2 * ms}
		if i > 0 {
			cl.Effect, cl.Group = Keyed, Group(i-1)
		}
		if i == 4 {
			cl.Effect, cl.Group = Unsafe, GroupAll
		}
		h.set.Classes = append(h.set.Classes, cl)
	}
	b, err := New(h.set, uint64(c[5]))
	if err != nil {
		t.Fatal(err)
	}
	h.b = b
	for i := range h.hosts {
		h.hosts[i] = Host{ID: HostID(i + 1), Zone: i / 3, Cell: i / 2, Kind: i % 2}
	}
	b.Start(h.now)
	b.Hosts(h.now, ListSaved, h.hosts[:3+c[6]%4])
	for i := 3 + int(c[6]%4); i < len(h.hosts); i++ {
		h.hosts[i].State = Removed
	}
	h.carryOut()
	return h
}

// play runs the events in data, two bytes for each: its kind and its argument.
func (h *history) play(data []byte) {
	for ; len(data) >= 2; data = data[2:] {
		x := int(data[1])
		switch data[0] % 10 {
		case 0, 1, 2:
			h.request(x)
		case 3, 4, 5:
			h.end(x, Result(data[0]/10%8))
		case 6:
			h.changeList(x, data[0])
		case 7:
			h.leave(x)
		default:
			h.advance(Time(x) * ms / 4)
		}
	}
	h.advance(2 * time.Second)
	for id, r := range h.reqs {
		if !r.answered {
			h.Fatalf("request %d has no answer at the end", id)
		}
		for n := range r.atts {
			h.finish(id, n, Canceled)
		}
	}
	if len(h.b.requestByID) != 0 || h.b.queued != 0 {
		h.Fatalf("%d requests stored and %d waiting after all have ended", len(h.b.requestByID), h.b.queued)
	}
	for _, x := range h.b.hosts {
		if x.pending != 0 || x.pendingAttempts.head != nil {
			h.Fatalf("host %d has %d attempts after all have ended", x.ID, x.pending)
		}
	}
}

func (h *history) request(x int) {
	h.next++
	cl := &h.set.Classes[x%5]
	left := cl.Deadline * Time(x/5) / 50
	h.reqs[h.next] = &trackedRequest{class: cl, deadline: h.now + left}
	h.live = append(h.live, h.next)
	h.b.Request(h.now, Request{ID: h.next, Class: x % 5, Tenant: x & 1, Left: left, Repeat: x&2 != 0})
	h.carryOut()
}

// end finishes one attempt that is in flight.
func (h *history) end(x int, result Result) {
	for k := range h.live {
		id := h.live[(k+x)%len(h.live)]
		for n := range h.reqs[id].atts {
			if !h.reqs[id].atts[n].ended {
				h.finish(id, n, result)
				return
			}
		}
	}
}

func (h *history) finish(id RequestID, n int, result Result) {
	r := h.reqs[id]
	a := &r.atts[n]
	if a.ended {
		return
	}
	a.ended, a.result = true, result
	if result == OK {
		r.answered = true
	}
	h.b.Outcome(h.now, Outcome{Request: id, Attempt: n, Result: result,
		Elapsed: h.now - a.sent, Closed: r.answered})
	h.carryOut()
}

// changeList changes a host on the list, or reports that the list failed.
func (h *history) changeList(x int, change byte) {
	e := &h.hosts[x%6]
	switch change / 10 % 5 {
	case 0:
		h.b.Hosts(h.now, ListFailed, nil)
		h.carryOut()
		return
	case 1:
		e.State = Draining
	case 2:
		e.State = Removed
	case 3:
		e.State = Ready
	case 4:
		e.State, e.Started = Ready, max(h.now-Time(x)*8*ms, 1)
		h.cold[x%6] = nil
	}
	if x&64 == 0 {
		h.b.Hosts(h.now, ListChanges, []Host{*e})
	} else {
		var list []Host
		for _, e := range h.hosts {
			if e.State != Removed {
				list = append(list, e)
			}
		}
		h.b.Hosts(h.now, ListFull, list)
	}
	h.carryOut()
}

// leave reports that the client of a request has gone.
func (h *history) leave(x int) {
	if len(h.live) == 0 {
		return
	}
	id := h.live[x%len(h.live)]
	h.reqs[id].answered = true
	h.b.ClientGone(h.now, id)
	h.carryOut()
}

// advance moves the clock in steps and fires the timers that are due.
func (h *history) advance(d Time) {
	for end := h.now + d; h.now < end; {
		h.now += h.set.Step
		var due []Action
		keep := h.wakes[:0]
		for _, w := range h.wakes {
			if w.At <= h.now {
				due = append(due, w)
			} else {
				keep = append(keep, w)
			}
		}
		h.wakes = keep
		for _, w := range due {
			h.b.Timer(h.now, w.Token)
			h.carryOut()
		}
		live := h.live[:0]
		for _, id := range h.live {
			r := h.reqs[id]
			if !r.answered && h.now > r.deadline {
				h.Fatalf("request %d has no answer at its deadline", id)
			}
			if !r.answered || r.inFlight() > 0 {
				live = append(live, id)
			}
		}
		h.live = live
	}
}

// inFlight returns the number of attempts that have not ended.
func (r *trackedRequest) inFlight() (n int) {
	for _, a := range r.atts {
		if !a.ended {
			n++
		}
	}
	return n
}

// carryOut carries out the actions and checks them against the rules.
func (h *history) carryOut() {
	h.rate = max(h.rate, h.b.warmRate())
	for _, a := range h.b.Drain(nil) {
		switch a.Kind {
		case Wake:
			h.wakes = append(h.wakes, a)
		case Send:
			h.send(a)
		case Cancel:
			if r := h.reqs[a.Request]; !h.set.Cancel || a.Attempt >= len(r.atts) || r.atts[a.Attempt].ended {
				h.Fatalf("cancel action %+v is not allowed", a)
			}
		case Refuse, Fail:
			h.answer(a)
		}
	}
}

func (h *history) send(a Action) {
	r := h.reqs[a.Request]
	host := h.hosts[a.Host-1]
	if r == nil || r.answered {
		h.Fatalf("request %d sent after its end", a.Request)
	}
	if host.State != Ready {
		h.Fatalf("sent to host %d, state %d", host.ID, host.State)
	}
	if len(r.atts) >= h.set.MaxAttempts {
		h.Fatalf("request %d has more than %d attempts", a.Request, h.set.MaxAttempts)
	}
	if r.inFlight() > 0 {
		h.Fatalf("request %d has two attempts at once", a.Request)
	}
	for _, p := range r.atts {
		if p.ended && !p.result.mayHaveRun() {
			continue
		}
		switch c := r.class; {
		case c.Effect == Unsafe:
			h.Fatalf("unsafe request %d sent again", a.Request)
		case c.Effect == Keyed && h.now-p.sent > c.Window:
			h.Fatalf("keyed request %d sent again after its window", a.Request)
		case c.Effect == Keyed && c.Group == GroupZone && p.host.Zone != host.Zone,
			c.Effect == Keyed && c.Group == GroupCell && p.host.Cell != host.Cell:
			h.Fatalf("keyed request %d left its group", a.Request)
		}
		break
	}
	r.atts = append(r.atts, trackedAttempt{host: host, sent: h.now})
	h.checkCold(int(a.Host-1), host)
}

// checkCold compares the number of sends in the last overload window with the
// highest budget that this instance can have computed from its learned state.
func (h *history) checkCold(i int, host Host) {
	age := h.now - host.Started
	if host.Started == 0 || age >= h.set.WarmAfter {
		return
	}
	h.cold[i] = append(h.cold[i], h.now)
	n := 0
	for _, at := range h.cold[i] {
		if h.now-at < h.set.OverloadWindow {
			n++
		}
	}
	share := h.set.ColdFrom + (1-h.set.ColdFrom)*age.Seconds()/h.set.WarmAfter.Seconds()
	// Without learned state, a host is assumed to serve one request per shortest aim.
	rate := max(h.rate, 1/h.set.Classes[0].Aim.Seconds()) / max(1, h.b.byID[host.ID].sharers)
	if limit := 2 + rate*h.set.OverloadFactor*share*h.set.OverloadWindow.Seconds(); float64(n) > limit {
		h.Fatalf("%d sends within %v to cold host %d, budget %.1f", n, h.set.OverloadWindow, host.ID, limit)
	}
}

func (h *history) answer(a Action) {
	r := h.reqs[a.Request]
	if r == nil || r.answered {
		h.Fatalf("request %d is answered twice or is unknown", a.Request)
	}
	r.answered = true
	if a.Kind == Fail {
		return
	}
	for _, p := range r.atts {
		if c := r.class; (!p.ended || p.result.mayHaveRun()) && c.Effect != Safe &&
			(c.Effect != Keyed || c.Group != GroupAll) {
			h.Fatalf("request %d refused though it may have run", a.Request)
		}
	}
}
