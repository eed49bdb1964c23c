package exchange

import (
	"testing"
	"testing/synctest"
	"time"

	"frostshift"
)

// dialing is an upstream whose attempts go out when a test lets them: the connection comes up then.
type dialing struct{ attempts chan *Attempt }

func (d dialing) Start(a *Attempt) Handle {
	d.attempts <- a
	return notOff{}
}

type notOff struct{}

func (notOff) CallOff() {}

// A request may not go out any more once its client is known to have left, be it that the loop has
// not come to it, nor once its time is over.
func TestNothingGoesOutForWhoHasLeft(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		x := New(NewClock())
		u := dialing{make(chan *Attempt, 4)}
		p := newPool(t, x, "p", u, 2, nil)
		call := x.ask(0, "left", p, nil)
		a := <-u.attempts
		if !a.MaySend() {
			t.Error("a request whose client waits may not go out")
		}
		stuck, end := make(chan struct{}), make(chan struct{})
		p.Behind(func() { close(stuck); <-end }) // the loop is busy
		<-stuck
		call.Gone()
		if a.MaySend() {
			t.Error("a request may go out though its client has left")
		}
		close(end)
		a.End(frostshift.NotSent)
		late := x.ask(0, "late", p, nil)
		b := <-u.attempts
		time.Sleep(time.Second)
		if b.MaySend() {
			t.Error("a request may go out when its time is over")
		}
		b.End(frostshift.NotSent)
		<-late.Reply
		p.Drain()
		<-p.Done()
	})
}

// away is a client that has left, though nobody has read the end of its connection.
type away struct{ gone bool }

func (a *away) Here() bool { return !a.gone }

// A client that has left is looked for right before the first byte: whoever reads its connection may have had
// no processor time since.
func TestClientIsLookedForBeforeTheFirstByte(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		x := New(NewClock())
		u := dialing{make(chan *Attempt, 4)}
		p := newPool(t, x, "p", u, 2, nil)
		client := &away{}
		call := x.Submit(Request{ID: "a", Class: 1, Tenant: -1, Deadline: x.clock.Now() + time.Second, Client: client}, p, nil)
		a := <-u.attempts
		if !a.MaySend() {
			t.Error("a request whose client waits may not go out")
		}
		client.gone = true
		if a.MaySend() {
			t.Error("a request may go out though its client has left")
		}
		client.gone = false // what was seen holds
		if a.MaySend() {
			t.Error("the client has come back")
		}
		call.Gone()
		a.End(frostshift.NotSent)
		p.Drain()
		<-p.Done()
	})
}

// A repeat of a keyed request goes out up to the end of the window since its first attempt that may
// have run, and not later, however long its connection takes to come up. The attempt that never ran
// does not count.
func TestRepeatGoesOutWithinItsWindow(t *testing.T) {
	const window = 300 * time.Millisecond
	for _, late := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			x := New(NewClock())
			u := dialing{make(chan *Attempt, 4)}
			p, err := x.NewPool(PoolConfig{Name: "p", Seed: 1, Log: discard, Upstream: u,
				Settings: frostshift.Settings{Instances: 1, MaxAttempts: 4, Cancel: true, Step: time.Millisecond,
					Classes: []frostshift.Class{{Aim: time.Second, Deadline: 2 * time.Second, Effect: frostshift.Keyed, Window: window}}}})
			if err != nil {
				t.Fatal(err)
			}
			go p.Run(nil, nil)
			p.UpdateHosts(frostshift.ListFull, hostsOf(4), nil)
			call := x.Submit(Request{ID: "k", Tenant: -1, Deadline: x.clock.Now() + 2*time.Second, Message: "k"}, p, nil)
			never := <-u.attempts
			time.Sleep(200 * time.Millisecond)
			never.End(frostshift.ConnectFailed)
			first := <-u.attempts
			time.Sleep(100 * time.Millisecond)
			first.End(frostshift.Reset)
			second := <-u.attempts
			time.Sleep(window - 100*time.Millisecond)
			if late {
				time.Sleep(time.Nanosecond)
			}
			if second.MaySend() == late {
				t.Errorf("may go out %t, late %t", !late, late)
			}
			second.End(frostshift.NotSent)
			if r := <-call.Reply; r.Verdict == Served {
				t.Errorf("%+v", r)
			}
			p.Drain()
			<-p.Done()
		})
	}
}

// At the end of the process nothing is sent any more: a request that comes is refused, one that is open has
// no longer than until then, and none of its attempts is told more.
func TestNothingIsSentAtTheEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		x := New(NewClock())
		left := make(chan time.Duration, 8)
		u := newUpstream(func(a *Attempt) (frostshift.Result, time.Duration) {
			left <- a.Remaining()
			return frostshift.ConnectFailed, 400 * time.Millisecond
		})
		p := newPool(t, x, "a", u, 6, nil)
		early := x.ask(0, "early", p, nil)
		synctest.Wait()
		x.EndBy(x.clock.Now() + 300*time.Millisecond)
		late := x.ask(0, "late", p, nil)
		synctest.Wait()
		for _, want := range []time.Duration{time.Second, 300 * time.Millisecond} {
			if got := <-left; got > want {
				t.Errorf("told %v, at most %v are left", got, want)
			}
		}
		time.Sleep(301 * time.Millisecond)
		over := x.ask(0, "over", p, nil)
		if r := <-over.Reply; r.Verdict != Refused || r.Tries != 0 {
			t.Errorf("one that comes at the end: %+v", r)
		}
		if r := <-late.Reply; r.Verdict == Served || u.tries["late"] != 1 {
			t.Errorf("one that came shortly before: %+v after %d attempts", r, u.tries["late"])
		}
		if r := <-early.Reply; r.Verdict != Refused || u.tries["early"] != 1 { // its second attempt is due now
			t.Errorf("one that was open: %+v after %d attempts", r, u.tries["early"])
		}
		p.Drain()
		<-p.Done()
	})
}
