package gateway

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"frostshift"
	"frostshift/internal/config"
	"frostshift/internal/hotrestart"
	"frostshift/internal/learning"
	"frostshift/internal/membership/keeper"
	"frostshift/internal/shift"
)

// hotRestart is how one process of this gateway takes the place of another, which runs on the
// same listening sockets. The one that starts is told all that the other knows, takes clients
// once it is ready, and says so; the other then accepts nothing more, answers what it has, and
// ends. Until then each tells the other of its requests' ids and of what operators call, and
// each keeps to a half of what the gateway may hold.
type hotRestart struct {
	gateway *Gateway
	path    string // where the process that runs is found; "": no other one comes
	file    string // where the hosts that are out stand for one that finds none running; "": nowhere

	mu       sync.Mutex
	links    map[*link]struct{}
	told     atomic.Pointer[[]*hotrestart.Peer]
	listener *hotrestart.Listener
	open     bool          // this process takes clients
	handed   bool          // another process does
	after    bool          // another process ran when this one came
	moves    []shift.Saved // that it has handed over; nil: it tells nothing of them
	// successor is what the process says that has taken over; it stays beyond that one's end if it has
	// handed the clients on.
	successor successor
	ending    bool
	retired   chan struct{} // closed once another process has taken over and no client is left here
	once      sync.Once
	files     sync.Mutex
	retrying  atomic.Bool // the hosts that are out could not be written, and are tried again
}

// stateVersion is that of what one process tells the next.
const stateVersion = 1

const (
	// gatherWithin is how long the process that runs may take to say what its pools have learned:
	// the one that starts has six seconds for all.
	gatherWithin = time.Second
	retireEvery  = 20 * time.Millisecond
	flushWithin  = 200 * time.Millisecond
)

func newHotRestart(g *Gateway, m *config.Model) *hotRestart {
	s := &hotRestart{gateway: g, path: m.HotRestart, file: bansFile(m), links: map[*link]struct{}{}, retired: make(chan struct{})}
	s.tell()
	return s
}

// joined says whether another process of this gateway ran when this one came.
func (s *hotRestart) joined() bool { return s.after }

// join takes over what the process that runs knows, if there is one, and returns the
// configuration with it.
func (s *hotRestart) join(m *config.Model) *config.Model {
	g := s.gateway
	if s.path == "" {
		s.readBans()
		return g.restore(m)
	}
	peer, text, err := hotrestart.Join(s.path)
	if err != nil {
		if !errors.Is(err, hotrestart.ErrNone) {
			s.after = true
			g.log.Warn("the process that runs says nothing of use, starting from nothing", "err", err)
		}
		s.readBans()
		return g.restore(m)
	}
	s.after = true
	var k knowledge
	if err = json.Unmarshal(text, &k); err == nil && k.Version != stateVersion {
		err = fmt.Errorf("it is of version %d", k.Version)
	}
	if err != nil {
		g.log.Warn("what the process that runs knows can't be read, starting from nothing", "err", err)
		peer.Close()
		s.readBans()
		return m
	}
	next := g.take(m, k.Pools)
	k.ban(g)
	g.keepBans() // the process that runs may not have been able to
	s.moves, g.heardBefore = k.Moves, k.Heard
	g.exchange.Adopt(&k.Ids)
	l := &link{s: s, peer: peer, older: true}
	s.links[l] = struct{}{}
	s.tell()
	g.exchange.Link(s)
	if k.Drained {
		g.clients.ask(true)
	}
	g.log.Info("taking over from the process that runs", "hosts out", len(k.Banned))
	return next
}

// take has pools begin with what is known of them, and returns the configuration with their lists.
func (g *Gateway) take(m *config.Model, known map[string]learning.Pool) *config.Model {
	next := *m
	next.Pools = nil
	for _, def := range m.Pools {
		if of, has := known[def.Name]; has {
			pool := *def
			if of.List != nil && of.List.Index != nil && of.List.Check() == nil && pool.Belief == nil {
				pool.Known = of.List
			}
			g.learned[def.Name] = of
			def = &pool
		}
		next.Pools = append(next.Pools, def)
	}
	return &next
}

// begin has links speak; it is called once the pools run. waits says that another process
// takes clients until serve.
func (s *hotRestart) begin() (waits bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for l := range s.links {
		s.gateway.running.Go(func() { l.peer.Run(l) })
		waits = true
	}
	return waits
}

// serve says that this process takes clients.
func (s *hotRestart) serve() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.open = true
	for _, server := range s.gateway.present() {
		server.ln.Pause(false)
	}
	s.gateway.admission.SetReady()
	s.tellOlder()
	s.listen()
}

// listen lets another process find this one. The lock is held.
func (s *hotRestart) listen() {
	if s.path == "" || s.ending {
		return
	}
	listener, err := hotrestart.Open(s.path, s.come)
	if err != nil {
		s.gateway.log.Warn("no other process can take over", "err", err)
		return
	}
	s.listener = listener
}

// serves says whether this process takes clients.
func (s *hotRestart) serves() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.open && !s.handed
}

// isHanded says whether another process takes clients in this one's place.
func (s *hotRestart) isHanded() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.handed
}

// come tells a process that starts all that is known; false: another one is starting.
func (s *hotRestart) come(peer *hotrestart.Peer) bool {
	g := s.gateway
	l := &link{s: s, peer: peer}
	s.mu.Lock()
	busy := s.handed || s.ending
	for other := range s.links {
		busy = busy || !other.older
	}
	if !busy {
		s.links[l] = struct{}{}
		s.tell()
		g.running.Go(func() { l.peer.Run(l) })
	}
	s.mu.Unlock()
	if busy {
		return false
	}
	g.log.Info("another process starts to take over")
	s.share()
	k := knowledge{Version: stateVersion, Drained: g.clients.isAsked()}
	k.Pools, _ = s.gather()
	k.Ids = g.exchange.Link(s)
	k.Moves = g.moves.HandOver()
	k.Heard = g.reports()
	k.bans(g)
	text, err := json.Marshal(&k)
	if err != nil {
		g.log.Error("what is known can't be told", "err", err)
		peer.Close()
		return true
	}
	peer.Begin(text)
	return true
}

// gather is what the pools know. One whose loop does not answer in time is left out, and then it is not whole.
func (s *hotRestart) gather() (out map[string]learning.Pool, whole bool) {
	g := s.gateway
	g.mu.Lock()
	pools := map[string]*pool{}
	for name, p := range g.pools {
		pools[name] = p
	}
	g.mu.Unlock()
	out = map[string]learning.Pool{}
	late := time.After(gatherWithin)
	for name, p := range pools {
		learned := make(chan learning.Pool, 1)
		go p.ex.Memory(func(m frostshift.Memory, repeats float64) { learned <- learning.Pool{Learned: &m, Repeats: &repeats} })
		select {
		case known := <-learned:
			known.List = p.known.list()
			out[name] = known
		case <-p.ex.Done():
		case <-late:
			return out, false
		}
	}
	return out, len(out) == len(pools)
}

// reports is what the sources of pools that judge their lists have said.
func (g *Gateway) reports() map[string][]keeper.Report {
	g.mu.Lock()
	pools := maps.Clone(g.pools)
	g.mu.Unlock()
	out := map[string][]keeper.Report{}
	for name, p := range pools {
		if p.keeper != nil {
			out[name] = p.keeper.Reports()
		}
	}
	return out
}

// retire waits until no client is left.
func (s *hotRestart) retire() {
	tick := time.NewTicker(retireEvery)
	defer tick.Stop()
	for {
		select {
		case <-s.gateway.ended:
			return
		case <-tick.C:
		}
		s.mu.Lock()
		handed := s.handed
		s.mu.Unlock()
		if !handed {
			return
		}
		if open, _ := s.gateway.conns.Counts(); open == 0 {
			s.once.Do(func() { close(s.retired) })
			return
		}
	}
}

// share keeps this process to its part of what the gateway may hold.
func (s *hotRestart) share() {
	s.mu.Lock()
	n := 1 + len(s.links)
	s.mu.Unlock()
	s.gateway.bound(n)
}

// olderKeeps says whether the processes that ran before are known to have no more memory than a number of bytes.
func (s *hotRestart) olderKeeps(most int64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for l := range s.links {
		if !l.older {
			continue
		}
		if held, err := l.peer.Resident(); err != nil || held > most {
			return false
		}
	}
	return true
}

// end ends the links, once nothing is left to tell.
func (s *hotRestart) end() {
	s.mu.Lock()
	s.ending = true
	listener := s.listener
	s.listener = nil
	var peers []*hotrestart.Peer
	for l := range s.links {
		peers = append(peers, l.peer)
	}
	s.mu.Unlock()
	if listener != nil {
		listener.Close()
	}
	ctx, cancel := context.WithTimeout(context.Background(), flushWithin)
	defer cancel()
	for _, p := range peers {
		p.Flush(ctx)
		p.Close()
	}
}
