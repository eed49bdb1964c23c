// Package reference says what nginx does with a request, from its published documentation
// alone (nginx.org/en/docs), read off the parsed configuration anew for each request. It
// shares nothing with the importer but the parser. It is for tests: slow and plain.
//
// What it says is the group of servers that gets a request and the path that it gets, or the
// answer that nginx gives itself. Which server of a group is chosen it does not say.
package reference

import (
	"net/url"
	"regexp"
	"strconv"
	"strings"

	"frostshift/internal/nginx"
)

// Request is a request as a client sends it.
type Request struct {
	Address string // where it came in: as in listen, host:port
	Host    string
	Path    string // as it came
	Query   string
}

// Result is what becomes of it.
type Result struct {
	Upstream string // name as in proxy_pass; "": nginx answers itself
	URI      string // that the server gets
	Status   int    // of nginx's own answer
	Location string
	// Unknown says that this interpreter does not know what nginx would do.
	Unknown string
}

// Serve interprets a configuration.
func Serve(list []*nginx.Directive, r Request) Result {
	var servers []*nginx.Directive
	for _, d := range list {
		if d.Name == "http" {
			for _, x := range d.Block {
				if x.Name == "server" {
					servers = append(servers, x)
				}
			}
		}
	}
	s := chooseServer(servers, r)
	if s == nil {
		return Result{Unknown: "no server listens there"}
	}
	uri, ok := normalise(r.Path)
	if !ok {
		return Result{Status: 400}
	}
	v := &visit{server: s, request: r, uri: uri, args: r.Query, names: upstreams(list), vars: map[string]string{}}
	return v.run()
}

func upstreams(list []*nginx.Directive) map[string]bool {
	out := map[string]bool{}
	for _, d := range list {
		if d.Name == "http" {
			for _, x := range d.Block {
				if x.Name == "upstream" {
					out[x.Text(0)] = true
				}
			}
		}
	}
	return out
}

// normalise: ngx_http_core_module, "location": matching is against a normalised URI, after
// decoding the text encoded in the %XX form, resolving references to . and .., and possible
// compression of two or more adjacent slashes into a single slash.
func normalise(path string) (string, bool) {
	p, err := url.PathUnescape(path)
	if err != nil || !strings.HasPrefix(p, "/") || strings.ContainsRune(p, 0) {
		return "", false
	}
	for strings.Contains(p, "//") {
		p = strings.ReplaceAll(p, "//", "/")
	}
	var out []string
	parts := strings.Split(p[1:], "/")
	for i, s := range parts {
		switch s {
		case ".":
			if i == len(parts)-1 {
				out = append(out, "")
			}
		case "..":
			if len(out) == 0 {
				return "", false
			}
			out = out[:len(out)-1]
			if i == len(parts)-1 {
				out = append(out, "")
			}
		default:
			out = append(out, s)
		}
	}
	return "/" + strings.Join(out, "/"), true
}

type visit struct {
	server    *nginx.Directive
	request   Request
	uri, args string
	rewritten bool // the URI that came is no longer the one that is processed
	names     map[string]bool
	vars      map[string]string // by set
}

// run: ngx_http_rewrite_module: the directives of the server are executed in sequence, then
// repeatedly: a location is searched by the URI, its directives are executed in sequence, and
// the loop is repeated if the URI was rewritten, not more than 10 times.
func (v *visit) run() Result {
	if res, done, _ := v.rewrites(v.server.Block); done {
		return res
	}
	for range 11 {
		loc, redirect := v.find()
		if redirect {
			// "location": a request for the string without the slash of a proxied prefix is
			// answered with a permanent redirect to the URI with the slash appended.
			res := Result{Status: 301, Location: "http://" + v.request.Host + escape(v.uri) + "/"}
			if v.args != "" {
				res.Location += "?" + v.args
			}
			return res
		}
		if loc == nil {
			return Result{Status: 404}
		}
		res, done, outcome := v.rewrites(loc.Block)
		if done {
			return res
		}
		if outcome == again {
			continue
		}
		return v.proxy(loc, outcome == stopped)
	}
	return Result{Status: 500}
}

type place struct {
	modifier, value string
	d               *nginx.Directive
}

func placesOf(block []*nginx.Directive) (out []place) {
	for _, d := range block {
		if d.Name != "location" {
			continue
		}
		p := place{"", d.Text(0), d}
		if len(d.Args) == 2 {
			p.modifier, p.value = d.Text(0), d.Text(1)
		} else {
			for _, x := range []string{"=", "^~", "~*", "~"} {
				if strings.HasPrefix(p.value, x) && !d.Args[0].Quoted {
					p.modifier, p.value = x, p.value[len(x):]
					break
				}
			}
		}
		out = append(out, p)
	}
	return out
}

// find: "location": exact matches end the search; of the prefixes the longest is remembered;
// if it has ^~, expressions are not checked; expressions are checked in the order of their
// appearance, and the first that matches is used; if none does, the remembered prefix is.
// Locations can be nested.
func (v *visit) find() (*nginx.Directive, bool) {
	return v.findIn(v.server.Block)
}

func (v *visit) findIn(block []*nginx.Directive) (*nginx.Directive, bool) {
	places := placesOf(block)
	var best *place
	for i := range places {
		p := &places[i]
		if p.modifier == "=" && p.value == v.uri {
			return p.d, false
		}
		if (p.modifier == "" || p.modifier == "^~") && !strings.HasPrefix(p.value, "@") && strings.HasPrefix(v.uri, p.value) && (best == nil || len(p.value) > len(best.value)) {
			best = p
		}
	}
	for i := range places { // the slash that is missing
		p := &places[i]
		if (p.modifier == "" || p.modifier == "^~") && p.value == v.uri+"/" && proxied(p.d) && (best == nil || best.value != v.uri) {
			return nil, true
		}
	}
	if best != nil {
		if d, redirect := v.findIn(best.d.Block); d != nil || redirect {
			return d, redirect
		}
		if best.modifier == "^~" {
			return best.d, false
		}
	}
	for _, p := range places {
		if p.modifier != "~" && p.modifier != "~*" {
			continue
		}
		expr := p.value
		if p.modifier == "~*" {
			expr = "(?i)" + expr
		}
		if re, err := regexp.Compile(expr); err == nil && re.MatchString(v.uri) {
			if d, redirect := v.findIn(p.d.Block); d != nil || redirect {
				return d, redirect
			}
			return p.d, false
		}
	}
	if best != nil {
		return best.d, false
	}
	return nil, false
}

func proxied(d *nginx.Directive) bool {
	for _, x := range d.Block {
		if x.Name == "proxy_pass" {
			return true
		}
	}
	return false
}

// proxy: ngx_http_proxy_module, "proxy_pass": with a URI, the part of the normalised URI that
// matches the location is replaced by it; without one, the URI goes on as it was sent, or the
// full normalised one when the changed URI is processed; when rewrite with break changed it,
// the URI of the directive is ignored.
func (v *visit) proxy(loc *nginx.Directive, stopped bool) Result {
	for _, d := range loc.Block {
		if d.Name != "proxy_pass" {
			continue
		}
		rest, ok := strings.CutPrefix(v.fill(d.Text(0)), "http://")
		if !ok || strings.Contains(rest, "$") {
			return Result{Unknown: "proxy_pass"}
		}
		name, uri, has := strings.Cut(rest, "/")
		res := Result{Upstream: name}
		if has && strings.Contains(d.Text(0), "$") {
			// "When variables are used in proxy_pass ... if URI is specified in the directive, it
			// is passed to the server as is, replacing the original request URI."
			res.URI = "/" + uri
			return res
		}
		switch {
		case stopped, !has && v.rewritten:
			res.URI = escape(v.uri)
		case !has:
			res.URI = v.request.Path
		default:
			p := placesOf([]*nginx.Directive{loc})[0]
			if p.modifier == "~" || p.modifier == "~*" {
				return Result{Unknown: "a URI under an expression"}
			}
			res.URI = "/" + uri + escape(v.uri[len(p.value):])
		}
		if v.args != "" {
			res.URI += "?" + v.args
		}
		return res
	}
	for _, d := range loc.Block {
		// ngx_http_core_module, "try_files": if none of the files were found, an internal
		// redirect to the uri specified in the last parameter is made, a named location too.
		if d.Name != "try_files" {
			continue
		}
		last := d.Text(len(d.Args) - 1)
		for _, x := range v.server.Block {
			if x.Name == "location" && x.Text(0) == last && strings.HasPrefix(last, "@") {
				res, done, out := v.rewrites(x.Block)
				if done {
					return res
				}
				if out != nothing {
					return Result{Unknown: "a rewrite in a named location"}
				}
				return v.proxy(x, stopped)
			}
		}
		return Result{Unknown: "try_files"}
	}
	return Result{Status: 404} // files, of which there are none
}

// fill puts the values of variables into a text; what is not known stays.
func (v *visit) fill(text string) string {
	return regexp.MustCompile(`\$\{?(\w+)\}?`).ReplaceAllStringFunc(text, func(x string) string {
		name := strings.Trim(x, "${}")
		if name == "request_uri" {
			if v.request.Query != "" {
				return v.request.Path + "?" + v.request.Query
			}
			return v.request.Path
		}
		if value, ok := v.vars[name]; ok {
			return value
		}
		return x
	})
}

// escape writes a decoded URI as it goes out.
func escape(uri string) string {
	var b strings.Builder
	for i := 0; i < len(uri); i++ {
		switch c := uri[i]; {
		case c <= ' ' || c >= 0x7f || c == '%' || c == '?' || c == '#':
			b.WriteString("%" + strings.ToUpper(strconv.FormatUint(uint64(c)|0x100, 16)[1:]))
		default:
			b.WriteByte(c)
		}
	}
	return b.String()
}
