package control

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/snipereach/snipereach/backpressure"
	"github.com/snipereach/snipereach/directory"
	"github.com/snipereach/snipereach/kernel"
	"github.com/snipereach/snipereach/outlier"
	"github.com/snipereach/snipereach/quarantine"
	"github.com/snipereach/snipereach/routing"
	"github.com/snipereach/snipereach/wire"
)

// routingConfirmInterval is how often the age of the replica's state is sent to a watcher of
// the routing version while nothing changes. The interval is longer if there are many
// watchers; see directory.KeepaliveInterval.
const routingConfirmInterval = 500 * time.Millisecond

// routingResult is the result of a committed routing command. version is that of the
// configuration in force.
type routingResult struct {
	accepted bool
	version  uint64
}

// routingService implements the Routing service, which operators and entries call.
type routingService struct{ *service }

// forwardRoutingToLeader calls the leader's Routing service if this replica isn't the leader.
// done is false if this replica is the leader and must answer itself.
func forwardRoutingToLeader[R any](ctx context.Context, s *service, call func(context.Context, wire.DRPCRoutingClient) (R, error)) (reply R, done bool, err error) {
	return forwardServiceToLeader(ctx, s, wire.NewDRPCRoutingClient, call)
}

// PutRouting is Routing.Put for a caller in this process.
func (c *Control) PutRouting(ctx context.Context, config *wire.RoutingConfig) (*wire.PutRoutingReply, error) {
	return routingService{&service{c}}.Put(ctx, &wire.PutRoutingRequest{Config: config})
}

// GetRouting is Routing.Get for a caller in this process.
func (c *Control) GetRouting(ctx context.Context) (*wire.RoutingConfig, error) {
	return routingService{&service{c}}.Get(ctx, &wire.GetRoutingRequest{})
}

// Put implements the Routing service. It returns once the configuration, or one with the same
// or a higher version, is durable on a majority of the voters.
func (s routingService) Put(ctx context.Context, req *wire.PutRoutingRequest) (*wire.PutRoutingReply, error) {
	if err := routing.Check(req.GetConfig()); err != nil {
		return nil, err
	}
	reply, done, err := forwardRoutingToLeader(ctx, s.service, func(ctx context.Context, c wire.DRPCRoutingClient) (*wire.PutRoutingReply, error) {
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
	r := s.currentReplica()
	old, err := s.replyIfNotNewer(ctx, r, c.Version)
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

// replyIfNotNewer returns the reply to a configuration whose version is not higher than the
// one in force, or nil. It saves a log entry for documents that an operator sends again after
// a lost reply.
func (s routingService) replyIfNotNewer(ctx context.Context, r *Replica, version uint64) (*wire.PutRoutingReply, error) {
	var applied uint64
	if err := r.runInLoop(ctx, func() { applied = r.machine.routing.Current().GetVersion() }); err != nil {
		return nil, err
	}
	if version > applied {
		return nil, nil
	}
	// An applied version is committed, so the reply is right even if this replica no longer
	// leads.
	return putReply(routingResult{version: applied}), nil
}

// Get implements the Routing service. The read is linearizable.
func (s routingService) Get(ctx context.Context, req *wire.GetRoutingRequest) (*wire.RoutingConfig, error) {
	reply, done, err := forwardRoutingToLeader(ctx, s.service, func(ctx context.Context, c wire.DRPCRoutingClient) (*wire.RoutingConfig, error) {
		return c.Get(ctx, req)
	})
	if done || err != nil {
		return reply, err
	}
	r := s.currentReplica()
	if err := r.barrier(ctx); err != nil {
		return nil, err
	}
	return s.appliedConfig(ctx)
}

// appliedConfig returns the configuration that this replica has applied. Its version is 0 if
// there is none.
func (s routingService) appliedConfig(ctx context.Context) (*wire.RoutingConfig, error) {
	r := s.currentReplica()
	if r == nil {
		return nil, merry.Prepend(ErrUnavailable, "replica belongs to no cluster yet")
	}
	var c *wire.RoutingConfig
	if err := r.runInLoop(ctx, func() { c = r.machine.routing.Current() }); err != nil {
		return nil, err
	}
	if c == nil {
		c = &wire.RoutingConfig{}
	}
	return c, nil
}

// Fetch implements the Routing service. It returns the configuration that this replica has
// applied, which may be out of date.
func (s routingService) Fetch(ctx context.Context, _ *wire.GetRoutingRequest) (*wire.PackedRouting, error) {
	c, err := s.appliedConfig(ctx)
	if err != nil {
		return nil, err
	}
	return s.packed.forConfig(c)
}

// Confirm implements the Routing service.
func (s routingService) Confirm(context.Context, *wire.ConfirmRoutingRequest) (*wire.RoutingConfirmation, error) {
	r := s.currentReplica()
	if r == nil {
		return nil, merry.Prepend(ErrUnavailable, "replica belongs to no cluster yet")
	}
	age, version := r.confirmedRoutingVersion()
	return &wire.RoutingConfirmation{Version: version, ConfirmedAgeMs: age}, nil
}

// confirmedRoutingVersion returns the version that this replica has applied, and how many milliseconds ago
// it was known to be current.
//
// The age must be read before the version. Read after it, the age could be that of a version which the
// replica's loop applied in between, and watchers would take the older one for current.
func (r *Replica) confirmedRoutingVersion() (ageMs uint32, version uint64) {
	ageMs = clampedMillis(r.feed.confirmedAge(r.now()))
	return ageMs, r.routingVersion.Load()
}

// packedRouting caches the latest configuration in the packed form that entries fetch.
type packedRouting struct {
	mu     sync.Mutex
	latest *wire.PackedRouting
}

// forConfig returns the packed form of a configuration, from the cache if it has the version.
func (p *packedRouting) forConfig(c *wire.RoutingConfig) (*wire.PackedRouting, error) {
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

// routingUpdates is what one watcher of the routing version has been sent.
type routingUpdates struct {
	version, evacuations, suspicions, statements, silences uint64
	// current says that the replica was current at the last look.
	current bool
}

// next returns the next message for a watcher, or nil if nothing has changed and none is due. full
// says that more changes wait.
func (u *routingUpdates) next(s routingService, r *Replica, due bool) (v *wire.RoutingVersion, full bool) {
	confirmed, evacuations := r.feed.isCurrent(r.now()), r.evacuations.Load()
	suspicions := s.suspicions.changesSince(u.suspicions)
	statements, statementsUpTo := s.statements.changesSince(u.statements)
	silences, silencesUpTo := s.silences.changesSince(u.silences, r.clock)
	age, version := r.confirmedRoutingVersion()
	v = &wire.RoutingVersion{
		Version: version, ConfirmedAgeMs: age,
		Suspicions: suspicions.Suspicions, Statements: statements, Silences: silences,
		Evacuated: evacuations.Domains, EvacuationRevision: evacuations.Revision,
	}
	full = len(suspicions.Suspicions) == quarantine.MaxBatch || len(statements) == backpressure.MaxStatements || len(silences) == outlier.MaxReports
	changed := v.Version != u.version || evacuations.Revision != u.evacuations || len(v.Suspicions) > 0 || len(v.Statements) > 0 || len(v.Silences) > 0
	becameCurrent := confirmed && !u.current
	u.current = confirmed
	if !due && !changed && !becameCurrent {
		return nil, false
	}
	u.version, u.evacuations, u.suspicions, u.statements = v.Version, evacuations.Revision, suspicions.Version, statementsUpTo
	u.silences = silencesUpTo
	return v, full
}

// Watch implements the Routing service. It sends the applied version, the evacuations, new suspicions,
// changed statements of upstreams and reports of silent ones when they change or the replica becomes current, and otherwise at intervals.
func (s routingService) Watch(_ *wire.WatchRoutingRequest, stream wire.DRPCRouting_WatchStream) error {
	r := s.currentReplica()
	if r == nil {
		return merry.Prepend(ErrUnavailable, "replica belongs to no cluster yet")
	}
	changed, cancel := r.watchers.Subscribe()
	defer cancel()
	s.routingWatchers.Add(1)
	defer s.routingWatchers.Add(-1)
	timer := time.NewTimer(0)
	defer timer.Stop()
	var updates routingUpdates
	due := true
	for {
		v, full := updates.next(s, r, due)
		if v != nil {
			interval := directory.KeepaliveInterval(routingConfirmInterval, int(s.routingWatchers.Load()))
			v.NextMs = clampedMillis(interval)
			if err := stream.Send(v); err != nil {
				return fmt.Errorf("routing watch: %w", err)
			}
			timer.Reset(interval)
		}
		due = false
		if full {
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
