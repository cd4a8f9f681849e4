// Package outlier decides which upstreams of a group in lock-step a gateway avoids because others found
// them silent: they accept requests and send nothing while the group makes progress.
//
// A gateway that finds an upstream silent ejects it itself. Each of the others would find that out by
// requests of its own, which are late then; so gateways tell each other, through the control replicas.
// It is soft state: it is lost with a process, expires within seconds, and is bounded. The word of one
// gateway is not enough, as its own link may be faulty.
package outlier

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

const (
	// window is how long after a report an upstream is avoided, and within which another gateway
	// must have reported it too.
	window = 3 * time.Second
	// keepTime is how long a report is kept.
	keepTime = 10 * time.Second
	// MaxUpstreams bounds the upstreams in a Table.
	MaxUpstreams = 256
	// maxReporters bounds the reporters that are kept of one upstream.
	maxReporters = 8
	// refreshInterval is by how much later another report of a gateway about an upstream must be to
	// be taken in, and passed on. If maxReporters have reported within it, further gateways add nothing.
	refreshInterval = 500 * time.Millisecond
	// avoidedDivisor divides the number of a group's upstreams into that which may be avoided, which
	// is at least 1. If more seem silent, the cause is rather the reporters, the network or the group.
	avoidedDivisor = 8
)

// Report says that a gateway found an upstream silent.
type Report struct {
	Upstream    string
	Incarnation uint64
	// Reporter is the ID of the gateway.
	Reporter string
	// At is when it found that, by the clock of the Table's owner.
	At time.Time
}

// Silent is an upstream that at least two gateways have found silent within the window.
type Silent struct {
	Upstream    string
	Incarnation uint64
	// Reporters are the gateways, ordered by ID. Latest is the time of the latest report.
	Reporters []string
	Latest    time.Time
}

// Table holds the latest reports about upstreams. The zero value is empty. It isn't safe for concurrent
// use.
type Table struct {
	byUpstream map[string]*reported
	version    uint64
}

// reported is what is known of one incarnation of an upstream.
type reported struct {
	incarnation uint64
	byReporter  map[string]versionedReport
	// respondedAt is when the upstream last responded to the Table's owner.
	respondedAt time.Time
}

type versionedReport struct {
	at time.Time
	// version is the Table's version at which the report was taken in.
	version uint64
}

// Record takes a report in. It returns false if the report adds nothing.
func (t *Table) Record(now time.Time, r Report) (changed bool) {
	if now.Sub(r.At) >= keepTime || r.At.After(now) {
		return false
	}
	known := t.byUpstream[r.Upstream]
	switch {
	case known == nil || r.Incarnation > known.incarnation:
		if known == nil && !t.makeRoom(now) {
			return false
		}
		known = &reported{incarnation: r.Incarnation, byReporter: map[string]versionedReport{}}
	case r.Incarnation < known.incarnation:
		return false
	}
	if !known.accepts(r) {
		return false
	}
	if t.byUpstream == nil {
		t.byUpstream = map[string]*reported{}
	}
	t.byUpstream[r.Upstream] = known
	t.version++
	known.byReporter[r.Reporter] = versionedReport{at: r.At, version: t.version}
	return true
}

// accepts reports whether a report adds something, and drops the oldest one for it if there is no room.
func (k *reported) accepts(r Report) bool {
	if before, ok := k.byReporter[r.Reporter]; ok {
		return r.At.Sub(before.at) >= refreshInterval
	}
	if len(k.byReporter) < maxReporters {
		return true
	}
	oldest := slices.MinFunc(slices.Collect(maps.Keys(k.byReporter)), func(a, b string) int {
		return cmp.Or(k.byReporter[a].at.Compare(k.byReporter[b].at), cmp.Compare(a, b))
	})
	if r.At.Sub(k.byReporter[oldest].at) < refreshInterval {
		return false
	}
	delete(k.byReporter, oldest)
	return true
}

// makeRoom reports whether the Table has room for another upstream, for which it drops the one that was
// reported by one gateway only, the longest ago.
//
// A gateway with a faulty link may report more upstreams than the Table holds. It must not drive out
// those that several have reported.
func (t *Table) makeRoom(now time.Time) bool {
	if len(t.byUpstream) < MaxUpstreams {
		return true
	}
	t.Expire(now)
	if len(t.byUpstream) < MaxUpstreams {
		return true
	}
	victim, oldest := "", time.Time{}
	for id, known := range t.byUpstream {
		at := known.latest()
		if len(known.byReporter) == 1 && (victim == "" || at.Before(oldest) || at.Equal(oldest) && id < victim) {
			victim, oldest = id, at
		}
	}
	delete(t.byUpstream, victim)
	return victim != ""
}

func (k *reported) latest() (latest time.Time) {
	for _, r := range k.byReporter {
		if r.at.After(latest) {
			latest = r.at
		}
	}
	return latest
}

// Responded records that an upstream has responded to the Table's owner, which ends that it is avoided
// for earlier reports.
func (t *Table) Responded(now time.Time, upstream string) {
	if known := t.byUpstream[upstream]; known != nil {
		known.respondedAt = now
	}
}

// Expire drops reports that aren't kept any longer.
func (t *Table) Expire(now time.Time) {
	for id, known := range t.byUpstream {
		maps.DeleteFunc(known.byReporter, func(_ string, r versionedReport) bool { return now.Sub(r.at) >= keepTime })
		if len(known.byReporter) == 0 {
			delete(t.byUpstream, id)
		}
	}
}

// Len returns the number of upstreams of which reports are kept.
func (t *Table) Len() int { return len(t.byUpstream) }

// Silent returns the upstreams that are silent according to at least two gateways, the most reported
// first.
func (t *Table) Silent(now time.Time) (list []Silent) {
	for id, known := range t.byUpstream {
		if s, ok := known.silent(now); ok {
			s.Upstream = id
			list = append(list, s)
		}
	}
	slices.SortFunc(list, func(a, b Silent) int {
		return cmp.Or(cmp.Compare(len(b.Reporters), len(a.Reporters)), b.Latest.Compare(a.Latest), cmp.Compare(a.Upstream, b.Upstream))
	})
	return list
}

// silent returns the gateways whose reports count now; ok is false if fewer than two do.
func (k *reported) silent(now time.Time) (s Silent, ok bool) {
	s = Silent{Incarnation: k.incarnation, Latest: k.latest()}
	if now.Sub(s.Latest) >= window {
		return s, false
	}
	for id, r := range k.byReporter {
		if s.Latest.Sub(r.at) < window && r.at.After(k.respondedAt) {
			s.Reporters = append(s.Reporters, id)
		}
	}
	slices.Sort(s.Reporters)
	return s, len(s.Reporters) >= 2
}

// Avoided returns which upstreams of a group, given with their incarnations, are avoided now: those that
// are silent, the most reported first, up to the bound.
func (t *Table) Avoided(now time.Time, group map[string]uint64) (avoided map[string]bool) {
	most := max(len(group)/avoidedDivisor, 1)
	for _, s := range t.Silent(now) {
		if incarnation, member := group[s.Upstream]; !member || incarnation != s.Incarnation || len(avoided) == most {
			continue
		}
		if avoided == nil {
			avoided = map[string]bool{}
		}
		avoided[s.Upstream] = true
	}
	return avoided
}

// Since returns at most limit reports that were taken in after a version, in that order, and the version
// that they lead to.
func (t *Table) Since(version uint64, limit int) (list []Report, upTo uint64) {
	if version == t.version {
		return nil, version
	}
	type change struct {
		Report
		version uint64
	}
	var changes []change
	for id, known := range t.byUpstream {
		for reporter, r := range known.byReporter {
			if r.version > version {
				changes = append(changes, change{Report{Upstream: id, Incarnation: known.incarnation, Reporter: reporter, At: r.at}, r.version})
			}
		}
	}
	slices.SortFunc(changes, func(a, b change) int { return cmp.Compare(a.version, b.version) })
	upTo = t.version
	if len(changes) > limit {
		changes = changes[:limit]
		upTo = changes[limit-1].version
	}
	for _, c := range changes {
		list = append(list, c.Report)
	}
	return list, upTo
}
