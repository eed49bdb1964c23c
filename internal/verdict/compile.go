package verdict

import (
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"
)

// Spec is a set as configured: rules that override the defaults of ordinary services. The first
// rule that matches an answer applies; whatever that rule leaves empty keeps its default.
type Spec struct {
	Name     string
	Unserved string // whose answer the client gets when attempts are used up: host or gateway; "" means host
	Rules    []Rule
}

// Rule overrides the meaning of some answers. Empty fields change nothing.
type Rule struct {
	Status []string // such as "503" or "500-599"; empty means all
	Event  string   // timeout, reset or malformed, instead of a status
	Header string   // must be present, or meet the one of the next three conditions that is set
	Equals *string
	Not    *string
	Absent bool

	Answer string // final, spare or hidden; for an event final or spare
	Ran    string // yes, maybe or never
	Health string // good, fault, strained or silent
}

// Problem describes an error or a warning about a Spec.
type Problem struct {
	Rule    int    // the index of the rule; -1 means the set as a whole
	Field   string // the name of the key in the configuration
	Text    string
	Warning bool // the set is usable nevertheless
}

const maxRules = 200 // maximum number of rules in a set

// Compile checks a Spec and compiles it into a Set. The Set is nil if any Problem is not a warning.
func Compile(spec Spec) (*Set, []Problem) {
	var bad []Problem
	failed := false
	c := compiler{set: plain, report: func(rule int, field string, warning bool, format string, args ...any) {
		bad = append(bad, Problem{rule, field, fmt.Sprintf(format, args...), warning})
		failed = failed || !warning
	}}
	c.set.name = spec.Name
	switch spec.Unserved {
	case "", "host":
	case "gateway":
		c.set.fromHost = false
	default:
		c.report(-1, "unserved", false, "%q is neither host nor gateway", spec.Unserved)
	}
	if len(spec.Rules) > maxRules {
		c.report(-1, "rule", false, "%d rules exceed the maximum of %d", len(spec.Rules), maxRules)
		return nil, bad
	}
	for i := range spec.Rules {
		c.rule(i, &spec.Rules[i])
	}
	if failed {
		return nil, bad
	}
	c.link()
	return &c.set, bad
}

// compiler arranges rules by status. A status is settled once a rule without a header has matched
// it: later rules are ignored for this status.
type compiler struct {
	set     Set
	report  func(rule int, field string, warning bool, format string, args ...any)
	settled [1000]bool
	events  [events]bool
	lists   [1000][]headerRule
}

// change holds the parts of a meaning that a rule overrides.
type change struct {
	gives, ran, health          int
	hasGives, hasRan, hasHealth bool
}

// apply returns the meaning with the overrides applied.
func (x *change) apply(m Meaning) Meaning {
	if x.hasGives {
		m.Disposition = Disposition(x.gives)
	}
	if x.hasRan {
		m.Ran = Ran(x.ran)
	}
	if x.hasHealth {
		m.Health = Health(x.health)
	}
	if m.Ran == Never && m.Health == Good && m.Disposition != Final {
		m.Health = Silent // the host has shown only that it refuses requests
	}
	return m
}

// rule checks a rule and adds it to the tables.
func (c *compiler) rule(i int, r *Rule) {
	var x change
	x.gives, x.hasGives = c.nameIndex(i, "answer", r.Answer, givesNames[:])
	x.ran, x.hasRan = c.nameIndex(i, "ran", r.Ran, ranNames[:])
	x.health, x.hasHealth = c.nameIndex(i, "health", r.Health, healthNames[:])
	if r.Event != "" {
		c.event(i, r, x.gives, x.hasGives)
		return
	}
	if !x.hasGives && !x.hasRan && !x.hasHealth {
		c.report(i, "", false, "the rule changes nothing: set answer, ran or health")
		return
	}
	h, ok := c.header(i, r)
	if !ok {
		return
	}
	statuses, ok := c.statuses(i, r)
	if !ok {
		return
	}
	if x.hasRan && Ran(x.ran) == Never && h.op == Any && slices.ContainsFunc(statuses, func(s int) bool { return s != 421 && s != 425 }) {
		c.report(i, "ran", true, "a status alone is taken as proof that the request did not run: unsafe requests are retried on it")
	}
	hit := false
	for _, status := range statuses {
		if c.settled[status] {
			continue
		}
		hit = true
		m := x.apply(c.set.status[status])
		if h.op == Any {
			c.settled[status] = true
			c.set.status[status] = m
		} else {
			h.meaning = m
			c.lists[status] = append(c.lists[status], h)
		}
		if status < 400 && m.Ran == Never && m.Disposition == Final {
			c.report(i, "ran", false, "an answer %d that the client gets has run", status)
			return
		}
	}
	if !hit {
		c.report(i, "status", true, "earlier rules already cover all of its statuses")
	}
}

// nameIndex returns the index of a field's value among its valid names, and whether it was found. It
// reports a problem if a value that is not empty is invalid.
func (c *compiler) nameIndex(i int, field, text string, names []string) (int, bool) {
	at := slices.Index(names, text)
	if text != "" && at < 0 {
		c.report(i, field, false, "%q is none of %s", text, strings.Join(names, ", "))
	}
	return at, at >= 0
}

// event checks and applies a rule about an attempt that ended without an answer.
func (c *compiler) event(i int, r *Rule, gives int, hasGives bool) {
	at := slices.Index(eventNames[:], r.Event)
	switch {
	case at < 0:
		c.report(i, "event", false, "%q is none of %s", r.Event, strings.Join(eventNames[:], ", "))
	case len(r.Status) > 0 || r.Header != "" || r.Ran != "" || r.Health != "":
		c.report(i, "event", false, "an event has no status and no header, and only its answer can be set")
	case !hasGives || Disposition(gives) == Hidden:
		c.report(i, "answer", false, "an event is final (no further attempt) or spare (another may follow)")
	case c.events[at]:
		c.report(i, "event", true, "an earlier rule already covers %s", r.Event)
	default:
		c.events[at] = true
		c.set.final[at] = Disposition(gives) == Final
	}
}

// header compiles the header condition of a rule; ok is false if it is invalid.
func (c *compiler) header(i int, r *Rule) (h headerRule, ok bool) {
	conditions := 0
	for _, set := range []bool{r.Equals != nil, r.Not != nil, r.Absent} {
		if set {
			conditions++
		}
	}
	switch {
	case r.Header == "" && conditions > 0:
		c.report(i, "header", false, "a condition needs the header that it applies to")
		return h, false
	case r.Header == "":
		return h, true
	case !token(r.Header):
		c.report(i, "header", false, "%q is not a valid header name", r.Header)
		return h, false
	case conditions > 1:
		c.report(i, "header", false, "set only one of equals, not and absent")
		return h, false
	}
	h.name, h.op = http.CanonicalHeaderKey(r.Header), Exists
	switch {
	case r.Equals != nil:
		h.op, h.value = Is, *r.Equals
	case r.Not != nil:
		h.op, h.value = IsNot, *r.Not
	case r.Absent:
		h.op = Lacks
	}
	return h, true
}

// statuses returns the statuses that a rule names, as numbers and ranges; ok is false if any is
// invalid.
func (c *compiler) statuses(i int, r *Rule) (list []int, ok bool) {
	if len(r.Status) == 0 {
		for s := 200; s < 1000; s++ {
			list = append(list, s)
		}
		return list, true
	}
	ok = true
	for _, text := range r.Status {
		low, high, isRange := strings.Cut(text, "-")
		if !isRange {
			high = low
		}
		from, err1 := strconv.Atoi(low)
		to, err2 := strconv.Atoi(high)
		if err1 != nil || err2 != nil || from < 200 || to > 999 || from > to || len(low) != 3 || len(high) != 3 {
			c.report(i, "status", false, "%q is neither a status from 200 to 999 nor a range like 500-599", text)
			ok = false
			continue
		}
		for s := from; s <= to; s++ {
			list = append(list, s)
		}
	}
	return list, ok
}

// link assigns to each status the list of its rules with headers; statuses with equal lists share one.
func (c *compiler) link() {
	for status, list := range c.lists {
		if len(list) == 0 {
			continue
		}
		at := slices.IndexFunc(c.set.rules, func(x []headerRule) bool { return slices.Equal(x, list) })
		if at < 0 {
			at = len(c.set.rules)
			c.set.rules = append(c.set.rules, list)
		}
		c.set.chains[status] = uint16(at + 1)
	}
}

// token reports whether a text is a valid field name (RFC 9110 section 5.6.2).
func token(s string) bool {
	return s != "" && !strings.ContainsFunc(s, func(c rune) bool {
		return c <= ' ' || c > '~' || strings.ContainsRune(`"(),/:;<=>?@[\]{}`, c)
	})
}
