package h2

import (
	"errors"
	"net/http"
	"strconv"
	"strings"

	"golang.org/x/net/http2/hpack"
)

// Request is the head of a request as its fields say.
type Request struct {
	Method, Scheme, Authority, Path string
	Header                          http.Header
	Length                          int64  // Content-Length; -1: none is told
	Protocol                        string // of an extended CONNECT (RFC 8441); "": it is none
}

// Errors of a head that is malformed (RFC 9113 section 8.1.1). They end the stream.
var (
	errPseudo     = errors.New("a pseudo-header field is missing, empty or out of place")
	errConnection = errors.New("a header field that is about one connection")
	errAuthority  = errors.New("fields Host and :authority differ")
	errLength     = errors.New("field Content-Length is malformed")
)

// connectionFields must not stand in a message (RFC 9113 section 8.2.2).
var connectionFields = map[string]bool{"connection": true, "proxy-connection": true, "keep-alive": true, "transfer-encoding": true, "upgrade": true}

// ReadRequest reads the fields of a request, which a Framer has decoded and found in
// order. CONNECT has no path, unless it is extended, and none of the other methods goes without.
func ReadRequest(fields []hpack.HeaderField) (*Request, error) {
	r := &Request{Header: make(http.Header, len(fields)), Length: -1}
	var hosts []string
	for _, f := range fields {
		var err error
		switch {
		case strings.HasPrefix(f.Name, ":"):
			err = r.readPseudo(f)
		case connectionFields[f.Name], f.Name == "te" && f.Value != "trailers":
			err = errConnection
		case f.Name == "host":
			hosts = append(hosts, f.Value)
		case f.Name == "content-length":
			err = r.readLength(f.Value)
		default:
			r.addField(f)
		}
		if err != nil {
			return nil, err
		}
	}
	if !r.hasTarget() {
		return nil, errPseudo
	}
	if err := r.readAuthority(hosts); err != nil {
		return nil, err
	}
	return r, nil
}

// readPseudo takes in a pseudo-header field, which may stand once and not be empty.
func (r *Request) readPseudo(f hpack.HeaderField) error {
	var to *string
	switch f.Name {
	case ":method":
		to = &r.Method
	case ":scheme":
		to = &r.Scheme
	case ":authority":
		to = &r.Authority
	case ":path":
		to = &r.Path
	case ":protocol":
		to = &r.Protocol
	default:
		return errPseudo
	}
	if *to != "" || f.Value == "" {
		return errPseudo
	}
	*to = f.Value
	return nil
}

// readLength takes in a Content-Length. It may be repeated with the same value.
func (r *Request) readLength(value string) error {
	n, err := strconv.ParseUint(value, 10, 62)
	if err != nil || strings.Trim(value, "0123456789") != "" || r.Length >= 0 && int64(n) != r.Length {
		return errLength
	}
	r.Length = int64(n)
	return nil
}

// addField takes in any other field. Cookies may be split for compression (section 8.2.3).
func (r *Request) addField(f hpack.HeaderField) {
	if old := r.Header["Cookie"]; f.Name == "cookie" && len(old) > 0 {
		old[0] += "; " + f.Value
		return
	}
	name := http.CanonicalHeaderKey(f.Name)
	r.Header[name] = append(r.Header[name], f.Value)
}

// hasTarget says whether method, scheme and path make a request.
func (r *Request) hasTarget() bool {
	switch {
	case r.Method == "" || (r.Method == http.MethodConnect) != (r.Protocol != ""):
		return false
	case r.Scheme != "http" && r.Scheme != "https":
		return false
	case !strings.HasPrefix(r.Path, "/") && !(r.Path == "*" && r.Method == http.MethodOptions):
		return false
	}
	return !strings.ContainsAny(r.Path, " \t\r\n\x00#") && token(r.Method)
}

// readAuthority sets the authority where only Host fields name it; they must not contradict it.
func (r *Request) readAuthority(hosts []string) error {
	if len(hosts) > 1 || len(hosts) == 1 && r.Authority != "" && hosts[0] != r.Authority {
		return errAuthority
	}
	if r.Authority == "" && len(hosts) == 1 {
		r.Authority = hosts[0]
	}
	if strings.ContainsAny(r.Authority, "/@ \t\r\n\x00") {
		return errAuthority
	}
	return nil
}

// token says whether a method is one (RFC 9110 section 5.6.2).
func token(s string) bool {
	for i := 0; i < len(s); i++ {
		c := s[i]
		if !('a' <= c && c <= 'z' || 'A' <= c && c <= 'Z' || '0' <= c && c <= '9' || strings.IndexByte("!#$%&'*+-.^_`|~", c) >= 0) {
			return false
		}
	}
	return s != ""
}

// Trailers says whether fields may be trailers: none of them is a pseudo-header.
func Trailers(fields []hpack.HeaderField) bool {
	for _, f := range fields {
		if strings.HasPrefix(f.Name, ":") || connectionFields[f.Name] {
			return false
		}
	}
	return true
}

// TrailerOf are fields that Trailers has found fit, as a header.
func TrailerOf(fields []hpack.HeaderField) http.Header {
	h := make(http.Header, len(fields))
	for _, f := range fields {
		name := http.CanonicalHeaderKey(f.Name)
		h[name] = append(h[name], f.Value)
	}
	return h
}

// ReadResponse reads the fields of a response. length is -1 where none is told.
func ReadResponse(fields []hpack.HeaderField) (status int, header http.Header, length int64, err error) {
	header, length = make(http.Header, len(fields)), -1
	for _, f := range fields {
		switch {
		case f.Name == ":status":
			if status != 0 || len(f.Value) != 3 {
				return 0, nil, 0, errPseudo
			}
			if status, err = strconv.Atoi(f.Value); err != nil || status < 100 {
				return 0, nil, 0, errPseudo
			}
		case strings.HasPrefix(f.Name, ":"):
			return 0, nil, 0, errPseudo
		case connectionFields[f.Name]:
			return 0, nil, 0, errConnection
		case f.Name == "content-length":
			n, err := strconv.ParseUint(f.Value, 10, 62)
			if err != nil || length >= 0 && int64(n) != length {
				return 0, nil, 0, errLength
			}
			length = int64(n)
		default:
			name := http.CanonicalHeaderKey(f.Name)
			header[name] = append(header[name], f.Value)
		}
	}
	if status == 0 {
		return 0, nil, 0, errPseudo
	}
	return status, header, length, nil
}

// AppendFields appends the fields of end-to-end headers. What could not stand in HTTP/2
// or would mean something else there is left out.
func AppendFields(fields []hpack.HeaderField, header http.Header) []hpack.HeaderField {
	for name, values := range header {
		lower := strings.ToLower(name)
		if connectionFields[lower] || lower == "host" || lower == "content-length" || lower == "te" || !token(lower) {
			continue
		}
		for _, v := range values {
			if strings.ContainsAny(v, "\r\n\x00") {
				continue
			}
			fields = append(fields, hpack.HeaderField{Name: lower, Value: v, Sensitive: lower == "authorization" || lower == "cookie"})
		}
	}
	return fields
}
