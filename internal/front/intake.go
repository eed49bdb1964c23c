// Package front is what all fronts share: from the head of a client's request to what the
// exchange takes. It finds the route, checks what the class asks for, and holds the
// configuration that a request began with until it has its answer. It reads no socket and
// knows no protocol's framing; it decides nothing about hosts.
package front

import (
	"encoding/hex"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"frostshift"
	"frostshift/internal/body"
	"frostshift/internal/config"
	"frostshift/internal/contract"
	"frostshift/internal/exchange"
	"frostshift/internal/headers"
	"frostshift/internal/limit"
	"frostshift/internal/message"
	"frostshift/internal/moves"
	"frostshift/internal/route"
	"frostshift/internal/shift"
	"frostshift/internal/spool"
	"frostshift/internal/stream"
	"frostshift/internal/verdict"
	"github.com/cespare/xxhash/v2"
)

// Head is the head of a request as a front read it.
type Head struct {
	Method, Authority string
	Path, Query       string // as they came
	Header            http.Header
	Body              int64 // bytes that are announced
	Address           netip.Addr
	Proto             string // version of HTTP: 1.1 or 2
	Encrypted         bool   // it came over TLS
	Listener          string // name of where it came in
}

// Error is what is wrong with a request; nothing of it has been sent on.
type Error struct {
	Status int
	Text   string
	Allow  string // methods, with 405
	Header http.Header
	// Keeps says that nothing is wrong with the request: the connection stays.
	Keeps bool
	// Violation is what of a contract stands in the way; nil: nothing.
	Violation *contract.Violation
}

func (e *Error) Error() string { return e.Text }

func bad(format string, args ...any) *Error {
	return &Error{Status: http.StatusBadRequest, Text: fmt.Sprintf(format, args...)}
}

// Target is a pool as fronts see it.
type Target struct {
	Pool   *exchange.Pool
	Bodies exchange.Room // for bodies of requests
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

// Intake takes requests under the present configuration. It is safe for concurrent use.
type Intake struct {
	exchange *exchange.Exchange
	door     *contract.Door
	now      atomic.Pointer[Snapshot]
	ready    atomic.Bool
	leaves   atomic.Bool
	ids      atomic.Uint64
	idBase   [8]byte
	spool    *spool.Dir
}

// NewIntake returns an intake without a configuration; Use gives it one.
func NewIntake(x *exchange.Exchange, door *contract.Door) *Intake {
	in := &Intake{exchange: x, door: door}
	for i, v := 0, rand.Uint64(); i < len(in.idBase); i++ {
		in.idBase[i] = byte(v >> (8 * i))
	}
	return in
}

// Spool has bodies kept on disk in a folder. It is called before the first Use.
func (in *Intake) Spool(d *spool.Dir) { in.spool = d }

// Use puts a snapshot in place of the present one. Requests that have begun keep theirs.
// With nil none is taken from then on.
func (in *Intake) Use(s *Snapshot) {
	if old := in.now.Swap(s); old != nil {
		old.Release()
	}
}

// SetReady says that the gateway is ready for clients.
func (in *Intake) SetReady() { in.ready.Store(true) }

// SetLeaving says whether the gateway gives its clients up.
func (in *Intake) SetLeaving(on bool) { in.leaves.Store(on) }

// Leaving says whether it does.
func (in *Intake) Leaving() bool { return in.leaves.Load() }

// Ready says whether the gateway wants new clients.
func (in *Intake) Ready() bool { return in.ready.Load() && !in.leaves.Load() }

// hold returns the present snapshot, held once more.
func (in *Intake) hold() *Snapshot {
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

// Ticket is a request whose head has been taken. The front reads the body into Message
// and submits it, or gives the ticket up with Release.
type Ticket struct {
	Message  *message.Request
	Bodies   exchange.Room
	Platform bool // the client speaks the platform's protocol
	request  exchange.Request
	to       *exchange.Pool
	fallback *exchange.Pool
	left     time.Duration
	aim      time.Duration // of its class; 0: none
	snapshot *Snapshot
	x        *exchange.Exchange
	held     int64          // bytes of Bodies
	policy   *config.Policy // of the route; nil: none
	vars     headers.Vars
	name     string
	via      string
	item     contract.Item
	door     *contract.Door // that the request has entered; nil: there is no contract
	move     *moves.Move    // that has placed the request; nil: none
	unit     shift.Unit
	pass     *limit.Pass    // what it holds of limits by key; nil: nothing
	limits   [2]string      // RateLimit-Policy and RateLimit of its answer; "": nothing is told
	work     time.Duration  // that it has been for hosts, once it has ended
	body     int64          // bytes that it announced there
	Flow     *config.Bodies // how its bodies go on; nil: whole
	Upgrade  string         // protocol that it may switch to; "": none
	asked    bool           // the client said how long it waits
	spool    *spool.Dir     // nil: nothing is kept on disk
	hint     func(int, http.Header)
	again    func() // gives the memory of the body to another; nil: it is not used again
}

// Hold notes that the body holds n more bytes of room and says whether there are any.
func (t *Ticket) Hold(n int64) bool {
	if !t.Bodies.Take(n) {
		return false
	}
	t.held += n
	return true
}

// NewUpload makes a body that need not be whole the request's. length is what the client has
// announced; -1: nothing.
func (t *Ticket) NewUpload(src stream.Source, length int64) *stream.Upload {
	f := t.Flow
	cfg := stream.Config{Source: src, Room: t.Bodies, Strict: f.Strict, Idle: f.Idle, Rate: f.Rate,
		Bounds: body.Bounds{Memory: f.Replay, Disk: f.Spool, Most: f.Most, Length: length}}
	if terms := t.item.Terms; terms != nil && terms.LargestBody > 0 && (f.Most == 0 || terms.LargestBody < f.Most) {
		cfg.Bounds.Most = terms.LargestBody // none was announced that the contract could be held against
	}
	if t.spool != nil && f.Spool > 0 {
		team, dir := "", t.spool
		if t.item.Terms != nil {
			team = t.item.Terms.Team
		}
		cfg.Spool = func() (stream.File, error) { return dir.File(team) }
	} else {
		cfg.Bounds.Disk = 0
	}
	if t.Upgrade != "" {
		cfg.Raw, cfg.Idle, cfg.Rate, cfg.Bounds = true, 0, 0, body.Bounds{Length: -1}
	}
	t.Message.Upload = stream.NewUpload(cfg, nil)
	return t.Message.Upload
}

// Whole makes an Upload that has come whole an ordinary body.
func (t *Ticket) Whole() {
	t.Message.Body, t.again = t.Message.Upload.Whole()
	t.held += int64(len(t.Message.Body))
	t.Message.Upload = nil
}

// Over says that the front is done with a request that was answered so: the memory of its
// body is used again where one attempt was all, and has sent it.
func (t *Ticket) Over(r exchange.Reply) {
	if t.again != nil && r.Verdict == exchange.Served && r.Tries == 1 && t.Message.Written.Load() {
		t.again()
		t.again = nil
	}
}

// Hints has what comes ahead of the answer given to f, where the route allows it.
func (t *Ticket) Hints(f func(status int, header http.Header)) {
	if t.Flow != nil && t.Flow.Hints {
		t.hint = f
	}
}

// Idle is how long a client may take nothing in of an answer that flows.
func (t *Ticket) Idle() time.Duration { return t.Flow.Idle }

// BodyError is what is wrong with a body that broke off. sent says that an attempt has had a
// part of it: trying again is not known to be harmless then.
func BodyError(err error, sent bool) *Error {
	e := bad("body: %v", err)
	switch {
	case errors.Is(err, stream.ErrLong):
		e = &Error{Status: http.StatusRequestEntityTooLarge, Text: "body too large"}
	case errors.Is(err, stream.ErrSlow) && !sent:
		e = &Error{Status: http.StatusRequestTimeout, Text: "the body is slow"}
	case errors.Is(err, stream.ErrSlow):
		e = bad("the body is slow")
	case errors.Is(err, stream.ErrRoom) && !sent:
		e = &Error{Status: http.StatusServiceUnavailable, Text: "busy"}
	case errors.Is(err, stream.ErrRoom):
		e = &Error{Status: http.StatusBadGateway, Text: "there is no room to keep the body"}
	}
	return e
}

// Release gives the ticket up. The exchange calls it for one that was submitted.
func (t *Ticket) Release() {
	if t.held > 0 {
		t.Bodies.Give(t.held)
		t.held = 0
	}
	if t.door != nil {
		t.door.Leave(t.item.Account, t.body)
		t.door = nil
	}
	if t.pass != nil {
		t.pass.Leave(t.x.Clock().Now(), t.work, t.came())
		t.pass = nil
	}
	t.snapshot.Release()
}

// Ended tells the move that has placed the request, and limits of work, how it ended.
func (t *Ticket) Ended(e exchange.Ending) {
	if t.work = e.Work; t.move != nil {
		t.move.Ended(&t.unit, e)
	}
}

// came is how many bytes of its body have come.
func (t *Ticket) came() int64 {
	if t.Message.Upload != nil {
		return t.Message.Upload.Came()
	}
	return int64(len(t.Message.Body))
}

// lastSend is how long an answer has to go out that came when its request's time was over or nearly so.
const lastSend = 250 * time.Millisecond

// SendBy is until when an answer is written: as long as its client waits, but for lastSend at least. One that came
// at the last moment, on a machine that is short of processor time, is late then, where it would be none.
func SendBy(deadline, now time.Time) time.Time {
	if least := now.Add(lastSend); deadline.Before(least) {
		return least
	}
	return deadline
}

// Submit hands the request to the exchange: its time counts from now, and the ticket is
// the exchange's to release. deadline is when the client stops waiting.
func (t *Ticket) Submit() (call *exchange.Call, deadline time.Time) {
	clock := t.x.Clock()
	t.request.Deadline = clock.Now() + t.left
	t.request.Message = t.Message
	t.request.Hold = t
	if t.Flow != nil {
		ends := t.request.Deadline - t.left + t.Flow.Longest
		if t.asked && !t.Flow.HeadTimed {
			ends = t.request.Deadline
		}
		t.Message.Upgrade = t.Upgrade
		t.Message.Flow = &message.Flow{Answers: t.Flow.Answers, Hold: t.Flow.Hold, Ahead: t.Flow.Ahead, Idle: t.Flow.Idle, Ends: clock.At(ends), Hint: t.hint}
		if up := t.Message.Upload; up != nil {
			t.request.Body, t.request.Rest, t.request.Ends = up, t.left, ends
		}
	}
	if t.door != nil {
		t.item.Deadline = t.request.Deadline
		if t.aim > 0 {
			t.item.Aim = t.request.Deadline - t.left + t.aim
		}
		t.request.Item = &t.item
	}
	return t.x.Submit(t.request, t.to, t.fallback), clock.At(t.request.Deadline)
}

// Take takes the head of a request, or returns an *Error.
func (in *Intake) Take(h *Head) (*Ticket, error) {
	s := in.hold()
	if s == nil {
		return nil, &Error{Status: http.StatusServiceUnavailable, Text: "stopping"}
	}
	var pass *limit.Pass
	t, err := in.take(s, h, &pass)
	if err != nil {
		pass.Cancel(in.exchange.Clock().Now())
		s.Release()
		return nil, err
	}
	if t.pass = pass; pass != nil {
		t.limits[0], t.limits[1] = pass.Fields()
		if t.request.Wait = pass.Wait; pass.Costs() {
			t.request.Watch = t
		}
	}
	return t, nil
}

func (in *Intake) take(s *Snapshot, h *Head, pass **limit.Pass) (*Ticket, error) {
	m := s.model
	client := m.Forward.Client(h.Header, h.Address)
	var terms *contract.Terms
	if m.Contracts != nil {
		var v *contract.Violation
		if terms, v = m.Contracts.Identify(&contract.Caller{Authorization: h.Header.Get("Authorization"),
			Account: h.Header.Get("X-Account"), Address: client}); v != nil {
			return nil, violated(v)
		}
	}
	if name := h.Header.Get("X-Service-Class"); m.Platform && name != "" && m.ClassIndex(name) < 0 {
		return nil, bad("unknown class %.80q", name)
	}
	match, err := m.Table.Match(&route.Request{Method: h.Method, Listener: h.Listener, Host: h.Authority, Path: h.Path, Query: h.Query,
		Header: h.Header, Random: rand.Uint64()})
	switch {
	case errors.Is(err, route.ErrRounds):
		return nil, &Error{Status: http.StatusInternalServerError, Text: err.Error(), Keeps: true}
	case err != nil:
		return nil, bad("%v", err)
	case match.Route == nil:
		return nil, s.unmatched(h)
	}
	r := match.Route
	if match.Location != "" {
		return nil, s.moved(&match)
	}
	if len(r.Pools) == 0 && !r.Own { // its steps led nowhere else
		return nil, &Error{Status: http.StatusNotFound, Text: "not found", Keeps: true}
	}
	classAt := s.classes[r.Index]
	if classAt >= 0 && m.Classes[classAt].ByMethod > 0 && !config.Idempotent(h.Method) {
		classAt = m.Classes[classAt].ByMethod
	}
	policy := m.Policies[r.Index]
	vars := headers.Vars{Client: client, Scheme: schemeOf(h.Encrypted), Host: h.Authority, Method: h.Method, Path: h.Path,
		Query: h.Query, ID: h.Header.Get("X-Correlation-Id"), Route: r.Name, Header: h.Header}
	if policy != nil && policy.Own != nil {
		return nil, s.own(policy, &vars)
	}
	class := &m.Classes[classAt]
	id := h.Header.Get("X-Correlation-Id")
	if m.Platform {
		if err := checkPlatform(h, class, id); err != nil {
			return nil, err
		}
	}
	if class.Effect == frostshift.Keyed && h.Header.Get("Idempotency-Key") == "" {
		return nil, bad("Idempotency-Key is missing")
	}
	left, told := class.Deadline, false
	if text := h.Header.Values("X-Time-Left"); len(text) > 0 {
		asked, err := parseLeft(text[0])
		if err != nil {
			return nil, err
		}
		left, told = min(left, asked), true
	}
	if gate := s.gates[r.Index]; len(gate) > 0 {
		ask := askOf(h, client, r, class.Name, terms)
		var refusal limit.Refusal
		if *pass, refusal = gate.Enter(in.exchange.Clock().Now(), &ask, left/2); refusal.Rule != nil {
			return nil, s.limited(&refusal)
		}
	}
	repeat := h.Header.Get("X-Repeat") == "1"
	var account *contract.Account
	held := h.Body
	if terms != nil {
		var v *contract.Violation
		if policy != nil && policy.Bodies != nil && policy.Bodies.Requests != config.BodiesWhole {
			held = min(held, policy.Bodies.Replay) // more is never in memory
		}
		if account, v = in.enter(terms, class, h, held, left, repeat); v != nil {
			return nil, violated(v)
		}
		if terms.LongestDeadline > 0 {
			left = min(left, terms.LongestDeadline)
		}
	}
	if id == "" {
		id = in.newID()
	}
	target := h.Path
	if match.Path != "" {
		target = match.Path
	}
	query := h.Query
	if match.Requery {
		query = match.Query
	}
	if query != "" {
		target += "?" + query
	}
	header := message.EndToEnd(h.Header)
	to := s.targets[r.Index][match.Pool]
	var placed placement
	if s.moves[r.Index] != nil {
		if placed, err = s.place(h, client, r, classAt, repeat); err != nil {
			if terms != nil {
				in.door.Leave(account, held)
			}
			return nil, err
		}
		if placed.at >= 0 {
			to = s.targets[r.Index][placed.at]
		}
	}
	authority := h.Authority
	if !m.Platform {
		vars.ID, vars.Pool = id, to.Pool.Name()
		m.Forward.Apply(header, h.Address, vars.Scheme, h.Authority)
		header["Via"] = append(slices.Clip(header["Via"]), h.Proto+s.via)
		if policy != nil {
			if err := policy.Request.Apply(header, &vars); err != nil {
				return nil, &Error{Status: http.StatusRequestHeaderFieldsTooLarge, Text: err.Error()}
			}
		}
		name := to.Authority
		if policy != nil && policy.Authority != "" {
			name = policy.Authority
		}
		if name != "" && name != config.ClientsOwn {
			authority = name
		}
		if authority == config.HostsOwn {
			authority = ""
		}
	}
	// These go on whatever Connection says of them: hosts tell repeats by them.
	header["X-Correlation-Id"] = []string{id}
	if key := h.Header.Get("Idempotency-Key"); key != "" {
		header["Idempotency-Key"] = []string{key}
	}
	tenant, ok := m.Tenants[h.Header.Get("X-Account")]
	if !ok {
		tenant = -1
	}
	t := &Ticket{policy: policy, vars: vars, name: s.name, via: h.Proto + s.via, Platform: m.Platform, Bodies: to.Bodies, to: to.Pool, left: left, aim: class.Aim, snapshot: s, x: in.exchange,
		Message: &message.Request{ID: id, Method: h.Method, Authority: authority, Target: target, Header: header},
		request: exchange.Request{ID: id, Class: classAt, Tenant: tenant, Repeat: repeat, Answers: to.Answers}}
	if policy != nil && policy.Answers != nil {
		t.request.Answers = policy.Answers
	}
	if policy != nil && policy.Bodies != nil {
		t.Flow, t.Upgrade, t.asked, t.spool = policy.Bodies, policy.Bodies.UpgradeOf(h.Header), told, in.spool
	}
	if placed.move != nil {
		t.move, t.unit, t.request.Watch = placed.move, placed.unit, t
	}
	if terms != nil {
		header.Del("Authorization") // a token is between the team and the gateway
		t.door, t.body = in.door, held
		t.item = contract.Item{Terms: terms, Account: account, Class: classAt, Priority: terms.Classes[class.Name].Priority, Key: keyOf(h)}
	}
	// Hosts of another pool drop no repeats of this one's: a key that has gone on would come
	// back to the first pool with the client's retry, and run twice.
	if f := s.fallbacks[r.Index]; f != nil && class.Effect != frostshift.Keyed {
		t.fallback = f.Pool
	}
	return t, nil
}

// askOf is a request as limits by key see it.
func askOf(h *Head, client netip.Addr, r *route.Route, class string, terms *contract.Terms) limit.Ask {
	a := limit.Ask{Address: client, Class: class, Route: r.Name, Method: h.Method, Host: h.Authority, Path: h.Path, Query: h.Query, Header: h.Header, Body: h.Body}
	if terms != nil {
		a.Team = terms.Team
	}
	return a
}

// Explain says how a request would stand against the limits by key that it meets, and charges it
// nothing; false: no route matches that has any.
func (in *Intake) Explain(h *Head) (name string, list []limit.Standing, ok bool) {
	s := in.hold()
	if s == nil {
		return "", nil, false
	}
	defer s.Release()
	m := s.model
	client := m.Forward.Client(h.Header, h.Address)
	var terms *contract.Terms
	if m.Contracts != nil {
		terms, _ = m.Contracts.Identify(&contract.Caller{Authorization: h.Header.Get("Authorization"), Account: h.Header.Get("X-Account"), Address: client})
	}
	match, err := m.Table.Match(&route.Request{Method: h.Method, Listener: h.Listener, Host: h.Authority, Path: h.Path, Query: h.Query, Header: h.Header})
	if err != nil || match.Route == nil {
		return "", nil, false
	}
	class := ""
	if at := s.classes[match.Route.Index]; at >= 0 {
		class = m.Classes[at].Name
	}
	ask := askOf(h, client, match.Route, class, terms)
	return match.Route.Name, s.gates[match.Route.Index].Explain(in.exchange.Clock().Now(), &ask), true
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

func schemeOf(encrypted bool) string {
	if encrypted {
		return "https"
	}
	return "http"
}

// enter holds a request against its team's contract and lets it in, or not.
func (in *Intake) enter(terms *contract.Terms, class *config.Class, h *Head, held int64, left time.Duration, repeat bool) (*contract.Account, *contract.Violation) {
	now := in.exchange.Clock().Now()
	ask := contract.Ask{Class: class.Name, Effect: class.Effect, Body: h.Body, Repeat: repeat}
	if h.Header.Get("X-Time-Left") != "" {
		ask.Deadline = left
	}
	if v := terms.Check(&ask, now); v != nil {
		in.door.Outside(terms, v.Cause, now)
		return nil, v
	}
	return in.door.Enter(terms, held, repeat, now)
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
func (in *Intake) newID() string {
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

// AsError is err as an *Error, whatever it is.
func AsError(err error) *Error {
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return bad("%v", err)
}
