package headers

import (
	"fmt"
	"net/http"
	"slices"
)

// Change is one change to the header fields of a message. Exactly one of Set, Add and Remove is
// not empty and names the field.
type Change struct {
	Set, Add, Remove string
	To               string // the value, a template
}

// Problem describes an error in a Change.
type Problem struct {
	Change int    // the index of the Change
	Field  string // the name of the key in the configuration
	Text   string
}

// Ops is a compiled list of changes, applied in order. A nil Ops changes nothing. It is immutable.
type Ops struct{ list []op }

// op is a compiled Change.
type op struct {
	kind opKind
	name string    // in canonical form
	to   *Template // nil if kind is remove
}

// opKind is the kind of a change.
type opKind uint8

const (
	set opKind = iota
	add
	remove
)

// framing lists fields that a configuration may not change, as each side sets its own: fields that
// frame messages or concern a single connection (RFC 9110 section 7.6.1, RFC 9113 section 8.2.2),
// and X-Time-Left.
var framing = []string{"Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
	"Expect", "Content-Length", "X-Time-Left"}

// CompileOps checks and compiles changes. The Ops is nil if the list is empty or has a Problem.
func CompileOps(list []Change) (*Ops, []Problem) {
	if len(list) == 0 {
		return nil, nil
	}
	o := &Ops{}
	var bad []Problem
	for i, c := range list {
		report := func(field, format string, args ...any) {
			bad = append(bad, Problem{i, field, fmt.Sprintf(format, args...)})
		}
		x, field, name, names := op{}, "", "", 0
		for k, n := range [...]string{c.Set, c.Add, c.Remove} {
			if n != "" {
				names++
				x.kind, name, field = opKind(k), n, [...]string{"set", "add", "remove"}[k]
			}
		}
		x.name = http.CanonicalHeaderKey(name)
		switch {
		case names != 1:
			report("", "exactly one of set, add and remove must name the field")
			continue
		case !token(name):
			report(field, "%q is not a valid field name", name)
		case slices.Contains(framing, x.name):
			report(field, "%s is set by the gateway: it concerns the framing of messages or a single connection", x.name)
		case x.name == "Host":
			report(field, "the Host sent to hosts is set by the pool's authority")
		case x.kind == remove && c.To != "":
			report("to", "a field that is removed has no value")
		}
		if x.kind != remove {
			t, err := Compile(c.To)
			if err != nil {
				report("to", "%v", err)
			}
			x.to = t
		}
		o.list = append(o.list, x)
	}
	if len(bad) > 0 {
		return nil, bad
	}
	return o, nil
}

// Apply applies the changes to h. If it returns an error, some may have been applied. The map h
// must belong to the caller; its slices of values may be shared, and are not modified.
func (o *Ops) Apply(h http.Header, v *Vars) error {
	if o == nil {
		return nil
	}
	for i := range o.list {
		x := &o.list[i]
		if x.kind == remove {
			delete(h, x.name)
			continue
		}
		value, err := x.to.Expand(v)
		if err != nil {
			return fmt.Errorf("%s: %w", x.name, err)
		}
		if x.kind == add {
			h[x.name] = append(slices.Clip(h[x.name]), value)
		} else {
			h[x.name] = []string{value}
		}
	}
	return nil
}
