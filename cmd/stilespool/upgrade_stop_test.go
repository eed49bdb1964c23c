package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"frostshift/internal/fake"
)

// setLongest writes the longest deadline into the configuration of processes that start from now on.
func (s *site) setLongest(longest time.Duration) {
	s.t.Helper()
	text, err := os.ReadFile(s.config)
	if err != nil {
		s.t.Fatal(err)
	}
	deadline := fmt.Appendf(nil, `"hard_limit":%d`, longest.Microseconds())
	text = bytes.ReplaceAll(text, []byte(`"hard_limit":20000000`), deadline)
	text = bytes.ReplaceAll(text, []byte(`"promise":1500000`), fmt.Appendf(nil, `"promise":%d`, longest.Microseconds()/2))
	if err := os.WriteFile(s.config, text, 0o600); err != nil {
		s.t.Fatal(err)
	}
}

// slowHost answers requests of warmups at once and others after the time given. It notes the ids of those
// that it has had whole.
func slowHost(t *testing.T, after time.Duration, had *sync.Map) string {
	t.Helper()
	h, err := fake.NewHost(func(r *fake.Request) bool {
		id := r.Header.Get("X-Correlation-Id")
		if !strings.HasPrefix(id, "warm-") {
			had.Store(id, true)
			time.Sleep(after)
		}
		_, err := io.WriteString(r.Conn, fake.Answer(200, "ok"))
		return err == nil
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(h.Close)
	return h.Addr()
}

// keptClient is a client with one kept connection.
type keptClient struct {
	conn net.Conn
	in   *bufio.Reader
}

func (s *site) keptClient(n int) *keptClient {
	s.t.Helper()
	conn, err := net.Dial("tcp", s.addr)
	if err != nil {
		s.t.Fatal(err)
	}
	s.t.Cleanup(func() { conn.Close() })
	c := &keptClient{conn: conn, in: bufio.NewReader(conn)}
	for request := range 2 { // connections that have asked more than once are the last to be closed
		if err := c.ask(fmt.Sprintf("warm-%d-%d", n, request)); err != nil {
			s.t.Fatal(err)
		}
	}
	return c
}

// safeRequest is the text of a safe request.
func safeRequest(id string) string {
	return fmt.Sprintf("GET /lookup?obj=1 HTTP/1.1\r\nHost: x\r\nX-Service-Class: lookup\r\nX-Correlation-Id: %s\r\n\r\n", id)
}

// ask sends a safe request and reads its answer, of whichever status.
func (c *keptClient) ask(id string) error { return c.send(safeRequest(id)) }

// send sends the rest of a request and reads its answer, of whichever status.
func (c *keptClient) send(text string) error {
	if _, err := io.WriteString(c.conn, text); err != nil {
		return err
	}
	c.conn.SetReadDeadline(time.Now().Add(20 * time.Second))
	resp, err := http.ReadResponse(c.in, nil)
	if err != nil {
		return err
	}
	_, err = io.Copy(io.Discard, resp.Body)
	return err
}

// Guards against requests lost in an upgrade: the process that has handed its clients over planned its stop
// by a deadline of 3 s, while the kill follows the settings (here 1.2 s), and left idle connections open so long.
func TestUpgradeAnswersAheadOfTheKill(t *testing.T) {
	const (
		longest  = 1200 * time.Millisecond
		earliest = longest + 700*time.Millisecond // of SIGKILL, behind SIGTERM
		late     = 700 * time.Millisecond         // of SIGKILL, for machines that are short of processor time
		hosts    = 8
		clients  = 60
		half     = 40 // bytes of a head that are sent ahead of SIGTERM, by every other client
	)
	var had sync.Map
	var addresses []string
	for range hosts {
		addresses = append(addresses, slowHost(t, longest*9/10, &had))
	}
	s := newSite(t, addresses...)
	s.setLongest(longest)
	old := s.start("GORACE=atexit_sleep_ms=0") // under the race detector a process else sleeps for a second at its end
	old.serves(t)
	var kept []*keptClient
	for n := range clients {
		kept = append(kept, s.keptClient(n))
	}
	next := s.start()
	for n := 0; n < clients; n += 2 {
		io.WriteString(kept[n].conn, safeRequest(fmt.Sprintf("late-%d", n))[:half])
	}
	next.serves(t)
	term := time.Now()
	old.Process.Signal(syscall.SIGTERM)
	var answered atomic.Int64
	var all sync.WaitGroup
	for n, c := range kept {
		all.Go(func() {
			time.Sleep(time.Until(term.Add(time.Duration(n) * earliest / clients)))
			id := fmt.Sprintf("late-%d", n)
			text := safeRequest(id)
			if n%2 == 0 {
				text = text[half:]
			}
			err := c.send(text)
			if err == nil {
				answered.Add(1)
			} else if _, seen := had.Load(id); seen {
				t.Errorf("%s: a host had it, and its connection ended %v behind SIGTERM: %v", id, time.Since(term), err)
			}
		})
	}
	time.Sleep(time.Until(term.Add(earliest + late)))
	if !old.end2() {
		t.Errorf("the old process has not ended %v behind SIGTERM: %s", time.Since(term), old.log)
	}
	old.Process.Kill()
	all.Wait()
	if answered.Load() == 0 {
		t.Errorf("none of %d requests was answered", clients)
	}
	t.Logf("%d of %d requests were answered", answered.Load(), clients)
}
