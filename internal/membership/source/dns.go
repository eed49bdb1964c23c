package source

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/miekg/dns"

	"frostshift/internal/membership"
)

// DNS says what to ask a name server for.
type DNS struct {
	Server string // address and port
	Name   string
	Type   string // "a", "aaaa", "both" or "srv"; "": both
	Port   int    // of the hosts; not for srv, which says it
}

// Check says what is wrong, by the name of the field.
func (d *DNS) Check() (field, text string) {
	if _, err := netip.ParseAddrPort(d.Server); err != nil {
		return "server", fmt.Sprintf("%q is not an address and port", d.Server)
	}
	if _, ok := dns.IsDomainName(d.Name); !ok || d.Name == "" {
		return "name", fmt.Sprintf("%q is not a domain name", d.Name)
	}
	switch d.Type {
	case "", "a", "aaaa", "both":
		if d.Port < 1 || d.Port > 65535 {
			return "port", fmt.Sprintf("%d is not from 1 to 65535", d.Port)
		}
	case "srv":
		if d.Port != 0 {
			return "port", "srv records say the port: leave it out"
		}
	default:
		return "type", fmt.Sprintf("%q is none of a, aaaa, both, srv", d.Type)
	}
	return "", ""
}

const (
	leastTTL    = time.Second // an answer is used for at least that long, TTL 0 or not
	mostTTL     = 5 * time.Minute
	askWithin   = 2 * time.Second
	mostAliases = 8
	mostTargets = 256 // of SRV records whose addresses must be asked for
	mostUDP     = 1232
)

// runDNS asks again whenever the shortest TTL of an answer is over (RFC 1035 section 3.2.1),
// until the context ends. A server that is silent or fails changes nothing; that a name is
// not there, or has no such records (RFC 2308), is an answer: an empty list.
func (t *turn) runDNS(ctx context.Context) {
	wait, said := retryFirst, ""
	version, taken := t.index, false
	var last []membership.Endpoint
	for ctx.Err() == nil {
		next := time.Duration(0)
		list, ttl, err := t.source.DNS.ask(ctx)
		switch {
		case ctx.Err() != nil:
			return
		case err != nil:
			if text := err.Error(); text != said { // once, not with every try of an outage
				t.cfg.Log.Warn("no answer from DNS, the old list stands", "name", t.source.DNS.Name, "server", t.source.DNS.Server, "err", err)
				said = text
			}
			next = wait/2 + rand.N(wait/2)
			wait = min(2*wait, retryMost)
		default:
			wait, said = retryFirst, ""
			if !taken || !slices.Equal(list, last) {
				version++
				v := version
				if err := t.take(&membership.List{Index: &v, Snapshot: true, Endpoints: list}); err != nil {
					return
				}
				taken, last = true, list
			}
			ttl = min(max(ttl, cmp.Or(t.cfg.LeastTTL, leastTTL)), mostTTL)
			next = ttl + rand.N(ttl/8+1) // gateways that started together do not ask in step
		}
		select {
		case <-ctx.Done():
		case <-time.After(next):
		}
	}
}

// ask asks for the hosts and returns them by name, with how long that holds.
func (d *DNS) ask(ctx context.Context) (list []membership.Endpoint, ttl time.Duration, err error) {
	name := dns.Fqdn(d.Name)
	ttl = mostTTL
	if d.Type == "srv" {
		list, ttl, err = d.services(ctx, name)
	} else {
		var addrs []netip.Addr
		addrs, ttl, err = d.addresses(ctx, name)
		for _, a := range addrs {
			at := netip.AddrPortFrom(a, uint16(d.Port)).String()
			list = append(list, membership.Endpoint{Name: at, Address: at, Status: membership.Active})
		}
	}
	slices.SortFunc(list, func(x, y membership.Endpoint) int { return cmp.Compare(x.Name, y.Name) })
	list = slices.CompactFunc(list, func(x, y membership.Endpoint) bool { return x.Name == y.Name })
	return list, ttl, err
}

// services asks for SRV records (RFC 2782) and where their targets are. Of several priorities
// only the lowest number is used; how much a host gets is measured, not told by weights, but
// one of weight 0 beside others is left out, as it is to be chosen almost never.
func (d *DNS) services(ctx context.Context, name string) (list []membership.Endpoint, ttl time.Duration, err error) {
	m, ttl, err := d.exchange(ctx, name, dns.TypeSRV)
	if err != nil || m == nil {
		return nil, ttl, err
	}
	var found []*dns.SRV
	for _, rr := range chain(m.Answer, name) {
		if s, ok := rr.(*dns.SRV); ok && s.Target != "." { // ".": the service is decidedly not there
			found = append(found, s)
			ttl = min(ttl, seconds(s.Hdr.Ttl))
		}
	}
	weighed := false
	for i, s := range found {
		if i == 0 || s.Priority < found[0].Priority {
			found[0], found[i] = found[i], found[0]
		}
	}
	for _, s := range found {
		weighed = weighed || s.Priority == found[0].Priority && s.Weight > 0
	}
	asked := map[string][]netip.Addr{}
	for _, s := range found {
		if s.Priority != found[0].Priority || weighed && s.Weight == 0 {
			continue
		}
		target := strings.ToLower(s.Target)
		addrs, known := asked[target]
		if !known {
			if len(asked) >= mostTargets {
				return nil, 0, fmt.Errorf("more than %d targets", mostTargets)
			}
			var least time.Duration
			if addrs, least = pick(m.Extra, target); len(addrs) == 0 {
				if addrs, least, err = d.addresses(ctx, target); err != nil {
					return nil, 0, err
				}
			}
			ttl = min(ttl, least)
			asked[target] = addrs
		}
		for _, a := range addrs {
			e := membership.Endpoint{Name: strings.TrimSuffix(target, ".") + ":" + strconv.Itoa(int(s.Port)),
				Address: netip.AddrPortFrom(a, s.Port).String(), Status: membership.Active}
			if len(addrs) > 1 {
				e.Name += "/" + a.String()
			}
			list = append(list, e)
		}
	}
	return list, ttl, nil
}

// addresses asks for the A and AAAA records of a name, as the type says.
func (d *DNS) addresses(ctx context.Context, name string) (list []netip.Addr, ttl time.Duration, err error) {
	ttl = mostTTL
	for _, qtype := range []uint16{dns.TypeA, dns.TypeAAAA} {
		if qtype == dns.TypeA && d.Type == "aaaa" || qtype == dns.TypeAAAA && d.Type == "a" {
			continue
		}
		m, least, err := d.exchange(ctx, name, qtype)
		if err != nil {
			return nil, 0, err
		}
		ttl = min(ttl, least)
		if m == nil {
			continue
		}
		addrs, least := pick(chain(m.Answer, name), "")
		list = append(list, addrs...)
		ttl = min(ttl, least)
	}
	return list, ttl, nil
}

// pick takes the addresses of an owner among records ("": any) and their shortest TTL.
func pick(records []dns.RR, owner string) (list []netip.Addr, ttl time.Duration) {
	ttl = mostTTL
	for _, rr := range records {
		if owner != "" && !strings.EqualFold(rr.Header().Name, owner) {
			continue
		}
		var a netip.Addr
		ok := false
		switch rr := rr.(type) {
		case *dns.A:
			a, ok = netip.AddrFromSlice(rr.A.To4())
		case *dns.AAAA:
			a, ok = netip.AddrFromSlice(rr.AAAA.To16())
		}
		if ok {
			list = append(list, a)
		}
		ttl = min(ttl, seconds(rr.Header().Ttl))
	}
	return list, ttl
}

// chain is the records of a name and of those that it is an alias of (RFC 1034 section 3.6.2).
func chain(records []dns.RR, name string) (list []dns.RR) {
	for range mostAliases {
		next := ""
		for _, rr := range records {
			if !strings.EqualFold(rr.Header().Name, name) {
				continue
			}
			list = append(list, rr)
			if c, ok := rr.(*dns.CNAME); ok {
				next = c.Target
			}
		}
		if next == "" {
			break
		}
		name = next
	}
	return list
}

func seconds(ttl uint32) time.Duration {
	if ttl > 1<<31-1 { // RFC 2181 section 8: treated as 0
		return 0
	}
	return time.Duration(ttl) * time.Second
}

// exchange asks one question, over TCP where the answer over UDP is cut short. nil: there is
// no such name or no such record, which holds for ttl.
func (d *DNS) exchange(ctx context.Context, name string, qtype uint16) (m *dns.Msg, ttl time.Duration, err error) {
	q := new(dns.Msg)
	q.SetQuestion(name, qtype)
	q.SetEdns0(mostUDP, false)
	for _, network := range []string{"udp", "tcp"} {
		c := dns.Client{Net: network, Timeout: askWithin, UDPSize: mostUDP}
		conn, err := c.DialContext(ctx, d.Server)
		if err != nil {
			return nil, 0, err
		}
		stop := context.AfterFunc(ctx, func() { conn.Close() }) // else the end would wait for a silent server
		m, _, err = c.ExchangeWithConnContext(ctx, q, conn)
		stop()
		conn.Close()
		if err != nil {
			return nil, 0, err
		}
		if !m.Truncated {
			break
		}
	}
	switch {
	case m.Truncated:
		return nil, 0, errors.New("the answer is cut short over TCP")
	case len(m.Question) != 1 || !strings.EqualFold(m.Question[0].Name, name) || m.Question[0].Qtype != qtype:
		return nil, 0, errors.New("the answer is to another question")
	case m.Rcode == dns.RcodeNameError || m.Rcode == dns.RcodeSuccess && len(m.Answer) == 0:
		ttl = leastTTL
		for _, rr := range m.Ns {
			if soa, ok := rr.(*dns.SOA); ok { // RFC 2308 section 5
				ttl = min(seconds(soa.Hdr.Ttl), seconds(soa.Minttl))
			}
		}
		return nil, ttl, nil
	case m.Rcode != dns.RcodeSuccess:
		return nil, 0, fmt.Errorf("the server answers %s", dns.RcodeToString[m.Rcode])
	}
	return m, mostTTL, nil
}
