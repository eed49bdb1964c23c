package gateway

import (
	"bytes"
	"encoding/json"
	"errors"
	"io/fs"
	"os"
	"path/filepath"

	"frostshift/internal/config"
	"frostshift/internal/hotrestart"
)

// bansFile is where the hosts that are out are kept: beside the socket, or in the folder for
// what is remembered.
func bansFile(m *config.Model) string {
	switch {
	case m.HotRestart != "":
		return m.HotRestart + ".out"
	case m.State != "":
		return filepath.Join(m.State, "hosts.out")
	}
	return ""
}

// writeBans writes them.
func (s *hotRestart) writeBans() error {
	if s.file == "" {
		return nil
	}
	s.files.Lock()
	defer s.files.Unlock()
	g := s.gateway
	k := knowledge{Version: stateVersion}
	k.bans(g)
	text, err := json.Marshal(&k)
	if err != nil {
		return err
	}
	fresh := s.file + ".new"
	if err = os.WriteFile(fresh, hotrestart.AppendFrame(nil, hotrestart.State, text), 0o600); err == nil {
		err = os.Rename(fresh, s.file)
	}
	return err
}

// readBans reads them; what is damaged is no file.
func (s *hotRestart) readBans() {
	g := s.gateway
	if s.file == "" {
		return
	}
	text, err := os.ReadFile(s.file)
	if errors.Is(err, fs.ErrNotExist) {
		return
	}
	var k knowledge
	if err == nil {
		_, text, err = hotrestart.ReadFrame(bytes.NewReader(text))
	}
	if err == nil {
		err = json.Unmarshal(text, &k)
	}
	if err != nil || k.Version != stateVersion {
		g.log.Warn("the file of hosts that are out can't be read, none is", "file", s.file, "err", err)
		return
	}
	k.ban(g)
}
