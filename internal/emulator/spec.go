package emulator

import (
	"fmt"
	"math/rand/v2"
	"time"

	"gonum.org/v1/gonum/stat/distuv"

	"frostshift"
	"frostshift/internal/shift"
)

// Spec is a fleet with its load and troubles.
type Spec struct {
	Seed         uint64
	Gateways     int
	GatewayZones []int // by gateway; nil: all in zone 0
	Zones        int   // 0: 1
	Pools        []PoolSpec
	Classes      []Class
	Length       time.Duration
	Rate         float64 // first requests a second, over all gateways
	// Skew deals requests unevenly: the nth gateway's part is as n to the power of −Skew.
	Skew float64
	// Picker replaces the gateways by a plain rule, to weigh them beside: "all" sees every
	// host's queue and sends to the shortest, "random" draws. "": the gateways decide.
	Picker    string
	Cost      Cost
	Keys      int // that requests are about; each has a cost of its own. 0: none
	Clients   Clients
	Teams     []Team // whose requests they are; nil: there are no contracts
	Pool      int    // that requests go to where nothing moves
	Fallback  int    // index + 1; 0: none
	Move      *shift.Plan
	Troubles  []Trouble
	Near, Far time.Duration // there and back within a zone, and between zones
	ListDelay time.Duration // until a gateway hears of a change, twice that at most
	Believe   bool          // lists are held against what is seen
	// Keeps: what a gateway has learned is written down every five seconds, and its next process begins with it.
	Keeps       bool
	PreferNear  bool
	CrossPrice  float64
	Instances   int   // that gateways believe in; 0: as many as there are
	MaxAttempts int   // of a request; 0: 3
	Talk        *Talk // gateways know each other; nil: they share nothing
	Quota       *Quota
	Repeats     float64 // share of requests that may be repeated where an attempt may have run; 0: all
	// Part says whether a gateway uses a host, and how many gateways do; nil: all use all.
	Part func(gateway int, h *Host) (uses bool, sharers int)
	// Watch sees each try as it ends; nil: nobody does.
	Watch func(Try)
}

// PoolSpec is a pool of hosts that are alike.
type PoolSpec struct {
	Name  string
	Hosts []Host
}

// Class is a kind of request and its part of the load.
type Class struct {
	Name string
	Part float64
	frostshift.Class
}

// Cost is how the work of requests is spread.
type Cost struct {
	Kind string        // lognormal, pareto, exponential, uniform or fixed
	Mean time.Duration // of a core of speed 1
	// Shape is sigma of lognormal, alpha, above 1, of pareto, or how far uniform goes to either
	// side, as a part of the mean.
	Shape float64
}

// Clients is how clients behave.
type Clients struct {
	Tries   int           // of a request in all; 0: 1
	Backoff time.Duration // before another, grown by half at random
}

// Team has a part of the load under a contract.
type Team struct {
	Name  string
	Part  float64 // of the load
	Share float64 // of the pool that is guaranteed
	Rate  float64 // seconds of work a second that are, over all gateways
}

// draw is how work is drawn, in seconds.
func (c Cost) draw(src *rand.Rand) func() float64 {
	mean := c.Mean.Seconds()
	switch c.Kind {
	case "lognormal":
		return distuv.LogNormal{Mu: logMean(mean, c.Shape), Sigma: c.Shape, Src: src}.Rand
	case "pareto":
		return distuv.Pareto{Xm: mean * (c.Shape - 1) / c.Shape, Alpha: c.Shape, Src: src}.Rand
	case "exponential":
		return distuv.Exponential{Rate: 1 / mean, Src: src}.Rand
	case "uniform":
		return distuv.Uniform{Min: mean * (1 - c.Shape), Max: mean * (1 + c.Shape), Src: src}.Rand
	}
	return func() float64 { return mean }
}

func (s *Spec) meanWork() time.Duration { return s.Cost.Mean }

// Check says what is wrong with a fleet.
func (s *Spec) Check() error {
	switch {
	case s.Gateways < 1 || s.Gateways > 1000:
		return fmt.Errorf("gateways: %d is not from 1 to 1000", s.Gateways)
	case len(s.Pools) == 0:
		return fmt.Errorf("pool: there is none")
	case len(s.Classes) == 0:
		return fmt.Errorf("class: there is none")
	case s.Length <= 0:
		return fmt.Errorf("length: %v is no time", s.Length)
	case !(s.Rate > 0):
		return fmt.Errorf("rate: %v is not above 0", s.Rate)
	case !(s.Skew >= 0 && s.Skew <= 8):
		return fmt.Errorf("skew: %v is not from 0 to 8", s.Skew)
	case s.Picker != "" && s.Picker != "all" && s.Picker != "random":
		return fmt.Errorf("picker: %q is neither all nor random", s.Picker)
	case s.Cost.Mean <= 0:
		return fmt.Errorf("cost.mean: %v is no time", s.Cost.Mean)
	case s.Cost.Kind == "pareto" && !(s.Cost.Shape > 1), s.Cost.Kind == "lognormal" && !(s.Cost.Shape > 0), s.Cost.Kind == "uniform" && !(s.Cost.Shape >= 0 && s.Cost.Shape < 1):
		return fmt.Errorf("cost.shape: %v has no mean", s.Cost.Shape)
	}
	switch s.Cost.Kind {
	case "lognormal", "pareto", "exponential", "uniform", "fixed":
	default:
		return fmt.Errorf("cost.kind: %q is none of lognormal, pareto, exponential, uniform, fixed", s.Cost.Kind)
	}
	for _, p := range s.Pools {
		if len(p.Hosts) == 0 {
			return fmt.Errorf("pool %q has no hosts", p.Name)
		}
		for _, h := range p.Hosts {
			if h.Cores < 1 || !(h.Speed > 0) || h.Queue < 0 {
				return fmt.Errorf("pool %q: a host has cores, and a speed above 0", p.Name)
			}
		}
	}
	if s.Quota != nil && (s.Talk == nil || s.Quota.Lease < 100*time.Millisecond) {
		return fmt.Errorf("quota: limits are shared by gateways that talk, by leases of 100ms and more")
	}
	if !(s.Repeats >= 0 && s.Repeats <= 1) {
		return fmt.Errorf("repeats: %v is not from 0 to 1", s.Repeats)
	}
	for i := range s.Troubles {
		if err := s.checkTrouble(&s.Troubles[i]); err != nil {
			return err
		}
	}
	if s.Move != nil {
		if err := s.Move.Check(); err != nil {
			return err
		}
		if s.index(s.Move.From) < 0 || s.index(s.Move.To) < 0 {
			return fmt.Errorf("move: there is no such pool")
		}
	}
	return nil
}

// checkTrouble says what is wrong with a trouble among gateways.
func (s *Spec) checkTrouble(t *Trouble) error {
	switch {
	case !(t.Cut >= 0 && t.Cut < 1) || t.Cut > 0 && (s.Talk == nil || t.Gateways > 0 || t.Hosts > 0 || t.Pool != ""):
		return fmt.Errorf("trouble.cut: %v is not a part of gateways that talk, and goes with nothing else", t.Cut)
	case !(t.Gateways >= 0 && t.Gateways <= 1):
		return fmt.Errorf("trouble.gateways: %v is not a part", t.Gateways)
	case t.Gateways > 0 && (s.Move != nil || t.Hosts > 0 || t.Pool != ""):
		return fmt.Errorf("trouble.gateways: goes with no hosts and no move")
	}
	return nil
}

func (s *Spec) index(pool string) int {
	for i := range s.Pools {
		if s.Pools[i].Name == pool {
			return i
		}
	}
	return -1
}
