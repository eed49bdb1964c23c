package nginx

import (
	"regexp"
	"strconv"
	"strings"
	"time"
)

// count reads a number that is not negative.
func (m *importer) count(d *Directive) (int, bool) {
	n, err := strconv.Atoi(d.Text(0))
	if err != nil || n < 0 {
		m.report.say(d, Left, "%q is no number", d.Text(0))
		return 0, false
	}
	return n, true
}

func (m *importer) span(d *Directive) (time.Duration, bool) {
	t, ok := span(d.Text(0))
	if !ok {
		m.report.say(d, Left, "%q is no time", d.Text(0))
	}
	return t, ok
}

// span reads a time as nginx has it ("Configuration file measurement units").
func span(text string) (sum time.Duration, ok bool) {
	units := []struct {
		suffix string
		unit   time.Duration
	}{{"ms", time.Millisecond}, {"s", time.Second}, {"m", time.Minute}, {"h", time.Hour}, {"d", 24 * time.Hour}, {"w", 7 * 24 * time.Hour}}
	for rest := text; rest != ""; {
		i := 0
		for i < len(rest) && rest[i] >= '0' && rest[i] <= '9' {
			i++
		}
		n, err := strconv.Atoi(rest[:i])
		if err != nil || n > 1e9 {
			return 0, false
		}
		rest = strings.TrimLeft(rest[i:], " ")
		if rest == "" {
			return sum + time.Duration(n)*time.Second, true
		}
		found := false
		for _, u := range units {
			if strings.HasPrefix(rest, u.suffix) {
				sum += time.Duration(n) * u.unit
				rest, found = strings.TrimLeft(rest[len(u.suffix):], " "), true
				break
			}
		}
		if !found {
			return 0, false
		}
	}
	return sum, text != ""
}

// size reads a size as nginx has it.
func size(text string) (int64, bool) {
	unit := int64(1)
	switch lower := strings.ToLower(text); {
	case strings.HasSuffix(lower, "k"):
		unit = 1 << 10
	case strings.HasSuffix(lower, "m"):
		unit = 1 << 20
	case strings.HasSuffix(lower, "g"):
		unit = 1 << 30
	}
	n, err := strconv.ParseInt(strings.TrimRight(text, "kKmMgG"), 10, 40)
	return n * unit, err == nil
}

// variablesOf are the names of the variables in a text.
func variablesOf(text string) (names []string) {
	for i := 0; i < len(text); i++ {
		if text[i] != '$' {
			continue
		}
		rest := text[i+1:]
		if strings.HasPrefix(rest, "{") {
			name, _, _ := strings.Cut(rest[1:], "}")
			names = append(names, name)
			continue
		}
		n := 0
		for n < len(rest) && (rest[n] == '_' || rest[n] >= '0' && rest[n] <= '9' || rest[n] >= 'a' && rest[n] <= 'z' || rest[n] >= 'A' && rest[n] <= 'Z') {
			n++
			if n == 1 && rest[0] >= '0' && rest[0] <= '9' {
				break // $1 is one digit
			}
		}
		names = append(names, rest[:n])
	}
	return names
}

var oneDigit = regexp.MustCompile(`\$\{?([0-9])\}?`)

// captures writes $1 as ${1}, which ends there whatever follows.
func captures(text string) string { return oneDigit.ReplaceAllString(text, "$${$1}") }
