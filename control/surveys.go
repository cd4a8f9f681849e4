package control

import (
	"context"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/snipereach/snipereach/directory"
	"github.com/snipereach/snipereach/kernel"
	"github.com/snipereach/snipereach/lockstep/leader"
	"github.com/snipereach/snipereach/wire"
)

const (
	// surveyKeepalive is the longest time between two messages on a survey stream; an empty
	// message is sent if there is no new survey.
	surveyKeepalive = 400 * time.Millisecond
	// surveySilenceTimeout is how long a survey stream may be silent before it is reopened.
	surveySilenceTimeout = 3 * surveyKeepalive
	// surveyRetryDelay is the delay before a survey stream that has ended is reopened.
	surveyRetryDelay = 150 * time.Millisecond
)

// surveyFeed holds the latest survey of rank states for the watchers of this replica:
// its own if it leads groups, or one received from the replica that does.
//
// Each entry watches one replica, so that the leader doesn't have to send every survey
// to every entry.
type surveyFeed struct {
	mu       sync.Mutex
	latest   *publishedSurvey
	watchers kernel.Watchers
}

// publishedSurvey is a survey with the time, by this replica's clock, at which it was taken.
type publishedSurvey struct {
	number  uint64
	states  []byte
	takenAt time.Time
	// local is set if this replica took the survey as the groups' leader.
	local bool
}

// publish replaces the latest survey and wakes the watchers.
func (f *surveyFeed) publish(s *publishedSurvey) {
	f.mu.Lock()
	f.latest = s
	f.mu.Unlock()
	f.watchers.Notify()
}

// publishLocal publishes a survey that this replica has taken.
func (f *surveyFeed) publishLocal(s leader.Survey) {
	f.publish(&publishedSurvey{number: s.Number, states: s.States, takenAt: s.TakenAt, local: true})
}

func (f *surveyFeed) current() *publishedSurvey {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.latest
}

// nextSurvey returns the latest survey if it differs from the one that a watcher was last
// sent; nil otherwise. Replicas get only surveys taken here: if they passed on surveys
// that they received, they would keep stale ones in circulation.
func (f *surveyFeed) nextSurvey(sent *publishedSurvey, toReplica bool) *publishedSurvey {
	s := f.current()
	if s == nil || s == sent || toReplica && !s.local {
		return nil
	}
	return s
}

// Survey implements the Routing service.
func (s routingService) Survey(req *wire.WatchSurveyRequest, stream wire.DRPCRouting_SurveyStream) error {
	changed, cancel := s.surveys.watchers.Subscribe()
	defer cancel()
	keepalive := time.NewTimer(surveyKeepalive)
	defer keepalive.Stop()
	// A survey published before the watch began may be stale and isn't sent.
	sent := s.surveys.current()
	for {
		select {
		case <-stream.Context().Done():
			return nil
		case <-changed:
		case <-keepalive.C:
			if err := stream.Send(&wire.RankSurvey{}); err != nil {
				return merry.Prepend(ErrUnavailable, err.Error())
			}
			keepalive.Reset(surveyKeepalive)
			continue
		}
		next := s.surveys.nextSurvey(sent, req.Replica)
		if next == nil {
			continue
		}
		msg := &wire.RankSurvey{Number: next.number, States: next.states, AgeMs: clampedMillis(s.settings.Now().Sub(next.takenAt))}
		if err := stream.Send(msg); err != nil {
			return merry.Prepend(ErrUnavailable, err.Error())
		}
		sent = next
		keepalive.Reset(surveyKeepalive)
	}
}

// FollowSurveys receives the surveys of each peer replica and publishes them to the
// watchers of this one, until ctx is done.
func (c *Control) FollowSurveys(ctx context.Context, watcher string, peers func() []string) {
	directory.FollowList(ctx, peers, func(ctx context.Context, addr string) {
		for ctx.Err() == nil {
			err := c.followSurvey(ctx, watcher, addr)
			kernel.Debug(c.log, "Survey stream of a replica ended.", "replica", addr, "err", err)
			select {
			case <-ctx.Done():
			case <-time.After(surveyRetryDelay):
			}
		}
	})
}

// followSurvey publishes the surveys of one replica until its stream ends or is silent
// for surveySilenceTimeout.
func (c *Control) followSurvey(ctx context.Context, watcher, addr string) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	silence := time.AfterFunc(surveySilenceTimeout, cancel)
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
		silence.Reset(surveySilenceTimeout)
		if len(msg.States) > 0 {
			at := c.settings.Now().Add(-time.Duration(msg.AgeMs) * time.Millisecond)
			c.surveys.publish(&publishedSurvey{number: msg.Number, states: msg.States, takenAt: at})
		}
	}
}
