package main

import (
	"fmt"
	"io"
	"math"
	"net"
	"net/http"
	"os"
	"os/exec"
	"strings"
	"sync"
	"testing"
	"time"

	"frostshift/internal/fake"
)

// arrivals notes when requests reach hosts.
type arrivals struct {
	mu sync.Mutex
	at [4][]time.Time // by host
}

func (a *arrivals) host(t *testing.T, n int) string {
	t.Helper()
	h, err := fake.Scripted(func(*fake.Request) fake.Act {
		a.mu.Lock()
		a.at[n] = append(a.at[n], time.Now())
		a.mu.Unlock()
		return fake.Serve("ok")
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(h.Close)
	return h.Addr()
}

// count is how many requests reached a host from an instant on, for a span.
func (a *arrivals) count(host int, from time.Time, span time.Duration) (n int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, at := range a.at[host] {
		if !at.Before(from) && at.Before(from.Add(span)) {
			n++
		}
	}
	return n
}

// keepAsking sends requests to a gateway at an even pace until the end, and stays behind where the machine is slow.
func keepAsking(addr string, every time.Duration, end time.Time, name string) {
	client := &http.Client{Transport: &http.Transport{}}
	defer client.CloseIdleConnections()
	for i := 0; time.Now().Before(end); i++ {
		r, _ := http.NewRequest(http.MethodGet, "http://"+addr+"/lookup", nil)
		r.Header.Set("X-Service-Class", "lookup")
		r.Header.Set("X-Correlation-Id", fmt.Sprintf("%s-%d", name, i))
		if resp, err := client.Do(r); err == nil {
			io.Copy(io.Discard, resp.Body)
			resp.Body.Close()
		}
		time.Sleep(every)
	}
}

// Thirty processes that share nothing, some with several times the mean of the traffic and a burst
// just behind the start of a host, together send it no more than the settings allow, and it is used.
// The bound holds on any machine: a slow one sends less, and where this process stands still, so that
// requests which came apart are noted together, the window is longer by as much.
func TestThirtyProcessesBeforeAColdHost(t *testing.T) {
	const (
		gateways              = 30
		coldFrom, overload    = 0.3, 2.5
		warmAfter, fall       = 9 * time.Second, 1500 * time.Millisecond
		learn, watch          = 2 * time.Second, 3 * time.Second
		busy                  = 5 // gateways with half of the traffic
		every, everyElsewhere = 40 * time.Millisecond, 200 * time.Millisecond
	)
	var seen arrivals
	var hosts, list []string
	for n := range seen.at {
		hosts = append(hosts, seen.host(t, n))
	}
	entry := func(n int, since int64) string {
		return fmt.Sprintf(`{"name":"h%d","address":%q,"zone":"a","type":"m","group":1,"status":"active","weight":1,"since_ms":%d}`, n, hosts[n], since)
	}
	const cold = len(seen.at) - 1
	for n := range cold {
		list = append(list, entry(n, 0))
	}
	d := fake.NewDiscovery()
	t.Cleanup(d.End)
	var addrs []string
	for rank := range gateways {
		ln, err := net.Listen("tcp", "127.0.0.1:0") // the program's own from the start: a port given back may be taken
		if err != nil {
			t.Fatal(err)
		}
		addr := ln.Addr().String()
		socket, err := ln.(*net.TCPListener).File()
		ln.Close()
		if err != nil {
			t.Fatal(err)
		}
		text := fmt.Sprintf(upgraded, strings.Join(list, ","))
		text = strings.Replace(text, `"balancers":1`, fmt.Sprintf(`"balancers":%d,"rank":%d`, gateways, rank), 1)
		cmd, _ := program(t, text, "GW_LISTEN="+addr, "GW_DISCOVERY="+d.Addr(), "GW_INHERITED_FD=5", "TMPDIR="+t.TempDir())
		cmd.ExtraFiles = []*os.File{nil, nil, socket} // descriptors 3, 4 and 5
		err = cmd.Start()
		socket.Close()
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { end(cmd) })
		addrs = append(addrs, addr)
	}
	var watches []*fake.Watch
	for len(watches) < gateways {
		select {
		case w := <-d.Watches:
			watches = append(watches, w)
		case <-time.After(60 * time.Second):
			t.Fatalf("%d of %d processes follow the list", len(watches), gateways)
		}
	}
	play := func(span time.Duration, times int) {
		var all sync.WaitGroup
		until := time.Now().Add(span)
		for i, addr := range addrs {
			pace := everyElsewhere
			if i < busy {
				pace = every
			}
			for n := range times {
				all.Go(func() { keepAsking(addr, pace, until, fmt.Sprintf("%d-%d-%d", i, n, until.UnixNano())) })
			}
		}
		all.Wait()
	}
	began := time.Now()
	play(learn, 2)
	learned := time.Since(began)
	stood := longestStall(t)
	started := time.Now()
	line := fmt.Sprintf(`{"index":2,"snapshot":false,"endpoints":[%s]}`, entry(cold, started.UnixMilli()))
	for _, w := range watches {
		w.Lines <- line
	}
	play(watch, 3) // a burst of half as much again, from now on
	rate := 0.0    // that a warm host has been seen to bear
	for n := range cold {
		rate = max(rate, float64(seen.count(n, began, learned))/learned.Seconds(), float64(seen.count(n, started, watch))/watch.Seconds())
	}
	all := seen.count(cold, started, time.Hour)
	if all == 0 {
		t.Fatal("the host that has started is not used")
	}
	seen.mu.Lock()
	times := append([]time.Time(nil), seen.at[cold]...)
	seen.mu.Unlock()
	window := fall + stood()
	for _, from := range times {
		share := coldFrom + (1-coldFrom)*float64(from.Sub(started))/float64(warmAfter)
		allowed := rate * share * overload * window.Seconds()
		if n := seen.count(cold, from, fall); float64(n) > allowed+2*math.Sqrt(allowed)+2 {
			t.Fatalf("%d requests within %v, %v behind the start; %.0f are allowed", n, fall, from.Sub(started), allowed)
		}
	}
	t.Logf("stood still for %v; a warm host bore %.0f a second; %d requests reached the cold one", window-fall, rate, all)
}

// longestStall measures how long this process stands still at the most, until it is asked.
func longestStall(t *testing.T) func() time.Duration {
	const look = 5 * time.Millisecond
	over, longest := make(chan struct{}), make(chan time.Duration, 1)
	go func() {
		worst := time.Duration(0)
		for {
			before := time.Now()
			select {
			case <-over:
				longest <- worst
				return
			case <-time.After(look):
				worst = max(worst, time.Since(before)-look)
			}
		}
	}()
	stop := sync.OnceFunc(func() { close(over) })
	t.Cleanup(stop)
	return func() time.Duration { stop(); return <-longest }
}

// end kills a process and waits for its end.
func end(cmd *exec.Cmd) {
	cmd.Process.Kill()
	cmd.Wait()
}
