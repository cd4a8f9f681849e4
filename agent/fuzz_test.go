package agent_test

import (
	"context"
	"testing"

	"github.com/go-kit/log"

	"github.com/snipereach/snipereach/internal/surface"
	"github.com/snipereach/snipereach/quickstart"
	"github.com/snipereach/snipereach/wire"
)

// upstream is the ID of the agent under test.
const upstream = "lm-1"

// startSystem starts a system for a fuzz target.
func startSystem(f *testing.F) *quickstart.System {
	f.Helper()
	sys, err := quickstart.Start(context.Background(), quickstart.Options{Log: log.NewNopLogger(), FakeDisks: true})
	if err != nil {
		f.Fatal(err)
	}
	f.Cleanup(sys.Stop)
	if err := sys.WaitReady(context.Background()); err != nil {
		f.Fatal(err)
	}
	return sys
}

// A peer that knows the cluster secret sends malformed messages. The agent must keep
// answering, with bounded memory.
func FuzzPeers(f *testing.F) {
	sys := startSystem(f)
	peers := surface.NewPeers(sys.Agent(upstream).Address(), quickstart.ClusterSecret, wire.DRPCAgentDescription{})
	peers.AddSeeds(f)
	watch := &surface.HealthCheck{Health: "http://" + sys.Entries[0].CallerAddress() + "/healthz"}
	f.Fuzz(func(t *testing.T, method uint8, data []byte, raw bool) {
		peers.Send(t, method, data, raw)
		watch.CountInput(t)
	})
}

// Arbitrary bytes are sent to the HTTP port for the state dump and the metrics. The agent
// must keep answering there, with bounded memory.
func FuzzOperators(f *testing.F) {
	address := startSystem(f).OperatorAddress(upstream)
	for _, r := range surface.OperatorRequests() {
		f.Add([]byte(r))
	}
	watch := &surface.HealthCheck{Health: "http://" + address + "/debug/state"}
	f.Fuzz(func(t *testing.T, data []byte) {
		surface.SendRaw(t, address, data)
		watch.CountInput(t)
	})
}
