package config

import (
	"encoding/base64"
	"net/netip"
	"os"
	"strings"
	"time"

	"frostshift"
	"frostshift/internal/gossip"
)

// Bounds of what a fleet may be told.
const (
	mostJoins  = 1000
	leastProbe = 50 * time.Millisecond
	mostProbe  = 10 * time.Second
	leastSpan  = 5 * time.Second // of the window: a restart must fit into it
	mostSpan   = time.Hour
	mostKeys   = 8
	mostName   = 64 // bytes of a name of a gateway or zone, which every message has
)

// gossip is how this gateway finds and hears the others; nil: there is none.
func (d *doc) gossip(f *file, m *Model) *gossip.Config {
	b := &f.Fleet
	if b.Listen == "" {
		for key, set := range map[string]bool{"advertise": b.Advertise != "", "join": b.Join != nil, "join_file": b.JoinFile != "", "key_file": b.KeyFile != "",
			"verdicts": b.Verdicts, "overrides": b.Overrides, "load": b.Load, "zone": b.Zone != "", "probe": b.Probe != 0, "window": b.Window != 0} {
			if set {
				d.fail("fleet."+key, "goes with listen, the address at which this gateway hears the others")
			}
		}
		return nil
	}
	if f.Name == "" {
		d.fail("fleet.listen", "needs a name of this gateway's own at the head of the file: members are known by their names")
	}
	if len(m.Name) > mostName {
		d.fail("name", "is longer than %d bytes, which is the most where gateways talk", mostName)
	}
	if len(b.Zone) > mostName {
		d.fail("fleet.zone", "is longer than %d bytes", mostName)
	}
	here := d.gossipAddresses(b, m)
	if b.Probe != 0 && (b.Probe < leastProbe || b.Probe > mostProbe) {
		d.fail("fleet.probe", "%v is not from %v to %v", b.Probe, leastProbe, mostProbe)
	}
	if b.Window != 0 && (b.Window < leastSpan || b.Window > mostSpan) {
		d.fail("fleet.window", "%v is not from %v to %v", b.Window, leastSpan, mostSpan)
	}
	return &gossip.Config{Name: m.Name, Zone: b.Zone, Listen: b.Listen, Advertise: b.Advertise, Typed: m.Instances,
		Verdicts: b.Verdicts, Overrides: b.Overrides, Load: b.Load, Probe: b.Probe, Window: b.Window,
		Place: frostshift.RankPosition(b.Rank, max(m.Instances, 1)), Join: d.joins(b, here), Keys: d.gossipKeys(b.KeyFile)}
}

// gossipAddresses checks where this gateway hears the others, and returns the addresses that are its own.
func (d *doc) gossipAddresses(b *fileFleet, m *Model) (here map[string]bool) {
	here = map[string]bool{}
	for key, address := range map[string]string{"listen": b.Listen, "advertise": b.Advertise} {
		if address == "" {
			continue
		}
		a, err := netip.ParseAddrPort(address)
		switch {
		case err != nil:
			d.fail("fleet."+key, "%q is not an address and port", address)
		case key == "advertise" && a.Port() == 0:
			d.fail("fleet."+key, "%q has no port", address)
		case key == "listen" && a.Addr().IsUnspecified() && b.Advertise == "":
			d.fail("fleet."+key, "%q is every address: say with advertise at which others reach it", address)
		}
		here[address] = true
	}
	for _, l := range m.Listeners {
		if l.Address == b.Listen && !strings.HasSuffix(b.Listen, ":0") {
			d.fail("fleet.listen", "%s is where clients connect", b.Listen)
		}
	}
	if m.Management != "" && m.Management == b.Listen {
		d.fail("fleet.listen", "%s is where operators call", b.Listen)
	}
	return here
}

// joins are the addresses of other gateways, from the configuration and from a file of its own.
func (d *doc) joins(b *fileFleet, here map[string]bool) []string {
	list := d.join("fleet.join", b.Join, here)
	if b.JoinFile == "" {
		return list
	}
	text, err := os.ReadFile(d.beside(b.JoinFile))
	if err != nil {
		d.fail("fleet.join_file", "%v", err)
	}
	return append(list, d.join("fleet.join_file", lines(text), here)...)
}

// join checks addresses and leaves out this process's own: a list that all gateways have names it as well.
func (d *doc) join(key string, list []string, here map[string]bool) (others []string) {
	for _, address := range list {
		if a, err := netip.ParseAddrPort(address); err != nil || a.Port() == 0 {
			d.fail(key, "%q is not an address and port", address)
		} else if !here[address] {
			others = append(others, address)
		} else if len(list) == 1 {
			d.fail(key, "%s is this process, and there is no other", address)
		}
	}
	if len(list) > mostJoins {
		d.fail(key, "%d addresses are more than %d: a few lead to all", len(list), mostJoins)
	}
	return others
}

// gossipKeys reads the keys that gateways encrypt with, the one they send with first.
func (d *doc) gossipKeys(file string) (keys [][]byte) {
	if file == "" {
		return nil
	}
	text, err := os.ReadFile(d.beside(file))
	if err != nil {
		d.fail("fleet.key_file", "%v", err)
		return nil
	}
	for i, line := range lines(text) {
		key, err := base64.StdEncoding.DecodeString(line)
		if n := len(key); err != nil || n != 16 && n != 24 && n != 32 {
			d.fail("fleet.key_file", "key %d is not 16, 24 or 32 bytes in base64", i+1)
			continue
		}
		keys = append(keys, key)
	}
	if n := len(keys); n == 0 || n > mostKeys {
		d.fail("fleet.key_file", "holds %d keys, want 1 to %d", n, mostKeys)
	}
	return keys
}

// lines are those of a file that are neither empty nor begin with a hash.
func lines(text []byte) (list []string) {
	for line := range strings.Lines(string(text)) {
		if line = strings.TrimSpace(line); line != "" && !strings.HasPrefix(line, "#") {
			list = append(list, line)
		}
	}
	return list
}
