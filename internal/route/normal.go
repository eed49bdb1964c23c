package route

import (
	"errors"
	"fmt"
	"strings"
)

// Errors of a request that no route may get.
var (
	ErrHost = errors.New("the host is not a name")
	ErrPath = errors.New("the path is malformed")
	// ErrReadings says that hosts could read the path in ways that belong to other routes.
	ErrReadings = errors.New("the path can be read as that of another route")
	// ErrRewrite says that the route's rewrite makes no path of this one.
	ErrRewrite = errors.New("the path can't be rewritten")
)

// NormalHost is a host without port and trailing dot, in lower case.
func NormalHost(host string) (string, error) {
	if strings.HasPrefix(host, "[") { // an IPv6 literal
		end := strings.IndexByte(host, ']')
		if end < 0 {
			return "", ErrHost
		}
		host = host[:end+1]
	} else if i := strings.LastIndexByte(host, ':'); i >= 0 {
		host = host[:i]
	}
	host = strings.TrimSuffix(host, ".")
	upper := false
	for i := 0; i < len(host); i++ {
		switch c := host[i]; {
		case 'A' <= c && c <= 'Z':
			upper = true
		case 'a' <= c && c <= 'z', '0' <= c && c <= '9', c == '-', c == '.', c == '_':
		case (c == ':' || c == '[' || c == ']') && host[0] == '[':
		default:
			return "", ErrHost
		}
	}
	if upper {
		host = strings.ToLower(host)
	}
	return host, nil
}

// odd says what a path has that hosts read in different ways.
type odd uint8

const (
	oddDots  odd = 1 << iota // . or .. segments
	oddEmpty                 // empty segments
	oddSlash                 // a backslash, or an encoded slash or backslash
)

const hexDigits = "0123456789ABCDEF"

func unhex(c byte) (byte, bool) {
	switch {
	case '0' <= c && c <= '9':
		return c - '0', true
	case 'a' <= c && c <= 'f':
		return c - 'a' + 10, true
	case 'A' <= c && c <= 'F':
		return c - 'A' + 10, true
	}
	return 0, false
}

// unreserved characters mean the same encoded and not (RFC 3986 section 2.3).
func unreserved(c byte) bool {
	return 'a' <= c && c <= 'z' || 'A' <= c && c <= 'Z' || '0' <= c && c <= '9' ||
		c == '-' || c == '.' || c == '_' || c == '~'
}

// plain characters stand for themselves in a path (RFC 3986 section 3.3).
func plain(c byte) bool {
	return unreserved(c) || c == '/' || c == ':' || c == '@' || c == '!' || c == '$' || c == '&' ||
		c == '\'' || c == '(' || c == ')' || c == '*' || c == '+' || c == ',' || c == ';' || c == '='
}

// NormalPath brings a path to the form that routes are matched with: percent-encodings
// in capitals and only where needed (RFC 3986 section 6.2.2.1 and 2), dot segments
// resolved (section 6.2.2.3). Empty segments stay and an encoded slash stays one, as to
// the standard they are data. A path with a NUL, a control character or a broken
// encoding is refused. It allocates only where the path is not normal yet.
func NormalPath(path string) (string, error) {
	p, o, err := encodings(path)
	if err == nil && o&oddDots != 0 {
		p = resolve(p)
	}
	return p, err
}

// encodings normalises the percent-encodings of a path and says what is odd in it.
func encodings(path string) (string, odd, error) {
	if path == "" || path[0] != '/' {
		return "", 0, ErrPath
	}
	clean := true
	for i := 0; i < len(path); i++ {
		if !plain(path[i]) {
			clean = false
			break
		}
	}
	if !clean {
		out := make([]byte, 0, len(path)+8)
		for i := 0; i < len(path); i++ {
			c := path[i]
			switch {
			case c < 0x20 || c == 0x7f || c == '?' || c == '#' || c == ' ':
				return "", 0, ErrPath
			case c == '%':
				if i+2 >= len(path) {
					return "", 0, ErrPath
				}
				hi, ok1 := unhex(path[i+1])
				lo, ok2 := unhex(path[i+2])
				v := hi<<4 | lo
				if !ok1 || !ok2 || v == 0 {
					return "", 0, ErrPath
				}
				if i += 2; unreserved(v) {
					out = append(out, v)
				} else {
					out = append(out, '%', hexDigits[hi], hexDigits[lo])
				}
			case plain(c):
				out = append(out, c)
			default: // not allowed as it is, but sent all the same
				out = append(out, '%', hexDigits[c>>4], hexDigits[c&15])
			}
		}
		path = string(out)
	}
	var o odd
	for i := 0; i < len(path); {
		end := strings.IndexByte(path[i+1:], '/')
		last := end < 0
		if last {
			end = len(path)
		} else {
			end += i + 1
		}
		switch seg := path[i+1 : end]; {
		case seg == "." || seg == "..":
			o |= oddDots
		case seg == "" && !last:
			o |= oddEmpty
		case !clean && (strings.Contains(seg, "%2F") || strings.Contains(seg, "%5C")):
			o |= oddSlash
		}
		i = end
	}
	return path, o, nil
}

// resolve removes dot segments (RFC 3986 section 5.2.4).
func resolve(path string) string {
	var out []string
	segs := strings.Split(path[1:], "/")
	for i, s := range segs {
		last := i == len(segs)-1
		switch s {
		case "..":
			if len(out) > 0 {
				out = out[:len(out)-1]
			}
			fallthrough
		case ".":
			if last {
				out = append(out, "")
			}
		default:
			out = append(out, s)
		}
	}
	return "/" + strings.Join(out, "/")
}

// merge makes one slash of several.
func merge(path string) string {
	var out strings.Builder
	for i := 0; i < len(path); i++ {
		if path[i] != '/' || i == 0 || path[i-1] != '/' {
			out.WriteByte(path[i])
		}
	}
	return out.String()
}

var decodeSlashes = strings.NewReplacer("%2F", "/", "%5C", "/")

// readings are the ways in which hosts are known to read an odd path: with encoded
// slashes decoded or not, with empty segments dropped before dots are resolved, after
// that or not at all, and with dots resolved or not. The first is the standard's.
func readings(path string) []string {
	var out []string
	for _, slashes := range [...]bool{false, true} {
		p := path
		if slashes {
			p = decodeSlashes.Replace(p)
		}
		out = append(out, resolve(p), p, resolve(merge(p)), merge(p), merge(resolve(p)))
	}
	return out
}

// normalPattern checks a path that stands in a route and brings it to the normal form.
func normalPattern(path string) (string, error) {
	p, o, err := encodings(path)
	switch {
	case err != nil:
		return "", fmt.Errorf("%q: %w", path, err)
	case o&oddDots != 0:
		return "", fmt.Errorf("%q has dot segments", path)
	case o&oddEmpty != 0:
		return "", fmt.Errorf("%q has empty segments", path)
	case o&oddSlash != 0:
		return "", fmt.Errorf("%q has an encoded slash", path)
	}
	return p, nil
}
