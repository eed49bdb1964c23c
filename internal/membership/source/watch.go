package source

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"time"

	"frostshift/internal/membership"
)

const maxLine = 4 << 20 // bytes of one message of discovery

// runWatch keeps a watch open until the context ends. Where the list is pushed it opens
// a new one by itself; where it must be asked for, the balancer says when.
func (t *turn) runWatch(ctx context.Context) {
	wait, said := retryFirst, ""
	for first := true; ctx.Err() == nil; first = false {
		if t.cfg.Asked && (!first || t.n == 0) {
			select {
			case <-t.ask:
			case <-ctx.Done():
				return
			}
		}
		opened := time.Now()
		err := t.watch(ctx)
		if ctx.Err() != nil {
			return
		}
		if text := err.Error(); text != said { // once, not with every try of an outage
			t.cfg.Log.Warn("watch of the host list ended", "err", err, "discovery", t.source.Discovery, "index", t.index)
			said = text
		}
		if t.cfg.Asked {
			t.cfg.Sink.Lost()
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
func (t *turn) watch(ctx context.Context) (err error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	dog := time.AfterFunc(t.cfg.Silence, func() { cancel(errors.New("silent for too long")) })
	defer dog.Stop()
	defer func() {
		if cause := context.Cause(ctx); cause != nil && err != nil {
			err = cause
		}
	}()
	url := fmt.Sprintf("http://%s/v1/endpoints?watch=1&from=%d", t.source.Discovery, t.index)
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return err
	}
	tr := &http.Transport{DialContext: (&net.Dialer{Timeout: silence}).DialContext, DisableKeepAlives: true, DisableCompression: true}
	defer tr.CloseIdleConnections()
	resp, err := tr.RoundTrip(req)
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
		dog.Reset(t.cfg.Silence)
		if len(in.Bytes()) == 0 {
			continue
		}
		var list membership.List
		err := json.Unmarshal(in.Bytes(), &list)
		if err == nil {
			err = list.Check()
		}
		if err == nil {
			err = t.take(&list)
		}
		if err != nil {
			return fmt.Errorf("malformed line: %w", err)
		}
	}
	if err := in.Err(); err != nil {
		return err
	}
	return errors.New("discovery ended it")
}
