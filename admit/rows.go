package admit

import (
	"math"
	"strings"

	"github.com/snipereach/snipereach/table"
)

// LimitOf returns a limit row's amounts; a zero cell is no limit.
func LimitOf(l *table.Limit) Amounts {
	return Amounts{orInfinite(l.Requests), orInfinite(l.Tokens), orInfinite(float64(l.Concurrent))}
}

func orInfinite(v float64) float64 {
	if v <= 0 {
		return math.Inf(1)
	}
	return v
}

// SubjectOf names what a limit row applies to: a row for all services is one
// limit over all of them.
func SubjectOf(l *table.Limit, team, service string) Subject {
	if strings.HasSuffix(l.Key, "/*") {
		return Subject{Team: team, Service: "*"}
	}
	return Subject{Team: team, Service: service}
}
