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

func (a *Agent) count(o wire.Outcome, r wire.Reason) {
	if o == wire.Outcome_OUTCOME_DONE && r == 0 {
		a.done.Inc(1)
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
	var after uint64
	for {
		r := &wire.Report{
			Upstream: a.settings.ID, Incarnation: a.life.Number(),
			Load: a.currentLoad(), Leaving: a.attempts.isClosed(),
		}
		if events, err := a.up.Cache(stream.Context(), after); err == nil && len(events) > 0 {
			r.Cache = events
			after = events[len(events)-1].Seq
		}
		if err := stream.Send(r); err != nil {
			return err
		}
		select {
		case <-stream.Context().Done():
			return nil
		case <-tick.C:
		}
	}
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
