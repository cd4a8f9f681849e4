package quarantine

import (
	"cmp"
	"slices"
	"time"
)

// recordFor returns the record of a request. If there is none it creates one, which may evict others.
func (t *Table) recordFor(now time.Time, s RequestInfo) *record {
	r := t.records[s.Key]
	if r != nil {
		return r
	}
	t.evictIfFull(now, s.Team)
	r = &record{RequestInfo: s}
	t.records[s.Key] = r
	t.hints[s.Hint]++
	t.teams[s.Team]++
	return r
}

// evictIfFull makes room for one more record of a team. It evicts many records at once, because each
// eviction scans the whole table.
func (t *Table) evictIfFull(now time.Time, team string) {
	if t.teams[team] < t.settings.MaxRecordsPerTeam && len(t.records) < t.settings.MaxRecords {
		return
	}
	t.Forget(now)
	switch {
	case t.teams[team] >= t.settings.MaxRecordsPerTeam:
		t.evictWeakest(now, team, t.settings.MaxRecordsPerTeam/evictionDivisor)
	case len(t.records) >= t.settings.MaxRecords:
		t.evictWeakest(now, t.largestTeam(), t.settings.MaxRecordsPerTeam/evictionDivisor)
	}
}

// evictionDivisor divides MaxRecordsPerTeam into the number of records that are evicted at once.
const evictionDivisor = 16

// Forget drops the records of requests that are not suspected, have no copy in flight and were not
// cleared within ClearedTTL.
func (t *Table) Forget(now time.Time) {
	for _, r := range t.records {
		if t.status(now, r) == Unsuspected && !t.clearedRecently(now, r) && r.inFlight == 0 {
			t.dropRecord(r)
		}
	}
}

// clearedRecently reports whether a request was cleared within ClearedTTL, while peers are told of
// it.
func (t *Table) clearedRecently(now time.Time, r *record) bool {
	return !r.clearedAt.IsZero() && now.Sub(r.clearedAt) <= t.settings.ClearedTTL
}

func (t *Table) dropRecord(r *record) {
	delete(t.records, r.Key)
	delete(t.everQuarantined, r.Key)
	if t.hints[r.Hint]--; t.hints[r.Hint] == 0 {
		delete(t.hints, r.Hint)
	}
	if t.teams[r.Team]--; t.teams[r.Team] == 0 {
		delete(t.teams, r.Team)
	}
}

func (t *Table) largestTeam() string {
	largest := ""
	for name, n := range t.teams {
		if n > t.teams[largest] || n == t.teams[largest] && name < largest {
			largest = name
		}
	}
	return largest
}

// evictWeakest evicts up to n records of a team, those with the least held against them first and
// the oldest first among equals. Evicting by team keeps a team that sends many poison requests from
// displacing the records of other teams.
func (t *Table) evictWeakest(now time.Time, team string, n int) {
	var list []*record
	for _, r := range t.records {
		if r.Team == team {
			list = append(list, r)
		}
	}
	slices.SortFunc(list, func(a, b *record) int { return t.compareForEviction(now, a, b) })
	for _, r := range list[:min(n, len(list))] {
		t.dropRecord(r)
	}
}

// compareForEviction orders records by status, number of crashes, and time of the last crash.
func (t *Table) compareForEviction(now time.Time, a, b *record) int {
	return cmp.Or(
		cmp.Compare(t.status(now, a), t.status(now, b)),
		cmp.Compare(len(a.runs), len(b.runs)),
		a.lastCrash.Compare(b.lastCrash),
		slices.Compare(a.Key[:], b.Key[:]),
	)
}
