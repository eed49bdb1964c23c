package emulator

import (
	"reflect"
	"testing"
	"time"
)

// The same seed gives the same run, whatever gateways tell each other: nothing depends on the order in
// which a map is walked.
func TestSameSeedGivesTheSameRun(t *testing.T) {
	for _, talk := range []*Talk{
		nil,
		{Detect: time.Second, Typed: 40},
		{Detect: time.Second, Typed: 40, Load: true, Lost: 0.1},
		{Detect: time.Second, Typed: 40, Verdicts: true},
	} {
		play := func() Totals {
			s := thin(40, 20, 0.6, Trouble{Hosts: 0.3, From: time.Second, Until: 2 * time.Second, Dead: true})
			s.Talk = talk
			w, err := New(s)
			if err != nil {
				t.Fatal(err)
			}
			w.Play(4*time.Second, nil)
			return w.Totals
		}
		if one, two := play(), play(); !reflect.DeepEqual(one, two) {
			t.Errorf("talk %+v: two runs of one seed differ", talk)
		}
	}
}
