package gateway

import (
	"bytes"
	"io"
	"net/http"
	"sync/atomic"
	"testing"

	"frostshift/internal/spool"
)

// A client that takes nothing in slows its host, in bounded memory, and nobody else.
func TestSlowClientsSlowTheirHosts(t *testing.T) {
	inEach(t, func(t *testing.T, client, host string) {
		var wrote atomic.Int64
		addr := netHost(t, host, func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path == "/small" {
				io.WriteString(w, "small")
				return
			}
			part := make([]byte, 64<<10)
			for {
				n, err := w.Write(part)
				wrote.Add(int64(n))
				if err != nil {
					return
				}
			}
		})
		g := launch(t, flowing(t, client, host, "safe", `answers = "stream"`, addr))
		c := talker(t, client)
		var open []*http.Response
		for range 8 {
			resp, err := c.Get(g.url + "/endless")
			if err != nil {
				t.Fatal(err)
			}
			open = append(open, resp)
		}
		// They have stopped once nothing more is written while others are served.
		for last := int64(-1); last != wrote.Load(); {
			last = wrote.Load()
			for range 20 {
				resp, err := c.Get(g.url + "/small")
				if err != nil {
					t.Fatal(err)
				}
				body, _ := io.ReadAll(resp.Body)
				resp.Body.Close()
				if string(body) != "small" {
					t.Fatalf("beside slow clients: %q", body)
				}
			}
		}
		if n := wrote.Load(); n > 8*(12<<20) {
			t.Errorf("%d bytes are under way to clients that read none", n)
		}
		for _, resp := range open {
			resp.Body.Close()
		}
		idle(t, g)
	})
}

// A client that drips, or stops, ends at its bound.
func TestSlowUploadsEnd(t *testing.T) {
	for _, client := range protocols {
		t.Run(client, func(t *testing.T) {
			addr := netHost(t, "http1", func(w http.ResponseWriter, r *http.Request) { io.Copy(io.Discard, r.Body) })
			g := launch(t, flowing(t, client, "http1", "unsafe", "requests = \"stream\"\nidle = \"100ms\"", addr))
			in, out := io.Pipe()
			defer out.Close()
			go out.Write([]byte("then nothing"))
			r, _ := http.NewRequest(http.MethodPost, g.url+"/x", in)
			resp, err := talker(t, client).Do(r)
			if err != nil {
				t.Fatal(err)
			}
			resp.Body.Close()
			if resp.StatusCode != http.StatusBadRequest { // a host has had a part of it: no 408
				t.Errorf("answered %d", resp.StatusCode)
			}
			idle(t, g)
		})
	}
}

// Too long is too long, told or not.
func TestLongestBody(t *testing.T) {
	addr := netHost(t, "http1", func(w http.ResponseWriter, r *http.Request) { io.Copy(io.Discard, r.Body) })
	for _, client := range protocols {
		for _, mode := range []string{"stream", "auto"} {
			g := launch(t, flowing(t, client, "http1", "unsafe", "most = 1000\nrequests = \""+mode+`"`, addr))
			for _, body := range []io.Reader{bytes.NewReader(make([]byte, 1001)), unsized{bytes.NewReader(make([]byte, 1001))}} {
				r, _ := http.NewRequest(http.MethodPost, g.url+"/x", body)
				resp, err := talker(t, client).Do(r)
				if err != nil {
					t.Fatal(err)
				}
				resp.Body.Close()
				if resp.StatusCode != http.StatusRequestEntityTooLarge {
					t.Errorf("%s, %s: answered %d", client, mode, resp.StatusCode)
				}
			}
			idle(t, g)
		}
	}
}

// A disk that is full, or gone, costs the replay and no request; or the request, where that is
// asked for.
func TestSpoolWithoutRoom(t *testing.T) {
	addr := netHost(t, "http1", func(w http.ResponseWriter, r *http.Request) {
		if n, err := io.Copy(io.Discard, r.Body); err != nil || n != 300000 {
			w.WriteHeader(http.StatusTeapot)
		}
	})
	for _, c := range []struct {
		full   string
		status int
	}{{"stream", 200}, {"refuse", 502}} {
		g := launch(t, flowing(t, "http1", "http1", "unsafe", "requests = \"stream\"\nreplay = 1000\nspool = 900000\nfull = \""+c.full+`"`, addr))
		d, err := spool.Open(t.TempDir(), 100000, 0)
		if err != nil {
			t.Fatal(err)
		}
		g.admission.Spool(d)
		r, _ := http.NewRequest(http.MethodPost, g.url+"/x", unsized{bytes.NewReader(make([]byte, 300000))})
		resp, err := talker(t, "http1").Do(r)
		if err != nil {
			t.Fatal(err)
		}
		resp.Body.Close()
		if resp.StatusCode != c.status {
			t.Errorf("full = %s: answered %d, want %d", c.full, resp.StatusCode, c.status)
		}
		idle(t, g)
		if used, files := d.Used(); used != 0 || files != 0 {
			t.Errorf("%d bytes in %d files stay", used, files)
		}
	}
}
