package faultinject

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"frostshift/internal/fake"
)

// A process whose log nobody reads, or whose reader has gone, serves, answers while it logs, and ends.
func TestNobodyReadsTheLog(t *testing.T) {
	for _, gone := range []bool{false, true} {
		name := map[bool]string{false: "the reader hangs", true: "the reader has gone"}[gone]
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			read, write := fullPipe(t)
			if gone {
				read.Close()
			}
			breaks := func(q *fake.Request) bool { // each is logged
				fake.Reset(q.Conn)
				return false
			}
			g, err := startChanged(program, filepath.Join(t.TempDir(), "run"), time.Second, func(g *gateway) error { g.Stderr = write; return nil }, breaks, breaks)
			if err != nil {
				t.Fatal(err)
			}
			defer g.close()
			for range 20 {
				c, err := net.Dial("tcp", g.Addr)
				if err != nil {
					t.Fatal(err)
				}
				c.SetDeadline(time.Now().Add(answerWithin))
				io.WriteString(c, request(unsafeClass, "logged"))
				if resp, err := http.ReadResponse(bufio.NewReader(c), nil); err != nil || resp.StatusCode == http.StatusOK {
					t.Fatalf("answered %+v, %v", resp, err)
				}
				c.Close()
			}
			g.Signal(syscall.SIGTERM)
			select {
			case <-g.Ended():
			case <-time.After(time.Minute):
				t.Error("it does not end")
			}
		})
	}
}

// fullPipe is a pipe that takes nothing more.
func fullPipe(t *testing.T) (read, write *os.File) {
	t.Helper()
	var ends [2]int
	if err := syscall.Pipe2(ends[:], syscall.O_CLOEXEC|syscall.O_NONBLOCK); err != nil {
		t.Fatal(err)
	}
	for size := 4 << 10; size > 0; size /= 2 {
		for {
			if _, err := syscall.Write(ends[1], make([]byte, size)); err != nil {
				break
			}
		}
	}
	for _, fd := range ends {
		if err := syscall.SetNonblock(fd, false); err != nil {
			t.Fatal(err)
		}
	}
	read, write = os.NewFile(uintptr(ends[0]), "log"), os.NewFile(uintptr(ends[1]), "log")
	t.Cleanup(func() {
		read.Close()
		write.Close()
	})
	return read, write
}
