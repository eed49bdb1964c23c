package clustertest

import (
	"bufio"
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

// TestMain is also a parent that starts a fleet and is killed, where a test asks for one.
func TestMain(m *testing.M) {
	if dir := os.Getenv("PROVING_TEST_PARENT"); dir != "" {
		orphans(dir)
		return
	}
	status := m.Run()
	if builtIn != "" {
		os.RemoveAll(builtIn)
	}
	os.Exit(status)
}

var builtIn string // the folder of built

// orphans starts processes, says their ids, and waits to be killed.
func orphans(dir string) {
	f := NewFleet(dir+"/stilespool", dir)
	for n := range 3 {
		p, err := f.Add(fmt.Sprint("g", n))
		if err == nil {
			err = p.Configure((&Shape{Gateways: 3, Hosts: []string{"127.0.0.1:1"}, Effect: "safe", Aim: time.Second, Deadline: time.Second}).Text(p, n))
		}
		if err == nil {
			err = StartAll(context.Background(), []*Process{p})
		}
		if err != nil {
			fmt.Println("error", err)
			return
		}
		fmt.Println(p.cmd.Process.Pid)
	}
	select {}
}

// built is the program, built once for all tests.
var built = sync.OnceValues(func() (string, error) {
	dir, err := os.MkdirTemp("", "clustertest")
	if err != nil {
		return "", err
	}
	builtIn = dir
	_, err = Build(context.Background(), dir)
	return dir, err
})

func program(t *testing.T) string {
	t.Helper()
	dir, err := built()
	if err != nil {
		t.Fatal(err)
	}
	return dir
}

// Children end with their parent, also where it has no time to end them.
func TestChildrenEndWithTheirParent(t *testing.T) {
	self, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	parent := exec.Command(self)
	parent.Env = append(os.Environ(), "PROVING_TEST_PARENT="+program(t))
	out, err := parent.StdoutPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := parent.Start(); err != nil {
		t.Fatal(err)
	}
	defer parent.Wait()
	defer parent.Process.Kill()
	in := bufio.NewScanner(out)
	var children []int
	for len(children) < 3 && in.Scan() {
		id, err := strconv.Atoi(in.Text())
		if err != nil {
			t.Fatal(in.Text())
		}
		children = append(children, id)
	}
	if len(children) < 3 {
		t.Fatal("the parent started no children")
	}
	parent.Process.Kill()
	end := time.Now().Add(time.Minute)
	for _, id := range children {
		for alive(id) {
			if time.Now().After(end) {
				t.Fatalf("child %d lives on", id)
			}
			time.Sleep(5 * time.Millisecond)
		}
	}
}

// alive says whether a process runs; one that has ended and is not reaped does not.
func alive(id int) bool {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", id))
	return err == nil && !strings.Contains(string(text), ") Z ")
}

// world is a World of a test.
type world struct{ *World }

// launch starts one; a busy machine may add to times what it likes: that an order of events holds is
// tested, not how soon.
func launch(t *testing.T, s Setup) *world {
	t.Helper()
	s.Program, s.Dir, s.Seed = program(t)+"/stilespool", t.TempDir(), 17
	s.Shape.Aim, s.Shape.Deadline = time.Second, 4*time.Second
	s.Nature = func(int) Nature { return Nature{Cores: 2, Queue: 100} }
	ctx, end := context.WithTimeout(t.Context(), time.Minute)
	defer end()
	w, err := NewWorld(ctx, s)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(w.Close)
	w.Audit.Slack = 5 * time.Second
	return &world{w}
}

func (w *world) load(seed uint64, rate float64, length time.Duration) *Load {
	return &Load{Seed: seed, Rate: rate, Length: length, Path: "/work", Within: w.Shape.Deadline, Unsafe: w.Shape.Effect == "unsafe",
		Work: func(r *rand.Rand) time.Duration { return time.Duration(r.ExpFloat64() * float64(10*time.Millisecond)) }}
}

func (w *world) check(t *testing.T, seen Seen) {
	t.Helper()
	for _, b := range w.Audit.Broken() {
		t.Error(b)
	}
	if t.Failed() {
		for _, p := range w.List {
			if log := p.Log(); log != "" {
				t.Logf("%s: %s", p.Name, log)
			}
		}
	}
	if seen.Served == 0 {
		t.Errorf("nothing is served: %+v", seen)
	}
}

// Twenty processes through what befalls them: killed and started again, stopped and continued,
// with hosts that crash and links that break, for requests that may run again and for those that
// may not. No rule breaks, every request has its answer or a gateway that died, and what may
// run again is served.
func TestProcessesThroughFaults(t *testing.T) {
	for _, effect := range []string{"safe", "unsafe"} {
		t.Run(effect, func(t *testing.T) {
			var relays []*Relay
			w := launch(t, Setup{Gateways: 20, Hosts: 10, Shape: Shape{Gateways: 20, Effect: effect}, Through: func(addr string) (string, error) {
				r, err := NewRelay(addr)
				if err != nil {
					return "", err
				}
				t.Cleanup(r.Close)
				relays = append(relays, r)
				return r.Addr, nil
			}})
			faults := make(chan struct{})
			go func() {
				defer close(faults)
				r := rand.New(rand.NewPCG(3, 3))
				for range 12 {
					p := w.List[r.IntN(len(w.List))]
					switch r.IntN(5) {
					case 0:
						p.Kill()
						if err := StartAll(t.Context(), []*Process{p}); err != nil {
							t.Error(err)
						}
					case 1:
						p.Signal(syscall.SIGSTOP)
						time.Sleep(30 * time.Millisecond)
						p.Signal(syscall.SIGCONT)
					case 2:
						relays[r.IntN(len(relays))].Reset()
					case 3:
						link := relays[r.IntN(len(relays))]
						link.Set(Link{SilentBack: true})
						time.Sleep(100 * time.Millisecond)
						link.Set(Link{})
						link.Reset() // what was swallowed would be an answer without its head
					case 4:
						h := w.Hosts[r.IntN(len(w.Hosts))]
						h.Kill()
						if err := h.Return(); err != nil {
							t.Error(err)
						}
					}
				}
			}()
			seen := w.load(5, 150, 2*time.Second).Run(t.Context(), w.Audit, w.List)
			<-faults
			w.check(t, seen)
			if effect == "safe" && seen.Lost > 0 {
				t.Errorf("%d requests have no answer though they may be made again", seen.Lost)
			}
		})
	}
}

// What breaks a rule is noted, and nothing else.
func TestAuditSeesWhatBreaks(t *testing.T) {
	a := NewAudit(1, 1)
	h := &Host{audit: a}
	now := time.Now()
	for id, q := range map[string]*asked{"fine": {deadline: now.Add(time.Minute)}, "once": {unsafe: true, deadline: now.Add(time.Minute)},
		"over": {deadline: now.Add(time.Minute), answered: now.Add(-time.Minute)}, "late": {deadline: now.Add(-time.Minute)}} {
		a.asked[id] = q
	}
	met := func(id string, speed float64, drains time.Time, full bool, broken string) {
		t.Helper()
		before := len(a.Broken())
		a.came(h, id, 400*time.Millisecond, speed, 1, drains, full)
		list := a.Broken()[before:]
		if got := strings.Join(list, "; "); (len(list) > 0) != (broken != "") || !strings.Contains(got, broken) {
			t.Errorf("%s: %q, want %q", id, got, broken)
		}
	}
	met("fine", 1, time.Time{}, false, "")
	met("once", 1, time.Time{}, true, "") // turned away unseen
	met("once", 1, time.Time{}, false, "")
	met("once", 1, time.Time{}, false, "rule 2: once ran twice")
	met("over", 1, time.Time{}, false, "rule 1")
	met("late", 1, time.Time{}, false, "rule 1")
	met("nobody", 1, time.Time{}, false, "nobody asked")
	met("fine", 1, now, false, "")
	met("fine", 1, now.Add(-time.Minute), false, "rule 3")
	met("fine", 0.2, time.Time{}, false, "") // 0.4 s of 0.75
	met("fine", 0.2, time.Time{}, false, "rule 2: fine had 5 attempts")
}

// Forty processes that each see three requests or so lay them on all hosts and refuse none for
// chance, from their first second on.
func TestThinProcessesRefuseNothing(t *testing.T) {
	w := launch(t, Setup{Gateways: 40, Hosts: 10, Shape: Shape{Gateways: 40, Effect: "safe"}})
	w.Audit.Begin()
	seen := w.load(7, 60, 2*time.Second).Run(t.Context(), w.Audit, w.List)
	w.check(t, seen)
	if seen.Refused+seen.Lost+seen.Failed > 0 {
		t.Errorf("%d refused, %d failed, %d lost of %d, with hosts nearly idle", seen.Refused, seen.Failed, seen.Lost, seen.Asked)
	}
	if e := w.Audit.Even(0, 2*time.Second, nil); e.Least == 0 {
		t.Errorf("a host got nothing: %+v", e)
	}
}
