package moves

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"io/fs"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"frostshift/internal/shift"
)

// SocketName is the operator's socket in the folder of a gateway: HTTP, mode 0600.
//
//	GET  /moves               all of them, as a list of shift.Status
//	POST /moves/NAME/WORD     pause, resume or undo
const SocketName = "control.sock"

// words of an operator.
var words = map[string]shift.Cause{"pause": shift.Pause, "resume": shift.Resume, "undo": shift.Back}

// Status is all moves by name.
func (s *Set) Status() (list []shift.Status) {
	for _, v := range s.all() {
		v.mu.Lock()
		list = append(list, v.m.Status(v.clock.Now()))
		v.mu.Unlock()
	}
	slices.SortFunc(list, func(x, y shift.Status) int { return strings.Compare(x.Name, y.Name) })
	return list
}

// ErrUnknown says that there is no such move.
var ErrUnknown = errors.New("there is no such move")

// Tell gives a move an operator's word.
func (s *Set) Tell(name string, c shift.Cause) error {
	s.mu.Lock()
	v := s.moves[name]
	s.mu.Unlock()
	if v == nil {
		return ErrUnknown
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	err := v.m.Tell(v.clock.Now(), c)
	list := v.m.Decisions()
	for i := range list {
		tell(s.cfg.Log, v.m.Plan(), &list[i])
	}
	return err
}

// Control serves the operator's socket in the set's folder until the context ends.
func (s *Set) Control(ctx context.Context) error {
	path := filepath.Join(s.dir().Path(), SocketName)
	// One that is left over is nobody's: the folder is this process's alone.
	if err := os.Remove(path); err != nil && !errors.Is(err, fs.ErrNotExist) {
		return err
	}
	// The folder is 0700 and the socket made in it; the mode is for folders that are not.
	ln, err := net.Listen("unix", path)
	if err != nil {
		return err
	}
	if err := os.Chmod(path, 0o600); err != nil {
		ln.Close()
		return err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /moves", func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		json.NewEncoder(w).Encode(s.Status())
	})
	mux.HandleFunc("POST /moves/{name}/{word}", func(w http.ResponseWriter, r *http.Request) {
		c, ok := words[r.PathValue("word")]
		if !ok {
			http.Error(w, "pause, resume or undo", http.StatusNotFound)
			return
		}
		switch err := s.Tell(r.PathValue("name"), c); {
		case errors.Is(err, ErrUnknown):
			http.Error(w, err.Error(), http.StatusNotFound)
		case err != nil:
			http.Error(w, err.Error(), http.StatusConflict)
		default:
			io.WriteString(w, "ok\n")
		}
	})
	const patience = 5 * time.Second
	server := &http.Server{Handler: mux, ReadTimeout: patience, WriteTimeout: patience, IdleTimeout: patience, MaxHeaderBytes: 8 << 10}
	stop := context.AfterFunc(ctx, func() { server.Close() })
	defer stop()
	if err := server.Serve(ln); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

// Dial returns a client of the socket in a folder.
func Dial(dir string) *http.Client {
	return &http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{DisableKeepAlives: true,
		DialContext: func(ctx context.Context, _, _ string) (net.Conn, error) {
			var d net.Dialer
			return d.DialContext(ctx, "unix", filepath.Join(dir, SocketName))
		}}}
}
