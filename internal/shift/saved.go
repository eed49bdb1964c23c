package shift

import (
	"encoding/binary"
	"errors"
	"fmt"
	"slices"
	"time"
)

// Saved is what of a move outlives a process. Times are of the wall clock, as another process
// has another clock of its own.
type Saved struct {
	Plan  Plan          `json:"plan"`
	State State         `json:"state"`
	Step  int           `json:"step"`
	Share float64       `json:"share"`
	Held  time.Duration `json:"held"` // at this step
	At    time.Time     `json:"at"`
	// Low and High are the shares that keys may be dealt by until the move is saved again.
	Low     float64     `json:"low"`
	High    float64     `json:"high"`
	Dealt   []SavedSpan `json:"dealt,omitempty"` // shares that keys were dealt by, within the window
	Life    SavedSpan   `json:"life"`            // the shares that any key was dealt by
	KeysNow []byte      `json:"keys,omitempty"`
	KeysOld []byte      `json:"keys_before,omitempty"`
	// Retired says that no configuration named the move any more: it only knows keys.
	Retired bool `json:"retired,omitempty"`
}

// SavedSpan is a span of shares and when it was left.
type SavedSpan struct {
	At        time.Time `json:"at"`
	Low, High float64
}

const mostSavedKeys = 1 << 15 // of a generation; the others are among those that nothing tells

// Save is the move as it is to be remembered; wall is what the wall clock says at now.
func (m *Move) Save(now Time, wall time.Time) Saved {
	w := m.wanted()
	if m.plan.Window == 0 {
		w = span{m.share, m.share}
	}
	by := m.keyShare() // keys that are dealt before it is granted
	s := Saved{Plan: m.plan, State: m.state, Step: m.step, Share: m.share, Held: now - m.since, At: wall, Low: min(w.low, by), High: max(w.high, by)}
	if m.retired != 0 { // it deals none
		s.Low, s.High, s.Retired = m.dealtBy, m.dealtBy, true
	}
	for _, h := range m.history {
		if age := now - h.at; age <= m.plan.Window {
			s.Dealt = append(s.Dealt, SavedSpan{wall.Add(-age), h.low, h.high})
		}
	}
	if now < m.keys.unsure {
		s.Dealt = append(s.Dealt, SavedSpan{wall, m.keys.low, m.keys.high})
	}
	if now < m.keys.pinUntil {
		s.Dealt = append(s.Dealt, SavedSpan{wall, m.keys.pinned, m.keys.pinned})
	}
	if m.plan.Window > 0 {
		m.keys.turn(now)
		var all [2]bool
		s.KeysNow, all[0] = m.keys.now.save(nil)
		s.KeysOld, all[1] = m.keys.old.save(nil)
		if now < m.keys.doubtful && all[1] {
			s.KeysOld, all[1] = m.keys.doubt.save(s.KeysOld)
		}
		s.Life = SavedSpan{wall, m.keys.life.low, m.keys.life.high}
		if !all[0] || !all[1] { // those that are not kept may be anywhere
			s.Dealt = append(s.Dealt, s.Life)
		}
	}
	return s
}

// save adds the keys to out, and says whether these are all.
func (t *keySet) save(out []byte) ([]byte, bool) {
	for _, c := range t.cells {
		if c == 0 {
			continue
		}
		if len(out) == 8*mostSavedKeys {
			return out, false
		}
		out = binary.LittleEndian.AppendUint64(out, c)
	}
	return out, true
}

func (t *keySet) load(b []byte) {
	for ; len(b) >= 8; b = b[8:] {
		if c := binary.LittleEndian.Uint64(b); c != 0 {
			if _, ok := t.find(c); !ok {
				t.put(c&^1, Side(c&1))
			}
		}
	}
}

// Check says whether a remembered move makes sense: it may come from a damaged file.
func (s *Saved) Check() error {
	if err := s.Plan.Check(); err != nil {
		return err
	}
	switch {
	case s.State > Done:
		return fmt.Errorf("the state %d is not known", s.State)
	case s.Step < -1 || s.Step >= len(s.Plan.Steps):
		return fmt.Errorf("there is no step %d", s.Step)
	case !(s.Share >= 0 && s.Share <= 1 && s.Low >= 0 && s.Low <= s.High && s.High <= 1):
		return fmt.Errorf("the shares %v, %v to %v are none", s.Share, s.Low, s.High)
	case s.Held < 0 || s.At.IsZero():
		return errors.New("its times are not known")
	case len(s.Dealt) > 1<<16 || len(s.KeysNow) > 8*mostSavedKeys || len(s.KeysOld) > 8*mostSavedKeys:
		return errors.New("it is too long")
	}
	for _, d := range append(s.Dealt[:len(s.Dealt):len(s.Dealt)], s.Life) {
		if !(d.Low >= 0 && d.Low <= d.High && d.High <= 1) {
			return fmt.Errorf("shares from %v to %v are none", d.Low, d.High)
		}
	}
	return nil
}

// Restore is New for a move that an earlier process made, which has been checked. It goes on
// at most at the share and step that it had. whole says that nothing was lost since it was
// saved but the keys of the last moments; else a newer state is known to be lost, and keys
// may have been dealt by any share.
func Restore(now Time, p Plan, s *Saved, wall time.Time, whole bool) *Move {
	if !p.Same(&s.Plan) {
		return follow(now, p, s, wall, whole)
	}
	m := New(now, p)
	m.state, m.step, m.share = s.State, s.Step, s.Share
	if m.state == Held || m.state == Halted {
		m.share = min(m.share, m.target())
	}
	m.remember(now, s, wall, whole)
	return m
}

// RestoreRetired is Restore for a move that no configuration names any more.
func RestoreRetired(now Time, s *Saved, wall time.Time, whole bool) *Move {
	m := Restore(now, s.Plan, s, wall, whole)
	m.Retire(now)
	return m
}

// follow is a move whose plan has changed in the middle: a new one, from the present shares,
// if it moves between the same pools.
func follow(now Time, p Plan, s *Saved, wall time.Time, whole bool) *Move {
	m := New(now, p)
	if s.Plan.From == p.From && s.Plan.To == p.To {
		m.begin(now, s.Share)
		m.remember(now, s, wall, whole)
	}
	return m
}

// begin puts a new move at a share that an earlier one has reached.
func (m *Move) begin(now Time, share float64) {
	if share <= 0 {
		return
	}
	m.share, m.state, m.since = share, Held, now
	for m.step+1 < len(m.plan.Steps) && m.plan.Steps[m.step+1] <= share {
		m.step++
	}
	if m.step < 0 { // it is below the first step, and on its way there
		m.step = 0
	}
}

// remember takes over the keys, and marks what nothing tells of.
func (m *Move) remember(now Time, s *Saved, wall time.Time, whole bool) {
	if m.plan.Window == 0 {
		return
	}
	m.keys.turned = now
	// Keys of the older generation may have been forgotten since, and dealt anew; those of the
	// younger one too, where the file is older than a window.
	m.keys.doubt.load(s.KeysOld)
	if age := wall.Sub(s.At); age >= 0 && age < m.plan.Window {
		m.keys.now.load(s.KeysNow)
	} else {
		m.keys.doubt.load(s.KeysNow)
	}
	m.keys.doubtful = windowEnd(now, m.plan.Window)
	low, high := s.Low, s.High
	for _, d := range s.Dealt {
		low, high = min(low, d.Low), max(high, d.High)
	}
	m.granted = span{m.share, m.share}
	m.keys.pin(now, s.Low)
	m.dealtBy = s.Low
	if !whole {
		low, high = 0, 1
	}
	m.keys.life = span{min(low, s.Life.Low), max(high, s.Life.High)}
	if low < high {
		// Nothing was dealt by the earlier process after this one began, whenever it was saved.
		m.keys.low, m.keys.high, m.keys.unsure = low, high, windowEnd(now, m.plan.Window)
	}
}

// Follow is the move of a plan that takes the place of this one's in a running gateway.
func (m *Move) Follow(now Time, p Plan) *Move {
	if p.Same(&m.plan) {
		m.plan.Routes, m.plan.Window = p.Routes, max(p.Window, m.plan.Window)
		m.keys.window = m.plan.Window
		return m
	}
	n := New(now, p)
	if p.From == m.plan.From && p.To == m.plan.To {
		n.begin(now, m.share)
		n.keys, n.history, n.granted, n.dealtBy = m.keys, slices.Clone(m.history), m.granted, m.dealtBy
		n.keys.window = max(p.Window, m.plan.Window)
		n.books.flow = m.books.flow
	}
	return n
}

// Unsure is what a move begins with where it is known that an earlier process made it, and
// nothing more: keys may have been dealt by any share.
func Unsure(now Time, p Plan) *Move {
	m := New(now, p)
	if p.Window > 0 {
		m.keys.low, m.keys.high, m.keys.unsure = 0, 1, windowEnd(now, p.Window)
	}
	return m
}
