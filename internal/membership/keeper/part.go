package keeper

import (
	"cmp"
	"hash/fnv"
	"maps"
	"slices"
	"time"

	"frostshift/internal/membership"
	"frostshift/internal/membership/subset"
)

// Part says which part of a pool this gateway uses.
type Part struct {
	Bank  subset.Bank
	Rank  int
	Pools int // pools of one gateway that share the hosts; 0: 1
	// WarmAfter is how long a host counts as cold. A wider subset takes in none that may
	// be: what may be sent to a cold host is divided among those that use it as usual.
	WarmAfter time.Duration
}

// part is the state of a keeper that uses a part.
type part struct {
	Part
	believed map[string]membership.Endpoint // of the whole pool
	fresh    map[string]time.Duration       // since when a host has been known as it is
	told     map[string]membership.Endpoint // the part, as handed on
	sharers  int
	width    subset.Width
	wide     int
}

func newPart(p Part) *part {
	return &part{Part: p, believed: map[string]membership.Endpoint{}, fresh: map[string]time.Duration{}, told: map[string]membership.Endpoint{}, wide: 1}
}

// take takes what has changed of the whole pool and returns the list to hand on; nil: this
// gateway's part is as it was.
func (p *part) take(now time.Duration, changes []membership.Endpoint, broken func(name string) bool) *membership.List {
	for _, e := range changes {
		if e.Status == membership.Left {
			delete(p.believed, e.Name)
			delete(p.fresh, e.Name)
			continue
		}
		if old, known := p.believed[e.Name]; !known || old.SinceMS != e.SinceMS || old.Address != e.Address {
			p.fresh[e.Name] = now
		}
		p.believed[e.Name] = e
	}
	bad, mine := 0, 0
	for name, e := range p.told {
		if e.Status == membership.Active {
			mine++
			if broken(name) {
				bad++
			}
		}
	}
	wide := p.width.Look(now, mine, bad)
	if len(changes) == 0 && wide == p.wide && p.sharers > 0 {
		return nil
	}
	p.wide = wide
	next, sharers := p.choose(now)
	l := &membership.List{Index: new(uint64), Snapshot: sharers != p.sharers, Sharers: sharers}
	p.sharers = sharers
	for _, name := range slices.Sorted(maps.Keys(next)) {
		if l.Snapshot || p.told[name] != next[name] {
			l.Endpoints = append(l.Endpoints, next[name])
		}
	}
	for name, e := range p.told {
		if _, stays := next[name]; !stays && !l.Snapshot {
			e.Status = membership.Left
			l.Endpoints = append(l.Endpoints, e)
		}
	}
	p.told = next
	if len(l.Endpoints) == 0 && !l.Snapshot {
		return nil
	}
	return l
}

// choose is this gateway's part now, and how many use each host.
func (p *part) choose(now time.Duration) (next map[string]membership.Endpoint, sharers int) {
	next = map[string]membership.Endpoint{}
	var names []string
	for name, e := range p.believed {
		if e.Status == membership.Active {
			names = append(names, name)
		} else if _, told := p.told[name]; told { // it finishes what it has
			next[name] = e
		}
	}
	slices.Sort(names)
	hosts := make([]subset.Host, len(names))
	for i, name := range names {
		e := p.believed[name]
		hosts[i] = subset.Host{Key: uint64(membership.HostID(name)), Zone: number(e.Zone), Group: e.Group}
	}
	usual := p.Bank.Choose(hosts, p.Rank, 1)
	wide := usual
	if p.wide > 1 {
		wide = p.Bank.Choose(hosts, p.Rank, p.wide)
	}
	for i, name := range names {
		if usual[i] || wide[i] && now-p.fresh[name] >= p.WarmAfter {
			next[name] = p.believed[name]
		}
	}
	return next, p.Bank.Sharers(len(hosts)) * cmp.Or(p.Pools, 1)
}

// number gives a name a number, the same at every gateway.
func number(name string) int {
	h := fnv.New32a()
	h.Write([]byte(name))
	return int(h.Sum32() >> 1)
}
