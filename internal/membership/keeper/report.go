package keeper

import (
	"slices"

	"frostshift/internal/membership"
)

// Report is all that a source has said, for another keeper of the same pool: until the source speaks again nothing else
// tells which hosts it has called leaving.
type Report struct {
	Source string // its name, see source.Spec.String
	List   *membership.List
}

// Reports returns what the sources have said so far; nil if the keeper does not run.
func (k *Keeper) Reports() (reports []Report) {
	got := make(chan struct{})
	f := func() {
		defer close(got)
		for i := range k.cfg.Specs {
			if l := k.merger.Report(i); l != nil {
				reports = append(reports, Report{k.name(i), l})
			}
		}
	}
	select {
	case k.ask <- f:
		<-got
	case <-k.done:
	}
	return reports
}

// takeHeard begins with what the sources have told an earlier keeper, where they are the same and it is sound.
func (k *Keeper) takeHeard() {
	for i := range k.cfg.Specs {
		name := k.name(i)
		at := slices.IndexFunc(k.cfg.Heard, func(r Report) bool { return r.Source == name })
		if at < 0 {
			continue
		}
		if l := k.cfg.Heard[at].List; l != nil && l.Index != nil && l.Check() == nil {
			k.take(news{i, l})
		}
	}
}
