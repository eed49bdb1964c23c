package outcome

import (
	"testing"
	"time"

	"frostshift"
	"pgregory.net/rapid"
)

// Beside a plain list of all that was ever noted: nothing is forgotten before the span is
// over unless there was no room, nothing is known longer than twice the span, and nothing
// that was never noted; room is kept to.
func TestAgainstAPlainList(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		const span = 10 * time.Second
		most := rapid.IntRange(1, 40).Draw(rt, "most")
		m := New(span, most)
		last := map[uint64]frostshift.Time{} // when each was noted last
		now := frostshift.Time(rapid.Int64Range(0, int64(time.Hour)).Draw(rt, "start"))
		for range rapid.IntRange(1, 200).Draw(rt, "steps") {
			now += frostshift.Time(rapid.Int64Range(0, int64(4*time.Second)).Draw(rt, "wait"))
			key := uint64(rapid.IntRange(0, 60).Draw(rt, "key"))
			if rapid.Bool().Draw(rt, "note") {
				m.Note(now, key)
				last[key] = now
				if !m.Has(now, key) {
					rt.Fatal("what was noted just now is not known")
				}
			}
			at, noted := last[key]
			has := m.Has(now, key)
			if has && (!noted || now-at > 2*span) {
				rt.Fatalf("known, though noted %v, %v ago", noted, now-at)
			}
			if !has && noted && now-at < span && m.Early() == 0 {
				rt.Fatalf("forgotten after %v with room left", now-at)
			}
			if len(m.young) > most || len(m.old) > most {
				rt.Fatalf("%d and %d are held, %d may be", len(m.young), len(m.old), most)
			}
		}
	})
}
