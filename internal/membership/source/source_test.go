package source

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

	"frostshift/internal/membership"
)

const patience = 20 * time.Second

const twoHosts = `{"endpoints": [
  {"name": "a", "address": "127.0.0.1:6001", "zone": "hall", "type": "std", "group": 3},
  {"name": "b", "address": "127.0.0.1:6002", "status": "leaving"}
]}`

// gather is a sink that keeps what it is told.
type gather struct {
	lists chan *membership.List
}

func (g gather) List(l *membership.List) { g.lists <- l }
func (g gather) Lost()                   {}
func (g gather) Moved()                  {}

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
	g := gather{make(chan *membership.List, 16)}
	f := NewFollower(Config{Sink: g, Log: slog.New(slog.NewTextHandler(log, nil)), Every: time.Millisecond})
	ctx, end := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() { f.Run(ctx, Spec{File: path}); close(ended) }()
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
	g := gather{make(chan *membership.List, 16)}
	f := NewFollower(Config{Sink: g, Log: slog.New(slog.DiscardHandler), Every: time.Millisecond})
	ctx, end := context.WithCancel(context.Background())
	ended := make(chan struct{})
	static := func(name string) Spec {
		return Spec{Static: []membership.Endpoint{{Name: name, Status: membership.Active}}}
	}
	go func() { f.Run(ctx, static("a")); close(ended) }()
	await(t, g.lists, "the static list")
	f.Move(Spec{File: path}) // not there yet
	f.Move(Spec{File: path})
	f.Move(static("a")) // and back
	f.Move(static("b"))
	if l := await(t, g.lists, "the second static list"); l.Endpoints[0].Name != "b" {
		t.Errorf("%+v", l)
	}
	f.Move(Spec{File: path})
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
