package outage

import (
	"fmt"
	"slices"
	"time"
)

const (
	// DefaultFormTime is the time that a group needs to form after its last rank has registered,
	// if the configuration doesn't tell it.
	DefaultFormTime = 600 * time.Millisecond
	// registerTime is the longest time from the start of a rank to its registration: the period of
	// its heartbeats.
	registerTime = 1200 * time.Millisecond
	// restartTime is the usual time from the end of a rank's process to the start of the next one.
	restartTime = 600 * time.Millisecond
	// newsTime is how long after the formation of a group the gateways know of it: until the next
	// probe.
	newsTime = 200 * time.Millisecond
	// minOverdue is the least time that an outage is expected to go on when it has lasted longer
	// than expected.
	minOverdue = 300 * time.Millisecond
	// stableTime is how long a group must serve before its next failure counts as another outage.
	// A group that forms and breaks at once has the same fault as before.
	stableTime = time.Second
	// maxHistory is how many earlier outages of a group are remembered.
	maxHistory = 8
)

// Observation is what is known of a group at one time.
type Observation struct {
	// Down says that the group serves nothing.
	Down bool
	// Ranks is how many ranks are registered, Size how many the group has; 0 if unknown.
	Ranks, Size int
	// Registrations counts the ranks that have registered anew, also after a restart that their
	// lease has outlasted. It starts anew when the group has no rank.
	Registrations int
}

// Tracker tracks the outages of one group. The zero value is one of which nothing is known.
type Tracker struct {
	last     Observation
	observed bool
	size     int
	// downSince is when the present or latest outage began, and upSince when it ended; upSince is
	// zero during an outage and before the first. brokenAt is when the group broke last: later than
	// downSince if it has formed for a moment.
	downSince, upSince, brokenAt time.Time
	// registeredAt is when a rank last registered anew, and returnBegan when the first of those
	// registered that came within registerTime of each other. several says that there were others.
	registeredAt, returnBegan time.Time
	several                   bool
	// lacked says that ranks were known to be missing in the present outage, so that all are
	// registered when none is missing. A restart may be over before a lease lapses.
	lacked bool
	// unknownStart says that the group was down when it was first observed, so that the duration
	// of the outage isn't known.
	unknownStart bool
	// history has the durations of the latest outages that have ended for good.
	history []time.Duration
}

// Observe records the state of the group.
func (t *Tracker) Observe(now time.Time, o Observation) {
	if o.Size > 0 {
		t.size = o.Size
	}
	if n := o.Registrations - t.last.Registrations; t.observed && n > 0 {
		t.recordRegistration(now, n > 1)
	}
	switch {
	case o.Down && !t.last.Down:
		t.begin(now)
	case !o.Down && t.last.Down:
		t.upSince = now
	}
	t.last, t.observed = o, true
	t.lacked = o.Down && (t.lacked || t.Missing() > 0)
}

// recordRegistration records that one or several ranks have registered anew.
func (t *Tracker) recordRegistration(now time.Time, several bool) {
	if now.Sub(t.returnBegan) > registerTime || t.returnBegan.Before(t.brokenAt) {
		t.returnBegan, t.several = now, several
	} else {
		t.several = true
	}
	t.registeredAt = now
}

// begin records that the group has broken.
func (t *Tracker) begin(now time.Time) {
	t.brokenAt = now
	if !t.upSince.IsZero() && now.Sub(t.upSince) < stableTime {
		t.upSince = time.Time{}
		return
	}
	if !t.upSince.IsZero() && !t.unknownStart {
		t.history = append(t.history, t.upSince.Sub(t.downSince))
		t.history = t.history[max(len(t.history)-maxHistory, 0):]
	}
	t.downSince, t.upSince, t.unknownStart = now, time.Time{}, !t.observed
}

// Missing returns how many ranks of the group aren't registered.
func (t *Tracker) Missing() int { return max(t.size-t.last.Ranks, 0) }

// Forecast is the estimated time of recovery of a group that is down.
type Forecast struct {
	// DownSince is when the outage began, as far as known.
	DownSince time.Time
	// Earliest is the time before which the group can't have formed. It is as likely as not back
	// by Expected.
	Earliest, Expected time.Time
	// Returning says that the lost ranks have registered or are doing so, so that Expected is known
	// to about a heartbeat.
	Returning bool
	// Missing is how many ranks aren't registered.
	Missing int
}

// Forecast returns when the group will have recovered; down is false if it isn't down. formTime is
// the time that it needs to form; 0 selects the default.
func (t *Tracker) Forecast(now time.Time, formTime time.Duration) (f Forecast, down bool) {
	if !t.last.Down {
		return Forecast{}, false
	}
	if formTime <= 0 {
		formTime = DefaultFormTime
	}
	f = Forecast{DownSince: t.downSince, Missing: t.Missing()}
	f.Earliest = latest(t.brokenAt, t.registeredAt).Add(formTime)
	if f.Missing > 0 {
		f.Earliest = now.Add(formTime)
	}
	f.Expected = t.returnEnds().Add(formTime + newsTime)
	f.Returning = t.registeredAt.After(t.brokenAt) && now.Before(f.Expected)
	if !f.Returning {
		f.Expected = t.expectedEnd(now, formTime)
	}
	f.Earliest = latest(now, f.Earliest)
	f.Expected = latest(f.Earliest, f.Expected)
	return f, true
}

// returnEnds returns by when the lost ranks are registered, if those that have registered show it.
// Ranks that were lost together start again together, so the last one follows the first within a
// heartbeat.
func (t *Tracker) returnEnds() time.Time {
	if t.Missing() > 0 || t.several && !t.lacked {
		return t.returnBegan.Add(registerTime)
	}
	return t.registeredAt
}

// expectedEnd returns when the outage is expected to end if no rank has registered lately. Earlier
// outages that were longer tell, and without any the usual time of a restart. Once ranks are missing,
// or none has registered for longer than a restart takes, nothing is known but the time that has
// passed, and the outage is as likely as not to last as long again.
func (t *Tracker) expectedEnd(now time.Time, formTime time.Duration) time.Time {
	elapsed := now.Sub(t.downSince)
	if longer := t.longerThan(elapsed); len(longer) > 0 {
		return t.downSince.Add(longer[len(longer)/2])
	}
	left := max(restartTime+registerTime+formTime-elapsed, minOverdue)
	if t.Missing() > 0 {
		left = max(left, registerTime/2+formTime)
	}
	if t.Missing() > 0 || elapsed > restartTime+registerTime {
		left = max(left, elapsed)
	}
	return now.Add(left)
}

// longerThan returns the durations of earlier outages that were longer than d, in order.
func (t *Tracker) longerThan(d time.Duration) (list []time.Duration) {
	for _, h := range t.history {
		if h > d {
			list = append(list, h)
		}
	}
	slices.Sort(list)
	return list
}

// likely returns the time by which the group may well be back, if only less likely than not.
func (f *Forecast) likely() time.Time { return f.Earliest.Add(f.Expected.Sub(f.Earliest) / 2) }

// Sooner returns the forecast for a service of which either group serves requests: that of the group
// that is expected back first, for an outage that began when the second one went down.
func (f Forecast) Sooner(other Forecast) Forecast {
	if other.Expected.Before(f.Expected) {
		f, other = other, f
	}
	f.DownSince = latest(f.DownSince, other.DownSince)
	if other.Earliest.Before(f.Earliest) {
		f.Earliest = other.Earliest
	}
	return f
}

// Describe returns the forecast for logs.
func (f *Forecast) Describe(now time.Time) string {
	what := "cause unknown"
	switch {
	case f.Missing > 0 && f.Returning:
		what = fmt.Sprintf("%d ranks missing, others registered", f.Missing)
	case f.Missing > 0:
		what = fmt.Sprintf("%d ranks missing", f.Missing)
	case f.Returning:
		what = "ranks registered"
	}
	return fmt.Sprintf("down for %d ms, %s, recovery in %d ms at the earliest, expected in %d ms",
		now.Sub(f.DownSince).Milliseconds(), what, f.Earliest.Sub(now).Milliseconds(), f.Expected.Sub(now).Milliseconds())
}

func latest(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}
