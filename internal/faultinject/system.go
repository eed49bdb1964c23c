package faultinject

import (
	"net/netip"
	"os/exec"
	"sync"
	"syscall"

	"frostshift/internal/sysfault"
)

// Side says whose connections a call is about.
type Side int

// Sides.
const (
	AnySide    Side = iota
	HostSide        // connections to hosts
	ClientSide      // connections of clients and operators
)

// CallFault is a system call of which one in so many fails, or is short.
type CallFault struct {
	Name     string
	Call     int // unix.SYS_...
	Side     Side
	Each     int                // of the calls that match, one in so many
	Outcomes []sysfault.Outcome // of these, one after the other
}

// callFaults are faults of the system calls of one process.
type callFaults struct {
	faults     []CallFault
	seed       uint64
	supervisor *sysfault.Supervisor
	hosts      map[netip.AddrPort]bool

	mu      sync.Mutex
	seen    []int // calls that match, by fault
	changed []int // of them, those that failed or were short
}

// attach has calls of a process fail that is about to start.
func (f *callFaults) attach(g *gateway) error {
	f.seen, f.changed = make([]int, len(f.faults)), make([]int, len(f.faults))
	f.hosts = map[netip.AddrPort]bool{}
	for _, h := range g.hosts {
		f.hosts[netip.MustParseAddrPort(h.Addr())] = true
	}
	var numbers []int
	for _, fault := range f.faults {
		numbers = append(numbers, fault.Call)
	}
	g.Supervise = func(cmd *exec.Cmd) (started func() error, err error) {
		if f.supervisor, err = sysfault.Prepare(cmd, f.decide, numbers...); err != nil {
			return nil, err
		}
		return func() error { return f.supervisor.Follow(cmd) }, nil
	}
	return nil
}

// close comes behind the end of the process, and says how many calls of each fault failed or were short.
func (f *callFaults) close() (changed []int, err error) {
	if f.supervisor != nil {
		err = f.supervisor.Close()
	}
	return f.changed, err
}

// decide changes a call when it is the turn of one of its faults.
func (f *callFaults) decide(call *sysfault.Call) sysfault.Outcome {
	for i, fault := range f.faults {
		if fault.Call != call.Number || !f.isOf(fault.Side, call) {
			continue
		}
		if changed, ok := f.turn(i); ok {
			return fault.Outcomes[changed%len(fault.Outcomes)]
		}
	}
	return sysfault.Outcome{}
}

// turn says whether it is the turn of a fault whose call has come, and how often it was before.
func (f *callFaults) turn(i int) (before int, ok bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.seen[i]++
	each := uint64(f.faults[i].Each)
	if uint64(f.seen[i])%each != f.seed%each {
		return 0, false
	}
	f.changed[i]++
	return f.changed[i] - 1, true
}

// isOf says whether a call is about a connection of a side.
func (f *callFaults) isOf(side Side, call *sysfault.Call) bool {
	if side == AnySide {
		return true
	}
	far := farEnd(call)
	return far.IsValid() && f.hosts[far] == (side == HostSide)
}

// farEnd is the far end of the connection that a call is about.
func farEnd(call *sysfault.Call) netip.AddrPort {
	if call.Number == syscall.SYS_CONNECT {
		return call.Target()
	}
	return call.Peer()
}
