// Package front is what all fronts share: from the head of a client's request to what the
// exchange takes. It finds the route, checks what the class asks for, and holds the
// configuration that a request began with until it has its answer. It reads no socket and
// knows no protocol's framing; it decides nothing about hosts.
package front

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"sync/atomic"
	"time"

	"frostshift/internal/contract"
	"frostshift/internal/exchange"
	"frostshift/internal/limit"
	"frostshift/internal/route"
	"frostshift/internal/shortage"
	"frostshift/internal/spool"
)

// Head is the head of a request as a front read it.
type Head struct {
	Method, Authority string
	Path, Query       string // as they came
	QueryMark         bool   // a question mark stands behind the path, though the query may be empty
	Header            http.Header
	Body              int64 // bytes that are announced
	Address           netip.Addr
	Proto             string // version of HTTP: 1.1 or 2
	Encrypted         bool   // it came over TLS
	Listener          string // name of where it came in
	// Waited is how long the request has waited for its connection's turn: its client has that much less time left.
	Waited time.Duration
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
	// Stalled says that nothing more of the request is waited for.
	Stalled bool
	// Short is what of the gateway's own there was too little of; nil: nothing.
	Short *shortage.Error
}

func (e *Error) Error() string { return e.Text }

// tooLittle is the refusal of a request for want of something of the gateway's own. Nothing of it has been sent on.
func tooLittle(of *shortage.Error) *Error {
	return &Error{Status: http.StatusServiceUnavailable, Text: of.Error(), Short: of}
}

// refuseFor counts and logs such a refusal.
func (in *Admission) refuseFor(of *shortage.Error, id string) *Error {
	in.exchange.Shortages().Note(of, shortage.Refused, id)
	return tooLittle(of)
}

func bad(format string, args ...any) *Error {
	return &Error{Status: http.StatusBadRequest, Text: fmt.Sprintf(format, args...)}
}

// Admission takes requests under the present configuration. It is safe for concurrent use.
type Admission struct {
	exchange *exchange.Exchange
	limiter  *contract.Limiter
	now      atomic.Pointer[Snapshot]
	ready    atomic.Bool
	leaves   atomic.Bool
	ids      atomic.Uint64
	idBase   [8]byte
	spool    *spool.Dir
	heads    *HeadRoom // nil: there is no bound
	reads    *BodyReads
	overdue  *OverdueAnswers
}

// NewAdmission returns an admission without a configuration; Use gives it one.
func NewAdmission(x *exchange.Exchange, limiter *contract.Limiter) *Admission {
	in := &Admission{exchange: x, limiter: limiter, overdue: newOverdueAnswers(), reads: NewBodyReads()}
	for i, v := 0, rand.Uint64(); i < len(in.idBase); i++ {
		in.idBase[i] = byte(v >> (8 * i))
	}
	return in
}

// Overdue returns the account of answers that are past their due time.
func (in *Admission) Overdue() *OverdueAnswers { return in.overdue }

// BodyReads returns the account of bodies that are read ahead of any attempt.
func (in *Admission) BodyReads() *BodyReads { return in.reads }

// Spool has bodies kept on disk in a folder. It is called before the first Use.
func (in *Admission) Spool(d *spool.Dir) { in.spool = d }

// BoundHeads has heads of requests take their memory from a room. It is called before the first Use.
func (in *Admission) BoundHeads(room *HeadRoom) { in.heads = room }

// Use puts a snapshot in place of the present one. Requests that have begun keep theirs.
// With nil none is taken from then on.
func (in *Admission) Use(s *Snapshot) {
	if old := in.now.Swap(s); old != nil {
		old.Release()
	}
}

// SetReady says that the gateway is ready for clients.
func (in *Admission) SetReady() { in.ready.Store(true) }

// SetLeaving says whether the gateway gives its clients up.
func (in *Admission) SetLeaving(on bool) { in.leaves.Store(on) }

// Leaving says whether it does.
func (in *Admission) Leaving() bool { return in.leaves.Load() }

// Ready says whether the gateway wants new clients.
func (in *Admission) Ready() bool { return in.ready.Load() && !in.leaves.Load() }

// Explain says how a request would stand against the limits by key that it meets, and charges it
// nothing; false: no route matches that has any.
func (in *Admission) Explain(h *Head) (name string, list []limit.Standing, ok bool) {
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

// AsError is err as an *Error, whatever it is.
func AsError(err error) *Error {
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return bad("%v", err)
}
