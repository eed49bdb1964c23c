package limit

import (
	"fmt"
	"hash/maphash"
	"math"
	"strconv"
	"sync"
	"time"
)

// MostRules is how many rules one request may meet.
const MostRules = 8

// Gate is the rules that a request meets, in their order.
type Gate []*Rule

// Refusal is why a request was turned away: nothing of it has been sent, and no rule has charged
// it. One without a Rule is none.
type Refusal struct {
	Rule  *Rule
	After time.Duration // when it would pass, if nobody else came; 0: when something ends, which nobody knows
	limit fields
}

// fields are what a client is told of a rule.
type fields struct {
	rule        *Rule
	left        float64
	reset       time.Duration
	rate, burst float64
}

// Pass is what a request holds of the rules that it met. Leave gives it back, once.
type Pass struct {
	// Wait is how long it is to be held back so as to keep to a rate.
	Wait  time.Duration
	taken [MostRules]taken
	n     int
	key   []byte
	told  fields
}

type taken struct {
	rule    *Rule
	hash    uint64
	charged float64
	right   Right // asked as work is known; nil: the even part
	open    bool
}

var passPool = sync.Pool{New: func() any { return &Pass{key: make([]byte, 0, 256)} }}

// mostKept bounds the room for a key that is kept for the next request.
const mostKept = 4 << 10

func (p *Pass) free() {
	if cap(p.key) > mostKept {
		p.key = make([]byte, 0, 256)
	}
	clear(p.taken[:p.n])
	p.n, p.Wait, p.told = 0, 0, fields{}
	passPool.Put(p)
}

// Enter holds a request against all rules, and charges it if none refuses; a nil Pass without a
// refusal: no rule is about it. left is how long it may wait.
func (g Gate) Enter(now Time, a *Ask, left time.Duration) (*Pass, Refusal) {
	p := passPool.Get().(*Pass)
	for _, r := range g {
		key, about := r.keyOf(p.key[:0], a)
		p.key = key
		if !about || p.n == MostRules {
			continue
		}
		hash := maphash.Bytes(r.seed, key)
		if refusal := p.meet(now, r, hash, a, left); refusal.Rule != nil {
			p.undo(now)
			p.free()
			return nil, refusal
		}
	}
	if p.n == 0 {
		p.free()
		return nil, Refusal{}
	}
	for i := range p.n {
		p.taken[i].rule.passed.Add(1)
	}
	return p, Refusal{}
}

// meet holds a request against one rule.
func (p *Pass) meet(now Time, r *Rule, hash uint64, a *Ask, left time.Duration) Refusal {
	t := taken{rule: r, hash: hash}
	dry := false
	if r.Rate > 0 {
		switch r.Unit {
		case Requests:
			t.charged = 1
		case Bytes:
			t.charged = float64(max(0, a.Body))
		}
		s, right := r.take(now, hash, p.key, t.charged, left)
		if t.right = right; s.over {
			t.charged = 0
			if !r.DryRun {
				r.rate.Add(1)
				r.away(now, hash, a)
				return Refusal{Rule: r, After: s.after, limit: r.fields(now, s)}
			}
			dry = true
		} else if s.wait > 0 && !r.DryRun {
			r.waited.Add(1)
			p.Wait = max(p.Wait, s.wait)
		}
		if r.Tell && (p.told.rule == nil || s.left < p.told.left) {
			p.told = r.fields(now, s)
		}
	}
	if r.Open > 0 {
		room := r.enter(now, hash)
		if !room && !r.DryRun {
			p.back(now, &t)
			r.full.Add(1)
			r.away(now, hash, a)
			return Refusal{Rule: r}
		}
		t.open, dry = true, dry || !room
	}
	if dry {
		r.dry.Add(1)
		r.away(now, hash, a)
	}
	p.taken[p.n] = t
	p.n++
	return Refusal{}
}

// back gives back what a rule has charged a request that does not go.
func (p *Pass) back(now Time, t *taken) {
	if t.charged > 0 {
		t.rule.pay(now, t.hash, -t.charged)
	}
	if t.open {
		t.rule.leave(t.hash)
	}
}

func (p *Pass) undo(now Time) {
	for i := range p.n {
		p.back(now, &p.taken[i])
	}
}

// Cancel gives back all that a request holds, as though it had not come: it is refused for another
// reason, and nothing of it was sent.
func (p *Pass) Cancel(now Time) {
	if p != nil {
		p.undo(now)
		p.free()
	}
}

// Leave ends what Enter began: the request has its answer, or nobody waits for one. It has cost so
// much work at hosts, and its body had so many bytes.
func (p *Pass) Leave(now Time, work time.Duration, bytes int64) {
	if p == nil {
		return
	}
	for i := range p.n {
		t := &p.taken[i]
		r, owes := t.rule, 0.0
		switch {
		case r.Rate == 0:
		case r.Unit == Work:
			owes = work.Seconds()
		case r.Unit == Bytes:
			owes = float64(bytes) - t.charged
		}
		if owes > 0 {
			r.pay(now, t.hash, owes)
			if t.right != nil {
				t.right.Ask(owes)
			}
		}
		if t.open {
			r.leave(t.hash)
		}
	}
	p.free()
}

// Costs says whether any rule wants to know what work the request has been.
func (p *Pass) Costs() bool {
	for i := range p.n {
		if r := p.taken[i].rule; r.Rate > 0 && r.Unit == Work {
			return true
		}
	}
	return false
}

func (r *Rule) fields(now Time, s stand) fields {
	part := r.fleet.Part(now)
	return fields{rule: r, left: s.left, reset: s.reset, rate: r.Rate * part, burst: r.Burst * part}
}

// Fields are RateLimit-Policy and RateLimit for an answer (draft-ietf-httpapi-ratelimit-headers-10);
// "": nothing is told.
func (p *Pass) Fields() (policy, limit string) {
	if p == nil || p.told.rule == nil {
		return "", ""
	}
	return p.told.text()
}

// Fields are the same for a refusal.
func (r *Refusal) Fields() (policy, limit string) {
	if r.limit.rule == nil {
		return "", ""
	}
	return r.limit.text()
}

func (f *fields) text() (policy, limit string) {
	name := strconv.Quote(f.rule.Name)
	quota := math.Floor(f.burst+rounding) + 1
	unit := ""
	if f.rule.Unit != Requests {
		quota = math.Ceil(f.burst)
		unit = `;qu="content-bytes"`
		if f.rule.Unit == Work {
			unit = `;qu="seconds"`
		}
	}
	window := max(1, math.Ceil(quota/f.rate))
	return fmt.Sprintf("%s;q=%.0f;w=%.0f%s", name, quota, min(window, longest.Seconds()), unit),
		fmt.Sprintf("%s;r=%.0f;t=%.0f", name, f.left, math.Ceil(f.reset.Seconds()))
}

// Standing is how a request's key stands against one rule, for operators.
type Standing struct {
	Rule   string
	Key    string
	About  bool // the rule is about the request
	Absent bool // it lacks a part of the key
	Over   bool // it would be turned away now
	DryRun bool // ... if the rule turned anybody away
	Wait   time.Duration
	After  time.Duration
	Left   float64
	Rate   float64 // units a second here now
	Part   float64 // of the fleet's, for this key
	Shared bool    // that goes by what comes
	Open   int     // at a time, now
	Most   int     // that there may be
}

// Explain says how a request stands against each rule, and charges it nothing.
func (g Gate) Explain(now Time, a *Ask) (list []Standing) {
	for _, r := range g {
		s := Standing{Rule: r.Name, Key: r.KeyName(a), DryRun: r.DryRun}
		key, whole := r.append(nil, a)
		s.Absent = !whole
		if s.About = whole || r.Together; !whole {
			key = nil
		}
		for _, n := range r.Exempt {
			s.About = s.About && !n.Contains(a.Address.Unmap().WithZone(""))
		}
		if s.About {
			hash := maphash.Bytes(r.seed, key)
			if r.Rate > 0 {
				have, right, _ := r.rights(now, key, 0)
				set, e := r.table.Get(hash, int64(now), have.even)
				st := have.stand(e.Level(set.Now, have.rate), 1)
				set.Unlock()
				s.Over, s.Wait, s.After, s.Left, s.Rate, s.Part, s.Shared = st.over, st.wait, st.after, st.left, have.rate, have.rate/r.Rate, right != nil
			}
			if r.Open > 0 {
				s.Most = max(1, int(float64(r.Open)*r.fleet.Part(now)+rounding))
				o := &r.open[hash%openShards]
				o.mu.Lock()
				s.Open = o.n[hash]
				o.mu.Unlock()
				s.Over = s.Over || s.Open >= s.Most
			}
		}
		list = append(list, s)
	}
	return list
}

// Status is a rule, for operators.
type Status struct {
	Name   string
	Counts Counts
	Keys   int // that have something left to drain
	Most   int // that the table holds
	Bytes  int
	// GaveWay are keys that gave way to others, Forgotten those of them of which nothing is known
	// any more.
	GaveWay, Forgotten int64
	Open               int
	Part               float64
	Heavy              []HeavyKey
}

// HeavyKey is a key that is turned away often.
type HeavyKey struct {
	Name string
	Away float64 // of late: the last ten seconds count most
}

// Status is how a rule stands; named: keys by their names, and not by hashes.
func (r *Rule) Status(now Time, named bool) Status {
	s := Status{Name: r.Name, Counts: r.Counts(), Open: r.OpenNow(), Part: r.fleet.Part(now)}
	if r.table != nil {
		r.table.Each(int64(now), max(r.Rate*s.Part, math.SmallestNonzeroFloat32), func(float64) { s.Keys++ })
		c := r.table.Counts()
		s.Most, s.Bytes, s.GaveWay, s.Forgotten = r.table.Keys(), r.table.Bytes(), c.GaveWay, c.Forgotten
	}
	r.heavyMu.Lock()
	defer r.heavyMu.Unlock()
	for _, k := range r.heavy.Top(10) {
		name := fmt.Sprintf("%012x", k.Hash>>16)
		if named {
			name = k.Name
		}
		s.Heavy = append(s.Heavy, HeavyKey{name, k.Count})
	}
	return s
}
