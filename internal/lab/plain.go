package lab

import (
	"math"
	"time"

	"gonum.org/v1/gonum/stat/distuv"

	"frostshift/internal/emulator"
	"frostshift/internal/shift"
)

// The plain rules that a move is weighed beside. They see the same traffic as the move does
// and say when they would have undone it; they move nothing.

// threshold undoes when the new pool's error rate over the last seconds is above a bound: what
// most canary scripts do.
type threshold struct {
	bins  [thresholdBins][2]int // tries and errors, by second
	at    int64
	found time.Duration
}

const (
	thresholdBins = 10
	mostErrors    = 0.05
	leastTries    = 20
)

func (r *threshold) see(t *emulator.Try) {
	if r.found > 0 || t.Side != int(shift.NewPool) {
		return
	}
	sec := int64(t.At / time.Second)
	for ; r.at < sec; r.at++ {
		r.bins[(r.at+1)%thresholdBins] = [2]int{}
		if sec-r.at > 2*thresholdBins {
			r.at = sec - thresholdBins
		}
	}
	b := &r.bins[sec%thresholdBins]
	b[0]++
	if !t.Good {
		b[1]++
	}
	n, bad := 0, 0
	for _, b := range r.bins {
		n, bad = n+b[0], bad+b[1]
	}
	if n >= leastTries && float64(bad) > mostErrors*float64(n) {
		r.found = max(t.At, 1)
	}
}

// window compares the pools after each window of a minute by Welch's t-test, on errors and on
// time: a canary analysis that looks again and again and corrects for nothing.
type window struct {
	sides [2]struct{ bad, took sample }
	end   time.Duration
	found time.Duration
}

const (
	windowLength = time.Minute
	windowP      = 0.01
)

// sample is what a t-test needs.
type sample struct{ n, sum, squares float64 }

func (s *sample) add(x float64) { s.n++; s.sum += x; s.squares += x * x }

// worse is the chance that a mean so far above another's comes from nothing (one-sided).
func worse(x, y sample) float64 {
	if x.n < 2 || y.n < 2 {
		return 1
	}
	mx, my := x.sum/x.n, y.sum/y.n
	vx, vy := max(0, x.squares/x.n-mx*mx)/(x.n-1), max(0, y.squares/y.n-my*my)/(y.n-1)
	if vx+vy == 0 {
		return 1
	}
	df := (vx + vy) * (vx + vy) / (vx*vx/(x.n-1) + vy*vy/(y.n-1))
	return 1 - distuv.StudentsT{Mu: 0, Sigma: 1, Nu: df}.CDF((mx-my)/math.Sqrt(vx+vy))
}

func (r *window) see(t *emulator.Try) {
	if r.found > 0 {
		return
	}
	if r.end == 0 {
		r.end = windowLength
	}
	if t.At >= r.end {
		if worse(r.sides[1].bad, r.sides[0].bad) < windowP || worse(r.sides[1].took, r.sides[0].took) < windowP {
			r.found = r.end
		}
		r.sides = [2]struct{ bad, took sample }{}
		r.end += windowLength
	}
	bad := 0.0
	if !t.Good {
		bad = 1
	}
	r.sides[t.Side].bad.add(bad)
	r.sides[t.Side].took.add(t.Took.Seconds())
}

// apart is the move's own test on tries in place of units: a client's retry counts as a
// request like any other.
type apart struct {
	plan  shift.Plan
	move  *shift.Move
	next  time.Duration
	found time.Duration
	n     uint64
}

func newApart(p shift.Plan) *apart {
	p.OnFall, p.Steps, p.Window = shift.Halt, []float64{0.5}, 0
	return &apart{plan: p, move: shift.New(0, p)}
}

func (r *apart) see(t *emulator.Try) {
	if r.found > 0 || t.Share <= 0 || t.Share >= 1 {
		return
	}
	r.n++
	draw := 0.0
	if t.Side == int(shift.OldPool) {
		draw = math.Nextafter(1, 0)
	}
	r.move.SetShare(t.Share)
	a := shift.Ask{Class: t.Class, Worth: 1, Aim: time.Hour, Draw: draw}
	u, err := r.move.Place(t.At, &a)
	if err != nil {
		return
	}
	r.move.Ended(t.At, &u, shift.End{Good: t.InTime})
	if t.At >= r.next {
		r.next = t.At + time.Second
		ready := shift.Pool{Ready: true, Capacity: math.MaxFloat64}
		r.move.Tick(t.At, ready, ready)
		for _, d := range r.move.Decisions() {
			if d.Cause == shift.Fell {
				r.found = max(t.At, 1)
			}
		}
	}
}
