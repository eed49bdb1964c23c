// Package moves runs the moves of a gateway: it hands them the clock, the pools as they are
// and the requests, remembers them in a file, and lets an operator speak to them. It decides
// nothing: that is package shift.
//
// moves.go is the moves and their turns, remember.go the file, control.go the operator's socket.
package moves

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"frostshift/internal/exchange"
	"frostshift/internal/save"
	"frostshift/internal/shift"
)

const (
	tickEvery = 100 * time.Millisecond
	saveEvery = 2 * time.Second
	lookWait  = 50 * time.Millisecond // for pools to say how they are
)

// Config is what a set of moves needs.
type Config struct {
	Clock exchange.Clock
	Log   *slog.Logger
	Dir   *save.Dir // nil: nothing is remembered, or not yet
	// Handed are the moves of the process that this one takes over from; nil with Joined: it tells nothing of them.
	Handed []shift.Saved
	// Joined says that another process of this gateway serves.
	Joined bool
	// Pool finds a running pool; nil: there is none of that name.
	Pool func(name string) *exchange.Pool
}

// Set is the moves of a gateway, of all its configurations. It is safe for concurrent use.
type Set struct {
	cfg Config

	mu      sync.Mutex
	moves   map[string]*Move
	retired []*Move
	kept    map[string]shift.Saved // of an earlier process, not yet taken up
	handed  map[string]shift.Saved // of the process that still serves, not yet taken up
	left    []shift.Saved          // of either, moves that were retired there
	older   bool                   // ... and a newer file of it is lost
	damaged bool                   // there was a file, and it can't be read
	failing bool                   // the last write has failed
	wrote   bool                   // moves are in the file; used by Run alone
}

// Move is a move that requests are placed by. It is safe for concurrent use.
type Move struct {
	clock exchange.Clock
	mu    sync.Mutex
	m     *shift.Move
}

// New returns a set without moves; what an earlier process kept in the folder is read.
func New(cfg Config) *Set {
	s := &Set{cfg: cfg, moves: map[string]*Move{}, handed: map[string]shift.Saved{}}
	for _, k := range cfg.Handed {
		if err := k.Check(); err != nil {
			cfg.Log.Warn("a move that is handed over can't be used", "move", k.Plan.Name, "err", err)
			s.damaged = true
			continue
		}
		if k.Retired {
			s.left = append(s.left, k)
			continue
		}
		s.handed[k.Plan.Name] = k
	}
	if cfg.Joined && cfg.Handed == nil {
		s.damaged = true // it may have dealt keys by any share
	}
	s.load()
	return s
}

// UseDir has moves remembered in a folder from now on, which another process had before. What is in it is older than
// what this process was told.
func (s *Set) UseDir(d *save.Dir) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cfg.Dir = d
}

// dir is the folder; nil: there is none, or not yet.
func (s *Set) dir() *save.Dir {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.cfg.Dir
}

// HandOver returns the moves for a process that takes over. Until Alone both deal keys in the same way.
func (s *Set) HandOver() []shift.Saved {
	list := []shift.Saved{}
	for _, v := range s.all() {
		v.mu.Lock()
		list = append(list, v.m.HandOver(v.clock.Now(), time.Now()))
		v.mu.Unlock()
	}
	for _, v := range s.Retired() {
		list = append(list, v.save())
	}
	return list
}

// save is the move as it is to be remembered.
func (v *Move) save() shift.Saved {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.m.Save(v.clock.Now(), time.Now())
}

// Alone notes that no other process of this gateway serves any more.
func (s *Set) Alone() {
	for _, v := range append(s.all(), s.Retired()...) {
		v.mu.Lock()
		v.m.Alone(v.clock.Now())
		v.mu.Unlock()
	}
}

// Use takes over the plans of a configuration and gives their moves by name. Those that are
// not named any more only keep their keys.
func (s *Set) Use(plans []shift.Plan) map[string]*Move {
	s.mu.Lock()
	defer s.mu.Unlock()
	now, wall := s.cfg.Clock.Now(), time.Now()
	next := map[string]*Move{}
	for _, p := range plans {
		old := s.moves[p.Name]
		if old == nil {
			next[p.Name] = &Move{clock: s.cfg.Clock, m: s.first(now, wall, p)}
			continue
		}
		old.mu.Lock()
		m := old.m.Follow(now, p)
		if m == old.m {
			next[p.Name] = old
		} else {
			next[p.Name] = &Move{clock: s.cfg.Clock, m: m}
			s.cfg.Log.Info("the plan of a move has changed: a new move begins where the old one stands", "move", p.Name, "state", m.State().String(), "share", m.Share())
			if p.From != old.m.Plan().From || p.To != old.m.Plan().To {
				old.m.Retire(now)
				s.retired = append(s.retired, old)
			}
		}
		old.mu.Unlock()
	}
	for name, old := range s.moves {
		if next[name] == nil {
			old.mu.Lock()
			old.m.Retire(now)
			old.mu.Unlock()
			s.retired = append(s.retired, old)
			s.cfg.Log.Info("a move is not configured any more; its keys keep their pools for their window", "move", name)
		}
	}
	s.moves = next
	s.retireLeft(now, wall)
	s.forget(now)
	return next
}

// Retired are moves of earlier configurations whose keys still belong somewhere.
func (s *Set) Retired() []*Move {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.forget(s.cfg.Clock.Now())
	return append([]*Move(nil), s.retired...)
}

// forget drops retired moves whose keys are forgotten.
func (s *Set) forget(now shift.Time) {
	keep := s.retired[:0]
	for _, v := range s.retired {
		v.mu.Lock()
		if v.m.Lasts(now) {
			keep = append(keep, v)
		}
		v.mu.Unlock()
	}
	clear(s.retired[len(keep):])
	s.retired = keep
}

// Place says which pool a request goes to; see shift.Move.Place.
func (v *Move) Place(a *shift.Ask) (u shift.Unit, pool string, err error) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if u, err = v.m.Place(v.clock.Now(), a); err == nil {
		pool = v.m.PoolOf(u.Side)
	}
	return u, pool, err
}

// Ended takes in how a placed request ended.
func (v *Move) Ended(u *shift.Unit, e exchange.Ending) {
	end := shift.End{Good: e.Verdict == exchange.Served && !e.Fault && !e.Left, Work: e.Work}
	// A client that leaves in time says nothing of the pool, one that leaves late has waited in
	// vain: ended sees to that by the time. Two of one id are the client's affair.
	end.Void = e.Bound || e.Verdict == exchange.Duplicate
	v.mu.Lock()
	defer v.mu.Unlock()
	if e.Left && u.InTime(e.At) {
		end.Void = true
	}
	v.m.Ended(e.At, u, end)
}

// Belongs is the pool that a key belongs to by a move that is retired; see shift.Move.Pool.
func (v *Move) Belongs(key uint64, draw float64) (pool string, known bool, err error) {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.m.Pool(v.clock.Now(), key, draw)
}

// Plan is what the move was made of.
func (v *Move) Plan() shift.Plan {
	v.mu.Lock()
	defer v.mu.Unlock()
	return *v.m.Plan()
}

// Run gives the moves their turns until the context ends, and remembers them a last time.
func (s *Set) Run(ctx context.Context) {
	tick := time.NewTicker(tickEvery)
	defer tick.Stop()
	saved := time.Now()
	for {
		select {
		case <-ctx.Done():
			s.remember()
			return
		case <-tick.C:
		}
		wants := false
		for _, v := range s.all() {
			wants = s.turn(v) || wants
		}
		if wants || time.Since(saved) >= saveEvery {
			saved = time.Now()
			s.remember()
		}
	}
}

func (s *Set) all() (list []*Move) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, v := range s.moves {
		list = append(list, v)
	}
	return list
}

// turn looks at one move and says whether it must be remembered at once.
func (s *Set) turn(v *Move) bool {
	from, to := s.look(v.Plan())
	v.mu.Lock()
	defer v.mu.Unlock()
	v.m.Tick(v.clock.Now(), from, to)
	list := v.m.Decisions()
	for i := range list {
		tell(s.cfg.Log, v.m.Plan(), &list[i])
	}
	return len(list) > 0 || v.m.Wants()
}

// look asks both pools how they are. One that says nothing in time has no room.
func (s *Set) look(p shift.Plan) (from, to shift.Pool) {
	type said struct {
		side int
		shift.Pool
	}
	answers := make(chan said, 2)
	asked := 0
	for i, name := range []string{p.From, p.To} {
		if pool := s.cfg.Pool(name); pool != nil {
			asked++
			pool.ReportLoad(func(l exchange.Load) {
				answers <- said{i, shift.Pool{Ready: l.Ready, Capacity: l.Capacity, Open: float64(l.Open), Pace: l.Pace}}
			})
		}
	}
	late := time.NewTimer(lookWait)
	defer late.Stop()
	var pools [2]shift.Pool
	for range asked {
		select {
		case a := <-answers:
			pools[a.side] = a.Pool
		case <-late.C:
			return pools[0], pools[1]
		}
	}
	return pools[0], pools[1]
}

// tell logs a decision with the figures it was made on.
func tell(log *slog.Logger, p *shift.Plan, d *shift.Decision) {
	level := slog.LevelInfo
	if d.Cause == shift.Fell || d.Cause == shift.Gone || d.Cause == shift.Doubted {
		level = slog.LevelWarn
	}
	o, n := &d.Pools[shift.OldPool], &d.Pools[shift.NewPool]
	log.Log(context.Background(), level, "move", "move", p.Name, "was", d.From.String(), "is", d.To.String(), "because", d.Cause.String(), "step", d.Step+1, "of", len(p.Steps),
		"share", d.Share, "fall", d.Fall, "holds", d.Holds, "loss", d.Loss, "from_units", o.Units, "from_loss", o.Loss(), "from_p99_ms", o.P99,
		"to_units", n.Units, "to_loss", n.Loss(), "to_p99_ms", n.P99, "to_retries", n.Retries)
}
