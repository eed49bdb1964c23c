package source

import (
	"context"
	"log/slog"
	"slices"
	"strings"
	"testing"

	corev3 "github.com/envoyproxy/go-control-plane/envoy/config/core/v3"
	endpointv3 "github.com/envoyproxy/go-control-plane/envoy/config/endpoint/v3"
	discoveryv3 "github.com/envoyproxy/go-control-plane/envoy/service/discovery/v3"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/anypb"
	"google.golang.org/protobuf/types/known/structpb"

	"frostshift/internal/fake"
	"frostshift/internal/membership"
)

// endpoint is one at a port of the loopback address; port 0 is a bad one.
func endpoint(port uint32, health corev3.HealthStatus) *endpointv3.LbEndpoint {
	return &endpointv3.LbEndpoint{HealthStatus: health, HostIdentifier: &endpointv3.LbEndpoint_Endpoint{Endpoint: &endpointv3.Endpoint{
		Address: &corev3.Address{Address: &corev3.Address_SocketAddress{SocketAddress: &corev3.SocketAddress{Address: "127.0.0.1",
			PortSpecifier: &corev3.SocketAddress_PortValue{PortValue: port}}}}}}}
}

func packed(t testing.TB, m proto.Message) *anypb.Any {
	t.Helper()
	a, err := anypb.New(m)
	if err != nil {
		t.Fatal(err)
	}
	return a
}

func assignment(t testing.TB, cluster string, ports ...uint32) *anypb.Any {
	t.Helper()
	l := &endpointv3.LocalityLbEndpoints{Locality: &corev3.Locality{Zone: "hall"}}
	for _, p := range ports {
		l.LbEndpoints = append(l.LbEndpoints, endpoint(p, corev3.HealthStatus_UNKNOWN))
	}
	return packed(t, &endpointv3.ClusterLoadAssignment{ClusterName: cluster, Endpoints: []*endpointv3.LocalityLbEndpoints{l}})
}

// xdsFollower follows a stand-in.
type xdsFollower struct {
	*fake.XDS
	t     *testing.T
	lists chan *membership.List
}

func followXDS(t *testing.T, spec XDS) *xdsFollower {
	x, err := fake.NewXDS()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(x.Close)
	f := &xdsFollower{XDS: x, t: t, lists: make(chan *membership.List, 16)}
	spec.Server, spec.Cluster, spec.Node = x.Addr(), "rota", "gw-1"
	if field, text := spec.Check(); field != "" {
		t.Fatal(field, text)
	}
	own := NewFollower(Config{Sink: gather{f.lists}, Log: slog.New(slog.DiscardHandler)})
	ctx, end := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() { own.Run(ctx, Spec{XDS: &spec}); close(ended) }()
	t.Cleanup(func() { end(); await(t, ended, "the end") })
	return f
}

func (f *xdsFollower) next(what string, want ...string) {
	f.t.Helper()
	l := await(f.t, f.lists, what)
	var got []string
	for _, e := range l.Endpoints {
		got = append(got, e.Name)
	}
	if !slices.Equal(got, want) || !l.Snapshot {
		f.t.Errorf("%s: %v, want %v", what, got, want)
	}
}

func (f *xdsFollower) still() {
	f.t.Helper()
	if len(f.lists) > 0 {
		f.t.Errorf("a list that nobody gave: %+v", <-f.lists)
	}
}

func TestXDSStateOfTheWorld(t *testing.T) {
	for _, ads := range []bool{true, false} {
		f := followXDS(t, XDS{ADS: ads})
		s := await(t, f.Worlds, "a stream")
		request := func(what, version, nonce string, refused bool) {
			t.Helper()
			r := await(t, s.Requests, what)
			if r.VersionInfo != version || r.ResponseNonce != nonce || (r.ErrorDetail != nil) != refused || r.TypeUrl != endpointsURL || !slices.Equal(r.ResourceNames, []string{"rota"}) {
				t.Errorf("%s: %v", what, r)
			}
		}
		say := func(version, nonce string, resources ...*anypb.Any) {
			t.Helper()
			if err := s.Send(&discoveryv3.DiscoveryResponse{VersionInfo: version, Nonce: nonce, TypeUrl: endpointsURL, Resources: resources}); err != nil {
				t.Fatal(err)
			}
		}
		if s.Aggregated != ads {
			t.Errorf("aggregated: %v, want %v", s.Aggregated, ads)
		}
		request("the first", "", "", false)
		say("1", "a", assignment(t, "rota", 80, 81))
		f.next("the first list", "127.0.0.1:80", "127.0.0.1:81")
		request("its acknowledgement", "1", "a", false)
		// A bad one among good ones is refused, with what stands; the reason names the place.
		say("2", "b", assignment(t, "other", 1), assignment(t, "rota", 80, 0))
		r := await(t, s.Requests, "the refusal")
		if r.VersionInfo != "1" || r.ResponseNonce != "b" || !strings.Contains(r.GetErrorDetail().GetMessage(), "lb_endpoints[1]: port 0") {
			t.Errorf("refusal: %v", r)
		}
		say("3", "c", assignment(t, "other", 9)) // says nothing of ours
		request("of another cluster", "3", "c", false)
		say("4", "d", &anypb.Any{TypeUrl: endpointsURL, Value: []byte("noise")})
		request("noise", "3", "d", true)
		// Two answers that cross: each is answered for itself.
		say("4", "x", assignment(t, "rota", 90))
		say("4b", "y", assignment(t, "rota", 91))
		f.next("the first of two", "127.0.0.1:90")
		f.next("the second of two", "127.0.0.1:91")
		request("of the first", "4", "x", false)
		request("of the second", "4b", "y", false)
		say("5", "e", assignment(t, "rota"))
		f.next("an empty list")
		request("its acknowledgement", "5", "e", false)
		f.still()
		s.End()
		// Back again: the version that stands is told, and a server that has forgotten all
		// says nothing, which changes nothing.
		s = await(t, f.Worlds, "another stream")
		request("the first of the second stream", "5", "", false)
		f.still()
		say("1", "a", assignment(t, "rota", 82))
		f.next("a server that counts anew", "127.0.0.1:82")
		request("its acknowledgement", "1", "a", false)
	}
}

func TestXDSIncremental(t *testing.T) {
	for _, ads := range []bool{true, false} {
		f := followXDS(t, XDS{ADS: ads, Delta: true})
		s := await(t, f.Deltas, "a stream")
		say := func(r *discoveryv3.DeltaDiscoveryResponse) *discoveryv3.DeltaDiscoveryRequest {
			t.Helper()
			r.TypeUrl = endpointsURL
			if err := s.Send(r); err != nil {
				t.Fatal(err)
			}
			answer := await(t, s.Requests, "the answer to "+r.Nonce)
			if answer.ResponseNonce != r.Nonce {
				t.Errorf("answer to %q: %v", r.Nonce, answer)
			}
			return answer
		}
		if r := await(t, s.Requests, "the first"); !slices.Equal(r.ResourceNamesSubscribe, []string{"rota"}) || len(r.InitialResourceVersions) > 0 || r.Node.Id != "gw-1" {
			t.Errorf("the first: %v", r)
		}
		one := func(version string, body *anypb.Any) []*discoveryv3.Resource {
			return []*discoveryv3.Resource{{Name: "other", Version: "7", Resource: assignment(t, "other", 0)}, {Name: "rota", Version: version, Resource: body}}
		}
		if r := say(&discoveryv3.DeltaDiscoveryResponse{Nonce: "a", Resources: one("v1", assignment(t, "rota", 80))}); r.ErrorDetail != nil {
			t.Errorf("refused: %v", r)
		}
		f.next("the first list", "127.0.0.1:80")
		if r := say(&discoveryv3.DeltaDiscoveryResponse{Nonce: "b", Resources: one("v2", assignment(t, "rota", 0))}); r.ErrorDetail == nil {
			t.Error("a bad list was acknowledged")
		}
		say(&discoveryv3.DeltaDiscoveryResponse{Nonce: "c", RemovedResources: []string{"other"}})
		f.still()
		s.End()
		s = await(t, f.Deltas, "another stream")
		if r := await(t, s.Requests, "the first"); r.InitialResourceVersions["rota"] != "v1" {
			t.Errorf("the first of the second stream: %v", r)
		}
		say(&discoveryv3.DeltaDiscoveryResponse{Nonce: "d", RemovedResources: []string{"rota"}})
		f.next("removed")
	}
}

func TestReadAssignment(t *testing.T) {
	zone := func(name string, priority uint32, list ...*endpointv3.LbEndpoint) *endpointv3.LocalityLbEndpoints {
		return &endpointv3.LocalityLbEndpoints{Locality: &corev3.Locality{Zone: name}, Priority: priority, LbEndpoints: list}
	}
	named := endpoint(4, corev3.HealthStatus_HEALTHY)
	fields, err := structpb.NewStruct(map[string]any{"name": "four", "group": 7, "type": "big", "since_ms": "5000"})
	if err != nil {
		t.Fatal(err)
	}
	named.Metadata = &corev3.Metadata{FilterMetadata: map[string]*structpb.Struct{metadataKey: fields}}
	list, err := ReadAssignment(packed(t, &endpointv3.ClusterLoadAssignment{ClusterName: "c", Endpoints: []*endpointv3.LocalityLbEndpoints{
		zone("far", 1, endpoint(1, corev3.HealthStatus_UNKNOWN)),
		zone("hall", 0, endpoint(2, corev3.HealthStatus_DRAINING), endpoint(3, corev3.HealthStatus_UNHEALTHY), named, endpoint(5, corev3.HealthStatus_DEGRADED)),
	}}), "c")
	want := []membership.Endpoint{
		{Name: "127.0.0.1:2", Address: "127.0.0.1:2", Zone: "hall", Status: membership.Leaving},
		{Name: "127.0.0.1:3", Address: "127.0.0.1:3", Zone: "hall", Status: membership.Leaving},
		{Name: "four", Address: "127.0.0.1:4", Zone: "hall", Type: "big", Group: 7, SinceMS: 5000, Status: membership.Active},
		{Name: "127.0.0.1:5", Address: "127.0.0.1:5", Zone: "hall", Status: membership.Active},
	}
	if err != nil || !slices.Equal(list, want) {
		t.Errorf("%+v, %v", list, err)
	}
	for text, body := range map[string]proto.Message{
		"twice":             &endpointv3.ClusterLoadAssignment{ClusterName: "c", Endpoints: []*endpointv3.LocalityLbEndpoints{zone("", 0, endpoint(1, 0), endpoint(1, 0))}},
		"no socket address": &endpointv3.ClusterLoadAssignment{ClusterName: "c", Endpoints: []*endpointv3.LocalityLbEndpoints{zone("", 0, &endpointv3.LbEndpoint{})}},
		"not an assignment": &corev3.Node{},
	} {
		if _, err := ReadAssignment(packed(t, body), "c"); err == nil || !strings.Contains(err.Error(), text) {
			t.Errorf("%v: error %v, want %q", body, err, text)
		}
	}
}

// Whatever a server sends is a checked list or an error.
func FuzzReadAssignment(f *testing.F) {
	f.Add(assignment(f, "c", 80, 81).Value)
	f.Fuzz(func(t *testing.T, body []byte) {
		list, err := ReadAssignment(&anypb.Any{TypeUrl: endpointsURL, Value: body}, "c")
		if err == nil && membership.CheckAll(list) != nil {
			t.Fatalf("%+v was taken", list)
		}
	})
}
