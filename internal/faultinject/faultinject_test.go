package faultinject

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"testing"
	"time"

	"frostshift/internal/clustertest"
	"frostshift/internal/sysfault"
)

// program is the binary that all tests play, player the one that plays trials.
var program, player string

func TestMain(m *testing.M) {
	sysfault.Launch()
	os.Exit(func() int {
		dir, err := os.MkdirTemp("", "faultinject")
		if err == nil {
			defer os.RemoveAll(dir)
			program, err = clustertest.Build(context.Background(), dir)
		}
		if err == nil {
			player, err = BuildPlayer(context.Background(), dir)
		}
		if err != nil {
			fmt.Fprintln(os.Stderr, err)
			return 1
		}
		return m.Run()
	}())
}

// play plays a stop of the program. No request may be lost, and some are answered.
func (s Stop) play(t *testing.T) {
	t.Helper()
	s.Program, s.Dir, s.KillLate = program, filepath.Join(t.TempDir(), "run"), 700*time.Millisecond
	r, err := s.Play()
	if err != nil {
		t.Fatal(err)
	}
	for _, lost := range r.Lost {
		t.Error(lost)
	}
	if r.Answered == 0 {
		t.Error("nothing was answered")
	}
	t.Logf("%d answered, %d crossed, ended by itself: %v", r.Answered, r.Crossed, r.Ended)
}

// Requests that are read late in a shutdown have their answer before the kill that the settings allow, beside
// hosts that hang. The kill comes late, for busy machines; cmd/benchmarks plays it sharp.
func TestStopLosesNoRequest(t *testing.T) {
	for seed, longest := range []time.Duration{1500 * time.Millisecond, 1700 * time.Millisecond, 1900 * time.Millisecond} {
		t.Run(longest.String(), func(t *testing.T) {
			t.Parallel()
			Stop{Seed: uint64(seed), Longest: longest}.play(t)
		})
	}
}

// The same where a second process has taken the clients over right ahead of SIGTERM, as in an upgrade: clients
// go on using their connections to the first one up to its kill.
func TestUpgradeLosesNoRequest(t *testing.T) {
	for seed, longest := range []time.Duration{1000 * time.Millisecond, 1400 * time.Millisecond, 1900 * time.Millisecond} {
		t.Run(longest.String(), func(t *testing.T) {
			t.Parallel()
			Stop{Seed: uint64(seed), Longest: longest, Upgrade: true}.play(t)
		})
	}
}

// The same beside system calls that fail for a moment.
func TestStopAmongFailingCalls(t *testing.T) {
	for seed := range uint64(3) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			Stop{Seed: seed, Longest: 1800 * time.Millisecond, Faults: rarely()}.play(t)
		})
	}
}

// Answers that hosts break off, by a reset or before their told end, are never served as whole ones, and unsafe
// requests are not sent again for them. Those that come whole are served, without a length too.
func TestBrokenAnswersAreNotServed(t *testing.T) {
	for seed := range uint64(2) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			r, err := Answers{Program: program, Dir: filepath.Join(t.TempDir(), "run"), Seed: seed, Requests: 60}.Play()
			if err != nil {
				t.Fatal(err)
			}
			for _, wrong := range r.Wrong {
				t.Error(wrong)
			}
			t.Logf("%d served, %d of them without a length, %d refused", r.Served, r.NoLength, r.Refused)
			if r.NoLength == 0 || r.Served == r.NoLength || r.Refused == 0 {
				t.Errorf("%d served, %d of them without a length, %d refused: some of each are drawn", r.Served, r.NoLength, r.Refused)
			}
		})
	}
}
