// Package learning decides what of what a gateway had learned of hosts holds when its next process reads it: the form in
// which it is kept, how it ages, and when it is worth nothing. It does no I/O and reads no clock, and knows neither files
// nor gateways; what the figures mean is the balancer's.
//
// Two clocks meet here. A balancer's figures bear ages, which go on while nobody runs; how long that was is told by the
// wall clock alone, which may have been set meanwhile. What seems to come from the future, or from too long ago, is left.
package learning

import (
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"frostshift"
	"frostshift/internal/membership"
	"frostshift/internal/save"
	"frostshift/internal/verdict"
)

const (
	// MaxAge is the age from which on nothing that was kept is taken.
	MaxAge = time.Hour
	// fresh is the age up to which what was learned of the load of the moment holds: what is admitted, how late
	// answers are, at which rate hosts served. Beyond it the hosts' figures alone are taken.
	fresh = 10 * time.Second
	// seedAge is the age of an estimate from which on it says nothing.
	seedAge = 10 * time.Minute

	part    = "learned"
	version = 1
)

// Pool is what is kept of a pool.
type Pool struct {
	List    *membership.List   `json:",omitempty"` // as it was last; nil: it has no version
	Learned *frostshift.Memory `json:",omitempty"`
	// Repeats are saved up in its budget; nil: unknown.
	Repeats *float64 `json:",omitempty"`
}

// kept is the form.
type kept struct {
	At    time.Time // by the wall clock
	Pools map[string]Pool
}

// Encode is what is written at an instant.
func Encode(at time.Time, pools map[string]Pool) ([]save.Part, error) {
	data, err := json.Marshal(&kept{at, pools})
	if err != nil {
		return nil, fmt.Errorf("what was learned can't be written down: %w", err)
	}
	return []save.Part{{Name: part, Version: version, Data: data}}, nil
}

// Errors that Decode ends with, besides others.
var (
	ErrNone   = errors.New("nothing was learned")
	ErrFuture = errors.New("it is of a time to come: the clock was set back")
	ErrOld    = fmt.Errorf("it is older than %v", MaxAge)
)

// Decode is what holds now of what was written, and its age. With ErrFuture and ErrOld nothing holds, and the pools are
// as they were written.
func Decode(now time.Time, parts []save.Part) (pools map[string]Pool, age time.Duration, err error) {
	for _, p := range parts {
		if p.Name != part {
			continue
		}
		if p.Version != version {
			return nil, 0, fmt.Errorf("it is of version %d, and %d is read", p.Version, version)
		}
		var k kept
		if err := json.Unmarshal(p.Data, &k); err != nil {
			return nil, 0, fmt.Errorf("it can't be read: %w", err)
		}
		age = now.Sub(k.At)
		switch {
		case age < 0:
			return k.Pools, age, ErrFuture
		case age > MaxAge:
			return k.Pools, age, ErrOld
		}
		for name, pool := range k.Pools {
			if pool.Learned != nil {
				pool.Learned = Aged(*pool.Learned, age)
			}
			if pool.Repeats != nil { // some come back by themselves
				pool.Repeats = new(*pool.Repeats + verdict.MinRetryRate*age.Seconds())
			}
			if pool.List != nil && (pool.List.Index == nil || pool.List.Check() != nil) {
				pool.List = nil
			}
			k.Pools[name] = pool
		}
		return k.Pools, age, nil
	}
	return nil, 0, ErrNone
}

// Aged is a memory as it is so much later, age not below 0.
func Aged(m frostshift.Memory, age time.Duration) *frostshift.Memory {
	later := func(d time.Duration) time.Duration { return max(d, 0) + age }
	evidence := func(e frostshift.EvidenceMemory) frostshift.EvidenceMemory { e.Age = later(e.Age); return e }
	mean := func(e frostshift.MeanMemory) frostshift.MeanMemory { e.Age = later(e.Age); return e }
	old := m
	m.Late, m.Works, m.Worth, m.Gap, m.All = evidence(m.Late), evidence(m.Works), mean(m.Worth), mean(m.Gap), mean(m.All)
	m.Classes, m.Kinds, m.Hosts = nil, nil, nil
	for _, c := range old.Classes {
		m.Classes = append(m.Classes, mean(c))
	}
	for _, k := range old.Kinds {
		m.Kinds = append(m.Kinds, evidence(k))
	}
	m.ServedAge, m.ServedFor = later(m.ServedAge), later(m.ServedFor)
	if age > fresh {
		m.Admit, m.Served, m.ServedFor, m.Late = 1, 0, 0, frostshift.EvidenceMemory{}
	}
	m.Banned = nil // bans are kept with what operators said, which may be later
	for _, h := range old.Hosts {
		h.Age, h.ColdFor, h.HeardAge = later(h.Age), later(h.ColdFor), later(h.HeardAge)
		h.Out = max(h.Out-age, 0)
		h.Slow, h.Lat = evidence(h.Slow), mean(h.Lat)
		if h.Age > seedAge {
			h.Fresh, h.Slow, h.Lat = true, frostshift.EvidenceMemory{}, frostshift.MeanMemory{}
		}
		m.Hosts = append(m.Hosts, h)
	}
	return &m
}
