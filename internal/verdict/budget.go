package verdict

import "frostshift"

// Budget bounds repeats of requests that may have run to a share of all requests, beside a
// few a second that are always allowed: where most requests fail, trying each again would
// multiply a load that hosts can't bear (Finagle and linkerd call it a retry budget). The
// zero Budget allows everything. It is not safe for concurrent use.
type Budget struct {
	share  float64
	tokens float64
	at     frostshift.Time
	right  Right
}

// Right is a gateway's part of what the whole fleet may repeat whatever the load.
type Right interface {
	Part(now frostshift.Time) float64 // from 0 to 1
	Ask(units float64)                // so many repeats were wanted here
}

const (
	// MinRetryRate is how many repeats a second are allowed whatever the load.
	MinRetryRate = 1.0
	mostSaved  = 100.0 // repeats that may be saved up
	firstSaved = 10.0
)

// NewBudget allows repeats of a share of the requests; 0: of all.
func NewBudget(share float64) Budget { return Budget{share: share, tokens: firstSaved} }

// Share has the budget be a part of the fleet's: what is allowed whatever the load, and what may
// be saved up, are for all gateways together, but for one repeat that each may have saved.
func (b *Budget) Share(r Right) {
	b.right = r
	b.tokens = min(b.tokens, 1)
}

// Saved is how many repeats are saved up.
func (b *Budget) Saved() float64 { return b.tokens }

// Restore says what an earlier process had saved up: nobody begins with more than a new budget's, nor with that again.
func (b *Budget) Restore(saved float64) {
	if saved >= 0 {
		b.tokens = min(b.tokens, saved)
	}
}

// RecordRequest notes a request's first attempt.
func (b *Budget) RecordRequest() { b.tokens = min(b.tokens+b.share, mostSaved) }

// Take says whether a repeat is allowed, and counts it.
func (b *Budget) Take(now frostshift.Time) bool {
	if b.share == 0 {
		return true
	}
	part := 1.0
	if b.right != nil {
		b.right.Ask(1)
		part = b.right.Part(now)
		b.tokens = min(b.tokens, max(mostSaved*part, 1))
	}
	if dt := (now - b.at).Seconds(); b.at > 0 && dt > 0 {
		b.tokens = min(b.tokens+dt*MinRetryRate*part, max(b.tokens, firstSaved*part, 1))
	}
	b.at = now
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
