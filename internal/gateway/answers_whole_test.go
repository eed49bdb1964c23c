package gateway

import (
	"fmt"
	"maps"
	"net/http"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"

	"golang.org/x/net/http2"

	"frostshift/internal/config"
	"frostshift/internal/fake"
)

// wholeConfig has a pool of two hosts for each effect, whose answers mean what their headers say.
const wholeConfig = `
name = "edge"
[[listener]]
name = "clients"
address = "127.0.0.1:0"
protocol = "%s"
[[class]]
name = "safe"
effect = "safe"
deadline = "10s"
[[class]]
name = "keyed"
effect = "keyed"
group = "cell"
window = "9s"
deadline = "10s"
[[class]]
name = "unsafe"
effect = "unsafe"
deadline = "10s"
[[answers]]
name = "proved"
unserved = "host"
[[answers.rule]]
status = ["429", "503"]
header = "X-Not-Booked"
equals = "1"
ran = "never"
`

const wholePool = `
[[pool]]
name = "%[1]s"
protocol = "%[2]s"
answers = "proved"
repeat_budget = 3
[[pool.host]]
name = "a"
address = "%[3]s"
group = 1
[[pool.host]]
name = "b"
address = "%[4]s"
group = 1
[[route]]
name = "%[1]s"
prefix = "/%[1]s"
class = "%[1]s"
pool = "%[1]s"
`

const flowingRoute = `
[route.bodies]
requests = "auto"
answers = "stream"
`

// way is what a host does with an attempt.
type way struct {
	status int    // of its answer; 0: there is none
	proof  bool   // X-Not-Booked
	end    string // without an answer: how the attempt ends
}

// refuses says whether a client reads the answer as a word that nothing has run.
func (w way) refuses() bool {
	return w.status == 429 || w.status == 503 || w.status == 421 || w.status == 425
}

// never says whether the answer proves that its own attempt has not run.
func (w way) never() bool { return w.proof || w.status == 421 || w.status == 425 }

var (
	turned = way{status: 503, proof: true}
	ways   = map[string]way{"turned": turned, "limited": {status: 429, proof: true}, "busy": {status: 503}, "many": {status: 429}, "early": {status: 425}, "misdirected": {status: 421},
		"error": {status: 500}, "broken": {end: "broken"}, "silent": {end: "silent"}, "noise": {end: "noise"}, "stopped": {end: "stopped"}}
)

// plannedHosts are two hosts that play a plan: the first attempt of each request ends by its first way, and so on, the
// last of which repeats.
type plannedHosts struct {
	plan []way
	mu   sync.Mutex
	n    map[string]int
	stop func()
}

// next is the number of the attempt, from 1, and what becomes of it.
func (p *plannedHosts) next(id string) (int, way) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.n[id]++
	return p.n[id], p.plan[min(p.n[id], len(p.plan))-1]
}

func (p *plannedHosts) http1(t *testing.T) string {
	return scripted(t, func(r *fake.Request) fake.Act {
		n, w := p.next(r.ID)
		switch {
		case w.status > 0:
			fields := []string{"X-Attempt: " + strconv.Itoa(n)}
			if w.proof {
				fields = append(fields, "X-Not-Booked: 1")
			}
			return fake.Act{Answer: fake.Answer(w.status, "host", fields...)}
		case w.end == "broken":
			return fake.Break()
		case w.end == "noise":
			return fake.Act{Answer: "noise\r\n\r\n", End: fake.Close}
		case w.end == "stopped":
			p.stop()
		}
		return fake.Silent()
	}).Addr()
}

func (p *plannedHosts) http2(t *testing.T) string {
	return h2host(t, nil, nil, func(s *fake.H2Stream) {
		n, w := p.next(s.Field("x-correlation-id"))
		switch {
		case w.status > 0:
			fields := []string{"x-attempt", strconv.Itoa(n)}
			if w.proof {
				fields = append(fields, "x-not-booked", "1")
			}
			s.Conn.Answer(s.ID, strconv.Itoa(w.status), "host", fields...)
		case w.end == "broken":
			s.Conn.Write(func(f *http2.Framer) error { return f.WriteRSTStream(s.ID, http2.ErrCodeInternal) })
		case w.end == "noise":
			s.Conn.Head(s.ID, true, "no-status", "1")
		case w.end == "stopped":
			p.stop()
		}
	}).Addr()
}

// Host answers that deny an effect which another attempt may have had: a booking that ran was charged twice.
func TestRefusalOfOneHostHidesNoAttemptThatMayHaveRun(t *testing.T) {
	plans := [][]string{{"turned"}, {"limited"}}
	for _, name := range slices.Sorted(maps.Keys(ways)) {
		plans = append(plans, []string{name, "turned"}, []string{name, "many"}, []string{name, "early"}, []string{name, "busy"}, []string{"turned", "turned", name, "turned"})
		if !slices.Contains([]string{"turned", "many", "early", "busy"}, name) {
			plans = append(plans, []string{"turned", name})
		}
	}
	for _, client := range []string{"http1", "http2"} {
		for _, host := range []string{"http1", "http2"} {
			for _, names := range plans {
				t.Run(client+"/"+host+"/"+strings.Join(names, " "), func(t *testing.T) {
					t.Parallel()
					for _, bodies := range []string{"", flowingRoute} {
						checkWholeAnswers(t, client, host, bodies, names)
					}
				})
			}
		}
	}
}

// checkWholeAnswers plays a plan for a request of each effect and looks at what the clients get, and at what is counted.
func checkWholeAnswers(t *testing.T, client, host, bodies string, names []string) {
	p := &plannedHosts{n: map[string]int{}}
	for _, name := range names {
		p.plan = append(p.plan, ways[name])
	}
	serve := p.http1
	if host == "http2" {
		serve = p.http2
	}
	text := fmt.Sprintf(wholeConfig, client)
	for _, effect := range []string{"safe", "keyed", "unsafe"} {
		text += fmt.Sprintf(wholePool, effect, host, serve(t), serve(t)) + bodies
	}
	m, _, err := config.Parse(filepath.Join(t.TempDir(), "gw.toml"), []byte(text))
	if err != nil {
		t.Fatal(err)
	}
	g := launch(t, m)
	p.stop = func() { g.endRequests(nil) }
	for _, effect := range []string{"safe", "keyed", "unsafe"} {
		s := &speaker{t: t, g: g, two: client == "http2"}
		a, err := s.try("POST", "/"+effect, "x-correlation-id", effect, "idempotency-key", effect, "x-time-left", "400m")
		if err != nil {
			t.Logf("%s: %v", effect, err) // its time was up before the machine ran the gateway
			continue
		}
		checkWholeAnswer(t, p, effect, a, g)
	}
}

func checkWholeAnswer(t *testing.T, p *plannedHosts, effect string, a answered, g *running) {
	t.Helper()
	own, _ := strconv.Atoi(a.header.Get("X-Attempt")) // the attempt whose answer it is; 0: the gateway's own
	p.mu.Lock()
	attempts := p.n[effect]
	p.mu.Unlock()
	ran := 0
	for n := 1; n <= attempts; n++ {
		if !p.plan[min(n, len(p.plan))-1].never() {
			ran++
		}
	}
	refusal := way{status: a.status}.refuses() || a.header.Get("X-Not-Booked") != ""
	switch {
	case refusal && effect != "safe" && ran > 0:
		t.Errorf("%s: answered %d %v after %d attempts, of which %d may have run", effect, a.status, a.header, attempts, ran)
	case effect == "unsafe" && ran > 1:
		t.Errorf("%s: %d of %d attempts may have run", effect, ran, attempts)
	case attempts > 1 && ran == 0 && own == 0 && p.plan[len(p.plan)-1].status > 0:
		t.Errorf("%s: nothing ran, and the host's refusal does not come through: %d %v", effect, a.status, a.header)
	}
	wanted := p.plan[0]
	proves := effect == "safe" || !wanted.refuses() || wanted.never()
	if attempts == 1 && wanted.status > 0 && proves && (a.status != wanted.status || own != 1) {
		t.Errorf("%s: the only attempt was answered %d, the client has %d %v", effect, wanted.status, a.status, a.header)
	}
	if attempts == 1 && !proves && a.status != http.StatusBadGateway {
		t.Errorf("%s: the only attempt may have run and was answered %d, the client has %d %v", effect, wanted.status, a.status, a.header)
	}
	until(t, "nothing is open", func() bool { return g.exchange.Open() == 0 })
	counts := g.Counts()[effect]
	served, refused, failed := counts.Served.Load(), counts.Refused.Load(), counts.Failed.Load()
	final := a.header.Get("Proxy-Status") == ""
	if want := [3]bool{final, !final && refusal, !final && !refusal}; want != [3]bool{served > 0, refused > 0, failed > 0} {
		t.Errorf("%s: answered %d %v, counted as %d served, %d refused, %d failed", effect, a.status, a.header, served, refused, failed)
	}
	if a.status == http.StatusOK {
		t.Errorf("%s: nobody has served it", effect)
	}
}
