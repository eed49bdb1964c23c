package gateway

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"frostshift/internal/fake"
)

// A move that a restart, or a reload and a restart behind it, does not name any more: keys ran in both pools.
func TestKeysOfAMoveThatIsNotNamedAnyMoreStay(t *testing.T) {
	const window = 8 * time.Second // also the time in which a new move deals no key
	for _, way := range []string{"restart", "two restarts", "reload and restart", "restart with other pools"} {
		t.Run(way, func(t *testing.T) {
			t.Parallel()
			old, fresh := scripted(t, fake.Always(fake.Serve("old"))), scripted(t, fake.Always(fake.Serve("new")))
			dir := t.TempDir()
			m := parseMoving(t, dir, old, fresh, "[0.5]")
			m.Moves[0].Window = window
			g := begin(t, m)
			until(t, "the step is reached", func() bool {
				ask(t, g, "GET", "/look/x")
				return statusOf(t, g).Share == 0.5
			})
			went := map[string]string{}
			first := time.Now()
			n, news := 0, 0
			until(t, "keys go to both pools", func() bool {
				key := fmt.Sprint("k", n, "-", len(went))
				status, body, _ := ask(t, g, "POST", "/report/x", "Idempotency-Key: "+key)
				if status != 200 {
					t.Fatalf("%s: answered %d", key, status)
				}
				if went[key] = strings.TrimSpace(body); went[key] == "new" {
					news++
				}
				if news == 0 { // those before it may be older than the window when they come again
					clear(went)
					first = time.Now()
					n++
				}
				return news >= 10 && len(went) >= 30
			})
			next := parseMoved(t, dir, old)
			switch way {
			case "reload and restart":
				next.Listeners = m.Listeners
				if err := g.Reload(next); err != nil {
					t.Fatal(err)
				}
			case "restart with other pools":
				next = parseMovingTo(t, dir, old, "third", scripted(t, fake.Always(fake.Serve("third"))), "[0.5]")
			}
			halt(t, g)
			g = begin(t, next)
			if way == "two restarts" {
				halt(t, g)
				g = begin(t, next)
			}
			held := 0
			for key, pool := range went {
				status, body, _ := ask(t, g, "POST", "/report/x", "Idempotency-Key: "+key)
				switch {
				case status == 200 && strings.TrimSpace(body) != pool && time.Since(first) < window:
					t.Errorf("%s ran in the %s pool, and then in the %s one", key, pool, strings.TrimSpace(body))
				case status == 200:
					held++
				case status != 502:
					t.Errorf("%s: answered %d", key, status)
				}
			}
			if held == 0 {
				t.Error("no key is known")
			}
			halt(t, g)
		})
	}
}
