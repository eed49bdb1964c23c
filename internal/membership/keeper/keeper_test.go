package keeper

import (
	"context"
	"fmt"
	"log/slog"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"frostshift/internal/membership"
	"frostshift/internal/membership/belief"
	"frostshift/internal/membership/source"
)

// follow is a keeper whose words are kept, with two sources: a list that stands above, and
// a file.
type follow struct {
	*Keeper
	t    *testing.T
	path string
	mu   sync.Mutex
	goes map[string]membership.Endpoint
	n    int
	// shown is read once the keeper has ended.
	shown []State
	end   func()
}

func start(t *testing.T, specs ...source.Spec) *follow {
	f := &follow{t: t, path: filepath.Join(t.TempDir(), "hosts.json"), goes: map[string]membership.Endpoint{}}
	f.Keeper = New(Config{Specs: append(specs, source.Spec{File: f.path}), Log: slog.New(slog.DiscardHandler), Every: 100 * time.Millisecond,
		Show: func(s State) { f.shown = append(f.shown, s) },
		List: func(l *membership.List) {
			f.mu.Lock()
			defer f.mu.Unlock()
			f.n++
			if l.Snapshot != (f.n == 1) {
				t.Errorf("message %d is a whole list: %v", f.n, l.Snapshot)
			}
			for _, e := range l.Endpoints {
				if e.Status == membership.Left {
					delete(f.goes, e.Name)
				} else {
					f.goes[e.Name] = e
				}
			}
		}})
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { f.Run(ctx); close(done) }()
	f.end = func() { stop(); <-done }
	return f
}

func (f *follow) write(hosts ...string) {
	var list []string
	for _, h := range hosts {
		name, status, _ := strings.Cut(h, " ")
		list = append(list, fmt.Sprintf(`{"name":%q,"address":"127.0.0.1:%d","status":%q}`, name, int(name[0]), status))
	}
	if err := os.WriteFile(f.path, []byte(`{"endpoints":[`+strings.Join(list, ",")+`]}`), 0o600); err != nil {
		f.t.Fatal(err)
	}
	time.Sleep(2 * time.Second) // of the bubble's time
	synctest.Wait()
}

func (f *follow) want(what string, hosts ...string) {
	f.t.Helper()
	synctest.Wait()
	f.mu.Lock()
	defer f.mu.Unlock()
	var got []string
	for _, n := range slices.Sorted(maps.Keys(f.goes)) {
		got = append(got, strings.TrimSuffix(n+" "+f.goes[n].Status, " "+membership.Active))
	}
	if !slices.Equal(got, hosts) {
		f.t.Errorf("%s: goes by %v, want %v", what, got, hosts)
	}
}

func TestKeeper(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := start(t, source.Spec{Static: []membership.Endpoint{{Name: "z", Address: "127.0.0.1:1", Status: membership.Active}}})
		f.write("a", "b", "c", "d")
		f.want("both sources", "a", "b", "c", "d", "z")
		for _, n := range []string{"a", "b", "c", "d", "z", "unknown"} {
			f.Saw(membership.HostID(n), true)
		}
		f.write()
		f.want("an empty file", "a", "b", "c", "d", "z")
		s, ok := f.State()
		if !ok || len(s.Entries) != 1 || len(s.Doubts) != 4 || !s.Sources[0].Spoken || !s.Sources[1].Spoken {
			t.Errorf("state: %+v, %v", s, ok)
		}
		f.Saw(membership.HostID("a"), false)
		time.Sleep(time.Second)
		f.want("a can't be reached", "b", "c", "d", "z")
		f.write("b leaving", "a")
		f.want("b leaves", "a", "b leaving", "c", "d", "z")
		f.write("a", "b", "c", "d")
		f.want("all are back", "a", "b", "c", "d", "z")
		time.Sleep(20 * time.Second) // time vouches for those that came back
		f.Move([]source.Spec{{Static: []membership.Endpoint{{Name: "y", Address: "127.0.0.1:2", Status: membership.Active}}}, {File: f.path}})
		time.Sleep(time.Second)
		f.want("the first source has moved", "a", "b", "c", "d", "y")
		f.write("a", "b", "y leaving")
		f.want("a source below says that y leaves", "a", "b", "c", "d", "y leaving")
		time.Sleep(6 * time.Minute)
		f.want("in the end the list is followed", "a", "b", "y leaving")
		f.end()
		for i, s := range f.shown {
			if i > 0 && s.At.Sub(f.shown[i-1].At) < showEvery {
				t.Errorf("shown again after %v", s.At.Sub(f.shown[i-1].At))
			}
		}
		if last := f.shown[len(f.shown)-1]; last.Believed != 2 || len(last.Entries) != 3 || len(last.Doubts) != 0 || time.Since(last.At) > ViewAge {
			t.Errorf("shown last: %+v", last)
		}
		if n := len(f.seen); n != 3 {
			t.Errorf("%d hosts are watched", n)
		}
		if _, ok := f.State(); ok {
			t.Error("it has a state after its end")
		}
		f.Move([]source.Spec{{}, {}}) // to nobody
	})
}

func TestTwoHostsAtOneAddress(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := start(t, source.Spec{Static: []membership.Endpoint{{Name: "z", Address: "127.0.0.1:97", Status: membership.Active}}})
		f.write("a", "b")
		f.want("z stands above a", "b", "z")
		f.Move([]source.Spec{{Static: []membership.Endpoint{{Name: "z", Address: "127.0.0.1:97", Status: membership.Leaving}}}, {File: f.path}})
		time.Sleep(time.Second)
		f.want("the host leaves by its other name", "b", "z leaving")
		f.Move([]source.Spec{{}, {File: f.path}})
		time.Sleep(time.Second)
		f.want("z has left as announced", "a", "b")
		f.end()
	})
}

// A source that counts its versions anew is heeded in full after a minute, also when nothing
// else is to be looked at.
func TestSourceThatCountsAnew(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := start(t)
		list := func(index int, status string) {
			text := fmt.Sprintf(`{"index":%d,"endpoints":[{"name":"a","address":"127.0.0.1:1","status":%q},{"name":"b","address":"127.0.0.1:2"}]}`, index, status)
			if err := os.WriteFile(f.path, []byte(text), 0o600); err != nil {
				t.Fatal(err)
			}
			time.Sleep(30 * time.Second) // time vouches for b as well
		}
		list(7, "leaving")
		f.want("a leaves", "a leaving", "b")
		list(2, "active")
		f.want("an older list says that it does not", "a leaving", "b")
		time.Sleep(time.Minute)
		f.want("a minute later", "a", "b")
		f.end()
	})
}

// BenchmarkChange is the cost of 100 changes among 10,000 hosts, off the pool's loop.
func BenchmarkChange(b *testing.B) {
	k := New(Config{Specs: []source.Spec{{}}, Belief: belief.Config{}, Log: slog.New(slog.DiscardHandler), List: func(*membership.List) {}})
	list := func(version uint64, whole bool, from, to int, since int64) *membership.List {
		l := &membership.List{Index: &version, Snapshot: whole}
		for i := from; i < to; i++ {
			l.Endpoints = append(l.Endpoints, membership.Endpoint{Name: fmt.Sprint(i), Address: fmt.Sprint(i), Status: membership.Active, SinceMS: since})
		}
		return l
	}
	k.take(news{0, list(1, true, 0, 10000, 0)})
	changes := make([]*membership.List, 100)
	for i := range changes {
		changes[i] = list(2, false, i*100, i*100+100, 0)
	}
	b.ReportAllocs()
	for n := 0; b.Loop(); n++ {
		l := changes[n%100]
		for i := range l.Endpoints {
			l.Endpoints[i].SinceMS++
		}
		k.take(news{0, l})
	}
}
