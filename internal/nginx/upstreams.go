package nginx

import (
	"net/netip"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"time"
)

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
