package exchange

import (
	"context"
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"frostshift"
)

// During a hot restart the two sibling processes of one gateway share one register of open ids:
// each notifies the other of the ids that it opens, ends or leaves in an unknown state, as hashes
// under a common seed.

// Sibling is the other process, as a receiver of notes. Note is called with a lock held and must
// not block. Sync waits until the sibling has applied all notes that were sent to it, and all that it
// had sent by then have been applied here.
type Sibling interface {
	Note(text []byte)
	Sync(ctx context.Context) error
}

// The kinds of notes. A note is its kind and a hash.
const (
	noteOpen = 'o' // a request of this id is open
	noteEnd  = 'e' // the request has ended
	noteLost = 'l' // the request may have run, and its client was not notified
	noteDone = 'd' // the request has run and was answered, and its id is used only once
	noteLen  = 9
)

// hashOf returns the hash of an id that both processes use.
func (x *Exchange) hashOf(id string) uint64 {
	var d xxhash.Digest
	d.ResetWithSeed(x.seed.Load())
	d.WriteString(id)
	return d.Sum64()
}

// Register is what a process that takes over must know about ids.
type Register struct {
	Seed       uint64
	Open, Lost []uint64
	Done       []uint64 `json:",omitempty"`
}

// Adopt takes over the register of the running process. It must be called before the first request.
func (x *Exchange) Adopt(r *Register) {
	x.seed.Store(r.Seed)
	now := x.clock.Now()
	for _, h := range r.Open {
		x.shardOf(h).setRemote(h, true)
	}
	for _, h := range r.Lost {
		s := x.shardOf(h)
		s.mu.Lock()
		s.lost.Note(now, h)
		s.mu.Unlock()
	}
	for _, h := range r.Done {
		s := x.shardOf(h)
		s.mu.Lock()
		s.done.Note(now, h)
		s.mu.Unlock()
	}
}

// Link starts notifying t of all changes to ids, and returns the register up to this point. With
// nil it stops the notifications.
func (x *Exchange) Link(t Sibling) (r Register) {
	for i := range x.ids {
		x.ids[i].mu.Lock()
	}
	r.Seed = x.seed.Load()
	now := x.clock.Now()
	for i := range x.ids {
		s := &x.ids[i]
		s.sibling = t
		for id := range s.open {
			r.Open = append(r.Open, x.hashOf(id))
		}
		r.Lost = append(r.Lost, s.lost.All(now)...)
		r.Done = append(r.Done, s.done.All(now)...)
	}
	for i := range x.ids {
		x.ids[i].mu.Unlock()
	}
	return r
}

// confirm reports whether a claimed id that must not run twice is this process's alone. A note of the sibling process may
// still be under way: of two processes that claim an id at once, each sees the other's claim behind Sync, and both reject.
func (x *Exchange) confirm(r *Request, effect frostshift.Effect) (v Verdict, ok bool) {
	s, h := x.shard(r.ID)
	s.mu.Lock()
	sibling := s.sibling
	s.mu.Unlock()
	if sibling == nil || effect == frostshift.Safe {
		return 0, true
	}
	ctx, cancel := context.WithTimeout(context.Background(), max(0, r.Deadline-x.clock.Now())/syncPart)
	defer cancel()
	err := sibling.Sync(ctx)
	s.mu.Lock()
	defer s.mu.Unlock()
	_, remote := s.remote[h]
	switch now := x.clock.Now(); {
	case remote:
		return Duplicate, false
	case s.lost.Has(now, h) || s.done.Has(now, h):
		return Failed, false
	case err != nil || s.unknown: // nothing has been sent
		return Refused, false
	}
	return 0, true
}

// syncPart is the part of a request's time that the sibling process may take to answer.
const syncPart = 2

// Orphan reports that the sibling process has gone: requests that were open there and have not
// ended may have run, and no note about them will come.
func (x *Exchange) Orphan() {
	now := x.clock.Now()
	for i := range x.ids {
		s := &x.ids[i]
		s.mu.Lock()
		for h := range s.remote {
			s.lost.Note(now, h)
		}
		s.remote, s.unknown = nil, false
		s.mu.Unlock()
	}
}

// ApplyNotes applies the notes of the sibling process.
func (x *Exchange) ApplyNotes(text []byte) {
	now := x.clock.Now()
	for ; len(text) >= noteLen; text = text[noteLen:] {
		h := binary.BigEndian.Uint64(text[1:])
		switch s := x.shardOf(h); text[0] {
		case noteOpen, noteEnd:
			s.setRemote(h, text[0] == noteOpen)
		case noteLost, noteDone:
			s.mu.Lock()
			if text[0] == noteLost {
				s.lost.Note(now, h)
			} else {
				s.done.Note(now, h)
			}
			s.mu.Unlock()
		}
	}
}

func (x *Exchange) shardOf(h uint64) *idShard { return &x.ids[h%uint64(len(x.ids))] }

// maxRemote bounds the ids that the sibling process may report as open, per shard.
const maxRemote = 1 << 14

// setRemote records that an id is open at the sibling process, or no longer is.
func (s *idShard) setRemote(h uint64, open bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !open {
		delete(s.remote, h)
		return
	}
	if s.remote == nil {
		s.remote = map[uint64]struct{}{}
	}
	if len(s.remote) >= maxRemote {
		s.unknown = true
		return
	}
	s.remote[h] = struct{}{}
}

// notify sends a note to the sibling process, if there is one. The caller holds the lock.
func (s *idShard) notify(kind byte, h uint64) {
	if s.sibling != nil {
		var b [noteLen]byte
		b[0] = kind
		binary.BigEndian.PutUint64(b[1:], h)
		s.sibling.Note(b[:])
	}
}

// SetProcesses sets how many processes divide among them this instance's share of what hosts that
// have just started may receive. It does not wait for the loop; the latest call wins.
func (p *Pool) SetProcesses(n int) {
	p.processes.Store(int32(n))
	go p.post(event{kind: callFunc, run: func(now frostshift.Time) { p.b.Processes(now, int(p.processes.Load())) }})
}

// Fleet sets which instances share the hosts, and the maximum number of gateways that share the
// limits that contracts state for the whole fleet. It does not wait for the loop; the latest call
// wins.
func (p *Pool) Fleet(k frostshift.Fleet, maxInstances int) {
	p.fleetState.Store(&fleetState{k, maxInstances})
	go p.postFleet()
}

// FleetNow is like Fleet, for a caller that may wait until the loop has room for the event.
func (p *Pool) FleetNow(k frostshift.Fleet, maxInstances int) {
	p.fleetState.Store(&fleetState{k, maxInstances})
	p.postFleet()
}

func (p *Pool) postFleet() {
	p.post(event{kind: callFunc, run: func(now frostshift.Time) {
		s := p.fleetState.Load()
		p.b.Fleet(now, s.fleet)
		if p.fleetShare != nil {
			p.fleetShare.SetInstances(s.maxInstances)
		}
	}})
}

// fleetState holds the arguments of the latest call of Fleet.
type fleetState struct {
	fleet        frostshift.Fleet
	maxInstances int
}

// Memory calls f in the loop with the learned state of the balancer and the number of retries left
// in the budget. f is not called if the loop has ended.
func (p *Pool) Memory(f func(m frostshift.Memory, retryBudget float64)) {
	p.post(event{kind: callFunc, run: func(now frostshift.Time) { f(p.b.Memory(now), p.retryBudget.Saved()) }})
}
