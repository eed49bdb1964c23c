package inflight

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// fleet is gateways that tell one another on one clock set by hand, over links that lose, double and
// delay. All follows from a seed.
type fleet struct {
	now   Time
	r     *rand.Rand
	books []*Store
	names []string
	drawn [][]HostID
	out   []map[HostID]int // what is out in truth
	held  []map[HostID]News
	post  []letter
	loss  float64
	way   Time
	cut   func(from, to int) bool
}

type letter struct {
	at   Time
	from int
	p    Packet
}

func newFleet(seed uint64, gateways, hosts, part int) *fleet {
	f := &fleet{r: rand.New(rand.NewPCG(seed, 5)), now: time.Second, way: 2 * time.Millisecond}
	for i := range gateways {
		f.names = append(f.names, fmt.Sprint("g", i))
		f.books = append(f.books, New(f.names[i], uint32(i+1)))
		var list []HostID
		for k := range part {
			list = append(list, HostID((i*part+k*7)%hosts))
		}
		f.drawn = append(f.drawn, list)
		f.out = append(f.out, map[HostID]int{})
		f.held = append(f.held, map[HostID]News{})
	}
	for i, b := range f.books {
		b.View(f.now, f.names)
		b.Draws(f.now, f.drawn[i])
	}
	return f
}

// run plays a time in steps of a millisecond; each gateway begins and ends attempts so often a second.
func (f *fleet) run(length Time, rate float64) {
	for end := f.now + length; f.now < end; f.now += time.Millisecond {
		later := f.post[:0]
		for _, l := range slices.Clone(f.post) {
			if l.at > f.now {
				later = append(later, l)
				continue
			}
			if to := slices.Index(f.names, l.p.To); f.cut == nil || !f.cut(l.from, to) {
				f.books[to].Take(f.now, l.p.Data)
			}
		}
		f.post = later
		for i, b := range f.books {
			if f.r.Float64() < rate/1000 {
				if h := f.drawn[i][f.r.IntN(len(f.drawn[i]))]; f.out[i][h] > 0 && f.r.IntN(2) == 0 {
					f.out[i][h]--
					b.Out(f.now, h, -1)
				} else if f.out[i][h] < mostCount {
					f.out[i][h]++
					b.Out(f.now, h, 1)
				}
			}
			if f.now%time.Second == 0 {
				b.Draws(f.now, f.drawn[i])
			}
			if b.Next(f.now) > f.now {
				continue
			}
			out, news := b.Tick(f.now)
			for _, p := range out {
				for range 1 + f.r.IntN(2) { // half of all come twice
					if f.r.Float64() >= f.loss {
						f.post = append(f.post, letter{f.now + f.way/2 + Time(f.r.Int64N(int64(f.way))), i, p})
					}
				}
			}
			for _, n := range news {
				f.held[i][n.Host] = n
			}
		}
	}
}

// others is what others than one have out at a host.
func (f *fleet) others(i int, h HostID) (n int) {
	for k, out := range f.out {
		if k != i {
			n += out[h]
		}
	}
	return n
}

// off is by how much what is held of hosts that a gateway draws from is off, in the mean.
func (f *fleet) off() (mean float64) {
	n := 0.0
	for i := range f.books {
		for _, h := range f.drawn[i] {
			x := f.held[i][h]
			if x.Until <= f.now {
				x.Out = 0
			}
			mean, n = mean+max(x.Out-float64(f.others(i, h)), float64(f.others(i, h))-x.Out), n+1
		}
	}
	return mean / n
}

// What others have out is known to those that draw from the host, also where packets are lost and come
// twice or in disorder, and once nothing has changed for Lasts it is known to the attempt.
func TestCountsAreKnown(t *testing.T) {
	for seed := range uint64(40) {
		f := newFleet(seed, 4+int(seed)%12, 24, 4)
		f.loss = []float64{0, 0, 0.1, 0.3}[seed%4]
		f.way = []Time{2, 20, 60}[seed%3] * time.Millisecond
		f.run(6*time.Second, 4)
		mean := 0.0
		for range 20 {
			f.run(100*time.Millisecond, 4)
			mean += f.off() / 20
		}
		if mean > 0.15+2*f.loss {
			t.Errorf("seed %d, loss %v: what is held is off by %.2f in the mean", seed, f.loss, mean)
		}
		peace := Lasts + again
		if f.loss > 0 {
			f.loss, peace = 0, peace+usesEvery
		}
		if f.run(peace, 0); f.off() > 0 {
			t.Errorf("seed %d: in peace what is held is off by %.2f", seed, f.off())
		}
	}
}

// News that is older than it may be is not held: of one who is cut off or gone nothing is left after
// Lasts, and what comes over a slow way counts in part, then not at all.
func TestOldNewsEnds(t *testing.T) {
	f := newFleet(1, 6, 6, 6)
	f.run(4*time.Second, 4)
	for h := range HostID(6) {
		if f.out[0][h] == 0 {
			f.out[0][h]++
			f.books[0].Out(f.now, h, 1)
		}
	}
	f.run(100*time.Millisecond, 0)
	if f.off() > 0 {
		t.Fatalf("off by %.2f before the cut", f.off())
	}
	f.cut = func(from, to int) bool { return from == 0 && to != 0 } // one way: it hears, and is not heard
	f.run(Lasts+2*scanEvery, 0)
	for i, b := range f.books[1:] {
		for _, s := range b.Status(f.now) {
			if slices.ContainsFunc(s.Reporters, func(t Reporter) bool { return t.Name == "g0" }) {
				t.Errorf("gateway %d holds what one said that it has not heard for %v", i+1, Lasts+2*scanEvery)
			}
		}
	}
	f.cut = nil
	f.run(Lasts, 0)
	if f.off() > 0 {
		t.Errorf("off by %.2f after the cut", f.off())
	}
	f.books[1].View(f.now, f.names[1:])
	if f.run(scanEvery, 0); slices.ContainsFunc(f.books[1].Status(f.now), func(s Status) bool {
		return slices.ContainsFunc(s.Reporters, func(t Reporter) bool { return t.Name == "g0" })
	}) {
		t.Error("one that is held alive no more has its word still")
	}
	for _, c := range []struct {
		way         Time
		least, most float64
	}{{50 * time.Millisecond, 1, 1}, {180 * time.Millisecond, 0.2, 0.8}, {400 * time.Millisecond, 0, 0}} {
		f := newFleet(2, 2, 4, 4)
		f.way = c.way
		f.run(8*time.Second, 4)
		for h := range HostID(4) {
			f.out[0][h]++
			f.books[0].Out(f.now, h, 1)
		}
		f.run(time.Second, 0)
		for _, s := range f.books[1].Status(f.now) {
			for _, reporter := range s.Reporters {
				if reporter.Weight < c.least || reporter.Weight > c.most {
					t.Errorf("a way of %v: a word counts %v", c.way, reporter.Weight)
				}
			}
		}
	}
}

// However many hosts change, no more packets go out than the rate lets; and all are told in the end.
func TestTheRateHolds(t *testing.T) {
	f := newFleet(3, 60, 8, 8)
	f.run(2*time.Second, 200)
	before := int64(0)
	for _, b := range f.books {
		before += b.Counts().Sent
	}
	f.run(2*time.Second, 200)
	sent := -before
	for _, b := range f.books {
		sent += b.Counts().Sent
	}
	if most := int64(60 * (2*perSec + burst)); sent > most {
		t.Errorf("%d packets, %d at most", sent, most)
	}
	f.run(Lasts+time.Second, 0)
	if f.off() > 0 {
		t.Errorf("in peace what is held is off by %.2f", f.off())
	}
}

// A liar says of each host mostCount at most, and only of hosts; whoever is no member says nothing.
func TestLiarsAreBounded(t *testing.T) {
	b := New("a", 1)
	b.View(0, []string{"a", "liar"})
	m := message{kind: kindOut, from: "liar", session: 7, stamp: 5, held: noEcho, list: []count{{1, 200}, {2, 3}}}
	b.peers["liar"].tripped = true
	b.Take(time.Second, m.encode())
	_, news := b.Tick(time.Second)
	if len(news) != 2 || news[0].Out > mostCount || news[1].Out != 3 {
		t.Errorf("%+v", news)
	}
	twice := m.encode()
	copy(twice[len(twice)-9:], twice[len(twice)-18:len(twice)-9]) // one host twice
	b.Take(time.Second, twice)
	m.from = "nobody"
	b.Take(time.Second, m.encode())
	if c := b.Counts(); c.Taken != 1 || c.Strange != 2 {
		t.Errorf("%+v", c)
	}
	b.Tick(time.Second + Lasts)
	if s := b.Status(time.Second + Lasts); len(s) != 0 {
		t.Errorf("held beyond its time: %+v", s)
	}
}

func FuzzTake(f *testing.F) {
	for _, m := range []message{{kind: kindDraws, from: "p", list: []count{{1, 0}, {9, 0}}}, {kind: kindOut, from: "p", stamp: 3, list: []count{{1, 2}}}, {kind: kindDraws, from: "p", all: true}} {
		f.Add(m.encode(), m.encode())
	}
	f.Fuzz(func(t *testing.T, x, y []byte) {
		b := New("a", 1)
		b.View(0, []string{"a", "p"})
		b.Out(0, 1, 1)
		for i, data := range [][]byte{x, y, x} {
			now := Time(i) * 300 * time.Millisecond
			b.Take(now, data)
			b.Out(now, 9, 1)
			b.Tick(now)
		}
		b.Draws(time.Second, nil)
		b.Tick(time.Second + Lasts)
		for h, s := range b.sums {
			if s.parts != 0 {
				t.Errorf("host %d: %d parts are left", h, s.parts)
			}
		}
	})
}

// While packets are short one member that asks again and again does not keep the others from being told where
// this gateway draws.
func TestNobodyIsLeftOutWhilePacketsAreShort(t *testing.T) {
	b := New("self", 1)
	b.View(0, []string{"a", "b", "c"})
	told := map[string]bool{}
	for now := scanEvery; now < time.Second; now += scanEvery {
		b.tokens = 2
		b.peers["a"].greetAt = now // it has asked
		for _, p := range b.scan(now) {
			told[p.To] = true
		}
	}
	if len(told) != 3 {
		t.Errorf("told are %v", told)
	}
}
