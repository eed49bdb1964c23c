package learning

import (
	"encoding/json"
	"errors"
	"strings"
	"testing"
	"time"

	"frostshift"
	"frostshift/internal/save"
)

func memory() frostshift.Memory {
	return frostshift.Memory{Version: frostshift.MemoryVersion, Admit: 0.4, Served: 9, ServedFor: time.Second, Banned: []frostshift.HostID{3},
		Late: frostshift.EvidenceMemory{N: 3, Sum: 1}, Classes: []frostshift.MeanMemory{{Mean: 1, Seen: true}},
		Hosts: []frostshift.HostMemory{{ID: 1, RTT: 0.5, Age: time.Second, Limit: 4, Fails: 2, Out: 5 * time.Second, Slow: frostshift.EvidenceMemory{N: 2}},
			{ID: 2, RTT: 0.1, Age: seedAge, Limit: 3}}}
}

// Saved state ages by the time since it was written: remaining ejections become shorter, estimates that are too old are
// discarded, and state that depends on the load is reset.
func TestWhatWasLearnedAges(t *testing.T) {
	at := time.Now()
	parts, err := Encode(at, map[string]Pool{"p": {Learned: new(memory()), Repeats: new(2.5)}})
	if err != nil {
		t.Fatal(err)
	}
	read := func(after time.Duration) *frostshift.Memory {
		t.Helper()
		pools, age, err := Decode(at.Add(after), parts)
		if err != nil || age != after {
			t.Fatalf("after %v: age %v, %v", after, age, err)
		}
		if got, want := *pools["p"].Repeats, 2.5+after.Seconds(); got != want {
			t.Errorf("after %v %.1f retries are accumulated, want %.1f", after, got, want)
		}
		return pools["p"].Learned
	}
	m := read(2 * time.Second)
	if h := m.Hosts[0]; h.Age != 3*time.Second || h.Out != 3*time.Second || h.Fails != 2 || h.Slow.Age != 2*time.Second || h.Fresh || h.RTT != 0.5 {
		t.Errorf("a host after 2 s: %+v", h)
	}
	if !m.Hosts[1].Fresh {
		t.Error("an estimate that is older than ten minutes is still used")
	}
	if m.Admit != 0.4 || m.Served != 9 || m.ServedAge != 2*time.Second || m.Classes[0].Age != 2*time.Second || len(m.Banned) > 0 {
		t.Errorf("after 2 s: %+v", m)
	}
	if m = read(time.Minute); m.Admit != 1 || m.Served != 0 || m.Late.N != 0 || m.Hosts[0].Out != 0 || m.Hosts[0].Fresh {
		t.Errorf("after a minute: %+v", m)
	}
	for after, want := range map[time.Duration]error{-24 * time.Hour: ErrFuture, MaxAge + 1: ErrOld, 365 * 24 * time.Hour: ErrOld} {
		if _, _, err := Decode(at.Add(after), parts); !errors.Is(err, want) {
			t.Errorf("after %v: %v, want %v", after, err, want)
		}
	}
}

// For state that cannot be used, Decode returns an error that names the cause.
func TestOtherFormsAreLeft(t *testing.T) {
	text, _ := json.Marshal(&kept{time.Now(), nil})
	for _, c := range []struct {
		part save.Part
		want string
	}{
		{save.Part{Name: part, Version: version + 1, Data: text}, "of version 2"},
		{save.Part{Name: part, Version: version, Data: text[:len(text)/2]}, "can't be read"},
		{save.Part{Name: "else", Version: version, Data: text}, ErrNone.Error()},
	} {
		if _, _, err := Decode(time.Now(), []save.Part{c.part}); err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%v: %v, want %q", c.part.Name, err, c.want)
		}
	}
	if _, _, err := Decode(time.Now(), nil); !errors.Is(err, ErrNone) {
		t.Errorf("without any parts: %v", err)
	}
}

// For any content of the file, a balancer can restore the decoded state without a panic.
func FuzzDecode(f *testing.F) {
	text, _ := json.Marshal(&kept{time.Now(), map[string]Pool{"p": {Learned: new(memory())}}})
	f.Add(text)
	f.Add([]byte(`{"Pools":{"p":{"List":{"Index":null},"Learned":{"Version":1,"Hosts":[{"ID":1,"RTT":-1,"Limit":1e300}]}}}}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		pools, _, err := Decode(time.Now(), []save.Part{{Name: part, Version: version, Data: data}})
		if err != nil {
			return
		}
		b, err := frostshift.New(frostshift.Settings{Instances: 1, MaxAttempts: 4, Step: time.Millisecond, Classes: []frostshift.Class{{Aim: time.Second, Deadline: 2 * time.Second}}}, 1)
		if err != nil {
			t.Fatal(err)
		}
		b.Start(time.Second)
		b.Hosts(time.Second, frostshift.ListFull, []frostshift.Host{{ID: 1}, {ID: 2}})
		for _, p := range pools {
			if p.Learned != nil {
				b.Restore(time.Second, p.Learned)
			}
		}
		b.Memory(2 * time.Second)
	})
}

func BenchmarkTenThousandHosts(b *testing.B) {
	m := frostshift.Memory{Version: frostshift.MemoryVersion, Admit: 1}
	for i := range 10000 {
		m.Hosts = append(m.Hosts, frostshift.HostMemory{ID: frostshift.HostID(i) * 0x9e3779b97f4a7c15, RTT: float64(i%977) / 1e4, Age: time.Duration(i) * time.Millisecond, Limit: 3.7, Started: frostshift.Time(i) * time.Second})
	}
	for b.Loop() {
		parts, err := Encode(time.Now(), map[string]Pool{"p": {Learned: &m}})
		if err != nil {
			b.Fatal(err)
		}
		if _, _, err := Decode(time.Now(), parts); err != nil {
			b.Fatal(err)
		}
		b.ReportMetric(float64(len(parts[0].Data))/10000, "B/host")
	}
}
