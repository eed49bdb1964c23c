package quota

import (
	"maps"
	"slices"
)

// heard is what an owner knows of a process.
type heard struct {
	stamp Time // the last on its clock that came
	at    Time // when, on this one
}

// account is a limit that this gateway shares out.
type account struct {
	right   *Right
	until   Time // it is shared out until then, unless somebody wants more
	holders map[peer]*holder
}

// holder is a process that lends, or holds grants.
type holder struct {
	at   Time // the last word of its that counts, on its clock
	echo Time // the last poll that it is known to have taken in
	want float64
	lent loans // that it may not use itself, for longer than they count here
	// next is the grant that was sent last, changed when it was first. Until it is known to have
	// arrived, cur is the most that may be held instead.
	cur, next           float64
	curUntil, nextUntil Time
	changed             Time
	plan, target        float64
}

// inForce is the most that the holder may have of what was granted.
func (h *holder) inForce(now Time) (most float64) {
	if now < h.curUntil {
		most = h.cur
	}
	if now < h.nextUntil {
		most = max(most, h.next)
	}
	return most
}

func (h *holder) settled(now Time) bool { return now >= h.curUntil }

// grant notes a grant that is sent at now.
func (h *holder) grant(now, until Time, amount float64) {
	if amount != h.next {
		h.cur, h.curUntil = h.inForce(now), max(h.curUntil, h.nextUntil)
		h.next, h.changed = amount, now
	}
	h.nextUntil = until
}

// learn takes in what a member wants and lends.
func (b *Store) learn(m *message) {
	if m.echo > b.stamp || m.echo != 0 && m.echoBoot != b.cfg.Boot {
		return // said to a process before this one, or never
	}
	p := b.peerOf(m.from)
	if p == nil {
		b.counts.Strange++
		return
	}
	p.stamp, p.at = max(p.stamp, m.at), b.now
	for _, e := range m.entries {
		a := b.accountOf(e)
		if a == nil {
			continue
		}
		h := a.holders[m.from]
		if h == nil {
			if len(a.holders) >= mostHolders {
				b.counts.Strange++
				continue
			}
			h = &holder{}
			a.holders[m.from] = h
		}
		if m.at < h.at {
			continue // a later word came before
		}
		h.at = m.at
		b.learnWant(a, h, e.a)
		if m.echo == 0 && e.b > 0 { // it has missed a poll
			b.hurried = true
		}
		if m.echo != 0 && m.echo >= h.echo {
			b.learnLoan(a, h, m.echo, e.b)
		}
	}
}

// peerOf is what is heard of a process; nil: it belongs to nobody who is known to live, as a name
// alone must not add loans, or there are too many.
func (b *Store) peerOf(from peer) *heard {
	if _, member := slices.BinarySearch(b.others, from.name); !member && from.name != b.cfg.Self {
		return nil
	}
	p := b.peers[from]
	if p == nil && len(b.peers) < mostPeers {
		p = &heard{}
		b.peers[from] = p
	}
	return p
}

// accountOf is the account of a limit that this gateway owns. One is opened where a member wants
// rights and this gateway is to share them out; nil: there is none.
func (b *Store) accountOf(e entry) *account {
	if a := b.owned[e.id]; a != nil {
		return a
	}
	if e.a == 0 || len(b.owned) >= mostPlayed || b.owner(e.id) != b.cfg.Self {
		return nil
	}
	r := b.known(e.id)
	if r == nil {
		return nil
	}
	a := &account{right: r, holders: map[peer]*holder{}}
	b.owned[e.id] = a
	b.hurried = true
	return a
}

// learnWant takes in how many rights a member wants.
func (b *Store) learnWant(a *account, h *holder, want float64) {
	if want > h.want*1.25 && want > h.next || want < h.next/2 && a.short() {
		b.hurried = true
	}
	if h.want = min(want, a.right.limit.Amount); want > 0 {
		a.until = b.now + holdLeases*b.cfg.Lease
	}
}

// learnLoan takes in how many rights a member lends out, as it said behind the poll of that stamp. It
// was polled no earlier than the poll was sent: its loan lasts longer.
func (b *Store) learnLoan(a *account, h *holder, echo Time, lent float64) {
	h.echo = echo
	if echo >= h.changed && h.curUntil > 0 {
		h.cur, h.curUntil = 0, 0
		b.hurried = b.hurried || a.short()
	}
	if lent > h.lent.at(b.now) {
		b.hurried = b.hurried || a.short()
	}
	if until := echo + b.cfg.Lease; until > b.now {
		h.lent.add(b.now, min(lent, b.even(a.right)*(1-floorPart)), until, false)
	}
}

// short says whether somebody wants more than was granted.
func (a *account) short() bool {
	for _, h := range a.holders {
		if h.want > h.next*1.02 {
			return true
		}
	}
	return false
}

// figures are what is granted and lent.
func (a *account) figures(now Time) (granted, loans float64, holders int) {
	for _, h := range a.holders {
		granted += h.inForce(now)
		loans += h.lent.at(now)
	}
	return granted, loans, len(a.holders)
}

// poll asks all members what they want and lend, and tells them what they have.
func (b *Store) poll() {
	since := b.now - b.polled
	if since < b.cfg.Lease/pollParts && !(b.hurried && since >= b.cfg.Lease/hurryParts) {
		return
	}
	b.polled, b.hurried = b.now, false
	b.stamp = max(b.now, b.stamp+1)
	newest := map[string]peer{} // of each name the process that was heard and began last
	for p, h := range b.peers {
		if b.now-h.at > b.cfg.Lease {
			delete(b.peers, p)
		} else if n, there := newest[p.name]; !there || p.boot > n.boot {
			newest[p.name] = p
		}
	}
	lists := map[string][]entry{}
	for _, id := range slices.Sorted(maps.Keys(b.owned)) {
		a := b.owned[id]
		if b.now > a.until || b.limits[id] != a.right || b.owner(id) != b.cfg.Self {
			if a.over(b.now) {
				delete(b.owned, id)
			}
			continue
		}
		b.share(a, newest)
		for _, name := range append(b.others, b.cfg.Self) {
			e := entry{id: id}
			if h := a.holders[newest[name]]; h != nil {
				e.a = h.plan
			}
			lists[name] = append(lists[name], e)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(lists)) {
		list := lists[name]
		to, h := newest[name], heard{}
		if known := b.peers[to]; known != nil {
			h = *known
		}
		for part := range chunks(list) {
			b.send(name, &message{kind: kindPoll, at: b.stamp, echoBoot: to.boot, echo: h.stamp, entries: part})
		}
	}
}

// over says that nothing which was granted or lent can still hold.
func (a *account) over(now Time) bool {
	for p, h := range a.holders {
		if h.inForce(now) > 0 || h.lent.at(now) > 0 {
			return false
		}
		delete(a.holders, p)
	}
	return true
}

// share decides what each holder is granted until half a lease from now. What is out at any time
// stays within loans that last as long. Where loans have been lost, what is out may be more
// than those that are left: then grants only shrink, and what is out ends before the lost ones do.
func (b *Store) share(a *account, newest map[string]peer) {
	until := b.now + stretch(b.cfg.Lease, grantPart)
	pool := 0.0
	var wants []*holder
	own := map[string]float64{} // by name: however many processes say so, it is there once
	for p, h := range a.holders {
		if h.lent.at(b.now) == 0 && h.inForce(b.now) == 0 && b.peers[p] == nil {
			delete(a.holders, p)
			continue
		}
		if v := h.lent.at(until); v > own[p.name] {
			pool += v - own[p.name]
			own[p.name] = v
		}
		if h.target = 0; newest[p.name] == p && h.want > 0 {
			wants = append(wants, h)
		}
	}
	fill(pool, wants)
	base, more := 0.0, 0.0
	for _, h := range a.holders {
		if h.plan = h.next; h.target < h.next {
			h.plan = h.target
		} else if h.settled(b.now) && h.target > h.next {
			h.plan = h.target
			more += h.target - h.next
		}
		base += max(h.inForce(b.now), min(h.plan, h.next))
	}
	part := 0.0
	if more > 0 && base < pool {
		part = min(1, (pool-base)/more)
	}
	for _, h := range a.holders {
		if h.plan > h.next {
			h.plan = h.next + (h.plan-h.next)*part
		}
	}
	for p, h := range a.holders {
		if newest[p.name] != p {
			h.plan = h.next // it is not sent anything
			continue
		}
		h.grant(b.stamp, until, h.plan)
	}
}

// fill sets targets: all get the same part of what they want, at most all of it; and what nobody
// wants lies where requests come, for growth.
func fill(pool float64, wants []*holder) {
	sum := 0.0
	for _, h := range wants {
		sum += h.want
	}
	part := min(1, pool/sum)
	spare := max(0, pool-sum) / float64(len(wants))
	for _, h := range wants {
		h.target = h.want*part + min(spare, h.want)
	}
}
