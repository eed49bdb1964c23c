package gossip

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"go.uber.org/goleak"

	"frostshift/internal/fake"
	"frostshift/internal/peers"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// patience is how long a test waits for what must happen; nothing is measured.
const patience = 10 * time.Second

func until(t *testing.T, what string, is func() bool) {
	t.Helper()
	for end := time.Now().Add(patience); !is(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("not within patience: ", what)
		}
	}
}

type said struct {
	mu   sync.Mutex
	text strings.Builder
}

func (s *said) Write(b []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.text.Write(b)
}
func (s *said) String() string { s.mu.Lock(); defer s.mu.Unlock(); return s.text.String() }

// member starts an agent that joins by an address.
func member(t *testing.T, name, join string, change func(*Config)) *Agent {
	t.Helper()
	cfg := Config{Name: name, Listen: "127.0.0.1:0", Probe: 50 * time.Millisecond, Typed: 3, Started: time.Now(), Zone: "z" + name, Log: slog.New(slog.NewTextHandler(io.Discard, nil))}
	if join != "" {
		cfg.Join = []string{join}
	}
	if change != nil {
		change(&cfg)
	}
	b, err := Start(cfg)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(b.Close)
	return b
}

func (b *Agent) state(name string) peers.State {
	for _, m := range b.Status(context.Background()).Members {
		if m.Name == name {
			return m.State
		}
	}
	return peers.Unknown
}

func (b *Agent) sees(states ...peers.State) bool {
	n := map[peers.State]int{}
	for _, m := range b.Status(context.Background()).Members {
		n[m.State]++
	}
	for _, s := range states {
		n[s]--
	}
	for _, left := range n {
		if left != 0 {
			return false
		}
	}
	return true
}

const (
	alive  = peers.Alive
	failed = peers.Failed
	left   = peers.Left
)

func TestMembersComeAndGo(t *testing.T) {
	a := member(t, "a", "", nil)
	b := member(t, "b", a.Addr(), nil)
	c := member(t, "c", a.Addr(), nil)
	d := member(t, "d", a.Addr(), nil)
	all := []*Agent{a, b, c, d}
	for _, m := range all {
		until(t, "all know all", func() bool { return m.sees(alive, alive, alive, alive) })
	}
	s := b.Status(t.Context())
	if m := s.Members[0]; m.Zone != "za" || m.Takes != 1 || m.Most != mostVersion || m.Started == 0 {
		t.Errorf("what a says of itself came as %+v", m)
	}
	until(t, "round trips are known", func() bool { return b.Status(t.Context()).Members[0].RoundTrip > 0 })
	c.Leave()
	until(t, "a leave is known for what it is", func() bool { return a.state("c") == left && b.state("c") == left })
	d.Close()
	until(t, "a death is known for what it is", func() bool { return a.state("d") == failed && b.state("d") == failed })
	at := fake.ReservedAddress(t)
	d = member(t, "d", b.Addr(), func(c *Config) { c.Listen = at })
	until(t, "one that is back after it died lives", func() bool { return a.state("d") == alive && d.sees(alive, alive, alive) })
	// A process that takes over at the same address is the same member.
	d.Close()
	d = member(t, "d", a.Addr(), func(c *Config) { c.Listen = at })
	until(t, "one that takes over is the same member", func() bool { return a.state("d") == alive && b.state("d") == alive && d.sees(alive, alive, alive) })
}

// A member that hears nobody starts, says so, and finds the others when they come.
func TestNobodyAnswers(t *testing.T) {
	at := fake.ReservedAddress(t) // nobody talks there
	log := &said{}
	a := member(t, "a", at, func(c *Config) { c.Log = slog.New(slog.NewTextHandler(log, nil)) })
	until(t, "it says that nobody answers", func() bool { return strings.Contains(log.String(), "nobody answers") })
	if v := a.Status(t.Context()).View; !v.Typed || v.Count != 3 {
		t.Errorf("nobody is heard and the view is %+v", v)
	}
	b := member(t, "b", "", func(c *Config) { c.Listen = at })
	until(t, "they find each other", func() bool { return a.sees(alive, alive) && b.sees(alive, alive) })
	if _, err := Start(Config{Name: "c", Listen: at}); err == nil || !strings.Contains(err.Error(), "fleet.listen") {
		t.Errorf("an address in use: %v", err)
	}
}

// Keys change while all talk: add, use, remove, one member after the other. One without a key that
// is used hears nothing and is not heard.
func TestKeys(t *testing.T) {
	one, two := []byte(strings.Repeat("1", 32)), []byte(strings.Repeat("2", 16))
	with := func(keys ...[]byte) func(*Config) { return func(c *Config) { c.Keys = keys } }
	a := member(t, "a", "", with(one))
	b := member(t, "b", a.Addr(), with(one))
	until(t, "they talk", func() bool { return a.sees(alive, alive) && b.sees(alive, alive) })
	stranger, plain := member(t, "x", a.Addr(), with(two)), member(t, "y", a.Addr(), nil)
	for _, step := range [][][]byte{{one, two}, {two, one}, {two}} {
		for _, m := range []*Agent{a, b} {
			if err := m.Use(step); err != nil {
				t.Fatal(err)
			}
		}
	}
	until(t, "one that has the key in use is heard", func() bool { return a.state("x") == alive && stranger.state("b") == alive })
	if s := a.Status(t.Context()); len(s.Keys) != 1 || s.Keys[0] != Fingerprint(two) {
		t.Errorf("keys %v", s.Keys)
	}
	if plain.Status(t.Context()).View.Reached != 1 || a.state("y") == alive {
		t.Error("one without a key is heard")
	}
	if err := plain.Use([][]byte{one}); err == nil {
		t.Error("keys came to one that had none")
	}
	if _, err := Start(Config{Name: "z", Listen: "127.0.0.1:0", Keys: [][]byte{[]byte("short")}}); err == nil {
		t.Error("a key of five bytes is taken")
	}
}

func TestNameUsedTwice(t *testing.T) {
	log := &said{}
	a := member(t, "a", "", func(c *Config) { c.Log = slog.New(slog.NewTextHandler(log, nil)) })
	b := member(t, "b", a.Addr(), nil)
	until(t, "they talk", func() bool { return a.sees(alive, alive) && b.sees(alive, alive) })
	member(t, "b", a.Addr(), nil)
	until(t, "it is noticed", func() bool { return strings.Contains(log.String(), "used twice") })
	if s := a.Status(t.Context()); len(s.Members) != 2 {
		t.Errorf("%d members, a name counts once", len(s.Members))
	}
}

// Whatever strangers send, nobody is lost by it, and what the sockets hold stays in bounds.
func TestHostilePackets(t *testing.T) {
	key := []byte(strings.Repeat("k", 32))
	for _, keys := range [][][]byte{nil, {key}} {
		t.Run(fmt.Sprint(len(keys), " keys"), func(t *testing.T) {
			with := func(c *Config) { c.Keys = keys }
			a := member(t, "a", "", with)
			b := member(t, "b", a.Addr(), with)
			until(t, "they talk", func() bool { return a.sees(alive, alive) && b.sees(alive, alive) })
			r := rand.New(rand.NewPCG(1, 1))
			conn, err := net.Dial("udp", a.Addr())
			if err != nil {
				t.Fatal(err)
			}
			defer conn.Close()
			// On a busy machine the kernel drops what comes too fast for its buffer, before anybody counts:
			// so the flood goes on until what it is there for was seen.
			flood := func(packets int) {
				for n := range packets {
					p := make([]byte, r.IntN(1400))
					for i := range p {
						p[i] = byte(r.Uint32())
					}
					if len(p) > 0 && n%2 == 0 && len(keys) == 0 { // of a type that memberlist knows, without its end
						p[0] = byte(r.IntN(16))
					}
					if len(keys) == 0 && len(p) > 0 && (p[0] == 4 || p[0] == 5) { // words of members' own, in the clear, are believed
						p[0] = 0
					}
					conn.Write(p)
				}
			}
			var streams []net.Conn
			dial := func(most int) {
				for range most {
					c, err := net.Dial("tcp", a.Addr())
					if err != nil {
						continue
					}
					if len(streams)%8 == 0 {
						c.Write([]byte{byte(r.IntN(20)), 0xff, 0xff, 0xff, 0xff})
					}
					streams = append(streams, c)
				}
			}
			flood(3000)
			dial(3 * streamsOpen)
			until(t, "what floods loses its own", func() bool {
				s := a.Status(t.Context())
				if s.Dropped == 0 {
					flood(200)
				}
				if s.Refused == 0 && len(streams) < 1000 {
					dial(streamsOpen)
				}
				return s.Dropped > 0 && s.Refused > 0
			})
			for _, c := range streams {
				c.Close()
			}
			until(t, "both are there", func() bool { return a.sees(alive, alive) && b.sees(alive, alive) })
		})
	}
}

func FuzzMeta(f *testing.F) {
	f.Add(encodeMeta(&peers.Member{Started: 7, Zone: "z", Takes: 2, Least: 1, Most: 3}, true))
	f.Add([]byte{metaVersion, 99, 3, 1, 2, 3, tagZone, 1, 'q'}) // a part of a later version
	f.Add([]byte{2, 1, 1})
	f.Fuzz(func(t *testing.T, b []byte) {
		var m peers.Member
		leaves, err := decodeMeta(b, &m)
		if err != nil {
			return
		}
		if len(m.Zone) > 64 || !(m.Takes > 0) || m.Takes > 1000 {
			t.Errorf("%+v", m)
		}
		var again peers.Member
		if l, err := decodeMeta(encodeMeta(&m, leaves), &again); err != nil || again != m || l != leaves {
			t.Errorf("%+v came back as %+v: %v", m, again, err)
		}
	})
}
