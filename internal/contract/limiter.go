package contract

import (
	"fmt"
	"sync"
	"sync/atomic"
	"time"
)

// Account is what a team has had of one gateway. Its counters may be read at any time.
type Account struct {
	Team string

	Asked, Served, Failed, Left atomic.Int64
	Refused                     [Causes]atomic.Int64
	ByBalancer                  atomic.Int64 // refused by the hosts' balancer
	Work, Lent                  atomic.Int64 // nanoseconds at hosts; of it, beyond the guarantee

	// The rest belongs to the Limiter's lock.
	open, bodies int64
	retries      float64 // repeats that are allowed now
	retriesAt    Time
	touched      Time
}

const (
	retriesLeast = 1.0      // repeats a second that any team may have
	retriesKept  = 20.0     // repeats that may be saved up
	whole        = 1 - 1e-9 // a repeat, but for rounding
	// lendPart is the part of what is free that a team may hold beyond its guarantee: the
	// dynamic thresholds of Choudhury and Hahne (1998), by which whoever comes next always
	// finds some room.
	lendPart    = 0.5
	forgetAfter = Time(time.Minute) // an account that has nothing open and was not used
)

// Limiter bounds what teams hold open at one gateway, from the head of a request to its
// answer, whatever hosts do. It is safe for concurrent use.
type Limiter struct {
	mu         sync.Mutex
	most       int64 // requests open, over all teams
	mostBodies int64 // bytes of bodies
	open       int64
	bodies     int64
	accounts   map[string]*Account
}

// NewLimiter returns a limiter for so many open requests and bytes of bodies.
func NewLimiter(most, mostBodies int64) *Limiter {
	return &Limiter{most: most, mostBodies: mostBodies, accounts: map[string]*Account{}}
}

// Enter lets a request with a body of so many bytes in, or says why not. The account that
// it returns is the team's; Leave ends what Enter began. A request that is not let in
// counts too, and costs nobody anything.
func (d *Limiter) Enter(t *Terms, body int64, repeat bool, now Time) (*Account, *Violation) {
	d.mu.Lock()
	defer d.mu.Unlock()
	a := d.account(t, now)
	a.Asked.Add(1)
	refuse := func(cause Cause, key string, after time.Duration, format string, args ...any) (*Account, *Violation) {
		a.Refused[cause].Add(1)
		return nil, &Violation{Status: 429, Title: "budget used up", Detail: fmt.Sprintf("team "+t.Team+" "+format, args...),
			Team: t.Team, At: t.at(key), After: after, Cause: cause}
	}
	a.deposit(t, now)
	if repeat {
		if a.retries < whole {
			return refuse(RetryBound, "retry_ratio", a.retryIn(), "repeats more than its contract allows")
		}
		a.retries--
	} else {
		a.retries = min(a.retries+t.RetryRatio, retriesKept)
	}
	if !fits(a.open, 1, d.open, d.most, t.Share) {
		return refuse(OpenBound, "share", openWait, "has %d requests open", a.open)
	}
	if !fits(a.bodies, body, d.bodies, d.mostBodies, t.Share) {
		return refuse(OpenBound, "share", openWait, "has %d bytes of bodies open", a.bodies)
	}
	a.open++
	a.bodies += body
	d.open++
	d.bodies += body
	return a, nil
}

// openWait is when to come back where too much is open: requests end by their deadlines.
const openWait = 250 * time.Millisecond

// fits says whether a team that holds used may hold n more: within its part of all, or
// within a part of what is free.
func fits(used, n, all, most int64, share float64) bool {
	if n == 0 {
		return true
	}
	if all+n > most {
		return false
	}
	return float64(used+n) <= share*float64(most) || float64(used+n) <= max(1, lendPart*float64(most-all))
}

// CountRefusal counts a request that was turned away as outside the contract.
func (d *Limiter) CountRefusal(t *Terms, cause Cause, now Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	a := d.account(t, now)
	a.Asked.Add(1)
	a.Refused[cause].Add(1)
}

// Leave ends a request that Enter let in.
func (d *Limiter) Leave(a *Account, body int64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	a.open--
	a.bodies -= body
	d.open--
	d.bodies -= body
}

// AllowAttempt says whether a request may have another attempt, which is paid as a repeat is.
func (d *Limiter) AllowAttempt(a *Account, t *Terms, now Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	a.deposit(t, now)
	if a.retries < whole {
		return false
	}
	a.retries--
	return true
}

// deposit adds what any team may repeat, with time.
func (a *Account) deposit(t *Terms, now Time) {
	if dt := now - a.retriesAt; dt > 0 {
		a.retries = min(a.retries+retriesLeast*dt.Seconds(), retriesKept)
		a.retriesAt = now
	}
	a.touched = max(a.touched, now)
}

// retryIn is when a repeat is allowed again.
func (a *Account) retryIn() time.Duration {
	return time.Duration((1 - a.retries) / retriesLeast * float64(time.Second))
}

// account finds or opens a team's account. A new one may repeat once: what a restart, or
// being forgotten, gives is less than what waiting does.
func (d *Limiter) account(t *Terms, now Time) *Account {
	a := d.accounts[t.Team]
	if a == nil {
		a = &Account{Team: t.Team, retries: 1, retriesAt: now, touched: now}
		d.accounts[t.Team] = a
	}
	return a
}

// Accounts calls f for every account, and then forgets those that are idle: nothing open,
// not used for a minute. What they had saved up is forgotten with them.
func (d *Limiter) Accounts(now Time, f func(*Account)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for team, a := range d.accounts {
		if f != nil {
			f(a)
		}
		if a.open == 0 && now-a.touched > forgetAfter {
			delete(d.accounts, team)
		}
	}
}

// Open is how many requests are open, and how many accounts are kept.
func (d *Limiter) Open() (open int64, accounts int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.open, len(d.accounts)
}
