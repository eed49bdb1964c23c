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
	index   uint64        // of the last list heard
	ask     chan struct{} // the balancer wants a watch; used where the list must be asked for
	heard   chan struct{} // closed with the first list
	first   bool
	silence time.Duration
}

func newDiscovery(l *loop) *discovery {
	d := &discovery{loop: l, log: l.log, ask: make(chan struct{}, 1), heard: make(chan struct{}), first: true, silence: silence}
	if k := l.cfg.Known; k != nil {
		d.index = *k.Index
	}
	l.watch = func() {
		select {
		case d.ask <- struct{}{}:
		default:
		}
	}
	return d
}

// run keeps a watch open until the context ends. Where the list is pushed it opens a
// new one by itself; where it must be asked for, the balancer says when.
func (d *discovery) run(ctx context.Context) {
	asked := d.loop.cfg.Settings.Ask
	wait, said := retryFirst, ""
	for ctx.Err() == nil {
		if asked {
			select {
			case <-d.ask:
			case <-ctx.Done():
				return
			}
		}
		opened := time.Now()
		err := d.watch(ctx)
		if ctx.Err() != nil {
			return
		}
		if text := err.Error(); text != said { // once, not with every try of an outage
			d.log.Warn("watch of the host list ended", "err", err, "index", d.index)
			said = text
		}
		if asked {
			d.loop.post(func(now frostshift.Time) { d.loop.b.Hosts(now, frostshift.ListFailed, nil) })
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
func (d *discovery) watch(ctx context.Context) (err error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	dog := time.AfterFunc(d.silence, func() { cancel(errors.New("silent for too long")) })
	defer dog.Stop()
	defer func() {
		if cause := context.Cause(ctx); cause != nil && err != nil {
			err = cause
		}
	}()
	url := fmt.Sprintf("http://%s/v1/endpoints?watch=1&from=%d", d.loop.cfg.Discovery, d.index)
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
		dog.Reset(d.silence)
		if len(in.Bytes()) == 0 {
			continue
		}
		if err := d.take(in.Bytes()); err != nil {
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
func (d *discovery) take(line []byte) error {
	var list hostList
	if err := json.Unmarshal(line, &list); err != nil {
		return err
	}
	if _, err := d.loop.cfg.hosts(&list); err != nil {
		return err
	}
	kind := frostshift.ListChanges
	if list.Snapshot {
		kind = frostshift.ListFull
	}
	d.index = *list.Index
	d.loop.post(func(now frostshift.Time) { d.loop.hosts(now, kind, &list) })
	if d.first {
		d.first = false
		close(d.heard)
	}
	return nil
}
