package exchange

import (
	"log/slog"
	"sync"
	"testing"
	"time"

	"frostshift"
	"frostshift/internal/verdict"
)

var discard = slog.New(slog.DiscardHandler)

// fakeUpstream records attempts; play says how each ends.
type fakeUpstream struct {
	mu   sync.Mutex
	play func(a *Attempt) (frostshift.Result, time.Duration)
	// out counts attempts that are out by request, tries all of them
	out, tries map[any]int
	most       map[any]int // attempts out at once
	offs       int
}

func newUpstream(play func(a *Attempt) (frostshift.Result, time.Duration)) *fakeUpstream {
	return &fakeUpstream{play: play, out: map[any]int{}, tries: map[any]int{}, most: map[any]int{}}
}

type fakeHandle struct {
	u   *fakeUpstream
	a   *Attempt
	off chan struct{}
	one sync.Once
}

func (h *fakeHandle) CallOff() {
	h.one.Do(func() {
		h.u.mu.Lock()
		h.u.offs++
		h.u.mu.Unlock()
		close(h.off)
	})
}

type fakeAnswer struct{ released chan struct{} }

func (a fakeAnswer) Release() { close(a.released) }

func (a fakeAnswer) Light() bool { return true }

func (u *fakeUpstream) Start(a *Attempt) Handle {
	h := &fakeHandle{u: u, a: a, off: make(chan struct{})}
	u.mu.Lock()
	u.tries[a.Message]++
	u.out[a.Message]++
	u.most[a.Message] = max(u.most[a.Message], u.out[a.Message])
	u.mu.Unlock()
	go func() {
		result, after := u.play(a)
		timer := time.NewTimer(min(after, time.Until(a.Until)))
		defer timer.Stop()
		select {
		case <-timer.C:
			if after > a.Left {
				result = frostshift.TimedOut
			}
		case <-h.off:
			result = frostshift.Canceled
		}
		u.mu.Lock()
		u.out[a.Message]--
		u.mu.Unlock()
		switch result {
		case frostshift.OK:
			a.Answered(verdict.Platform().Judge(200, nil), 0, fakeAnswer{make(chan struct{})})
		case frostshift.Failed:
			a.Malformed()
		default:
			a.End(result)
		}
	}()
	return h
}

func always(r frostshift.Result, after time.Duration) func(*Attempt) (frostshift.Result, time.Duration) {
	return func(*Attempt) (frostshift.Result, time.Duration) { return r, after }
}

var classes = []frostshift.Class{
	{Aim: 200 * time.Millisecond, Deadline: time.Second, Effect: frostshift.Safe},
	{Aim: 200 * time.Millisecond, Deadline: time.Second, Effect: frostshift.Unsafe},
	{Aim: 200 * time.Millisecond, Deadline: time.Second, Effect: frostshift.Keyed, Group: frostshift.GroupCell, Window: 2 * time.Second},
}

// newPool runs a pool with so many hosts that are ready.
func newPool(t testing.TB, x *Exchange, name string, u Upstream, hosts int, room Room) *Pool {
	p := stillPool(t, x, name, u, room)
	go p.Run(nil, nil)
	p.UpdateHosts(frostshift.ListFull, hostsOf(hosts), nil)
	return p
}

// stillPool is a pool that does not run yet.
func stillPool(t testing.TB, x *Exchange, name string, u Upstream, room Room) *Pool {
	p, err := x.NewPool(PoolConfig{Name: name, Seed: 1, Log: slog.New(slog.DiscardHandler), Upstream: u, Room: room,
		Settings: frostshift.Settings{Instances: 1, Classes: classes, MaxAttempts: 4, Cancel: true,
			Step: 5 * time.Millisecond, MaxRetryAfter: time.Second}})
	if err != nil {
		t.Fatal(err)
	}
	return p
}

func hostsOf(n int) (list []frostshift.Host) {
	for i := range n {
		list = append(list, frostshift.Host{ID: frostshift.HostID(i + 1), Cell: i % 2})
	}
	return list
}

func (x *Exchange) ask(class int, id string, to, fallback *Pool) *Call {
	return x.Submit(Request{ID: id, Class: class, Tenant: -1, Deadline: x.clock.Now() + time.Second, Message: id}, to, fallback)
}

// hold counts how often it is let go.
type hold struct {
	mu sync.Mutex
	n  int
}

func (h *hold) Release() { h.mu.Lock(); h.n++; h.mu.Unlock() }
