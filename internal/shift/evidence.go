package shift

import "math"

// What the measured worth proves. Each unit is dealt to the new pool with a probability p that
// is known beforehand, so
//
//	x = (z - m) * (1/p if it went to the new pool, -1/(1-p) if to the old)
//
// has the mean of the difference in loss between the pools, whatever its class, its cost and
// the hour: z is the worth that it lost, from 0 to 1, and m any guess of z made beforehand
// (inverse propensity weighting, augmented: Robins, Rotnitzky and Zhao 1994). A guess by class and cost takes
// the spread between classes and costs out of x; what falls on both pools alike cancels.
//
// Against "the difference is at most d" one bets: wealth is multiplied by 1 + l(x - d), with l
// fixed beforehand and small enough that it stays above 0. Under that hypothesis wealth is a
// supermartingale, so it ever reaches 1/a with probability a at most, however often one looks
// (Ville 1939; as betting: Waudby-Smith and Ramdas 2024; as confidence sequences: Howard et al. 2021).
// As z is bounded, no cost and no delay can be so large as to spoil this.

// bets are what is staked, as shares of the largest stake that can't lose all. A mean over them
// is again such a wealth: nobody need know how large a fall will be.
var bets = [...]float64{0.8, 0.4, 0.16, 0.06, 0.02, 0.007}

const mostWealth = 1e200 // no figure overflows

// wealth is that of each bet.
type wealth [len(bets)]float64

func newWealth() (w wealth) {
	for i := range w {
		w[i] = 1
	}
	return w
}

// add plays x, which is not below -bound.
func (w *wealth) add(x, bound float64) {
	r := max(x/bound, -1)
	for i := range w {
		w[i] = min(w[i]*(1+bets[i]*r), mostWealth)
	}
}

func (w *wealth) mean() (sum float64) {
	for _, v := range w {
		sum += v / float64(len(w))
	}
	return sum
}

// detector finds a change that comes at any time: it starts to bet anew every so often, with
// shares of its stake that add up to one (an e-detector with a bound on its whole life: Shin,
// Ramdas and Rinaldo 2023). A single wealth would first have to win back what it lost in good
// times.
type detector struct {
	runs [mostRuns]run
	n    int // begun so far
}

type run struct {
	stake float64
	wealth
}

const mostRuns = 12

// restart begins another run. Where there is no room the one that is worth least goes, which
// costs power and no validity.
func (d *detector) restart() {
	at := d.n
	if at >= mostRuns {
		at = 0
		for i := range d.runs {
			if d.runs[i].value() < d.runs[at].value() {
				at = i
			}
		}
	}
	d.n++
	d.runs[at] = run{6 / (math.Pi * math.Pi * float64(d.n) * float64(d.n)), newWealth()}
}

func (r *run) value() float64 { return r.stake * r.mean() }

func (d *detector) add(x, bound float64) {
	for i := range min(d.n, mostRuns) {
		d.runs[i].add(x, bound)
	}
}

func (d *detector) value() (sum float64) {
	for i := range min(d.n, mostRuns) {
		sum += d.runs[i].value()
	}
	return sum
}

// evidence is what the units of a move have shown.
type evidence struct {
	tolerate, margin float64
	all              detector
	strata           []stratum
	gate             wealth // against "the loss is margin or more", since the step began
}

// stratum are the units of one class that cost about as much.
type stratum struct {
	id   int
	loss float64 // recent mean, of both pools
	n    int
	detector
}

const (
	mostStrata = 64   // further ones count in the whole alone
	lossWeight = 0.02 // of a unit in a stratum's mean
)

func newEvidence(p *Plan) *evidence {
	e := &evidence{tolerate: p.Tolerate, margin: p.Margin, gate: newWealth()}
	e.all.restart()
	return e
}

// step begins the gate anew.
func (e *evidence) step() { e.gate = newWealth() }

// forget drops what has been proved; strata stay, as units that are open belong to them.
func (e *evidence) forget() {
	e.all = detector{}
	e.all.restart()
	for i := range e.strata {
		e.strata[i].detector = detector{}
		e.strata[i].restart()
	}
	e.step()
}

// restart lets all detectors begin another run.
func (e *evidence) restart() {
	e.all.restart()
	for i := range e.strata {
		e.strata[i].restart()
	}
}

// of finds a stratum; -1: there is no room for it.
func (e *evidence) of(id int) int {
	for i := range e.strata {
		if e.strata[i].id == id {
			return i
		}
	}
	if len(e.strata) == mostStrata {
		return -1
	}
	e.strata = append(e.strata, stratum{id: id})
	s := &e.strata[len(e.strata)-1]
	s.restart()
	return len(e.strata) - 1
}

// guess is the loss that a unit of a stratum is expected to have.
func (e *evidence) guess(at int) float64 {
	if at < 0 {
		return 0
	}
	return e.strata[at].loss
}

// add takes in a unit: its loss, the guess and the probability as they were when it was
// dealt.
func (e *evidence) add(at int, side Side, z, m, p float64) {
	x := (z - m) / p
	least, most := max(m/p, (1-m)/(1-p)), max((1-m)/p, m/(1-p))
	if side == OldPool {
		x = -(z - m) / (1 - p)
	}
	e.all.add(x-e.tolerate, least+e.tolerate)
	e.gate.add(e.margin-x, most)
	if at >= 0 {
		s := &e.strata[at]
		s.add(x-e.tolerate, least+e.tolerate)
		s.n++
		s.loss += max(lossWeight, 1/float64(s.n)) * (z - s.loss)
	}
}

// fall is the evidence for a fall: half of the stake is on the whole, half on the strata. It
// reaches 1/a by chance with probability a at most.
func (e *evidence) fall() float64 {
	sum := e.all.value() / 2
	for i := range e.strata {
		k := float64(i + 1)
		sum += e.strata[i].value() * 3 / (math.Pi * math.Pi * k * k)
	}
	return sum
}

// holds is the evidence that the loss is below the margin.
func (e *evidence) holds() float64 { return e.gate.mean() }
