package gateway

import (
	"bytes"
	"encoding/json"
	"errors"
	"io/fs"
	"os"
	"path/filepath"
	"time"

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

// writeBansEvery is how often it is tried again to write them.
const writeBansEvery = 500 * time.Millisecond

// keepBans writes the hosts that are out, and goes on trying where that fails, up to the gateway's end: operators have
// their yes, which a restart is held to as well.
func (g *Gateway) keepBans() {
	s := g.restart
	err := s.writeBans()
	if err == nil || !s.retrying.CompareAndSwap(false, true) {
		return
	}
	g.log.Warn("hosts that are out are not kept for a restart yet", "err", err)
	g.running.Go(func() {
		again := time.NewTicker(writeBansEvery)
		defer again.Stop()
		for last := false; !last; {
			select {
			case <-again.C:
			case <-g.ended:
				last = true
			}
			s.retrying.Store(false) // a call that comes now fails before this write, or is written by it
			if err = s.writeBans(); err == nil {
				g.log.Info("hosts that are out are kept for a restart again")
				return
			}
			if !s.retrying.CompareAndSwap(false, true) {
				return // a later call goes on
			}
		}
		g.log.Error("hosts that are out are not kept for a restart", "err", err)
	})
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
