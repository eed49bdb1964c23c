package nginx

import (
	"fmt"
	"slices"
	"strings"
)

func (m *importer) locations(s *server, head string) {
	defer func() {
		for _, l := range s.named {
			if !l.used {
				m.report.say(l.d, Differs, "nothing that was taken leads to it")
			}
		}
	}()
	first := ""
	for _, st := range s.steps {
		first += stepText(st, true)
	}
	if s.ret != nil { // before any location is looked for
		if text, ok := m.returns(s.ret, nil); ok {
			m.route(s.d, head, "prefix = \"/\"\n"+text+first)
			return
		}
	}
	values := map[string]bool{}
	for _, l := range s.locations {
		if l.kind != byExpr {
			values[l.value] = true
		}
	}
	catchAll := false
	seen := map[string]bool{}
	orders := expressionOrders(s.locations)
	for _, l := range s.locations {
		text := pathText(s, l, orders[l])
		catchAll = catchAll || (l.kind == byPrefix || l.kind == byFirm) && l.value == "/"
		if l.kind != byExpr && seen[text] {
			m.report.say(l.d, Left, "there is another location of the same path")
			continue
		}
		seen[text] = true
		m.route(l.d, head, text+m.does(s, l)+first+stepsOf(l))
		if l.pass != nil && (l.kind == byPrefix || l.kind == byFirm) && l.value != "/" && strings.HasSuffix(l.value, "/") {
			// A request for the path without its slash is sent there ("location").
			if bare := strings.TrimSuffix(l.value, "/"); !values[bare] {
				m.route(l.d, head, "path = "+str(bare)+"\nredirect = { status = 301, to = \"${scheme}://${host}"+strings.ReplaceAll(l.value, "$", "$$")+"${question}\" }\n"+first)
			}
		}
	}
	if !catchAll {
		m.route(s.d, head, "starts = \"/\"\nanswer = { status = 404, body = \"not found\" }\n"+first)
	}
}

// expressionOrders are the places of expressions in the order in which they are tried: within a
// location its own come before those around it.
func expressionOrders(locations []*location) map[*location]int {
	locations = slices.Clone(locations)
	slices.SortStableFunc(locations, func(x, y *location) int { return depth(y) - depth(x) })
	orders := map[*location]int{}
	for _, l := range locations {
		if l.kind == byExpr {
			orders[l] = len(orders) + 1
		}
	}
	return orders
}

// pathText is which paths a location's route takes.
func pathText(s *server, l *location, order int) string {
	switch l.kind {
	case byExact:
		return "path = " + str(l.value) + "\n"
	case byExpr:
		flags, expr := "s", l.expr
		if rest, ok := strings.CutPrefix(l.expr, "(?i)"); ok {
			flags, expr = "is", rest
		}
		// It may match anywhere in the path.
		text := fmt.Sprintf("expression = %s\norder = %d\n", str("(?"+flags+").*(?:"+expr+").*"), order)
		if l.parent != nil {
			text += "within = [" + list(within(s, l.parent)) + "]\n"
		}
		return text
	}
	text := "starts = " + str(l.value) + "\n"
	if l.kind == byFirm {
		text += "firm = true\n"
	}
	return text
}

func depth(l *location) (n int) {
	for ; l.parent != nil; l = l.parent {
		n++
	}
	return n
}

// within are the prefixes of a location and of those in it.
func within(s *server, p *location) (out []string) {
	for _, l := range s.locations {
		for x := l; x != nil; x = x.parent {
			if x == p && l.kind != byExpr && l.kind != byExact {
				out = append(out, l.value)
			}
		}
	}
	return out
}

func stepsOf(l *location) (out string) {
	for _, s := range l.steps {
		out += stepText(s, false)
	}
	return out
}

func stepText(s step, first bool) string {
	text := fmt.Sprintf("[[route.step]]\nexpression = %s\nto = %s\nthen = %s\n", str(s.expr), str(s.to), str(s.then))
	if first {
		text += "first = true\n"
	}
	return text
}

// does is what a location does with its requests.
func (m *importer) does(s *server, l *location) string {
	if l.ret != nil {
		if l.pass != nil && slices.ContainsFunc(l.steps, func(s step) bool { return s.then == "break" }) {
			m.report.say(l.ret, Left, "a rewrite with break before it leads to proxy_pass: write two locations")
		}
		if text, ok := m.returns(l.ret, l); ok {
			return text
		}
	}
	if l.try != nil && l.try.ret != nil && len(l.steps) > 0 {
		m.report.say(l.try.ret, Left, "rewrites of %s come before it: write two locations", l.d.Pos)
		return "answer = { status = 404, body = \"not found\" }\n"
	}
	if l.try != nil && l.pass == nil && l.ret == nil {
		return m.does(s, l.try)
	}
	if l.pass == nil || l.ret != nil {
		if !l.broken && l.ret == nil && len(l.steps) == 0 {
			m.report.say(l.d, Differs, "it serves files or nothing: requests are answered 404")
		}
		if l.ret == nil && len(l.steps) > 0 {
			return "" // they lead elsewhere, or there is nothing here
		}
		return "answer = { status = 404, body = \"not found\" }\n"
	}
	l.pass.up.used = true
	var b strings.Builder
	fmt.Fprintf(&b, "class = %s\npool = %s\n", str(m.class(l)), str(l.pass.up.name))
	if a := m.answersOf(l); a != "" {
		fmt.Fprintf(&b, "answers = %s\n", str(a))
	}
	if l.pass.hasURI {
		fmt.Fprintf(&b, "rewrite = { replace = %s }\n", str(l.pass.uri))
	}
	if f := m.fallback(s, l); f != "" {
		fmt.Fprintf(&b, "fallback = %s\n", str(f))
	}
	upgrades := m.headers(&b, l)
	b.WriteString(l.conf.bodies(upgrades))
	return b.String()
}
