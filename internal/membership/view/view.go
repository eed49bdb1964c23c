// Package view merges what several sources say of one pool's hosts into one list. It
// decides which source counts for which host; it does no I/O, reads no clock and does not
// judge whether a list is to be believed.
//
// The rules, in this order:
//
//   - A host that any source names as leaving or as having left is so, until that source
//     names it otherwise: an explicit word is never doubted. One list from before it
//     (an older version, the list of a cache) does not undo it.
//   - Of several sources that list a host as active, the one of the highest precedence says
//     where it is.
//   - Of several active hosts with one address, one counts: that of the source of the highest
//     precedence, then the one that started last, then the first by name.
//   - Sources may have different names for one host. Where one source names a host as leaving
//     and has no active one at its address, nobody else's counts there either.
//
// What a source says is replaced by its next whole list and amended by its changes. So the
// view depends on what each source has said, and not on which of them spoke first.
package view

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"frostshift/internal/membership"
)

const (
	// guardFor is how long an explicit word outlasts lists of older versions: a source that
	// counts anew from 1 is heeded in full after that.
	guardFor = time.Minute
	// mostWords bounds the hosts of a source that have left without being listed since.
	mostWords = 1 << 16
)

// Entry is a host of the merged view.
type Entry struct {
	membership.Endpoint
	Source int    // number of the source that counts
	Others []int  // other sources that list the host
	Hidden string // not empty: another host counts for its address, or one leaves there
}

// Merger keeps what each source has said. It is not safe for concurrent use.
type Merger struct {
	sources []said
	merged  map[string]Entry
	claims  map[string]map[string]bool // address: names that are active or leaving there
	version uint64
}

// said is what one source has said.
type said struct {
	index   uint64
	spoken  bool
	hosts   map[string]membership.Endpoint
	words   map[string]word // explicit words that an older list would undo
	skipped int             // messages that were older than what is known
	forgot  []string        // hosts whose words went by other means than a list, until the next one
}

type word struct {
	entry membership.Endpoint
	index uint64
	until time.Duration // 0: a newer list has not been contradicted yet
}

// New returns a merger of so many sources, the first of the highest precedence.
func New(sources int) *Merger {
	m := &Merger{sources: make([]said, sources), merged: map[string]Entry{}, claims: map[string]map[string]bool{}}
	for i := range m.sources {
		m.Forget(i)
	}
	return m
}

// Forget begins source i anew, as when it has moved to another place: versions of one place
// say nothing at another. What it had said stands until its next list.
func (m *Merger) Forget(i int) {
	s := &m.sources[i]
	s.forgot = slices.AppendSeq(s.forgot, maps.Keys(s.words))
	s.index, s.spoken, s.words = 0, false, map[string]word{}
	if s.hosts == nil {
		s.hosts = map[string]membership.Endpoint{}
	}
}

// Version counts the changes of the view.
func (m *Merger) Version() uint64 { return m.version }

// Skipped is how many messages of source i came with a version before one already known.
func (m *Merger) Skipped(i int) int { return m.sources[i].skipped }

// Reported says whether source i has said anything.
func (m *Merger) Reported(i int) bool { return m.sources[i].spoken }

// Get is the entry of a host.
func (m *Merger) Get(name string) (Entry, bool) {
	e, ok := m.merged[name]
	return e, ok
}

// All are the entries by name.
func (m *Merger) All() []Entry {
	list := make([]Entry, 0, len(m.merged))
	for _, name := range slices.Sorted(maps.Keys(m.merged)) {
		list = append(list, m.merged[name])
	}
	return list
}

// Take takes a checked message of source i and returns the names whose entry has changed.
func (m *Merger) Take(now time.Duration, i int, l *membership.List) (changed []string) {
	s := &m.sources[i]
	older := s.spoken && *l.Index < s.index
	if older {
		s.skipped++
	}
	touched := map[string]bool{}
	for _, name := range s.forgot {
		touched[name] = true
	}
	s.forgot = nil
	last := make(map[string]membership.Endpoint, len(l.Endpoints))
	for _, e := range l.Endpoints { // the later entry counts
		last[e.Name] = e
	}
	for name, e := range last {
		if m.takeEntry(now, s, e, *l.Index, older, l.Snapshot) {
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
		for name := range s.words {
			if _, listed := last[name]; !listed && !older {
				delete(s.words, name) // gone from the list as announced
				touched[name] = true
			}
		}
	}
	if l.Snapshot || !older {
		s.index = *l.Index
	}
	s.spoken = true
	return m.settle(touched)
}

// takeEntry takes one entry of a source and says whether it has changed anything there.
func (m *Merger) takeEntry(now time.Duration, s *said, e membership.Endpoint, index uint64, older, whole bool) bool {
	old, had := s.hosts[e.Name]
	w, warned := s.words[e.Name]
	switch {
	case e.Status != membership.Active: // an explicit word, however old
		if w.until == 0 && warned && w.entry == e && had == (e.Status == membership.Leaving) {
			return false
		}
		if !warned && len(s.words) >= mostWords {
			for name := range s.words { // bounded; which one goes hardly matters
				delete(s.words, name)
				s.forgot = append(s.forgot, name)
				break
			}
		}
		s.words[e.Name] = word{entry: e, index: max(index, w.index)}
		if e.Status == membership.Left {
			delete(s.hosts, e.Name)
		} else {
			s.hosts[e.Name] = e
		}
		return true
	case older && warned && index < w.index: // it was active before it was said to leave
		if w.until == 0 {
			w.until = now + guardFor
			s.words[e.Name] = w
		}
		if now < w.until {
			if whole {
				s.hosts[e.Name] = e
			}
			return true
		}
	case older && !whole: // a change from before what is known
		return false
	}
	delete(s.words, e.Name)
	s.hosts[e.Name] = e
	return !had || old != e || warned
}

// Tick lets words that only older lists contradict expire, and returns what changed by it.
func (m *Merger) Tick(now time.Duration) (changed []string) {
	touched := map[string]bool{}
	for i := range m.sources {
		for name, w := range m.sources[i].words {
			if w.until > 0 && now >= w.until {
				delete(m.sources[i].words, name)
				touched[name] = true
			}
		}
	}
	return m.settle(touched)
}

// settle merges the touched names anew, and those that share an address with them.
func (m *Merger) settle(touched map[string]bool) (changed []string) {
	before := make(map[string]Entry, len(touched))
	known := map[string]bool{}
	addresses := map[string]bool{}
	note := func(name string) {
		if _, done := before[name]; !done {
			e, had := m.merged[name]
			before[name], known[name] = e, had
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
		best := m.claimant(a)
		for name := range m.claims[a] {
			note(name)
			e := m.merged[name]
			e.Hidden = ""
			if e.Status == membership.Active && name != best {
				e.Hidden = best
			} else if e.Status == membership.Active {
				e.Hidden = m.leaves(a, e.Source)
			}
			m.merged[name] = e
		}
	}
	for name, old := range before {
		e, has := m.merged[name]
		if has != known[name] || e.Endpoint != old.Endpoint || e.Source != old.Source || e.Hidden != old.Hidden || !slices.Equal(e.Others, old.Others) {
			changed = append(changed, name)
		}
	}
	if len(changed) > 0 {
		m.version++
		slices.Sort(changed)
	}
	return changed
}

// merge is what the sources together say of a host.
func (m *Merger) merge(name string) (out Entry, ok bool) {
	listed := -1 // the first that lists it
	gone := -1   // the first that says a word
	for i := range m.sources {
		s := &m.sources[i]
		if e, has := s.hosts[name]; has {
			if listed < 0 {
				listed, out.Endpoint = i, e
			} else {
				out.Others = append(out.Others, i)
			}
		}
		if w, warned := s.words[name]; warned && (gone < 0 || w.entry.Status == membership.Left) {
			gone = i
		}
	}
	out.Source = listed
	if gone < 0 {
		return out, listed >= 0
	}
	w := m.sources[gone].words[name].entry
	if listed < 0 {
		out.Endpoint = w
	}
	if gone != listed && listed >= 0 {
		out.Others = slices.DeleteFunc(append(out.Others, listed), func(i int) bool { return i == gone })
		slices.Sort(out.Others)
	}
	out.Source, out.Status = gone, w.Status
	return out, true
}

// claimant is the host that counts for an address.
func (m *Merger) claimant(address string) (best string) {
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

// leaves is a host that leaves the address by the word of a source which has no active one
// there; "": there is none. The source that has the active host may know better: there the
// name is another because the host is.
func (m *Merger) leaves(address string, active int) (first string) {
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
