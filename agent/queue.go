package agent

import (
	"sync"

	"github.com/snipereach/snipereach/admit"
	"github.com/snipereach/snipereach/kernel"
	"github.com/snipereach/snipereach/wire"
)

// queueConfig holds the queue settings, and the pool row and revision they come from.
type queueConfig struct {
	Pool          string `json:"pool"`
	Revision      uint64 `json:"revision"`
	Slots         int    `json:"slots"`
	MaxQueue      int    `json:"max_queue"`
	UrgentPercent int    `json:"urgent_percent"`
}

func initialQueueConfig(s *Settings) queueConfig {
	return queueConfig{Slots: s.Slots, MaxQueue: s.MaxQueue, UrgentPercent: s.UrgentPercent}
}

func (q queueConfig) admitSettings() admit.Settings {
	return admit.Settings{
		Slots:    q.Slots,
		Reserved: admit.ReservedSlots(q.Slots, q.UrgentPercent),
		MaxQueue: q.MaxQueue,
	}
}

// currentQueueConfig holds the queue settings in force.
type currentQueueConfig struct {
	mu     sync.Mutex
	config queueConfig
}

func (s *currentQueueConfig) get() queueConfig {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.config
}

// apply puts a pool row in force and returns the settings in force and whether they
// changed. Control replicas reply from their own state, which may lag, so a row with an
// equal or lower revision is ignored, as is one without slots. configure is called under
// the lock, so that of two concurrent rows the one with the higher revision stays in
// force.
func (s *currentQueueConfig) apply(row *wire.PoolSettings, configure func(admit.Settings)) (queueConfig, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	next := queueConfig{
		Pool: row.Pool, Revision: row.Revision,
		Slots: int(row.Slots), MaxQueue: int(row.MaxQueue), UrgentPercent: int(row.UrgentPercent),
	}
	if next.Revision <= s.config.Revision || next.Slots < 1 {
		return s.config, false
	}
	s.config = next
	configure(next.admitSettings())
	return next, true
}

// applyPoolSettings applies the queue settings of the first of the agent's pools. Queued
// and running work is unaffected: a lower concurrency limit is reached as running requests
// finish.
func (a *Agent) applyPoolSettings(rows []*wire.PoolSettings) {
	for _, row := range rows {
		if row.Pool != a.settings.Pools[0] {
			continue
		}
		q, changed := a.queue.apply(row, a.runner.Configure)
		if !changed {
			return
		}
		kernel.Info(a.log, "Queue settings applied.", "pool", q.Pool, "revision", q.Revision,
			"slots", q.Slots, "max_queue", q.MaxQueue, "urgent_percent", q.UrgentPercent)
	}
}
