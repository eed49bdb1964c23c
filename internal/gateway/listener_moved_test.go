package gateway

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"testing"
	"time"

	"frostshift/internal/config"
	"frostshift/internal/front/http1"
)

// Answers, uploads and switched protocols on a listener that a reload takes away: they were cut off behind a deadline and 3 s.
func TestWhatFlowsOutlivesItsListener(t *testing.T) {
	const deadline = time.Second
	const part, parts = 4 << 10, 12
	const rest = (deadline + http1.SendWithin + time.Second) / parts // it takes a second longer than what cut it off
	paced := func(w io.Writer, flush func()) error {
		for i := range parts {
			if _, err := w.Write(noise(part)); err != nil {
				return fmt.Errorf("part %d: %w", i, err)
			}
			flush()
			time.Sleep(rest)
		}
		return nil
	}
	whole := bytes.Repeat(noise(part), parts)
	takeAway := func(t *testing.T, g *running, m *config.Model) {
		t.Helper()
		next := *m
		next.Listeners = []config.Listener{{Name: "others", Address: "127.0.0.1:0"}}
		if err := g.Reload(&next); err != nil {
			t.Error(err)
		}
	}
	gone := func(t *testing.T, g *running) {
		t.Helper()
		until(t, "the old server has ended", func() bool {
			g.mu.Lock()
			defer g.mu.Unlock()
			return len(g.retiring) == 0
		})
	}
	for _, client := range protocols {
		t.Run("answer/"+client, func(t *testing.T) {
			t.Parallel()
			addr := netHost(t, "http1", func(w http.ResponseWriter, r *http.Request) {
				if err := paced(w, w.(http.Flusher).Flush); err != nil {
					t.Errorf("the host can give no more: %v", err)
				}
			})
			m := withDeadline(flowing(t, client, "http1", "unsafe", `answers = "stream"`, addr), deadline)
			g := launch(t, m)
			resp, err := talker(t, client).Get(g.url + "/x")
			if err != nil {
				t.Fatal(err)
			}
			defer resp.Body.Close()
			takeAway(t, g, m)
			if got, err := io.ReadAll(resp.Body); err != nil || !bytes.Equal(got, whole) {
				t.Errorf("%d of %d bytes, %v", len(got), len(whole), err)
			}
			gone(t, g)
		})
		t.Run("upload/"+client, func(t *testing.T) {
			t.Parallel()
			came, begun := make(chan []byte, 1), make(chan struct{})
			addr := netHost(t, "http1", func(w http.ResponseWriter, r *http.Request) {
				close(begun)
				body, err := io.ReadAll(r.Body)
				if err != nil {
					t.Errorf("the host has %d bytes, %v", len(body), err)
				}
				came <- body
			})
			m := withDeadline(flowing(t, client, "http1", "unsafe", `requests = "stream"`, addr), deadline)
			g := launch(t, m)
			body, from := io.Pipe()
			go func() {
				taken := false
				from.CloseWithError(paced(from, func() {
					if !taken {
						taken = true
						<-begun
						takeAway(t, g, m)
					}
				}))
			}()
			resp, err := talker(t, client).Post(g.url+"/x", "", body)
			if err != nil {
				t.Fatal(err)
			}
			resp.Body.Close()
			if got := await(t, came, "the upload"); resp.StatusCode != http.StatusOK || !bytes.Equal(got, whole) {
				t.Errorf("answered %d, the host has %d of %d bytes", resp.StatusCode, len(got), len(whole))
			}
			gone(t, g)
		})
	}
	t.Run("switched protocol", func(t *testing.T) {
		t.Parallel()
		m := withDeadline(flowing(t, "http1", "http1", "unsafe", `upgrades = ["echo"]`, echoes(t)), deadline)
		g := launch(t, m)
		c, in := switched(t, g)
		takeAway(t, g, m)
		go paced(c, func() {})
		got := make([]byte, len(whole))
		if n, err := io.ReadFull(in, got); err != nil || !bytes.Equal(got, whole) {
			t.Errorf("%d of %d bytes came back, %v", n, len(whole), err)
		}
		c.Close()
		gone(t, g)
	})
}

// A stop right behind the reload that takes a listener away: its server was closed with requests open.
func TestStopTakesRetiringServersOver(t *testing.T) {
	t.Parallel()
	for range 3 {
		addr, taken, _ := heldHost(t)
		m := booking(t, "", addr)
		g := launch(t, m, func(o *Options) { o.Linger = func() {} })
		c := held(t, g, taken)
		next := withDeadline(m, 300*time.Millisecond)
		next.Listeners = []config.Listener{{Name: "others", Address: "127.0.0.1:0"}}
		if err := g.Reload(next); err != nil {
			t.Fatal(err)
		}
		g.stop()
		if status, _, _, err := c.Receive(); err != nil || status != http.StatusBadGateway {
			t.Fatalf("answered %d, %v", status, err)
		}
		await(t, g.end, "the end")
	}
}
