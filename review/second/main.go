//go:build review

// Command second plays the cases 6 to 10 of the review: it starts gateways as separate processes, stands in for
// clients, hosts and the host list on loopback addresses, and judges what those can see.
//
//	second CASE FOLDER
//
// It runs from the root of the repository and writes record.txt into FOLDER. Exit status: 0 the rule held, 1 it was
// broken, 2 the case could not run. TROUBLE=0 leaves the disruption out.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// longest bounds a case: a script may run for 120 seconds.
const longest = 100 * time.Second

var cases = map[string]func(*run) error{}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: second CASE FOLDER")
		os.Exit(2)
	}
	os.Exit(play(cases[os.Args[1]], os.Args[2]))
}

// play runs a case and returns the exit status.
func play(f func(*run) error, folder string) int {
	record, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer record.Close()
	dir, err := os.MkdirTemp("", "second-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer os.RemoveAll(dir)
	r := &run{dir: dir, record: record, trouble: os.Getenv("TROUBLE") != "0", began: time.Now()}
	defer r.end()
	r.note("trouble %v", r.trouble)
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, os.Interrupt)
	done := make(chan error, 1)
	go func() { done <- f(r) }()
	select {
	case err = <-done:
	case <-time.After(longest):
		err = fmt.Errorf("it took longer than %v", longest)
	case s := <-stop:
		err = fmt.Errorf("stopped by %v", s)
	}
	return r.verdict(err)
}
