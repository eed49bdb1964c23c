package exchange

import (
	"bytes"
	"log/slog"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"frostshift"
	"frostshift/internal/eventlog"
)

// Failed attempts and requests are logged with the request's id, the attempt and the host. Under many
// failures at most one line of each kind is logged per second, and it counts the lines left out.
func TestTroubleIsLoggedWithItsIds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var text bytes.Buffer
		x := New(NewClock())
		p := newIdlePool(t, x, "a", newUpstream(always(frostshift.Reset, time.Millisecond)), nil)
		p.failureLog = eventlog.New(slog.New(slog.NewTextHandler(&text, nil)))
		go p.Run(nil, nil)
		p.UpdateHosts(frostshift.ListFull, hostsOf(6), nil)
		ask := func(id string) {
			if r := <-x.ask(1, id, p, nil).Reply; r.Verdict != Failed {
				t.Errorf("%s: %+v", id, r)
			}
		}
		for range 50 {
			ask("flood")
		}
		time.Sleep(2 * eventlog.Every)
		ask("last")
		synctest.Wait()
		p.Drain()
		<-p.Done()
		var kinds [2]int
		for i, kind := range []string{"attempt ended: Reset", "request failed"} {
			kinds[i] = strings.Count(text.String(), kind)
		}
		lines := strings.Split(strings.TrimSpace(text.String()), "\n")
		if last := lines[len(lines)-1]; kinds != [2]int{2, 2} || !strings.Contains(last, "request=last") || !strings.Contains(last, "attempts=1") || !strings.Contains(last, "more=49") {
			t.Errorf("%v lines of each kind:\n%s", kinds, text.String())
		}
		if !strings.Contains(lines[0], "request=flood attempt=1 host=") {
			t.Errorf("the line of the attempt: %s", lines[0])
		}
		if n := p.Counts().Results[frostshift.Reset].Load(); n != 51 {
			t.Errorf("%d attempts with result Reset were counted, want 51", n)
		}
	})
}
