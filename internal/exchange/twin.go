package exchange

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"frostshift"
)

// Two processes of one gateway keep one register of open ids: each tells the other what it
// opens, ends and leaves in doubt, as hashes under a seed that both have.

// Sibling is the other process, as far as it is told. It is called with a lock held and must not
// wait.
type Sibling interface{ Note(text []byte) }

// What a note says of a hash.
const (
	noteOpen = 'o' // a request of this id is open
	noteEnd  = 'e' // it has ended
	noteLost = 'l' // it may have run, and its client was not told
	noteLen  = 9
)

// hashOf is an id as both processes know it.
func (x *Exchange) hashOf(id string) uint64 {
	var d xxhash.Digest
	d.ResetWithSeed(x.seed.Load())
	d.WriteString(id)
	return d.Sum64()
}

// Register is what a process that takes over must know of ids.
type Register struct {
	Seed       uint64
	Open, Lost []uint64
}

// Adopt takes over the register of the process that runs, before the first request.
func (x *Exchange) Adopt(r *Register) {
	x.seed.Store(r.Seed)
	now := x.clock.Now()
	for _, h := range r.Open {
		x.shardOf(h).elsewhere(h, true)
	}
	for _, h := range r.Lost {
		s := x.shardOf(h)
		s.mu.Lock()
		s.lost.Note(now, h)
		s.mu.Unlock()
	}
}

// Link has another process told of all that becomes of ids from now on, and returns what has
// up to then. With nil none is told any more.
func (x *Exchange) Link(t Sibling) (r Register) {
	for i := range x.ids {
		x.ids[i].mu.Lock()
	}
	r.Seed = x.seed.Load()
	now := x.clock.Now()
	for i := range x.ids {
		s := &x.ids[i]
		s.twin = t
		for id := range s.open {
			r.Open = append(r.Open, x.hashOf(id))
		}
		r.Lost = append(r.Lost, s.lost.All(now)...)
	}
	for i := range x.ids {
		x.ids[i].mu.Unlock()
	}
	return r
}

// Orphan notes that the other process has gone: what was open there and has not ended may have
// run, and nobody will say.
func (x *Exchange) Orphan() {
	now := x.clock.Now()
	for i := range x.ids {
		s := &x.ids[i]
		s.mu.Lock()
		for h := range s.remote {
			s.lost.Note(now, h)
		}
		s.remote = nil
		s.mu.Unlock()
	}
}

// ApplyNotes takes what the other process tells.
func (x *Exchange) ApplyNotes(text []byte) {
	now := x.clock.Now()
	for ; len(text) >= noteLen; text = text[noteLen:] {
		h := binary.BigEndian.Uint64(text[1:])
		switch s := x.shardOf(h); text[0] {
		case noteOpen, noteEnd:
			s.elsewhere(h, text[0] == noteOpen)
		case noteLost:
			s.mu.Lock()
			s.lost.Note(now, h)
			s.mu.Unlock()
		}
	}
}

func (x *Exchange) shardOf(h uint64) *idShard { return &x.ids[h%uint64(len(x.ids))] }

// mostRemote bounds what another process may name as open, in a shard.
const mostRemote = 1 << 14

// elsewhere notes that an id is open at the other process, or is not any more.
func (s *idShard) elsewhere(h uint64, open bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !open {
		delete(s.remote, h)
		return
	}
	if s.remote == nil {
		s.remote = map[uint64]struct{}{}
	}
	if len(s.remote) < mostRemote {
		s.remote[h] = struct{}{}
	}
}

// tell tells the other process, if there is one. The lock is held.
func (s *idShard) tell(what byte, h uint64) {
	if s.twin != nil {
		var b [noteLen]byte
		b[0] = what
		binary.BigEndian.PutUint64(b[1:], h)
		s.twin.Note(b[:])
	}
}

// SetProcesses says how many processes share this instance's part of what hosts that have just
// started may get. It does not wait for the loop; what was said last holds.
func (p *Pool) SetProcesses(n int) {
	p.twins.Store(int32(n))
	go p.post(event{kind: do, run: func(now frostshift.Time) { p.b.Processes(now, int(p.twins.Load())) }})
}

// Fleet says who shares the hosts, and how many gateways at most share what contracts state for
// all. It does not wait for the loop; what was said last holds.
func (p *Pool) Fleet(k frostshift.Fleet, most int) {
	p.shared.Store(&shared{k, most})
	go p.tellFleet()
}

// FleetNow is Fleet for a caller that may wait until the loop has room for it.
func (p *Pool) FleetNow(k frostshift.Fleet, most int) {
	p.shared.Store(&shared{k, most})
	p.tellFleet()
}

func (p *Pool) tellFleet() {
	p.post(event{kind: do, run: func(now frostshift.Time) {
		s := p.shared.Load()
		p.b.Fleet(now, s.fleet)
		if p.fleetShare != nil {
			p.fleetShare.SetInstances(s.most)
		}
	}})
}

// shared is what Fleet was told last.
type shared struct {
	fleet frostshift.Fleet
	most  int
}

// Memory has the loop give what its balancer has learned, and how many repeats are saved up, to f; it does not where it
// has ended.
func (p *Pool) Memory(f func(m frostshift.Memory, repeats float64)) {
	p.post(event{kind: do, run: func(now frostshift.Time) { f(p.b.Memory(now), p.repeats.Saved()) }})
}
