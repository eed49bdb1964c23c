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

// Registry is the contracts of all teams. It does not change, and any number of goroutines
// may use it.
type Registry struct {
	terms    []*Terms
	byTeam   map[string]*Terms
	tokens   map[[8]byte][]tokenOf // by the digest's first bytes
	accounts map[string]*Terms
	ranges   bart.Table[*Terms] // the narrowest that holds an address counts
}

type tokenOf struct {
	digest Digest
	terms  *Terms
}

// Problem is something wrong with a contract beside others.
type Problem struct {
	Terms   *Terms
	Key     string
	Text    string
	Warning bool
}

// NewRegistry checks contracts against one another and binds them to a registry, which is nil if
// any problem is not a warning.
func NewRegistry(list []*Terms) (*Registry, []Problem) {
	b := &Registry{terms: list, byTeam: map[string]*Terms{}, tokens: map[[8]byte][]tokenOf{}, accounts: map[string]*Terms{}}
	var bad problems
	shares := 0.0
	for i, t := range list {
		t.place = i
		b.bindTeam(t, &bad)
		b.bindCallers(t, &bad)
		t.checkFigures(&bad)
		shares += t.Share
	}
	if len(bad) > 0 {
		return nil, bad
	}
	if shares > 1+1e-9 {
		bad = append(bad, Problem{Terms: list[len(list)-1], Key: "share", Warning: true,
			Text: fmt.Sprintf("the shares of all teams add up to %.3g: where all want theirs at once each gets 1/%.3g of it", shares, shares)})
	}
	return b, bad
}

type problems []Problem

func (p *problems) add(t *Terms, key, format string, args ...any) {
	*p = append(*p, Problem{Terms: t, Key: key, Text: fmt.Sprintf(format, args...)})
}

// bindTeam enters a contract under its team, which has no other one.
func (b *Registry) bindTeam(t *Terms, bad *problems) {
	if other := b.byTeam[t.Team]; t.Team == "" {
		bad.add(t, "team", "a contract needs a team")
	} else if other != nil {
		bad.add(t, "team", "team %s has another contract at %s", t.Team, other.at("team"))
	}
	b.byTeam[t.Team] = t
	if len(t.Classes) == 0 {
		bad.add(t, "class", "a contract names the classes that may be called")
	}
	if len(t.Tokens) == 0 && len(t.Addresses) == 0 && t.Account == "" {
		bad.add(t, "team", "nothing tells who is this team: tokens, addresses or account")
	}
}

// bindCallers enters what tells that a request is the team's: it may tell of no other team.
func (b *Registry) bindCallers(t *Terms, bad *problems) {
	for _, d := range t.Tokens {
		if other := b.token(d); other != nil {
			bad.add(t, "tokens", "a token names team %s too", other.Team)
		}
		key := [8]byte(d[:8])
		b.tokens[key] = append(b.tokens[key], tokenOf{d, t})
	}
	for _, p := range t.Addresses {
		if other, there := b.ranges.Get(p.Masked()); there && other != t {
			bad.add(t, "addresses", "%v names team %s too", p.Masked(), other.Team)
		}
		b.ranges.Insert(p.Masked(), t)
	}
	if t.Account != "" {
		if other := b.accounts[t.Account]; other != nil {
			bad.add(t, "account", "account %s names team %s too", t.Account, other.Team)
		}
		b.accounts[t.Account] = t
	}
}

// checkFigures holds a contract's figures against their bounds and one another.
func (t *Terms) checkFigures(bad *problems) {
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

// Terms are all contracts, in the order in which they were given.
func (b *Registry) Terms() []*Terms { return b.terms }

// Team finds a contract by its team; nil: there is none.
func (b *Registry) Team(name string) *Terms { return b.byTeam[name] }

// token finds whose token has a digest. Digests are found by a part of them: what time
// that takes tells of a digest, never of a token. The rest is compared in constant time.
func (b *Registry) token(d Digest) *Terms {
	var found *Terms
	for _, t := range b.tokens[[8]byte(d[:8])] {
		if subtle.ConstantTimeCompare(t.digest[:], d[:]) == 1 {
			found = t.terms
		}
	}
	return found
}

// Caller is what a client says and shows of itself.
type Caller struct {
	Authorization string // the header, or ""
	Account       string // X-Account, or ""
	Address       netip.Addr
}

// Identify says whose request it is, or that nobody knows: 401, at no team's cost. A
// token counts before an account, an account before the address; one that is shown and
// is wrong is not made good by another.
func (b *Registry) Identify(c *Caller) (*Terms, *Violation) {
	unknown := func(title, detail string) *Violation {
		return &Violation{Status: 401, Title: title, Detail: detail}
	}
	if c.Authorization != "" && len(b.tokens) > 0 {
		scheme, token, _ := strings.Cut(c.Authorization, " ")
		if !strings.EqualFold(scheme, "Bearer") || token == "" || len(token) > 4096 {
			return nil, unknown("no team named", "the Authorization header is no bearer token")
		}
		if t := b.token(sha256.Sum256([]byte(strings.TrimSpace(token)))); t != nil {
			return t, nil
		}
		return nil, unknown("unknown token", "the bearer token names no team")
	}
	if c.Account != "" && len(b.accounts) > 0 {
		if t := b.accounts[c.Account]; t != nil {
			return t, nil
		}
		return nil, unknown("unknown account", "the account names no team")
	}
	if c.Address.IsValid() {
		if t, ok := b.ranges.Lookup(c.Address.Unmap()); ok {
			return t, nil
		}
	}
	return nil, unknown("no team named", "nothing in the request names a team")
}

// TotalGuarantee says how the guarantees of all teams fit a pool of so many attempts at once: the
// part of it that is guaranteed. Above 1 it is oversold.
func (b *Registry) TotalGuarantee(capacity float64) (sum float64) {
	for _, t := range b.terms {
		w := t.weight(capacity, 1)
		if w > leastWeight {
			sum += w
		}
	}
	if math.IsNaN(sum) {
		return 0
	}
	return sum
}

// Guarantee is a team's part of a pool of so many attempts at once.
func (t *Terms) Guarantee(capacity float64) float64 {
	if w := t.weight(capacity, 1); w > leastWeight {
		return w
	}
	return 0
}
