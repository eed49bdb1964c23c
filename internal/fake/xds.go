package fake

import (
	"io"
	"net"
	"sync"

	discoveryv3 "github.com/envoyproxy/go-control-plane/envoy/service/discovery/v3"
	endpointservice "github.com/envoyproxy/go-control-plane/envoy/service/endpoint/v3"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
)

// XDS is a management server whose every word a test says: it speaks the aggregated service and
// that of endpoints, state of the world and incremental.
type XDS struct {
	discoveryv3.UnimplementedAggregatedDiscoveryServiceServer
	server *grpc.Server
	addr   string
	// Worlds and Deltas get each stream that is opened.
	Worlds chan *XDSWorld
	Deltas chan *XDSDelta
}

type (
	// XDSWorld is a stream of the state of the world.
	XDSWorld = XDSStream[discoveryv3.DiscoveryRequest, discoveryv3.DiscoveryResponse]
	// XDSDelta is an incremental stream.
	XDSDelta = XDSStream[discoveryv3.DeltaDiscoveryRequest, discoveryv3.DeltaDiscoveryResponse]
)

// XDSStream is one open stream.
type XDSStream[Request, Response any] struct {
	Aggregated bool
	Requests   chan *Request // what the client says; closed when it has gone
	send       func(*Response) error
	once       sync.Once
	end        chan struct{}
}

// Send says something on the stream.
func (s *XDSStream[Request, Response]) Send(r *Response) error { return s.send(r) }

// End breaks the stream off.
func (s *XDSStream[Request, Response]) End() { s.once.Do(func() { close(s.end) }) }

// endpointsOnly is the service of endpoints, whose methods have other names.
type endpointsOnly struct {
	endpointservice.UnimplementedEndpointDiscoveryServiceServer
	x *XDS
}

// NewXDS starts a server.
func NewXDS() (*XDS, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	x := &XDS{server: grpc.NewServer(), addr: l.Addr().String(), Worlds: make(chan *XDSWorld, 64), Deltas: make(chan *XDSDelta, 64)}
	discoveryv3.RegisterAggregatedDiscoveryServiceServer(x.server, x)
	endpointservice.RegisterEndpointDiscoveryServiceServer(x.server, endpointsOnly{x: x})
	go x.server.Serve(l)
	return x, nil
}

// Addr is where it listens.
func (x *XDS) Addr() string { return x.addr }

// Close ends it with all its streams.
func (x *XDS) Close() { x.server.Stop() }

// StreamAggregatedResources is the state of the world over the aggregated service.
func (x *XDS) StreamAggregatedResources(s discoveryv3.AggregatedDiscoveryService_StreamAggregatedResourcesServer) error {
	return serveXDS(s, true, x.Worlds)
}

// DeltaAggregatedResources is the incremental form.
func (x *XDS) DeltaAggregatedResources(s discoveryv3.AggregatedDiscoveryService_DeltaAggregatedResourcesServer) error {
	return serveXDS(s, true, x.Deltas)
}

func (e endpointsOnly) StreamEndpoints(s endpointservice.EndpointDiscoveryService_StreamEndpointsServer) error {
	return serveXDS(s, false, e.x.Worlds)
}

func (e endpointsOnly) DeltaEndpoints(s endpointservice.EndpointDiscoveryService_DeltaEndpointsServer) error {
	return serveXDS(s, false, e.x.Deltas)
}

func serveXDS[Request, Response any](s grpc.BidiStreamingServer[Request, Response], aggregated bool, streams chan *XDSStream[Request, Response]) error {
	own := &XDSStream[Request, Response]{Aggregated: aggregated, Requests: make(chan *Request, 64), send: s.Send, end: make(chan struct{})}
	streams <- own
	gone := make(chan error, 1)
	go func() {
		defer close(own.Requests)
		for {
			r, err := s.Recv()
			if err != nil {
				gone <- err
				return
			}
			select {
			case own.Requests <- r:
			case <-s.Context().Done():
				gone <- s.Context().Err()
				return
			}
		}
	}()
	select {
	case <-own.end:
		return status.Error(codes.Unavailable, "ended by the test")
	case err := <-gone:
		if err == io.EOF {
			return nil
		}
		return err
	}
}
