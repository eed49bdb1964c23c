// Package contract decides what a team may ask for and when its requests get their turn.
// It does no I/O and reads no clock: times are handed in, on one clock that never goes
// backward (an earlier one is read as no time having passed).
//
// A Registry holds the contracts of all teams and says who is asking and whether a request is
// within the team's contract. A Limiter, one a gateway, bounds what a team holds open before
// hosts come into it, and how often its requests are repeated. A Scheduler, one a pool,
// shares the hosts' capacity out in work: seconds that attempts take at hosts.
//
// contract.go is terms and their checks, registry.go who is asking, limiter.go and scheduler.go
// the two bounds, estimate.go what a request will cost.
package contract

import (
	"fmt"
	"net/netip"
	"time"

	"frostshift"
	"frostshift/internal/quota"
)

// Time is an instant on the balancers' clock: Unix time that never goes backward.
type Time = frostshift.Time

// Digest is the SHA-256 of a bearer token.
type Digest [32]byte

// Terms are one team's contract. They do not change; a new version is a new value.
type Terms struct {
	Team string
	File string // for messages; the base name
	Line int    // where the contract begins in it

	Tokens    []Digest       // any of them names the team; several, so that they can be rotated
	Addresses []netip.Prefix // clients of them are the team's
	Account   string         // value of X-Account that names the team, where that is believed

	Classes         map[string]ClassTerms
	LongestDeadline time.Duration // that a request may ask for; 0: the class's
	LargestBody     int64         // bytes; 0: as large as any
	Repeats         [3]bool       // by frostshift.Effect: clients may mark repeats of it
	From, Until     time.Time     // valid from and until; zero: not bounded

	// What follows is about each pool that the team calls. The largest of Share, Rate and
	// Concurrency is its guarantee.
	Share       float64       // part of a pool's capacity
	Rate        float64       // seconds of work a second, over all gateways
	Concurrency float64       // attempts out at once, over all gateways
	Burst       time.Duration // of its guarantee that it may save up
	Ceiling     float64       // part of a pool's capacity that it never goes beyond; 0: 1
	RetryRatio  float64       // repeats and further attempts for each first request
	// SplitEvenly says that Rate and Concurrency are divided evenly among gateways, whatever else they
	// may know; else Mode is what gives where their links fail.
	SplitEvenly bool
	Mode  quota.Mode

	place int            // in its registry
	Lines map[string]int // where keys stand, by name: "class", "share", ...
}

// ClassTerms are a class within a contract.
type ClassTerms struct {
	Priority int // higher ones go first, among the team's own requests
	Line     int
}

// Violation says that a request is outside its team's contract, or that nobody knows whose
// it is. Nothing of the request has been sent.
type Violation struct {
	Status int // 401, 403 or 429
	Title  string
	Detail string
	Team   string        // "": unknown
	At     string        // file and line of what it is about; "": none
	After  time.Duration // with 429: when to come back
	Cause  Cause
}

func (v *Violation) Error() string { return v.Detail }

// Cause counts refusals by their cause.
type Cause uint8

// Causes of refusals.
const (
	OutsideContract Cause = iota // class, deadline, body, repeat or time of validity
	OpenBound                    // too much held open
	RetryBound                   // repeats beyond the ratio
	TooLate                      // could not be answered in time, as things stand
	Causes                       // their number
)

var causeNames = [...]string{"outside", "open", "retries", "late"}

func (c Cause) String() string { return causeNames[c] }

// at is where a key of the contract stands.
func (t *Terms) at(key string) string {
	line := t.Lines[key]
	if line == 0 {
		line = t.Line
	}
	return fmt.Sprintf("%s:%d", t.File, line)
}

// RequestInfo is what a request asks for.
type RequestInfo struct {
	Class       string
	Effect      frostshift.Effect
	Deadline    time.Duration // that it asks for; 0: none in particular
	Body        int64         // bytes
	Repeat      bool
	LongestBody int64
}

// Check says what of a request is outside the contract at a time, or nil. What is outside
// stays so, whatever the budget: 403.
func (t *Terms) Check(a *RequestInfo, now Time) *Violation {
	refuse := func(key, title, format string, args ...any) *Violation {
		return &Violation{Status: 403, Title: title, Detail: fmt.Sprintf("team "+t.Team+" "+format, args...), Team: t.Team, At: t.at(key), Cause: OutsideContract}
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

// ceiling is the part of a pool that the team never goes beyond.
func (t *Terms) ceiling() float64 {
	if t.Ceiling == 0 {
		return 1
	}
	return t.Ceiling
}

// Absolute is what the team is guaranteed of each pool over all gateways, in seconds of work a
// second; 0: nothing.
func (t *Terms) Absolute() float64 { return max(t.Rate, t.Concurrency) }

// LimitShare is a gateway's part of an absolute figure, where gateways share it by what comes to each.
type LimitShare interface {
	Part(now Time) float64 // from 0 to 1
	Ask(units float64)     // so much work was wanted here
}

// leastWeight is what a team without a guarantee weighs: it gets what nobody else wants,
// and shares that with others like it.
const leastWeight = 1e-3

// weight is the team's guarantee as a part of a pool, one of so many gateways' parts of
// it, that can hold capacity attempts. part is this gateway's part of absolute figures.
func (t *Terms) weight(capacity, part float64) float64 {
	return max(t.Share, t.Absolute()*part/max(capacity, 1), leastWeight)
}
