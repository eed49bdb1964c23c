package gateway

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"time"

	"frostshift"
	"frostshift/internal/config"
	"frostshift/internal/edict"
	"frostshift/internal/exchange"
	"frostshift/internal/handover"
	"frostshift/internal/learning"
)

// succession is how one process of this gateway takes the place of another, which runs on the
// same listening sockets. The one that starts is told all that the other knows, takes clients
// once it is ready, and says so; the other then accepts nothing more, answers what it has, and
// ends. Until then each tells the other of its requests' ids and of what operators call, and
// each keeps to a half of what the gateway may hold.
type succession struct {
	gateway *Gateway
	path    string // where the process that runs is found; "": no other one comes
	file    string // where the hosts that are out stand for one that finds none running; "": nowhere

	mu      sync.Mutex
	links   map[*link]struct{}
	told    atomic.Pointer[[]*handover.Peer]
	door    *handover.Door
	open    bool // this process takes clients
	handed  bool // another process does
	after   bool // another process ran when this one came
	ending  bool
	retired chan struct{} // closed once another process has taken over and no client is left here
	once    sync.Once
	files   sync.Mutex
}

// link is another process of this gateway.
type link struct {
	s      *succession
	peer   *handover.Peer
	serves bool // it was started later, and takes clients
	older  bool // it ran before
}

// stateVersion is that of what one process tells the next.
const stateVersion = 1

// knowledge is what one process tells the next.
type knowledge struct {
	Version int
	Ids     exchange.Register
	Banned  []string
	Words   []edict.Word `json:",omitempty"` // that brought bans and their ends, for the whole fleet
	Drained bool
	Pools   map[string]learning.Pool
}

// bans notes the hosts that are out by hand.
func (k *knowledge) bans(g *Gateway) {
	g.mu.Lock()
	for name := range g.banned {
		k.Banned = append(k.Banned, name)
	}
	g.mu.Unlock()
	k.Words = g.edicts.words()
}

// ban takes them out in a gateway that has not started.
func (k *knowledge) ban(g *Gateway) {
	for _, name := range k.Banned[:min(len(k.Banned), mostBanned)] {
		g.banned[name] = true
	}
	g.edicts.adopt(k.Words)
}

// call is what an operator has called for at the other process.
type call struct {
	Host  string `json:",omitempty"`
	Out   bool   `json:",omitempty"`
	Drain *bool  `json:",omitempty"`
}

const (
	// gatherWithin is how long the process that runs may take to say what its pools have learned:
	// the one that starts has six seconds for all.
	gatherWithin = time.Second
	retireEvery  = 20 * time.Millisecond
	flushWithin  = 200 * time.Millisecond
)

func newSuccession(g *Gateway, m *config.Model) *succession {
	s := &succession{gateway: g, path: m.Handover, file: bansFile(m), links: map[*link]struct{}{}, retired: make(chan struct{})}
	s.tell()
	return s
}

// joined says whether another process of this gateway ran when this one came.
func (s *succession) joined() bool { return s.after }

// join takes over what the process that runs knows, if there is one, and returns the
// configuration with it.
func (s *succession) join(m *config.Model) *config.Model {
	g := s.gateway
	if s.path == "" {
		s.readBans()
		return g.recall(m)
	}
	peer, text, err := handover.Join(s.path)
	if err != nil {
		if !errors.Is(err, handover.ErrNone) {
			s.after = true
			g.log.Warn("the process that runs says nothing of use, starting from nothing", "err", err)
		}
		s.readBans()
		return g.recall(m)
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
func (s *succession) begin() (waits bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for l := range s.links {
		s.gateway.running.Go(func() { l.peer.Run(l) })
		waits = true
	}
	return waits
}

// serve says that this process takes clients.
func (s *succession) serve() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.open = true
	for _, server := range s.gateway.present() {
		server.ln.Pause(false)
	}
	s.gateway.admission.SetReady()
	for l := range s.links {
		if l.older {
			l.peer.Send(handover.Serving, nil)
		}
	}
	s.listen()
}

// listen lets another process find this one. The lock is held.
func (s *succession) listen() {
	if s.path == "" || s.ending {
		return
	}
	door, err := handover.Open(s.path, s.come)
	if err != nil {
		s.gateway.log.Warn("no other process can take over", "err", err)
		return
	}
	s.door = door
}

// serves says whether this process takes clients.
func (s *succession) serves() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.open && !s.handed
}

// isHanded says whether another process takes clients in this one's place.
func (s *succession) isHanded() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.handed
}

// come tells a process that starts all that is known; false: another one is starting.
func (s *succession) come(peer *handover.Peer) bool {
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
func (s *succession) gather() (out map[string]learning.Pool, whole bool) {
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

// Note tells the other processes of an id. It is called with a lock of the exchange held.
func (s *succession) Note(text []byte) {
	for _, p := range *s.told.Load() {
		p.Send(handover.Note, text)
	}
}

// tell keeps the list that Note goes by: it must not wait for s.mu, under which other locks are
// taken. The lock is held.
func (s *succession) tell() {
	var peers []*handover.Peer
	for l := range s.links {
		peers = append(peers, l.peer)
	}
	s.told.Store(&peers)
}

// Noted takes what another process tells of ids.
func (l *link) Noted(text []byte) { l.s.gateway.exchange.Noted(text) }

// Called does here what an operator has called for at another process.
func (l *link) Called(text []byte) error {
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
func (s *succession) everywhere(ctx context.Context, c call) error {
	text, err := json.Marshal(&c)
	if err != nil {
		return err
	}
	s.mu.Lock()
	var peers []*handover.Peer
	for l := range s.links {
		peers = append(peers, l.peer)
	}
	s.mu.Unlock()
	for _, p := range peers {
		if err := p.Ask(ctx, text); err != nil && !errors.Is(err, handover.ErrGone) {
			return fmt.Errorf("at the gateway's other process: %w", err)
		}
	}
	return nil
}

// Serves gives this process's clients up: another takes them from now on.
func (l *link) Serves() {
	s, g := l.s, l.s.gateway
	s.mu.Lock()
	if l.older || s.ending {
		s.mu.Unlock()
		return
	}
	l.serves, s.handed = true, true
	for _, server := range g.present() {
		server.ln.Pause(true)
	}
	door := s.door
	s.door = nil
	s.mu.Unlock()
	g.log.Info("another process takes the clients")
	g.clients.hand(true)
	g.running.Go(g.closeBank) // the other is the member from here on
	if door != nil {
		door.Close()
	}
	g.running.Go(s.retire)
}

// retire waits until no client is left.
func (s *succession) retire() {
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

// Gone notes that the other process has ended. Where that was to take over, this one goes on.
func (l *link) Gone() {
	s, g := l.s, l.s.gateway
	s.mu.Lock()
	delete(s.links, l)
	s.tell()
	back := l.serves && s.handed && !s.ending
	if back {
		s.handed = false
		for _, server := range g.present() {
			server.ln.Pause(false)
		}
		s.listen()
	}
	alone, ending := len(s.links) == 0, s.ending
	s.mu.Unlock()
	if alone {
		g.exchange.Link(nil)
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

// share keeps this process to its part of what the gateway may hold.
func (s *succession) share() {
	s.mu.Lock()
	n := 1 + len(s.links)
	s.mu.Unlock()
	s.gateway.bound(n)
}

// end ends the links, once nothing is left to tell.
func (s *succession) end() {
	s.mu.Lock()
	s.ending = true
	door := s.door
	s.door = nil
	var peers []*handover.Peer
	for l := range s.links {
		peers = append(peers, l.peer)
	}
	s.mu.Unlock()
	if door != nil {
		door.Close()
	}
	ctx, cancel := context.WithTimeout(context.Background(), flushWithin)
	defer cancel()
	for _, p := range peers {
		p.Flush(ctx)
		p.Close()
	}
}

// bansFile is where the hosts that are out are kept: beside the socket, or in the folder for
// what is remembered.
func bansFile(m *config.Model) string {
	switch {
	case m.Handover != "":
		return m.Handover + ".out"
	case m.State != "":
		return filepath.Join(m.State, "hosts.out")
	}
	return ""
}

// writeBans writes them.
func (s *succession) writeBans() error {
	if s.file == "" {
		return nil
	}
	s.files.Lock()
	defer s.files.Unlock()
	g := s.gateway
	k := knowledge{Version: stateVersion}
	k.bans(g)
	text, err := json.Marshal(&k)
	if err != nil {
		return err
	}
	fresh := s.file + ".new"
	if err = os.WriteFile(fresh, handover.AppendFrame(nil, handover.State, text), 0o600); err == nil {
		err = os.Rename(fresh, s.file)
	}
	return err
}

// readBans reads them; what is damaged is no file.
func (s *succession) readBans() {
	g := s.gateway
	if s.file == "" {
		return
	}
	text, err := os.ReadFile(s.file)
	if errors.Is(err, fs.ErrNotExist) {
		return
	}
	var k knowledge
	if err == nil {
		_, text, err = handover.ReadFrame(bytes.NewReader(text))
	}
	if err == nil {
		err = json.Unmarshal(text, &k)
	}
	if err != nil || k.Version != stateVersion {
		g.log.Warn("the file of hosts that are out can't be read, none is", "file", s.file, "err", err)
		return
	}
	k.ban(g)
}
