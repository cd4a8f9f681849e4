package control

import (
	"context"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/snipereach/snipereach/outlier"
	"github.com/snipereach/snipereach/wire"
)

// silenceStore holds which upstreams gateways have reported silent to this replica. Each gateway reports
// to all replicas, so reports reach the others even if some replicas are lost. The zero value is empty.
type silenceStore struct {
	mu    sync.Mutex
	table outlier.Table
}

// record takes validated reports in and reports whether watchers must be sent any of them.
func (s *silenceStore) record(now time.Time, list []*wire.SilenceReport) (changed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.table.Expire(now)
	for _, m := range list {
		changed = s.table.Record(now, outlier.FromWire(now, m)) || changed
	}
	return changed
}

// changesSince returns what a watcher that has seen a version must be sent next. The clock is read only
// if there is anything. Reports that have expired since the last record are dropped first, or each new
// watch would be sent them.
func (s *silenceStore) changesSince(version uint64, clock func() time.Time) (list []*wire.SilenceReport, upTo uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.table.Len() == 0 {
		_, upTo = s.table.Since(version, outlier.MaxReports)
		return nil, upTo
	}
	now := clock()
	s.table.Expire(now)
	reports, upTo := s.table.Since(version, outlier.MaxReports)
	return outlier.ToWire(now, reports), upTo
}

// outlierService implements the Outliers service, which gateways call.
type outlierService struct{ *service }

// Report implements the Outliers service.
func (s outlierService) Report(_ context.Context, req *wire.ReportSilenceRequest) (*wire.ReportSilenceReply, error) {
	if len(req.Reports) > outlier.MaxReports {
		return nil, merry.Prependf(outlier.ErrInvalidReport, "%d reports", len(req.Reports))
	}
	for _, m := range req.Reports {
		if err := outlier.Check(m); err != nil {
			return nil, err
		}
	}
	r := s.currentReplica()
	if r == nil {
		return nil, merry.Prepend(ErrUnavailable, "replica belongs to no cluster yet")
	}
	if s.silences.record(r.clock(), req.Reports) {
		s.metrics.Count("control.silences.changed")
		r.watchers.Notify()
	}
	return &wire.ReportSilenceReply{}, nil
}
