package route

import (
	"fmt"
	"math/bits"
	"slices"
	"strings"
)

// unreachable finds routes of which every request goes to a better one. It looks for one
// better route that covers them; several that do so only together are not found.
func (t *Table) unreachable(entries []*entry) (bad []Problem) {
	for _, e := range entries {
		if by := t.cover(e); by != nil {
			bad = append(bad, Problem{Route: e.Route, Warning: true, Text: fmt.Sprintf(
				"can never be reached: route %q%s stands before it and matches all that it does", by.Name, lineOf(by.Route))})
		}
	}
	sortProblems(bad)
	return bad
}

// cover finds a better route that matches all that e does. Such a one is found on the
// walk of any request that e matches, so one is tried.
func (t *Table) cover(e *entry) (found *entry) {
	host := e.host
	if host == "" {
		host = "any.host.invalid"
	} else if host[0] == '.' {
		host = "any" + host
	}
	t.walk(host, samplePath(e), func(x *entry) bool {
		switch {
		case x == e || compare(x, e) > 0:
			return false
		case coversHost(x, e) && coversPath(x, e) && coversMethods(x, e) && len(x.Listeners) == 0 &&
			implied(e.headers, x.headers) && implied(e.Query, x.Query) && compare(x, e) < 0:
			found = x
			return false
		}
		return true
	})
	return found
}

// samplePath is a path that the entry matches; for a regular expression it stands for
// whatever it matches and is found below the prefix of no segments only.
func samplePath(e *entry) string {
	switch {
	case e.Path.Kind == Regexp:
		return "/\x00"
	case e.path == "":
		return "/"
	}
	return e.path
}

// walk calls f for the entries that could match host and path, in order of precedence,
// until it says to stop. Regular expressions are all taken to match.
func (t *Table) walk(host, path string, f func(*entry) bool) {
	for i := range t.levels {
		l := &t.levels[i]
		list := []*paths{l.hosts[host]}
		for at := strings.IndexByte(host, '.'); at > 0; {
			list = append(list, l.suffixes[host[at:]])
			next := strings.IndexByte(host[at+1:], '.')
			if next < 0 {
				break
			}
			at += 1 + next
		}
		for at := strings.LastIndexByte(host, '.'); at > 0; at = strings.LastIndexByte(host[:at], '.') {
			list = append(list, l.tails[host[:at+1]])
		}
		for _, h := range l.patterns {
			if h.expr.MatchString(host) {
				list = append(list, h.paths)
			}
		}
		for _, p := range append(list, l.any) {
			if p != nil && !p.walk(path, f) {
				return
			}
		}
	}
}

func (p *paths) walk(path string, f func(*entry) bool) bool {
	lists := [][]*entry{p.exact[path], p.exprs}
	for n := p.starts.longest(path); n != nil; n = n.up {
		lists = append(lists, n.list)
	}
	for end := len(path); ; end = strings.LastIndexByte(path[:end], '/') {
		if depth := strings.Count(path[:end], "/"); depth < bits.UintSize && p.depths&(1<<depth) != 0 {
			lists = append(lists, p.prefix[path[:end]])
		}
		if end <= 0 {
			break
		}
	}
	for _, list := range lists {
		for _, e := range list {
			if !f(e) {
				return false
			}
		}
	}
	return true
}

func coversHost(x, e *entry) bool {
	if x.hostRe != nil || e.hostRe != nil || strings.HasSuffix(x.host, ".*") || strings.HasSuffix(e.host, ".*") {
		return x.host == "" || x.host == e.host
	}
	return x.host == "" || x.host == e.host || x.host[0] == '.' && strings.HasSuffix(e.host, x.host) && e.host != x.host
}

func coversPath(x, e *entry) bool {
	switch {
	case x.Path.Kind == Prefix && x.path == "":
		return true
	case x.Path.Kind == Starts || e.Path.Kind == Starts: // which is the longest, and firm, decides
		return x.Path.Kind == Starts && e.Path.Kind == Starts && x.path == e.path
	case x.Path.Kind == Regexp && len(x.Path.Within) > 0:
		return false
	case x.Path.Kind == Regexp && e.Path.Kind == Exact:
		return x.expr.MatchString(e.path)
	case x.Path.Kind == Regexp && e.Path.Kind == Prefix:
		return e.path == "" && (x.path == ".*" || x.path == "/.*")
	case x.Path.Kind == Regexp || e.Path.Kind == Regexp:
		return x.Path.Kind == e.Path.Kind && (x.path == e.path || x.path == ".*" || x.path == "/.*")
	case x.Path.Kind == Exact:
		return e.Path.Kind == Exact && x.path == e.path
	}
	return under(e.path, x.path)
}

func coversMethods(x, e *entry) bool {
	return len(x.Methods) == 0 || len(e.Methods) > 0 &&
		!slices.ContainsFunc(e.Methods, func(m string) bool { return !slices.Contains(x.Methods, m) })
}

// implied says whether every condition of want holds where those of have do.
func implied(have, want []Condition) bool {
	return !slices.ContainsFunc(want, func(w Condition) bool {
		return !slices.ContainsFunc(have, func(h Condition) bool {
			return h.Name == w.Name && (w.Op == Present || h.Op >= w.Op && w.Op == HasPrefix && strings.HasPrefix(h.Value, w.Value) ||
				h.Op == Equals && w.Op == Equals && h.Value == w.Value)
		})
	})
}
