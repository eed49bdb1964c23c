//go:build review

package main

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"frostshift/internal/fake"
)

func init() { cases["claimed"] = claimed }

const claimedConfig = `
name = "edge"
management = "%s"

[limits]
memory_mb = 256
descriptors = 1024

[[listener]]
name = "clients"
address = "%s"

[[class]]
name = "booking"
effect = "unsafe"
aim = "500ms"
deadline = "1s"

[[answers]]
name = "bookings"
unserved = "host"

[[answers.rule]]
status = ["503"]
header = "X-Not-Booked"
equals = "1"
ran = "never"

[[pool]]
name = "bookings"
answers = "bookings"
max_attempts = 3
hosts = [%s]

[[route]]
name = "bookings"
prefix = "/bookings"
methods = ["POST"]
class = "booking"
pool = "bookings"
`

// bookers are two hosts that book. Each turns away, unseen, what it has no room for. The other that gets a booking
// next carries it out; with trouble the connection breaks under the first booking of each uplift, behind its effect.
type bookers struct {
	mu      sync.Mutex
	turned  map[string]bool // by request
	charged map[string]int  // by uplift
}

func (b *bookers) take(r *run, host int, q *fake.Request) fake.Act {
	b.mu.Lock()
	defer b.mu.Unlock()
	uplift := string(q.Body)
	if !b.turned[q.ID] { // the host that gets it first has no room
		b.turned[q.ID] = true
		r.note("host %d has no room for %s (%s)", host, q.ID, uplift)
		return fake.Act{Answer: fake.Answer(503, "full", "X-Not-Booked: 1")}
	}
	b.charged[uplift]++
	r.note("host %d books %s (%s), charged %d times now", host, q.ID, uplift, b.charged[uplift])
	if r.trouble && b.charged[uplift] == 1 {
		return fake.Break()
	}
	return fake.Act{After: 30 * time.Millisecond, Answer: fake.Answer(200, "booked")}
}

// claimed: one host turns a booking away, the connection to the next one breaks behind the booking, and the client
// tries again what it is told was not booked.
func claimed(r *run) error {
	b := &bookers{turned: map[string]bool{}, charged: map[string]int{}}
	var hosts []string
	for i := range 2 {
		h, err := fake.Scripted(func(q *fake.Request) fake.Act { return b.take(r, i, q) })
		if err != nil {
			return err
		}
		defer h.Close()
		hosts = append(hosts, h.Addr())
	}
	management, front := port(), port()
	config, err := r.write("gw.toml", fmt.Sprintf(claimedConfig, management, front, quoted(hosts...)))
	if err != nil {
		return err
	}
	if _, err := r.start(config, management); err != nil {
		return err
	}
	for i := range bookings {
		uplift := fmt.Sprintf("uplift-%d", i)
		status, proof, err := r.order(front, uplift, uplift+"-first")
		if err != nil {
			return err
		}
		if status != http.StatusServiceUnavailable || proof == "" {
			continue // it is served, or failed: nobody says that trying again is harmless
		}
		b.mu.Lock()
		n := b.charged[uplift]
		b.mu.Unlock()
		if n > 0 {
			r.breaks("%s has been booked, and its client has a refusal which says that it has not", uplift)
		}
		if _, _, err := r.order(front, uplift, uplift+"-again"); err != nil {
			return err
		}
	}
	for uplift, n := range b.charged {
		if n > 1 {
			r.breaks("%s has been charged %d times", uplift, n)
		}
	}
	return nil
}

// order asks for an uplift and says what the client gets, with the proof that nothing was booked.
func (r *run) order(front, uplift, id string) (status int, proof string, err error) {
	nc, err := net.Dial("tcp", front)
	if err != nil {
		return 0, "", err
	}
	defer nc.Close()
	nc.SetDeadline(time.Now().Add(5 * time.Second))
	status, body, header, err := fake.Over(nc).Ask(http.MethodPost, "/bookings/7", uplift, "X-Correlation-Id: "+id)
	proof = header.Get("X-Not-Booked")
	r.note("the client of %s has the answer %d %q, X-Not-Booked %q, Proxy-Status %q, %v", id, status, body, proof, header.Get("Proxy-Status"), err)
	time.Sleep(300 * time.Millisecond)
	return status, proof, err
}
