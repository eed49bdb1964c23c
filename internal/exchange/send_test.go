package exchange

import (
	"testing"
	"testing/synctest"
	"time"

	"frostshift"
)

// dialing is an upstream that passes its attempts to the test and sends nothing by itself, as if their
// connections were still being established.
type dialing struct{ attempts chan *Attempt }

func (d dialing) Start(a *Attempt) Handle {
	d.attempts <- a
	return nopHandle{}
}

type nopHandle struct{}

func (nopHandle) CallOff() {}

// A request may not be sent once its client is known to have left, even if the loop has not handled
// the departure yet, nor after its deadline.
func TestNothingGoesOutForWhoHasLeft(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		x := New(NewClock())
		u := dialing{make(chan *Attempt, 4)}
		p := newPool(t, x, "p", u, 2, nil)
		call := x.ask(0, "left", p, nil)
		a := <-u.attempts
		if !a.MaySend() {
			t.Error("a request whose client waits may not be sent")
		}
		blocked, unblock := make(chan struct{}), make(chan struct{})
		p.Behind(func() { close(blocked); <-unblock }) // the loop is busy
		<-blocked
		call.Gone()
		if a.MaySend() {
			t.Error("a request may be sent though its client has left")
		}
		close(unblock)
		a.End(frostshift.NotSent)
		late := x.ask(0, "late", p, nil)
		b := <-u.attempts
		time.Sleep(time.Second)
		if b.MaySend() {
			t.Error("a request may be sent after its deadline")
		}
		b.End(frostshift.NotSent)
		<-late.Reply
		p.Drain()
		<-p.Done()
	})
}

// leavingClient is a client whose departure shows only when its connection is checked.
type leavingClient struct{ gone bool }

func (a *leavingClient) Here() bool { return !a.gone }

func (a *leavingClient) Blind() bool { return false }

// The client's connection is checked right before the first byte, because the goroutine that reads it
// may have had no processor time since the client left.
func TestClientIsLookedForBeforeTheFirstByte(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		x := New(NewClock())
		u := dialing{make(chan *Attempt, 4)}
		p := newPool(t, x, "p", u, 2, nil)
		client := &leavingClient{}
		call := x.Submit(Request{ID: "a", Class: 1, Tenant: -1, Deadline: x.clock.Now() + time.Second, Client: client}, p, nil)
		a := <-u.attempts
		if !a.MaySend() {
			t.Error("a request whose client waits may not be sent")
		}
		client.gone = true
		if a.MaySend() {
			t.Error("a request may be sent though its client has left")
		}
		client.gone = false // a departure is final
		if a.MaySend() {
			t.Error("a request may be sent for a client that was seen to leave")
		}
		call.Gone()
		a.End(frostshift.NotSent)
		p.Drain()
		<-p.Done()
	})
}

// A retry of a keyed request may be sent until the end of the window, counted from its first attempt
// that may have run, and not later, however long its connection takes to be established. An attempt
// that certainly did not run does not count.
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
				t.Errorf("may be sent: %t, late: %t", !late, late)
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

// After the end of the process nothing is sent: a new request is refused, and an open one has no time
// beyond the end, nor does any of its attempts report more to a host.
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
				t.Errorf("the host was given %v, but at most %v are left", got, want)
			}
		}
		time.Sleep(301 * time.Millisecond)
		over := x.ask(0, "over", p, nil)
		if r := <-over.Reply; r.Verdict != Refused || r.Tries != 0 {
			t.Errorf("a request after the end: %+v", r)
		}
		if r := <-late.Reply; r.Verdict == Served || u.tries["late"] != 1 {
			t.Errorf("a request shortly before the end: %+v after %d attempts", r, u.tries["late"])
		}
		if r := <-early.Reply; r.Verdict != Refused || u.tries["early"] != 1 { // its second attempt is due now
			t.Errorf("an open request: %+v after %d attempts", r, u.tries["early"])
		}
		p.Drain()
		<-p.Done()
	})
}

// A host that drains, or that operators take out, while an attempt there waits to be sent: it was sent once it could be.
func TestNothingNewIsSentToAHostThatDrains(t *testing.T) {
	for _, how := range []string{"list", "operators"} {
		synctest.Test(t, func(t *testing.T) {
			x := New(NewClock())
			sent := map[frostshift.HostID]int{}
			waiting, free := make(chan *Attempt, 1), make(chan struct{})
			u := newUpstream(func(a *Attempt) (frostshift.Result, time.Duration) {
				if a.Host == 1 {
					waiting <- a
					select {
					case <-free:
					case <-a.Withdrawn():
					}
				}
				if !a.MaySend() {
					return frostshift.NotSent, 0
				}
				sent[a.Host]++
				return frostshift.OK, 0
			})
			p := newPool(t, x, "a", u, 1, nil)
			c := x.ask(1, "id", p, nil)
			<-waiting
			if how == "list" {
				p.UpdateHosts(frostshift.ListChanges, []frostshift.Host{{ID: 1, State: frostshift.Draining}, {ID: 2}}, nil)
			} else {
				p.UpdateHosts(frostshift.ListChanges, []frostshift.Host{{ID: 2}}, nil)
				p.Ban(1, true, func() {}, func() {})
			}
			synctest.Wait()
			close(free)
			if r := <-c.Reply; r.Verdict != Served {
				t.Errorf("%s: answered %v", how, r.Verdict)
			}
			if sent[1] != 0 || sent[2] != 1 {
				t.Errorf("%s: sent to hosts: %v", how, sent)
			}
			p.Drain()
			<-p.Done()
		})
	}
}
