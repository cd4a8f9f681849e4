package backpressure

import (
	"math"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/snipereach/snipereach/wire"
)

// ErrInvalidStatement is returned for a message that no gateway sends.
var ErrInvalidStatement = merry.Sentinel("invalid statement of an upstream")

const (
	// MaxStatements bounds the statements in one message.
	MaxStatements = 200
	// maxIDBytes bounds the IDs in a message.
	maxIDBytes = 256
)

// Check returns ErrInvalidStatement if a message can't be a statement.
func Check(m *wire.UpstreamStatement) error {
	switch {
	case m.Upstream == "" || len(m.Upstream) > maxIDBytes || len(m.HeardBy) > maxIDBytes:
		return merry.Prepend(ErrInvalidStatement, "the upstream's or the gateway's ID is missing or too long")
	case math.IsNaN(m.PerS) || m.PerS < 0 || m.PerS > MaxPerS:
		return merry.Prependf(ErrInvalidStatement, "%g requests a second", m.PerS)
	}
	return nil
}

// ToWire returns the messages of statements that are sent now.
func ToWire(now time.Time, list []Statement) (messages []*wire.UpstreamStatement) {
	for _, s := range list {
		age := min(max(now.Sub(s.HeardAt).Milliseconds(), 0), math.MaxInt32)
		messages = append(messages, &wire.UpstreamStatement{Upstream: s.Upstream, Incarnation: s.Incarnation, Limited: s.Limited, PerS: s.PerS, Leaving: s.Leaving, AgeMs: uint32(age), HeardBy: s.Source})
	}
	return messages
}

// FromWire returns the statement of a message that was received now.
func FromWire(now time.Time, m *wire.UpstreamStatement) Statement {
	return Statement{
		Upstream: m.Upstream, Incarnation: m.Incarnation, Limited: m.Limited, PerS: m.PerS, Leaving: m.Leaving,
		HeardAt: now.Add(-time.Duration(m.AgeMs) * time.Millisecond), Source: m.HeardBy,
	}
}
