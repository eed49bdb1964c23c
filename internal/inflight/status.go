package inflight

import (
	"cmp"
	"slices"
	"time"
)

// Counts are totals since the start.
type Counts struct {
	Sent, Taken, Strange int64 // packets
	Held                 int64 // packets that waited for the rate
}

// Counts are the totals.
func (b *Store) Counts() Counts { return b.counts }

// Status is what others have out at a host, for operators.
type Status struct {
	Host      HostID
	Own       int
	Others    float64 // as far as it counts
	Reporters []Reporter
}

// Reporter is one who has attempts out at a host.
type Reporter struct {
	Name   string
	Out    int
	Weight float64
	Lag    time.Duration // half the round trip
	Age    time.Duration
}

// Status is what is held of hosts at which anybody has something out, by number.
func (b *Store) Status(now Time) (list []Status) {
	by := map[HostID]*Status{}
	at := func(h HostID) *Status {
		if by[h] == nil {
			by[h] = &Status{Host: h, Own: b.own[h]}
			if s := b.sums[h]; s != nil {
				by[h].Others = float64(s.parts) / weights
			}
		}
		return by[h]
	}
	for h := range b.own {
		at(h)
	}
	for _, p := range b.order {
		for _, c := range p.out {
			s := at(c.host)
			s.Reporters = append(s.Reporters, Reporter{p.name, c.n, float64(p.weight) / weights, p.trip / 2, now - p.heardAt})
		}
	}
	for _, s := range by {
		slices.SortStableFunc(s.Reporters, func(x, y Reporter) int { return y.Out - x.Out })
		list = append(list, *s)
	}
	slices.SortFunc(list, func(x, y Status) int { return cmp.Compare(x.Host, y.Host) })
	return list
}
