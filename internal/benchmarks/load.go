package benchmarks

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// answerSize is the length of a host's answers.
const answerSize = 1 << 10

// startHosts starts lean hosts: they answer each request with the same bytes and read no
// more of it than its end, so that they cost less than what is measured.
func startHosts(n int) (addresses []string, stop func(), err error) {
	answer := fmt.Appendf(nil, "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: %d\r\n\r\n%s", answerSize, strings.Repeat("x", answerSize))
	var listeners []net.Listener
	stop = func() {
		for _, ln := range listeners {
			ln.Close()
		}
	}
	for range n {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			stop()
			return nil, nil, err
		}
		listeners = append(listeners, ln)
		addresses = append(addresses, ln.Addr().String())
		go func() {
			for {
				c, err := ln.Accept()
				if err != nil {
					return
				}
				go answerAll(c, answer)
			}
		}()
	}
	return addresses, stop, nil
}

func answerAll(c net.Conn, answer []byte) {
	defer c.Close()
	buf := make([]byte, 16<<10)
	have := 0
	for {
		n, err := c.Read(buf[have:])
		if err != nil {
			return
		}
		have += n
		for {
			end := bytes.Index(buf[:have], []byte("\r\n\r\n"))
			if end < 0 {
				break
			}
			have = copy(buf, buf[end+4:have])
			if _, err := c.Write(answer); err != nil {
				return
			}
		}
		if have == len(buf) {
			return
		}
	}
}

// load is what a run of clients saw.
type load struct {
	requests int64
	failed   int64
	took     time.Duration
}

func (l load) rate() float64 { return float64(l.requests) / l.took.Seconds() }

// drive runs clients against an address for a time; each holds one connection and asks
// again as soon as it has its answer. Paths are dealt out to clients in turn.
func drive(addr string, clients int, length time.Duration, paths ...string) (load, error) {
	var done, failed atomic.Int64
	var all sync.WaitGroup
	errs := make(chan error, clients)
	began := time.Now()
	end := began.Add(length)
	for i := range clients {
		request := fmt.Appendf(nil, "GET %s HTTP/1.1\r\nHost: app.svc\r\n\r\n", paths[i%len(paths)])
		all.Go(func() {
			err := client(addr, request, end, func(_ time.Duration, ok bool) {
				done.Add(1)
				if !ok {
					failed.Add(1)
				}
			})
			if err != nil {
				errs <- err
			}
		})
	}
	all.Wait()
	l := load{requests: done.Load(), failed: failed.Load(), took: time.Since(began)}
	select {
	case err := <-errs:
		return l, err
	default:
		return l, nil
	}
}

// client asks over one connection, again as soon as it has its answer, and tells how long
// each request took and whether it was served.
func client(addr string, request []byte, end time.Time, tell func(took time.Duration, ok bool)) error {
	c, err := net.Dial("tcp", addr)
	if err != nil {
		return err
	}
	defer c.Close()
	in := bufio.NewReader(c)
	for began := time.Now(); began.Before(end); began = time.Now() {
		c.SetDeadline(end.Add(5 * time.Second))
		if _, err := c.Write(request); err != nil {
			return err
		}
		ok, err := receive(in)
		if err != nil {
			return err
		}
		tell(time.Since(began), ok)
	}
	return nil
}

// receive reads one answer that has a Content-Length and says whether it was 200.
func receive(in *bufio.Reader) (ok bool, err error) {
	length := -1
	for first := true; ; first = false {
		line, err := in.ReadSlice('\n')
		if err != nil {
			return false, err
		}
		line = bytes.TrimRight(line, "\r\n")
		switch {
		case first:
			ok = bytes.Contains(line, []byte(" 200"))
		case len(line) == 0:
			if length < 0 {
				return false, errors.New("an answer without a length")
			}
			_, err := in.Discard(length)
			return ok, err
		case len(line) > 15 && bytes.EqualFold(line[:15], []byte("Content-Length:")):
			if length, err = strconv.Atoi(string(bytes.TrimSpace(line[15:]))); err != nil {
				return false, err
			}
		}
	}
}

// child is a program under measurement, as a process of its own.
type child struct {
	cmd  *exec.Cmd
	in   io.WriteCloser
	addr string
}

// startChild starts a child with so many cores, tells it its arguments, a line each, and
// learns where it listens.
func startChild(name string, cores int, args ...string) (*child, error) {
	self, err := os.Executable()
	if err != nil {
		return nil, err
	}
	c := &child{cmd: exec.Command(self)}
	c.cmd.Env = append(os.Environ(), childVariable+"="+name, fmt.Sprintf("GOMAXPROCS=%d", cores))
	c.cmd.Stderr = os.Stderr
	if c.in, err = c.cmd.StdinPipe(); err != nil {
		return nil, err
	}
	out, err := c.cmd.StdoutPipe()
	if err != nil {
		return nil, err
	}
	if err := c.cmd.Start(); err != nil {
		return nil, err
	}
	fmt.Fprintln(c.in, strings.Join(args, "\n")+"\n.")
	line, err := bufio.NewReader(out).ReadString('\n')
	if err != nil {
		c.end()
		return nil, fmt.Errorf("child %s: %w", name, err)
	}
	c.addr = strings.TrimSpace(line)
	return c, nil
}

// end ends the child: its input closes.
func (c *child) end() {
	c.in.Close()
	ended := time.AfterFunc(5*time.Second, func() { c.cmd.Process.Kill() })
	defer ended.Stop()
	c.cmd.Wait()
}

// cpu is what the child has used so far.
func (c *child) cpu() (time.Duration, error) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", c.cmd.Process.Pid))
	if err != nil {
		return 0, err
	}
	fields := strings.Fields(string(text[bytes.LastIndexByte(text, ')')+1:]))
	if len(fields) < 13 {
		return 0, errors.New("the system tells no CPU times")
	}
	user, err1 := strconv.Atoi(fields[11])
	system, err2 := strconv.Atoi(fields[12])
	const tick = 10 * time.Millisecond // USER_HZ is 100 wherever Go runs on Linux
	return time.Duration(user+system) * tick, errors.Join(err1, err2)
}

// childArgs reads what startChild told, and gives a channel that is closed when the
// parent is gone.
func childArgs() (args []string, gone <-chan struct{}) {
	in := bufio.NewScanner(os.Stdin)
	for in.Scan() && in.Text() != "." {
		args = append(args, in.Text())
	}
	end := make(chan struct{})
	go func() {
		for in.Scan() {
		}
		close(end)
	}()
	return args, end
}
