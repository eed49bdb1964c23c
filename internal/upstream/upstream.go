// Package upstream holds what upstreams of all protocols have in common: what they are
// told of hosts and of their bounds. Each protocol is a package below it.
package upstream

import (
	"net/http"
	"time"

	"frostshift"
	"frostshift/internal/exchange"
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

// Classify reads an outcome from a whole answer.
func Classify(status int, header http.Header) frostshift.Result {
	switch status {
	case http.StatusOK:
		return frostshift.OK
	case http.StatusServiceUnavailable, http.StatusGatewayTimeout:
		if header.Get("X-Unprocessed") == "1" {
			return frostshift.Full
		}
	}
	return frostshift.Failed
}
