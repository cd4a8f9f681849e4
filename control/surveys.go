package control

import (
	"context"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"
	"google.golang.org/protobuf/proto"

	"github.com/snipereach/snipereach/directory"
	"github.com/snipereach/snipereach/kernel"
	"github.com/snipereach/snipereach/wire"
)

const (
	// surveyBeat is the longest time between two messages to a watcher of surveys.
	surveyBeat = 400 * time.Millisecond
	// silentSurveys is how long a watched replica may say nothing.
	silentSurveys = 3 * surveyBeat
	// resurvey is the pause before a watch of surveys that has ended is opened again.
	resurvey = 150 * time.Millisecond
)

// surveyFeed keeps the latest survey of ranks for the watchers of this replica: its own, if
// it leads groups, or that which it hears from the replica that does.
//
// Entries watch one replica each. A leader that told every entry itself, 147 of them five
// times a second, spent more on that than on all else that it does for its groups.
type surveyFeed struct {
	mu       sync.Mutex
	latest   *toldSurvey
	watchers kernel.Watchers
}

// toldSurvey is a survey as it was told at a time by this replica's clock.
type toldSurvey struct {
	number uint64
	states []byte
	at     time.Time
	// own says that this replica leads the groups.
	own bool
}

// tell makes a survey known to the watchers.
func (f *surveyFeed) tell(s *toldSurvey) {
	f.mu.Lock()
	f.latest = s
	f.mu.Unlock()
	f.watchers.Wake()
}

func (f *surveyFeed) current() *toldSurvey {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.latest
}

// newFor is the latest survey if a watcher may be told of it and was not; nil otherwise.
func (f *surveyFeed) newFor(told *toldSurvey, replica bool) *toldSurvey {
	s := f.current()
	if s == nil || s == told || replica && !s.own {
		return nil
	}
	return s
}

// Survey implements the Routing service.
func (s routingService) Survey(req *wire.WatchSurveyRequest, stream wire.DRPCRouting_SurveyStream) error {
	changed, cancel := s.surveys.watchers.Subscribe()
	defer cancel()
	beat := time.NewTimer(surveyBeat)
	defer beat.Stop()
	// What was told before the watch began may be long over.
	told := s.surveys.current()
	for {
		select {
		case <-stream.Context().Done():
			return nil
		case <-changed:
		case <-beat.C:
			if err := stream.Send(&wire.RankSurvey{}); err != nil {
				return merry.Prepend(ErrUnavailable, err.Error())
			}
			beat.Reset(surveyBeat)
			continue
		}
		next := s.surveys.newFor(told, req.Replica)
		if next == nil {
			continue
		}
		msg := &wire.RankSurvey{Number: next.number, States: next.states, AgeMs: millis(s.settings.Now().Sub(next.at))}
		if err := stream.Send(msg); err != nil {
			return merry.Prepend(ErrUnavailable, err.Error())
		}
		told = next
		beat.Reset(surveyBeat)
	}
}

// followSurveys hears the surveys of each other replica and tells them to the watchers of
// this one.
func (c *Control) followSurveys(ctx context.Context, watcher string, peers func() []string) {
	directory.FollowList(ctx, peers, func(ctx context.Context, addr string) {
		for ctx.Err() == nil {
			err := c.followSurvey(ctx, watcher, addr)
			kernel.Debug(c.log, "Surveys of a replica end.", "replica", addr, "err", err)
			select {
			case <-ctx.Done():
			case <-time.After(resurvey):
			}
		}
	})
}

func (c *Control) followSurvey(ctx context.Context, watcher, addr string) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	silence := time.AfterFunc(silentSurveys, cancel)
	defer silence.Stop()
	client := wire.NewDRPCRoutingClient(c.pool.Conn(ctx, addr))
	stream, err := client.Survey(ctx, &wire.WatchSurveyRequest{Watcher: watcher, Replica: true})
	if err != nil {
		return err
	}
	defer stream.Close()
	for {
		msg, err := stream.Recv()
		if err != nil {
			return err
		}
		silence.Reset(silentSurveys)
		if len(msg.States) > 0 {
			at := c.settings.Now().Add(-time.Duration(msg.AgeMs) * time.Millisecond)
			c.surveys.tell(&toldSurvey{number: msg.Number, states: msg.States, at: at})
		}
	}
}

// encodeStates encodes the states of ranks for all watchers.
func encodeStates(ranks []*wire.RankState) ([]byte, error) {
	return proto.Marshal(&wire.RankStates{Ranks: ranks})
}
