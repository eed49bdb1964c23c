package route

import (
	"cmp"
	"fmt"
	"net/url"
	"regexp"
	"slices"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

// What follows is a matcher of its own: it looks at every route for every request, knows
// nothing of how the table is laid out, and shares no code with it. It is slow and plain.

var (
	linearEscape  = regexp.MustCompile("%[0-9A-Fa-f]{2}")
	linearSlashes = regexp.MustCompile("//+")
	linearPlain   = regexp.MustCompile(`^[A-Za-z0-9\-._~/:@!$&'()*+,;=]$`)
	linearData    = regexp.MustCompile("^[A-Za-z0-9._~-]$")
)

// linearEncode brings encodings to one form; false: the path is none.
func linearEncode(path string) (string, bool) {
	if !strings.HasPrefix(path, "/") {
		return "", false
	}
	if rest := linearEscape.ReplaceAllString(path, ""); strings.Contains(rest, "%") {
		return "", false
	}
	var out strings.Builder
	for path != "" {
		if loc := linearEscape.FindStringIndex(path); loc != nil && loc[0] == 0 {
			text, err := url.PathUnescape(path[:3])
			if err != nil || text == "\x00" {
				return "", false
			}
			if linearData.MatchString(text) {
				out.WriteString(text)
			} else {
				out.WriteString(strings.ToUpper(path[:3]))
			}
			path = path[3:]
			continue
		}
		switch c := path[0]; {
		case c <= ' ' || c == 0x7f || c == '?' || c == '#':
			return "", false
		case c < 0x80 && linearPlain.MatchString(string(rune(c))):
			out.WriteByte(c)
		default:
			fmt.Fprintf(&out, "%%%02X", c)
		}
		path = path[1:]
	}
	return out.String(), true
}

// linearDots is remove_dot_segments, step by step as RFC 3986 section 5.2.4 has it.
func linearDots(in string) string {
	out := ""
	for in != "" {
		switch {
		case strings.HasPrefix(in, "/./"):
			in = in[2:]
		case in == "/.":
			in = "/"
		case strings.HasPrefix(in, "/../"):
			in = in[3:]
			out = out[:max(strings.LastIndex(out, "/"), 0)]
		case in == "/..":
			in = "/"
			out = out[:max(strings.LastIndex(out, "/"), 0)]
		default:
			end := strings.Index(in[1:], "/")
			if end < 0 {
				end = len(in) - 1
			}
			out += in[:end+1]
			in = in[end+1:]
		}
	}
	return out
}

func linearReadings(path string) (out []string) {
	one := func(p string) string { return linearSlashes.ReplaceAllString(p, "/") }
	for _, p := range []string{path, strings.ReplaceAll(strings.ReplaceAll(path, "%2F", "/"), "%5C", "/")} {
		out = append(out, linearDots(p), p, one(p), linearDots(one(p)), one(linearDots(p)))
	}
	return out
}

func linearHost(pattern, host string) bool {
	pattern, host = strings.ToLower(pattern), strings.ToLower(strings.TrimSuffix(strings.Split(host, ":")[0], "."))
	switch {
	case pattern == "":
		return true
	case strings.HasPrefix(pattern, "*"):
		return strings.HasSuffix(host, pattern[1:]) && host != pattern[1:]
	}
	return host == pattern
}

func linearPath(p Path, path string) bool {
	switch p.Kind {
	case Exact:
		return path == p.Value
	case Regexp:
		loc := regexp.MustCompile(`\A(?:` + p.Value + `)\z`).FindStringIndex(path)
		return loc != nil
	}
	want := strings.TrimRight(p.Value, "/")
	return path == want || strings.HasPrefix(path, want+"/")
}

func linearConditions(list []Condition, first func(name string) (string, bool)) bool {
	for _, c := range list {
		v, ok := first(c.Name)
		if !ok || c.Op == Equals && v != c.Value || c.Op == HasPrefix && !strings.HasPrefix(v, c.Value) {
			return false
		}
	}
	return true
}

func linearMatches(r *Route, q *Request, path string) bool {
	query, err := url.ParseQuery(q.Query)
	if err != nil {
		panic(err) // the generator makes none such
	}
	return linearHost(r.Host, q.Host) && linearPath(r.Path, path) &&
		(len(r.Methods) == 0 || slices.Contains(r.Methods, q.Method)) &&
		linearConditions(r.Headers, func(n string) (string, bool) {
			v := q.Header[canonical(n)]
			return strings.Join(v[:min(1, len(v))], ""), len(v) > 0
		}) &&
		linearConditions(r.Query, func(n string) (string, bool) { return query.Get(n), query.Has(n) })
}

// linearRank is a key of which the greater one wins, the text of an expression, of which the
// earlier one wins where keys are level, and a key for where texts are too.
func linearRank(r *Route) (key []int, text string, rest []int) {
	host := 0
	if strings.HasPrefix(r.Host, "*") {
		host = len(r.Host)
	} else if r.Host != "" {
		host = 1000
	}
	var path [2]int
	switch r.Path.Kind {
	case Exact:
		path = [2]int{2, 0}
	case Regexp:
		path = [2]int{1, len(r.Path.Value)}
		text = r.Path.Value
	default:
		path = [2]int{0, strings.Count(strings.TrimRight(r.Path.Value, "/"), "/")}
	}
	methods := -len(r.Methods)
	if methods == 0 {
		methods = -1000
	}
	strict, length := 0, 0
	for _, c := range append(slices.Clone(r.Headers), r.Query...) {
		switch c.Op {
		case Equals:
			strict += 2
		case HasPrefix:
			strict++
			length += len(c.Value)
		}
	}
	return []int{r.Priority, host, path[0], path[1]}, text, []int{methods, len(r.Headers), len(r.Query), strict, length}
}

// linearFind is the best route for one reading of the path, and whether it is alone.
func linearFind(routes []*Route, q *Request, path string) (best *Route, alone bool) {
	alone = true
	for _, r := range routes {
		if !linearMatches(r, q, path) {
			continue
		}
		if best == nil {
			best = r
			continue
		}
		x, tx, restX := linearRank(r)
		y, ty, restY := linearRank(best)
		c := cmp.Or(slices.Compare(x, y), strings.Compare(ty, tx), slices.Compare(restX, restY))
		if c > 0 {
			best, alone = r, true
		} else if c == 0 {
			alone = false
		}
	}
	return best, alone
}

// linear is the route of a request, or an error.
func linear(routes []*Route, q *Request) (found *Route, alone bool, err error) {
	path, ok := linearEncode(q.Path)
	if !ok {
		return nil, true, ErrPath
	}
	all := linearReadings(path)
	found, alone = linearFind(routes, q, all[0])
	for _, p := range all[1:] {
		other, a := linearFind(routes, q, p)
		alone = alone && a
		if other != found {
			return nil, alone, ErrReadings
		}
	}
	return found, alone, nil
}

// Generators. The alphabets are small, so that routes overlap and requests match.

func draw[T any](t *rapid.T, name string, of ...T) T { return rapid.SampledFrom(of).Draw(t, name) }

func drawPath(t *rapid.T, segments ...string) string {
	n := rapid.IntRange(0, 4).Draw(t, "segments")
	path := ""
	for range n {
		path += "/" + draw(t, "segment", segments...)
	}
	if path == "" || rapid.Bool().Draw(t, "slash") {
		path += "/"
	}
	return path
}

func drawConditions(t *rapid.T, names ...string) (out []Condition) {
	for _, name := range names {
		switch draw(t, "condition", 0, 0, 0, 1, 2, 3) {
		case 1:
			out = append(out, Condition{Name: name})
		case 2:
			out = append(out, Condition{Name: name, Op: HasPrefix, Value: draw(t, "prefix", "1", "12", "x")})
		case 3:
			out = append(out, Condition{Name: name, Op: Equals, Value: draw(t, "value", "1", "12", "x", "")})
		}
	}
	return out
}

func drawRoute(t *rapid.T, name string) *Route {
	r := &Route{Name: name, Priority: draw(t, "priority", 0, 0, 0, 0, 1, -1),
		Host:    draw(t, "host", "", "", "a.test", "A.test", "b.a.test", "*.test", "*.a.test"),
		Headers: drawConditions(t, "X-One", "x-two"), Query: drawConditions(t, "q", "r s"),
		Pools: []Weighted{{"p", 1}}}
	switch draw(t, "kind", Prefix, Prefix, Exact, Regexp) {
	case Prefix:
		r.Path = Path{Kind: Prefix, Value: drawPath(t, "a", "b", "%61", "c%3A")}
	case Exact:
		r.Path = Path{Kind: Exact, Value: drawPath(t, "a", "b", "%61", "c%3A")}
	case Regexp:
		r.Path = Path{Kind: Regexp, Value: draw(t, "expression", "/a/.*", "/[ab]/b?", ".*", "/a|/b/a", "/(a|b)+", "/a/b")}
	}
	// The matcher above compares patterns as they stand: give it the normal form.
	if r.Path.Kind != Regexp {
		r.Path.Value, _ = linearEncode(r.Path.Value)
	}
	if rapid.Bool().Draw(t, "methods") {
		r.Methods = draw(t, "which", []string{"GET"}, []string{"POST"}, []string{"GET", "PUT"})
	}
	return r
}

func drawRequest(t *rapid.T) *Request {
	q := &Request{Method: draw(t, "method", "GET", "POST", "PUT"), Host: draw(t, "asked", "a.test", "A.TEST:80", "b.a.test.", "c.b.a.test", "x.test", "other"),
		Path:   drawPath(t, "a", "b", "c%3a", "%61", ".", "..", "", "%2e%2E", "a%2Fb", "%2f", "a\\b", "..%2fa", "%5c..", "ab", "\xc3\xa4", "a%00", "%zz", "%"),
		Query:  draw(t, "query", "", "q=1", "q=12&r+s=x", "r%20s=1&q", "q=&q=1", "%71=x&&r+s"),
		Header: map[string][]string{}}
	for _, name := range []string{"X-One", "X-Two"} {
		if v := draw(t, name, "none", "none", "1", "12", "x", "", "two"); v == "two" {
			q.Header[name] = []string{"1", "x"}
		} else if v != "none" {
			q.Header[name] = []string{v}
		}
	}
	return q
}

// compileMost compiles as many of the routes as are not ambiguous together.
func compileMost(t *rapid.T, routes []*Route) (*Table, []*Route, []Problem) {
	for {
		table, bad := Compile(routes)
		if table != nil {
			return table, routes, bad
		}
		for _, p := range bad {
			if !p.Warning && !strings.Contains(p.Text, "ambiguous") {
				t.Fatalf("route %v: %s: %s", p.Route, p.Field, p.Text)
			}
		}
		i := slices.IndexFunc(bad, func(p Problem) bool { return !p.Warning })
		routes = slices.DeleteFunc(slices.Clone(routes), func(r *Route) bool { return r == bad[i].Route })
	}
}

// tableIsLinear holds a table against the plain matcher: the same route for every
// request, one best route always, whatever the order of the file, and none that was said
// to be out of reach.
func tableIsLinear(t *rapid.T) {
	var routes []*Route
	for i := range rapid.IntRange(0, 12).Draw(t, "routes") {
		routes = append(routes, drawRoute(t, fmt.Sprintf("r%d", i)))
	}
	table, routes, bad := compileMost(t, routes)
	dead := map[*Route]string{}
	for _, p := range bad {
		dead[p.Route] = p.Text
	}
	turned := slices.Clone(routes)
	slices.Reverse(turned)
	other, moreBad := Compile(turned)
	if other == nil {
		t.Fatalf("in another order: %v", moreBad)
	}
	for range 12 {
		q := drawRequest(t)
		want, alone, wantErr := linear(routes, q)
		if !alone {
			t.Fatalf("two routes match %+v alike and were not refused as ambiguous", q)
		}
		got, err := table.Match(q)
		if err != wantErr || got.Route != want {
			t.Fatalf("%+v: got %v, %v, want %v, %v", q, got.Route, err, want, wantErr)
		}
		if again, err := other.Match(q); err != wantErr || again.Route != want {
			t.Fatalf("%+v: in another order of the file: got %v, %v, want %v, %v", q, again.Route, err, want, wantErr)
		}
		if why := dead[got.Route]; why != "" && got.Route != nil {
			t.Fatalf("%+v went to %v, of which was said that it %s", q, got.Route, why)
		}
		if m, losses, err := table.Explain(q); err != nil != (wantErr != nil) || m.Route != want {
			t.Fatalf("%+v: explained as %v, %v", q, m.Route, err)
		} else if err == nil {
			for _, l := range losses {
				if path, ok := linearEncode(q.Path); ok && linearMatches(l.Route, q, linearDots(path)) {
					t.Fatalf("%+v: %v is said to lose as %s, and matches", q, l.Route, l.Why)
				}
			}
		}
	}
}

func TestTableIsLinear(t *testing.T) { rapid.Check(t, tableIsLinear) }

func FuzzTableIsLinear(f *testing.F) { f.Fuzz(rapid.MakeFuzz(tableIsLinear)) }

// The longest beginning beside a look at each, for any set of them.
func TestStartsAgainstEach(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		text := rapid.StringOfN(rapid.SampledFrom([]rune("ab/")), 0, 6, -1)
		var tree starts
		var all []string
		for _, v := range rapid.SliceOfN(text, 1, 30).Draw(rt, "beginnings") {
			tree.add(&entry{Route: &Route{}, path: "/" + v})
			all = append(all, "/"+v)
		}
		tree.link()
		for range 20 {
			path := "/" + text.Draw(rt, "path")
			var want []string // longest first
			for _, v := range all {
				if strings.HasPrefix(path, v) && !slices.Contains(want, v) {
					want = append(want, v)
				}
			}
			slices.SortFunc(want, func(x, y string) int { return len(y) - len(x) })
			var got []string
			for n := tree.longest(path); n != nil; n = n.up {
				got = append(got, n.value)
			}
			if !slices.Equal(got, want) {
				rt.Fatalf("%q begins with %q, want %q of %q", path, got, want, all)
			}
		}
	})
}
