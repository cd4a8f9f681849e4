package quarantine

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/snipereach/snipereach/wire"
)

// Limits of a message.
const (
	maxRuns = 8
	// maxNameBytes limits the names of teams, routes and upstreams.
	maxNameBytes = 256
	// maxTerms is above the number of quarantines from which on their duration no longer grows.
	maxTerms = 64
	// MaxBatch is the maximum number of suspicions in one message.
	MaxBatch = 128
)

// Check returns ErrInvalidSuspicion if a peer's message is malformed or exceeds a limit. Table.Merge must be
// given only messages that passed it.
func Check(m *wire.Suspicion) error {
	switch {
	case m == nil:
		return merry.Prepend(ErrInvalidSuspicion, "message is nil")
	case len(m.Key) != keySize:
		return merry.Prependf(ErrInvalidSuspicion, "key has %d bytes", len(m.Key))
	case len(m.Runs) > maxRuns:
		return merry.Prependf(ErrInvalidSuspicion, "%d runs are too many", len(m.Runs))
	case len(m.Team) > maxNameBytes || len(m.Route) > maxNameBytes || len(m.Part) > maxNameBytes:
		return merry.Prepend(ErrInvalidSuspicion, "team, route or part name is too long")
	case m.Terms > maxTerms:
		return merry.Prependf(ErrInvalidSuspicion, "%d terms are too many", m.Terms)
	case !m.Cleared && len(m.Runs) == 0:
		return merry.Prepend(ErrInvalidSuspicion, "a suspicion that isn't cleared needs a run")
	}
	for _, run := range m.Runs {
		if run.GetUpstream() == "" || len(run.Upstream) > maxNameBytes {
			return merry.Prepend(ErrInvalidSuspicion, "upstream name is empty or too long")
		}
		if len(run.Requests) > maxRunRequests {
			return merry.Prependf(ErrInvalidSuspicion, "%d requests of one run are too many", len(run.Requests))
		}
	}
	return nil
}

// Batch is a batch of changes to report to a peer.
type Batch struct {
	Suspicions []*wire.Suspicion
	// Version is the table version up to which the peer has been told everything after this batch.
	Version uint64
}

// Since returns the changes after a version that peers act on: requests on their last trial or in
// quarantine, and the clearing of requests that had got that far.
func (t *Table) Since(now time.Time, version uint64) Batch {
	return t.changesAfter(now, func(r *record) uint64 {
		if t.status(now, r) < LastTrial && !(r.announced && t.clearedRecently(now, r)) {
			return 0
		}
		return r.version
	}, version)
}

// LocalSince returns the changes after a version that this process observed itself.
func (t *Table) LocalSince(now time.Time, version uint64) Batch {
	return t.changesAfter(now, func(r *record) uint64 { return r.ownVersion }, version)
}

// All returns all suspected requests, sorted by key.
func (t *Table) All(now time.Time) []*wire.Suspicion {
	var list []*wire.Suspicion
	for _, r := range t.records {
		if t.status(now, r) != Unsuspected {
			list = append(list, t.toSuspicion(now, r))
		}
	}
	slices.SortFunc(list, func(a, b *wire.Suspicion) int { return slices.Compare(a.Key, b.Key) })
	return list
}

// changesAfter returns the records for which versionOf exceeds version, in ascending order of it
// and at most MaxBatch of them.
func (t *Table) changesAfter(now time.Time, versionOf func(*record) uint64, version uint64) Batch {
	if version == t.version {
		return Batch{Version: version}
	}
	var list []*record
	for _, r := range t.records {
		if versionOf(r) > version {
			list = append(list, r)
		}
	}
	slices.SortFunc(list, func(a, b *record) int { return cmp.Compare(versionOf(a), versionOf(b)) })
	batch := Batch{Version: t.version}
	if len(list) > MaxBatch {
		list = list[:MaxBatch]
		batch.Version = versionOf(list[MaxBatch-1])
	}
	for _, r := range list {
		if m := t.toSuspicion(now, r); Check(m) == nil {
			batch.Suspicions = append(batch.Suspicions, m)
		}
	}
	return batch
}

func (t *Table) toSuspicion(now time.Time, r *record) *wire.Suspicion {
	m := &wire.Suspicion{
		Key: r.Key[:], Hint: uint64(r.Hint), Team: r.Team, Route: r.Route, Part: r.Part, Runs: toWireRuns(now, r.runs),
		QuarantineMs: toMillis(r.until.Sub(now)), Terms: uint32(r.quarantineCount),
	}
	if t.clearedRecently(now, r) {
		m.Cleared, m.ClearedAgeMs = true, toMillis(now.Sub(r.clearedAt))
	}
	return m
}

func toWireRuns(now time.Time, runs []CrashedRun) []*wire.EndedRun {
	list := make([]*wire.EndedRun, len(runs))
	for i, run := range runs {
		list[i] = &wire.EndedRun{Upstream: run.Upstream, AgeMs: toMillis(now.Sub(run.Ended)), RanMs: toMillis(run.Ended.Sub(run.Began)), Requests: run.Requests}
	}
	return list
}

func fromWireRuns(now time.Time, m *wire.Suspicion) []CrashedRun {
	list := make([]CrashedRun, len(m.Runs))
	for i, run := range m.Runs {
		ended := now.Add(-fromMillis(run.AgeMs))
		list[i] = CrashedRun{Upstream: run.Upstream, Began: ended.Add(-fromMillis(run.RanMs)), Ended: ended, Requests: run.Requests}
	}
	return list
}

// LastCrashAge returns the time since the latest crash in a message, or the longest Duration if it has none.
func LastCrashAge(m *wire.Suspicion) time.Duration {
	age := time.Duration(math.MaxInt64)
	for _, run := range m.Runs {
		age = min(age, fromMillis(run.AgeMs))
	}
	return age
}

// CrashedUpstreams returns the IDs of the crashed upstreams in a message.
func CrashedUpstreams(m *wire.Suspicion) []string {
	list := make([]string, len(m.Runs))
	for i, run := range m.Runs {
		list[i] = run.Upstream
	}
	return list
}

func fromMillis(ms uint32) time.Duration { return time.Duration(ms) * time.Millisecond }

// toMillis converts d to milliseconds, clamped to the range of a message's field.
func toMillis(d time.Duration) uint32 {
	return uint32(min(max(d.Milliseconds(), 0), math.MaxUint32))
}
