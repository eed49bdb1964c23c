package sysfault

import (
	"fmt"
	"os"
	"runtime"
	"strconv"
	"strings"
	"syscall"
	"unsafe"

	"golang.org/x/sys/unix"
)

const (
	launchVariable = "STILESPOOL_FAULTY_CALLS" // numbers of the calls that are decided
	launchSocket   = 3                         // the descriptor of the launcher's end
)

func encode(calls []int) string {
	text := make([]string, len(calls))
	for i, number := range calls {
		text[i] = strconv.Itoa(number)
	}
	return strings.Join(text, ",")
}

// Launch does nothing, unless Prepare has made this process a launcher: then it becomes the program that is to
// be run, or exits with 1. Tests call it ahead of all else.
func Launch() {
	calls, ok := os.LookupEnv(launchVariable)
	if !ok {
		return
	}
	os.Unsetenv(launchVariable)
	err := launch(calls)
	fmt.Fprintln(os.Stderr, "launching:", err)
	os.Exit(1)
}

func launch(text string) error {
	var calls []uint32
	for _, word := range strings.Split(text, ",") {
		number, err := strconv.ParseUint(word, 10, 32)
		if err != nil {
			return err
		}
		calls = append(calls, uint32(number))
	}
	// The filter is of this thread, which then becomes the program.
	runtime.LockOSThread()
	unix.CloseOnExec(launchSocket)
	listener, err := install(calls)
	if err != nil {
		return err
	}
	if err := unix.Sendmsg(launchSocket, []byte{0}, unix.UnixRights(listener), nil, 0); err != nil {
		return os.NewSyscallError("sendmsg", err)
	}
	return os.NewSyscallError("execve", unix.Exec(os.Args[1], os.Args[2:], os.Environ()))
}

// install sets the filter on this thread and gives the descriptor that hears of calls. Where the system can, signals
// wait for a call that has been heard of: one that a signal interrupts is repeated, behind what was decided about it.
func install(calls []uint32) (listener int, err error) {
	if err := unix.Prctl(unix.PR_SET_NO_NEW_PRIVS, 1, 0, 0, 0); err != nil {
		return -1, os.NewSyscallError("prctl", err)
	}
	lines := filter(calls)
	program := unix.SockFprog{Len: uint16(len(lines)), Filter: &lines[0]}
	const listens = unix.SECCOMP_FILTER_FLAG_NEW_LISTENER
	fd, _, failed := setFilter(listens|unix.SECCOMP_FILTER_FLAG_WAIT_KILLABLE_RECV, &program)
	if failed == unix.EINVAL { // before Linux 5.19
		fd, _, failed = setFilter(listens, &program)
	}
	if failed != 0 {
		return -1, os.NewSyscallError("seccomp", failed)
	}
	return int(fd), nil
}

// setFilter is seccomp(2).
func setFilter(flags uintptr, program *unix.SockFprog) (fd, _ uintptr, failed syscall.Errno) {
	return unix.Syscall(unix.SYS_SECCOMP, unix.SECCOMP_SET_MODE_FILTER, flags, uintptr(unsafe.Pointer(program)))
}

// Offsets in struct seccomp_data.
const (
	numberAt = 0
	archAt   = 4
)

// filter lets all calls pass but those of the numbers.
func filter(calls []uint32) []unix.SockFilter {
	const (
		load   = unix.BPF_LD | unix.BPF_W | unix.BPF_ABS
		equal  = unix.BPF_JMP | unix.BPF_JEQ | unix.BPF_K
		result = unix.BPF_RET | unix.BPF_K
	)
	lines := []unix.SockFilter{
		{Code: load, K: archAt},
		{Code: equal, K: auditArch, Jt: 1},
		{Code: result, K: unix.SECCOMP_RET_ALLOW},
		{Code: load, K: numberAt},
	}
	for _, number := range calls {
		lines = append(lines, unix.SockFilter{Code: equal, K: number, Jf: 1}, unix.SockFilter{Code: result, K: unix.SECCOMP_RET_USER_NOTIF})
	}
	return append(lines, unix.SockFilter{Code: result, K: unix.SECCOMP_RET_ALLOW})
}
