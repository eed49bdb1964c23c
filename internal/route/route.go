// Package route finds where a request goes: which route of a table matches it, which of
// the route's pools gets it, and under what path. A table is compiled once, checked as a
// whole, and never changes; it may be used by any number of goroutines. The package does
// no I/O, reads no clock and knows nothing of pools but their names.
//
// # Precedence
//
// Of the routes that match a request the best wins. The order is total and does not
// depend on the order in the file:
//
//  1. the higher Priority
//  2. an exact host, then a wildcard in front (the longer suffix first), then one at the end
//     (the longer first), then an expression (by order), then any host
//  3. an exact path, then a beginning that is firm if it is the longest, then a regular
//     expression (by its order, the longer pattern first, then in alphabetical order), then a
//     beginning (the longer first), then a prefix (the one of more segments first)
//  4. named methods (the fewer first), then any method
//  5. more conditions on headers, then more conditions on the query, then the stricter
//     ones (exact, prefix, present; a longer prefix first)
//
// Two routes that are still level and that one request could match both are refused as
// ambiguous; a Priority settles which is meant.
//
// route.go says what a route is, normal.go brings hosts and paths to one form, compile.go
// checks routes against one another, table.go looks up, pick.go chooses the pool and
// rewrites the path, explain.go tells why.
package route

import (
	"regexp"
	"strings"
)

// Route sends the requests that match it to pools.
type Route struct {
	Name     string // for people; unique
	Line     int    // where it stands in its file; 0: nowhere
	Priority int    // the higher one wins whatever else; usually 0

	Host string // exact name, "*.suffix", "prefix.*", "~expression" or "" for any
	// HostOrder is the order of hosts that are expressions, the lower one first.
	HostOrder int
	Order     int // of expressions: the lower one is tried first, before their length counts
	Path      Path
	Methods   []string // none: any; GET means HEAD as well, unless NoHead
	NoHead    bool
	Headers   []Condition // all must hold
	Listeners []string    // names; none: any
	Query     []Condition

	Service  string // what it is called in logs
	Class    string
	Pools    []Weighted // one at least; weights need not add up to anything
	Stable   Key        // by what the pool is chosen, where there are several
	Own      bool       // the gateway answers itself: there are no pools
	Fallback string     // pool for when the first has no host that is ready
	Rewrite  Rewrite
	Steps    []Step // run before Rewrite; a path that they changed is not rewritten further

	// Index is the route's place in the list that was compiled; Compile sets it.
	Index int
}

// PathKind says how a path is matched.
type PathKind uint8

// Kinds of path. The zero Path, a prefix of no segments, matches any.
const (
	Prefix PathKind = iota // by whole segments: /a matches /a, /a/ and /a/b, not /ab
	Exact
	Regexp // the whole path, RE2 syntax
	Starts // by bytes: /a matches /a, /ab and /a/b; the longest of a host counts
)

// Path is a condition on the normalised path.
type Path struct {
	Kind  PathKind
	Value string
	// Firm says of Starts that no expression counts where it is the longest that matches.
	Firm bool
	// Within says of an expression that it counts only where the longest Starts that
	// matches is one of these; empty: wherever.
	Within []string
}

// Condition is one on the first value of a header or query parameter. The zero Op only
// asks for it to be present, be it empty.
type Condition struct {
	Name  string
	Op    Op
	Value string
}

// Op says how a value is matched.
type Op uint8

// Ops, from lax to strict.
const (
	Present Op = iota
	HasPrefix
	Equals
)

// Weighted is a pool with its share of a route's requests.
type Weighted struct {
	Pool   string
	Weight int // 0: it gets none
}

// Key names what a request's pool is kept stable by: requests of one value go to one
// pool. Requests without it, and all where it is empty, are split at random.
type Key struct {
	Header, Query string // one of them at most
}

// Rewrite changes the path that goes on to hosts; the zero Rewrite leaves the bytes as
// the client sent them. It acts on the normalised path, and the query stays.
type Rewrite struct {
	Strip   string         // this prefix, by whole segments, goes
	Replace string         // the route's own prefix or exact path becomes this
	Expr    *regexp.Regexp // where it matches, the match becomes Sub
	Sub     string         // with $1 or ${name} for captures
}

func (r *Rewrite) none() bool { return r.Strip == "" && r.Replace == "" && r.Expr == nil }

// Request is what routes are matched against.
type Request struct {
	Method   string
	Listener string // where it came in
	Host     string // as it came: a port is ignored, and so is case
	Path     string // as it came
	Query    string // as it came, without the question mark
	Header   map[string][]string
	Random   uint64 // splits requests that have no stable key
}

// String is the route's match, in short.
func (r *Route) String() string {
	var b strings.Builder
	b.WriteString(r.Name)
	b.WriteString(" (")
	if r.Host == "" {
		b.WriteString("any host")
	} else {
		b.WriteString(r.Host)
	}
	switch r.Path.Kind {
	case Exact:
		b.WriteString(" path " + r.Path.Value)
	case Regexp:
		b.WriteString(" path ~ " + r.Path.Value)
	case Starts:
		b.WriteString(" path " + r.Path.Value + "*")
	default:
		b.WriteString(" prefix /" + strings.Trim(r.Path.Value, "/"))
	}
	if len(r.Methods) > 0 {
		b.WriteString(" " + strings.Join(r.Methods, ","))
	}
	for _, c := range r.Headers {
		b.WriteString(" header " + c.String())
	}
	for _, c := range r.Query {
		b.WriteString(" query " + c.String())
	}
	b.WriteString(")")
	return b.String()
}

func (c Condition) String() string {
	switch c.Op {
	case Equals:
		return c.Name + "=" + c.Value
	case HasPrefix:
		return c.Name + "=" + c.Value + "*"
	}
	return c.Name
}
