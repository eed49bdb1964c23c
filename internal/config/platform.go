package config

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/netip"
	"os"
	"path/filepath"
	"strconv"
	"time"

	"frostshift/internal/membership"
	"frostshift/internal/membership/source"
	"frostshift/internal/route"
	"frostshift/internal/wire"
)

// platformPool is the name of the one pool that the platform's configuration makes.
const platformPool = "hosts"

const (
	platformIdle     = 10 * time.Second        // peers take seconds to read or write
	platformSilence  = 2900 * time.Millisecond // a client that stops within its request has its error within 3 s
	platformLongest  = 10 * time.Minute        // 32 MB at 64 kB a second
	firstDescriptor  = 3                       // below are the standard ones
	hotRestartSocket = "stilespool.sock"
	platformAhead    = 150 * time.Millisecond
	platformRate     = 8 << 10 // bytes a second: an eighth of what slow clients send
)

// Platform reads the configuration that the platform's environment names. GW_LISTEN and
// GW_DISCOVERY win over the same entries of the file.
func Platform(getenv func(string) string) (*Model, error) {
	path := getenv("GW_CONFIG")
	if path == "" {
		return nil, errors.New("GW_CONFIG is not set")
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("GW_CONFIG: %w", err)
	}
	m, err := ParsePlatform(text)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	if text := getenv("GW_INHERITED_FD"); text != "" {
		n, err := strconv.Atoi(text)
		if err != nil || n < firstDescriptor {
			return nil, fmt.Errorf("GW_INHERITED_FD: %q is no descriptor from %d on", text, firstDescriptor)
		}
		m.Listeners[0].Descriptor = n
		if dir := getenv("TMPDIR"); dir != "" {
			m.HotRestart = filepath.Join(dir, hotRestartSocket)
		}
	}
	if s := getenv("GW_MANAGEMENT"); s != "" {
		m.Management = s
	}
	for _, v := range []struct {
		env, name string
		to        *string
	}{{"GW_NAME", "name", &m.Name}, {"GW_LISTEN", "listen", &m.Listeners[0].Address}, {"GW_DISCOVERY", "discovery", &m.Pools[0].Sources[0].Discovery}} {
		if s := getenv(v.env); s != "" {
			*v.to = s
		}
		if *v.to == "" {
			return nil, fmt.Errorf("neither %s nor %q in %s is set", v.env, v.name, path)
		}
	}
	for name, addr := range map[string]string{"listen": m.Listeners[0].Address, "discovery": m.Pools[0].Sources[0].Discovery} {
		if _, err := netip.ParseAddrPort(addr); err != nil {
			return nil, fmt.Errorf("%s address: %w", name, err)
		}
	}
	if a := m.Management; a != "" {
		if _, err := netip.ParseAddrPort(a); err != nil {
			return nil, fmt.Errorf("management address: %w", err)
		}
		if a == m.Listeners[0].Address {
			return nil, fmt.Errorf("management address: %s is where clients connect", a)
		}
	}
	return m, nil
}

// ReloadPlatform reads the file that the environment names once more. It must be a good
// configuration as a whole; only discovery's address is taken from it, which here wins
// over GW_DISCOVERY, as that is what the gateway was told at its start. Other changes
// want a restart.
func ReloadPlatform(old *Model, getenv func(string) string) (*Model, error) {
	m, err := Platform(func(name string) string {
		if name == "GW_DISCOVERY" {
			return ""
		}
		return getenv(name)
	})
	if err != nil {
		return nil, err
	}
	next, pool := *old, *old.Pools[0]
	pool.Sources = m.Pools[0].Sources
	next.Pools = []*Pool{&pool}
	return &next, nil
}

// ParsePlatform reads the text of the platform's configuration file.
func ParsePlatform(text []byte) (*Model, error) {
	var in struct {
		Name, Listen, Discovery, Seed, Management string
		Limits                                    struct {
			Cores    float64
			MemoryMB int `json:"memory_mb"`
			Sockets  int
		}
		Known    *membership.List
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
	if l.Cores < 0 || l.MemoryMB < 0 || l.Sockets < 0 || l.Sockets > 0 && l.Sockets < LeastDescriptors {
		return nil, fmt.Errorf("limits: out of range (a gateway needs %d sockets at least)", LeastDescriptors)
	}
	p := &Pool{Name: platformPool, Sources: []source.Spec{{Discovery: in.Discovery}}, Known: in.Known, Guarantee: 1}
	if err := checkRuleFigures(in.Settings); err != nil {
		return nil, err
	}
	if p.Settings, err = wire.ParseSettings(in.Settings); err != nil {
		return nil, err
	}
	p.Settings.MaxAttempts = min(p.Settings.MaxAttempts, mostAttempts)
	m := &Model{Name: in.Name, Management: in.Management, Seed: seed, Platform: true, Pools: []*Pool{p},
		Limits:    Limits{Cores: l.Cores, MemoryMB: l.MemoryMB, Descriptors: l.Sockets},
		Listeners: []Listener{{Name: "clients", Address: in.Listen}}}
	if err := m.platformNames(in.Settings); err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	if in.Known != nil {
		if err := in.Known.Check(); err != nil {
			return nil, fmt.Errorf("known: %w", err)
		}
	}
	return m, m.platformRoutes()
}

// platformNames reads the part of the settings that the simulator's wire does not carry.
func (m *Model) platformNames(text []byte) error {
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
	p := m.Pools[0]
	p.Zones, p.Kinds = in.Azs, in.Kinds
	for i, c := range in.Classes {
		if c.Name == "" || m.ClassIndex(c.Name) >= 0 {
			return errors.New("classes need names of their own")
		}
		m.Classes = append(m.Classes, Class{Name: c.Name, Class: p.Settings.Classes[i]})
	}
	m.Tenants = map[string]int{}
	for i, t := range in.Tenants {
		m.Tenants[t.Name] = i
	}
	const most = int64(24 * time.Hour / time.Microsecond)
	if idle, dial := in.Caps.ConnIdle, in.Caps.DialTimeout; idle < 0 || idle > most || dial < 0 || dial > most {
		return errors.New("conn_idle or dial_timeout is out of range")
	}
	p.ConnIdle = time.Duration(in.Caps.ConnIdle) * time.Microsecond
	p.DialTimeout = time.Duration(in.Caps.DialTimeout) * time.Microsecond
	if p.ConnIdle == 0 {
		p.ConnIdle = defaultConnIdle
	}
	if p.DialTimeout == 0 {
		p.DialTimeout = defaultDialTimeout
	}
	return nil
}

// platformBodies is how bodies go on there: what is no longer than the protocol's usual 64 KiB
// is whole, so that another attempt may be made, and what is longer flows.
func platformBodies() *Bodies {
	return &Bodies{Requests: BodiesAuto, Answers: true, Replay: MostWhole, Hold: MostWhole, Ahead: platformAhead, Idle: platformIdle, Silence: platformSilence, Longest: platformLongest,
		Rate: platformRate, HeadTimed: true}
}

// platformRoutes makes a route of each class: it is the first part of the path.
func (m *Model) platformRoutes() error {
	var list []*route.Route
	for _, c := range m.Classes {
		list = append(list, &route.Route{Name: c.Name, Path: route.Path{Value: "/" + c.Name}, Service: c.Name,
			Class: c.Name, Pools: []route.Weighted{{Pool: platformPool, Weight: 1}}})
	}
	table, problems := route.Compile(list)
	for _, p := range problems {
		if !p.Warning {
			return fmt.Errorf("settings: class %q: %s", p.Route.Name, p.Text)
		}
	}
	m.Table, m.Policies = table, make([]*Policy, len(list))
	for i := range m.Policies {
		m.Policies[i] = &Policy{Bodies: platformBodies()}
	}
	return nil
}
