package gateway

import (
	"encoding/json"
	"time"

	"frostshift/internal/hotrestart"
)

// successor is what a process that takes clients says of itself to the one that took them before. The zero
// value says nothing, as do processes of earlier versions.
type successor struct {
	// LongestMicros is the longest deadline, in microseconds, of the settings of the process and of those
	// that have taken over from it. 0: not known.
	LongestMicros int64 `json:",omitempty"`
	// HandedOn says that a further process has taken over: the end of this one gives no clients back.
	HandedOn bool `json:",omitempty"`
}

// longest is the longest deadline that holds for a process with the given one in its settings and with this
// successor. The kill goes by the settings of either, so the shorter one counts.
func (n successor) longest(own time.Duration) time.Duration {
	if n.LongestMicros <= 0 {
		return own
	}
	return min(own, time.Duration(n.LongestMicros)*time.Microsecond)
}

// longestDeadline is the longest deadline that a stop of this process goes by.
func (s *hotRestart) longestDeadline() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.longest()
}

// longest is longestDeadline. The lock is held.
func (s *hotRestart) longest() time.Duration {
	g := s.gateway
	g.mu.Lock()
	own := longestDeadline(g.model)
	g.mu.Unlock()
	return s.successor.longest(own)
}

// settingsChanged says to the process before what has changed of this one.
func (s *hotRestart) settingsChanged() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.tellOlder()
}

// tellOlder says to the process before that this one takes clients, or has handed them on. The lock is held.
func (s *hotRestart) tellOlder() {
	if !s.open {
		return
	}
	text, err := json.Marshal(successor{LongestMicros: s.longest().Microseconds(), HandedOn: s.handed})
	if err != nil {
		s.gateway.log.Error("what this process is can't be told", "err", err)
	}
	for l := range s.links {
		if l.older {
			l.peer.Send(hotrestart.Serving, text)
		}
	}
}
