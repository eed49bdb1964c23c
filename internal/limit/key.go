package limit

import (
	"encoding/binary"
	"net/http"
	"net/netip"
	"net/url"
	"strings"
	"unicode/utf8"
)

// Ask is what a request is held against rules by.
type Ask struct {
	Address                   netip.Addr
	Team, Class, Route        string
	Method, Host, Path, Query string
	Header                    http.Header
	Body                      int64 // bytes that it brings, as far as it says
}

// PartKind says what of a request a part of a key is.
type PartKind uint8

// Kinds of parts.
const (
	Address PartKind = iota // of the client, up to the rule's prefix
	Header                  // the first field of a name
	Query                   // the first parameter of a name
	Segment                 // of the path, counted from 1
	Team
	Class
	Route
	Method
	Host
)

var partNames = [...]string{"address", "header", "query", "path", "team", "class", "route", "method", "host"}

// Part is one part of a key.
type Part struct {
	Kind PartKind
	Name string // of a header or parameter
	N    int    // of a segment
}

// ParsePart reads a part as the configuration has it: address, header:X-Resident, query:id, path:2,
// team, class, route, method or host.
func ParsePart(text string) (p Part, ok bool) {
	kind, name, named := strings.Cut(text, ":")
	for i, n := range partNames {
		if n != kind {
			continue
		}
		p.Kind = PartKind(i)
		switch p.Kind {
		case Header:
			p.Name = http.CanonicalHeaderKey(name)
			return p, name != ""
		case Query:
			p.Name = name
			return p, name != ""
		case Segment:
			for _, c := range name {
				if c < '0' || c > '9' || p.N > 99 {
					return p, false
				}
				p.N = 10*p.N + int(c-'0')
			}
			return p, p.N > 0 && p.N <= 100
		}
		return p, !named
	}
	return p, false
}

// of is the part of a request; "": it has none.
func (p *Part) of(a *Ask, c *Config) string {
	switch p.Kind {
	case Header:
		if v := a.Header[p.Name]; len(v) > 0 {
			return v[0]
		}
	case Query:
		return parameter(a.Query, p.Name)
	case Segment:
		return segment(a.Path, p.N)
	case Team:
		return a.Team
	case Class:
		return a.Class
	case Route:
		return a.Route
	case Method:
		return a.Method
	case Host:
		return a.Host
	}
	return ""
}

// network is the network of an address that counts as one key: addresses that are mapped count as
// what they are, and zones say nothing.
func (c *Config) network(a netip.Addr) (netip.Prefix, bool) {
	a = a.Unmap().WithZone("")
	bits := c.IPv6
	if a.Is4() {
		bits = c.IPv4
	}
	n, err := a.Prefix(bits)
	return n, err == nil
}

// parameter is the value of a parameter's first appearance, decoded: a client must not make many
// keys of one by writing it otherwise.
func parameter(query, name string) string {
	for query != "" {
		var pair string
		pair, query, _ = strings.Cut(query, "&")
		key, value, _ := strings.Cut(pair, "=")
		if key != name && plain(key) != name {
			continue
		}
		return plain(value)
	}
	return ""
}

func plain(text string) string {
	if strings.ContainsAny(text, "%+") {
		if out, err := url.QueryUnescape(text); err == nil {
			return out
		}
	}
	return text
}

// segment is a part of a path between slashes, decoded.
func segment(path string, n int) string {
	path = strings.TrimPrefix(path, "/")
	for ; n > 1 && path != ""; n-- {
		_, path, _ = strings.Cut(path, "/")
	}
	path, _, _ = strings.Cut(path, "/")
	if strings.Contains(path, "%") {
		if out, err := url.PathUnescape(path); err == nil {
			return out
		}
	}
	return path
}

// append appends a request's key to b, so that no two keys are alike; false: it lacks a part.
func (c *Config) append(b []byte, a *Ask) ([]byte, bool) {
	for i := range c.Key {
		p := &c.Key[i]
		if p.Kind == Address {
			n, ok := c.network(a.Address)
			if !ok {
				return b, false
			}
			raw := n.Addr().As16()
			b = append(b, byte(n.Bits()))
			b = append(b, raw[:]...)
			continue
		}
		text := p.of(a, c)
		if text == "" {
			return b, false
		}
		b = binary.AppendUvarint(b, uint64(len(text)))
		b = append(b, text...)
	}
	return b, true
}

// KeyName is a request's key as people read it.
func (c *Config) KeyName(a *Ask) string {
	var b strings.Builder
	for i := range c.Key {
		if i > 0 {
			b.WriteByte(' ')
		}
		text := ""
		if p := &c.Key[i]; p.Kind != Address {
			text = p.of(a, c)
		} else if n, ok := c.network(a.Address); ok && n.IsSingleIP() {
			text = n.Addr().String()
		} else if ok {
			text = n.String()
		}
		if text == "" {
			text = "-"
		}
		for _, r := range text {
			if r < ' ' || r == utf8.RuneError || r == 0x7f {
				r = '.'
			}
			if b.WriteRune(r); b.Len() > longestName {
				return b.String()
			}
		}
	}
	return b.String()
}
