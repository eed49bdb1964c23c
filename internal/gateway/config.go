// Package gateway runs a frostshift.Balancer on real sockets: it takes requests
// from clients over HTTP, tells the balancer what happens and carries out what the
// balancer decides. It makes no decision of its own about where a request goes,
// whether it is tried again or when it is turned away.
//
// Each file has one job: config.go reads what the gateway is told at its start,
// loop.go owns the balancer, clients.go serves clients, hosts.go makes attempts
// and discovery.go follows the host list.
package gateway

import (
	"encoding/json"
	"errors"
	"fmt"
	"hash/fnv"
	"net/netip"
	"os"
	"strconv"
	"time"

	"frostshift"
	"frostshift/internal/wire"
)

// Config is what a gateway is told at its start.
type Config struct {
	Name      string
	Listen    string // address for clients
	Discovery string // address of discovery
	Seed      uint64
	Cores     float64 // 0: not limited
	MemoryMB  int     // 0: not limited
	Sockets   int     // file descriptors; 0: not limited
	Known     *hostList

	Settings    frostshift.Settings
	ConnIdle    time.Duration // hosts close a connection that was idle for so long
	DialTimeout time.Duration // a connection that is not up by then has failed

	classes, tenants, zones, kinds map[string]int // indices by name
}

// Defaults for settings that may be absent.
const (
	defaultConnIdle    = 60 * time.Second
	defaultDialTimeout = 250 * time.Millisecond
)

// LoadConfig reads the configuration that the environment names. GW_LISTEN and
// GW_DISCOVERY win over the same entries of the file.
func LoadConfig(getenv func(string) string) (*Config, error) {
	path := getenv("GW_CONFIG")
	if path == "" {
		return nil, errors.New("GW_CONFIG is not set")
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("GW_CONFIG: %w", err)
	}
	cfg, err := ParseConfig(text)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	for _, v := range []struct {
		env, name string
		to        *string
	}{{"GW_NAME", "name", &cfg.Name}, {"GW_LISTEN", "listen", &cfg.Listen}, {"GW_DISCOVERY", "discovery", &cfg.Discovery}} {
		if s := getenv(v.env); s != "" {
			*v.to = s
		}
		if *v.to == "" {
			return nil, fmt.Errorf("neither %s nor %q in %s is set", v.env, v.name, path)
		}
	}
	for name, addr := range map[string]string{"listen": cfg.Listen, "discovery": cfg.Discovery} {
		if _, err := netip.ParseAddrPort(addr); err != nil {
			return nil, fmt.Errorf("%s address: %w", name, err)
		}
	}
	return cfg, nil
}

// ReloadDiscovery reads discovery's address from the file that the environment names
// once more. The file must be a good configuration as a whole; here its address wins,
// as GW_DISCOVERY is what the gateway was told at its start.
func ReloadDiscovery(getenv func(string) string) (string, error) {
	cfg, err := LoadConfig(func(name string) string {
		if name == "GW_DISCOVERY" {
			return ""
		}
		return getenv(name)
	})
	if err != nil {
		return "", err
	}
	return cfg.Discovery, nil
}

// ParseConfig reads the text of a configuration file.
func ParseConfig(text []byte) (*Config, error) {
	var in struct {
		Name, Listen, Discovery, Seed string
		Limits                        struct {
			Cores    float64
			MemoryMB int `json:"memory_mb"`
			Sockets  int
		}
		Known    *hostList
		Settings json.RawMessage
	}
	if err := json.Unmarshal(text, &in); err != nil {
		return nil, err
	}
	if len(in.Settings) == 0 {
		return nil, errors.New("settings are missing")
	}
	seed, err := strconv.ParseUint(in.Seed, 16, 64)
	if err != nil {
		return nil, fmt.Errorf("seed %q is not a hexadecimal number of 64 bits", in.Seed)
	}
	l := in.Limits
	if l.Cores < 0 || l.MemoryMB < 0 || l.Sockets < 0 || l.Sockets > 0 && l.Sockets < leastSockets {
		return nil, fmt.Errorf("limits: out of range (a gateway needs %d sockets at least)", leastSockets)
	}
	set, err := wire.ParseSettings(in.Settings)
	if err != nil {
		return nil, err
	}
	cfg := &Config{Name: in.Name, Listen: in.Listen, Discovery: in.Discovery, Seed: seed, Known: in.Known,
		Cores: l.Cores, MemoryMB: l.MemoryMB, Sockets: l.Sockets, Settings: set}
	if err := cfg.parseNames(in.Settings); err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	if in.Known != nil {
		if _, err := cfg.hosts(in.Known); err != nil {
			return nil, fmt.Errorf("known: %w", err)
		}
	}
	return cfg, nil
}

// parseNames reads the part of the settings that only sockets need.
func (cfg *Config) parseNames(text []byte) error {
	type named struct{ Name string }
	var in struct {
		Classes, Tenants []named
		Azs, Kinds       []string
		Caps             struct {
			ConnIdle    int64 `json:"conn_idle"` // microseconds, as all times here
			DialTimeout int64 `json:"dial_timeout"`
		}
	}
	if err := json.Unmarshal(text, &in); err != nil {
		return err
	}
	names := func(list []named) (out []string) {
		for _, n := range list {
			out = append(out, n.Name)
		}
		return out
	}
	cfg.classes, cfg.tenants = index(names(in.Classes)), index(names(in.Tenants))
	cfg.zones, cfg.kinds = index(in.Azs), index(in.Kinds)
	if _, ok := cfg.classes[""]; ok || len(cfg.classes) != len(in.Classes) {
		return errors.New("classes need names of their own")
	}
	const most = int64(24 * time.Hour / time.Microsecond)
	if idle, dial := in.Caps.ConnIdle, in.Caps.DialTimeout; idle < 0 || idle > most || dial < 0 || dial > most {
		return errors.New("conn_idle or dial_timeout is out of range")
	}
	cfg.ConnIdle = time.Duration(in.Caps.ConnIdle) * time.Microsecond
	cfg.DialTimeout = time.Duration(in.Caps.DialTimeout) * time.Microsecond
	if cfg.ConnIdle == 0 {
		cfg.ConnIdle = defaultConnIdle
	}
	if cfg.DialTimeout == 0 {
		cfg.DialTimeout = defaultDialTimeout
	}
	return nil
}

func index(names []string) map[string]int {
	m := make(map[string]int, len(names))
	for i, n := range names {
		m[n] = i
	}
	return m
}

// lookup returns the index of a name; all unknown ones share the first free index.
func lookup(m map[string]int, name string) int {
	if i, ok := m[name]; ok {
		return i
	}
	return len(m)
}

// hostList is one message of discovery: the whole list, or what changed.
type hostList struct {
	Index     *uint64
	Snapshot  bool
	Endpoints []endpoint
}

type endpoint struct {
	Name, Address, Zone, Type, Status string
	Group                             int
	SinceMS                           int64 `json:"since_ms"`
}

var states = map[string]frostshift.HostState{
	"active": frostshift.Ready, "leaving": frostshift.Draining, "left": frostshift.Removed,
}

// hosts translates a list for the balancer. The list is taken whole or not at all.
func (cfg *Config) hosts(l *hostList) ([]frostshift.Host, error) {
	if l.Index == nil {
		return nil, errors.New("host list has no index")
	}
	out := make([]frostshift.Host, 0, len(l.Endpoints))
	for _, e := range l.Endpoints {
		state, ok := states[e.Status]
		switch {
		case e.Name == "":
			return nil, errors.New("host without a name")
		case !ok:
			return nil, fmt.Errorf("host %q: unknown status %q", e.Name, e.Status)
		case e.SinceMS < 0 || e.SinceMS > maxSince:
			return nil, fmt.Errorf("host %q: since_ms %d is out of range", e.Name, e.SinceMS)
		}
		if state != frostshift.Removed {
			if _, err := netip.ParseAddrPort(e.Address); err != nil {
				return nil, fmt.Errorf("host %q: address: %w", e.Name, err)
			}
		}
		out = append(out, frostshift.Host{ID: hostID(e.Name), Zone: lookup(cfg.zones, e.Zone), Cell: e.Group,
			Kind: lookup(cfg.kinds, e.Type), State: state, Started: clockOf(e.SinceMS)})
	}
	return out, nil
}

const maxSince = int64(1<<63-1) / int64(time.Millisecond)

// hostID names a host alike at every gateway and after every restart.
func hostID(name string) frostshift.HostID {
	h := fnv.New64a()
	h.Write([]byte(name))
	return frostshift.HostID(h.Sum64())
}
