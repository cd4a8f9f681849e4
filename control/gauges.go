package control

import (
	"context"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/snipereach/snipereach/consensus"
	"github.com/snipereach/snipereach/kernel"
)

// gaugeTimeout bounds the read of a gauge, so that a blocked loop doesn't block the metrics
// endpoint.
const gaugeTimeout = 500 * time.Millisecond

// RegisterMetrics registers the replica's gauges, which are computed when they are read.
func (c *Control) RegisterMetrics(r metrics.Registry) {
	for name, value := range map[string]func(*Replica, consensus.Status) int64{
		"control.leader":   func(_ *Replica, s consensus.Status) int64 { return kernel.BoolGauge(s.Lease) },
		"control.term":     func(_ *Replica, s consensus.Status) int64 { return int64(s.Term) },
		"control.applied":  func(_ *Replica, s consensus.Status) int64 { return int64(s.Applied) },
		"control.behind":   func(_ *Replica, s consensus.Status) int64 { return int64(s.Commit - s.Applied) },
		"control.revision": func(r *Replica, _ consensus.Status) int64 { return int64(r.machine.table.Revision()) },
		"control.rows.age_ms": func(r *Replica, _ consensus.Status) int64 {
			return r.node.ConfirmedAge(r.now()).Milliseconds()
		},
		"control.failed": func(r *Replica, _ consensus.Status) int64 { return kernel.BoolGauge(r.failed != nil) },
	} {
		metrics.NewRegisteredFunctionalGauge(name, r, func() int64 { return c.readGauge(value) })
	}
}

// readGauge returns a value that is computed in the replica's loop, or -1 if there is no
// replica or its loop doesn't answer within gaugeTimeout.
func (c *Control) readGauge(value func(*Replica, consensus.Status) int64) int64 {
	r := c.currentReplica()
	if r == nil {
		return -1
	}
	ctx, cancel := context.WithTimeout(context.Background(), gaugeTimeout)
	defer cancel()
	// The loop may run the function after the timeout, so the channel is buffered.
	got := make(chan int64, 1)
	if err := r.postToLoop(ctx, func() { got <- value(r, r.node.Status()) }); err != nil {
		return -1
	}
	select {
	case v := <-got:
		return v
	case <-ctx.Done():
		return -1
	}
}
