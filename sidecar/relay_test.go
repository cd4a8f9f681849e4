package sidecar

import (
	"context"
	"errors"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/snipereach/snipereach/wire"
)

// A rank whose host stands still takes every call and answers none. The relay tells the
// leader what the others said, within the limit of the call, and says which one is missing:
// it would otherwise count as late with all of its part.
func TestRelayDoesNotWaitForASilentRank(t *testing.T) {
	ctx, cancel, err := bounded(t.Context(), 3, 50)
	assert.NilError(t, err)
	defer cancel()
	began := time.Now()
	got := each(ctx, 3, func(i int) (*wire.RankReading, error) {
		switch i {
		case 1:
			time.Sleep(2 * time.Second)
		case 2:
			return nil, errors.New("connection refused")
		}
		return &wire.RankReading{Epoch: uint64(i + 1)}, nil
	})
	assert.Assert(t, time.Since(began) < time.Second)
	assert.Equal(t, got[0].value.Epoch, uint64(1))
	assert.Assert(t, got[1].value == nil)
	assert.Assert(t, got[2].value == nil)
}

func TestRelayRefusesTooManyRanks(t *testing.T) {
	s := NewService(nil, "127.0.0.1:1", nil)
	_, err := s.ReadRanks(t.Context(), &wire.ReadRanksRequest{Ranks: make([]*wire.RankPlace, maxRelayed+1), LimitMs: 10})
	assert.ErrorIs(t, err, ErrRelay)
	_, err = s.OrderRanks(t.Context(), &wire.OrderRanksRequest{Orders: make([]*wire.PlacedOrder, maxRelayed+1), LimitMs: 10})
	assert.ErrorIs(t, err, ErrRelay)
}

// An order without a body comes from a leader that is wrong. The others are passed on, and
// nobody says that this one was carried out.
func TestRelayTellsAMissingOrderAsUnknown(t *testing.T) {
	s := NewService(nil, "127.0.0.1:1", nil)
	reply, err := s.OrderRanks(context.Background(), &wire.OrderRanksRequest{Orders: []*wire.PlacedOrder{{}}, LimitMs: 50})
	assert.NilError(t, err)
	assert.Equal(t, len(reply.Replies), 1)
	assert.Equal(t, reply.Replies[0].Status, wire.RankOrderStatus_RANK_ORDER_STATUS_UNKNOWN)
}
