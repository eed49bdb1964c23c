package outcome

import (
	"testing"
	"time"

	"frostshift"
	"pgregory.net/rapid"
)

// Compares the store with a plain list of all noted numbers: none is dropped before the span is over
// unless there was no room, none is kept for more than two spans, none is reported that was never
// noted, and no generation exceeds its maximum size.
func TestAgainstAPlainList(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		const span = 10 * time.Second
		maxSize := rapid.IntRange(1, 40).Draw(rt, "most")
		m := New(span, maxSize)
		last := map[uint64]frostshift.Time{} // when each was noted last
		now := frostshift.Time(rapid.Int64Range(0, int64(time.Hour)).Draw(rt, "start"))
		for range rapid.IntRange(1, 200).Draw(rt, "steps") {
			now += frostshift.Time(rapid.Int64Range(0, int64(4*time.Second)).Draw(rt, "wait"))
			key := uint64(rapid.IntRange(0, 60).Draw(rt, "key"))
			if rapid.Bool().Draw(rt, "note") {
				m.Note(now, key)
				last[key] = now
				if !m.Has(now, key) {
					rt.Fatal("a number that was just noted is missing")
				}
			}
			at, noted := last[key]
			has := m.Has(now, key)
			if has && (!noted || now-at > 2*span) {
				rt.Fatalf("present, noted: %v, %v ago", noted, now-at)
			}
			if !has && noted && now-at < span && m.Early() == 0 {
				rt.Fatalf("dropped after %v with room left", now-at)
			}
			if len(m.current) > maxSize || len(m.previous) > maxSize {
				rt.Fatalf("the generations hold %d and %d numbers, maximum %d", len(m.current), len(m.previous), maxSize)
			}
		}
	})
}
