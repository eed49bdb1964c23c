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

// fakeUpstream records attempts; play decides how each ends.
type fakeUpstream struct {
	mu   sync.Mutex
	play func(a *Attempt) (frostshift.Result, time.Duration)
	// inFlight counts the attempts in flight by request, tries all attempts.
	inFlight, tries map[any]int
	maxInFlight     map[any]int // most attempts in flight at once
	cancels         int
}

func newUpstream(play func(a *Attempt) (frostshift.Result, time.Duration)) *fakeUpstream {
	return &fakeUpstream{play: play, inFlight: map[any]int{}, tries: map[any]int{}, maxInFlight: map[any]int{}}
}

type fakeHandle struct {
	u        *fakeUpstream
	a        *Attempt
	canceled chan struct{}
	once     sync.Once
}

func (h *fakeHandle) CallOff() {
	h.once.Do(func() {
		h.u.mu.Lock()
		h.u.cancels++
		h.u.mu.Unlock()
		close(h.canceled)
	})
}

type fakeAnswer struct{ released chan struct{} }

func (a fakeAnswer) Release() { close(a.released) }

func (a fakeAnswer) Light() bool { return true }

func (u *fakeUpstream) Start(a *Attempt) Handle {
	h := &fakeHandle{u: u, a: a, canceled: make(chan struct{})}
	u.mu.Lock()
	u.tries[a.Message]++
	u.inFlight[a.Message]++
	u.maxInFlight[a.Message] = max(u.maxInFlight[a.Message], u.inFlight[a.Message])
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
		case <-h.canceled:
			result = frostshift.Canceled
		}
		u.mu.Lock()
		u.inFlight[a.Message]--
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

// newPool runs a pool with the given number of ready hosts.
func newPool(t testing.TB, x *Exchange, name string, u Upstream, hosts int, room Room) *Pool {
	p := newIdlePool(t, x, name, u, room)
	go p.Run(nil, nil)
	p.UpdateHosts(frostshift.ListFull, hostsOf(hosts), nil)
	return p
}

// newIdlePool returns a pool that does not run yet.
func newIdlePool(t testing.TB, x *Exchange, name string, u Upstream, room Room) *Pool {
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

// hold counts how often it is released.
type hold struct {
	mu sync.Mutex
	n  int
}

func (h *hold) Release() { h.mu.Lock(); h.n++; h.mu.Unlock() }
