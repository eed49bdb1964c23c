//go:build review

// Command case1 plays an upgrade of a gateway whose longest deadline is a second.
package main

import (
	"fmt"
	"math/rand/v2"
	"os"
	"sync"
	"syscall"
	"time"

	"frostshift/review/stand"
)

const (
	hosts   = 14
	clients = 120                    // each with one kept connection
	work    = 800 * time.Millisecond // of a request
	longest = time.Second            // deadline of all classes
	// killAfter is when SIGKILL comes behind SIGTERM: the longest deadline and 0.7 s, and no sooner.
	killAfter = longest + 700*time.Millisecond + 60*time.Millisecond
	warm      = 6 * time.Second
)

func main() { os.Exit(run()) }

func run() int {
	rec, err := stand.NewRecord("review/1/record.txt")
	if err != nil {
		fmt.Println(err)
		return stand.Failed
	}
	defer rec.Close()
	stand.Guard(rec, 100*time.Second)
	d := &day{rec: rec, ran: map[string][]time.Time{}, over: make(chan struct{})}
	code, err := d.play(os.Getenv("TROUBLE") != "0")
	if err != nil {
		rec.Say("the case could not run: %v", err)
		return stand.Failed
	}
	return code
}

// day is what one run holds.
type day struct {
	rec  *stand.Record
	list []stand.Entry
	over chan struct{}

	mu    sync.Mutex
	ran   map[string][]time.Time // when a host had the whole request, by id
	tries []stand.Call           // that ended without a whole answer
	calls int
}

func (d *day) serve(a *stand.Attempt) bool {
	d.mu.Lock()
	d.ran[a.ID] = append(d.ran[a.ID], a.Whole)
	d.mu.Unlock()
	time.Sleep(work)
	a.Answer(200, "served "+a.ID)
	return true
}

// client sends a request now and then on a connection that it keeps. A request whose connection ends
// without an answer goes out once more on a new one, as the gateway may not have read it.
func (d *day) client(addr string, n int) {
	c := stand.NewClient(d.rec, addr)
	defer c.Close()
	for ; ; n++ {
		select {
		case <-d.over:
			return
		case <-time.After(time.Second + rand.N(3500*time.Millisecond)):
		}
		call := &stand.Call{Class: "lookup", ID: stand.NewID(), Safe: true, Left: longest}
		if n%2 == 0 {
			call = &stand.Call{Class: "uplift-book", ID: stand.NewID(), Left: longest}
		}
		c.Fresh()
		c.Do(call)
		d.note(call)
		if call.Err != nil && call.Ended.Sub(call.Sent) < call.Left {
			call.Left -= call.Ended.Sub(call.Sent)
			c.Do(call)
			d.note(call)
		}
	}
}

func (d *day) note(call *stand.Call) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.calls++
	if call.Err != nil {
		d.tries = append(d.tries, *call)
	}
}

// settings are those of a small deployment with short deadlines.
func settings() map[string]any {
	s := stand.Settings("automatic")
	for _, c := range s["classes"].([]any) {
		c := c.(map[string]any)
		c["promise"], c["hard_limit"] = float64(longest.Microseconds()), float64(longest.Microseconds())
	}
	return s
}

func (d *day) start(g *stand.Gateway) error {
	for i := range hosts {
		h, err := stand.NewHost(d.rec, fmt.Sprintf("s-%d", i), 1, d.serve)
		if err != nil {
			return err
		}
		d.list = append(d.list, stand.Entry{Name: h.Name, Address: h.Addr(), Zone: "hall-a", Type: "mid-1c", Group: 1, Status: "active", Weight: 1})
	}
	disc, err := stand.NewDiscovery(d.rec, "agent", 41, d.list)
	if err != nil {
		return err
	}
	if g.Management, err = stand.FreePort(); err != nil {
		return err
	}
	if err := g.Hold(); err != nil {
		return err
	}
	g.Discovery, g.Settings = disc.Addr(), settings()
	g.Known = stand.List{Index: 41, Snapshot: true, Endpoints: d.list}
	if err := g.Configure(); err != nil {
		return err
	}
	if err := g.Start(); err != nil {
		return err
	}
	return g.Ready(10 * time.Second)
}

func (d *day) play(trouble bool) (int, error) {
	g, err := stand.NewGateway(d.rec, "n0")
	if err != nil {
		return 0, err
	}
	defer g.Stop()
	if err := d.start(g); err != nil {
		return 0, err
	}
	var all sync.WaitGroup
	for n := range clients {
		all.Go(func() { d.client(g.Listen, n) })
	}
	time.Sleep(warm)
	if trouble {
		next, err := d.upgrade(g)
		if next != nil {
			defer next.Stop()
		}
		if err != nil {
			close(d.over)
			return 0, err
		}
	}
	time.Sleep(4 * time.Second)
	close(d.over)
	all.Wait()
	return d.judge(), nil
}

// upgrade starts a second process, and ends the first as the platform does.
func (d *day) upgrade(g *stand.Gateway) (*stand.Gateway, error) {
	next, err := g.Beside()
	if err != nil {
		return nil, err
	}
	if err := next.Yes(6 * time.Second); err != nil {
		return next, err
	}
	d.rec.Say("the new process says yes")
	if err := g.Signal(syscall.SIGTERM); err != nil {
		return next, err
	}
	select {
	case <-g.Over():
		d.rec.Say("the old process has ended ahead of the kill")
	case <-time.After(killAfter):
		if err := g.Signal(syscall.SIGKILL); err != nil {
			return next, err
		}
	}
	return next, nil
}

// judge looks for requests that a host had, whose connection then ended with no whole answer.
func (d *day) judge() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	lost, twice, crossed := 0, 0, 0
	for _, t := range d.tries {
		had := false
		for _, at := range d.ran[t.ID] {
			had = had || at.Before(t.Ended)
		}
		if !had {
			crossed++
			continue
		}
		lost++
		d.rec.Say("LOST: %s %s, sent at %.3f, had been taken and run, and its connection ended at %.3f: %v", t.Class, t.ID, d.rec.At(t.Sent), d.rec.At(t.Ended), t.Err)
		if len(d.ran[t.ID]) > 1 && t.Class == "uplift-book" {
			twice++
		}
	}
	d.rec.Say("%d tries, %d without an answer: %d lost, %d that no host had; %d unsafe ones of the lost ran twice", d.calls, len(d.tries), lost, crossed, twice)
	if lost > 0 {
		d.rec.Say("BROKEN: requests that were taken were never answered")
		return stand.Broken
	}
	d.rec.Say("held")
	return stand.Held
}
