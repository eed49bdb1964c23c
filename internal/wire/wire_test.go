package wire

import (
	"bytes"
	"encoding/binary"
	"encoding/hex"
	"io"
	"math"
	"reflect"
	"runtime"
	"strings"
	"testing"
	"time"

	"frostshift"
)

// frame builds a frame from records, each given as its code followed by its fields.
func frame(clock uint64, records ...[]byte) []byte {
	b := binary.LittleEndian.AppendUint64(nil, clock)
	b = binary.LittleEndian.AppendUint32(b, uint32(len(records)))
	for _, r := range records {
		b = append(b, r[0])
		b = binary.LittleEndian.AppendUint32(b, uint32(len(r)-1))
		b = append(b, r[1:]...)
	}
	return append(binary.LittleEndian.AppendUint32(nil, uint32(len(b))), b...)
}

func unhex(t *testing.T, s string) []byte {
	t.Helper()
	b, err := hex.DecodeString(strings.ReplaceAll(s, " ", ""))
	if err != nil {
		t.Fatal(err)
	}
	return b
}

func readAll(data []byte) (clock time.Duration, events []Event, err error) {
	r := NewReader(bytes.NewReader(data))
	if clock, err = r.Batch(); err != nil {
		return clock, nil, err
	}
	for {
		var e Event
		more, err := r.Next(&e)
		if !more || err != nil {
			return clock, events, err
		}
		e.Hosts = append([]frostshift.Host(nil), e.Hosts...)
		events = append(events, e)
	}
}

func TestDecodeEvents(t *testing.T) {
	host := frostshift.HostID(0x00232b_074a120a)
	tests := []struct {
		name, fields string
		want         Event
	}{
		{"request", "02 03000000 c4913a5d 01 0200 e02e0000 80a90300 640ad2557c3bf091 03",
			Event{Code: Req, Instance: 3, Request: frostshift.Request{
				ID: 0x5d3a91c4, Class: 1, Tenant: 2, Left: 240 * time.Millisecond, Repeat: true}}},
		{"attempt end", "04 03000000 c4913a5d 0100 0a124a07 2b23 2e01 44480000 01 01 0000803f",
			Event{Code: AttemptEnd, Instance: 3, Outcome: frostshift.Outcome{Request: 0x5d3a91c4, Attempt: 1,
				Result: frostshift.Full, Elapsed: 18500 * time.Microsecond, Closed: true}}},
		{"ring", "06 03000000 4d00000000000000", Event{Code: TimerFired, Instance: 3, Token: 77}},
		{"withdrawn", "05 05000000 192b6f0e",
			Event{Code: Withdrawn, Instance: 5, Request: frostshift.Request{ID: 0x0e6f2b19}}},
		{"flowing", "03 03000000 c4913a5d 0200 0a124a07 2b23 22240000",
			Event{Code: Flowing, Instance: 3, Request: frostshift.Request{ID: 0x5d3a91c4}, Attempt: 2}},
		{"list", "01 03000000 04 2900000000000000 01000000 20145d0000000000 01 0a124a07 2b23 0100 0200 00 0000c07f",
			Event{Code: PeersKnown, Instance: 3, List: frostshift.ListChanges, Hosts: []frostshift.Host{{ID: host,
				Zone: 1, Cell: 2, Kind: 1, State: frostshift.Draining, Started: 0x5d1420 * time.Microsecond}}}},
		{"probe result", "07 03000000 6400 78050000 0a9011f2 5423 00", Event{Code: StatusBack, Instance: 3}},
		{"peer", "08 03000000 0200 0400 68692037", Event{Code: FromPeer, Instance: 3}},
		{"halt", "09 03000000", Event{Code: Halt, Instance: 3}},
	}
	for _, tt := range tests {
		now, got, err := readAll(frame(8411738, unhex(t, tt.fields)))
		if err != nil || now != 8411738*time.Microsecond || len(got) != 1 {
			t.Errorf("%s: clock %v, %d events, error %v", tt.name, now, len(got), err)
			continue
		}
		if len(got[0].Hosts) == 0 {
			got[0].Hosts = nil
		}
		if !reflect.DeepEqual(got[0], tt.want) {
			t.Errorf("%s:\ngot  %+v\nwant %+v", tt.name, got[0], tt.want)
		}
	}
}

func TestMalformedFrames(t *testing.T) {
	timer := unhex(t, "06 03000000 4d00000000000000")
	whole := frame(1, timer)
	count := func(n uint32) []byte {
		b := bytes.Clone(whole)
		binary.LittleEndian.PutUint32(b[12:], n)
		return b
	}
	size := func(n uint32) []byte {
		b := bytes.Clone(whole)
		binary.LittleEndian.PutUint32(b[17:], n)
		return b
	}
	tests := []struct {
		name string
		data []byte
		want string
	}{
		{"cut in the length", whole[:3], "inside its length"},
		{"cut in the header", whole[:9], "frame ends at byte 9"},
		{"cut in a record", whole[:20], "frame ends at byte 20"},
		{"length too small", []byte{1, 0, 0, 0, 0}, "frame length 1"},
		{"length too large", []byte{255, 255, 255, 255}, "frame length"},
		{"length beyond the input", []byte{0, 0, 0, 48, 1, 2}, "frame ends at byte 6"},
		{"clock out of range", frame(math.MaxUint64), "clock"},
		{"more records than bytes", count(2), "record header is cut off"},
		{"fewer records than bytes", count(0), "behind the last record"},
		{"record past the frame", size(1 << 31), "reaches past the frame"},
		{"record short", frame(1, timer[:9]), "too short"},
		{"record long", frame(1, append(bytes.Clone(timer), 0)), "1 bytes too many"},
		{"unknown outcome", frame(1, unhex(t, "04 03000000 c4913a5d 0100 0a124a07 2b23 0900 44480000 01 00")),
			"unknown outcome 9"},
		{"unknown list mode", frame(1, unhex(t, "01 03000000 09 2900000000000000 00000000")), "list mode 9"},
		{"lying entry count", frame(1, unhex(t, "01 03000000 01 2900000000000000 ffffffff")), "4294967295 entries"},
		{"unknown host state", frame(1, unhex(t, "01 03000000 01 2900000000000000 01000000"+
			"20145d0000000000 01 0a124a07 2b23 0100 0200 09 0000c07f")), "host state 9"},
	}
	for _, tt := range tests {
		_, _, err := readAll(tt.data)
		if err == nil || err == io.EOF || !strings.Contains(err.Error(), tt.want) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%s: error %v, want one line with %q", tt.name, err, tt.want)
		}
	}
	if _, _, err := readAll(nil); err != io.EOF {
		t.Errorf("end between frames: %v", err)
	}
}

func TestUnknownEventsAreSkipped(t *testing.T) {
	timer := unhex(t, "06 03000000 4d00000000000000")
	for _, unknown := range []string{"63", "63 03000000", "63 03000000 0102030405"} {
		_, events, err := readAll(frame(2, unhex(t, unknown), timer))
		if err != nil || len(events) != 2 || events[1].Code != TimerFired || events[1].Token != 0x4d {
			t.Errorf("record %q: events %+v, error %v, want the next one read", unknown, events, err)
		}
	}
}

// FuzzReader passes arbitrary bytes to the reader: it must stop with an error of one line or at
// the end of the input, and never return an event with more hosts than its bytes can contain.
func FuzzReader(f *testing.F) {
	timer := []byte{6, 12, 0, 0, 0, 3, 0, 0, 0, 0x4d, 0, 0, 0, 0, 0, 0, 0}
	f.Add(append([]byte{29, 0, 0, 0, 1, 0, 0, 0, 0, 0, 0, 0, 1, 0, 0, 0}, timer...))
	f.Add([]byte{255, 255, 255, 255})
	f.Add([]byte{12, 0, 0, 0, 1, 0, 0, 0, 0, 0, 0, 0, 9, 0, 0, 0})
	f.Fuzz(func(t *testing.T, data []byte) {
		_, events, err := readAll(data)
		if err != nil && strings.Contains(err.Error(), "\n") {
			t.Fatalf("error %v, want at most one line", err)
		}
		for _, e := range events {
			if len(e.Hosts)*entrySize > len(data) {
				t.Fatalf("%d hosts in %d bytes", len(e.Hosts), len(data))
			}
		}
	})
}

func TestLyingLengthAllocatesLittle(t *testing.T) {
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	if _, _, err := readAll([]byte{0, 0, 0, 60, 1, 2, 3}); err == nil {
		t.Fatal("no error")
	}
	runtime.ReadMemStats(&after)
	if n := after.TotalAlloc - before.TotalAlloc; n > 1<<20 {
		t.Errorf("%d bytes allocated for a frame of three", n)
	}
}

func TestEncodeActions(t *testing.T) {
	host := frostshift.HostID(0x00232b_074a120a)
	tests := []struct {
		act  frostshift.Action
		want string
	}{
		{frostshift.Action{Kind: frostshift.Send, Request: 0x5d3a91c4, Host: host, At: 8492506 * time.Microsecond},
			"40 16000000 03000000 c4913a5d 0a124a07 2b23 da95810000000000"},
		{frostshift.Action{Kind: frostshift.Refuse, Request: 0x5d3a91c4, After: 250 * time.Millisecond},
			"41 0c000000 03000000 c4913a5d 90d00300"},
		{frostshift.Action{Kind: frostshift.Fail, Request: 0x0e6f2b19}, "42 08000000 03000000 192b6f0e"},
		{frostshift.Action{Kind: frostshift.Cancel, Request: 0x5d3a91c4, Attempt: 2},
			"43 0a000000 03000000 c4913a5d 0200"},
		{frostshift.Action{Kind: frostshift.Wake, At: 8911482*time.Microsecond - 1, Token: 77},
			"44 14000000 03000000 7afa870000000000 4d00000000000000"},
		{frostshift.Action{Kind: frostshift.Log, Text: "hi 7"}, "48 0a000000 03000000 0400 68692037"},
		{frostshift.Action{Kind: frostshift.Watch}, "4a 05000000 03000000 01"},
	}
	for _, tt := range tests {
		var out bytes.Buffer
		w := NewWriter(&out)
		w.Action(3, &tt.act)
		if err := w.Flush(); err != nil {
			t.Fatal(err)
		}
		body := unhex(t, tt.want)
		want := binary.LittleEndian.AppendUint32(nil, uint32(len(body)+4))
		want = append(append(want, 1, 0, 0, 0), body...)
		if !bytes.Equal(out.Bytes(), want) {
			t.Errorf("kind %d:\ngot  %x\nwant %x", tt.act.Kind, out.Bytes(), want)
		}
	}
}

func TestParseSettings(t *testing.T) {
	got, err := ParseSettings([]byte(`{"balancers": 4, "rank": 2, "step": 2000, "discovery": "subscribe",
		"over_share_worth": 0.05, "unknown": {"key": [1]},
		"caps": {"cancel": true, "dial_timeout": 150000, "max_attempts": 3, "max_retry_after": 600000,
			"may_duplicate": true, "retry_after": true},
		"classes": [{"effect": "deduplicated", "group": "cell", "hard_limit": 1200000, "importance": 2.0,
			"late_worth": 0.25, "promise": 300000, "window": 5000000}, {"effect": "at_most_once", "hard_limit": 1}],
		"obligations": {"ask_within": 10000000, "cold_from": 0.31, "fall": 1000000, "overload_factor": 2.5,
			"warm_after": 8900000},
		"tenants": [{"name": "a", "quota_per_s": 104.0}]}`))
	if err != nil {
		t.Fatal(err)
	}
	want := frostshift.Settings{
		Instances: 4, Rank: 2, Step: 2 * time.Millisecond, Ask: true, AskWithin: 10 * time.Second,
		OverQuotaWorth: 0.05, Cancel: true,
		MaxAttempts: 3, MaxRetryAfter: 600 * time.Millisecond,
		ColdFrom: 0.31, OverloadWindow: time.Second, OverloadFactor: 2.5, WarmAfter: 8900 * time.Millisecond,
		Tenants: []frostshift.Tenant{{Quota: 104}},
		Classes: []frostshift.Class{
			{Aim: 300 * time.Millisecond, Deadline: 1200 * time.Millisecond, Worth: 2,
				Effect: frostshift.Keyed, Group: frostshift.GroupCell, Window: 5 * time.Second},
			{Deadline: time.Microsecond, Effect: frostshift.Unsafe},
		},
	}
	if !reflect.DeepEqual(got, want) {
		t.Errorf("\ngot  %+v\nwant %+v", got, want)
	}
	for text, want := range map[string]string{
		`{"classes": [{"effect": "sometimes"}]}`:                   `unknown effect "sometimes"`,
		`{"classes": [{"effect": "idempotent", "group": "moon"}]}`: `unknown group "moon"`,
		`[]`: "settings", `{`: "settings",
	} {
		if _, err := ParseSettings([]byte(text)); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%s: error %v, want %q", text, err, want)
		}
	}
}
