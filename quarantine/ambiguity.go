package quarantine

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// maxRunRequests is the number of requests that are remembered of one crash; two tell that a part is common.
	maxRunRequests = 4
	// maxAmbiguousCrashes is how many more crashes than others a part may have while another one ran at the same.
	maxAmbiguousCrashes = 2
)

// hashRequestID returns the hash by which copies of one report are told from other requests.
func hashRequestID(id string) uint32 { return uint32(xxhash.Sum64String(id)) }

// addRequests adds the requests of a run to those known of the same upstream, and reports whether that changed
// anything.
func (r *record) addRequests(run CrashedRun) (changed bool) {
	i := slices.IndexFunc(r.runs, func(known CrashedRun) bool { return known.Upstream == run.Upstream })
	if i < 0 {
		return false
	}
	for _, request := range run.Requests {
		known := r.runs[i].Requests
		if len(known) < maxRunRequests && !slices.Contains(known, request) {
			r.runs[i].Requests = append(slices.Clip(known), request)
			changed = true
		}
	}
	return changed
}

// isAmbiguous reports whether the crashes of a part don't tell yet that it is the cause: it is common, or another
// part ran at the same ones.
//
// Where nobody has seen answers yet, some sound part is at the first three crashes by chance. The bad one is
// at each of them, so that one or two more tell them apart. A part of which the last crash isn't known
// here yet counts as well: its report may be on its way.
func (t *Table) isAmbiguous(now time.Time, r *record) bool {
	if r.Part == "" {
		return false
	}
	return r.commonAtCrashes(t.tieEnds()) || len(r.runs) < t.tieEnds() && t.hasAlternative(now, r)
}

// tieEnds is the number of crashes from which on a part is put in quarantine though another one ran at the same.
func (t *Table) tieEnds() int { return t.settings.CrashThreshold + maxAmbiguousCrashes }

// hasAlternative reports whether another suspected part ran at all crashes of a part but one at most.
func (t *Table) hasAlternative(now time.Time, r *record) bool {
	for _, other := range t.records {
		if other != r && t.status(now, other) != Unsuspected && r.mayBeExplainedBy(other) {
			return true
		}
	}
	return false
}

// mayBeExplainedBy reports whether another part ran at all crashes of a part but one at most, so that it may be the
// cause of them instead.
func (r *record) mayBeExplainedBy(other *record) bool {
	if r.Part == "" || other.Part == "" {
		return false
	}
	shared := 0
	for _, run := range r.runs {
		if other.crashedDuring(run.Upstream) {
			shared++
		}
	}
	return shared >= len(r.runs)-1
}

// isTied reports whether nothing tells a part that is put in quarantine from another one. Both are put in
// quarantine then: if the bad one weren't, it would go on crashing upstreams.
func (t *Table) isTied(cause, other *record) bool {
	return len(cause.runs) >= t.tieEnds() && cause.mayBeExplainedBy(other)
}

// reassessTied decides on the parts that are tied with one that was put in quarantine.
func (t *Table) reassessTied(now time.Time, cause *record) {
	var tied []*record
	for _, r := range t.records {
		if r != cause && t.isTied(cause, r) && t.isQuarantineDue(now, r) {
			tied = append(tied, r)
		}
	}
	sortByKey(tied)
	for _, r := range tied {
		t.reassess(now, r)
	}
}

// sortByKey brings records into a defined order, so that versions are assigned reproducibly.
func sortByKey(list []*record) {
	slices.SortFunc(list, func(a, b *record) int { return slices.Compare(a.Key[:], b.Key[:]) })
}

// commonAtCrashes reports whether at half of the crashes, and at two at least, several requests with the part ran
// side by side; at two thirds of them once there are as many as end a tie.
//
// One request with a bad part is enough for a crash, and rarely do two run at the same upstream; a part that many
// requests have is at most crashes several times. It tells them apart where nobody has seen answers yet, as
// after a restart of all entries.
func (r *record) commonAtCrashes(tieEnds int) bool {
	several := 0
	for _, run := range r.runs {
		if len(run.Requests) > 1 {
			several++
		}
	}
	if len(r.runs) >= tieEnds {
		return 3*several >= 2*len(r.runs)
	}
	return several > 1 && 2*several >= len(r.runs)
}
