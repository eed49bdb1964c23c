package route

import (
	"maps"
	"net/http"
	"slices"
	"strings"
)

// Loss says why a route that stands before the winner did not get a request.
type Loss struct {
	Route *Route
	Why   string
}

// Explain finds the route of a request as Match does, and tells of each route of a
// matching host that stands before it (or of all, where none matches) what kept it from
// winning. It is for people, and slow.
func (t *Table) Explain(r *Request) (Match, []Loss, error) {
	m, err := t.Match(r)
	if err != nil {
		return m, nil, err
	}
	host, err := NormalHost(r.Host)
	if err != nil {
		return m, nil, err
	}
	path, err := NormalPath(r.Path)
	if err != nil {
		return m, nil, err
	}
	var losses []Loss
	for _, e := range t.sorted {
		if e.Route == m.Route {
			break
		}
		if !e.takesHost(host) {
			continue
		}
		switch lacks := e.matches(r); {
		case !e.takesPath(path):
			losses = append(losses, Loss{e.Route, "the path differs"})
		case lacks == "the method":
			losses = append(losses, Loss{e.Route, "the method differs"})
		default:
			losses = append(losses, Loss{e.Route, lacks + " is missing or differs"})
		}
	}
	return m, losses, nil
}

func (e *entry) takesHost(host string) bool {
	switch {
	case e.host == "":
		return true
	case e.hostRe != nil:
		return e.hostRe.MatchString(host)
	case strings.HasSuffix(e.host, ".*"):
		return strings.HasPrefix(host, strings.TrimSuffix(e.host, "*")) && len(host) >= len(e.host)
	case e.host[0] == '.':
		return len(host) > len(e.host) && host[len(host)-len(e.host):] == e.host
	}
	return host == e.host
}

func (e *entry) takesPath(path string) bool {
	switch e.Path.Kind {
	case Exact:
		return path == e.path
	case Regexp:
		return e.expr.MatchString(path)
	case Starts:
		return strings.HasPrefix(path, e.path)
	}
	return under(path, e.path)
}

// Allowed are the methods, in order, of the routes that would match a request but for its
// method (RFC 9110 section 15.5.6); none: no method would help.
func (t *Table) Allowed(r *Request) []string {
	host, err := NormalHost(r.Host)
	if err != nil {
		return nil
	}
	path, odd, err := encodings(r.Path)
	if err != nil || odd != 0 {
		return nil
	}
	found := map[string]bool{}
	t.walk(host, path, func(e *entry) bool {
		if e.takesPath(path) && e.matches(r) == "the method" {
			for _, m := range e.Methods {
				found[m] = true
				if m == http.MethodGet {
					found[http.MethodHead] = true
				}
			}
		}
		return true
	})
	return slices.Sorted(maps.Keys(found))
}
