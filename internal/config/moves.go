package config

import (
	"cmp"
	"errors"
	"fmt"
	"slices"
	"time"

	"frostshift"
	"frostshift/internal/route"
	"frostshift/internal/shift"
)

// fileMove is a [[move]].
type fileMove struct {
	Name     string        `toml:"name"`
	Routes   []string      `toml:"routes"`
	From     string        `toml:"from"`
	To       string        `toml:"to"`
	Steps    []float64     `toml:"steps"`
	Least    time.Duration `toml:"least"`
	Longest  time.Duration `toml:"longest"`
	Tolerate *float64      `toml:"tolerate"`
	Margin   float64       `toml:"margin"`
	Error    float64       `toml:"error"`
	Worst    float64       `toml:"worst"`
	Keep     float64       `toml:"keep"`
	OnFall   string        `toml:"on_fall"`
	OnDoubt  string        `toml:"on_doubt"`
}

var defaultSteps = []float64{0.01, 0.05, 0.1, 0.25, 0.5, 1}

// moves reads the plans; which routes they lead is looked at with the routes.
func (d *doc) moves(f *file, m *Model) {
	for i, in := range f.Moves {
		key := fmt.Sprintf("move[%d]", i)
		p := shift.Plan{Name: in.Name, From: in.From, To: in.To, Routes: in.Routes, Steps: in.Steps,
			Least: cmp.Or(in.Least, shift.DefaultLeast), Longest: cmp.Or(in.Longest, max(shift.DefaultLongest, in.Least)),
			Tolerate: shift.DefaultTolerate, Margin: cmp.Or(in.Margin, shift.DefaultMargin), Error: cmp.Or(in.Error, shift.DefaultError),
			Worst: cmp.Or(in.Worst, shift.DefaultWorst), Keep: cmp.Or(in.Keep, shift.DefaultKeep)}
		if p.Steps == nil {
			p.Steps = defaultSteps
		}
		if in.Tolerate != nil {
			p.Tolerate = *in.Tolerate
		}
		switch in.OnFall {
		case "", "undo":
		case "halt":
			p.OnFall = shift.Halt
		default:
			d.fail(key+".on_fall", "%q is neither undo nor halt", in.OnFall)
		}
		switch in.OnDoubt {
		case "", "halt":
		case "advance":
			p.OnDoubt = shift.AdvanceInDoubt
		default:
			d.fail(key+".on_doubt", "%q is neither halt nor advance", in.OnDoubt)
		}
		if err := p.Check(); err != nil {
			var fe *shift.FieldError
			if errors.As(err, &fe) {
				d.fail(key+"."+fe.Field, "%v", fe.Err)
			}
		}
		for field, name := range map[string]string{"from": in.From, "to": in.To} {
			if name != "" && m.PoolNamed(name) == nil {
				d.fail(key+"."+field, "there is no pool %q", name)
			}
		}
		if slices.ContainsFunc(m.Moves, func(q shift.Plan) bool { return q.Name == in.Name }) {
			d.fail(key+".name", "there is another move %q", in.Name)
		}
		if len(in.Routes) == 0 {
			d.fail(key+".routes", "a move names the routes that it leads")
		}
		for j, name := range in.Routes {
			if !slices.ContainsFunc(f.Routes, func(r fileRoute) bool { return r.Name == name }) {
				d.fail(fmt.Sprintf("%s.routes[%d]", key, j), "there is no route %q", name)
			}
			if slices.ContainsFunc(m.Moves, func(q shift.Plan) bool { return slices.Contains(q.Routes, name) }) {
				d.fail(fmt.Sprintf("%s.routes[%d]", key, j), "another move leads route %q", name)
			}
		}
		m.Moves = append(m.Moves, p)
	}
}

// moved makes a route the move's that leads it: both pools get its requests, in the parts that
// the move says.
func (d *doc) moved(key string, r *route.Route, m *Model) {
	for i := range m.Moves {
		p := &m.Moves[i]
		if !slices.Contains(p.Routes, r.Name) || r.Name == "" {
			continue
		}
		for _, w := range r.Pools {
			if w.Pool != p.From && w.Pool != p.To {
				d.fail(key+".pools", "move %q leads this route from %q to %q, and %q is neither", p.Name, p.From, p.To, w.Pool)
			}
		}
		if len(r.Pools) == 0 {
			d.fail(key, "move %q leads this route, which has no pool", p.Name)
		}
		r.Pools = []route.Weighted{{Pool: p.From, Weight: 1}, {Pool: p.To, Weight: 1}}
	}
}

// windows says how long keys belong to a pool: as long as hosts drop repeats of them and, for
// whatever else must not run twice, as long as a client may still try.
func (d *doc) windows(m *Model) (warnings Errors) {
	if len(d.errs) > 0 {
		return nil
	}
	for i := range m.Moves {
		p := &m.Moves[i]
		keyed := false
		for _, r := range m.Table.Routes() {
			if !slices.Contains(p.Routes, r.Name) {
				continue
			}
			c := &m.Classes[m.ClassIndex(r.Class)]
			if c.ByMethod > 0 { // what is not safe of it
				c = &m.Classes[c.ByMethod]
			}
			switch c.Effect {
			case frostshift.Keyed:
				p.Window, keyed = max(p.Window, c.Window+c.Deadline), true
			case frostshift.Unsafe:
				p.Window = max(p.Window, 2*c.Deadline)
			}
		}
		if p.KeysStay = p.Window > 0 && m.Instances > 1; p.KeysStay {
			key := fmt.Sprintf("move[%d]", i)
			warnings = append(warnings, Error{File: d.file, Line: d.line(key), Key: key,
				Text: fmt.Sprintf("requests with an Idempotency-Key stay with %q: %d gateways, which share nothing, could send one key to both pools", p.From, m.Instances)})
		}
		if keyed && m.State == "" {
			d.fail(fmt.Sprintf("move[%d]", i), "it leads keyed requests, and where they went must outlive a restart: state names a folder")
		}
	}
	return warnings
}
