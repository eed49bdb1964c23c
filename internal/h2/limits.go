package h2

import "time"

// Bucket bounds how often a peer may do something: burst times at once, and rate times a
// second after that. It is not safe for concurrent use. Clocks are handed in.
type Bucket struct {
	Rate, Burst float64
	level       float64
	at          time.Time
}

// Used is how many of the burst are gone.
func (b *Bucket) Used() float64 {
	if b.at.IsZero() {
		return 0
	}
	return b.Burst - b.level
}

// Take says whether one more is within the bound.
func (b *Bucket) Take(now time.Time) bool {
	if b.at.IsZero() {
		b.level = b.Burst
	} else if dt := now.Sub(b.at); dt > 0 {
		b.level = min(b.Burst, b.level+b.Rate*dt.Seconds())
	}
	b.at = now
	if b.level < 1 {
		return false
	}
	b.level--
	return true
}
