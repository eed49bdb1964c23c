package moves

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"time"

	"frostshift/internal/save"
	"frostshift/internal/shift"
)

const (
	partName    = "moves"
	partVersion = 1
)

// load reads what an earlier process kept.
func (s *Set) load() {
	if s.cfg.Dir == nil {
		return
	}
	k := s.cfg.Dir.Read()
	if k.Damage != nil {
		s.cfg.Log.Warn("what was remembered is damaged", "err", k.Damage, "older_is_used", k.Older)
	}
	s.older = k.Older
	s.damaged = k.Damage != nil && len(k.Parts) == 0
	defer func() {
		if s.damaged || s.older {
			s.cfg.Dir.Aside()
		}
	}()
	for _, p := range k.Parts {
		if p.Name != partName {
			continue
		}
		kept, err := decode(p)
		if err != nil {
			s.cfg.Log.Warn("the moves that were remembered can't be used", "err", err)
			s.damaged = true
			continue
		}
		s.keep(kept)
	}
}

// keep notes what an earlier process kept, until the first configuration is used.
func (s *Set) keep(list []shift.Saved) {
	s.kept = map[string]shift.Saved{}
	for _, k := range list {
		if k.Retired {
			s.left = append(s.left, k)
		} else {
			s.kept[k.Plan.Name] = k
		}
	}
}

// decode reads the part of a file.
func decode(p save.Part) (list []shift.Saved, err error) {
	if p.Version != partVersion {
		return nil, fmt.Errorf("they are of version %d, and this program knows %d", p.Version, partVersion)
	}
	if err := json.Unmarshal(p.Data, &list); err != nil {
		return nil, err
	}
	for i := range list {
		if err := list[i].Check(); err != nil {
			return nil, fmt.Errorf("move %q: %w", list[i].Plan.Name, err)
		}
	}
	return list, nil
}

// first is the move of a plan that this process has not had yet. The lock is held.
func (s *Set) first(now shift.Time, wall time.Time, p shift.Plan) *shift.Move {
	if k, ok := s.handed[p.Name]; ok && samePools(&p, &k.Plan) {
		delete(s.handed, p.Name)
		m := shift.TakeUp(now, p, &k, wall)
		s.cfg.Log.Info("move goes on where the process before has it", "move", p.Name, "state", m.State().String(), "step", m.Step()+1, "share", m.Share())
		return m
	}
	if k, ok := s.kept[p.Name]; ok && samePools(&p, &k.Plan) {
		delete(s.kept, p.Name)
		m := shift.Restore(now, p, &k, wall, !s.older)
		s.cfg.Log.Info("move goes on where it was", "move", p.Name, "state", m.State().String(), "step", m.Step()+1, "share", m.Share())
		return m
	}
	if s.damaged {
		return shift.Unsure(now, p)
	}
	return shift.New(now, p)
}

// samePools says whether two plans move traffic between the same pools: keys of the one then belong where the other has them.
func samePools(p, q *shift.Plan) bool { return p.From == q.From && p.To == q.To }

// retireLeft has moves that the first configuration does not name keep their keys, as a reload that takes a move out does.
// The lock is held.
func (s *Set) retireLeft(now shift.Time, wall time.Time) {
	for _, k := range s.handed {
		s.retire(shift.TakeUpRetired(now, &k, wall))
	}
	for _, k := range append(slices.Collect(maps.Values(s.kept)), s.left...) {
		s.retire(shift.RestoreRetired(now, &k, wall, !s.older))
	}
	clear(s.handed)
	clear(s.kept)
	s.left = nil
}

// retire adds a move of an earlier process that only knows keys, if it does. The lock is held.
func (s *Set) retire(m *shift.Move) {
	if m.Plan().Window == 0 {
		return
	}
	s.retired = append(s.retired, &Move{clock: s.cfg.Clock, m: m})
	s.cfg.Log.Info("a move is not configured any more; its keys keep their pools for their window", "move", m.Plan().Name)
}

// remember writes the moves down and grants what they may do from then on. Requests do not wait
// for it, and a disk that fails costs none: keys then stay with the shares that were granted.
func (s *Set) remember() {
	dir := s.dir()
	if dir == nil {
		return
	}
	moves := append(s.all(), s.Retired()...)
	if len(moves) == 0 && !s.wrote {
		return
	}
	s.wrote = len(moves) > 0
	list := make([]shift.Saved, len(moves))
	for i, v := range moves {
		list[i] = v.save()
	}
	data, err := json.Marshal(list)
	if err == nil {
		err = dir.Write([]save.Part{{Name: partName, Version: partVersion, Data: data}})
	}
	s.mu.Lock()
	was := s.failing
	s.failing = err != nil
	s.mu.Unlock()
	if err != nil {
		if !was {
			s.cfg.Log.Warn("moves can't be remembered; keys stay with the shares that are", "err", err)
		}
		return
	}
	if was {
		s.cfg.Log.Info("moves are remembered again")
	}
	for i, v := range moves {
		if list[i].Retired {
			continue
		}
		v.mu.Lock()
		v.m.Grant(v.clock.Now(), &list[i])
		v.mu.Unlock()
	}
}
