package gateway

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"frostshift"
)

const (
	silence    = 4500 * time.Millisecond // a watch that says nothing for so long is dead: it has an empty line every 2 s
	retryFirst = 100 * time.Millisecond
	retryMost  = 2 * time.Second
	maxLine    = 4 << 20
)

// discovery follows the host list.
type discovery struct {
	loop    *loop
	log     *slog.Logger
	ask     chan struct{} // the balancer wants a watch; used where the list must be asked for
	move    chan string   // another address of discovery
	heard   chan struct{} // closed with the first list
	first   sync.Once
	silence time.Duration

	mu     sync.Mutex
	latest int // the turn of the last follower that has said something
}

func newDiscovery(l *loop) *discovery {
	d := &discovery{loop: l, log: l.log, ask: make(chan struct{}, 1), move: make(chan string), heard: make(chan struct{}), silence: silence}
	l.watch = func() {
		select {
		case d.ask <- struct{}{}:
		default:
		}
	}
	return d
}

// follower keeps a watch open at one address of discovery.
type follower struct {
	*discovery
	addr  string
	turn  int           // they count up
	index uint64        // of the last list heard; 0: the whole list is asked for
	said  chan struct{} // closed with its first list
	once  sync.Once
	end   context.CancelFunc
}

// run follows the list until the context ends. Where discovery moves, what the old
// address says counts until the new one has said something: a list that is a little
// old is better than none.
func (d *discovery) run(ctx context.Context) {
	turn := 0
	start := func(addr string, index uint64) *follower {
		own, end := context.WithCancel(ctx)
		f := &follower{discovery: d, addr: addr, turn: turn, index: index, said: make(chan struct{}), end: end}
		turn++
		go f.run(own)
		return f
	}
	var index uint64
	if k := d.loop.cfg.Known; k != nil {
		index = *k.Index
	}
	now := start(d.loop.cfg.Discovery, index)
	var next *follower
	for {
		var said chan struct{}
		if next != nil {
			said = next.said
		}
		select {
		case <-ctx.Done():
			return
		case addr := <-d.move:
			if next != nil && next.addr == addr || next == nil && now.addr == addr {
				continue
			}
			if next != nil {
				next.end()
				next = nil
			}
			if addr != now.addr {
				next = start(addr, 0) // versions of one address say nothing at another
			}
		case <-said:
			now.end()
			now, next = next, nil
			d.log.Info("following the host list at a new address", "discovery", now.addr)
		}
	}
}

// run keeps a watch open until the context ends. Where the list is pushed it opens a
// new one by itself; where it must be asked for, the balancer says when.
func (f *follower) run(ctx context.Context) {
	asked := f.loop.cfg.Settings.Ask
	wait, said := retryFirst, ""
	for first := true; ctx.Err() == nil; first = false {
		if asked && (!first || f.turn == 0) {
			select {
			case <-f.ask:
			case <-ctx.Done():
				return
			}
		}
		opened := time.Now()
		err := f.watch(ctx)
		if ctx.Err() != nil {
			return
		}
		if text := err.Error(); text != said { // once, not with every try of an outage
			f.log.Warn("watch of the host list ended", "err", err, "discovery", f.addr, "index", f.index)
			said = text
		}
		if asked {
			f.loop.post(func(now frostshift.Time) { f.loop.b.Hosts(now, frostshift.ListFailed, nil) })
			continue
		}
		if time.Since(opened) > retryMost { // it worked for a while
			wait, said = retryFirst, ""
		}
		select {
		case <-time.After(wait/2 + rand.N(wait/2)):
		case <-ctx.Done():
		}
		wait = min(2*wait, retryMost)
	}
}

// watch holds one watch open and returns why it ended.
func (f *follower) watch(ctx context.Context) (err error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	dog := time.AfterFunc(f.silence, func() { cancel(errors.New("silent for too long")) })
	defer dog.Stop()
	defer func() {
		if cause := context.Cause(ctx); cause != nil && err != nil {
			err = cause
		}
	}()
	url := fmt.Sprintf("http://%s/v1/endpoints?watch=1&from=%d", f.addr, f.index)
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return err
	}
	t := &http.Transport{DialContext: (&net.Dialer{Timeout: silence}).DialContext, DisableKeepAlives: true, DisableCompression: true}
	defer t.CloseIdleConnections()
	resp, err := t.RoundTrip(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("discovery answered %s", resp.Status)
	}
	in := bufio.NewScanner(resp.Body)
	in.Buffer(nil, maxLine)
	for in.Scan() {
		dog.Reset(f.silence)
		if len(in.Bytes()) == 0 {
			continue
		}
		if err := f.take(in.Bytes()); err != nil {
			return fmt.Errorf("malformed line: %w", err)
		}
	}
	if err := in.Err(); err != nil {
		return err
	}
	return errors.New("discovery ended it")
}

// take hands one line to the loop. A list that is not whole is not taken at all:
// the old one stands.
func (f *follower) take(line []byte) error {
	var list hostList
	if err := json.Unmarshal(line, &list); err != nil {
		return err
	}
	if _, err := f.loop.cfg.hosts(&list); err != nil {
		return err
	}
	kind := frostshift.ListChanges
	if list.Snapshot {
		kind = frostshift.ListFull
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.turn < f.latest { // it may be older than what the new address has said
		return errors.New("discovery has moved")
	}
	f.latest, f.index = f.turn, *list.Index
	f.loop.post(func(now frostshift.Time) { f.loop.hosts(now, kind, &list) })
	f.first.Do(func() { close(f.heard) })
	f.once.Do(func() { close(f.said) })
	return nil
}
