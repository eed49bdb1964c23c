package limit

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"frostshift/internal/limit/table"
)

const ms = time.Millisecond

// by is a rule on one header.
func by(change func(*Config)) Config {
	c := Config{Name: "resident", Key: []Part{{Kind: Header, Name: "X-Resident"}}, IPv4: 32, IPv6: 64, Rate: 10, Keys: table.MinKeys}
	if change != nil {
		change(&c)
	}
	if c.Delay == 0 {
		c.Delay = c.Burst
	}
	return c
}

func of(resident string) *Ask { return &Ask{Header: http.Header{"X-Resident": {resident}}} }

// passes says whether a request passes, and ends it at once.
func passes(g Gate, now Time, a *Ask) bool {
	p, refusal := g.Enter(now, a, time.Hour)
	p.Leave(now, 0, 0)
	return refusal.Rule == nil
}

// The rate, its burst and its delay against nginx's own reckoning (ngx_http_limit_req_module, in
// thousandths of a request and whole milliseconds).
func TestRateAsNginxHasIt(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rate := rapid.IntRange(1, 500).Draw(t, "rate")
		burst := rapid.IntRange(0, 20).Draw(t, "burst")
		delay := rapid.IntRange(0, burst).Draw(t, "delay")
		c := by(func(c *Config) { c.Rate, c.Burst = float64(rate), float64(burst) })
		c.Delay = float64(delay)
		g := Gate{New(0, c, nil, false, Alone(1))}
		excess, last, known, now := 0, 0, false, 0
		for n := range rapid.IntRange(1, 200).Draw(t, "requests") {
			now += rapid.IntRange(0, 300).Draw(t, "ms")
			next, over := 0, false
			if known {
				next = max(0, excess-rate*(now-last)+1000)
				over = next > burst*1000
			}
			wait := time.Duration(0)
			if !over {
				excess, last, known = next, now, true
				if next > delay*1000 {
					wait = time.Duration(next-delay*1000) * time.Second / time.Duration(1000*rate)
				}
			}
			p, refusal := g.Enter(Time(now)*ms, of("a"), time.Hour)
			if (refusal.Rule != nil) != over {
				t.Fatalf("request %d at %d ms: refused is %v, nginx has an excess of %d", n, now, refusal.Rule != nil, next)
			}
			if p != nil && (p.Wait-wait).Abs() > time.Microsecond {
				t.Fatalf("request %d at %d ms waits for %v, at nginx for %v", n, now, p.Wait, wait)
			}
			p.Leave(Time(now)*ms, 0, 0)
		}
	})
}

// Whoever is told when to come back passes then, and not a moment before; and what is told to be
// left passes at once.
func TestWhatClientsAreToldIsTrue(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := by(func(c *Config) {
			c.Rate = rapid.SampledFrom([]float64{1.0 / 86400, 0.1, 7, 1000, 100000}).Draw(t, "rate")
			c.Burst, c.Tell = float64(rapid.IntRange(0, 9).Draw(t, "burst")), true
		})
		gateways := rapid.IntRange(1, 7).Draw(t, "gateways")
		g := Gate{New(0, c, nil, false, Alone(gateways))}
		// What a request may be over the limit and still pass, so that one which comes when it was told does: as time.
		part := 1 / float64(gateways)
		slack := time.Duration(rounding * (1 + c.Burst*part) / (c.Rate * part) * 1e9)
		now := Time(0)
		for range 40 {
			now += time.Duration(rapid.IntRange(0, 1e9).Draw(t, "ns"))
			st := g.Explain(now, of("a"))[0]
			p, refusal := g.Enter(now, of("a"), time.Hour)
			if (refusal.Rule != nil) != st.Over {
				t.Fatalf("explained as %+v, refused is %v", st, refusal.Rule != nil)
			}
			if refusal.Rule == nil {
				_, told := p.Fields()
				p.Leave(now, 0, 0)
				for n := range int(st.Left) {
					if !passes(g, now, of("a")) {
						t.Fatalf("of %v that were left (%s) %d passed", st.Left, told, n)
					}
				}
				if _, refusal = g.Enter(now, of("a"), time.Hour); refusal.Rule == nil {
					t.Fatalf("more than %v passed", st.Left)
				}
			}
			if early := now + refusal.After - refusal.After/1000 - 2 - slack; early > now && passes(g, early, of("a")) {
				t.Fatalf("it passes before %v", refusal.After)
			}
			if now += refusal.After; !passes(g, now, of("a")) {
				t.Fatalf("it does not pass after %v", refusal.After)
			}
		}
	})
}

// A rate of one a day beside 100,000 a second; a clock that stands still, goes back and jumps a day;
// a burst of none; figures that change under load.
func TestRatesAndClocks(t *testing.T) {
	day := New(0, by(func(c *Config) { c.Rate = 1.0 / 86400 }), nil, false, Alone(1))
	fast := New(0, by(func(c *Config) { c.Rate, c.Burst = 100000, 100 }), nil, false, Alone(1))
	for _, c := range []struct {
		rule *Rule
		at   Time
		want int // of 1000 at once
	}{
		{day, time.Hour, 1}, {day, time.Hour, 0}, {day, 0, 0}, {day, 24 * time.Hour, 0}, {day, 25 * time.Hour, 1}, {day, 49 * time.Hour, 1},
		{fast, time.Hour, 101}, {fast, time.Hour, 0}, {fast, 0, 0}, {fast, time.Hour + 10*time.Microsecond, 1}, {fast, 49 * time.Hour, 101},
	} {
		got := 0
		for range 1000 {
			if passes(Gate{c.rule}, c.at, of("a")) {
				got++
			}
		}
		if got != c.want {
			t.Errorf("rate %g at %v: %d of 1000 pass, want %d", c.rule.Rate, c.at, got, c.want)
		}
	}
	// Another rate and burst for the same keys: the table is kept. Other keys: no second burst.
	old := New(0, by(func(c *Config) { c.Burst = 9 }), nil, false, Alone(1))
	for range 10 {
		passes(Gate{old}, time.Second, of("a"))
	}
	same := New(time.Second, by(func(c *Config) { c.Rate, c.Burst = 1, 10 }), old, false, Alone(1))
	if !passes(Gate{same}, time.Second, of("a")) || passes(Gate{same}, time.Second, of("a")) || !passes(Gate{same}, 2*time.Second, of("a")) {
		t.Error("a rule whose figures change does not go on with what it knows")
	}
	other := New(time.Second, by(func(c *Config) { c.Burst, c.Keys = 9, 2*table.MinKeys }), old, false, Alone(1))
	second := New(time.Second, by(func(c *Config) { c.Burst = 9 }), nil, true, Alone(1))
	for _, r := range []*Rule{other, second} {
		if !passes(Gate{r}, time.Second, of("b")) || passes(Gate{r}, time.Second, of("b")) || !passes(Gate{r}, time.Second+100*ms, of("b")) {
			t.Error("a rule whose keys change, or of a second process, begins with a burst")
		}
	}
}

// Keys: what they are of, what has none, what counts as one.
func TestKeys(t *testing.T) {
	parts := func(texts ...string) (list []Part) {
		for _, text := range texts {
			p, ok := ParsePart(text)
			if !ok {
				t.Fatalf("%q is no part", text)
			}
			list = append(list, p)
		}
		return list
	}
	for _, text := range []string{"", "adress", "header", "header:", "query:", "path", "path:0", "path:x", "path:101", "team:a", "address:24"} {
		if _, ok := ParsePart(text); ok {
			t.Errorf("%q is a part", text)
		}
	}
	addr := netip.MustParseAddr
	long := strings.Repeat("x", 16<<10)
	for _, c := range []struct {
		name  string
		key   []Part
		x, y  Ask
		same  bool // they share a key
		name2 string
	}{
		{"an address", parts("address"), Ask{Address: addr("10.1.2.3")}, Ask{Address: addr("10.1.2.4")}, false, "10.1.2.3"},
		{"one that is mapped", parts("address"), Ask{Address: addr("10.1.2.3")}, Ask{Address: addr("::ffff:10.1.2.3")}, true, "10.1.2.3"},
		{"a /64", parts("address"), Ask{Address: addr("2001:db8::1")}, Ask{Address: addr("2001:db8::ffff:0:0:1")}, true, "2001:db8::/64"},
		{"another /64", parts("address"), Ask{Address: addr("2001:db8::1")}, Ask{Address: addr("2001:db8:0:1::1")}, false, "2001:db8::/64"},
		{"a zone", parts("address"), Ask{Address: addr("fe80::1%eth0")}, Ask{Address: addr("fe80::1%eth1")}, true, "fe80::/64"},
		{"a parameter, written otherwise", parts("query:id"), Ask{Query: "x=1&id=a%41"}, Ask{Query: "%69d=aA&id=b"}, true, "aA"},
		{"a segment", parts("path:2"), Ask{Path: "/bins/a%2Fb/c"}, Ask{Path: "/x/a%2fb"}, true, "a/b"},
		{"segments that run together", parts("path:1", "path:2"), Ask{Path: "/ab/c"}, Ask{Path: "/a/bc"}, false, "ab c"},
		{"several", parts("team", "class", "route", "method", "host"), Ask{Team: "t", Class: "c", Route: "r", Method: "GET", Host: "h"}, Ask{Team: "t", Class: "c", Route: "r", Method: "GET", Host: "i"}, false, "t c r GET h"},
		{"long ones", parts("header:X-A"), Ask{Header: http.Header{"X-A": {long + "1"}}}, Ask{Header: http.Header{"X-A": {long + "2"}}}, false, long[:longestName+1]},
		{"what can't be shown", parts("header:X-A"), Ask{Header: http.Header{"X-A": {"a\x00\xffb"}}}, Ask{Header: http.Header{"X-A": {"a\x00\xffb"}}}, true, "a..b"},
	} {
		cfg := by(func(cfg *Config) { cfg.Key, cfg.Rate = c.key, 1.0/86400 })
		g := Gate{New(0, cfg, nil, false, Alone(1))}
		if !passes(g, 0, &c.x) || passes(g, 0, &c.y) == c.same {
			t.Errorf("%s: one key is %v", c.name, !c.same)
		}
		if got := cfg.KeyName(&c.x); got != c.name2 {
			t.Errorf("%s: it is shown as %.200q, want %.200q", c.name, got, c.name2)
		}
	}
	// Who lacks a part is not held against the rule, or shares a key with all that do.
	for _, together := range []bool{false, true} {
		r := New(0, by(func(c *Config) { c.Together = together }), nil, false, Alone(1))
		if !passes(Gate{r}, 0, &Ask{}) || passes(Gate{r}, 0, of("")) == together || r.Counts().Absent != 2 {
			t.Errorf("together %v: %+v", together, r.Counts())
		}
	}
	r := New(0, by(func(c *Config) {
		c.Key, c.Exempt = parts("address"), []netip.Prefix{netip.MustParsePrefix("10.0.0.0/8")}
	}), nil, false, Alone(1))
	for range 3 {
		if !passes(Gate{r}, 0, &Ask{Address: addr("::ffff:10.9.9.9")}) {
			t.Error("one that is exempt is turned away")
		}
	}
}

// A request that one rule turns away is charged by none, and dry runs turn nobody away.
func TestOneOfSeveralRefuses(t *testing.T) {
	first := New(0, by(func(c *Config) { c.Name, c.Burst, c.Open = "first", 1, 2 }), nil, false, Alone(1))
	second := New(0, by(func(c *Config) { c.Name = "second" }), nil, false, Alone(1))
	dry := New(0, by(func(c *Config) { c.Name, c.DryRun, c.Open = "dry", true, 1 }), nil, false, Alone(1))
	g := Gate{dry, first, second}
	for n := range 50 {
		if got := passes(g, 0, of("a")); got != (n == 0) {
			t.Errorf("request %d passes: %v", n, got)
		}
	}
	if !passes(Gate{first}, 0, of("a")) || passes(Gate{first}, 0, of("a")) {
		t.Error("a refusal by the second was charged by the first, or what passed was not")
	}
	if first.OpenNow()+dry.OpenNow() != 0 {
		t.Error("refused requests are open")
	}
	if c := dry.Counts(); c.Dry != 49 || c.Rate+c.Open != 0 {
		t.Errorf("%+v", c)
	}
	// A request that can't wait for as long as a rate wants is refused at once, and not charged.
	slow := New(0, by(func(c *Config) { c.Rate, c.Burst = 1, 5 }), nil, false, Alone(1))
	slow.Delay = 0
	for n, want := range []time.Duration{0, time.Second, 2 * time.Second, -1, -1} {
		p, refusal := Gate{slow}.Enter(0, of("a"), 2500*ms)
		if want < 0 && (refusal.Rule == nil || refusal.After != 3*time.Second) || want >= 0 && (p == nil || p.Wait != want) {
			t.Errorf("request %d: %+v, %+v", n, p, refusal)
		}
	}
}

// Work and bytes that are known only at the end are paid then.
func TestPaidAtTheEnd(t *testing.T) {
	for _, unit := range []Unit{Work, Bytes} {
		g := Gate{New(0, by(func(c *Config) { c.Unit, c.Rate, c.Burst = unit, 2, 1 }), nil, false, Alone(1))}
		p, _ := g.Enter(0, of("a"), 0)
		if p.Costs() != (unit == Work) {
			t.Errorf("%v: it asks for the work: %v", unit, p.Costs())
		}
		p.Leave(time.Second, 5*time.Second, 5)
		if passes(g, 2900*ms, of("a")) || !passes(g, 3*time.Second, of("a")) {
			t.Errorf("%v: what it was is not paid at the rate", unit)
		}
	}
	g := Gate{New(0, by(func(c *Config) { c.Unit, c.Rate, c.Burst = Bytes, 100, 1000 }), nil, false, Alone(1))}
	a := of("a")
	a.Body = 5000 // told ahead: charged at once, and once
	p, _ := g.Enter(0, a, 0)
	if passes(g, 39*time.Second, a) || !passes(g, 40*time.Second, of("a")) {
		t.Error("what was told ahead is not charged ahead")
	}
	p.Leave(40*time.Second, 0, 5000)
	if !passes(g, 40*time.Second, of("a")) {
		t.Error("it is charged twice")
	}
	// What is given back of a request that did not go.
	p, _ = g.Enter(80*time.Second, a, 0)
	p.Cancel(80 * time.Second)
	if !passes(g, 80*time.Second, of("a")) {
		t.Error("a request that did not go has cost something")
	}
}

// Whatever begins and ends in whatever order and way, no key has more open than it may, and nothing
// is open at the end.
func TestOpenRequests(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		most := rapid.IntRange(1, 3).Draw(t, "most")
		r := New(0, by(func(c *Config) { c.Rate, c.Open = 0, most }), nil, false, Alone(1))
		open := map[string][]*Pass{}
		for range rapid.IntRange(0, 100).Draw(t, "events") {
			key := fmt.Sprint(rapid.IntRange(0, 4).Draw(t, "key"))
			if n := len(open[key]); n > 0 && rapid.Bool().Draw(t, "ends") {
				if p := open[key][n-1]; rapid.Bool().Draw(t, "refused elsewhere") {
					p.Cancel(0)
				} else {
					p.Leave(0, 0, 0)
				}
				open[key] = open[key][:n-1]
				continue
			}
			p, refusal := Gate{r}.Enter(0, of(key), 0)
			if (refusal.Rule == nil) != (len(open[key]) < most) {
				t.Fatalf("%d open of %d, and the next is refused: %v", len(open[key]), most, refusal.Rule != nil)
			}
			if refusal.Rule == nil {
				open[key] = append(open[key], p)
			} else if refusal.After != 0 {
				t.Fatalf("it is told to come back after %v, which nobody knows", refusal.After)
			}
		}
		for _, list := range open {
			for _, p := range list {
				p.Leave(0, 0, 0)
			}
		}
		for i := range r.open {
			if len(r.open[i].n) > 0 {
				t.Fatalf("%v is open at the end", r.open[i].n)
			}
		}
	})
}

// The heaviest of those that are turned away are known by name, and hashed unless asked otherwise.
func TestHeaviestAreShown(t *testing.T) {
	r := New(0, by(nil), nil, false, Alone(1))
	rng := rand.New(rand.NewPCG(1, 1))
	for n := range 20000 {
		passes(Gate{r}, Time(n)*100*time.Microsecond, of(fmt.Sprint("new ", rng.Uint64())))
		passes(Gate{r}, Time(n)*100*time.Microsecond, of("heavy"))
	}
	if s := r.Status(2*time.Second, true); len(s.Heavy) == 0 || s.Heavy[0].Name != "heavy" || s.Most != table.MinKeys || s.GaveWay == 0 || s.Keys > s.Most {
		t.Errorf("%+v", s)
	}
	if s := r.Status(2*time.Second, false); strings.Contains(fmt.Sprint(s.Heavy), "heavy") {
		t.Errorf("%+v", s.Heavy)
	}
}

func BenchmarkEnter(b *testing.B) {
	for _, n := range []uint64{1, 1000, 1e6, 1e8} {
		b.Run(fmt.Sprint(n, " keys"), func(b *testing.B) {
			c := by(func(c *Config) { c.Key, c.Rate, c.Burst, c.Keys = []Part{{Kind: Address}}, 10, 5, DefaultKeys })
			c.IPv6 = 128
			g := Gate{New(0, c, nil, false, Alone(1))}
			r := rand.New(rand.NewPCG(1, 1))
			now := Time(0)
			b.ReportAllocs()
			for b.Loop() {
				now += 5 * time.Microsecond
				var raw [16]byte
				raw[0] = 0x20
				for i, v := 8, r.Uint64N(n); i < 16; i, v = i+1, v>>8 {
					raw[i] = byte(v)
				}
				p, _ := g.Enter(now, &Ask{Address: netip.AddrFrom16(raw)}, 0)
				p.Leave(now, 0, 0)
			}
		})
	}
}
