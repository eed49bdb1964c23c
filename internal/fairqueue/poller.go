package fairqueue

import (
	"encoding/binary"
	"os"
	"syscall"

	"golang.org/x/sys/unix"
)

// poller lets a goroutine go on behind all sockets that are ready. The runtime looks for these only when no goroutine
// can run, and otherwise every 10 ms: one that yields with runtime.Gosched goes on ahead of them.
type poller struct {
	file *os.File // an event counter (eventfd(2)) that is 0
	raw  syscall.RawConn
}

// newPoller returns a poller, or nil where the system has no descriptor for it.
func newPoller() *poller {
	fd, err := unix.Eventfd(0, unix.EFD_NONBLOCK|unix.EFD_CLOEXEC)
	if err != nil {
		return nil
	}
	file := os.NewFile(uintptr(fd), "eventfd")
	raw, err := file.SyscallConn()
	if err != nil {
		file.Close()
		return nil
	}
	return &poller{file: file, raw: raw}
}

// pass makes the counter readable and waits, in the runtime's network poller, to be told so.
func (p *poller) pass() {
	var count [8]byte
	binary.NativeEndian.PutUint64(count[:], 1)
	written := false
	p.raw.Read(func(fd uintptr) bool {
		if !written {
			written = true
			_, err := unix.Write(int(fd), count[:])
			return err != nil
		}
		unix.Read(int(fd), count[:])
		return true
	})
}
