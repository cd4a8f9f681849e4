package sidecar

import (
	"context"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/snipereach/snipereach/lockstep"
	"github.com/snipereach/snipereach/transport"
	"github.com/snipereach/snipereach/wire"
)

// Bounds of what one call may ask of a relay. A leader asks for the root of its ranks.
const (
	maxRelayed = 128
	maxLimit   = 5 * time.Second
)

// ErrRelay is returned for a call that a relay doesn't take.
var ErrRelay = merry.Sentinel("relay doesn't take the call")

// Service answers the leaders of groups: for the rank beside it, and as a relay for
// others. As a relay it keeps nothing, and tells of each rank whether it has answered.
type Service struct {
	*Rank
	// own is the address that this process listens at.
	own  string
	pool *transport.Pool
}

// NewService makes a service over the rank beside a process that listens at own.
func NewService(r *Rank, own string, pool *transport.Pool) *Service {
	return &Service{Rank: r, own: own, pool: pool}
}

// at is the service beside a rank: this one, or one that is called.
func (s *Service) at(ctx context.Context, sidecar string) rankCalls {
	if sidecar == s.own {
		return s.Rank
	}
	return wire.NewDRPCSidecarClient(s.pool.Conn(ctx, sidecar))
}

// rankCalls is what a Rank and a client of a Service have in common.
type rankCalls interface {
	Read(context.Context, *wire.ReadRankRequest) (*wire.RankReading, error)
	Order(context.Context, *wire.RankOrder) (*wire.RankOrderReply, error)
}

// ReadRanks implements the Sidecar service.
func (s *Service) ReadRanks(ctx context.Context, req *wire.ReadRanksRequest) (*wire.ReadRanksReply, error) {
	ctx, cancel, err := bounded(ctx, len(req.Ranks), req.LimitMs)
	if err != nil {
		return nil, err
	}
	defer cancel()
	got := each(ctx, len(req.Ranks), func(i int) (*wire.RankReading, error) {
		place := req.Ranks[i]
		read := &wire.ReadRankRequest{
			Instance: place.Instance, Counts: req.Read.GetCounts(), HeldExperts: req.Read.GetHeldExperts(),
			AwaitPrepared: req.Read.GetAwaitPrepared(), AwaitMs: req.Read.GetAwaitMs(), Reader: req.Read.GetReader(),
		}
		return s.at(ctx, place.Sidecar).Read(ctx, read)
	})
	reply := &wire.ReadRanksReply{}
	var sum []uint32
	for _, a := range got {
		reading := a.value
		if reading == nil {
			reading = &wire.RankReading{}
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
	ctx, cancel, err := bounded(ctx, len(req.Orders), req.LimitMs)
	if err != nil {
		return nil, err
	}
	defer cancel()
	got := each(ctx, len(req.Orders), func(i int) (*wire.RankOrderReply, error) {
		order := req.Orders[i].GetOrder()
		if order == nil {
			return nil, merry.Prepend(ErrRelay, "an order is missing")
		}
		order.Map = req.Map
		return s.at(ctx, req.Orders[i].Sidecar).Order(ctx, order)
	})
	reply := &wire.OrderRanksReply{}
	for _, a := range got {
		one := a.value
		if one == nil {
			one = &wire.RankOrderReply{}
		}
		if one.After != nil {
			// It has waited here for the others. Taken for as fresh as the reply, a state
			// from before a later order would undo what that order's answer says.
			one.After.AgeMs += uint32(time.Since(a.at)/time.Millisecond) + 1
		}
		reply.Replies = append(reply.Replies, one)
	}
	return reply, nil
}

func bounded(ctx context.Context, ranks int, limitMS uint32) (context.Context, context.CancelFunc, error) {
	if ranks > maxRelayed {
		return nil, nil, merry.Prependf(ErrRelay, "%d ranks in one call", ranks)
	}
	limit := min(time.Duration(limitMS)*time.Millisecond, maxLimit)
	ctx, cancel := context.WithTimeout(ctx, limit)
	return ctx, cancel, nil
}

// answered is what one rank answered, and when.
type answered[T any] struct {
	value T
	at    time.Time
}

// each calls f for each of n ranks at once and returns what came before ctx ends. A rank
// that doesn't answer doesn't hold up what the others said: calls that go on are left.
func each[T any](ctx context.Context, n int, f func(int) (T, error)) []answered[T] {
	var mu sync.Mutex
	got := make([]answered[T], n)
	var left sync.WaitGroup
	left.Add(n)
	for i := range n {
		go func() {
			defer left.Done()
			v, err := f(i)
			if err != nil {
				// The leader is told by the missing answer, and logs it.
				return
			}
			mu.Lock()
			defer mu.Unlock()
			got[i] = answered[T]{v, time.Now()}
		}()
	}
	all := make(chan struct{})
	go func() {
		left.Wait()
		close(all)
	}()
	select {
	case <-all:
	case <-ctx.Done():
	}
	mu.Lock()
	defer mu.Unlock()
	return append([]answered[T](nil), got...)
}
