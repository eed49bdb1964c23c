package gateway

import (
	runtimemetrics "runtime/metrics"

	"github.com/prometheus/client_golang/prometheus"

	"frostshift/internal/exchange"
	"frostshift/internal/shortage"
)

// Figures of what the process holds for whom, and what it is held against. Their labels are fixed, so that neither
// clients nor hosts can make them grow.
var (
	heldDesc           = prometheus.NewDesc("edge_gw_memory_held_bytes", "memory that is held, by for what: heads and bodies of requests, answers of hosts, all of the runtime", []string{"holder"}, nil)
	boundDesc          = prometheus.NewDesc("edge_gw_memory_bound_bytes", "the most that this process may hold, by for what", []string{"holder"}, nil)
	placesDesc         = prometheus.NewDesc("edge_gw_places_held", "places that are held: open requests, those whose bodies are still to come, connections of clients and to hosts", []string{"holder"}, nil)
	placesBoundDesc    = prometheus.NewDesc("edge_gw_places_bound", "the most that this process may hold, by for what", []string{"holder"}, nil)
	headsRefused       = prometheus.NewDesc("edge_gw_heads_without_room", "times that the head of a request found no memory", nil, nil)
	overdueAnswersDesc = prometheus.NewDesc("edge_gw_overdue_answers", "requests past their due time with no byte of their answer on the client's connection, by how far they had come", []string{"stage"}, nil)
	shortagesDesc      = prometheus.NewDesc("edge_gw_shortages", "what requests have lost for lack of the gateway's own resources", []string{"resource", "loss"}, nil)
	overdueDesc        = prometheus.NewDesc("edge_gw_overdue_bodies", "requests whose time ended before a host had read their bodies", nil, nil)
)

var memoryDescs = []*prometheus.Desc{heldDesc, boundDesc, placesDesc, placesBoundDesc, headsRefused, overdueDesc, overdueAnswersDesc, shortagesDesc}

// runtimeMemory is all memory of the process that the runtime knows of, by the name that it gives it.
const runtimeMemory = "/memory/classes/total:bytes"

// collectMemory reads them.
func (s stats) collectMemory(m metrics, pools []*exchange.Pool) {
	b := &s.budgets
	for holder, of := range map[string]struct{ used, total int64 }{
		"heads": {s.heads.Used(), s.heads.Total()}, "bodies": {b.bodies.Used(), b.bodies.Total()}, "answers": {b.answers.Used(), b.answers.Total()},
	} {
		m.gauge(heldDesc, float64(of.used), holder)
		m.gauge(boundDesc, float64(of.total), holder)
	}
	sample := []runtimemetrics.Sample{{Name: runtimeMemory}}
	runtimemetrics.Read(sample)
	if sample[0].Value.Kind() == runtimemetrics.KindUint64 {
		m.gauge(heldDesc, float64(sample[0].Value.Uint64()), "runtime")
	}
	for holder, of := range map[string]struct{ used, total int64 }{
		"requests": {b.requests.Used(), b.requests.Total()}, "uploads": {b.uploads.Used(), b.uploads.Total()}, "downloads": {b.downloads.Used(), b.downloads.Total()}, "hosts": {b.conns.Used(), b.conns.Total()},
	} {
		m.gauge(placesDesc, float64(of.used), holder)
		m.gauge(placesBoundDesc, float64(of.total), holder)
	}
	open, _ := s.conns.Counts()
	m.gauge(placesDesc, float64(open), "clients")
	m.gauge(placesBoundDesc, float64(s.conns.Most()), "clients")
	m.count(headsRefused, s.heads.Refused())
	var overdue int64
	for _, p := range pools {
		overdue += p.Counts().Overdue.Load()
	}
	m.count(overdueDesc, overdue)
	for resource := range shortage.Resources {
		for _, loss := range shortage.Losses() {
			if n := s.exchange.Shortages().Count(resource, loss); n > 0 {
				m.count(shortagesDesc, n, resource.String(), loss.String())
			}
		}
	}
	for stage := range exchange.Stages {
		m.count(overdueAnswersDesc, s.admission.Overdue().Count(stage), stage.String())
	}
}
