package inflight

import (
	"cmp"
	"slices"
)

// may takes a packet from the rate, if there is one.
func (b *Store) may() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// scan greets, renews what is told, and lets what was not renewed go.
func (b *Store) scan(now Time) (out []Packet) {
	b.scanAt = now + scanEvery
	start := 0
	if b.tokens <= burst/2 { // then one is greeted in a scan, and not the same one each time
		start = b.first
	}
	for i := range b.order {
		at := (start + i) % len(b.order)
		p := b.order[at]
		// What is out goes before, but one is greeted in any case.
		if p.greetAt <= now && (len(out) == 0 || b.tokens > burst/2) && b.may() {
			p.greetAt, p.replies = now+p.pause, 0
			p.pause = min(2*p.pause, usesEvery)
			out = append(out, b.packet(now, p, kindDraws))
			b.first = at + 1
		}
		if p.out != nil && now-p.heardAt >= Lasts {
			b.holds(p, nil, 0)
		}
		if p.told && now-p.toldAt >= Lasts/renews {
			b.tell(now, p)
		}
	}
	marked := len(b.fresh)
	for h, s := range b.sums {
		switch {
		case s.parts > 0 && now-s.said >= Lasts/renews:
			b.mark(h, s)
		case s.parts == 0 && !s.news:
			delete(b.sums, h)
		}
	}
	slices.Sort(b.fresh[marked:])
	return out
}

func (b *Store) mark(h HostID, s *sum) {
	if !s.news {
		s.news = true
		b.fresh = append(b.fresh, h)
	}
}

// changed is what is to be said of sums that have changed.
func (b *Store) changed(now Time) (news []News) {
	for _, h := range b.fresh {
		s := b.sums[h]
		s.news, s.said = false, now
		news = append(news, News{h, float64(s.parts) / weights, now + Lasts})
	}
	b.fresh = b.fresh[:0]
	return news
}

// holds puts what a peer says in the place of what it said before.
func (b *Store) holds(p *peer, list []count, weight int) {
	add := func(list []count, weight int) {
		for _, c := range list {
			s := b.sums[c.host]
			if s == nil {
				s = &sum{}
				b.sums[c.host] = s
			}
			s.parts += c.n * weight
			b.mark(c.host, s)
		}
	}
	add(p.out, -p.weight)
	add(list, weight)
	p.out, p.weight = list, weight
}

// draws notes the hosts that a peer draws from.
func (b *Store) draws(p *peer, list []HostID, all bool) {
	for _, h := range p.uses {
		b.users[h] = slices.DeleteFunc(b.users[h], func(o *peer) bool { return o == p })
		if len(b.users[h]) == 0 {
			delete(b.users, h)
		}
	}
	if p.all {
		b.wide = slices.DeleteFunc(b.wide, func(o *peer) bool { return o == p })
	}
	p.uses, p.all = list, all
	for _, h := range list {
		b.users[h] = append(b.users[h], p)
	}
	if all {
		b.wide = append(b.wide, p)
	}
}

// shared is what this gateway has out where a peer draws.
func (b *Store) shared(p *peer) (list []count) {
	if p.all {
		for h, n := range b.own {
			list = append(list, count{h, n})
		}
	} else {
		for _, h := range p.uses {
			if n := b.own[h]; n > 0 {
				list = append(list, count{h, n})
			}
		}
	}
	if len(list) > mostHosts { // the fullest first
		slices.SortFunc(list, func(x, y count) int { return cmp.Or(y.n-x.n, cmp.Compare(x.host, y.host)) })
		list = list[:mostHosts]
	}
	slices.SortFunc(list, func(x, y count) int { return cmp.Compare(x.host, y.host) })
	return list
}

// packet says to a peer what is out where it draws, or where this gateway does.
func (b *Store) packet(now Time, p *peer, kind byte) Packet {
	m := message{kind: kind, asks: !p.tripped, from: b.self, session: b.session, stamp: stampOf(now), held: noEcho, knows: digest(p.uses, p.all)}
	if held := now - p.stampAt; p.stampAt > 0 && held < echoOld {
		m.echo, m.held = p.stamp, held
	}
	if kind == kindDraws {
		m.all = len(b.said) > mostHosts
		for _, h := range b.said[:min(len(b.said), mostHosts)] {
			m.list = append(m.list, count{h, 0})
		}
	} else {
		m.waited = now - p.since
		m.list = b.shared(p)
		p.told = len(m.list) > 0
	}
	b.counts.Sent++
	p.sent++
	m.seq, m.loses = p.sent, p.lost
	return Packet{p.name, m.encode()}
}
