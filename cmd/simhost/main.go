// Command simhost hosts many balancers for the simulator: it reads batches of
// events on standard input and answers each with the balancers' actions on
// standard output. Nothing else is written there.
package main

import (
	"fmt"
	"io"
	"os"
	"runtime/debug"

	"frostshift"
	"frostshift/internal/wire"
)

func main() {
	debug.SetGCPercent(800) // a small heap: collect seldom
	if err := run(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintf(os.Stderr, "simhost: %v\n", err)
		os.Exit(1)
	}
}

// run serves batches until the input ends.
func run(in io.Reader, out io.Writer) error {
	h := host{balancers: map[uint32]*frostshift.Balancer{}, out: wire.NewWriter(out)}
	r := wire.NewReader(in)
	for n := 1; ; n++ {
		now, err := r.Batch()
		if err == io.EOF {
			return nil
		}
		for more := err == nil; more; {
			var e wire.Event
			if more, err = r.Next(&e); more {
				h.handle(now, &e)
			}
		}
		if err != nil {
			return fmt.Errorf("batch %d: %w", n, err)
		}
		if err := h.out.Flush(); err != nil {
			return fmt.Errorf("batch %d: reply: %w", n, err)
		}
	}
}

// host holds the balancers by instance number. They share nothing.
type host struct {
	balancers map[uint32]*frostshift.Balancer
	out       *wire.Writer
	acts      []frostshift.Action
}

// handle gives one event to its balancer and collects the actions. An instance
// that cannot go on is reported and then left alone.
func (h *host) handle(now frostshift.Time, e *wire.Event) {
	defer func() {
		if p := recover(); p != nil {
			delete(h.balancers, e.Instance)
			h.out.Crash(e.Instance, fmt.Sprintf("%v\n%s", p, debug.Stack()))
		}
	}()
	if e.Code == wire.Hello {
		h.start(now, e)
	}
	b := h.balancers[e.Instance]
	if b == nil {
		return
	}
	switch e.Code {
	case wire.PeersKnown:
		b.Hosts(now, e.List, e.Hosts)
	case wire.Req:
		b.Request(now, e.Request)
	case wire.Flowing:
		b.StreamStarted(now, e.Request.ID, e.Attempt)
	case wire.AttemptEnd:
		b.Outcome(now, e.Outcome)
	case wire.Withdrawn:
		b.ClientGone(now, e.Request.ID)
	case wire.Ring:
		b.Timer(now, e.Token)
	case wire.Halt:
		delete(h.balancers, e.Instance)
		return
	}
	h.acts = b.Drain(h.acts[:0])
	for i := range h.acts {
		h.out.Action(e.Instance, &h.acts[i])
	}
}

func (h *host) start(now frostshift.Time, e *wire.Event) {
	delete(h.balancers, e.Instance)
	set, err := wire.ParseSettings(e.Settings)
	if err != nil {
		h.out.Crash(e.Instance, err.Error())
		return
	}
	b, err := frostshift.New(set, e.Seed)
	if err != nil {
		h.out.Crash(e.Instance, err.Error())
		return
	}
	b.Start(now)
	h.balancers[e.Instance] = b
}
