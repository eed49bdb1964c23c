package proving

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
	// Verdicts has them tell each other of hosts, Bans take operators' words for all of them, Load tell what
	// they have out.
	Verdicts, Bans, Load bool
}

// Text is the configuration of the process of a rank.
func (s *Shape) Text(p *Process, rank int) string {
	bank := ""
	if s.Gateways > 0 {
		bank = fmt.Sprintf("[bank]\ninstances = %d\nrank = %d\n", s.Gateways, rank)
	}
	if p.talk != "" {
		if bank == "" {
			bank = "[bank]\n"
		}
		bank = fmt.Sprintf("%stalk = %q\nadvertise = %q\njoin = [\"%s\"]\nprobe = %q\nverdicts = %v\nbans = %v\nload = %v\n", bank, p.talk, p.Advertise, strings.Join(s.Join, `", "`), s.Probe, s.Verdicts, s.Bans, s.Load)
	}
	if p.Desk != "" {
		bank = fmt.Sprintf("management = %q\n", p.Desk) + bank
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
`, p.Name, bank, p.Addr, s.Effect, s.Aim.String(), s.Deadline.String(), source, s.Pool, ReadyPath, s.More)
}
