// Package subset chooses which hosts of a large pool each gateway of a fleet uses, so that the
// number of connections at a host stays bounded and the load stays even. The gateways do not
// coordinate: each computes its subset from its own number, the number of gateways and the host
// list. The package performs no I/O and reads no clock.
//
// Hosts choose gateways: each host takes the m gateways with its highest scores (rendezvous
// hashing, Thaler and Ravishankar 1998), skipping those that are at capacity (consistent hashing
// with bounded loads, Mirrokni, Thorup and Zadimoghaddam 2016). So every host is used by exactly
// m gateways, no gateway uses many more hosts than another, and adding or removing a host changes
// few assignments besides its own. A gateway that assumes a different number of gateways differs
// from the others only where the additional or missing gateways score highest.
//
// Where hosts belong to groups that suppress each other's client retries, the hosts of a group may
// choose in small teams, so that a keyed request finds another host of its group in the same
// subset. A team covers a range of the key space, which is found by repeated halving, so it stays
// the same team as hosts are added to it or removed from it.
package subset

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Host holds the properties of a host that the choice depends on.
type Host struct {
	Key   uint64 // the same at every gateway, uniformly distributed
	Zone  int
	Group int // group of hosts that suppress each other's client retries
}

// Fleet describes the gateways that share a pool, and how they divide it.
type Fleet struct {
	Count int // gateways, at least 1
	// IDs are the identities of the gateways, indexed by gateway number, Count of them. With them,
	// a gateway that is added or removed changes few assignments besides its own. If IDs is nil,
	// the gateway numbers are used as identities.
	IDs   []uint64
	Meet  int // minimum number of gateways that use a host; 0 means 12
	Least int // minimum number of hosts that a gateway uses; 0 means 24
	// Together keeps hosts of one zone and group in teams, for classes whose client retries are
	// suppressed only within a group. Each host that is added or removed then changes more
	// assignments.
	Together bool
}

// Defaults for the fields of Fleet that are 0.
const (
	Meet  = 12
	Least = 24
	// loadFactor is the capacity of a gateway as a multiple of its even share of the assignments.
	loadFactor = 1.25
	// minTeamSize is the minimum number of hosts in a team, if the group has that many.
	minTeamSize = 2
	// sharersStep is the granularity of the number of sharers of a host. With an exact number,
	// each host added to or removed from a small pool would change it, and with it the
	// assignments of all hosts.
	sharersStep = 4
)

// Sharers returns the number of gateways that use each host of a pool with the given number of
// hosts.
func (b Fleet) Sharers(hosts int) int {
	count := max(b.Count, 1)
	if hosts == 0 {
		return count
	}
	n := max(cmp.Or(b.Meet, Meet), (cmp.Or(b.Least, Least)*count+hosts-1)/hosts)
	return min(count, (n+sharersStep/2)/sharersStep*sharersStep)
}

// Choose marks the hosts that gateway number rank uses, in the order of the list. The number of
// sharers of each host is multiplied by wider, for a subset with many broken hosts; values below 1
// count as 1.
func (b Fleet) Choose(hosts []Host, rank, wider int) (selected []bool) {
	selected = make([]bool, len(hosts))
	b.Count = max(b.Count, rank+1)
	b.assign(hosts, wider, func(host, gateway int) {
		selected[host] = selected[host] || gateway == rank
	})
	return selected
}

// Assign returns the choice of all gateways: for each host, the numbers of the gateways that use it.
func (b Fleet) Assign(hosts []Host, wider int) [][]int {
	out := make([][]int, len(hosts))
	b.assign(hosts, wider, func(host, gateway int) { out[host] = append(out[host], gateway) })
	return out
}

func (b Fleet) assign(hosts []Host, wider int, use func(host, gateway int)) {
	count := max(b.Count, 1)
	sharers := min(count, b.Sharers(len(hosts))*max(wider, 1))
	room := make([]int, count) // remaining capacity of each gateway, in hosts
	maxHosts := int(math.Ceil(loadFactor * float64(sharers) * float64(len(hosts)) / float64(count)))
	for g := range room {
		room[g] = maxHosts
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

// team is a set of hosts that choose the same gateways.
type team struct {
	key   uint64
	hosts []int
}

// teams returns all hosts divided into teams, or one team per host if together is false, in an
// order that does not depend on the order of the list.
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
		list = splitTeams(list, hosts, order[:n], key, 1<<63)
		order = order[n:]
	}
	slices.SortFunc(list, func(x, y team) int { return cmp.Compare(x.key, y.key) })
	return list
}

// splitTeams divides the hosts of a range of the key space, which are sorted by key, by the next
// bit of their keys, as long as both halves have at least minTeamSize hosts. It appends the
// resulting teams to list.
func splitTeams(list []team, hosts []Host, members []int, key, bit uint64) []team {
	half := 0
	for half < len(members) && hosts[members[half]].Key&bit == 0 {
		half++
	}
	switch {
	case bit <= 1 || len(members) < 2*minTeamSize:
	case half >= minTeamSize && len(members)-half >= minTeamSize:
		list = splitTeams(list, hosts, members[:half], mix(key^bit), bit>>1)
		return splitTeams(list, hosts, members[half:], mix(key^bit^1), bit>>1)
	case half == 0 || half == len(members): // all in one half: the next bit may divide them
		return splitTeams(list, hosts, members, key, bit>>1)
	}
	return append(list, team{key, members})
}

type scored struct {
	score   uint64
	gateway int
}

// choose returns the n gateways with the highest scores that have room for the team. If there are
// too few, they are followed by those of the others that have the most room. It reuses the memory
// of list.
func (t *team) choose(room []int, ids []uint64, n int, list []scored) []scored {
	list = list[:0]
	for g := range room {
		if room[g] < len(t.hosts) {
			continue
		}
		s := scored{mix(t.key ^ mix(gatewayID(ids, g))), g}
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
			list = append(list, scored{mix(t.key ^ mix(gatewayID(ids, g))), g})
		}
	}
	slices.SortFunc(list[first:], func(x, y scored) int {
		return cmp.Or(cmp.Compare(room[y.gateway], room[x.gateway]), cmp.Compare(y.score, x.score))
	})
	return list[:min(n, len(list))]
}

func gatewayID(ids []uint64, g int) uint64 {
	if g < len(ids) {
		return ids[g]
	}
	return uint64(g)
}

// mix returns a well-distributed hash of a number (splitmix64).
func mix(z uint64) uint64 {
	z += 0x9e3779b97f4a7c15
	z = (z ^ z>>30) * 0xbf58476d1ce4e5b9
	z = (z ^ z>>27) * 0x94d049bb133111eb
	return z ^ z>>31
}

// Width determines by what factor a subset is wider than usual. A subset of which more than half
// of the hosts are broken is widened to twice, then four times its usual size, and narrowed again by
// one step per minute once few hosts are broken. The zero value is ready for use.
type Width struct {
	n       int
	since   time.Duration // time of the last change, or later while too many hosts are broken to narrow
	started bool
}

const (
	maxWidth    = 4
	widenAfter  = time.Second // minimum time between two steps up
	narrowAfter = time.Minute // time with few broken hosts before a step down
)

// Look takes the number of hosts in the subset and how many of them cannot be connected to, and
// returns the factor by which the subset is to be wider than usual. The caller passes the time.
func (w *Width) Look(now time.Duration, hosts, broken int) int {
	if !w.started {
		w.started, w.n = true, 1
		w.since = now - widenAfter
	}
	switch {
	case 2*broken > hosts && w.n < maxWidth && now-w.since >= widenAfter:
		w.n, w.since = 2*w.n, now
	case 4*broken > hosts:
		w.since = max(w.since, now-widenAfter) // too many broken hosts for the time to count towards narrowing
	case w.n > 1 && now-w.since >= narrowAfter:
		w.n, w.since = w.n/2, now
	}
	return w.n
}
