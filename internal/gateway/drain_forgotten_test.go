package gateway

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"frostshift/internal/config"
	"frostshift/internal/fake"
)

// A host that discovery called leaving, and then said no more: the pool of a reload, or the next process, used it again.
func TestDrainIsKnownToThePoolBehind(t *testing.T) {
	for _, sources := range []string{"file and discovery", "discovery alone", "platform"} {
		for _, way := range []string{"reload", "upgrade"} {
			if way == "upgrade" && sources == "platform" {
				continue // it is told the whole list: TestUpgradesUnderLoad
			}
			t.Run(sources+", "+way, func(t *testing.T) {
				t.Parallel()
				a, gotA := serving(t, "a")
				b, gotB := serving(t, "b")
				ln, err := net.Listen("tcp", "127.0.0.1:0")
				if err != nil {
					t.Fatal(err)
				}
				outage := &fake.Outage{Listener: ln}
				d := fake.NewDiscoveryOn(outage)
				t.Cleanup(d.End)
				m := drainModel(t, sources, d.Addr(), a, b)
				told := make(chan struct{})
				go func() {
					defer close(told)
					w := await(t, d.Watches, "the watch")
					say(t, w, listOf(1, true, entry("a", a, "active"), entry("b", b, "active")))
					say(t, w, listOf(2, false, entry("a", a, "leaving")))
				}()
				g := launch(t, m)
				ask := func(g *running) {
					t.Helper()
					r := request(t, g.url, "lookup", "")
					if status, _, _ := do(t, r); status != http.StatusOK {
						t.Errorf("answered %d", status)
					}
				}
				await(t, told, "the drain to be told")
				until(t, "the drain is known", func() bool {
					before := len(gotA)
					for range 20 {
						ask(g)
					}
					return len(gotA) == before
				})
				outage.Down.Store(true)
				d.CloseClientConnections()
				if way == "reload" {
					if err := g.Reload(withNewPool(m)); err != nil {
						t.Fatal(err)
					}
				} else {
					g = launchServing(t, m)
				}
				beforeA, beforeB := len(gotA), len(gotB)
				for range 40 {
					ask(g)
				}
				if n := len(gotA) - beforeA; n > 0 || len(gotB) == beforeB {
					t.Errorf("the host that leaves got %d of 40 requests", n)
				}
			})
		}
	}
}

// drainModel is a gateway of two hosts whose discovery is the source that counts.
func drainModel(t *testing.T, sources, discovery, a, b string) *config.Model {
	t.Helper()
	if sources == "platform" {
		return parse(t, discovery, listOf(1, true, entry("a", a, "active"), entry("b", b, "active")))
	}
	dir, err := os.MkdirTemp("", "dr") // short: the path of a socket must be
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { os.RemoveAll(dir) })
	file := filepath.Join(dir, "hosts.json")
	text := fmt.Sprintf("{\"endpoints\":[%s]}\n", strings.Join([]string{entry("a", a, "active"), entry("b", b, "active")}, ","))
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	list := fmt.Sprintf("[[pool.source]]\ndiscovery = %q\n", discovery)
	if sources == "file and discovery" {
		list = fmt.Sprintf("[[pool.source]]\nfile = %q\n", file) + list
	}
	m := parsed(t, fmt.Sprintf(`
name = "edge"
[[listener]]
name = "clients"
address = "127.0.0.1:0"
[[class]]
name = "lookup"
effect = "safe"
deadline = "3s"
[[pool]]
name = "p"
%s
[[route]]
name = "all"
prefix = "/"
class = "lookup"
pool = "p"
`, list))
	m.HotRestart = filepath.Join(dir, "g.sock")
	return m
}
