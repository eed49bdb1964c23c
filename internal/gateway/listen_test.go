package gateway

import (
	"errors"
	"net"
	"os"
	"syscall"
	"testing"
	"testing/synctest"
	"time"
)

// A start on a machine that lacks descriptors or memory for a moment waits for them; one at an address that
// another process has fails at once, and so does one where the lack lasts.
func TestListenOutlastsAShortage(t *testing.T) {
	for _, test := range []struct {
		name  string
		fails int
		with  error
		ok    bool
		took  time.Duration // at most
	}{
		{"a moment without descriptors", 5, syscall.ENFILE, true, listenWithin / 2},
		{"a moment without memory", 5, syscall.ENOBUFS, true, listenWithin / 2},
		{"a lack that lasts", 1 << 20, syscall.EMFILE, false, listenWithin + 2*listenEvery},
		{"an address that is taken", 1, syscall.EADDRINUSE, false, 0},
	} {
		synctest.Test(t, func(t *testing.T) {
			defer func() { listenTCP = net.Listen }()
			listenTCP = func(_, address string) (net.Listener, error) {
				if test.fails--; test.fails >= 0 {
					return nil, &net.OpError{Op: "listen", Net: "tcp", Err: os.NewSyscallError("socket", test.with)}
				}
				return &net.TCPListener{}, nil
			}
			begun := time.Now()
			ln, err := listenAt("127.0.0.1:0")
			if (ln != nil) != test.ok || !test.ok && !errors.Is(err, test.with) {
				t.Errorf("%s: %v, %v", test.name, ln, err)
			}
			if took := time.Since(begun); took > test.took {
				t.Errorf("%s: took %v", test.name, took)
			}
		})
	}
}
