package route

import (
	"cmp"
	"fmt"
	"regexp"
	"slices"
	"strings"
)

// Problem is something wrong with a route.
type Problem struct {
	Route   *Route
	Field   string // as the configuration names it; "" for the route as a whole
	Text    string
	Warning bool // the table works all the same
}

// Compile checks routes and lays them out as a table, which is nil if any Problem is not
// a warning. All problems come at once. The routes belong to the table from then on.
func Compile(routes []*Route) (*Table, []Problem) {
	var bad []Problem
	names := map[string]bool{}
	entries := make([]*entry, 0, len(routes))
	for i, r := range routes {
		r.Index = i
		say := func(field, format string, args ...any) {
			bad = append(bad, Problem{Route: r, Field: field, Text: fmt.Sprintf(format, args...)})
		}
		if r.Name == "" {
			say("name", "a route needs a name")
		} else if names[r.Name] {
			say("name", "there is another route %q", r.Name)
		}
		names[r.Name] = true
		before := len(bad)
		e := compile(r, say)
		if len(bad) == before {
			entries = append(entries, e)
		}
	}
	t := layOut(entries)
	t.routes = routes
	bad = append(bad, t.ambiguous()...)
	if slices.ContainsFunc(bad, func(p Problem) bool { return !p.Warning }) {
		return nil, bad
	}
	return t, append(bad, t.unreachable(entries)...)
}

// reporter takes in what is wrong with a field of a route.
type reporter func(field, format string, args ...any)

// compile checks one route by itself.
func compile(r *Route, say reporter) *entry {
	e := &entry{Route: r}
	compileHost(e, say)
	compilePath(e, say)
	checkMethods(r, say)
	e.headers = slices.Clone(r.Headers)
	for i := range e.headers {
		e.headers[i].Name = canonical(e.headers[i].Name)
	}
	e.strict += checkConditions("headers", e.headers, say) + checkConditions("query", r.Query, say)
	checkTarget(e, say)
	return e
}

// compileHost reads which hosts a route is for: a name, *.suffix, name.*, ~expression, or any.
func compileHost(e *entry, say reporter) {
	r := e.Route
	if text, ok := strings.CutPrefix(r.Host, "~"); ok {
		re, err := regexp.Compile(text)
		if err != nil {
			say("host", "%v", err)
		}
		e.host, e.hostRe = r.Host, re
	} else if name, ok := strings.CutSuffix(r.Host, ".*"); ok {
		host, err := NormalHost(name)
		if err != nil || host == "" || strings.ContainsAny(host, "*:") {
			say("host", "%q is no name before .*", r.Host)
		}
		e.host = host + ".*"
	} else if r.Host != "" {
		name, wild := strings.CutPrefix(r.Host, "*")
		host, err := NormalHost(name)
		switch {
		case err != nil || strings.Contains(name, "*") || strings.Contains(name, ":") && !strings.HasPrefix(name, "["):
			say("host", "%q is neither a name nor *.suffix", r.Host)
		case wild && (len(host) < 2 || host[0] != '.'), !wild && (host == "" || host[0] == '.'):
			say("host", "%q is neither a name nor *.suffix", r.Host)
		}
		e.host = host
	}
}

// compilePath reads which paths a route is for.
func compilePath(e *entry, say reporter) {
	path := e.Route.Path
	var err error
	switch path.Kind {
	case Regexp:
		if e.expr, err = regexp.Compile("^(?:" + path.Value + ")$"); err != nil {
			say("expression", "%v", err)
		}
		e.path = path.Value
	case Exact:
		if e.path, err = normalPattern(path.Value); err != nil {
			say("path", "%v", err)
		}
	case Starts:
		if e.path, err = normalPattern(path.Value); err != nil {
			say("starts", "%v", err)
		}
	default:
		if path.Value != "" {
			if e.path, err = normalPattern(path.Value); err != nil {
				say("prefix", "%v", err)
			}
			e.path = strings.TrimSuffix(e.path, "/")
		}
		if strings.Count(e.path, "/") > maxDepth {
			say("prefix", "more than %d segments", maxDepth)
		}
	}
}

func checkMethods(r *Route, say reporter) {
	seen := map[string]bool{}
	for _, m := range r.Methods {
		if m == "" || strings.ContainsFunc(m, func(c rune) bool { return c <= ' ' || c > '~' || strings.ContainsRune(`"(),/:;<=>?@[\]{}`, c) }) {
			say("methods", "%q is no method", m)
		} else if seen[m] {
			say("methods", "%s stands twice", m)
		}
		seen[m] = true
	}
}

// checkConditions checks the conditions on headers or query, and says how strict they are together.
func checkConditions(field string, list []Condition, say reporter) (strict int) {
	names := map[string]bool{}
	for _, c := range list {
		switch {
		case c.Name == "":
			say(field, "a condition needs a name")
		case field == "headers" && c.Name == "Host":
			say(field, "the host is matched by host")
		case names[c.Name]:
			say(field, "%s stands twice", c.Name)
		}
		names[c.Name] = true
		strict += int(c.Op)
	}
	return strict
}

// checkTarget checks where a route sends its requests, and what as.
func checkTarget(e *entry, say reporter) {
	r := e.Route
	total := 0
	pools := map[string]bool{}
	for _, w := range r.Pools {
		switch {
		case w.Pool == "":
			say("pools", "a pool needs a name")
		case pools[w.Pool]:
			say("pools", "pool %q stands twice", w.Pool)
		case w.Weight < 0 || w.Weight > 1e6:
			say("pools", "weight %d of pool %q is not from 0 to 1000000", w.Weight, w.Pool)
		}
		pools[w.Pool] = true
		total += max(w.Weight, 0)
	}
	switch {
	case len(r.Steps) > 0 && len(r.Pools) == 0: // they lead elsewhere, or there is nothing here
	case r.Own && (len(r.Pools) > 0 || r.Fallback != "" || !r.Rewrite.none()):
		say("", "the gateway answers itself: there is no pool to send to and nothing to rewrite")
	case r.Own:
	case len(r.Pools) == 0:
		say("pool", "a route needs a pool")
	case total == 0:
		say("pools", "no pool has a weight")
	case r.Fallback != "" && pools[r.Fallback]:
		say("fallback", "pool %q is the route's own", r.Fallback)
	}
	if r.Stable.Header != "" && r.Stable.Query != "" {
		say("stable", "by a header or by a query parameter, not both")
	}
	compileRewrite(e, say)
}

// compileRewrite checks how a route rewrites paths, and brings its patterns into their normal form.
func compileRewrite(e *entry, say reporter) {
	r, rw := e.Route, &e.Route.Rewrite
	ways := 0
	for _, used := range []bool{rw.Strip != "", rw.Replace != "", rw.Expr != nil} {
		if used {
			ways++
		}
	}
	if ways > 1 {
		say("rewrite", "one of strip, replace and expression")
	}
	if rw.Strip != "" {
		p, err := normalPattern(rw.Strip)
		p = strings.TrimSuffix(p, "/")
		switch {
		case err != nil:
			say("rewrite.strip", "%v", err)
		case r.Path.Kind == Regexp || r.Path.Kind == Starts || !under(e.path, p):
			say("rewrite.strip", "%q does not begin every path of the route", rw.Strip)
		}
		rw.Strip = p
	}
	if rw.Replace != "" {
		p, err := normalPattern(rw.Replace)
		switch {
		case err != nil:
			say("rewrite.replace", "%v", err)
		case r.Path.Kind == Regexp:
			say("rewrite.replace", "the route has a regular expression, no prefix or path to replace")
		}
		if r.Path.Kind == Starts { // byte by byte, as it stands
			p = rw.Replace
		}
		if r.Path.Kind == Prefix {
			p = strings.TrimSuffix(p, "/")
		}
		rw.Replace = p
		if p == "" {
			rw.Replace = "/"
		}
	}
}

// under says whether a path lies at or below a prefix that has no slash at its end.
func under(path, prefix string) bool {
	return strings.HasPrefix(path, prefix) && (len(path) == len(prefix) || path[len(prefix)] == '/')
}

// layOut builds the table of entries that have been checked.
func layOut(entries []*entry) *Table {
	t := &Table{sorted: slices.Clone(entries)}
	slices.SortStableFunc(t.sorted, func(x, y *entry) int { return cmp.Or(compare(x, y), cmp.Compare(x.Name, y.Name)) })
	for _, e := range t.sorted {
		n := len(t.levels)
		if n == 0 || t.levels[n-1].priority != e.Priority {
			t.levels = append(t.levels, level{priority: e.Priority, hosts: map[string]*paths{}, suffixes: map[string]*paths{}})
			n++
		}
		l := &t.levels[n-1]
		var p *paths
		switch {
		case e.hostRe != nil:
			p = l.pattern(e)
		case strings.HasSuffix(e.host, ".*"):
			if l.tails == nil {
				l.tails = map[string]*paths{}
			}
			p = pathsOf(l.tails, strings.TrimSuffix(e.host, "*"))
		case e.host == "":
			if l.any == nil {
				l.any = newPaths()
			}
			p = l.any
		case e.host[0] == '.':
			p = pathsOf(l.suffixes, e.host)
		default:
			p = pathsOf(l.hosts, e.host)
		}
		switch e.Path.Kind {
		case Exact:
			p.exact[e.path] = append(p.exact[e.path], e)
		case Regexp:
			p.exprs = append(p.exprs, e)
		case Starts:
			p.starts.add(e)
		default:
			p.prefix[e.path] = append(p.prefix[e.path], e)
			p.depths |= 1 << strings.Count(e.path, "/")
		}
	}
	t.each(func(p *paths) { p.starts.link() })
	return t
}

// pattern is where the routes of a host that is an expression stand.
func (l *level) pattern(e *entry) *paths {
	for _, h := range l.patterns {
		if h.text == e.host {
			return h.paths
		}
	}
	h := &hostPattern{e.host, e.hostRe, newPaths()}
	l.patterns = append(l.patterns, h)
	return h.paths
}

func newPaths() *paths {
	return &paths{exact: map[string][]*entry{}, prefix: map[string][]*entry{}}
}

func pathsOf(m map[string]*paths, host string) *paths {
	if m[host] == nil {
		m[host] = newPaths()
	}
	return m[host]
}

// each calls f for the paths of each host.
func (t *Table) each(f func(*paths)) {
	for _, l := range t.levels {
		for _, m := range []map[string]*paths{l.hosts, l.suffixes, l.tails} {
			for _, p := range m {
				f(p)
			}
		}
		for _, h := range l.patterns {
			f(h.paths)
		}
		if l.any != nil {
			f(l.any)
		}
	}
}

// buckets calls f for each set of entries of one priority, host and path.
func (t *Table) buckets(f func([]*entry)) {
	t.each(func(p *paths) {
		for _, list := range p.exact {
			f(list)
		}
		for _, list := range p.prefix {
			f(list)
		}
		same := map[string][]*entry{}
		for _, e := range p.exprs {
			same[e.path] = append(same[e.path], e)
		}
		for _, list := range same {
			f(list)
		}
		var nodes func(n *startNode)
		nodes = func(n *startNode) {
			if len(n.list) > 0 {
				f(n.list)
			}
			for _, k := range n.kids {
				nodes(k)
			}
		}
		if p.starts.root != nil {
			nodes(p.starts.root)
		}
	})
}
