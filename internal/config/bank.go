package config

import (
	"encoding/base64"
	"net/netip"
	"os"
	"strings"
	"time"

	"frostshift"
	"frostshift/internal/bank"
)

// Bounds of what a bank may be told.
const (
	mostJoins  = 1000
	leastProbe = 50 * time.Millisecond
	mostProbe  = 10 * time.Second
	leastSpan  = 5 * time.Second // of the window: a restart must fit into it
	mostSpan   = time.Hour
	mostKeys   = 8
)

// bank is the talk among gateways; nil: there is none.
func (d *doc) bank(f *file, m *Model) *bank.Config {
	b := &f.Bank
	if b.Talk == "" {
		for key, set := range map[string]bool{"advertise": b.Advertise != "", "join": b.Join != nil, "join_file": b.JoinFile != "", "key_file": b.KeyFile != "",
			"verdicts": b.Verdicts, "bans": b.Bans, "load": b.Load, "zone": b.Zone != "", "probe": b.Probe != 0, "window": b.Window != 0} {
			if set {
				d.fail("bank."+key, "goes with talk, the address at which this gateway hears the others")
			}
		}
		return nil
	}
	c := &bank.Config{Name: m.Name, Zone: b.Zone, Listen: b.Talk, Advertise: b.Advertise, Typed: m.Instances, Verdicts: b.Verdicts, Bans: b.Bans, Load: b.Load, Probe: b.Probe, Window: b.Window,
		Place: frostshift.TypedPlace(b.Rank, max(m.Instances, 1))}
	if f.Name == "" {
		d.fail("bank.talk", "needs a name of this gateway's own at the head of the file: members are known by their names")
	}
	if len(m.Name) > 64 {
		d.fail("name", "is longer than 64 bytes, which is the most where gateways talk")
	}
	if len(b.Zone) > 64 {
		d.fail("bank.zone", "is longer than 64 bytes")
	}
	here := map[string]bool{}
	for key, address := range map[string]string{"talk": b.Talk, "advertise": b.Advertise} {
		if address == "" {
			continue
		}
		a, err := netip.ParseAddrPort(address)
		switch {
		case err != nil:
			d.fail("bank."+key, "%q is not an address and port", address)
		case key == "advertise" && a.Port() == 0:
			d.fail("bank."+key, "%q has no port", address)
		case key == "talk" && a.Addr().IsUnspecified() && b.Advertise == "":
			d.fail("bank."+key, "%q is every address: say with advertise at which others reach it", address)
		}
		here[address] = true
	}
	for _, l := range m.Listeners {
		if l.Address == b.Talk && !strings.HasSuffix(b.Talk, ":0") {
			d.fail("bank.talk", "%s is where clients connect", b.Talk)
		}
	}
	if m.Management != "" && m.Management == b.Talk {
		d.fail("bank.talk", "%s is where operators call", b.Talk)
	}
	join := func(key string, list []string) {
		for _, address := range list {
			if a, err := netip.ParseAddrPort(address); err != nil || a.Port() == 0 {
				d.fail(key, "%q is not an address and port", address)
			} else if !here[address] { // a list that all gateways have names this one as well
				c.Join = append(c.Join, address)
			} else if len(list) == 1 {
				d.fail(key, "%s is this process, and there is no other", address)
			}
		}
		if len(list) > mostJoins {
			d.fail(key, "%d addresses are more than %d: a few lead to all", len(list), mostJoins)
		}
	}
	join("bank.join", b.Join)
	if b.JoinFile != "" {
		text, err := os.ReadFile(d.beside(b.JoinFile))
		if err != nil {
			d.fail("bank.join_file", "%v", err)
		}
		join("bank.join_file", lines(text))
	}
	if b.KeyFile != "" {
		text, err := os.ReadFile(d.beside(b.KeyFile))
		if err != nil {
			d.fail("bank.key_file", "%v", err)
		}
		for i, line := range lines(text) {
			key, err := base64.StdEncoding.DecodeString(line)
			if n := len(key); err != nil || n != 16 && n != 24 && n != 32 {
				d.fail("bank.key_file", "key %d is not 16, 24 or 32 bytes in base64", i+1)
				continue
			}
			c.Keys = append(c.Keys, key)
		}
		if n := len(c.Keys); err == nil && (n == 0 || n > mostKeys) {
			d.fail("bank.key_file", "holds %d keys, want 1 to %d", n, mostKeys)
		}
	}
	if b.Probe != 0 && (b.Probe < leastProbe || b.Probe > mostProbe) {
		d.fail("bank.probe", "%v is not from %v to %v", b.Probe, leastProbe, mostProbe)
	}
	if b.Window != 0 && (b.Window < leastSpan || b.Window > mostSpan) {
		d.fail("bank.window", "%v is not from %v to %v", b.Window, leastSpan, mostSpan)
	}
	return c
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
