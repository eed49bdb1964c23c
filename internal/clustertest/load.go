package clustertest

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"frostshift/internal/emulator"
)

// ReadyPath is answered 204 by a process that serves: configurations have a route for it.
const ReadyPath = "/clustertest/ready"

// What the rules allow, beyond what a busy machine may add between a socket and its reader.
const (
	mostAttempts = 4
	drainWithin  = 500 * time.Millisecond
	fallFactor   = 2.5
	fallWindow   = 1500 * time.Millisecond
	usualSlack   = 300 * time.Millisecond
)

// Audit follows requests by id over all clients and hosts and notes what breaks a rule.
type Audit struct {
	// Slack is what the machine may add between a socket and its reader before a time counts as
	// passed.
	Slack  time.Duration
	mu     sync.Mutex
	r      *rand.Rand
	asked  map[string]*asked
	cold   map[*Host][]met
	broken []string
	began  time.Time
	slots  [][]int // arrivals by host and slot
}

// met is work that came to a cold host.
type met struct {
	at   time.Time
	work time.Duration
}

type asked struct {
	unsafe   bool
	deadline time.Time
	answered time.Time
	attempts int // that may have run
	all      int
}

// NewAudit makes an audit of so many hosts.
func NewAudit(hosts int, seed uint64) *Audit {
	return &Audit{Slack: usualSlack, r: rand.New(rand.NewPCG(seed, 7)), asked: map[string]*asked{}, cold: map[*Host][]met{}, began: time.Now(), slots: make([][]int, hosts)}
}

// Begin counts time from now on.
func (a *Audit) Begin() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.began = time.Now()
	for i := range a.slots {
		a.slots[i] = nil
	}
}

func (a *Audit) chance() float64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.r.Float64()
}

// came notes that a host has met a request.
func (a *Audit) came(h *Host, id string, work time.Duration, speed float64, cores int, drains time.Time, full bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := time.Now()
	at := int(now.Sub(a.began) / emulator.EvenSlot)
	for len(a.slots[h.N]) <= at {
		a.slots[h.N] = append(a.slots[h.N], 0)
	}
	a.slots[h.N][at]++
	q := a.asked[id]
	switch {
	case q == nil:
		a.breaks("host %d met request %q, which nobody asked", h.N, id)
		return
	case !q.answered.IsZero() && now.Sub(q.answered) > a.Slack:
		a.breaks("rule 1: host %d met %s %v after its answer", h.N, id, now.Sub(q.answered))
	case now.After(q.deadline.Add(a.Slack)):
		a.breaks("rule 1: host %d met %s %v after its time", h.N, id, now.Sub(q.deadline))
	}
	if q.all++; q.all > mostAttempts {
		a.breaks("rule 2: %s had %d attempts", id, q.all)
	}
	if !full {
		if q.attempts++; q.unsafe && q.attempts > 1 {
			a.breaks("rule 2: %s ran twice", id)
		}
	}
	if !drains.IsZero() && now.Sub(drains) > drainWithin+a.Slack {
		a.breaks("rule 3: host %d met %s %v after it drained", h.N, id, now.Sub(drains))
	}
	if speed < 1 {
		list := append(a.cold[h], met{now, work})
		list = slices.DeleteFunc(list, func(m met) bool { return now.Sub(m.at) > fallWindow })
		a.cold[h] = list
		sum := time.Duration(0)
		for _, m := range list {
			sum += m.work
		}
		if can := fallFactor * speed * float64(cores) * float64(fallWindow); float64(sum) > can {
			a.breaks("rule 4: cold host %d got %v of work in %v, %v makes it fall", h.N, sum, fallWindow, time.Duration(can))
		}
	}
}

const mostBroken = 100

func (a *Audit) breaks(format string, args ...any) {
	if len(a.broken) < mostBroken {
		a.broken = append(a.broken, fmt.Sprintf(format, args...))
	}
}

// Broken are the rules that broke.
func (a *Audit) Broken() []string {
	a.mu.Lock()
	defer a.mu.Unlock()
	return slices.Clone(a.broken)
}

// Even is how arrivals lay on the hosts that fit, from one time to another since the audit began.
func (a *Audit) Even(from, to time.Duration, fit func(i int) bool) emulator.Evenness {
	a.mu.Lock()
	defer a.mu.Unlock()
	return emulator.EvennessOf(a.slots, from, to, fit)
}

// Load is open clients: they come whether or not others have their answers.
type Load struct {
	Seed   uint64
	Rate   float64 // a second, over all
	Length time.Duration
	Skew   float64 // the nth gateway's part is as n to the power of −Skew
	Work   func(*rand.Rand) time.Duration
	Path   string
	Key    func(n int) string // ends the path of the nth request; nil: nothing does
	Unsafe bool
	Within time.Duration // the deadline of the class
	Team   string        // the account that requests name; "": none
}

// Seen is what the clients saw.
type Seen struct {
	Asked, Served, Refused, Failed, Lost int
	Took                                 []time.Duration // of what was served
	Status                               map[int]int     // answers by their status
}

// Quantile is a time that a part of the served requests did not exceed.
func (s *Seen) Quantile(part float64) time.Duration {
	if len(s.Took) == 0 {
		return 0
	}
	list := slices.Sorted(slices.Values(s.Took))
	return list[min(int(part*float64(len(list))), len(list)-1)]
}

// Run plays the load at processes and returns when each request has its answer or none will
// come. A client whose gateway takes no connection goes to another.
func (l *Load) Run(ctx context.Context, audit *Audit, to []*Process) Seen {
	r := rand.New(rand.NewPCG(l.Seed, 11))
	parts, sum := make([]float64, len(to)), 0.0
	for i := range to {
		sum += math.Pow(float64(i+1), -l.Skew)
		parts[i] = sum
	}
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64, IdleConnTimeout: 5 * time.Second, DisableCompression: true,
		DialContext: func(ctx context.Context, _, addr string) (net.Conn, error) { return dial(ctx, addr) }}}
	defer client.CloseIdleConnections()
	seen := Seen{Status: map[int]int{}}
	var mu sync.Mutex
	var all sync.WaitGroup
	began := time.Now()
	for n, at := 0, 0.0; ; n++ {
		at += r.ExpFloat64() / l.Rate
		due := time.Duration(at * float64(time.Second))
		if due > l.Length || ctx.Err() != nil {
			break
		}
		time.Sleep(time.Until(began.Add(due)))
		first, _ := slices.BinarySearch(parts, r.Float64()*sum)
		others, work, id := r.Perm(len(to)), l.Work(r), fmt.Sprintf("q%d-%d", l.Seed, n)
		turns := append([]int{min(first, len(to)-1)}, others...)
		path := l.Path
		if l.Key != nil {
			path += l.Key(n)
		}
		all.Go(func() {
			took, status := l.ask(ctx, client, audit, path, id, work, turns, to)
			mu.Lock()
			defer mu.Unlock()
			seen.Asked++
			seen.Status[status]++
			switch status {
			case http.StatusOK:
				seen.Served++
				seen.Took = append(seen.Took, took)
			case http.StatusServiceUnavailable, http.StatusTooManyRequests:
				seen.Refused++
			case 0:
				seen.Lost++
			default:
				seen.Failed++
			}
		})
	}
	all.Wait()
	return seen
}

// ask sends one request, and again elsewhere where it can't have reached a gateway, or may be
// made again; 0: there is no answer.
func (l *Load) ask(ctx context.Context, client *http.Client, audit *Audit, path, id string, work time.Duration, turns []int, to []*Process) (took time.Duration, status int) {
	began := time.Now()
	for try, n := range turns {
		name := id
		if try > 0 {
			name += "-" + strconv.Itoa(try)
		}
		q := &asked{unsafe: l.Unsafe, deadline: time.Now().Add(l.Within)}
		audit.mu.Lock()
		audit.asked[name] = q
		audit.mu.Unlock()
		ctx, end := context.WithTimeout(context.WithoutCancel(ctx), l.Within+audit.Slack) // the load ends, what is out does not
		r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+to[n].Addr+path, nil)
		if err != nil {
			panic(err) // the address is the kernel's
		}
		if l.Unsafe {
			r.Method = http.MethodPost
		}
		r.Header.Set(idHeader, name)
		if l.Team != "" {
			r.Header.Set("X-Account", l.Team)
		}
		r.Header.Set(workHeader, strconv.FormatInt(work.Microseconds(), 10))
		answer, err := client.Do(r)
		if err == nil {
			_, err = io.Copy(io.Discard, answer.Body)
			answer.Body.Close()
		}
		expired := errors.Is(ctx.Err(), context.DeadlineExceeded) // and not that the load was ended
		end()
		audit.mu.Lock()
		q.answered = time.Now()
		if expired && err != nil {
			audit.breaks("rule 1: %s has no answer %v after its time", name, audit.Slack)
		}
		audit.mu.Unlock()
		if err == nil {
			return time.Since(began), answer.StatusCode
		}
		if expired || l.Unsafe || time.Since(began) > l.Within {
			return 0, 0
		}
		time.Sleep(10 * time.Millisecond)
	}
	return 0, 0
}

// ask is one bare call; its status.
func ask(ctx context.Context, addr, path string) (int, error) {
	c, err := dial(ctx, addr)
	if err != nil {
		return 0, err
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(time.Second))
	if _, err := fmt.Fprintf(c, "GET %s HTTP/1.0\r\n\r\n", path); err != nil {
		return 0, err
	}
	var version string
	var status int
	_, err = fmt.Fscanf(c, "%s %d", &version, &status)
	return status, err
}
