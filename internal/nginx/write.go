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
