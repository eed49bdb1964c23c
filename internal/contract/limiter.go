package contract

import (
	"fmt"
	"sync"
	"sync/atomic"
	"time"
)

// Account counts a team's requests at one gateway and their outcomes. Asked counts all of them,
// refused ones included; Left counts requests whose client left before the answer. The exported
// counters may be read at any time.
type Account struct {
	Team string

	Asked, Served, Failed, Left atomic.Int64
	Refused                     [Causes]atomic.Int64
	ByBalancer                  atomic.Int64 // refused by the hosts' balancer
	Work, Lent                  atomic.Int64 // nanoseconds at hosts; Lent: beyond the guarantee

	// The fields below are guarded by the Limiter's lock.
	open, bodies int64
	retries      float64 // client retries and further attempts that are allowed now
	retriesAt    Time
	lastUsed     Time
}

const (
	minRetryRate    = 1.0      // retries per second that every team may have
	maxSavedRetries = 20.0     // retries that may be saved up
	oneRetry        = 1 - 1e-9 // one retry, less a rounding error
	// freeFraction is the fraction of the free capacity that a team may hold beyond its guarantee:
	// the dynamic thresholds of Choudhury and Hahne (1998), which always leave some room for the
	// next team.
	freeFraction       = 0.5
	accountIdleTimeout = Time(time.Minute) // after which an unused account with nothing open is dropped
)

// Limiter limits the requests and body bytes that teams have open at one gateway, from the head of
// a request to its answer, whatever the state of the hosts. It is safe for concurrent use.
type Limiter struct {
	mu        sync.Mutex
	maxOpen   int64 // requests open, over all teams
	maxBodies int64 // bytes of bodies open, over all teams
	open      int64
	bodies    int64
	accounts  map[string]*Account
}

// NewLimiter returns a limiter of open requests and of bytes of bodies, over all teams.
func NewLimiter(maxOpen, maxBodies int64) *Limiter {
	return &Limiter{maxOpen: maxOpen, maxBodies: maxBodies, accounts: map[string]*Account{}}
}

// Enter admits a request with a body of that many bytes, or says why not. It returns the team's
// account; Leave ends what Enter began. A refused request is counted too, but takes no room; one
// refused for open requests or bodies still changes the retry budget.
func (l *Limiter) Enter(t *Terms, body int64, repeat bool, now Time) (*Account, *Violation) {
	l.mu.Lock()
	defer l.mu.Unlock()
	a := l.account(t, now)
	a.Asked.Add(1)
	refuse := func(cause Cause, key string, after time.Duration, format string, args ...any) (*Account, *Violation) {
		a.Refused[cause].Add(1)
		return nil, &Violation{Status: 429, Title: "budget used up", Detail: fmt.Sprintf("team "+t.Team+" "+format, args...),
			Team: t.Team, At: t.position(key), After: after, Cause: cause}
	}
	a.refillRetries(t, now)
	if repeat {
		if a.retries < oneRetry {
			return refuse(RetryBound, "retry_ratio", a.retryAfter(), "repeats more than its contract allows")
		}
		a.retries--
	} else {
		a.retries = min(a.retries+t.RetryRatio, maxSavedRetries)
	}
	if !fits(a.open, 1, l.open, l.maxOpen, t.Share) {
		return refuse(OpenBound, "share", openRetryAfter, "has %d requests open", a.open)
	}
	if !fits(a.bodies, body, l.bodies, l.maxBodies, t.Share) {
		return refuse(OpenBound, "share", openRetryAfter, "has %d bytes of bodies open", a.bodies)
	}
	a.open++
	a.bodies += body
	l.open++
	l.bodies += body
	return a, nil
}

// openRetryAfter is the retry advice where too much is open: requests end by their deadlines.
const openRetryAfter = 250 * time.Millisecond

// fits reports whether a team that holds used may hold n more: within its share of the limit, or
// within a fraction of what is free.
func fits(used, n, total, limit int64, share float64) bool {
	if n == 0 {
		return true
	}
	if total+n > limit {
		return false
	}
	return float64(used+n) <= share*float64(limit) || float64(used+n) <= max(1, freeFraction*float64(limit-total))
}

// CountRefusal counts a request that was refused as outside the contract.
func (l *Limiter) CountRefusal(t *Terms, cause Cause, now Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	a := l.account(t, now)
	a.Asked.Add(1)
	a.Refused[cause].Add(1)
}

// Leave ends a request that Enter admitted.
func (l *Limiter) Leave(a *Account, body int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	a.open--
	a.bodies -= body
	l.open--
	l.bodies -= body
}

// AllowAttempt reports whether a request may have a further attempt, and charges it to the same
// budget as a client retry.
func (l *Limiter) AllowAttempt(a *Account, t *Terms, now Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	a.refillRetries(t, now)
	if a.retries < oneRetry {
		return false
	}
	a.retries--
	return true
}

// refillRetries adds the retries that every team gains over time.
func (a *Account) refillRetries(t *Terms, now Time) {
	if dt := now - a.retriesAt; dt > 0 {
		a.retries = min(a.retries+minRetryRate*dt.Seconds(), maxSavedRetries)
		a.retriesAt = now
	}
	a.lastUsed = max(a.lastUsed, now)
}

// retryAfter returns the time until a retry is allowed again.
func (a *Account) retryAfter() time.Duration {
	return time.Duration((1 - a.retries) / minRetryRate * float64(time.Second))
}

// account returns a team's account and creates it if needed. A new one may retry once: a team gains
// less by a restart, or by its account having been dropped, than by waiting.
func (l *Limiter) account(t *Terms, now Time) *Account {
	a := l.accounts[t.Team]
	if a == nil {
		a = &Account{Team: t.Team, retries: 1, retriesAt: now, lastUsed: now}
		l.accounts[t.Team] = a
	}
	return a
}

// Accounts calls f, unless it is nil, for every account while it holds the lock. It then drops the
// account if it is idle: nothing open and not used for a minute. Its saved retries are lost.
func (l *Limiter) Accounts(now Time, f func(*Account)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for team, a := range l.accounts {
		if f != nil {
			f(a)
		}
		if a.open == 0 && now-a.lastUsed > accountIdleTimeout {
			delete(l.accounts, team)
		}
	}
}

// Open returns the number of open requests and the number of accounts that are kept.
func (l *Limiter) Open() (open int64, accounts int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.open, len(l.accounts)
}
