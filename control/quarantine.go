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
	// settleRetry is the pause before a quarantine that could not be put on the log is tried
	// again: there may be no leader.
	settleRetry = 500 * time.Millisecond
	// settleTimeout bounds one such try.
	settleTimeout = 2 * time.Second
)

// suspicions is what a replica knows of requests under which upstreams ended: what entries
// tell, and what is on the log. Each replica knows it for itself: an entry tells all of them, so
// no loss of a leader or of some replicas keeps word from the other entries.
type suspicions struct {
	now func() time.Time
	// settle is sent to when a quarantine may have to be put on the log.
	settle chan struct{}

	mu    sync.Mutex
	table *quarantine.Table
	// woken is the table's version at which watchers were woken last.
	woken uint64
}

func newSuspicions(now func() time.Time) *suspicions {
	return &suspicions{now: now, settle: make(chan struct{}, 1), table: quarantine.NewTable(quarantine.DefaultSettings())}
}

// learn takes messages that were checked. It says whether watchers are to be told something.
func (s *suspicions) learn(list ...*wire.Suspicion) (news bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	for _, m := range list {
		s.table.Learn(now, m)
	}
	told := s.table.Since(now, s.woken)
	s.woken = s.table.Version()
	return len(told.Suspicions) > 0
}

// since is what a watcher that knows a version is to be told.
func (s *suspicions) since(version uint64) quarantine.Told {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.Since(s.now(), version)
}

// all are those against which something is held.
func (s *suspicions) all() []*wire.Suspicion {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.All(s.now())
}

// wantSettled has the log compared with what is known.
func (s *suspicions) wantSettled() {
	select {
	case s.settle <- struct{}{}:
	default:
	}
}

// keepSettled puts the quarantines that this replica knows of on the log, until all are there.
// A process that starts after all were killed has them from there.
func (c *Control) keepSettled(ctx context.Context, r *Replica) {
	for {
		var retry <-chan time.Time
		if err := c.settleOnce(ctx, r); err != nil {
			kernel.Debug(c.log, "Quarantine isn't on the log yet.", "err", err)
			retry = time.After(settleRetry)
		}
		select {
		case <-ctx.Done():
			return
		case <-r.done:
			return
		case <-c.suspicions.settle:
		case <-retry:
		}
	}
}

func (c *Control) settleOnce(ctx context.Context, r *Replica) error {
	var missing []*wire.Suspicion
	known := c.suspicions.all()
	if len(known) == 0 {
		return nil
	}
	err := r.do(ctx, func() {
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
		if _, err := (quarantineService{&service{c}}).decideInTime(ctx, m); err != nil {
			return err
		}
	}
	return nil
}

// quarantineService answers entries and operators about requests that end upstreams.
type quarantineService struct{ *service }

// Tell implements the Quarantine service.
func (s quarantineService) Tell(ctx context.Context, req *wire.TellSuspicionsRequest) (*wire.TellSuspicionsReply, error) {
	if len(req.Suspicions) > quarantine.MostTold {
		return nil, merry.Prependf(quarantine.ErrMessage, "%d suspicions", len(req.Suspicions))
	}
	for _, m := range req.Suspicions {
		if err := quarantine.Check(m); err != nil {
			return nil, err
		}
	}
	r := s.current()
	if r == nil {
		return nil, merry.Prepend(ErrUnavailable, "replica belongs to no cluster yet")
	}
	reply := &wire.TellSuspicionsReply{}
	var holds, lift []*wire.Suspicion
	err := r.do(ctx, func() {
		for _, m := range req.Suspicions {
			ended := r.clock().Add(-quarantine.Age(m))
			switch {
			case !m.Cleared && uint64(ended.UnixMilli()) < r.machine.quarantine.LiftedAt(m.Key):
				reply.Lifted = append(reply.Lifted, m.Key)
				continue
			case m.Cleared && r.machine.quarantine.Get(m.Key) != nil:
				lift = append(lift, m)
			}
			holds = append(holds, m)
		}
	})
	if err != nil {
		return nil, err
	}
	if s.suspicions.learn(holds...) {
		r.watchers.Wake()
	}
	s.suspicions.wantSettled()
	for _, m := range lift {
		if _, err := s.Lift(ctx, &wire.LiftQuarantineRequest{Key: m.Key}); err != nil {
			return nil, err
		}
	}
	return reply, nil
}

func (s quarantineService) decideInTime(ctx context.Context, m *wire.Suspicion) (*wire.DecideQuarantineReply, error) {
	ctx, cancel := context.WithTimeout(ctx, settleTimeout)
	defer cancel()
	return s.Decide(ctx, m)
}

// Decide implements the Quarantine service.
func (s quarantineService) Decide(ctx context.Context, m *wire.Suspicion) (*wire.DecideQuarantineReply, error) {
	if err := quarantine.Check(m); err != nil {
		return nil, err
	}
	reply, done, err := passOnBy(ctx, s.service, wire.NewDRPCQuarantineClient, func(ctx context.Context, c wire.DRPCQuarantineClient) (*wire.DecideQuarantineReply, error) {
		return c.Decide(ctx, m)
	})
	if done || err != nil {
		return reply, err
	}
	r := s.current()
	covered := false
	if err := r.do(ctx, func() { covered = r.machine.quarantine.Covers(r.clock(), m) }); err != nil {
		return nil, err
	}
	if covered {
		return &wire.DecideQuarantineReply{}, nil
	}
	now := r.clock()
	_, err = r.propose(ctx, quarantineCommand(&wire.QuarantineCommand{Put: quarantine.Logged(now, m), AtMs: uint64(now.UnixMilli())}))
	return &wire.DecideQuarantineReply{}, err
}

// Lift implements the Quarantine service.
func (s quarantineService) Lift(ctx context.Context, req *wire.LiftQuarantineRequest) (*wire.LiftQuarantineReply, error) {
	if err := quarantine.Check(&wire.Suspicion{Key: req.Key, Cleared: true}); err != nil {
		return nil, err
	}
	reply, done, err := passOnBy(ctx, s.service, wire.NewDRPCQuarantineClient, func(ctx context.Context, c wire.DRPCQuarantineClient) (*wire.LiftQuarantineReply, error) {
		return c.Lift(ctx, req)
	})
	if done || err != nil {
		return reply, err
	}
	r := s.current()
	found := false
	if err := r.do(ctx, func() { found = r.machine.quarantine.Get(req.Key) != nil }); err != nil || !found {
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

// List implements the Quarantine service.
func (s quarantineService) List(context.Context, *wire.ListSuspicionsRequest) (*wire.ListSuspicionsReply, error) {
	return &wire.ListSuspicionsReply{Suspicions: s.suspicions.all()}, nil
}
