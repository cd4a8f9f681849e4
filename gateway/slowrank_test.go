package gateway

import (
	"testing"
	"time"

	"github.com/go-kit/log"
	"gotest.tools/v3/assert"

	"github.com/snipereach/snipereach/dialect"
	"github.com/snipereach/snipereach/directory"
	"github.com/snipereach/snipereach/kernel"
	"github.com/snipereach/snipereach/quota"
	"github.com/snipereach/snipereach/retry"
	"github.com/snipereach/snipereach/wire"
)

// slowRankGateway is a gateway that knows six ranks, with streams that run at rank r2. left lists
// the streams whose attempt was cancelled.
type slowRankGateway struct {
	*Gateway
	left []int
}

// slackForThree is a slack of which a single gateway may use three retries at once.
const slackForThree = 7

// newSlowRankGateway returns a gateway with the given numbers of streams at r2 and the given slack of
// the retry budget.
func newSlowRankGateway(t *testing.T, streams int, slack float64) *slowRankGateway {
	set := DefaultSettings()
	set.ID = "entry-1"
	now := time.Now()
	c := &slowRankGateway{Gateway: &Gateway{
		settings: set, movable: newMovableAttempts(), metrics: newGatewayMetrics(), log: log.NewNopLogger(),
		stateLog: kernel.NewLimitedLogger(log.NewNopLogger(), stateLogLines, time.Now), services: newServiceManager(set), node: directory.NewNode(directory.DefaultSettings(), time.Now, nil),
	}}
	alone := func() quota.Position { return quota.Position{Count: 1} }
	c.retryBudget = retry.NewBudget(retry.Allowance{Slack: slack, Window: 10 * time.Second}, alone, nil, func() time.Time { return now })
	var ranks []*directory.Instance
	for _, id := range []string{"r0", "r1", "r2", "r3", "r4", "r5"} {
		ranks = append(ranks, &directory.Instance{Announcement: &wire.Announcement{
			Id: id, Group: "g", Pools: []string{"llm"}, Phase: wire.Phase_PHASE_UP, Direct: &wire.DirectUpstream{Slots: 12},
		}})
	}
	assert.NilError(t, c.services.update(now, ranks, updateInputs{}))
	at := c.services.services["llm"].sorted[0]
	c.services.recordProgress(now, at)
	for i := range streams {
		s := &call{
			Gateway: c.Gateway, service: "llm", group: at, params: dialect.Request{ID: "a"}, deadline: now.Add(time.Minute),
			route: &wire.Route{Kind: wire.RouteKind_ROUTE_KIND_STREAMING, Resume: true, MaxAttempts: 2},
		}
		w := s.watchAttempt("r2", func() { c.left = append(c.left, i) })
		t.Cleanup(w.stop)
	}
	return c
}

func rankStates(pace ...uint32) (list []*wire.RankState) {
	for i, p := range pace {
		list = append(list, &wire.RankState{Upstream: "r" + string(rune('0'+i)), Running: 6, PacePercent: p})
	}
	return list
}

// Streams leave a rank that becomes slow, as it delays the whole group, but no more of them than
// the retry budget allows.
func TestStreamsLeaveSlowRankWithinBudget(t *testing.T) {
	c := newSlowRankGateway(t, 5, slackForThree)
	c.applySurvey(1, rankStates(100, 100, 100, 100, 100, 100))
	assert.Equal(t, len(c.left), 0)
	c.applySurvey(1, rankStates(100, 100, 500, 100, 100, 100))
	assert.Equal(t, len(c.left), 3)
	assert.Assert(t, !c.retryBudget.Take("llm"), "the retry budget was exceeded")
}

// A stream without another attempt stays, as leaving would end it.
func TestStreamWithoutRetryStays(t *testing.T) {
	c := newSlowRankGateway(t, 1, slackForThree)
	for _, w := range c.movable.at("r2") {
		w.call.sent.Store(1)
	}
	c.applySurvey(1, rankStates(100, 100, 500, 100, 100, 100))
	assert.Equal(t, len(c.left), 0)
}

// If too many ranks are slow, the others have no room for their requests, so none leaves.
func TestStreamsStayInSlowGroup(t *testing.T) {
	c := newSlowRankGateway(t, 2, slackForThree)
	c.applySurvey(1, rankStates(500, 100, 500, 100, 100, 100))
	assert.Equal(t, len(c.left), 0)
	assert.Equal(t, len(ranksToLeave([]*wire.RankState{{Upstream: "r0", PacePercent: 500}})), 0)
}

// An attempt that has ended is removed, and its upstream if it was the last.
func TestEndedAttemptsAreRemoved(t *testing.T) {
	c := newSlowRankGateway(t, 1, slackForThree)
	ws := c.movable.at("r2")
	assert.Equal(t, len(ws), 1)
	ws[0].stop()
	assert.Equal(t, len(c.movable.byUpstream), 0)
}
