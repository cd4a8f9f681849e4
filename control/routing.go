package control

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/snipereach/snipereach/directory"
	"github.com/snipereach/snipereach/kernel"
	"github.com/snipereach/snipereach/quarantine"
	"github.com/snipereach/snipereach/routing"
	"github.com/snipereach/snipereach/wire"
)

// routingConfirmInterval is how often a watcher of the routing version is told how
// current the sender is, while nothing changes; more seldom where there are many watchers
// (directory.SpeakInterval).
const routingConfirmInterval = 500 * time.Millisecond

// routingResult is the result of a committed routing configuration.
type routingResult struct {
	accepted bool
	version  uint64
}

// routingService answers operators and entries about the routing configuration.
type routingService struct{ *service }

// passRoutingOn calls the leader's Routing service if this replica isn't the
// leader. done is true when the reply or the error is final.
func passRoutingOn[R any](ctx context.Context, s *service, call func(context.Context, wire.DRPCRoutingClient) (R, error)) (reply R, done bool, err error) {
	return passOnBy(ctx, s, wire.NewDRPCRoutingClient, call)
}

// Put implements the Routing service. It answers once the configuration is
// durable on a majority of the voters, or a version that is not lower is.
func (s routingService) Put(ctx context.Context, req *wire.PutRoutingRequest) (*wire.PutRoutingReply, error) {
	if err := routing.Check(req.GetConfig()); err != nil {
		return nil, err
	}
	reply, done, err := passRoutingOn(ctx, s.service, func(ctx context.Context, c wire.DRPCRoutingClient) (*wire.PutRoutingReply, error) {
		return c.Put(ctx, req)
	})
	if done && err == nil {
		return reply, nil
	}
	if err == nil {
		reply, err = s.putAsLeader(ctx, req.Config)
	}
	if err != nil {
		return &wire.PutRoutingReply{Status: wire.PutRoutingStatus_PUT_ROUTING_STATUS_UNAVAILABLE, Detail: err.Error()}, nil
	}
	return reply, nil
}

func (s routingService) putAsLeader(ctx context.Context, c *wire.RoutingConfig) (*wire.PutRoutingReply, error) {
	if !s.Formed(ctx) {
		return nil, merry.Prepend(ErrUnavailable, "the cluster is being formed")
	}
	r := s.current()
	old, err := s.appliedVersion(ctx, r, c.Version)
	if err != nil {
		return nil, err
	}
	if old != nil {
		return old, nil
	}
	v, err := r.propose(ctx, &wire.Command{Command: &wire.Command_Routing{Routing: c}})
	if err != nil {
		return nil, err
	}
	res := v.(routingResult)
	kernel.Info(r.log, "Routing configuration decided.", "version", c.Version, "accepted", res.accepted, "in_force", res.version)
	return putReply(res), nil
}

func putReply(res routingResult) *wire.PutRoutingReply {
	status := wire.PutRoutingStatus_PUT_ROUTING_STATUS_OLD
	if res.accepted {
		status = wire.PutRoutingStatus_PUT_ROUTING_STATUS_ACCEPTED
	}
	return &wire.PutRoutingReply{Status: status, Version: res.version}
}

// appliedVersion answers a version that is not higher than the one in force without
// another entry on the log: documents are large, and operators send them again
// whenever an answer is lost.
func (s routingService) appliedVersion(ctx context.Context, r *Replica, version uint64) (*wire.PutRoutingReply, error) {
	var held uint64
	if err := r.do(ctx, func() { held = r.machine.routing.Current().GetVersion() }); err != nil {
		return nil, err
	}
	if version > held {
		return nil, nil
	}
	// What is applied is committed, so the answer is true whoever leads now.
	return putReply(routingResult{version: held}), nil
}

// Get implements the Routing service.
func (s routingService) Get(ctx context.Context, req *wire.GetRoutingRequest) (*wire.RoutingConfig, error) {
	reply, done, err := passRoutingOn(ctx, s.service, func(ctx context.Context, c wire.DRPCRoutingClient) (*wire.RoutingConfig, error) {
		return c.Get(ctx, req)
	})
	if done || err != nil {
		return reply, err
	}
	r := s.current()
	if err := r.barrier(ctx); err != nil {
		return nil, err
	}
	return s.applied(ctx)
}

// applied is the configuration that this replica has applied; it has version 0 if
// there is none.
func (s routingService) applied(ctx context.Context) (*wire.RoutingConfig, error) {
	r := s.current()
	if r == nil {
		return nil, merry.Prepend(ErrUnavailable, "replica belongs to no cluster yet")
	}
	var c *wire.RoutingConfig
	if err := r.do(ctx, func() { c = r.machine.routing.Current() }); err != nil {
		return nil, err
	}
	if c == nil {
		c = &wire.RoutingConfig{}
	}
	return c, nil
}

// Fetch implements the Routing service.
func (s routingService) Fetch(ctx context.Context, _ *wire.GetRoutingRequest) (*wire.PackedRouting, error) {
	c, err := s.applied(ctx)
	if err != nil {
		return nil, err
	}
	return s.packed.of(c)
}

// packedRouting keeps the latest configuration as entries fetch it, packed once for all
// of them.
type packedRouting struct {
	mu     sync.Mutex
	latest *wire.PackedRouting
}

func (p *packedRouting) of(c *wire.RoutingConfig) (*wire.PackedRouting, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.latest != nil && p.latest.Version == c.Version {
		return p.latest, nil
	}
	packed, err := routing.Pack(c)
	if err != nil {
		return nil, err
	}
	if p.latest == nil || c.Version > p.latest.Version {
		p.latest = packed
	}
	return packed, nil
}

// Watch implements the Routing service.
func (s routingService) Watch(_ *wire.WatchRoutingRequest, stream wire.DRPCRouting_WatchStream) error {
	r := s.current()
	if r == nil {
		return merry.Prepend(ErrUnavailable, "replica belongs to no cluster yet")
	}
	changed, cancel := r.watchers.Subscribe()
	defer cancel()
	s.routingWatchers.Add(1)
	defer s.routingWatchers.Add(-1)
	timer := time.NewTimer(0)
	defer timer.Stop()
	sent, current, due := uint64(0), false, true
	suspected := uint64(0)
	for {
		version, confirmed := r.routingVersion.Load(), r.feed.current(r.now())
		told := s.suspicions.since(suspected)
		if due || version != sent || confirmed && !current || len(told.Suspicions) > 0 {
			next := directory.SpeakInterval(routingConfirmInterval, int(s.routingWatchers.Load()))
			if err := sendVersion(stream, r, version, next, told.Suspicions); err != nil {
				return err
			}
			sent, suspected = version, told.Version
			timer.Reset(next)
		}
		current, due = confirmed, false
		if len(told.Suspicions) == quarantine.MostTold {
			continue
		}
		select {
		case <-stream.Context().Done():
			return nil
		case <-r.done:
			return ErrStopped
		case <-changed:
		case <-timer.C:
			due = true
		}
	}
}

func sendVersion(stream wire.DRPCRouting_WatchStream, r *Replica, version uint64, next time.Duration, suspicions []*wire.Suspicion) error {
	v := &wire.RoutingVersion{Version: version, ConfirmedAgeMs: millis(r.feed.age(r.now())), NextMs: millis(next), Suspicions: suspicions}
	err := stream.Send(v)
	if err != nil {
		return fmt.Errorf("routing watch: %w", err)
	}
	return nil
}
