// Package spool keeps bodies on disk in files that have no name once they are open, within
// bounds for all and for each team. It knows nothing of requests.
package spool

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"sync"
)

// Errors of a file.
var (
	ErrFull = errors.New("spool: there is no room")
	ErrTeam = errors.New("spool: the team has no room left")
)

// prefix is of files that were made and not unlinked yet: a crash between the two leaves one.
const prefix = "stilespool-body-"

// Dir is a folder for bodies. It is safe for concurrent use.
type Dir struct {
	path string
	most int64
	team int64 // bytes that one team may hold; 0: all

	mu   sync.Mutex
	used int64
	by   map[string]int64
	open int
	// refuse says that there is no room; nil: nothing does.
	refuse func() bool
}

// Open uses a folder, which it makes if need be, and removes what a crash has left there.
// most bounds the bytes of all, team those of each team (0: none but most).
func Open(path string, most, team int64) (*Dir, error) {
	if most <= 0 {
		return nil, fmt.Errorf("spool: %d bytes are no room", most)
	}
	if err := os.MkdirAll(path, 0o700); err != nil {
		return nil, fmt.Errorf("spool: %w", err)
	}
	d := &Dir{path: path, most: most, team: team, by: map[string]int64{}}
	// What lies there is read a part at a time: there may be any number.
	f, err := os.Open(path)
	if err != nil {
		return nil, fmt.Errorf("spool: %w", err)
	}
	defer f.Close()
	for {
		names, err := f.Readdirnames(256)
		for _, name := range names {
			if strings.HasPrefix(name, prefix) {
				os.Remove(filepath.Join(path, name))
			}
		}
		if err != nil || len(names) == 0 {
			break
		}
	}
	probe, err := d.make()
	if err != nil {
		return nil, fmt.Errorf("spool: %w", err)
	}
	return d, probe.Close()
}

// make makes a file without a name.
func (d *Dir) make() (*os.File, error) {
	f, err := os.CreateTemp(d.path, prefix)
	if err != nil {
		return nil, err
	}
	if err := os.Remove(f.Name()); err != nil {
		f.Close()
		return nil, err
	}
	return f, nil
}

// Used is how many bytes files hold, and Open how many files there are.
func (d *Dir) Used() (bytes int64, files int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.used, d.open
}

// File is a body of one team. Its Reads and Writes may go side by side, but not two Writes.
type File struct {
	d    *Dir
	team string
	f    *os.File
	held int64
	once sync.Once
}

// Refuse has f say of each file and write whether it is refused although there is room: a fault for tests. nil ends that.
func (d *Dir) Refuse(f func() bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.refuse = f
}

// File makes an empty file for a team.
func (d *Dir) File(team string) (*File, error) {
	if err := d.take(team, 0); err != nil {
		return nil, err
	}
	f, err := d.make()
	if err != nil {
		return nil, err
	}
	d.mu.Lock()
	d.open++
	d.mu.Unlock()
	return &File{d: d, team: team, f: f}, nil
}

// take takes room for n bytes, or for the least where n is 0.
func (d *Dir) take(team string, n int64) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	switch {
	case d.refuse != nil && d.refuse(), d.used+max(n, 1) > d.most:
		return ErrFull
	case d.team > 0 && d.by[team]+max(n, 1) > d.team:
		return ErrTeam
	}
	if n > 0 {
		d.used += n
		d.by[team] += n
	}
	return nil
}

func (d *Dir) give(team string, n int64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.used -= n
	d.open--
	if d.by[team] -= n; d.by[team] == 0 {
		delete(d.by, team)
	}
}

// WriteAt writes where nothing has been written: room is taken for what the file grows by.
func (f *File) WriteAt(p []byte, at int64) (int, error) {
	if more := at + int64(len(p)) - f.held; more > 0 {
		if err := f.d.take(f.team, more); err != nil {
			return 0, err
		}
		f.held += more
	}
	return f.f.WriteAt(p, at)
}

// ReadAt reads what has been written.
func (f *File) ReadAt(p []byte, at int64) (int, error) { return f.f.ReadAt(p, at) }

// Close lets go of the file. It may be called more than once.
func (f *File) Close() (err error) {
	f.once.Do(func() {
		err = f.f.Close()
		f.d.give(f.team, f.held)
	})
	return err
}
