package quarantine

import (
	"slices"
	"time"

	"github.com/snipereach/snipereach/wire"
)

// Limits of the state kept on the replicated log.
const (
	maxLogged        = 512
	maxLoggedPerTeam = 64
	maxLifted        = 256
)

// Machine is the replicated state machine of quarantines. Tables exist in memory only: without the
// log, a poison request could crash as many upstreams again after a restart of all processes.
//
// Invariant: the end of a request's quarantine only moves to a later time until the quarantine is
// lifted, so a command that is proposed twice, or by two leaders, changes nothing the second time.
type Machine struct {
	logged []*wire.LoggedQuarantine
	lifted []*wire.LiftedQuarantine
}

// Result is the outcome of a command.
type Result struct {
	// Changed reports whether the command put a request in quarantine, prolonged a quarantine or
	// lifted one.
	Changed bool
}

// Apply applies a committed command.
func (m *Machine) Apply(c *wire.QuarantineCommand) Result {
	if c.Put != nil {
		return Result{Changed: m.put(c.Put)}
	}
	return Result{Changed: m.lift(c.Lift, c.AtMs)}
}

// put stores a quarantine. It ignores one that ends no later than the stored one, and one whose
// last crash precedes the last lift: a replica that was partitioned during the lift may still
// propose it.
func (m *Machine) put(q *wire.LoggedQuarantine) bool {
	if q.EndedMs < m.LiftedAt(q.Request.GetKey()) {
		return false
	}
	i := m.indexOf(q.Request.GetKey())
	if i >= 0 && m.logged[i].UntilMs >= q.UntilMs {
		return false
	}
	if i >= 0 {
		m.logged = slices.Delete(m.logged, i, i+1)
	}
	m.evictOldest(q.Request.GetTeam())
	m.logged = append(m.logged, q)
	return true
}

// evictOldest drops the team's oldest quarantine if the team has reached its limit, or else the
// oldest of all if the log has.
func (m *Machine) evictOldest(team string) {
	ofTeam := 0
	oldest := -1
	for i, q := range m.logged {
		if q.Request.GetTeam() != team {
			continue
		}
		ofTeam++
		if oldest < 0 {
			oldest = i
		}
	}
	switch {
	case ofTeam >= maxLoggedPerTeam:
		m.logged = slices.Delete(m.logged, oldest, oldest+1)
	case len(m.logged) >= maxLogged:
		m.logged = slices.Delete(m.logged, 0, 1)
	}
}

func (m *Machine) lift(key []byte, atMS uint64) bool {
	i := m.indexOf(key)
	if i < 0 {
		return false
	}
	m.logged = slices.Delete(m.logged, i, i+1)
	m.lifted = append(m.lifted, &wire.LiftedQuarantine{Key: key, AtMs: atMS})
	if len(m.lifted) > maxLifted {
		m.lifted = m.lifted[1:]
	}
	return true
}

func (m *Machine) indexOf(key []byte) int {
	return slices.IndexFunc(m.logged, func(q *wire.LoggedQuarantine) bool { return slices.Equal(q.Request.GetKey(), key) })
}

// Get returns the quarantine of a request, or nil.
func (m *Machine) Get(key []byte) *wire.LoggedQuarantine {
	if i := m.indexOf(key); i >= 0 {
		return m.logged[i]
	}
	return nil
}

// LiftedAt returns when the request's quarantine was last lifted, in Unix milliseconds, or 0 if no
// lift is known.
func (m *Machine) LiftedAt(key []byte) uint64 {
	for _, l := range slices.Backward(m.lifted) {
		if slices.Equal(l.Key, key) {
			return l.AtMs
		}
	}
	return 0
}

// Suspicions returns all quarantines as messages, with times relative to now.
func (m *Machine) Suspicions(now time.Time) []*wire.Suspicion {
	list := make([]*wire.Suspicion, len(m.logged))
	for i, q := range m.logged {
		list[i] = suspicionFromLog(now, q)
	}
	return list
}

// CommandSuspicion returns the message that announces a command that changed the state.
func CommandSuspicion(now time.Time, c *wire.QuarantineCommand) *wire.Suspicion {
	if c.Put != nil {
		return suspicionFromLog(now, c.Put)
	}
	return &wire.Suspicion{Key: c.Lift, Cleared: true, ClearedAgeMs: toMillis(now.Sub(time.UnixMilli(int64(c.AtMs))))}
}

// suspicionFromLog returns the message for a quarantine on the log. The log keeps the time of the
// last crash only, which stands for those of all runs.
func suspicionFromLog(now time.Time, q *wire.LoggedQuarantine) *wire.Suspicion {
	r := q.Request
	age := toMillis(now.Sub(time.UnixMilli(int64(q.EndedMs))))
	m := &wire.Suspicion{
		Key: r.GetKey(), Hint: r.GetHint(), Team: r.GetTeam(), Route: r.GetRoute(), Part: r.GetPart(), Terms: r.GetTerms(),
		QuarantineMs: toMillis(time.UnixMilli(int64(q.UntilMs)).Sub(now)),
	}
	for _, run := range r.GetRuns() {
		m.Runs = append(m.Runs, &wire.EndedRun{Upstream: run.Upstream, AgeMs: age})
	}
	return m
}

// NewLoggedQuarantine returns the form in which a quarantine is kept on the log, with absolute times.
func NewLoggedQuarantine(now time.Time, s *wire.Suspicion) *wire.LoggedQuarantine {
	r := &wire.Suspicion{Key: s.Key, Hint: s.Hint, Team: s.Team, Route: s.Route, Part: s.Part, Terms: s.Terms}
	for _, run := range s.Runs {
		r.Runs = append(r.Runs, &wire.EndedRun{Upstream: run.Upstream})
	}
	return &wire.LoggedQuarantine{
		Request: r,
		UntilMs: uint64(now.Add(fromMillis(s.QuarantineMs)).UnixMilli()),
		EndedMs: uint64(now.Add(-LastCrashAge(s)).UnixMilli()),
	}
}

// Covers reports whether the log has a quarantine of the request that ends as late as the one in s,
// within untilTolerance.
func (m *Machine) Covers(now time.Time, s *wire.Suspicion) bool {
	q := m.Get(s.Key)
	return q != nil && !now.Add(fromMillis(s.QuarantineMs)-untilTolerance).After(time.UnixMilli(int64(q.UntilMs)))
}

// Empty reports whether the state has neither quarantines nor lifts.
func (m *Machine) Empty() bool { return len(m.logged) == 0 && len(m.lifted) == 0 }

// Snapshot returns the state, or nil if it is empty.
func (m *Machine) Snapshot() *wire.QuarantineSnapshot {
	if m.Empty() {
		return nil
	}
	return &wire.QuarantineSnapshot{Logged: slices.Clone(m.logged), Lifted: slices.Clone(m.lifted)}
}

// Restore replaces the state with that of a snapshot.
func (m *Machine) Restore(s *wire.QuarantineSnapshot) {
	m.logged, m.lifted = slices.Clone(s.GetLogged()), slices.Clone(s.GetLifted())
}
