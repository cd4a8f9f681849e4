package sidecar

import (
	"context"
	"errors"
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/snipereach/snipereach/transport"
	"github.com/snipereach/snipereach/wire"
)

// A rank on a frozen host accepts calls and answers none. The relay returns the answers of
// the other ranks within the call's limit.
func TestGatherReturnsWithoutSilentRank(t *testing.T) {
	ctx, cancel, err := withCallLimits(t.Context(), 3, 50)
	assert.NilError(t, err)
	defer cancel()
	began := time.Now()
	answers := gather(ctx, 3, func(i int) (*wire.RankReading, error) {
		switch i {
		case 1:
			time.Sleep(2 * time.Second)
		case 2:
			return nil, errors.New("connection refused")
		}
		return &wire.RankReading{Epoch: uint64(i + 1)}, nil
	})
	assert.Assert(t, time.Since(began) < time.Second)
	assert.Equal(t, answers[0].value.Epoch, uint64(1))
	assert.Assert(t, answers[1].value == nil)
	assert.Assert(t, answers[2].value == nil)
}

func TestRelayRefusesTooManyRanks(t *testing.T) {
	s := NewService(nil, "127.0.0.1:1", nil)
	_, err := s.ReadRanks(t.Context(), &wire.ReadRanksRequest{Ranks: make([]*wire.RankPlace, maxRanksPerCall+1), LimitMs: 10})
	assert.ErrorIs(t, err, ErrInvalidRelayCall)
	_, err = s.OrderRanks(t.Context(), &wire.OrderRanksRequest{Orders: make([]*wire.PlacedOrder, maxRanksPerCall+1), LimitMs: 10})
	assert.ErrorIs(t, err, ErrInvalidRelayCall)
}

// A malformed element without an order gets the status UNKNOWN and doesn't fail the call.
func TestRelayReportsMissingOrderAsUnknown(t *testing.T) {
	s := NewService(nil, "127.0.0.1:1", nil)
	reply, err := s.OrderRanks(context.Background(), &wire.OrderRanksRequest{Orders: []*wire.PlacedOrder{{}}, LimitMs: 50})
	assert.NilError(t, err)
	assert.Equal(t, len(reply.Replies), 1)
	assert.Equal(t, reply.Replies[0].Status, wire.RankOrderStatus_RANK_ORDER_STATUS_UNKNOWN)
}

// The leader must learn which sidecars refused connections: their processes have ended but their
// hosts are up, so they may be back soon. One that doesn't answer must not be taken for such.
func TestRelayTellsWhichSidecarsRefuse(t *testing.T) {
	silent, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = silent.Close() })
	stopped, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	assert.NilError(t, stopped.Close())
	pool := transport.NewPool(transport.Security{Secret: []byte("a secret of the tests")})
	t.Cleanup(pool.Close)
	s := NewService(nil, "127.0.0.1:1", pool)

	reading, err := s.ReadRanks(t.Context(), &wire.ReadRanksRequest{LimitMs: 300, Ranks: []*wire.RankPlace{
		{Sidecar: silent.Addr().String()}, {Sidecar: stopped.Addr().String()},
	}})
	assert.NilError(t, err)
	assert.Assert(t, !reading.Readings[0].Refused && reading.Readings[1].Refused)

	orders, err := s.OrderRanks(t.Context(), &wire.OrderRanksRequest{LimitMs: 300, Orders: []*wire.PlacedOrder{
		{Order: &wire.RankOrder{}, Sidecar: silent.Addr().String()}, {Order: &wire.RankOrder{}, Sidecar: stopped.Addr().String()},
	}})
	assert.NilError(t, err)
	assert.Assert(t, !orders.Replies[0].Refused && orders.Replies[1].Refused)
	assert.Equal(t, orders.Replies[1].Status, wire.RankOrderStatus_RANK_ORDER_STATUS_UNKNOWN)
}
