package frostshift

import (
	"errors"
	"fmt"
	"math"
)

// check rejects invalid settings and fills in the defaults of optional fields. It replaces
// set.Classes by a copy, so that the caller's slice is not changed.
func check(set *Settings) error {
	switch {
	case set.Instances < 1:
		return errors.New("settings: instances must be at least 1")
	case set.Rank < 0 || set.Rank >= set.Instances:
		return fmt.Errorf("settings: rank %d is not among %d instances", set.Rank, set.Instances)
	case len(set.Classes) == 0:
		return errors.New("settings: no classes")
	case set.MaxAttempts < 0:
		return errors.New("settings: max attempts is negative")
	}
	for _, t := range []struct {
		name string
		v    Time
	}{{"step", set.Step}, {"max retry after", set.MaxRetryAfter}, {"ask within", set.AskWithin},
		{"warm after", set.WarmAfter}, {"fall", set.OverloadWindow}} {
		if t.v < 0 {
			return fmt.Errorf("settings: %s is negative", t.name)
		}
	}
	for _, f := range []struct {
		name string
		v    float64
	}{{"cold from", set.ColdFrom}, {"overload factor", set.OverloadFactor},
		{"over-quota worth", set.OverQuotaWorth}, {"cross price", set.CrossPrice}} {
		if !(f.v >= 0) || math.IsInf(f.v, 0) {
			return fmt.Errorf("settings: %s is negative or not a number", f.name)
		}
	}
	orDefault(&set.Zones, 1)
	if set.Zones < 0 || set.Zone < 0 || set.Zone >= set.Zones {
		return fmt.Errorf("settings: zone %d is not among %d zones", set.Zone, set.Zones)
	}
	set.Classes = append([]Class(nil), set.Classes...)
	for i := range set.Classes {
		c := &set.Classes[i]
		switch {
		case c.Aim < 0 || c.Deadline <= 0 || c.Window < 0:
			return fmt.Errorf("settings: class %d: times must be positive", i)
		case c.Effect > Unsafe || c.Group > GroupCell:
			return fmt.Errorf("settings: class %d: unknown effect or group", i)
		case !(c.Worth >= 0) || math.IsInf(c.Worth, 0):
			return fmt.Errorf("settings: class %d: worth must be a positive number", i)
		}
		if c.Aim == 0 || c.Aim > c.Deadline {
			c.Aim = c.Deadline
		}
		orDefault(&c.Worth, 1)
	}
	for i, t := range set.Tenants {
		if !(t.Quota >= 0) || math.IsInf(t.Quota, 0) {
			return fmt.Errorf("settings: tenant %d: quota must be a positive number", i)
		}
	}
	orDefault(&set.MaxAttempts, 3)
	orDefault(&set.AskWithin, 10e9)
	orDefault(&set.ColdFrom, 1)
	orDefault(&set.OverloadFactor, 2)
	orDefault(&set.OverloadWindow, 1e9)
	set.ColdFrom = min(set.ColdFrom, 1)
	return nil
}

// orDefault sets a value that is 0 to its default.
func orDefault[T int | float64 | Time](v *T, def T) {
	if *v == 0 {
		*v = def
	}
}
