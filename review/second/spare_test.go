//go:build review

package main

import (
	"os/exec"
	"testing"
)

// The plays that are no cases; they want the same programs as the scripts.

func TestDrainBeforeAStreamIsFree(t *testing.T)         { playsBeside(t, "streams") }
func TestHostTakenOutBehindAReload(t *testing.T)        { playsBeside(t, "replaced") }
func TestHostTakenOutWhileTheFolderIsFull(t *testing.T) { playsBeside(t, "unwritten") }
func TestDrainForgottenByAReload(t *testing.T)          { playsBeside(t, "forgotten") }
func TestOverrideUndoneByAnEarlierOne(t *testing.T)     { playsBeside(t, "undone") }

func playsBeside(t *testing.T, name string) {
	t.Helper()
	c := exec.Command("review/bin/second", name, t.TempDir())
	c.Dir = "../.."
	if out, err := c.CombinedOutput(); err != nil {
		t.Fatalf("%s: %v\n%s", name, err, out)
	}
}
