//go:build review

package stand

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"regexp"
	"sync"
	"syscall"
	"time"
)

// running are the processes that Guard ends.
var (
	runningMu sync.Mutex
	running   = map[*os.Process]bool{}
)

// Guard ends all processes and this one, as a case that could not run, if that is still there after
// a time or is told to end.
func Guard(rec *Record, within time.Duration) {
	told := make(chan os.Signal, 1)
	signal.Notify(told, syscall.SIGTERM, os.Interrupt)
	go func() {
		select {
		case <-told:
			rec.Say("the case is told to end")
		case <-time.After(within):
			rec.Say("the case takes longer than %v", within)
		}
		runningMu.Lock()
		for p := range running {
			p.Kill()
		}
		rec.Close()
		os.Exit(Failed)
	}()
}

// Gateway is a process of the program, started as the platform does it.
type Gateway struct {
	Name      string
	Listen    string
	Discovery string
	Known     List
	Settings  map[string]any
	Dir       string // of its configuration and its temporary folder
	// Management is where operators call; "": nowhere. Socket is the clients' listening socket where
	// the platform holds it: processes inherit it as descriptor 5.
	Management string
	Socket     *os.File
	// Arguments are those behind the program's name; "": none, and the platform's environment.
	Arguments string
	rec       *Record
	cmd       *exec.Cmd
	over      chan struct{}
}

// NewGateway prepares one in a temporary folder.
func NewGateway(rec *Record, name string) (*Gateway, error) {
	dir, err := os.MkdirTemp("", "rv")
	if err != nil {
		return nil, err
	}
	listen, err := FreePort()
	if err != nil {
		return nil, err
	}
	return &Gateway{Name: name, Listen: listen, Dir: dir, rec: rec}, os.Mkdir(filepath.Join(dir, "tmp"), 0o700)
}

// Hold has the platform hold the clients' listening socket.
func (g *Gateway) Hold() error {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	defer ln.Close()
	g.Listen = ln.Addr().String()
	g.Socket, err = ln.(*net.TCPListener).File()
	return err
}

// Beside starts a second process of the gateway beside the running one, with another second address.
func (g *Gateway) Beside() (*Gateway, error) {
	management, err := FreePort()
	if err != nil {
		return nil, err
	}
	next := *g
	next.Management, next.cmd = management, nil
	return &next, next.Start()
}

// Yes waits until the process says yes to /healthcheck at its second address.
func (g *Gateway) Yes(within time.Duration) error {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		resp, err := client.Get("http://" + g.Management + "/healthcheck")
		if err != nil {
			continue
		}
		resp.Body.Close()
		if resp.StatusCode/100 == 2 {
			return nil
		}
	}
	return fmt.Errorf("the process at %s says no yes within %v", g.Management, within)
}

// FreePort is a loopback address that nobody listens at.
func FreePort() (string, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer ln.Close()
	return ln.Addr().String(), nil
}

// Configure writes the configuration.
func (g *Gateway) Configure() error {
	text, err := json.MarshalIndent(map[string]any{"name": g.Name, "listen": g.Listen, "discovery": g.Discovery, "seed": "8c1f30d27a5be964",
		"limits": map[string]any{"cores": 1.0, "memory_mb": 192, "sockets": 1024}, "known": g.Known, "settings": g.Settings}, "", " ")
	if err != nil {
		return err
	}
	path := g.config()
	if err := os.WriteFile(path+".new", text, 0o600); err != nil {
		return err
	}
	return os.Rename(path+".new", path)
}

func (g *Gateway) config() string { return filepath.Join(g.Dir, "config.json") }

var runLine = regexp.MustCompile(`(?m)^run *= *"(.*)"$`)

// Start starts the process by the command of the deploy file, from the root.
func (g *Gateway) Start() error {
	deploy, err := os.ReadFile("deploy/balancer.toml")
	if err != nil {
		return err
	}
	run := runLine.FindSubmatch(deploy)
	if run == nil {
		return fmt.Errorf("the deploy file names no command")
	}
	return g.start(exec.Command("/bin/sh", "-c", string(run[1])+g.Arguments))
}

func (g *Gateway) start(cmd *exec.Cmd) error {
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "TMPDIR=" + filepath.Join(g.Dir, "tmp")}
	if g.Arguments == "" {
		cmd.Env = append(cmd.Env, "GW_NAME="+g.Name, "GW_LISTEN="+g.Listen, "GW_DISCOVERY="+g.Discovery, "GW_CONFIG="+g.config())
	}
	if g.Management != "" {
		cmd.Env = append(cmd.Env, "GW_MANAGEMENT="+g.Management)
	}
	if g.Socket != nil {
		null, err := os.Open(os.DevNull)
		if err != nil {
			return err
		}
		defer null.Close()
		cmd.ExtraFiles = []*os.File{null, null, g.Socket}
		cmd.Env = append(cmd.Env, "GW_INHERITED_FD=5")
	}
	cmd.Stdout, cmd.Stderr = g.rec, g.rec
	if err := cmd.Start(); err != nil {
		return err
	}
	g.cmd, g.over = cmd, make(chan struct{})
	runningMu.Lock()
	running[cmd.Process] = true
	runningMu.Unlock()
	go func() {
		err := cmd.Wait()
		runningMu.Lock()
		delete(running, cmd.Process)
		runningMu.Unlock()
		g.rec.Add("gateway %s has ended: %v", g.Name, err)
		close(g.over)
	}()
	g.rec.Say("gateway %s is started, process %d", g.Name, cmd.Process.Pid)
	return nil
}

// Ready waits until it answers /ready with 200.
func (g *Gateway) Ready(within time.Duration) error {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		resp, err := client.Get("http://" + g.Listen + "/ready")
		if err != nil {
			continue
		}
		io.Copy(io.Discard, resp.Body)
		resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("gateway %s is not ready within %v", g.Name, within)
}

// Signal sends it a signal.
func (g *Gateway) Signal(s syscall.Signal) error {
	g.rec.Say("gateway %s gets %v", g.Name, s)
	return g.cmd.Process.Signal(s)
}

// Over is closed when the process has ended.
func (g *Gateway) Over() <-chan struct{} { return g.over }

// Stop ends it and removes its folder.
func (g *Gateway) Stop() {
	if g.cmd != nil {
		g.cmd.Process.Signal(syscall.SIGTERM)
		select {
		case <-g.over:
		case <-time.After(5 * time.Second):
			g.cmd.Process.Kill()
			<-g.over
		}
	}
	os.RemoveAll(g.Dir)
}

// Settings are those of a small deployment, in the form of the wire's page: one hall, three
// classes, drains kept within 500 ms. discovery is "subscribe" or "automatic".
func Settings(discovery string) map[string]any {
	class := func(name, effect, group string, aim, limit, worth float64, window int) map[string]any {
		return map[string]any{"name": name, "effect": effect, "group": group, "promise": aim * 1e6, "hard_limit": limit * 1e6, "importance": worth,
			"late_worth": 0.0, "streaming": false, "window": window}
	}
	return map[string]any{"azs": []string{"hall-a"}, "balancers": 1, "rank": 0, "zone": 0, "step": 5000, "discovery": discovery,
		"caps": map[string]any{"cancel": true, "conn_idle": 60000000, "cpu_us_per_request": 0.0, "cpu_us_per_s": 604129, "dial_timeout": 250000, "max_attempts": 4,
			"max_open": 30206, "max_retry_after": 2000000, "may_duplicate": false, "peers": false, "probes": true, "retry_after": true, "streams_per_conn": 100},
		"classes": []any{class("lookup", "idempotent", "all", 1.5, 4, 1, 5000000), class("uplift-book", "at_most_once", "all", 0.5, 1, 5, 5000000),
			class("missed-bin", "deduplicated", "cell", 1.5, 4, 2, 2500000)},
		"clients": map[string]any{"marks_retry": true}, "kinds": []string{"fast-1c", "mid-1c", "slow-1c"},
		"obligations": map[string]any{"ask_within": 10000000, "cold_from": 0.3, "drain_grace": 500000, "fall": 1500000, "grace_to_answer": 20000,
			"overload_factor": 2.5, "warm_after": 9000000},
		"over_share_worth": 0.1, "prices": map[string]any{"connection": 0.03, "cross_zone": 0.0, "discovery": 0.0, "handshake": 0.03, "late_fail": 0.03, "probe": 0.01, "waste": 0.04},
		"report": map[string]any{"columns": []string{"rif", "q", "rate"}, "via": "on_probe"}, "stage": 0, "tenants": []any{}, "tiers": []string{"calendar-web"},
		"weights": "live", "workload": "proxy", "worth_by": "request"}
}
