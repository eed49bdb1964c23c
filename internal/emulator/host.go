package emulator

import (
	"math"
	"slices"
	"time"

	"frostshift"
)

// Host is a simulated host. Its fields say what it is like; troubles change them as time goes.
type Host struct {
	ID      frostshift.HostID
	Name    string
	Zone    int
	Kind    int
	Group   int
	Weight  float64
	Cores   int           // requests that it works on at once; others queue
	Queue   int           // that it takes beyond these; the next is answered 503
	Speed   float64       // of a warm core
	Cold    float64       // part of its speed that it starts with
	WarmIn  time.Duration // until it has all of it
	Crowd   float64       // how much slower each request gets for each that waits, a core
	Connect time.Duration // of work that a new connection costs it
	Idle    time.Duration // that a connection lives unused
	Keep    int           // idle connections that it holds from one gateway
	Reuse   bool          // connections are kept at all

	world   *World
	pool    int
	started Time
	dead    bool
	running []*job
	waiting []*job
	idle    map[int][]Time // by gateway: when each became idle
	// What falls over: work offered lately beside what it can do.
	offered [fallSlots]float64
	slot    int64
	Falls   int
	// Busy is the time that its cores have worked, Got how many requests came.
	Busy  time.Duration
	Got   int
	slots []int // requests that came, by time
}

const (
	fallSlots  = 15
	fallSlot   = 100 * time.Millisecond
	fallFactor = 2.5
	fallDown   = 5 * time.Second // until a host that fell over is back, cold
)

// job is an attempt at a host.
type job struct {
	q    *Request
	work time.Duration
	ends func(status int)
	gone bool // called off
}

// speed is what a core does now beside a warm one of speed 1.
func (h *Host) speed(now Time) float64 {
	s := h.Speed
	if h.Cold > 0 && h.WarmIn > 0 {
		s *= h.Cold + (1-h.Cold)*math.Min(1, float64(now-h.started)/float64(h.WarmIn))
	}
	return s
}

func (h *Host) cold(now Time) bool {
	return h.Cold > 0 && h.Cold < 1 && now-h.started < h.WarmIn
}

// offer counts work that comes and says whether the host falls over with it: a cold one does at
// 2.5 times what it can do for 1.5 s.
func (h *Host) offer(now Time, work time.Duration) bool {
	slot := int64(now / fallSlot)
	for ; h.slot < slot; h.slot++ {
		h.offered[(h.slot+1)%fallSlots] = 0
		if slot-h.slot > fallSlots {
			h.slot = slot - fallSlots - 1
		}
	}
	h.offered[slot%fallSlots] += work.Seconds()
	if !h.cold(now) {
		return false
	}
	sum := 0.0
	for _, v := range h.offered {
		sum += v
	}
	load := sum / (fallFactor * float64(h.Cores) * h.speed(now) * (fallSlots * fallSlot).Seconds())
	h.world.Totals.ColdLoad = max(h.world.Totals.ColdLoad, load)
	return load > 1
}

// arrive takes an attempt that has reached the host.
func (h *Host) arrive(j *job) {
	now := h.world.now
	if j.gone {
		return
	}
	h.Got++
	h.count(now - h.world.begin)
	if h.offer(now, j.work) {
		h.Falls++
		h.die()
		h.world.after(fallDown, h.rise)
		j.ends(0)
		return
	}
	switch {
	case len(h.running) < h.Cores:
		h.run(j)
	case len(h.waiting) < h.Queue:
		h.waiting = append(h.waiting, j)
	default:
		j.ends(503)
	}
}

func (h *Host) run(j *job) {
	now := h.world.now
	h.running = append(h.running, j)
	j.q.ran(h.pool)
	t := h.world.troubleAt(h, j.q)
	slow := (1 + h.Crowd*float64(len(h.waiting))/float64(h.Cores)) * t.slow / h.speed(now)
	work := time.Duration(float64(j.work)*slow) + t.extra
	h.Busy += work
	h.world.after(work, func() {
		at := slices.Index(h.running, j)
		if at < 0 { // the host has died
			return
		}
		h.running = slices.Delete(h.running, at, at+1)
		if !t.silent && !j.gone {
			j.ends(t.status)
		}
		for len(h.waiting) > 0 && len(h.running) < h.Cores {
			next := h.waiting[0]
			h.waiting = h.waiting[1:]
			if !next.gone {
				h.run(next)
			}
		}
	})
}

// wait is how much stands before a request that comes now, in requests a core that is warm.
func (h *Host) wait() float64 {
	if h.dead {
		return math.Inf(1)
	}
	return float64(len(h.running)+len(h.waiting)) / (float64(h.Cores) * h.speed(h.world.now) / h.world.troubleAt(h, &Request{}).slow)
}

// die ends the host; what it holds breaks.
func (h *Host) die() {
	h.dead = true
	for _, j := range append(h.running, h.waiting...) {
		if !j.gone {
			j.ends(0)
		}
	}
	h.running, h.waiting = nil, nil
	clear(h.idle)
}

// rise starts it anew, cold.
func (h *Host) rise() {
	h.dead = false
	h.started = h.world.now
	for g := range h.world.gateways {
		h.world.list(g, h.pool, h.world.spec.ListDelay)
	}
}

// connection takes an idle one from a gateway, or says what a new one costs.
func (h *Host) connection(g int) time.Duration {
	if !h.Reuse {
		return h.Connect
	}
	list := h.idle[g]
	for len(list) > 0 {
		at := list[len(list)-1]
		list = list[:len(list)-1]
		if h.Idle == 0 || h.world.now-at < h.Idle {
			h.idle[g] = list
			return 0
		}
	}
	h.idle[g] = list
	return h.Connect
}

func (h *Host) release(g int) {
	if h.Reuse && !h.dead && len(h.idle[g]) < max(h.Keep, 1) {
		h.idle[g] = append(h.idle[g], h.world.now)
	}
}
