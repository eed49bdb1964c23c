package http1

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"frostshift"
	"frostshift/internal/message"
)

// doubling is a host that sends answers once more, some time behind the first.
type doubling struct {
	mu sync.Mutex
	// after is when the second answer to a request had been sent, counted from the first.
	after map[string]time.Duration
	sent  sync.WaitGroup
}

// answer answers a request, and one in ten once more, so late.
func (d *doubling) answer(n int, c net.Conn, id string, late time.Duration) bool {
	time.Sleep(time.Duration(rand.IntN(3000)) * time.Microsecond)
	text := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(id), id)
	began := time.Now()
	if n%10 == 0 {
		d.sent.Go(func() {
			time.Sleep(late)
			io.WriteString(c, text)
			d.mu.Lock()
			defer d.mu.Unlock()
			d.after[id] = time.Since(began)
		})
	}
	_, err := io.WriteString(c, text)
	return err == nil
}

// crossings has clients ask back to back, and returns how many were served with a second answer that had been sent
// within a time, out of so many requests and connections.
func crossings(t *testing.T, late, within time.Duration) (crossed, asked, connections int) {
	t.Helper()
	const (
		clients = 6
		each    = 150
	)
	d := &doubling{after: map[string]time.Duration{}}
	opened := map[net.Conn]bool{}
	addr, _ := rawHost(t, func(n int, c net.Conn, r *http.Request) bool {
		d.mu.Lock()
		opened[c] = true
		d.mu.Unlock()
		return d.answer(n, c, r.Header.Get("X-Correlation-Id"), late)
	})
	shared, h := newAttempt(t, "lookup", "").up, hostAt(addr)
	var (
		all   sync.WaitGroup
		mu    sync.Mutex
		wrong []string
	)
	for range clients {
		all.Go(func() {
			for range each {
				a := newAttempt(t, "lookup", "")
				a.up = shared
				result, answer := try(a, h, time.Second)
				if result == frostshift.OK && string(answer.Body) != a.Message.(*message.Request).ID {
					mu.Lock()
					wrong = append(wrong, string(answer.Body))
					mu.Unlock()
				}
			}
		})
	}
	all.Wait()
	d.sent.Wait()
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, id := range wrong {
		// A true answer may be served to the next request once a second one has been.
		if after, second := d.after[id]; second && after < within {
			crossed++
		}
	}
	return crossed, clients * each, len(opened)
}

// A second answer some milliseconds behind the first is served to nobody.
func TestSecondAnswersSomeMillisecondsLateCrossNoRequest(t *testing.T) {
	const (
		late   = 3 * time.Millisecond
		within = 5 * time.Millisecond // what "some milliseconds" is taken for
	)
	crossed, asked, connections := crossings(t, late, within)
	t.Logf("%d requests over %d connections", asked, connections)
	if crossed > 0 {
		t.Errorf("%d of %d requests were served with the answer to another one", crossed, asked)
	}
}

// Behind a first sight of one, second answers of a host may come later still and are served to nobody.
func TestHostThatHasSentASecondAnswerIsGivenMoreTime(t *testing.T) {
	const late, within = 12 * time.Millisecond, 20 * time.Millisecond
	id := newAttempt(t, "lookup", "")
	d := &doubling{after: map[string]time.Duration{}}
	addr, _ := rawHost(t, func(_ int, c net.Conn, r *http.Request) bool {
		return d.answer(0, c, r.Header.Get("X-Correlation-Id"), late)
	})
	h := hostAt(addr)
	if result, _ := try(id, h, time.Second); result != frostshift.OK {
		t.Fatalf("ended as %v", result)
	}
	d.sent.Wait()
	time.Sleep(10 * time.Millisecond) // until it has come
	for range 20 {
		a := newAttempt(t, "lookup", "")
		a.up = id.up
		result, answer := try(a, h, time.Second)
		if result != frostshift.OK {
			t.Fatalf("ended as %v", result)
		}
		if got := string(answer.Body); got != a.Message.(*message.Request).ID {
			d.sent.Wait()
			if d.after[got] < within {
				t.Fatalf("served with the answer to %s, sent once more behind %v", got, d.after[got])
			}
		}
	}
}
