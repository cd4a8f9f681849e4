package quarantine

import (
	"slices"
	"time"

	"github.com/snipereach/snipereach/wire"
)

// Settings are the thresholds and limits of a Table.
type Settings struct {
	// CrashThreshold is the number of upstream crashes that puts a request in quarantine. It should
	// exceed two: a harmless request that runs beside a poison one may be sent again and meet it
	// twice.
	CrashThreshold int
	// MinSeparation is how long after a crash another run must have begun to count as following it.
	// It also is the distance within which crashes count as simultaneous. Other entries learn of a
	// crash some tens of milliseconds late.
	MinSeparation time.Duration
	// OutageThreshold is the number of upstreams that crash simultaneously from which on the crashes
	// are taken for an outage, not for the effect of copies of one request.
	OutageThreshold int
	// SuspicionTTL is how long crashes are held against a request that has not been in quarantine.
	SuspicionTTL time.Duration
	// BaseDuration is the duration of the first quarantine. Each further one is twice as long as the one
	// before, up to MaxDuration. MaxDuration is also how long a request that was in quarantine stays
	// suspected afterwards.
	BaseDuration, MaxDuration time.Duration
	// ClearedTTL is how long peers are told that a request was cleared.
	ClearedTTL time.Duration
	// MaxRecords is the maximum number of remembered requests, MaxRecordsPerTeam the maximum per
	// team.
	MaxRecords, MaxRecordsPerTeam int
}

// DefaultSettings returns the settings that all processes use.
func DefaultSettings() Settings {
	return Settings{
		CrashThreshold: 3, MinSeparation: 100 * time.Millisecond, OutageThreshold: 4, SuspicionTTL: 15 * time.Minute, BaseDuration: 15 * time.Minute, MaxDuration: 24 * time.Hour,
		ClearedTTL: time.Minute, MaxRecords: 1024, MaxRecordsPerTeam: 256,
	}
}

// quarantineDuration returns the duration of a request's n-th quarantine.
func (s *Settings) quarantineDuration(n int) time.Duration {
	d := s.BaseDuration
	for i := 1; i < n && d < s.MaxDuration; i++ {
		d *= 2
	}
	return min(d, s.MaxDuration)
}

// RequestInfo describes a request to a Table.
type RequestInfo struct {
	Key         Key
	Hint        Hint
	Team, Route string
	// Part is the ID of the part of prompts that the record is about; empty if it is about one request.
	Part string
}

// Status tells how strongly a request is suspected to crash upstreams.
type Status int

const (
	// Unsuspected: the request is not suspected.
	Unsuspected Status = iota
	// Suspect: upstreams crashed while running it. It may be sent to another upstream within the same
	// caller's request.
	Suspect
	// LastTrial: one more crash may put it in quarantine. At most one copy of it runs from each
	// process, and a caller's request sends it to one upstream only.
	LastTrial
	// Quarantined: it is sent to no upstream.
	Quarantined
)

var statusNames = [...]string{"free", "suspect", "last-trial", "quarantined"}

// String returns the status as it appears in logs.
func (s Status) String() string { return statusNames[s] }

// Verdict is a request's status and the reasons for it.
type Verdict struct {
	Status Status
	// Crashes is the number of upstreams that crashed while running it, Upstreams their IDs.
	Crashes   int
	Upstreams []string
	// Left is the remaining time of its quarantine, Age the time since the last crash.
	Left, Age time.Duration
	// Key is what is suspected, Part the part of prompts that it stands for; both only from RequestGuard.
	Key  Key
	Part string
}

// CrashedRun is a run of a request during which its upstream crashed.
type CrashedRun struct {
	// Upstream is the ID of the incarnation that crashed.
	Upstream     string
	Began, Ended time.Time
	// Requests are hashes of the IDs of the requests that ran there, up to maxRunRequests, if the record is
	// about a part of prompts.
	Requests []uint32
}

// record is what a Table knows of one request.
type record struct {
	RequestInfo
	// runs are those during which an upstream crashed. Each incarnation counts once, however many
	// copies ran there.
	runs      []CrashedRun
	lastCrash time.Time
	// until is the end of its latest quarantine, quarantineCount how many it has had.
	until           time.Time
	quarantineCount int
	// inFlight is the number of copies that run from this process.
	inFlight int
	// announced is set once the request is on its last trial or in quarantine, which peers are told.
	// They are then also told when it is cleared.
	announced bool
	// clearedAt is when the request was last answered completely, or its quarantine lifted. Crashes up
	// to that time aren't held against it, however late they are reported.
	clearedAt time.Time
	// version is the table version of the latest change, ownVersion that of the latest change that
	// this process observed itself, or 0 if there was none.
	version, ownVersion uint64
}

// Table is what one process knows of requests that were running when upstreams crashed. It is not
// safe for concurrent use.
//
// Invariant: the crashes held against a request only grow in number, each of a different upstream,
// until the request is cleared or expires, or the crashes are attributed to another request. So the
// order in which tables learn of each other's crashes doesn't matter.
type Table struct {
	settings Settings
	records  map[Key]*record
	// hints and teams count records. everQuarantined holds the records with quarantineCount above 0.
	hints           map[Hint]int
	teams           map[string]int
	everQuarantined map[Key]*record
	version         uint64
}

// NewTable returns an empty table.
func NewTable(s Settings) *Table {
	return &Table{settings: s, records: map[Key]*record{}, hints: map[Hint]int{}, teams: map[string]int{}, everQuarantined: map[Key]*record{}}
}

// Len returns the number of remembered requests.
func (t *Table) Len() int { return len(t.records) }

// Count returns how many requests are suspected, and how many of these are in quarantine.
func (t *Table) Count(now time.Time) (suspected, quarantined int) {
	for _, r := range t.records {
		switch t.status(now, r) {
		case Unsuspected:
		case Quarantined:
			quarantined++
			suspected++
		default:
			suspected++
		}
	}
	return suspected, quarantined
}

// MayContain reports whether a request with this hint may be remembered. False is definite.
func (t *Table) MayContain(h Hint) bool { return t.hints[h] > 0 }

// Version returns a number that grows with each change of the table.
func (t *Table) Version() uint64 { return t.version }

func (t *Table) status(now time.Time, r *record) Status {
	switch {
	case now.Before(r.until):
		return Quarantined
	case len(r.runs) == 0 || t.isExpired(now, r):
		return Unsuspected
	case r.quarantineCount > 0 || len(r.runs) >= t.settings.CrashThreshold-1:
		// A request whose quarantine has lapsed is tried one more time.
		return LastTrial
	}
	return Suspect
}

// isExpired reports whether the crashes are too long ago to be held against the request.
func (t *Table) isExpired(now time.Time, r *record) bool {
	if r.quarantineCount > 0 {
		return now.Sub(r.until) > t.settings.MaxDuration
	}
	return now.Sub(r.lastCrash) > t.settings.SuspicionTTL
}

// Verdict returns the verdict on a request.
func (t *Table) Verdict(now time.Time, k Key) Verdict {
	r := t.records[k]
	if r == nil {
		return Verdict{}
	}
	v := Verdict{Status: t.status(now, r)}
	if v.Status == Unsuspected {
		return v
	}
	v.Crashes, v.Upstreams, v.Age = len(r.runs), r.upstreams(), now.Sub(r.lastCrash)
	v.Left = max(r.until.Sub(now), 0)
	return v
}

// Begin registers a copy of a request that is about to run. It returns false if the request is in
// quarantine, or on its last trial while another copy runs: copies that ran side by side could each
// crash an upstream before the first crash is known. Done must follow if it returns true.
func (t *Table) Begin(now time.Time, k Key) bool {
	r := t.records[k]
	if r == nil {
		return true
	}
	s := t.status(now, r)
	if s == Quarantined || s == LastTrial && r.inFlight > 0 {
		return false
	}
	r.inFlight++
	return true
}

// Done unregisters a copy that Begin registered. A record that was created meanwhile doesn't count
// the copy.
func (t *Table) Done(k Key) {
	if r := t.records[k]; r != nil && r.inFlight > 0 {
		r.inFlight--
	}
}

// RecordCrash records a run from this process during which an upstream crashed, and returns the
// verdict after it.
func (t *Table) RecordCrash(now time.Time, s RequestInfo, run CrashedRun) Verdict {
	r := t.recordFor(now, s)
	if t.addRuns(now, r, []CrashedRun{run}) {
		t.reassess(now, r)
		r.ownVersion = t.version
	}
	return t.Verdict(now, s.Key)
}

// RecordAnswer records that an upstream answered a request completely: it doesn't crash every upstream
// that runs it. The request is cleared. RecordAnswer reports whether any crash was recorded of it.
func (t *Table) RecordAnswer(now time.Time, k Key) bool {
	r := t.records[k]
	if r == nil || len(r.runs) == 0 {
		return false
	}
	t.clearRecord(r, now)
	r.ownVersion = t.version
	return true
}

// Merge merges a message of another process, which must have passed Check, and reports whether that
// changed anything.
func (t *Table) Merge(now time.Time, m *wire.Suspicion) bool {
	k := Key(m.Key)
	cleared := m.Cleared && t.mergeCleared(k, now.Add(-fromMillis(m.ClearedAgeMs)))
	if len(m.Runs) == 0 {
		return cleared
	}
	r := t.recordFor(now, RequestInfo{Key: k, Hint: Hint(m.Hint), Team: m.Team, Route: m.Route, Part: m.Part})
	runs := fromWireRuns(now, m)
	changed := t.addRuns(now, r, runs)
	// A quarantine that rests on crashes from before the last clearing doesn't count.
	if !r.clearedSince(runs) && t.mergeQuarantine(now, r, m) {
		changed = true
	}
	if changed {
		t.reassess(now, r)
	}
	return changed || cleared
}

// mergeQuarantine adopts another process's quarantine of a request if it is the later one, and
// reports whether that changed anything.
func (t *Table) mergeQuarantine(now time.Time, r *record, m *wire.Suspicion) (changed bool) {
	if quarantineCount := int(m.Terms); quarantineCount > r.quarantineCount {
		r.quarantineCount, r.until, changed = quarantineCount, earlier(now, r.lastCrash.Add(t.settings.quarantineDuration(quarantineCount))), true
	}
	if until := now.Add(fromMillis(m.QuarantineMs)); m.QuarantineMs > 0 && until.After(r.until.Add(untilTolerance)) {
		r.until, r.quarantineCount, changed = until, max(r.quarantineCount, 1), true
	}
	return changed
}

// clearedSince reports whether the request was cleared after any of these runs had ended.
func (r *record) clearedSince(runs []CrashedRun) bool {
	return slices.ContainsFunc(runs, func(run CrashedRun) bool { return !run.Ended.After(r.clearedAt) })
}

// mergeCleared clears a request unless a clearing as late is known already.
func (t *Table) mergeCleared(k Key, at time.Time) bool {
	r := t.records[k]
	if r == nil || !at.After(r.clearedAt) {
		return false
	}
	t.clearRecord(r, at)
	return true
}

// untilTolerance is the difference between two reported ends of one quarantine that is ignored.
// Messages carry times relative to when they are sent, so their transit shifts the ends.
const untilTolerance = 10 * time.Second

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// reassess decides on quarantine after more crashes were recorded of a request.
func (t *Table) reassess(now time.Time, r *record) {
	if t.isQuarantineDue(now, r) {
		r.quarantineCount++
		r.until = now.Add(t.settings.quarantineDuration(r.quarantineCount))
	}
	t.bumpVersion(r)
	if r.quarantineCount > 0 {
		t.everQuarantined[r.Key] = r
	}
	s := t.status(now, r)
	r.announced = r.announced || s >= LastTrial
	if s == Quarantined {
		t.attributeCrashes(r)
		t.reassessTied(now, r)
	}
}

// isQuarantineDue reports whether a request is to be put in quarantine: enough upstreams crashed
// while running it, and not all simultaneously; or one more crashed after its last quarantine.
//
// When many upstreams fail at once, copies of a popular harmless request may run at several of them.
// A poison request crashes upstreams again in runs that begin after a crash; until then it stays on
// its last trial, and an answer clears it.
func (t *Table) isQuarantineDue(now time.Time, r *record) bool {
	if now.Before(r.until) || r.lastCrash.Before(r.until) || t.isExpired(now, r) {
		return false
	}
	if r.quarantineCount > 0 {
		return len(r.runs) > 0
	}
	return len(r.runs) >= t.settings.CrashThreshold && !t.isAmbiguous(now, r) && t.countCrashes(r) >= t.settings.CrashThreshold && r.countSequential(t.settings.MinSeparation) > 1
}

// countCrashes counts the crashes held against a request. Those of one outage, in which many
// upstreams crashed simultaneously, count as one.
func (t *Table) countCrashes(r *record) (n int) {
	var outage time.Time
	for _, run := range r.runsByEnd() {
		if t.upstreamsCrashedNear(run.Ended) >= t.settings.OutageThreshold {
			if !outage.IsZero() && run.Ended.Sub(outage) <= 2*t.settings.MinSeparation {
				continue
			}
			outage = run.Ended
		}
		n++
	}
	return n
}

// upstreamsCrashedNear returns how many upstreams crashed within MinSeparation of a time while
// running any of the remembered requests.
func (t *Table) upstreamsCrashedNear(at time.Time) int {
	ended := map[string]bool{}
	for _, r := range t.records {
		for _, run := range r.runs {
			if run.Ended.Sub(at).Abs() <= t.settings.MinSeparation {
				ended[run.Upstream] = true
			}
		}
	}
	return len(ended)
}

// runsByEnd returns the runs in the order in which they ended.
func (r *record) runsByEnd() []CrashedRun {
	return slices.SortedFunc(slices.Values(r.runs), func(a, b CrashedRun) int { return a.Ended.Compare(b.Ended) })
}

// countSequential returns how many runs followed one another, each begun more than minSeparation
// after the one before had ended.
func (r *record) countSequential(minSeparation time.Duration) (n int) {
	var last time.Time
	for _, run := range r.runsByEnd() {
		if n == 0 || run.Began.After(last.Add(minSeparation)) {
			n, last = n+1, run.Ended
		}
	}
	return n
}

func (r *record) upstreams() []string {
	list := make([]string, len(r.runs))
	for i, run := range r.runs {
		list[i] = run.Upstream
	}
	return list
}

// crashedDuring reports whether the upstream crashed while running the request.
func (r *record) crashedDuring(upstream string) bool {
	return slices.ContainsFunc(r.runs, func(run CrashedRun) bool { return run.Upstream == upstream })
}

// addRuns adds runs to a record and reports whether any of them was added. It skips crashes from
// before the last clearing, of upstreams that are counted already, and those that are attributed to
// another request. The first run added to an expired record replaces its former runs and
// quarantines.
func (t *Table) addRuns(now time.Time, r *record, runs []CrashedRun) (changed bool) {
	expired := len(r.runs) > 0 && t.isExpired(now, r)
	for _, run := range runs {
		if r.addRequests(run) {
			changed = true
		}
		if !run.Ended.After(r.clearedAt) || r.crashedDuring(run.Upstream) || t.isAttributed(now, r, run.Upstream) {
			continue
		}
		if expired {
			r.announced, r.runs, r.until, r.quarantineCount = false, nil, time.Time{}, 0
			delete(t.everQuarantined, r.Key)
			expired = false
		}
		r.runs = append(r.runs, run)
		if len(r.runs) > maxRuns {
			r.runs = r.runs[1:]
		}
		if run.Ended.After(r.lastCrash) {
			r.lastCrash = run.Ended
		}
		changed = true
	}
	return changed
}

// isAttributed reports whether another request, which is in quarantine, was running when the upstream
// crashed.
func (t *Table) isAttributed(now time.Time, r *record, upstream string) bool {
	for _, other := range t.everQuarantined {
		if other != r && t.status(now, other) == Quarantined && other.crashedDuring(upstream) && !t.isTied(other, r) {
			return true
		}
	}
	return false
}

// attributeCrashes removes the crashes of a request that is put in quarantine from other requests,
// which only ran beside it and are likely to be sent again. Requests that were in quarantine
// themselves keep theirs.
func (t *Table) attributeCrashes(cause *record) {
	var changed []*record
	for _, r := range t.records {
		if r == cause || r.quarantineCount > 0 || t.isTied(cause, r) {
			continue
		}
		before := len(r.runs)
		r.runs = slices.DeleteFunc(r.runs, func(run CrashedRun) bool { return cause.crashedDuring(run.Upstream) })
		if len(r.runs) < before {
			changed = append(changed, r)
		}
	}
	sortByKey(changed)
	for _, r := range changed {
		t.bumpVersion(r)
	}
}

// clearRecord discards the quarantines of a request and its crashes up to a time.
func (t *Table) clearRecord(r *record, at time.Time) {
	r.clearedAt, r.until, r.quarantineCount = at, time.Time{}, 0
	delete(t.everQuarantined, r.Key)
	r.runs = slices.DeleteFunc(r.runs, func(run CrashedRun) bool { return !run.Ended.After(at) })
	t.bumpVersion(r)
}

func (t *Table) bumpVersion(r *record) {
	t.version++
	r.version = t.version
}
