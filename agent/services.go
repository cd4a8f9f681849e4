package agent

import (
	"context"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/snipereach/snipereach/kernel"
	"github.com/snipereach/snipereach/refusal"
	"github.com/snipereach/snipereach/wire"
)

// minReportInterval is the shortest report interval that a watcher gets.
const minReportInterval = 50 * time.Millisecond

func (a *Agent) countOutcome(o wire.Outcome, r wire.Reason) {
	if o == wire.Outcome_OUTCOME_DONE && r == 0 {
		a.doneAttempts.Inc(1)
		return
	}
	name := "agent.attempts." + refusal.OutcomeName(o)
	if r != 0 {
		name += "." + refusal.ReasonName(r)
	}
	metrics.GetOrRegisterCounter(name, a.metrics).Inc(1)
}

// Watch implements the Agent service.
func (a *Agent) Watch(req *wire.WatchRequest, stream wire.DRPCAgent_WatchStream) error {
	interval := max(time.Duration(req.IntervalMs)*time.Millisecond, minReportInterval)
	tick := time.NewTicker(interval)
	defer tick.Stop()
	reports := ReportTracker{Rule: watchReportRule(req)}
	var after uint64
	for {
		now := time.Now()
		r := &wire.Report{
			Upstream: a.settings.ID, Incarnation: a.incarnation.Number(),
			Load: a.currentLoad(), Leaving: a.attempts.isClosed(),
		}
		if !req.NoCacheEvents {
			r.Cache = a.cache.eventsAfter(stream.Context(), now, after)
		}
		if n := len(r.Cache); n > 0 {
			after = r.Cache[n-1].Seq
		}
		if reports.ShouldSend(now, r) {
			if err := stream.Send(r); err != nil {
				return err
			}
			reports.RecordSent(now, r)
		}
		select {
		case <-stream.Context().Done():
			return nil
		case <-tick.C:
		}
	}
}

// watchReportRule returns the report rule for a watch. An entry of an earlier version
// sends no keep-alive and treats silence as a failure, so it gets a report at each
// interval.
func watchReportRule(req *wire.WatchRequest) ReportRule {
	return ReportRule{ChangeThreshold: reportChange, KeepAlive: time.Duration(req.KeepAliveMs) * time.Millisecond}
}

// service implements the Agent service. Its Drain replaces the Drain of Agent, which
// implements kernel.Daemon.
type service struct{ *Agent }

// Drain implements the Agent service. It refuses new work, as Agent.Leave does, and
// returns how many requests are running and queued.
func (s service) Drain(ctx context.Context, req *wire.DrainRequest) (*wire.DrainReply, error) {
	kernel.Info(s.log, "Drain requested.", "by", req.By)
	s.Leave(ctx)
	running, waiting := s.runner.Counts()
	return &wire.DrainReply{Running: uint32(running), Waiting: uint32(waiting)}, nil
}
