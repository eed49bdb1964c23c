package source

import (
	"context"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"frostshift/internal/membership"
)

// A discovery whose line has no end is cut off, with a reason, and asked again; what it had
// said stands.
func TestLineWithoutEnd(t *testing.T) {
	good := `{"Index":3,"Snapshot":true,"Endpoints":[{"Name":"a","Address":"127.0.0.1:1","Status":"active"}]}` + "\n"
	noise := []byte(strings.Repeat("x", 64<<10))
	sent := make(chan int, 16)
	asked := make(chan string, 16)
	d := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		asked <- r.URL.Query().Get("from")
		w.Write([]byte(good))
		n := 0
		for r.Context().Err() == nil {
			if _, err := w.Write(noise); err != nil {
				break
			}
			n += len(noise)
		}
		select {
		case sent <- n:
		default:
		}
	}))
	log := &safeBuffer{got: make(chan string, 100)}
	g := gather{make(chan *membership.List, 100)}
	f := NewFollower(Config{Sink: g, Log: slog.New(slog.NewTextHandler(log, nil))})
	ctx, end := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() { f.Run(ctx, Spec{Discovery: strings.TrimPrefix(d.URL, "http://")}); close(ended) }()
	if l := await(t, g.lists, "the list before the noise"); len(l.Endpoints) != 1 {
		t.Errorf("%+v", l)
	}
	if line := await(t, log.got, "a warning"); !strings.Contains(line, "too long") {
		t.Errorf("said %q", line)
	}
	if n := await(t, sent, "the end of the noise"); n < maxLine || n > 16*maxLine { // what is on its way in buffers counts
		t.Errorf("%d bytes of one line were sent", n)
	}
	await(t, asked, "the first question")
	if from := await(t, asked, "another question"); from != "3" {
		t.Errorf("asked again from %q", from)
	}
	end()
	await(t, ended, "the end")
	d.CloseClientConnections()
	d.Close()
}
