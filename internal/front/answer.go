package front

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"frostshift/internal/exchange"
	"frostshift/internal/message"
	"frostshift/internal/shortage"
)

// Answer is the one final answer to a submitted request as any front gives it: a host's own,
// with what the route changes in it, or the gateway's. last says that the connection of a
// protocol without streams ends with it.
func (t *Ticket) Answer(r exchange.Reply) (a *message.Answer, last bool) {
	if r.Answer != nil {
		a = r.Answer.(*message.Answer)
		t.passOn(a, &r)
		return a, false
	}
	switch r.Verdict {
	case exchange.Refused:
		if r.Violation != nil {
			a = ofViolation(violated(r.Violation))
			t.tell(a, "http_request_denied", &r)
			return a, false
		}
		a = ownAnswer(http.StatusServiceUnavailable, reasonOf(&r, "busy"))
		if r.After > 0 {
			a.Header.Set("Retry-After", RetryAfter(r.After, t.Platform))
		}
		t.tell(a, "destination_unavailable", &r)
		return a, r.Full
	case exchange.Duplicate:
		a = ownAnswer(http.StatusConflict, "a request with this X-Correlation-Id is open")
		t.tell(a, "http_request_error", &r)
		return a, true
	}
	a = ownAnswer(http.StatusBadGateway, reasonOf(&r, "failed"))
	t.tell(a, proxyErrors[r.Why], &r)
	return a, false
}

// reasonOf is the text of the gateway's own answer: what was lacking, if that is why there is no other.
func reasonOf(r *exchange.Reply, otherwise string) string {
	if r.Lacks == nil {
		return otherwise
	}
	return shortage.New(r.Lacks.Resource).Error()
}

// tellLimit says what is left of a limit that tells.
func (t *Ticket) tellLimit(a *message.Answer) {
	if t.limits[0] != "" {
		a.Header["Ratelimit-Policy"], a.Header["Ratelimit"] = t.limits[:1:1], t.limits[1:2:2]
	}
}

// proxyErrors are the error types of RFC 9209 section 2.3 for requests that failed.
var proxyErrors = [...]string{exchange.Unsent: "destination_unavailable", exchange.WhyTimedOut: "http_response_timeout",
	exchange.WhyReset: "connection_terminated", exchange.WhyMalformed: "http_protocol_error", exchange.WhyAnswered: "http_response_incomplete",
	exchange.WhyCanceled: "destination_unavailable", exchange.WhyNoRoom: "proxy_internal_error"}

// passOn makes a host's answer the client's.
func (t *Ticket) passOn(a *message.Answer, r *exchange.Reply) {
	if t.Platform {
		return
	}
	a.Header.Add("Via", t.via)
	t.tellLimit(a)
	if r.Verdict != exchange.Served { // it was kept until nothing better came
		a.Header.Add("Proxy-Status", t.name+"; received-status="+strconv.Itoa(a.Status))
	}
	if t.policy != nil && t.policy.Response != nil {
		t.vars.Status, t.vars.Pool = a.Status, r.Pool
		t.policy.Response.Apply(a.Header, &t.vars) // a value that would be too long is left out
	}
}

// tell marks an answer as the gateway's own, and why it is (RFC 9209).
func (t *Ticket) tell(a *message.Answer, what string, r *exchange.Reply) {
	if t.Platform {
		return
	}
	if t.policy != nil && t.policy.Response != nil {
		t.vars.Status, t.vars.Pool = a.Status, r.Pool
		t.policy.Response.Apply(a.Header, &t.vars)
	}
	a.Header.Set("Proxy-Status", t.name+"; error="+what+"; details=\"attempts "+strconv.Itoa(r.Tries)+"\"")
}

// Answer is what is wrong with a request, or the gateway's own answer to it.
func (e *Error) Answer() *message.Answer {
	var a *message.Answer
	if e.Violation != nil {
		a = ofViolation(e)
	} else {
		a = ownAnswer(e.Status, e.Text)
	}
	if e.Allow != "" {
		a.Header.Set("Allow", e.Allow)
	}
	for name, values := range e.Header {
		a.Header[name] = values
	}
	return a
}

// ownAnswer is a short text, as http.Error has it.
func ownAnswer(status int, text string) *message.Answer {
	return &message.Answer{Status: status, Length: -1, Body: []byte(text + "\n"), Header: http.Header{
		"Content-Type": {"text/plain; charset=utf-8"}, "X-Content-Type-Options": {"nosniff"}}}
}

func ofViolation(e *Error) *message.Answer {
	body, header := ProblemOf(e.Violation)
	return &message.Answer{Status: e.Violation.Status, Length: -1, Header: header, Body: body}
}

// Bodiless says whether an answer goes out without its body, as that of HEAD does.
func Bodiless(method string, status int) bool {
	return method == http.MethodHead || status == http.StatusNoContent || status == http.StatusNotModified
}

// Length is the Content-Length of an answer to a request of the method; "": it has none.
func Length(method string, a *message.Answer) string {
	switch {
	case a.Status == http.StatusNoContent:
		return ""
	case a.Stream != nil && a.Length < 0:
		return ""
	case a.Stream == nil && !Bodiless(method, a.Status):
		return strconv.Itoa(len(a.Body))
	case a.Length >= 0:
		return strconv.FormatInt(a.Length, 10)
	case method == http.MethodHead && len(a.Body) > 0:
		return strconv.Itoa(len(a.Body))
	}
	return ""
}

// Dated gives an answer a Date if it has none (RFC 9110 section 6.6.1).
func Dated(h http.Header, now time.Time) {
	if h["Date"] == nil {
		h["Date"] = []string{now.UTC().Format(http.TimeFormat)}
	}
}

// proxyName is the gateway's name as a token or string of RFC 8941.
func proxyName(name string) string {
	for i := 0; i < len(name); i++ {
		c := name[i]
		if !('a' <= c && c <= 'z' || 'A' <= c && c <= 'Z' || i > 0 && ('0' <= c && c <= '9' || c == '-' || c == '.' || c == '_')) {
			return `"` + strings.Map(func(r rune) rune {
				if r < ' ' || r > '~' || r == '"' || r == '\\' {
					return '-'
				}
				return r
			}, name) + `"`
		}
	}
	return name
}

// pseudonym is the gateway's name as Via has it (RFC 9110 section 7.6.3): a token.
func pseudonym(name string) string {
	return strings.Map(func(r rune) rune {
		if 'a' <= r && r <= 'z' || 'A' <= r && r <= 'Z' || '0' <= r && r <= '9' || r == '-' || r == '.' || r == '_' {
			return r
		}
		return '-'
	}, name)
}
