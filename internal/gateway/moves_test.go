package gateway

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"frostshift/internal/config"
	"frostshift/internal/fake"
	"frostshift/internal/moves"
	"frostshift/internal/shift"
)

const moveClasses = `
[[class]]
name = "report"
effect = "keyed"
window = "60s"
aim = "1s"
deadline = "3s"
`

// parseMoving is a gateway whose traffic moves between two stand-ins, with a state folder.
func parseMoving(t *testing.T, dir string, old, new *fake.Host, steps string) *config.Model {
	t.Helper()
	return parseMovingTo(t, dir, old, "new", new, steps)
}

// parseMovingTo is parseMoving with another name of the new pool.
func parseMovingTo(t *testing.T, dir string, old *fake.Host, to string, new *fake.Host, steps string) *config.Model {
	t.Helper()
	text := fmt.Sprintf("state = %q\n", dir) + head + moveClasses + fmt.Sprintf(`
[[pool]]
name = "old"
hosts = [%q]
[[pool]]
name = %q
hosts = [%q]
[[route]]
name = "look"
prefix = "/look"
class = "lookup"
pool = "old"
[[route]]
name = "report"
prefix = "/report"
class = "report"
pool = "old"
[[move]]
name = "m"
routes = ["look", "report"]
from = "old"
to = %q
steps = %s
least = "300ms"
margin = 0.3
`, old.Addr(), to, new.Addr(), to, steps)
	m, _, err := config.Parse(filepath.Join(t.TempDir(), "gw.toml"), []byte(text))
	if err != nil {
		t.Fatal(err)
	}
	return m
}

func statusOf(t *testing.T, g *running) shift.Status {
	t.Helper()
	list := g.Moves().Status()
	if len(list) != 1 {
		t.Fatalf("%d moves", len(list))
	}
	return list[0]
}

func begin(t *testing.T, m *config.Model) *running {
	t.Helper()
	return launch(t, m, func(o *Options) { o.Linger = func() {} })
}

// halt stops a gateway and waits for its end.
func halt(t *testing.T, g *running) {
	t.Helper()
	g.stop()
	if err := <-g.end; err != nil {
		t.Fatal(err)
	}
}

// A move takes its steps on the requests themselves, an operator can speak to it over its
// socket, and what falls comes back.
func TestMoveOverLoopback(t *testing.T) {
	t.Parallel()
	var fails atomic.Bool
	old := scripted(t, fake.Always(fake.Serve("old")))
	fresh := scripted(t, func(*fake.Request) fake.Act {
		if fails.Load() {
			return fake.Error()
		}
		return fake.Serve("new")
	})
	dir := t.TempDir()
	g := begin(t, parseMoving(t, dir, old, fresh, "[0.1, 0.2]"))
	asked := func() {
		for range 20 {
			ask(t, g, "GET", "/look/x")
		}
	}
	until(t, "the second step is reached", func() bool { asked(); s := statusOf(t, g); return s.Step == 2 && s.Share == s.Target })
	client := moves.Dial(dir)
	post := func(word string, want int) {
		t.Helper()
		r, err := client.Post("http://gateway/moves/"+word, "", nil)
		if err != nil {
			t.Fatal(err)
		}
		r.Body.Close()
		if r.StatusCode != want {
			t.Errorf("%s: %d, want %d", word, r.StatusCode, want)
		}
	}
	if info, err := os.Stat(filepath.Join(dir, moves.SocketName)); err != nil || info.Mode().Perm() != 0o600 {
		t.Errorf("the socket: %v, %v", info, err)
	}
	post("m/pause", 200)
	post("m/pause", 409)
	post("m/resume", 200)
	post("m/sing", 404)
	post("x/undo", 404)
	fails.Store(true)
	until(t, "it is undone", func() bool { asked(); return statusOf(t, g).State == "undone" })
	before := fresh.Total()
	asked()
	if fresh.Total() != before {
		t.Error("the new pool gets requests after it was left")
	}
	halt(t, g)
}

// A key goes where its first try went: while steps are taken, after a restart, and after the
// move was taken out of the configuration; where nothing tells any more it fails.
func TestKeysStayOverLoopback(t *testing.T) {
	t.Parallel()
	old := scripted(t, fake.Always(fake.Serve("old")))
	fresh := scripted(t, fake.Always(fake.Serve("new")))
	dir := t.TempDir()
	model := func(steps string) *config.Model {
		m := parseMoving(t, dir, old, fresh, steps)
		m.Moves[0].Window = 4 * time.Second // a key that is used lives on
		return m
	}
	g := begin(t, model("[0.2]"))
	went := map[string]string{}
	check := func(when string) (failed int) {
		t.Helper()
		for key, want := range went {
			status, body, _ := ask(t, g, "POST", "/report/x", "Idempotency-Key: "+key)
			switch {
			case status == 502:
				failed++
			case status != 200 || !strings.HasPrefix(body, want):
				t.Errorf("%s: %s went to %s and then to %q (%d)", when, key, want, body, status)
			}
		}
		return failed
	}
	put := func(i int) string {
		key := fmt.Sprintf("k%d", i)
		status, body, _ := ask(t, g, "POST", "/report/x", "Idempotency-Key: "+key)
		if status != 200 {
			t.Fatalf("%s: %d", key, status)
		}
		went[key] = strings.TrimSpace(body)
		return went[key]
	}
	n := 0
	until(t, "keys go to the new pool", func() bool { n++; return put(n) == "new" })
	clear(went) // those before it are older than this share
	for range 40 {
		n++
		put(n)
	}
	// At the larger share many of the old pool's keys would be dealt to the new one.
	next := model("[0.6]")
	if err := g.Reload(next); err != nil {
		t.Fatal(err)
	}
	until(t, "the step is reached", func() bool {
		if failed := check("on the way to the step"); failed > 0 {
			t.Errorf("%d keys failed though they are known", failed)
		}
		return statusOf(t, g).Share == 0.6
	})
	news := 0
	for range 20 {
		n++
		if put(n) == "new" {
			news++
		}
	}
	if news == 0 {
		t.Error("no new key goes to the new pool")
	}
	halt(t, g)
	g = begin(t, next)
	if s := statusOf(t, g); s.Share > 0.6 || s.State != "held" {
		t.Errorf("after a restart it is %s at %v", s.State, s.Share)
	}
	check("after a restart")
	if err := g.Reload(parseMoved(t, dir, old)); err != nil {
		t.Fatal(err)
	}
	check("after the move was taken out")
	halt(t, g)
}

// parseMoved is what parseMoving gives without its move and its new pool.
func parseMoved(t *testing.T, dir string, old *fake.Host) *config.Model {
	t.Helper()
	text := fmt.Sprintf("state = %q\n", dir) + head + moveClasses + fmt.Sprintf("[[pool]]\nname = \"old\"\nhosts = [%q]\n[[route]]\nname = \"report\"\nprefix = \"/report\"\nclass = \"report\"\npool = \"old\"\n", old.Addr())
	m, _, err := config.Parse("gw.toml", []byte(text))
	if err != nil {
		t.Fatal(err)
	}
	return m
}

// A state file that is cut, flipped or of a later version loses nothing but what it held: the
// gateway starts, goes on at most where it was, and keys that nothing tells fail.
func TestDamagedState(t *testing.T) {
	old := scripted(t, fake.Always(fake.Serve("old")))
	fresh := scripted(t, fake.Always(fake.Serve("new")))
	for name, damage := range map[string]func([]byte) []byte{
		"cut":        func(b []byte) []byte { return b[:len(b)/2] },
		"flipped":    func(b []byte) []byte { b[len(b)/2] ^= 0x40; return b },
		"empty":      func([]byte) []byte { return nil },
		"of a later": func(b []byte) []byte { return []byte(strings.Replace(string(b), "part moves 1 ", "part moves 9 ", 1)) },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			dir := t.TempDir()
			m := parseMoving(t, dir, old, fresh, "[0.2]")
			g := begin(t, m)
			until(t, "the step is reached", func() bool { return statusOf(t, g).Share == 0.2 })
			halt(t, g)
			for _, file := range []string{"state", "state.1"} {
				path := filepath.Join(dir, file)
				text, err := os.ReadFile(path)
				if err != nil {
					t.Fatal(err)
				}
				if err := os.WriteFile(path, damage(text), 0o600); err != nil {
					t.Fatal(err)
				}
			}
			g = begin(t, m)
			defer halt(t, g)
			if status, _, _ := ask(t, g, "GET", "/look/x"); status != 200 {
				t.Errorf("a lookup: %d", status)
			}
			if status, body, _ := ask(t, g, "POST", "/report/x", "Idempotency-Key: a"); status != 502 {
				t.Errorf("a key of which nothing is known: %d %q", status, body)
			}
			if s := statusOf(t, g); s.Share >= 0.2 {
				t.Errorf("it begins at %v", s.Share)
			}
			if err := g.Reload(parseMoved(t, dir, old)); err != nil {
				t.Fatal(err)
			}
			if status, body, _ := ask(t, g, "POST", "/report/x", "Idempotency-Key: a"); status != 502 {
				t.Errorf("the same key after the move was taken out: %d %q", status, body)
			}
		})
	}
}

// Two gateways on one folder: the second serves and remembers nothing.
func TestSecondOnAFolder(t *testing.T) {
	t.Parallel()
	old := scripted(t, fake.Always(fake.Serve("old")))
	dir := t.TempDir()
	m := parseMoving(t, dir, old, old, "[0.5]")
	first := begin(t, m)
	second := begin(t, m)
	if status, _, _ := ask(t, second, "GET", "/look/x"); status != 200 {
		t.Errorf("%d", status)
	}
	halt(t, second)
	// The socket opens beside the first requests, and stays the first one's.
	until(t, "the first one's socket answers", func() bool {
		r, err := moves.Dial(dir).Get("http://gateway/moves")
		if err == nil {
			r.Body.Close()
		}
		return err == nil
	})
	halt(t, first)
}
