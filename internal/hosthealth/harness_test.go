package hosthealth

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// fleet is gateways that ask hosts and tell one another, on one clock set by hand. All follows from a
// seed.
type fleet struct {
	r     *rand.Rand
	now   Time
	books []*Store
	names []string
	hosts int
	loss  float64
	mail  []letter
	// meets says what a gateway meets at a host; nil: an answer.
	meets func(g, h int) Outcome
	// lies changes what a gateway says; nil: nothing does.
	lies func(g int, p Packet) []Packet
	// avoids: who asks keeps away from hosts that are held down; with tries only while others try them.
	avoids, tries bool
	zones         int // that gateways are of, by turns; 0: none
	verdicts      []map[HostID]Verdict
	bad           int // attempts that were no answer
	packets       int
}

func named(names ...string) (list []Member) {
	for _, n := range names {
		list = append(list, Member{Name: n})
	}
	return list
}

// members are all gateways, those of one number in a zone.
func (f *fleet) members() (list []Member) {
	for g, n := range f.names {
		m := Member{Name: n}
		if f.zones > 0 {
			m.Zone = fmt.Sprint(g % f.zones)
		}
		list = append(list, m)
	}
	return list
}

type letter struct {
	at   Time
	to   int
	data []byte
}

func newFleet(seed uint64, gateways, hosts int) *fleet { return newZones(seed, gateways, hosts, 0) }

// newZones is one of gateways in so many zones by turns.
func newZones(seed uint64, gateways, hosts, zones int) *fleet {
	f := &fleet{r: rand.New(rand.NewPCG(seed, 40)), now: time.Second, hosts: hosts, zones: zones}
	list := map[HostID]int64{}
	for h := range hosts {
		list[HostID(h)] = 7
	}
	for g := range gateways {
		f.names = append(f.names, fmt.Sprintf("g%03d", g))
	}
	for _, m := range f.members() {
		b := New(Config{Self: m.Name, Zone: m.Zone, Lasts: lasts, Classes: Classes})
		b.View(f.members())
		b.List(f.now, list)
		f.books = append(f.books, b)
		f.verdicts = append(f.verdicts, map[HostID]Verdict{})
	}
	return f
}

// run has each gateway ask so often a second, at any host that it does not hold down.
func (f *fleet) run(length time.Duration, rate float64, each func()) {
	step := 20 * ms
	for end := f.now + length; f.now < end; f.now += step {
		f.mail = slices.DeleteFunc(f.mail, func(l letter) bool {
			if l.at > f.now {
				return false
			}
			f.books[l.to].Take(f.now, l.data)
			return true
		})
		for g, b := range f.books {
			if f.r.Float64() < rate*step.Seconds() {
				h := f.r.IntN(f.hosts)
				if v := f.verdicts[g][HostID(h)]; !f.avoids || !v.Down || f.now >= v.Until || f.tries && !v.Wait {
					o := Answered
					if f.meets != nil {
						o = f.meets(g, h)
					}
					if o != Answered {
						f.bad++
					}
					b.Saw(f.now, HostID(h), g, o, 0)
				}
			}
			if (f.now/step+Time(g))%(b.Every()/step) != 0 {
				continue
			}
			out, changed := b.Tick(f.now)
			for _, v := range changed {
				f.verdicts[g][v.Host] = v
			}
			for _, p := range slices.Clone(out) {
				list := []Packet{p}
				if f.lies != nil {
					list = f.lies(g, p)
				}
				for _, q := range list {
					if f.packets++; f.r.Float64() >= f.loss {
						f.mail = append(f.mail, letter{f.now + time.Duration(f.r.IntN(10))*ms, slices.Index(f.names, q.To), q.Data})
					}
				}
			}
		}
		if each != nil {
			each()
		}
	}
}

// doubts is what gateways but the first so many hold of a host: the most doubt, and how many hold it
// down.
func (f *fleet) doubts(host, from int) (most float64, down int) {
	for g := from; g < len(f.books); g++ {
		v := f.verdicts[g][HostID(host)]
		if f.now >= v.Until {
			continue
		}
		if most = max(most, v.Doubt); v.Down {
			down++
		}
	}
	return most, down
}

func seq(n int) (list []int) {
	for i := range n {
		list = append(list, i)
	}
	return list
}
