//go:build review

package main

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"frostshift/internal/fake"
)

func init() { cases["takenout"] = takenOut }

const takenOutConfig = `
name = "moving"
management = "%s"
state = "%s"

[limits]
memory_mb = 256
descriptors = 1024

[[listener]]
name = "clients"
address = "%s"

[[class]]
name = "report"
effect = "keyed"
window = "10s"
aim = "500ms"
deadline = "2s"

[[pool]]
name = "calendar-old"
hosts = [%s]

[[pool]]
name = "calendar-new"
hosts = [%s]

[[route]]
name = "missed"
prefix = "/missed"
methods = ["POST"]
class = "report"
pool = "calendar-old"
`

const takenOutMove = `
[[move]]
name = "spring"
routes = ["missed"]
from = "calendar-old"
to = "calendar-new"
steps = [0.5]
least = "1s"
longest = "1h"
`

// keyedPool is the hosts of one pool: together they drop repeats of a key, and know nothing of the other pool's.
type keyedPool struct {
	mu   sync.Mutex
	keys map[string]bool
}

// first says whether a key is new to the pool, and so has its effect there.
func (p *keyedPool) first(key string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	had := p.keys[key]
	p.keys[key] = true
	return !had
}

const (
	warming = 20 * time.Second // in which the move reaches its step, and the window of its start is over
	reports = 12               // whose first answer is late
	atOnce  = 3
	giveUp  = time.Second // half of the deadline: what a client waits for the first answer
)

// takenOut: clients do not wait for the answers of some keyed requests; the gateway is restarted with a configuration
// without the move, as before it, and the clients try again with their keys.
func takenOut(r *run) error {
	effects := &runs{n: map[string]int{}}
	var addresses []any
	for _, name := range []string{"calendar-old", "calendar-new"} {
		list, end, err := r.keyedHosts(name, effects)
		if err != nil {
			return err
		}
		defer end()
		addresses = append(addresses, quoted(list...))
	}
	management, front := port(), port()
	text := fmt.Sprintf(takenOutConfig, append([]any{management, r.dir + "/state", front}, addresses...)...)
	before, err := r.write("with-move.toml", text+takenOutMove)
	if err != nil {
		return err
	}
	after := before
	if r.trouble {
		if after, err = r.write("without-move.toml", text); err != nil {
			return err
		}
	}
	g, err := r.start(before, management)
	if err != nil {
		return err
	}
	for i, by := 0, time.Now().Add(warming); time.Now().Before(by); i++ {
		r.report(front, fmt.Sprintf("warm-%d", i), 2*time.Second)
		time.Sleep(15 * time.Millisecond)
	}
	r.together(func(i int) { r.report(front, fmt.Sprintf("slow-%d", i), giveUp) })
	g.signal(syscall.SIGTERM)
	if err := g.wait(5 * time.Second); err != nil {
		return err
	}
	if _, err = r.start(after, management); err != nil {
		return err
	}
	r.together(func(i int) { r.report(front, fmt.Sprintf("slow-%d", i), 2*time.Second) })
	for i := range reports {
		key := fmt.Sprintf("slow-%d", i)
		if n := effects.of(key); n > 1 {
			r.breaks("the report of key %s has had its effect %d times", key, n)
		}
	}
	return nil
}

// together does something for all reports, some at once.
func (r *run) together(f func(i int)) {
	for from := 0; from < reports; from += atOnce {
		var all sync.WaitGroup
		for i := range atOnce {
			all.Go(func() { f(from + i) })
		}
		all.Wait()
	}
}

// keyedHosts are the two hosts of a pool. A key that begins with slow is carried out at once and answered late, the first time.
func (r *run) keyedHosts(pool string, effects *runs) (addresses []string, end func(), err error) {
	p := &keyedPool{keys: map[string]bool{}}
	var list []*fake.Host
	end = func() {
		for _, h := range list {
			h.Close()
		}
	}
	for range 2 {
		h, err := fake.Scripted(func(q *fake.Request) fake.Act { return r.carryOut(p, pool, effects, q) })
		if err != nil {
			end()
			return nil, nil, err
		}
		list, addresses = append(list, h), append(addresses, h.Addr())
	}
	return addresses, end, nil
}

func (r *run) carryOut(p *keyedPool, pool string, effects *runs, q *fake.Request) fake.Act {
	key := q.Header.Get("Idempotency-Key")
	isFirst := p.first(key)
	if key[:4] != "slow" {
		r.note("%s runs %s", pool, key)
		return fake.Serve("ok")
	}
	if !isFirst {
		r.note("%s drops a repeat of %s", pool, key)
		return fake.Serve("ok, as before")
	}
	n := effects.add(key)
	r.note("%s carries out %s, effect %d", pool, key, n)
	if n > 1 {
		return fake.Serve("ok")
	}
	return fake.Act{After: 1300 * time.Millisecond, Answer: fake.Answer(200, "ok")}
}

// report sends a keyed request and waits for its answer for so long; 0: it has none in that time.
func (r *run) report(front, key string, wait time.Duration) (status int, err error) {
	nc, err := net.Dial("tcp", front)
	if err != nil {
		return 0, err
	}
	defer nc.Close()
	nc.SetDeadline(time.Now().Add(wait))
	c := fake.Over(nc)
	if err := c.Send(http.MethodPost, "/missed/7", "bin", "Idempotency-Key: "+key, "X-Correlation-Id: "+newID()); err != nil {
		return 0, err
	}
	status, _, _, err = c.Receive()
	r.note("a client asks for %s and has the answer %d, %v", key, status, err)
	return status, err
}
