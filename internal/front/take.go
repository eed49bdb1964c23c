package front

import (
	"encoding/hex"
	"errors"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"time"

	"frostshift"
	"frostshift/internal/body"
	"frostshift/internal/config"
	"frostshift/internal/contract"
	"frostshift/internal/exchange"
	"frostshift/internal/headcost"
	"frostshift/internal/headers"
	"frostshift/internal/limit"
	"frostshift/internal/message"
	"frostshift/internal/route"
	"frostshift/internal/shortage"

	"github.com/cespare/xxhash/v2"
)

// Take takes the head of a request, or returns an *Error.
func (in *Admission) Take(h *Head) (*Ticket, error) {
	s := in.hold()
	if s == nil {
		return nil, &Error{Status: http.StatusServiceUnavailable, Text: "stopping"}
	}
	cost := headcost.Of(h.Header)
	if headcost.Size(h.Header) > headcost.Most {
		s.Release()
		return nil, &Error{Status: http.StatusRequestHeaderFieldsTooLarge, Text: "the head is too large"}
	}
	if !in.heads.take(cost, 0) {
		s.Release()
		return nil, in.refuseFor(shortage.New(shortage.HeadMemory), h.Header.Get("X-Correlation-Id"))
	}
	var pass *limit.Pass
	t, err := in.take(s, h, &pass)
	if err != nil {
		pass.Cancel(in.exchange.Clock().Now())
		in.heads.give(cost)
		s.Release()
		return nil, err
	}
	t.heads, t.headCost = in.heads, cost
	if t.pass = pass; pass != nil {
		t.limits[0], t.limits[1] = pass.Fields()
		if t.request.Wait = pass.Wait; pass.Costs() {
			t.request.Watch = t
		}
	}
	return t, nil
}

// take takes a request in steps: who asks, which route and class it is, how long there is, what limits and
// contracts allow, which pool gets it, and what goes on to a host.
func (in *Admission) take(s *Snapshot, h *Head, pass **limit.Pass) (*Ticket, error) {
	if err := checkDecisive(h.Header); err != nil {
		return nil, err
	}
	q := &admissionRequest{in: in, snapshot: s, head: h, client: s.model.Forward.Client(h.Header, h.Address)}
	if err := q.identify(); err != nil {
		return nil, err
	}
	if err := q.findRoute(); err != nil {
		return nil, err
	}
	if err := q.checkClass(); err != nil {
		return nil, err
	}
	if err := q.readTime(); err != nil {
		return nil, err
	}
	if err := q.enterLimits(pass); err != nil {
		return nil, err
	}
	if err := q.enterContract(); err != nil {
		return nil, err
	}
	t, err := q.pass()
	if err != nil && q.terms != nil {
		in.limiter.Leave(q.account, q.held) // what the contract has let in ends here
	}
	return t, err
}

// pass makes the ticket of a request that is let in.
func (q *admissionRequest) pass() (*Ticket, error) {
	if q.id == "" {
		q.id = q.in.newID()
	}
	if err := q.place(); err != nil {
		return nil, err
	}
	header, authority, err := q.outgoing()
	if err != nil {
		return nil, err
	}
	return q.ticket(header, authority), nil
}

// admissionRequest is a request while it is taken.
type admissionRequest struct {
	in       *Admission
	snapshot *Snapshot
	head     *Head
	client   netip.Addr
	terms    *contract.Terms // of the team that asks; nil: there are no contracts
	account  *contract.Account
	match    route.Match
	policy   *config.Policy // of the route; nil: none
	classAt  int
	class    *config.Class
	id       string
	left     time.Duration
	told     bool // the client said how long it waits
	repeat   bool
	held     int64 // bytes that its team's contract counts
	to       *Target
	placed   placement
	vars     headers.Vars
}

// identify finds out which team asks.
func (q *admissionRequest) identify() error {
	m, h := q.snapshot.model, q.head
	if m.Contracts != nil {
		var v *contract.Violation
		if q.terms, v = m.Contracts.Identify(&contract.Caller{Authorization: h.Header.Get("Authorization"),
			Account: h.Header.Get("X-Account"), Address: q.client}); v != nil {
			return violated(v)
		}
	}
	if name := h.Header.Get("X-Service-Class"); m.Platform && name != "" && m.ClassIndex(name) < 0 {
		return bad("unknown class %.80q", name)
	}
	return nil
}

// findRoute finds the route, or the answer that the gateway gives itself.
func (q *admissionRequest) findRoute() error {
	s, h := q.snapshot, q.head
	match, err := s.model.Table.Match(&route.Request{Method: h.Method, Listener: h.Listener, Host: h.Authority, Path: h.Path, Query: h.Query,
		Header: h.Header, Random: rand.Uint64()})
	switch {
	case errors.Is(err, route.ErrRounds):
		return &Error{Status: http.StatusInternalServerError, Text: err.Error(), Keeps: true}
	case err != nil:
		return bad("%v", err)
	case match.Route == nil:
		return s.unmatched(h)
	case match.Location != "":
		return s.moved(&match)
	case len(match.Route.Pools) == 0 && !match.Route.Own: // its steps led nowhere else
		return &Error{Status: http.StatusNotFound, Text: "not found", Keeps: true}
	}
	q.match, q.policy = match, s.model.Policies[match.Route.Index]
	q.vars = headers.Vars{Client: q.client, Scheme: schemeOf(h.Encrypted), Host: h.Authority, Method: h.Method, Path: h.Path,
		Query: h.Query, ID: h.Header.Get("X-Correlation-Id"), Route: match.Route.Name, Header: h.Header}
	if q.policy != nil && q.policy.Own != nil {
		return s.own(q.policy, &q.vars)
	}
	return nil
}

// checkClass finds the class and checks what it asks for.
func (q *admissionRequest) checkClass() error {
	m, h := q.snapshot.model, q.head
	q.classAt = q.snapshot.classes[q.match.Route.Index]
	if q.classAt >= 0 && m.Classes[q.classAt].ByMethod > 0 && !config.Idempotent(h.Method) {
		q.classAt = m.Classes[q.classAt].ByMethod
	}
	q.class, q.id = &m.Classes[q.classAt], h.Header.Get("X-Correlation-Id")
	if m.Platform {
		if err := checkPlatform(h, q.class, q.id); err != nil {
			return err
		}
	}
	if q.class.Effect == frostshift.Keyed && h.Header.Get("Idempotency-Key") == "" {
		return bad("Idempotency-Key is missing")
	}
	return nil
}

// readTime reads how long the client waits, and whether it asks again.
func (q *admissionRequest) readTime() error {
	defer func() { q.left = max(0, q.left-q.head.Waited) }()
	q.left = q.class.Deadline
	q.repeat = q.head.Header.Get("X-Repeat") == "1"
	text := q.head.Header.Values("X-Time-Left")
	if len(text) == 0 {
		return nil
	}
	asked, err := parseLeft(text[0])
	if err != nil {
		return err
	}
	q.left, q.told = min(q.left, asked), true
	return nil
}

// enterLimits holds the request against the limits by key of its route.
func (q *admissionRequest) enterLimits(pass **limit.Pass) error {
	r := q.match.Route
	gate := q.snapshot.gates[r.Index]
	if len(gate) == 0 {
		return nil
	}
	ask := askOf(q.head, q.client, r, q.class.Name, q.terms)
	var refusal limit.Refusal
	if *pass, refusal = gate.Enter(q.in.exchange.Clock().Now(), &ask, q.left/2); refusal.Rule != nil {
		return q.snapshot.limited(&refusal)
	}
	return nil
}

// enterContract holds it against the contract of its team.
func (q *admissionRequest) enterContract() error {
	q.held = q.head.Body
	if q.terms == nil {
		return nil
	}
	if p := q.policy; p != nil && p.Bodies != nil && p.Bodies.Requests != config.BodiesWhole {
		q.held = min(q.held, p.Bodies.Replay) // more is never in memory
	}
	var v *contract.Violation
	if q.account, v = q.in.enter(q.terms, q.class, q.head, q.held, q.left, q.repeat); v != nil {
		return violated(v)
	}
	if q.terms.LongestDeadline > 0 {
		q.left = min(q.left, q.terms.LongestDeadline)
	}
	return nil
}

// place chooses the pool.
func (q *admissionRequest) place() error {
	s, r := q.snapshot, q.match.Route
	q.to = s.targets[r.Index][q.match.Pool]
	if s.moves[r.Index] == nil {
		return nil
	}
	var err error
	if q.placed, err = s.place(q.head, q.client, r, q.classAt, q.repeat); err != nil {
		return err
	}
	if q.placed.at >= 0 {
		q.to = s.targets[r.Index][q.placed.at]
	}
	return nil
}

// target is the path and query that go on.
func (q *admissionRequest) target() string {
	path, query, marked := q.head.Path, q.head.Query, q.head.QueryMark
	if q.match.Path != "" {
		path = q.match.Path
	}
	if q.match.Requery {
		query, marked = q.match.Query, false
	}
	if query != "" || marked {
		path += "?" + query
	}
	return path
}

// outgoing is the fields and the authority that go on.
func (q *admissionRequest) outgoing() (header http.Header, authority string, err error) {
	m, h := q.snapshot.model, q.head
	header, authority = message.EndToEnd(h.Header), h.Authority
	if !m.Platform {
		q.vars.ID, q.vars.Pool = q.id, q.to.Pool.Name()
		m.Forward.Apply(header, h.Address, q.vars.Scheme, h.Authority)
		header["Via"] = append(slices.Clip(header["Via"]), h.Proto+q.snapshot.via)
		if q.policy != nil {
			if err := q.policy.Request.Apply(header, &q.vars); err != nil {
				return nil, "", &Error{Status: http.StatusRequestHeaderFieldsTooLarge, Text: err.Error()}
			}
		}
		authority = q.authority()
	}
	// These go on whatever Connection says of them: hosts tell repeats by them.
	header["X-Correlation-Id"] = []string{q.id}
	if key := h.Header.Get("Idempotency-Key"); key != "" {
		header["Idempotency-Key"] = []string{key}
	}
	return header, authority, nil
}

// authority is the Host that goes on; "": the address of the host.
func (q *admissionRequest) authority() string {
	name := q.to.Authority
	if q.policy != nil && q.policy.Authority != "" {
		name = q.policy.Authority
	}
	switch name {
	case "", config.ClientsOwn:
		name = q.head.Authority
	}
	if name == config.HostsOwn {
		return ""
	}
	return name
}

// ticket is the request as it has been taken.
func (q *admissionRequest) ticket(header http.Header, authority string) *Ticket {
	in, s, m, h := q.in, q.snapshot, q.snapshot.model, q.head
	var whole *body.Complete // nil: it is still to come
	if h.Body == 0 {
		whole = body.None()
	}
	tenant, ok := m.Tenants[h.Header.Get("X-Account")]
	if !ok {
		tenant = -1
	}
	t := &Ticket{policy: q.policy, vars: q.vars, name: s.name, via: h.Proto + s.via, Platform: m.Platform, Bodies: q.to.Bodies, uploads: q.to.Uploads, to: q.to.Pool, left: q.left,
		aim: q.class.Aim, Kept: q.to.Kept, snapshot: s, x: in.exchange, overdue: in.overdue, reads: in.reads,
		Message: &message.Request{ID: q.id, Method: h.Method, Authority: authority, Target: q.target(), Header: header, Body: whole},
		request: exchange.Request{ID: q.id, Class: q.classAt, Tenant: tenant, Repeat: q.repeat, Answers: q.to.Answers}}
	if p := q.policy; p != nil && p.Answers != nil {
		t.request.Answers = p.Answers
	}
	if p := q.policy; p != nil && p.Bodies != nil {
		t.Flow, t.Upgrade, t.asked, t.spool = p.Bodies, p.Bodies.UpgradeOf(h.Header), q.told, in.spool
	}
	if q.placed.move != nil {
		t.move, t.unit, t.request.Watch = q.placed.move, q.placed.unit, t
	}
	if q.terms != nil {
		header.Del("Authorization") // a token is between the team and the gateway
		t.limiter, t.body = in.limiter, q.held
		t.item = contract.Item{Terms: q.terms, Account: q.account, Class: q.classAt, Priority: q.terms.Classes[q.class.Name].Priority, Key: keyOf(h)}
	}
	// Hosts of another pool drop no repeats of this one's: a key that has gone on would come
	// back to the first pool with the client's retry, and run twice.
	if f := s.fallbacks[q.match.Route.Index]; f != nil && q.class.Effect != frostshift.Keyed {
		t.fallback = f.Pool
	}
	return t
}

// askOf is a request as limits by key see it.
func askOf(h *Head, client netip.Addr, r *route.Route, class string, terms *contract.Terms) limit.Ask {
	a := limit.Ask{Address: client, Class: class, Route: r.Name, Method: h.Method, Host: h.Authority, Path: h.Path, Query: h.Query, Header: h.Header, Body: h.Body}
	if terms != nil {
		a.Team = terms.Team
	}
	return a
}

func schemeOf(encrypted bool) string {
	if encrypted {
		return "https"
	}
	return "http"
}

// enter holds a request against its team's contract and lets it in, or not.
func (in *Admission) enter(terms *contract.Terms, class *config.Class, h *Head, held int64, left time.Duration, repeat bool) (*contract.Account, *contract.Violation) {
	now := in.exchange.Clock().Now()
	ask := contract.RequestInfo{Class: class.Name, Effect: class.Effect, Body: h.Body, Repeat: repeat}
	if h.Header.Get("X-Time-Left") != "" {
		ask.Deadline = left
	}
	if v := terms.Check(&ask, now); v != nil {
		in.limiter.CountRefusal(terms, v.Cause, now)
		return nil, v
	}
	return in.limiter.Enter(terms, held, repeat, now)
}

// keyOf is what a request is about, as far as its cost goes: its path and, where it names
// an object, that.
func keyOf(h *Head) uint64 { return hashOf(h.Path, h.Query) }

// hashOf is a hash of texts, never 0; where one ends and the next begins counts.
func hashOf(texts ...string) uint64 {
	d := xxhash.Digest{}
	d.Reset()
	for _, s := range texts {
		d.WriteString(s)
		d.Write(between)
	}
	return max(d.Sum64(), 1)
}

var between = []byte{0xff}

// checkPlatform asks for what the platform's protocol promises of its clients.
func checkPlatform(h *Head, class *config.Class, id string) error {
	method := http.MethodPost
	if class.Effect == frostshift.Safe {
		method = http.MethodGet
	}
	if err := checkIdentifying(h.Header); err != nil {
		return err
	}
	switch name := h.Header.Get("X-Service-Class"); {
	case name == "":
		return bad("X-Service-Class is missing")
	case name != class.Name:
		return bad("X-Service-Class %q and path differ", name)
	case id == "":
		return bad("X-Correlation-Id is missing")
	case method == http.MethodGet && h.Body > 0:
		return bad("class %s takes no body", name)
	case h.Method != method:
		return &Error{Status: http.StatusMethodNotAllowed, Text: "class " + name + " takes " + method, Allow: method}
	}
	return nil
}

// newID makes an id for a request that came without one.
func (in *Admission) newID() string {
	var b [16]byte
	copy(b[:8], in.idBase[:])
	for i, v := 0, in.ids.Add(1); i < 8; i++ {
		b[8+i] = byte(v >> (56 - 8*i))
	}
	return hex.EncodeToString(b[:])
}

// parseLeft reads a number with the unit m (milliseconds) or u (microseconds).
func parseLeft(text string) (time.Duration, error) {
	unit, number := time.Millisecond, strings.TrimSuffix(text, "m")
	if number == text {
		unit, number = time.Microsecond, strings.TrimSuffix(text, "u")
	}
	v, err := strconv.ParseFloat(number, 64)
	if number == text || err != nil || strings.Trim(number, "0123456789.") != "" {
		return 0, bad("X-Time-Left %.40q is not a time", text)
	}
	return time.Duration(min(v*float64(unit), float64(24*time.Hour))), nil
}
