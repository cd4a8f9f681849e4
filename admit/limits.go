package admit

import (
	"math"
	"strings"

	"github.com/snipereach/snipereach/table"
)

// LimitOf returns the amounts of a limit row; a zero or negative cell means unlimited.
func LimitOf(l *table.Limit) Amounts {
	return Amounts{orInfinite(l.Requests), orInfinite(l.Tokens), orInfinite(float64(l.Concurrent))}
}

func orInfinite(v float64) float64 {
	if v <= 0 {
		return math.Inf(1)
	}
	return v
}

// SubjectOf returns the subject that a limit row applies to. A row for all services limits
// their sum.
func SubjectOf(l *table.Limit, team, service string) Subject {
	if strings.HasSuffix(l.Key, "/*") {
		return Subject{Team: team, Service: "*"}
	}
	return Subject{Team: team, Service: service}
}
