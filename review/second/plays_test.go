//go:build review

package main

import (
	"os/exec"
	"testing"
)

// plays runs the script of a case, which wants the programs of the deploy file and of review/build-2.sh.
func plays(t *testing.T, folder string) {
	t.Helper()
	if out, err := exec.Command("../" + folder + "/run.sh").CombinedOutput(); err != nil {
		t.Fatalf("case %s: %v\n%s", folder, err, out)
	}
}
