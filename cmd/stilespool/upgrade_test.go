package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"frostshift/internal/fake"
)

const upgraded = `{"name":"n0","seed":"1f","limits":{"cores":2,"memory_mb":192,"sockets":512},"known":{"index":1,"snapshot":true,"endpoints":[%s]},
 "settings":{"balancers":1,"discovery":"automatic","azs":["a"],"kinds":["m"],"caps":{"cancel":true,"max_attempts":4},
  "classes":[{"name":"lookup","effect":"idempotent","promise":1500000,"hard_limit":20000000},
   {"name":"book","effect":"at_most_once","promise":1500000,"hard_limit":20000000}],
  "obligations":{"cold_from":0.3,"warm_after":9000000,"overload_factor":2.5,"fall":1500000}}}`

// site is what processes of one gateway share: the listening socket, the folder, discovery.
type site struct {
	t         *testing.T
	socket    *os.File
	addr      string
	dir       string
	discovery string
	config    string
}

func newSite(t *testing.T, hosts ...string) *site {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	f, err := ln.(*net.TCPListener).File()
	if err != nil {
		t.Fatal(err)
	}
	ln.Close() // the file is the socket still
	t.Cleanup(func() { f.Close() })
	discovery := httptest.NewServer(http.NotFoundHandler())
	t.Cleanup(discovery.Close)
	dir, err := os.MkdirTemp("", "up") // short: the path of a socket must be
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { os.RemoveAll(dir) })
	var list []string
	for i, addr := range hosts {
		list = append(list, fmt.Sprintf(`{"name":"h%d","address":%q,"zone":"a","type":"m","group":1,"status":"active","weight":1,"since_ms":0}`, i, addr))
	}
	s := &site{t: t, socket: f, addr: ln.Addr().String(), dir: dir, discovery: discovery.Listener.Addr().String(), config: filepath.Join(dir, "config.json")}
	if err := os.WriteFile(s.config, fmt.Appendf(nil, upgraded, strings.Join(list, ",")), 0o600); err != nil {
		t.Fatal(err)
	}
	return s
}

// process is one process of the gateway.
type process struct {
	*exec.Cmd
	desk  string
	log   *logged
	ended chan error
}

// logged keeps what a process says, and tells of lines as they come.
type logged struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (l *logged) Write(b []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.Write(b)
}
func (l *logged) String() string { l.mu.Lock(); defer l.mu.Unlock(); return l.text.String() }

func (s *site) start(env ...string) *process {
	s.t.Helper()
	desk := fake.ReservedAddress(s.t)
	self, err := os.Executable()
	if err != nil {
		s.t.Fatal(err)
	}
	p := &process{Cmd: exec.Command(self), desk: desk, log: &logged{}, ended: make(chan error, 1)}
	p.Env = append([]string{"STILESPOOL_TEST_RUN=1", "GW_CONFIG=" + s.config, "GW_LISTEN=" + s.addr, "GW_DISCOVERY=" + s.discovery,
		"GW_MANAGEMENT=" + desk, "GW_INHERITED_FD=5", "TMPDIR=" + s.dir}, env...)
	p.ExtraFiles = []*os.File{nil, nil, s.socket} // descriptors 3, 4 and 5
	p.Stderr = p.log
	if err := p.Cmd.Start(); err != nil {
		s.t.Fatal(err)
	}
	go func() { p.ended <- p.Wait() }()
	s.t.Cleanup(func() { p.Process.Kill() })
	return p
}

// call is an operator's call; 0: nobody answered.
func (p *process) call(method, path string) int {
	r, err := http.NewRequest(method, "http://"+p.desk+path, nil)
	if err != nil {
		return 0
	}
	resp, err := (&http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 20 * time.Second}).Do(r)
	if err != nil {
		return 0
	}
	resp.Body.Close()
	return resp.StatusCode
}

// serves waits for the process to take clients.
func (p *process) serves(t *testing.T) {
	t.Helper()
	for end := time.Now().Add(20 * time.Second); p.call("GET", "/healthcheck") != 200; time.Sleep(2 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("it never serves: %s", p.log)
		}
	}
}

// logs waits for a text in the log, which is written beside what the process does: a line may come behind
// the answer that follows it.
func (p *process) logs(text string) bool {
	for end := time.Now().Add(20 * time.Second); !strings.Contains(p.log.String(), text); time.Sleep(2 * time.Millisecond) {
		if time.Now().After(end) {
			return false
		}
	}
	return true
}

func (p *process) end(t *testing.T) error {
	t.Helper()
	select {
	case err := <-p.ended:
		return err
	case <-time.After(20 * time.Second):
		p.Process.Signal(syscall.SIGQUIT) // says where it stands
		<-p.ended
		t.Fatalf("it does not end: %s", p.log)
		return nil
	}
}

// tally is clients that ask all the time, each on a connection of its own, and what came of it.
type tally struct {
	site                          *site
	served, refused, failed, lost atomic.Int64
	last                          atomic.Int64
	halt                          chan struct{}
	all                           sync.WaitGroup
}

func (s *site) load(n int) *tally {
	l := &tally{site: s, halt: make(chan struct{})}
	for i := range n {
		l.all.Go(func() { l.ask(i%2 == 0) })
	}
	return l
}

func (l *tally) ask(keeps bool) {
	var c net.Conn
	var in *bufio.Reader
	for {
		select {
		case <-l.halt:
			if c != nil {
				c.Close()
			}
			return
		default:
		}
		if c == nil {
			var err error
			if c, err = net.Dial("tcp", l.site.addr); err != nil {
				l.lost.Add(1)
				continue
			}
			in = bufio.NewReader(c)
		}
		class, method := "book", "POST"
		if l.last.Load()%3 == 0 {
			class, method = "lookup", "GET"
		}
		fmt.Fprintf(c, "%s /%s?obj=1 HTTP/1.1\r\nHost: x\r\nX-Service-Class: %s\r\nX-Correlation-Id: id-%d\r\nX-Time-Left: 20000m\r\nContent-Length: 0\r\n\r\n",
			method, class, class, l.last.Add(1))
		c.SetReadDeadline(time.Now().Add(20 * time.Second))
		resp, err := http.ReadResponse(in, nil)
		if err != nil {
			l.lost.Add(1)
			c.Close()
			c = nil
			continue
		}
		io.Copy(io.Discard, resp.Body)
		switch resp.StatusCode {
		case 200:
			l.served.Add(1)
		case 503, 429:
			l.refused.Add(1)
		default:
			l.failed.Add(1)
		}
		if resp.Close || !keeps {
			c.Close()
			c = nil
		}
	}
}

// more waits for some further answers.
func (l *tally) more(t *testing.T, n int64) {
	t.Helper()
	for end, want := time.Now().Add(20*time.Second), l.served.Load()+n; l.served.Load() < want; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("served %d, refused %d, failed %d, lost %d", l.served.Load(), l.refused.Load(), l.failed.Load(), l.lost.Load())
		}
	}
}

func (l *tally) stop() { close(l.halt); l.all.Wait() }

// counting is a host that counts what it has had of each id.
func counting(t *testing.T, mu *sync.Mutex, ran map[string]int) string {
	h, err := fake.NewHost(func(r *fake.Request) bool {
		mu.Lock()
		if strings.HasPrefix(r.Target, "/book") {
			ran[r.Header.Get("X-Correlation-Id")]++
		}
		mu.Unlock()
		io.WriteString(r.Conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
		return true
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(h.Close)
	return h.Addr()
}

// Twenty upgrades in a row under load, some of them with a process killed: every request gets
// one answer but what a killed process held, no unsafe one runs twice, and a ban holds over all.
func TestUpgradesUnderLoad(t *testing.T) {
	var mu sync.Mutex
	ran := map[string]int{}
	a := counting(t, &mu, ran)
	var out atomic.Int64 // requests to the host that is out
	banned, err := fake.NewHost(func(r *fake.Request) bool {
		out.Add(1)
		io.WriteString(r.Conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
		return true
	})
	if err != nil {
		t.Fatal(err)
	}
	defer banned.Close()
	s := newSite(t, a, counting(t, &mu, ran), banned.Addr())
	now := s.start()
	now.serves(t)
	if now.call("POST", "/hosts/h2/maint") != 200 || now.call("POST", "/hosts/h9/maint") != 404 {
		t.Fatal("the ban is not taken")
	}
	load := s.load(16)
	var mayLose int64
	for i := range 20 {
		next := s.start()
		switch i % 5 {
		case 1: // killed before it says anything, or soon after: the running one goes on
			load.more(t, int64(10*i))
			next.Process.Kill()
			next.end(t)
			mayLose += 16
			for want := load.served.Load() + 50; load.served.Load() < want; time.Sleep(time.Millisecond) {
				if now.end2() { // it had left already, as nobody was left to it
					now = s.start()
					now.serves(t)
				}
			}
			continue
		case 2: // the running one is killed while both live
			now.Process.Kill()
			now.end(t)
			mayLose += 16
		}
		next.serves(t)
		load.more(t, 30)
		if i%5 == 3 && next.call("POST", "/hosts/h2/maint") != 200 {
			t.Error("a second call out is not taken")
		}
		if i%5 != 2 {
			now.Process.Signal(syscall.SIGTERM)
			if err := now.end(t); err != nil {
				t.Errorf("upgrade %d: the old process ended with %v: %s", i, err, now.log)
			}
		}
		now = next
		load.more(t, 30)
	}
	load.stop()
	if n := load.lost.Load(); n > mayLose {
		t.Errorf("%d requests were lost, at most %d by kills", n, mayLose)
	}
	if n := load.failed.Load() + load.refused.Load(); n > mayLose {
		t.Errorf("%d requests failed or were refused", n)
	}
	mu.Lock()
	for id, n := range ran {
		if n > 1 {
			t.Errorf("%s ran %d times", id, n)
		}
	}
	mu.Unlock()
	if fds, err := os.ReadDir("/proc/" + strconv.Itoa(now.Process.Pid) + "/fd"); err == nil && len(fds) > 200 {
		t.Errorf("%d descriptors", len(fds))
	}
	// The ban outlives a time with no process at all.
	now.Process.Signal(syscall.SIGTERM)
	now.end(t)
	last := s.start()
	last.serves(t)
	resp := s.load(2)
	resp.more(t, 40)
	resp.stop()
	if out.Load() > 0 || last.call("POST", "/hosts/h2/ready") != 200 {
		t.Errorf("the ban did not hold: %d requests", out.Load())
	}
}

// end2 says whether the process has ended by itself.
func (p *process) end2() bool {
	select {
	case err := <-p.ended:
		p.ended <- err
		return true
	default:
		return false
	}
}

// An operator's call at either process holds at both, and is not answered with yes before.
func TestCallsHoldAtBothProcesses(t *testing.T) {
	var mu sync.Mutex
	ran := map[string]int{}
	s := newSite(t, counting(t, &mu, ran), counting(t, &mu, ran))
	old := s.start()
	old.serves(t)
	open, err := net.Dial("tcp", s.addr) // keeps the old process: it has asked something that goes on
	if err != nil {
		t.Fatal(err)
	}
	defer open.Close()
	fmt.Fprint(open, "POST /book HTTP/1.1\r\nHost: x\r\nX-Service-Class: book\r\nX-Correlation-Id: held\r\nContent-Length: 10\r\n\r\nabc")
	next := s.start()
	next.serves(t)
	if next.call("POST", "/hosts/h0/maint") != 200 || old.call("POST", "/hosts/h0/ready") != 200 {
		t.Fatalf("calls are not taken: %s%s", old.log, next.log)
	}
	third := s.start() // the ban's end has come here by way of the second
	third.serves(t)
	text, err := os.ReadFile(filepath.Join(s.dir, "stilespool.sock.out"))
	if err != nil || bytes.Contains(text, []byte("h0")) {
		t.Errorf("the file of hosts that are out: %q, %v", text, err)
	}
	for _, p := range []*process{old, next, third} {
		p.Process.Signal(syscall.SIGTERM)
	}
	for _, p := range []*process{old, next, third} {
		p.end(t)
	}
}

// A descriptor that is none, or not a listening socket, and damaged leftovers: a clear error, or
// a start from nothing.
func TestBadInheritance(t *testing.T) {
	s := newSite(t, "127.0.0.1:1")
	for _, c := range []struct{ fd, want string }{{"five", "GW_INHERITED_FD"}, {"-1", "GW_INHERITED_FD"}, {"1", "GW_INHERITED_FD"},
		{"77", "inherited descriptor 77"}, {"3", "inherited descriptor 3"}} {
		p := s.start("GW_INHERITED_FD=" + c.fd)
		p.end(t)
		if p.ProcessState.ExitCode() != 1 || !strings.Contains(p.log.String(), c.want) {
			t.Errorf("%s: ended with %d: %s", c.fd, p.ProcessState.ExitCode(), p.log)
		}
	}
	p := s.start("GW_MANAGEMENT=" + s.addr)
	p.end(t)
	if p.ProcessState.ExitCode() != 1 || !strings.Contains(p.log.String(), "management address") {
		t.Errorf("management at the clients' address: %s", p.log)
	}
	state, _ := json.Marshal(map[string]any{"Version": 99})
	for _, text := range [][]byte{nil, []byte("nonsense"), state, bytes.Repeat([]byte{0xff}, 100)} {
		if err := os.WriteFile(filepath.Join(s.dir, "stilespool.sock.out"), text, 0o600); err != nil {
			t.Fatal(err)
		}
		os.WriteFile(filepath.Join(s.dir, "stilespool.sock"), text, 0o600) // no socket at all
		p := s.start()
		p.serves(t)
		if !p.logs("can't be read") {
			t.Errorf("%q: %s", text, p.log)
		}
		p.Process.Signal(syscall.SIGTERM)
		if err := p.end(t); err != nil {
			t.Errorf("%q: ended with %v", text, err)
		}
	}
}
