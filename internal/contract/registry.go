package contract

import (
	"crypto/sha256"
	"crypto/subtle"
	"fmt"
	"math"
	"net/netip"
	"strings"

	"github.com/gaissmai/bart"
)

// Registry holds the contracts of all teams. It is immutable and safe for concurrent use.
type Registry struct {
	terms     []*Terms
	byTeam    map[string]*Terms
	tokens    map[[8]byte][]tokenEntry // by the first bytes of the digest
	accounts  map[string]*Terms
	addresses bart.Table[*Terms] // the longest matching prefix counts
}

type tokenEntry struct {
	digest Digest
	terms  *Terms
}

// Problem is an error or a warning about a contract, alone or against the others.
type Problem struct {
	Terms   *Terms
	Key     string
	Text    string
	Warning bool
}

// NewRegistry checks contracts, also against one another, and returns a registry of them. The
// registry is nil if any problem is not a warning.
func NewRegistry(list []*Terms) (*Registry, []Problem) {
	r := &Registry{terms: list, byTeam: map[string]*Terms{}, tokens: map[[8]byte][]tokenEntry{}, accounts: map[string]*Terms{}}
	var bad problems
	shares := 0.0
	for i, t := range list {
		t.index = i
		r.addTeam(t, &bad)
		r.addCallers(t, &bad)
		t.checkBounds(&bad)
		shares += t.Share
	}
	if len(bad) > 0 {
		return nil, bad
	}
	if shares > 1+1e-9 {
		bad = append(bad, Problem{Terms: list[len(list)-1], Key: "share", Warning: true,
			Text: fmt.Sprintf("the shares of all teams add up to %.3g: where all want theirs at once each gets 1/%.3g of it", shares, shares)})
	}
	return r, bad
}

type problems []Problem

func (p *problems) add(t *Terms, key, format string, args ...any) {
	*p = append(*p, Problem{Terms: t, Key: key, Text: fmt.Sprintf(format, args...)})
}

// addTeam registers a contract under its team, which must have no other contract.
func (r *Registry) addTeam(t *Terms, bad *problems) {
	if other := r.byTeam[t.Team]; t.Team == "" {
		bad.add(t, "team", "a contract needs a team")
	} else if other != nil {
		bad.add(t, "team", "team %s has another contract at %s", t.Team, other.position("team"))
	}
	r.byTeam[t.Team] = t
	if len(t.Classes) == 0 {
		bad.add(t, "class", "a contract names the classes that may be called")
	}
	if len(t.Tokens) == 0 && len(t.Addresses) == 0 && t.Account == "" {
		bad.add(t, "team", "nothing tells who is this team: tokens, addresses or account")
	}
}

// addCallers registers the credentials that identify the team; none may belong to another team.
func (r *Registry) addCallers(t *Terms, bad *problems) {
	for _, d := range t.Tokens {
		if other := r.token(d); other != nil {
			bad.add(t, "tokens", "a token names team %s too", other.Team)
		}
		key := [8]byte(d[:8])
		r.tokens[key] = append(r.tokens[key], tokenEntry{d, t})
	}
	for _, p := range t.Addresses {
		if other, exists := r.addresses.Get(p.Masked()); exists && other != t {
			bad.add(t, "addresses", "%v names team %s too", p.Masked(), other.Team)
		}
		r.addresses.Insert(p.Masked(), t)
	}
	if t.Account != "" {
		if other := r.accounts[t.Account]; other != nil {
			bad.add(t, "account", "account %s names team %s too", t.Account, other.Team)
		}
		r.accounts[t.Account] = t
	}
}

// checkBounds checks a contract's values against their bounds and one another.
func (t *Terms) checkBounds(bad *problems) {
	for _, f := range []struct {
		key       string
		v, lo, hi float64
	}{{"share", t.Share, 0, 1}, {"ceiling", t.Ceiling, 0, 1}, {"rate", t.Rate, 0, 1e6}, {"concurrency", t.Concurrency, 0, 1e6}, {"retry_ratio", t.RetryRatio, 0, 10}} {
		if !(f.v >= f.lo && f.v <= f.hi) {
			bad.add(t, f.key, "%v is not from %v to %v", f.v, f.lo, f.hi)
		}
	}
	if t.Ceiling > 0 && t.Share > t.Ceiling {
		bad.add(t, "ceiling", "%v is under the share that is guaranteed, %v", t.Ceiling, t.Share)
	}
	if !t.From.IsZero() && !t.Until.IsZero() && !t.From.Before(t.Until) {
		bad.add(t, "valid_until", "the contract ends before it begins")
	}
}

// Terms returns all contracts, in the order in which they were given.
func (r *Registry) Terms() []*Terms { return r.terms }

// Team returns the contract of a team, or nil if there is none.
func (r *Registry) Team(name string) *Terms { return r.byTeam[name] }

// token returns the contract whose token has a digest, or nil. The lookup uses the first bytes of
// the digest, so its timing reveals something of a digest but never of a token. The rest is compared
// in constant time.
func (r *Registry) token(d Digest) *Terms {
	var found *Terms
	for _, t := range r.tokens[[8]byte(d[:8])] {
		if subtle.ConstantTimeCompare(t.digest[:], d[:]) == 1 {
			found = t.terms
		}
	}
	return found
}

// Caller is the identity that a client presents.
type Caller struct {
	Authorization string // the header; empty: none
	Account       string // the X-Account header; empty: none
	Address       netip.Addr
}

// Identify returns the contract of the team that sent a request, or a violation with status 401 if
// the team is unknown; that is charged to no team. A token takes precedence over an account, and an
// account over the address. Credentials that are presented but wrong are not made good by others.
func (r *Registry) Identify(c *Caller) (*Terms, *Violation) {
	unknown := func(title, detail string) *Violation {
		return &Violation{Status: 401, Title: title, Detail: detail}
	}
	if c.Authorization != "" && len(r.tokens) > 0 {
		scheme, token, _ := strings.Cut(c.Authorization, " ")
		if !strings.EqualFold(scheme, "Bearer") || token == "" || len(token) > 4096 {
			return nil, unknown("no team named", "the Authorization header is no bearer token")
		}
		if t := r.token(sha256.Sum256([]byte(strings.TrimSpace(token)))); t != nil {
			return t, nil
		}
		return nil, unknown("unknown token", "the bearer token names no team")
	}
	if c.Account != "" && len(r.accounts) > 0 {
		if t := r.accounts[c.Account]; t != nil {
			return t, nil
		}
		return nil, unknown("unknown account", "the account names no team")
	}
	if c.Address.IsValid() {
		if t, ok := r.addresses.Lookup(c.Address.Unmap()); ok {
			return t, nil
		}
	}
	return nil, unknown("no team named", "nothing in the request names a team")
}

// TotalGuarantee returns the sum of all teams' guarantees as a fraction of a pool that takes
// capacity attempts at once. A sum above 1 means that the pool is oversold.
func (r *Registry) TotalGuarantee(capacity float64) (sum float64) {
	for _, t := range r.terms {
		w := t.weight(capacity, 1)
		if w > minWeight {
			sum += w
		}
	}
	if math.IsNaN(sum) {
		return 0
	}
	return sum
}

// Guarantee returns the team's guaranteed fraction of a pool that takes capacity attempts at once,
// or 0 if it has no guarantee.
func (t *Terms) Guarantee(capacity float64) float64 {
	if w := t.weight(capacity, 1); w > minWeight {
		return w
	}
	return 0
}
