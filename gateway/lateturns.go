package gateway

import (
	"math"
	"time"
)

const (
	// lateMemory is the time over which places for late requests are counted: those wait for
	// 1.5 s at most.
	lateMemory = 1500 * time.Millisecond
	// lateKnown is how long late ones must have waited without a break until their rate is known.
	lateKnown = 600 * time.Millisecond
)

// lateTurns tells at which rate late requests get a place while some wait.
//
// The load that it answers: for many seconds more callers come than a group can serve in time.
// Those that can be in time get all places, and late ones wait in vain for as long as their callers
// stay. What is refused at once may come back to a better moment, or go elsewhere.
type lateTurns struct {
	// n is the exponentially decaying number of places given, as of at.
	n  float64
	at time.Time
	// since is when late ones began to wait; zero if none does.
	since time.Time
}

// granted counts a place for a late request.
func (l *lateTurns) granted(now time.Time) {
	l.n = l.decayed(now) + 1
	l.at = now
}

func (l *lateTurns) decayed(now time.Time) float64 {
	return l.n * math.Exp(-now.Sub(l.at).Seconds()/lateMemory.Seconds())
}

// waits notes whether late requests wait.
func (l *lateTurns) waits(now time.Time, line *waitingLine) {
	switch {
	case !line.hasLate(now):
		l.since = time.Time{}
	case l.since.IsZero():
		l.since = now
	}
}

// rate is how many late requests get a place in a second; known says that late ones wait.
func (l *lateTurns) rate(now time.Time) (perSecond float64, known bool) {
	if l.since.IsZero() || now.Sub(l.since) < lateKnown {
		return 0, false
	}
	return l.decayed(now) / lateMemory.Seconds(), true
}
