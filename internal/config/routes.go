package config

import (
	"fmt"
	"regexp"
	"slices"

	"frostshift"
	"frostshift/internal/route"
	"frostshift/internal/verdict"
)

type fileRoute struct {
	Name       string          `toml:"name"`
	Priority   int             `toml:"priority"`
	Host       string          `toml:"host"`
	Prefix     *string         `toml:"prefix"`
	Path       *string         `toml:"path"`
	Expression *string         `toml:"expression"`
	Starts     *string         `toml:"starts"`
	Listeners  []string        `toml:"listeners"`
	Authority  string          `toml:"authority"`
	Firm       bool            `toml:"firm"`
	Within     []string        `toml:"within"`
	Order      int             `toml:"order"`
	HostOrder  int             `toml:"host_order"`
	Steps      []fileStep      `toml:"step"`
	Methods    []string        `toml:"methods"`
	Headers    []fileCondition `toml:"headers"`
	Query      []fileCondition `toml:"query"`
	Service    string          `toml:"service"`
	Limits     []string        `toml:"limits"`
	Class      string          `toml:"class"`
	Pool       string          `toml:"pool"`
	Pools      []struct {
		Pool   string `toml:"pool"`
		Weight int    `toml:"weight"`
	} `toml:"pools"`
	Stable struct {
		Header string `toml:"header"`
		Query  string `toml:"query"`
	} `toml:"stable"`
	Fallback        string        `toml:"fallback"`
	NoHead          bool          `toml:"no_head"`
	Answers         string        `toml:"answers"`
	RequestHeaders  []fileChange  `toml:"request_headers"`
	ResponseHeaders []fileChange  `toml:"response_headers"`
	Redirect        *fileRedirect `toml:"redirect"`
	Bodies          *fileBodies   `toml:"bodies"`
	Answer          *fileFixed    `toml:"answer"`
	Rewrite         struct {
		Strip      string         `toml:"strip"`
		Replace    string         `toml:"replace"`
		Expression *regexp.Regexp `toml:"expression"`
		Substitute string         `toml:"substitute"`
	} `toml:"rewrite"`
}

type fileStep struct {
	Expression *regexp.Regexp `toml:"expression"`
	To         string         `toml:"to"`
	Then       string         `toml:"then"`
	First      bool           `toml:"first"`
}

type fileCondition struct {
	Name   string  `toml:"name"`
	Equals *string `toml:"equals"`
	Prefix *string `toml:"prefix"`
}

// routes reads and compiles the routes and returns the warnings.
func (d *doc) routes(f *file, m *Model, sets map[string]*verdict.Set) (warnings Errors) {
	if len(f.Routes) == 0 {
		d.fail("route", "there is none: no request would match")
	}
	list := make([]*route.Route, 0, len(f.Routes))
	for i := range f.Routes {
		key := fmt.Sprintf("route[%d]", i)
		r := d.route(key, &f.Routes[i], m)
		d.moved(key, r, m)
		policy := d.policy(key, &f.Routes[i], r, sets, &m.Spool)
		m.Policies = append(m.Policies, policy)
		d.meets(key, f, &f.Routes[i], m)
		if policy != nil {
			d.upgrades(key+".bodies", policy.Bodies, r, m)
		}
		warnings = append(warnings, d.unsafeMethods(key, r, m)...)
		if at := m.ClassIndex(r.Class); r.Fallback != "" && at >= 0 && m.Classes[at].Effect == frostshift.Keyed {
			warnings = append(warnings, Error{File: d.file, Line: d.line(key + ".fallback"), Key: key + ".fallback",
				Text: fmt.Sprintf("class %q is keyed, and hosts of another pool drop no repeats: nothing of it goes there", r.Class)})
		}
		list = append(list, r)
	}
	table, problems := route.Compile(list)
	for _, p := range problems {
		key := fmt.Sprintf("route[%d]", p.Route.Index)
		e := Error{File: d.file, Key: key, Text: fmt.Sprintf("route %q %s", p.Route.Name, p.Text)}
		if p.Field != "" {
			e.Key, e.Text = key+"."+p.Field, p.Text
		}
		e.Line = d.line(e.Key)
		if p.Warning {
			warnings = append(warnings, e)
		} else {
			d.errs = append(d.errs, e)
		}
	}
	used := map[string]bool{}
	for _, r := range list {
		for _, w := range r.Pools {
			used[w.Pool] = used[w.Pool] || w.Weight > 0
		}
		used[r.Fallback] = true
	}
	for i, p := range m.Pools {
		if !used[p.Name] {
			key := fmt.Sprintf("pool[%d]", i)
			warnings = append(warnings, Error{File: d.file, Line: d.line(key), Key: key, Text: fmt.Sprintf("no route sends anything to pool %q", p.Name)})
		}
	}
	m.Table = table
	return warnings
}

func (d *doc) route(key string, in *fileRoute, m *Model) *route.Route {
	r := &route.Route{Name: in.Name, Line: d.line(key), Priority: in.Priority, Host: in.Host, Methods: in.Methods,
		NoHead: in.NoHead, Service: in.Service, Class: in.Class, Fallback: in.Fallback,
		Stable:  route.Key{Header: in.Stable.Header, Query: in.Stable.Query},
		Rewrite: route.Rewrite{Strip: in.Rewrite.Strip, Replace: in.Rewrite.Replace, Expr: in.Rewrite.Expression, Sub: in.Rewrite.Substitute}}
	d.routePath(key, in, r)
	r.Listeners = in.Listeners
	for i, name := range in.Listeners {
		if !slices.ContainsFunc(m.Listeners, func(l Listener) bool { return l.Name == name }) {
			d.fail(fmt.Sprintf("%s.listeners[%d]", key, i), "there is no listener %q", name)
		}
	}
	r.Steps = d.steps(key+".step", in.Steps)
	if in.Rewrite.Substitute != "" && in.Rewrite.Expression == nil {
		d.fail(key+".rewrite.substitute", "there is no expression whose match it would replace")
	}
	if in.Rewrite.Expression != nil && in.Rewrite.Substitute == "" {
		d.fail(key+".rewrite.expression", "substitute says what becomes of the match")
	}
	r.Headers = d.conditions(key+".headers", in.Headers)
	r.Query = d.conditions(key+".query", in.Query)
	d.routePools(key, in, r, m)
	own := in.Redirect != nil || in.Answer != nil || len(in.Steps) > 0 && in.Pool == "" && len(in.Pools) == 0
	if in.Class == "" && own {
	} else if in.Class == "" {
		d.fail(key+".class", "a route needs a class")
	} else if m.ClassIndex(in.Class) < 0 {
		d.fail(key+".class", "there is no class %q", in.Class)
	}
	if r.Service == "" {
		r.Service = in.Name
	}
	return r
}

// routePath reads which paths a route takes, and in which order it is looked at.
func (d *doc) routePath(key string, in *fileRoute, r *route.Route) {
	ways := 0
	for _, w := range []struct {
		kind  route.PathKind
		value *string
	}{{route.Prefix, in.Prefix}, {route.Exact, in.Path}, {route.Regexp, in.Expression}, {route.Starts, in.Starts}} {
		if w.value != nil {
			r.Path = route.Path{Kind: w.kind, Value: *w.value}
			ways++
		}
	}
	if ways > 1 {
		d.fail(key, "one of prefix, path, expression and starts")
	}
	if in.Firm && in.Starts == nil {
		d.fail(key+".firm", "belongs to starts")
	}
	if len(in.Within) > 0 && in.Expression == nil {
		d.fail(key+".within", "belongs to expression")
	}
	r.Path.Firm, r.Path.Within, r.Order, r.HostOrder = in.Firm, in.Within, in.Order, in.HostOrder
}

// routePools reads which pools a route sends to.
func (d *doc) routePools(key string, in *fileRoute, r *route.Route, m *Model) {
	switch {
	case in.Pool != "" && len(in.Pools) > 0:
		d.fail(key+".pool", "one of pool and pools")
	case in.Pool != "":
		r.Pools = []route.Weighted{{Pool: in.Pool, Weight: 1}}
		if m.PoolNamed(in.Pool) == nil {
			d.fail(key+".pool", "there is no pool %q", in.Pool)
		}
	}
	for i, w := range in.Pools {
		r.Pools = append(r.Pools, route.Weighted{Pool: w.Pool, Weight: w.Weight})
		if w.Pool != "" && m.PoolNamed(w.Pool) == nil {
			d.fail(fmt.Sprintf("%s.pools[%d].pool", key, i), "there is no pool %q", w.Pool)
		}
	}
	if in.Fallback != "" && m.PoolNamed(in.Fallback) == nil {
		d.fail(key+".fallback", "there is no pool %q", in.Fallback)
	}
}

var thens = map[string]route.Then{"": route.Next, "next": route.Next, "again": route.Again, "break": route.Break,
	"redirect": route.Redirect, "moved": route.Moved}

// steps reads what becomes of a path before the request goes to a pool.
func (d *doc) steps(key string, in []fileStep) (out []route.Step) {
	for i, s := range in {
		at := fmt.Sprintf("%s[%d]", key, i)
		then, ok := thens[s.Then]
		if !ok {
			d.fail(at+".then", "%q is none of next, again, break, redirect, moved", s.Then)
		}
		if s.Expression == nil {
			d.fail(at+".expression", "a step needs one")
			continue
		}
		out = append(out, route.Step{Expr: s.Expression, To: s.To, Then: then, First: s.First})
	}
	return out
}

func (d *doc) conditions(key string, in []fileCondition) (out []route.Condition) {
	for i, c := range in {
		o := route.Condition{Name: c.Name}
		switch {
		case c.Equals != nil && c.Prefix != nil:
			d.fail(fmt.Sprintf("%s[%d]", key, i), "one of equals and prefix, or neither for any value")
		case c.Equals != nil:
			o.Op, o.Value = route.Equals, *c.Equals
		case c.Prefix != nil:
			o.Op, o.Value = route.HasPrefix, *c.Prefix
		}
		out = append(out, o)
	}
	return out
}
