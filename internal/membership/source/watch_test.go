package source

import (
	"bufio"
	"context"
	"errors"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"frostshift/internal/membership"
)

// A discovery whose message has no end is cut off, with a reason, and asked again; what it had
// said stands.
func TestLineWithoutEnd(t *testing.T) {
	good := `{"Index":3,"Snapshot":true,"Endpoints":[{"Name":"a","Address":"127.0.0.1:1","Status":"active"}]}` + "\n"
	noise := []byte(strings.Repeat("x", 64<<10)) // within a name that does not end
	sent := make(chan int, 16)
	asked := make(chan string, 16)
	d := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		asked <- r.URL.Query().Get("from")
		w.Write([]byte(good + `{"Index":4,"Endpoints":[{"Name":"`))
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
	if n := await(t, sent, "the end of the noise"); n < maxMessage || n > 16*maxMessage { // what is on its way in buffers counts
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

// Lists come on one line, on several, in pieces, several at once, with heartbeats between: each is
// taken as soon as it is whole, and only heartbeats and whole lists show that the watch is alive.
func TestMessagesInAllForms(t *testing.T) {
	in, out := io.Pipe()
	alive := 0
	m := newMessages(in, func() { alive++ })
	pieces := []struct {
		text  string
		want  []int // indices that are whole behind it
		alive int
	}{
		{"\n", nil, 1},
		{"{\"index\":1}\n", []int{1}, 2},
		{"\r\n", nil, 3},
		{"{\n  \"index\": 2,\n", nil, 3},
		{"\n\n", nil, 3},
		{"  \"endpoints\": []\n}\n", []int{2}, 4},
		{"{\"index\":3}{\"index\":4}\n{", []int{3, 4}, 6},
		{"\n", nil, 6},
		{"\"index\":5}", []int{5}, 7},
	}
	got := make(chan int, 8)
	end := make(chan error, 1)
	go func() {
		for {
			var list struct{ Index int }
			if err := m.next(&list); err != nil {
				end <- err
				return
			}
			got <- list.Index
		}
	}()
	for _, p := range pieces[:len(pieces)-1] {
		io.WriteString(out, p.text)
		for _, want := range p.want {
			if i := await(t, got, "a list"); i != want {
				t.Errorf("list %d behind %q, want %d", i, p.text, want)
			}
		}
		if len(p.want) == 0 && len(got) > 0 {
			t.Errorf("a list behind %q", p.text)
		}
	}
	last := pieces[len(pieces)-1]
	io.WriteString(out, last.text)
	await(t, got, "the last list")
	out.CloseWithError(io.EOF)
	if err := await(t, end, "the end"); !errors.Is(err, errWatchEnded) {
		t.Errorf("ended with %v", err)
	}
	if alive != last.alive {
		t.Errorf("alive %d times, want %d", alive, last.alive)
	}
}

// A watch that is cut within a list says so, and nothing of the list is taken.
func TestListCutShort(t *testing.T) {
	m := newMessages(strings.NewReader("{\"index\":1}\n{\"index\":2,\"endpoints\":[{"), func() {})
	var list membership.List
	if err := m.next(&list); err != nil || *list.Index != 1 {
		t.Fatalf("%+v, %v", list, err)
	}
	if err := m.next(&list); !errors.Is(err, errWatchBroken) {
		t.Errorf("ended with %v", err)
	}
}

// pipeDiscovery is a discovery on pipes: each call is handed to the test, on whose clock all goes.
type pipeDiscovery struct {
	calls chan net.Conn
	reset atomic.Bool // the connection that is open ends with a reset
}

func (d *pipeDiscovery) dial(ctx context.Context, _, _ string) (net.Conn, error) {
	near, far := net.Pipe()
	select {
	case d.calls <- far:
		return resettable{near, &d.reset}, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// ends marks what a discovery says before it ends the connection.
const ends = "\x00"

// resets marks what a discovery says before it resets the connection.
const resets = "\x01"

// resettable is a connection whose end is a reset where its discovery says so.
type resettable struct {
	net.Conn
	reset *atomic.Bool
}

func (c resettable) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if errors.Is(err, io.EOF) && c.reset.Load() {
		err = syscall.ECONNRESET
	}
	return n, err
}

// A change is known within 6 s of its being there, whatever has become of the watch: silent from
// some moment on, silent within a list, ended, refused, or a call that is taken and not answered.
func TestChangesAreKnownInTime(t *testing.T) {
	head := "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n\r\n"
	for name, said := range map[string]string{
		"silent watch":      head + "{\"index\":1,\"snapshot\":true}\n\n",
		"silent in a list":  head + "{\"index\":1,\"snapshot\":true}\n{\"index\":2,",
		"unanswered call":   "",
		"half a head":       "HTTP/1.1 200 OK\r\nContent-",
		"silent from begin": head,
		"refusal":           "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n",
		"end":               head + "{\"index\":1,\"snapshot\":true}\n" + ends,
		"end at once":       ends,
		"reset":             head + "{\"index\":1,\"snapshot\":true}\n" + resets,
		"reset at once":     resets,
	} {
		for _, asked := range []bool{false, true} {
			synctest.Test(t, func(t *testing.T) {
				d := &pipeDiscovery{calls: make(chan net.Conn)}
				g := lossy{make(chan *membership.List, 16), make(chan struct{}, 16)}
				f := NewFollower(Config{Sink: g, Log: slog.New(slog.DiscardHandler), Asked: asked, dial: d.dial})
				ctx, end := context.WithCancel(context.Background())
				done := make(chan struct{})
				go func() { f.Run(ctx, Spec{Discovery: "127.0.0.1:1"}); close(done) }()
				if asked {
					f.Ask()
					go func() { // the balancer, at its slowest: TestLostListIsAskedForInTime
						for wait := 1200 * time.Millisecond; ; wait = 2400 * time.Millisecond {
							if _, more := <-g.lost; !more {
								return
							}
							time.Sleep(wait)
							f.Ask()
						}
					}()
				}
				serve := func(text string) net.Conn {
					c := <-d.calls
					if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
						t.Error(err)
					}
					text, reset := strings.CutSuffix(text, resets)
					d.reset.Store(reset)
					whole, over := strings.CutSuffix(text, ends)
					over = over || reset
					if io.WriteString(c, whole); over {
						c.Close()
					}
					return c
				}
				first := serve(said)
				silent := time.Now()
				second := serve(head + "{\"index\":7,\"snapshot\":true}\n")
				for l := range g.lists {
					if *l.Index == 7 {
						break
					}
				}
				if took := time.Since(silent); took > 6*time.Second {
					t.Errorf("%s, asked %t: known after %v", name, asked, took)
				}
				end()
				first.Close()
				second.Close()
				<-done
				close(g.lost)
			})
		}
	}
}

// lossy is a sink that tells of watches that broke as well.
type lossy struct {
	lists chan *membership.List
	lost  chan struct{}
}

func (l lossy) List(list *membership.List) { l.lists <- list }
func (l lossy) Lost()                      { l.lost <- struct{}{} }
func (l lossy) Moved()                     {}
