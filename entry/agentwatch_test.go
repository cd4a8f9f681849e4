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

// quietAgent reports once on each watch and then says nothing.
type quietAgent struct {
	wire.DRPCAgentUnimplementedServer
	watches atomic.Int32
	frozen  atomic.Bool
	// cache says that the last watch asked for cache events.
	cache atomic.Bool
}

func (a *quietAgent) Watch(req *wire.WatchRequest, stream wire.DRPCAgent_WatchStream) error {
	a.cache.Store(!req.NoCacheEvents)
	a.watches.Add(1)
	if !a.frozen.Load() {
		_ = stream.Send(&wire.Report{Upstream: "up", Incarnation: 1, Load: &wire.Load{Seq: uint64(a.watches.Load())}})
	}
	<-stream.Context().Done()
	return nil
}

// serveAgent lets an agent answer on loopback for an entry's watches.
func serveAgent(ctx context.Context, t *testing.T, e *Entry, a *quietAgent) string {
	srv := transport.NewServer(e.sec)
	assert.NilError(t, wire.DRPCRegisterAgent(srv.Mux, a))
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(srv.Close)
	t.Cleanup(func() { _ = lis.Close() })
	go srv.Serve(ctx, lis)
	return lis.Addr().String()
}

// An operator routes a pool by prefix. Watches of its upstreams, which brought no
// cache events while nothing was made of them, are opened again with events from
// the first one on; otherwise no hint would ever come.
func TestRoutingByPrefixBringsCacheEvents(t *testing.T) {
	a := &quietAgent{}
	e, err := New(valid(), log.NewNopLogger())
	assert.NilError(t, err)
	t.Cleanup(func() { e.Stop() })
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	up := &directory.Instance{Announcement: &wire.Announcement{
		Id: "up", Incarnation: 1, Phase: wire.Phase_PHASE_UP, Address: serveAgent(ctx, t, e, a),
	}}
	e.watches.start(ctx)
	for _, routes := range [][]string{{"least-loaded"}, {"least-loaded", "prefix", "round-robin"}, {"round-robin"}} {
		watches, routed := a.watches.Load(), watched{}
		for _, r := range routes {
			routed.add("up", &table.Pool{Route: r})
		}
		for range 2 {
			e.watches.update([]*directory.Instance{up}, routed)
		}
		poll.WaitOn(t, func(poll.LogT) poll.Result {
			if a.watches.Load() > watches && a.cache.Load() == (len(routes) > 1) {
				return poll.Success()
			}
			return poll.Continue("no watch as wanted for %v", routes)
		})
	}
}

// An entry is cut off from all control replicas, and an upstream's load doesn't
// change, so that no report comes for longer than its lease. The entry asks it and
// goes on sending it work. When the upstream freezes it doesn't answer, and is gone.
func TestEntryCutOffFromControlAsksQuietUpstreams(t *testing.T) {
	a := &quietAgent{}
	e, err := New(valid(), log.NewNopLogger())
	assert.NilError(t, err)
	t.Cleanup(func() { e.Stop() })
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	address := serveAgent(ctx, t, e, a)

	// The directory's clock stands still but for steps, so a busy machine can't
	// make an answer late.
	var elapsed atomic.Int64
	clock := func() time.Time { return time.Unix(1000, 0).Add(time.Duration(elapsed.Load())) }
	settings := directory.DefaultSettings()
	settings.SettleTime = 0
	e.node = directory.NewNode(settings, clock, nil)
	e.node.SetAsk(e.watches.ask)
	go e.node.Run(ctx)
	_, err = e.node.Announce(ctx, &wire.Announcement{
		Id: "up", Incarnation: 1, Seq: 1, Role: wire.Role_ROLE_UPSTREAM, Phase: wire.Phase_PHASE_UP, Address: address,
	})
	assert.NilError(t, err)
	instances := func() []*directory.Instance { return e.node.Instances(wire.Role_ROLE_UPSTREAM) }
	e.watches.start(ctx)
	e.watches.update(instances(), watched{"up": true})
	reported := func(seq uint64) poll.Check {
		return func(poll.LogT) poll.Result {
			if l := e.watches.load(&directory.Instance{Announcement: &wire.Announcement{Id: "up", Incarnation: 1}}); l.GetSeq() >= seq {
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

// Keep-alives must not grow with the upstreams that an entry watches, nor be so
// rare that a lost report is never healed.
func TestKeepAliveGrowsWithTheWatches(t *testing.T) {
	w := newWatches(&Entry{})
	for _, c := range []struct {
		watches int
		want    time.Duration
	}{{0, minKeepAlive}, {19, minKeepAlive}, {200, 16 * time.Second}, {384, maxKeepAlive}, {5500, maxKeepAlive}} {
		for i := len(w.byID); i < c.watches; i++ {
			w.byID[strconv.Itoa(i)] = &openWatch{}
		}
		assert.Equal(t, w.keepAlive(), c.want)
	}
}
