package evidence

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

// A few samples of a host that is like the others must give a low confidence that it differs, and
// a host that is four times slower must be recognized within a few samples. Both are means over
// many trials.
func TestAFewSamples(t *testing.T) {
	const sigma = 0.8 // of the logarithm of the work
	r := rand.New(rand.NewPCG(1, 2))
	meanConfidence := func(samples int, slowdown float64) float64 {
		sum := 0.0
		for range 4000 {
			var m Mean
			for range samples {
				m.Add(math.Log(slowdown)+sigma*r.NormFloat64(), 1, 50)
			}
			sum += Sure(m.Apart(0, sigma, 1), 1, 2)
		}
		return sum / 4000
	}
	for n, upper := range map[int]float64{1: 0.1, 2: 0.14, 5: 0.18, 50: 0.2} {
		if got := meanConfidence(n, 1); got > upper {
			t.Errorf("%d samples of a host like the others: mean confidence that it differs is %.3f, want at most %v", n, got, upper)
		}
	}
	for n, lower := range map[int]float64{1: 0.3, 3: 0.75, 6: 0.98} {
		if got := meanConfidence(n, 4); got < lower {
			t.Errorf("%d samples of a host 4 times slower: mean confidence that it differs is %.3f, want at least %v", n, got, lower)
		}
	}
}

func TestMean(t *testing.T) {
	var m Mean
	if m.Toward(0.3, 2) != 0.3 || m.Apart(0, 1, 1) != 0 || m.Deviation(0.7, 1) != 0.7 {
		t.Error("a mean without samples does not return the prior")
	}
	for _, x := range []float64{1, 2, 3} {
		m.Add(x, 1, 50)
	}
	if got := m.Toward(0, 1); got != 1.5 {
		t.Errorf("three samples of mean 2 shrunk toward 0: %v, want 1.5", got)
	}
	if got := m.Deviation(0, 0); math.Abs(got-math.Sqrt(2.0/3)) > 1e-12 {
		t.Errorf("standard deviation of 1, 2 and 3 is %v", got)
	}
	if up, down := m.Apart(1, 1, 1), m.Apart(3, 1, 1); up != 1.5 || down != -1.5 {
		t.Errorf("the mean 2 is %v standard errors from 1 and %v from 3, want 1.5 and -1.5", up, down)
	}
	m.Fade(time.Second, time.Second)
	if math.Abs(m.N-3/math.E) > 1e-12 || math.Abs(m.Sum/m.N-2) > 1e-12 {
		t.Errorf("after one time constant: %+v", m)
	}
	m.Fade(0, time.Second) // a time before At changes nothing
	for range 1000 {
		m.Add(5, 1, 10)
	}
	if m.N > 10+1e-9 || math.Abs(m.Sum/m.N-5) > 1e-9 {
		t.Errorf("weight %v with mean %v, want at most 10 with mean 5", m.N, m.Sum/m.N)
	}
}
