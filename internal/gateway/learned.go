package gateway

import (
	"cmp"
	"errors"
	"path/filepath"
	"time"

	"frostshift/internal/config"
	"frostshift/internal/learning"
	"frostshift/internal/save"
)

// What the pools have learned is kept in a folder of its own below the one that lasts, so that the next process begins
// with it. Nothing waits for it: a folder that can't be written is logged once and tried again.

const (
	// LearnedDir is its name.
	LearnedDir = "learned"
	// keepEvery is the time between two writes: what a process learned last is lost by a kill.
	keepEvery = 5 * time.Second
)

// openLearned takes the folder; nil: there is none, or another process has it.
func openLearned(m *config.Model) (*save.Dir, error) {
	if m.State == "" {
		return nil, nil
	}
	return save.Open(filepath.Join(m.State, LearnedDir))
}

// restore has pools begin with what the process before had learned, where it left that in a folder.
func (g *Gateway) restore(m *config.Model) *config.Model {
	d, err := openLearned(m)
	if err != nil || d == nil {
		if err != nil {
			g.log.Warn("nothing that was learned is read", "err", err)
		}
		return m
	}
	g.kept = d
	kept := d.Read()
	if kept.Damage != nil {
		g.log.Warn("what was learned is damaged", "older is whole", kept.Older, "err", kept.Damage)
	}
	pools, age, err := learning.Decode(time.Now(), kept.Parts)
	if err != nil {
		if !errors.Is(err, learning.ErrNone) {
			d.Aside()
			g.log.Warn("what was learned is not taken", "err", err)
		}
		return m
	}
	g.log.Info("beginning with what was learned", "pools", len(pools), "age", age.Round(time.Millisecond))
	return g.take(m, pools)
}

// keep writes what has been learned down until the gateway stops, and once more then, before its pools end. With the
// hand-over it lets go of the folder.
func (g *Gateway) keep(m *config.Model) {
	tick := time.NewTicker(cmp.Or(g.opt.KeepEvery, keepEvery))
	defer tick.Stop()
	said := false
	for over := false; !over; {
		select {
		case <-g.halt:
			over = true
		case <-tick.C:
		}
		if g.restart.isHanded() { // it is the other process's from here on
			if g.kept != nil {
				g.kept.Close()
				g.kept = nil
			}
			close(g.keptLast)
			return
		}
		var err error
		if g.kept == nil { // the process before may have had it
			g.kept, err = openLearned(m)
		}
		pools, whole := g.restart.gather()
		if over {
			close(g.keptLast)
		}
		if g.kept != nil && whole { // a part of it must not take the place of all
			var parts []save.Part
			if parts, err = learning.Encode(time.Now(), pools); err == nil {
				err = g.kept.Write(parts)
			}
		}
		if err != nil && !said {
			g.log.Warn("what is learned is not kept", "err", err)
		}
		said = err != nil
	}
}
