package wire

import (
	"encoding/json"
	"fmt"
	"time"

	"frostshift"
)

// settings contains the keys of the simulator's settings object that the balancer
// uses; unknown keys are ignored and absent ones are zero.
type settings struct {
	Balancers int
	Rank      int
	Zone      int
	Azs       []string
	Step      micros
	Discovery string
	OverShare float64 `json:"over_share_worth"`
	Classes   []struct {
		Promise    micros
		HardLimit  micros `json:"hard_limit"`
		Importance float64
		Effect     string
		Group      string
		Window     micros
	}
	Prices struct {
		CrossZone float64 `json:"cross_zone"`
	}
	Tenants []struct {
		Quota float64 `json:"quota_per_s"`
	}
	Caps struct {
		Cancel        bool
		MaxAttempts   int    `json:"max_attempts"`
		MaxRetryAfter micros `json:"max_retry_after"`
		RetryAfter    bool   `json:"retry_after"`
	}
	Obligations struct {
		AskWithin      micros  `json:"ask_within"`
		ColdFrom       float64 `json:"cold_from"`
		WarmAfter      micros  `json:"warm_after"`
		OverloadFactor float64 `json:"overload_factor"`
		Fall           micros
	}
}

// micros is a duration in microseconds, possibly with a fraction.
type micros float64

func (m micros) duration() time.Duration { return time.Duration(float64(m) * float64(unit)) }

var effects = map[string]frostshift.Effect{
	"idempotent": frostshift.Safe, "deduplicated": frostshift.Keyed, "at_most_once": frostshift.Unsafe,
}

var groups = map[string]frostshift.Group{
	"": frostshift.GroupAll, "all": frostshift.GroupAll,
	"zone": frostshift.GroupZone, "cell": frostshift.GroupCell,
}

// ParseSettings parses the JSON settings object of a Hello. It returns an error for invalid JSON
// and for an unknown effect or group; frostshift.New checks the values.
func ParseSettings(text []byte) (frostshift.Settings, error) {
	var in settings
	var out frostshift.Settings
	if err := json.Unmarshal(text, &in); err != nil {
		return out, fmt.Errorf("settings: %w", err)
	}
	out = frostshift.Settings{
		Instances: in.Balancers, Rank: in.Rank, Step: in.Step.duration(),
		Zone: in.Zone, Zones: len(in.Azs), CrossPrice: in.Prices.CrossZone,
		MaxAttempts: in.Caps.MaxAttempts, Cancel: in.Caps.Cancel, OverQuotaWorth: in.OverShare,
		Ask: in.Discovery == "subscribe", AskWithin: in.Obligations.AskWithin.duration(),
		ColdFrom: in.Obligations.ColdFrom, WarmAfter: in.Obligations.WarmAfter.duration(),
		OverloadFactor: in.Obligations.OverloadFactor, OverloadWindow: in.Obligations.Fall.duration(),
	}
	if in.Caps.RetryAfter {
		out.MaxRetryAfter = in.Caps.MaxRetryAfter.duration()
	}
	for i, c := range in.Classes {
		effect, ok := effects[c.Effect]
		if !ok {
			return out, fmt.Errorf("settings: class %d: unknown effect %q", i, c.Effect)
		}
		group, ok := groups[c.Group]
		if !ok {
			return out, fmt.Errorf("settings: class %d: unknown group %q", i, c.Group)
		}
		out.Classes = append(out.Classes, frostshift.Class{
			Aim: c.Promise.duration(), Deadline: c.HardLimit.duration(), Worth: c.Importance,
			Effect: effect, Group: group, Window: c.Window.duration(),
		})
	}
	for _, t := range in.Tenants {
		out.Tenants = append(out.Tenants, frostshift.Tenant{Quota: t.Quota})
	}
	return out, nil
}
