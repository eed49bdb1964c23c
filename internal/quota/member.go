package quota

import (
	"maps"
	"slices"
)

// play is a limit that is shared, as one member holds it.
type play struct {
	right   *Right
	to      peer
	loans   loans
	grants  []grant
	said    Time   // when an owner spoke of it last; 0: never
	sharer  string // who that was
	asked   Time   // when this gateway asked an owner
	touched Time
}

// grant is what one owner has granted.
type grant struct {
	by     peer
	stamp  Time // on the owner's clock
	amount float64
	until  Time
}

// mostOwners bounds the owners whose grants are held at a time: the present one, the one before
// it and one more that another view names.
const mostOwners = 3

// loans are what one gateway has lent, the larger and sooner ended first: a loan can't be
// lowered before it ends. The member that made them and the owner that counts on them each keep
// them, with ends on their own clocks.
type loans []loan

type loan struct {
	amount float64
	until  Time
}

// mostLoans bounds the steps by which a loan falls; beyond it they are taken together.
const mostLoans = 2 * pollParts

// at is what is lent at a time that is not past.
func (p loans) at(t Time) float64 {
	for _, q := range p {
		if t < q.until {
			return q.amount
		}
	}
	return 0
}

// add lends as much for a time, longer than all before. Higher ones go on to their ends. Where
// there are too many steps, late says which of two is taken for both: the end of the later, as the
// one who is bound does, or of the earlier, as the one who counts on it.
func (p *loans) add(now Time, amount float64, until Time, late bool) {
	list := *p
	for len(list) > 0 && now >= list[0].until {
		list = list[1:]
	}
	n := len(list)
	for n > 0 && list[n-1].amount <= amount {
		n--
	}
	if n >= mostLoans {
		if late {
			list[n-1].until = until
			*p = list[:n]
			return
		}
		list = list[1:]
		n--
	}
	*p = append(list[:n:n], loan{amount, until})
}

// granted is the sum of grants in force, and when the first of them ends.
func (p *play) granted(now Time) (sum float64, until Time) {
	for _, g := range p.grants {
		if now < g.until {
			sum += g.amount
			if until == 0 || g.until < until {
				until = g.until
			}
		}
	}
	return sum, until
}

// quiet says that a process before this one may have lent its part: but for the floor it has
// nothing of its own yet. A limit that may be over while something fails does not wait.
func (b *Store) quiet(r *Right) bool {
	return r.limit.Mode == NeverOver && b.now < b.began+b.outlast()
}

// outlast is how long a loan binds the one who made it: longer than its owner counts on it,
// however far their clocks' rates are apart.
func (b *Store) outlast() Time { return stretch(b.cfg.Lease, 1+2*b.drift) }

// hasten is how long a grant holds for the one who has it: shorter than its owner counts it.
func (b *Store) hasten() Time { return stretch(b.cfg.Lease, grantPart*(1-2*b.drift)) }

func stretch(d Time, by float64) Time { return Time(float64(d) * by) }

func (b *Store) even(r *Right) float64 { return r.limit.Amount * b.part(r.limit.Mode) }

// kept is what is in force here of its own part.
func (b *Store) kept(p *play) float64 {
	even := b.even(p.right)
	if b.quiet(p.right) {
		return even * floorPart
	}
	return max(even*floorPart, even-p.loans.at(b.now))
}

// publish says what is in force here.
func (b *Store) publish(r *Right) {
	if b.retired || b.limits[r.id] != r {
		r.held.Store(&held{})
		return
	}
	p := b.played[r.id]
	if p == nil {
		if !b.quiet(r) {
			r.held.Store(nil)
			return
		}
		// Its own part holds from its end on, also where nobody looks.
		r.held.Store(&held{value: b.even(r) * floorPart, until: b.began + b.outlast(), rest: b.even(r)})
		return
	}
	kept := b.kept(p)
	granted, until := p.granted(b.now)
	r.held.Store(&held{value: kept + granted, until: until, rest: kept})
}

// hold looks at limits that were asked for, and at those that are shared: which want more, and
// which are nobody's concern any more.
func (b *Store) hold() {
	for r := b.touched.Swap(nil); r != nil; {
		next := r.next
		r.in.Store(false)
		if want := r.look(b.now); b.limits[r.id] == r && b.played[r.id] == nil && want > b.even(r) && len(b.others) > 0 && len(b.played) < mostPlayed {
			b.played[r.id] = &play{right: r, touched: b.now}
		}
		r = next
	}
	b.forget()
	asks := map[string][]entry{}
	for _, id := range slices.Sorted(maps.Keys(b.played)) { // one order: the same events lead to the same packets
		p := b.played[id]
		want := p.right.look(b.now)
		kept := b.kept(p)
		granted, until := p.granted(b.now)
		if want > b.even(p.right) {
			p.touched = b.now
		}
		// A poll is answered with what is wanted. Between two, once: that more is, that most of what
		// was granted is not, or that polls or answers were lost and what was granted will end.
		more, missed := max(0, want-kept), 0.0
		if granted > 0 && until-b.now < stretch(b.cfg.Lease, grantPart-2.5/pollParts) || more > 0 && b.now-p.said > b.cfg.Lease/pollParts*3/2 {
			missed = 1
		}
		if more > granted || more < granted/2 || missed > 0 {
			if p.asked <= p.said || b.now-p.asked > b.cfg.Lease/pollParts/2 {
				p.asked = b.now
				asks[b.owner(id)] = append(asks[b.owner(id)], entry{id: id, a: more, b: missed})
			}
		}
		p.grants = ended(p.grants, b.now)
		if p.loans.at(b.now) == 0 && len(p.grants) == 0 && b.now-max(p.touched, p.said) > 2*b.cfg.Lease {
			delete(b.played, id)
		}
		b.publish(p.right)
	}
	for _, to := range slices.Sorted(maps.Keys(asks)) {
		for part := range chunks(asks[to]) {
			b.send(to, &message{kind: kindReply, at: b.now, entries: part})
		}
	}
	if !b.loud && b.now >= b.began+b.outlast() {
		b.loud = true
		for _, r := range b.limits {
			b.publish(r)
		}
	}
}

// ended drops grants that have ended.
func ended(list []grant, now Time) []grant {
	kept := list[:0]
	for _, g := range list {
		if now < g.until {
			kept = append(kept, g)
		}
	}
	return kept
}

// answer takes an owner's grants and lends what is not used here.
func (b *Store) answer(m *message) {
	reply := &message{kind: kindReply, at: b.now, echoBoot: m.from.boot, echo: m.at}
	for _, e := range m.entries {
		r := b.known(e.id)
		if r == nil {
			continue
		}
		p := b.played[e.id]
		if p == nil {
			if len(b.played) >= mostPlayed {
				continue
			}
			p = &play{right: r, touched: b.now}
			b.played[e.id] = p
		}
		if !b.take(p, m, e.a) {
			continue // it is held already by a later word, or there are too many owners
		}
		// Of two that share it out the one gives way that weighs less.
		if p.sharer == "" || p.sharer == m.from.name || b.now-p.said > b.cfg.Lease/2 || outweighs(e.id, m.from.name, p.sharer) {
			p.said, p.sharer = b.now, m.from.name
		}
		want, even := r.look(b.now), b.even(r)
		offer := 0.0
		if !b.quiet(r) && (p.loans.at(b.now) == 0 || p.to == m.from) {
			p.to = m.from
			if offer = max(0, even-max(even*floorPart, r.long*spare)); offer > 0 {
				p.loans.add(b.now, offer, b.now+b.outlast(), true)
			}
		}
		reply.entries = append(reply.entries, entry{id: e.id, a: max(0, want-b.kept(p)), b: offer})
		b.publish(r)
	}
	if len(reply.entries) > 0 {
		b.send(m.from.name, reply)
	}
}

// take takes a grant in, unless a later word of the same owner came before. It holds from when
// the owner heard this process last.
func (b *Store) take(p *play, m *message, amount float64) bool {
	until := Time(0)
	if m.echoBoot == b.cfg.Boot && m.echo <= b.now {
		until = m.echo + b.hasten()
	}
	for i := range p.grants {
		if g := &p.grants[i]; g.by == m.from {
			if m.at <= g.stamp {
				return false
			}
			g.stamp, g.amount, g.until = m.at, amount, until
			return true
		}
	}
	if len(p.grants) >= mostOwners {
		p.grants = ended(p.grants, b.now)
	}
	if len(p.grants) >= mostOwners {
		return false
	}
	p.grants = append(p.grants, grant{m.from, m.at, amount, until})
	return true
}
