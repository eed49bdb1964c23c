package asynclog

import (
	"errors"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"
)

// reader is a reader of a log that takes a line when the test lets it.
type reader struct {
	lines []string
	takes chan struct{}
	err   error
}

func (r *reader) Write(b []byte) (int, error) {
	<-r.takes
	r.lines = append(r.lines, string(b))
	return len(b), r.err
}

// Nobody who logs waits for a reader that hangs: what it holds is bounded, and what is lost is counted for it.
func TestReaderThatHangsCostsLines(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := &reader{takes: make(chan struct{})}
		w := New(r, 30) // three lines
		begun := time.Now()
		for n := range 8 {
			fmt.Fprintf(w, "line %03d\n", n) // nine bytes
		}
		synctest.Wait()
		close(r.takes)
		synctest.Wait()
		fmt.Fprint(w, "the last\n")
		w.Close(time.Minute)
		want := []string{"line 000\n", "line 001\n", "line 002\n", "log: 5 lines were lost, as nobody read them\n", "the last\n"}
		if strings.Join(r.lines, "") != strings.Join(want, "") || time.Since(begun) > 0 {
			t.Errorf("read %q after %v", r.lines, time.Since(begun))
		}
	})
}

// Close waits for what is held, and for a reader that hangs no longer than it is told. A reader that fails is
// tried with each line.
func TestCloseWaitsForWhatIsHeld(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := &reader{takes: make(chan struct{}), err: errors.New("broken pipe")}
		w := New(r, 100)
		fmt.Fprint(w, "one\n")
		fmt.Fprint(w, "two\n")
		begun := time.Now()
		w.Close(time.Second)
		if time.Since(begun) != time.Second {
			t.Errorf("closed after %v", time.Since(begun))
		}
		go func() {
			time.Sleep(time.Second)
			close(r.takes)
		}()
		w.Close(time.Minute)
		if d := time.Since(begun); d != 2*time.Second || len(r.lines) != 2 {
			t.Errorf("closed after %v, %q read", d, r.lines)
		}
	})
}
