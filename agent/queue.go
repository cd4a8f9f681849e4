package agent

import (
	"sync"

	"github.com/snipereach/snipereach/admit"
	"github.com/snipereach/snipereach/kernel"
	"github.com/snipereach/snipereach/wire"
)

// poolQueue is the settings of the agent's queue, and the row they come from.
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

// queueSettings is what is in force now.
type currentQueueConfig struct {
	mu     sync.Mutex
	config queueConfig
}

func (s *currentQueueConfig) get() queueConfig {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.config
}

// follow puts a row in force and returns true if that changed anything. Each
// control replica answers by its own state: a row from one that lags would bring
// the old settings back for a moment, so a lower revision is ignored. configure is
// called under the lock, so that of two answers at once the later row stays.
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

// followPools takes the queue settings of the first of the agent's pools. What
// waits and runs goes on: lowered slots are reached as work ends.
func (a *Agent) applyPoolSettings(rows []*wire.PoolSettings) {
	for _, row := range rows {
		if row.Pool != a.settings.Pools[0] {
			continue
		}
		q, changed := a.queue.apply(row, a.runner.Configure)
		if !changed {
			return
		}
		kernel.Info(a.log, "Queue settings are in force.", "pool", q.Pool, "revision", q.Revision,
			"slots", q.Slots, "max_queue", q.MaxQueue, "urgent_percent", q.UrgentPercent)
	}
}
