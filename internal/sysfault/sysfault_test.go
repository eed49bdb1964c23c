package sysfault

import (
	"errors"
	"fmt"
	"net"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

const childVariable = "SYSFAULT_TEST_CHILD"

// child dials, copies and writes files as its arguments say, and prints how each ended.
func child() {
	for _, arg := range os.Args[1:] {
		var err error
		if address, ok := strings.CutPrefix(arg, "dial "); ok {
			var c net.Conn
			if c, err = net.Dial("tcp", address); err == nil {
				_, err = c.Write([]byte("x"))
				c.Close()
			}
		} else if from, to, ok := strings.Cut(arg, " to "); ok {
			var b []byte
			if b, err = os.ReadFile(from); err == nil {
				err = os.WriteFile(to, b, 0o600)
			}
		} else {
			err = os.WriteFile(arg, []byte("x"), 0o600)
		}
		var number syscall.Errno
		errors.As(err, &number)
		fmt.Println(int(number))
	}
}

func TestMain(m *testing.M) {
	Launch()
	if os.Getenv(childVariable) != "" {
		child()
		return
	}
	os.Exit(m.Run())
}

// play runs the child and gives the errors that it met.
func play(t *testing.T, decide Decide, calls []int, args ...string) (met []string) {
	t.Helper()
	self, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	cmd := exec.Command(self, args...)
	cmd.Env = append(os.Environ(), childVariable+"=1")
	var out strings.Builder
	cmd.Stdout, cmd.Stderr = &out, os.Stderr
	s, err := Prepare(cmd, decide, calls...)
	if err != nil {
		t.Fatal(err)
	}
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	if err := s.Follow(cmd); err != nil {
		t.Fatal(err)
	}
	if err := cmd.Wait(); err != nil {
		t.Fatal(err)
	}
	if err := s.Close(); err != nil {
		t.Fatal(err)
	}
	return strings.Fields(out.String())
}

// Calls fail with the errors that are decided, by where they go, and all others go on.
func TestCallsFailAsDecided(t *testing.T) {
	var listeners [2]net.Listener
	var addresses [2]netip.AddrPort
	for i := range listeners {
		ln, err := net.Listen("tcp4", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		defer ln.Close()
		listeners[i], addresses[i] = ln, ln.Addr().(*net.TCPAddr).AddrPort()
	}
	file := filepath.Join(t.TempDir(), "file")
	connects := 0
	decide := func(c *Call) Outcome {
		switch {
		case c.Number == unix.SYS_CONNECT && c.Target() == addresses[0]:
			if connects++; connects == 2 {
				return Outcome{Error: unix.ENETUNREACH}
			}
		case c.Number == unix.SYS_WRITE && c.Peer() == addresses[1]:
			return Outcome{Error: unix.ETIMEDOUT}
		}
		return Outcome{}
	}
	first, second := "dial "+addresses[0].String(), "dial "+addresses[1].String()
	met := play(t, decide, []int{unix.SYS_CONNECT, unix.SYS_WRITE}, first, first, first, second, file)
	want := []string{"0", fmt.Sprint(int(unix.ENETUNREACH)), "0", fmt.Sprint(int(unix.ETIMEDOUT)), "0"}
	if fmt.Sprint(met) != fmt.Sprint(want) {
		t.Errorf("met %v, want %v", met, want)
	}
	if b, err := os.ReadFile(file); err != nil || string(b) != "x" {
		t.Errorf("a file that nothing was decided about: %q, %v", b, err)
	}
}

// Reads and writes that take less than they ask for lose nothing of what a program goes on with.
func TestShortReadsAndWrites(t *testing.T) {
	from, to := filepath.Join(t.TempDir(), "from"), filepath.Join(t.TempDir(), "to")
	text := strings.Repeat("0123456789", 50)
	if err := os.WriteFile(from, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	short := 0
	decide := func(c *Call) Outcome {
		if c.Args[2] > 7 && c.Args[0] > 2 {
			short++
			return Outcome{Bytes: 7}
		}
		return Outcome{}
	}
	if met := play(t, decide, []int{unix.SYS_READ, unix.SYS_WRITE}, from+" to "+to); len(met) != 1 || met[0] != "0" {
		t.Errorf("met %v", met)
	}
	if b, err := os.ReadFile(to); err != nil || string(b) != text {
		t.Errorf("copied %q, %v", b, err)
	}
	if short < 2*len(text)/7 {
		t.Errorf("%d calls were short", short)
	}
}

// A signal that comes while a write is decided about makes it no second one.
func TestSignalsRepeatNoWrite(t *testing.T) {
	from, to := filepath.Join(t.TempDir(), "from"), filepath.Join(t.TempDir(), "to")
	text := strings.Repeat("0123456789", 50)
	if err := os.WriteFile(from, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	writes := 0
	decide := func(c *Call) Outcome {
		if c.Args[2] <= 7 || c.Args[0] <= 2 {
			return Outcome{}
		}
		if writes++; writes%2 == 0 {
			return Outcome{}
		}
		if err := unix.Tgkill(processOf(t, c.thread), c.thread, unix.SIGURG); err != nil {
			t.Error(err)
		}
		time.Sleep(time.Millisecond) // the signal has arrived
		return Outcome{Bytes: 7}
	}
	if met := play(t, decide, []int{unix.SYS_WRITE}, from+" to "+to); len(met) != 1 || met[0] != "0" {
		t.Errorf("met %v", met)
	}
	if b, err := os.ReadFile(to); err != nil || string(b) != text {
		t.Errorf("copied %q, %v", b, err)
	}
	if writes == 0 {
		t.Error("nothing was decided")
	}
}

// processOf is the process of a thread.
func processOf(t *testing.T, thread int) (process int) {
	t.Helper()
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", thread))
	if err != nil {
		t.Error(err)
	}
	_, rest, _ := strings.Cut(string(status), "\nTgid:")
	fmt.Sscan(rest, &process)
	return process
}

// A program that can't be run is told of, and leaves nothing behind.
func TestNoProgram(t *testing.T) {
	cmd := exec.Command(filepath.Join(t.TempDir(), "none"))
	s, err := Prepare(cmd, func(*Call) Outcome { return Outcome{} }, unix.SYS_CONNECT)
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	s.Follow(cmd)
	var exit *exec.ExitError
	if err := cmd.Wait(); !errors.As(err, &exit) || exit.ExitCode() != 1 {
		t.Errorf("ended with %v", err)
	}
}
