package quota

import (
	"cmp"
	"slices"
	"time"
)

// Counts are totals since the start.
type Counts struct {
	Sent, Taken, Strange int64 // packets; Strange ones could not be read or were nobody's
}

// LimitStatus is what is known of a limit here, for operators.
type LimitStatus struct {
	Name   string
	Mode   Mode
	Amount float64
	Here   float64 // rights in force
	Kept   float64 // of them, of its own
	Wanted float64
	// Lent are rights of its own that others may use, by the word of Owner.
	Lent  float64
	Owner string
	Age   time.Duration // of what Owner said last; 0: it has said nothing
	// Granted, of an owner: what is out at all gateways, of what is lent.
	Granted, Loans float64 `json:",omitempty"`
	Holders        int     `json:",omitempty"`
}

// Status is what is known of the limits that are shared now, by name; all: of each.
func (b *Store) Status(now Time, all bool) (list []LimitStatus) {
	b.tick(now)
	for id, r := range b.limits {
		p, a := b.played[id], b.owned[id]
		if p == nil && a == nil && !all {
			continue
		}
		s := LimitStatus{Name: r.limit.Name, Mode: r.limit.Mode, Amount: r.limit.Amount, Here: r.Value(now), Wanted: r.look(b.now), Owner: b.owner(id)}
		s.Kept = s.Here
		if p != nil {
			s.Kept, s.Lent = b.kept(p), p.loans.at(b.now)
			if p.said > 0 {
				s.Age = b.now - p.said
			}
		}
		if a != nil {
			s.Granted, s.Loans, s.Holders = a.figures(b.now)
		}
		list = append(list, s)
	}
	slices.SortFunc(list, func(x, y LimitStatus) int { return cmp.Compare(x.Name, y.Name) })
	return list
}

// Alive is how many gateways are held alive, with this one.
func (b *Store) Alive() int { return b.alive }

// Counts are the totals.
func (b *Store) Counts() Counts { return b.counts }
