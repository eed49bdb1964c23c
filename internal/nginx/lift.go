package nginx

import (
	"strings"
	"time"
)

// Import says in the gateway's own terms what a configuration means. text is a configuration
// file of ours; it is good only as far as the report says.
func Import(list []*Directive) (text string, report *Report) {
	m := &importer{report: &Report{}, upstreams: map[string]*upstream{}, answers: map[string]string{}, classes: map[string]bool{}, names: map[string]int{}}
	m.report.General = []string{
		"The balancer chooses by latency and load (failure-aware peak EWMA, choice of two) where nginx goes round by weights; weights say how often a server is among the two.",
		"A path is matched with its percent-encodings in one form, not decoded; one that could be read as another route's (`..`, `//`, `%2F`) is answered 400 where nginx resolves it first.",
		"What a request may do is not written in nginx. GET, HEAD, OPTIONS, TRACE, PUT and DELETE are tried again after they may have run, POST and PATCH only if that is sure not to be so, as proxy_next_upstream has it without non_idempotent.",
		"A request has a deadline as a whole (from proxy_read_timeout), not a time between two reads.",
		"An answer within 1 s counts as in time (`aim` of each class): a host that fails is left out for a few of it, and hosts are kept from holding more than they answer in it. Set it to what your service takes.",
		"Bodies of requests hold 64 KiB at most, answers 4 MiB.",
		"Hosts get X-Forwarded-For, -Proto, -Host and Via; what clients say of these is dropped.",
	}
	m.main(list)
	m.finish()
	m.unsaid(list)
	return m.out.String(), m.report
}

type importer struct {
	report    *Report
	out       strings.Builder
	upstreams map[string]*upstream
	order     []*upstream
	resolver  string // that names are asked of; "": none is named
	servers   []*server
	listens   []string          // addresses in order
	answers   map[string]string // name of a set by what it is made of
	sets      []string          // text of those
	classes   map[string]bool
	classText []string
	names     map[string]int
	routes    []string
	hostOrder int
}

// conf is what levels below take over unless they say it themselves.
type conf struct {
	read, connect time.Duration
	next          *Directive
	tries         int
	setHeaders    []*Directive
	addHeaders    []*Directive
	hide          []*Directive
	errorPages    []*Directive
	mostBody      int64 // client_max_body_size, if mostSaid; 0: any
	mostSaid      bool
	unbuffered    bool // proxy_request_buffering off
}

type step struct {
	expr, to, then string
}

func (m *importer) main(list []*Directive) {
	var c conf
	for _, d := range list {
		switch d.Name {
		case "http":
			m.report.say(d, Taken, "")
			m.http(d.Block, c)
		case "events":
			m.swallow(d, Needless, "")
		default:
			m.other(d)
		}
	}
}

// unsaid notes what nothing came to make use of: a setting that each level below replaces,
// or that stands where nothing is proxied.
func (m *importer) unsaid(list []*Directive) {
	for _, d := range list {
		if !m.report.said[d] {
			m.report.say(d, Needless, "nothing that was taken goes by it")
		}
		m.unsaid(d.Block)
	}
}

// swallow notes a directive with all that it holds.
func (m *importer) swallow(d *Directive, o Outcome, text string) {
	m.report.say(d, o, "%s", text)
	for _, x := range d.Block {
		m.swallow(x, o, text)
	}
}

// other notes a directive that has no meaning here.
func (m *importer) other(d *Directive) {
	switch {
	case needless[d.Name]:
		m.swallow(d, Needless, "")
	case left[d.Name] != "":
		m.swallow(d, Left, left[d.Name])
	case strings.Contains(d.Name, "lua"):
		m.swallow(d, Left, "code is not run")
	default:
		m.swallow(d, Left, "this directive is not known here")
	}
}

func (m *importer) http(list []*Directive, c conf) {
	for _, d := range list {
		if d.Name == "resolver" {
			m.resolverOf(d)
		}
	}
	for _, d := range list { // upstreams may stand behind those who name them
		if d.Name == "upstream" {
			m.upstream(d)
		}
	}
	c = m.inherit(list, c)
	for _, d := range list {
		switch {
		case d.Name == "upstream" || inherited[d.Name] || d.Name == "resolver":
		case d.Name == "server" && d.Braces:
			m.server(d, c)
		default:
			m.other(d)
		}
	}
}

var inherited = set("proxy_read_timeout", "proxy_connect_timeout", "proxy_send_timeout", "proxy_next_upstream", "proxy_next_upstream_tries", "proxy_next_upstream_timeout",
	"proxy_set_header", "add_header", "proxy_hide_header", "proxy_pass_header", "client_max_body_size", "proxy_request_buffering", "error_page")

// inherit is what holds at a level: what it says itself in place of what the level above
// does. Headers are taken over only where a level sets none.
func (m *importer) inherit(list []*Directive, c conf) conf {
	var sets, adds, hides, pages []*Directive
	for _, d := range list {
		switch d.Name {
		case "proxy_read_timeout":
			if t, ok := m.span(d); ok {
				c.read = t
				m.report.say(d, Differs, "the deadline of the whole request")
			}
		case "proxy_connect_timeout":
			if t, ok := m.span(d); ok {
				c.connect = t
				m.report.say(d, Differs, "of the pool: the shortest that any location names")
			}
		case "proxy_send_timeout":
			m.report.say(d, Differs, "the deadline bounds sending as well")
		case "proxy_next_upstream":
			c.next = d
		case "proxy_next_upstream_tries":
			if n, ok := m.count(d); ok {
				c.tries = n
				m.report.say(d, Differs, "of the pool, and 4 at the most")
			}
		case "proxy_next_upstream_timeout":
			m.report.say(d, Differs, "the deadline bounds all attempts together")
		case "proxy_set_header":
			sets = append(sets, d)
		case "add_header":
			adds = append(adds, d)
		case "proxy_hide_header":
			hides = append(hides, d)
		case "error_page":
			pages = append(pages, d)
		case "proxy_pass_header":
			m.report.say(d, Differs, "all but hop-by-hop fields are passed on")
		case "client_max_body_size":
			if n, ok := size(d.Text(0)); ok && n >= 0 {
				c.mostBody, c.mostSaid = n, true
			} else {
				m.report.say(d, Left, "%q is no size", d.Text(0))
			}
		case "proxy_request_buffering":
			c.unbuffered = d.Text(0) == "off"
			if !c.unbuffered {
				m.report.say(d, Differs, "bodies come whole up to 64 KiB before a host gets them, and go on as they come beyond that")
			}
		}
	}
	if sets != nil {
		c.setHeaders = sets
	}
	if adds != nil {
		c.addHeaders = adds
	}
	if hides != nil {
		c.hide = hides
	}
	if pages != nil {
		c.errorPages = pages
	}
	return c
}

// rewrite reads a rewrite directive.
func (m *importer) rewrite(d *Directive, inLocation bool) (s step, ok bool) {
	if len(d.Args) < 2 || len(d.Args) > 3 {
		m.report.say(d, Left, "an expression, a replacement and a flag are wanted")
		return s, false
	}
	expr, err := regular(d.Text(0), false)
	if err != nil {
		m.report.say(d, Left, "%v", err)
		return s, false
	}
	to := d.Text(1)
	redirect := strings.HasPrefix(to, "http://") || strings.HasPrefix(to, "https://") || strings.HasPrefix(to, "$scheme")
	for _, v := range variablesOf(to) {
		if !(len(v) == 1 && v >= "0" && v <= "9") {
			m.report.say(d, Left, "$%s in a replacement is not evaluated: write the route by hand", v)
			return s, false
		}
	}
	s = step{expr: expr, to: captures(to)}
	switch flag := d.Text(2); {
	case flag == "permanent":
		s.then = "moved"
	case flag == "redirect" || redirect:
		s.then = "redirect"
	case flag == "last" || flag == "" && !inLocation:
		s.then = "again"
		if flag == "" {
			s.then = "next"
		}
	case flag == "break":
		s.then = "break"
	case flag == "":
		s.then = "next"
	default:
		m.report.say(d, Left, "the flag %q is not known", flag)
		return s, false
	}
	if s.then != "redirect" && s.then != "moved" && !strings.HasPrefix(to, "/") && !strings.HasPrefix(to, "$") {
		m.report.say(d, Left, "the replacement is no path")
		return s, false
	}
	m.report.say(d, Taken, "")
	return s, true
}
