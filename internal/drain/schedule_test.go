package drain

import (
	"testing"
	"time"
)

// For any longest deadline, a process ends before the earliest kill, and with deadlines of up to 3 s
// a request that is accepted in the first 0.4 s can use its whole deadline.
func TestScheduleEndsBeforeTheKill(t *testing.T) {
	for longest := time.Duration(0); longest < 12*time.Second; longest += 10 * time.Millisecond {
		kill := min(longest, 3*time.Second) + 700*time.Millisecond
		s := ScheduleFor(longest)
		if s.Accept <= 0 || s.Accept > s.Answer || s.Idle < 0 || s.Answer-s.Idle < min(longest, 3*time.Second) || s.Answer >= s.Close || s.Close > kill-150*time.Millisecond {
			t.Fatalf("longest %v: %+v, killed at %v", longest, s, kill)
		}
		if s.Accept < 400*time.Millisecond || s.Answer < min(longest, 3*time.Second)+400*time.Millisecond {
			t.Fatalf("longest %v: %+v ends too early", longest, s)
		}
	}
}
