// Command simhost runs many balancers for the simulator: it reads batches of
// events on standard input and answers each with the balancers' actions on
// standard output. Nothing else is written to standard output. A malformed
// batch ends the program with an error on standard error and exit code 1.
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
	debug.SetGCPercent(800) // the heap is small, so collect less often
	if err := run(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintf(os.Stderr, "simhost: %v\n", err)
		os.Exit(1)
	}
}

// run serves batches until the input ends. It returns an error for a malformed batch or when the
// reply cannot be written.
func run(in io.Reader, out io.Writer) error {
	s := balancerSet{balancers: map[uint32]*frostshift.Balancer{}, out: wire.NewWriter(out)}
	r := wire.NewReader(in)
	for n := 1; ; n++ {
		now, err := r.Batch()
		if err == io.EOF {
			return nil
		}
		for more := err == nil; more; {
			var e wire.Event
			if more, err = r.Next(&e); more {
				s.handle(now, &e)
			}
		}
		if err != nil {
			return fmt.Errorf("batch %d: %w", n, err)
		}
		if err := s.out.Flush(); err != nil {
			return fmt.Errorf("batch %d: reply: %w", n, err)
		}
	}
}

// balancerSet contains the balancers by instance number. They share no state.
type balancerSet struct {
	balancers map[uint32]*frostshift.Balancer
	out       *wire.Writer
	actions   []frostshift.Action // reused for every event
}

// handle passes one event to its balancer and adds the resulting actions to the
// reply. A balancer that panics is reported as crashed and removed; events for
// an instance that is not running are ignored.
func (s *balancerSet) handle(now frostshift.Time, e *wire.Event) {
	defer func() {
		if p := recover(); p != nil {
			delete(s.balancers, e.Instance)
			s.out.Crash(e.Instance, fmt.Sprintf("%v\n%s", p, debug.Stack()))
		}
	}()
	if e.Code == wire.Hello {
		s.start(now, e)
	}
	b := s.balancers[e.Instance]
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
	case wire.TimerFired:
		b.Timer(now, e.Token)
	case wire.Halt:
		delete(s.balancers, e.Instance)
		return
	}
	s.actions = b.Drain(s.actions[:0])
	for i := range s.actions {
		s.out.Action(e.Instance, &s.actions[i])
	}
}

// start creates the balancer of a Hello, in place of one that runs under the same number. Invalid
// settings are reported as a crash of the instance.
func (s *balancerSet) start(now frostshift.Time, e *wire.Event) {
	delete(s.balancers, e.Instance)
	set, err := wire.ParseSettings(e.Settings)
	if err != nil {
		s.out.Crash(e.Instance, err.Error())
		return
	}
	b, err := frostshift.New(set, e.Seed)
	if err != nil {
		s.out.Crash(e.Instance, err.Error())
		return
	}
	b.Start(now)
	s.balancers[e.Instance] = b
}
