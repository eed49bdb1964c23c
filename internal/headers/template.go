// Package headers changes the header fields of messages that pass the gateway: it sets, adds and
// removes fields by route, sends hosts information about the client, and determines from which
// proxies such information is accepted. Configurations are checked and compiled once; applying them
// performs no I/O and reads no clock. Of routes and pools the package uses only the names.
//
// template.go holds values with variables, ops.go changes fields, and forward.go sends information
// about clients.
package headers

import (
	"errors"
	"fmt"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
)

// Vars holds the values of the variables that a template may use.
type Vars struct {
	Client       netip.Addr // as far as it is known, see Forward.Client
	Scheme, Host string
	Method       string
	Path, Query  string // as received
	ID           string // of the request
	Route, Pool  string
	Status       int         // of the answer; 0 means that there is none yet
	Header       http.Header // of the request
}

// maxValue is the maximum length of a value in bytes, and of a template's text.
const maxValue = 8 << 10

// ErrLong is returned if a value or a template's text is longer than maxValue.
var ErrLong = errors.New("a header field would be longer than 8 KiB")

// Template is a compiled text with variables. It is immutable.
type Template struct{ parts []part }

// part is a literal text or a variable.
type part struct {
	text string // the literal text, if kind is literal
	kind variable
	name string // canonical name of the header, if kind is varHeader
	n    int    // number of the path segment from 1, if kind is varSegment
}

// variable is what a part stands for: literal text or one of the variables.
type variable uint8

const (
	literal variable = iota
	varClient
	varScheme
	varHost
	varMethod
	varPath
	varQuery
	varURI
	varID
	varRoute
	varPool
	varStatus
	varHostname
	varQuestion
	varHeader
	varSegment
)

// variables maps the names without a parameter to the variables.
var variables = map[string]variable{"client": varClient, "scheme": varScheme, "host": varHost, "method": varMethod, "path": varPath,
	"query": varQuery, "uri": varURI, "id": varID, "route": varRoute, "pool": varPool, "status": varStatus,
	"hostname": varHostname, "question": varQuestion}

// Compile compiles a text in which ${name} is a variable and $$ a dollar sign. It returns an error
// for an unknown variable, a control character or a text that is too long.
func Compile(text string) (*Template, error) {
	t := &Template{}
	if len(text) > maxValue {
		return nil, ErrLong
	}
	if i := strings.IndexFunc(text, func(c rune) bool { return c < ' ' && c != '\t' || c == 0x7f }); i >= 0 {
		return nil, fmt.Errorf("control character at byte %d", i)
	}
	var plain strings.Builder
	flush := func() {
		if plain.Len() > 0 {
			t.parts = append(t.parts, part{text: plain.String()})
			plain.Reset()
		}
	}
	for text != "" {
		before, rest, found := strings.Cut(text, "$")
		plain.WriteString(before)
		if !found {
			break
		}
		if strings.HasPrefix(rest, "$") {
			plain.WriteByte('$')
			text = rest[1:]
			continue
		}
		inner, ok := strings.CutPrefix(rest, "{")
		name, after, closed := strings.Cut(inner, "}")
		if !ok || !closed {
			return nil, errors.New("$ must begin ${name}; write $$ for a dollar sign")
		}
		flush()
		p, err := compileVariable(name)
		if err != nil {
			return nil, err
		}
		t.parts = append(t.parts, p)
		text = after
	}
	flush()
	return t, nil
}

// compileVariable returns the part for a variable's name.
func compileVariable(name string) (part, error) {
	if v, ok := variables[name]; ok {
		return part{kind: v}, nil
	}
	if h, ok := strings.CutPrefix(name, "header."); ok && token(h) {
		return part{kind: varHeader, name: http.CanonicalHeaderKey(h)}, nil
	}
	if s, ok := strings.CutPrefix(name, "path."); ok {
		if n, err := strconv.Atoi(s); err == nil && n >= 1 && n <= 100 {
			return part{kind: varSegment, n: n}, nil
		}
	}
	return part{}, fmt.Errorf("unknown variable ${%.40s} (known: client, scheme, host, hostname, method, path, path.1 and so on, query, question, uri, id, route, pool, status, header.NAME)", name)
}

// Append appends the template's value to b. Control characters are percent-encoded, as %0D, so that
// data sent by a client can neither start another field nor end the message. If the value is too
// long, Append returns b as it was and ErrLong.
func (t *Template) Append(b []byte, v *Vars) ([]byte, error) {
	start := len(b)
	for i := range t.parts {
		p := &t.parts[i]
		switch p.kind {
		case literal:
			b = append(b, p.text...)
		case varClient:
			if v.Client.IsValid() {
				b = v.Client.AppendTo(b)
			}
		case varStatus:
			if v.Status > 0 {
				b = strconv.AppendInt(b, int64(v.Status), 10)
			}
		case varURI:
			b = appendEscaped(b, v.Path)
			if v.Query != "" {
				b = appendEscaped(append(b, '?'), v.Query)
			}
		default:
			b = appendEscaped(b, p.value(v))
		}
		if len(b)-start > maxValue {
			return b[:start], ErrLong
		}
	}
	return b, nil
}

// Expand returns the template's value as a string, with the errors of Append.
func (t *Template) Expand(v *Vars) (string, error) {
	b, err := t.Append(nil, v)
	return string(b), err
}

// value returns the value of a variable that is a text.
func (p *part) value(v *Vars) string {
	switch p.kind {
	case varScheme:
		return v.Scheme
	case varHost:
		return v.Host
	case varMethod:
		return v.Method
	case varPath:
		return v.Path
	case varQuery:
		return v.Query
	case varHostname: // the host in lower case, without the port
		if i := strings.LastIndexByte(v.Host, ':'); i > strings.LastIndexByte(v.Host, ']') {
			return strings.ToLower(v.Host[:i])
		}
		return strings.ToLower(v.Host)
	case varQuestion: // the query with its question mark, empty if there is no query
		if v.Query != "" {
			return "?" + v.Query
		}
		return ""
	case varID:
		return v.ID
	case varRoute:
		return v.Route
	case varPool:
		return v.Pool
	case varHeader:
		if x := v.Header[p.name]; len(x) > 0 {
			return x[0]
		}
	case varSegment:
		return segment(v.Path, p.n)
	}
	return ""
}

// segment returns the nth segment of a path, counted from 1, with valid percent-encodings decoded.
// It is empty if the path has fewer segments.
func segment(path string, n int) string {
	for ; n > 0; n-- {
		_, rest, ok := strings.Cut(path, "/")
		if !ok {
			return ""
		}
		path = rest
	}
	s, _, _ := strings.Cut(path, "/")
	if !strings.Contains(s, "%") {
		return s
	}
	out := make([]byte, 0, len(s))
	for i := 0; i < len(s); i++ {
		if s[i] == '%' && i+2 < len(s) {
			if c, err := strconv.ParseUint(s[i+1:i+3], 16, 8); err == nil {
				out = append(out, byte(c))
				i += 2
				continue
			}
		}
		out = append(out, s[i])
	}
	return string(out)
}

// appendEscaped appends s with its control characters, except tabs, percent-encoded.
func appendEscaped(b []byte, s string) []byte {
	const hex = "0123456789ABCDEF"
	for i := 0; i < len(s); i++ {
		if c := s[i]; c < ' ' && c != '\t' || c == 0x7f {
			b = append(b, '%', hex[c>>4], hex[c&15])
		} else {
			b = append(b, c)
		}
	}
	return b
}

// token reports whether a text is a valid field name (RFC 9110 section 5.6.2).
func token(s string) bool {
	for i := 0; i < len(s); i++ {
		c := s[i]
		if !('a' <= c && c <= 'z' || 'A' <= c && c <= 'Z' || '0' <= c && c <= '9' || strings.IndexByte("!#$%&'*+-.^_`|~", c) >= 0) {
			return false
		}
	}
	return s != ""
}
