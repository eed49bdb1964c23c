package config

import (
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"strings"
	"time"
)

// The settings object of the platform names the figures that the four rules are held against. A
// figure that is missing or absurd must not become a default that bends a rule: the start ends with
// the field's name. Keys that are not known here are skipped.

// fieldError is what is wrong with a field of the settings.
type fieldError struct{ field, text string }

func (e *fieldError) Error() string { return "settings: " + e.field + " " + e.text }

// ruleFigures is the part of the settings that rules rest on; nil: the key is missing.
type ruleFigures struct {
	Balancers *float64
	Rank      *float64
	Zone      *float64
	Step      *float64
	Discovery *string
	Azs       []string
	Classes   []ruleClass
	Tenants   []struct {
		Name  *string
		Quota *float64 `json:"quota_per_s"`
	}
	Caps struct {
		MaxAttempts   *float64 `json:"max_attempts"`
		MaxRetryAfter *float64 `json:"max_retry_after"`
		RetryAfter    *bool    `json:"retry_after"`
		Cancel        *bool
	}
	Obligations struct {
		AskWithin      *float64 `json:"ask_within"`
		ColdFrom       *float64 `json:"cold_from"`
		WarmAfter      *float64 `json:"warm_after"`
		OverloadFactor *float64 `json:"overload_factor"`
		Fall           *float64
		DrainGrace     *float64 `json:"drain_grace"`
	}
}

// ruleClass is what the settings say of a class.
type ruleClass struct {
	Name       string
	Effect     *string
	Group      *string
	Promise    *float64
	HardLimit  *float64 `json:"hard_limit"`
	Importance *float64
	Window     *float64
}

const (
	mostMicros   = float64(24 * time.Hour / time.Microsecond)
	mostGateways = 1 << 20
)

// bounds is what a figure may be.
type bounds struct {
	least, most float64
	above       bool // the least itself is not allowed
	whole       bool
	optional    bool
}

// span is a time in microseconds that must not be 0.
var span = bounds{least: 0, most: mostMicros, above: true}

// figure checks one figure.
func figure(field string, v *float64, b bounds) error {
	switch {
	case v == nil && b.optional:
	case v == nil:
		return &fieldError{field, "is missing"}
	case *v < b.least || b.above && *v == b.least || *v > b.most:
		return &fieldError{field, fmt.Sprintf("%g is out of range", *v)}
	case b.whole && *v != math.Trunc(*v):
		return &fieldError{field, fmt.Sprintf("%g is not a whole number", *v)}
	}
	return nil
}

// checkRuleFigures says which figure of the settings is missing or absurd.
func checkRuleFigures(text []byte) error {
	var in ruleFigures
	var mistyped *json.UnmarshalTypeError
	switch err := json.Unmarshal(text, &in); {
	case errors.As(err, &mistyped):
		return &fieldError{strings.ToLower(mistyped.Field), "can't be a " + mistyped.Value}
	case err != nil:
		return fmt.Errorf("settings: %w", err)
	}
	asked := false
	switch {
	case in.Discovery == nil:
		return &fieldError{"discovery", "is missing"}
	case *in.Discovery == "subscribe":
		asked = true
	case *in.Discovery != "automatic":
		return &fieldError{"discovery", fmt.Sprintf("%q is neither automatic nor subscribe", *in.Discovery)}
	}
	if len(in.Classes) == 0 {
		return &fieldError{"classes", "is missing"}
	}
	list := in.ownFigures(asked)
	for i := range in.Classes {
		more, err := in.Classes[i].figures(fmt.Sprintf("classes[%d].", i))
		if err != nil {
			return err
		}
		list = append(list, more...)
	}
	for i, t := range in.Tenants {
		if t.Name == nil || *t.Name == "" {
			return &fieldError{fmt.Sprintf("tenants[%d].name", i), "is missing"}
		}
		list = append(list, boundedFigure{fmt.Sprintf("tenants[%d].quota_per_s", i), t.Quota, bounds{most: math.MaxInt32, optional: true}})
	}
	for _, f := range list {
		if err := figure(f.field, f.value, f.bounds); err != nil {
			return err
		}
	}
	return nil
}

// boundedFigure is a figure of the settings with what it may be.
type boundedFigure struct {
	field  string
	value  *float64
	bounds bounds
}

// ownFigures are the figures of the gateway itself; asked says that lists of hosts are asked for.
func (in *ruleFigures) ownFigures(asked bool) []boundedFigure {
	gateways := 1.0
	if in.Balancers != nil {
		gateways = *in.Balancers
	}
	o, caps := &in.Obligations, &in.Caps
	return []boundedFigure{
		{"balancers", in.Balancers, bounds{least: 1, most: mostGateways, whole: true}},
		{"rank", in.Rank, bounds{most: gateways - 1, whole: true, optional: gateways == 1}},
		{"zone", in.Zone, bounds{most: float64(max(len(in.Azs), 1) - 1), whole: true, optional: len(in.Azs) < 2}},
		{"step", in.Step, bounds{most: mostMicros, optional: true}},
		{"caps.max_attempts", caps.MaxAttempts, bounds{least: 1, most: math.MaxInt32, whole: true}},
		{"caps.max_retry_after", caps.MaxRetryAfter, bounds{most: mostMicros, optional: caps.RetryAfter == nil || !*caps.RetryAfter}},
		{"obligations.cold_from", o.ColdFrom, bounds{most: 1, above: true}},
		{"obligations.warm_after", o.WarmAfter, bounds{most: mostMicros}},
		{"obligations.overload_factor", o.OverloadFactor, bounds{most: math.MaxInt32, above: true}},
		{"obligations.fall", o.Fall, span},
		{"obligations.drain_grace", o.DrainGrace, bounds{most: mostMicros, optional: true}},
		{"obligations.ask_within", o.AskWithin, bounds{most: mostMicros, above: asked, optional: !asked}},
	}
}

// figures are the figures of a class, whose fields begin with at.
func (c *ruleClass) figures(at string) ([]boundedFigure, error) {
	if c.Effect == nil {
		return nil, &fieldError{at + "effect", "is missing"}
	}
	keyed := *c.Effect == "deduplicated"
	if keyed && (c.Group == nil || *c.Group == "") {
		return nil, &fieldError{at + "group", "is missing"}
	}
	return []boundedFigure{
		{at + "promise", c.Promise, span},
		{at + "hard_limit", c.HardLimit, span},
		{at + "importance", c.Importance, bounds{most: math.MaxInt32, optional: true}},
		{at + "window", c.Window, bounds{most: mostMicros, optional: !keyed}},
	}, nil
}
