package exchange

import (
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"frostshift"
	"frostshift/internal/body"
	"frostshift/internal/verdict"
)

// upload is a request body whose state the test sets.
type upload struct {
	mu     sync.Mutex
	state  body.State
	broken bool
	sent   time.Time // when its client had sent all of it; zero: it still sends
}

func (u *upload) OwedAt() time.Time {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.sent.IsZero() {
		return time.Now()
	}
	return u.sent
}

func (u *upload) State() body.State { u.mu.Lock(); defer u.mu.Unlock(); return u.state }
func (u *upload) Broken() bool      { u.mu.Lock(); defer u.mu.Unlock(); return u.broken }

// manualUpstream is an upstream whose attempts are ended by the test.
type manualUpstream struct {
	started chan *Attempt
	cancels chan *Attempt
}

func newManualUpstream() *manualUpstream {
	return &manualUpstream{started: make(chan *Attempt, 16), cancels: make(chan *Attempt, 64)}
}

type manualHandle struct {
	u *manualUpstream
	a *Attempt
}

func (h manualHandle) CallOff() { h.u.cancels <- h.a }

func (u *manualUpstream) Start(a *Attempt) Handle {
	u.started <- a
	return manualHandle{u, a}
}

// countingRoom is a Room that counts what is taken from it.
type countingRoom struct {
	mu   sync.Mutex
	held int64
}

func (c *countingRoom) Take(n int64) bool { c.mu.Lock(); defer c.mu.Unlock(); c.held += n; return true }
func (c *countingRoom) Give(n int64)      { c.mu.Lock(); defer c.mu.Unlock(); c.held -= n }
func (c *countingRoom) now() int64        { c.mu.Lock(); defer c.mu.Unlock(); return c.held }

type endings struct {
	mu   sync.Mutex
	list []Ending
}

func (e *endings) Ended(x Ending) { e.mu.Lock(); defer e.mu.Unlock(); e.list = append(e.list, x) }

func (x *Exchange) submitBody(class int, id string, b Body, w Watcher, to, fallback *Pool) *Call {
	now := x.clock.Now()
	return x.Submit(Request{ID: id, Class: class, Tenant: -1, Deadline: now + time.Second, Message: id, Body: b,
		Rest: time.Second, Ends: now + time.Hour, Watch: w}, to, fallback)
}

// A request whose answer's body is still to come gets its verdict with the head of the answer, and keeps
// its id, its room and its pools until the end of the body, half an hour later.
func TestFlowHoldsUntilItsEnd(t *testing.T) {
	for _, c := range []struct {
		end         frostshift.Result
		failed, bad bool
	}{{frostshift.OK, false, false}, {frostshift.Reset, true, true}, {frostshift.Canceled, false, false}} {
		synctest.Test(t, func(t *testing.T) {
			x, u, room, w := New(NewClock()), newManualUpstream(), &countingRoom{}, &endings{}
			p := newPool(t, x, "p", u, 2, room)
			b := &upload{state: body.Whole}
			call := x.submitBody(1, "a", b, w, p, nil)
			a := <-u.started
			time.Sleep(time.Minute) // the client sends slowly
			a.Waited(time.Minute)
			a.Fed()
			time.Sleep(10 * time.Millisecond)
			released := make(chan struct{})
			a.Flowing(verdict.Plain().Judge(200, nil), 0, fakeAnswer{released})
			r := <-call.Reply
			if r.Verdict != Served || !r.Ran {
				t.Fatalf("reply %+v", r)
			}
			time.Sleep(30 * time.Minute)
			if v := <-x.submitBody(1, "a", nil, nil, p, nil).Reply; v.Verdict != Duplicate {
				t.Errorf("the same id during the body of the answer: %v", v.Verdict)
			}
			p.Drain()
			time.Sleep(time.Minute)
			select {
			case <-p.Done():
				t.Error("the pool has ended during the body of the answer")
			default:
			}
			if room.now() != 1 {
				t.Errorf("%d requests hold room, want 1", room.now())
			}
			a.Flowed(c.end)
			<-p.Done()
			if room.now() != 0 || x.Open() != 0 {
				t.Errorf("at the end: %d requests hold room, %d ids are open", room.now(), x.Open())
			}
			if n := p.Counts().Failed.Load(); (n == 1) != c.failed {
				t.Errorf("%d requests failed", n)
			}
			if len(w.list) != 1 || w.list[0].Fault != c.bad || w.list[0].Work > 31*time.Minute/bodyLoadDivisor+time.Second {
				t.Errorf("endings %+v", w.list)
			}
			select {
			case canceled := <-u.cancels:
				t.Errorf("%v was canceled", canceled)
			default:
			}
		})
	}
}

// For random outcomes of attempts and states of the request body: there is one reply, no attempt that the
// table in package body does not allow, and no resource is held at the end.
func TestBodiesKeepTheTable(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		class := rapid.IntRange(0, 2).Draw(rt, "class")
		effect := classes[class].Effect
		type step struct {
			result frostshift.Result
			fed    bool
			state  body.State
			broken bool
			flows  bool
		}
		var steps []step
		for range 5 {
			steps = append(steps, step{
				result: rapid.SampledFrom([]frostshift.Result{frostshift.Full, frostshift.ConnectFailed, frostshift.NotSent, frostshift.Reset,
					frostshift.TimedOut}).Draw(rt, "result"),
				fed: rapid.Bool().Draw(rt, "fed"), state: rapid.SampledFrom([]body.State{body.Partial, body.Whole, body.Spilled, body.Dropped}).Draw(rt, "state"),
				broken: rapid.IntRange(0, 9).Draw(rt, "broken") == 0, flows: rapid.IntRange(0, 4).Draw(rt, "flows") == 0})
		}
		withFallback := rapid.Bool().Draw(rt, "fallback")
		synctest.Test(t, func(t *testing.T) {
			x, room := New(NewClock()), &countingRoom{}
			u, v := newManualUpstream(), newManualUpstream()
			p, q := newPool(t, x, "p", u, 2, room), newPool(t, x, "q", v, 2, room)
			var fallback *Pool
			if withFallback {
				fallback = q
			}
			b := &upload{state: body.Partial}
			call := x.submitBody(class, "a", b, nil, p, fallback)
			mayRan, allowed, n := [2]bool{}, true, 0 // at the pool and at its fallback
			var reply Reply
			for done := false; !done; {
				select {
				case a := <-u.started:
					n = endAttempt(rt, a, b, steps[min(n, 4)].result, steps[min(n, 4)].state, steps[min(n, 4)].broken, steps[min(n, 4)].flows, steps[min(n, 4)].fed,
						effect, &mayRan, &allowed, n, false)
				case a := <-v.started:
					n = endAttempt(rt, a, b, steps[min(n, 4)].result, steps[min(n, 4)].state, steps[min(n, 4)].broken, steps[min(n, 4)].flows, steps[min(n, 4)].fed,
						effect, &mayRan, &allowed, n, true)
				case reply = <-call.Reply:
					done = true
				}
			}
			if reply.Verdict == Refused && (mayRan[0] || mayRan[1]) && effect == frostshift.Unsafe {
				rt.Fatalf("refused though the request may have run")
			}
			if n > 4 {
				rt.Fatalf("%d attempts", n)
			}
			synctest.Wait()
			if len(u.started)+len(v.started) > 0 {
				rt.Fatal("an attempt after the reply")
			}
			p.Drain()
			q.Drain()
			<-p.Done()
			<-q.Done()
			if room.now() != 0 || x.Open() != 0 {
				rt.Fatalf("at the end: %d requests hold room, %d ids are open", room.now(), x.Open())
			}
		})
	})
}

// A long answer that the client does not get, as it refuses a request that may have run, is reported as every other: its
// host has answered, in the time that it took.
func TestAnswerThatIsNotGivenCountsForItsHost(t *testing.T) {
	for _, c := range []struct{ status, places int }{{429, 1}, {200, 0}} {
		synctest.Test(t, func(t *testing.T) {
			x, u := New(NewClock()), newManualUpstream()
			p := newIdlePool(t, x, "p", u, nil)
			p.downloads = &places{left: c.places}
			var took []time.Duration
			seen := 0
			p.onAttemptEnd = func(_ frostshift.HostID, _ int, r frostshift.Result, d frostshift.Time) { took = append(took, d) }
			p.onHostSeen = func(_ frostshift.HostID, answered bool) {
				if answered {
					seen++
				}
			}
			go p.Run(nil, nil)
			p.UpdateHosts(frostshift.ListFull, hostsOf(1), nil)
			call := x.submitBody(1, "a", nil, nil, p, nil)
			a := <-u.started
			time.Sleep(70 * time.Millisecond)
			released := make(chan struct{})
			a.Flowing(verdict.Plain().Judge(c.status, nil), 0, refusingAnswer{fakeAnswer{released}, c.status == 429})
			if r := <-call.Reply; r.Verdict != Failed || r.Answer != nil {
				t.Errorf("%d: reply %+v", c.status, r)
			}
			<-released
			a.Flowed(frostshift.Canceled)
			p.Drain()
			<-p.Done()
			if seen != 1 || len(took) != 1 || took[0] != 70*time.Millisecond {
				t.Errorf("%d: the host was seen %d times, attempts took %v", c.status, seen, took)
			}
		})
	}
}

// places has a number of places left.
type places struct{ left int }

func (p *places) Take(int64) bool { p.left--; return p.left >= 0 }

func (p *places) Give(int64) {}

// refusingAnswer is a host's answer that may read as a refusal.
type refusingAnswer struct {
	fakeAnswer
	refuses bool
}

func (a refusingAnswer) Refuses() bool { return a.refuses }

func (a refusingAnswer) RetryAfter() time.Duration { return 0 }

// endAttempt checks that the attempt is allowed, sets the state of the body, ends the attempt, and
// returns the number of attempts so far.
func endAttempt(rt *rapid.T, a *Attempt, b *upload, result frostshift.Result, state body.State, broken, flows, fed bool, effect frostshift.Effect,
	mayRan *[2]bool, allowed *bool, n int, elsewhere bool) int {
	here, there := 0, 1
	if elsewhere {
		here, there = 1, 0
	}
	switch {
	case !*allowed:
		rt.Fatalf("attempt %d, which the table does not allow", n)
	case (mayRan[here] || mayRan[there]) && effect == frostshift.Unsafe:
		rt.Fatalf("attempt %d though one may have run", n)
	case mayRan[there]: // a retry at the same pool depends on the class
		rt.Fatalf("attempt %d elsewhere though one may have run", n)
	}
	b.mu.Lock()
	b.state, b.broken = state, broken
	b.mu.Unlock()
	*allowed = state != body.Dropped && !broken
	if fed {
		a.Fed()
	}
	if flows {
		a.Flowing(verdict.Plain().Judge(200, nil), 0, fakeAnswer{make(chan struct{})})
		*allowed = false
		go a.Flowed(frostshift.OK)
		return n + 1
	}
	mayRan[here] = mayRan[here] || result == frostshift.Reset || result == frostshift.TimedOut
	a.End(result)
	return n + 1
}

// A host that does not read a request which its client has sent whole long ago makes its answer not late: the request
// fails by the client's time, and its attempt is called off. One that waits for a host is refused.
func TestHostThatDoesNotReadMakesNoAnswerLate(t *testing.T) {
	for hosts, want := range []Verdict{Refused, Failed} {
		synctest.Test(t, func(t *testing.T) {
			x, u, room := New(NewClock()), newManualUpstream(), &countingRoom{}
			p := newPool(t, x, "p", u, hosts, room)
			b := &upload{state: body.Partial}
			call := x.submitBody(1, "a", b, &endings{}, p, nil)
			if hosts > 0 {
				a := <-u.started
				time.Sleep(3 * time.Second) // the client still sends
				b.mu.Lock()
				b.state, b.sent = body.Dropped, time.Now()
				b.mu.Unlock()
				defer func() {
					<-u.cancels
					a.End(frostshift.Canceled)
					p.Drain()
					<-p.Done()
				}()
			} else {
				defer p.Drain()
			}
			began := time.Now()
			r := <-call.Reply
			if took := time.Since(began); r.Verdict != want || took > time.Second {
				t.Errorf("with %d hosts: %v after %v, want %v", hosts, r.Verdict, took, want)
			}
		})
	}
}
