package gateway

import (
	"context"
	"errors"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/snipereach/snipereach/wire"
)

// followSurveys receives the load of the ranks of groups from one control replica at a time.
func (g *Gateway) followSurveys(ctx context.Context) {
	var src surveySource
	for ctx.Err() == nil {
		addr := src.pick(g.now(), g.targets.Addresses())
		err := g.followSurvey(ctx, addr, &src)
		if errors.Is(err, errNearerReplica) {
			g.logState("Surveys will come from a control replica of the same failure domain.", "before", addr)
			continue
		}
		if ctx.Err() == nil && src.expectsSurvey(g.now()) {
			g.logState("No surveys from control replica; switching to another one.", "replica", addr, "since", g.now().Sub(src.lastSurveyAt).Round(time.Millisecond), "err", err)
		}
		src.recordSilence(g.now(), addr)
		select {
		case <-ctx.Done():
		case <-time.After(rewatchDelay):
		}
	}
}

// followSurvey receives surveys from one replica until it is silent, or sends none though surveys
// are expected.
func (g *Gateway) followSurvey(ctx context.Context, addr string, src *surveySource) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	silence := time.AfterFunc(src.silenceTimeout(), cancel)
	defer silence.Stop()
	client := wire.NewDRPCRoutingClient(g.pool.Conn(ctx, addr))
	stream, err := client.Survey(ctx, &wire.WatchSurveyRequest{Watcher: g.settings.ID})
	if err != nil {
		return err
	}
	defer stream.Close()
	for {
		msg, err := stream.Recv()
		if err != nil {
			return err
		}
		if len(msg.States) > 0 {
			if err := g.receiveSurvey(msg); err != nil {
				return err
			}
			src.recordSurvey(g.now())
		}
		if len(msg.States) > 0 || !src.expectsSurvey(g.now()) {
			silence.Reset(src.silenceTimeout())
		}
		if src.shouldMove(g.now(), addr, g.targets.Nearby()) {
			return errNearerReplica
		}
	}
}

// receiveSurvey applies the states of ranks, whose ages include the time on their way.
func (g *Gateway) receiveSurvey(msg *wire.RankSurvey) error {
	states := &wire.RankStates{}
	if err := proto.Unmarshal(msg.States, states); err != nil {
		return err
	}
	for _, r := range states.Ranks {
		r.AgeMs += msg.AgeMs
	}
	g.applySurvey(msg.Number, states.Ranks)
	return nil
}
