// Package learning encodes the learned state of a gateway's balancers for the gateway's next process, and determines how
// much of it is still valid when that process reads it. It performs no I/O, the caller passes the time, and it depends
// neither on files nor on gateways. The balancer defines the meaning of the values.
//
// Two clocks are involved. The balancer's values have ages, which also grow while no process runs. Only the wall clock
// shows how long that was, and it may have been set in the meantime: state that seems to come from the future, or that is
// too old, is ignored.
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
	// MaxAge is the age beyond which saved state is ignored.
	MaxAge = time.Hour
	// fresh is the age up to which the state that depends on the current load is valid: the admitted share of
	// requests, the lateness of answers, and the rate at which hosts served. Beyond it, this state is reset.
	fresh = 10 * time.Second
	// seedAge is the age beyond which a host's estimates are discarded.
	seedAge = 10 * time.Minute

	// part and version identify the encoded state.
	part    = "learned"
	version = 1
)

// Pool is the saved state of a pool.
type Pool struct {
	List    *membership.List   `json:",omitempty"` // the last host list; nil if it has no version or failed its check
	Learned *frostshift.Memory `json:",omitempty"`
	// Repeats is the number of accumulated retries in the pool's retry budget; nil means unknown.
	Repeats *float64 `json:",omitempty"`
}

// kept is the saved state of all pools, by name, as encoded in JSON.
type kept struct {
	At    time.Time // when it was written, by the wall clock
	Pools map[string]Pool
}

// Encode returns the parts to save for the state at the given wall clock time.
func Encode(at time.Time, pools map[string]Pool) ([]save.Part, error) {
	data, err := json.Marshal(&kept{at, pools})
	if err != nil {
		return nil, fmt.Errorf("cannot encode the learned state: %w", err)
	}
	return []save.Part{{Name: part, Version: version, Data: data}}, nil
}

// Errors that Decode returns, among others.
var (
	ErrNone   = errors.New("nothing was learned")
	ErrFuture = errors.New("it is of a time to come: the clock was set back")
	ErrOld    = fmt.Errorf("it is older than %v", MaxAge)
)

// Decode returns the saved state as far as it is still valid now, and its age. It returns ErrNone if the parts hold no
// learned state. With ErrFuture and ErrOld none of the state is valid, and the pools are returned as they were saved.
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
			if pool.Repeats != nil { // the budget accumulates retries with time
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

// Aged returns the learned state as it is after the given time has passed, which must not be negative. It resets what is
// no longer valid then, and does not modify the slices of m.
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
	m.Banned = nil // bans are saved with the operators' overrides, which may be newer
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
