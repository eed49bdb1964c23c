package clustertest

import (
	"fmt"
	"strings"
	"time"
)

// Shape is what the configurations of a fleet's processes have in common.
type Shape struct {
	Gateways int // that each is told of; 0: nothing is told, neither number nor rank
	Hosts    []string
	File     string // that lists hosts, in place of Hosts
	Effect   string // safe, keyed or unsafe
	Aim      time.Duration
	Deadline time.Duration
	Pool     string // further keys of the pool
	More     string // further tables
	// Join is where processes that talk find others, Probe the time between two probes of theirs.
	Join  []string
	Probe time.Duration
	// Verdicts has them tell each other of hosts, Overrides take operators' overrides for all of them, Load tell what
	// they have out.
	Verdicts, Overrides, Load bool
}

// Text is the configuration of the process of a rank.
func (s *Shape) Text(p *Process, rank int) string {
	fleet := ""
	if s.Gateways > 0 {
		fleet = fmt.Sprintf("[fleet]\ninstances = %d\nrank = %d\n", s.Gateways, rank)
	}
	if p.talk != "" {
		if fleet == "" {
			fleet = "[fleet]\n"
		}
		fleet = fmt.Sprintf("%slisten = %q\nadvertise = %q\njoin = [\"%s\"]\nprobe = %q\nverdicts = %v\noverrides = %v\nload = %v\n", fleet, p.talk, p.Advertise, strings.Join(s.Join, `", "`), s.Probe, s.Verdicts, s.Overrides, s.Load)
	}
	if p.Desk != "" {
		fleet = fmt.Sprintf("management = %q\n", p.Desk) + fleet
	}
	source := fmt.Sprintf("hosts = [\"%s\"]", strings.Join(s.Hosts, `", "`))
	if s.File != "" {
		source = fmt.Sprintf("file = %q", s.File)
	}
	return fmt.Sprintf(`name = %q
%s
[log]
level = "warn"

[[listener]]
name = "clients"
address = %q

[[class]]
name = "work"
effect = %q
aim = %q
deadline = %q

[[pool]]
name = "hosts"
%s
%s

[[route]]
name = "ready"
path = %q
answer = { status = 204 }

[[route]]
name = "work"
prefix = "/"
class = "work"
pool = "hosts"

%s
`, p.Name, fleet, p.Addr, s.Effect, s.Aim.String(), s.Deadline.String(), source, s.Pool, ReadyPath, s.More)
}
