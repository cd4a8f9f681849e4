package sidecar

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/snipereach/snipereach/lockstep"
	"github.com/snipereach/snipereach/transport"
	"github.com/snipereach/snipereach/wire"
)

// Bounds of one relayed call. A leader asks each relay for about the square root of the
// number of its ranks.
const (
	maxRanksPerCall = 128
	maxCallTimeout  = 5 * time.Second
)

// ErrInvalidRelayCall is returned for an invalid call to a relay.
var ErrInvalidRelayCall = merry.Sentinel("invalid relay call")

// Service implements the Sidecar RPC service for the leaders of groups, both for the rank
// on the same host and as a relay for other ranks. A relay is stateless. Its replies leave
// the element of a rank that hasn't answered empty.
type Service struct {
	*Rank
	// ownAddress is the address that this process listens at.
	ownAddress string
	pool       *transport.Pool
}

// NewService creates the service of a process that listens at ownAddress.
func NewService(r *Rank, ownAddress string, pool *transport.Pool) *Service {
	return &Service{Rank: r, ownAddress: ownAddress, pool: pool}
}

// rankAt returns the rank of the sidecar at an address, either the local one or an RPC
// client.
func (s *Service) rankAt(ctx context.Context, sidecar string) rankCalls {
	if sidecar == s.ownAddress {
		return s.Rank
	}
	return wire.NewDRPCSidecarClient(s.pool.Conn(ctx, sidecar))
}

// rankCalls is implemented by Rank and by the RPC client of a Service.
type rankCalls interface {
	Read(context.Context, *wire.ReadRankRequest) (*wire.RankReading, error)
	Order(context.Context, *wire.RankOrder) (*wire.RankOrderReply, error)
}

// ReadRanks implements the Sidecar service.
func (s *Service) ReadRanks(ctx context.Context, req *wire.ReadRanksRequest) (*wire.ReadRanksReply, error) {
	ctx, cancel, err := withCallLimits(ctx, len(req.Ranks), req.LimitMs)
	if err != nil {
		return nil, err
	}
	defer cancel()
	answers := gather(ctx, len(req.Ranks), func(i int) (*wire.RankReading, error) {
		rank := req.Ranks[i]
		read := &wire.ReadRankRequest{
			Instance: rank.Instance, Counts: req.Read.GetCounts(), HeldExperts: req.Read.GetHeldExperts(),
			AwaitPrepared: req.Read.GetAwaitPrepared(), AwaitMs: req.Read.GetAwaitMs(), Reader: req.Read.GetReader(),
		}
		return s.rankAt(ctx, rank.Sidecar).Read(ctx, read)
	})
	reply := &wire.ReadRanksReply{}
	var sum []uint32
	for _, a := range answers {
		reading := a.value
		if reading == nil {
			reading = &wire.RankReading{Refused: a.refused}
		}
		chosen, err := lockstep.UnpackChoices(reading.Chosen)
		if err != nil {
			return nil, err
		}
		sum = lockstep.AddChoices(sum, chosen)
		reading.Chosen = nil
		reply.Readings = append(reply.Readings, reading)
	}
	reply.Chosen = lockstep.PackChoices(sum)
	return reply, nil
}

// OrderRanks implements the Sidecar service.
func (s *Service) OrderRanks(ctx context.Context, req *wire.OrderRanksRequest) (*wire.OrderRanksReply, error) {
	ctx, cancel, err := withCallLimits(ctx, len(req.Orders), req.LimitMs)
	if err != nil {
		return nil, err
	}
	defer cancel()
	answers := gather(ctx, len(req.Orders), func(i int) (*wire.RankOrderReply, error) {
		order := req.Orders[i].GetOrder()
		if order == nil {
			return nil, merry.Prepend(ErrInvalidRelayCall, "order is missing")
		}
		order.Map = req.Map
		return s.rankAt(ctx, req.Orders[i].Sidecar).Order(ctx, order)
	})
	reply := &wire.OrderRanksReply{}
	for _, a := range answers {
		one := a.value
		if one == nil {
			one = &wire.RankOrderReply{Refused: a.refused}
		}
		if one.After != nil {
			// Add the time that the state waited for the answers of other ranks.
			// Otherwise a state from before a later order would look newer than that
			// order's answer.
			one.After.AgeMs += uint32(time.Since(a.at)/time.Millisecond) + 1
		}
		reply.Replies = append(reply.Replies, one)
	}
	return reply, nil
}

func withCallLimits(ctx context.Context, ranks int, limitMS uint32) (context.Context, context.CancelFunc, error) {
	if ranks > maxRanksPerCall {
		return nil, nil, merry.Prependf(ErrInvalidRelayCall, "%d ranks in one call", ranks)
	}
	limit := min(time.Duration(limitMS)*time.Millisecond, maxCallTimeout)
	ctx, cancel := context.WithTimeout(ctx, limit)
	return ctx, cancel, nil
}

// timedAnswer is the answer of one rank and the time of its arrival.
type timedAnswer[T any] struct {
	value T
	at    time.Time
	// refused says that there is no answer, as the rank's sidecar refused the connection.
	refused bool
}

// gather calls f concurrently for each of n ranks and returns the answers that arrive
// before ctx is done. It doesn't wait for calls that are still running then; missing
// answers are zero.
func gather[T any](ctx context.Context, n int, f func(int) (T, error)) []timedAnswer[T] {
	var mu sync.Mutex
	answers := make([]timedAnswer[T], n)
	var pending sync.WaitGroup
	pending.Add(n)
	for i := range n {
		go func() {
			defer pending.Done()
			v, err := f(i)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				// The leader logs the missing answer.
				answers[i].refused = errors.Is(err, transport.ErrRefused)
				return
			}
			answers[i] = timedAnswer[T]{value: v, at: time.Now()}
		}()
	}
	all := make(chan struct{})
	go func() {
		pending.Wait()
		close(all)
	}()
	select {
	case <-all:
	case <-ctx.Done():
	}
	mu.Lock()
	defer mu.Unlock()
	return append([]timedAnswer[T](nil), answers...)
}
