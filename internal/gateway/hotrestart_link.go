package gateway

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"

	"frostshift/internal/exchange"
	"frostshift/internal/hotrestart"
	"frostshift/internal/learning"
	"frostshift/internal/membership/keeper"
	"frostshift/internal/override"
	"frostshift/internal/shift"
)

// link is another process of this gateway.
type link struct {
	s      *hotRestart
	peer   *hotrestart.Peer
	serves bool // it was started later, and takes clients
	older  bool // it ran before
}

// knowledge is what one process tells the next.
type knowledge struct {
	Version int
	Ids     exchange.Register
	Banned  []string
	// Overrides are the overrides in effect. Earlier versions read these alone, and know them as Words.
	Overrides []override.Entry `json:"Words,omitempty"`
	// OverrideStates are the overrides whole.
	OverrideStates []override.State `json:",omitempty"`
	Drained        bool
	Pools          map[string]learning.Pool
	Moves          []shift.Saved // nil: of a process that tells nothing of them
	// Heard is what the sources of pools with several, or with doubts, have said, by the pools' names.
	Heard map[string][]keeper.Report `json:",omitempty"`
}

// bans notes the hosts that are out by hand.
func (k *knowledge) bans(g *Gateway) {
	g.mu.Lock()
	for name := range g.banned {
		k.Banned = append(k.Banned, name)
	}
	g.mu.Unlock()
	k.Overrides = g.overrides.entries()
	k.OverrideStates = g.overrides.states()
}

// ban takes them out in a gateway that has not started.
func (k *knowledge) ban(g *Gateway) {
	for _, name := range k.Banned[:min(len(k.Banned), mostBanned)] {
		g.banned[name] = true
	}
	g.overrides.adopt(k.OverrideStates, k.Overrides)
}

// call is what an operator has called for at the other process.
type call struct {
	Host  string `json:",omitempty"`
	Out   bool   `json:",omitempty"`
	Drain *bool  `json:",omitempty"`
}

// Note tells the other processes of an id. It is called with a lock of the exchange held.
func (s *hotRestart) Note(text []byte) {
	for _, p := range *s.told.Load() {
		p.Send(hotrestart.Note, text)
	}
}

// Sync waits until the other processes have taken in what was sent to them, and what they had sent by then has been
// taken in here: a call's answer comes behind it.
func (s *hotRestart) Sync(ctx context.Context) error {
	for _, p := range *s.told.Load() {
		if err := p.Ask(ctx, nil); errors.Is(err, hotrestart.ErrGone) || ctx.Err() != nil {
			return err
		}
	}
	return nil
}

// tell keeps the list that Note goes by: it must not wait for s.mu, under which other locks are
// taken. The lock is held.
func (s *hotRestart) tell() {
	var peers []*hotrestart.Peer
	for l := range s.links {
		peers = append(peers, l.peer)
	}
	s.told.Store(&peers)
}

// Noted takes what another process tells of ids.
func (l *link) Noted(text []byte) { l.s.gateway.exchange.ApplyNotes(text) }

// Called does here what an operator has called for at another process.
func (l *link) Called(text []byte) error {
	if len(text) == 0 { // it only wants the answer, see Sync
		return nil
	}
	var c call
	if err := json.Unmarshal(text, &c); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), gatherWithin)
	defer cancel()
	g := l.s.gateway
	switch {
	case c.Drain != nil:
		g.clients.ask(*c.Drain)
		return nil
	case c.Host == "" || len(c.Host) > longName:
		return errors.New("a call for nothing")
	}
	return g.outHere(ctx, c.Host, c.Out)
}

// everywhere does at the other processes what an operator has called for at this one. One that
// goes meanwhile does nothing any more.
func (s *hotRestart) everywhere(ctx context.Context, c call) error {
	text, err := json.Marshal(&c)
	if err != nil {
		return err
	}
	s.mu.Lock()
	var peers []*hotrestart.Peer
	for l := range s.links {
		peers = append(peers, l.peer)
	}
	s.mu.Unlock()
	for _, p := range peers {
		if err := p.Ask(ctx, text); err != nil && !errors.Is(err, hotrestart.ErrGone) {
			return fmt.Errorf("at the gateway's other process: %w", err)
		}
	}
	return nil
}

// Serves gives this process's clients up: another takes them from now on. It is told again as that process
// changes.
func (l *link) Serves(text []byte) {
	s, g := l.s, l.s.gateway
	var told successor
	if err := json.Unmarshal(text, &told); len(text) > 0 && err != nil {
		g.log.Warn("what the process that takes over says of itself can't be read", "err", err)
	}
	s.mu.Lock()
	if l.older || s.ending {
		s.mu.Unlock()
		return
	}
	again := l.serves
	l.serves, s.handed, s.successor = true, true, told
	s.tellOlder()
	if again {
		s.mu.Unlock()
		return
	}
	for _, server := range g.present() {
		server.ln.Pause(true)
	}
	listener := s.listener
	s.listener = nil
	s.mu.Unlock()
	g.log.Info("another process takes the clients")
	g.clients.hand(true)
	g.running.Go(g.closeGossip) // the other is the member from here on
	if listener != nil {
		listener.Close()
	}
	g.running.Go(s.retire)
}

// Gone notes that the other process has ended. Where that was to take over, this one goes on, unless yet
// another process has the clients by then.
func (l *link) Gone() {
	s, g := l.s, l.s.gateway
	s.mu.Lock()
	delete(s.links, l)
	s.tell()
	back := l.serves && s.handed && !s.successor.HandedOn && !s.ending
	if back {
		s.handed, s.successor = false, successor{}
		s.tellOlder()
		for _, server := range g.present() {
			server.ln.Pause(false)
		}
		s.listen()
	}
	alone, ending := len(s.links) == 0, s.ending
	s.mu.Unlock()
	if alone {
		g.exchange.Link(nil)
		g.moves.Alone()
	}
	g.exchange.Orphan()
	if !ending {
		g.log.Info("the gateway's other process has gone", "its clients come back", back)
		s.share()
	}
	if back {
		g.clients.hand(false)
	}
}
