package nginx

import (
	"fmt"
	"io"
	"slices"
	"strings"
)

// Outcome says what became of a directive.
type Outcome uint8

// Outcomes.
const (
	Taken    Outcome = iota // as it is
	Differs                 // with another meaning, which the text tells
	Needless                // it is about nginx's own process or files: nothing here needs it
	Left                    // not taken
)

var outcomeTitles = [...]string{"Taken as it is", "Taken with another meaning", "Not needed here", "Not taken"}

// Entry is what became of one directive.
type Entry struct {
	Pos       Pos
	Name      string
	Directive string
	Outcome   Outcome
	Text      string // what differs, why it is not taken and what to write by hand
}

// Report is what became of each directive of a configuration.
type Report struct {
	Entries []Entry
	// General is what differs wherever it stands.
	General []string
	said    map[*Directive]bool
}

// say notes a directive. One may be noted more than once, with different texts.
func (r *Report) say(d *Directive, o Outcome, format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	e := Entry{d.Pos, d.Name, d.String(), o, text}
	if r.said[d] && slices.ContainsFunc(r.Entries, func(x Entry) bool { return x == e }) {
		return
	}
	if r.said == nil {
		r.said = map[*Directive]bool{}
	}
	r.said[d] = true
	r.Entries = append(r.Entries, e)
}

// LeftOut are the entries of what was not taken and whose names are not allowed.
func (r *Report) LeftOut(allowed []string) (list []Entry) {
	for _, e := range r.Entries {
		if e.Outcome == Left && !slices.Contains(allowed, e.Name) {
			list = append(list, e)
		}
	}
	return list
}

// Write writes the report, by outcome and then by place.
func (r *Report) Write(w io.Writer) error {
	var b strings.Builder
	b.WriteString("# What became of each directive\n")
	if len(r.General) > 0 {
		b.WriteString("\n## Wherever they stand\n\n")
		for _, g := range r.General {
			fmt.Fprintf(&b, "- %s\n", g)
		}
	}
	for o := Left; ; o-- {
		var list []Entry
		for _, e := range r.Entries {
			if e.Outcome == o {
				list = append(list, e)
			}
		}
		fmt.Fprintf(&b, "\n## %s: %d\n\n", outcomeTitles[o], len(list))
		for _, e := range list {
			text := e.Text
			if text != "" {
				text = ": " + text
			}
			fmt.Fprintf(&b, "- %s `%s`%s\n", e.Pos, strings.ReplaceAll(strings.ReplaceAll(e.Directive, "`", "'"), "\n", " "), text)
		}
		if o == 0 {
			break
		}
	}
	_, err := io.WriteString(w, b.String())
	return err
}
