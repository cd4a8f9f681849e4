package gateway

import (
	"net/http"
	"strconv"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/snipereach/snipereach/kernel"
	"github.com/snipereach/snipereach/wire"
)

// gatewayMetrics counts requests by outcome and records their latencies.
type gatewayMetrics struct {
	*kernel.Metrics
	streamTime, firstEvent, plainTime, gap, waited *kernel.Latency
}

func newGatewayMetrics() *gatewayMetrics {
	m := kernel.NewMetrics()
	return &gatewayMetrics{
		Metrics: m, streamTime: m.Latency("gateway.stream_seconds"), firstEvent: m.Latency("gateway.first_event_seconds"),
		plainTime: m.Latency("gateway.answer_seconds"), gap: m.Latency("gateway.pause_seconds"),
		waited: m.Latency("gateway.waited_seconds"),
	}
}

// register adds the gauges, which are read when the metrics are requested.
func (m *gatewayMetrics) register(g *Gateway) {
	for name, value := range map[string]func() int64{
		"gateway.active":             g.active.Load,
		"gateway.request_bytes":      g.requestMemory.Used,
		"gateway.response_bytes":     g.responseMemory.Used,
		"gateway.ready":              func() int64 { return kernel.BoolGauge(g.ready()) },
		"gateway.connections_opened": func() int64 { return int64(g.client.Opened()) },
		"gateway.entries":            func() int64 { return int64(g.gatewayCount()) },
		"gateway.upstreams":          func() int64 { return int64(len(g.node.Instances(wire.Role_ROLE_UPSTREAM))) },
		"gateway.routing_version":    func() int64 { return int64(g.routingVersion()) },
		"gateway.suspected": func() int64 {
			suspected, _ := g.quarantine.Count()
			return int64(suspected)
		},
		"gateway.quarantined": func() int64 {
			_, quarantined := g.quarantine.Count()
			return int64(quarantined)
		},
	} {
		metrics.NewRegisteredFunctionalGauge(name, m.Registry, value)
	}
}

// recordArrival counts a request that arrives.
func (m *gatewayMetrics) recordArrival(c *call) { m.countByPriority(c, "arrived") }

// record counts a request by its outcome.
func (m *gatewayMetrics) record(c *call, status int, reason string, err error) {
	if c.waited > 0 {
		m.waited.Record(c.waited)
	}
	switch {
	case reason != "" && status == http.StatusServiceUnavailable:
		m.Count("gateway.refused." + reason)
		m.countByPriority(c, "refused."+reason)
	case reason != "":
		m.Count("gateway.failed." + reason)
	case err != nil:
		m.Count("gateway.failed.caller-gone")
	default:
		m.Count("gateway.answered")
		if late := c.late(); late != "" {
			m.Count("gateway.late." + late)
		}
		m.recordLatency(c)
	}
	for i, a := range c.attempts {
		m.Count("gateway.attempts." + a.outcome.String())
		if i > 0 {
			m.Count("gateway.retries")
		}
	}
}

// recordQueued counts a request that had to wait for its admission, once it is admitted or not.
func (m *gatewayMetrics) recordQueued(c *call) {
	if c.waited > 0 {
		m.countByPriority(c, "queued")
	}
}

// maxCountedPriority bounds the number of metrics: requests of priorities above it count as of this one.
const maxCountedPriority = 9

// countByPriority counts an event of a request whose service is prioritized.
func (m *gatewayMetrics) countByPriority(c *call, event string) {
	if c.priority == nil {
		return
	}
	m.Count("gateway.priority." + strconv.Itoa(int(min(*c.priority, maxCountedPriority))) + "." + event)
}

func (m *gatewayMetrics) recordLatency(c *call) {
	took := time.Since(c.receivedAt)
	if c.firstEvent == 0 {
		m.plainTime.Record(took)
		return
	}
	m.firstEvent.Record(c.firstEvent)
	m.streamTime.Record(took)
}
