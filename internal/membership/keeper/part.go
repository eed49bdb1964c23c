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
	Fleet subset.Fleet
	Rank  int
	Pools int // pools of one gateway that share the hosts; 0: 1
	// WarmAfter is how long a host counts as cold. A wider subset takes in none that may
	// be: what may be sent to a cold host is divided among those that use it as usual.
	WarmAfter time.Duration
}

// Shared says who shares a pool now, by what gateways hear of one another.
type Shared struct {
	IDs  []uint64 // of those that have a place, in one order at all gateways; nil: typed figures hold
	Rank int      // of this one among them
	Most int      // gateways that there may be
}

// Share has the part go by who shares the pool now. It does not wait.
func (k *Keeper) Share(s Shared) {
	if k.part == nil {
		return
	}
	select {
	case <-k.shared: // one that was not taken yet is old
	default:
	}
	k.shared <- s
}

// share takes it in, in the loop.
func (k *Keeper) share(s Shared) {
	if k.part.by(s, k.cfg.Part); k.whole {
		k.decide()
	}
}

// part is the state of a keeper that uses a part.
type part struct {
	Part
	believed map[string]membership.Endpoint // of the whole pool
	fresh    map[string]time.Duration       // since when a host has been known as it is
	told     map[string]membership.Endpoint // the part, as handed on
	sharers  int
	most     int  // gateways that there may be, where that is known to be more than Fleet.Count
	moved    bool // who shares the pool has changed since the last choice
	width    subset.Width
	wide     int
}

func newPart(p Part) *part {
	return &part{Part: p, believed: map[string]membership.Endpoint{}, fresh: map[string]time.Duration{}, told: map[string]membership.Endpoint{}, wide: 1}
}

// by has the part go by who shares the pool, or by the typed figures.
func (p *part) by(s Shared, typed *Part) {
	p.Fleet.Count, p.Fleet.IDs, p.Rank, p.most, p.moved = len(s.IDs), s.IDs, s.Rank, s.Most, true
	if s.IDs == nil {
		p.Fleet.Count, p.Rank, p.most = typed.Fleet.Count, typed.Rank, 0
	}
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
	if len(changes) == 0 && wide == p.wide && p.sharers > 0 && !p.moved {
		return nil
	}
	p.wide, p.moved = wide, false
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
	usual := p.Fleet.Choose(hosts, p.Rank, 1)
	wide := usual
	if p.wide > 1 {
		wide = p.Fleet.Choose(hosts, p.Rank, p.wide)
	}
	for i, name := range names {
		if usual[i] || wide[i] && now-p.fresh[name] >= p.WarmAfter {
			next[name] = p.believed[name]
		}
	}
	sharers = p.Fleet.Sharers(len(hosts))
	if count := max(p.Fleet.Count, 1); p.most > count { // more may use a host than are counted
		sharers = (sharers*p.most + count - 1) / count
	}
	return next, sharers * cmp.Or(p.Pools, 1)
}

// number gives a name a number, the same at every gateway.
func number(name string) int {
	h := fnv.New32a()
	h.Write([]byte(name))
	return int(h.Sum32() >> 1)
}
