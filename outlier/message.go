package outlier

import (
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/snipereach/snipereach/wire"
)

// ErrInvalidReport is returned for a message that no gateway sends.
var ErrInvalidReport = merry.Sentinel("invalid report of a silent upstream")

const (
	// MaxReports bounds the reports in one message.
	MaxReports = 256
	// maxIDBytes bounds the IDs in a message.
	maxIDBytes = 256
)

// Check returns ErrInvalidReport if a message can't be a report.
func Check(m *wire.SilenceReport) error {
	for _, id := range []string{m.GetUpstream(), m.GetReporter()} {
		if id == "" || len(id) > maxIDBytes {
			return merry.Prepend(ErrInvalidReport, "the upstream's or the gateway's ID is missing or too long")
		}
	}
	return nil
}

// ToWire returns the messages of reports that are sent now.
func ToWire(now time.Time, list []Report) (messages []*wire.SilenceReport) {
	for _, r := range list {
		age := min(max(now.Sub(r.At), 0), keepTime)
		messages = append(messages, &wire.SilenceReport{Upstream: r.Upstream, Incarnation: r.Incarnation, Reporter: r.Reporter, AgeMs: uint32(age.Milliseconds())})
	}
	return messages
}

// FromWire returns the report of a message that was received now.
func FromWire(now time.Time, m *wire.SilenceReport) Report {
	return Report{Upstream: m.Upstream, Incarnation: m.Incarnation, Reporter: m.Reporter, At: now.Add(-time.Duration(m.AgeMs) * time.Millisecond)}
}
