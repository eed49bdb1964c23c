package source

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"time"

	"frostshift/internal/fairqueue"
	"frostshift/internal/membership"
)

const maxMessage = 4 << 20 // bytes of one message of discovery

// runWatch keeps a watch open until the context ends. Where the list is pushed it opens
// a new one by itself; where it must be asked for, the balancer says when. The balancer knows of one
// watch: while that of an earlier source goes on, a later source is called by its own back-off.
func (t *turn) runWatch(ctx context.Context) {
	wait, said := t.firstRetry(), ""
	for ctx.Err() == nil {
		if t.cfg.Asked && t.isLatest() {
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
		if t.cfg.Asked && t.isLatest() {
			t.cfg.Sink.Lost()
			continue
		}
		if !t.cfg.Asked && time.Since(opened) > retryMost { // it worked for a while
			wait, said = retryFirst, ""
		}
		select {
		case <-time.After(wait/2 + rand.N(wait/2)):
		case <-ctx.Done():
		}
		wait = min(2*wait, t.mostRetry())
	}
}

// firstRetry is the longest wait behind the first call that failed.
func (t *turn) firstRetry() time.Duration {
	if t.cfg.Asked {
		return retryAskedFirst
	}
	return retryFirst
}

// mostRetry is the longest wait between two calls.
func (t *turn) mostRetry() time.Duration {
	if t.cfg.Asked {
		return retryAskedMost
	}
	return retryMost
}

// opens is how long a call may take to be answered.
func (t *turn) opens() time.Duration {
	if t.cfg.Asked {
		return min(openAsked, t.cfg.Silence)
	}
	return min(openPushed, t.cfg.Silence)
}

// watch holds one watch open and returns why it ended.
func (t *turn) watch(ctx context.Context) (err error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	dog := time.AfterFunc(t.opens(), func() { cancel(errors.New("silent for too long")) })
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
	tr := &http.Transport{DialContext: t.cfg.dial, DisableKeepAlives: true, DisableCompression: true}
	defer tr.CloseIdleConnections()
	resp, err := tr.RoundTrip(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("discovery answered %s", resp.Status)
	}
	dog.Reset(t.cfg.Silence)
	in := newMessages(resp.Body, func() { dog.Reset(t.cfg.Silence) })
	in.processor = t.cfg.Processor
	defer t.cfg.Processor.Wait()
	for {
		var list membership.List
		if err := in.next(&list); err != nil {
			return err
		}
		err := list.Check()
		if err == nil {
			err = t.take(&list)
		}
		if err != nil {
			return fmt.Errorf("malformed list: %w", err)
		}
	}
}

// messages reads JSON objects from a watch, on one line each or on several, with blank lines
// between them as heartbeats. It bounds what is held of one message.
type messages struct {
	from    io.Reader
	decoder *json.Decoder
	// processor is discovery's use of it; nil: it is not shared out.
	processor *fairqueue.Peer
	alive     func() // called with each heartbeat and each whole message, not with a part of one
	begun     bool   // a part of a message has come
	held      int    // bytes since the last whole message
}

func newMessages(from io.Reader, alive func()) *messages {
	m := &messages{from: from, alive: alive}
	m.decoder = json.NewDecoder(m)
	return m
}

var (
	errWatchEnded  = errors.New("discovery ended it")
	errWatchBroken = errors.New("discovery ended it within a list")
	errListTooLong = errors.New("it is too long")
)

// Read is the decoder's.
func (m *messages) Read(p []byte) (int, error) {
	m.processor.Wait()
	n, err := m.from.Read(p)
	m.processor.Work()
	if len(bytes.TrimSpace(p[:n])) > 0 {
		m.begun = true
	} else if n > 0 && !m.begun {
		m.alive()
	}
	if m.held += n; m.held > maxMessage {
		return 0, errListTooLong
	}
	return n, err
}

// next decodes the next message.
func (m *messages) next(into any) error {
	m.processor.Work() // several may have come in one read
	err := m.decoder.Decode(into)
	switch {
	case err == nil:
	case errors.Is(err, io.EOF):
		return errWatchEnded
	case errors.Is(err, io.ErrUnexpectedEOF):
		return errWatchBroken
	default:
		return fmt.Errorf("malformed list: %w", err)
	}
	m.alive()
	rest, err := io.ReadAll(m.decoder.Buffered())
	m.begun, m.held = len(bytes.TrimSpace(rest)) > 0, len(rest)
	return err
}
