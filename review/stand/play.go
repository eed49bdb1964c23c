//go:build review

package stand

import (
	"os"
	"os/exec"
	"testing"
)

// Play runs the script of a case in the present folder, and fails where the rule was broken.
func Play(t *testing.T) {
	cmd := exec.Command("./run.sh")
	cmd.Stdout, cmd.Stderr = os.Stdout, os.Stderr
	err := cmd.Run()
	switch code := cmd.ProcessState.ExitCode(); code {
	case Held:
	case Broken:
		t.Fatal("the rule was broken: claim.txt tells which, record.txt what was seen")
	default:
		t.Fatalf("the case could not run: %v", err)
	}
}
