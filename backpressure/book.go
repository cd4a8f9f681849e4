// Package backpressure keeps what upstreams ask of gateways in their answers: a limit for the
// requests of all gateways together, rest for the gateway that they have refused, and no more
// requests as they leave.
//
// What is asked of all gateways needs to be known to each, also to one that hasn't been answered
// by the upstream: a Book holds what is known, and gateways pass news on through the control
// replicas. And the gateways' parts of a limit must not add up to more: each request to a limited
// upstream needs a permit, which the Lender of a control replica lends from its whole share of the
// limit. So no gateway has to know how many others there are.
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

// Statement is what an upstream has said in an answer.
type Statement struct {
	// Upstream is the instance that said it, Incarnation its incarnation.
	Upstream    string
	Incarnation uint64
	// Leaving says that it wants no more requests.
	Leaving bool
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
	return s.Limited == other.Limited && s.PerS == other.PerS && s.Leaving == other.Leaving
}

// relaxes reports whether the statement allows more than an earlier one.
func (s Statement) relaxes(earlier Statement) bool {
	return earlier.Limited && (!s.Limited || s.PerS > earlier.PerS)
}

// entry is the latest statement of an upstream.
type entry struct {
	Statement
	// version is the Book's version at which what it says last changed.
	version uint64
}

// Book holds the latest statement of each upstream that has asked for anything. It isn't safe for
// concurrent use.
//
// Invariant: an incarnation that leaves never comes back, so that it leaves is kept whatever else
// is heard of it, in any order.
type Book struct {
	byUpstream map[string]*entry
	version    uint64
	// limited and leaving are the numbers of upstreams that have a limit and that leave.
	limited, leaving int
}

// NewBook returns an empty Book.
func NewBook() *Book { return &Book{byUpstream: map[string]*entry{}} }

// Record applies a statement, unless a later one is known. It returns the statement before, and
// whether anything but its age has changed.
//
// That an upstream asks for nothing is only remembered of one that did before: it keeps older news
// from bringing a limit back.
func (b *Book) Record(s Statement) (before Statement, changed bool) {
	e := b.byUpstream[s.Upstream]
	if e == nil {
		if !s.Limited && !s.Leaving || len(b.byUpstream) >= MaxUpstreams {
			return Statement{}, false
		}
		e = &entry{}
		b.byUpstream[s.Upstream] = e
	}
	before = e.Statement
	next, accepted := before.followedBy(s)
	if !accepted {
		return before, false
	}
	b.count(before, -1)
	b.count(next, 1)
	e.Statement = next
	if changed = !next.same(before); changed {
		b.version++
		e.version = b.version
	}
	return before, changed
}

// followedBy returns what is known of an upstream after a statement; accepted is false if that is
// what was known before.
func (s Statement) followedBy(next Statement) (after Statement, accepted bool) {
	switch {
	case next.Incarnation > s.Incarnation:
		return next, true
	case next.Incarnation < s.Incarnation:
		return s, false
	}
	contradicts := next.relaxes(s) && next.Source != s.Source && next.HeardAt.Sub(s.HeardAt) < contradictionDelay
	if next.HeardAt.Before(s.HeardAt) || contradicts {
		leaves := next.Leaving && !s.Leaving
		s.Leaving = s.Leaving || next.Leaving
		return s, leaves
	}
	next.Leaving = next.Leaving || s.Leaving
	return next, true
}

// count adds n to the numbers of what a statement says.
func (b *Book) count(s Statement, n int) {
	if s.Limited {
		b.limited += n
	}
	if s.Leaving {
		b.leaving += n
	}
}

// Get returns the latest statement of an upstream; the zero value if it has never asked for anything.
func (b *Book) Get(upstream string) Statement {
	if e := b.byUpstream[upstream]; e != nil {
		return e.Statement
	}
	return Statement{}
}

// Limited returns the number of upstreams that have a limit.
func (b *Book) Limited() int { return b.limited }

// Leaving returns the incarnations of the upstreams that leave; nil if none does.
func (b *Book) Leaving() (list map[string]uint64) {
	if b.leaving == 0 {
		return nil
	}
	list = map[string]uint64{}
	for id, e := range b.byUpstream {
		if e.Leaving {
			list[id] = e.Incarnation
		}
	}
	return list
}

// Len returns the number of upstreams of which anything is remembered.
func (b *Book) Len() int { return len(b.byUpstream) }

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
		b.count(e.Statement, -1)
		delete(b.byUpstream, id)
	}
}
