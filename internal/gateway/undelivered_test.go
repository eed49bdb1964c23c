package gateway

import (
	"strings"
	"testing"
	"time"

	"golang.org/x/net/http2"

	"frostshift/internal/fake"
)

// An answer over HTTP/2 that its client has not had whole: the same unsafe or keyed request ran a second time.
func TestAnswerThatIsNotTakenInRunsNothingTwice(t *testing.T) {
	const window = 1 << 10
	long := strings.Repeat("b", 48<<10)
	for _, bodies := range []string{"", `bodies = { requests = "auto", answers = "whole" }` + "\n", `bodies = { answers = "stream" }` + "\n"} {
		for _, end := range []string{"reset", "closed", "its time is over"} {
			t.Run(end+" "+bodies, func(t *testing.T) {
				t.Parallel()
				host := scripted(t, fake.Always(fake.Act{Answer: fake.Answer(200, long)}))
				routed := strings.ReplaceAll(routes, "pool = \"p\"\n", "pool = \"p\"\n"+bodies)
				g := launch(t, service(t, "http2", "http1", routed, host.Addr()))
				for _, effect := range []string{"unsafe", "keyed"} {
					c := h2client(t, g, http2.Setting{ID: http2.SettingInitialWindowSize, Val: window})
					ask := func(left string) uint32 {
						id, err := c.Open("POST", "/"+effect, true, "x-correlation-id", effect, "idempotency-key", effect, "x-time-left", left)
						if err != nil {
							t.Fatal(err)
						}
						return id
					}
					first := ask(map[bool]string{true: "500m", false: "8000m"}[end == "its time is over"])
					for got := 0; got < window; {
						f, err := c.Read()
						if err != nil {
							t.Fatal(err)
						}
						if d, ok := f.(*http2.DataFrame); ok {
							got += len(d.Data())
						}
					}
					switch end {
					case "reset":
						c.Write(func(f *http2.Framer) error { return f.WriteRSTStream(first, http2.ErrCodeCancel) })
					case "closed":
						c.Close()
						c = h2client(t, g)
						until(t, "the connection has ended", func() bool { _, streams := g.servers[g.model.Listeners[0]].two.Counts(); return streams == 0 })
					default:
						if bodies != "" {
							return // an answer that flows has no such time
						}
						time.Sleep(time.Second)
					}
					again := ask("8000m")
					if got, _, err := c.Collect(again); err != nil || got[again].Status != "502" {
						t.Errorf("%s: the second request: %+v, %v", effect, got[again], err)
					}
					if n := host.Seen(effect).Whole; n != 1 {
						t.Errorf("%s: ran %d times", effect, n)
					}
				}
			})
		}
	}
}
