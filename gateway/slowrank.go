package gateway

import (
	"sync"
	"time"

	"github.com/snipereach/snipereach/wire"
)

const (
	// leavePace is the pace of a rank from which on running requests leave it. The pass
	// of a group takes as long as that of its slowest rank, also if that has one request
	// only: with a pace of five, passes of 55 ms took 170 to 200 ms for as long as a
	// stream ran there. Below it, reading a prompt again elsewhere costs as much.
	leavePace = 1.7
	// mostLeft is the part of the ranks that may be left: beyond it the others would be
	// filled up, and what is slow is the group.
	mostLeft = 0.25
)

// toLeave returns the upstreams that running requests should leave.
//
// The load that it answers: one rank of a group turns slow while all run streams. No new
// requests go there, but those that run go on for the longer the slower the rank is,
// and hold up the streams of all the others.
func toLeave(ranks []*wire.RankState) (slow []string) {
	for _, r := range ranks {
		if paceOf(r) >= leavePace {
			slow = append(slow, r.Upstream)
		}
	}
	if float64(len(slow)) > mostLeft*float64(len(ranks)) {
		return nil
	}
	return slow
}

// movable holds the attempts that may be given up for another upstream.
type movable struct {
	mu         sync.Mutex
	byUpstream map[string]map[*attemptWatch]struct{}
}

func newMovable() *movable { return &movable{byUpstream: map[string]map[*attemptWatch]struct{}{}} }

func (m *movable) add(w *attemptWatch) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.byUpstream[w.upstream] == nil {
		m.byUpstream[w.upstream] = map[*attemptWatch]struct{}{}
	}
	m.byUpstream[w.upstream][w] = struct{}{}
}

func (m *movable) remove(w *attemptWatch) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.byUpstream[w.upstream], w)
	if len(m.byUpstream[w.upstream]) == 0 {
		delete(m.byUpstream, w.upstream)
	}
}

// at returns the attempts at an upstream.
func (m *movable) at(upstream string) []*attemptWatch {
	m.mu.Lock()
	defer m.mu.Unlock()
	var list []*attemptWatch
	for w := range m.byUpstream[upstream] {
		list = append(list, w)
	}
	return list
}

// takeSurvey takes the states of ranks, and has running requests leave the slow ones.
func (g *Gateway) takeSurvey(number uint64, ranks []*wire.RankState) {
	if len(ranks) == 0 {
		return
	}
	now := time.Now()
	for _, id := range g.fleet.survey(now, number, ranks, g.placeAmongEntries()) {
		for _, w := range g.movable.at(id) {
			if w.call.takeMove(now, w.at) {
				g.believe("Request leaves a slow upstream.", "request", w.call.asked.ID, "upstream", id)
				g.metrics.Count("gateway.left_slow")
				w.cancel()
			}
		}
	}
}
