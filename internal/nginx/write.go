package nginx

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

const (
	defaultRead  = 60 * time.Second
	mostDeadline = 10 * time.Minute
	mostTries    = 4
	// aim is within what an answer counts as in time: nginx has no such thing, and hosts that
	// fail are left out for a few of it.
	aim = time.Second
)

// finish writes the configuration.
func (m *importer) finish() {
	together := m.listenTogether()
	for _, s := range m.servers {
		m.serverRoutes(s, together)
	}
	w := &m.out
	w.WriteString("# Made from an nginx configuration. The report beside it says what was not taken.\n")
	for i, address := range m.listens {
		fmt.Fprintf(w, "\n[[listener]]\nname = %s\naddress = %s\n", str(m.listenerName(i)), str(address))
		for _, s := range m.servers {
			if s.cert != "" && slices.ContainsFunc(s.listens, func(l listen) bool { return l.address == address && l.isTLS }) {
				fmt.Fprintf(w, "tls = { certificate = %s, key = %s }\n", str(s.cert), str(s.key))
				break
			}
		}
	}
	for _, c := range m.classText {
		w.WriteString(c)
	}
	for _, a := range m.sets {
		w.WriteString(a)
	}
	for _, u := range m.order {
		if u.used {
			m.pool(u)
		}
	}
	for _, r := range m.routes {
		w.WriteString(r)
	}
}

func (m *importer) listenerName(i int) string { return fmt.Sprintf("clients-%d", i+1) }

// listenTogether collects the listeners and says whether all servers share them.
func (m *importer) listenTogether() bool {
	together := true
	for _, s := range m.servers {
		for _, l := range s.listens {
			if !slices.Contains(m.listens, l.address) {
				m.listens = append(m.listens, l.address)
			}
		}
	}
	for _, s := range m.servers {
		for _, a := range m.listens {
			together = together && slices.ContainsFunc(s.listens, func(l listen) bool { return l.address == a })
		}
	}
	for _, a := range m.listens {
		certificates := map[string]bool{}
		for _, s := range m.servers {
			for _, l := range s.listens {
				if l.address == a && l.isTLS {
					certificates[s.cert] = true
				}
			}
		}
		if len(certificates) > 1 {
			for _, s := range m.servers {
				if s.cert != "" {
					m.report.say(s.d, Left, "listener %s has one certificate: the first server's is taken", a)
				}
			}
		}
	}
	return together
}

// defaultAt is the server that takes requests at an address which no name matches: the one
// that says default_server, or the first ("How nginx processes a request").
func (m *importer) defaultAt(address string) *server {
	var first *server
	for _, s := range m.servers {
		for _, l := range s.listens {
			if l.address != address {
				continue
			}
			if l.defaults {
				return s
			}
			if first == nil {
				first = s
			}
		}
	}
	return first
}

// serverRoutes writes the routes of a server under each of its names.
func (m *importer) serverRoutes(s *server, together bool) {
	type under struct {
		host      string
		listeners []string
	}
	var all, defaults []string
	for i, a := range m.listens {
		if slices.ContainsFunc(s.listens, func(l listen) bool { return l.address == a }) {
			all = append(all, m.listenerName(i))
		}
		if m.defaultAt(a) == s {
			defaults = append(defaults, m.listenerName(i))
		}
	}
	if together {
		all = nil
	}
	var places []under
	seen := map[string]bool{}
	for _, name := range s.names {
		if !seen[name] && m.firstOfName(s, name) {
			seen[name] = true
			places = append(places, under{name, all})
		}
	}
	if len(defaults) > 0 {
		if len(defaults) == len(m.listens) {
			defaults = nil
		}
		places = append(places, under{"", defaults})
	}
	for _, p := range places {
		order := 0
		if strings.HasPrefix(p.host, "~") {
			m.hostOrder++
			order = m.hostOrder
		}
		head := ""
		if p.host != "" {
			head += "host = " + str(p.host) + "\n"
		}
		if order > 0 {
			head += fmt.Sprintf("host_order = %d\n", order)
		}
		if len(p.listeners) > 0 {
			head += "listeners = [" + list(p.listeners) + "]\n"
		}
		m.locations(s, head)
	}
}

// firstOfName says whether no server before this one has the name at one of its addresses:
// nginx ignores the later one.
func (m *importer) firstOfName(s *server, name string) bool {
	for _, x := range m.servers {
		if x == s {
			return true
		}
		if slices.Contains(x.names, name) && slices.ContainsFunc(x.listens, func(l listen) bool {
			return slices.ContainsFunc(s.listens, func(y listen) bool { return y.address == l.address })
		}) {
			m.report.say(s.d, Differs, "the name %q belongs to the server at %s", name, x.d.Pos)
			return false
		}
	}
	return true
}

func (m *importer) route(d *Directive, head, text string) {
	name := fmt.Sprintf("%s:%d", d.Pos.File[strings.LastIndexByte(d.Pos.File, '/')+1:], d.Pos.Line)
	m.names[name]++
	if n := m.names[name]; n > 1 {
		name = fmt.Sprintf("%s (%d)", name, n)
	}
	m.routes = append(m.routes, "\n[[route]]\nname = "+str(name)+"\n"+head+text)
}

func (m *importer) locations(s *server, head string) {
	defer func() {
		for _, l := range s.named {
			if !l.used {
				m.report.say(l.d, Differs, "nothing that was taken leads to it")
			}
		}
	}()
	first := ""
	for _, st := range s.steps {
		first += stepText(st, true)
	}
	if s.ret != nil { // before any location is looked for
		if text, ok := m.returns(s.ret, nil); ok {
			m.route(s.d, head, "prefix = \"/\"\n"+text+first)
			return
		}
	}
	values := map[string]bool{}
	for _, l := range s.locations {
		if l.kind != byExpr {
			values[l.value] = true
		}
	}
	order := 0
	catchAll := false
	seen := map[string]bool{}
	// Within a location its own expressions come before those around it.
	exprs := slices.Clone(s.locations)
	slices.SortStableFunc(exprs, func(x, y *location) int { return depth(y) - depth(x) })
	orders := map[*location]int{}
	for _, l := range exprs {
		if l.kind == byExpr {
			order++
			orders[l] = order
		}
	}
	for _, l := range s.locations {
		text := ""
		switch l.kind {
		case byExact:
			text = "path = " + str(l.value) + "\n"
		case byExpr:
			// It may match anywhere in the path.
			text = fmt.Sprintf("expression = %s\norder = %d\n", str("(?s).*(?:"+l.expr+").*"), orders[l])
			if strings.HasPrefix(l.expr, "(?i)") {
				text = fmt.Sprintf("expression = %s\norder = %d\n", str("(?is).*(?:"+l.expr[4:]+").*"), orders[l])
			}
			if l.parent != nil {
				text += "within = [" + list(within(s, l.parent)) + "]\n"
			}
		default:
			text = "starts = " + str(l.value) + "\n"
			if l.kind == byFirm {
				text += "firm = true\n"
			}
			catchAll = catchAll || l.value == "/"
		}
		if key := text; l.kind != byExpr && seen[key] {
			m.report.say(l.d, Left, "there is another location of the same path")
			continue
		} else {
			seen[key] = true
		}
		m.route(l.d, head, text+m.does(s, l)+first+stepsOf(l))
		if l.pass != nil && (l.kind == byPrefix || l.kind == byFirm) && l.value != "/" && strings.HasSuffix(l.value, "/") {
			// A request for the path without its slash is sent there ("location").
			if bare := strings.TrimSuffix(l.value, "/"); !values[bare] {
				m.route(l.d, head, "path = "+str(bare)+"\nredirect = { status = 301, to = \"${scheme}://${host}"+strings.ReplaceAll(l.value, "$", "$$")+"${question}\" }\n"+first)
			}
		}
	}
	if !catchAll {
		m.route(s.d, head, "starts = \"/\"\nanswer = { status = 404, body = \"not found\" }\n"+first)
	}
}

func depth(l *location) (n int) {
	for ; l.parent != nil; l = l.parent {
		n++
	}
	return n
}

// within are the prefixes of a location and of those in it.
func within(s *server, p *location) (out []string) {
	for _, l := range s.locations {
		for x := l; x != nil; x = x.parent {
			if x == p && l.kind != byExpr && l.kind != byExact {
				out = append(out, l.value)
			}
		}
	}
	return out
}

func stepsOf(l *location) (out string) {
	for _, s := range l.steps {
		out += stepText(s, false)
	}
	return out
}

func stepText(s step, first bool) string {
	text := fmt.Sprintf("[[route.step]]\nexpression = %s\nto = %s\nthen = %s\n", str(s.expr), str(s.to), str(s.then))
	if first {
		text += "first = true\n"
	}
	return text
}

// does is what a location does with its requests.
func (m *importer) does(s *server, l *location) string {
	if l.ret != nil {
		if l.pass != nil && slices.ContainsFunc(l.steps, func(s step) bool { return s.then == "break" }) {
			m.report.say(l.ret, Left, "a rewrite with break before it leads to proxy_pass: write two locations")
		}
		if text, ok := m.returns(l.ret, l); ok {
			return text
		}
	}
	if l.try != nil && l.try.ret != nil && len(l.steps) > 0 {
		m.report.say(l.try.ret, Left, "rewrites of %s come before it: write two locations", l.d.Pos)
		return "answer = { status = 404, body = \"not found\" }\n"
	}
	if l.try != nil && l.pass == nil && l.ret == nil {
		return m.does(s, l.try)
	}
	if l.pass == nil || l.ret != nil {
		if !l.broken && l.ret == nil && len(l.steps) == 0 {
			m.report.say(l.d, Differs, "it serves files or nothing: requests are answered 404")
		}
		if l.ret == nil && len(l.steps) > 0 {
			return "" // they lead elsewhere, or there is nothing here
		}
		return "answer = { status = 404, body = \"not found\" }\n"
	}
	l.pass.up.used = true
	var b strings.Builder
	fmt.Fprintf(&b, "class = %s\npool = %s\n", str(m.class(l)), str(l.pass.up.name))
	if a := m.answersOf(l); a != "" {
		fmt.Fprintf(&b, "answers = %s\n", str(a))
	}
	if l.pass.hasURI {
		fmt.Fprintf(&b, "rewrite = { replace = %s }\n", str(l.pass.uri))
	}
	if f := m.fallback(s, l); f != "" {
		fmt.Fprintf(&b, "fallback = %s\n", str(f))
	}
	upgrades := m.headers(&b, l)
	b.WriteString(l.conf.bodies(upgrades))
	return b.String()
}

// bodies is how bodies of a location flow: as nginx has it but for disks, on which it keeps
// what its memory does not hold.
func (c *conf) bodies(upgrades bool) string {
	most, mode, idle := int64(1<<20), "auto", 60*time.Second
	if c.mostSaid {
		most = c.mostBody
	}
	if c.unbuffered {
		mode = "stream"
	}
	if c.read > 0 {
		idle = max(c.read, 10*time.Millisecond)
	}
	text := fmt.Sprintf("bodies = { requests = %s, answers = \"stream\", idle = %s", str(mode), str(idle.String()))
	if most > 0 {
		text += fmt.Sprintf(", most = %d", most)
	}
	if upgrades {
		text += ", upgrades = [\"websocket\"]"
	}
	return text + " }\n"
}

// fallback is the pool of the named location that error_page leads to where no server of the
// location's own answers; "": there is none.
func (m *importer) fallback(s *server, l *location) (pool string) {
	for _, d := range l.conf.errorPages {
		n := len(d.Args) - 1
		to := s.named[d.Text(n)]
		codes := n > 0
		for i := range n {
			if c := d.Text(i); c != "502" && c != "503" && c != "504" && !(c == "=" && i == n-1) {
				codes = false
			}
		}
		switch {
		case to == nil || !codes:
			m.report.say(d, Left, "answers of errors are not replaced; 502, 503 and 504 may lead to a named location")
		case to.pass == nil || to.ret != nil || l.pass.hasURI || to.pass.up == l.pass.up || pool != "":
			m.report.say(d, Left, "it leads to no other pool under the same path: write the answer or a fallback by hand")
		default:
			pool = to.pass.up.name
			to.used, to.pass.up.used = true, true
			m.report.say(d, Differs, "its pool is the fallback for when no server of the first takes the request; one that may have run is not sent there")
		}
	}
	return pool
}

// returns is a return as an answer of the gateway's own.
func (m *importer) returns(d *Directive, l *location) (string, bool) {
	code, ok := statusOf(d)
	if url := d.Text(0); !ok && len(d.Args) == 1 && (strings.HasPrefix(url, "http") || strings.HasPrefix(url, "$scheme")) {
		code, ok = 302, true
		d = &Directive{Name: d.Name, Pos: d.Pos, Args: append([]Arg{{Text: "302"}}, d.Args...)}
	}
	if !ok {
		m.report.say(d, Left, "the status is none that can be answered")
		return "", false
	}
	text, unknown := template(strings.ReplaceAll(d.Text(1), "$is_args$args", "$question"))
	if unknown != "" {
		m.report.say(d, Left, "$%s has no counterpart", unknown)
		return "", false
	}
	m.report.say(d, Taken, "")
	if code == 301 || code == 302 || code == 303 || code == 307 || code == 308 {
		if strings.HasPrefix(text, "/") {
			text = "${scheme}://${host}" + text
		}
		return fmt.Sprintf("redirect = { status = %d, to = %s }\n", code, str(text)), true
	}
	if strings.Contains(text, "${") {
		m.report.say(d, Differs, "variables in a body stay as they are")
	}
	return fmt.Sprintf("answer = { status = %d, body = %s }\n", code, str(d.Text(1))), true
}

// class is the class of a location's requests: its deadline and what may be repeated.
func (m *importer) class(l *location) string {
	deadline := l.conf.read
	if deadline == 0 {
		deadline = defaultRead
	}
	deadline = min(max(deadline, time.Millisecond), mostDeadline)
	effect := "method"
	if d := l.conf.next; d != nil {
		for _, a := range d.Args {
			switch a.Text {
			case "off":
				effect = "unsafe"
			case "non_idempotent":
				effect = "safe"
			}
		}
	}
	name := effect + "-" + deadline.String()
	if !m.classes[name] {
		m.classes[name] = true
		m.classText = append(m.classText, fmt.Sprintf("\n[[class]]\nname = %s\neffect = %s\naim = %s\ndeadline = %s\n", str(name), str(effect), str(min(deadline, aim).String()), str(deadline.String())))
	}
	return name
}

// answersOf is the set of what answers mean by a location's proxy_next_upstream.
func (m *importer) answersOf(l *location) string {
	on := map[string]bool{"error": true, "timeout": true}
	if d := l.conf.next; d != nil {
		on = map[string]bool{}
		outcome, text := Differs, "what may be tried again follows from it and from the method"
		for _, a := range d.Args {
			on[a.Text] = true
			switch a.Text {
			case "error", "timeout", "invalid_header", "http_500", "http_502", "http_503", "http_504", "http_403", "http_404", "http_429":
			case "off":
				text = "nothing is tried again that may have run; what surely has not run still is"
			case "non_idempotent":
				text = "POST and PATCH are tried again although they may have run: the class says safe"
			default:
				outcome, text = Left, a.Text+" is not known"
			}
		}
		m.report.say(d, outcome, "%s", text)
	}
	var rules strings.Builder
	rule := func(what, value string) {
		fmt.Fprintf(&rules, "[[answers.rule]]\n%s\nanswer = %q\n", what, value)
	}
	for _, code := range []string{"403", "404", "429", "500", "502", "503", "504"} {
		if on["http_"+code] {
			rule("status = [\""+code+"\"]", "spare")
		}
	}
	rule("status = [\"408\", \"421\", \"500\", \"502-504\", \"600-999\"]", "final")
	for _, e := range [][2]string{{"error", "reset"}, {"timeout", "timeout"}, {"invalid_header", "malformed"}} {
		if !on[e[0]] {
			rule("event = \""+e[1]+"\"", "final")
		}
	}
	text := rules.String()
	if name := m.answers[text]; name != "" {
		return name
	}
	name := fmt.Sprintf("next-upstream-%d", len(m.answers)+1)
	m.answers[text] = name
	m.sets = append(m.sets, fmt.Sprintf("\n[[answers]]\nname = %s\n%s", str(name), text))
	return name
}

// headers is what a location changes in headers.
func (m *importer) headers(b *strings.Builder, l *location) (upgrades bool) {
	authority := l.pass.name // $proxy_host
	var request, response []string
	for _, d := range l.conf.setHeaders {
		name, value := d.Text(0), d.Text(1)
		lower := strings.ToLower(name)
		text, unknown := template(value)
		switch {
		case len(d.Args) != 2:
			m.report.say(d, Left, "a name and a value are wanted")
		case lower == "host" && (value == "$host" || value == "$http_host"):
			authority = "client"
			outcome, text := Taken, ""
			if value == "$host" {
				outcome, text = Differs, "with the port, if the client sent one"
			}
			m.report.say(d, outcome, "%s", text)
		case lower == "host" && value == "$proxy_host":
			m.report.say(d, Taken, "")
		case lower == "host" && strings.Contains(value, "$"):
			m.report.say(d, Left, "the variables in it are not evaluated")
		case lower == "host":
			authority = value
			m.report.say(d, Taken, "")
		case lower == "connection" || lower == "upgrade":
			switch {
			case value == "" || strings.EqualFold(value, "close") || strings.EqualFold(value, "keep-alive"):
				m.report.say(d, Needless, "connections are the gateway's own")
			case lower == "connection" && (strings.EqualFold(value, "upgrade") || value == "$http_connection"):
				m.report.say(d, Needless, "it goes with Upgrade")
			case lower == "upgrade" && value == "$http_upgrade":
				upgrades = true
				m.report.say(d, Differs, "to WebSocket alone")
			default:
				m.report.say(d, Left, "connections are not upgraded")
			}
		case lower == "x-forwarded-for" || lower == "x-forwarded-proto" || lower == "x-forwarded-host":
			if value == "$proxy_add_x_forwarded_for" || value == "$remote_addr" || value == "$scheme" || value == "$host" || value == "$http_host" {
				m.report.say(d, Differs, "[forwarded] sends it; what clients say of it counts only from trusted addresses")
			} else {
				m.report.say(d, Left, "[forwarded] sends it, with another value")
			}
		case unknown != "":
			m.report.say(d, Left, "$%s has no counterpart", unknown)
		case value == "":
			request = append(request, "{ remove = "+str(name)+" }")
			m.report.say(d, Taken, "")
		case lower == "content-length" || lower == "transfer-encoding" || lower == "te" || lower == "expect":
			m.report.say(d, Left, "how messages are framed is the gateway's own")
		default:
			request = append(request, "{ set = "+str(name)+", to = "+str(text)+" }")
			m.report.say(d, Taken, "")
		}
	}
	for _, d := range l.conf.addHeaders {
		text, unknown := template(d.Text(1))
		if unknown != "" || len(d.Args) < 2 {
			m.report.say(d, Left, "$%s has no counterpart", unknown)
			continue
		}
		response = append(response, "{ add = "+str(d.Text(0))+", to = "+str(text)+" }")
		if d.Text(2) == "always" {
			m.report.say(d, Taken, "")
		} else {
			m.report.say(d, Differs, "it is added whatever the status")
		}
	}
	for _, d := range l.conf.hide {
		response = append(response, "{ remove = "+str(d.Text(0))+" }")
		m.report.say(d, Taken, "")
	}
	fmt.Fprintf(b, "authority = %s\n", str(authority))
	if len(request) > 0 {
		fmt.Fprintf(b, "request_headers = [%s]\n", strings.Join(request, ", "))
	}
	if len(response) > 0 {
		fmt.Fprintf(b, "response_headers = [%s]\n", strings.Join(response, ", "))
	}
	return upgrades
}

func (m *importer) pool(u *upstream) {
	w := &m.out
	fmt.Fprintf(w, "\n[[pool]]\nname = %s\n", str(u.name))
	if u.connect > 0 {
		fmt.Fprintf(w, "connect_timeout = %s\n", str(u.connect.String()))
	}
	if u.tries > 0 {
		fmt.Fprintf(w, "max_attempts = %d\n", min(u.tries, mostTries))
	}
	if l := u.lookup; l != nil {
		fmt.Fprintf(w, "dns = { server = %s, name = %s, type = \"both\", port = %d }\n", str(m.resolver), str(l.name), l.port)
	}
	for _, s := range u.servers {
		fmt.Fprintf(w, "[[pool.host]]\naddress = %s\n", str(s.address))
		if s.weight != 1 {
			fmt.Fprintf(w, "weight = %d\n", s.weight)
		}
		if s.backup {
			w.WriteString("backup = true\n")
		}
	}
}

func list(names []string) string {
	out := make([]string, len(names))
	for i, n := range names {
		out[i] = str(n)
	}
	return strings.Join(out, ", ")
}

// str is a text as a TOML basic string.
func str(text string) string {
	var b strings.Builder
	b.WriteByte('"')
	for _, r := range text {
		switch {
		case r == '"' || r == '\\':
			b.WriteByte('\\')
			b.WriteRune(r)
		case r < ' ' || r == 0x7f:
			fmt.Fprintf(&b, "\\u%04X", r)
		default:
			b.WriteRune(r)
		}
	}
	b.WriteByte('"')
	return b.String()
}
