package faultinject

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os/exec"
	"path/filepath"
	"runtime"
	"syscall"
)

// TrialCommand is the argument by which the benchmarks' program plays one trial: see PlayFrom.
const TrialCommand = "trial"

// PlayFrom plays the trial that is read as JSON, writes what it has shown, and returns an exit status.
func PlayFrom(in io.Reader, out io.Writer) int {
	var t Trial
	err := json.NewDecoder(in).Decode(&t)
	var r TrialResult
	if err == nil {
		r, err = t.Play()
	}
	if err != nil {
		r.Wrong = append(r.Wrong, "the trial could not be played: "+err.Error())
	}
	if err := json.NewEncoder(out).Encode(&r); err != nil {
		return 1
	}
	return 0
}

// BuildPlayer builds the program that plays trials into a folder.
func BuildPlayer(ctx context.Context, dir string) (path string, err error) {
	path = filepath.Join(dir, "player")
	out, err := exec.CommandContext(ctx, "go", "build", "-o", path, "frostshift/cmd/benchmarks").CombinedOutput()
	if err != nil {
		return "", fmt.Errorf("building the player: %w\n%s", err, out)
	}
	return path, nil
}

// PlayIn plays the trial in a process of its own, whose clients and hosts share their processor time with nothing else
// of the caller's, such as the race detector.
func (t Trial) PlayIn(ctx context.Context, player string) (r TrialResult, err error) {
	text, err := json.Marshal(&t)
	if err != nil {
		return r, err
	}
	runtime.LockOSThread() // the player gets its signal as the thread that started it ends
	defer runtime.UnlockOSThread()
	cmd := exec.CommandContext(ctx, player, TrialCommand)
	cmd.Stdin = bytes.NewReader(text)
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	out, err := cmd.Output()
	if err != nil {
		return r, fmt.Errorf("the player ended: %w", err)
	}
	return r, json.Unmarshal(out, &r)
}
