package source

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"strconv"
	"time"

	corev3 "github.com/envoyproxy/go-control-plane/envoy/config/core/v3"
	endpointv3 "github.com/envoyproxy/go-control-plane/envoy/config/endpoint/v3"
	discoveryv3 "github.com/envoyproxy/go-control-plane/envoy/service/discovery/v3"
	endpointservice "github.com/envoyproxy/go-control-plane/envoy/service/endpoint/v3"
	statuspb "google.golang.org/genproto/googleapis/rpc/status"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/protobuf/types/known/anypb"

	"frostshift/internal/membership"
)

// XDS says which endpoints to ask a management server for (EDS of the xDS protocol, version 3,
// https://www.envoyproxy.io/docs/envoy/latest/api-docs/xds_protocol).
type XDS struct {
	Server  string // address and port
	Cluster string // the name of the ClusterLoadAssignment
	Node    string // what this gateway calls itself
	Delta   bool   // incremental instead of state of the world
	ADS     bool   // over the aggregated service instead of the one of endpoints
}

// Check says what is wrong, by the name of the field.
func (x *XDS) Check() (field, text string) {
	if _, err := netip.ParseAddrPort(x.Server); err != nil {
		return "server", fmt.Sprintf("%q is not an address and port", x.Server)
	}
	if x.Cluster == "" {
		return "cluster", "is missing"
	}
	return "", ""
}

const (
	endpointsURL = "type.googleapis.com/envoy.config.endpoint.v3.ClusterLoadAssignment"
	mostXDS      = 16 << 20 // bytes of one message
	mostDetail   = 500      // bytes of the reason of a refusal
	// metadataKey is where an endpoint's filter metadata says what xDS has no field for.
	metadataKey = "stilespool"
)

// runXDS keeps a stream open until the context ends. A stream that breaks, or a server that has
// forgotten, changes nothing.
func (t *turn) runXDS(ctx context.Context) {
	x := t.source.XDS
	conn, err := grpc.NewClient("passthrough:///"+x.Server, grpc.WithTransportCredentials(insecure.NewCredentials()), grpc.WithNoProxy(),
		grpc.WithDisableServiceConfig(), grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(mostXDS)))
	if err != nil {
		t.cfg.Log.Error("xDS is not followed", "server", x.Server, "err", err)
		return
	}
	defer conn.Close()
	wait, said := retryFirst, ""
	s := &xdsState{turn: t}
	for ctx.Err() == nil {
		opened := time.Now()
		var err error
		if x.Delta {
			err = s.delta(ctx, conn)
		} else {
			err = s.world(ctx, conn)
		}
		if ctx.Err() != nil || errors.Is(err, errMoved) {
			return
		}
		if text := err.Error(); text != said { // once, not with every try of an outage
			t.cfg.Log.Warn("xDS stream ended, the old list stands", "server", x.Server, "cluster", x.Cluster, "err", err)
			said = text
		}
		if time.Since(opened) > retryMost { // it worked for a while
			wait, said = retryFirst, ""
		}
		select {
		case <-time.After(wait/2 + rand.N(wait/2)):
		case <-ctx.Done():
		}
		wait = min(2*wait, retryMost)
	}
}

// xdsState is what outlives a stream.
type xdsState struct {
	*turn
	version string // of the last assignment that was accepted
	refused string // as last logged
}

func (s *xdsState) node() *corev3.Node {
	return &corev3.Node{Id: s.source.XDS.Node, UserAgentName: "stilespool"}
}

// accept takes an assignment and says what is wrong with it.
func (s *xdsState) accept(body *anypb.Any) error {
	list, err := ReadAssignment(body, s.source.XDS.Cluster)
	if err == nil && list == nil {
		return nil // another cluster's, which was not asked for
	}
	if err != nil {
		return err
	}
	return s.hand(list)
}

func (s *xdsState) hand(list []membership.Endpoint) error {
	v := s.index + 1
	return s.take(&membership.List{Index: &v, Snapshot: true, Endpoints: list})
}

// refusal is the reason that a server is told.
func (s *xdsState) refusal(err error) *statuspb.Status {
	text := err.Error()
	if text != s.refused {
		s.cfg.Log.Warn("endpoints refused, the old list stands", "server", s.source.XDS.Server, "cluster", s.source.XDS.Cluster, "err", err)
		s.refused = text
	}
	return &statuspb.Status{Code: int32(codes.InvalidArgument), Message: text[:min(len(text), mostDetail)]}
}

// world follows the state of the world. Each answer is acknowledged with its version and
// nonce, or refused with its nonce and the version that stands.
func (s *xdsState) world(ctx context.Context, conn *grpc.ClientConn) error {
	x := s.source.XDS
	ctx, end := context.WithCancel(ctx)
	defer end()
	var stream grpc.BidiStreamingClient[discoveryv3.DiscoveryRequest, discoveryv3.DiscoveryResponse]
	var err error
	if x.ADS {
		stream, err = discoveryv3.NewAggregatedDiscoveryServiceClient(conn).StreamAggregatedResources(ctx)
	} else {
		stream, err = endpointservice.NewEndpointDiscoveryServiceClient(conn).StreamEndpoints(ctx)
	}
	if err != nil {
		return err
	}
	request := &discoveryv3.DiscoveryRequest{Node: s.node(), ResourceNames: []string{x.Cluster}, TypeUrl: endpointsURL, VersionInfo: s.version}
	for {
		if err := stream.Send(request); err != nil {
			_, err = stream.Recv() // has the reason
			return fmt.Errorf("sending: %w", err)
		}
		answer, err := stream.Recv()
		if err != nil {
			return err
		}
		request = &discoveryv3.DiscoveryRequest{ResourceNames: []string{x.Cluster}, TypeUrl: endpointsURL, ResponseNonce: answer.Nonce}
		err = nil
		if answer.TypeUrl != endpointsURL {
			err = fmt.Errorf("type %q was not asked for", answer.TypeUrl)
		}
		for _, body := range answer.Resources {
			if err == nil {
				err = s.accept(body)
			}
		}
		if errors.Is(err, errMoved) {
			return err
		}
		if err == nil {
			s.version, s.refused = answer.VersionInfo, ""
		} else {
			request.ErrorDetail = s.refusal(err)
		}
		request.VersionInfo = s.version
	}
}

// delta follows changes. What is removed is an empty list.
func (s *xdsState) delta(ctx context.Context, conn *grpc.ClientConn) error {
	x := s.source.XDS
	ctx, end := context.WithCancel(ctx)
	defer end()
	var stream grpc.BidiStreamingClient[discoveryv3.DeltaDiscoveryRequest, discoveryv3.DeltaDiscoveryResponse]
	var err error
	if x.ADS {
		stream, err = discoveryv3.NewAggregatedDiscoveryServiceClient(conn).DeltaAggregatedResources(ctx)
	} else {
		stream, err = endpointservice.NewEndpointDiscoveryServiceClient(conn).DeltaEndpoints(ctx)
	}
	if err != nil {
		return err
	}
	request := &discoveryv3.DeltaDiscoveryRequest{Node: s.node(), TypeUrl: endpointsURL, ResourceNamesSubscribe: []string{x.Cluster}}
	if s.version != "" {
		request.InitialResourceVersions = map[string]string{x.Cluster: s.version}
	}
	for {
		if err := stream.Send(request); err != nil {
			_, err = stream.Recv()
			return fmt.Errorf("sending: %w", err)
		}
		answer, err := stream.Recv()
		if err != nil {
			return err
		}
		request = &discoveryv3.DeltaDiscoveryRequest{TypeUrl: endpointsURL, ResponseNonce: answer.Nonce}
		if err := s.changes(answer); errors.Is(err, errMoved) {
			return err
		} else if err != nil {
			request.ErrorDetail = s.refusal(err)
		} else {
			s.refused = ""
		}
	}
}

func (s *xdsState) changes(answer *discoveryv3.DeltaDiscoveryResponse) error {
	if answer.TypeUrl != endpointsURL {
		return fmt.Errorf("type %q was not asked for", answer.TypeUrl)
	}
	for _, r := range answer.Resources {
		if r.Name != s.source.XDS.Cluster {
			continue
		}
		if err := s.accept(r.Resource); err != nil {
			return err
		}
		s.version = r.Version
	}
	for _, name := range answer.RemovedResources {
		if name == s.source.XDS.Cluster {
			s.version = ""
			if err := s.hand(nil); err != nil {
				return err
			}
		}
	}
	return nil
}

// ReadAssignment reads the endpoints of a cluster. A nil list without an error is another
// cluster's. Of several priorities only the lowest number is used, weights are not: load is
// measured. An endpoint that is draining or not healthy is leaving. Filter metadata under
// "stilespool" may give its name, group, type and since_ms.
func ReadAssignment(body *anypb.Any, cluster string) ([]membership.Endpoint, error) {
	var a endpointv3.ClusterLoadAssignment
	if err := body.UnmarshalTo(&a); err != nil {
		return nil, fmt.Errorf("not an assignment: %w", err)
	}
	if a.ClusterName != cluster {
		return nil, nil
	}
	list := []membership.Endpoint{}
	least := uint32(0)
	for i, l := range a.Endpoints {
		if i == 0 || l.Priority < least {
			least = l.Priority
		}
	}
	for i, l := range a.Endpoints {
		for j, e := range l.LbEndpoints {
			out, err := readEndpoint(e, l.Locality)
			if err == nil {
				err = out.Check()
			}
			if err != nil {
				return nil, fmt.Errorf("endpoints[%d].lb_endpoints[%d]: %w", i, j, err)
			}
			if l.Priority == least {
				list = append(list, out)
			}
		}
	}
	return list, membership.CheckAll(list)
}

func readEndpoint(e *endpointv3.LbEndpoint, where *corev3.Locality) (out membership.Endpoint, err error) {
	at := e.GetEndpoint().GetAddress().GetSocketAddress()
	if at == nil {
		return out, errors.New("it has no socket address")
	}
	ip, err := netip.ParseAddr(at.Address)
	if err != nil {
		return out, fmt.Errorf("address %q is not an IP address", at.Address)
	}
	if at.GetPortValue() == 0 || at.GetPortValue() > 65535 {
		return out, fmt.Errorf("port %d is out of range", at.GetPortValue())
	}
	out = membership.Endpoint{Address: netip.AddrPortFrom(ip, uint16(at.GetPortValue())).String(), Zone: where.GetZone(), Status: membership.Active}
	out.Name = out.Address
	switch e.HealthStatus {
	case corev3.HealthStatus_DRAINING, corev3.HealthStatus_UNHEALTHY, corev3.HealthStatus_TIMEOUT:
		out.Status = membership.Leaving
	}
	for key, v := range e.GetMetadata().GetFilterMetadata()[metadataKey].GetFields() {
		text := v.GetStringValue()
		n := v.GetNumberValue()
		if text != "" && (key == "group" || key == "since_ms") {
			if n, err = strconv.ParseFloat(text, 64); err != nil {
				return out, fmt.Errorf("%s %q is not a number", key, text)
			}
		}
		if n != float64(int64(n)) {
			return out, fmt.Errorf("%s %v is not a whole number", key, n)
		}
		switch key {
		case "name":
			out.Name = text
		case "type":
			out.Type = text
		case "group":
			out.Group = int(n)
		case "since_ms":
			out.SinceMS = int64(n)
		}
	}
	return out, nil
}
