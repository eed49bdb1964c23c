package contract

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"frostshift/internal/quota"
)

// pool simulates a pool under a scheduler: each request that is sent runs for its actual work and
// ends. Time is simulated.
type pool struct {
	s     *Scheduler
	now   Time
	ends  endHeap
	teams map[string]*teamSim
	check func(*pool) // called after each step
}

// teamSim is a team that sends requests.
type teamSim struct {
	terms    *Terms
	backlog  int           // requests that it keeps waiting; 0: it sends one every gap
	gap      time.Duration // between requests
	work     func() time.Duration
	deadline time.Duration
	from, to Time // when it sends; to 0: no end
	waiting  int
	nextAt   Time
	done     []endedRequest // in order of their end
	refused  int
	waits    []time.Duration // how long each request waited before it was sent
}

type endedRequest struct {
	at   Time
	work time.Duration
}

type running struct {
	at   Time
	it   *Item
	work time.Duration
	team *teamSim
	from Time
}

type endHeap []*running

func (h endHeap) Len() int           { return len(h) }
func (h endHeap) Less(i, j int) bool { return h[i].at < h[j].at }
func (h endHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *endHeap) Push(x any)        { *h = append(*h, x.(*running)) }
func (h *endHeap) Pop() any          { old := *h; x := old[len(old)-1]; *h = old[:len(old)-1]; return x }

func newPool(capacity float64, teams ...*teamSim) *pool {
	p := &pool{s: NewScheduler(1), now: Time(time.Hour), teams: map[string]*teamSim{}}
	p.s.SetCapacity(p.now, capacity)
	for _, t := range teams {
		if t.deadline == 0 {
			t.deadline = time.Hour
		}
		p.teams[t.terms.Team] = t
	}
	return p
}

type requestOwner struct {
	team *teamSim
	at   Time
}

func (p *pool) start(it *Item) {
	o := it.Owner.(*requestOwner)
	o.team.waits = append(o.team.waits, p.now-o.at)
	w := o.team.work()
	heap.Push(&p.ends, &running{p.now + w, it, w, o.team, p.now})
}

func (p *pool) arrive(t *teamSim) {
	it := &Item{Terms: t.terms, Priority: t.terms.Classes["c"].Priority, Deadline: p.now + t.deadline, Owner: &requestOwner{t, p.now}}
	switch turn, _ := p.s.Arrive(p.now, it); turn {
	case Go:
		p.start(it)
	case Wait:
		t.waiting++
	case Refuse:
		t.refused++
	}
}

// run simulates until an instant.
func (p *pool) run(until Time, order []*teamSim) {
	for p.now < until {
		for _, t := range order {
			active := p.now >= t.from && (t.to == 0 || p.now < t.to)
			for tries := 0; active && t.backlog > 0 && t.waiting < t.backlog && tries < 2*t.backlog; tries++ {
				p.arrive(t)
			}
			for active && t.backlog == 0 && t.gap > 0 && t.nextAt <= p.now {
				t.nextAt = max(t.nextAt, t.from) + t.gap
				if t.nextAt < p.now {
					t.nextAt = p.now + t.gap
				}
				p.arrive(t)
			}
		}
		p.dispatchWaiting()
		if p.check != nil {
			p.check(p)
		}
		next := p.now + Time(time.Millisecond)
		if len(p.ends) > 0 {
			next = min(next, p.ends[0].at)
		}
		p.now = max(next, p.now+1)
		for len(p.ends) > 0 && p.ends[0].at <= p.now {
			e := heap.Pop(&p.ends).(*running)
			e.team.done = append(e.team.done, endedRequest{p.now, e.work})
			p.s.Done(p.now, e.it, e.work, false)
		}
	}
}

func (p *pool) dispatchWaiting() {
	for it := p.s.Next(p.now); it != nil; it = p.s.Next(p.now) {
		it.Owner.(*requestOwner).team.waiting--
		p.start(it)
	}
	for it, _ := p.s.Expired(p.now); it != nil; it, _ = p.s.Expired(p.now) {
		t := it.Owner.(*requestOwner).team
		t.waiting--
		t.refused++
	}
}

// workDone returns the work of the team's requests that ended at or after from and before to.
func (t *teamSim) workDone(from, to Time) (sum time.Duration) {
	for _, d := range t.done {
		if d.at >= from && d.at < to {
			sum += d.work
		}
	}
	return sum
}

func terms(team string, share float64) *Terms {
	return &Terms{Team: team, Share: share, Classes: map[string]ClassTerms{"c": {}}}
}

func fixed(d time.Duration) func() time.Duration { return func() time.Duration { return d } }

// spread returns work that varies randomly around a mean.
func spread(rng *rand.Rand, mean time.Duration) func() time.Duration {
	return func() time.Duration {
		return time.Duration(float64(mean) * (0.25 + 0.75*rng.ExpFloat64()))
	}
}

// Guarantees hold over any window longer than a stated time, whatever each request costs and however
// wrong the first estimates are. No request that may be sent waits while there is room, no team
// exceeds its ceiling, and in the end nothing is in flight or waiting.
func TestGuaranteesCeilingsAndWorkConservation(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		capacity := float64(rapid.IntRange(4, 24).Draw(t, "capacity"))
		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		n := rapid.IntRange(2, 5).Draw(t, "teams")
		left := 1.0
		var order []*teamSim
		var longest time.Duration
		for i := range n {
			share := float64(rapid.IntRange(5, 40).Draw(t, "share")) / 100
			share = min(share, left)
			left -= share
			team := terms(fmt.Sprint("team", i), share)
			if rapid.IntRange(0, 2).Draw(t, "has a ceiling") == 0 {
				team.Ceiling = min(1, max(share, 0.05)+float64(rapid.IntRange(0, 50).Draw(t, "ceiling"))/100)
			}
			team.Burst = time.Duration(rapid.IntRange(0, 500).Draw(t, "burst")) * time.Millisecond
			mean := time.Duration(rapid.SampledFrom([]int{1, 5, 20}).Draw(t, "work")) * time.Millisecond
			longest = max(longest, mean)
			order = append(order, &teamSim{terms: team, backlog: 40, work: spread(rng, mean), from: 0})
		}
		p := newPool(capacity, order...)
		p.check = func(p *pool) {
			for _, o := range order {
				if q := p.s.queues[o.terms.Team]; q != nil && o.terms.Ceiling > 0 && o.terms.Ceiling < 1 && float64(q.inFlight) >= o.terms.ceiling()*capacity+1 {
					t.Fatalf("%s has %d of %v in flight, over its ceiling of %v", o.terms.Team, q.inFlight, capacity, o.terms.ceiling())
				}
			}
			if float64(p.s.inFlight) < capacity && len(p.s.ready.list) > 0 {
				t.Fatalf("%d of %v are in flight while a team that may send waits", p.s.inFlight, capacity)
			}
			if float64(p.s.inFlight) > capacity+max(1, capacity*headroom)+1 {
				t.Fatalf("%d are in flight of %v", p.s.inFlight, capacity)
			}
			if len(p.s.waiting.list) > 40*n {
				t.Fatalf("%d wait", len(p.s.waiting.list))
			}
		}
		start := p.now
		// The stated time: 40 times the largest mean cost of all teams' requests.
		window := 40 * longest
		p.run(start+3*window, order)
		for _, o := range order {
			for from := start + window; from+window <= start+3*window; from += window / 4 {
				want := min(o.terms.Share, o.terms.ceiling()) * capacity * window.Seconds()
				if workDone := o.workDone(from, from+window).Seconds(); workDone < 0.8*want-6*longest.Seconds() {
					t.Fatalf("%s with a share of %v of %v got %.3f of %.3f s of work in %v", o.terms.Team, o.terms.Share, capacity, workDone, want, window)
				}
			}
		}
		for _, o := range order {
			o.to = p.now
		}
		p.run(p.now+Time(time.Hour/100), order)
		if inFlight, waiting, _ := p.s.Counts(); inFlight != 0 || waiting != 0 || p.s.waitingWeight != 0 {
			t.Fatalf("%d in flight, %d wait, weights of %v in the end", inFlight, waiting, p.s.waitingWeight)
		}
	})
}

// A flood from one team hardly delays another that uses less than its share, whatever the
// flood's requests cost. The bound is the cost of one of the flood's requests.
func TestQuietTeamIsNotDelayed(t *testing.T) {
	for _, flood := range []time.Duration{time.Millisecond, 10 * time.Millisecond, 100 * time.Millisecond} {
		rng := rand.New(rand.NewPCG(1, uint64(flood)))
		quiet := &teamSim{terms: terms("quiet", 0.4), gap: 10 * time.Millisecond, work: spread(rng, 10*time.Millisecond)}
		flooder := &teamSim{terms: terms("flood", 0.2), backlog: 500, work: spread(rng, flood)}
		order := []*teamSim{flooder, quiet}
		p := newPool(8, order...)
		p.run(p.now+Time(20*time.Second), order)
		var worst, sum time.Duration
		for _, w := range quiet.waits {
			worst, sum = max(worst, w), sum+w
		}
		mean := sum / time.Duration(len(quiet.waits))
		if quiet.refused > 0 || mean > flood/2+2*time.Millisecond || worst > 3*flood+20*time.Millisecond {
			t.Errorf("beside requests of %v: waited %v, at worst %v; %d refused", flood, mean, worst, quiet.refused)
		}
		// The flood gets all the rest: the scheduler is work-conserving.
		if workDone := flooder.workDone(p.now-Time(10*time.Second), p.now).Seconds(); workDone < 0.75*8*10 {
			t.Errorf("the flood of %v got %.1f of 80 s of work", flood, workDone)
		}
	}
}

// A low class of one team does not delay a high class of another: priorities apply only
// within a team.
func TestPriorityCountsWithinATeam(t *testing.T) {
	low, high := terms("low", 0.5), terms("high", 0.5)
	low.Classes = map[string]ClassTerms{"c": {Priority: 100}}
	a := &teamSim{terms: low, backlog: 100, work: fixed(20 * time.Millisecond)}
	b := &teamSim{terms: high, gap: 50 * time.Millisecond, work: fixed(20 * time.Millisecond)}
	order := []*teamSim{a, b}
	p := newPool(4, order...)
	p.run(p.now+Time(10*time.Second), order)
	for _, w := range b.waits {
		if w > 25*time.Millisecond {
			t.Fatalf("waited %v for another team's class of priority 100", w)
		}
	}
	// Within a team the higher priority goes first, then the earlier deadline.
	s := NewScheduler(1)
	s.SetCapacity(0, 1)
	team := &Terms{Team: "t", Classes: map[string]ClassTerms{"hi": {Priority: 1}, "lo": {}}}
	var items []*Item
	for _, c := range []struct {
		name string
		in   time.Duration
	}{{"lo", time.Minute}, {"lo", time.Minute}, {"lo", time.Minute}, {"lo", time.Second * 30}, {"hi", time.Minute}} {
		it := &Item{Terms: team, Priority: team.Classes[c.name].Priority, Deadline: Time(c.in)}
		s.Arrive(0, it)
		items = append(items, it)
	}
	s.Done(0, items[0], time.Millisecond, false)
	s.Done(0, items[1], time.Millisecond, false)
	var got []int
	for it := s.Next(0); it != nil; it = s.Next(0) {
		for i := range items {
			if items[i] == it {
				got = append(got, i)
			}
		}
		s.Done(0, it, time.Millisecond, false)
	}
	if fmt.Sprint(got) != "[4 3 2]" {
		t.Errorf("sent in the order %v, want the high class, then the earlier deadline", got)
	}
}

// A team that has been idle gains its burst and nothing more.
func TestIdlingGainsNoMoreThanTheBurst(t *testing.T) {
	for _, burst := range []time.Duration{0, time.Second} {
		idle := terms("idle", 0.5)
		idle.Burst = burst
		a := &teamSim{terms: terms("steady", 0.5), backlog: 50, work: fixed(10 * time.Millisecond)}
		b := &teamSim{terms: idle, backlog: 50, work: fixed(10 * time.Millisecond)}
		p := newPool(8, a, b)
		b.from = p.now + Time(time.Minute)
		order := []*teamSim{a, b}
		p.run(b.from+Time(5*time.Second), order)
		all := (a.workDone(b.from, p.now) + b.workDone(b.from, p.now)).Seconds()
		// Its half of five seconds, and half of the saved burst, as both teams' tags advance.
		want := all/2 + 8*0.5*burst.Seconds()/2
		if workDone := b.workDone(b.from, p.now).Seconds(); workDone > want*1.1+0.2 || workDone < want*0.85 {
			t.Errorf("burst of %v: got %.2f s of %.2f after a minute idle, want about %.2f", burst, workDone, all, want)
		}
	}
}

// A request that can't be answered in time is refused as soon as that is certain, not at its turn.
func TestTooLateIsRefusedAtOnce(t *testing.T) {
	a := &teamSim{terms: terms("a", 1), backlog: 300, work: fixed(10 * time.Millisecond), deadline: 200 * time.Millisecond}
	p := newPool(4, a)
	p.run(p.now+Time(5*time.Second), []*teamSim{a})
	for _, w := range a.waits {
		if w > 200*time.Millisecond {
			t.Fatalf("sent after %v, with a deadline of 200 ms", w)
		}
	}
	// 5 slots for 5 s at 10 ms: the refusals cost no work.
	if workDone := a.workDone(0, p.now).Seconds(); workDone < 0.9*4*5 || a.refused == 0 {
		t.Errorf("%.1f s of work, %d refused", workDone, a.refused)
	}
	it := &Item{Terms: a.terms, Deadline: p.now - 1}
	if turn, after := p.s.Arrive(p.now, it); turn != Refuse || after <= 0 {
		t.Errorf("past its deadline: %v, retry after %v", turn, after)
	}
	p.s.Done(p.now, it, 0, false)
}

// The cost of requests that were badly underestimated is charged later: a team whose requests cost
// 50 times the first estimate gets its share and no more.
func TestWrongEstimatesAreSettled(t *testing.T) {
	a := &teamSim{terms: terms("costly", 0.5), backlog: 50, work: fixed(time.Second)}
	b := &teamSim{terms: terms("cheap", 0.5), backlog: 50, work: fixed(time.Millisecond)}
	order := []*teamSim{a, b}
	p := newPool(8, order...)
	start := p.now
	p.run(start+Time(60*time.Second), order)
	x, y := a.workDone(start+Time(10*time.Second), p.now).Seconds(), b.workDone(start+Time(10*time.Second), p.now).Seconds()
	if ratio := x / (x + y); ratio < 0.4 || ratio > 0.6 {
		t.Errorf("the costly team got %.2f of the work, want about half", ratio)
	}
}

// A changed contract applies to requests that arrive afterwards; those that wait stay queued.
func TestContractChangesUnderLoad(t *testing.T) {
	a := &teamSim{terms: terms("a", 0.2), backlog: 50, work: fixed(10 * time.Millisecond)}
	b := &teamSim{terms: terms("b", 0.8), backlog: 50, work: fixed(10 * time.Millisecond)}
	order := []*teamSim{a, b}
	p := newPool(8, order...)
	p.run(p.now+Time(5*time.Second), order)
	a.terms, b.terms = terms("a", 0.8), terms("b", 0.2)
	at := p.now + Time(time.Second)
	p.run(at+Time(5*time.Second), order)
	x, y := a.workDone(at, p.now).Seconds(), b.workDone(at, p.now).Seconds()
	if ratio := x / (x + y); ratio < 0.7 || ratio > 0.9 {
		t.Errorf("with a new share of 0.8 it got %.2f", ratio)
	}
}

// A clock that goes backward counts as stopped; one that jumps ahead expires waiting requests and
// gives no team anything.
func TestClockSteps(t *testing.T) {
	s := NewScheduler(1)
	s.SetCapacity(Time(time.Hour), 1)
	team := terms("t", 1)
	var items []*Item
	for i := range 4 {
		it := &Item{Terms: team, Deadline: Time(time.Hour + time.Minute)}
		s.Arrive(Time(time.Hour)-Time(i)*Time(time.Minute), it)
		items = append(items, it)
	}
	if s.now != Time(time.Hour) {
		t.Errorf("the clock went back to %v", s.now)
	}
	if it, _ := s.Expired(0); it != nil {
		t.Error("something expired at an earlier time")
	}
	n := 0
	for it, _ := s.Expired(Time(24 * time.Hour)); it != nil; it, _ = s.Expired(0) {
		n++
	}
	for _, it := range items {
		s.Done(0, it, 0, false)
		s.Done(0, it, 0, false)
	}
	if out, waiting, _ := s.Counts(); n != 2 || out != 0 || waiting != 0 {
		t.Errorf("%d expired, %d in flight and %d waiting in the end", n, out, waiting)
	}
}

// The queues of 10 000 teams that send one request each are dropped while others go on.
func TestSilentTeamsAreForgotten(t *testing.T) {
	s := NewScheduler(1)
	s.SetCapacity(0, 8)
	now := Time(0)
	ask := func(team *Terms) {
		now += Time(time.Millisecond)
		it := &Item{Terms: team, Deadline: now + Time(time.Hour)}
		if turn, _ := s.Arrive(now, it); turn == Go {
			s.Done(now, it, time.Millisecond, false)
		}
	}
	for i := range 10_000 {
		team := terms(fmt.Sprint("once", i), 0.0001)
		team.index = i
		ask(team)
	}
	busy := terms("busy", 0.5)
	busy.index = 10_000
	for range 30_000 {
		ask(busy)
	}
	if _, _, teams := s.Counts(); teams > 100 {
		t.Errorf("%d teams have a queue", teams)
	}
}

func BenchmarkAdmission(b *testing.B) {
	for _, n := range []int{3, 1000, 10_000} {
		var list []*Terms
		for i := range n {
			list = append(list, terms(fmt.Sprint("team", i), 1/float64(n)))
			list[i].index = i
		}
		idle := func(s *Scheduler) func(*testing.B) {
			return func(b *testing.B) {
				s.SetCapacity(0, 64)
				it := &Item{}
				b.ReportAllocs()
				for i := 0; b.Loop(); i++ {
					now := Time(i) * 1000
					*it = Item{Terms: list[i*7919%n], Deadline: now + Time(time.Second), Key: uint64(i%512 + 1)}
					s.Arrive(now, it)
					s.Done(now, it, time.Millisecond, false)
				}
			}
		}
		b.Run(fmt.Sprintf("idle/%d", n), idle(NewScheduler(1)))
		shared := NewScheduler(1)
		registry := quota.NewStore(0, quota.Config{Self: "a", Lease: time.Second})
		shared.SetLimitShares(func(t *Terms) LimitShare { return registry.Right(quota.Limit{Name: t.Team, Amount: t.Absolute()}) })
		for _, t := range list {
			t.Rate = 1
		}
		b.Run(fmt.Sprintf("shared/%d", n), idle(shared))
		b.Run(fmt.Sprintf("queued/%d", n), func(b *testing.B) {
			s := NewScheduler(1)
			s.SetCapacity(0, 64)
			items := make([]Item, 2*n+128)
			for i := range items {
				items[i] = Item{Terms: list[i%n], Deadline: Time(time.Hour * 1000)}
				s.Arrive(0, &items[i])
			}
			var out []*Item
			for i := range items {
				if items[i].state == itemInFlight {
					out = append(out, &items[i])
				}
			}
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				now := Time(i) * 1000
				it := out[i%len(out)]
				s.Done(now, it, 20*time.Millisecond, false)
				*it = Item{Terms: list[i*7919%n], Deadline: now + Time(time.Hour*1000)}
				s.Arrive(now, it)
				if out[i%len(out)] = s.Next(now); out[i%len(out)] == nil {
					b.Fatal("Next returned no request")
				}
			}
		})
	}
}
