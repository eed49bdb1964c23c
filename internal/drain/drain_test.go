package drain

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

func TestTable(t *testing.T) {
	const t0 = 100 * time.Second
	for _, c := range []struct {
		name               string
		after              time.Duration
		idle               int
		want               State
		closes             int
		silent, drainTwice bool
	}{
		{"at once", 0, 50, Leaving, 0, false, false},
		{"while the front still sends connections", LeavingFor - 1, 50, Leaving, 0, false, true},
		{"the first close", LeavingFor, 52, Closing, 2, true, false},
		{"halfway", LeavingFor + ClosingFor/2, 26, Closing, 2, true, false},
		{"the last step", LeavingFor + ClosingFor - 1, 7, Closing, 7, true, true},
		{"over", LeavingFor + ClosingFor, 7, Drained, 7, true, false},
		{"long after the end", time.Hour, 1, Drained, 1, true, true},
	} {
		var m Machine
		m.Drain(t0)
		if c.drainTwice {
			m.Drain(t0 + c.after) // a second call changes nothing
		}
		closes, silent := m.Step(t0+c.after, c.idle)
		if m.State() != c.want || closes != c.closes || silent != c.silent || m.Ready() {
			t.Errorf("%s: %v, closes %d, silent %v", c.name, m.State(), closes, silent)
		}
		if m.Resume(); !m.Ready() {
			t.Errorf("%s: it is not ready after Resume", c.name)
		}
		if n, _ := m.Step(t0+c.after, 9); n != 0 {
			t.Errorf("%s: it closes %d connections after Resume", c.name, n)
		}
	}
}

// For any sequence of calls and delays between steps, no idle connection is left two seconds after
// an order that is not withdrawn, and Step never closes more connections than are idle.
func TestNothingIdleStays(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		var m Machine
		now, idle := time.Duration(0), rapid.IntRange(0, 1000).Draw(rt, "idle")
		var since time.Duration
		draining := false
		for range 80 {
			now += time.Duration(rapid.IntRange(1, 200).Draw(rt, "ms")) * time.Millisecond
			switch rapid.IntRange(0, 30).Draw(rt, "call") {
			case 0:
				m.Drain(now)
				if !draining {
					draining, since = true, now
				}
			case 1:
				m.Resume()
				draining = false
			case 2:
				idle += rapid.IntRange(0, 20).Draw(rt, "more")
			}
			n, _ := m.Step(now, idle)
			if n < 0 || n > idle || !draining && n > 0 || draining == m.Ready() {
				rt.Fatalf("closes %d of %d, draining %v, ready %v", n, idle, draining, m.Ready())
			}
			idle -= n
			if draining && now-since >= 1800*time.Millisecond && idle > 0 {
				rt.Fatalf("%d idle %v after the order", idle, now-since)
			}
		}
	})
}

// A drain that is shortened at any moment closes all that is idle by the time given, spread over what is
// left, and one that would end sooner anyway stays as it is.
func TestDrainIsShortened(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		var m Machine
		m.Drain(0)
		idle := rapid.IntRange(1, 1000).Draw(rt, "idle")
		shortened := StepInterval * time.Duration(rapid.IntRange(0, 50).Draw(rt, "shortened at"))
		within := StepInterval * time.Duration(rapid.IntRange(0, 50).Draw(rt, "within"))
		for now := time.Duration(0); now < shortened; now += StepInterval {
			n, _ := m.Step(now, idle)
			idle -= n
		}
		end := min(shortened+within, LeavingFor+ClosingFor)
		isShorter := shortened+within < LeavingFor+ClosingFor // else the drain keeps its own spread
		m.CloseBy(shortened, shortened+within)
		most := (idle + int(within/StepInterval)) / max(1, int(within/StepInterval))
		for now := shortened; now <= max(end, shortened); now += StepInterval {
			n, _ := m.Step(now, idle)
			if now < end && isShorter && n > most {
				rt.Fatalf("%d of %d are closed at %v, with %v to go", n, idle, now, end-now)
			}
			idle -= n
		}
		if idle > 0 || m.Ready() {
			rt.Fatalf("%d are idle at %v, ready %v", idle, end, m.Ready())
		}
	})
	var m Machine
	if m.CloseBy(0, 0); !m.Ready() {
		t.Error("a gateway that is not being drained is drained")
	}
}
