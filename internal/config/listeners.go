package config

import (
	"crypto/tls"
	"fmt"
	"log/slog"
	"math"
	"net/netip"
)

func (d *doc) limits(f *file, m *Model) {
	if l := m.Limits; l.Cores < 0 || l.Cores > 1024 || math.IsNaN(l.Cores) {
		d.fail("limits.cores", "%v is out of range", l.Cores)
	}
	if n := m.Limits.MemoryMB; n < 0 || n > 0 && n < 16 {
		d.fail("limits.memory_mb", "%d is out of range: a gateway needs 16 at least", n)
	}
	if n := m.Limits.Descriptors; n < 0 || n > 0 && n < LeastDescriptors {
		d.fail("limits.descriptors", "%d is out of range: a gateway needs %d at least", n, LeastDescriptors)
	}
	if n := m.Limits.Streams; n < 0 || n > 10_000 {
		d.fail("limits.streams", "%d is not from 1 to 10000", n)
	}
	switch f.Log.Level {
	case "", "info":
	case "warn":
		m.Log.Level = slog.LevelWarn
	case "error":
		m.Log.Level = slog.LevelError
	case "debug":
		m.Log.Level = slog.LevelDebug
	default:
		d.fail("log.level", "%q is none of debug, info, warn, error", f.Log.Level)
	}
	switch f.Log.Format {
	case "", "text":
	case "json":
		m.Log.JSON = true
	default:
		d.fail("log.format", "%q is neither text nor json", f.Log.Format)
	}
	if n := f.Fleet.Instances; n != nil && *n < 1 {
		d.fail("fleet.instances", "%d is out of range: this gateway is one", *n)
	} else if most := 1; f.Fleet.Rank < 0 || n != nil && f.Fleet.Rank >= max(most, *n) || n == nil && f.Fleet.Rank > 0 {
		d.fail("fleet.rank", "%d is not among the instances, which count from 0", f.Fleet.Rank)
	}
}

func (d *doc) listeners(f *file, m *Model) {
	if len(f.Listeners) == 0 {
		d.fail("listener", "there is none: clients have nowhere to connect")
	}
	names, addresses := map[string]bool{}, map[string]bool{}
	for i, l := range f.Listeners {
		key := fmt.Sprintf("listener[%d]", i)
		if l.Name == "" {
			l.Name = l.Address
		}
		if names[l.Name] {
			d.fail(key+".name", "there is another listener %q", l.Name)
		}
		if a, err := netip.ParseAddrPort(l.Address); err != nil {
			d.fail(key+".address", "%q is not an address and port", l.Address)
		} else if addresses[l.Address] && a.Port() != 0 {
			d.fail(key+".address", "another listener has %s", l.Address)
		}
		names[l.Name], addresses[l.Address] = true, true
		out := Listener{Name: l.Name, Address: l.Address, Protocol: d.protocol(key+".protocol", l.Protocol), Descriptor: l.Descriptor}
		if l.Descriptor != 0 && l.Descriptor < firstDescriptor {
			d.fail(key+".descriptor", "%d is none from %d on", l.Descriptor, firstDescriptor)
		}
		if l.TLS.Certificate != "" || l.TLS.Key != "" {
			if l.Protocol != "" {
				d.fail(key+".protocol", "with tls clients choose: leave it out")
			}
			out.Certificate, out.Key = d.beside(l.TLS.Certificate), d.beside(l.TLS.Key)
			if _, err := tls.LoadX509KeyPair(out.Certificate, out.Key); err != nil {
				d.fail(key+".tls", "%v", err)
			}
		}
		m.Listeners = append(m.Listeners, out)
	}
	m.HotRestart = d.hotRestart(f.HotRestart, m.Listeners)
}

// protocols by their names in the file.
var protocols = map[string]Protocol{"": HTTP1, "http1": HTTP1, "http2": HTTP2}

func (d *doc) protocol(key, name string) Protocol {
	p, ok := protocols[name]
	if !ok {
		d.fail(key, "%q is neither http1 nor http2", name)
	}
	return p
}

// management is the address at which operators call; "": there is none.
func (d *doc) management(f *file) string {
	address := f.Management
	for _, l := range f.Listeners {
		if address != "" && l.Address == address {
			d.fail("management", "%s is where clients connect", address)
		}
	}
	if _, err := netip.ParseAddrPort(address); address != "" && err != nil {
		d.fail("management", "%v", err)
	}
	return address
}

// hotRestart is the path at which a process that takes over finds the one that runs. It needs
// listening sockets that both have.
func (d *doc) hotRestart(path string, listeners []Listener) string {
	if path == "" {
		return ""
	}
	for _, l := range listeners {
		if l.Descriptor == 0 {
			d.fail("hot_restart", "listener %q has no descriptor: a second process could not listen there", l.Name)
		}
	}
	return d.beside(path)
}
