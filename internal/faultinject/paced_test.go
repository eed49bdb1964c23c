package faultinject

import (
	"fmt"
	"testing"
	"time"
)

// pacedBeside plays a group of clients that send and have hosts answer at a pace, beside quiet ones.
func pacedBeside(t *testing.T, kind string, n int, lasts time.Duration) {
	t.Helper()
	r := Trial{MemoryMB: 96, Descriptors: 1024, Lasts: lasts, Groups: []Group{{Kind: kind, N: n, From: trialFrom}}}.playIn(t, pacedTurns)
	if r.Others["served"]+r.Others["stopped"]+r.Others["open"] == 0 {
		t.Errorf("none of the requests was played to its end: %v", r.Others)
	}
}

// A long answer whose host rests behind its head begins by its client's time, in any framing.
func TestHostThatRestsBehindItsHeadMakesNoAnswerLate(t *testing.T) {
	pacedBeside(t, "headrests", 20, 5*time.Second)
}

// A host that ends its connection behind the head of a long answer costs its client no answer.
func TestHostThatBreaksBehindItsHeadCostsNoAnswer(t *testing.T) {
	Trial{MemoryMB: 96, Descriptors: 1024, Groups: []Group{{Kind: "headbreaks", N: 5, From: trialFrom}}}.hold(t, pacedTurns)
}

// A long answer whose host rests behind its head begins in time behind a large request that it reads slowly, too.
func TestSlowlyReadRequestsHaveTheirAnswersBegun(t *testing.T) {
	pacedBeside(t, "uploadrests", 20, 6*time.Second)
}

// What a host has written of a long chunk goes on while it rests.
func TestRestWithinAChunkHoldsNothingBack(t *testing.T) {
	pacedBeside(t, "chunkrests", 20, 5*time.Second)
}

// A host that rests for less than it may is not cut off.
func TestLongRestsCutNothingOff(t *testing.T) { pacedBeside(t, "longrests", 20, 13*time.Second) }

// A client that reads a long answer slowly, and never rests, is not cut off.
func TestSteadyReadersAreNotCutOff(t *testing.T) { pacedBeside(t, "steadyreaders", 6, 14*time.Second) }

// A host that reads a long request slowly, and never rests, is not cut off.
func TestSteadyHostsAreNotCutOff(t *testing.T) { pacedBeside(t, "steadyhosts", 6, 14*time.Second) }

// A client that writes a long chunk slowly is not cut off, and nothing of it is held back.
func TestSlowChunksOfClientsGoOn(t *testing.T) { pacedBeside(t, "chunkwriters", 20, 10*time.Second) }

// A client that stops within a request, and stays, has its error or close in time.
func TestStoppedClientsHaveTheirErrorInTime(t *testing.T) {
	pacedBeside(t, "stoppers", 20, 8*time.Second)
}

// pacedSeeds are the trials of drawn paces that are played with the tests; a soak plays more of them.
const pacedSeeds = 3

// Answers and requests that either side writes and reads at any pace, with rests behind any byte, come in time and are
// not cut off.
func TestPacedBodiesKeepTheirTimes(t *testing.T) {
	for seed := range uint64(pacedSeeds) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			Trial{Seed: seed, MemoryMB: 192, Descriptors: 1024, Lasts: 10 * time.Second, Groups: []Group{{Kind: "paced", N: 40, From: trialFrom}}}.playIn(t, pacedTurns)
		})
	}
}
