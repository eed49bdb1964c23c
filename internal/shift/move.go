package shift

import (
	"errors"
	"fmt"
	"time"
)

// State is where a move stands.
type State uint8

// States. What leads from one to another is in the table of transitions.
const (
	Prepared State = iota // no share yet: the pools are not ready
	Held                  // at a step, or on the way to it
	Halted                // at a step, and waits for an operator; a fall still undoes it
	Undoing               // the share shrinks as fast as the old pool can take it
	Undone                // nothing goes to the new pool
	Done                  // all goes there
)

var stateNames = [...]string{"prepared", "held", "halted", "undoing", "undone", "done"}

func (s State) String() string { return stateNames[s] }

// Cause is what moves a move from one state to another.
type Cause uint8

// Causes.
const (
	Started  Cause = iota // both pools are ready
	Proved                // the new pool holds what the old one does
	Finished              // ... at the last step
	Doubted               // the step took longest, and there is no proof
	Passed                // the same, where doubt advances
	Fell                  // the new pool loses more than the old
	Gone                  // it has no host that is ready
	Empty                 // the share is back at 0
	Pause                 // by an operator, as those that follow
	Resume
	Back
)

var causeNames = [...]string{"both pools are ready", "the new pool holds", "the last step holds", "no proof within longest", "no proof within longest, which advances",
	"the new pool loses more than the old", "the new pool has no host that is ready", "nothing is left in the new pool", "pause", "resume", "undo"}

func (c Cause) String() string { return causeNames[c] }

// transition is a line of the table.
type transition struct {
	from  State
	cause Cause
	to    State
}

// transitions are all there are: what does not stand here does not happen.
var transitions = []transition{
	{Prepared, Started, Held}, {Prepared, Pause, Halted}, {Prepared, Back, Undone},
	{Held, Proved, Held}, {Held, Passed, Held}, {Held, Finished, Done}, {Held, Doubted, Halted}, {Held, Pause, Halted}, {Held, Fell, Undoing}, {Held, Gone, Undoing}, {Held, Back, Undoing},
	{Halted, Resume, Held}, {Halted, Fell, Undoing}, {Halted, Gone, Undoing}, {Halted, Back, Undoing},
	{Undoing, Empty, Undone},
	{Done, Back, Undoing},
}

// Decision is one transition with the figures that it was made on.
type Decision struct {
	At       Time
	From, To State
	Cause    Cause
	Step     int     // that it is at from now on; -1: before the first
	Share    float64 // of the new pool, at this moment
	// Fall and Holds are the evidence for a fall and against a loss of the margin; 1/Error and
	// 1/gateError decide.
	Fall, Holds float64
	Pools       [2]Tally
	Loss        float64 // recent, of both pools
}

// Move is one move as one gateway makes it. It is not safe for concurrent use.
type Move struct {
	plan  Plan
	state State
	step  int // index in Steps; -1: before the first
	since Time
	share float64 // of the new pool at present
	// granted are the shares that keys may be dealt by: those that whoever remembers the move
	// has heard of. Beyond them a crash would leave keys that nothing tells.
	granted span
	dealtBy float64 // share of keys at the last look
	books   *books
	keys    *keys
	log     []Decision // not yet taken

	restartAt Time // of the detectors
	gone      Time // since when the new pool has had no host; 0: it has
	history   []change
	retired   Time // until then keys keep their pools; 0: the move is in use
}

type span struct{ low, high float64 }

func (s span) clamp(v float64) float64 { return min(max(v, s.low), s.high) }

// change is a span of shares that keys were dealt by until a time.
type change struct {
	at Time
	span
}

const (
	gateError    = 0.05             // how likely a loss of the margin passes for none, at one step
	restartEvery = 20 * time.Second // of the detectors
	goneAfter    = 2 * time.Second
	historySpan  = time.Second
	mostHistory  = 1000
)

// ErrState says that a move can't be told this where it stands.
var ErrState = errors.New("the move is at a place where that means nothing")

// ErrUnsure says that an earlier try of a key may have run in a pool that nothing tells.
var ErrUnsure = errors.New("an earlier try may have run in another pool")

// New returns a move before its first step. The plan has been checked.
func New(now Time, p Plan) *Move {
	m := &Move{plan: p, step: -1, since: now, books: newBooks(&p), keys: newKeys(p.Window), restartAt: now + restartEvery}
	m.keys.pin(now, 0) // until now all went to From, perhaps in another process
	return m
}

// Plan is what the move was made of.
func (m *Move) Plan() *Plan { return &m.plan }

// State is where it stands.
func (m *Move) State() State { return m.state }

// Step is the step that it is at, from 0; -1: before the first.
func (m *Move) Step() int { return m.step }

// Share is the part of what is dealt now that goes to the new pool.
func (m *Move) Share() float64 { return m.share }

// Decisions gives what has been decided since it was asked last.
func (m *Move) Decisions() []Decision {
	list := m.log
	m.log = nil
	return list
}

// Place says which pool a request goes to. It fails with ErrUnsure where that can't be known
// and a wrong guess could make an effect happen twice.
func (m *Move) Place(now Time, a *Ask) (Unit, error) {
	if a.Keyed {
		if s, ok := m.keys.find(now, a.Key); ok {
			return m.again(now, a, s), nil
		}
	}
	if a.Key != 0 && (a.Named || a.Repeat) {
		if w, ok := m.books.waiting[a.Key]; ok {
			return m.again(now, a, w.unit.Side), nil
		}
	}
	side, p := OldPool, m.share
	if a.Keyed {
		var ok bool
		if side, p, ok = m.keys.deal(now, a.Key, a.Draw, m.keyShare()); !ok {
			return Unit{}, ErrUnsure
		}
	} else if a.Draw < m.share {
		side = NewPool
	}
	if a.Repeat { // of a unit that has been booked, or that is not known
		return Unit{Side: side, strat: -1, class: a.Class, cost: a.Cost, began: now, placed: true}, nil
	}
	return m.books.open(now, a, side, p), nil
}

// again is a retry of a unit that is known.
func (m *Move) again(now Time, a *Ask, s Side) Unit {
	u := Unit{Side: s, strat: -1, key: a.Key, class: a.Class, cost: a.Cost, began: now, placed: true}
	if w, ok := m.books.waiting[a.Key]; ok {
		u.joins, u.due = true, w.unit.due
		m.books.tallies[s].Retries++
	}
	return u
}

// Ended takes in how a placed request ended.
func (m *Move) Ended(now Time, u *Unit, e End) {
	if u.placed {
		u.placed = false
		m.books.ended(now, u, e)
	}
}

// Tick looks at the move; it is called some ten times a second with the pools as they are.
func (m *Move) Tick(now Time, from, to Pool) {
	m.books.expire(now)
	if now >= m.restartAt {
		m.restartAt = now + restartEvery
		m.books.ev.restart()
	}
	if to.Ready {
		m.gone = 0
	} else if m.gone == 0 {
		m.gone = max(now, 1)
	}
	dt := m.books.flow.look(now)
	switch m.state {
	case Prepared:
		if from.Ready && to.Ready {
			m.goes(now, Started, 0)
		}
	case Held, Halted:
		if m.falls(now) {
			break
		}
		target := m.target()
		if paced := m.books.flow.paced(&to); m.share > paced && from.Ready { // more comes than it can be given
			m.share = paced
		} else if m.share < target {
			m.share = m.books.flow.towards(NewPool, &to, m.share, target, dt)
		} else if m.share > target && from.Ready { // From keeps warm, or a plan has changed
			m.share = 1 - m.books.flow.towards(OldPool, &from, 1-m.share, 1-target, dt)
		}
		if m.state == Held {
			m.advance(now, target)
		}
	case Undoing:
		m.share = 1 - m.books.flow.towards(OldPool, &from, 1-m.share, 1, dt)
		if m.share <= 1e-9 {
			m.share = 0
			m.goes(now, Empty, m.step)
		}
	case Done:
		if to.Ready {
			m.share = m.books.flow.towards(NewPool, &to, m.share, 1, dt)
		}
	}
	m.dealt(now)
}

// keyShare is the share that keys are dealt by.
func (m *Move) keyShare() float64 {
	if m.plan.KeysStay {
		return 0
	}
	return m.granted.clamp(m.share)
}

// Wants says whether keys wait for the move to be remembered, with Save, and granted.
func (m *Move) Wants() bool {
	w := m.wanted()
	return m.plan.Window > 0 && !m.plan.KeysStay && (w.low < m.granted.low || w.high > m.granted.high)
}

// wanted are the shares on the way to where the move is going.
func (m *Move) wanted() span {
	to := m.goal()
	return span{min(m.share, to), max(m.share, to)}
}

// goal is the share that the state leads to.
func (m *Move) goal() float64 {
	switch m.state {
	case Undoing, Undone:
		return 0
	case Done:
		return 1
	}
	return m.target()
}

// Grant says that what Save gave is remembered.
func (m *Move) Grant(now Time, s *Saved) {
	m.granted = span{s.Low, s.High}
	m.dealt(now)
}

// target is the share that the step leads to.
func (m *Move) target() float64 {
	if m.step < 0 {
		return 0
	}
	return min(m.plan.Steps[m.step], 1-m.plan.Keep)
}

// falls undoes or halts a move whose new pool loses more than the old.
func (m *Move) falls(now Time) bool {
	cause := Fell
	switch {
	case m.books.ev.fall() >= 1/m.plan.Error:
	case m.gone > 0 && now-m.gone >= goneAfter && m.share > 0:
		cause = Gone
	default:
		return false
	}
	if m.plan.OnFall == Halt {
		if m.state == Held {
			m.record(now, Halted, cause, m.step)
			m.state, m.since = Halted, now
			return true
		}
		return false
	}
	return m.goes(now, cause, m.step)
}

// advance takes the next step where the present one is proved.
func (m *Move) advance(now Time, target float64) {
	held := now - m.since
	if held < m.plan.Least || m.share < target || m.books.loss > m.plan.Worst {
		if held >= m.plan.Longest {
			m.goes(now, Doubted, m.step)
		}
		return
	}
	last := m.step == len(m.plan.Steps)-1
	proved := m.books.ev.holds() >= 1/gateError
	passed := held >= m.plan.Longest && m.plan.OnDoubt == AdvanceInDoubt
	switch {
	case last && (proved || passed) && m.plan.Steps[m.step] == 1:
		m.goes(now, Finished, m.step)
	case last: // the plan ends here: it is held
	case proved:
		m.goes(now, Proved, m.step+1)
	case passed:
		m.goes(now, Passed, m.step+1)
	case held >= m.plan.Longest:
		m.goes(now, Doubted, m.step)
	}
}

// goes makes a transition that the table has, and says whether it did.
func (m *Move) goes(now Time, c Cause, step int) bool {
	for _, t := range transitions {
		if t.from == m.state && t.cause == c {
			m.record(now, t.to, c, step)
			fresh := step != m.step || c == Resume
			m.state, m.step, m.since = t.to, step, now
			if fresh {
				m.books.step()
			}
			if c == Back || c == Fell { // what has been proved is used up
				m.books.ev.forget()
			}
			return true
		}
	}
	return false
}

func (m *Move) record(now Time, to State, c Cause, step int) {
	m.log = append(m.log, Decision{At: now, From: m.state, To: to, Cause: c, Step: step, Share: m.share, Fall: m.books.ev.fall(), Holds: m.books.ev.holds(),
		Pools: [2]Tally{m.books.tally(OldPool), m.books.tally(NewPool)}, Loss: m.books.loss})
}

// Tell is an operator's word: Pause, Resume or Back.
func (m *Move) Tell(now Time, c Cause) error {
	if c < Pause || !m.goes(now, c, m.step) {
		return fmt.Errorf("%w: it is %v, and %v is asked for", ErrState, m.state, c)
	}
	if m.state == Held && m.step < 0 { // it was paused before it had begun
		m.state = Prepared
	}
	return nil
}

// dealt notes that keys are dealt by another share, for those that come again after a
// restart.
func (m *Move) dealt(now Time) {
	by := m.keys.by(now, m.keyShare())
	if by == m.dealtBy {
		return
	}
	left := span{min(by, m.dealtBy), max(by, m.dealtBy)}
	m.keys.life = span{min(left.low, m.keys.life.low), max(left.high, m.keys.life.high)}
	m.dealtBy = by
	if n := len(m.history); n > 0 && now-m.history[n-1].at < historySpan {
		h := &m.history[n-1]
		h.low, h.high = min(h.low, left.low), max(h.high, left.high)
		return
	}
	keep := m.history[:0]
	for _, h := range m.history {
		if now-h.at <= m.plan.Window {
			keep = append(keep, h)
		}
	}
	if len(keep) == mostHistory { // the two oldest are told as one, which is wider and no less true
		keep[1].low, keep[1].high = min(keep[0].low, keep[1].low), max(keep[0].high, keep[1].high)
		keep = append(keep[:0], keep[1:]...)
	}
	m.history = append(keep, change{now, left})
}

// Retire ends a move that the configuration does not name any more: keys keep their pools
// for a window, and nothing is dealt.
func (m *Move) Retire(now Time) { m.retired = now + 2*m.plan.Window }

// Lasts says whether a retired move still knows keys.
func (m *Move) Lasts(now Time) bool {
	return m.retired == 0 || now < m.retired || m.keys.sharedUntil == frozen
}

// Pool is the pool that a key belongs to, for a move that has been retired; known is false for
// any. draw is the key's, as in Ask. It fails with ErrUnsure as Place does.
func (m *Move) Pool(now Time, key uint64, draw float64) (pool string, known bool, err error) {
	side, known := m.keys.find(now, key)
	if !known && m.keys.forgot(now) {
		if side, _, known = m.keys.deal(now, key, draw, m.dealtBy); !known {
			return "", false, ErrUnsure
		}
	}
	if !known {
		return "", false, nil
	}
	return m.PoolOf(side), true, nil
}

// PoolOf names a side's pool.
func (m *Move) PoolOf(s Side) string {
	if s == NewPool {
		return m.plan.To
	}
	return m.plan.From
}

// Status is a move for people.
type Status struct {
	Name     string   `json:"name"`
	From     string   `json:"from"`
	To       string   `json:"to"`
	State    string   `json:"state"`
	Step     int      `json:"step"` // from 1; 0: before the first
	Steps    int      `json:"steps"`
	Share    float64  `json:"share"`
	Target   float64  `json:"target"`
	HeldMS   int64    `json:"held_ms"`
	Fall     float64  `json:"fall"`
	FallAt   float64  `json:"fall_at"`
	Holds    float64  `json:"holds"`
	HoldsAt  float64  `json:"holds_at"`
	Loss     float64  `json:"loss"`
	Pools    [2]Tally `json:"pools"`
	Waiting  int      `json:"waiting"`
	SetAside int      `json:"set_aside"`
	Keys     int      `json:"keys"`
	Pinned   bool     `json:"pinned"`
}

// Status is the move as it stands now.
func (m *Move) Status(now Time) Status {
	return Status{Name: m.plan.Name, From: m.plan.From, To: m.plan.To, State: m.state.String(), Step: m.step + 1, Steps: len(m.plan.Steps), Share: m.share, Target: m.goal(),
		HeldMS: (now - m.since).Milliseconds(), Fall: m.books.ev.fall(), FallAt: 1 / m.plan.Error, Holds: m.books.ev.holds(), HoldsAt: 1 / gateError, Loss: m.books.loss,
		Pools: [2]Tally{m.books.tally(OldPool), m.books.tally(NewPool)}, Waiting: len(m.books.waiting), SetAside: m.books.setAside, Keys: m.keys.now.n + m.keys.old.n, Pinned: now < m.keys.pinUntil}
}

// SetShare puts the share where it is wanted, for whoever only watches the traffic of another
// move: what is proved is then proved of that.
func (m *Move) SetShare(share float64) { m.share = share }
