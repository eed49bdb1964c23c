package contract

import (
	"testing"
	"time"
)

// half is a right to half of what a contract states, that counts what was asked for.
type half struct{ asked float64 }

func (h *half) Part(Time) float64 { return 0.5 }
func (h *half) Ask(units float64) { h.asked += units }

// A team whose right stands for more attempts than the pool holds here has them all the same, as
// many as its right and no more; a team without one does not. What it wants is told in work, also
// while hosts' queues make it take four times as long, and then its right stands for as many more.
func TestRightsGoBeyondThePool(t *testing.T) {
	s := NewScheduler(1)
	right := &half{}
	s.SetLimitShares(func(t *Terms) LimitShare {
		if t.Team == "team" {
			return right
		}
		return nil
	})
	team, flood := &Terms{Team: "team", Rate: 8}, &Terms{Team: "flood", place: 1}
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
	// Calm: a hundred requests of 10 ms one after another.
	for range 100 {
		if arrive(team) != Go {
			t.Fatal("a request waits while nothing is out")
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
		t.Errorf("%d attempts beyond the pool's, the right stands for 4", got)
	}
	// Its requests end after 40 ms, most of it waiting.
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
	before := right.asked
	arrive(team)
	if got := right.asked - before; got < 0.008 || got > 0.017 {
		t.Errorf("a request of 10 ms of work is told as %.4f s", got)
	}
	own := 0
	for _, it := range out {
		if it.Terms == team {
			own++
		}
	}
	if own < 10 || own > 16 {
		t.Errorf("%d attempts out while each takes four times as long, the right stands for 4 times 4 at most", own)
	}
}
