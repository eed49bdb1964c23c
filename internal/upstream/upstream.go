// Package upstream holds what upstreams of all protocols have in common: what they are
// told of hosts and of their bounds. Each protocol is a package below it.
package upstream

import (
	"context"
	"errors"
	"net"
	"net/http"
	"syscall"
	"time"

	"frostshift"
	"frostshift/internal/exchange"
	"frostshift/internal/message"
	"frostshift/internal/shortage"
	"frostshift/internal/socket"
	"frostshift/internal/verdict"
)

// Config bounds what an upstream holds.
type Config struct {
	DialTimeout time.Duration // a connection that is not up by then has failed
	ConnIdle    time.Duration // hosts close a connection that was idle for so long
	Conns       exchange.Room // connections to all hosts; nil: not bounded
	Bytes       exchange.Room // of long answers; nil: not bounded
}

// Default fills in what is not bounded.
func (c *Config) Default() {
	if c.Conns == nil {
		c.Conns = exchange.Unbounded{}
	}
	if c.Bytes == nil {
		c.Bytes = exchange.Unbounded{}
	}
}

// Endpoint is where a host is.
type Endpoint struct {
	ID      frostshift.HostID
	Address string          // host:port
	Started frostshift.Time // when it last started
	Gone    bool            // it is on the list no more
}

// IsLocal says whether a connection could not be made for want of something on this machine, an address of its
// own included: the host has no part in it.
func IsLocal(err error) bool {
	return socket.IsShortage(err) || errors.Is(err, syscall.EADDRNOTAVAIL)
}

const (
	// localTries is how often a connection is tried that fails for want of something on this machine, localWait how long is
	// waited behind the first failure, and twice as long behind each further one.
	localTries = 4
	localWait  = 2 * time.Millisecond
)

// Dial connects. What this machine lacks for a moment costs neither the host nor the attempt: it is tried again, each time
// behind a call of free, which may let go of something. The error is a *shortage.Error where that does not help.
func Dial(ctx context.Context, dial func(ctx context.Context, network, address string) (net.Conn, error), address string, free func()) (net.Conn, error) {
	wait := localWait
	for try := 1; ; try++ {
		c, err := dial(ctx, "tcp", address)
		if err == nil || !IsLocal(err) {
			return c, err
		}
		free()
		if try == localTries || ctx.Err() != nil {
			return nil, &shortage.Error{Resource: shortage.Sockets, Err: err}
		}
		time.Sleep(wait)
		wait *= 2
	}
}

// After is when the host that gave the answer wants to be asked again; 0: it does not say,
// or what it says is about the client alone.
func After(a *message.Answer) time.Duration {
	if a.Status != http.StatusServiceUnavailable {
		return 0
	}
	return verdict.RetryAfter(a.Header, time.Now())
}
