package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"frostshift/internal/fake"
)

// soon bounds the wait for an event that must come; a test that passes never waits for it.
const soon = 30 * time.Second

// eventually asks until it holds.
func eventually(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for end := time.Now().Add(soon); !holds(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("waited in vain: %s", what)
		}
	}
}

// call asks for a path on a connection of its own and returns the status; 0: there was no answer.
func call(method, url string, header ...string) int {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 5 * time.Second}
	r, err := http.NewRequest(method, url, nil)
	if err != nil {
		return 0
	}
	for i := 0; i < len(header); i += 2 {
		r.Header.Set(header[i], header[i+1])
	}
	resp, err := client.Do(r)
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	io.Copy(io.Discard, resp.Body)
	return resp.StatusCode
}

// Clients that idle or stop within a head, twice as many as the process has descriptors, hold all that
// clients may while discovery is away. Operators are answered, their call is logged, discovery's return is
// heard, a host that only then is known is reached, and a good client is served: within the system's own
// limit on descriptors.
func TestClientsCannotUseTheReserve(t *testing.T) {
	const descriptors = 96
	host, err := fake.Scripted(fake.Always(fake.Serve("ok")))
	if err != nil {
		t.Fatal(err)
	}
	defer host.Close()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	outage := &fake.Outage{Listener: ln}
	outage.Down.Store(true)
	discovery := fake.NewDiscoveryOn(outage)
	defer discovery.End()
	text := strings.Replace(fmt.Sprintf(upgraded, ""), `"sockets":512`, fmt.Sprintf(`"sockets":%d`, descriptors), 1)
	address, management := fake.ReservedAddress(t), fake.ReservedAddress(t)
	cmd, log := program(t, text, "GW_LISTEN="+address, "GW_MANAGEMENT="+management, "GW_DISCOVERY="+discovery.Addr())
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	ended := false
	defer func() {
		if !ended {
			end(cmd)
		}
	}()
	most := unix.Rlimit{Cur: descriptors, Max: descriptors}
	if err := unix.Prlimit(cmd.Process.Pid, unix.RLIMIT_NOFILE, &most, nil); err != nil {
		t.Fatal(err)
	}
	eventually(t, "operators are answered", func() bool { return call("GET", "http://"+management+"/healthcheck") != 0 })
	for i := range 2 * descriptors {
		c, err := net.Dial("tcp", address)
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		if i%2 == 0 {
			io.WriteString(c, "GET /lookup HTT")
		}
	}
	eventually(t, "clients hold what they may", func() bool {
		open, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", cmd.Process.Pid))
		return err == nil && len(open) >= (descriptors-32)*55/100
	})
	if status := call("POST", "http://"+management+"/hosts/nobody/maint"); status != http.StatusNotFound {
		t.Errorf("operators are answered with %d", status)
	}
	if status := call("POST", "http://"+management+"/healthcheck/ok"); status != http.StatusOK {
		t.Errorf("operators are answered with %d", status)
	}
	outage.Down.Store(false)
	select {
	case w := <-discovery.Watches:
		w.Lines <- fmt.Sprintf(`{"index":2,"snapshot":true,"endpoints":[{"name":"h","address":%q,"zone":"a","type":"m","group":1,"status":"active","weight":1,"since_ms":0}]}`, host.Addr())
	case <-time.After(soon):
		t.Fatal("the return of discovery is not heard")
	}
	asked := 0
	eventually(t, "a good client is served", func() bool {
		asked++
		return call("GET", "http://"+address+"/lookup", "X-Service-Class", "lookup", "X-Correlation-Id", fmt.Sprintf("good-%d", asked)) == http.StatusOK
	})
	end(cmd)
	ended = true
	if text := log.String(); !strings.Contains(text, "operators' call") || strings.Contains(text, "too many open files") {
		t.Errorf("the log says %q", text)
	}
}
