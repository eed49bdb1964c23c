// Package save keeps what a gateway must know after a restart in one file of a folder that
// lasts: named parts, each with a version and a checksum of its own. It knows nothing of what
// the parts hold.
//
// A file is written beside the old one and renamed, with file and folder synced; the one
// before stays as a second generation. Whoever reads gets the newest file that is whole.
package save

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"hash/crc32"
	"io"
	"io/fs"
	"os"
	"path/filepath"
	"strings"
	"syscall"
)

// Part is one thing that is kept.
type Part struct {
	Name    string // without spaces
	Version int    // of what Data looks like
	Data    []byte
}

const (
	magic    = "stilespool state 1"
	fileName = "state"
	before   = ".1"
	// mostBytes bounds a file: what is longer is damage, or would be.
	mostBytes = 64 << 20
	mostParts = 1000
)

// sum is the checksum of a part, its name and version included.
func (p *Part) sum() uint32 {
	head := crc32.Checksum(fmt.Appendf(nil, "%s %d ", p.Name, p.Version), castagnoli)
	return crc32.Update(head, castagnoli, p.Data)
}

// head is the line before a part.
func (p *Part) head() string {
	return fmt.Sprintf("part %s %d %d %08x", p.Name, p.Version, len(p.Data), p.sum())
}

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// ErrTaken says that another process has the folder.
var ErrTaken = errors.New("another process has the folder")

// Dir is a folder that this process alone writes. Its methods may be called from one
// goroutine at a time.
type Dir struct {
	path string
	lock *os.File
}

// Open takes a folder, and makes it if there is none. It fails with ErrTaken if another
// process has it.
func Open(path string) (*Dir, error) {
	if err := os.MkdirAll(path, 0o700); err != nil {
		return nil, err
	}
	lock, err := os.OpenFile(filepath.Join(path, "lock"), os.O_RDWR|os.O_CREATE, 0o600)
	if err != nil {
		return nil, err
	}
	if err := syscall.Flock(int(lock.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		lock.Close()
		if errors.Is(err, syscall.EWOULDBLOCK) {
			err = ErrTaken
		}
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return &Dir{path, lock}, nil
}

// Path is the folder.
func (d *Dir) Path() string { return d.path }

// Close lets go of the folder.
func (d *Dir) Close() error { return d.lock.Close() }

// Write puts parts in the place of those that are kept. With an error the old ones are kept.
func (d *Dir) Write(parts []Part) error {
	var b bytes.Buffer
	fmt.Fprintln(&b, magic)
	for _, p := range parts {
		if p.Name == "" || strings.ContainsAny(p.Name, " \n") {
			return fmt.Errorf("a part can't be called %q", p.Name)
		}
		fmt.Fprintln(&b, p.head())
		b.Write(p.Data)
		b.WriteByte('\n')
	}
	fmt.Fprintf(&b, "end %d\n", len(parts))
	if b.Len() > mostBytes {
		return fmt.Errorf("%d bytes are more than %d", b.Len(), mostBytes)
	}
	f, err := os.CreateTemp(d.path, ".part-*") // 0600
	if err != nil {
		return err
	}
	defer os.Remove(f.Name())
	_, err = f.Write(b.Bytes())
	if err == nil {
		err = f.Sync()
	}
	if closed := f.Close(); err == nil {
		err = closed
	}
	if err != nil {
		return err
	}
	path := filepath.Join(d.path, fileName)
	if err := os.Remove(path + before); err != nil && !errors.Is(err, fs.ErrNotExist) {
		return err
	}
	if err := os.Link(path, path+before); err != nil && !errors.Is(err, fs.ErrNotExist) {
		return err
	}
	if err := os.Rename(f.Name(), path); err != nil {
		return err
	}
	folder, err := os.Open(d.path)
	if err != nil {
		return err
	}
	defer folder.Close()
	return folder.Sync()
}

// Kept is what was found in a folder.
type Kept struct {
	Parts []Part
	// Older says that the newest file is damaged, and these are of the one before it.
	Older bool
	// Damage is what is wrong with files that could not be read; nil: nothing.
	Damage error
}

// Read gives what is kept; without any parts there is nothing that can be read.
func (d *Dir) Read() (k Kept) {
	path := filepath.Join(d.path, fileName)
	for i, p := range []string{path, path + before} {
		parts, err := readFile(p)
		if err == nil {
			k.Parts, k.Older = parts, i > 0 && k.Damage != nil
			return k
		}
		if !errors.Is(err, fs.ErrNotExist) {
			k.Damage = errors.Join(k.Damage, fmt.Errorf("%s: %w", p, err))
		}
	}
	return k
}

// Look reads a folder that another process may have.
func Look(path string) Kept { return (&Dir{path: path}).Read() }

// Aside keeps what can't be read for people, where writing would replace it.
func (d *Dir) Aside() {
	for _, name := range []string{fileName, fileName + before} {
		path := filepath.Join(d.path, name)
		os.Remove(path + ".unread")
		os.Link(path, path+".unread") // at best: it is only for people
	}
}

func readFile(path string) ([]Part, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	if info, err := f.Stat(); err != nil || info.Size() > mostBytes || !info.Mode().IsRegular() {
		return nil, errors.Join(err, errors.New("it is no file of this kind"))
	}
	return Decode(f)
}

// Decode reads parts as Write writes them. Whatever is wrong with one is an error: what is
// left of a damaged file tells nothing of what is missing.
func Decode(r io.Reader) (parts []Part, err error) {
	in := bufio.NewReader(io.LimitReader(r, mostBytes+1))
	line := func() (string, error) {
		text, err := in.ReadSlice('\n')
		if err != nil {
			return "", fmt.Errorf("part %d: it is cut off", len(parts)+1)
		}
		return string(text[:len(text)-1]), nil
	}
	head, err := line()
	if err != nil {
		return nil, err
	}
	if head != magic {
		return nil, fmt.Errorf("it begins with %.40q and not with %q", head, magic)
	}
	for {
		text, err := line()
		if err != nil {
			return nil, err
		}
		var n int
		if _, err := fmt.Sscanf(text, "end %d", &n); err == nil {
			if n != len(parts) {
				return nil, fmt.Errorf("it has %d parts and says %d", len(parts), n)
			}
			if _, err := in.ReadByte(); err != io.EOF {
				return nil, errors.New("there is more behind its end")
			}
			return parts, nil
		}
		var p Part
		var sum uint32
		if _, err := fmt.Sscanf(text, "part %s %d %d %x", &p.Name, &p.Version, &n, &sum); err != nil || n < 0 || n > mostBytes || len(parts) == mostParts {
			return nil, fmt.Errorf("part %d: %.80q is no head of a part", len(parts)+1, text)
		}
		data, err := io.ReadAll(io.LimitReader(in, int64(n)))
		if err != nil || len(data) < n {
			return nil, fmt.Errorf("part %q is cut off", p.Name)
		}
		if c, err := in.ReadByte(); err != nil || c != '\n' || (&Part{p.Name, p.Version, data}).sum() != sum {
			return nil, fmt.Errorf("part %q is damaged", p.Name)
		}
		if p.Data = data; p.head() != text { // the same figures in other letters
			return nil, fmt.Errorf("part %q is damaged", p.Name)
		}
		parts = append(parts, p)
	}
}
