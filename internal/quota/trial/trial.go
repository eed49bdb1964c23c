// Package trial plays the books of many gateways on one clock set by hand: links that delay,
// lose, double and cut, clocks that drift, gateways that die, stand still and come back, views
// that learn of it late. All follows from a seed. It is for tests and figures.
package trial

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"frostshift/internal/quota"
)

// Config is a world.
type Config struct {
	Seed     uint64
	Gateways int
	Typed    int // that each is told of; 0: Gateways
	Lease    time.Duration
	Drift    float64 // clocks' rates lie within it, and half of it is told to books as twice that
	Delay    time.Duration
	Jitter   time.Duration
	Loss     float64
	Twice    float64
	Detect   time.Duration // until a view has what is so
	Limits   []quota.Limit
	// Keyed makes each limit that of a key, which nobody knows until somebody wants more of it.
	Keyed bool
	// Demand is what is wanted of a limit at a gateway, in rights.
	Demand func(limit, gateway int, at time.Duration) float64
	// Lump is what one request wants, by chance as Demand says; 0: it comes evenly.
	Lump float64
	// Liar, where set, changes what a gateway sends; nil as its answer sends nothing.
	Liar func(gateway int, p quota.Packet) *quota.Packet
}

// World is a world at an instant.
type World struct {
	Config
	Now     time.Duration
	gates   []*gate
	mail    mail
	r       *rand.Rand
	reached func(from, to int) bool
	seq     int
	lives   []*life
	// Packets and Bytes are what was sent.
	Packets, Bytes int
}

type gate struct {
	n      int
	name   string
	rate   float64 // of its clock
	store  *quota.Store
	rights []part
	boot   uint64
	dead   bool
	still  bool
	heard  []time.Duration // since when others are reached; −1: not
	lost   []time.Duration // since when they are not
	view   []string
	box    [][]byte // what came while it stood still
	// heir is a second process that will take over; before are the rights of the one that did not
	// die when it was replaced.
	heir       *quota.Store
	heirRights []part
	before     []part
}

// part is a gateway's part of a limit.
type part struct {
	right  *quota.Right  // nil: it is a key's
	family *quota.Family // its rule
	amount float64
}

// key is the one that is played.
const key = 0x5eed5eed5eed5eed

func (p part) value(now quota.Time) float64 {
	r := p.right
	if r == nil {
		r = p.family.Right(key)
	}
	if r == nil {
		return p.amount * p.family.Part(now)
	}
	return r.Value(now)
}

// ask asks for so many units, at such a rate.
func (p part) ask(now quota.Time, units, rate float64) {
	r := p.right
	if r == nil {
		if r = p.family.Right(key); r == nil && rate > p.value(now) {
			r = p.family.Want(key)
		}
		if r == nil {
			return
		}
	}
	r.Ask(units)
}

// life is a process, and what even part it went by since when.
type life struct {
	gate  int
	ended time.Duration // 0: it lives
	since []time.Duration
	parts []float64
}

type letter struct {
	at   time.Duration
	seq  int
	to   int
	data []byte
}

type mail []letter

func (m mail) Len() int { return len(m) }
func (m mail) Less(i, j int) bool {
	return m[i].at < m[j].at || m[i].at == m[j].at && m[i].seq < m[j].seq
}
func (m mail) Swap(i, j int) { m[i], m[j] = m[j], m[i] }
func (m *mail) Push(x any)   { *m = append(*m, x.(letter)) }
func (m *mail) Pop() any {
	old := *m
	x := old[len(old)-1]
	*m = old[:len(old)-1]
	return x
}

// Step is how finely time goes.
const Step = 10 * time.Millisecond

// New makes a world whose gateways all start at once.
func New(c Config) *World {
	if c.Typed == 0 {
		c.Typed = c.Gateways
	}
	w := &World{Config: c, Now: time.Second, r: rand.New(rand.NewPCG(c.Seed, 39)), reached: func(int, int) bool { return true }}
	for n := range c.Gateways {
		g := &gate{n: n, name: fmt.Sprintf("g%03d", n), rate: 1 + c.Drift*(w.r.Float64()-0.5), heard: make([]time.Duration, c.Gateways), lost: make([]time.Duration, c.Gateways)}
		w.gates = append(w.gates, g)
		w.start(g)
	}
	return w
}

func (w *World) clock(g *gate) quota.Time { return quota.Time(float64(w.Now) * g.rate) }

func (w *World) start(g *gate) {
	g.boot++
	g.store, g.rights = w.process(g)
	g.heir, g.before = nil, nil
	w.begin(g)
}

// process is another process of a gateway.
func (w *World) process(g *gate) (b *quota.Store, rights []part) {
	b = quota.NewStore(w.clock(g), quota.Config{Self: g.name, Boot: g.boot, Lease: w.Lease, Drift: w.Drift, Typed: w.Typed})
	for _, l := range w.Limits {
		if w.Keyed {
			rights = append(rights, part{family: b.Family(l), amount: l.Amount})
		} else {
			rights = append(rights, part{right: b.Right(l)})
		}
	}
	return b, rights
}

// begin has a process that has begun hear of the others.
func (w *World) begin(g *gate) {
	g.dead, g.still, g.box, g.view = false, false, nil, nil
	w.end(g)
	w.lives = append(w.lives, &life{gate: g.n, since: []time.Duration{w.Now}, parts: []float64{1 / float64(w.Typed)}})
	for i := range g.heard {
		g.heard[i], g.lost[i] = -1, 0
	}
}

// Kill ends a gateway's process.
func (w *World) Kill(n int) {
	w.gates[n].dead = true
	w.end(w.gates[n])
}

// Start begins another process of a gateway.
func (w *World) Start(n int) { w.start(w.gates[n]) }

// Still stops a gateway's process.
func (w *World) Still(n int) { w.gates[n].still = true }

// Go lets a process that was stopped go on.
func (w *World) Go(n int) { w.gates[n].still = false }

// Upgrade begins a second process of a gateway, Take has it go on in place of the first, which
// has let go or died.
func (w *World) Upgrade(n int) {
	g := w.gates[n]
	g.boot++
	g.heir, g.heirRights = w.process(g)
}

// Take is the second half of Upgrade; nothing where there is no second process.
func (w *World) Take(n int) {
	g := w.gates[n]
	if g.heir == nil {
		return
	}
	if !g.dead { // it lives on until its last request has ended
		g.store.Retire()
		g.before = g.rights
	}
	g.store, g.rights, g.heir = g.heir, g.heirRights, nil
	g.store.Begin(w.clock(g))
	w.begin(g)
}

// Links says which packets arrive; nil: all.
func (w *World) Links(reached func(from, to int) bool) {
	if w.reached = reached; reached == nil {
		w.reached = func(int, int) bool { return true }
	}
}

func (w *World) end(g *gate) {
	for _, l := range w.lives {
		if l.gate == g.n && l.ended == 0 {
			l.ended = w.Now
		}
	}
}

// EvenParts bounds what of a limit that is mostly full can be in force: each process that has lived
// within the time that a loan binds counts with the largest even part that it has gone by.
func (w *World) EvenParts() (sum float64) {
	from := w.Now - time.Duration(float64(w.Lease)*(1+4*w.Drift)) - 2*Step
	w.lives = slices.DeleteFunc(w.lives, func(l *life) bool { return l.ended > 0 && l.ended < from })
	for _, l := range w.lives {
		most := 0.0
		for i, part := range l.parts {
			if i+1 == len(l.since) || l.since[i+1] >= from {
				most = max(most, part)
			}
		}
		sum += most
	}
	return sum
}

// views brings what gateways think of each other nearer to what is so.
func (w *World) views(g *gate) {
	changed := g.view == nil
	for _, o := range w.gates {
		if o == g {
			continue
		}
		is := !o.dead && !o.still && w.reached(o.n, g.n) && w.reached(g.n, o.n)
		if is {
			if w.Now-g.lost[o.n] >= w.Detect/4 && g.heard[o.n] < 0 {
				g.heard[o.n], changed = w.Now, true
			}
			if g.heard[o.n] >= 0 {
				g.lost[o.n] = w.Now
			}
		} else if w.Now-g.lost[o.n] >= w.Detect && g.heard[o.n] >= 0 {
			g.heard[o.n], changed = -1, true
			g.lost[o.n] = w.Now
		} else if g.heard[o.n] < 0 {
			g.lost[o.n] = w.Now
		}
	}
	if !changed {
		return
	}
	g.view = []string{}
	for _, o := range w.gates {
		if o != g && g.heard[o.n] >= 0 {
			g.view = append(g.view, o.name)
		}
	}
	most := len(w.gates)
	if len(g.view) == 0 && w.Now < 2*time.Second {
		most = 0
	}
	g.store.View(w.clock(g), g.view, most)
	for _, l := range w.lives {
		if l.gate == g.n && l.ended == 0 {
			part := 1 / float64(len(g.view)+1)
			if most == 0 {
				part = min(part, 1/float64(w.Typed))
			}
			l.since, l.parts = append(l.since, w.Now), append(l.parts, part)
		}
	}
}

func (w *World) post(from *gate, list []quota.Packet) {
	for _, p := range list {
		if w.Liar != nil {
			q := w.Liar(from.n, p)
			if q == nil {
				continue
			}
			p = *q
		}
		w.Packets++
		w.Bytes += len(p.Data)
		to := slices.IndexFunc(w.gates, func(g *gate) bool { return g.name == p.To })
		if to < 0 || !w.reached(from.n, to) || w.Loss > 0 && w.r.Float64() < w.Loss {
			continue
		}
		for range 1 + int(w.r.Float64()+w.Twice) {
			w.seq++
			delay := w.Delay
			if w.Jitter > 0 {
				delay += time.Duration(w.r.Int64N(int64(w.Jitter)))
			}
			heap.Push(&w.mail, letter{w.Now + delay, w.seq, to, slices.Clone(p.Data)})
		}
	}
}

func (w *World) deliver(g *gate, data []byte) {
	if g.dead {
		return
	}
	if g.still {
		if len(g.box) < 256 {
			g.box = append(g.box, data)
		}
		return
	}
	w.post(g, g.store.Take(w.clock(g), data))
}

// Run plays on, and calls each after every step.
func (w *World) Run(length time.Duration, each func()) {
	for end := w.Now + length; w.Now < end; {
		w.Now += Step
		for len(w.mail) > 0 && w.mail[0].at <= w.Now {
			l := heap.Pop(&w.mail).(letter)
			w.deliver(w.gates[l.to], l.data)
		}
		for _, g := range w.gates {
			if g.dead || g.still {
				continue
			}
			for _, data := range g.box {
				w.post(g, g.store.Take(w.clock(g), data))
			}
			g.box = nil
			w.views(g)
			for i, r := range g.rights {
				rate := w.Demand(i, g.n, w.Now)
				d := rate * Step.Seconds()
				for ; w.Lump > 0 && d > 0; d -= w.Lump {
					if d >= w.Lump || w.r.Float64() < d/w.Lump {
						r.ask(w.clock(g), w.Lump, rate)
					}
				}
				if d > 0 {
					r.ask(w.clock(g), d, rate)
				}
			}
			if every := g.store.Every(); w.Now%max(every.Round(Step), Step) == 0 {
				w.post(g, g.store.Tick(w.clock(g)))
			}
		}
		if each != nil {
			each()
		}
	}
}

// Here is what of a limit is in force at a gateway. One that stands still uses nothing; one that
// is dead has nothing.
func (w *World) Here(limit, n int) float64 {
	g := w.gates[n]
	if g.dead {
		return 0
	}
	sum := g.rights[limit].value(w.clock(g))
	if g.before != nil {
		sum += g.before[limit].value(w.clock(g))
	}
	return sum
}

// InForce is what of a limit is in force over all gateways, as a part of it.
func (w *World) InForce(limit int) (sum float64) {
	for n := range w.gates {
		sum += w.Here(limit, n)
	}
	return sum / w.Limits[limit].Amount
}

// Served is what of a limit is used over all gateways, as a part of it: at each what is wanted, up
// to what is in force.
func (w *World) Served(limit int) (sum float64) {
	for n, g := range w.gates {
		if !g.dead && !g.still {
			sum += min(w.Here(limit, n), w.Demand(limit, n, w.Now))
		}
	}
	return sum / w.Limits[limit].Amount
}

// Store is a gateway's store.
func (w *World) Store(n int) *quota.Store { return w.gates[n].store }

// Skew deals traffic out by a power law, in an order of gateways that has nothing to do with
// their names.
func Skew(gateways int, skew float64) []float64 {
	out, sum := make([]float64, gateways), 0.0
	for i := range out {
		out[i] = math.Pow(float64(i+1), -skew)
		sum += out[i]
	}
	for i := range out {
		out[i] /= sum
	}
	return out
}

// Draw is a source of chances.
func Draw(seed uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, 40)) }
