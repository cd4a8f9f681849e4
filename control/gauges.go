package control

import (
	"context"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/snipereach/snipereach/consensus"
	"github.com/snipereach/snipereach/kernel"
)

// gaugeTimeout bounds a look at the replica; a loop that is stuck must not hold
// up whoever reads the metrics.
const gaugeTimeout = 500 * time.Millisecond

// RegisterMetrics adds the replica's gauges, read when the metrics are asked for.
func (c *Control) RegisterMetrics(r metrics.Registry) {
	for name, value := range map[string]func(*Replica, consensus.Status) int64{
		"control.leader":   func(_ *Replica, s consensus.Status) int64 { return kernel.OneIf(s.Lease) },
		"control.term":     func(_ *Replica, s consensus.Status) int64 { return int64(s.Term) },
		"control.applied":  func(_ *Replica, s consensus.Status) int64 { return int64(s.Applied) },
		"control.behind":   func(_ *Replica, s consensus.Status) int64 { return int64(s.Commit - s.Applied) },
		"control.revision": func(r *Replica, _ consensus.Status) int64 { return int64(r.machine.table.Revision()) },
		"control.rows.age_ms": func(r *Replica, _ consensus.Status) int64 {
			return r.node.ConfirmedAge(r.now()).Milliseconds()
		},
		"control.failed": func(r *Replica, _ consensus.Status) int64 { return kernel.OneIf(r.failed != nil) },
	} {
		metrics.NewRegisteredFunctionalGauge(name, r, func() int64 { return c.look(value) })
	}
}

// look reads a value in the replica's loop; -1 if there is no replica yet, or its
// loop doesn't answer.
func (c *Control) look(value func(*Replica, consensus.Status) int64) int64 {
	r := c.current()
	if r == nil {
		return -1
	}
	ctx, cancel := context.WithTimeout(context.Background(), gaugeTimeout)
	defer cancel()
	// The loop may run the function after the time is over: the value goes
	// through a channel that nobody needs to read.
	got := make(chan int64, 1)
	if err := r.post(ctx, func() { got <- value(r, r.node.Status()) }); err != nil {
		return -1
	}
	select {
	case v := <-got:
		return v
	case <-ctx.Done():
		return -1
	}
}
