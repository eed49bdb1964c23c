// Package subset chooses which hosts of a large pool each gateway of a fleet uses, so that
// connections at a host stay bounded and load stays even. Gateways share nothing: each knows
// its number, how many there are and the list. It does no I/O and reads no clock.
//
// Hosts choose gateways: each host takes the m gateways with its highest scores (rendezvous
// hashing, Thaler and Ravishankar 1998), passing over those that have their fill (consistent
// hashing with bounded loads, Mirrokni, Thorup and Zadimoghaddam 2016). So every host meets
// exactly m gateways, no gateway holds many more hosts than another, and a host that comes or
// goes changes little but its own places. A gateway that believes in another count moves only
// where the gateways it adds or misses score highest.
//
// Where hosts stand in groups that drop each other's repeats, the hosts of a group may choose in
// small teams, so that a keyed request finds another host of its group in the same subset. A
// team is a part of the space of keys that is cut in halves, so it stays the same team
// whichever hosts come and go in it.
package subset

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Host is what a choice looks at.
type Host struct {
	Key   uint64 // the same at every gateway, scattered
	Zone  int
	Group int // that drops repeats
}

// Fleet is the gateways that share a pool, and how they do.
type Fleet struct {
	Count int // gateways, at least 1
	// IDs are those of the gateways by number, Count of them, where they are known by more than
	// their numbers: a gateway more or less then moves no more places than its own. nil: the
	// numbers are all.
	IDs   []uint64
	Meet  int // gateways that a host is to meet at least; 0: 12
	Least int // hosts that a gateway is to have at least; 0: 24
	// Together keeps hosts of one zone and group in teams, for classes whose repeats only a
	// group drops. Each host that comes or goes then moves more places.
	Together bool
}

// Defaults for what is 0.
const (
	Meet  = 12
	Least = 24
	// slack is the places that a gateway has, over what an even part would be.
	slack = 1.25
	// teamLeast is how many hosts of a group stay together at least, where there are so many.
	teamLeast = 2
	// step is what the number of gateways a host meets is a multiple of: were it exact, each
	// host more or less of a small pool would change it, and move places of all.
	step = 4
)

// Sharers is how many gateways each of so many hosts meets.
func (b Fleet) Sharers(hosts int) int {
	count := max(b.Count, 1)
	if hosts == 0 {
		return count
	}
	n := max(cmp.Or(b.Meet, Meet), (cmp.Or(b.Least, Least)*count+hosts-1)/hosts)
	return min(count, (n+step/2)/step*step)
}

// Choose marks the hosts that gateway number rank uses, in the order of the list. Wider is
// how many times more gateways than usual a host meets, for a subset in trouble; at least 1.
func (b Fleet) Choose(hosts []Host, rank, wider int) (mine []bool) {
	mine = make([]bool, len(hosts))
	b.Count = max(b.Count, rank+1)
	b.assign(hosts, wider, func(host, gateway int) {
		mine[host] = mine[host] || gateway == rank
	})
	return mine
}

// Assign is what all gateways choose: for each host, the numbers of those that use it.
func (b Fleet) Assign(hosts []Host, wider int) [][]int {
	out := make([][]int, len(hosts))
	b.assign(hosts, wider, func(host, gateway int) { out[host] = append(out[host], gateway) })
	return out
}

func (b Fleet) assign(hosts []Host, wider int, use func(host, gateway int)) {
	count := max(b.Count, 1)
	sharers := min(count, b.Sharers(len(hosts))*max(wider, 1))
	room := make([]int, count) // places left at each gateway
	most := int(math.Ceil(slack * float64(sharers) * float64(len(hosts)) / float64(count)))
	for g := range room {
		room[g] = most
	}
	scores := make([]scored, 0, count)
	for _, t := range teams(hosts, b.Together) {
		for _, s := range t.choose(room, b.IDs, sharers, scores) {
			room[s.gateway] -= len(t.hosts)
			for _, i := range t.hosts {
				use(i, s.gateway)
			}
		}
	}
}

// team is hosts that choose together.
type team struct {
	key   uint64
	hosts []int
}

// teams are all hosts in teams, or each alone, in an order that does not depend on the list's.
func teams(hosts []Host, together bool) (list []team) {
	if !together {
		for i := range hosts {
			list = append(list, team{mix(hosts[i].Key), []int{i}})
		}
		slices.SortFunc(list, func(x, y team) int { return cmp.Compare(x.key, y.key) })
		return list
	}
	order := make([]int, len(hosts))
	for i := range order {
		order[i] = i
	}
	slices.SortFunc(order, func(x, y int) int {
		a, b := &hosts[x], &hosts[y]
		return cmp.Or(cmp.Compare(a.Zone, b.Zone), cmp.Compare(a.Group, b.Group), cmp.Compare(a.Key, b.Key))
	})
	for len(order) > 0 {
		first := hosts[order[0]]
		n := 1
		for n < len(order) && hosts[order[n]].Zone == first.Zone && hosts[order[n]].Group == first.Group {
			n++
		}
		key := mix(mix(uint64(first.Zone)+1) ^ uint64(first.Group))
		list = cut(list, hosts, order[:n], key, 1<<63)
		order = order[n:]
	}
	slices.SortFunc(list, func(x, y team) int { return cmp.Compare(x.key, y.key) })
	return list
}

// cut divides the hosts of a part of the space of keys, which are in order, by the next bit
// of their keys, while both halves have enough.
func cut(list []team, hosts []Host, part []int, key, bit uint64) []team {
	at := 0
	for at < len(part) && hosts[part[at]].Key&bit == 0 {
		at++
	}
	switch {
	case bit <= 1 || len(part) < 2*teamLeast:
	case at >= teamLeast && len(part)-at >= teamLeast:
		list = cut(list, hosts, part[:at], mix(key^bit), bit>>1)
		return cut(list, hosts, part[at:], mix(key^bit^1), bit>>1)
	case at == 0 || at == len(part): // all in one half: the next bit may part them
		return cut(list, hosts, part, key, bit>>1)
	}
	return append(list, team{key, part})
}

type scored struct {
	score   uint64
	gateway int
}

// choose returns the n gateways of highest score that have room for the team; where too few
// have, those with the most room come after them. It uses the memory of list.
func (t *team) choose(room []int, ids []uint64, n int, list []scored) []scored {
	list = list[:0]
	for g := range room {
		if room[g] < len(t.hosts) {
			continue
		}
		s := scored{mix(t.key ^ mix(idOf(ids, g))), g}
		if len(list) < n {
			list = append(list, s)
		} else if s.score < list[n-1].score {
			continue
		}
		i := len(list) - 1
		for ; i > 0 && list[i-1].score < s.score; i-- {
			list[i] = list[i-1]
		}
		list[i] = s
	}
	if len(list) == n {
		return list
	}
	first := len(list)
	for g := range room {
		if room[g] < len(t.hosts) {
			list = append(list, scored{mix(t.key ^ mix(idOf(ids, g))), g})
		}
	}
	slices.SortFunc(list[first:], func(x, y scored) int {
		return cmp.Or(cmp.Compare(room[y.gateway], room[x.gateway]), cmp.Compare(y.score, x.score))
	})
	return list[:min(n, len(list))]
}

func idOf(ids []uint64, g int) uint64 {
	if g < len(ids) {
		return ids[g]
	}
	return uint64(g)
}

// mix scatters the values of a number (splitmix64).
func mix(z uint64) uint64 {
	z += 0x9e3779b97f4a7c15
	z = (z ^ z>>30) * 0xbf58476d1ce4e5b9
	z = (z ^ z>>27) * 0x94d049bb133111eb
	return z ^ z>>31
}

// Width says how much wider than usual a subset is, for one whose hosts are mostly broken:
// twice, then four times, and back one step a minute when it is well.
type Width struct {
	n       int
	since   time.Duration // of the last change
	started bool
}

const (
	widest     = 4
	widenAfter = time.Second // between two steps up
	narrowWait = time.Minute // and before one down
)

// Look is told how many hosts the subset has now and how many of them can't be connected to,
// and returns how many times wider it is to be.
func (w *Width) Look(now time.Duration, hosts, broken int) int {
	if !w.started {
		w.started, w.n = true, 1
		w.since = now - widenAfter
	}
	switch {
	case 2*broken > hosts && w.n < widest && now-w.since >= widenAfter:
		w.n, w.since = 2*w.n, now
	case 4*broken > hosts:
		w.since = max(w.since, now-widenAfter) // not well enough to count the time
	case w.n > 1 && now-w.since >= narrowWait:
		w.n, w.since = w.n/2, now
	}
	return w.n
}
