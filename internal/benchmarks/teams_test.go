package benchmarks

import (
	"testing"
	"time"
)

// One team floods, in each way alone: the others keep their quiet level, and a flood
// within its contract gets its guarantee. What is judged are answers within an aim, on a
// machine that others may hold up meanwhile: a kind is tried up to three times, and a fault
// in the sharing (the quiet teams kept 0.58 beside some kinds before it was mended) shows
// each time.
func TestOneTeamFloods(t *testing.T) {
	for _, k := range FloodKinds {
		t.Run(k.Name, func(t *testing.T) {
			for try := 1; ; try++ {
				rows, err := RunTeams(time.Second, []FloodKind{k})
				if err != nil {
					t.Fatal(err)
				}
				if len(rows) != 5 {
					t.Fatalf("%d rows, want 5", len(rows))
				}
				short, _ := Judge(rows)
				if len(short) == 0 {
					return
				}
				for _, r := range rows {
					t.Logf("try %d: %+v", try, r)
				}
				if try == 3 {
					t.Fatal(short)
				}
			}
		})
	}
}
