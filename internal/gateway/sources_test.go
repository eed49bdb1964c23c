package gateway

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	corev3 "github.com/envoyproxy/go-control-plane/envoy/config/core/v3"
	endpointv3 "github.com/envoyproxy/go-control-plane/envoy/config/endpoint/v3"
	discoveryv3 "github.com/envoyproxy/go-control-plane/envoy/service/discovery/v3"
	"github.com/miekg/dns"
	"google.golang.org/protobuf/types/known/anypb"

	"frostshift/internal/config"
	"frostshift/internal/fake"
)

// A pool with its hosts from DNS and xDS together: both are served from, what the management
// server drains gets nothing new although DNS lists it, and neither's silence costs anything.
func TestHostsFromDNSAndXDS(t *testing.T) {
	one, two, three := scripted(t, fake.Always(fake.Serve("one"))), scripted(t, fake.Always(fake.Serve("two"))), scripted(t, fake.Always(fake.Serve("three")))
	port := func(h *fake.Host) uint32 { return uint32(netip.MustParseAddrPort(h.Addr()).Port()) }
	names, err := fake.NewDNS()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(names.End)
	names.Set("_h._tcp.test", dns.TypeSRV, fake.Records{Answer: []string{fmt.Sprintf("_h._tcp.test. 1 SRV 0 1 %d one.", port(one))}, Extra: []string{"one. 1 A 127.0.0.1"}})
	manager, err := fake.NewXDS()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(manager.Close)
	m, _, err := config.Parse("gw.toml", fmt.Appendf(nil, `
[[listener]]
name = "clients"
address = "127.0.0.1:0"
[[class]]
name = "look"
effect = "safe"
aim = "20ms"
deadline = "5s"
[[pool]]
name = "p"
[[pool.source]]
xds = { server = %q, cluster = "c", ads = true }
[[pool.source]]
dns = { server = %q, name = "_h._tcp.test", type = "srv" }
[[route]]
name = "p"
class = "look"
pool = "p"
`, manager.Addr(), names.Addr()))
	if err != nil {
		t.Fatal(err)
	}
	g := launch(t, m)
	asked := func(h *fake.Host) func() bool {
		before := h.Total()
		return func() bool { ask(t, g, "GET", "/x"); return h.Total() > before }
	}
	until(t, "the host of DNS is asked", asked(one))
	stream := await(t, manager.Worlds, "a stream")
	say := func(version string, health map[*fake.Host]corev3.HealthStatus) {
		t.Helper()
		l := &endpointv3.LocalityLbEndpoints{}
		for h, status := range health {
			l.LbEndpoints = append(l.LbEndpoints, &endpointv3.LbEndpoint{HealthStatus: status, HostIdentifier: &endpointv3.LbEndpoint_Endpoint{Endpoint: &endpointv3.Endpoint{
				Address: &corev3.Address{Address: &corev3.Address_SocketAddress{SocketAddress: &corev3.SocketAddress{Address: "127.0.0.1",
					PortSpecifier: &corev3.SocketAddress_PortValue{PortValue: port(h)}}}}}}})
		}
		body, err := anypb.New(&endpointv3.ClusterLoadAssignment{ClusterName: "c", Endpoints: []*endpointv3.LocalityLbEndpoints{l}})
		if err == nil {
			err = stream.Send(&discoveryv3.DiscoveryResponse{VersionInfo: version, Nonce: version, TypeUrl: body.TypeUrl, Resources: []*anypb.Any{body}})
		}
		if err != nil {
			t.Fatal(err)
		}
	}
	say("1", map[*fake.Host]corev3.HealthStatus{two: corev3.HealthStatus_HEALTHY})
	until(t, "the host of the management server is asked", asked(two))
	until(t, "the host of DNS is asked still", asked(one))
	say("2", map[*fake.Host]corev3.HealthStatus{two: corev3.HealthStatus_DRAINING, three: corev3.HealthStatus_HEALTHY})
	until(t, "the new host is asked", asked(three))
	before := two.Total()
	for range 50 {
		if status, body, _ := ask(t, g, "GET", "/x"); status != 200 {
			t.Errorf("%d %q", status, body)
		}
	}
	if n := two.Total() - before; n > 0 {
		t.Errorf("%d requests went to a host that drains", n)
	}
	stream.End()
	names.Set("_h._tcp.test", dns.TypeSRV, fake.Records{Silent: true})
	await(t, manager.Worlds, "another stream")
	for end := time.Now().Add(patience); len(names.Asked) > 0 && time.Now().Before(end); {
		<-names.Asked
	}
	until(t, "DNS is asked in vain", func() bool { return len(names.Asked) > 0 })
	for range 50 {
		if status, body, _ := ask(t, g, "GET", "/x"); status != 200 {
			t.Errorf("with both silent: %d %q", status, body)
		}
	}
}
