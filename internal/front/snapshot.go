package front

import (
	"net/http"
	"strings"
	"sync/atomic"

	"frostshift/internal/config"
	"frostshift/internal/exchange"
	"frostshift/internal/headers"
	"frostshift/internal/limit"
	"frostshift/internal/moves"
	"frostshift/internal/route"
	"frostshift/internal/verdict"
)

// Target is a pool as fronts see it.
type Target struct {
	Pool    *exchange.Pool
	Bodies  exchange.Room // for bodies of requests on their way
	Kept    exchange.Room // for what of bodies is kept beside that; nil: Bodies
	Uploads exchange.Room // for requests whose bodies are still to come; nil: they are not bounded
	// Answers is what answers of its hosts mean where the route does not say.
	Answers *verdict.Set
	// Authority is what its hosts get as Host; "": what the client sent, config.HostsOwn: the
	// address of the host.
	Authority string
}

// Snapshot is one configuration with its running pools. Requests hold the one they began
// with.
type Snapshot struct {
	model     *config.Model
	name, via string       // of the gateway, in Proxy-Status and in Via
	classes   []int        // by route
	targets   [][]*Target  // by route and by place among its pools
	fallbacks []*Target    // by route; nil: none
	moves     []*moving    // by route; nil: its traffic does not move
	gates     []limit.Gate // by route: the limits by key that its requests meet
	refs      atomic.Int64
	ended     func()
}

// NewSnapshot returns a snapshot that is held once, by the caller. ended is called, on
// whatever goroutine lets go last, once nobody holds it.
// led are the moves of the configuration by name, and left those of earlier ones whose keys
// still belong to a pool. rules are the limits by key, as the model has them.
func NewSnapshot(m *config.Model, pools map[string]*Target, led map[string]*moves.Move, left []*moves.Move, rules []*limit.Rule, ended func()) *Snapshot {
	s := &Snapshot{model: m, name: proxyName(m.Name), via: " " + pseudonym(m.Name), ended: ended}
	s.refs.Store(1)
	for _, r := range m.Table.Routes() {
		var list []*Target
		for _, w := range r.Pools {
			list = append(list, pools[w.Pool])
		}
		s.targets = append(s.targets, list)
		s.fallbacks = append(s.fallbacks, pools[r.Fallback])
		s.classes = append(s.classes, m.ClassIndex(r.Class))
		s.moves = append(s.moves, movingOf(m, r, led, left))
		var gate limit.Gate
		if len(rules) > 0 {
			for _, i := range m.Meets[r.Index] {
				gate = append(gate, rules[i])
			}
		}
		s.gates = append(s.gates, gate)
	}
	return s
}

// Release lets go of the snapshot.
func (s *Snapshot) Release() {
	if s.refs.Add(-1) == 0 {
		s.ended()
	}
}

// hold returns the present snapshot, held once more.
func (in *Admission) hold() *Snapshot {
	for {
		s := in.now.Load()
		if s == nil {
			return nil
		}
		for n := s.refs.Load(); n > 0; n = s.refs.Load() {
			if s.refs.CompareAndSwap(n, n+1) {
				return s
			}
		}
	}
}

// limited is what a request gets that a limit by key turns away. Nothing is wrong with it.
func (s *Snapshot) limited(r *limit.Refusal) *Error {
	e := &Error{Status: http.StatusTooManyRequests, Text: "limit " + r.Rule.Name + " is used up", Keeps: true, Header: http.Header{}}
	if r.After > 0 {
		e.Header.Set("Retry-After", RetryAfter(r.After, false))
	}
	if policy, limit := r.Fields(); policy != "" {
		e.Header["Ratelimit-Policy"], e.Header["Ratelimit"] = []string{policy}, []string{limit}
	}
	e.Header.Set("Proxy-Status", s.name+"; error=http_request_denied")
	return e
}

// unmatched is what a request gets that no route matches.
func (s *Snapshot) unmatched(h *Head) *Error {
	e := &Error{Status: http.StatusNotFound, Text: "not found"}
	if s.model.Platform {
		return e
	}
	if allowed := s.model.Table.Allowed(&route.Request{Method: h.Method, Listener: h.Listener, Host: h.Authority, Path: h.Path, Query: h.Query, Header: h.Header}); len(allowed) > 0 {
		e.Status, e.Text, e.Allow = http.StatusMethodNotAllowed, "method not allowed", strings.Join(allowed, ", ")
	}
	e.Header = http.Header{"Proxy-Status": {s.name + "; error=destination_not_found"}}
	return e
}

// moved is the answer of a step that sends the client elsewhere.
func (s *Snapshot) moved(m *route.Match) *Error {
	e := &Error{Status: http.StatusFound, Text: "moved", Keeps: true, Header: http.Header{"Location": {m.Location}}}
	if m.Permanent {
		e.Status = http.StatusMovedPermanently
	}
	e.Header.Set("Proxy-Status", s.name+"; error=proxy_internal_response")
	return e
}

// own is the answer that a route gives itself.
func (s *Snapshot) own(p *config.Policy, v *headers.Vars) *Error {
	e := &Error{Status: p.Own.Status, Text: p.Own.Body, Keeps: true, Header: http.Header{}}
	if p.Own.To != nil {
		to, err := p.Own.To.Expand(v)
		if err != nil {
			return &Error{Status: http.StatusRequestURITooLong, Text: err.Error()}
		}
		e.Header.Set("Location", to)
	}
	if p.Own.Type != "" {
		e.Header.Set("Content-Type", p.Own.Type)
	}
	v.Status = e.Status
	p.Response.Apply(e.Header, v)
	e.Header.Set("Proxy-Status", s.name+"; error=proxy_internal_response")
	return e
}
