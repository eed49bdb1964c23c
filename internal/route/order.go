package route

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// compare orders entries by precedence, the better first; 0 says that they are level.
func compare(x, y *entry) int {
	return cmp.Or(
		cmp.Compare(y.Priority, x.Priority),
		cmp.Compare(hostRank(y), hostRank(x)),
		compareHostPatterns(x, y),
		comparePaths(x, y),
		compareMethods(x, y),
		cmp.Compare(min(1, len(y.Listeners)), min(1, len(x.Listeners))),
		cmp.Compare(len(y.headers), len(x.headers)),
		cmp.Compare(len(y.Query), len(x.Query)),
		cmp.Compare(y.strict, x.strict),
		cmp.Compare(prefixLength(y), prefixLength(x)),
	)
}

func hostRank(e *entry) int {
	switch {
	case e.host == "":
		return 0
	case e.hostRe != nil:
		return 1
	case strings.HasSuffix(e.host, ".*"):
		return 2 + len(e.host)
	case e.host[0] == '.':
		return 1<<10 + len(e.host)
	}
	return 1 << 20
}

var pathRank = [...]int{Prefix: 0, Starts: 1, Regexp: 2, Exact: 3}

func comparePaths(x, y *entry) int {
	if c := cmp.Compare(pathRank[y.Path.Kind], pathRank[x.Path.Kind]); c != 0 {
		return c
	}
	switch x.Path.Kind {
	case Prefix:
		return cmp.Compare(strings.Count(y.path, "/"), strings.Count(x.path, "/"))
	case Starts:
		return cmp.Compare(len(y.path), len(x.path))
	case Regexp:
		return cmp.Or(cmp.Compare(x.Order, y.Order), cmp.Compare(len(y.path), len(x.path)), cmp.Compare(x.path, y.path))
	}
	return 0
}

func compareMethods(x, y *entry) int {
	count := func(e *entry) int {
		if len(e.Methods) == 0 {
			return 1 << 20
		}
		return len(e.Methods)
	}
	return cmp.Compare(count(x), count(y))
}

// prefixLength is the sum of the lengths of what conditions with a prefix ask for.
func prefixLength(e *entry) (n int) {
	for _, list := range [...][]Condition{e.headers, e.Query} {
		for _, c := range list {
			if c.Op == HasPrefix {
				n += len(c.Value)
			}
		}
	}
	return n
}

// compareHostPatterns orders hosts that are expressions as those are tried.
func compareHostPatterns(x, y *entry) int {
	if x.hostRe == nil || y.hostRe == nil || x.host == y.host {
		return 0
	}
	return cmp.Or(cmp.Compare(x.HostOrder, y.HostOrder), cmp.Compare(x.host, y.host))
}

// ambiguous finds routes that are level and that one request could match both.
func (t *Table) ambiguous() (bad []Problem) {
	t.buckets(func(list []*entry) {
		for i, x := range list {
			for _, y := range list[i+1:] {
				if compare(x, y) != 0 {
					break // the list is in order
				}
				if x, y := inFile(x, y); together(x, y) {
					bad = append(bad, Problem{Route: y.Route, Text: fmt.Sprintf(
						"is ambiguous: route %q%s matches alike and neither is more specific; give one of them a priority", x.Name, lineOf(x.Route))})
				}
			}
		}
	})
	sortProblems(bad)
	return bad
}

func inFile(x, y *entry) (*entry, *entry) {
	if x.Index > y.Index {
		return y, x
	}
	return x, y
}

func lineOf(r *Route) string {
	if r.Line == 0 {
		return ""
	}
	return fmt.Sprintf(" (line %d)", r.Line)
}

func sortProblems(bad []Problem) {
	slices.SortStableFunc(bad, func(x, y Problem) int {
		return cmp.Or(cmp.Compare(x.Route.Index, y.Route.Index), cmp.Compare(x.Text, y.Text))
	})
}

// together says whether one request could match two entries of one host and path.
func together(x, y *entry) bool {
	if len(x.Methods) > 0 && len(y.Methods) > 0 &&
		!slices.ContainsFunc(x.Methods, func(m string) bool { return slices.Contains(y.Methods, m) }) {
		return false
	}
	if len(x.Listeners) > 0 && len(y.Listeners) > 0 &&
		!slices.ContainsFunc(x.Listeners, func(l string) bool { return slices.Contains(y.Listeners, l) }) {
		return false
	}
	return !apart(x.headers, y.headers) && !apart(x.Query, y.Query)
}

// apart says whether no values hold for both lists.
func apart(x, y []Condition) bool {
	for _, c := range x {
		for _, d := range y {
			if c.Name != d.Name {
				continue
			}
			if c.Op > d.Op {
				c, d = d, c
			}
			switch {
			case c.Op == Equals && c.Value != d.Value,
				c.Op == HasPrefix && d.Op == Equals && !strings.HasPrefix(d.Value, c.Value),
				c.Op == HasPrefix && d.Op == HasPrefix && !strings.HasPrefix(d.Value, c.Value) && !strings.HasPrefix(c.Value, d.Value):
				return true
			}
		}
	}
	return false
}
