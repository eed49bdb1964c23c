package clustertest

import (
	"context"
	"slices"
	"syscall"
	"testing"
	"time"
)

// Processes know what each other have out at hosts; of one that stands still, was killed or is cut off nothing is
// left at the others, and where nobody hears anybody all goes on as without. No rule is broken.
func TestLoadOfProcesses(t *testing.T) {
	const n = 8
	w := launch(t, Setup{Gateways: n, Hosts: 4, Talk: true, Shape: Shape{Gateways: n, Effect: "safe", Probe: 100 * time.Millisecond, Load: true}})
	all := w.List
	// reporters are those that a process holds something of.
	reporters := func(p *Process) (list []string) {
		s, err := p.Told(t.Context())
		if err != nil {
			t.Fatal(err)
		}
		for _, h := range s.Hosts {
			for _, reporter := range h.Reporters {
				list = append(list, reporter.Name)
			}
		}
		return list
	}
	until := func(what string, over func() (bool, any)) {
		t.Helper()
		for end := time.Now().Add(time.Minute); ; time.Sleep(20 * time.Millisecond) {
			if over, lacks := over(); over {
				return
			} else if time.Now().After(end) {
				for _, p := range all[:6] {
					s, err := p.Fleet(t.Context())
					t.Logf("%s holds of the others %+v (%v)", p.Name, s.Members, err)
				}
				t.Fatalf("%s: not within a minute: %v", what, lacks)
			}
		}
	}
	// known waits until each of a list has been told of attempts by each other one.
	known := func(what string, list []*Process) {
		t.Helper()
		seen := map[[2]string]bool{}
		until(what, func() (bool, any) {
			for _, p := range list {
				for _, name := range reporters(p) {
					if name != p.Name && slices.ContainsFunc(list, func(o *Process) bool { return o.Name == name }) {
						seen[[2]string{p.Name, name}] = true
					}
				}
			}
			return len(seen) == len(list)*(len(list)-1), seen
		})
	}
	// unheard waits until none of a list holds anything of some.
	unheard := func(what string, list, of []*Process) {
		t.Helper()
		until(what, func() (bool, any) {
			return !slices.ContainsFunc(list, func(p *Process) bool {
				return slices.ContainsFunc(reporters(p), func(name string) bool {
					return slices.ContainsFunc(of, func(o *Process) bool { return o != p && o.Name == name })
				})
			}), nil
		})
	}
	ctx, end := context.WithCancel(t.Context())
	defer end()
	done := make(chan Seen, 1)
	load := w.load(80, 60, time.Hour)
	go func() { done <- load.Run(ctx, w.Audit, all[:6]) }()

	known("all hear each other", all[:6])
	w.Mesh.Set(func(int, int) Way { return Way{Loss: 0.1, Twice: 0.1, Jitter: 20 * time.Millisecond} })
	known("over links that lose and double", all[:6])
	w.Mesh.Set(nil)
	all[7].Kill()
	all[6].Signal(syscall.SIGSTOP)
	w.Mesh.Set(func(from, to int) Way { return Way{Cut: (from < 3) != (to < 3)} })
	unheard("a cut", all[:3], all[3:])
	unheard("a cut", all[3:6], all[:3])
	known("one side of a cut", all[:3])
	w.Mesh.Set(func(from, _ int) Way { return Way{Cut: from == 0} }) // one way: it hears, and is not heard
	unheard("one that is not heard", all[1:6], all[:1])
	w.Mesh.Set(func(int, int) Way { return Way{Cut: true} })
	unheard("nobody hears anybody", all[:6], all)
	w.Mesh.Set(nil)
	all[6].Signal(syscall.SIGCONT)
	if err := all[7].Start(); err != nil {
		t.Fatal(err)
	}
	known("all hear each other again", all[:6])
	end()
	w.check(t, <-done)
}
