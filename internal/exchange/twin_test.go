package exchange

import (
	"fmt"
	"sync"
	"testing"
	"testing/synctest"

	"frostshift"
)

// wire hands notes to another exchange at once.
type wire struct {
	mu sync.Mutex
	to *Exchange
}

func (w *wire) Note(text []byte) {
	go func() { // a lock of the sender is held
		w.mu.Lock()
		defer w.mu.Unlock()
		w.to.ApplyNotes(text)
	}()
}

// Two processes keep one register: an id open in one is a duplicate in the other, one in doubt
// is in doubt there, and what was open in one that has gone may have run.
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
		r := old.Link(&wire{to: next})
		next.Adopt(&r)
		next.Link(&wire{to: old})
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
			t.Errorf("it has ended there: %s", got)
		}
		next.Link(nil) // the old one is killed with "later" open
		next.Orphan()
		if got := claim(next, "later"); got != fmt.Sprint(Failed) {
			t.Errorf("open where nobody will say: %s", got)
		}
		if _, ok := next.claim("later", frostshift.Safe); !ok {
			t.Error("a safe one may run again")
		}
	})
}
