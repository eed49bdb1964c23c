package keeper

import (
	"container/heap"
	"fmt"
	"testing"
	"time"

	"frostshift"
	"frostshift/internal/membership"
	"frostshift/internal/membership/subset"
)

func sound(string) bool { return false }

func fleet(n int) (list []membership.Endpoint) {
	for i := range n {
		list = append(list, membership.Endpoint{Name: fmt.Sprintf("h%03d", i), Address: fmt.Sprint(i), Zone: fmt.Sprint(i % 3), Group: i / 10, Status: membership.Active})
	}
	return list
}

// A part follows what changes of the whole, and who follows the part's lists has the part.
func TestPartOfAPool(t *testing.T) {
	p := newPart(Part{Fleet: subset.Fleet{Count: 50}, Rank: 3, WarmAfter: 10 * time.Second})
	has := map[string]string{}
	now := time.Duration(0)
	take := func(changes []membership.Endpoint, broken func(string) bool) *membership.List {
		l := p.take(now, changes, broken)
		if l == nil {
			return nil
		}
		if l.Snapshot {
			clear(has)
		}
		for _, e := range l.Endpoints {
			if has[e.Name] = e.Status; e.Status == membership.Left {
				delete(has, e.Name)
			}
		}
		return l
	}
	all := fleet(300)
	l := take(all, sound)
	if l == nil || !l.Snapshot || l.Sharers != 12 || len(has) < 50 || len(has) > 100 {
		t.Fatalf("at first: %d of 300 hosts, %+v", len(has), l)
	}
	if take(nil, sound) != nil {
		t.Error("nothing has changed, and it says so")
	}
	mine := ""
	for name := range has {
		mine = max(mine, name)
	}
	leaves := all[0]
	leaves.Name, leaves.Status = mine, membership.Leaving
	take([]membership.Endpoint{leaves}, sound)
	if has[mine] != membership.Leaving {
		t.Errorf("%s leaves and is %q", mine, has[mine])
	}
	leaves.Status = membership.Left
	take([]membership.Endpoint{leaves}, sound)
	if _, there := has[mine]; there {
		t.Errorf("%s has left and is there", mine)
	}
	usual := len(has)
	broken := func(string) bool { return true }
	now = 5 * time.Second
	if take(nil, broken); len(has) != usual {
		t.Errorf("wider by hosts that may be cold: %d, before %d", len(has), usual)
	}
	now = 11 * time.Second
	if take(nil, broken); len(has) < 3*usual/2 {
		t.Errorf("most are broken: %d hosts, before %d", len(has), usual)
	}
	if now += time.Second; take(nil, broken) != nil && len(has) > 5*usual {
		t.Errorf("no bound: %d hosts, at first %d", len(has), usual)
	}
	for range 3 {
		now += time.Minute
		take(nil, sound)
	}
	if len(has) != usual {
		t.Errorf("all is well: %d hosts, at first %d", len(has), usual)
	}
}

// sim plays balancers on one clock.
type sim struct {
	now  frostshift.Time
	due  events
	gws  []*frostshift.Balancer
	acts []frostshift.Action
	send func(gateway int, h frostshift.HostID)
}

type event struct {
	at      frostshift.Time
	gateway int
	token   uint64
	out     frostshift.Outcome
	answer  bool
}

type events []event

func (e events) Len() int           { return len(e) }
func (e events) Less(i, j int) bool { return e[i].at < e[j].at }
func (e events) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)        { *e = append(*e, x.(event)) }
func (e *events) Pop() any          { old := *e; x := old[len(old)-1]; *e = old[:len(old)-1]; return x }

const simWork = 10 * time.Millisecond // of each request

// do carries out what a balancer asks for.
func (s *sim) do(g int) {
	s.acts = s.gws[g].Drain(s.acts[:0])
	for _, a := range s.acts {
		switch a.Kind {
		case frostshift.Send:
			s.send(g, a.Host)
			heap.Push(&s.due, event{at: s.now + simWork, gateway: g, answer: true,
				out: frostshift.Outcome{Request: a.Request, Attempt: a.Attempt, Result: frostshift.OK, Elapsed: simWork, Closed: true}})
		case frostshift.Wake:
			heap.Push(&s.due, event{at: a.At, gateway: g, token: a.Token})
		}
	}
}

// until plays what is due before a time.
func (s *sim) until(t frostshift.Time) {
	for len(s.due) > 0 && s.due[0].at <= t {
		e := heap.Pop(&s.due).(event)
		s.now = max(s.now, e.at)
		if e.answer {
			s.gws[e.gateway].Outcome(s.now, e.out)
		} else {
			s.gws[e.gateway].Timer(s.now, e.token)
		}
		s.do(e.gateway)
	}
	s.now = t
}

// A hundred gateways, each with its part, half of them with a wider one. Hosts that start
// cold stand in many parts at once: all gateways together stay below what pushes one over.
func TestColdHostsInManyParts(t *testing.T) {
	const (
		gateways, hosts, starts = 100, 60, 3
		rate                    = 90.0 // requests a second that a warm host gets; it can do that many
		coldFrom, factor        = 0.3, 2.5
		warmAfter, fall         = 9 * time.Second, 1500 * time.Millisecond
		calm, watched           = 3 * time.Second, 6 * time.Second
	)
	set := frostshift.Settings{Instances: gateways, Step: time.Millisecond, MaxAttempts: 4, Cancel: true, MaxRetryAfter: time.Second,
		Classes:  []frostshift.Class{{Aim: 400 * time.Millisecond, Deadline: time.Second}},
		ColdFrom: coldFrom, WarmAfter: warmAfter, OverloadFactor: factor, OverloadWindow: fall}
	all := fleet(hosts + starts)
	cold := map[frostshift.HostID][]frostshift.Time{}
	for _, e := range all[hosts:] {
		cold[membership.HostID(e.Name)] = nil
	}
	s := &sim{}
	s.send = func(_ int, h frostshift.HostID) {
		if list, is := cold[h]; is {
			cold[h] = append(list, s.now)
		}
	}
	names := membership.NewNames(nil, nil)
	parts := make([]*part, gateways)
	tell := func(g int, changes []membership.Endpoint) {
		l := parts[g].take(s.now, changes, func(string) bool { return g%2 == 0 })
		if l == nil {
			return
		}
		list := names.Hosts(l.Endpoints)
		for i := range list {
			list[i].Sharers = l.Sharers
		}
		kind := frostshift.ListChanges
		if l.Snapshot {
			kind = frostshift.ListFull
		}
		s.gws[g].Hosts(s.now, kind, list)
		s.do(g)
	}
	s.now = time.Hour
	for g := range gateways {
		set.Rank = g
		b, err := frostshift.New(set, uint64(g))
		if err != nil {
			t.Fatal(err)
		}
		s.gws = append(s.gws, b)
		parts[g] = newPart(Part{Fleet: subset.Fleet{Count: gateways}, Rank: g, WarmAfter: warmAfter})
		b.Start(s.now)
		tell(g, all[:hosts])
	}
	id := frostshift.RequestID(0)
	ask := func(length time.Duration) {
		every := time.Second / (rate * hosts)
		for end := s.now + length; s.now < end; {
			s.until(s.now + every)
			id++
			g := int(id) % gateways
			s.gws[g].Request(s.now, frostshift.Request{ID: id, Tenant: -1, Left: time.Second})
			s.do(g)
		}
	}
	ask(calm)
	started := s.now
	for i := range all[hosts:] {
		all[hosts+i].SinceMS = started.Milliseconds()
	}
	for g := range gateways {
		tell(g, all[hosts:])
	}
	ask(watched)
	for h, sends := range cold {
		if len(sends) < 20 {
			t.Errorf("host %x got %d requests in %v: too few to tell", h, len(sends), watched)
		}
		first := 0
		for i, at := range sends {
			for sends[first] <= at-fall {
				first++
			}
			age := float64(max(at-fall-started, 0)) / float64(warmAfter)
			if most := rate * (coldFrom + (1-coldFrom)*age) * factor * fall.Seconds(); float64(i-first+1) > most {
				t.Fatalf("host %x got %d requests within %v at %v after its start, which pushes it over (%.0f)", h, i-first+1, fall, at-started, most)
			}
		}
	}
}

// The part follows who shares the pool: each host meets as many gateways as it should, cold budgets
// are divided by as many as there may be, and the typed figures come back as they were.
func TestPartFollowsTheFleet(t *testing.T) {
	typed := Part{Fleet: subset.Fleet{Count: 50}, Rank: 3}
	all := fleet(300)
	ids := make([]uint64, 25)
	for i := range ids {
		ids[i] = uint64(1000 + i*i)
	}
	meets := map[string]int{}
	for rank := range ids {
		p := newPart(typed)
		before := p.take(0, all, sound)
		p.by(Shared{IDs: ids, Rank: rank, Most: 30}, &typed)
		l := p.take(0, nil, sound)
		if l == nil || !l.Snapshot || l.Sharers != 15 { // 12 of 25 that are counted, and 30 there may be
			t.Fatalf("by who shares: %+v", l)
		}
		for _, e := range l.Endpoints {
			meets[e.Name]++
		}
		p.by(Shared{}, &typed)
		if again := p.take(0, nil, sound); again == nil || again.Sharers != before.Sharers || len(again.Endpoints) != len(before.Endpoints) {
			t.Fatalf("typed figures again: %+v, before %+v", again, before)
		}
	}
	for _, e := range all {
		if meets[e.Name] != 12 {
			t.Errorf("%s meets %d gateways, want 12", e.Name, meets[e.Name])
		}
	}
}
