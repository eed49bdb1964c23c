// Package upstream holds what upstreams of all protocols have in common: what they are
// told of hosts and of their bounds. Each protocol is a package below it.
package upstream

import (
	"errors"
	"net/http"
	"syscall"
	"time"

	"frostshift"
	"frostshift/internal/exchange"
	"frostshift/internal/message"
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

// After is when the host that gave the answer wants to be asked again; 0: it does not say,
// or what it says is about the client alone.
func After(a *message.Answer) time.Duration {
	if a.Status != http.StatusServiceUnavailable {
		return 0
	}
	return verdict.RetryAfter(a.Header, time.Now())
}
