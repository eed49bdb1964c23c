package membership

import (
	"fmt"
	"testing"
)

// A host whose address another has taken is gone, in whole lists and among changes, and is back at a new address.
func TestAddressHasOneHost(t *testing.T) {
	at := func(name, address string, since int64) Endpoint {
		return Endpoint{Name: name, Address: address, Status: Active, SinceMS: since}
	}
	left := func(name string) Endpoint { return Endpoint{Name: name, Status: Left} }
	for _, c := range []struct {
		name  string
		lists []List
		want  []Endpoint // of the last
	}{
		{"nothing is shared", []List{{Snapshot: true, Endpoints: []Endpoint{at("a", "1", 0), at("b", "2", 0)}}}, []Endpoint{at("a", "1", 0), at("b", "2", 0)}},
		{"the later start counts", []List{{Snapshot: true, Endpoints: []Endpoint{at("b", "1", 9), at("a", "1", 3)}}}, []Endpoint{at("b", "1", 9)}},
		{"the later entry counts", []List{{Snapshot: true, Endpoints: []Endpoint{at("a", "1", 0), at("b", "1", 0)}}}, []Endpoint{at("b", "1", 0)}},
		{"taken by a change", []List{{Snapshot: true, Endpoints: []Endpoint{at("a", "1", 0)}}, {Endpoints: []Endpoint{at("b", "1", 9)}}}, []Endpoint{at("b", "1", 9), left("a")}},
		{"told late of the old one", []List{{Snapshot: true, Endpoints: []Endpoint{at("b", "1", 9)}}, {Endpoints: []Endpoint{at("a", "1", 3)}}}, []Endpoint{left("a")}},
		{"it leaves behind that", []List{{Snapshot: true, Endpoints: []Endpoint{at("a", "1", 0)}}, {Endpoints: []Endpoint{at("b", "1", 9)}}, {Endpoints: []Endpoint{left("a")}}}, []Endpoint{left("a")}},
		{"it moves away first", []List{{Snapshot: true, Endpoints: []Endpoint{at("a", "1", 0)}}, {Endpoints: []Endpoint{at("a", "2", 0), at("b", "1", 9)}}}, []Endpoint{at("a", "2", 0), at("b", "1", 9)}},
		{"it moves away after that", []List{{Snapshot: true, Endpoints: []Endpoint{at("a", "1", 0)}}, {Endpoints: []Endpoint{at("b", "1", 9), at("a", "2", 0)}}}, []Endpoint{at("b", "1", 9), at("a", "2", 0)}},
		{"the address is free again", []List{{Snapshot: true, Endpoints: []Endpoint{at("b", "1", 9)}}, {Endpoints: []Endpoint{left("b")}}, {Endpoints: []Endpoint{at("a", "1", 3)}}}, []Endpoint{at("a", "1", 3)}},
	} {
		t.Run(c.name, func(t *testing.T) {
			var a Addresses
			var got *List
			for i := range c.lists {
				got = a.Take(&c.lists[i])
			}
			if fmt.Sprint(got.Endpoints) != fmt.Sprint(c.want) {
				t.Errorf("%v, want %v", got.Endpoints, c.want)
			}
		})
	}
}
