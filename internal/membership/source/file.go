package source

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"time"

	"frostshift/internal/membership"
)

const maxFile = 64 << 20 // bytes of a file of hosts

// runFile looks at the file until the context ends. It reads it whole at each look where
// size or time have changed: files of hosts are replaced or written over, which no one
// system call notices on every file system. What can't be read or taken changes nothing.
func (t *turn) runFile(ctx context.Context) {
	var last os.FileInfo
	var taken []byte
	said := ""
	tick := time.NewTicker(t.cfg.Every)
	defer tick.Stop()
	for {
		info, text, err := readFile(t.source.File, last)
		switch {
		case err == nil && info != nil:
			var list *membership.List
			if list, err = membership.ParseFile(text); err == nil {
				if taken == nil || !bytes.Equal(text, taken) {
					err = t.take(list)
				}
				taken, last, said = text, info, ""
			}
		case err == nil:
			said = ""
		}
		if errors.Is(err, errMoved) {
			return
		}
		if err != nil && err.Error() != said { // once, not at every look
			t.cfg.Log.Warn("file of hosts not taken, the old list stands", "file", t.source.File, "err", err)
			said = err.Error()
		}
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}

// readFile reads the file if it is not as it was at the last look that succeeded.
func readFile(path string, last os.FileInfo) (os.FileInfo, []byte, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, nil, err
	}
	defer f.Close()
	info, err := f.Stat()
	if err != nil {
		return nil, nil, err
	}
	// One that was changed a moment ago may change again within the clock's grain.
	if last != nil && os.SameFile(info, last) && info.Size() == last.Size() &&
		info.ModTime().Equal(last.ModTime()) && time.Since(info.ModTime()) > time.Second {
		return nil, nil, nil
	}
	if !info.Mode().IsRegular() {
		return nil, nil, fmt.Errorf("%s is not a regular file", path)
	}
	text, err := io.ReadAll(io.LimitReader(f, maxFile+1))
	if err == nil && len(text) > maxFile {
		err = fmt.Errorf("longer than %d bytes", maxFile)
	}
	return info, text, err
}
