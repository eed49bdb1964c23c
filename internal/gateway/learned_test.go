package gateway

import (
	"os"
	"path/filepath"
	"testing"
	"time"

	"frostshift"
	"frostshift/internal/fake"
	"frostshift/internal/membership"
)

// What pools have learned is there in the gateway's next process: after a stop, and after an end without one, from what
// was written last. A damaged file costs one generation, and a process that finds the folder taken has it once it is let go.
func TestWhatWasLearnedOutlivesTheProcess(t *testing.T) {
	slow := scripted(t, func(*fake.Request) fake.Act { time.Sleep(30 * time.Millisecond); return fake.Serve("slow") })
	fast := scripted(t, func(*fake.Request) fake.Act { return fake.Serve("fast") })
	m := gossipModel(t, "g1", "127.0.0.1:0", "127.0.0.1:1", slow.Addr(), "")
	m.Pools[0].Sources[0].Static = append(m.Pools[0].Sources[0].Static, membership.Endpoint{Name: fast.Addr(), Address: fast.Addr(), Status: membership.Active})
	m.Gossip, m.State = nil, t.TempDir()
	begin := func() *running {
		return launch(t, m, func(o *Options) { o.Linger, o.KeepEvery = func() {}, 10*time.Millisecond })
	}
	rtt := func(g *running) (list [2]float64) {
		t.Helper()
		got := make(chan frostshift.Memory, 1)
		g.pools["p"].ex.Memory(func(m frostshift.Memory, _ float64) { got <- m })
		for _, h := range await(t, got, "what is learned").Hosts {
			for i, host := range []string{slow.Addr(), fast.Addr()} {
				if h.ID == membership.HostID(host) && !h.Fresh {
					list[i] = h.RTT
				}
			}
		}
		return list
	}
	end := func(g *running) {
		t.Helper()
		g.stop()
		await(t, g.end, "the end")
	}
	g := begin()
	for range 40 {
		if status, _, _ := do(t, request(t, g.url, "look", "")); status != 200 {
			t.Fatalf("answered %d", status)
		}
	}
	before := rtt(g)
	if before[0] < 0.02 || before[1] == 0 {
		t.Fatalf("learned %v", before)
	}
	end(g)
	g = begin()
	until(t, "what was learned is taken", func() bool { return rtt(g) == before })

	// Another process finds the folder taken, and has it, and what is in it, once this one is over.
	other := begin()
	if got := rtt(other); got != [2]float64{} {
		t.Errorf("a second process has learned %v", got)
	}
	end(g)
	path := filepath.Join(m.State, LearnedDir, "state")
	was, err := os.Stat(path)
	if err != nil {
		t.Fatal(err)
	}
	until(t, "the second writes", func() bool {
		now, err := os.Stat(path)
		return err == nil && !os.SameFile(was, now)
	})
	for range 20 {
		do(t, request(t, other.url, "look", ""))
	}
	until(t, "the second has written it", func() bool { return rtt(other)[0] > 0 || rtt(other)[1] > 0 })
	end(other)

	// The newest file is cut short: what it held is worth one write.
	text, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(path, text[:len(text)/2], 0o600); err != nil {
		t.Fatal(err)
	}
	g = begin()
	until(t, "the generation before is taken", func() bool { return rtt(g) != [2]float64{} })
	end(g)
	for _, name := range []string{path, path + ".1"} {
		if err := os.WriteFile(name, []byte("nonsense"), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	g = begin()
	if got := rtt(g); got != [2]float64{} {
		t.Errorf("nonsense taught %v", got)
	}
	end(g)
}
