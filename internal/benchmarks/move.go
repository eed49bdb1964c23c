package benchmarks

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"time"

	"gonum.org/v1/gonum/stat"

	"frostshift"
	"frostshift/internal/config"
	"frostshift/internal/emulator"
	"frostshift/internal/fake"
	"frostshift/internal/gateway"
	"frostshift/internal/shift"
)

const (
	moveRuns   = 6 // side by side, each a gateway with hosts of its own
	moveRate   = 150
	moveFails  = 15 * time.Second // since the beginning: from here on the new pool fails more and more
	moveGrowth = 0.02             // of its answers, a second
	moveWork   = 5 * time.Millisecond
	moveLength = time.Minute
	// The traffic is to be back within this time, and the emulator to say when within a fifth.
	moveBack  = 15 * time.Second
	moveError = 0.2
	moveSeeds = 60
)

const moveConfig = `state = %q
[[listener]]
name = "clients"
address = "127.0.0.1:0"
[[class]]
name = "lookup"
effect = "safe"
aim = "500ms"
deadline = "2s"
[[class]]
name = "report"
effect = "keyed"
window = "30s"
aim = "500ms"
deadline = "2s"
[[pool]]
name = "old"
hosts = [%s]
max_attempts = 1
[[pool]]
name = "new"
hosts = [%s]
max_attempts = 1
[[route]]
name = "look"
prefix = "/look"
class = "lookup"
pool = "old"
[[route]]
name = "report"
prefix = "/report"
class = "report"
pool = "old"
[[move]]
name = "m"
routes = ["look", "report"]
from = "old"
to = "new"
steps = [0.5]
least = "10s"
`

// moveRun is one run over loopback.
type moveRun struct {
	back             time.Duration // from the first failures until nothing went to the new pool; 0: never
	asked, unans     int64
	crossed, strayed int64 // keys that ran in both pools, requests that came behind the return
}

// moveHosts are the stand-ins of one run; they note which key ran where.
type moveHosts struct {
	began   time.Time
	undone  atomic.Bool
	strayed atomic.Int64
	mu      sync.Mutex // guards what follows
	ran     map[string]string
	crossed int64
}

func (h *moveHosts) serve(pool string, r *fake.Request) fake.Act {
	if key := r.Header.Get("Idempotency-Key"); key != "" {
		h.mu.Lock()
		if p := h.ran[key]; p != "" && p != pool {
			h.crossed++
		}
		h.ran[key] = pool
		h.mu.Unlock()
	}
	a := fake.Serve("ok")
	if pool == "new" {
		if h.undone.Load() {
			h.strayed.Add(1)
		}
		if late := time.Since(h.began) - moveFails; late > 0 && rand.Float64() < moveGrowth*late.Seconds() {
			a = fake.Error()
		}
	}
	a.After = moveWork
	return a
}

// moveOnce plays the scenario over loopback.
func moveOnce(seed uint64) (res moveRun, err error) {
	dir, err := os.MkdirTemp("", "benchmark-move-")
	if err != nil {
		return res, err
	}
	defer os.RemoveAll(dir)
	hosts := &moveHosts{began: time.Now(), ran: map[string]string{}}
	var lists [2][]string
	for i, pool := range []string{"old", "new"} {
		for range 2 {
			h, err := fake.Scripted(func(r *fake.Request) fake.Act { return hosts.serve(pool, r) })
			if err != nil {
				return res, err
			}
			defer h.Close()
			lists[i] = append(lists[i], h.Addr())
		}
	}
	m, _, err := config.Parse(filepath.Join(dir, "gw.toml"), fmt.Appendf(nil, moveConfig, dir, quoted(lists[0]), quoted(lists[1])))
	if err != nil {
		return res, err
	}
	g, err := gateway.New(m, slog.New(slog.DiscardHandler), gateway.Options{Linger: func() {}})
	if err != nil {
		return res, err
	}
	ctx, end := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- g.Run(ctx) }()
	defer func() { end(); <-ended }()
	client := &http.Client{Timeout: 10 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 256}}
	defer client.CloseIdleConnections()
	base := "http://" + g.Addr("clients").String()
	r := rand.New(rand.NewPCG(seed, 1))
	var asked, unanswered atomic.Int64
	var all sync.WaitGroup
	ask := func(method, target, key string) {
		all.Go(func() {
			q, err := http.NewRequest(method, base+target, nil)
			if err != nil {
				panic(err) // the address is ours
			}
			if key != "" {
				q.Header.Set("Idempotency-Key", key)
			}
			asked.Add(1)
			a, err := client.Do(q)
			if err != nil {
				unanswered.Add(1)
				return
			}
			io.Copy(io.Discard, a.Body)
			a.Body.Close()
		})
	}
	next := hosts.began
	for n := 0; time.Since(hosts.began) < moveLength; n++ {
		next = next.Add(time.Duration(r.ExpFloat64() / moveRate * float64(time.Second)))
		time.Sleep(time.Until(next))
		switch {
		case n%5 > 0:
			ask("GET", "/look/x", "")
		case n%10 == 0 && n >= 105: // the key of a report once more, at its first try's share or a later one
			ask("POST", "/report/x", fmt.Sprint("k", n-105))
		default:
			ask("POST", "/report/x", fmt.Sprint("k", n))
		}
		if res.back == 0 && g.Moves().Status()[0].State == "undone" {
			res.back = time.Since(hosts.began) - moveFails
			time.AfterFunc(time.Second, func() { hosts.undone.Store(true) }) // what was sent before has come by then
		}
		if res.back > 0 && time.Since(hosts.began) > moveFails+res.back+5*time.Second {
			break
		}
	}
	all.Wait()
	res.asked, res.unans, res.crossed, res.strayed = asked.Load(), unanswered.Load(), hosts.crossed, hosts.strayed.Load()
	return res, nil
}

// moveForecast is what the emulator says of the same scenario.
func moveForecast() (backs []float64, err error) {
	p := &shift.Plan{Name: "m", From: "old", To: "new", Steps: []float64{0.5}, Least: 10 * time.Second, Longest: time.Hour, Tolerate: shift.DefaultTolerate, Margin: shift.DefaultMargin,
		Error: shift.DefaultError, Worst: shift.DefaultWorst, Keep: shift.DefaultKeep, Window: 32 * time.Second}
	like := emulator.Host{Cores: 1000, Speed: 1, Reuse: true, Keep: 1000}
	lookup := frostshift.Class{Aim: 500 * time.Millisecond, Deadline: 2 * time.Second}
	report := lookup
	report.Effect, report.Window = frostshift.Keyed, 30*time.Second
	for seed := range uint64(moveSeeds) {
		r := rand.New(rand.NewPCG(seed, 2))
		w, err := emulator.New(emulator.Spec{Seed: seed, Gateways: 1, Pools: []emulator.PoolSpec{{Name: "old", Hosts: emulator.Fleet(like, 2, 1, 1, r)}, {Name: "new", Hosts: emulator.Fleet(like, 2, 1, 1, r)}},
			Classes: []emulator.Class{{Name: "lookup", Part: 0.8, Class: lookup}, {Name: "report", Part: 0.2, Class: report}},
			Length:  moveLength, Rate: moveRate, Cost: emulator.Cost{Kind: "fixed", Mean: moveWork}, Move: p, MaxAttempts: 1, Near: 200 * time.Microsecond,
			Troubles: []emulator.Trouble{{Pool: "new", From: moveFails, Growth: moveGrowth}}})
		if err != nil {
			return nil, err
		}
		w.Play(moveLength, nil)
		for _, d := range w.Decisions(0) {
			if d.To == shift.Undone {
				backs = append(backs, (d.At - moveFails).Seconds())
			}
		}
	}
	return backs, nil
}

// runMove moves traffic between stand-ins over loopback, makes the new ones fail slowly, and
// holds the time of the return against the emulator's forecast.
func runMove(out io.Writer) (string, bool, error) {
	forecast, err := moveForecast()
	if err != nil {
		return "", false, err
	}
	runs := make([]moveRun, moveRuns)
	errs := make([]error, moveRuns)
	var all sync.WaitGroup
	for i := range runs {
		all.Go(func() { runs[i], errs[i] = moveOnce(uint64(i)) })
	}
	all.Wait()
	fmt.Fprintf(out, "%d requests a second, half of them moved; from %v on the new pool fails %.0f%% more a second\n", moveRate, moveFails, 100*moveGrowth)
	fmt.Fprintf(out, "%-6s %10s %8s %12s %16s %16s\n", "run", "back in", "asked", "no answer", "keys in both", "after return")
	ok := len(forecast) == moveSeeds
	var backs []float64
	for i, r := range runs {
		if errs[i] != nil {
			return "", false, errs[i]
		}
		fmt.Fprintf(out, "%-6d %10v %8d %12d %16d %16d\n", i+1, r.back.Round(100*time.Millisecond), r.asked, r.unans, r.crossed, r.strayed)
		ok = ok && r.back > 0 && r.back <= moveBack && r.unans == 0 && r.crossed == 0 && r.strayed == 0
		backs = append(backs, r.back.Seconds())
	}
	seen, spread := stat.MeanStdDev(backs, nil)
	said, spreadSaid := stat.MeanStdDev(forecast, nil)
	off := said/seen - 1
	ok = ok && off <= moveError && off >= -moveError
	fmt.Fprintf(out, "over loopback %.1f s (spread %.1f), by the emulator %.1f s (spread %.1f over %d seeds)\n", seen, spread, said, spreadSaid, len(forecast))
	return fmt.Sprintf("back within %v in all runs, no key in two pools, nothing after the return; the emulator is off by %+.0f%%, at most %.0f%%", moveBack, 100*off, 100*moveError), ok, nil
}
