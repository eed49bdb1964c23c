package headers

import (
	"net/http"
	"net/netip"
	"strings"

	"github.com/gaissmai/bart"
)

// Forward sends information about clients to hosts, in forwarding fields. Forwarding fields of a
// request are dropped unless its peer's address is trusted. A nil Forward changes nothing.
type Forward struct {
	// XForwarded enables X-Forwarded-For, -Proto and -Host, and a trusted proxy's
	// X-Forwarded-Port. Standard enables Forwarded (RFC 7239).
	XForwarded, Standard bool
	// Trusted holds the addresses of proxies whose forwarding fields are accepted. Nil means none.
	Trusted *bart.Lite
}

// maxChain is the maximum length, in bytes, of the chain of earlier hops that is passed on. A
// longer chain is dropped, and a new one begins.
const maxChain = 2 << 10

// forwardingFields lists the forwarding fields. They are removed from each request before those that are
// enabled are added. Apply refers to them by index.
var forwardingFields = [...]string{"X-Forwarded-For", "X-Forwarded-Proto", "X-Forwarded-Host", "X-Forwarded-Port", "X-Real-Ip", "Forwarded"}

// NewTrusted returns a set of address ranges, for Forward.Trusted.
func NewTrusted(ranges []netip.Prefix) *bart.Lite {
	t := &bart.Lite{}
	for _, p := range ranges {
		t.Insert(p.Masked())
	}
	return t
}

// trusts reports whether forwarding fields from the address are accepted.
func (f *Forward) trusts(a netip.Addr) bool {
	return f.Trusted != nil && a.IsValid() && f.Trusted.Contains(a.Unmap())
}

// Client returns the address of the client as far as it is known: the peer or, if the peer is a
// trusted proxy, the last address in X-Forwarded-For that is not one. If all of them
// are trusted, it is the first.
func (f *Forward) Client(h http.Header, peer netip.Addr) netip.Addr {
	peer = peer.Unmap()
	if f == nil || !f.trusts(peer) {
		return peer
	}
	chain := chainOf(h["X-Forwarded-For"])
	for i := len(chain) - 1; i >= 0; i-- {
		a, err := netip.ParseAddr(strings.TrimSpace(chain[i]))
		if err != nil {
			return peer // not an address: use the hop that passed it on
		}
		if peer = a.Unmap(); !f.trusts(peer) {
			return peer
		}
	}
	return peer
}

// chainOf splits the values of a list field. It returns nil if there are none or they are too long.
func chainOf(values []string) []string {
	n := 0
	for _, v := range values {
		n += len(v) + 2
	}
	if n == 0 || n > maxChain {
		return nil
	}
	return strings.Split(strings.Join(values, ","), ",")
}

// Apply sets the forwarding fields of a request that is sent to a host.
func (f *Forward) Apply(h http.Header, peer netip.Addr, scheme, host string) {
	if f == nil {
		return
	}
	var old [len(forwardingFields)][]string
	trusted := f.trusts(peer)
	for i, name := range forwardingFields {
		if trusted {
			old[i] = h[name]
		}
		delete(h, name)
	}
	peer = peer.Unmap()
	if f.XForwarded {
		chain := "unknown"
		if peer.IsValid() {
			chain = peer.String()
		}
		if list := chainOf(old[0]); list != nil {
			chain = strings.Join(old[0], ", ") + ", " + chain
		}
		h["X-Forwarded-For"] = []string{chain}
		h["X-Forwarded-Proto"] = []string{scheme}
		if p := old[1]; len(p) == 1 && (p[0] == "http" || p[0] == "https") {
			h["X-Forwarded-Proto"] = p
		}
		h["X-Forwarded-Host"] = []string{host}
		if x := old[2]; len(x) == 1 && len(x[0]) < 256 {
			h["X-Forwarded-Host"] = x
		}
		if x := old[3]; len(x) == 1 && len(x[0]) <= 5 {
			h["X-Forwarded-Port"] = x
		}
	}
	if f.Standard {
		hop := "for=" + node(peer) + ";host=" + quoted(host) + ";proto=" + scheme
		if before := strings.Join(old[5], ", "); before != "" && len(before) <= maxChain && balanced(before) {
			hop = before + ", " + hop
		}
		h["Forwarded"] = []string{hop}
	}
}

// node formats an address as in RFC 7239 section 6.
func node(a netip.Addr) string {
	switch {
	case !a.IsValid():
		return "unknown"
	case a.Is4():
		return a.String()
	}
	return `"[` + a.WithZone("").String() + `]"`
}

// quoted formats a value as a token or, if it is not one, as a quoted string without its control
// and non-ASCII characters.
func quoted(s string) string {
	if token(s) {
		return s
	}
	var b strings.Builder
	b.WriteByte('"')
	for i := 0; i < len(s); i++ {
		switch c := s[i]; {
		case c == '"' || c == '\\':
			b.WriteByte('\\')
			b.WriteByte(c)
		case c >= ' ' && c < 0x7f:
			b.WriteByte(c)
		}
	}
	b.WriteByte('"')
	return b.String()
}

// balanced reports whether every quoted string is closed. An open one would include the text that
// is appended after it.
func balanced(s string) bool {
	open := false
	for i := 0; i < len(s); i++ {
		switch s[i] {
		case '\\':
			if open {
				i++
			}
		case '"':
			open = !open
		}
	}
	return !open
}
