package nginx

import (
	"slices"
	"strings"
)

// variablesSet is what the set directives of a server say, as far as it is known beforehand:
// texts without variables, set wherever the server is processed ("set" in the reference of
// ngx_http_rewrite_module).
type variablesSet struct {
	sets  map[string][]setting
	moves bool // a rewrite may lead from one location into another
}

type setting struct {
	value    string
	within   *Directive // location; nil: the server
	constant bool
}

// variablesIn collects the set directives of a server.
func variablesIn(server *Directive) *variablesSet {
	v := &variablesSet{sets: map[string][]setting{}}
	var walk func(list []*Directive, within *Directive, sure bool)
	walk = func(list []*Directive, within *Directive, sure bool) {
		for _, d := range list {
			switch d.Name {
			case "set":
				name := strings.Trim(d.Text(0), "${}")
				v.sets[name] = append(v.sets[name], setting{d.Text(1), within, sure && len(d.Args) == 2 && !strings.Contains(d.Text(1), "$")})
			case "rewrite":
				if flag := d.Text(2); flag != "redirect" && flag != "permanent" && !strings.HasPrefix(d.Text(1), "http") {
					v.moves = true
				}
			case "location":
				walk(d.Block, d, sure)
			case "if":
				walk(d.Block, within, false)
			}
		}
	}
	walk(server.Block, nil, true)
	return v
}

// value is what a variable holds in a location: what it sets last itself, or else what the
// server does. It is not known where that depends on the request, or on the way there.
func (v *variablesSet) value(name string, within *Directive) (string, bool) {
	list := v.sets[name]
	own, above := -1, -1
	for i, s := range list {
		switch {
		case !s.constant:
			return "", false
		case s.within == within:
			own = i
		case s.within == nil:
			above = i
		case v.moves: // another location may have set it on the way
			return "", false
		}
	}
	if own < 0 {
		own = above
	}
	if own < 0 {
		return "", false
	}
	return list[own].value, true
}

// target is the URL of a proxy_pass with its variables filled in; why says what can't be.
func (v *variablesSet) target(url string, l *location) (out, why string) {
	if !strings.Contains(url, "$") {
		return url, ""
	}
	for _, end := range []string{"$request_uri", "${request_uri}"} {
		if rest, ok := strings.CutSuffix(url, end); ok {
			if v.moves {
				return "", "$request_uri is the path before rewrites: write the route by hand"
			}
			url = rest // without a URI the path goes on as it came, which is the same
			break
		}
	}
	names := variablesOf(url)
	slices.SortFunc(names, func(x, y string) int { return len(y) - len(x) })
	for _, name := range names {
		text, ok := v.value(name, l.d)
		if !ok {
			return "", "$" + name + " is not known beforehand: write a route for each value"
		}
		url = strings.NewReplacer("${"+name+"}", text, "$"+name, text).Replace(url)
	}
	if rest := strings.TrimPrefix(url, "http://"); strings.Contains(rest, "/") {
		// With variables a URI goes on as it stands, in place of the whole path and query.
		return "", "a URI with variables takes the place of the whole path: write the route by hand"
	}
	return url, ""
}

// set notes a set directive.
func (m *importer) set(s *server, d *Directive) {
	for _, x := range s.vars.sets[strings.Trim(d.Text(0), "${}")] {
		if !x.constant {
			m.other(d)
			return
		}
	}
	m.report.say(d, Taken, "")
}
