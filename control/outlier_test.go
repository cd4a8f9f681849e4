package control

import (
	"context"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/snipereach/snipereach/outlier"
	"github.com/snipereach/snipereach/wire"
)

// Guards against a replica that keeps more and more reports, or passes one on for ever, and against
// watchers that miss some.
func TestReportsOfSilentUpstreamsAreBoundedAndExpire(t *testing.T) {
	now := time.Now()
	var s silenceStore
	for i := range 3 * outlier.MaxUpstreams {
		s.record(now, []*wire.SilenceReport{{Upstream: fmt.Sprint("u", i), Reporter: "g"}})
	}
	assert.Equal(t, s.table.Len(), outlier.MaxUpstreams)
	assert.Assert(t, s.record(now, []*wire.SilenceReport{{Upstream: "u", Reporter: "g"}, {Upstream: "u", Reporter: "g"}}), "a repeated report hides a new one")
	list, upTo := s.changesSince(0, func() time.Time { return now })
	assert.Equal(t, len(list), outlier.MaxReports)
	list, _ = s.changesSince(upTo, func() time.Time { return now })
	assert.Equal(t, len(list), 0)
	assert.Assert(t, s.record(now.Add(time.Minute), []*wire.SilenceReport{{Upstream: "v", Reporter: "g"}}))
	assert.Equal(t, s.table.Len(), 1)
}

// Guards against messages that no gateway sends.
func TestInvalidReportsOfSilentUpstreamsAreRefused(t *testing.T) {
	service := outlierService{&service{&Control{}}}
	for _, list := range [][]*wire.SilenceReport{make([]*wire.SilenceReport, outlier.MaxReports+1), {nil}, {{Upstream: "u"}}} {
		_, err := service.Report(context.Background(), &wire.ReportSilenceRequest{Reports: list})
		assert.ErrorIs(t, err, outlier.ErrInvalidReport)
	}
}

// Guards against a watcher that is sent up to 256 upstreams' reports of an incident that is long over, each
// time it opens a watch: without a new report, nothing else drops the old ones.
func TestExpiredReportsOfSilentUpstreamsAreNotSent(t *testing.T) {
	now := time.Now()
	var s silenceStore
	assert.Assert(t, s.record(now, []*wire.SilenceReport{{Upstream: "u", Reporter: "g"}}))
	list, _ := s.changesSince(0, func() time.Time { return now.Add(9 * time.Second) })
	assert.Equal(t, len(list), 1)
	list, _ = s.changesSince(0, func() time.Time { return now.Add(time.Minute) })
	assert.Equal(t, len(list), 0)
	assert.Equal(t, s.table.Len(), 0, "expired reports are kept")
}
