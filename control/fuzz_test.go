package control_test

import (
	"context"
	"testing"

	"github.com/go-kit/log"

	"github.com/snipereach/snipereach/internal/surface"
	"github.com/snipereach/snipereach/quickstart"
	"github.com/snipereach/snipereach/wire"
)

// startSystem starts a system with three control replicas for a fuzz target.
func startSystem(f *testing.F) *quickstart.System {
	f.Helper()
	sys, err := quickstart.Start(context.Background(), quickstart.Options{Log: log.NewNopLogger(), FakeDisks: true, Controls: 3})
	if err != nil {
		f.Fatal(err)
	}
	f.Cleanup(sys.Stop)
	if err := sys.WaitReady(context.Background()); err != nil {
		f.Fatal(err)
	}
	return sys
}

// FuzzPeers sends malformed messages of a peer that has the cluster secret to a control
// replica. The system must stay healthy and its memory bounded.
func FuzzPeers(f *testing.F) {
	sys := startSystem(f)
	peers := surface.NewPeers(sys.ControlAddresses()[0], quickstart.ClusterSecret,
		wire.DRPCControlDescription{}, wire.DRPCRaftDescription{}, wire.DRPCDirectoryDescription{})
	peers.AddSeeds(f)
	watch := &surface.HealthCheck{Health: "http://" + sys.Entries[0].CallerAddress() + "/healthz"}
	f.Fuzz(func(t *testing.T, method uint8, data []byte, raw bool) {
		peers.Send(t, method, data, raw)
		watch.CountInput(t)
	})
}

// FuzzOperators sends arbitrary bytes to the port of a control replica's state dump and
// metrics. The port must keep answering and the process's memory stay bounded.
func FuzzOperators(f *testing.F) {
	address := startSystem(f).OperatorAddress("control-1")
	for _, r := range surface.OperatorRequests() {
		f.Add([]byte(r))
	}
	watch := &surface.HealthCheck{Health: "http://" + address + "/debug/state"}
	f.Fuzz(func(t *testing.T, data []byte) {
		surface.SendRaw(t, address, data)
		watch.CountInput(t)
	})
}
