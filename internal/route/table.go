package route

import (
	"math/bits"
	"net/http"
	"regexp"
	"slices"
	"strings"
)

// Table is a compiled set of routes. It never changes, and any number of goroutines may
// use it.
type Table struct {
	routes []*Route // as given
	sorted []*entry // in order of precedence
	levels []level  // by priority, highest first
}

// level holds the routes of one priority.
type level struct {
	priority int
	hosts    map[string]*paths // by exact name
	suffixes map[string]*paths // by suffix with its dot: *.a.b stands at .a.b
	tails    map[string]*paths // by beginning with its dot: a.b.* stands at a.b.
	patterns []*hostPattern    // by order
	any      *paths
}

// hostPattern holds the routes of hosts that match an expression.
type hostPattern struct {
	text  string
	expr  *regexp.Regexp
	paths *paths
}

// paths holds the routes of one host. Entries of one path stand in order of precedence.
type paths struct {
	exact  map[string][]*entry
	starts starts
	exprs  []*entry // in order of precedence
	prefix map[string][]*entry
	depths uint64 // bit n: there is a prefix of n segments
}

// entry is a compiled route.
type entry struct {
	*Route
	host    string // normalised; with its dot and no star for a wildcard
	path    string // normalised; a prefix has no slash at its end
	expr    *regexp.Regexp
	hostRe  *regexp.Regexp // of a host that is an expression
	headers []Condition    // names are canonical
	strict  int            // of its conditions
}

const maxDepth = 60 // segments of a prefix

// find is the best route for a request whose host and path are normalised, or nil. It
// allocates nothing, and its cost does not grow with the number of routes but for those
// of one path or with regular expressions.
func (t *Table) find(r *Request, host, path string) *entry {
	for i := range t.levels {
		l := &t.levels[i]
		if p := l.hosts[host]; p != nil {
			if e := p.find(r, path); e != nil {
				return e
			}
		}
		if len(l.suffixes) > 0 {
			for at := strings.IndexByte(host, '.'); at >= 0; {
				if p := l.suffixes[host[at:]]; p != nil && at > 0 {
					if e := p.find(r, path); e != nil {
						return e
					}
				}
				next := strings.IndexByte(host[at+1:], '.')
				if next < 0 {
					break
				}
				at += 1 + next
			}
		}
		if len(l.tails) > 0 {
			for at := strings.LastIndexByte(host, '.'); at > 0; at = strings.LastIndexByte(host[:at], '.') {
				if p := l.tails[host[:at+1]]; p != nil {
					if e := p.find(r, path); e != nil {
						return e
					}
				}
			}
		}
		for _, h := range l.patterns {
			if h.expr.MatchString(host) {
				if e := h.paths.find(r, path); e != nil {
					return e
				}
			}
		}
		if l.any != nil {
			if e := l.any.find(r, path); e != nil {
				return e
			}
		}
	}
	return nil
}

func (p *paths) find(r *Request, path string) *entry {
	if len(p.exact) > 0 {
		if e := first(p.exact[path], r); e != nil {
			return e
		}
	}
	// The longest beginning that takes the request, with all that it asks for, decides
	// which expressions count.
	longest := p.starts.longest(path)
	var begins *entry
	for ; longest != nil; longest = longest.up {
		if begins = first(longest.list, r); begins != nil {
			break
		}
	}
	if begins != nil && begins.Path.Firm {
		return begins
	}
	for _, e := range p.exprs {
		if (len(e.Path.Within) == 0 || longest != nil && slices.Contains(e.Path.Within, longest.value)) && e.expr.MatchString(path) && e.matches(r) == "" {
			return e
		}
	}
	if begins != nil {
		return begins
	}
	if p.depths == 0 {
		return nil
	}
	// From the longest prefix that could be there to the shortest. A slash at the end of
	// the path begins an empty segment, so that every slash but the first ends a prefix.
	most := bits.Len64(p.depths) - 1
	end, depth := 0, 0
	for depth < most {
		next := strings.IndexByte(path[end+1:], '/')
		depth++
		if next < 0 {
			end = len(path)
			break
		}
		end += 1 + next
	}
	for {
		if p.depths&(1<<depth) != 0 {
			if e := first(p.prefix[path[:end]], r); e != nil {
				return e
			}
		}
		if depth == 0 {
			return nil
		}
		depth--
		end = strings.LastIndexByte(path[:end], '/')
	}
}

// first is the first entry whose other conditions hold.
func first(list []*entry, r *Request) *entry {
	for i, e := range list {
		if e.matches(r) != "" {
			continue
		}
		if r.Method == http.MethodHead && !e.names(http.MethodHead) && len(e.Methods) > 0 {
			// One that names HEAD stands before one that is level and takes it for GET.
			for _, x := range list[i+1:] {
				if compare(x, e) != 0 {
					break
				}
				if x.names(http.MethodHead) && x.matches(r) == "" {
					return x
				}
			}
		}
		return e
	}
	return nil
}

func (e *entry) names(method string) bool { return slices.Contains(e.Methods, method) }

// matches looks at what a route asks for besides host and path, and says what does not
// hold, or nothing.
func (e *entry) matches(r *Request) (lacks string) {
	if len(e.Methods) > 0 {
		found := false
		for _, m := range e.Methods {
			// HEAD is GET without the body (RFC 9110 section 9.3.2).
			found = found || m == r.Method || m == http.MethodGet && r.Method == http.MethodHead && !e.NoHead
		}
		if !found {
			return "the method"
		}
	}
	if len(e.Listeners) > 0 && !slices.Contains(e.Listeners, r.Listener) {
		return "the listener"
	}
	for i := range e.headers {
		c := &e.headers[i]
		v := r.Header[c.Name]
		if len(v) == 0 || !c.holds(v[0]) {
			return c.Name
		}
	}
	for i := range e.Query {
		c := &e.Query[i]
		if v, ok := param(r.Query, c.Name); !ok || !c.holds(v) {
			return c.Name
		}
	}
	return ""
}

func (c *Condition) holds(value string) bool {
	switch c.Op {
	case Equals:
		return value == c.Value
	case HasPrefix:
		return strings.HasPrefix(value, c.Value)
	}
	return true
}

// param is the first value of a parameter of a query (application/x-www-form-urlencoded).
// It allocates only where the value is encoded. What can't be decoded stays as it is.
func param(query, name string) (string, bool) {
	for query != "" {
		var pair string
		pair, query, _ = strings.Cut(query, "&")
		key, value, _ := strings.Cut(pair, "=")
		if pair != "" && decoded(key) == name {
			return decoded(value), true
		}
	}
	return "", false
}

func decoded(s string) string {
	if !strings.ContainsAny(s, "%+") {
		return s
	}
	out := make([]byte, 0, len(s))
	for i := 0; i < len(s); i++ {
		switch c := s[i]; c {
		case '+':
			out = append(out, ' ')
		case '%':
			if i+2 < len(s) {
				hi, ok1 := unhex(s[i+1])
				lo, ok2 := unhex(s[i+2])
				if ok1 && ok2 {
					out = append(out, hi<<4|lo)
					i += 2
					continue
				}
			}
			out = append(out, c)
		default:
			out = append(out, c)
		}
	}
	return string(out)
}

// Routes are the routes of the table in the order in which they were given.
func (t *Table) Routes() []*Route { return t.routes }

// canonical is a header's name as http.Header has it.
func canonical(name string) string { return http.CanonicalHeaderKey(name) }
