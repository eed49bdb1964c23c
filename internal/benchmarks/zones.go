package benchmarks

import (
	"fmt"
	"io"
	"math/rand/v2"
	"time"

	"frostshift"
	"frostshift/internal/emulator"
)

const (
	zoneCores  = 4
	zoneWork   = 10 * time.Millisecond // of a request, on average
	zoneNear   = 500 * time.Microsecond
	zoneFar    = 3 * time.Millisecond // there and back
	zoneLoad   = 0.5                  // of what all hosts together can do
	zoneWarm   = 5 * time.Second
	zoneLength = 10 * time.Second
	leastNear  = 0.9  // where the near zone has room for all
	mostBusy   = 0.95 // of a host's time
)

// zoneCase is gateways and hosts in zones.
type zoneCase struct {
	name     string
	gateways []int
	hosts    []int
	lost     bool // the first zone's hosts are gone from the middle on
}

var zoneCases = []zoneCase{
	{"even", []int{4, 4, 4}, []int{8, 8, 8}, false},
	{"a small zone", []int{4, 4, 4}, []int{2, 11, 11}, false},
	{"gateways unevenly spread", []int{10, 1, 1}, []int{8, 8, 8}, false},
	{"gateways where no hosts are", []int{6, 3, 3}, []int{0, 12, 12}, false},
	{"a zone is lost", []int{4, 4, 4}, []int{8, 8, 8}, true},
}

// zoneResult is what one case came to.
type zoneResult struct {
	near, refused, busiest, p50, p99 float64
}

func playZones(c zoneCase, prefer bool) (res zoneResult, err error) {
	s := emulator.Spec{Seed: 1, Zones: len(c.hosts), Pools: []emulator.PoolSpec{{Name: "p"}}, Length: time.Hour, Cost: emulator.Cost{Kind: "uniform", Mean: zoneWork, Shape: 0.5},
		Classes: []emulator.Class{{Name: "c", Part: 1, Class: frostshift.Class{Aim: 200 * time.Millisecond, Deadline: time.Second}}},
		Near:    zoneNear, Far: zoneFar, PreferNear: prefer, CrossPrice: 0.03, MaxAttempts: 4}
	for z, n := range c.gateways {
		for range n {
			s.Gateways++
			s.GatewayZones = append(s.GatewayZones, z)
		}
	}
	ids := rand.New(rand.NewPCG(1, 2))
	for z, n := range c.hosts {
		for range n {
			s.Pools[0].Hosts = append(s.Pools[0].Hosts, emulator.Host{ID: frostshift.HostID(ids.Uint64()), Cores: zoneCores, Queue: 1000, Speed: 1, Zone: z, Reuse: true, Keep: 1000})
		}
	}
	s.Rate = zoneLoad * float64(len(s.Pools[0].Hosts)*zoneCores) / zoneWork.Seconds()
	length := zoneLength
	if c.lost {
		s.Troubles = []emulator.Trouble{{Hosts: float64(c.hosts[0]) / float64(len(s.Pools[0].Hosts)), From: zoneWarm + zoneLength/2, Gone: true}}
		length /= 2
	}
	w, err := emulator.New(s)
	if err != nil {
		return res, err
	}
	w.Play(zoneWarm, nil)
	if c.lost { // what counts is how busy the others are from here on
		w.Play(zoneLength/2, nil)
	}
	w.Reset()
	w.Play(length, nil)
	t := &w.Totals
	res = zoneResult{near: float64(t.Near) / float64(t.Attempts), refused: float64(t.RefusedOverall) / float64(t.Requests), p50: t.Quantile(0.5), p99: t.Quantile(0.99)}
	for _, h := range w.Hosts(0) {
		res.busiest = max(res.busiest, h.Busy.Seconds()/length.Seconds()/zoneCores)
	}
	return res, nil
}

// runZones compares a preference for near hosts with none, in the emulator.
func runZones(out io.Writer) (string, bool, error) {
	fmt.Fprintf(out, "hosts with %d cores, work of %v on average, %v to a near host and back, %v to another zone's; load %.0f%% of all hosts\n", zoneCores, zoneWork, zoneNear, zoneFar, 100*zoneLoad)
	fmt.Fprintf(out, "%-28s %-8s %6s %9s %9s %8s %8s\n", "zones", "prefers", "near", "p50 ms", "p99 ms", "busiest", "refused")
	ok, near, busy := true, 0.0, 0.0
	for _, c := range zoneCases {
		for _, prefer := range []bool{false, true} {
			r, err := playZones(c, prefer)
			if err != nil {
				return "", false, err
			}
			word := "nothing"
			if prefer {
				word = "near"
				busy = max(busy, r.busiest)
				ok = ok && r.refused < 0.001 && r.busiest <= mostBusy
				if c.name == "even" {
					near = r.near
					ok = ok && near >= leastNear
				}
			}
			fmt.Fprintf(out, "%-28s %-8s %6.3f %9.1f %9.1f %8.2f %8.4f\n", c.name, word, r.near, r.p50, r.p99, r.busiest, r.refused)
		}
	}
	return fmt.Sprintf("%.3f near where there is room, aim %.1f; the busiest host is at work %.2f of its time, at most %.2f, and less than 0.001 refused", near, leastNear, busy, mostBusy), ok, nil
}
