package benchmarks

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"frostshift/internal/config"
	"frostshift/internal/fake"
	"frostshift/internal/gateway"
)

const (
	answersHosts   = 10
	answersClients = 60
	answersPause   = 40 * time.Millisecond // between an answer and the next request, on average
	answersWork    = 3 * time.Millisecond
	answersLength  = 10 * time.Second
	answersBudget  = 0.2 // repeats as a share of requests, beside one a second
)

// answersForm is the configuration; what answers mean and how many repeats there may be is
// what is compared.
const answersForm = `
[[listener]]
name = "clients"
address = "127.0.0.1:0"
[[class]]
name = "rest"
effect = "method"
aim = "200ms"
deadline = "1s"
[[pool]]
name = "p"
hosts = [%s]
answers = "%s"
repeat_budget = %v
[[route]]
name = "all"
prefix = "/"
class = "rest"
pool = "p"
`

// trouble is what ails the service; its act answers a request, and wanted is the answer that
// the service as a whole owes it.
type trouble struct {
	name   string
	target func() string
	act    func(host int, target string, since time.Duration) int
	wanted func(target string) int
	// during says whether a request counts for what is served.
	during func(since time.Duration) bool
}

func answersTroubles() []trouble {
	plain := func() string { return "/good/" + strconv.Itoa(rand.IntN(1000)) }
	ok := func(string) int { return 200 }
	always := func(time.Duration) bool { return true }
	some := func(share float64, name string) func() string {
		return func() string {
			if rand.Float64() < share {
				return "/" + name + "/" + strconv.Itoa(rand.IntN(1000))
			}
			return plain()
		}
	}
	byName := func(name string, status int) func(string) int {
		return func(target string) int {
			if strings.HasPrefix(target, "/"+name) {
				return status
			}
			return 200
		}
	}
	down := func(since time.Duration) bool { return since > 2*time.Second && since < 7*time.Second }
	return []trouble{
		{"1% poison", some(0.01, "poison"), func(_ int, target string, _ time.Duration) int { return byName("poison", 500)(target) }, byName("poison", 500), always},
		{"30% of 404", some(0.3, "none"), func(_ int, target string, _ time.Duration) int { return byName("none", 404)(target) }, byName("none", 404), always},
		{"one fails fast", plain, func(host int, _ string, _ time.Duration) int {
			if host == 0 {
				return 500
			}
			return 200
		}, ok, always},
		{"all 503 for 5 s", plain, func(_ int, _ string, since time.Duration) int {
			if down(since) {
				return 503
			}
			return 200
		}, ok, func(since time.Duration) bool { return since < 2*time.Second || since > 7500*time.Millisecond }},
	}
}

// answersRun is what one run gave.
type answersRun struct {
	requests, right, counted int64
	attempts                 int64
	first                    int64 // attempts at the host that ails, if one does
	ejected                  int64
}

// ejections counts what a gateway logs of hosts that it ejects.
type ejections struct{ n atomic.Int64 }

var heldBack = regexp.MustCompile(`\((\d+) more such`)

func (e *ejections) Write(b []byte) (int, error) {
	if strings.Contains(string(b), "ejected: errors") {
		e.n.Add(1)
		if m := heldBack.FindSubmatch(b); m != nil {
			more, _ := strconv.ParseInt(string(m[1]), 10, 64)
			e.n.Add(more)
		}
	}
	return len(b), nil
}

func runTrouble(tr *trouble, answers string, budget float64) (out answersRun, err error) {
	start := time.Now()
	var hosts []*fake.Host
	var addresses []string
	for i := range answersHosts {
		h, err := fake.Scripted(func(r *fake.Request) fake.Act {
			status := tr.act(i, r.Target, time.Since(start))
			a := fake.Act{Answer: fake.Answer(status, "x")}
			if status < 500 {
				a.After = answersWork/2 + time.Duration(rand.ExpFloat64()*float64(answersWork)/2)
			}
			return a
		})
		if err != nil {
			return out, err
		}
		defer h.Close()
		hosts = append(hosts, h.Forgetful())
		addresses = append(addresses, h.Addr())
	}
	m, _, err := config.Parse("answers.toml", fmt.Appendf(nil, answersForm, quoted(addresses), answers, budget))
	if err != nil {
		return out, err
	}
	var ejected ejections
	g, err := gateway.New(m, slog.New(slog.NewTextHandler(&ejected, nil)), gateway.Options{Linger: func() {}})
	if err != nil {
		return out, err
	}
	ctx, end := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- g.Run(ctx) }()
	addr := g.Addr("clients").String()
	var requests, right, counted atomic.Int64
	load, done := context.WithTimeout(ctx, answersLength)
	defer done()
	var all sync.WaitGroup
	for range answersClients {
		all.Go(func() {
			tr2 := &http.Transport{MaxIdleConnsPerHost: 1, DisableCompression: true}
			defer tr2.CloseIdleConnections()
			for load.Err() == nil {
				target := tr.target()
				since := time.Since(start)
				r, _ := http.NewRequest(http.MethodGet, "http://"+addr+target, nil)
				resp, err := tr2.RoundTrip(r)
				status := 0
				if err == nil {
					io.Copy(io.Discard, resp.Body)
					resp.Body.Close()
					status = resp.StatusCode
				}
				requests.Add(1)
				if tr.during(since) {
					counted.Add(1)
					if status == tr.wanted(target) {
						right.Add(1)
					}
				}
				select {
				case <-time.After(time.Duration(rand.ExpFloat64() * float64(answersPause))):
				case <-load.Done():
				}
			}
		})
	}
	all.Wait()
	out = answersRun{requests: requests.Load(), right: right.Load(), counted: counted.Load(), ejected: ejected.n.Load(), first: int64(hosts[0].Total())}
	for _, h := range hosts {
		out.attempts += int64(h.Total())
	}
	end()
	return out, <-ended
}

// runAnswers plays the troubles with answers taken as the platform's protocol has them (any
// status but 200 is an error), which is what all services got before, and with what they
// mean for ordinary ones.
func runAnswers(out io.Writer) (string, bool, error) {
	fmt.Fprintf(out, "%d hosts, %d clients, %v each\n", answersHosts, answersClients, answersLength)
	fmt.Fprintf(out, "%-16s %-9s %9s %8s %10s %9s %11s\n", "trouble", "answers", "requests", "right", "attempts", "ejected", "first host")
	var short []string
	for _, tr := range answersTroubles() {
		for _, way := range []struct {
			name   string
			budget float64
		}{{"platform", 3}, {"plain", answersBudget}} {
			r, err := runTrouble(&tr, way.name, way.budget)
			if err != nil {
				return "", false, err
			}
			rightly, each := float64(r.right)/float64(r.counted), float64(r.attempts)/float64(r.requests)
			share := float64(r.first) / float64(r.attempts)
			fmt.Fprintf(out, "%-16s %-9s %9d %7.2f%% %10.3f %9d %10.2f%%\n", tr.name, way.name, r.requests, 100*rightly, each, r.ejected, 100*share)
			if way.name != "plain" {
				continue
			}
			allowed := 1 + answersBudget + (10+answersLength.Seconds())/float64(r.requests)
			switch {
			case each > allowed, rightly < 0.99, tr.name == "one fails fast" && share > 0.05,
				(tr.name == "1% poison" || tr.name == "30% of 404") && r.ejected > 0:
				short = append(short, tr.name)
			}
		}
	}
	if len(short) > 0 {
		return "missed with " + strings.Join(short, ", "), false, nil
	}
	return "right answers 0.99 or more, repeats within budget, nobody ejected for poison or 404, under 5% to the host that fails", true, nil
}
