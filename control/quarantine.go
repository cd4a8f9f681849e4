package control

import (
	"context"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/snipereach/snipereach/kernel"
	"github.com/snipereach/snipereach/quarantine"
	"github.com/snipereach/snipereach/wire"
)

const (
	// quarantineLogRetryDelay is the delay before the next attempt after a quarantine could
	// not be written to the log, e.g. because there is no leader.
	quarantineLogRetryDelay = 500 * time.Millisecond
	// quarantineLogTimeout bounds one attempt.
	quarantineLogTimeout = 2 * time.Second
)

// suspicionStore holds what a replica knows of requests during which upstreams crashed: the
// reports of entries and the quarantines on the log. Each entry reports to all replicas, so
// reports reach the other entries even if the leader or some of the replicas are lost.
type suspicionStore struct {
	now func() time.Time
	// logSyncRequests wakes syncQuarantinesToLog.
	logSyncRequests chan struct{}

	mu    sync.Mutex
	table *quarantine.Table
	// notifiedVersion is the table's version at the last call of merge.
	notifiedVersion uint64
}

func newSuspicionStore(now func() time.Time) *suspicionStore {
	return &suspicionStore{now: now, logSyncRequests: make(chan struct{}, 1), table: quarantine.NewTable(quarantine.DefaultSettings())}
}

// merge adds validated suspicions to the table. It reports whether the table has changed in a
// way that watchers must be sent.
func (s *suspicionStore) merge(list ...*wire.Suspicion) (changed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	for _, m := range list {
		s.table.Merge(now, m)
	}
	changes := s.table.Since(now, s.notifiedVersion)
	s.notifiedVersion = s.table.Version()
	return len(changes.Suspicions) > 0
}

// changesSince returns what a watcher that has seen a version of the table must be sent.
func (s *suspicionStore) changesSince(version uint64) quarantine.Batch {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.Since(s.now(), version)
}

// all returns the suspicions of all requests that are suspected or in quarantine.
func (s *suspicionStore) all() []*wire.Suspicion {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.All(s.now())
}

// requestLogSync makes syncQuarantinesToLog compare the log with the table.
func (s *suspicionStore) requestLogSync() {
	select {
	case s.logSyncRequests <- struct{}{}:
	default:
	}
}

// syncQuarantinesToLog writes the quarantines in this replica's table to the replicated log,
// so that they survive a restart of all processes. It runs until ctx ends or r stops.
func (c *Control) syncQuarantinesToLog(ctx context.Context, r *Replica) {
	for {
		var retry <-chan time.Time
		if err := c.logMissingQuarantines(ctx, r); err != nil {
			kernel.Debug(c.log, "Quarantine could not be written to the log; it will be retried.", "err", err)
			retry = time.After(quarantineLogRetryDelay)
		}
		select {
		case <-ctx.Done():
			return
		case <-r.done:
			return
		case <-c.suspicions.logSyncRequests:
		case <-retry:
		}
	}
}

// logMissingQuarantines proposes the quarantines of the table that the log doesn't cover.
func (c *Control) logMissingQuarantines(ctx context.Context, r *Replica) error {
	var missing []*wire.Suspicion
	known := c.suspicions.all()
	if len(known) == 0 {
		return nil
	}
	err := r.runInLoop(ctx, func() {
		for _, m := range known {
			if m.QuarantineMs > 0 && !r.machine.quarantine.Covers(r.clock(), m) {
				missing = append(missing, m)
			}
		}
	})
	if err != nil {
		return err
	}
	for _, m := range missing {
		if _, err := (quarantineService{&service{c}}).decideWithTimeout(ctx, m); err != nil {
			return err
		}
	}
	return nil
}

// quarantineService implements the Quarantine service, which entries and operators call about
// requests that crash upstreams.
type quarantineService struct{ *service }

// Tell implements the Quarantine service. Suspicions whose last crash precedes the last lifting
// of the request's quarantine are ignored, and their keys returned. A cleared suspicion lifts
// the request's quarantine on the log.
func (s quarantineService) Tell(ctx context.Context, req *wire.TellSuspicionsRequest) (*wire.TellSuspicionsReply, error) {
	if len(req.Suspicions) > quarantine.MaxBatch {
		return nil, merry.Prependf(quarantine.ErrInvalidSuspicion, "%d suspicions", len(req.Suspicions))
	}
	for _, m := range req.Suspicions {
		if err := quarantine.Check(m); err != nil {
			return nil, err
		}
	}
	r := s.currentReplica()
	if r == nil {
		return nil, merry.Prepend(ErrUnavailable, "replica belongs to no cluster yet")
	}
	reply := &wire.TellSuspicionsReply{}
	var accepted, lift []*wire.Suspicion
	err := r.runInLoop(ctx, func() {
		for _, m := range req.Suspicions {
			ended := r.clock().Add(-quarantine.LastCrashAge(m))
			switch {
			case !m.Cleared && uint64(ended.UnixMilli()) < r.machine.quarantine.LiftedAt(m.Key):
				reply.Lifted = append(reply.Lifted, m.Key)
				continue
			case m.Cleared && r.machine.quarantine.Get(m.Key) != nil:
				lift = append(lift, m)
			}
			accepted = append(accepted, m)
		}
	})
	if err != nil {
		return nil, err
	}
	if s.suspicions.merge(accepted...) {
		r.watchers.Notify()
	}
	s.suspicions.requestLogSync()
	for _, m := range lift {
		if _, err := s.Lift(ctx, &wire.LiftQuarantineRequest{Key: m.Key}); err != nil {
			return nil, err
		}
	}
	return reply, nil
}

func (s quarantineService) decideWithTimeout(ctx context.Context, m *wire.Suspicion) (*wire.DecideQuarantineReply, error) {
	ctx, cancel := context.WithTimeout(ctx, quarantineLogTimeout)
	defer cancel()
	return s.Decide(ctx, m)
}

// Decide implements the Quarantine service. It commits the quarantine unless the log has one
// that lasts as long.
func (s quarantineService) Decide(ctx context.Context, m *wire.Suspicion) (*wire.DecideQuarantineReply, error) {
	if err := quarantine.Check(m); err != nil {
		return nil, err
	}
	reply, done, err := forwardServiceToLeader(ctx, s.service, wire.NewDRPCQuarantineClient, func(ctx context.Context, c wire.DRPCQuarantineClient) (*wire.DecideQuarantineReply, error) {
		return c.Decide(ctx, m)
	})
	if done || err != nil {
		return reply, err
	}
	r := s.currentReplica()
	covered := false
	if err := r.runInLoop(ctx, func() { covered = r.machine.quarantine.Covers(r.clock(), m) }); err != nil {
		return nil, err
	}
	if covered {
		return &wire.DecideQuarantineReply{}, nil
	}
	now := r.clock()
	_, err = r.propose(ctx, quarantineCommand(&wire.QuarantineCommand{Put: quarantine.NewLoggedQuarantine(now, m), AtMs: uint64(now.UnixMilli())}))
	return &wire.DecideQuarantineReply{}, err
}

// Lift implements the Quarantine service. It commits the end of a request's quarantine, if
// the log has one.
func (s quarantineService) Lift(ctx context.Context, req *wire.LiftQuarantineRequest) (*wire.LiftQuarantineReply, error) {
	if err := quarantine.Check(&wire.Suspicion{Key: req.Key, Cleared: true}); err != nil {
		return nil, err
	}
	reply, done, err := forwardServiceToLeader(ctx, s.service, wire.NewDRPCQuarantineClient, func(ctx context.Context, c wire.DRPCQuarantineClient) (*wire.LiftQuarantineReply, error) {
		return c.Lift(ctx, req)
	})
	if done || err != nil {
		return reply, err
	}
	r := s.currentReplica()
	found := false
	if err := r.runInLoop(ctx, func() { found = r.machine.quarantine.Get(req.Key) != nil }); err != nil || !found {
		return &wire.LiftQuarantineReply{}, err
	}
	v, err := r.propose(ctx, quarantineCommand(&wire.QuarantineCommand{Lift: req.Key, AtMs: uint64(r.clock().UnixMilli())}))
	if err != nil {
		return nil, err
	}
	return &wire.LiftQuarantineReply{Found: v.(quarantineResult).Changed}, nil
}

func quarantineCommand(c *wire.QuarantineCommand) *wire.Command {
	return &wire.Command{Command: &wire.Command_Quarantine{Quarantine: c}}
}

// List implements the Quarantine service. It returns the suspicions that this replica knows.
func (s quarantineService) List(context.Context, *wire.ListSuspicionsRequest) (*wire.ListSuspicionsReply, error) {
	return &wire.ListSuspicionsReply{Suspicions: s.suspicions.all()}, nil
}
