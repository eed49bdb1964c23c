package contract

import (
	"testing"
	"time"
)

// halfShare is a share of one half of any limit; it records the reported demand.
type halfShare struct{ asked float64 }

func (h *halfShare) Part(Time) float64 { return 0.5 }
func (h *halfShare) Ask(units float64) { h.asked += units }

// A team whose share of its limits allows more attempts than the pool gives here gets exactly that
// many; a team without such a share does not. Its demand is reported in work, also while queues at
// hosts make requests take four times as long; its share then allows four times as many attempts.
func TestRightsGoBeyondThePool(t *testing.T) {
	s := NewScheduler(1)
	limitShare := &halfShare{}
	s.SetLimitShares(func(t *Terms) LimitShare {
		if t.Team == "team" {
			return limitShare
		}
		return nil
	})
	team, flood := &Terms{Team: "team", Rate: 8}, &Terms{Team: "flood", index: 1}
	now := Time(time.Hour)
	s.SetCapacity(now, 1)
	item := func(t *Terms) *Item { return &Item{Terms: t, Deadline: now + Time(10*time.Second)} }
	var out []*Item
	arrive := func(t *Terms) Turn {
		it := item(t)
		turn, _ := s.Arrive(now, it)
		if turn == Go {
			out = append(out, it)
		}
		return turn
	}
	// Without queueing: 100 requests of 10 ms one after another.
	for range 100 {
		if arrive(team) != Go {
			t.Fatal("a request waits while nothing is in flight")
		}
		now += Time(10 * time.Millisecond)
		s.Done(now, out[0], 10*time.Millisecond, false)
		out = nil
	}
	for arrive(flood) == Go {
	}
	held := len(out)
	for range 10 {
		arrive(team)
	}
	if got := len(out) - held; got != 4 {
		t.Errorf("%d attempts beyond the pool's capacity, the share allows 4", got)
	}
	// Its requests now end after 40 ms, most of it waiting at hosts.
	for range 200 {
		now += Time(40 * time.Millisecond)
		it := out[len(out)-1]
		out = out[:len(out)-1]
		s.Done(now, it, 40*time.Millisecond, false)
		arrive(team)
		for next := s.Next(now); next != nil; next = s.Next(now) {
			out = append(out, next)
		}
	}
	before := limitShare.asked
	arrive(team)
	if got := limitShare.asked - before; got < 0.008 || got > 0.017 {
		t.Errorf("a request of 10 ms of work is reported as %.4f s", got)
	}
	own := 0
	for _, it := range out {
		if it.Terms == team {
			own++
		}
	}
	if own < 10 || own > 16 {
		t.Errorf("%d attempts in flight while each takes four times as long, the share allows 4 times 4 at most", own)
	}
}
