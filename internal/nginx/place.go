package nginx

import (
	"fmt"
	"strconv"
	"strings"

	"frostshift/internal/route"
)

// placeKind is a kind of location ("location" in the reference of ngx_http_core_module).
type placeKind uint8

const (
	byPrefix placeKind = iota
	byFirm             // ^~
	byExact            // =
	byExpr             // ~ and ~*
	byName             // @
)

// location is a location with what it does.
type location struct {
	d      *Directive
	kind   placeKind
	value  string // of a prefix or an exact path, in the form that routes match
	expr   string
	conf   conf
	steps  []step
	ret    *Directive
	pass   *pass
	try    *location // a named location that does the work
	used   bool      // of a named one: something leads to it
	parent *location
	broken bool // something of it could not be taken that decides where requests go
}

// pass is a proxy_pass.
type pass struct {
	d      *Directive
	up     *upstream
	name   string // what stands as host: $proxy_host
	uri    string
	hasURI bool
}

func (m *importer) location(s *server, parent *location, d *Directive, above conf) {
	l := &location{d: d, parent: parent}
	modifier, value := modifierOf(d)
	fail := func(format string, args ...any) {
		m.swallow(d, Left, fmt.Sprintf(format, args...))
	}
	switch modifier {
	case "":
		l.kind = byPrefix
		if strings.HasPrefix(value, "@") {
			l.kind = byName
		}
	case "=":
		l.kind = byExact
	case "^~":
		l.kind = byFirm
	case "~", "~*":
		l.kind = byExpr
		expr, err := regular(value, modifier == "~*")
		if err != nil {
			fail("%v", err)
			return
		}
		l.expr = expr
	default:
		fail("the modifier %q is not known", modifier)
		return
	}
	switch l.kind {
	case byName:
		fail("there is another location of this name, or it lies within one")
		return
	case byExpr:
	default:
		var err error
		if l.value, err = encoded(value); err != nil {
			fail("%v", err)
			return
		}
	}
	if why := misplaced(l); why != "" {
		fail("%s", why)
		return
	}
	m.report.say(d, Taken, "")
	s.locations = append(s.locations, l)
	m.contents(s, l, above)
}

// modifierOf parts a location's modifier from its value; it may stand close.
func modifierOf(d *Directive) (modifier, value string) {
	if len(d.Args) == 2 {
		return d.Text(0), d.Text(1)
	}
	value = d.Text(0)
	if len(d.Args) != 1 || d.Args[0].Quoted {
		return "", value
	}
	for _, x := range []string{"=", "^~", "~*", "~"} {
		if strings.HasPrefix(value, x) {
			return x, value[len(x):]
		}
	}
	return "", value
}

// misplaced says why a location can't stand where it does; empty: it can.
func misplaced(l *location) string {
	switch parent := l.parent; {
	case parent == nil:
		return ""
	case parent.kind == byExpr || parent.kind == byExact:
		return "locations within this kind of location are not taken"
	case l.kind != byExpr && !strings.HasPrefix(l.value, parent.value):
		return "it lies outside the location around it"
	}
	return ""
}

// contents reads what stands in a location.
func (m *importer) contents(s *server, l *location, above conf) {
	l.conf = m.inherit(l.d.Block, above)
	for _, x := range l.d.Block {
		switch {
		case inherited[x.Name]:
		case x.Name == "proxy_pass":
			m.proxyPass(s, l, x)
		case x.Name == "set":
			m.set(s, x)
		case x.Name == "try_files" && len(x.Args) > 0 && s.named[x.Text(len(x.Args)-1)] != nil && l.kind != byName:
			l.try = s.named[x.Text(len(x.Args)-1)]
			l.try.used = true
			m.report.say(x, Differs, "no files are served here: all requests go on to %s", l.try.d.Text(0))
		case x.Name == "rewrite":
			if l.ret != nil {
				m.report.say(x, Needless, "the return before it ends the request")
			} else if l.kind == byName {
				m.report.say(x, Left, "rewrites in a named location are not taken")
				l.broken = true
			} else if st, ok := m.rewrite(x, true); ok {
				l.steps = append(l.steps, st)
			} else {
				l.broken = true
			}
		case x.Name == "return":
			if l.ret != nil {
				m.report.say(x, Needless, "the one before it ends the request")
			} else {
				l.ret = x
			}
		case x.Name == "location" && x.Braces:
			m.location(s, l, x, l.conf)
		default:
			if x.Name == "if" || x.Name == "try_files" || strings.HasSuffix(x.Name, "_pass") {
				l.broken = true
			}
			m.other(x)
		}
	}
}

// namedLocation takes a location that only others lead to.
func (m *importer) namedLocation(s *server, d *Directive) {
	name := d.Text(0)
	if s.named[name] != nil {
		return // location says so
	}
	l := &location{d: d, kind: byName}
	s.named[name] = l
	m.report.say(d, Taken, "")
	m.contents(s, l, s.conf)
}

// encoded is a literal path of nginx, which matches decoded paths, as routes match it.
func encoded(path string) (string, error) {
	var b strings.Builder
	for i := 0; i < len(path); i++ {
		switch c := path[i]; {
		case c == '%' || c == '?' || c == '#' || c <= ' ' || c >= 0x7f:
			fmt.Fprintf(&b, "%%%02X", c)
		default:
			b.WriteByte(c)
		}
	}
	return route.NormalPath(b.String())
}

func (m *importer) proxyPass(s *server, l *location, d *Directive) {
	url, why := s.vars.target(d.Text(0), l)
	rest, ok := strings.CutPrefix(url, "http://")
	switch {
	case why != "":
		m.report.say(d, Left, "%s", why)
	case len(d.Args) != 1 || l.pass != nil:
		m.report.say(d, Left, "one URL is wanted")
	case strings.Contains(url, "$"):
		m.report.say(d, Left, "the variables in it are not evaluated: write a route for each value")
	case strings.HasPrefix(url, "https://"):
		m.report.say(d, Left, "hosts are not asked over TLS")
	case !ok || strings.HasPrefix(rest, "unix:"):
		m.report.say(d, Left, "only http:// to addresses and upstreams is spoken")
	default:
		p := &pass{d: d, name: rest}
		if i := strings.IndexByte(rest, '/'); i >= 0 {
			p.name, p.uri, p.hasURI = rest[:i], rest[i:], true
		}
		if p.hasURI && (l.kind == byExpr || l.kind == byName) {
			m.report.say(d, Left, "in a location by expression or name proxy_pass has no URI")
			return
		}
		if strings.Contains(p.uri, "?") {
			m.report.say(d, Left, "a query in the URI is not taken")
			return
		}
		if p.up = m.upstreams[p.name]; p.up == nil {
			p.up = &upstream{name: p.name}
			if address, ok := hostAddress(p.name); ok {
				p.up.servers = []upstreamServer{{address: address, weight: 1}}
			} else if p.up.lookup = lookupOf(p.name); p.up.lookup == nil || m.resolver == "" {
				m.report.say(d, Left, "%q is neither an upstream nor an address, and http names no resolver: write a pool with a dns source", p.name)
				return
			}
			m.upstreams[p.name] = p.up
			m.order = append(m.order, p.up)
		}
		if len(p.up.servers) == 0 && p.up.lookup == nil {
			m.report.say(d, Left, "no server of the upstream %q was taken", p.name)
			return
		}
		m.report.say(d, Taken, "")
		if c := l.conf.connect; c > 0 && (p.up.connect == 0 || c < p.up.connect) {
			p.up.connect = c
		}
		if n := l.conf.tries; n > 0 && (p.up.tries == 0 || n < p.up.tries) {
			p.up.tries = n
		}
		l.pass = p
		return
	}
	l.broken = true
}

// template turns a text with nginx's variables into one of ours; what has no counterpart is
// named.
func template(text string) (out, unknown string) {
	var b strings.Builder
	for i := 0; i < len(text); {
		if text[i] != '$' {
			b.WriteByte(text[i])
			i++
			continue
		}
		names := variablesOf(text[i:])
		name := names[0]
		if strings.HasPrefix(text[i+1:], "{") {
			i += len(name) + 3
		} else {
			i += len(name) + 1
		}
		switch {
		case name == "is_args" && strings.HasPrefix(text[i:], "$args"):
			// $uri$is_args$args, written in one piece below
			return "", "is_args"
		case variables[name] != "":
			b.WriteString("${" + variables[name] + "}")
		case strings.HasPrefix(name, "http_") && len(name) > 5:
			b.WriteString("${header." + strings.ReplaceAll(name[5:], "_", "-") + "}")
		default:
			return "", name
		}
	}
	return b.String(), ""
}

// variables of nginx, and ours for them.
var variables = map[string]string{"host": "hostname", "http_host": "host", "scheme": "scheme", "request_uri": "uri", "uri": "path", "document_uri": "path",
	"args": "query", "query_string": "query", "remote_addr": "client", "request_method": "method", "request_id": "id"}

// statusOf reads the status of a return.
func statusOf(d *Directive) (int, bool) {
	n, err := strconv.Atoi(d.Text(0))
	return n, err == nil && n >= 200 && n <= 599 && n != 444
}
