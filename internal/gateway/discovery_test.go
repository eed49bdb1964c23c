package gateway

import (
	"context"
	"fmt"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"frostshift/internal/config"
)

func TestReadyOnceTheListIsHeard(t *testing.T) {
	d := discover(t)
	g := launch(t, parse(t, d.Addr(), "null"))
	w := await(t, d.Watches, "a watch")
	say(t, w, listOf(1, true))
	for end := time.Now().Add(patience); ; {
		r, _ := http.NewRequest("GET", g.url+"/ready", nil)
		status, _, _ := do(t, r)
		if status == 200 {
			break
		}
		if status != 503 || time.Now().After(end) {
			t.Fatalf("/ready answers %d", status)
		}
	}
}

// A release that killed most of a fleet at once: what they had of discovery's time went to
// one after another, and those that waited for their list were missing for two seconds.
func TestNobodyWaitsForAListThatIsKnown(t *testing.T) {
	d := discover(t)
	for known, want := range map[string]time.Duration{"null": readyAfter, listOf(1, true): readyAfter,
		listOf(1, true, entry("a", "127.0.0.1:1", "active")): 0} {
		g, err := New(parse(t, d.Addr(), known), slog.New(slog.DiscardHandler), Options{})
		if err != nil {
			t.Fatal(err)
		}
		if got := g.readyWait(); got != want {
			t.Errorf("known %s: clients wait up to %v, want %v", known, got, want)
		}
		ctx, stop := context.WithCancel(context.Background())
		stop()
		if err := g.Run(ctx); err != nil {
			t.Error(err)
		}
	}
}

// Discovery that breaks off, ends watches and says what can't be read: the last good list
// stands, it is asked for what came after that, and a drain that it tells then is kept.
func TestLastGoodListStandsThroughABadDiscovery(t *testing.T) {
	t.Parallel()
	a, gotA := serving(t, "a")
	b, gotB := serving(t, "b")
	d := discover(t)
	g := launch(t, parse(t, d.Addr(), "null"))
	w := await(t, d.Watches, "a watch")
	say(t, w, listOf(5, true, entry("a", a, "active")))
	for end := time.Now().Add(patience); ; {
		if _, body, _ := do(t, request(t, g.url, "lookup", "")); body == "a" {
			break
		}
		if time.Now().After(end) {
			t.Fatal("the host gets nothing")
		}
	}
	for name, spoil := range map[string]func(){
		"half a list":  func() { say(t, w, listOf(6, true, entry("b", b, "active"))[:40]) },
		"noise":        func() { say(t, w, "\x00\xff{]") },
		"no name":      func() { say(t, w, listOf(6, true, entry("", b, "active"))) },
		"a broken one": d.CloseClientConnections,
		"an end":       func() { close(w.Lines) },
	} {
		spoil()
		w = await(t, d.Watches, "another watch after "+name)
		if w.From != "5" {
			t.Errorf("%s: asked from %s, want from the last good list, 5", name, w.From)
		}
		if _, body, _ := do(t, request(t, g.url, "lookup", "")); body != "a" {
			t.Errorf("%s: answered %q, want by the host of the last good list", name, body)
		}
	}
	say(t, w, listOf(6, false, entry("a", a, "leaving"), entry("b", b, "active")))
	for end := time.Now().Add(patience); len(gotB) == 0; {
		if do(t, request(t, g.url, "lookup", "")); time.Now().After(end) {
			t.Fatal("the new host gets nothing")
		}
	}
	before := len(gotA)
	for range 20 {
		do(t, request(t, g.url, "lookup", ""))
	}
	if n := len(gotA) - before; n > 0 {
		t.Errorf("%d requests went to a host that drains", n)
	}
}

// Nothing new goes to a host that drains. That the list with the drain has been
// heard shows in the first request at a host that the same list brings.
func TestDrainIsKept(t *testing.T) {
	a, gotA := serving(t, "a")
	b, gotB := serving(t, "b")
	d := discover(t)
	g := launch(t, parse(t, d.Addr(), listOf(1, true, entry("a", a, "active"))))
	if _, body, _ := do(t, request(t, g.url, "lookup", "")); body != "a" {
		t.Fatalf("answered %q", body)
	}
	w := await(t, d.Watches, "a watch")
	say(t, w, listOf(2, false, entry("a", a, "leaving"), entry("b", b, "active")))
	for end := time.Now().Add(patience); len(gotB) == 0; {
		if do(t, request(t, g.url, "lookup", "")); time.Now().After(end) {
			t.Fatal("the new host gets nothing")
		}
	}
	before := len(gotA)
	for range 50 {
		do(t, request(t, g.url, "lookup", ""))
	}
	if n := len(gotA) - before; n != 0 {
		t.Errorf("%d requests went to a draining host", n)
	}
}

// A watch that ends or brings what can't be read is opened again from the last list
// that was taken over, which stands meanwhile.
func TestWatchIsOpenedAgain(t *testing.T) {
	t.Parallel()
	a, _ := serving(t, "a")
	b, gotB := serving(t, "b")
	d := discover(t)
	g := launch(t, parse(t, d.Addr(), listOf(7, true, entry("a", a, "active"))))
	w := await(t, d.Watches, "a watch")
	if w.From != "7" {
		t.Errorf("first watch from %s, want 7", w.From)
	}
	say(t, w, listOf(8, false))
	close(w.Lines)
	for _, bad := range []string{
		`{"index":9,"snap`, `[]`, `{"endpoints":[]}`,
		listOf(9, true, entry("c", "127.0.0.1:1", "asleep")),
		listOf(9, true, entry("c", "nowhere", "active")),
		listOf(9, true, entry("", "127.0.0.1:1", "active")),
	} {
		w = await(t, d.Watches, "the next watch")
		if w.From != "8" {
			t.Errorf("watch from %s, want 8", w.From)
		}
		say(t, w, bad)
	}
	w = await(t, d.Watches, "the last watch")
	if status, body, _ := do(t, request(t, g.url, "lookup", "")); status != 200 || body != "a" {
		t.Errorf("old list does not stand: answered %d %q", status, body)
	}
	say(t, w, listOf(9, true, entry("b", b, "active")))
	for end := time.Now().Add(patience); len(gotB) == 0; {
		if do(t, request(t, g.url, "lookup", "")); time.Now().After(end) {
			t.Fatal("the list of the last watch was not taken over")
		}
	}
}

// Discovery's machine may vanish: its connection then stays open and says nothing.
func TestSilentWatchIsOpenedAgain(t *testing.T) {
	d := discover(t)
	launch(t, parse(t, d.Addr(), listOf(3, true)), func(o *Options) { o.Silence = 100 * time.Millisecond })
	for range 3 {
		if w := await(t, d.Watches, "a watch"); w.From != "3" {
			t.Errorf("watch from %s, want 3", w.From)
		}
	}
}

// Where discovery moves, the new watch is open before the old one is dropped, and the
// old list stands until the new address has said something, however long that takes.
func TestDiscoveryMoves(t *testing.T) {
	a, _ := serving(t, "a")
	b, _ := serving(t, "b")
	from, to, later := discover(t), discover(t), discover(t)
	g := launch(t, parse(t, from.Addr(), listOf(7, true, entry("a", a, "active"))))
	old := await(t, from.Watches, "the first watch")
	g.moveTo(t, to.Addr())
	g.moveTo(t, to.Addr()) // the same order again changes nothing
	w := await(t, to.Watches, "the watch at the new address")
	if w.From != "0" {
		t.Errorf("watch from version %s of another address", w.From)
	}
	say(t, old, listOf(8, false)) // still open
	if status, body, _ := do(t, request(t, g.url, "lookup", "")); status != 200 || body != "a" {
		t.Errorf("old list does not stand: answered %d %q", status, body)
	}
	say(t, w, listOf(3, true, entry("b", b, "active")))
	await(t, old.Gone, "the end of the old watch")
	for end := time.Now().Add(patience); ; {
		if _, body, _ := do(t, request(t, g.url, "lookup", "")); body == "b" {
			break
		}
		if time.Now().After(end) {
			t.Fatal("the new list was not taken over")
		}
	}
	g.moveTo(t, "127.0.0.1:1") // nobody is there
	g.moveTo(t, later.Addr())  // and again, before that one has said anything
	say(t, await(t, later.Watches, "the watch at the last address"), listOf(1, true, entry("a", a, "active")))
	await(t, w.Gone, "the end of the second watch")
	if len(from.Watches)+len(to.Watches)+len(later.Watches) > 0 {
		t.Error("a watch was opened twice")
	}
}

// Where the list must be asked for, the balancer says when, also after a watch broke.
func TestAskedWatchFollowsTheBalancer(t *testing.T) {
	addr, got := serving(t, "a")
	d := discover(t)
	text := strings.Replace(testConfig, `"discovery":"automatic"`, `"discovery":"subscribe"`, 1)
	text = strings.Replace(text, `"obligations":{`, `"obligations":{"ask_within":10000000,`, 1)
	cfg, err := config.ParsePlatform([]byte(fmt.Sprintf(text, d.Addr(), "null")))
	if err != nil || !cfg.Pools[0].Settings.Ask {
		t.Fatalf("asks: %v, %v", cfg, err)
	}
	cfg.Pools[0].Settings.AskWithin = 2 * time.Second
	g := launch(t, cfg)
	w := await(t, d.Watches, "the first watch")
	say(t, w, listOf(4, true))
	close(w.Lines)
	w = await(t, d.Watches, "the watch after the break")
	if w.From != "4" {
		t.Errorf("watch from %s, want 4", w.From)
	}
	say(t, w, listOf(5, true, entry("a", addr, "active")))
	for end := time.Now().Add(patience); len(got) == 0; {
		if do(t, request(t, g.url, "lookup", "")); time.Now().After(end) {
			t.Fatal("the list asked for was not taken over")
		}
	}
}

// Guards against a new discovery that is called once and never again: behind a call that was turned away, the
// next line of the old watch had the balancer believe that it watches, and the new list was never read.
func TestMovedDiscoveryIsCalledAgain(t *testing.T) {
	const toldWithin = 6 * time.Second
	old := discover(t)
	text := strings.Replace(testConfig, `"discovery":"automatic"`, `"discovery":"subscribe"`, 1)
	text = strings.Replace(text, `"obligations":{`, `"obligations":{"ask_within":10000000,`, 1)
	addr, _ := serving(t, "a")
	m := parseText(t, fmt.Sprintf(text, old.Addr(), listOf(1, true, entry("a", addr, "active"))))
	g := launch(t, m)
	watch := await(t, old.Watches, "the first watch")
	calls := make(chan time.Time, 16)
	var called atomic.Int64
	moved := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		calls <- time.Now()
		if called.Add(1) == 1 {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		fmt.Fprintln(w, listOf(1, true, entry("a", addr, "active")))
		w.(http.Flusher).Flush()
		<-r.Context().Done()
	}))
	t.Cleanup(moved.Close)
	t.Cleanup(moved.CloseClientConnections)
	over := make(chan struct{})
	t.Cleanup(func() { close(over) })
	go func() { // the old discovery goes on renewing its list
		for index := 2; ; index++ {
			select {
			case watch.Lines <- listOf(index, false, entry("a", addr, "active")):
			case <-watch.Gone:
				return
			case <-over:
				return
			}
			time.Sleep(50 * time.Millisecond)
		}
	}()
	g.moveTo(t, moved.Listener.Addr().String())
	first := await(t, calls, "the first call, which is turned away")
	if second := await(t, calls, "another call"); second.Sub(first) > toldWithin {
		t.Errorf("called again after %v", second.Sub(first))
	}
	await(t, watch.Gone, "the end of the old watch")
}
