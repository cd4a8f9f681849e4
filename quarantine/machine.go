package quarantine

import (
	"slices"
	"time"

	"github.com/snipereach/snipereach/wire"
)

// Bounds of what the log keeps.
const (
	mostLogged       = 512
	mostLoggedOfTeam = 64
	mostLifted       = 256
)

// Machine holds the requests in quarantine as a state machine on the replicated log. What an
// entry and a replica hold in memory is gone when all processes are killed, and a request that
// had ended three upstreams would end three more.
//
// Invariant: the end of a request's quarantine only grows until it is lifted, so that a command
// proposed twice, or by two leaders, changes nothing the second time.
type Machine struct {
	logged []*wire.LoggedQuarantine
	lifted []*wire.LiftedQuarantine
}

// Result is the answer to a command.
type Result struct {
	// Changed says that the command changed what is in quarantine.
	Changed bool
}

// Apply carries out a committed command.
func (m *Machine) Apply(c *wire.QuarantineCommand) Result {
	if c.Put != nil {
		return Result{Changed: m.put(c.Put)}
	}
	return Result{Changed: m.lift(c.Lift, c.AtMs)}
}

// put keeps a quarantine, unless the one that is kept is as long, or it rests on what was before a
// lift: a replica that was cut off meanwhile may still ask for it.
func (m *Machine) put(q *wire.LoggedQuarantine) bool {
	if q.EndedMs < m.LiftedAt(q.Request.GetKey()) {
		return false
	}
	at := m.index(q.Request.GetKey())
	if at >= 0 && m.logged[at].UntilMs >= q.UntilMs {
		return false
	}
	if at >= 0 {
		m.logged = slices.Delete(m.logged, at, at+1)
	}
	m.makeRoom(q.Request.GetTeam())
	m.logged = append(m.logged, q)
	return true
}

// makeRoom drops the team's oldest quarantine if it has many, or else the oldest of all if the
// log has.
func (m *Machine) makeRoom(team string) {
	of := 0
	oldest := -1
	for i, q := range m.logged {
		if q.Request.GetTeam() != team {
			continue
		}
		of++
		if oldest < 0 {
			oldest = i
		}
	}
	switch {
	case of >= mostLoggedOfTeam:
		m.logged = slices.Delete(m.logged, oldest, oldest+1)
	case len(m.logged) >= mostLogged:
		m.logged = slices.Delete(m.logged, 0, 1)
	}
}

func (m *Machine) lift(key []byte, atMS uint64) bool {
	at := m.index(key)
	if at < 0 {
		return false
	}
	m.logged = slices.Delete(m.logged, at, at+1)
	m.lifted = append(m.lifted, &wire.LiftedQuarantine{Key: key, AtMs: atMS})
	if len(m.lifted) > mostLifted {
		m.lifted = m.lifted[1:]
	}
	return true
}

func (m *Machine) index(key []byte) int {
	return slices.IndexFunc(m.logged, func(q *wire.LoggedQuarantine) bool { return slices.Equal(q.Request.GetKey(), key) })
}

// Get returns a request's quarantine, or nil.
func (m *Machine) Get(key []byte) *wire.LoggedQuarantine {
	if at := m.index(key); at >= 0 {
		return m.logged[at]
	}
	return nil
}

// LiftedAt is when a request's quarantine was lifted last, in Unix milliseconds; 0 if it wasn't.
func (m *Machine) LiftedAt(key []byte) uint64 {
	for _, l := range slices.Backward(m.lifted) {
		if slices.Equal(l.Key, key) {
			return l.AtMs
		}
	}
	return 0
}

// Told returns the quarantines as they are told, by a time of day.
func (m *Machine) Told(now time.Time) []*wire.Suspicion {
	list := make([]*wire.Suspicion, len(m.logged))
	for i, q := range m.logged {
		list[i] = tellLogged(now, q)
	}
	return list
}

// Decided makes the message of a command that has changed something.
func Decided(now time.Time, c *wire.QuarantineCommand) *wire.Suspicion {
	if c.Put != nil {
		return tellLogged(now, c.Put)
	}
	return &wire.Suspicion{Key: c.Lift, Cleared: true, ClearedAgeMs: inMillis(now.Sub(time.UnixMilli(int64(c.AtMs))))}
}

// tellLogged makes the message of a quarantine on the log.
func tellLogged(now time.Time, q *wire.LoggedQuarantine) *wire.Suspicion {
	r := q.Request
	age := inMillis(now.Sub(time.UnixMilli(int64(q.EndedMs))))
	m := &wire.Suspicion{
		Key: r.GetKey(), Hint: r.GetHint(), Team: r.GetTeam(), Route: r.GetRoute(), Terms: r.GetTerms(),
		QuarantineMs: inMillis(time.UnixMilli(int64(q.UntilMs)).Sub(now)),
	}
	for _, run := range r.GetRuns() {
		m.Runs = append(m.Runs, &wire.EndedRun{Upstream: run.Upstream, AgeMs: age})
	}
	return m
}

// Logged makes what is kept on the log of a request in quarantine.
func Logged(now time.Time, s *wire.Suspicion) *wire.LoggedQuarantine {
	r := &wire.Suspicion{Key: s.Key, Hint: s.Hint, Team: s.Team, Route: s.Route, Terms: s.Terms}
	for _, run := range s.Runs {
		r.Runs = append(r.Runs, &wire.EndedRun{Upstream: run.Upstream})
	}
	return &wire.LoggedQuarantine{
		Request: r,
		UntilMs: uint64(now.Add(millis(s.QuarantineMs)).UnixMilli()),
		EndedMs: uint64(now.Add(-Age(s)).UnixMilli()),
	}
}

// Covers says whether the log has a quarantine that is as long as a Table's.
func (m *Machine) Covers(now time.Time, s *wire.Suspicion) bool {
	q := m.Get(s.Key)
	return q != nil && !now.Add(millis(s.QuarantineMs)-termSlack).After(time.UnixMilli(int64(q.UntilMs)))
}

// Empty says whether nothing was ever put in quarantine, as far as is known.
func (m *Machine) Empty() bool { return len(m.logged) == 0 && len(m.lifted) == 0 }

// Snapshot returns the state.
func (m *Machine) Snapshot() *wire.QuarantineSnapshot {
	if m.Empty() {
		return nil
	}
	return &wire.QuarantineSnapshot{Logged: slices.Clone(m.logged), Lifted: slices.Clone(m.lifted)}
}

// Restore replaces the state by a snapshot's.
func (m *Machine) Restore(s *wire.QuarantineSnapshot) {
	m.logged, m.lifted = slices.Clone(s.GetLogged()), slices.Clone(s.GetLifted())
}
