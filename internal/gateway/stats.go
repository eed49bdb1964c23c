package gateway

import (
	"context"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"frostshift"
	"frostshift/internal/config"
	"frostshift/internal/exchange"
	"frostshift/internal/peers"
)

// The figures that operators see, in Prometheus' text form: read where they stand when they are
// asked for. Their labels are the configuration's classes and three outcomes, so that neither
// clients nor hosts can make them grow.
var (
	requestsDesc     = prometheus.NewDesc("edge_gw_downstream_requests", "requests of clients that have their answer", []string{"lane", "result"}, nil)
	attemptsDesc     = prometheus.NewDesc("edge_gw_upstream_requests", "attempts at hosts", nil, nil)
	badAttemptsDesc  = prometheus.NewDesc("edge_gw_upstream_bad", "attempts at hosts that brought no good answer, by how they ended", []string{"result"}, nil)
	closesDesc       = prometheus.NewDesc("edge_gw_downstream_closes", "connections of clients that were closed, by why", []string{"reason"}, nil)
	pendingDesc      = prometheus.NewDesc("edge_gw_pending", "requests of clients that are owed an answer", nil, nil)
	membersDesc      = prometheus.NewDesc("edge_gw_members", "hosts that are listed", nil, nil)
	awayDesc         = prometheus.NewDesc("edge_gw_members_unavailable", "hosts that are listed and get nothing: draining, ejected or out by hand", nil, nil)
	partDesc         = prometheus.NewDesc("edge_gw_pool_part", "hosts of a pool that this gateway draws from", []string{"pool"}, nil)
	admittedDesc     = prometheus.NewDesc("edge_gw_pool_admitted", "part of a pool's requests that is not refused on arrival", []string{"pool"}, nil)
	lateDesc         = prometheus.NewDesc("edge_gw_pool_late", "how late a pool's answers are held to be, in aims; what is shed rests on it", []string{"pool"}, nil)
	evidenceDesc     = prometheus.NewDesc("edge_gw_pool_late_answers", "recent answers that say so", []string{"pool"}, nil)
	fleetMembersDesc = prometheus.NewDesc("edge_gw_fleet_members", "other gateways and this one, by what is held of them", []string{"state"}, nil)
	fleetCountDesc   = prometheus.NewDesc("edge_gw_fleet_count", "gateways that have a place", nil, nil)
	fleetLeastDesc   = prometheus.NewDesc("edge_gw_fleet_least", "fewest gateways there may be: parts of hosts go by it", nil, nil)
	fleetMostDesc    = prometheus.NewDesc("edge_gw_fleet_most", "most gateways there may be: budgets go by it", nil, nil)
	fleetSideDesc    = prometheus.NewDesc("edge_gw_fleet_side", "0: whole, 1: majority, 2: minority, 3: alone", nil, nil)
	quotaLimitsDesc  = prometheus.NewDesc("edge_gw_quota_limits", "limits of the fleet that are shared unevenly now", nil, nil)
	quotaTimesDesc   = prometheus.NewDesc("edge_gw_quota_times", "how many times a limit that is mostly full may be in force", nil, nil)
	quotaShortDesc   = prometheus.NewDesc("edge_gw_quota_short", "part of a limit that is never over which may be missing", nil, nil)
	limitDesc        = prometheus.NewDesc("edge_gw_limit_requests", "requests and connections that met a limit by key, by what became of them", []string{"limit", "result"}, nil)
	reloadsDesc      = prometheus.NewDesc("edge_gw_config_reloads", "configurations taken over", nil, nil)
	badReloadDesc    = prometheus.NewDesc("edge_gw_config_reload_errors", "configurations turned down", nil, nil)
)

// lookWithin is how long pools may take to say how their hosts stand; what they do not say then
// is left out.
const lookWithin = 300 * time.Millisecond

// reloads counts configurations.
type reloads struct{ taken, refused atomic.Int64 }

// stats collects the figures.
type stats struct{ *Gateway }

// pages are what operators may read: the figures, and the fleet.
func (g *Gateway) pages() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET /stats", stats{g}.handler())
	mux.HandleFunc("GET /fleet", g.fleetStatus)
	mux.HandleFunc("POST /fleet/leave", g.fleetLeave)
	mux.HandleFunc("GET /quota", g.quotaStatus)
	mux.HandleFunc("GET /verdicts", g.verdictsStatus)
	mux.HandleFunc("GET /overrides", g.overridesStatus)
	mux.HandleFunc("GET /load", g.loadStatus)
	mux.HandleFunc("GET /limits", g.limitsStatus)
	mux.HandleFunc("GET /limits/explain", g.limitsExplain)
	return mux
}

// handler answers with them.
func (s stats) handler() http.Handler {
	r := prometheus.NewRegistry()
	r.MustRegister(s)
	return promhttp.HandlerFor(r, promhttp.HandlerOpts{MaxRequestsInFlight: 4})
}

// Describe names the figures.
func (s stats) Describe(out chan<- *prometheus.Desc) {
	for _, d := range slices.Concat(memoryDescs, latenessDescs) {
		out <- d
	}
	for _, d := range []*prometheus.Desc{requestsDesc, attemptsDesc, badAttemptsDesc, closesDesc, pendingDesc, membersDesc, awayDesc, partDesc, admittedDesc, lateDesc, evidenceDesc, fleetMembersDesc, fleetCountDesc, fleetLeastDesc, fleetMostDesc, fleetSideDesc, quotaLimitsDesc, quotaTimesDesc, quotaShortDesc, limitDesc, reloadsDesc, badReloadDesc} {
		out <- d
	}
}

// Collect reads them.
func (s stats) Collect(out chan<- prometheus.Metric) {
	s.mu.Lock()
	model, rules := s.model, s.rules
	pools := make([]*exchange.Pool, 0, len(s.pools))
	running := make([]*pool, 0, len(s.pools))
	for _, p := range s.pools {
		pools, running = append(pools, p.ex), append(running, p)
	}
	s.mu.Unlock()
	if model == nil {
		return
	}
	m := metrics(out)
	s.collectRequests(m, model, pools)
	for reason, n := range s.conns.Closes() {
		m.count(closesDesc, int64(n), reason.String())
	}
	s.collectMemory(m, pools)
	s.collectLateness(m, pools)
	m.gauge(pendingDesc, float64(s.exchange.Open()))
	if members, away, ok := look(pools); ok {
		m.gauge(membersDesc, float64(members))
		m.gauge(awayDesc, float64(away))
	}
	for name, st := range standings(running) {
		m.gauge(partDesc, float64(st.Reach), name)
		m.gauge(admittedDesc, st.Admitted, name)
		m.gauge(lateDesc, st.Late, name)
		m.gauge(evidenceDesc, st.Answers, name)
	}
	s.collectFleet(m)
	if s.rights != nil {
		q := s.rights.status(false)
		m.gauge(quotaLimitsDesc, float64(len(q.Limits)))
		m.gauge(quotaTimesDesc, q.Times)
		m.gauge(quotaShortDesc, q.Short)
	}
	for _, r := range rules {
		c := r.Counts()
		for result, n := range map[string]int64{"passed": c.Passed, "held_back": c.Waited, "over_rate": c.Rate, "over_concurrency": c.Open, "dry_run": c.Dry} {
			m.count(limitDesc, n, r.Name, result)
		}
	}
	m.count(reloadsDesc, s.reloads.taken.Load())
	m.count(badReloadDesc, s.reloads.refused.Load())
}

// metrics takes in what is read.
type metrics chan<- prometheus.Metric

func (m metrics) count(d *prometheus.Desc, v int64, labels ...string) {
	m <- prometheus.MustNewConstMetric(d, prometheus.CounterValue, float64(v), labels...)
}

func (m metrics) gauge(d *prometheus.Desc, v float64, labels ...string) {
	m <- prometheus.MustNewConstMetric(d, prometheus.GaugeValue, v, labels...)
}

// collectRequests reads how requests ended by class, and how many attempts there were. A class by
// method stands in the model twice.
func (s stats) collectRequests(m metrics, model *config.Model, pools []*exchange.Pool) {
	results := [...]string{exchange.Served: "completed", exchange.Refused: "rejected", exchange.Failed: "failed"}
	sums := map[string]*[len(results)]int64{}
	var attempts int64
	var bad [frostshift.Busy + 1]int64
	for _, p := range pools {
		attempts += p.Counts().Attempts.Load()
		for i := range bad {
			bad[i] += p.Counts().Results[i].Load()
		}
		for i := range model.Classes {
			sum := sums[model.Classes[i].Name]
			if sum == nil {
				sum = new([len(results)]int64)
				sums[model.Classes[i].Name] = sum
			}
			for v := range results {
				sum[v] += p.Ended(i, exchange.Verdict(v))
			}
		}
	}
	for name, sum := range sums {
		for v, result := range results {
			m.count(requestsDesc, sum[v], name, result)
		}
	}
	m.count(attemptsDesc, attempts)
	for result, n := range bad {
		if n > 0 {
			m.count(badAttemptsDesc, n, frostshift.Result(result).String())
		}
	}
}

// collectFleet reads who the other gateways are, where they are known.
func (s stats) collectFleet(m metrics) {
	ctx, end := context.WithTimeout(context.Background(), lookWithin)
	defer end()
	fleet, ok := s.fleetView(ctx)
	if !ok {
		return
	}
	states := map[peers.State]int{}
	for _, member := range fleet.Members {
		states[member.State]++
	}
	for _, state := range []peers.State{peers.Alive, peers.Suspected, peers.Failed, peers.Unknown, peers.Left} {
		m.gauge(fleetMembersDesc, float64(states[state]), state.String())
	}
	m.gauge(fleetCountDesc, float64(fleet.View.Count))
	m.gauge(fleetLeastDesc, float64(fleet.View.Least))
	m.gauge(fleetMostDesc, float64(fleet.View.Most))
	m.gauge(fleetSideDesc, float64(fleet.View.Side))
}

// standings asks pools what they go by, all within one lookWithin; those that don't say are left out.
func standings(pools []*pool) map[string]*frostshift.Status {
	said := make([]*frostshift.Status, len(pools))
	var all sync.WaitGroup
	for i, p := range pools {
		all.Go(func() { said[i] = p.standing(context.Background()) })
	}
	all.Wait()
	list := map[string]*frostshift.Status{}
	for i, p := range pools {
		if said[i] != nil {
			list[p.def.Name] = said[i]
		}
	}
	return list
}

// look asks the pools how their hosts stand; ok is false where one did not answer in time.
func look(pools []*exchange.Pool) (members, away int, ok bool) {
	answers := make(chan exchange.Load, len(pools))
	for _, p := range pools {
		go p.ReportLoad(func(l exchange.Load) { answers <- l })
	}
	late := time.After(lookWithin)
	for range pools {
		select {
		case l := <-answers:
			members += l.Members
			away += l.Away
		case <-late:
			return 0, 0, false
		}
	}
	return members, away, true
}
