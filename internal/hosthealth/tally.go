package hosthealth

import (
	"math"
	"time"

	"frostshift"
)

// Outcome is how an attempt ended, as far as it tells of its host.
type Outcome uint8

// Outcomes.
const (
	Answered Outcome = iota // with a good answer
	Erred                   // with an error that is held against the host
	Refused                 // no connection
	Broke                   // the connection broke, or nothing came in time
)

var outcomeNames = [...]string{"answered", "an error", "refused", "broke"}

func (o Outcome) String() string { return outcomeNames[min(int(o), len(outcomeNames)-1)] }

// OutcomeOf is a result as the balancer has it; false: it tells nothing of the host.
func OutcomeOf(r frostshift.Result) (o Outcome, says bool) {
	switch r {
	case frostshift.OK:
		return Answered, true
	case frostshift.Failed:
		return Erred, true
	case frostshift.ConnectFailed:
		return Refused, true
	case frostshift.Reset, frostshift.TimedOut:
		return Broke, true
	}
	return 0, false
}

// tally is outcomes of one reporter at one host, fading.
type tally struct {
	// good and bad are by what they speak of: whether there are connections and answers at all, and
	// then the classes' answers and errors.
	good, bad [1 + Classes]float64
	last      Outcome // of the latest attempt, Answered for Erred
	at        Time    // when that ended, on this clock
	faded     Time
	// refused is when the latest attempt was that had no connection, and from since when, without a
	// pause of as long as words count, there have been; 0: never.
	refused, from Time
}

// run brings from and refused on from an earlier tally of the same reporter.
func (t *tally) run(old *tally, pause time.Duration) {
	if old != nil {
		t.refused, t.from = old.refused, old.from
	}
	if t.last == Refused {
		if t.refused == 0 || t.at-t.refused >= pause {
			t.from = t.at
		}
		t.refused = max(t.at, 1)
	}
}

func (t *tally) fade(now Time, lasts time.Duration) {
	if dt := now - t.faded; dt > 0 {
		part := math.Exp(-float64(dt) / float64(lasts))
		for i := range t.good {
			t.good[i] *= part
			t.bad[i] *= part
		}
		t.faded = now
	}
}

// speaks is for how much a tally stands in one of the sums.
func (t *tally) speaks(i int) float64 {
	return min(max(t.bad[i]*failureSpeaks+t.good[i]*answerSpeaks, -reporterMost), reporterMost)
}

// troubled says whether the tally has anything against the host.
func (t *tally) troubled() bool {
	for _, n := range t.bad {
		if n >= 0.1 {
			return true
		}
	}
	return false
}
