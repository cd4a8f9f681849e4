package transport_test

import (
	"context"
	"net"
	"testing"

	"github.com/rcrowley/go-metrics"
	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"github.com/snipereach/snipereach/transport"
	"github.com/snipereach/snipereach/wire"
)

// versionService sends one version to each watch.
type versionService struct {
	*wire.DRPCRoutingUnimplementedServer
	version *wire.RoutingVersion
}

func (s versionService) Watch(_ *wire.WatchRoutingRequest, stream wire.DRPCRouting_WatchStream) error {
	return stream.Send(s.version)
}

// Guards against figures of the capacity page that can't be read from a running system: messages and
// bytes are counted by method, with the sizes of the messages.
func TestTrafficIsCountedByMethod(t *testing.T) {
	sec, _, err := transport.NewSecurity("a secret of the tests", transport.TLSSettings{})
	assert.NilError(t, err)
	registry := metrics.NewRegistry()
	srv := transport.NewServer(sec)
	srv.CountTraffic(transport.NewTraffic("control.traffic.", registry))
	service := versionService{version: &wire.RoutingVersion{Version: 7, Evacuated: []string{"hall-a"}}}
	assert.NilError(t, wire.DRPCRegisterRouting(srv.Mux, service))
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer lis.Close()
	go srv.Serve(context.Background(), lis)
	defer srv.Close()
	pool := transport.NewPool(sec)
	defer pool.Close()

	req := &wire.WatchRoutingRequest{Watcher: "entry-1"}
	stream, err := wire.NewDRPCRoutingClient(pool.Conn(context.Background(), lis.Addr().String())).Watch(context.Background(), req)
	assert.NilError(t, err)
	_, err = stream.Recv()
	assert.NilError(t, err)
	count := func(name string) int64 {
		return metrics.GetOrRegisterCounter("control.traffic.Routing.Watch."+name, registry).Count()
	}
	assert.Equal(t, count("sent_messages"), int64(1))
	assert.Equal(t, count("sent_bytes"), int64(proto.Size(service.version)))
	assert.Equal(t, count("received_messages"), int64(1))
	assert.Equal(t, count("received_bytes"), int64(proto.Size(req)))
}
