package drain

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

func TestTable(t *testing.T) {
	const t0 = 100 * time.Second
	for _, c := range []struct {
		name           string
		after          time.Duration
		idle           int
		want           State
		closes         int
		silent, repeat bool
	}{
		{"at once", 0, 50, Leaving, 0, false, false},
		{"while the front still deals", LeavingFor - 1, 50, Leaving, 0, false, true},
		{"the first close", LeavingFor, 52, Closing, 2, true, false},
		{"half way", LeavingFor + ClosingFor/2, 26, Closing, 2, true, false},
		{"the last step", LeavingFor + ClosingFor - 1, 7, Closing, 7, true, true},
		{"over", LeavingFor + ClosingFor, 7, Drained, 7, true, false},
		{"long over", time.Hour, 1, Drained, 1, true, true},
	} {
		var m Machine
		m.Drain(t0)
		if c.repeat {
			m.Drain(t0 + c.after) // a call said twice is the same as once
		}
		closes, silent := m.Step(t0+c.after, c.idle)
		if m.State() != c.want || closes != c.closes || silent != c.silent || m.Ready() {
			t.Errorf("%s: %v, closes %d, silent %v", c.name, m.State(), closes, silent)
		}
		if m.Resume(); !m.Ready() {
			t.Errorf("%s: called back, it is not ready", c.name)
		}
		if n, _ := m.Step(t0+c.after, 9); n != 0 {
			t.Errorf("%s: called back, it closes %d", c.name, n)
		}
	}
}

// However calls come, and however late the steps: two seconds behind an order that stands
// nothing idle is left, and closes are never more than there are.
func TestNothingIdleStays(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		var m Machine
		now, idle := time.Duration(0), rapid.IntRange(0, 1000).Draw(rt, "idle")
		var since time.Duration
		on := false
		for range 80 {
			now += time.Duration(rapid.IntRange(1, 200).Draw(rt, "ms")) * time.Millisecond
			switch rapid.IntRange(0, 30).Draw(rt, "call") {
			case 0:
				m.Drain(now)
				if !on {
					on, since = true, now
				}
			case 1:
				m.Resume()
				on = false
			case 2:
				idle += rapid.IntRange(0, 20).Draw(rt, "more")
			}
			n, _ := m.Step(now, idle)
			if n < 0 || n > idle || !on && n > 0 || on == m.Ready() {
				rt.Fatalf("closes %d of %d, on %v, ready %v", n, idle, on, m.Ready())
			}
			idle -= n
			if on && now-since >= 1800*time.Millisecond && idle > 0 {
				rt.Fatalf("%d idle %v behind the order", idle, now-since)
			}
		}
	})
}
