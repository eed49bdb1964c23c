package verdict

import "frostshift"

// Budget is a retry budget, as in Finagle and linkerd. It limits retries of requests that may
// have run to a share of all requests, plus MinRetryRate retries per second that are always
// allowed: when most requests fail, retrying each of them would multiply the load on hosts that
// are already overloaded. The zero Budget allows every retry. A Budget is not safe for concurrent
// use.
type Budget struct {
	share  float64         // tokens earned per request; 0 means no limit
	tokens float64         // retries allowed now
	at     frostshift.Time // time of the last Take
	right  Right           // nil means that the budget is not shared with the fleet
}

// Right is the gateway's share of the retries that the whole fleet may make whatever the load.
type Right interface {
	Part(now frostshift.Time) float64 // the gateway's share, from 0 to 1
	Ask(units float64)                // records demand for this many retries at the gateway
}

const (
	// MinRetryRate is the number of retries per second that are allowed whatever the load.
	MinRetryRate = 1.0
	maxSaved     = 100.0 // the maximum number of accumulated retries
	initialSaved = 10.0  // the accumulated retries of a new budget, and the cap on what MinRetryRate adds
)

// NewBudget returns a budget that allows retries of a share of the requests; 0 means no limit.
func NewBudget(share float64) Budget { return Budget{share: share, tokens: initialSaved} }

// Share makes the budget a share of the fleet's: MinRetryRate and the maximum of accumulated
// retries then apply to all gateways together, except that each gateway may always accumulate
// one retry.
func (b *Budget) Share(r Right) {
	b.right = r
	b.tokens = min(b.tokens, 1)
}

// Saved returns the number of accumulated retries.
func (b *Budget) Saved() float64 { return b.tokens }

// Restore sets the accumulated retries to those of the previous process. It never raises them, so
// that a restart grants no additional retries; a negative value is ignored.
func (b *Budget) Restore(saved float64) {
	if saved >= 0 {
		b.tokens = min(b.tokens, saved)
	}
}

// RecordRequest adds the share that a request's first attempt earns.
func (b *Budget) RecordRequest() { b.tokens = min(b.tokens+b.share, maxSaved) }

// Take reports whether a retry is allowed at the given time, and if so deducts it from the budget.
func (b *Budget) Take(now frostshift.Time) bool {
	if b.share == 0 {
		return true
	}
	fleetShare := 1.0
	if b.right != nil {
		b.right.Ask(1)
		fleetShare = b.right.Part(now)
		b.tokens = min(b.tokens, max(maxSaved*fleetShare, 1))
	}
	if dt := (now - b.at).Seconds(); b.at > 0 && dt > 0 {
		b.tokens = min(b.tokens+dt*MinRetryRate*fleetShare, max(b.tokens, initialSaved*fleetShare, 1))
	}
	b.at = now
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
