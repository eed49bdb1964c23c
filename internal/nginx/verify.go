package nginx

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"regexp"
	"slices"
	"strings"

	"frostshift/internal/config"
	"frostshift/internal/route"
)

// DefaultFormat is nginx's own combined format with the host and the server that answered,
// which a log must tell to be compared.
const DefaultFormat = `$remote_addr - $remote_user [$time_local] "$request" $status $body_bytes_sent "$http_referer" "$http_user_agent" "$host" "$upstream_addr"`

// Format reads lines of an access log.
type Format struct {
	expr  *regexp.Regexp
	names []string
}

var formatVariable = regexp.MustCompile(`\$\{?([a-z0-9_]+)\}?`)

// CompileFormat reads a log_format. It must tell $upstream_addr, and $request or both
// $request_method and $request_uri.
func CompileFormat(text string) (*Format, error) {
	f := &Format{}
	var b strings.Builder
	b.WriteString("^")
	at := 0
	for _, m := range formatVariable.FindAllStringSubmatchIndex(text, -1) {
		b.WriteString(regexp.QuoteMeta(text[at:m[0]]))
		f.names = append(f.names, text[m[2]:m[3]])
		b.WriteString("(.*?)")
		at = m[1]
	}
	b.WriteString(regexp.QuoteMeta(text[at:]) + "$")
	var err error
	if f.expr, err = regexp.Compile(b.String()); err != nil {
		return nil, err
	}
	has := func(n string) bool { return slices.Contains(f.names, n) }
	switch {
	case !has("upstream_addr"):
		return nil, errors.New("the format tells no $upstream_addr")
	case !has("request") && !(has("request_method") && has("request_uri")):
		return nil, errors.New("the format tells neither $request nor $request_method and $request_uri")
	}
	return f, nil
}

// logLine is what a line tells.
type logLine struct {
	method, uri, host string
	upstreams         []string // addresses, one an attempt; none: nginx answered itself
}

func (f *Format) parse(line string) (l logLine, ok bool) {
	m := f.expr.FindStringSubmatch(line)
	if m == nil {
		return l, false
	}
	for i, name := range f.names {
		v := unescape(m[i+1])
		switch name {
		case "request":
			parts := strings.Split(v, " ")
			if len(parts) < 2 {
				return l, false
			}
			l.method, l.uri = parts[0], parts[1]
		case "request_method":
			l.method = v
		case "request_uri":
			l.uri = v
		case "host", "http_host":
			if l.host == "" || name == "http_host" {
				l.host = v
			}
		case "upstream_addr":
			// "addresses of several servers are separated by commas; if an internal redirect
			// from one group to another happens, the addresses are separated by colons".
			for _, a := range strings.FieldsFunc(strings.ReplaceAll(v, " : ", ","), func(c rune) bool { return c == ',' || c == ' ' }) {
				if a != "-" && a != "" {
					l.upstreams = append(l.upstreams, a)
				}
			}
		}
	}
	return l, l.uri != ""
}

var escaped = regexp.MustCompile(`\\x[0-9A-Fa-f]{2}`)

// unescape reads what log_format's default escaping has written.
func unescape(s string) string {
	return escaped.ReplaceAllStringFunc(s, func(x string) string {
		var c byte
		fmt.Sscanf(x[2:], "%02X", &c)
		return string([]byte{c})
	})
}

// Verified counts the requests of a log.
type Verified struct {
	Lines, Same, Different, Unread int
	Own                            int // that nginx answered itself, and so would the gateway
}

const mostLine = 1 << 20

// Verify reads an access log and says of each request whether the configuration sends it to
// a pool that holds the servers which nginx asked. Differences are written to out, most at
// most. listener is where the requests came in; "": at the first.
func Verify(log io.Reader, f *Format, m *config.Model, listener string, out io.Writer, most int) (v Verified, err error) {
	if listener == "" {
		listener = m.Listeners[0].Name
	}
	pools := map[string][]string{}
	for _, p := range m.Pools {
		for _, s := range p.Sources {
			for _, e := range s.Static {
				pools[p.Name] = append(pools[p.Name], e.Address)
			}
		}
	}
	in := bufio.NewScanner(log)
	in.Buffer(make([]byte, 64<<10), mostLine)
	for in.Scan() {
		v.Lines++
		l, ok := f.parse(in.Text())
		if !ok {
			v.Unread++
			fmt.Fprintf(out, "line %d: not in the format\n", v.Lines)
			continue
		}
		path, query, _ := strings.Cut(l.uri, "?")
		match, err := m.Table.Match(&route.Request{Method: l.method, Host: l.host, Path: path, Query: query, Listener: listener})
		what := "the gateway answers itself"
		pool := ""
		switch {
		case err != nil:
			what = fmt.Sprintf("the gateway answers 400: %v", err)
		case match.Route == nil:
			what = "no route: the gateway answers 404"
		case match.Location != "" || len(match.Route.Pools) == 0:
		default:
			pool = match.Route.Pools[match.Pool].Pool
			what = "the gateway sends it to " + pool
		}
		switch {
		case len(l.upstreams) == 0 && pool == "":
			v.Same++
			v.Own++
		case pool != "" && len(l.upstreams) > 0 && !slices.ContainsFunc(l.upstreams, func(a string) bool { return !slices.Contains(pools[pool], a) && a != pool }):
			v.Same++
		default:
			v.Different++
			if v.Different <= most {
				asked := "answered itself"
				if len(l.upstreams) > 0 {
					asked = "asked " + strings.Join(l.upstreams, ", ")
				}
				fmt.Fprintf(out, "line %d: %s %s%s: nginx %s, %s\n", v.Lines, l.method, l.host, l.uri, asked, what)
			}
		}
	}
	return v, in.Err()
}
