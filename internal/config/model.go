// Package config reads what a gateway is told and turns it into one Model, whether it
// comes from a file of our own (TOML) or from the platform (JSON named by GW_CONFIG). A
// model is checked as a whole: what New and the packages below it get from here needs no
// second look. It opens no socket and starts nothing.
//
// model.go is the model and what is true of it wherever it comes from, file.go our own
// file, platform.go the platform's, schema.go decodes TOML and collects errors with their
// places, place.go finds the lines of keys.
package config

import (
	"cmp"
	"fmt"
	"log/slog"
	"reflect"
	"slices"
	"strings"
	"time"

	"frostshift"
	"frostshift/internal/contract"
	"frostshift/internal/gossip"
	"frostshift/internal/headers"
	"frostshift/internal/limit"
	"frostshift/internal/membership"
	"frostshift/internal/membership/belief"
	"frostshift/internal/membership/keeper"
	"frostshift/internal/membership/source"
	"frostshift/internal/route"
	"frostshift/internal/shift"
	"frostshift/internal/verdict"
)

// Model is a checked configuration.
type Model struct {
	Name      string
	Seed      uint64
	Limits    Limits
	Log       Log
	Listeners []Listener
	Classes   []Class
	Tenants   map[string]int // indices by name
	Pools     []*Pool
	Table     *route.Table
	Policies  []*Policy          // by route; nil: nothing but pools
	Forward   *headers.Forward   // what hosts are told of clients; nil: nothing is changed
	Contracts *contract.Registry // nil: anybody may ask for anything
	Quota     *Quota             // nil: what gateways share of a limit is even
	Rules     []limit.Config     // limits by key
	Meets     [][]int            // by route: which of them its requests meet
	Guards    map[string][]int   // by listener: which of them its connections do
	State     string             // folder that lasts, for what must outlive the process; "": there is none
	Moves     []shift.Plan       // of traffic between pools
	Spool     Spool              // for bodies that are kept on disk
	// HotRestart is the path at which a process that takes over finds the one that runs; "": none
	// takes over.
	HotRestart string
	// Management is where operators call; "": nowhere.
	Management string
	Views      string // folder where a running gateway shows what it knows of hosts; "": nowhere
	// Fleet is how this gateway talks to the others; nil: it does not.
	Gossip    *gossip.Config
	Instances int // gateways that share the contracts' absolute figures; 0: 1
	// Platform says that clients speak the platform's protocol: they must name class and
	// id in headers, and the method follows from the class.
	Platform bool
}

// Limits bound the process. What is 0 is not limited.
type Limits struct {
	Cores       float64
	MemoryMB    int
	Descriptors int
	Streams     int // that an HTTP/2 connection may have open; 0: 250
}

// LeastDescriptors is the smallest limit a gateway can run with.
const LeastDescriptors = 64

// Log says what is logged and how.
type Log struct {
	Level slog.Level
	JSON  bool
}

// Listener is a place where clients connect.
type Listener struct {
	Name, Address string // host:port
	// Protocol is what clients speak there; with TLS they choose between both.
	Protocol         Protocol
	Certificate, Key string // files; "": no TLS
	// Descriptor is that of a listening socket which the process was given; 0: it opens its own.
	Descriptor int
}

// Protocol is what is spoken over a connection.
type Protocol uint8

// Protocols.
const (
	HTTP1 Protocol = iota
	HTTP2          // with prior knowledge
)

// Class is a kind of request.
type Class struct {
	Name string
	frostshift.Class
	// ByMethod is the index of the class for requests whose method may not be repeated; 0:
	// the class does not go by the method.
	ByMethod int
}

// Pool is a set of hosts with what its balancer is told.
type Pool struct {
	Name     string
	Settings frostshift.Settings
	// Sources say where its hosts are, the first with the highest precedence.
	Sources []source.Spec
	// Belief bounds the doubt of lists; nil: the one source is followed as it is.
	Belief *belief.Config
	// Part is which part of the hosts this gateway uses; nil: all of them, or a part that the
	// balancer chooses. There is a belief where there is a part.
	Part        *keeper.Part
	Known       *membership.List // as of an earlier run
	Zones       []string
	Kinds       []string
	DialTimeout time.Duration // a connection that is not up by then has failed
	ConnIdle    time.Duration // hosts close a connection that was idle for so long
	Protocol    Protocol      // that its hosts speak
	Answers     *verdict.Set  // what answers of its hosts mean; nil: as on the platform
	Authority   string        // see front.Target
	Repeats     float64       // share of requests that may be tried again after they may have run; 0: all
	Guarantee   float64       // part of the limits that is this pool's alone
}

// Names numbers the pool's zones and kinds.
func (p *Pool) Names() membership.Names { return membership.NewNames(p.Zones, p.Kinds) }

// SameBut says whether a pool of another model differs in where its sources are, in its
// guarantee and in what requests bring at most: it can go on running under the other's.
func (p *Pool) SameBut(q *Pool) bool {
	x, y := *p, *q
	if len(x.Sources) != len(y.Sources) {
		return false
	}
	x.Sources, y.Sources = nil, nil
	x.Known, y.Known = nil, nil
	x.Guarantee, y.Guarantee = 0, 0
	x.Answers, y.Answers = nil, nil // requests bring these
	x.Authority, y.Authority = "", ""
	return reflect.DeepEqual(x, y)
}

// Defaults for what may be absent.
const (
	defaultConnIdle    = 60 * time.Second
	defaultDialTimeout = 250 * time.Millisecond
	// lentShare is the part of the limits that no pool is guaranteed, where the pools do
	// not say: it goes to whoever needs it.
	lentShare = 0.5
)

// ClassIndex finds a class by name; -1: there is none.
func (m *Model) ClassIndex(name string) int {
	for i := range m.Classes {
		if m.Classes[i].Name == name {
			return i
		}
	}
	return -1
}

// PoolNamed finds a pool; nil: there is none.
func (m *Model) PoolNamed(name string) *Pool {
	for _, p := range m.Pools {
		if p.Name == name {
			return p
		}
	}
	return nil
}

// shareOut gives pools that name no guarantee an even part of what the others leave.
func (m *Model) shareOut() error {
	named, silent := 0.0, 0
	for _, p := range m.Pools {
		named += p.Guarantee
		if p.Guarantee == 0 {
			silent++
		}
	}
	if named > 1.000001 {
		return fmt.Errorf("the guarantees of all pools add up to %.3g, more than 1", named)
	}
	for _, p := range m.Pools {
		if p.Guarantee == 0 {
			p.Guarantee = (1 - named) * (1 - lentShare) / float64(silent)
		}
	}
	return nil
}

// shareHosts makes pools that may hold the same hosts members of one fleet: what may be
// sent to a cold host is divided over all balancers that may send there, so each pool
// counts as an instance of its own.
func (m *Model) shareHosts() {
	group := make([]int, len(m.Pools)) // the first pool of the same fleet
	for i := range group {
		group[i] = i
	}
	for i, p := range m.Pools {
		for j, q := range m.Pools[:i] {
			if overlapAny(p.Sources, q.Sources) {
				to, from := group[j], group[i]
				for k := range group {
					if group[k] == from {
						group[k] = to
					}
				}
			}
		}
	}
	size, place := map[int]int{}, make([]int, len(m.Pools))
	for i, g := range group {
		place[i] = size[g]
		size[g]++
	}
	for i, p := range m.Pools {
		n := p.Settings.Instances
		if p.Part != nil {
			p.Part.Pools = size[group[i]]
		}
		p.Settings.Instances = n * size[group[i]]
		p.Settings.Rank += n * place[i]
	}
}

func overlapAny(xs, ys []source.Spec) bool {
	return slices.ContainsFunc(xs, func(x source.Spec) bool {
		return slices.ContainsFunc(ys, func(y source.Spec) bool { return overlap(x, y) })
	})
}

// overlap says whether two sources may name the same host.
func overlap(x, y source.Spec) bool {
	if x.Discovery != "" && x.Discovery == y.Discovery || x.File != "" && x.File == y.File || x.DNS != nil && y.DNS != nil && *x.DNS == *y.DNS ||
		x.XDS != nil && y.XDS != nil && x.XDS.Server == y.XDS.Server && x.XDS.Cluster == y.XDS.Cluster {
		return true
	}
	for _, e := range x.Static {
		for _, f := range y.Static {
			if e.Address == f.Address {
				return true
			}
		}
	}
	return false
}

// Error is one thing that is wrong with a configuration.
type Error struct {
	File string
	Line int    // 0: the file as a whole
	Key  string // "": none in particular
	Text string
}

func (e Error) Error() string {
	var b strings.Builder
	b.WriteString(e.File)
	if e.Line > 0 {
		fmt.Fprintf(&b, ":%d", e.Line)
	}
	if e.Key != "" {
		b.WriteString(": " + e.Key)
	}
	return b.String() + ": " + e.Text
}

// Errors are all things that are wrong, in the order of the file.
type Errors []Error

func (list Errors) Error() string {
	lines := make([]string, len(list))
	for i, e := range list {
		lines[i] = e.Error()
	}
	return strings.Join(lines, "\n")
}

func byLine(x, y Error) int { return cmp.Compare(x.Line, y.Line) }
