// Package shift decides how traffic moves from one pool to another: which pool a request goes
// to while it does, whether the new pool holds what the old one did, when the next step may be
// taken and when all goes back. It does no I/O, starts nothing and is handed the clock; it
// knows of no pool but its name, and nothing of hosts.
//
// plan.go says what a move is, move.go is its states, flow.go how fast shares change, units.go
// what is counted, evidence.go what that proves, keys.go which pool a key belongs to, saved.go
// what outlives a process. docs/design/moves.md has the tables.
package shift

import (
	"errors"
	"fmt"
	"slices"
	"time"
)

// Time is an instant on the gateway's clock.
type Time = time.Duration

// Plan is a move as it is configured.
type Plan struct {
	Name     string
	From, To string        // pools
	Routes   []string      // that move
	Steps    []float64     // shares of To, growing; at most 1
	Least    time.Duration // that a step is held
	Longest  time.Duration // without proof either way, before Doubt decides
	// Tolerate is the loss of worth, as a share, that is no fall yet.
	Tolerate float64
	// Margin is the loss that must be ruled out before the next step.
	Margin float64
	// Error is how likely a move that costs nothing is undone all the same, over all its time.
	Error float64
	// Worst is the loss in both pools together above which nothing is advanced.
	Worst   float64
	OnFall  OnFall
	OnDoubt OnDoubt
	// Keep is the share that From keeps until the move is done, so that it stays warm.
	Keep float64
	// Window is the longest of its keyed classes: so long a key belongs to the pool of its first
	// try. 0: no class of it is keyed.
	Window time.Duration
	// KeysStay says that keyed requests stay with From: where several gateways, which share
	// nothing, deal them, a key that comes again over another one would go by that one's share.
	KeysStay bool
}

// OnFall says what a fall leads to.
type OnFall uint8

// What a fall leads to.
const (
	Undo OnFall = iota
	Halt
)

// OnDoubt says what becomes of a step after Longest without proof.
type OnDoubt uint8

// What doubt leads to.
const (
	HaltInDoubt OnDoubt = iota
	AdvanceInDoubt
)

// Defaults of a plan.
const (
	DefaultLeast    = time.Minute
	DefaultLongest  = 30 * time.Minute
	DefaultTolerate = 0.005
	DefaultMargin   = 0.03
	DefaultError    = 0.01
	DefaultWorst    = 0.1
	DefaultKeep     = 0.02
)

// FieldError is an error of a plan, with the field that is wrong.
type FieldError struct {
	Field string
	Err   error
}

func (e *FieldError) Error() string { return e.Field + ": " + e.Err.Error() }

// Check says what is wrong with a plan: a *FieldError, or nil.
func (p *Plan) Check() error {
	fail := func(field, format string, args ...any) error { return &FieldError{field, fmt.Errorf(format, args...)} }
	switch {
	case p.Name == "":
		return &FieldError{"name", errors.New("a move needs a name")}
	case p.From == "" || p.To == "" || p.From == p.To:
		return fail("to", "a move leads from one pool to another")
	case len(p.Steps) == 0 || len(p.Steps) > 100:
		return fail("steps", "from 1 to 100 are wanted")
	case p.Least <= 0 || p.Longest < p.Least:
		return fail("longest", "least is above 0, and longest not below it")
	case !(p.Tolerate >= 0 && p.Tolerate < 1):
		return fail("tolerate", "%v is not from 0 to 1", p.Tolerate)
	case !(p.Margin > 0 && p.Margin < 1):
		return fail("margin", "%v is not between 0 and 1", p.Margin)
	case !(p.Error > 0 && p.Error <= 0.2):
		return fail("error", "%v is not above 0 and up to 0.2", p.Error)
	case !(p.Worst > 0 && p.Worst <= 1):
		return fail("worst", "%v is not above 0 and up to 1", p.Worst)
	case !(p.Keep >= leastKeep && p.Keep < 0.5):
		return fail("keep", "%v is not from %v to 0.5", p.Keep, leastKeep)
	}
	before := 0.0
	for _, s := range p.Steps {
		if !(s > before && s <= 1) {
			return fail("steps", "they grow, from above 0 to 1 at most: %v does not", s)
		}
		before = s
	}
	return nil
}

const leastKeep = 0.001

// Same says whether another plan is this move: what differs then is only which routes move.
func (p *Plan) Same(q *Plan) bool {
	x, y := *p, *q
	x.Routes, y.Routes, x.Steps, y.Steps, x.Window, y.Window = nil, nil, nil, nil, 0, 0
	return x.plain() == y.plain() && slices.Equal(p.Steps, q.Steps)
}

func (p Plan) plain() string { return fmt.Sprintf("%+v", p) }
