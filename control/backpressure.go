package control

import (
	"context"
	"maps"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/snipereach/snipereach/backpressure"
	"github.com/snipereach/snipereach/wire"
)

// statementStore holds what a replica knows of what upstreams ask of gateways: the reports of gateways.
// Each gateway reports statements to all replicas, so news reaches the others even if some replicas are
// lost.
type statementStore struct {
	now func() time.Time

	mu   sync.Mutex
	book *backpressure.Book
	// rests is when each rest ends that a gateway has reported here.
	rests map[restKey]time.Time
	// forgotAt is when obsolete statements were last dropped.
	forgotAt time.Time
}

// restKey identifies a rest: upstreams ask each gateway by itself.
type restKey struct{ upstream, gateway string }

// maxRests bounds the rests that a replica remembers.
const maxRests = 20_000

// statementsForgetInterval is how often obsolete statements are dropped.
const statementsForgetInterval = 10 * time.Second

func newStatementStore(now func() time.Time) *statementStore {
	return &statementStore{now: now, book: backpressure.NewBook(), rests: map[restKey]time.Time{}}
}

// record applies validated statements and reports whether watchers must be sent any of them.
func (s *statementStore) record(list []*wire.UpstreamStatement) (changed bool) {
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
func (s *statementStore) changesSince(version uint64) (list []*wire.UpstreamStatement, upTo uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	statements, upTo := s.book.Since(version, backpressure.MaxStatements)
	return backpressure.ToWire(s.now(), statements), upTo
}

// all returns all statements.
func (s *statementStore) all() []*wire.UpstreamStatement {
	s.mu.Lock()
	defer s.mu.Unlock()
	return backpressure.ToWire(s.now(), s.book.All())
}

// recordRests records the rests that a gateway keeps.
func (s *statementStore) recordRests(gateway string, list []*wire.UpstreamRest) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	maps.DeleteFunc(s.rests, func(_ restKey, until time.Time) bool { return !now.Before(until) })
	for _, m := range list {
		if len(s.rests) < maxRests {
			s.rests[restKey{m.Upstream, gateway}] = now.Add(time.Duration(m.LeftMs) * time.Millisecond)
		}
	}
}

// allRests returns the rests that haven't ended.
func (s *statementStore) allRests() (list []*wire.UpstreamRest) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	for key, until := range s.rests {
		if left := until.Sub(now); left > 0 {
			list = append(list, &wire.UpstreamRest{Upstream: key.upstream, Gateway: key.gateway, LeftMs: clampedMillis(left)})
		}
	}
	return list
}

// perS returns the lower of a limit that a gateway knows and the one known here.
func (s *statementStore) perS(upstream string, told float64) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	if known := s.book.Get(upstream); known.Limited {
		return min(told, known.PerS)
	}
	return told
}

// forgetObsolete drops statements about upstreams that are gone. upstreams lists those that aren't; it may
// be nil if the replica knows none.
func (s *statementStore) forgetObsolete(upstreams func() []*wire.Announcement) {
	s.mu.Lock()
	due := s.book.Len() > 0 && s.now().Sub(s.forgotAt) >= statementsForgetInterval
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
	if len(req.Statements) > backpressure.MaxStatements || len(req.Rests) > backpressure.MaxStatements {
		return nil, merry.Prependf(backpressure.ErrInvalidStatement, "%d statements, %d rests", len(req.Statements), len(req.Rests))
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
	s.statements.recordRests(req.Teller, req.Rests)
	if s.statements.record(req.Statements) {
		s.metrics.Count("control.statements.changed")
		r.watchers.Notify()
	}
	s.statements.forgetObsolete(s.groups.upstreams)
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
	perS := s.statements.perS(req.Upstream, req.PerS)
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
	return &wire.ListStatementsReply{Statements: s.statements.all(), Rests: s.statements.allRests()}, nil
}
