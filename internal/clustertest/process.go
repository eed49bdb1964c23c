// Package clustertest starts the program many times over, as processes of their own on loopback,
// between hosts and clients of its own, throws faults at processes and links, and counts what
// must hold: the rules by request, and how the load lay. All of a run follows from one seed, but
// for what the machine's scheduler does. It is for tests and benchmarks and knows the program from
// outside only.
//
// process.go is processes, host.go hosts, relay.go links, load.go clients and the audit,
// mesh.go the links between gateways that talk, world.go all of them together.
package clustertest

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"frostshift/internal/fake"
)

// Fleet is the processes of a run. Close ends them all; so does the end of this process.
type Fleet struct {
	Program string // that they run
	Dir     string // each has a folder below it
	starts  chan start
	mu      sync.Mutex
	all     []*Process
}

type start struct {
	cmd  *exec.Cmd
	done chan error
}

// Build builds the program into a folder.
func Build(ctx context.Context, dir string) (path string, err error) {
	path = filepath.Join(dir, "stilespool")
	out, err := exec.CommandContext(ctx, "go", "build", "-o", path, "frostshift/cmd/stilespool").CombinedOutput()
	if err != nil {
		return "", fmt.Errorf("building the program: %w\n%s", err, out)
	}
	return path, nil
}

// NewFleet makes a fleet without processes.
func NewFleet(program, dir string) *Fleet {
	f := &Fleet{Program: program, Dir: dir, starts: make(chan start)}
	go func() {
		// Children get a signal when the thread that started them ends: one thread starts all,
		// and lives as long as the fleet.
		runtime.LockOSThread()
		for s := range f.starts {
			s.done <- s.cmd.Start()
		}
	}()
	return f
}

// Process is one process of the program and what it keeps over restarts: name, folder, address.
type Process struct {
	Name, Dir string
	Addr      string   // where clients connect
	Stderr    *os.File // where its log goes; nil: it is kept for Log
	Platform  bool     // it is configured as the platform does it, by one JSON object; set before Configure
	Desk      string   // where operators call, and Advertise where others talk to it; see Talk
	Advertise string
	// Supervise changes a command that is about to start, and gives what comes behind its start; nil: nothing does.
	Supervise func(*exec.Cmd) (started func() error, err error)
	talk      string
	fleet     *Fleet
	number    int // in the fleet
	holds     []*fake.Place
	mu        sync.Mutex
	cmd       *exec.Cmd
	ended     chan struct{}
	log       tail
}

// Add makes a process. Its configuration is written by Configure.
func (f *Fleet) Add(name string) (*Process, error) {
	p := &Process{Name: name, Dir: filepath.Join(f.Dir, name), fleet: f}
	if err := os.MkdirAll(p.Dir, 0o700); err != nil {
		return nil, err
	}
	f.mu.Lock()
	p.number = len(f.all)
	f.all = append(f.all, p)
	f.mu.Unlock()
	var err error
	p.Addr, err = p.hold()
	return p, err
}

// hold keeps an address for the process until the fleet is closed.
func (p *Process) hold() (addr string, err error) {
	return p.holdAt([4]byte{127, 0, 0, 1})
}

func (p *Process) holdAt(ip [4]byte) (addr string, err error) {
	place, err := fake.ReserveAt(ip)
	if err != nil {
		return "", err
	}
	p.holds = append(p.holds, place)
	return place.Addr, nil
}

// ownAddress is a loopback address that no other process of the fleet has: a relay tells by it who sends.
func (p *Process) ownAddress() [4]byte {
	n := p.number + 1
	return [4]byte{127, 1, byte(n >> 8), byte(n)}
}

// Configure writes the process's configuration.
func (p *Process) Configure(text string) error {
	return os.WriteFile(p.config(), []byte(text), 0o600)
}

func (p *Process) config() string {
	if p.Platform {
		return filepath.Join(p.Dir, "gateway.json")
	}
	return filepath.Join(p.Dir, "gateway.toml")
}

// Start starts the process. Ready tells when it serves.
func (p *Process) Start() error {
	cmd := exec.Command(p.fleet.Program, "run")
	cmd.Env = append(os.Environ(), "GOMAXPROCS=1", "TMPDIR="+p.Dir)
	if p.Platform {
		cmd.Env = append(cmd.Env, "GW_CONFIG="+p.config())
	} else {
		cmd.Args = append(cmd.Args, "--config", p.config())
	}
	cmd.Stdout, cmd.Stderr = &p.log, &p.log
	if p.Stderr != nil {
		cmd.Stderr = p.Stderr
	}
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	started := func() error { return nil }
	if p.Supervise != nil {
		var err error
		if started, err = p.Supervise(cmd); err != nil {
			return err
		}
	}
	s := start{cmd, make(chan error, 1)}
	p.fleet.starts <- s
	if err := <-s.done; err != nil {
		return err
	}
	if err := started(); err != nil {
		cmd.Process.Kill()
		cmd.Wait()
		return err
	}
	ended := make(chan struct{})
	p.mu.Lock()
	p.cmd, p.ended = cmd, ended
	p.mu.Unlock()
	go func() {
		cmd.Wait()
		close(ended)
	}()
	return nil
}

// Ready waits until the process answers, until it has ended, or for the context.
func (p *Process) Ready(ctx context.Context) error {
	p.mu.Lock()
	ended := p.ended
	p.mu.Unlock()
	path := ReadyPath
	if p.Platform {
		path = "/ready"
	}
	for {
		// With contracts it says whom it does not know.
		if status, err := ask(ctx, p.Addr, path); err == nil && (status == 200 || status == 204 || status == 401) {
			return nil
		}
		select {
		case <-ended:
			return fmt.Errorf("%s ended: %s", p.Name, p.log.String())
		case <-ctx.Done():
			return fmt.Errorf("%s is not ready: %w: %s", p.Name, ctx.Err(), p.log.String())
		case <-time.After(20 * time.Millisecond):
		}
	}
}

// Signal sends a signal: SIGSTOP, SIGCONT, SIGHUP, SIGTERM. One that has ended takes none.
func (p *Process) Signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil {
		p.cmd.Process.Signal(s)
	}
}

// Kill ends the process at once and waits until it has gone.
func (p *Process) Kill() {
	p.Signal(syscall.SIGKILL)
	<-p.Ended()
}

// Ended is closed when the process has.
func (p *Process) Ended() <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.ended == nil {
		p.ended = make(chan struct{})
		close(p.ended)
	}
	return p.ended
}

// Log is the last that it said.
func (p *Process) Log() string { return p.log.String() }

// Mark has lines with a text kept from the start on. It is called before Start.
func (p *Process) Mark(text string) { p.log.mark = text }

// Marked are the first lines with that text, as far as they came in one write each.
func (p *Process) Marked() []string {
	p.log.mu.Lock()
	defer p.log.mu.Unlock()
	return slices.Clone(p.log.marked)
}

// Close ends all processes and waits for them.
func (f *Fleet) Close() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, p := range f.all {
		p.Signal(syscall.SIGKILL)
	}
	for _, p := range f.all {
		<-p.Ended()
		for _, place := range p.holds {
			place.Close()
		}
	}
	f.all = nil
	close(f.starts)
}

// StartAll starts processes, as many at a time as there are cores, and waits until each is ready.
func StartAll(ctx context.Context, list []*Process) error {
	errs := make([]error, len(list))
	turns := make(chan struct{}, runtime.NumCPU())
	var all sync.WaitGroup
	for i, p := range list {
		all.Go(func() {
			turns <- struct{}{}
			defer func() { <-turns }()
			if errs[i] = p.Start(); errs[i] == nil {
				errs[i] = p.Ready(ctx)
			}
		})
	}
	all.Wait()
	return errors.Join(errs...)
}

// tail keeps the last that was written.
type tail struct {
	mu     sync.Mutex
	text   []byte
	mark   string
	marked []string // lines with the mark
}

// mostMarked is how many lines with a mark are kept.
const mostMarked = 20

const tailBytes = 4 << 10

func (t *tail) Write(b []byte) (int, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.mark != "" {
		for line := range strings.Lines(string(b)) {
			if strings.Contains(line, t.mark) && len(t.marked) < mostMarked {
				t.marked = append(t.marked, strings.TrimSpace(line))
			}
		}
	}
	t.text = append(t.text, b...)
	if n := len(t.text) - tailBytes; n > 0 {
		t.text = append(t.text[:0], t.text[n:]...)
	}
	return len(b), nil
}

func (t *tail) String() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return strings.TrimSpace(string(bytes.ToValidUTF8(t.text, nil)))
}

// dial connects on loopback, within a second.
func dial(ctx context.Context, addr string) (net.Conn, error) {
	ctx, end := context.WithTimeout(ctx, time.Second)
	defer end()
	return new(net.Dialer).DialContext(ctx, "tcp", addr)
}

// Memory is what the process has in memory, in MiB.
func (p *Process) Memory() (mib float64, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return 0, errors.New("it does not run")
	}
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", p.cmd.Process.Pid))
	if err != nil {
		return 0, err
	}
	var size, resident int
	if _, err := fmt.Sscan(string(text), &size, &resident); err != nil {
		return 0, err
	}
	return float64(resident) * float64(os.Getpagesize()) / (1 << 20), nil
}

// PID is the process's id; 0: it does not run.
func (p *Process) PID() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return 0
	}
	return p.cmd.Process.Pid
}

// PeakMemory is the most that the process has had in memory since its start, in MiB.
func (p *Process) PeakMemory() (mib float64, err error) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.PID()))
	if err != nil {
		return 0, err
	}
	for line := range strings.Lines(string(text)) {
		if rest, ok := strings.CutPrefix(line, "VmHWM:"); ok {
			var kib float64
			_, err := fmt.Sscan(rest, &kib)
			return kib / 1024, err
		}
	}
	return 0, errors.New("the system tells no peak")
}
