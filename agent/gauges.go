package agent

import "github.com/rcrowley/go-metrics"

// registerGauges registers the metrics that are computed when they are read.
func (a *Agent) registerGauges() {
	gauge := func(name string, value func() int64) {
		metrics.NewRegisteredFunctionalGauge(name, a.metrics, value)
	}
	gauge("agent.running", func() int64 { running, _ := a.runner.Counts(); return int64(running) })
	gauge("agent.waiting", func() int64 { _, waiting := a.runner.Counts(); return int64(waiting) })
	gauge("agent.tickets", func() int64 { waiting, _ := a.tickets.counts(); return int64(waiting) })
	gauge("agent.slots.held", func() int64 { _, held := a.tickets.counts(); return int64(held) })
	_ = a.metrics.Register("agent.slots.expired", a.tickets.expired)
	gauge("agent.leaving", func() int64 {
		if a.attempts.isClosed() {
			return 1
		}
		return 0
	})
}
