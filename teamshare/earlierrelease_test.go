package teamshare

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/go-kit/log"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/snipereach/snipereach/kernel"
	"github.com/snipereach/snipereach/transport"
	"github.com/snipereach/snipereach/wire"
)

// collectorService is the Demand service of a replica of this release.
type collectorService struct {
	wire.DRPCDemandUnimplementedServer
	collector *Collector
}

func (s *collectorService) Report(_ context.Context, r *wire.DemandReport) (*wire.DemandTotals, error) {
	return s.collector.Report(r)
}

// serveReplica serves a replica at a loopback address, which it returns: with the Demand service, or without
// it as one of an earlier release.
func serveReplica(t *testing.T, sec transport.Security, earlierRelease bool) string {
	t.Helper()
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	srv := transport.NewServer(sec)
	if !earlierRelease {
		assert.NilError(t, wire.DRPCRegisterDemand(srv.Mux, &collectorService{collector: NewCollector(time.Now)}))
	}
	ctx, cancel := context.WithCancel(context.Background())
	go srv.Serve(ctx, lis)
	t.Cleanup(func() {
		cancel()
		_ = lis.Close()
		srv.Close()
	})
	return lis.Addr().String()
}

// Guards against an update during which gateways have no sums, as most replicas are of an earlier release
// that doesn't know the Demand service.
func TestReplicasOfAnEarlierReleaseAreSkipped(t *testing.T) {
	sec := transport.Security{Secret: []byte("a secret of this test")}
	var addrs []string
	for i := range 5 {
		addrs = append(addrs, serveReplica(t, sec, i > 0))
	}
	pool := transport.NewPool(sec)
	t.Cleanup(pool.Close)
	ctx, cancel := context.WithCancel(context.Background())
	n := NewNode(Options{
		ID: "g", Log: log.NewNopLogger(), Now: time.Now, Metrics: kernel.NewMetrics(), Dial: pool.Conn,
		Replicas: func() []string { return addrs }, Gateways: func() int { return 1 },
	})
	done := make(chan struct{})
	go func() {
		defer close(done)
		n.Run(ctx)
	}()
	defer func() {
		cancel()
		<-done
	}()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		count(n, "a", 20, 10)
		if source(n) == sourceTotals {
			return poll.Success()
		}
		return poll.Continue("no sums yet")
	}, poll.WithTimeout(10*time.Second), poll.WithDelay(50*time.Millisecond))
}
