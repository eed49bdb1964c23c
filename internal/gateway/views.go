package gateway

import (
	"encoding/json"
	"os"
	"path/filepath"

	"frostshift/internal/membership/keeper"
)

// views writes what a pool's keeper knows to a file, for "stilespool hosts". The latest state
// wins: a slow disk holds up nobody.
type views struct {
	path string
	next chan keeper.State // holds one
}

func newViews(dir, pool string) *views {
	return &views{path: keeper.ViewPath(dir, pool), next: make(chan keeper.State, 1)}
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
func (v *views) run(done <-chan struct{}, failed func(error)) {
	for {
		select {
		case <-done:
			return
		case s := <-v.next:
			if err := v.write(&s); err != nil {
				failed(err)
			}
		}
	}
}

func (v *views) write(s *keeper.State) error {
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
