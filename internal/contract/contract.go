// Package contract enforces contracts between teams: what a team may request, and when its
// requests are sent. It performs no I/O and reads no clock: the caller passes the time, on one
// clock that never goes backward (an earlier time is taken as no time having passed).
//
// A Registry holds the contracts of all teams; it identifies the team of a request, and Terms.Check
// tests whether the request is within the team's contract. A Limiter, one per gateway, limits the
// requests and body bytes that a team has open, whatever the state of the hosts, and how often its
// requests are retried. A Scheduler, one per pool, shares the hosts' capacity among teams. It
// accounts in work: the seconds that attempts take at hosts.
//
// contract.go has the terms and the check of a request, registry.go identifies callers, limiter.go
// and scheduler.go have the two limits, and estimate.go estimates the cost of requests.
package contract

import (
	"fmt"
	"net/netip"
	"time"

	"frostshift"
	"frostshift/internal/quota"
)

// Time is an instant on the balancers' clock: Unix time in nanoseconds that never goes backward.
type Time = frostshift.Time

// Digest is the SHA-256 of a bearer token.
type Digest [32]byte

// Terms are one team's contract. They are immutable; a new version is a new value.
type Terms struct {
	Team string
	File string // base name of the file, for messages
	Line int    // line in File where the contract begins

	Tokens    []Digest       // each of them identifies the team; several allow rotation
	Addresses []netip.Prefix // clients with these addresses belong to the team
	Account   string         // value of X-Account that identifies the team, where that header is trusted

	Classes         map[string]ClassTerms
	LongestDeadline time.Duration // longest deadline that a request may ask for; 0 means that of the class
	LargestBody     int64         // bytes; 0 means no limit
	Repeats         [3]bool       // by frostshift.Effect: whether clients may mark requests as client retries
	From, Until     time.Time     // From is inclusive, Until exclusive; a zero time means no bound

	// The fields below apply to each pool that the team calls. The team's guarantee is the largest
	// of Share, Rate and Concurrency.
	Share       float64       // fraction of a pool's capacity
	Rate        float64       // seconds of work per second, over all gateways
	Concurrency float64       // attempts in flight, over all gateways
	Burst       time.Duration // of its guarantee that an idle team may save up
	Ceiling     float64       // fraction of a pool's capacity that the team never exceeds; 0 means 1
	RetryRatio  float64       // client retries and further attempts per first request
	// SplitEvenly says that Rate and Concurrency are divided evenly among gateways, also where they
	// could be shared by demand. Otherwise Mode says what is given up when links between gateways fail.
	SplitEvenly bool
	Mode        quota.Mode

	index int            // in its registry
	Lines map[string]int // line of each key in File, by name: "class", "share", ...
}

// ClassTerms are the terms of a class within a contract.
type ClassTerms struct {
	Priority int // higher ones go first, among the team's own requests
	Line     int
}

// Violation is the refusal of a request that is outside its team's contract or whose team is
// unknown. Nothing of the request has been sent to a host.
type Violation struct {
	Status int // 401, 403 or 429
	Title  string
	Detail string
	Team   string        // empty: unknown
	At     string        // file and line of the contract key concerned; empty: none
	After  time.Duration // with 429: when to retry
	Cause  Cause
}

func (v *Violation) Error() string { return v.Detail }

// Cause is the cause of a refusal, for counting.
type Cause uint8

// Causes of refusals.
const (
	OutsideContract Cause = iota // class, deadline, body, client retry or validity period
	OpenBound                    // too many requests or body bytes open
	RetryBound                   // client retries beyond the ratio
	TooLate                      // the answer could not arrive in time at present load
	Causes                       // number of causes
)

var causeNames = [...]string{"outside", "open", "retries", "late"}

func (c Cause) String() string { return causeNames[c] }

// position returns file and line of a key of the contract, or those of the contract where the
// key has none.
func (t *Terms) position(key string) string {
	line := t.Lines[key]
	if line == 0 {
		line = t.Line
	}
	return fmt.Sprintf("%s:%d", t.File, line)
}

// RequestInfo is what Check needs to know about a request.
type RequestInfo struct {
	Class       string
	Effect      frostshift.Effect
	Deadline    time.Duration // requested by the client; 0 means none
	Body        int64         // bytes
	Repeat      bool
	LongestBody int64
}

// Check returns how a request is outside the contract at a time, or nil if it is within it. Such
// a request stays refused whatever budget is left, so the status is 403.
func (t *Terms) Check(a *RequestInfo, now Time) *Violation {
	refuse := func(key, title, format string, args ...any) *Violation {
		return &Violation{Status: 403, Title: title, Detail: fmt.Sprintf("team "+t.Team+" "+format, args...), Team: t.Team, At: t.position(key), Cause: OutsideContract}
	}
	wall := time.Unix(0, int64(now))
	_, known := t.Classes[a.Class]
	switch {
	case !t.From.IsZero() && wall.Before(t.From):
		return refuse("valid_from", "contract not valid yet", "has a contract from %s on", t.From.UTC().Format(time.RFC3339))
	case !t.Until.IsZero() && !wall.Before(t.Until):
		return refuse("valid_until", "contract has ended", "has a contract until %s", t.Until.UTC().Format(time.RFC3339))
	case !known:
		return refuse("class", "class outside contract", "may not call class %s", a.Class)
	case t.LongestDeadline > 0 && a.Deadline > t.LongestDeadline:
		return refuse("longest_deadline", "deadline outside contract", "may wait for %v at most, not %v", t.LongestDeadline, a.Deadline)
	case t.LargestBody > 0 && a.Body > t.LargestBody:
		return refuse("largest_body", "body outside contract", "may send bodies of %d bytes at most, not %d", t.LargestBody, a.Body)
	case a.Repeat && !t.Repeats[a.Effect]:
		return refuse("repeats", "repeat outside contract", "may not repeat requests of class %s", a.Class)
	}
	return nil
}

// ceiling returns the fraction of a pool that the team never exceeds.
func (t *Terms) ceiling() float64 {
	if t.Ceiling == 0 {
		return 1
	}
	return t.Ceiling
}

// Absolute returns what the team is guaranteed of each pool over all gateways, in seconds of work
// per second; 0 means that nothing is guaranteed in these units.
func (t *Terms) Absolute() float64 { return max(t.Rate, t.Concurrency) }

// LimitShare is a gateway's share of an absolute limit that gateways divide by demand.
type LimitShare interface {
	Part(now Time) float64 // share of the limit, from 0 to 1
	Ask(units float64)     // reports demand here, in seconds of work
}

// minWeight is the weight of a team without a guarantee: it gets what no other team uses, and
// shares that with others like it.
const minWeight = 1e-3

// weight returns the team's guarantee as a fraction of the capacity attempts that this gateway may have
// in flight at a pool. share is this gateway's share of the absolute limits.
func (t *Terms) weight(capacity, share float64) float64 {
	return max(t.Share, t.Absolute()*share/max(capacity, 1), minWeight)
}
