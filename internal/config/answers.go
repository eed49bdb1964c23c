package config

import (
	"fmt"
	"net/http"
	"net/netip"
	"slices"
	"strings"

	"frostshift"
	"frostshift/internal/headers"
	"frostshift/internal/route"
	"frostshift/internal/verdict"
)

// What answers mean, what becomes of header fields, and what the gateway answers itself.

// Policy is what a route does besides sending requests to pools.
type Policy struct {
	Answers           *verdict.Set // nil: the pool's
	Request, Response *headers.Ops
	Authority         string  // as of a pool, in its place; "": the pool's
	Own               *Own    // nil: requests go to pools
	Bodies            *Bodies // nil: whole, within the bounds of the platform
}

// Own is an answer that the gateway gives itself.
type Own struct {
	Status     int
	To         *headers.Template // of a redirect; nil: it is none
	Body, Type string
}

// HostsOwn stands for a host's own address as the authority that it is asked under.
const HostsOwn = "address"

// ClientsOwn stands for what the client sent, in a Policy.
const ClientsOwn = clients

// Idempotent says whether a request of the method may be made any number of times (RFC 9110
// section 9.2.2).
func Idempotent(method string) bool {
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodTrace, http.MethodPut, http.MethodDelete:
		return true
	}
	return false
}

// ByMethod is the effect of a class that goes by the method of each request.
const byMethod = "method"

const defaultRepeats = 0.2

type fileAnswers struct {
	Name     string           `toml:"name"`
	Unserved string           `toml:"unserved"`
	Rules    []fileAnswerRule `toml:"rule"`
}

type fileAnswerRule struct {
	Status []string `toml:"status"`
	Event  string   `toml:"event"`
	Header string   `toml:"header"`
	Equals *string  `toml:"equals"`
	Not    *string  `toml:"not"`
	Absent bool     `toml:"absent"`
	Answer string   `toml:"answer"`
	Ran    string   `toml:"ran"`
	Health string   `toml:"health"`
}

type fileForwarded struct {
	Send    *[]string `toml:"send"`
	Trusted []string  `toml:"trusted"`
}

type fileChange struct {
	Set    string `toml:"set"`
	Add    string `toml:"add"`
	Remove string `toml:"remove"`
	To     string `toml:"to"`
}

type fileRedirect struct {
	Status *int   `toml:"status"`
	To     string `toml:"to"`
}

type fileFixed struct {
	Status *int   `toml:"status"`
	Body   string `toml:"body"`
	Type   string `toml:"type"`
}

// builtin are the sets that need no table.
var builtin = map[string]*verdict.Set{"": verdict.Plain(), "plain": verdict.Plain(), "platform": verdict.Platform()}

// answers reads the sets of what answers mean, and returns them by name with the warnings.
func (d *doc) answers(f *file) (map[string]*verdict.Set, Errors) {
	sets := map[string]*verdict.Set{}
	for name, s := range builtin {
		sets[name] = s
	}
	var warnings Errors
	for i := range f.Answers {
		in := &f.Answers[i]
		key := fmt.Sprintf("answers[%d]", i)
		switch {
		case in.Name == "":
			d.fail(key+".name", "answers need a name")
		case sets[in.Name] != nil:
			d.fail(key+".name", "there are other answers %q", in.Name)
		}
		spec := verdict.Spec{Name: in.Name, Unserved: in.Unserved}
		for _, r := range in.Rules {
			spec.Rules = append(spec.Rules, verdict.Rule(r))
		}
		set, problems := verdict.Compile(spec)
		for _, p := range problems {
			at := key
			if p.Rule >= 0 {
				at = fmt.Sprintf("%s.rule[%d]", key, p.Rule)
			}
			if p.Field != "" {
				at += "." + p.Field
			}
			if p.Warning {
				warnings = append(warnings, Error{File: d.file, Line: d.line(at), Key: at, Text: p.Text})
			} else {
				d.fail(at, "%s", p.Text)
			}
		}
		if set == nil {
			set = verdict.Plain() // what names it is looked at all the same
		}
		sets[in.Name] = set
	}
	return sets, warnings
}

func (d *doc) answersNamed(key, name string, sets map[string]*verdict.Set) *verdict.Set {
	s := sets[name]
	if s == nil {
		d.fail(key, "there are no answers %q", name)
	}
	return s
}

// forwarded reads what hosts are told of clients.
func (d *doc) forwarded(f *file) *headers.Forward {
	out := &headers.Forward{XForwarded: true}
	if in := f.Forwarded.Send; in != nil {
		out.XForwarded = false
		for i, name := range *in {
			switch strings.ToLower(name) {
			case "x-forwarded":
				out.XForwarded = true
			case "forwarded":
				out.Standard = true
			default:
				d.fail(fmt.Sprintf("forwarded.send[%d]", i), "%q is neither x-forwarded nor forwarded", name)
			}
		}
	}
	var ranges []netip.Prefix
	for i, text := range f.Forwarded.Trusted {
		p, err := netip.ParsePrefix(text)
		if err != nil {
			a, err2 := netip.ParseAddr(text)
			if err2 != nil {
				d.fail(fmt.Sprintf("forwarded.trusted[%d]", i), "%q is neither an address nor a range like 10.0.0.0/8", text)
				continue
			}
			p = netip.PrefixFrom(a, a.BitLen())
		}
		ranges = append(ranges, p)
	}
	out.Trusted = headers.NewTrusted(ranges)
	return out
}

// pool's part: what its hosts' answers mean and under what name they are asked.
func (d *doc) poolAnswers(key string, in *filePool, p *Pool, sets map[string]*verdict.Set) {
	p.Answers = d.answersNamed(key+".answers", in.Answers, sets)
	if p.Authority = d.authority(key, in.Authority); p.Authority == clients {
		p.Authority = ""
	}
	p.Repeats = defaultRepeats
	if in.RepeatBudget != nil {
		p.Repeats = *in.RepeatBudget
		if !(p.Repeats > 0 && p.Repeats <= 3) {
			d.fail(key+".repeat_budget", "%v is not above 0 and up to 3: repeats as a share of requests", p.Repeats)
			p.Repeats = defaultRepeats
		}
	}
}

// clients is the authority that the client sent.
const clients = "client"

func (d *doc) authority(key, text string) string {
	if text != "" && text != clients && text != HostsOwn {
		if host, err := route.NormalHost(text); err != nil || host == "" || strings.ContainsAny(text, "*/@ ") {
			d.fail(key+".authority", "%q is none of client, address and a name", text)
		}
	}
	return text
}

// policy reads what a route does besides sending requests to pools; nil: nothing.
func (d *doc) policy(key string, in *fileRoute, r *route.Route, sets map[string]*verdict.Set, spool *Spool) *Policy {
	p := &Policy{Bodies: d.bodies(key+".bodies", in.Bodies, spool)}
	if in.Answers != "" {
		p.Answers = d.answersNamed(key+".answers", in.Answers, sets)
	}
	p.Authority = d.authority(key, in.Authority)
	p.Request = d.changes(key+".request_headers", in.RequestHeaders)
	p.Response = d.changes(key+".response_headers", in.ResponseHeaders)
	switch {
	case in.Redirect != nil && in.Answer != nil:
		d.fail(key, "one of redirect and answer")
	case in.Redirect != nil:
		p.Own = d.redirect(key+".redirect", in.Redirect)
	case in.Answer != nil:
		p.Own = d.fixed(key+".answer", in.Answer)
	}
	if r.Own = p.Own != nil; r.Own && p.Bodies != nil {
		d.fail(key+".bodies", "the gateway answers itself: no bodies go on")
	}
	if *p == (Policy{}) {
		return nil
	}
	return p
}

func (d *doc) redirect(key string, in *fileRedirect) *Own {
	out := &Own{Status: http.StatusPermanentRedirect, Body: "moved"}
	if in.Status != nil {
		out.Status = *in.Status
		if !slices.Contains([]int{301, 302, 303, 307, 308}, out.Status) {
			d.fail(key+".status", "%d is none of 301, 302, 303, 307, 308", out.Status)
		}
	}
	var err error
	if out.To, err = headers.Compile(in.To); err != nil {
		d.fail(key+".to", "%v", err)
	} else if in.To == "" {
		d.fail(key+".to", "says where: like https://${host}${uri}")
	}
	return out
}

func (d *doc) fixed(key string, in *fileFixed) *Own {
	out := &Own{Status: http.StatusOK, Body: in.Body, Type: in.Type}
	if in.Status != nil {
		out.Status = *in.Status
	}
	if out.Status < 200 || out.Status > 599 {
		d.fail(key+".status", "%d is not from 200 to 599", out.Status)
	}
	if strings.ContainsFunc(in.Type, func(c rune) bool { return c < ' ' || c > '~' }) {
		d.fail(key+".type", "%q is no media type", in.Type)
	}
	return out
}

func (d *doc) changes(key string, in []fileChange) *headers.Ops {
	list := make([]headers.Change, len(in))
	for i, c := range in {
		list[i] = headers.Change(c)
	}
	ops, problems := headers.CompileOps(list)
	for _, p := range problems {
		at := fmt.Sprintf("%s[%d]", key, p.Change)
		if p.Field != "" {
			at += "." + p.Field
		}
		d.fail(at, "%s", p.Text)
	}
	return ops
}

// unsafeMethods warns of routes that call safe what RFC 9110 does not (section 9.2.2): such a
// request is sent again after it may have run.
func (d *doc) unsafeMethods(key string, r *route.Route, m *Model) Errors {
	at := m.ClassIndex(r.Class)
	if at < 0 || m.Classes[at].Effect != frostshift.Safe || m.Classes[at].ByMethod > 0 {
		return nil
	}
	for _, method := range r.Methods {
		if !Idempotent(method) {
			return Errors{{File: d.file, Line: d.line(key + ".methods"), Key: key + ".methods", Text: fmt.Sprintf(
				"class %q is safe, so a %s that may have run is sent again; effect = \"method\" goes by the method", r.Class, method)}}
		}
	}
	return nil
}

// splitClasses gives each class that goes by the method another of its name for requests
// that may not be made twice.
func (m *Model) splitClasses(going []int) {
	for _, i := range going {
		c := m.Classes[i]
		c.Effect = frostshift.Unsafe
		m.Classes[i].ByMethod = len(m.Classes)
		m.Classes = append(m.Classes, c)
	}
}
