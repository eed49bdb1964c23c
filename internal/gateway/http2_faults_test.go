package gateway

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"time"

	"golang.org/x/net/http2"

	"frostshift/internal/fake"
)

const allOpen = 1<<31 - 1

// A host that refuses streams, goes away in the middle of load, resets at random, changes
// its stream limit or is killed: no unsafe request runs twice, each accepted stream has one
// answer, and no refusal hides one that may have run.
func TestRoughHostsOverHTTP2(t *testing.T) {
	t.Parallel()
	var mu sync.Mutex
	ran := map[string]int{} // requests that a host has run, or begun to
	type state struct{ most, last uint32 }
	conns := map[*fake.H2Conn]*state{}
	rough := func(s *fake.H2Stream) {
		n := rand.IntN(10)
		mu.Lock()
		c := conns[s.Conn]
		if c == nil {
			c = &state{last: allOpen}
			conns[s.Conn] = c
		}
		if s.ID > c.last { // as it has said
			mu.Unlock()
			return
		}
		c.most = max(c.most, s.ID)
		if n != 0 {
			ran[s.Field("x-correlation-id")]++
		}
		if n == 1 && c.last == allOpen {
			c.last = c.most
			s.Conn.Write(func(f *http2.Framer) error { return f.WriteGoAway(c.last, http2.ErrCodeNo, nil) })
		}
		mu.Unlock()
		switch n {
		case 0:
			s.Conn.Write(func(f *http2.Framer) error { return f.WriteRSTStream(s.ID, http2.ErrCodeRefusedStream) })
		case 2:
			s.Conn.Write(func(f *http2.Framer) error { return f.WriteRSTStream(s.ID, http2.ErrCodeInternal) })
		case 3:
			s.Conn.Write(func(f *http2.Framer) error {
				return f.WriteSettings(http2.Setting{ID: http2.SettingMaxConcurrentStreams, Val: uint32(1 + rand.IntN(50))})
			})
			echo(s)
		case 4:
			s.Conn.Answer(s.ID, "500", "")
		case 5:
			if rand.IntN(5) == 0 {
				fake.Reset(s.Conn.Conn)
			} else {
				echo(s)
			}
		default:
			echo(s)
		}
	}
	var hosts []string
	var list []*fake.H2Host
	for range 3 {
		h := h2host(t, []http2.Setting{{ID: http2.SettingMaxConcurrentStreams, Val: 40}}, nil, rough)
		hosts, list = append(hosts, h.Addr()), append(list, h)
	}
	g := launch(t, overH2(t, "http2", hosts...))
	var all sync.WaitGroup
	statuses := map[string]int{}
	for i := range 4 {
		all.Go(func() {
			c, err := fake.DialH2(g.Addr("clients").String(), 2*patience)
			if err != nil {
				t.Error(err)
				return
			}
			defer c.Close()
			for round := range 6 {
				var ids []uint32
				names := map[uint32]string{}
				for j := range 60 {
					path, name := "/book", fmt.Sprintf("book-%d-%d-%d", i, round, j)
					if j%2 == 0 {
						path, name = "/look", fmt.Sprintf("look-%d-%d-%d", i, round, j)
					}
					id, err := c.Open("POST", path, true, "x-correlation-id", name)
					if err != nil {
						t.Error(err)
						return
					}
					ids = append(ids, id)
					names[id] = name
				}
				got, _, err := c.Collect(ids...)
				if err != nil {
					t.Error(err)
					return
				}
				mu.Lock()
				for id, a := range got {
					statuses[a.Status]++
					if a.Heads != 1 || !a.Ended {
						t.Errorf("%s: %+v, want one whole answer", names[id], a)
					}
					if strings.HasPrefix(names[id], "book") && (a.Status == "503" || a.Status == "429") && ran[names[id]] > 0 {
						t.Errorf("%s was refused and may have run", names[id])
					}
				}
				mu.Unlock()
			}
		})
	}
	all.Wait()
	mu.Lock()
	defer mu.Unlock()
	for id, n := range ran {
		if strings.HasPrefix(id, "book") && n > 1 {
			t.Errorf("%s ran %d times", id, n)
		}
	}
	tries := map[string]int{}
	for _, h := range list {
		for id, s := range h.All() {
			tries[id] += s.Whole
		}
	}
	for id, n := range tries {
		if n > 4 {
			t.Errorf("%s had %d attempts", id, n)
		}
	}
	if statuses["200"] < 500 {
		t.Errorf("answers: %v", statuses)
	}
}

// Over a whole run, clients and hosts over HTTP/2, nothing is left behind.
func TestHTTP2LeavesNothing(t *testing.T) {
	host := h2host(t, nil, nil, echo)
	g, err := New(overH2(t, "http2", host.Addr()), slog.New(slog.DiscardHandler), Options{Linger: func() {}})
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- g.Run(ctx) }()
	tr := fake.H2Transport()
	for range 50 {
		resp, err := tr.RoundTrip(request(t, "http://"+g.Addr("clients").String(), "book", "x"))
		if err != nil {
			t.Fatal(err)
		}
		io.Copy(io.Discard, resp.Body)
		resp.Body.Close()
	}
	stop()
	if err := await(t, ended, "the end"); err != nil {
		t.Error(err)
	}
	tr.CloseIdleConnections()
	for name, b := range map[string]int64{"requests": g.budgets.requests.Used(), "connections": g.budgets.conns.Used(), "bodies": g.budgets.bodies.Used()} {
		if b != 0 {
			t.Errorf("%d %s count as held", b, name)
		}
	}
}

// All at once: hundreds of streams of several clients, some reset, a host killed, and a
// drain partway. Each stream that was accepted and not reset has exactly one answer, every
// other has none, and hosts got each request no more often than its class allows.
func TestHundredsOfStreamsThroughItAll(t *testing.T) {
	serve := func(s *fake.H2Stream) {
		time.Sleep(time.Duration(rand.IntN(8)) * time.Millisecond)
		echo(s)
	}
	var hosts []*fake.H2Host
	var addresses []string
	for range 3 {
		h := h2host(t, []http2.Setting{{ID: http2.SettingMaxConcurrentStreams, Val: 100}}, nil, serve)
		hosts, addresses = append(hosts, h), append(addresses, h.Addr())
	}
	g := launch(t, overH2(t, "http2", addresses...), func(o *Options) { o.Linger = func() {} })
	const clients, each = 4, 120
	type outcome struct {
		answers int
		reset   bool // by the client
		refused bool // by the gateway, as never taken
	}
	var mu sync.Mutex
	all := map[string]*outcome{}
	opened := make(chan struct{}, clients*each)
	var running sync.WaitGroup
	for i := range clients {
		running.Go(func() {
			c, err := fake.DialH2(g.Addr("clients").String(), patience)
			if err != nil {
				t.Error(err)
				return
			}
			defer c.Close()
			var own sync.Mutex
			names := map[uint32]*outcome{}
			last := uint32(allOpen)
			read := make(chan struct{})
			go func() {
				defer close(read)
				for {
					f, err := c.Read()
					if err != nil {
						return
					}
					own.Lock()
					o := names[f.Header().StreamID]
					switch f := f.(type) {
					case *http2.MetaHeadersFrame:
						if o != nil {
							o.answers++
						}
					case *http2.RSTStreamFrame:
						if o != nil && f.ErrCode == http2.ErrCodeRefusedStream {
							o.refused = true
						}
					case *http2.GoAwayFrame:
						last = f.LastStreamID
					}
					own.Unlock()
				}
			}()
			for j := range each {
				path, name := "/book", fmt.Sprintf("book-%d-%d", i, j)
				if j%2 == 0 {
					path, name = "/look", fmt.Sprintf("look-%d-%d", i, j)
				}
				o := &outcome{}
				own.Lock()
				id := uint32(2*j + 1)
				names[id] = o
				own.Unlock()
				mu.Lock()
				all[name] = o
				mu.Unlock()
				if _, err := c.Open("POST", path, true, "x-correlation-id", name); err != nil {
					break // the drain is over and the connection with it
				}
				opened <- struct{}{}
				if j%10 == 9 {
					own.Lock()
					o.reset = true
					own.Unlock()
					c.Write(func(f *http2.Framer) error { return f.WriteRSTStream(id, http2.ErrCodeCancel) })
				}
				time.Sleep(time.Duration(rand.IntN(1500)) * time.Microsecond)
			}
			<-read
			own.Lock()
			defer own.Unlock()
			for id, o := range names {
				switch {
				case o.answers > 1, o.answers > 0 && (id > last || o.refused):
					t.Errorf("client %d: stream %d, last taken %d: %+v", i, id, last, *o)
				case o.answers == 0 && id <= last && !o.reset && !o.refused:
					t.Errorf("client %d: stream %d was taken, last %d, and has no answer", i, id, last)
				}
			}
		})
	}
	for n := range clients * each * 3 / 4 {
		await(t, opened, "a stream")
		if n == clients*each/3 {
			hosts[0].Close()
		}
	}
	g.stop()
	running.Wait()
	if err := await(t, g.end, "the end"); err != nil {
		t.Error(err)
	}
	tries := map[string]int{}
	for _, h := range hosts {
		for id, s := range h.All() {
			tries[id] += s.Whole
		}
	}
	answered := 0
	for name, n := range tries {
		if n > 4 || strings.HasPrefix(name, "book") && n > 1 {
			t.Errorf("%s came %d times", name, n)
		}
	}
	for _, o := range all {
		answered += o.answers
	}
	if answered < clients*each/2 {
		t.Errorf("%d answers of %d streams", answered, clients*each)
	}
}
