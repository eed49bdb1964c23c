package route

import (
	"errors"
	"regexp"
	"strings"
)

// Step rewrites the path where its expression matches anywhere in it. Steps of a route run
// in order before the request goes to a pool.
type Step struct {
	Expr *regexp.Regexp
	// To is the new path with $1 to $9 or ${name} for captures, and a query behind a question
	// mark; the old query is appended unless it ends in one. As a redirect it may be a URL.
	To   string
	Then Then
	// First says that the step runs before a route is looked for, and not again behind one
	// that led here: where it changes the path, the route is looked for with the new one.
	First bool
}

// Then says what follows a step that matched.
type Then uint8

// What follows.
const (
	Next     Then = iota // the next step; behind the last one the route is looked for again
	Again                // the route is looked for again, with the new path
	Break                // no further step, and no answer of the route's own: the request stays with its pools
	Redirect             // the client is told to go there
	Moved                // ... for good
)

// mostRounds is how often the route of a request is looked for.
const mostRounds = 10

// ErrRounds says that the steps of routes lead from one to the other without end.
var ErrRounds = errors.New("rewrites go round without end")

// run runs the steps of a route. changed says that the path or query is another one.
func (e *entry) run(path, query string, again bool) (newPath, newQuery, redirect string, then Then, changed bool, err error) {
	then = Next
	for i := range e.Steps {
		s := &e.Steps[i]
		switch {
		case s.First && again:
			continue
		case !s.First && changed && i > 0 && e.Steps[i-1].First:
			return path, query, "", Again, true, nil
		}
		m := s.Expr.FindStringSubmatchIndex(path)
		if m == nil {
			continue
		}
		to := string(s.Expr.ExpandString(nil, s.To, path, m))
		if strings.ContainsAny(to, "\r\n\x00") {
			return "", "", "", 0, false, ErrRewrite
		}
		target, args, hasArgs := strings.Cut(to, "?")
		switch {
		case hasArgs && strings.HasSuffix(to, "?"):
			args = strings.TrimSuffix(args, "?")
		case query != "" && args != "":
			args += "&" + query
		case query != "":
			args = query
		}
		if s.Then == Redirect || s.Then == Moved {
			if args != "" {
				target += "?" + args
			}
			return path, query, target, s.Then, true, nil
		}
		normal, _, err := encodings(target)
		if err != nil {
			return "", "", "", 0, false, ErrRewrite
		}
		path, query, changed = resolve(normal), args, true
		switch {
		case s.First && s.Then != Next:
			return path, query, "", Again, true, nil
		case s.Then != Next:
			return path, query, "", s.Then, true, nil
		}
	}
	return path, query, "", then, changed, nil
}
