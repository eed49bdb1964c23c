package membership

import (
	"strings"
	"testing"
)

func TestUnknownZoneAndKindAreTaken(t *testing.T) {
	n := NewNames([]string{"a"}, []string{"std"})
	hosts := n.Hosts([]Endpoint{{Name: "s", Address: "127.0.0.1:9", Zone: "moon", Type: "abacus", Status: Active}})
	if hosts[0].Zone != 1 || hosts[0].Kind != 1 {
		t.Errorf("got %+v", hosts)
	}
}

const twoHosts = `{"endpoints": [
  {"name": "a", "address": "127.0.0.1:6001", "zone": "hall", "type": "std", "group": 3},
  {"name": "b", "address": "127.0.0.1:6002", "status": "leaving"}
]}`

func TestParseFile(t *testing.T) {
	l, err := ParseFile([]byte(twoHosts))
	if err != nil || !l.Snapshot || len(l.Endpoints) != 2 || l.Endpoints[0].Status != Active || l.Endpoints[0].Group != 3 || l.Endpoints[1].Status != Leaving {
		t.Errorf("%+v, %v", l, err)
	}
	for text, want := range map[string]string{
		`{}`: "endpoints", `[]`: "", `{"endpoints":null}`: "endpoints", `{"snapshot":false,"endpoints":[]}`: "snapshot",
		`{"endpoints":[{"name":"a","address":"x"}]}`:                                                     "address",
		`{"endpoints":[{"address":"127.0.0.1:1"}]}`:                                                      "name",
		`{"endpoints":[{"name":"a","address":"127.0.0.1:1","status":"up"}]}`:                             "status",
		`{"endpoints":[{"name":"a","address":"127.0.0.1:1"},{"name":"a","address":"127.0.0.1:2"}]}`:      "twice",
		`{"endpoints":[{"name":"a","address":"127.0.0.1:1","since_ms":-1}]}`:                             "since_ms",
		`{"endpoints":[]} {"endpoints":[]}`:                                                              "",
		`{"endpoints":[{"name":"a","address":"127.0.0.1:1"}], "endpoints": "x"}`:                         "",
		`{"endpoints":[{"name":"a","address":"127.0.0.1:99999"}]}`:                                       "address",
		`{"endpoints":[{"name":"a","address":"127.0.0.1:1","since_ms":9223372036854775807}]}`:            "since_ms",
		"{\"endpoints\":[{\"name\":\"a\",\"address\":\"127.0.0.1:1\"}]}" + strings.Repeat("\x00", 1<<10): "",
	} {
		if _, err := ParseFile([]byte(text)); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%s: error %v, want %q in it", text, err, want)
		}
	}
}

// A file that is cut short can't be read, wherever the cut is.
func TestNoCutFileIsTaken(t *testing.T) {
	for n := range len(twoHosts) {
		if l, err := ParseFile([]byte(twoHosts[:n])); err == nil {
			t.Errorf("cut after %d bytes it is a list of %d", n, len(l.Endpoints))
		}
	}
}

func FuzzParseFile(f *testing.F) {
	f.Add([]byte(twoHosts))
	f.Fuzz(func(t *testing.T, text []byte) {
		l, err := ParseFile(text)
		if err == nil && CheckAll(l.Endpoints) != nil {
			t.Fatalf("%+v was taken", l)
		}
	})
}
