package gateway

import (
	"context"
	"encoding/json"
	"os"
	"path/filepath"

	"frostshift"
	"frostshift/internal/membership/keeper"
)

// views writes what a pool's keeper knows to a file, for "stilespool hosts". The latest state
// wins: a slow disk holds up nobody.
type views struct {
	path     string
	next     chan keeper.State // holds one
	standing func(context.Context) *frostshift.Status
}

func newViews(dir, pool string, standing func(context.Context) *frostshift.Status) *views {
	return &views{path: keeper.ViewPath(dir, pool), next: make(chan keeper.State, 1), standing: standing}
}

// View is what the file holds: what is known of hosts, and what the pool makes of it.
type View struct {
	keeper.State
	Standing *frostshift.Status `json:",omitempty"` // nil: the pool did not say in time
}

// standing asks the pool what it goes by; nil: it does not say in time.
func (p *pool) standing(ctx context.Context) *frostshift.Status {
	ctx, end := context.WithTimeout(ctx, lookWithin)
	defer end()
	said := make(chan frostshift.Status, 1)
	go p.ex.ReportStatus(func(s frostshift.Status) { said <- s })
	select {
	case s := <-said:
		return &s
	case <-ctx.Done():
		return nil
	}
}

// show takes a state. It is called from one goroutine and does not block.
func (v *views) show(s keeper.State) {
	select {
	case <-v.next:
	default:
	}
	v.next <- s
}

// run writes until the pool's end. The file stays: a pool that takes this one's place writes
// it as well, and its age tells whether anybody does.
func (v *views) run(ctx context.Context, failed func(error)) {
	for {
		select {
		case <-ctx.Done():
			return
		case s := <-v.next:
			if err := v.write(&View{s, v.standing(ctx)}); err != nil {
				failed(err)
			}
		}
	}
}

func (v *views) write(s *View) error {
	text, err := json.Marshal(s)
	if err != nil {
		return err
	}
	f, err := os.CreateTemp(filepath.Dir(v.path), ".view-*")
	if err != nil {
		return err
	}
	_, err = f.Write(text)
	if closed := f.Close(); err == nil {
		err = closed
	}
	if err == nil {
		err = os.Rename(f.Name(), v.path)
	}
	if err != nil {
		os.Remove(f.Name())
	}
	return err
}
