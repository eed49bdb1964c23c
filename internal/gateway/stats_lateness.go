package gateway

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"frostshift/internal/exchange"
	"frostshift/internal/fairqueue"
	"frostshift/internal/lateness"
)

// Figures of how late the process is with its own work.
var (
	schedulerDesc = prometheus.NewDesc("edge_gw_scheduler_delay_seconds", "the longest that a goroutine was ready before it ran", []string{"since"}, nil)
	timerDesc     = prometheus.NewDesc("edge_gw_timer_delay_seconds", "the most that a timer was late", []string{"since"}, nil)
	turnDesc      = prometheus.NewDesc("edge_gw_turn_wait_seconds", "the longest that a peer waited for its turn at the processor", []string{"since"}, nil)
	lateLooksDesc = prometheus.NewDesc("edge_gw_late_looks", "tenths of a second in which the process was 50 ms late with its own work", nil, nil)
	turnsDesc     = prometheus.NewDesc("edge_gw_turns_waited", "turns at the processor that peers have waited for", nil, nil)
	turnTimeDesc  = prometheus.NewDesc("edge_gw_turns_waited_seconds", "time that peers have waited for them, in all", nil, nil)
	turnQueueDesc = prometheus.NewDesc("edge_gw_turns_waiting", "readers of peers that wait for a turn", nil, nil)
	stallsDesc    = prometheus.NewDesc("edge_gw_pool_stalls", "times that the loop of a pool was late for a timer", []string{"pool"}, nil)
	stalledDesc   = prometheus.NewDesc("edge_gw_pool_stalled_seconds", "how late it was, in all", []string{"pool"}, nil)
)

var latenessDescs = []*prometheus.Desc{schedulerDesc, timerDesc, turnDesc, lateLooksDesc, turnsDesc, turnTimeDesc, turnQueueDesc, stallsDesc, stalledDesc}

// collectLateness reads them.
func (s stats) collectLateness(m metrics, pools []*exchange.Pool) {
	since, late := s.lateness.Since()
	for name, sample := range map[string]lateness.Sample{"start": since, "2s": s.lateness.Recent()} {
		m.gauge(schedulerDesc, lateness.Seconds(sample.Scheduler), name)
		m.gauge(timerDesc, lateness.Seconds(sample.Timer), name)
		m.gauge(turnDesc, lateness.Seconds(sample.Turn), name)
	}
	m.count(lateLooksDesc, late)
	turns := fairqueue.Processor().Stats()
	m.count(turnsDesc, turns.Waits)
	m.gauge(turnTimeDesc, lateness.Seconds(turns.Waited))
	m.gauge(turnQueueDesc, float64(turns.Waiting))
	for _, p := range pools {
		m.count(stallsDesc, p.Counts().Stalls.Load(), p.Name())
		m.gauge(stalledDesc, lateness.Seconds(time.Duration(p.Counts().Stalled.Load())), p.Name())
	}
}
