package verdict

import (
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"frostshift"
	"pgregory.net/rapid"
)

// The default meanings match RFC 9110 and the platform's protocol, for each status.
func TestMeaningsByDefault(t *testing.T) {
	for _, c := range []struct {
		status int
		want   Meaning
	}{
		{200, Meaning{Final, Yes, Good}}, {201, Meaning{Final, Yes, Good}}, {204, Meaning{Final, Yes, Good}}, {206, Meaning{Final, Yes, Good}},
		{304, Meaning{Final, Yes, Good}}, {404, Meaning{Final, Yes, Good}}, {422, Meaning{Final, Yes, Good}}, {499, Meaning{Final, Yes, Good}},
		{408, Meaning{Spare, Maybe, Silent}}, {421, Meaning{Spare, Never, Silent}}, {425, Meaning{Final, Never, Silent}}, {429, Meaning{Final, Yes, Silent}},
		{500, Meaning{Spare, Yes, Fault}}, {501, Meaning{Final, Yes, Silent}}, {502, Meaning{Spare, Maybe, Fault}}, {503, Meaning{Spare, Maybe, Strained}},
		{504, Meaning{Spare, Maybe, Fault}}, {507, Meaning{Final, Yes, Silent}}, {600, Meaning{Spare, Yes, Fault}}, {999, Meaning{Spare, Yes, Fault}},
		{101, Meaning{Hidden, Maybe, Fault}}, {0, Meaning{Hidden, Maybe, Fault}}, {1000, Meaning{Hidden, Maybe, Fault}}, {-1, Meaning{Hidden, Maybe, Fault}},
	} {
		if got := Plain().Judge(c.status, nil); got != c.want {
			t.Errorf("%d means %v, want %v", c.status, got, c.want)
		}
	}
	proof := http.Header{"X-Unprocessed": {"1"}}
	for status := -5; status < 1005; status++ {
		for _, h := range []http.Header{nil, proof} {
			want := Meaning{Hidden, Maybe, Fault}
			switch {
			case status == 200:
				want = Meaning{Final, Yes, Good}
			case (status == 503 || status == 504) && h != nil:
				want = Meaning{Hidden, Never, Strained}
			}
			if got := (*Set)(nil).Judge(status, h); got != want {
				t.Fatalf("the platform's %d with %v means %v, want %v", status, h, got, want)
			}
		}
		// By default only 421 and 425 prove that the request did not run.
		if m := Plain().Judge(status, proof); m.Ran == Never && status != 421 && status != 425 {
			t.Errorf("%d is taken as proof that the request did not run", status)
		}
	}
}

// judgeByRules evaluates the rules of a spec one after the other, without tables.
func judgeByRules(s *Spec, status int, h http.Header) Meaning {
	m := plain.Judge(status, nil)
	if status < 200 || status > 999 {
		return m
	}
	for _, r := range s.Rules {
		if r.Event != "" || len(r.Status) > 0 && !slices.ContainsFunc(r.Status, func(x string) bool {
			low, high, ok := strings.Cut(x, "-")
			if !ok {
				high = low
			}
			from, _ := strconv.Atoi(low)
			to, _ := strconv.Atoi(high)
			return status >= from && status <= to
		}) {
			continue
		}
		v, there := h[http.CanonicalHeaderKey(r.Header)]
		switch {
		case r.Header == "":
		case r.Equals != nil && (!there || v[0] != *r.Equals), r.Not != nil && there && v[0] == *r.Not,
			r.Absent && there, r.Equals == nil && r.Not == nil && !r.Absent && !there:
			continue
		}
		if r.Answer != "" {
			m.Disposition = Disposition(slices.Index(givesNames[:], r.Answer))
		}
		if r.Ran != "" {
			m.Ran = Ran(slices.Index(ranNames[:], r.Ran))
		}
		if r.Health != "" {
			m.Health = Health(slices.Index(healthNames[:], r.Health))
		}
		if m.Ran == Never && m.Health == Good && m.Disposition != Final {
			m.Health = Silent
		}
		return m
	}
	return m
}

func genRule(t *rapid.T) Rule {
	r := Rule{Answer: rapid.SampledFrom([]string{"", "final", "spare", "hidden"}).Draw(t, "answer"),
		Ran:    rapid.SampledFrom([]string{"", "yes", "maybe", "never"}).Draw(t, "ran"),
		Health: rapid.SampledFrom([]string{"", "good", "fault", "strained", "silent"}).Draw(t, "health")}
	for range rapid.IntRange(0, 2).Draw(t, "statuses") {
		from := rapid.IntRange(200, 600).Draw(t, "from")
		r.Status = append(r.Status, strconv.Itoa(from)+"-"+strconv.Itoa(from+rapid.IntRange(0, 200).Draw(t, "more")))
	}
	if rapid.Bool().Draw(t, "header") {
		r.Header = rapid.SampledFrom([]string{"x-a", "X-B"}).Draw(t, "name")
		value := rapid.SampledFrom([]string{"1", ""}).Draw(t, "value")
		switch rapid.IntRange(0, 3).Draw(t, "op") {
		case 0:
			r.Equals = &value
		case 1:
			r.Not = &value
		case 2:
			r.Absent = true
		}
	}
	return r
}

// The compiled tables give the same meanings as the rules evaluated one after the other.
func TestCompiledAgainstRules(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		spec := Spec{Name: "s", Rules: rapid.SliceOfN(rapid.Custom(genRule), 0, 6).Draw(rt, "rules")}
		s, problems := Compile(spec)
		if s == nil {
			if !slices.ContainsFunc(problems, func(p Problem) bool { return !p.Warning }) {
				rt.Fatal("no set and no problem")
			}
			return
		}
		for range 40 {
			status := rapid.IntRange(100, 999).Draw(rt, "status")
			h := http.Header{}
			for _, name := range []string{"X-A", "X-B"} {
				if rapid.Bool().Draw(rt, name) {
					h[name] = []string{rapid.SampledFrom([]string{"1", "", "2"}).Draw(rt, "v")}
				}
			}
			if got, want := s.Judge(status, h), judgeByRules(&spec, status, h); got != want {
				rt.Fatalf("%d with %v means %v, want %v by %+v", status, h, got, want, spec.Rules)
			}
		}
	})
}

func TestWrongRules(t *testing.T) {
	one := "1"
	for _, c := range []struct {
		rule           Rule
		field, problem string
	}{
		{Rule{}, "", "changes nothing"},
		{Rule{Status: []string{"50x"}, Answer: "final"}, "status", "neither a status"},
		{Rule{Status: []string{"199"}, Answer: "final"}, "status", "neither a status"},
		{Rule{Status: []string{"503-500"}, Answer: "final"}, "status", "neither a status"},
		{Rule{Status: []string{"99999999999999999999"}, Answer: "final"}, "status", "neither a status"},
		{Rule{Answer: "first"}, "answer", "none of"},
		{Rule{Ran: "no"}, "ran", "none of"},
		{Rule{Health: "ill"}, "health", "none of"},
		{Rule{Equals: &one, Answer: "final"}, "header", "needs the header that it applies to"},
		{Rule{Header: "a b", Answer: "final"}, "header", "not a valid header name"},
		{Rule{Header: "a", Equals: &one, Absent: true, Answer: "final"}, "header", "set only one of"},
		{Rule{Event: "crash", Answer: "final"}, "event", "none of"},
		{Rule{Event: "reset", Status: []string{"500"}, Answer: "final"}, "event", "no status"},
		{Rule{Event: "reset", Answer: "hidden"}, "answer", "final"},
		{Rule{Status: []string{"200"}, Ran: "never"}, "ran", "has run"},
	} {
		s, problems := Compile(Spec{Name: "s", Rules: []Rule{c.rule}})
		if s != nil || len(problems) == 0 || !slices.ContainsFunc(problems, func(p Problem) bool {
			return p.Rule == 0 && p.Field == c.field && strings.Contains(p.Text, c.problem)
		}) {
			t.Errorf("%+v: %+v", c.rule, problems)
		}
	}
	if s, problems := Compile(Spec{Name: "s", Unserved: "both"}); s != nil || len(problems) != 1 {
		t.Errorf("unserved: %+v", problems)
	}
	s, problems := Compile(Spec{Name: "s", Rules: []Rule{{Status: []string{"503"}, Ran: "never"}, {Status: []string{"503"}, Answer: "final"}}})
	if s == nil || len(problems) != 2 || !problems[0].Warning || !problems[1].Warning {
		t.Errorf("a proof without a header, and a rule without effect: %+v", problems)
	}
	s, _ = Compile(Spec{Name: "s", Unserved: "gateway", Rules: []Rule{{Event: "timeout", Answer: "final"}, {Event: "reset", Answer: "spare"}}})
	if s == nil || !s.Ends(TimedOut) || s.Ends(Reset) || s.Ends(Malformed) || s.FromHost() {
		t.Errorf("events: %+v", s)
	}
}

// For any configuration, Compile returns, and the resulting set judges every answer.
func FuzzCompile(f *testing.F) {
	f.Add("500-599", "spare", "maybe", "fault", "X-A", "1", "", 503)
	f.Add("5", "final", "never", "good", "", "", "reset", 0)
	f.Fuzz(func(t *testing.T, status, answer, ran, health, header, equals, event string, code int) {
		s, problems := Compile(Spec{Name: "f", Rules: []Rule{{Status: strings.Fields(status), Answer: answer, Ran: ran, Health: health, Header: header, Equals: &equals, Event: event},
			{Status: []string{status}, Answer: answer}}})
		if (s == nil) != slices.ContainsFunc(problems, func(p Problem) bool { return !p.Warning }) {
			t.Fatalf("%v with %+v", s != nil, problems)
		}
		if s != nil {
			s.Judge(code, http.Header{header: {equals}})
		}
	})
}

func TestAfter(t *testing.T) {
	now := time.Date(2026, 12, 1, 12, 0, 0, 0, time.UTC)
	for text, want := range map[string]time.Duration{"": 0, "3": 3 * time.Second, "0.25": 250 * time.Millisecond, "3600": MaxRetryAfter, "-5": 0,
		"1e30": MaxRetryAfter, "1" + strings.Repeat("0", 30): MaxRetryAfter, "1e999": MaxRetryAfter, "NaN": 0, "soon": 0, strings.Repeat("9", 500): 0,
		now.Add(90 * time.Second).Format(http.TimeFormat): 90 * time.Second, now.Add(-time.Hour).Format(http.TimeFormat): 0,
		now.Add(1000 * time.Hour).Format(http.TimeFormat): MaxRetryAfter} {
		if got := RetryAfter(http.Header{"Retry-After": {text}}, now); got != want {
			t.Errorf("%q: %v, want %v", text, got, want)
		}
	}
	if RetryAfter(nil, now) != 0 {
		t.Error("no header")
	}
}

// With ten hosts over ten minutes, no host is blamed for requests that fail at every host or for a
// service that fails everywhere; a host that fails alone is detected within a few answers, and the
// records do not grow without bound as hosts come and go.
func TestJury(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	run := func(share func(host int, at time.Duration) float64) (blamed [10]int, first [10]int) {
		j := NewOutlierDetector()
		var asked [10]int
		for at := time.Duration(0); at < 10*time.Minute; at += time.Millisecond {
			h := rng.IntN(10)
			asked[h]++
			if j.Observe(at+1, frostshift.HostID(h), rng.Float64() < share(h, at)) {
				if blamed[h]++; blamed[h] == 1 {
					first[h] = asked[h]
				}
			}
		}
		return blamed, first
	}
	sum := func(list [10]int) (n int) {
		for _, x := range list {
			n += x
		}
		return n
	}
	if blamed, _ := run(func(int, time.Duration) float64 { return 0.01 }); sum(blamed) > 60 {
		t.Errorf("of 6000 requests that fail at any host, hosts are blamed for %d: %v", sum(blamed), blamed)
	}
	if blamed, _ := run(func(_ int, at time.Duration) float64 {
		if at > time.Minute && at < 2*time.Minute {
			return 1
		}
		return 0
	}); sum(blamed) > 60000/20 {
		t.Errorf("hosts are blamed for %d answers of a service that fails everywhere for a minute", sum(blamed))
	}
	blamed, first := run(func(h int, _ time.Duration) float64 {
		if h == 3 {
			return 1
		}
		return 0.01
	})
	if blamed[3] < 59000 || first[3] > 6 || sum(blamed)-blamed[3] > 60 {
		t.Errorf("a host that always fails is blamed %d times, first for answer %d; the others %v", blamed[3], first[3], blamed)
	}
	j := NewOutlierDetector()
	for i := range 100_000 {
		j.Observe(time.Duration(i)*10*time.Millisecond, frostshift.HostID(i), i%2 == 0)
	}
	if j.Hosts() > 20_000 {
		t.Errorf("%d records remain of hosts that answered once each", j.Hosts())
	}
	alone := NewOutlierDetector()
	for i := range 100 {
		if alone.Observe(time.Duration(i)*time.Second, 1, true) {
			t.Fatal("the only host is blamed: there is nothing to compare it with")
		}
	}
}

// Retries stay within a share of the requests plus MinRetryRate, for any sequence of calls.
func TestBudget(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		share := rapid.SampledFrom([]float64{0.05, 0.2, 1}).Draw(rt, "share")
		b := NewBudget(share)
		now, asked, retries := frostshift.Time(time.Second), 0, 0
		for range rapid.IntRange(1, 500).Draw(rt, "steps") {
			now += frostshift.Time(rapid.IntRange(0, 50).Draw(rt, "ms")) * time.Millisecond
			if rapid.Bool().Draw(rt, "ask") {
				b.RecordRequest()
				asked++
			} else if b.Take(now) {
				retries++
			}
		}
		if most := initialSaved + share*float64(asked) + MinRetryRate*now.Seconds() + 1; float64(retries) > most {
			rt.Fatalf("%d retries of %d requests, %v allowed", retries, asked, most)
		}
	})
	var free Budget
	for range 1000 {
		if !free.Take(0) {
			t.Fatal("the zero budget refuses a retry")
		}
	}
}

func BenchmarkJudge(b *testing.B) {
	proof, busy := http.Header{"X-Unprocessed": {"1"}}, "1"
	set, _ := Compile(Spec{Name: "s", Rules: []Rule{{Status: []string{"503"}, Header: "X-Shed", Equals: &busy, Ran: "never"}, {Status: []string{"200"}, Header: "X-Wrong", Answer: "spare", Health: "fault"}}})
	for _, c := range []struct {
		name   string
		set    *Set
		status int
		header http.Header
	}{{"plain 200", Plain(), 200, proof}, {"platform 200", nil, 200, proof}, {"platform 503 with proof", nil, 503, proof}, {"one rule with a header", set, 200, proof}} {
		b.Run(c.name, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				c.set.Judge(c.status, c.header)
			}
		})
	}
}
