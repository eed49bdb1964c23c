package gateway

import (
	"encoding/json"
	"net"
	"net/http"
	"net/netip"
	"net/url"
	"strings"
	"sync/atomic"

	"frostshift/internal/config"
	"frostshift/internal/front"
	"frostshift/internal/limit"
	"frostshift/internal/quota"
)

// rules are the limits by key of the present configuration, in its order.
type rules []*limit.Rule

// useRules makes the limits of a configuration; those that stay go on with what they know. The
// lock is held.
func (g *Gateway) useRules(m *config.Model) {
	now := g.exchange.Clock().Now()
	old := map[string]*limit.Rule{}
	for _, r := range g.rules {
		old[r.Name] = r
	}
	var list rules
	for _, c := range m.Rules {
		var fleet limit.Fleet = evenly{g: g}
		if g.rights != nil && c.Rate > 0 && !c.Even {
			fleet = g.rights.family(&c)
		}
		list = append(list, limit.New(now, c, old[c.Name], g.restart.joined(), fleet))
	}
	g.rules = list
}

// evenly is the fleet of gateways that share no limit: each has an even part, by the most gateways
// that there may be, and the two processes of an upgrade a half of one.
type evenly struct {
	limit.Alone
	g *Gateway
}

// Part is an even part.
func (e evenly) Part(now limit.Time) float64 {
	return limit.Alone(max(1, e.g.gateways.Load()) * max(1, e.g.processes.Load())).Part(now)
}

// family is a limit by key as the fleet shares it.
func (r *rights) family(c *limit.Config) limit.Fleet {
	r.mu.Lock()
	defer r.mu.Unlock()
	return keyed{r, r.store.Family(familyOf(c))}
}

func familyOf(c *limit.Config) quota.Limit {
	return quota.Limit{Name: c.Name, Amount: c.Rate, Mode: c.Mode}
}

// keyed is a rule's part in what gateways share of its keys.
type keyed struct {
	r *rights
	*quota.Family
}

// Right is this gateway's part of a key's limit; nil: an even part holds.
func (k keyed) Right(id uint64) limit.Right {
	if right := k.Family.Right(id); right != nil {
		return right
	}
	return nil
}

// Want has a key shared. It waits for the store, which is held for microseconds, and only where the
// key was turned away.
func (k keyed) Want(id uint64) limit.Right {
	if right := k.Family.Right(id); right != nil {
		return right
	}
	k.r.mu.Lock()
	defer k.r.mu.Unlock()
	if right := k.Family.Want(id); right != nil {
		return right
	}
	return nil
}

// guard holds connections of a listener against limits; nil: there are none.
func (g *Gateway) guard(m *config.Model, listener string) front.Guard {
	var gate limit.Gate
	for _, i := range m.Guards[listener] {
		gate = append(gate, g.rules[i])
	}
	if gate == nil {
		return nil
	}
	clock := g.exchange.Clock()
	return func(remote net.Addr) (leave func(), ok bool) {
		a, _ := netip.ParseAddrPort(remote.String())
		pass, refusal := gate.Enter(clock.Now(), &limit.Ask{Address: a.Addr()}, 0)
		if refusal.Rule != nil {
			return nil, false
		}
		return func() { pass.Leave(clock.Now(), 0, 0) }, true
	}
}

// LimitsStatus is what operators are shown of limits by key.
type LimitsStatus struct {
	Name  string
	Rules []limit.Status
}

// limitsStatus answers operators.
func (g *Gateway) limitsStatus(w http.ResponseWriter, r *http.Request) {
	g.mu.Lock()
	list, name := g.rules, g.model.Name
	g.mu.Unlock()
	s := LimitsStatus{Name: name}
	for _, rule := range list {
		s.Rules = append(s.Rules, rule.Status(g.exchange.Clock().Now(), r.URL.Query().Get("names") != ""))
	}
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(s)
}

// LimitsExplained is how a request stands against the limits that it meets.
type LimitsExplained struct {
	Route string
	Rules []limit.Standing
}

// limitsExplain answers operators: a URL, a method, fields and an address that a request would have.
func (g *Gateway) limitsExplain(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	u, err := url.Parse(q.Get("url"))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	h := &front.Head{Method: q.Get("method"), Authority: u.Host, Path: u.EscapedPath(), Query: u.RawQuery, Header: http.Header{}, Listener: q.Get("listener"), Proto: "1.1"}
	h.Address, _ = netip.ParseAddr(q.Get("address"))
	for _, line := range q["header"] {
		name, value, _ := strings.Cut(line, ":")
		h.Header.Add(name, strings.TrimSpace(value))
	}
	out := LimitsExplained{}
	ok := false
	if out.Route, out.Rules, ok = g.admission.Explain(h); !ok {
		http.Error(w, "no route matches", http.StatusNotFound)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(out)
}

// counts of gateways and processes that limits by key are divided among.
type divisors struct {
	gateways  atomic.Int64 // that there may be
	processes atomic.Int64 // of this one
}
