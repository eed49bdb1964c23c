package keeper

import (
	"net/url"
	"path/filepath"
	"time"

	"frostshift/internal/membership/belief"
	"frostshift/internal/membership/view"
)

// State is what a keeper knows at one moment.
type State struct {
	At       time.Time
	Version  uint64
	Believed int // hosts that the pool goes by
	Sources  []SourceState
	Entries  []view.Entry
	Doubts   []belief.Doubt
}

// SourceState is a source and whether it has said anything.
type SourceState struct {
	Name   string
	Spoken bool
}

// ViewPath is the file in a folder that holds the state of a pool.
func ViewPath(dir, pool string) string {
	return filepath.Join(dir, url.PathEscape(pool)+".view.json")
}

const (
	showEvery = time.Second
	showStill = 10 * time.Second // when nothing has changed
	// ViewAge is how old a state that was shown may be, while its gateway runs.
	ViewAge = 3 * showStill
)

// state is what is known now.
func (k *Keeper) state() State {
	s := State{At: time.Now(), Version: k.merger.Version(), Believed: k.belief.Believed(), Entries: k.merger.All(), Doubts: k.belief.Doubts(k.now())}
	for i := range k.cfg.Specs {
		s.Sources = append(s.Sources, SourceState{k.name(i), k.merger.Reported(i)})
	}
	return s
}

// show shows a state that has changed, not more often than it should.
func (k *Keeper) show() {
	since := k.now() - k.shownAt
	if k.cfg.Show != nil && k.whole && (k.changed && since >= showEvery || since >= showStill) {
		k.changed, k.shownAt = false, k.now()
		k.cfg.Show(k.state())
	}
}

// State is what the keeper knows now; false: it does not run.
func (k *Keeper) State() (s State, ok bool) {
	got := make(chan struct{})
	f := func() {
		s = k.state()
		close(got)
	}
	select {
	case k.ask <- f:
		<-got
		return s, true
	case <-k.done:
		return s, false
	}
}
