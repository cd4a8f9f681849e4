package gateway

import (
	"sync"
	"time"

	"github.com/snipereach/snipereach/wire"
)

const (
	// leavePace is the pace of a rank from which running requests leave it. A single request at a
	// slow rank makes the passes of the whole group as long as that rank's. Below leavePace,
	// reading the prompt again elsewhere costs as much as staying.
	leavePace = 1.7
	// maxLeftFraction is the fraction of the ranks that may be left. With more slow ranks the
	// others would be overloaded, and the group as a whole is slow.
	maxLeftFraction = 0.25
)

// ranksToLeave returns the upstreams that running requests should leave. No new requests go to a
// slow rank, but those that run there hold up the streams of the whole group.
func ranksToLeave(ranks []*wire.RankState) (slow []string) {
	for _, r := range ranks {
		if paceOf(r) >= leavePace {
			slow = append(slow, r.Upstream)
		}
	}
	if float64(len(slow)) > maxLeftFraction*float64(len(ranks)) {
		return nil
	}
	return slow
}

// movableAttempts holds the attempts that may be given up for another upstream.
type movableAttempts struct {
	mu         sync.Mutex
	byUpstream map[string]map[*silenceWatchdog]struct{}
}

func newMovableAttempts() *movableAttempts {
	return &movableAttempts{byUpstream: map[string]map[*silenceWatchdog]struct{}{}}
}

func (m *movableAttempts) add(w *silenceWatchdog) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.byUpstream[w.upstream] == nil {
		m.byUpstream[w.upstream] = map[*silenceWatchdog]struct{}{}
	}
	m.byUpstream[w.upstream][w] = struct{}{}
}

func (m *movableAttempts) remove(w *silenceWatchdog) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.byUpstream[w.upstream], w)
	if len(m.byUpstream[w.upstream]) == 0 {
		delete(m.byUpstream, w.upstream)
	}
}

// at returns the attempts at an upstream.
func (m *movableAttempts) at(upstream string) []*silenceWatchdog {
	m.mu.Lock()
	defer m.mu.Unlock()
	var list []*silenceWatchdog
	for w := range m.byUpstream[upstream] {
		list = append(list, w)
	}
	return list
}

// applySurvey applies the states of ranks, and has running requests leave the slow ones, without
// borrowing retries, for which surveys would have to wait.
func (g *Gateway) applySurvey(number uint64, ranks []*wire.RankState) {
	if len(ranks) == 0 {
		return
	}
	now := time.Now()
	for _, id := range g.services.applySurvey(now, number, ranks, g.position()) {
		for _, w := range g.movable.at(id) {
			if w.call.reserveRetry(now, w, g.retryBudget.TakeOwn) {
				g.logState("Request leaves a slow upstream.", "request", w.call.params.ID, "upstream", id)
				g.metrics.Count("gateway.left_slow")
				w.cancel()
			}
		}
	}
}
