package nginx

import (
	"fmt"
	"net/netip"
	"regexp"
	"slices"
	"strconv"
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

// upstream becomes a pool.
type upstream struct {
	name    string
	servers []upstreamServer
	lookup  *lookup // hosts come from DNS instead
	connect time.Duration
	tries   int
	used    bool
}

// lookup is a name that stands for hosts.
type lookup struct {
	name string
	port int
}

type upstreamServer struct {
	address string
	weight  int
	backup  bool
}

// server is a virtual server.
type server struct {
	d         *Directive
	listens   []listen
	names     []string // as ours has them; "" is any
	conf      conf
	locations []*location
	named     map[string]*location // by name with @; reached by try_files and error_page
	vars      *variablesSet
	steps     []step
	ret       *Directive
	cert, key string
}

type listen struct {
	address  string
	isTLS    bool
	defaults bool
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
			n, err := strconv.Atoi(d.Text(0))
			if err != nil || n < 0 {
				m.report.say(d, Left, "%q is no number", d.Text(0))
			} else {
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

func (m *importer) span(d *Directive) (time.Duration, bool) {
	t, ok := span(d.Text(0))
	if !ok {
		m.report.say(d, Left, "%q is no time", d.Text(0))
	}
	return t, ok
}

// span reads a time as nginx has it ("Configuration file measurement units").
func span(text string) (sum time.Duration, ok bool) {
	units := []struct {
		suffix string
		unit   time.Duration
	}{{"ms", time.Millisecond}, {"s", time.Second}, {"m", time.Minute}, {"h", time.Hour}, {"d", 24 * time.Hour}, {"w", 7 * 24 * time.Hour}}
	for rest := text; rest != ""; {
		i := 0
		for i < len(rest) && rest[i] >= '0' && rest[i] <= '9' {
			i++
		}
		n, err := strconv.Atoi(rest[:i])
		if err != nil || n > 1e9 {
			return 0, false
		}
		rest = strings.TrimLeft(rest[i:], " ")
		if rest == "" {
			return sum + time.Duration(n)*time.Second, true
		}
		found := false
		for _, u := range units {
			if strings.HasPrefix(rest, u.suffix) {
				sum += time.Duration(n) * u.unit
				rest, found = strings.TrimLeft(rest[len(u.suffix):], " "), true
				break
			}
		}
		if !found {
			return 0, false
		}
	}
	return sum, text != ""
}

// size reads a size as nginx has it.
func size(text string) (int64, bool) {
	unit := int64(1)
	switch lower := strings.ToLower(text); {
	case strings.HasSuffix(lower, "k"):
		unit = 1 << 10
	case strings.HasSuffix(lower, "m"):
		unit = 1 << 20
	case strings.HasSuffix(lower, "g"):
		unit = 1 << 30
	}
	n, err := strconv.ParseInt(strings.TrimRight(text, "kKmMgG"), 10, 40)
	return n * unit, err == nil
}

func (m *importer) upstream(d *Directive) {
	u := &upstream{name: d.Text(0)}
	if len(d.Args) != 1 || m.upstreams[u.name] != nil || u.name == "" {
		m.swallow(d, Left, "an upstream has one name of its own")
		return
	}
	m.report.say(d, Taken, "")
	m.upstreams[u.name] = u
	m.order = append(m.order, u)
	for _, x := range d.Block {
		switch x.Name {
		case "server":
			m.upstreamServer(u, x)
		case "least_conn", "random", "least_time":
			m.report.say(x, Differs, "the balancer chooses by latency and load")
		case "keepalive", "keepalive_requests", "keepalive_timeout", "keepalive_time", "zone":
			m.report.say(x, Needless, "")
		default:
			m.other(x)
		}
	}
}

func (m *importer) upstreamServer(u *upstream, d *Directive) {
	s := upstreamServer{weight: 1}
	var ok bool
	if s.address, ok = hostAddress(d.Text(0)); !ok {
		if l := lookupOf(d.Text(0)); l != nil && len(d.Args) == 1 && m.resolver != "" && len(u.servers) == 0 && u.lookup == nil {
			u.lookup = l
			m.report.say(d, Differs, "its addresses are asked of the resolver, and again when their time is over; nginx asks once, at start")
		} else {
			m.report.say(d, Left, "%q is not an address: a name is taken alone in its upstream, without parameters, where http names a resolver; write the addresses behind it", d.Text(0))
		}
		return
	}
	if u.lookup != nil {
		m.report.say(d, Left, "a name and addresses do not stand together: write a pool with two sources")
		return
	}
	outcome, text := Taken, ""
	for _, a := range d.Args[min(1, len(d.Args)):] {
		name, value, _ := strings.Cut(a.Text, "=")
		switch name {
		case "weight":
			n, err := strconv.Atoi(value)
			if err != nil || n < 1 || n > 1000 {
				m.report.say(d, Left, "weight %q is not from 1 to 1000", value)
				return
			}
			s.weight = n
		case "backup":
			s.backup = true
		case "down":
			m.report.say(d, Taken, "it is down, and is not listed")
			return
		case "max_fails", "fail_timeout":
			outcome, text = Differs, "how often and how long a host is left out is the balancer's own, learnt from latency and errors"
		case "slow_start":
			outcome, text = Differs, "name cold_from and warm_after of the pool"
		default:
			m.report.say(d, Left, "%s has no counterpart", name)
		}
	}
	if slices.ContainsFunc(u.servers, func(x upstreamServer) bool { return x.address == s.address }) {
		m.report.say(d, Left, "%s stands twice: give the first the sum of both weights", s.address)
		return
	}
	m.report.say(d, outcome, "%s", text)
	u.servers = append(u.servers, s)
}

// resolverOf takes the first address of a resolver.
func (m *importer) resolverOf(d *Directive) {
	address := d.Text(0)
	if a, err := netip.ParseAddr(strings.Trim(address, "[]")); err == nil {
		address = netip.AddrPortFrom(a, 53).String()
	} else if _, err := netip.ParseAddrPort(address); err != nil {
		m.report.say(d, Left, "%q is not an address", address)
		return
	}
	m.resolver = address
	m.report.say(d, Differs, "the first address is asked; how long answers hold is what they say")
}

var hostName = regexp.MustCompile(`^([A-Za-z0-9_]([A-Za-z0-9_-]*[A-Za-z0-9_])?\.)*[A-Za-z]([A-Za-z0-9_-]*[A-Za-z0-9_])?\.?$`)

// lookupOf is a host name with its port, 80 by default; nil: it is none.
func lookupOf(text string) *lookup {
	name, port, has := strings.Cut(text, ":")
	l := &lookup{name: name, port: 80}
	if has {
		n, err := strconv.Atoi(port)
		if err != nil || n < 1 || n > 65535 {
			return nil
		}
		l.port = n
	}
	if !hostName.MatchString(name) || len(name) > 253 {
		return nil
	}
	return l
}

// hostAddress is the address of a server in an upstream: an IP address, port 80 by default.
func hostAddress(text string) (string, bool) {
	if ap, err := netip.ParseAddrPort(text); err == nil {
		return ap.String(), true
	}
	if a, err := netip.ParseAddr(strings.Trim(text, "[]")); err == nil {
		return netip.AddrPortFrom(a, 80).String(), true
	}
	return "", false
}

func (m *importer) server(d *Directive, above conf) {
	s := &server{d: d, named: map[string]*location{}, vars: variablesIn(d)}
	m.report.say(d, Taken, "")
	s.conf = m.inherit(d.Block, above)
	for _, x := range d.Block { // those that lead to them may stand before them
		if x.Name == "location" && len(x.Args) == 1 && strings.HasPrefix(x.Text(0), "@") {
			m.namedLocation(s, x)
		}
	}
	for _, x := range d.Block {
		switch {
		case inherited[x.Name]:
		case x.Name == "listen":
			m.listen(s, x)
		case x.Name == "server_name":
			m.serverName(s, x)
		case x.Name == "location" && x.Braces:
			if s.named[x.Text(0)] == nil {
				m.location(s, nil, x, s.conf)
			}
		case x.Name == "set":
			m.set(s, x)
		case x.Name == "ssl_certificate":
			s.cert = x.Text(0)
			m.report.say(x, Taken, "")
		case x.Name == "ssl_certificate_key":
			s.key = x.Text(0)
			m.report.say(x, Taken, "")
		case x.Name == "rewrite":
			if st, ok := m.rewrite(x, false); ok {
				s.steps = append(s.steps, st)
			}
		case x.Name == "return":
			if s.ret == nil {
				s.ret = x
			} else {
				m.report.say(x, Needless, "the one before it ends the request")
			}
		default:
			m.other(x)
		}
	}
	if len(s.listens) == 0 {
		s.listens = []listen{{address: "0.0.0.0:80"}}
	}
	m.servers = append(m.servers, s)
}

func (m *importer) listen(s *server, d *Directive) {
	address := d.Text(0)
	switch {
	case strings.HasPrefix(address, "unix:"):
		m.report.say(d, Left, "clients connect over TCP here")
		return
	case strings.HasPrefix(address, "*:"):
		address = "0.0.0.0" + address[1:]
	case strings.Trim(address, "0123456789") == "":
		address = "0.0.0.0:" + address
	case !strings.Contains(address, ":") || strings.HasSuffix(address, "]"):
		address += ":80"
	}
	if _, err := netip.ParseAddrPort(address); err != nil {
		m.report.say(d, Left, "%q is not an address", d.Text(0))
		return
	}
	l := listen{address: address}
	outcome, text := Taken, ""
	for _, a := range d.Args[1:] {
		name, _, _ := strings.Cut(a.Text, "=")
		switch name {
		case "ssl":
			l.isTLS = true
		case "default_server", "default":
			l.defaults = true
		case "http2", "reuseport", "backlog", "rcvbuf", "sndbuf", "deferred", "ipv6only", "so_keepalive", "fastopen", "bind":
			outcome, text = Differs, name+" is not needed here"
		default:
			m.report.say(d, Left, "%s has no counterpart", name)
			return
		}
	}
	m.report.say(d, outcome, "%s", text)
	s.listens = append(s.listens, l)
}

func (m *importer) serverName(s *server, d *Directive) {
	outcome, text := Taken, ""
	for _, a := range d.Args {
		name := a.Text
		switch {
		case name == "" || name == "_" || name == "__" || name == "--":
			if name == "" {
				outcome, text = Differs, "requests without a Host go to the default server"
			}
		case strings.HasPrefix(name, "~"):
			expr, err := regular(name[1:], true)
			if err != nil {
				m.report.say(d, Left, "%s: %v", name, err)
				continue
			}
			s.names = append(s.names, "~"+expr)
		case strings.HasPrefix(name, "*.") && !strings.Contains(name[1:], "*"):
			s.names = append(s.names, strings.ToLower(name))
		case strings.HasSuffix(name, ".*") && !strings.Contains(name[:len(name)-1], "*"):
			s.names = append(s.names, strings.ToLower(name))
		case strings.HasPrefix(name, "."):
			s.names = append(s.names, strings.ToLower(name[1:]), "*"+strings.ToLower(name))
		case strings.ContainsAny(name, "*$/ "):
			m.report.say(d, Left, "%q is no name that can be matched", name)
		default:
			s.names = append(s.names, strings.ToLower(name))
		}
	}
	m.report.say(d, outcome, "%s", text)
}

// regular turns an expression of PCRE into one of RE2, which may match anywhere. What RE2
// lacks is an error and never approximated.
func regular(expr string, fold bool) (string, error) {
	if strings.Contains(expr, `\Z`) || strings.Contains(expr, `\G`) || strings.Contains(expr, `\K`) || strings.Contains(expr, `\R`) || strings.Contains(expr, `\h`) || strings.Contains(expr, `(?#`) {
		return "", fmt.Errorf("RE2 can't say it")
	}
	// PCRE's $ also matches before a line end at the end; a path holds none unencoded.
	out := expr
	if fold {
		out = "(?i)" + out
	}
	if _, err := regexp.Compile(out); err != nil {
		return "", fmt.Errorf("RE2 can't say it: %w", err)
	}
	return out, nil
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

// variablesOf are the names of the variables in a text.
func variablesOf(text string) (names []string) {
	for i := 0; i < len(text); i++ {
		if text[i] != '$' {
			continue
		}
		rest := text[i+1:]
		if strings.HasPrefix(rest, "{") {
			name, _, _ := strings.Cut(rest[1:], "}")
			names = append(names, name)
			continue
		}
		n := 0
		for n < len(rest) && (rest[n] == '_' || rest[n] >= '0' && rest[n] <= '9' || rest[n] >= 'a' && rest[n] <= 'z' || rest[n] >= 'A' && rest[n] <= 'Z') {
			n++
			if n == 1 && rest[0] >= '0' && rest[0] <= '9' {
				break // $1 is one digit
			}
		}
		names = append(names, rest[:n])
	}
	return names
}

var oneDigit = regexp.MustCompile(`\$\{?([0-9])\}?`)

// captures writes $1 as ${1}, which ends there whatever follows.
func captures(text string) string { return oneDigit.ReplaceAllString(text, "$${$1}") }
