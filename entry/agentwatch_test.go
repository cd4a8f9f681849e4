package entry

import (
	"context"
	"net"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-kit/log"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/snipereach/snipereach/directory"
	"github.com/snipereach/snipereach/table"
	"github.com/snipereach/snipereach/transport"
	"github.com/snipereach/snipereach/wire"
)

// singleReportAgent sends one report on each watch, or none while it is frozen.
type singleReportAgent struct {
	wire.DRPCAgentUnimplementedServer
	watches atomic.Int32
	frozen  atomic.Bool
	// cache is true if the last watch requested cache events.
	cache atomic.Bool
}

func (a *singleReportAgent) Watch(req *wire.WatchRequest, stream wire.DRPCAgent_WatchStream) error {
	a.cache.Store(!req.NoCacheEvents)
	a.watches.Add(1)
	if !a.frozen.Load() {
		_ = stream.Send(&wire.Report{Upstream: "up", Incarnation: 1, Load: &wire.Load{Seq: uint64(a.watches.Load())}})
	}
	<-stream.Context().Done()
	return nil
}

// serveAgent serves an agent on loopback and returns its address.
func serveAgent(ctx context.Context, t *testing.T, e *Entry, a *singleReportAgent) string {
	srv := transport.NewServer(e.sec)
	assert.NilError(t, wire.DRPCRegisterAgent(srv.Mux, a))
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(srv.Close)
	t.Cleanup(func() { _ = lis.Close() })
	go srv.Serve(ctx, lis)
	return lis.Addr().String()
}

// A watch without cache events is opened again with them when a pool of its upstream
// changes to a routing plug-in that uses them, and the other way round.
func TestWatchFollowsNeedForCacheEvents(t *testing.T) {
	a := &singleReportAgent{}
	e, err := New(validSettings(), log.NewNopLogger())
	assert.NilError(t, err)
	t.Cleanup(func() { e.Stop() })
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	up := &directory.Instance{Announcement: &wire.Announcement{
		Id: "up", Incarnation: 1, Phase: wire.Phase_PHASE_UP, Address: serveAgent(ctx, t, e, a),
	}}
	e.agentWatches.start(ctx)
	for _, routes := range [][]string{{"least-loaded"}, {"least-loaded", "prefix", "round-robin"}, {"round-robin"}} {
		watches, routed := a.watches.Load(), routedUpstreams{}
		for _, r := range routes {
			routed.add("up", &table.Pool{Route: r})
		}
		for range 2 {
			e.agentWatches.update([]*directory.Instance{up}, routed)
		}
		poll.WaitOn(t, func(poll.LogT) poll.Result {
			if a.watches.Load() > watches && a.cache.Load() == (len(routes) > 1) {
				return poll.Success()
			}
			return poll.Continue("no watch as wanted for %v", routes)
		})
	}
}

// An entry without control replicas requests a report from an upstream that has been
// silent for longer than its lease, and keeps it if it answers. A frozen upstream doesn't
// answer and is removed.
func TestPartitionedEntryRequestsReportsFromSilentUpstreams(t *testing.T) {
	a := &singleReportAgent{}
	e, err := New(validSettings(), log.NewNopLogger())
	assert.NilError(t, err)
	t.Cleanup(func() { e.Stop() })
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	address := serveAgent(ctx, t, e, a)

	// The directory's clock advances only in explicit steps, so that answers aren't
	// late on a busy machine.
	var elapsed atomic.Int64
	clock := func() time.Time { return time.Unix(1000, 0).Add(time.Duration(elapsed.Load())) }
	settings := directory.DefaultSettings()
	settings.SettleTime = 0
	e.node = directory.NewNode(settings, clock, nil)
	e.node.SetProbe(e.agentWatches.requestReport)
	go e.node.Run(ctx)
	_, err = e.node.Announce(ctx, &wire.Announcement{
		Id: "up", Incarnation: 1, Seq: 1, Role: wire.Role_ROLE_UPSTREAM, Phase: wire.Phase_PHASE_UP, Address: address,
	})
	assert.NilError(t, err)
	instances := func() []*directory.Instance { return e.node.Instances(wire.Role_ROLE_UPSTREAM) }
	e.agentWatches.start(ctx)
	e.agentWatches.update(instances(), routedUpstreams{"up": true})
	reported := func(seq uint64) poll.Check {
		return func(poll.LogT) poll.Result {
			if l := e.agentWatches.load(&directory.Instance{Announcement: &wire.Announcement{Id: "up", Incarnation: 1}}); l.GetSeq() >= seq {
				return poll.Success()
			}
			return poll.Continue("no report %d", seq)
		}
	}
	for round := uint64(1); round <= 3; round++ {
		poll.WaitOn(t, reported(round))
		assert.Equal(t, len(instances()), 1)
		elapsed.Add(int64(settings.DefaultLease + time.Second/2))
	}
	poll.WaitOn(t, reported(4))
	a.frozen.Store(true)
	for len(instances()) > 0 && elapsed.Load() < int64(time.Minute) {
		elapsed.Add(int64(time.Second / 2))
		time.Sleep(250 * time.Millisecond)
	}
	assert.Equal(t, len(instances()), 0)
}

// The keep-alive interval grows with the number of watches, to bound the rate of
// keep-alives, up to maxKeepAlive.
func TestKeepAliveIntervalGrowsWithWatches(t *testing.T) {
	w := newAgentWatches(&Entry{})
	for _, c := range []struct {
		watches int
		want    time.Duration
	}{{0, minKeepAlive}, {19, minKeepAlive}, {200, 16 * time.Second}, {384, maxKeepAlive}, {5500, maxKeepAlive}} {
		for i := len(w.byID); i < c.watches; i++ {
			w.byID[strconv.Itoa(i)] = &agentWatch{}
		}
		assert.Equal(t, w.keepAlive(), c.want)
	}
}
