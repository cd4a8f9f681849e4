package quarantine

import (
	"cmp"
	"slices"
	"time"
)

// record returns a request's record, and makes one if there is none.
func (t *Table) record(now time.Time, s Subject) *record {
	r := t.records[s.Key]
	if r != nil {
		return r
	}
	t.makeRoom(now, s.Team)
	r = &record{Subject: s}
	t.records[s.Key] = r
	t.hints[s.Hint]++
	t.teams[s.Team]++
	return r
}

// makeRoom drops what a team's next record has no room beside: a part of what the bounds allow at
// once, since a look at all records for each of thousands would take a replica its processor.
func (t *Table) makeRoom(now time.Time, team string) {
	if t.teams[team] < t.settings.MostOfTeam && len(t.records) < t.settings.Most {
		return
	}
	t.Forget(now)
	switch {
	case t.teams[team] >= t.settings.MostOfTeam:
		t.dropWeakest(now, team, t.settings.MostOfTeam/roomParts)
	case len(t.records) >= t.settings.Most:
		t.dropWeakest(now, t.largestTeam(), t.settings.MostOfTeam/roomParts)
	}
}

// roomParts is the part of a team's records that are dropped at once.
const roomParts = 16

// Forget drops what is held no longer.
func (t *Table) Forget(now time.Time) {
	for _, r := range t.records {
		if t.standing(now, r) == Free && !t.isCleared(now, r) && r.running == 0 {
			t.drop(r)
		}
	}
}

// isCleared says whether a request was cleared lately, which is to be told then.
func (t *Table) isCleared(now time.Time, r *record) bool {
	return !r.clearedAt.IsZero() && now.Sub(r.clearedAt) <= t.settings.ClearedFor
}

func (t *Table) drop(r *record) {
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
	most := ""
	for name, n := range t.teams {
		if n > t.teams[most] || n == t.teams[most] && name < most {
			most = name
		}
	}
	return most
}

// dropWeakest drops some of a team's records: what is held against least goes first, the oldest of
// these before the others. So a team that sends many requests that end upstreams pushes out its own
// only.
func (t *Table) dropWeakest(now time.Time, team string, some int) {
	var list []*record
	for _, r := range t.records {
		if r.Team == team {
			list = append(list, r)
		}
	}
	slices.SortFunc(list, func(a, b *record) int { return t.compare(now, a, b) })
	for _, r := range list[:min(some, len(list))] {
		t.drop(r)
	}
}

func (t *Table) compare(now time.Time, a, b *record) int {
	return cmp.Or(
		cmp.Compare(t.standing(now, a), t.standing(now, b)),
		cmp.Compare(len(a.runs), len(b.runs)),
		a.lastEnd.Compare(b.lastEnd),
		slices.Compare(a.Key[:], b.Key[:]),
	)
}
