package membership

import (
	"bytes"
	"context"
	"fmt"
	"log/slog"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"
)

const patience = 20 * time.Second

func TestUnknownZoneAndKindAreTaken(t *testing.T) {
	n := NewNames([]string{"a"}, []string{"std"})
	hosts := n.Hosts([]Endpoint{{Name: "s", Address: "127.0.0.1:9", Zone: "moon", Type: "abacus", Status: Active}})
	if hosts[0].Zone != 1 || hosts[0].Kind != 1 {
		t.Errorf("got %+v", hosts)
	}
}

const twoHosts = `{"endpoints": [
  {"name": "a", "address": "127.0.0.1:6001", "zone": "hall", "type": "std", "group": 3},
  {"name": "b", "address": "127.0.0.1:6002", "status": "leaving"}
]}`

func TestParseFile(t *testing.T) {
	l, err := ParseFile([]byte(twoHosts))
	if err != nil || !l.Snapshot || len(l.Endpoints) != 2 || l.Endpoints[0].Status != Active || l.Endpoints[0].Group != 3 || l.Endpoints[1].Status != Leaving {
		t.Errorf("%+v, %v", l, err)
	}
	for text, want := range map[string]string{
		`{}`: "endpoints", `[]`: "", `{"endpoints":null}`: "endpoints", `{"snapshot":false,"endpoints":[]}`: "snapshot",
		`{"endpoints":[{"name":"a","address":"x"}]}`:                                                     "address",
		`{"endpoints":[{"address":"127.0.0.1:1"}]}`:                                                      "name",
		`{"endpoints":[{"name":"a","address":"127.0.0.1:1","status":"up"}]}`:                             "status",
		`{"endpoints":[{"name":"a","address":"127.0.0.1:1"},{"name":"a","address":"127.0.0.1:2"}]}`:      "twice",
		`{"endpoints":[{"name":"a","address":"127.0.0.1:1","since_ms":-1}]}`:                             "since_ms",
		`{"endpoints":[]} {"endpoints":[]}`:                                                              "",
		`{"endpoints":[{"name":"a","address":"127.0.0.1:1"}], "endpoints": "x"}`:                         "",
		`{"endpoints":[{"name":"a","address":"127.0.0.1:99999"}]}`:                                       "address",
		`{"endpoints":[{"name":"a","address":"127.0.0.1:1","since_ms":9223372036854775807}]}`:            "since_ms",
		"{\"endpoints\":[{\"name\":\"a\",\"address\":\"127.0.0.1:1\"}]}" + strings.Repeat("\x00", 1<<10): "",
	} {
		if _, err := ParseFile([]byte(text)); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%s: error %v, want %q in it", text, err, want)
		}
	}
}

// A file that is cut short can't be read, wherever the cut is.
func TestNoCutFileIsTaken(t *testing.T) {
	for n := range len(twoHosts) {
		if l, err := ParseFile([]byte(twoHosts[:n])); err == nil {
			t.Errorf("cut after %d bytes it is a list of %d", n, len(l.Endpoints))
		}
	}
}

// gather is a sink that keeps what it is told.
type gather struct {
	lists chan *List
}

func (g gather) List(l *List) { g.lists <- l }
func (g gather) Lost()        {}

// safeBuffer is a log that may be read while it is written.
type safeBuffer struct {
	mu  sync.Mutex
	buf bytes.Buffer
	got chan string
}

func (b *safeBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.got <- string(p)
	return b.buf.Write(p)
}

func await[T any](t *testing.T, c <-chan T, what string) T {
	t.Helper()
	select {
	case v := <-c:
		return v
	case <-time.After(patience):
		t.Fatalf("waited in vain for %s", what)
		panic("unreachable")
	}
}

// A watched file is followed; one that is cut short, empty, gone or wrong changes
// nothing, is told of once, and the next good one is taken.
func TestWatchedFile(t *testing.T) {
	path := filepath.Join(t.TempDir(), "hosts.json")
	write := func(text string) {
		t.Helper()
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	write(twoHosts)
	log := &safeBuffer{got: make(chan string, 100)}
	g := gather{make(chan *List, 16)}
	f := NewFollower(Config{Sink: g, Log: slog.New(slog.NewTextHandler(log, nil)), Every: time.Millisecond})
	ctx, end := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() { f.Run(ctx, Source{File: path}); close(ended) }()
	if l := await(t, g.lists, "the first list"); len(l.Endpoints) != 2 {
		t.Errorf("%+v", l)
	}
	for i, bad := range []string{twoHosts[:len(twoHosts)/2], "", "{}", "noise"} {
		write(bad)
		if line := await(t, log.got, "a warning"); !strings.Contains(line, "the old list stands") {
			t.Errorf("said %q", line)
		}
		good := fmt.Sprintf(`{"endpoints":[{"name":"n%d","address":"127.0.0.1:1"}]}`, i)
		write(good)
		if l := await(t, g.lists, "the list after a bad one"); l.Endpoints[0].Name != fmt.Sprintf("n%d", i) {
			t.Errorf("after %.10q: %+v", bad, l)
		}
	}
	if err := os.Remove(path); err != nil {
		t.Fatal(err)
	}
	await(t, log.got, "a warning")
	next := path + ".new" // put in place at once, as it should be
	if err := os.WriteFile(next, []byte(`{"endpoints":[]}`), 0o600); err != nil {
		t.Fatal(err)
	}
	if err := os.Rename(next, path); err != nil {
		t.Fatal(err)
	}
	if l := await(t, g.lists, "the empty list"); len(l.Endpoints) != 0 {
		t.Errorf("%+v", l)
	}
	end()
	await(t, ended, "the end")
	if len(g.lists) > 0 {
		t.Error("a list was taken twice")
	}
}

// Where a source moves, the old one counts until the new one has said something.
func TestMoveBetweenSources(t *testing.T) {
	path := filepath.Join(t.TempDir(), "hosts.json")
	g := gather{make(chan *List, 16)}
	f := NewFollower(Config{Sink: g, Log: slog.New(slog.DiscardHandler), Every: time.Millisecond})
	ctx, end := context.WithCancel(context.Background())
	ended := make(chan struct{})
	static := func(name string) Source { return Source{Static: []Endpoint{{Name: name, Status: Active}}} }
	go func() { f.Run(ctx, static("a")); close(ended) }()
	await(t, g.lists, "the static list")
	f.Move(Source{File: path}) // not there yet
	f.Move(Source{File: path})
	f.Move(static("a")) // and back
	f.Move(static("b"))
	if l := await(t, g.lists, "the second static list"); l.Endpoints[0].Name != "b" {
		t.Errorf("%+v", l)
	}
	f.Move(Source{File: path})
	if err := os.WriteFile(path, []byte(twoHosts), 0o600); err != nil {
		t.Fatal(err)
	}
	if l := await(t, g.lists, "the file"); len(l.Endpoints) != 2 {
		t.Errorf("%+v", l)
	}
	end()
	await(t, ended, "the end")
	f.Move(static("c")) // to nobody
	if len(g.lists) > 0 {
		t.Errorf("%d lists too many", len(g.lists))
	}
}

func FuzzParseFile(f *testing.F) {
	f.Add([]byte(twoHosts))
	f.Fuzz(func(t *testing.T, text []byte) {
		l, err := ParseFile(text)
		if err == nil && CheckAll(l.Endpoints) != nil {
			t.Fatalf("%+v was taken", l)
		}
	})
}
