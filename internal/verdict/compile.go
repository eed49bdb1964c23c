package verdict

import (
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"
)

// Spec is a set as a configuration has it: rules over the defaults of ordinary services. Of
// the rules that match an answer the first counts; what it does not say stays as it is by
// default.
type Spec struct {
	Name     string
	Unserved string // what the client gets when attempts are used up: host or gateway; "": host
	Rules    []Rule
}

// Rule changes what some answers mean. Empty fields change nothing.
type Rule struct {
	Status []string // "503", "500-599"; none: all
	Event  string   // timeout, reset or malformed, in place of a status
	Header string   // that must be there, or be as said in one of the next
	Equals *string
	Not    *string
	Absent bool

	Answer string // final, spare, hidden; of an event final or spare
	Ran    string // yes, maybe, never
	Health string // good, fault, strained, silent
}

// Problem is something wrong with a Spec.
type Problem struct {
	Rule    int    // its index; -1: the set as a whole
	Field   string // as configurations name it
	Text    string
	Warning bool // the set works all the same
}

const mostRules = 200 // of one set

// Compile checks a Spec and makes a Set of it, which is nil if any Problem is no warning.
func Compile(spec Spec) (*Set, []Problem) {
	var bad []Problem
	wrong := false
	c := compiler{set: plain, say: func(rule int, field string, warning bool, format string, args ...any) {
		bad = append(bad, Problem{rule, field, fmt.Sprintf(format, args...), warning})
		wrong = wrong || !warning
	}}
	c.set.name = spec.Name
	switch spec.Unserved {
	case "", "host":
	case "gateway":
		c.set.fromHost = false
	default:
		c.say(-1, "unserved", false, "%q is neither host nor gateway", spec.Unserved)
	}
	if len(spec.Rules) > mostRules {
		c.say(-1, "rule", false, "%d rules are more than %d", len(spec.Rules), mostRules)
		return nil, bad
	}
	for i := range spec.Rules {
		c.rule(i, &spec.Rules[i])
	}
	if wrong {
		return nil, bad
	}
	c.link()
	return &c.set, bad
}

// compiler lays out rules by status. A status is settled once a rule without a header has
// matched it: later rules do not count for it.
type compiler struct {
	set     Set
	say     func(rule int, field string, warning bool, format string, args ...any)
	settled [1000]bool
	events  [events]bool
	lists   [1000][]headerRule
}

// change is what a rule makes of a meaning.
type change struct {
	gives, ran, health          int
	hasGives, hasRan, hasHealth bool
}

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
		m.Health = Silent // it has shown nothing but that it turns away
	}
	return m
}

// rule takes in one rule.
func (c *compiler) rule(i int, r *Rule) {
	var x change
	x.gives, x.hasGives = c.named(i, "answer", r.Answer, givesNames[:])
	x.ran, x.hasRan = c.named(i, "ran", r.Ran, ranNames[:])
	x.health, x.hasHealth = c.named(i, "health", r.Health, healthNames[:])
	if r.Event != "" {
		c.event(i, r, x.gives, x.hasGives)
		return
	}
	if !x.hasGives && !x.hasRan && !x.hasHealth {
		c.say(i, "", false, "the rule changes nothing: it wants answer, ran or health")
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
		c.say(i, "ran", true, "a status alone is taken for a proof that nothing ran: unsafe requests are sent again on it")
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
			c.say(i, "ran", false, "an answer %d that the client gets has run", status)
			return
		}
	}
	if !hit {
		c.say(i, "status", true, "rules before it decide all of its statuses")
	}
}

// named is the place of a field's value among the names that it may have.
func (c *compiler) named(i int, field, text string, names []string) (int, bool) {
	at := slices.Index(names, text)
	if text != "" && at < 0 {
		c.say(i, field, false, "%q is none of %s", text, strings.Join(names, ", "))
	}
	return at, at >= 0
}

// event reads a rule about an end without an answer.
func (c *compiler) event(i int, r *Rule, gives int, hasGives bool) {
	at := slices.Index(eventNames[:], r.Event)
	switch {
	case at < 0:
		c.say(i, "event", false, "%q is none of %s", r.Event, strings.Join(eventNames[:], ", "))
	case len(r.Status) > 0 || r.Header != "" || r.Ran != "" || r.Health != "":
		c.say(i, "event", false, "an event has no status and no header, and it has its own meaning but for answer")
	case !hasGives || Disposition(gives) == Hidden:
		c.say(i, "answer", false, "an event is final (no further attempt) or spare (another may follow)")
	case c.events[at]:
		c.say(i, "event", true, "a rule before it decides %s", r.Event)
	default:
		c.events[at] = true
		c.set.final[at] = Disposition(gives) == Final
	}
}

func (c *compiler) header(i int, r *Rule) (h headerRule, ok bool) {
	conditions := 0
	for _, set := range []bool{r.Equals != nil, r.Not != nil, r.Absent} {
		if set {
			conditions++
		}
	}
	switch {
	case r.Header == "" && conditions > 0:
		c.say(i, "header", false, "a value wants the header that has it")
		return h, false
	case r.Header == "":
		return h, true
	case !token(r.Header):
		c.say(i, "header", false, "%q is no name of a header", r.Header)
		return h, false
	case conditions > 1:
		c.say(i, "header", false, "one of equals, not and absent")
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

// statuses reads numbers and ranges.
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
			c.say(i, "status", false, "%q is neither a status from 200 to 999 nor a range like 500-599", text)
			ok = false
			continue
		}
		for s := from; s <= to; s++ {
			list = append(list, s)
		}
	}
	return list, ok
}

// link gives each status the list of its rules with headers; equal ones share one.
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

// token says whether a text is a field name (RFC 9110 section 5.6.2).
func token(s string) bool {
	return s != "" && !strings.ContainsFunc(s, func(c rune) bool {
		return c <= ' ' || c > '~' || strings.ContainsRune(`"(),/:;<=>?@[\]{}`, c)
	})
}
