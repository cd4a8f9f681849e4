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
	// surveyBeat is the longest time between two messages on a survey stream; an empty
	// message is sent if there is no new survey.
	surveyBeat = 400 * time.Millisecond
	// silentSurveys is how long a survey stream may be silent before it is reopened.
	silentSurveys = 3 * surveyBeat
	// resurvey is the delay before a survey stream that has ended is reopened.
	resurvey = 150 * time.Millisecond
)

// surveyFeed holds the latest survey of rank states for the watchers of this replica:
// its own if it leads groups, or one received from the replica that does.
//
// Each entry watches one replica, so that the leader doesn't have to send every survey
// to every entry.
type surveyFeed struct {
	mu       sync.Mutex
	latest   *toldSurvey
	watchers kernel.Watchers
}

// toldSurvey is a survey with the time, by this replica's clock, at which it was taken.
type toldSurvey struct {
	number uint64
	states []byte
	at     time.Time
	// own is set if this replica took the survey as the groups' leader.
	own bool
}

// tell publishes a survey to the watchers.
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

// newFor returns the latest survey if it is to be sent to a watcher that last got told;
// nil otherwise. A replica gets only surveys taken here: if replicas passed on surveys
// that they received, they would keep stale ones in circulation.
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
	// A survey published before the watch began may be stale and isn't sent.
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

// followSurveys receives the surveys of each peer replica and publishes them to the
// watchers of this one, until ctx is done.
func (c *Control) followSurveys(ctx context.Context, watcher string, peers func() []string) {
	directory.FollowList(ctx, peers, func(ctx context.Context, addr string) {
		for ctx.Err() == nil {
			err := c.followSurvey(ctx, watcher, addr)
			kernel.Debug(c.log, "Survey stream of a replica ended.", "replica", addr, "err", err)
			select {
			case <-ctx.Done():
			case <-time.After(resurvey):
			}
		}
	})
}

// followSurvey publishes the surveys of one replica until its stream ends or is silent
// for silentSurveys.
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

// encodeStates encodes the states of ranks, once for all watchers.
func encodeStates(ranks []*wire.RankState) ([]byte, error) {
	return proto.Marshal(&wire.RankStates{Ranks: ranks})
}
