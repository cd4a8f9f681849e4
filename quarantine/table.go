package quarantine

import (
	"slices"
	"time"

	"github.com/snipereach/snipereach/wire"
)

// Settings bound what a Table holds against a request and for how long.
type Settings struct {
	// Ends is how many upstreams end under a request before it is put in quarantine. What ran
	// beside the one that ends upstreams has an end each, too, and its callers come again: some
	// meet it twice.
	Ends int
	// Apart is how long after an end another run must have begun to follow it. Ends are heard of
	// some tens of milliseconds later at other entries.
	Apart time.Duration
	// AtOnce is how many upstreams that end at the same moment are more than copies of one
	// request are likely to end.
	AtOnce int
	// Memory is how long an end is held against a request that isn't in quarantine.
	Memory time.Duration
	// Term is how long the first quarantine lasts. Each further one lasts twice as long as the
	// one before, up to MostTerm.
	Term, MostTerm time.Duration
	// ClearedFor is how long it is told that a request was cleared.
	ClearedFor time.Duration
	// Most bounds the requests that are remembered, MostOfTeam those of one team.
	Most, MostOfTeam int
}

// DefaultSettings are those of entries and replicas.
func DefaultSettings() Settings {
	return Settings{
		Ends: 3, Apart: 100 * time.Millisecond, AtOnce: 4, Memory: 15 * time.Minute, Term: 15 * time.Minute, MostTerm: 24 * time.Hour,
		ClearedFor: time.Minute, Most: 1024, MostOfTeam: 256,
	}
}

// term is how long the n-th quarantine of a request lasts.
func (s *Settings) term(n int) time.Duration {
	d := s.Term
	for i := 1; i < n && d < s.MostTerm; i++ {
		d *= 2
	}
	return min(d, s.MostTerm)
}

// Subject is a request as a Table knows it.
type Subject struct {
	Key         Key
	Hint        Hint
	Team, Route string
}

// Standing is what a Table holds of a request.
type Standing int

const (
	// Free: nothing is held against it.
	Free Standing = iota
	// Suspect: upstreams ended under it. It may be tried again inside a caller's request.
	Suspect
	// LastTrial: one more end puts it in quarantine. It runs at one place at a time, and a
	// caller's request sends it to one upstream only.
	LastTrial
	// Quarantined: it is sent to no upstream.
	Quarantined
)

var standingNames = [...]string{"free", "suspect", "last-trial", "quarantined"}

// String returns the standing as logs show it.
func (s Standing) String() string { return standingNames[s] }

// Verdict is what may be done with a request.
type Verdict struct {
	Standing Standing
	// Ends is how many upstreams ended under it, and Upstreams their IDs.
	Ends      int
	Upstreams []string
	// Left is what is left of its quarantine, and Age the time since the last end.
	Left, Age time.Duration
}

// Run is a run of a request under which an upstream ended.
type Run struct {
	// Upstream names the incarnation that ended.
	Upstream     string
	Began, Ended time.Time
}

// record is what is known of one request.
type record struct {
	Subject
	// runs are those under which an upstream ended. Each incarnation counts once, however many
	// copies ran there.
	runs    []Run
	lastEnd time.Time
	// until is the end of its quarantine, terms how many it had.
	until time.Time
	terms int
	// running counts the copies that run from here.
	running int
	// spread says that it was told to those that act on it.
	spread bool
	// clearedAt is when it was answered whole, or its quarantine lifted, last. Ends before that
	// aren't held against it, however late they are heard of.
	clearedAt time.Time
	// version and own are the Table's versions at which the record changed, at all and by what
	// was seen here. own is 0 if nothing was.
	version, own uint64
}

// Table is what one process knows of requests under which upstreams ended. It is not safe for
// use by several goroutines.
//
// Invariant: what a Table holds against a request only grows, by ends of different upstreams,
// until the request is cleared or forgotten. So the order in which tables hear of each other's
// ends doesn't matter.
type Table struct {
	settings Settings
	records  map[Key]*record
	// hints and teams count records; everQuarantined are those that were put in quarantine.
	hints           map[Hint]int
	teams           map[string]int
	everQuarantined map[Key]*record
	version         uint64
}

// NewTable makes an empty table.
func NewTable(s Settings) *Table {
	return &Table{settings: s, records: map[Key]*record{}, hints: map[Hint]int{}, teams: map[string]int{}, everQuarantined: map[Key]*record{}}
}

// Len is how many requests are remembered.
func (t *Table) Len() int { return len(t.records) }

// Count is how many requests something is held against, and how many of these are in quarantine.
func (t *Table) Count(now time.Time) (suspected, quarantined int) {
	for _, r := range t.records {
		switch t.standing(now, r) {
		case Free:
		case Quarantined:
			quarantined++
			suspected++
		default:
			suspected++
		}
	}
	return suspected, quarantined
}

// MayKnow says whether a request with this hint may be remembered.
func (t *Table) MayKnow(h Hint) bool { return t.hints[h] > 0 }

// Version grows with each change.
func (t *Table) Version() uint64 { return t.version }

func (t *Table) standing(now time.Time, r *record) Standing {
	switch {
	case now.Before(r.until):
		return Quarantined
	case len(r.runs) == 0 || t.over(now, r):
		return Free
	case r.terms > 0 || len(r.runs) >= t.settings.Ends-1:
		// After a quarantine that has lapsed it is tried once more.
		return LastTrial
	}
	return Suspect
}

// over says whether the ends under a request are too long ago to be held against it.
func (t *Table) over(now time.Time, r *record) bool {
	if r.terms > 0 {
		return now.Sub(r.until) > t.settings.MostTerm
	}
	return now.Sub(r.lastEnd) > t.settings.Memory
}

// Judge says what may be done with a request.
func (t *Table) Judge(now time.Time, k Key) Verdict {
	r := t.records[k]
	if r == nil {
		return Verdict{}
	}
	v := Verdict{Standing: t.standing(now, r)}
	if v.Standing == Free {
		return v
	}
	v.Ends, v.Upstreams, v.Age = len(r.runs), r.upstreams(), now.Sub(r.lastEnd)
	v.Left = max(r.until.Sub(now), 0)
	return v
}

// Begin notes that a request is about to run. It says no if it is in quarantine, or on its last
// trial while a copy runs: copies that ran side by side would end an upstream each before the
// first end is known. Done must follow if it says yes to one that is remembered.
func (t *Table) Begin(now time.Time, k Key) bool {
	r := t.records[k]
	if r == nil {
		return true
	}
	s := t.standing(now, r)
	if s == Quarantined || s == LastTrial && r.running > 0 {
		return false
	}
	r.running++
	return true
}

// Done ends what Begin began. A record that was made meanwhile knows of no copy.
func (t *Table) Done(k Key) {
	if r := t.records[k]; r != nil && r.running > 0 {
		r.running--
	}
}

// Ended takes a run here under which an upstream ended. The verdict is that after it.
func (t *Table) Ended(now time.Time, s Subject, run Run) Verdict {
	r := t.record(now, s)
	if t.hold(now, r, []Run{run}) {
		t.changed(now, r)
		r.own = t.version
	}
	return t.Judge(now, s.Key)
}

// Answered takes that an upstream answered a request whole: it isn't one that ends each upstream
// that runs it. It says whether something was held against it.
func (t *Table) Answered(now time.Time, k Key) bool {
	r := t.records[k]
	if r == nil || len(r.runs) == 0 {
		return false
	}
	t.clear(r, now)
	r.own = t.version
	return true
}

// Learn takes what another process tells, a message that Check has let through. It says whether
// that changed anything.
func (t *Table) Learn(now time.Time, m *wire.Suspicion) bool {
	k := Key(m.Key)
	cleared := m.Cleared && t.learnCleared(k, now.Add(-millis(m.ClearedAgeMs)))
	if len(m.Runs) == 0 {
		return cleared
	}
	r := t.record(now, Subject{Key: k, Hint: Hint(m.Hint), Team: m.Team, Route: m.Route})
	runs := runsOf(now, m)
	changed := t.hold(now, r, runs)
	// What was decided on ends that aren't held against the request any more doesn't count.
	if !r.clearedSince(runs) && t.decided(now, r, m) {
		changed = true
	}
	if changed {
		t.changed(now, r)
	}
	return changed || cleared
}

// decided takes what another process has decided of a request, and says whether that changed anything.
func (t *Table) decided(now time.Time, r *record, m *wire.Suspicion) (changed bool) {
	if terms := int(m.Terms); terms > r.terms {
		r.terms, r.until, changed = terms, earlier(now, r.lastEnd.Add(t.settings.term(terms))), true
	}
	if until := now.Add(millis(m.QuarantineMs)); m.QuarantineMs > 0 && until.After(r.until.Add(termSlack)) {
		r.until, r.terms, changed = until, max(r.terms, 1), true
	}
	return changed
}

// clearedSince says whether the request was cleared after one of these runs.
func (r *record) clearedSince(runs []Run) bool {
	return slices.ContainsFunc(runs, func(run Run) bool { return !run.Ended.After(r.clearedAt) })
}

func (t *Table) learnCleared(k Key, at time.Time) bool {
	r := t.records[k]
	if r == nil || !at.After(r.clearedAt) {
		return false
	}
	t.clear(r, at)
	return true
}

// termSlack is the difference between two words of one quarantine's end that doesn't matter:
// each is relative to the time at which it was told.
const termSlack = 10 * time.Second

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// changed judges a record that more is held against.
func (t *Table) changed(now time.Time, r *record) {
	if t.isDue(now, r) {
		r.terms++
		r.until = now.Add(t.settings.term(r.terms))
	}
	t.touch(r)
	if r.terms > 0 {
		t.everQuarantined[r.Key] = r
	}
	s := t.standing(now, r)
	r.spread = r.spread || s >= LastTrial
	if s == Quarantined {
		t.explain(r)
	}
}

// isDue says whether a request is to be put in quarantine: enough upstreams have ended under it,
// and not all at once; or one more after its last quarantine.
//
// When many upstreams are lost at the same moment, copies of a harmless request that many callers
// send run at several of them. One that ends what runs it does so again, in a run that began after
// an end; until then it is on its last trial, and an answer clears it.
func (t *Table) isDue(now time.Time, r *record) bool {
	if now.Before(r.until) || r.lastEnd.Before(r.until) || t.over(now, r) {
		return false
	}
	if r.terms > 0 {
		return len(r.runs) > 0
	}
	return len(r.runs) >= t.settings.Ends && t.countEnds(r) >= t.settings.Ends && r.series(t.settings.Apart) > 1
}

// countEnds counts the ends that are held against a request, those of a moment at which many
// upstreams ended as one.
func (t *Table) countEnds(r *record) (n int) {
	var many time.Time
	for _, run := range r.byEnd() {
		if t.endedAround(run.Ended) >= t.settings.AtOnce {
			if !many.IsZero() && run.Ended.Sub(many) <= 2*t.settings.Apart {
				continue
			}
			many = run.Ended
		}
		n++
	}
	return n
}

// endedAround is how many upstreams ended within a while of a time, under any request.
func (t *Table) endedAround(at time.Time) int {
	ended := map[string]bool{}
	for _, r := range t.records {
		for _, run := range r.runs {
			if run.Ended.Sub(at).Abs() <= t.settings.Apart {
				ended[run.Upstream] = true
			}
		}
	}
	return len(ended)
}

// byEnd returns its runs in the order of their ends.
func (r *record) byEnd() []Run {
	return slices.SortedFunc(slices.Values(r.runs), func(a, b Run) int { return a.Ended.Compare(b.Ended) })
}

// series is how many of the runs followed one another.
func (r *record) series(apart time.Duration) (n int) {
	var last time.Time
	for _, run := range r.byEnd() {
		if n == 0 || run.Began.After(last.Add(apart)) {
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

// ranAt says whether an upstream ended under it.
func (r *record) ranAt(upstream string) bool {
	return slices.ContainsFunc(r.runs, func(run Run) bool { return run.Upstream == upstream })
}

// hold adds runs to a record; false if it knew them all.
func (t *Table) hold(now time.Time, r *record, runs []Run) (changed bool) {
	stale := len(r.runs) > 0 && t.over(now, r)
	for _, run := range runs {
		if !run.Ended.After(r.clearedAt) || r.ranAt(run.Upstream) || t.explained(now, r, run.Upstream) {
			continue
		}
		if stale {
			r.spread, r.runs, r.until, r.terms = false, nil, time.Time{}, 0
			delete(t.everQuarantined, r.Key)
			stale = false
		}
		r.runs = append(r.runs, run)
		if len(r.runs) > mostRuns {
			r.runs = r.runs[1:]
		}
		if run.Ended.After(r.lastEnd) {
			r.lastEnd = run.Ended
		}
		changed = true
	}
	return changed
}

// explained says whether a request in quarantine ended an upstream.
func (t *Table) explained(now time.Time, r *record, upstream string) bool {
	for _, other := range t.everQuarantined {
		if other != r && t.standing(now, other) == Quarantined && other.ranAt(upstream) {
			return true
		}
	}
	return false
}

// explain takes the ends of a request that is put in quarantine off those that ran beside it:
// they did not end these upstreams, and their callers come again.
func (t *Table) explain(cause *record) {
	var explained []*record
	for _, r := range t.records {
		if r == cause || r.terms > 0 {
			continue
		}
		before := len(r.runs)
		r.runs = slices.DeleteFunc(r.runs, func(run Run) bool { return cause.ranAt(run.Upstream) })
		if len(r.runs) < before {
			explained = append(explained, r)
		}
	}
	// In one order, so that a run of the table can be repeated.
	slices.SortFunc(explained, func(a, b *record) int { return slices.Compare(a.Key[:], b.Key[:]) })
	for _, r := range explained {
		t.touch(r)
	}
}

// clear takes that nothing before a time is to be held against a request.
func (t *Table) clear(r *record, at time.Time) {
	r.clearedAt, r.until, r.terms = at, time.Time{}, 0
	delete(t.everQuarantined, r.Key)
	r.runs = slices.DeleteFunc(r.runs, func(run Run) bool { return !run.Ended.After(at) })
	t.touch(r)
}

func (t *Table) touch(r *record) {
	t.version++
	r.version = t.version
}
