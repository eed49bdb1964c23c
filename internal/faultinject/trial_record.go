package faultinject

import (
	"fmt"
	"hash/fnv"
	"net/http"
	"sync"
	"time"
)

// form is a request as its client sent it, as far as a host must get it unchanged.
type form struct {
	method, target, id, key string
	body                    uint64 // sum of its bytes, see sumOf
	unsafe, keyed           bool
}

// sent is a request that a client has begun to send.
type sent struct {
	form
	whole time.Time // when its last byte was written; zero: it was not
	left  time.Time // when its client closed the connection; zero: it has not
}

// arrival is a request that a host has got whole.
type arrival struct {
	form
	host       string
	begun, ran time.Time // its first byte, its last byte
}

// record is what clients and hosts of a trial saw. It is safe for concurrent use.
type record struct {
	mu       sync.Mutex
	sent     map[string]*sent // by id
	told     map[string]bool  // failures that are told once
	arrivals []arrival
	begun    map[string]int
	quiet    map[string]int
	others   map[string]int
	// transfers are bodies that are written at a pace, see transferOf.
	transfers map[string]*transfer
	wrong     []string
	judged    bool
	// slowest and latest are the longest wait of a quiet client for its answer and the most that an answer came behind
	// its due time, less what the machine kept the gateway from running.
	slowest, latest time.Duration
}

func newRecord() *record {
	return &record{sent: map[string]*sent{}, told: map[string]bool{}, begun: map[string]int{}, quiet: map[string]int{}, others: map[string]int{}, transfers: map[string]*transfer{}}
}

// send notes a request that is about to be sent.
func (r *record) send(f form) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sent[f.id] = &sent{form: f}
}

// wrote notes that the last byte of a request has been written.
func (r *record) wrote(id string, at time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sent[id].whole = at
}

// leaves notes that the client of a request has closed its connection.
func (r *record) leaves(id string, at time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if s := r.sent[id]; s.left.IsZero() {
		s.left = at
	}
}

// seen is how many attempts of a request have begun at hosts.
func (r *record) seen(id string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.begun[id]
}

// begins notes the first bytes of an attempt.
func (r *record) begins(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.begun[id]++
}

// arrives notes a request that a host has got whole.
func (r *record) arrives(a arrival) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.arrivals = append(r.arrivals, a)
}

func (r *record) fail(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.failLocked(format, args...)
}

// failOnce is fail for what is told once, by a name.
func (r *record) failOnce(name, format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.told[name] {
		r.told[name] = true
		r.failLocked(format, args...)
	}
}

func (r *record) failLocked(format string, args ...any) {
	if len(r.wrong) < mostWrong {
		r.wrong = append(r.wrong, fmt.Sprintf(format, args...))
	}
}

// count notes what became of a request that is owed an answer.
func (r *record) count(quiet bool, what string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if quiet {
		r.quiet[what]++
	} else {
		r.others[what]++
	}
}

// waited notes how long a client waited for an answer, and how far behind its due time that came.
func (r *record) waited(quiet bool, wait, late time.Duration) {
	if !quiet {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.slowest, r.latest = max(r.slowest, wait), max(r.latest, late)
}

// judgeHosts holds what hosts got against what clients sent: each request in its form, nothing unsafe twice, and
// nothing for a client that has left. forgets says whether a process may know nothing at a time of what went before
// another: ids that come again are the client's doing, and a process that has been killed begins from nothing.
// starved is how much of the time between two instants the processes were kept from running.
func (r *record) judgeHosts(forgets func(from, to time.Time) bool, starved func(from, to time.Time) time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.judged {
		return
	}
	r.judged = true
	ran, last := map[string]int{}, map[string]time.Time{}
	for _, a := range r.arrivals {
		s := r.sent[a.id]
		if s == nil {
			r.failLocked("a host got the id %q, which no client sent", a.id)
			continue
		}
		want, got := s.form, a.form
		want.unsafe, want.keyed = false, false
		if want != got {
			r.failLocked("a host got %+v, and the client sent %+v", got, want)
		}
		if ran[a.id]++; s.unsafe && ran[a.id] > 1 && !forgets(last[a.id], a.begun) {
			r.failLocked("%s: unsafe, and run %d times", a.id, ran[a.id])
		}
		last[a.id] = a.begun
		if !s.left.IsZero() && a.begun.After(s.left.Add(leftAfter)) && a.begun.Sub(s.left) > leftAfter+starved(s.left, a.begun) {
			r.failLocked("%s (%s): begun at a host %v behind its client's close, whole %v behind that", a.id, a.method, a.begun.Sub(s.left).Round(time.Millisecond),
				a.ran.Sub(a.begun).Round(time.Millisecond))
		}
	}
}

// sumOf is the sum of a body.
func sumOf(body []byte) uint64 {
	h := fnv.New64a()
	h.Write(body)
	return h.Sum64()
}

// verdictOf names what an answer says.
func verdictOf(status int) string {
	switch status {
	case http.StatusOK:
		return "served"
	case http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return "refused"
	}
	return "failed"
}
