package leader

import (
	"context"
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/snipereach/snipereach/lockstep"
	"github.com/snipereach/snipereach/sidecar"
	"github.com/snipereach/snipereach/wire"
)

// sidecarRetryIn calls a rank whose sidecar listens at a port, and returns for how long the
// sidecar isn't called after that.
func sidecarRetryIn(t *testing.T, port int) time.Duration {
	t.Helper()
	l := newLeaderOfGroup(t, &groupSidecar{})
	l.settings.SidecarPort = port
	g := l.groups["g"]
	g.updateLinks(l.view.groups["g"], lockstep.Shape{Ranks: 2, Sets: 1, Experts: 4, Places: 3, Spare: 2})
	now := time.Now()
	g.Leader.clock = func() time.Time { return now }
	ctx, cancel := context.WithTimeout(t.Context(), orderTimeout)
	defer cancel()
	_, err := callRank(g, g.links[0], func(c wire.DRPCSidecarClient) (*wire.RankReading, error) { return c.Read(ctx, &wire.ReadRankRequest{}) },
		func(*sidecar.Rank) (*wire.RankReading, error) { return nil, errNoDirectCalls })
	assert.Assert(t, err != nil)
	return g.links[0].sidecarRetryAt.Sub(now)
}

// A sidecar was killed and was back within a second, but its rank was called directly for 2 s, and
// its late reports delayed the hold of the next switch.
func TestSidecarThatRefusesConnectionsIsRetriedSoon(t *testing.T) {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	port := lis.Addr().(*net.TCPAddr).Port
	assert.NilError(t, lis.Close())
	delay := sidecarRetryIn(t, port)
	assert.Assert(t, delay >= 200*time.Millisecond && delay <= 300*time.Millisecond, "%v", delay)
}

// Each call to a sidecar that doesn't answer costs a timeout, for which a group may be held, so
// such a sidecar must not be called again as soon.
func TestSilentSidecarIsNotRetriedSoon(t *testing.T) {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = lis.Close() })
	assert.Equal(t, sidecarRetryIn(t, lis.Addr().(*net.TCPAddr).Port), sidecarRetryDelay)
}

// ReadRanks answers as a relay that reaches no rank: the sidecar of r-1 refuses connections and
// the others don't answer.
func (s *groupSidecar) ReadRanks(_ context.Context, req *wire.ReadRanksRequest) (*wire.ReadRanksReply, error) {
	reply := &wire.ReadRanksReply{}
	for _, r := range req.Ranks {
		reply.Readings = append(reply.Readings, &wire.RankReading{Refused: r.Instance == "r-1"})
	}
	return reply, nil
}

// OrderRanks answers as ReadRanks does.
func (s *groupSidecar) OrderRanks(_ context.Context, req *wire.OrderRanksRequest) (*wire.OrderRanksReply, error) {
	reply := &wire.OrderRanksReply{}
	for _, o := range req.Orders {
		reply.Replies = append(reply.Replies, &wire.RankOrderReply{Refused: o.Order.Instance == "r-1"})
	}
	return reply, nil
}

// In a large group it is a relay whose connection to the killed sidecar is refused, and the leader
// waited for 2 s as well.
func TestSidecarThatRefusesItsRelayIsRetriedSoon(t *testing.T) {
	for name, call := range map[string]func(*group){
		"reading": func(g *group) { g.readThroughRelay(t.Context(), 0, []int{0, 1}, &wire.ReadRankRequest{}) },
		"orders": func(g *group) {
			g.mu.Lock()
			defer g.mu.Unlock()
			g.sendThroughRelay(t.Context(), 0, []lockstep.Order{
				{Rank: 0, RankOrder: &wire.RankOrder{Instance: "r-0"}}, {Rank: 1, RankOrder: &wire.RankOrder{Instance: "r-1"}},
			})
		},
	} {
		t.Run(name, func(t *testing.T) {
			l := newLeaderOfGroup(t, &groupSidecar{})
			g := l.groups["g"]
			g.updateLinks(l.view.groups["g"], lockstep.Shape{Ranks: 2, Sets: 1, Experts: 4, Places: 3, Spare: 2})
			now := time.Now()
			l.clock = func() time.Time { return now }
			call(g)
			poll.WaitOn(t, func(poll.LogT) poll.Result {
				g.mu.Lock()
				defer g.mu.Unlock()
				if g.links[0].sidecarRetryAt.IsZero() || g.links[1].sidecarRetryAt.IsZero() {
					return poll.Continue("the relay hasn't answered")
				}
				return poll.Success()
			}, poll.WithDelay(time.Millisecond))
			g.mu.Lock()
			defer g.mu.Unlock()
			assert.Equal(t, g.links[0].sidecarRetryAt.Sub(now), sidecarRetryDelay)
			assert.Equal(t, g.links[1].sidecarRetryAt.Sub(now), sidecarRestartDelay)
		})
	}
}
