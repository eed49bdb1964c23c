package config

import (
	"time"

	"frostshift/internal/contract"
	"frostshift/internal/quota"
)

// Quota is how limits of the whole fleet are shared.
type Quota struct {
	Lease time.Duration
	Mode  quota.Mode // of limits that name none
	Drift float64    // 0: the default
}

// Bounds of what a quota may be told.
const (
	defaultLease = 2 * time.Second
	leastLease   = 100 * time.Millisecond
	mostLease    = time.Minute
	mostDrift    = 0.1
)

// quota is how limits are shared; nil: evenly.
func (d *doc) quota(f *file, m *Model) *Quota {
	in := f.Quota
	if in == nil {
		return nil
	}
	q := &Quota{Lease: in.Lease, Drift: in.Drift}
	if in.Lease == 0 {
		q.Lease = defaultLease
	}
	if m.Gossip == nil {
		d.fail("quota", "limits are shared by gateways that talk: set fleet.listen")
	}
	if q.Lease < leastLease || q.Lease > mostLease {
		d.fail("quota.lease", "%v is not from %v to %v", q.Lease, leastLease, mostLease)
	}
	if !(q.Drift >= 0 && q.Drift <= mostDrift) {
		d.fail("quota.drift", "%v is not from 0 to %v", q.Drift, mostDrift)
	}
	if mode, apart, ok := limitMode(in.Mode, 0); !ok || apart {
		d.fail("quota.mode", "%q is neither mostly_full nor never_over", in.Mode)
	} else {
		q.Mode = mode
	}
	return q
}

// limitMode reads how a limit is shared: by a mode, or not (even). Without a word it is usual.
func limitMode(text string, usual quota.Mode) (mode quota.Mode, apart, ok bool) {
	switch text {
	case "":
		return usual, false, true
	case "even":
		return 0, true, true
	case quota.MostlyFull.String():
		return quota.MostlyFull, false, true
	case quota.NeverOver.String():
		return quota.NeverOver, false, true
	}
	return 0, false, false
}

// sharing reads how a contract's absolute figures are shared.
func (d *doc) sharing(text string, m *Model, t *contract.Terms) {
	usual := quota.MostlyFull
	if m.Quota != nil {
		usual = m.Quota.Mode
	}
	mode, apart, ok := limitMode(text, usual)
	switch {
	case !ok:
		d.fail("limit_mode", "%q is none of even, mostly_full, never_over", text)
	case text == "":
	case t.Absolute() == 0:
		d.fail("limit_mode", "is about rate and concurrency, and there is neither: a share is of each gateway's hosts as it is")
	case m.Quota == nil && !apart:
		d.fail("limit_mode", "%q wants gateways that share limits: set quota in the gateway's file", text)
	}
	t.Mode, t.SplitEvenly = mode, apart
}
