//go:build review

package main

import (
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"frostshift/internal/fake"
	"frostshift/review/stand"
)

func init() { cases["crossed"] = crossed }

const (
	platforms = 10 // hosts
	rate      = 91 // requests a second
	lasts     = 60 * time.Second
	doubled   = 10 // one answer in so many is followed by a second one
	late      = 3 * time.Millisecond
	kept      = 64 // connections of clients
)

// crossed: hosts send some answers a second time, some milliseconds late.
func crossed(r *run) error {
	var list []stand.Entry
	for i := range platforms {
		h, err := fake.NewHost(func(q *fake.Request) bool { return r.giveTwice(i, q) })
		if err != nil {
			return err
		}
		defer h.Close()
		list = append(list, stand.Entry{Name: fmt.Sprintf("s-%d", i), Address: h.Addr(), Zone: "hall-a", Type: "mid-1c", Group: 1, Status: "active", Weight: 1})
	}
	front, err := r.platform(list)
	if err != nil {
		return err
	}
	idle := make(chan *asker, kept)
	for range kept {
		idle <- &asker{r: r, front: front}
	}
	var all sync.WaitGroup
	for end := time.Now().Add(lasts); time.Now().Before(end); {
		time.Sleep(time.Duration(rand.ExpFloat64() * float64(time.Second) / rate))
		select {
		case a := <-idle:
			all.Go(func() {
				a.ask()
				idle <- a
			})
		default:
			r.note("all clients wait for an answer")
		}
	}
	all.Wait()
	r.note("%d requests were served, %d were not", r.served.Load(), r.unserved.Load())
	return nil
}

// asker is a client with a kept connection.
type asker struct {
	r     *run
	front string
	c     *fake.Client
}

// ask asks for one thing, and judges the answer by what hosts have made for it.
func (a *asker) ask() {
	if a.c == nil {
		nc, err := net.Dial("tcp", a.front)
		if err != nil {
			a.r.unserved.Add(1)
			return
		}
		a.c = fake.Over(nc)
	}
	a.c.SetDeadline(time.Now().Add(5 * time.Second))
	id := newID()
	method, class, body, key := http.MethodGet, "lookup", "", "X-Repeat: 0"
	switch n := rand.IntN(100); {
	case n < 30:
		method, class, body = http.MethodPost, "uplift-book", "bulk"
	case n < 51:
		method, class, body, key = http.MethodPost, "missed-bin", "bin", "Idempotency-Key: "+newID()
	}
	a.r.note("a client asks for %s %s", class, id)
	status, answer, _, err := a.c.Ask(method, "/"+class+"?obj="+id, body, "X-Correlation-Id: "+id, "X-Service-Class: "+class, "X-Time-Left: 900m", key)
	if err != nil || a.c.Closing {
		a.c.Close()
		a.c = nil
	}
	a.r.note("the client of %s has the answer %d %q, %v", id, status, answer, err)
	switch {
	case err != nil || status != http.StatusOK:
		a.r.unserved.Add(1)
	case answer != "of "+id:
		a.r.breaks("the client of %s (%s) is served with %q, which no host made for it", id, class, answer)
	default:
		a.r.served.Add(1)
	}
}

// giveTwice answers, and with trouble some answers once more.
func (r *run) giveTwice(host int, q *fake.Request) bool {
	time.Sleep(time.Duration(50+rand.IntN(40)) * time.Millisecond)
	r.note("host %d has run %s and answers it", host, q.ID)
	answer := fake.Answer(200, "of "+q.ID)
	if _, err := io.WriteString(q.Conn, answer); err != nil {
		return false
	}
	if r.trouble && q.N%doubled == 0 {
		go func() {
			time.Sleep(late)
			_, err := io.WriteString(q.Conn, answer)
			r.note("host %d has sent the answer to %s once more, %v", host, q.ID, err)
		}()
	}
	return true
}

// platform starts a gateway as the platform does, with the hosts listed by a discovery, and returns where clients connect.
func (r *run) platform(list []stand.Entry) (front string, err error) {
	discovery := fake.NewDiscovery()
	known := stand.List{Index: 1, Snapshot: true, Endpoints: list}
	line, err := json.Marshal(known)
	if err != nil {
		return "", err
	}
	go func() {
		for w := range discovery.Watches {
			select {
			case w.Lines <- string(line):
			case <-w.Gone:
			}
		}
	}()
	front, management := port(), port()
	text, err := json.Marshal(map[string]any{"name": "n0", "listen": front, "discovery": discovery.Addr(), "seed": "8c1f30d27a5be964",
		"limits": map[string]any{"cores": 1.0, "memory_mb": 192, "sockets": 1024}, "known": known, "settings": stand.Settings("automatic")})
	if err != nil {
		return "", err
	}
	config, err := r.write("config.json", string(text))
	if err != nil {
		return "", err
	}
	_, err = r.launch("exec bin/stilespool", management, []string{"GW_NAME=n0", "GW_LISTEN=" + front, "GW_DISCOVERY=" + discovery.Addr(),
		"GW_CONFIG=" + config, "GW_MANAGEMENT=" + management, "TMPDIR=" + r.dir})
	return front, err
}
