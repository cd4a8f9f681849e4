package transport_test

import (
	"context"
	"errors"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/snipereach/snipereach/transport"
	"github.com/snipereach/snipereach/wire"
)

// A caller must see that a peer's process is gone while its host lives: it may be back soon.
func TestRefusedConnectionIsTold(t *testing.T) {
	sec := secretOnly("one cluster's secret")
	p := transport.NewPool(sec)
	defer p.Close()
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	_, err := wire.NewDRPCDirectoryClient(p.Conn(ctx, "127.0.0.1:1")).Announce(ctx, &wire.Announcement{})
	assert.ErrorIs(t, err, transport.ErrRefused)
	assert.Assert(t, !errors.Is(err, transport.ErrDial))
}
