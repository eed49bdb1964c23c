// Package message holds a request and an answer as fronts and upstreams hand them to
// one another: the same whatever protocol either side speaks, and whole unless a route lets
// bodies flow. It knows nothing of sockets, of who decides, or of how often a request is sent.
package message

import (
	"net/http"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"frostshift/internal/body"
	"frostshift/internal/stream"
	"frostshift/internal/verdict"
)

// Request is a client's request. Nothing of it changes once a front has handed it on, so
// attempts may read it at any time.
type Request struct {
	ID        string // X-Correlation-Id: hosts tell repeats by it
	Method    string
	Authority string      // the Host header or the :authority; "": the host's own address
	Target    string      // path and query: as they came, unless a route rewrites them
	Header    http.Header // end-to-end headers only, see EndToEnd
	// Body is all of the body; nil: it has not come whole, and is the Upload's.
	Body *body.Complete
	// Written is set by an attempt that has sent all of the body and reads it no more.
	Written atomic.Bool
	// Upload is the body where it is not whole, and Body is nil then; nil: it is whole.
	Upload *stream.Upload
	// Flow says how bodies may flow; nil: an answer is taken whole.
	Flow *Flow
	// Upgrade is the protocol that the client asks to switch to (RFC 9110 section 7.8); "":
	// none. The bytes behind the switch are the Upload's and the Answer's Stream.
	Upgrade string
}

// Sendable says whether the request has a body that may be sent: one that is whole, or goes on as it comes.
func (r *Request) Sendable() bool { return r.Upload != nil || r.Body.Valid() }

// Flow bounds bodies that are not held whole.
type Flow struct {
	Answers bool          // answers may flow
	Hold    int64         // bytes of an answer up to which it is held whole all the same
	Ahead   time.Duration // that one of untold length is held back for to be whole; 0: it is not
	Idle    time.Duration // that either side may let pass without a byte
	Ends    time.Time     // when all of it must be over
	// Hint is given what comes ahead of an answer (103); nil: it is thrown away. It must not
	// block.
	Hint func(status int, header http.Header)
}

// Stream is an answer's body as it comes. It is read by one goroutine; Close is for any.
type Stream interface {
	// Read ends with io.EOF where the host said that it was all; any other error is a body
	// that broke off.
	Read(p []byte) (int, error)
	// Wait waits until Read would not, so that an answer which is silent holds no buffer. Its
	// errors are Read's to tell.
	Wait()
	// Trailer is what followed, once it has ended; nil: nothing.
	Trailer() http.Header
	// Close ends it, and a Read that waits. It may be called more than once.
	Close()
}

// Answer is a host's final answer, whole unless it has a Stream. Whoever is handed one calls Release once,
// when its body is no longer read.
type Answer struct {
	Status int
	Header http.Header // end-to-end headers only
	Body   []byte
	// Length is what Content-Length told where there is no body by rights, as with HEAD and
	// 304 (RFC 9110 section 8.6), or where it is a Stream; -1: nothing.
	Length int64
	// Stream is the body where it flows, and Body is empty then; Release ends it.
	Stream Stream
	// Free gives back the room that the body holds; nil: it holds none.
	Free func()
	// Again gives the body's memory to another answer; nil: it is not used again. Only a
	// front calls it, which has the answer to itself, has written the last byte of the body,
	// and reads nothing of it any more.
	Again func()
}

// Release gives back what the answer holds. It may be called more than once, but not
// at the same time.
func (a *Answer) Release() {
	if a.Free != nil {
		a.Free()
		a.Free = nil
	}
}

// Light says whether the answer holds no room that others share.
func (a *Answer) Light() bool { return a.Free == nil }

// Refuses reports whether the answer is a refusal to the client by its status, which says that trying again is harmless.
func (a *Answer) Refuses() bool {
	return a.Status == http.StatusTooManyRequests || a.Status == http.StatusServiceUnavailable
}

// RetryAfter returns when the host lets the client try again; 0: it does not say.
func (a *Answer) RetryAfter() time.Duration { return verdict.RetryAfter(a.Header, time.Now()) }

// hopByHop are the headers that are about one connection (RFC 9110 section 7.6.1) or
// meant for gateways. Each side frames its own messages, so lengths are dropped too.
var hopByHop = [...]string{"Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade", "Expect", "Content-Length", "X-Time-Left", "X-Backend-Load"}

// Announce is the Trailer field for those that names announce and that may go on; nil: none.
func Announce(names []string) []string {
	h := http.Header{}
	for _, list := range names {
		for _, name := range strings.Split(list, ",") {
			if name = strings.TrimSpace(name); name != "" {
				h[http.CanonicalHeaderKey(name)] = nil
			}
		}
	}
	var out []string
	for name := range Trailers(h) {
		out = append(out, name)
	}
	if out == nil {
		return nil
	}
	slices.Sort(out)
	return []string{strings.Join(out, ", ")}
}

// Trailers are the fields of h that may go on behind a body: none that frames, routes or
// authorizes, or says how to read what has gone before (RFC 9110 section 6.5.1).
func Trailers(h http.Header) http.Header {
	var out http.Header
	for name, values := range EndToEnd(h) {
		switch name {
		case "Host", "Authorization", "Cookie", "Set-Cookie", "Content-Type", "Content-Encoding", "Content-Range", "Cache-Control",
			"Location", "Vary", "Age", "Date", "Expires", "Range", "If-Match", "If-None-Match", "If-Modified-Since", "If-Unmodified-Since",
			"If-Range", "Max-Forwards", "Proxy-Authorization", "Www-Authenticate", "Proxy-Authenticate", "Authentication-Info",
			"X-Correlation-Id", "Idempotency-Key", "X-Forwarded-For", "Forwarded", "Via":
			continue
		}
		if out == nil {
			out = http.Header{}
		}
		out[name] = values
	}
	return out
}

// EndToEnd copies the headers that go on to the other side.
func EndToEnd(h http.Header) http.Header {
	out := make(http.Header, len(h))
	for name, values := range h {
		out[name] = values // neither side writes to the values
	}
	for _, v := range h["Connection"] {
		for _, name := range strings.Split(v, ",") {
			delete(out, http.CanonicalHeaderKey(strings.TrimSpace(name)))
		}
	}
	for _, name := range hopByHop {
		delete(out, name)
	}
	return out
}
