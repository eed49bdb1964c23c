package main

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strings"

	"frostshift"
	"frostshift/internal/config"
	"frostshift/internal/message"
	"frostshift/internal/route"
	"frostshift/internal/verdict"
	"github.com/spf13/cobra"
)

// checkCommand says what is wrong with a configuration file.
func checkCommand() *cobra.Command {
	return &cobra.Command{Use: "check FILE", Short: "say all that is wrong with a configuration file, by line and key", Args: exactly(1),
		RunE: func(c *cobra.Command, args []string) error { return check(args[0], c.OutOrStdout(), c.ErrOrStderr()) }}
}

func check(path string, out, errs io.Writer) error {
	m, warnings, err := config.Load(path)
	for _, w := range warnings {
		fmt.Fprintf(errs, "warning: %v\n", w)
	}
	if err != nil {
		fmt.Fprintln(errs, err)
		var all config.Errors
		if errors.As(err, &all) {
			fmt.Fprintf(errs, "%d wrong\n", len(all))
		}
		return said{}
	}
	if err := apart(path, m); err != nil {
		return err
	}
	classes := len(m.Classes)
	for _, c := range m.Classes {
		if c.ByMethod > 0 { // it stands there twice
			classes--
		}
	}
	fmt.Fprintf(out, "%s is good: %d listeners, %d classes, %d pools, %d routes\n", path, len(m.Listeners), classes, len(m.Pools), len(m.Table.Routes()))
	return nil
}

// headerOf is 'Name: value' flags as a header.
func headerOf(flag string, lines []string) (http.Header, error) {
	h := http.Header{}
	for _, text := range lines {
		name, value, ok := strings.Cut(text, ":")
		if name = strings.TrimSpace(name); !ok || name == "" {
			return nil, usage{fmt.Errorf("%s %q: want 'Name: value'", flag, text)}
		}
		h.Add(name, strings.TrimSpace(value))
	}
	return h, nil
}

const mostLosses = 20 // better routes that are told of

// routeCommand says which route gets a request.
func routeCommand() *cobra.Command {
	c := &cobra.Command{Use: "route URL", Short: "say which route gets a request, why the better ones do not, and what an answer would mean", Args: exactly(1)}
	f := c.Flags()
	path := f.String("config", "", "configuration `file`")
	method := f.StringP("method", "X", http.MethodGet, "`method`")
	headers := f.StringArrayP("header", "H", nil, "a header, `'Name: value'`; may be given several times")
	answerStatus := f.Int("status", 0, "say what an answer of a host with this status, and the headers of -A, would mean")
	answer := f.StringArrayP("answer-header", "A", nil, "a header of that answer, `'Name: value'`; may be given several times")
	c.RunE = func(c *cobra.Command, args []string) error {
		h, err := headerOf("-H", *headers)
		if err != nil {
			return err
		}
		a, err := headerOf("-A", *answer)
		if err != nil {
			return err
		}
		if *path == "" {
			return usage{errors.New("route needs --config")}
		}
		m, ok := read(*path, c.ErrOrStderr())
		if !ok {
			return said{}
		}
		q, err := requestOf(*method, args[0], h)
		if err != nil {
			return err
		}
		return tellRoute(c.OutOrStdout(), m, *path, *method, q, *answerStatus, a)
	}
	return c
}

// tellRoute tells of one request.
func tellRoute(out io.Writer, m *config.Model, path, method string, q *route.Request, status int, answer http.Header) error {
	match, losses, err := m.Table.Explain(q)
	if err != nil {
		fmt.Fprintf(out, "answered 400: %v\n", err)
		return noMatch{}
	}
	for i, l := range losses {
		if i == mostLosses {
			fmt.Fprintf(out, "... and %d more\n", len(losses)-i)
			break
		}
		fmt.Fprintf(out, "not %v: %s\n", l.Route, l.Why)
	}
	r := match.Route
	if r == nil {
		if allowed := m.Table.Allowed(q); len(allowed) > 0 {
			fmt.Fprintf(out, "no route takes %s here: answered 405, Allow: %s\n", method, strings.Join(allowed, ", "))
		} else {
			fmt.Fprintln(out, "no route matches: answered 404")
		}
		return noMatch{}
	}
	fmt.Fprintf(out, "route %v\n", r)
	if r.Line > 0 {
		fmt.Fprintf(out, "  at       %s:%d\n", path, r.Line)
	}
	policy := m.Policies[r.Index]
	if policy != nil && policy.Own != nil {
		fmt.Fprintf(out, "  answered %d by the gateway itself\n", policy.Own.Status)
		return nil
	}
	c := m.Classes[m.ClassIndex(r.Class)]
	if c.ByMethod > 0 && !config.Idempotent(method) {
		c = m.Classes[c.ByMethod]
	}
	fmt.Fprintf(out, "  service  %s\n  class    %s (%s, deadline %v)\n", r.Service, c.Name, effectNames[c.Effect], c.Deadline)
	fmt.Fprintf(out, "  pool     %s%s\n", r.Pools[match.Pool].Pool, splitOf(r))
	if r.Fallback != "" && c.Effect != frostshift.Keyed {
		fmt.Fprintf(out, "  fallback %s\n", r.Fallback)
	}
	goesOn := q.Path
	if match.Path != "" {
		goesOn = match.Path + " (rewritten)"
	}
	fmt.Fprintf(out, "  path     %s\n", goesOn)
	if status != 0 {
		set := m.PoolNamed(r.Pools[match.Pool].Pool).Answers
		if policy != nil && policy.Answers != nil {
			set = policy.Answers
		}
		tellMeaning(out, set, status, answer, c.Effect)
	}
	return nil
}

// tellMeaning says what becomes of an answer.
func tellMeaning(out io.Writer, set *verdict.Set, status int, h http.Header, effect frostshift.Effect) {
	m := set.Judge(status, h)
	fmt.Fprintf(out, "  a host's %d, by the answers %q:\n", status, set.Name())
	again := m.Disposition != verdict.Final && (m.Ran == verdict.Never || effect != frostshift.Unsafe)
	given := m.Disposition == verdict.Final || m.Disposition == verdict.Spare && set.FromHost()
	unless, proven := refusalCondition(m, status, effect)
	switch {
	case given && !proven:
		fmt.Fprintln(out, "    client   gets 502: the answer refuses, without a proof that the request has not run")
	case m.Disposition == verdict.Final:
		fmt.Fprintf(out, "    client   gets it at once%s\n", unless)
	case again && m.Disposition == verdict.Spare && set.FromHost():
		fmt.Fprintf(out, "    client   gets it if no further attempt brings a better one%s\n", unless)
	case m.Disposition == verdict.Spare && set.FromHost():
		fmt.Fprintln(out, "    client   gets it: no further attempt may be made")
	default:
		fmt.Fprintln(out, "    client   never gets it: the gateway answers if no further attempt brings one")
	}
	fmt.Fprintf(out, "    request  %s\n", [...]string{"has run", "may have run", "has not run"}[m.Ran])
	fmt.Fprintf(out, "    host     %s\n", [...]string{"is well", "is at fault, if it fails more often than the others do", "has too much to do", "shows nothing"}[m.Health])
}

// refusalCondition says when an answer that refuses does not go to the client, for the line that says when it does. proven is
// false for one that never goes: nothing shows that its own attempt has not run.
func refusalCondition(m verdict.Meaning, status int, effect frostshift.Effect) (unless string, proven bool) {
	switch {
	case effect == frostshift.Safe || m.Ran != verdict.Never && !(&message.Answer{Status: status}).Refuses():
		return "", true
	case m.Ran == verdict.Never:
		return ", unless another attempt may have run", true
	case effect == frostshift.Keyed:
		return ", while its group's hosts drop repeats", true
	}
	return "", false
}

var effectNames = [...]string{"safe", "keyed", "unsafe"}

// splitOf tells how a route splits its requests, if it does.
func splitOf(r *route.Route) string {
	if len(r.Pools) == 1 {
		return ""
	}
	var parts []string
	for _, w := range r.Pools {
		parts = append(parts, fmt.Sprintf("%s %d", w.Pool, w.Weight))
	}
	by := "by request: this is one draw"
	if r.Stable.Header != "" {
		by = "stable by header " + r.Stable.Header
	} else if r.Stable.Query != "" {
		by = "stable by query " + r.Stable.Query
	}
	return fmt.Sprintf(" (of %s; %s)", strings.Join(parts, ", "), by)
}

// requestOf is a request as a front would read it. The bytes of the path stay as they are.
func requestOf(method, target string, header http.Header) (*route.Request, error) {
	rest := target
	host := ""
	if i := strings.Index(target, "://"); i >= 0 {
		rest = target[i+3:]
		end := strings.IndexAny(rest, "/?")
		if end < 0 {
			end = len(rest)
		}
		host, rest = rest[:end], rest[end:]
		if _, err := url.Parse("http://" + host); err != nil {
			return nil, err
		}
	}
	if h := header.Get("Host"); h != "" {
		host = h
	}
	if !strings.HasPrefix(rest, "/") {
		rest = "/" + rest
	}
	path, query, _ := strings.Cut(rest, "?")
	return &route.Request{Method: method, Host: host, Path: path, Query: query, Header: header}, nil
}

// read loads a configuration for a command that shows something of it, and says what is
// wrong with it; false: it can't be shown.
func read(path string, errs io.Writer) (*config.Model, bool) {
	m, warnings, err := config.Load(path)
	for _, w := range warnings {
		fmt.Fprintf(errs, "warning: %v\n", w)
	}
	if err != nil {
		fmt.Fprintln(errs, err)
	}
	return m, err == nil
}
