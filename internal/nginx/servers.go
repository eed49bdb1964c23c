package nginx

import (
	"fmt"
	"net/netip"
	"regexp"
	"strings"
)

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
