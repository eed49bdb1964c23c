package frostshift

import (
	"testing"
	"time"
)

const ms = time.Millisecond

// testSettings returns the settings of a small deployment with one class of each effect.
func testSettings() Settings {
	return Settings{
		Instances: 1, Step: ms, MaxAttempts: 4, Cancel: true, MaxRetryAfter: time.Second,
		Classes: []Class{
			{Aim: 400 * ms, Deadline: time.Second, Worth: 1},
			{Aim: 400 * ms, Deadline: time.Second, Worth: 2, Effect: Keyed, Group: GroupCell, Window: 600 * ms},
			{Aim: 400 * ms, Deadline: time.Second, Worth: 5, Effect: Unsafe},
		},
		ColdFrom: 0.3, WarmAfter: 9 * time.Second, OverloadFactor: 2.5, OverloadWindow: time.Second,
	}
}

// gateway drives a Balancer with scripted events and a scripted clock.
type gateway struct {
	*testing.T
	b    *Balancer
	now  Time
	next RequestID
	acts []Action // actions of the last event, except Wake and Log
	logs []string
	wake []Action // timers that have not fired
}

// start returns a gateway whose balancer has started with a saved list of the hosts.
func start(t *testing.T, set Settings, hosts ...Host) *gateway {
	t.Helper()
	b, err := New(set, 7)
	if err != nil {
		t.Fatal(err)
	}
	g := &gateway{T: t, b: b, now: time.Hour}
	b.Start(g.now)
	g.list(ListSaved, hosts...)
	return g
}

// hosts returns n hosts with IDs from 1, two in each cell and zone.
func hosts(n int) []Host {
	var list []Host
	for i := range n {
		list = append(list, Host{ID: HostID(i + 1), Cell: i / 2, Zone: i / 2})
	}
	return list
}

func (g *gateway) drain() {
	g.acts = g.acts[:0]
	for _, a := range g.b.Drain(nil) {
		switch a.Kind {
		case Log:
			g.logs = append(g.logs, a.Text)
		case Wake:
			g.wake = append(g.wake, a)
		default:
			g.acts = append(g.acts, a)
		}
	}
}

func (g *gateway) list(kind ListKind, hosts ...Host) {
	g.b.Hosts(g.now, kind, hosts)
	g.drain()
}

func (g *gateway) request(class int, left time.Duration) RequestID {
	g.next++
	g.b.Request(g.now, Request{ID: g.next, Class: class, Left: left})
	g.drain()
	return g.next
}

func (g *gateway) outcome(id RequestID, n int, r Result, took time.Duration) {
	g.b.Outcome(g.now, Outcome{Request: id, Attempt: n, Result: r, Elapsed: took, Closed: r == OK})
	g.drain()
}

// advance moves the clock forward by d and fires the timers that are due, the oldest first; it
// returns the actions that they caused.
func (g *gateway) advance(d time.Duration) []Action {
	var done []Action
	for end := g.now + d; ; {
		earliest := -1
		for i, w := range g.wake {
			if w.At <= end && (earliest < 0 || w.At < g.wake[earliest].At) {
				earliest = i
			}
		}
		if earliest < 0 {
			g.now = end
			return done
		}
		w := g.wake[earliest]
		g.wake = append(g.wake[:earliest], g.wake[earliest+1:]...)
		g.now = max(g.now, w.At)
		g.b.Timer(g.now, w.Token)
		g.drain()
		done = append(done, g.acts...)
	}
}

// onlyAction returns the action of the last event, which must be a single one of the kind.
func (g *gateway) onlyAction(kind ActionKind) Action {
	g.Helper()
	if len(g.acts) != 1 || g.acts[0].Kind != kind {
		g.Fatalf("actions %v, want one of kind %d", g.acts, kind)
	}
	return g.acts[0]
}

// serve sends n requests, one after the other, each answered after took, and returns how many each
// host received.
func (g *gateway) serve(n int, class int, took func(HostID) time.Duration) map[HostID]int {
	g.Helper()
	counts := map[HostID]int{}
	for range n {
		id := g.request(class, time.Second)
		h := g.onlyAction(Send).Host
		counts[h]++
		d := took(h)
		g.advance(d)
		g.outcome(id, 0, OK, d)
	}
	return counts
}

// requestTo sends requests until one goes to the host, and returns that one, unanswered; the
// others are answered after took.
func (g *gateway) requestTo(host HostID, took time.Duration) RequestID {
	g.Helper()
	for {
		id := g.request(0, time.Second)
		if g.onlyAction(Send).Host == host {
			return id
		}
		g.outcome(id, 0, OK, took)
		g.now += ms
	}
}

// drainQuiet discards the collected actions.
func (b *Balancer) drainQuiet() { b.actions = b.actions[:0] }

// running returns a Balancer that has started with twelve hosts, and the current time.
func running(tb testing.TB) (*Balancer, Time) {
	b, err := New(testSettings(), 1)
	if err != nil {
		tb.Fatal(err)
	}
	now := time.Hour
	b.Start(now)
	b.Hosts(now, ListSaved, hosts(12))
	return b, now
}
