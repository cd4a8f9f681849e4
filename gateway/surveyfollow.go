package gateway

import (
	"context"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/snipereach/snipereach/wire"
)

// followSurveys hears how busy the ranks of groups are.
func (g *Gateway) followSurveys(ctx context.Context) {
	var src surveySource
	for ctx.Err() == nil {
		addr := src.pick(g.targets.Addresses())
		err := g.followSurvey(ctx, addr, &src)
		if ctx.Err() == nil && src.expects(g.now()) {
			g.believe("Surveys are sought at another replica.", "replica", addr, "since", g.now().Sub(src.heardAt).Round(time.Millisecond), "err", err)
		}
		src.lost()
		select {
		case <-ctx.Done():
		case <-time.After(rewatch):
		}
	}
}

// followSurvey hears surveys from one replica, until it is silent or tells nothing though
// surveys are expected.
func (g *Gateway) followSurvey(ctx context.Context, addr string, src *surveySource) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	silence := time.AfterFunc(src.limit(), cancel)
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
			if err := g.hearSurvey(msg); err != nil {
				return err
			}
			src.heard(g.now())
		}
		if len(msg.States) > 0 || !src.expects(g.now()) {
			silence.Reset(src.limit())
		}
	}
}

// hearSurvey takes the states of ranks, which have grown older on their way.
func (g *Gateway) hearSurvey(msg *wire.RankSurvey) error {
	states := &wire.RankStates{}
	if err := proto.Unmarshal(msg.States, states); err != nil {
		return err
	}
	for _, r := range states.Ranks {
		r.AgeMs += msg.AgeMs
	}
	g.takeSurvey(msg.Number, states.Ranks)
	return nil
}
