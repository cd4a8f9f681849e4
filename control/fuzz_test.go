package control_test

import (
	"context"
	"testing"

	"github.com/go-kit/log"

	"github.com/snipereach/snipereach/internal/surface"
	"github.com/snipereach/snipereach/quickstart"
	"github.com/snipereach/snipereach/wire"
)

// A peer that knows the cluster secret sends malformed messages to a control
// replica. It goes on answering, and its memory stays bounded.
func FuzzPeers(f *testing.F) {
	sys, err := quickstart.Start(context.Background(), quickstart.Options{Log: log.NewNopLogger(), FakeDisks: true, Controls: 3})
	if err != nil {
		f.Fatal(err)
	}
	f.Cleanup(sys.Stop)
	if err := sys.WaitReady(context.Background()); err != nil {
		f.Fatal(err)
	}
	peers := surface.NewPeers(sys.Members()[0], quickstart.Secret,
		wire.DRPCControlDescription{}, wire.DRPCRaftDescription{}, wire.DRPCDirectoryDescription{})
	peers.Seed(f)
	watch := &surface.Watch{Health: "http://" + sys.Entries[0].CallerAddress() + "/healthz"}
	f.Fuzz(func(t *testing.T, method uint8, data []byte, raw bool) {
		peers.Send(t, method, data, raw)
		watch.Input(t)
	})
}
