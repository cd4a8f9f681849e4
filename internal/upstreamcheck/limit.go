// Package upstreamcheck checks, from what has reached an upstream, whether gateways have kept to
// what it asked of them. Tests and the soak share it.
package upstreamcheck

import (
	"fmt"
	"time"
)

// Arrival is a request that has reached an upstream.
type Arrival struct {
	At      time.Time
	Gateway string
}

// Excused reports whether a gateway is excused at a time, because it was restarted, frozen or cut
// off. It may be nil.
type Excused func(gateway string, at time.Time) bool

// Bounds of the rule about limits.
const (
	// LimitWindow is the span in which requests are counted.
	LimitWindow = 4 * time.Second
	// LimitFactor and LimitSlack tell how many requests may come in it: the limit times the factor,
	// and the slack.
	LimitFactor = 1.5
	LimitSlack  = 5
	// ToldBefore is how long before a request its gateway must have been told to count.
	ToldBefore = 500 * time.Millisecond
)

// NamedLimit is a limit that an upstream names from a time on. PerS is in requests a second; a
// negative one says that it names none any more.
type NamedLimit struct {
	From time.Time
	PerS float64
}

// Limit describes what one upstream has said.
type Limit struct {
	// Named are the limits in order.
	Named []NamedLimit
	// Told is when each gateway first passed an answer with a limit on.
	Told map[string]time.Time
	// ContactWindow is how long after the first limit the rule begins to hold.
	ContactWindow time.Duration
	Excused       Excused
}

// Allowed returns how many requests a limit allows in a window.
func Allowed(perS float64) int {
	return int(LimitFactor*perS*LimitWindow.Seconds() + LimitSlack)
}

// Check returns the first window in which more requests than allowed have come, or nil. The
// arrivals must be in order. A window in which the limit changed is held to the highest limit in
// it, and one that begins or ends without a limit isn't checked.
func (l *Limit) Check(arrivals []Arrival) error {
	var counted []time.Time
	for _, a := range arrivals {
		if !l.counts(a) {
			continue
		}
		counted = append(counted, a.At)
		for a.At.Sub(counted[0]) >= LimitWindow {
			counted = counted[1:]
		}
		perS, limited := l.highest(a.At.Add(-LimitWindow), a.At)
		if limited && len(counted) > Allowed(perS) {
			return fmt.Errorf("%d requests in the %s until %s after the first limit, at %g a second; allowed %d",
				len(counted), LimitWindow, a.At.Sub(l.Named[0].From), perS, Allowed(perS))
		}
	}
	return nil
}

// counts reports whether the rule counts a request.
func (l *Limit) counts(a Arrival) bool {
	told, ok := l.Told[a.Gateway]
	if !ok || len(l.Named) == 0 || a.At.Sub(told) < ToldBefore || a.At.Sub(l.Named[0].From) < l.ContactWindow {
		return false
	}
	return l.Excused == nil || !l.Excused(a.Gateway, a.At)
}

// highest returns the highest limit in force between two times; limited is false if there was none
// at some moment between.
func (l *Limit) highest(from, to time.Time) (perS float64, limited bool) {
	limited = true
	for i, n := range l.Named {
		ended := i+1 < len(l.Named) && !l.Named[i+1].From.After(from)
		if n.From.After(to) || ended {
			continue
		}
		perS = max(perS, n.PerS)
		limited = limited && n.PerS >= 0
	}
	return perS, limited
}
