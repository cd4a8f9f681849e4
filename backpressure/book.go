// Package ratelimit keeps the requests of all gateways to an upstream within the limit that the
// upstream names in its answers.
//
// A limit over all gateways needs two things. Each gateway must know it, also one that hasn't
// been answered by the upstream: a Book holds what is known, and gateways pass news on through
// the control replicas. And the gateways' parts must not add up to more than the limit: each
// request to a limited upstream needs a permit, which the Lender of a control replica lends from
// its whole share of the limit. So no gateway has to know how many others there are.
package backpressure

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

const (
	// contradictionDelay is how much later than a limit a gateway must have heard that there is
	// none, or a higher one, to be believed over another gateway. Answers on different connections
	// overtake each other, and the age of passed-on news is known only up to its delay on the way.
	contradictionDelay = 200 * time.Millisecond
	// forgetAfter is how long a statement about an unknown upstream is kept. News may come before
	// the registration of the upstream, and the old news of another gateway after its end.
	forgetAfter = time.Minute
	// MaxUpstreams bounds the upstreams in a Book.
	MaxUpstreams = 20_000
)

// Statement is what an upstream has said about its limit.
type Statement struct {
	// Upstream is the instance that said it.
	Upstream string
	// Limited says whether there is a limit, PerS is the limit in requests a second.
	Limited bool
	PerS    float64
	// HeardAt is when a gateway heard it, by the clock of the Book's owner.
	HeardAt time.Time
	// Source is the ID of that gateway.
	Source string
}

// same reports whether two statements say the same.
func (s Statement) same(other Statement) bool {
	return s.Limited == other.Limited && s.PerS == other.PerS
}

// relaxes reports whether the statement allows more than an earlier one.
func (s Statement) relaxes(earlier Statement) bool {
	return earlier.Limited && (!s.Limited || s.PerS > earlier.PerS)
}

// entry is the latest statement of an upstream.
type entry struct {
	Statement
	// version is the Book's version at which the limit last changed.
	version uint64
}

// Book holds the latest statement of each upstream that has had a limit. It isn't safe for
// concurrent use.
type Book struct {
	byUpstream map[string]*entry
	version    uint64
	limited    int
}

// NewBook returns an empty Book.
func NewBook() *Book { return &Book{byUpstream: map[string]*entry{}} }

// Record applies a statement, unless a later one is known. It returns the statement before, and
// whether the limit has changed.
//
// That an upstream has no limit is only remembered of one that had one: it keeps older news from
// bringing the limit back.
func (b *Book) Record(s Statement) (before Statement, changed bool) {
	e := b.byUpstream[s.Upstream]
	if e == nil {
		if !s.Limited || len(b.byUpstream) >= MaxUpstreams {
			return Statement{}, false
		}
		e = &entry{}
		b.byUpstream[s.Upstream] = e
	}
	before = e.Statement
	if s.HeardAt.Before(before.HeardAt) {
		return before, false
	}
	if s.relaxes(before) && s.Source != before.Source && s.HeardAt.Sub(before.HeardAt) < contradictionDelay {
		return before, false
	}
	switch {
	case s.Limited && !before.Limited:
		b.limited++
	case !s.Limited && before.Limited:
		b.limited--
	}
	e.Statement = s
	if changed = !s.same(before); changed {
		b.version++
		e.version = b.version
	}
	return before, changed
}

// Get returns the latest statement of an upstream; the zero value if it has never had a limit.
func (b *Book) Get(upstream string) Statement {
	if e := b.byUpstream[upstream]; e != nil {
		return e.Statement
	}
	return Statement{}
}

// Limited returns the number of upstreams that have a limit.
func (b *Book) Limited() int { return b.limited }

// Version returns the number of changes so far.
func (b *Book) Version() uint64 { return b.version }

// Since returns at most limit statements that have changed after a version, in the order of their
// changes, and the version that they lead to.
func (b *Book) Since(version uint64, limit int) (list []Statement, upTo uint64) {
	if version == b.version {
		return nil, version
	}
	var changed []*entry
	for _, e := range b.byUpstream {
		if e.version > version {
			changed = append(changed, e)
		}
	}
	slices.SortFunc(changed, func(a, b *entry) int { return cmp.Compare(a.version, b.version) })
	if len(changed) > limit {
		changed = changed[:limit]
		upTo = changed[limit-1].version
	} else {
		upTo = b.version
	}
	for _, e := range changed {
		list = append(list, e.Statement)
	}
	return list, upTo
}

// All returns all statements, ordered by upstream.
func (b *Book) All() (list []Statement) {
	for _, id := range slices.Sorted(maps.Keys(b.byUpstream)) {
		list = append(list, b.byUpstream[id].Statement)
	}
	return list
}

// Forget drops old statements about upstreams that known doesn't report.
func (b *Book) Forget(now time.Time, known func(upstream string) bool) {
	for id, e := range b.byUpstream {
		if now.Sub(e.HeardAt) < forgetAfter || known(id) {
			continue
		}
		if e.Limited {
			b.limited--
		}
		delete(b.byUpstream, id)
	}
}
