package agent

import (
	"context"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/snipereach/snipereach/kernel"
	"github.com/snipereach/snipereach/refusal"
	"github.com/snipereach/snipereach/wire"
)

// minReportInterval bounds how often a watcher may ask to be told.
const minReportInterval = 50 * time.Millisecond

func (a *Agent) countOutcome(o wire.Outcome, r wire.Reason) {
	if o == wire.Outcome_OUTCOME_DONE && r == 0 {
		a.doneAttempts.Inc(1)
		return
	}
	name := "agent.attempts." + refusal.OutcomeWord(o)
	if r != 0 {
		name += "." + refusal.ReasonWord(r)
	}
	metrics.GetOrRegisterCounter(name, a.metrics).Inc(1)
}

// Watch implements the Agent service.
func (a *Agent) Watch(req *wire.WatchRequest, stream wire.DRPCAgent_WatchStream) error {
	interval := max(time.Duration(req.IntervalMs)*time.Millisecond, minReportInterval)
	tick := time.NewTicker(interval)
	defer tick.Stop()
	reports := Reports{Rule: watchReportRule(req)}
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
		if reports.Due(now, r) {
			if err := stream.Send(r); err != nil {
				return err
			}
			reports.Sent(now, r)
		}
		select {
		case <-stream.Context().Done():
			return nil
		case <-tick.C:
		}
	}
}

// reportRule is what a watcher asked for. An entry of an earlier version names no
// keep-alive and takes silence for death: it is told at each interval.
func watchReportRule(req *wire.WatchRequest) ReportRule {
	return ReportRule{Change: reportChange, KeepAlive: time.Duration(req.KeepAliveMs) * time.Millisecond}
}

// service is the agent as its peers call it.
type service struct{ *Agent }

// Drain implements the Agent service: an operator asks the upstream to leave.
func (s service) Drain(ctx context.Context, req *wire.DrainRequest) (*wire.DrainReply, error) {
	kernel.Info(s.log, "Asked to leave.", "by", req.By)
	s.Leave(ctx)
	running, waiting := s.runner.Counts()
	return &wire.DrainReply{Running: uint32(running), Waiting: uint32(waiting)}, nil
}
