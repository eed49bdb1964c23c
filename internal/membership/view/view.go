// Package view merges the reports of several sources about the hosts of one pool into one list.
// It decides which source counts for which host. It performs no I/O, reads no clock and does not
// judge whether a list is plausible.
//
// The rules, in this order:
//
//   - A host that any source reports as leaving or left has that status until the same source
//     reports it otherwise: an explicit departure is never doubted. A single older list (of an
//     older version, or from a cache) does not undo it.
//   - If several sources list a host as active, the source with the highest precedence determines
//     its address.
//   - If several active hosts have the same address, one of them counts: that of the source with
//     the highest precedence, then the one that started last, then the first by name.
//   - Sources may use different names for one host. If one source reports a host as leaving and
//     has no active host at its address, the active hosts of the other sources do not count there
//     either.
//
// The state of a source is replaced by its next snapshot and amended by its changes. So the view
// depends on what each source has reported, and not on the order in which the sources reported.
package view

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"frostshift/internal/membership"
)

const (
	// departureGuard is how long a departure outlasts lists of older versions. After that, a
	// source that has restarted its versions from 1 is trusted in full.
	departureGuard = time.Minute
	// maxDepartures bounds the departures kept per source, for hosts that are never listed again.
	maxDepartures = 1 << 16
)

// Entry is a host of the merged view.
type Entry struct {
	membership.Endpoint
	Source int   // index of the source that determines the status
	Others []int // indexes of the other sources that list the host
	// Hidden is the name of the host that counts for the address instead of this one, or that is
	// leaving there. It is empty if there is none.
	Hidden string
}

// Merger keeps the reported state of each source. It is not safe for concurrent use.
type Merger struct {
	sources []sourceState
	merged  map[string]Entry
	claims  map[string]map[string]bool // names of the hosts that are active or leaving, by address
	version uint64
}

// sourceState is the reported state of one source.
type sourceState struct {
	index      uint64
	reported   bool
	hosts      map[string]membership.Endpoint
	departures map[string]departure // last leaving or left report of a host, by name
	skipped    int                  // number of messages older than the known version
	// discarded lists the hosts whose departures were dropped by Forget or by maxDepartures. They
	// are merged again with the next message.
	discarded []string
}

type departure struct {
	entry membership.Endpoint
	index uint64
	until time.Duration // when the departure expires; 0 means that no older list has contradicted it
}

// New returns a merger of the given number of sources. Source 0 has the highest precedence.
func New(sources int) *Merger {
	m := &Merger{sources: make([]sourceState, sources), merged: map[string]Entry{}, claims: map[string]map[string]bool{}}
	for i := range m.sources {
		m.Forget(i)
	}
	return m
}

// Forget resets the version and the departures of source i, for example when its location has
// changed: versions of different locations cannot be compared. The merged view keeps what the
// source reported until its next message.
func (m *Merger) Forget(i int) {
	s := &m.sources[i]
	s.discarded = slices.AppendSeq(s.discarded, maps.Keys(s.departures))
	s.index, s.reported, s.departures = 0, false, map[string]departure{}
	if s.hosts == nil {
		s.hosts = map[string]membership.Endpoint{}
	}
}

// Version returns the number of calls that have changed the view.
func (m *Merger) Version() uint64 { return m.version }

// Skipped returns how many messages of source i had a version older than the known one.
func (m *Merger) Skipped(i int) int { return m.sources[i].skipped }

// Reported returns whether source i has sent a message since New or its last Forget.
func (m *Merger) Reported(i int) bool { return m.sources[i].reported }

// Report returns all that source i has reported, as one list that another Merger can take; nil if it has reported nothing.
func (m *Merger) Report(i int) *membership.List {
	s := &m.sources[i]
	if !s.reported {
		return nil
	}
	entries := maps.Clone(s.hosts)
	for name, w := range s.departures {
		entries[name] = w.entry
	}
	index := s.index
	l := &membership.List{Index: &index, Snapshot: true}
	for _, name := range slices.Sorted(maps.Keys(entries)) {
		l.Endpoints = append(l.Endpoints, entries[name])
	}
	return l
}

// Get returns the entry of a host, and whether there is one.
func (m *Merger) Get(name string) (Entry, bool) {
	e, ok := m.merged[name]
	return e, ok
}

// All returns the entries, sorted by name.
func (m *Merger) All() []Entry {
	list := make([]Entry, 0, len(m.merged))
	for _, name := range slices.Sorted(maps.Keys(m.merged)) {
		list = append(list, m.merged[name])
	}
	return list
}

// Take applies a validated message of source i and returns the names of the hosts whose entry has
// changed. The caller passes the time.
func (m *Merger) Take(now time.Duration, i int, l *membership.List) (changed []string) {
	s := &m.sources[i]
	older := s.reported && *l.Index < s.index
	if older {
		s.skipped++
	}
	touched := map[string]bool{}
	for _, name := range s.discarded {
		touched[name] = true
	}
	s.discarded = nil
	last := make(map[string]membership.Endpoint, len(l.Endpoints))
	for _, e := range l.Endpoints { // of several entries for a name, the last one counts
		last[e.Name] = e
	}
	for name, e := range last {
		if m.applyEntry(now, s, e, *l.Index, older, l.Snapshot) {
			touched[name] = true
		}
	}
	if l.Snapshot {
		for name := range s.hosts {
			if _, listed := last[name]; !listed {
				delete(s.hosts, name)
				touched[name] = true
			}
		}
		for name := range s.departures {
			if _, listed := last[name]; !listed && !older {
				delete(s.departures, name) // no longer listed, as announced
				touched[name] = true
			}
		}
	}
	if l.Snapshot || !older {
		s.index = *l.Index
	}
	s.reported = true
	return m.remerge(touched)
}

// applyEntry applies one entry of a source and returns whether the host has to be merged again.
func (m *Merger) applyEntry(now time.Duration, s *sourceState, e membership.Endpoint, index uint64, older, snapshot bool) bool {
	old, had := s.hosts[e.Name]
	w, departing := s.departures[e.Name]
	switch {
	case e.Status != membership.Active: // an explicit departure counts at any version
		if w.until == 0 && departing && w.entry == e && had == (e.Status == membership.Leaving) {
			return false
		}
		if !departing && len(s.departures) >= maxDepartures {
			for name := range s.departures { // bounded; which one is dropped hardly matters
				delete(s.departures, name)
				s.discarded = append(s.discarded, name)
				break
			}
		}
		s.departures[e.Name] = departure{entry: e, index: max(index, w.index)}
		if e.Status == membership.Left {
			delete(s.hosts, e.Name)
		} else {
			s.hosts[e.Name] = e
		}
		return true
	case older && departing && index < w.index: // it was active before its departure was reported
		if w.until == 0 {
			w.until = now + departureGuard
			s.departures[e.Name] = w
		}
		if now < w.until {
			if snapshot {
				s.hosts[e.Name] = e
			}
			return true
		}
	case older && !snapshot: // a change older than the known version
		return false
	}
	delete(s.departures, e.Name)
	s.hosts[e.Name] = e
	return !had || old != e || departing
}

// Tick drops expired departures, which only older lists have contradicted, and returns the names of
// the hosts whose entry has changed.
func (m *Merger) Tick(now time.Duration) (changed []string) {
	touched := map[string]bool{}
	for i := range m.sources {
		for name, w := range m.sources[i].departures {
			if w.until > 0 && now >= w.until {
				delete(m.sources[i].departures, name)
				touched[name] = true
			}
		}
	}
	return m.remerge(touched)
}

// remerge merges the touched hosts again, updates the hosts that share an address with them, and
// returns the names of those whose entry has changed, sorted.
func (m *Merger) remerge(touched map[string]bool) (changed []string) {
	before := make(map[string]Entry, len(touched))
	existed := map[string]bool{}
	addresses := map[string]bool{}
	note := func(name string) {
		if _, done := before[name]; !done {
			e, had := m.merged[name]
			before[name], existed[name] = e, had
		}
	}
	for name := range touched {
		note(name)
		if old, had := m.merged[name]; had && old.Status != membership.Left {
			addresses[old.Address] = true
			if c := m.claims[old.Address]; c != nil {
				if delete(c, name); len(c) == 0 {
					delete(m.claims, old.Address)
				}
			}
		}
		e, ok := m.merge(name)
		if !ok {
			delete(m.merged, name)
			continue
		}
		m.merged[name] = e
		if e.Status != membership.Left {
			addresses[e.Address] = true
			if m.claims[e.Address] == nil {
				m.claims[e.Address] = map[string]bool{}
			}
			m.claims[e.Address][name] = true
		}
	}
	for a := range addresses {
		best := m.winner(a)
		for name := range m.claims[a] {
			note(name)
			e := m.merged[name]
			e.Hidden = ""
			if e.Status == membership.Active && name != best {
				e.Hidden = best
			} else if e.Status == membership.Active {
				e.Hidden = m.leavingHost(a, e.Source)
			}
			m.merged[name] = e
		}
	}
	for name, old := range before {
		e, has := m.merged[name]
		if has != existed[name] || e.Endpoint != old.Endpoint || e.Source != old.Source || e.Hidden != old.Hidden || !slices.Equal(e.Others, old.Others) {
			changed = append(changed, name)
		}
	}
	if len(changed) > 0 {
		m.version++
		slices.Sort(changed)
	}
	return changed
}

// merge combines the reports of all sources on a host. It returns false if there are none.
func (m *Merger) merge(name string) (out Entry, ok bool) {
	listed := -1   // the first source that lists it
	departed := -1 // the last source that reports it as left, else the first that reports it as leaving
	for i := range m.sources {
		s := &m.sources[i]
		if e, has := s.hosts[name]; has {
			if listed < 0 {
				listed, out.Endpoint = i, e
			} else {
				out.Others = append(out.Others, i)
			}
		}
		if w, departing := s.departures[name]; departing && (departed < 0 || w.entry.Status == membership.Left) {
			departed = i
		}
	}
	out.Source = listed
	if departed < 0 {
		return out, listed >= 0
	}
	w := m.sources[departed].departures[name].entry
	if listed < 0 {
		out.Endpoint = w
	}
	if departed != listed && listed >= 0 {
		out.Others = slices.DeleteFunc(append(out.Others, listed), func(i int) bool { return i == departed })
		slices.Sort(out.Others)
	}
	out.Source, out.Status = departed, w.Status
	return out, true
}

// winner returns the name of the active host that counts for an address, or "" if there is none.
func (m *Merger) winner(address string) (best string) {
	for name := range m.claims[address] {
		x, y := m.merged[name], m.merged[best]
		if x.Status != membership.Active {
			continue
		}
		if best == "" {
			best = name
			continue
		}
		if cmp.Or(cmp.Compare(x.Source, y.Source), cmp.Compare(y.SinceMS, x.SinceMS), cmp.Compare(name, best)) < 0 {
			best = name
		}
	}
	return best
}

// leavingHost returns the first name of a host that is leaving the address according to a source
// which has no active host there, or "" if there is none. Source active, which has the active host,
// is exempt: if it uses different names, they are different hosts.
func (m *Merger) leavingHost(address string, active int) (first string) {
	for name := range m.claims[address] {
		e := m.merged[name]
		if e.Status != membership.Leaving || e.Source == active || first != "" && first < name {
			continue
		}
		if !slices.ContainsFunc(slices.Collect(maps.Keys(m.claims[address])), func(other string) bool {
			own, has := m.sources[e.Source].hosts[other]
			return has && own.Status == membership.Active && own.Address == address
		}) {
			first = name
		}
	}
	return first
}
