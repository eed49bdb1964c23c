package shift

import (
	"math"
	"time"
)

// While two processes of one gateway serve, in an upgrade, both deal keys: the one before to clients that stay, the next
// to those that connect. They go by the same share, which is frozen, and by what the one before knew of keys when it was
// frozen; so each deals an unknown key as the other would.

// frozen is when a share that is frozen is no longer pinned.
const frozen = Time(math.MaxInt64)

// HandOver freezes the share by which unknown keys are dealt, and returns the move for a process that takes over.
func (m *Move) HandOver(now Time, wall time.Time) Saved {
	by := m.keys.by(now, m.keyShare())
	s := m.Save(now, wall)
	s.Low, s.High = by, by
	s.Dealt = nil // all keys that were dealt by other shares within the window are told
	if now < m.keys.unsure {
		s.Dealt = append(s.Dealt, SavedSpan{wall, m.keys.low, m.keys.high})
	}
	if m.plan.Window > 0 && !m.keys.fits() {
		s.Dealt = append(s.Dealt, s.Life)
	}
	m.keys.freeze(by)
	return s
}

// TakeUp is Restore for a move that another process has handed over and still makes.
func TakeUp(now Time, p Plan, s *Saved, wall time.Time) *Move {
	m := Restore(now, p, s, wall, true)
	m.keys.freeze(s.Low)
	return m
}

// TakeUpRetired is TakeUp for a move that the process before still makes, and that no configuration names here.
func TakeUpRetired(now Time, s *Saved, wall time.Time) *Move {
	m := TakeUp(now, s.Plan, s, wall)
	m.Retire(now)
	return m
}

// Alone notes that no other process makes the move any more: the share is free once keys that it has dealt lately are
// remembered here.
func (m *Move) Alone(now Time) {
	if m.keys.pinUntil != frozen {
		return
	}
	end := windowEnd(now, m.plan.Window)
	m.keys.pinUntil, m.keys.sharedUntil = end, end
	if m.retired != 0 {
		m.Retire(now)
	}
}

// freeze deals unknown keys by this share until Alone.
func (k *keys) freeze(share float64) { k.pinned, k.pinUntil, k.sharedUntil = share, frozen, frozen }

// fits says whether all keys fit into what is saved.
func (k *keys) fits() bool { return k.now.n <= mostSavedKeys && k.old.n+k.doubt.n <= mostSavedKeys }
