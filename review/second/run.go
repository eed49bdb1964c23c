//go:build review

package main

import (
	"bytes"
	"crypto/rand"
	"encoding/hex"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// run is one play of a case.
type run struct {
	dir     string // a temporary folder
	trouble bool
	began   time.Time

	served, unserved atomic.Int64 // requests

	mu       sync.Mutex
	record   *os.File
	broken   []string
	gateways []*gateway
}

// note writes a line into the record.
func (r *run) note(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.record, "%8.3f "+format+"\n", append([]any{time.Since(r.began).Seconds()}, args...)...)
}

// breaks notes that the rule was broken.
func (r *run) breaks(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	r.note("BROKEN: %s", text)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.broken = append(r.broken, text)
}

// verdict is the exit status.
func (r *run) verdict(err error) int {
	if err != nil {
		r.note("could not run: %v", err)
		fmt.Println("could not run:", err)
		return 2
	}
	if len(r.broken) > 0 {
		fmt.Printf("broken %d times, the first: %s\n", len(r.broken), r.broken[0])
		return 1
	}
	r.note("the rule held")
	fmt.Println("the rule held")
	return 0
}

// end ends all gateways that still run.
func (r *run) end() {
	for _, g := range r.gateways {
		g.kill()
	}
	for _, g := range r.gateways {
		r.note("log of gateway process %d:\n%s", g.cmd.Process.Pid, g.log.String())
	}
}

// port is a free port of the loopback address.
func port() string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return ""
	}
	defer ln.Close()
	return ln.Addr().String()
}

// write writes a file of the temporary folder, by a rename, and returns its path.
func (r *run) write(name, text string) (string, error) {
	path := filepath.Join(r.dir, name)
	if err := os.WriteFile(path+".new", []byte(text), 0o600); err != nil {
		return "", err
	}
	return path, os.Rename(path+".new", path)
}

// gateway is a gateway process.
type gateway struct {
	r    *run
	cmd  *exec.Cmd
	log  *safeBuffer
	done chan struct{} // closed: it has ended
}

// safeBuffer is a log that is written and read at once.
type safeBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (s *safeBuffer) Write(p []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.b.Write(p)
}

func (s *safeBuffer) String() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.b.String()
}

// start starts a gateway with a configuration file, as the deploy file starts one, and waits until the operators'
// address says that it takes clients.
func (r *run) start(config, management string) (*gateway, error) {
	return r.launch("exec bin/stilespool run --config "+config, management, nil)
}

// launch starts a gateway by a command, with variables of its own.
func (r *run) launch(command, management string, variables []string) (*gateway, error) {
	g := &gateway{r: r, log: &safeBuffer{}, done: make(chan struct{})}
	g.cmd = exec.Command("/bin/sh", "-c", command)
	g.cmd.Stdout, g.cmd.Stderr = g.log, g.log
	for _, v := range os.Environ() {
		if !strings.HasPrefix(v, "GW_") {
			g.cmd.Env = append(g.cmd.Env, v)
		}
	}
	g.cmd.Env = append(g.cmd.Env, variables...)
	if err := g.cmd.Start(); err != nil {
		return nil, err
	}
	r.gateways = append(r.gateways, g)
	go func() {
		g.cmd.Wait()
		close(g.done)
	}()
	r.note("gateway process %d started: %s", g.cmd.Process.Pid, command)
	for by := time.Now().Add(10 * time.Second); time.Now().Before(by); time.Sleep(20 * time.Millisecond) {
		if status, _, err := call(http.MethodGet, management, "/healthcheck"); err == nil && status == http.StatusOK {
			return g, nil
		}
	}
	return nil, errors.New("the gateway does not come up: " + g.log.String())
}

// signal sends a signal to the process.
func (g *gateway) signal(s syscall.Signal) {
	g.r.note("signal %v to gateway process %d", s, g.cmd.Process.Pid)
	g.cmd.Process.Signal(s)
}

// wait waits for its end.
func (g *gateway) wait(within time.Duration) error {
	select {
	case <-g.done:
		return nil
	case <-time.After(within):
		return errors.New("the gateway does not end")
	}
}

// kill ends it at once.
func (g *gateway) kill() {
	select {
	case <-g.done:
		return
	default:
	}
	g.cmd.Process.Kill()
	<-g.done
}

// logs waits until the log has a text.
func (g *gateway) logs(text string, within time.Duration) error {
	for by := time.Now().Add(within); time.Now().Before(by); time.Sleep(10 * time.Millisecond) {
		if strings.Contains(g.log.String(), text) {
			return nil
		}
	}
	return fmt.Errorf("the gateway's log has no %q", text)
}

// call is one call at the operators' address.
func call(method, management, path string) (status int, text string, err error) {
	c := http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	req, err := http.NewRequest(method, "http://"+management+path, nil)
	if err != nil {
		return 0, "", err
	}
	resp, err := c.Do(req)
	if err != nil {
		return 0, "", err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return resp.StatusCode, string(body), err
}

// operators makes a call and notes what came of it.
func (r *run) operators(management, path string) (int, error) {
	at := time.Now()
	status, _, err := call(http.MethodPost, management, path)
	r.note("operators' call %s: %d after %v, %v", path, status, time.Since(at).Round(time.Millisecond), err)
	return status, err
}

// quoted is a list of addresses as the configuration has it.
func quoted(list ...string) string {
	return `"` + strings.Join(list, `", "`) + `"`
}

// newID is an id that no other request has.
func newID() string {
	var b [8]byte
	rand.Read(b[:])
	return hex.EncodeToString(b[:])
}
