package control

import (
	"context"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/snipereach/snipereach/backpressure"
	"github.com/snipereach/snipereach/wire"
)

// limitStore holds what a replica knows of the limits that upstreams name: the reports of gateways.
// Each gateway reports to all replicas, so news reaches the others even if some replicas are lost.
type limitStore struct {
	now func() time.Time

	mu   sync.Mutex
	book *backpressure.Book
	// forgotAt is when obsolete statements were last dropped.
	forgotAt time.Time
}

// limitsForgetInterval is how often obsolete statements are dropped.
const limitsForgetInterval = 10 * time.Second

func newLimitStore(now func() time.Time) *limitStore {
	return &limitStore{now: now, book: backpressure.NewBook()}
}

// record applies validated statements and reports whether watchers must be sent any of them.
func (s *limitStore) record(list []*wire.UpstreamStatement) (changed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	for _, m := range list {
		_, c := s.book.Record(backpressure.FromWire(now, m))
		changed = changed || c
	}
	return changed
}

// changesSince returns what a watcher that has seen a version must be sent next.
func (s *limitStore) changesSince(version uint64) (list []*wire.UpstreamStatement, upTo uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	statements, upTo := s.book.Since(version, backpressure.MaxStatements)
	return backpressure.ToWire(s.now(), statements), upTo
}

// all returns all statements.
func (s *limitStore) all() []*wire.UpstreamStatement {
	s.mu.Lock()
	defer s.mu.Unlock()
	return backpressure.ToWire(s.now(), s.book.All())
}

// perS returns the lower of a limit that a gateway knows and the one known here.
func (s *limitStore) perS(upstream string, told float64) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	if known := s.book.Get(upstream); known.Limited {
		return min(told, known.PerS)
	}
	return told
}

// forgetObsolete drops statements about upstreams that are gone. upstreams lists those that aren't; it may
// be nil if the replica knows none.
func (s *limitStore) forgetObsolete(upstreams func() []*wire.Announcement) {
	s.mu.Lock()
	due := len(s.book.All()) > 0 && s.now().Sub(s.forgotAt) >= limitsForgetInterval
	s.mu.Unlock()
	if !due || upstreams == nil {
		return
	}
	known := map[string]bool{}
	for _, a := range upstreams() {
		known[a.Id] = true
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.forgotAt = s.now()
	s.book.Forget(s.forgotAt, func(id string) bool { return known[id] })
}

// backpressureService implements the Backpressure service, which gateways call.
type backpressureService struct{ *service }

// Tell implements the Backpressure service.
func (s backpressureService) Tell(_ context.Context, req *wire.TellStatementsRequest) (*wire.TellStatementsReply, error) {
	if len(req.Statements) > backpressure.MaxStatements {
		return nil, merry.Prependf(backpressure.ErrInvalidStatement, "%d statements", len(req.Statements))
	}
	for _, m := range req.Statements {
		if err := backpressure.Check(m); err != nil {
			return nil, err
		}
	}
	r := s.currentReplica()
	if r == nil {
		return nil, merry.Prepend(ErrUnavailable, "replica belongs to no cluster yet")
	}
	if s.limits.record(req.Statements) {
		s.metrics.Count("control.limits.changed")
		r.watchers.Notify()
	}
	s.limits.forgetObsolete(s.groups.upstreams)
	return &wire.TellStatementsReply{}, nil
}

// Borrow implements the Backpressure service.
func (s backpressureService) Borrow(ctx context.Context, req *wire.BorrowPermitsRequest) (*wire.BorrowPermitsReply, error) {
	if err := backpressure.Check(&wire.UpstreamStatement{Upstream: req.Upstream, PerS: req.PerS}); err != nil {
		return nil, err
	}
	position, ok := s.lendingPosition(ctx)
	if !ok {
		return nil, merry.Prepend(ErrUnavailable, "replica is not a member of the log")
	}
	perS := s.limits.perS(req.Upstream, req.PerS)
	lent, retry := s.permits.Lend(req.Upstream, perS, max(int(req.Want), 1), position)
	if lent > 0 {
		s.metrics.Count("control.permits.lent")
	} else {
		s.metrics.Count("control.permits.refused")
	}
	return &wire.BorrowPermitsReply{Lent: uint32(lent), RetryMs: clampedMillis(retry)}, nil
}

// List implements the Backpressure service.
func (s backpressureService) List(context.Context, *wire.ListStatementsRequest) (*wire.ListStatementsReply, error) {
	return &wire.ListStatementsReply{Statements: s.limits.all()}, nil
}
