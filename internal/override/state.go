package override

import (
	"cmp"
	"slices"
	"strings"
)

// Event identifies one call of an operator that changed the override of a host.
type Event struct {
	Version uint64 // per host: greater than that of each event that its gateway had received
	By      string // the gateway at which it was set
}

// after is a total order of the events of a host that agrees with their causal order.
func (v Event) after(o Event) bool {
	if v.Version != o.Version {
		return v.Version > o.Version
	}
	return v.By > o.By
}

// Ban is the last event of one gateway that took a host out of use.
type Ban struct {
	Event
	Covered bool // the host was put back into service by a gateway that had received this ban
}

// State is the replicated override on one host. Each event that puts the host back into service covers the
// bans that its gateway had received, and no others: a host is out of use while one ban is not covered.
// States of a host are joined; the result does not depend on the order or the number of the joins, as long as
// at most maxBans gateways have banned the host.
type State struct {
	Host     string
	Returned Event // the last event that put the host back into service; zero if there is none
	Bans     []Ban // at most one per gateway, sorted by gateway
}

// entry returns the override that is in effect: the last ban that is not covered, or the last return into
// service.
func (s *State) entry() Entry {
	w := Entry{Host: s.Host, Version: s.Returned.Version, By: s.Returned.By}
	for _, ban := range s.Bans {
		if ban.Covered {
			continue
		}
		if !w.Out || ban.after(Event{w.Version, w.By}) {
			w = Entry{Host: s.Host, Out: true, Version: ban.Version, By: ban.By}
		}
	}
	return w
}

// next returns the state after an event at the gateway by, which has received s.
func (s *State) next(by string, out bool) State {
	event := Event{Version: s.Returned.Version, By: by}
	for _, ban := range s.Bans {
		event.Version = max(event.Version, ban.Version)
	}
	event.Version++
	set := State{Host: s.Host, Returned: s.Returned, Bans: slices.Clone(s.Bans)}
	if out {
		return set.join(State{Host: s.Host, Bans: []Ban{{Event: event}}})
	}
	set.Returned = event
	for i := range set.Bans {
		set.Bans[i].Covered = true
	}
	return set
}

// join returns the state of a gateway that has received both s and o, states of the same host.
func (s *State) join(o State) State {
	joined := State{Host: s.Host, Returned: s.Returned}
	if o.Returned.after(s.Returned) {
		joined.Returned = o.Returned
	}
	all := slices.Concat(s.Bans, o.Bans)
	slices.SortFunc(all, func(x, y Ban) int {
		return cmp.Or(strings.Compare(x.By, y.By), cmp.Compare(x.Version, y.Version))
	})
	for _, ban := range all {
		last := len(joined.Bans) - 1
		switch {
		case last < 0 || joined.Bans[last].By != ban.By:
			joined.Bans = append(joined.Bans, ban)
		case joined.Bans[last].Version < ban.Version:
			joined.Bans[last] = ban
		default:
			joined.Bans[last].Covered = joined.Bans[last].Covered || ban.Covered
		}
	}
	joined.trim()
	return joined
}

// trim drops bans beyond maxBans: covered ones first, of each kind the earliest. A dropped ban that arrives once
// more takes effect again.
func (s *State) trim() {
	for len(s.Bans) > maxBans {
		least := 0
		for i, ban := range s.Bans {
			kept := s.Bans[least]
			if ban.Covered != kept.Covered && ban.Covered || ban.Covered == kept.Covered && kept.after(ban.Event) {
				least = i
			}
		}
		s.Bans = slices.Delete(s.Bans, least, least+1)
	}
}

// equal reports whether s and o are the same state.
func (s *State) equal(o State) bool {
	return s.Host == o.Host && s.Returned == o.Returned && slices.Equal(s.Bans, o.Bans)
}

// valid reports whether the names, the versions and the bans are within their bounds and in their order.
func (s *State) valid() bool {
	if !validName(s.Host, maxHostBytes) || len(s.Bans) > maxBans {
		return false
	}
	if s.Returned != (Event{}) && !s.Returned.valid() || s.Returned == (Event{}) && len(s.Bans) == 0 {
		return false
	}
	for i, ban := range s.Bans {
		if !ban.valid() || i > 0 && s.Bans[i-1].By >= ban.By || ban.Covered && ban.Version >= s.Returned.Version {
			return false
		}
	}
	return true
}

// valid reports whether the name and the version are within their bounds.
func (v Event) valid() bool {
	return validName(v.By, maxNameBytes) && v.Version > 0 && v.Version <= maxVersion
}

// stateOf returns the state of an override by a process of an earlier version, which does not tell what bans its
// returns into service cover.
func stateOf(w Entry) State {
	event := Event{Version: w.Version, By: w.By}
	if w.Out {
		return State{Host: w.Host, Bans: []Ban{{Event: event}}}
	}
	return State{Host: w.Host, Returned: event}
}
