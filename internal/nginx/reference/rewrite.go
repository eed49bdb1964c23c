package reference

import (
	"regexp"
	"strconv"
	"strings"

	"frostshift/internal/nginx"
)

type outcome uint8

const (
	nothing outcome = iota
	again
	stopped // by break, with the URI changed
)

// rewrites executes rewrite and return in sequence.
func (v *visit) rewrites(block []*nginx.Directive) (res Result, done bool, out outcome) {
	changed := false
	for _, d := range block {
		switch d.Name {
		case "return":
			return v.returns(d), true, nothing
		case "if":
			return Result{Unknown: d.Name}, true, nothing
		case "set": // "sets a value for the specified variable", in sequence with the others
			v.vars[strings.TrimPrefix(d.Text(0), "$")] = v.fill(d.Text(1))
		case "rewrite":
			re, err := regexp.Compile(d.Text(0))
			if err != nil {
				return Result{Unknown: "expression"}, true, nothing
			}
			m := re.FindStringSubmatch(v.uri)
			if m == nil {
				continue
			}
			if res, done := v.rewrite(d, m); done {
				return res, true, nothing
			}
			changed = true
			switch d.Text(2) {
			case "last":
				return Result{}, false, again
			case "break":
				return Result{}, false, stopped
			}
		}
	}
	if changed {
		return Result{}, false, again
	}
	return Result{}, false, nothing
}

// rewrite puts the replacement of a rewrite that matched in place of the URI, or redirects there.
func (v *visit) rewrite(d *nginx.Directive, m []string) (res Result, done bool) {
	// Captures stand decoded in a URI, and escaped where a client or arguments get them.
	flag := d.Text(2)
	leaves := flag == "redirect" || flag == "permanent" || strings.HasPrefix(d.Text(1), "http")
	before, behind, _ := strings.Cut(d.Text(1), "?")
	to := captures(before, m, leaves)
	if strings.Contains(d.Text(1), "?") {
		to += "?" + captures(behind, m, true)
	}
	// "If a replacement string includes the new request arguments, the previous
	// request arguments are appended after them. If this is undesired, putting a
	// question mark at the end of a replacement string avoids having them appended".
	path, args, has := strings.Cut(to, "?")
	switch {
	case has && strings.HasSuffix(to, "?"):
		args = strings.TrimSuffix(args, "?")
	case args != "" && v.args != "":
		args += "&" + v.args
	case args == "":
		args = v.args
	}
	// "If the replacement string starts with http://, https:// or $scheme, the
	// processing stops and the redirect is returned to a client."
	if flag == "redirect" || flag == "permanent" || strings.HasPrefix(path, "http://") || strings.HasPrefix(path, "https://") {
		status := 302
		if flag == "permanent" {
			status = 301
		}
		if args != "" {
			path += "?" + args
		}
		return Result{Status: status, Location: path}, true
	}
	v.uri, v.args, v.rewritten = path, args, true
	return Result{}, false
}

var captureName = regexp.MustCompile(`\$\{?(\d)\}?`)

// captures puts what an expression captured into a text.
func captures(text string, m []string, quote bool) string {
	return captureName.ReplaceAllStringFunc(text, func(x string) string {
		n, _ := strconv.Atoi(strings.Trim(x, "${}"))
		switch {
		case n >= len(m):
			return ""
		case quote:
			return escape(m[n])
		}
		return m[n]
	})
}

// returns: "return": a status, a status with text or URL, or a URL with 302.
func (v *visit) returns(d *nginx.Directive) Result {
	status, err := strconv.Atoi(d.Text(0))
	target := d.Text(1)
	if err != nil {
		status, target = 302, d.Text(0)
	}
	res := Result{Status: status}
	if status == 301 || status == 302 || status == 303 || status == 307 || status == 308 {
		host := strings.ToLower(v.request.Host)
		if i := strings.LastIndexByte(host, ':'); i >= 0 {
			host = host[:i]
		}
		question, raw := "", v.request.Path
		if v.request.Query != "" {
			question = "?"
			raw += "?" + v.request.Query
		}
		res.Location = strings.NewReplacer("$request_uri", raw, "$is_args", question, "$args", v.args, "$http_host", v.request.Host, "$host", host,
			"$scheme", "http", "$uri", v.uri).Replace(target)
		if strings.HasPrefix(res.Location, "/") {
			res.Location = "http://" + v.request.Host + res.Location
		}
	}
	return res
}
