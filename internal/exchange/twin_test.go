package exchange

import (
	"fmt"
	"sync"
	"testing"
	"testing/synctest"

	"frostshift"
)

// noteForwarder passes notes to another exchange at once.
type noteForwarder struct {
	mu sync.Mutex
	to *Exchange
}

func (w *noteForwarder) Note(text []byte) {
	go func() { // the sender holds a lock
		w.mu.Lock()
		defer w.mu.Unlock()
		w.to.ApplyNotes(text)
	}()
}

// Sibling processes share one register: an id that is open in one is a duplicate in the other, a lost
// request of one is known as lost in the other, and requests that were open in a process that has
// gone may have run.
func TestTwinsKeepOneRegister(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		old, next := New(NewClock()), New(NewClock())
		claim := func(x *Exchange, id string) string {
			v, ok := x.claim(id, frostshift.Unsafe)
			synctest.Wait()
			if ok {
				return "taken"
			}
			return fmt.Sprint(v)
		}
		claim(old, "before")
		claim(old, "doubt")
		old.rememberLost("doubt")
		old.releaseID("doubt")
		r := old.Link(&noteForwarder{to: next})
		next.Adopt(&r)
		next.Link(&noteForwarder{to: old})
		for _, c := range []struct {
			x        *Exchange
			id, want string
		}{
			{next, "before", fmt.Sprint(Duplicate)}, {next, "doubt", fmt.Sprint(Failed)}, {next, "new", "taken"}, {old, "new", fmt.Sprint(Duplicate)},
			{old, "later", "taken"}, {next, "later", fmt.Sprint(Duplicate)},
		} {
			if got := claim(c.x, c.id); got != c.want {
				t.Errorf("%s: %s, want %s", c.id, got, c.want)
			}
		}
		old.releaseID("before")
		old.rememberLost("later")
		synctest.Wait()
		if got := claim(next, "before"); got != "taken" {
			t.Errorf("an id that was released in the other process: %s", got)
		}
		next.Link(nil) // the old process is killed with "later" open
		next.Orphan()
		if got := claim(next, "later"); got != fmt.Sprint(Failed) {
			t.Errorf("an id that was open in a killed process: %s", got)
		}
		if _, ok := next.claim("later", frostshift.Safe); !ok {
			t.Error("a safe request was rejected, though it may run again")
		}
	})
}
