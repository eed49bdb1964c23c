// Package membership is what the lists of a pool's hosts are made of, and their check. The
// packages below it work with them: source follows places where lists come from, view
// merges those of several sources, belief says which of it a pool goes by, subset which
// part one gateway of many uses, and keeper joins them for a pool. None of them knows of
// requests, of balancers' decisions or of connections to hosts.
package membership

import (
	"encoding/json"
	"errors"
	"fmt"
	"hash/fnv"
	"net/netip"
	"time"

	"frostshift"
)

// List is one message of a source: the whole list, or what changed. Its JSON form is
// discovery's.
type List struct {
	Index     *uint64 // version; needed from discovery, 0 elsewhere
	Snapshot  bool    // the whole list
	Endpoints []Endpoint
	// Sharers is how many gateways use each host, where the list is one gateway's part of a
	// longer one; 0: it is not. It does not stand in what sources say.
	Sharers int `json:"-"`
}

// Endpoint is an entry of a list.
type Endpoint struct {
	Name, Address, Zone, Type, Status string
	Group                             int
	SinceMS                           int64 `json:"since_ms"`
	// Backup and Weight are of lists written by hand; those of discovery have none.
	Backup bool    `json:"-"`
	Weight float64 `json:"-"` // 0: 1
}

// Statuses that a list may give a host.
const (
	Active  = "active"  // takes requests; also what no status means outside discovery
	Leaving = "leaving" // finishes what it has, wants nothing new
	Left    = "left"    // gone; among changes
)

var states = map[string]frostshift.HostState{
	Active: frostshift.Ready, Leaving: frostshift.Draining, Left: frostshift.Removed,
}

const maxSince = int64(1<<63-1) / int64(time.Millisecond)

// FieldError is what is wrong with one field of an entry.
type FieldError struct{ Host, Field, Text string }

func (e *FieldError) Error() string { return fmt.Sprintf("host %q: %s %s", e.Host, e.Field, e.Text) }

// Check says what is wrong with an entry, as a *FieldError. One that has left needs no
// address.
func (e *Endpoint) Check() error {
	bad := func(field, format string, args ...any) error {
		return &FieldError{e.Name, field, fmt.Sprintf(format, args...)}
	}
	state, ok := states[e.Status]
	switch {
	case e.Name == "":
		return bad("name", "is missing")
	case !ok:
		return bad("status", "%q is none of active, leaving, left", e.Status)
	case e.SinceMS < 0 || e.SinceMS > maxSince:
		return bad("since_ms", "%d is out of range", e.SinceMS)
	}
	if state != frostshift.Removed {
		if _, err := netip.ParseAddrPort(e.Address); err != nil {
			return bad("address", "%q is not an address and port", e.Address)
		}
	}
	return nil
}

// Check says what is wrong with a list. A list is taken whole or not at all.
func (l *List) Check() error {
	if l.Index == nil {
		return errors.New("host list has no index")
	}
	for i := range l.Endpoints {
		if err := l.Endpoints[i].Check(); err != nil {
			return err
		}
	}
	return nil
}

// CheckAll says what is wrong with a list that was written by hand, where a host that
// stands twice is a mistake. In discovery's lists the later entry counts.
func CheckAll(list []Endpoint) error {
	seen := make(map[string]bool, len(list))
	for i := range list {
		if err := list[i].Check(); err != nil {
			return err
		}
		if seen[list[i].Name] {
			return fmt.Errorf("host %q stands twice", list[i].Name)
		}
		seen[list[i].Name] = true
	}
	return nil
}

// Names gives zones and kinds of machine their numbers. All names that it lacks share
// the number after the last.
type Names struct{ zones, kinds map[string]int }

// NewNames numbers zones and kinds in their order.
func NewNames(zones, kinds []string) Names {
	return Names{index(zones), index(kinds)}
}

func index(names []string) map[string]int {
	m := make(map[string]int, len(names))
	for i, n := range names {
		m[n] = i
	}
	return m
}

func lookup(m map[string]int, name string) int {
	if i, ok := m[name]; ok {
		return i
	}
	return len(m)
}

// Hosts translates entries that have been checked, in their order.
func (n Names) Hosts(list []Endpoint) []frostshift.Host {
	out := make([]frostshift.Host, 0, len(list))
	for _, e := range list {
		out = append(out, frostshift.Host{ID: HostID(e.Name), Zone: lookup(n.zones, e.Zone), Cell: e.Group,
			Kind: lookup(n.kinds, e.Type), State: states[e.Status],
			Started: frostshift.Time(e.SinceMS) * time.Millisecond, Backup: e.Backup, Weight: e.Weight})
	}
	return out
}

// HostID names a host alike at every gateway, in every pool and after every restart.
func HostID(name string) frostshift.HostID {
	h := fnv.New64a()
	h.Write([]byte(name))
	return frostshift.HostID(h.Sum64())
}

// ParseFile reads a file of hosts: a JSON object with endpoints as in discovery's lists;
// index and snapshot are not needed, and a host without a status is active. JSON, as a
// file that is cut short then can't be read, whatever the place of the cut.
func ParseFile(text []byte) (*List, error) {
	var in struct {
		Index     *uint64
		Snapshot  *bool
		Endpoints *[]Endpoint
	}
	if err := json.Unmarshal(text, &in); err != nil {
		return nil, err
	}
	if in.Endpoints == nil {
		return nil, errors.New("no endpoints")
	}
	if in.Snapshot != nil && !*in.Snapshot {
		return nil, errors.New("a file of hosts is the whole list: snapshot can't be false")
	}
	l := &List{Index: new(uint64), Snapshot: true, Endpoints: *in.Endpoints}
	if in.Index != nil {
		l.Index = in.Index
	}
	for i := range l.Endpoints {
		if l.Endpoints[i].Status == "" {
			l.Endpoints[i].Status = Active
		}
	}
	return l, CheckAll(l.Endpoints)
}
