package shift

import (
	"math/rand/v2"
	"slices"
	"time"
)

func plan() Plan {
	return Plan{Name: "m", From: "a", To: "b", Steps: []float64{0.1, 0.5, 1}, Least: 10 * time.Second, Longest: 10 * time.Minute, Tolerate: DefaultTolerate,
		Margin: DefaultMargin, Error: DefaultError, Worst: DefaultWorst, Keep: DefaultKeep}
}

var fine = Pool{Ready: true, Capacity: 1000}

// world plays requests against a move: each takes 10 ms and ends as bad says.
type world struct {
	m    *Move
	now  Time
	r    *rand.Rand
	rate int // a second
	// bad says whether a try fails.
	bad func(w *world, s Side, class int, retry bool) bool
	// slow says how long one takes.
	slow    func(w *world, s Side) time.Duration
	work    func(key uint64) time.Duration // that a request costs; nil: 10 ms
	void    func(w *world, e *ending) bool // it was a contract that turned it away
	from    Pool
	to      Pool
	retries bool // clients try again, once, marked
	log     []Decision
	next    uint64
	cost    uint64 // key of the request that is sent
	ends    []ending
}

type ending struct {
	at    Time
	u     Unit
	ask   Ask
	good  bool
	retry bool
}

func newWorld(p Plan, seed uint64) *world {
	w := &world{now: time.Hour, r: rand.New(rand.NewPCG(seed, 7)), rate: 200, from: fine, to: fine, retries: true,
		bad:  func(w *world, _ Side, _ int, _ bool) bool { return w.r.Float64() < 0.01 },
		slow: func(*world, Side) time.Duration { return 10 * time.Millisecond }}
	w.m = New(w.now, p)
	return w
}

func (w *world) send(a Ask, retry bool) {
	u, err := w.m.Place(w.now, &a)
	if err != nil {
		return
	}
	w.cost = a.Cost
	w.ends = append(w.ends, ending{w.now + w.slow(w, u.Side), u, a, !w.bad(w, u.Side, a.Class, retry), retry})
}

// play goes on for a time, or until the move is in one of the states.
func (w *world) play(length time.Duration, until ...State) {
	for end := w.now + length; w.now < end; {
		w.now += 100 * time.Millisecond
		for range w.rate / 10 {
			w.next++
			w.send(Ask{Key: w.next, Class: int(w.next % 2), Worth: 1, Aim: time.Second, Draw: w.r.Float64(), Cost: w.next%10 + 1}, false)
		}
		due := w.ends
		w.ends = nil
		for len(due) > 0 {
			e := due[0]
			if due = due[1:]; e.at > w.now {
				w.ends = append(w.ends, e)
				continue
			}
			work := 10 * time.Millisecond
			if w.work != nil {
				work = w.work(e.ask.Cost)
			}
			w.m.Ended(e.at, &e.u, End{Good: e.good, Void: w.void != nil && w.void(w, &e), Work: work})
			if !e.good && !e.retry && w.retries {
				a, now := e.ask, w.now
				a.Repeat = true
				w.now = e.at
				w.send(a, true)
				w.now = now
			}
		}
		w.m.Tick(w.now, w.from, w.to)
		w.log = append(w.log, w.m.Decisions()...)
		if slices.Contains(until, w.m.State()) {
			return
		}
	}
}

func (w *world) last() Decision {
	if len(w.log) == 0 {
		return Decision{}
	}
	return w.log[len(w.log)-1]
}
