package faultinject

import (
	"fmt"
	"path/filepath"
	"testing"
	"time"
)

// soakSeeds are the soaks that are played with the tests; benchmarks soak plays more of them, with the kill at its
// earliest.
const soakSeeds = 4

// Drawn groups of hostile clients, crowds, kills, stops, reloads and upgrades break no rule, within the limits.
func TestSoak(t *testing.T) {
	for seed := range uint64(soakSeeds) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			trialTurns <- struct{}{}
			defer func() { <-trialTurns }()
			s := DrawSoak(seed, 8*time.Second)
			s.Program, s.Dir, s.KillLate = program, filepath.Join(t.TempDir(), "run"), 700*time.Millisecond
			r, err := s.PlayIn(t.Context(), player)
			if err != nil {
				t.Fatalf("%v: %v", s, err)
			}
			for _, wrong := range r.Wrong {
				t.Error(wrong)
			}
			t.Logf("%v: peak %.0f MB, slowest %v, latest %v, quiet %v, others %v", s, r.PeakMB, r.Slowest, r.Latest, r.Quiet, r.Others)
			if r.Quiet["served"] == 0 {
				t.Error("no quiet client is served")
			}
		})
	}
}
