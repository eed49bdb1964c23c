package rig

import (
	"container/heap"
	"fmt"
	"io"
	"math/rand/v2"
	"slices"
	"time"

	"frostshift"
)

const (
	zoneSlots  = 4                     // requests that a host works on at once
	zoneWork   = 10 * time.Millisecond // of each, on average
	zoneNear   = 500 * time.Microsecond
	zoneFar    = 3 * time.Millisecond // there and back
	zoneLoad   = 0.5                  // of what all hosts together can do
	zoneWarm   = 5 * time.Second
	zoneLength = 10 * time.Second
	zoneAim    = 200 * time.Millisecond
	leastNear  = 0.9  // where the near zone has room for all
	mostBusy   = 0.95 // of a host's time
)

// zoneCase is gateways and hosts in zones.
type zoneCase struct {
	name     string
	gateways []int
	hosts    []int
	lost     int // this zone's hosts are gone from the middle on; -1: none
}

var zoneCases = []zoneCase{
	{"even", []int{4, 4, 4}, []int{8, 8, 8}, -1},
	{"a small zone", []int{4, 4, 4}, []int{2, 11, 11}, -1},
	{"gateways unevenly spread", []int{10, 1, 1}, []int{8, 8, 8}, -1},
	{"gateways where no hosts are", []int{6, 3, 3}, []int{0, 12, 12}, -1},
	{"a zone is lost", []int{4, 4, 4}, []int{8, 8, 8}, 0},
}

// zoneWorld plays balancers and hosts on one clock.
type zoneWorld struct {
	now     frostshift.Time
	due     zoneEvents
	gws     []*frostshift.Balancer
	zone    []int // of a gateway
	hosts   map[frostshift.HostID]*zoneHost
	list    []frostshift.Host
	acts    []frostshift.Action
	asked   map[frostshift.RequestID]frostshift.Time
	r       *rand.Rand
	count   bool // what happens is counted
	near    int
	sent    int
	refused int
	took    []time.Duration
}

type zoneHost struct {
	zone int
	free [zoneSlots]frostshift.Time // when each slot is
	busy time.Duration
}

type zoneEvent struct {
	at      frostshift.Time
	gateway int
	token   uint64
	out     frostshift.Outcome
	answer  bool
}

type zoneEvents []zoneEvent

func (e zoneEvents) Len() int           { return len(e) }
func (e zoneEvents) Less(i, j int) bool { return e[i].at < e[j].at }
func (e zoneEvents) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *zoneEvents) Push(x any)        { *e = append(*e, x.(zoneEvent)) }
func (e *zoneEvents) Pop() any          { old := *e; x := old[len(old)-1]; *e = old[:len(old)-1]; return x }

func newZoneWorld(c zoneCase, prefer bool) (*zoneWorld, error) {
	w := &zoneWorld{now: time.Hour, hosts: map[frostshift.HostID]*zoneHost{}, asked: map[frostshift.RequestID]frostshift.Time{}, r: rand.New(rand.NewPCG(1, 2))}
	for z, n := range c.hosts {
		for range n {
			id := frostshift.HostID(w.r.Uint64())
			w.hosts[id] = &zoneHost{zone: z}
			w.list = append(w.list, frostshift.Host{ID: id, Zone: z})
		}
	}
	for z, n := range c.gateways {
		for range n {
			w.zone = append(w.zone, z)
		}
	}
	for g := range w.zone {
		b, err := frostshift.New(frostshift.Settings{Instances: len(w.zone), Rank: g, Zone: w.zone[g], Zones: len(c.hosts), Step: time.Millisecond, MaxAttempts: 4,
			Cancel: true, MaxRetryAfter: time.Second, PreferNear: prefer, CrossPrice: 0.03,
			Classes: []frostshift.Class{{Aim: zoneAim, Deadline: time.Second}}}, uint64(g))
		if err != nil {
			return nil, err
		}
		w.gws = append(w.gws, b)
		b.Start(w.now)
		b.Hosts(w.now, frostshift.ListFull, w.list)
		w.do(g)
	}
	return w, nil
}

// do carries out what a balancer asks for.
func (w *zoneWorld) do(g int) {
	w.acts = w.gws[g].Drain(w.acts[:0])
	for _, a := range w.acts {
		switch a.Kind {
		case frostshift.Send:
			h := w.hosts[a.Host]
			way := zoneFar
			if h.zone == w.zone[g] {
				way = zoneNear
			}
			if w.count {
				w.sent++
				if h.zone == w.zone[g] {
					w.near++
				}
			}
			slot := 0
			for i := range h.free {
				if h.free[i] < h.free[slot] {
					slot = i
				}
			}
			work := time.Duration((0.5 + w.r.Float64()) * float64(zoneWork))
			h.free[slot] = max(w.now+way/2, h.free[slot]) + work
			if w.count {
				h.busy += work
			}
			at := h.free[slot] + way/2
			heap.Push(&w.due, zoneEvent{at: at, gateway: g, answer: true,
				out: frostshift.Outcome{Request: a.Request, Attempt: a.Attempt, Result: frostshift.OK, Elapsed: at - w.now, Closed: true}})
		case frostshift.Refuse, frostshift.Fail:
			if w.count {
				w.refused++
			}
		case frostshift.Wake:
			heap.Push(&w.due, zoneEvent{at: a.At, gateway: g, token: a.Token})
		}
	}
}

// ask sends requests at random times, evenly to all gateways, for so long.
func (w *zoneWorld) ask(rate float64, length time.Duration, id *frostshift.RequestID) {
	end := w.now + length
	for next := w.now; ; {
		next += time.Duration(w.r.ExpFloat64() / rate * float64(time.Second))
		for len(w.due) > 0 && w.due[0].at <= min(next, end) {
			e := heap.Pop(&w.due).(zoneEvent)
			w.now = max(w.now, e.at)
			if e.answer {
				if w.count {
					w.took = append(w.took, w.now-w.asked[e.out.Request])
				}
				delete(w.asked, e.out.Request)
				w.gws[e.gateway].Outcome(w.now, e.out)
			} else {
				w.gws[e.gateway].Timer(w.now, e.token)
			}
			w.do(e.gateway)
		}
		if next >= end {
			w.now = end
			return
		}
		w.now = next
		*id++
		g := w.r.IntN(len(w.gws))
		w.asked[*id] = w.now
		w.gws[g].Request(w.now, frostshift.Request{ID: *id, Tenant: -1, Left: time.Second})
		w.do(g)
	}
}

// zoneResult is what one case came to.
type zoneResult struct {
	near, refused, busiest float64
	p50, p99               time.Duration
}

func playZones(c zoneCase, prefer bool) (res zoneResult, err error) {
	w, err := newZoneWorld(c, prefer)
	if err != nil {
		return res, err
	}
	rate := zoneLoad * float64(len(w.list)*zoneSlots) / zoneWork.Seconds()
	id := frostshift.RequestID(0)
	w.ask(rate, zoneWarm, &id)
	w.count = true
	if c.lost >= 0 {
		w.ask(rate, zoneLength/2, &id)
		var left []frostshift.Host
		for _, h := range w.list {
			if h.Zone != c.lost {
				left = append(left, h)
			}
		}
		for g, b := range w.gws {
			b.Hosts(w.now, frostshift.ListFull, left)
			w.do(g)
		}
		for _, h := range w.hosts { // what counts is how busy the others are from here on
			h.busy = 0
		}
		w.ask(rate, zoneLength/2, &id)
	} else {
		w.ask(rate, zoneLength, &id)
	}
	length := zoneLength
	if c.lost >= 0 {
		length /= 2
	}
	for _, h := range w.hosts {
		res.busiest = max(res.busiest, h.busy.Seconds()/length.Seconds()/zoneSlots)
	}
	slices.Sort(w.took)
	res.near, res.refused = float64(w.near)/float64(w.sent), float64(w.refused)/float64(w.sent+w.refused)
	res.p50, res.p99 = w.took[len(w.took)/2], w.took[len(w.took)*99/100]
	return res, nil
}

// runZones compares a preference for near hosts with none, on a simulation.
func runZones(out io.Writer) (string, bool, error) {
	fmt.Fprintf(out, "hosts with %d slots, work of %v on average, %v to a near host and back, %v to another zone's; load %.0f%% of all hosts\n", zoneSlots, zoneWork, zoneNear, zoneFar, 100*zoneLoad)
	fmt.Fprintf(out, "%-28s %-8s %6s %9s %9s %8s %8s\n", "zones", "prefers", "near", "p50", "p99", "busiest", "refused")
	ok, near, busy := true, 0.0, 0.0
	for _, c := range zoneCases {
		for _, prefer := range []bool{false, true} {
			r, err := playZones(c, prefer)
			if err != nil {
				return "", false, err
			}
			word := "nothing"
			if prefer {
				word = "near"
				busy = max(busy, r.busiest)
				ok = ok && r.refused < 0.001 && r.busiest <= mostBusy
				if c.name == "even" {
					near = r.near
					ok = ok && near >= leastNear
				}
			}
			fmt.Fprintf(out, "%-28s %-8s %6.3f %9v %9v %8.2f %8.4f\n", c.name, word, r.near, r.p50.Round(100*time.Microsecond), r.p99.Round(100*time.Microsecond), r.busiest, r.refused)
		}
	}
	return fmt.Sprintf("%.3f near where there is room, aim %.1f; the busiest host is at work %.2f of its time, at most %.2f, and less than 0.001 refused", near, leastNear, busy, mostBusy), ok, nil
}
